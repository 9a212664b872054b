"""Starts an attempt and decides what its failure means."""

from expression import Error, Ok, Result

from lovageway.chain import Context, Filter, Verdict
from lovageway.codes import Code, Refusal
from lovageway.events import AttemptFailed, Emit, StartAttempt

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0
_NOT_RUN = ("refused", "connect")


class Attempt(Filter):
    """Last filter: sends the request to the chosen server."""

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Start the attempt."""
        assert ctx.contract is not None
        assert ctx.service is not None
        emit(
            StartAttempt(
                ctx.req.request_id,
                ctx.attempt,
                ctx.server_id,
                ctx.address,
                ctx.start_id,
                ctx.contract.account,
                ctx.service.name,
                ctx.request_class,
                ctx.contract.delivery == "whole" or ctx.req.whole,
                ctx.service.timeout_s,
            )
        )
        return Ok(ctx)

    def failed(self, ctx: Context, event: AttemptFailed) -> Result[Context, Refusal]:
        """Return the context of the next attempt, or the refusal that ends the request."""
        if event.delivered > 0:
            code = Code.GENERATION_LOST if event.failure == "gone" else Code.STREAM_LOST
            return Error(Refusal(code, ran="yes"))
        not_run = event.failure in _NOT_RUN
        if not not_run and not self._idempotent(ctx):
            return Error(Refusal(Code.OUTCOME_UNKNOWN_NOW))
        if ctx.attempt + 1 >= MAX_ATTEMPTS:
            ran = "no" if not_run else "unknown"
            return Error(Refusal(Code.ATTEMPT_FAILED, event.failure, RETRY_AFTER_S, ran))  # type: ignore[arg-type]
        return Ok(ctx._replace(attempt=ctx.attempt + 1, tried=(*ctx.tried, ctx.server_id)))

    @staticmethod
    def _idempotent(ctx: Context) -> bool:
        assert ctx.service is not None
        return ctx.service.kind == "engine" or ctx.req.method in ctx.service.idempotent_methods
