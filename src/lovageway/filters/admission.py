"""Admission control by predicted memory and request class, with a bounded queue."""

from collections import OrderedDict
from itertools import islice
from math import exp
from typing import NamedTuple

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, Wait, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.backends import USABLE_MEMORY_FRACTION, Backends
from lovageway.controllers.lengths import Lengths
from lovageway.events import Count, Emit
from lovageway.filters.routing import (
    CHARGED_REMAINDER_FRACTION,
    MAX_BATCH_FRACTION,
    NO_SERVER_RETRY_S,
    Routing,
)
from lovageway.model import BATCH, INTERACTIVE

# Bounds the number of callers that wait and may time out; batch gets the smaller part of the open
# requests.
MAX_WAITING = {INTERACTIVE: 128, BATCH: 64}
# Only this many requests at the head of a queue request more credit. When all of them did, their
# lines to the owners of servers used up the budget of share messages, and account shares expired
# (code 4205).
MAX_CREDIT_REQUESTERS = 4
MIN_RETRY_S = 0.5
MAX_RETRY_S = 60.0
_STILL_WAITING = Refusal(Code.WAITED_TOO_LONG, retry_after_s=NO_SERVER_RETRY_S)


class ServiceRate:
    """Rate at which a queue is served while it is not empty.

    The rate is an exponentially weighted mean over the time in which requests waited, so idle
    times do not lower it.
    """

    TIME_CONSTANT_S = 20.0
    MIN_BUSY_S = 3.0

    def __init__(self) -> None:
        self._busy_s = 0.0
        self._served = 0.0
        self._last = 0.0

    def advance(self, now: float, busy: bool) -> None:
        """Account for the time since the last call, during which requests waited if `busy`."""
        elapsed, self._last = now - self._last, now
        if busy and elapsed > 0:
            decay = exp(-elapsed / self.TIME_CONSTANT_S)
            self._busy_s = self._busy_s * decay + self.TIME_CONSTANT_S * (1 - decay)
            self._served *= decay

    def serve(self, cost: float) -> None:
        """Record that a waiting request of this cost was admitted."""
        self._served += cost

    def time_to_serve_s(self, cost: float, own_cost: float) -> float | None:
        """Return the expected time until `cost` has been served, None while it is unknown.

        While nothing has been served, the rate is at most one request of `own_cost` in the time
        observed, so the result is a lower bound.
        """
        if self._busy_s < self.MIN_BUSY_S:
            return None
        return cost * self._busy_s / max(self._served, own_cost)


class _Lane(NamedTuple):
    """Waiting requests of one service and class, with their charges, in order of arrival."""

    waiting: OrderedDict[str, int]
    service_rate: ServiceRate


class Admission(Filter):
    """Charges requests for their predicted memory and queues them by class.

    Parameters
    ----------
    backends
        Capacity of the servers.
    lengths
        Predicts output lengths from those of ended requests.
    routing
        The Routing filter of the same chain; provides the servers with credit.
    uses_memory
        Whether memory is charged; baseline policies use slots alone.
    """

    def __init__(
        self, backends: Backends, lengths: Lengths, routing: Routing, uses_memory: bool
    ) -> None:
        self._backends = backends
        self._lengths = lengths
        self._routing = routing
        self._uses_memory = uses_memory
        self._lanes: dict[tuple[str, str], _Lane] = {}

    def waiting(self, request_class: str) -> int:
        """Return the number of waiting requests of a class, for all services."""
        return sum(
            len(lane.waiting) for (_, kind), lane in self._lanes.items() if kind == request_class
        )

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Pass the request when it is the next of its queue and a server has credit for it."""
        request_id = ctx.req.request_id
        lane = self._lane(ctx.req.service, ctx.request_class)
        lane.service_rate.advance(now, bool(lane.waiting))
        queued = request_id in lane.waiting
        is_next = self._is_next(ctx, lane)
        memory = self._charge(ctx, now) if is_next or not queued else lane.waiting[request_id]
        if is_next and self._routing.eligible_servers(ctx, memory, now):
            if queued:
                del lane.waiting[request_id]
                lane.service_rate.serve(memory or 1)
            return Ok(ctx._replace(memory=memory))
        if not queued:
            refusal = self._overload_refusal(ctx, lane, memory)
            if refusal is not None:
                emit(Count("queue_refusals", (ctx.request_class,)))
                return stop(refusal)
            emit(Count("queued", (ctx.request_class,)))
        lane.waiting[request_id] = memory
        if request_id in islice(lane.waiting, MAX_CREDIT_REQUESTERS):
            self._routing.request_credit(ctx, memory, now)
        return stop(self._make_wait(ctx, lane, memory, now))

    def may_pass(self, ctx: Context) -> bool:
        """Return whether a waiting request is among the first, which also request credit.

        Trying all 192 waiting requests at 32 servers took 20 ms on each tick.
        """
        waiting = self._lane(ctx.req.service, ctx.request_class).waiting
        return ctx.req.request_id in islice(waiting, MAX_CREDIT_REQUESTERS)

    def abandon(self, ctx: Context, now: float, emit: Emit) -> None:
        """Forget a request that ended while it waited."""
        lane = self._lane(ctx.req.service, ctx.request_class)
        lane.service_rate.advance(now, bool(lane.waiting))
        lane.waiting.pop(ctx.req.request_id, None)

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Add the output length to those from which lengths are predicted."""
        assert ctx.contract is not None
        assert ctx.service is not None
        if ctx.service.kind != "engine" or not (ctx.finished or ctx.delivered):
            return
        truncated = not ctx.finished or ctx.delivered >= ctx.req.max_tokens
        self._lengths.observe(
            ctx.contract.account, ctx.service.name, ctx.request_class, ctx.delivered, truncated
        )

    def _lane(self, service: str, request_class: str) -> _Lane:
        # Authenticate passes only configured services and the two classes, so lanes are bounded.
        key = (service, request_class)
        if key not in self._lanes:
            self._lanes[key] = _Lane(OrderedDict(), ServiceRate())
        return self._lanes[key]

    def _is_next(self, ctx: Context, lane: _Lane) -> bool:
        if ctx.request_class == BATCH and self._lane(ctx.req.service, INTERACTIVE).waiting:
            return False
        return not lane.waiting or next(iter(lane.waiting)) == ctx.req.request_id

    def _charge(self, ctx: Context, now: float) -> int:
        """Return prompt and predicted output in tokens, at most what an empty server can grant."""
        assert ctx.contract is not None
        assert ctx.service is not None
        if not self._uses_memory or ctx.service.kind != "engine":
            return 0
        curve = self._lengths.curve(ctx.contract.account, ctx.service.name, ctx.request_class)
        output = round(CHARGED_REMAINDER_FRACTION * curve.remainder(0, ctx.req.max_tokens))
        views = self._backends.credits(ctx.service.name, now)
        capacity = max((view.memory_capacity for view in views), default=0)
        # The 2 allows for the rounding of the capacity.
        max_charge = int((int(capacity * USABLE_MEMORY_FRACTION) - 2) * MAX_BATCH_FRACTION)
        charge = ctx.req.prompt_tokens + output
        return min(charge, max_charge) if capacity else charge

    def _overload_refusal(self, ctx: Context, lane: _Lane, memory: int) -> Refusal | None:
        """Return the refusal when the queue is full or the expected wait too long, else None."""
        assert ctx.contract is not None
        expected = self._expected_wait_s(lane, memory, queued=False)
        full = self.waiting(ctx.request_class) >= MAX_WAITING[ctx.request_class]
        if not full and (expected is None or expected <= ctx.contract.max_wait_s):
            return None
        return Refusal(Code.QUEUE_FULL, retry_after_s=_retry_after_s(expected))

    def _expected_wait_s(self, lane: _Lane, memory: int, queued: bool) -> float | None:
        """Return the time until the lane's waiting requests and this one have been served."""
        own = memory or 1
        ahead = sum(cost or 1 for cost in lane.waiting.values())
        return lane.service_rate.time_to_serve_s(ahead + own * (not queued), own)

    def _make_wait(self, ctx: Context, lane: _Lane, memory: int, now: float) -> Wait:
        assert ctx.contract is not None
        until = ctx.arrived + ctx.contract.max_wait_s
        if now < until:
            return Wait(_STILL_WAITING, until)  # the retry time is computed only at the deadline
        if not self._backends.credits(ctx.req.service, now):
            return Wait(Refusal(Code.NO_SERVER, retry_after_s=NO_SERVER_RETRY_S), until)
        retry_after_s = _retry_after_s(self._expected_wait_s(lane, memory, queued=True))
        return Wait(Refusal(Code.WAITED_TOO_LONG, retry_after_s=retry_after_s), until)


def _retry_after_s(expected: float | None) -> float:
    retry_after_s = NO_SERVER_RETRY_S if expected is None else expected
    return round(min(MAX_RETRY_S, max(MIN_RETRY_S, retry_after_s)), 2)
