"""Keeps each client account within the limits of its contract, over all daemons together."""

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, Wait, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.ledger import Kind, Limit
from lovageway.controllers.shares import Shares, Source
from lovageway.events import Count, Emit

FIRST_SHARE_WAIT_S = 1.0  # an owner answers within one round trip; see design page, section 4
RETRY_AFTER_S = 1.0
# A new owner starts with an empty burst, so it would refuse 50 callers that come together although
# their contract allows 1,000 requests/s; the burst fills within this time.
BRIEF_WAIT_S = 0.25
_PARTS = ("concurrency", "requests", "tokens")
_CODES = (Code.CONCURRENCY, Code.REQUEST_RATE, Code.TOKEN_RATE)
# A request needs a bucket of tokens that is not in debt; its own length is not known yet.
_REQUEST = (1.0, 1.0, 0.0)


class AccountLimits(Source):
    """Concurrent requests, requests/s and output tokens/s of each contract."""

    kinds: tuple[Kind, ...] = ("held", "rate", "rate")
    has_priority = True

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def limit(self, name: str, now: float) -> Limit | None:
        """Return the limits of the contract in force."""
        found = self._configuration.snapshot.contracts.get(name)
        if found is None:
            return None
        return Limit((float(found.concurrency), found.requests_per_s, found.tokens_per_s))


class Limits(Filter):
    """Takes one request from this daemon's share and charges tokens as they are delivered."""

    def __init__(self, shares: Shares) -> None:
        self._shares = shares

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Refuse over the limit; wait briefly for a share or for a bucket that is about to fill."""
        shortage = self._shares.try_take(_resource(ctx), ctx.req.request_id, _REQUEST, now)
        if shortage is None:
            return Ok(ctx)
        if shortage.pending:
            refusal = Refusal(Code.SHARE_UNAVAILABLE, retry_after_s=RETRY_AFTER_S)
            return stop(Wait(refusal, now + FIRST_SHARE_WAIT_S))
        refusal = Refusal(_CODES[shortage.part], retry_after_s=shortage.retry_after_s)
        if shortage.retry_after_s <= BRIEF_WAIT_S:
            return stop(Wait(refusal, now + BRIEF_WAIT_S))
        emit(Count("limited", (_PARTS[shortage.part],)))
        return stop(refusal)

    def delivered(self, ctx: Context, count: int, now: float, emit: Emit) -> None:
        """Charge output tokens; the bucket may go into debt."""
        self._shares.take(_resource(ctx), (0.0, 0.0, float(count)), now)

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Give the concurrent request back."""
        self._shares.release(_resource(ctx), _REQUEST)


def _resource(ctx: Context) -> str:
    assert ctx.contract is not None
    return f"account:{ctx.contract.account}"
