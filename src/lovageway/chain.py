"""The chain of filters that every request passes, and the requests that wait in it."""

from collections.abc import Sequence
from typing import NamedTuple

from expression import Error, Ok, Result

from lovageway.codes import Code, Refusal
from lovageway.events import Emit, Finish, Refuse, Replay, Request
from lovageway.model import INTERACTIVE, Contract, Service

# Before a call that is not idempotent is sent, a row for it (its claim) is written to the table
# service, see `lovageway.claimrows`. Until that write begins, the request waits up to 1 s for a
# share of its account's limits, 2 s for the lookup of an earlier claim, and for capacity until
# max_wait_s after its arrival. Only if the daemon was suspended meanwhile can the write be due
# later than max_wait_s plus this delay after the arrival; the call is then refused.
MAX_CLAIM_START_DELAY_S = 3.0
# Until the write has ended: it may take 2 s.
MAX_CLAIM_END_DELAY_S = MAX_CLAIM_START_DELAY_S + 2.0


class Context(NamedTuple):
    """State of one request; each filter that admits the request may return an extended one."""

    req: Request
    arrived: float  # in seconds of the runtime's clock
    contract: Contract | None = None
    service: Service | None = None
    request_class: str = INTERACTIVE
    attempt: int = 0
    tried: tuple[str, ...] = ()  # backend servers whose attempt failed
    server_id: str = ""
    address: str = ""
    start_id: str = ""
    memory: int = 0  # tokens of KV memory charged at the server
    delivered: int = 0  # output tokens that the caller has received
    finished: bool = False  # the complete answer has been read
    claim_revision: int = 0  # of the call's row as found by the lookup; 0: no row
    claim_epoch: tuple[int, int] = (0, 0)  # see controllers.claims.Epoch
    lookup_done: bool = False
    required_server: str = ""  # the only server to use; "": any untried one
    maybe_ran: bool = False  # a failed attempt may have run


class Wait(NamedTuple):
    """The request waits for a filter to admit it and is refused with `refusal` at `until`."""

    refusal: Refusal
    until: float


class Answered(NamedTuple):
    """The request ends with the stored answer of an earlier one."""

    answer: str


Verdict = Result[Context, Refusal | Wait | Answered]


class Filter:
    """One step of a request; keeps what it acquired for a request until `release`."""

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Let the request pass, possibly with an extended context, or stop it."""
        return Ok(ctx)

    def may_pass(self, ctx: Context) -> bool:
        """Return whether `Chain.retry_waiting` retries a request that waits here.

        Once the deadline of the wait has passed, the request is retried in any case.
        """
        return True

    def delivered(self, ctx: Context, count: int, now: float, emit: Emit) -> None:
        """Account for `count` more output tokens that reached the caller."""

    def abandon(self, ctx: Context, now: float, emit: Emit) -> None:
        """Drop the state of a request that ends before this filter admitted it."""

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Release what `admit` acquired; called once for each time it let the request pass."""


class _Entry(NamedTuple):
    ctx: Context
    position: int  # index of the next filter; len(filters): all have been passed
    wait: Wait | None


class Chain:
    """Runs requests through filters in order.

    Parameters
    ----------
    filters
        Filters in the order in which a request passes them.
    """

    def __init__(self, filters: Sequence[Filter]) -> None:
        self._filters = tuple(filters)
        self._entries: dict[str, _Entry] = {}
        self._waiting: dict[str, None] = {}  # an ordered set, so that ties are broken repeatably

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, request_id: str) -> Context | None:
        """Return the request's context, or None if it has ended."""
        entry = self._entries.get(request_id)
        return entry.ctx if entry else None

    def waiting(self) -> int:
        """Return the number of requests that wait for a filter to admit them."""
        return len(self._waiting)

    def enter(self, ctx: Context, now: float, emit: Emit) -> None:
        """Start a request at the first filter."""
        self._run(ctx, 0, None, now, emit)

    def retry(self, ctx: Context, filter_type: type[Filter], now: float, emit: Emit) -> None:
        """Run the filters again, from the first one of `filter_type` on.

        What these filters acquired for the request is released first. The chain must contain a
        filter of that type.
        """
        start = next(n for n, item in enumerate(self._filters) if isinstance(item, filter_type))
        self._release(ctx, start, len(self._filters), now, emit)
        self._run(ctx, start, None, now, emit)

    def replace(self, ctx: Context) -> None:
        """Store a changed context of a request that is in the chain."""
        entry = self._entries[ctx.req.request_id]
        self._entries[ctx.req.request_id] = entry._replace(ctx=ctx)

    def delivered(self, request_id: str, count: int, total: int, now: float, emit: Emit) -> None:
        """Notify every filter of output tokens that reached the caller.

        `count` are new, `total` is their number since the request began.
        """
        entry = self._entries.get(request_id)
        if entry is None:
            return
        ctx = entry.ctx._replace(delivered=total)
        self.replace(ctx)
        for item in self._filters:
            item.delivered(ctx, count, now, emit)

    def retry_waiting(self, now: float, emit: Emit) -> None:
        """Retry the waiting requests for which `Filter.may_pass` is true, interactive ones first.

        A request whose deadline has passed is tried a last time and refused if it still cannot
        pass.
        """
        waiting = [self._entries[request_id] for request_id in self._waiting]
        waiting.sort(key=_priority)
        for entry in waiting:
            assert entry.wait is not None
            # A request that passes can let the next one pass, so `may_pass` is called in the loop.
            if now >= entry.wait.until or self._filters[entry.position].may_pass(entry.ctx):
                self._run(entry.ctx, entry.position, entry.wait, now, emit)

    def wake(self, request_id: str, now: float, emit: Emit) -> None:
        """Retry one waiting request."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.wait is not None:
            self._run(entry.ctx, entry.position, entry.wait, now, emit)

    def refuse(self, request_id: str, refusal: Refusal, now: float, emit: Emit) -> None:
        """End a request with a refusal."""
        entry = self._entries.get(request_id)
        if entry is not None and self._close(request_id, now, emit):
            emit(Refuse(request_id, qualify_effect(entry.ctx, refusal)))

    def finish(self, request_id: str, now: float, emit: Emit) -> None:
        """End a request whose answer is complete."""
        if self._close(request_id, now, emit):
            emit(Finish(request_id))

    def _run(self, ctx: Context, position: int, wait: Wait | None, now: float, emit: Emit) -> None:
        while position < len(self._filters):
            match self._filters[position].admit(ctx, now, emit):
                case Result(tag="ok", ok=passed):
                    ctx, wait, position = passed, None, position + 1
                case Result(error=stop):
                    self._stop(ctx, position, wait, stop, now, emit)
                    return
        self._store(_Entry(ctx, position, None))

    def _stop(
        self,
        ctx: Context,
        position: int,
        wait: Wait | None,
        stop: Refusal | Wait | Answered,
        now: float,
        emit: Emit,
    ) -> None:
        request_id = ctx.req.request_id
        if isinstance(stop, Wait):
            # The first deadline at this filter applies; a retry must not postpone it.
            until = min(stop.until, wait.until) if wait else stop.until
            if now < until:
                self._store(_Entry(ctx, position, stop._replace(until=until)))
                return
        self._store(_Entry(ctx, position, None))
        self._close(request_id, now, emit)
        match stop:
            case Wait(refusal, _):
                emit(Refuse(request_id, qualify_effect(ctx, refusal)))
            case Answered(answer):
                emit(Replay(request_id, answer))
            case Refusal():
                emit(Refuse(request_id, qualify_effect(ctx, stop)))

    def _store(self, entry: _Entry) -> None:
        request_id = entry.ctx.req.request_id
        self._entries[request_id] = entry
        if entry.wait is None:
            self._waiting.pop(request_id, None)
        else:
            self._waiting.setdefault(request_id)

    def _close(self, request_id: str, now: float, emit: Emit) -> bool:
        entry = self._entries.pop(request_id, None)
        self._waiting.pop(request_id, None)
        if entry is not None:
            if entry.position < len(self._filters):
                self._filters[entry.position].abandon(entry.ctx, now, emit)
            self._release(entry.ctx, 0, entry.position, now, emit)
        return entry is not None

    def _release(self, ctx: Context, start: int, stop: int, now: float, emit: Emit) -> None:
        for item in reversed(self._filters[start:stop]):
            item.release(ctx, now, emit)


def _priority(entry: _Entry) -> tuple[bool, float]:
    return entry.ctx.request_class != INTERACTIVE, entry.ctx.arrived


def qualify_effect(ctx: Context, refusal: Refusal) -> Refusal:
    """Return the refusal, corrected where the call may have run or may still run elsewhere.

    A filter does not know whether other attempts ran. An effect of "no" is therefore corrected:

    - If an earlier attempt of the request may have run, the effect becomes "unknown".
    - Otherwise, for a call with an idempotency key, an earlier call with the key may have run if
      the key has not been looked up.
    - Copies of a call with a key may also wait at other daemons; the refusal states for how long
      they may still run.
    """
    if refusal.effect != "no":
        return refusal
    if ctx.maybe_ran:
        return refusal._replace(ran="unknown")
    if ctx.req.idempotency_key is None:
        return refusal
    if not ctx.lookup_done:
        refusal = refusal._replace(earlier="unknown")
    # If the key was used with another body, no copy of this call can run.
    if ctx.contract is not None and refusal.code != Code.IDEMPOTENCY_KEY_REUSED:
        refusal = refusal._replace(others_may_run_s=ctx.contract.max_wait_s + MAX_CLAIM_END_DELAY_S)
    return refusal


def stop(reason: Refusal | Wait | Answered) -> Verdict:
    """Return the verdict that refuses the request, makes it wait or ends it with an answer."""
    return Error(reason)
