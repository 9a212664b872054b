"""Starts an attempt and decides between a retry and a refusal when it fails."""

from expression import Error, Ok, Result

from lovageway.chain import Context, Filter, Verdict
from lovageway.codes import Code, Ran, Refusal
from lovageway.controllers.budgets import Budgets
from lovageway.events import AttemptFailed, Count, Emit, StartAttempt
from lovageway.filters.idempotency import needs_claim

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0
BUDGET_RETRY_S = 2.0
_NOT_RUN_FAILURES = ("refused", "connect")


class Attempt(Filter):
    """Last filter: sends the request to the server chosen by Routing."""

    def __init__(self, budgets: Budgets) -> None:
        self._budgets = budgets

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Emit the start of the attempt."""
        assert ctx.contract is not None
        assert ctx.service is not None
        emit(Count("attempts", (ctx.service.name,)))
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
        not_run = event.failure in _NOT_RUN_FAILURES
        if not not_run and needs_claim(ctx):
            return Error(Refusal(Code.OUTCOME_UNKNOWN_NOW))
        ran: Ran = "no" if not_run and not ctx.maybe_ran else "unknown"
        if ctx.attempt + 1 >= MAX_ATTEMPTS:
            return Error(Refusal(Code.ATTEMPT_FAILED, event.failure, RETRY_AFTER_S, ran))
        assert ctx.contract is not None
        if not self._budgets.spend(ctx.contract.account, ctx.req.service):
            return Error(Refusal(Code.RETRY_BUDGET, event.failure, BUDGET_RETRY_S, ran))
        return Ok(
            ctx._replace(
                attempt=ctx.attempt + 1,
                tried=(*ctx.tried, ctx.server_id),
                maybe_ran=ctx.maybe_ran or not not_run,
            )
        )
