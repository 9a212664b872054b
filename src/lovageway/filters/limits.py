"""Enforces the limits of each client account across all daemons."""

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, Wait, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.ledger import Kind, Limit
from lovageway.controllers.shares import Shares, Source
from lovageway.events import Count, Emit

FIRST_SHARE_WAIT_S = 1.0  # an owner answers within one round trip; see design page, section 4
RETRY_AFTER_S = 1.0
# A new owner starts with an empty burst, so it would refuse 50 simultaneous callers although their
# contract allows 1,000 requests/s; the burst fills within this time.
MAX_REFILL_WAIT_S = 0.25
_PART_NAMES = ("concurrency", "requests", "tokens")
_CODES = (Code.CONCURRENCY, Code.REQUEST_RATE, Code.TOKEN_RATE)
# Amounts that a request takes. Its output length is not known yet, so it takes no tokens in advance
# and only needs a token bucket that is not in debt.
_REQUEST = (1.0, 1.0, 0.0)


class AccountLimits(Source):
    """Concurrent requests, requests/s and output tokens/s of each contract."""

    kinds: tuple[Kind, ...] = ("held", "rate", "rate")
    has_priority = True

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def limit(self, name: str, now: float) -> Limit | None:
        """Return the limits of the account's contract, None when there is no such contract."""
        found = self._configuration.snapshot.contracts.get(name)
        if found is None:
            return None
        return Limit((float(found.concurrency), found.requests_per_s, found.tokens_per_s))


class Limits(Filter):
    """Takes each request from this daemon's share and charges output tokens on delivery."""

    def __init__(self, shares: Shares) -> None:
        self._shares = shares

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Refuse above the limit; wait briefly for a first share or for a bucket to refill."""
        shortage = self._shares.try_take(_resource(ctx), ctx.req.request_id, _REQUEST, now)
        if shortage is None:
            return Ok(ctx)
        if shortage.pending:
            refusal = Refusal(Code.SHARE_UNAVAILABLE, retry_after_s=RETRY_AFTER_S)
            return stop(Wait(refusal, now + FIRST_SHARE_WAIT_S))
        refusal = Refusal(_CODES[shortage.part], retry_after_s=shortage.retry_after_s)
        if shortage.retry_after_s <= MAX_REFILL_WAIT_S:
            return stop(Wait(refusal, now + MAX_REFILL_WAIT_S))
        emit(Count("limited", (_PART_NAMES[shortage.part],)))
        return stop(refusal)

    def delivered(self, ctx: Context, count: int, now: float, emit: Emit) -> None:
        """Charge delivered output tokens; the bucket may go into debt."""
        self._shares.take(_resource(ctx), (0.0, 0.0, float(count)), now)

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Release the request's part of the concurrency limit."""
        self._shares.release(_resource(ctx), _REQUEST)


def _resource(ctx: Context) -> str:
    assert ctx.contract is not None
    return f"account:{ctx.contract.account}"
