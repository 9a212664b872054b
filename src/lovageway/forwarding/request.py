"""State of one client request, the checks before it is forwarded and its wait for a server."""

import asyncio
from collections.abc import Callable
from functools import cached_property, partial
from typing import NamedTuple

from expression import Error, Ok, Result

from lovageway.codes import Code
from lovageway.forwarding import placement, resend
from lovageway.forwarding.admissionqueue import Need, Rank
from lovageway.forwarding.connections import Inbound
from lovageway.forwarding.model import (
    Account,
    Generation,
    Repeat,
    RequestHead,
    Route,
    Service,
)
from lovageway.forwarding.placement import Work
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.routes import pick_service
from lovageway.forwarding.state import State
from lovageway.forwarding.streamtiming import StreamTiming
from lovageway.forwarding.traits import Trait, fingerprint, part_traits
from lovageway.memorybudget import MemoryReservation

ANSWER_MARGIN_S = 0.03  # kept free before the deadline for the answer to reach the client
# Shares of the remaining time that a request may spend in the admission queue.
STREAM_WAIT_SHARE = 0.5
CALL_WAIT_SHARE = 0.4
# Values of Retry-After; the second one is sent when no server is usable or the queue is full.
RETRY_AFTER_S = 0.2
RETRY_AFTER_FULL_S = 0.8
MAX_RETRY_AFTER_S = 5.0  # a longer backlog is a guess
# A request is rejected at once if the expected wait is this multiple of the time that it may wait.
HOPELESS_FACTOR = 2.0
CLOCK_STEP_S = 0.001
EXPECTED_CALL_S = 0.3  # expected duration of a call, and of a generation beside its output


class Refusal(NamedTuple):
    """Error answer that the daemon generates itself."""

    code: Code
    detail: str = ""
    retry_after_s: float | None = None


class Kind(NamedTuple):
    """What decides which servers a waiting request fits, except for its size."""

    service: str
    regions: frozenset[str]
    tried: frozenset[str]  # ids of servers


class Request:
    """Client request together with its route, service, deadline and attempts."""

    def __init__(
        self,
        state: State,
        inbound: Inbound,
        head: RequestHead,
        route: Route,
        account: Account | None,
        service: Service,
    ) -> None:
        self.state = state
        self.inbound = inbound
        self.head = head
        self.route = route
        self.account = account
        self.service = service
        now = state.clock()
        left = min(route.timeout_s, head.deadline_s if head.deadline_s is not None else 1e9)
        self.deadline_at = inbound.arrived_at + left
        if route.repeat is not Repeat.STREAM:
            self.deadline_at = min(self.deadline_at, state.lifecycle.answer_by)
        self.started_at = now
        self.tried: set[str] = set()
        self.possible_runs = 0  # attempts after which the request may have been executed
        self.sends = 0
        self.is_proven = False  # whether an answer showed that the request crashes no server
        self.is_trial = False  # whether it may be sent once although it has a suspect
        self.waited_s = 0.0
        self.servers: list[str] = []
        self.outcomes: list[str] = []  # outcome of each attempt, in order
        self.event_timing: StreamTiming | None = None  # set for streams only
        self.resends = resend.ResendLog()
        self.reserved = MemoryReservation(state.answer_budget)  # accounts for the buffered answer
        self.regions = _intersect_regions(
            route.regions, account.regions if account else frozenset()
        )
        self.tokens = (
            placement.expected_memory(head.generation) if service.engine is not None else 0
        )

    @property
    def account_name(self) -> str | None:
        """Return the name of the client account, or None on a route without accounts."""
        return self.account.name if self.account is not None else None

    @property
    def priority(self) -> int:
        """Return the priority; that of the account overrides that of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def idempotent(self) -> bool:
        """Return whether the request may be executed more than once."""
        repeat = self.route.repeat
        return repeat is Repeat.IDEMPOTENT or (repeat is Repeat.STREAM and self.route.resumable)

    @cached_property
    def traits(self) -> tuple[Trait, ...]:
        """Return what the request has in common with others that may crash servers."""
        inbound = self.inbound
        whole = fingerprint(self.account_name, inbound.method, inbound.target, inbound.body)
        return (whole, *part_traits(self.service.name, self.part_ids()))

    def part_ids(self) -> list[str]:
        """Return the ids of the parts that other requests share: all but the last one."""
        generation = self.head.generation
        return [part for part, _ in generation.parts[:-1]] if generation is not None else []

    def left_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline_at - self.state.clock()

    def answer_time_s(self) -> float:
        """Return the time in which a server's answer can still be passed on, in seconds."""
        return self.left_s() - ANSWER_MARGIN_S

    def has_time(self) -> bool:
        """Return whether a server could still answer the request, if it were sent again now."""
        return self.answer_time_s() > ANSWER_MARGIN_S

    def may_resend(self, kind: resend.Kind) -> bool:
        """Return whether the request may be sent to a server again, and count it if so."""
        state, now = self.state, self.state.clock()
        sharing = state.sharing(self.service)
        verdict = resend.decide(kind, self.resends, sharing, now, has_time=self.has_time())
        state.telemetry.add("forward_repeats", kind.value, verdict.value)
        allowed = verdict is resend.Verdict.ALLOWED
        state.log(
            "sent_again" if allowed else "not_sent_again",
            id=self.head.attempt_id,
            kind=kind.value,
            times=self.resends.total,
            left_ms=round(self.left_s() * 1000),
            budget_used=sharing.budget.used,
            **({} if allowed else {"why": verdict.value}),
        )
        return allowed

    def work(self) -> Work:
        """Return the properties of the request that placement uses."""
        state, cfg = self.state, self.state.cfg
        is_rolled_out = state.rollouts.is_active(self.service.name)
        return Work(
            self.service,
            self.head.generation,
            cfg.zone,
            cfg.region,
            frozenset(self.tried),
            self.route.resumable,
            route=self.route.name,
            expected_s=longest_s(self) if is_rolled_out else 0.0,
        )


def _intersect_regions(first: frozenset[str], second: frozenset[str]) -> frozenset[str]:
    """Return the regions in both sets.

    An empty set allows every region, so disjoint sets give a set that matches no region.
    """
    if first and second:
        return (first & second) or frozenset({"(none)"})
    return first or second


def longest_s(request: Request) -> float:
    """Return how long a request may still take in seconds, to decide whether it can be served.

    The end of the process cuts off an answer that has begun. So a stream counts with all the output
    that it may still have, since a client's estimate is too short for half of its requests, and a
    call that may not be repeated counts with all of its time. A call that may be repeated gets a
    final answer before the end.
    """
    generation, repeat = request.head.generation, request.route.repeat
    if repeat is Repeat.ONCE or (repeat is Repeat.STREAM and generation is None):
        return max(0.0, request.left_s())
    if generation is None:
        return EXPECTED_CALL_S
    if repeat is not Repeat.STREAM:
        return EXPECTED_CALL_S + _output_s(request, placement.expected_output(generation))
    has_begun = request.event_timing is not None and request.event_timing.started
    # Until its first event, a stream may wait in the queue of a sound engine.
    first_s = 0.0 if has_begun else max(EXPECTED_CALL_S, request.route.target_s)
    return first_s + _output_s(request, _tokens_left(request, generation))


def longest_output_s(request: Request) -> float:
    """Return how long the rest of a stream may take once it has begun, in seconds."""
    generation = request.head.generation
    if generation is None:
        return max(0.0, request.left_s())
    return _output_s(request, _tokens_left(request, generation))


def _tokens_left(request: Request, generation: Generation) -> int:
    """Return how many tokens of a stream may still come."""
    timing, engine = request.event_timing, request.service.engine
    events = timing.events if timing is not None else 0
    tokens_per_event = max(1, engine.tokens_per_event) if engine is not None else 1
    return max(0, generation.output_limit - events * tokens_per_event)


def _output_s(request: Request, tokens: int) -> float:
    """Return how long an output may take, in seconds."""
    engine, default_s = request.service.engine, placement.TOKEN_S
    if engine is not None:
        # A sound engine may take as long as the route's target allows between two events.
        default_s = max(default_s, request.route.gap_s / max(1, engine.tokens_per_event))
    state, name = request.state, request.service.name
    return state.token_pace.longest_s(name, tokens, default_s, state.clock())


def refuse_if_leaving(request: Request) -> Refusal | None:
    """Return why a request is not sent to a server if it may outlast the process, or None."""
    state, now = request.state, request.state.clock()
    if not state.lifecycle.leaving:
        return None
    needed_s = longest_s(request)
    if state.lifecycle.can_finish(needed_s, now):
        return None
    state.log(
        "may_outlast_stop",
        id=request.head.attempt_id,
        needed_ms=round(needed_s * 1000),
        left_ms=round(state.lifecycle.serving_left_s(now) * 1000),
        sends=request.sends,
    )
    return Refusal(Code.LEAVING, retry_after_s=0.0)


def admit(state: State, inbound: Inbound, head: RequestHead) -> Result[Request, Refusal]:
    """Return a request with its route, account and service, or why it is not served."""
    table = state.routes
    if table is None:
        return Error(Refusal(Code.STARTING, retry_after_s=RETRY_AFTER_S))
    route = table.match(head.host, head.target)
    if route is None:
        return Error(Refusal(Code.NO_ROUTE))
    account = None
    if table.cfg.has_accounts and not route.public:
        account = table.cfg.accounts.get(head.key or "")
        if account is None:
            return Error(Refusal(Code.UNKNOWN_KEY))
    service = table.cfg.services.get(pick_service(route, state.rng))
    if service is None:
        return Error(Refusal(Code.NO_SERVER, "service not configured", RETRY_AFTER_FULL_S))
    request = Request(state, inbound, head, route, account, service)
    now = state.clock()
    state.budget(service.name).on_request(now)
    blocked = refuse_if_leaving(request) or hold_back(request)
    return Error(blocked) if blocked is not None else Ok(request)


def hold_back(request: Request) -> Refusal | None:
    """Return why a request must not be sent to a server, or None.

    A request with a suspect, which may crash every server that runs it, is held back, except for
    one request at a time that finds out whether the suspect still does.
    """
    state = request.state
    now = state.clock()
    suspect = state.poison.blocking(request.traits, now)
    if suspect is None or (request.is_trial and request.sends == 0):
        return None
    attempt_id = request.head.attempt_id
    if (
        request.sends == 0
        and state.members.rank(suspect.mark.hex()) == 0
        and state.poison.take_trial(suspect, request.traits, now)
    ):
        request.is_trial = True
        state.log("suspect_trial", id=attempt_id, mark=suspect.mark.hex(), suspect=suspect.label)
        return None
    state.log("held_back", id=attempt_id, mark=suspect.mark.hex(), suspect=suspect.label)
    if request.possible_runs:
        return Refusal(Code.SERVER_CRASHED, f"mark {suspect.mark.hex()}")
    code = Code.PROMPT_HELD if suspect.is_part else Code.SUSPECTED
    return Refusal(code, f"mark {suspect.mark.hex()}")


def risks_server(request: Request) -> bool:
    """Return whether another server would be at risk if an interrupted request were sent again."""
    return not request.is_proven and request.state.poison.is_implicated(request.traits)


def hold_off(request: Request, rank: Rank, limit_s: float) -> Refusal | None:
    """Return why a request must not wait, or None if it may wait or something else is the cause.

    Where only the limits that servers named keep a request from them, the next times at which this
    daemon may send are known, and so are the waiting requests that go first.
    """
    state, service, regions = request.state, request.service, request.regions
    if not state.statements.in_force:
        return None
    now, competes = state.clock(), partial(_competes, service.name)
    before = state.admission_queue.count_before(rank, competes, now)
    slots = state.limited_slots(service, regions, before + 1)
    if slots is None:
        return None
    if len(slots) > before and slots[-1] <= now + limit_s:
        # Rounded up, so that the share is free when the queue is looked at.
        asyncio.get_running_loop().call_later(slots[-1] - now + CLOCK_STEP_S, state.pump)
        return None
    state.telemetry.add("limit_refusals")
    wait_s = 1.0 / state.replicas.limit_per_s(service.name, regions)
    if len(slots) > before:
        wait_s = slots[-1] - now
    return Refusal(Code.SERVERS_LIMITED, retry_after_s=wait_s)


def _competes(service: str, kind: object) -> bool:
    """Return whether waiting requests of a kind want the servers of a service."""
    return isinstance(kind, Kind) and kind.service == service


def _expected_wait_s(request: Request, rank: Rank) -> float | None:
    """Return how long a request would wait behind those before it; None if that is not known."""
    state, competes = request.state, partial(_competes, request.service.name)
    return state.admission_queue.expected_wait_s(rank, competes, state.clock())


def _retry_after_s(request: Request, rank: Rank, least_s: float) -> float:
    """Return when a refused request may come back: after those before it, as far as is known."""
    return min(MAX_RETRY_AFTER_S, max(least_s, _expected_wait_s(request, rank) or 0.0))


def _is_hopeless(request: Request, rank: Rank, limit_s: float) -> bool:
    """Return whether a request will certainly not be placed in the time that it may wait."""
    expected_s = _expected_wait_s(request, rank)
    return expected_s is not None and expected_s > HOPELESS_FACTOR * limit_s


def _must_not_wait(request: Request) -> bool:
    """Return whether a waiting request would not be sent to a server that becomes free."""
    state, now = request.state, request.state.clock()
    if not request.is_trial and state.poison.blocking(request.traits, now) is not None:
        return True
    return state.lifecycle.leaving and not state.lifecycle.can_finish(longest_s(request), now)


async def place(request: Request, choose: Callable[[], Entry | None]) -> Result[Entry, Refusal]:
    """Return the server for the next attempt.

    If every server is full, wait in the admission queue for a part of the remaining time.
    """
    state = request.state
    blocked = hold_back(request) or refuse_if_leaving(request)
    if blocked is not None:
        return Error(blocked)
    entry = choose()
    if entry is not None:
        return Ok(entry)
    if not state.replicas.has_servers(request.service.name, request.regions):
        return Error(Refusal(Code.NO_SERVER, retry_after_s=RETRY_AFTER_FULL_S))
    began = state.clock()
    target_at = request.inbound.arrived_at + request.route.target_s
    rank = Rank(request.priority, request.inbound.arrived_at, target_at)
    share = STREAM_WAIT_SHARE if request.service.engine is not None else CALL_WAIT_SHARE
    limit = max(0.0, min(share * request.left_s(), request.answer_time_s()))
    kind = Kind(request.service.name, request.regions, frozenset(request.tried))
    if state.admission_queue.is_full:
        after_s = _retry_after_s(request, rank, RETRY_AFTER_FULL_S)
        return Error(Refusal(Code.QUEUE_FULL, retry_after_s=after_s))
    limited = hold_off(request, rank, limit)
    if limited is not None:
        return Error(limited)
    if _is_hopeless(request, rank, limit):
        state.telemetry.add("hopeless_refusals")
        after_s = _retry_after_s(request, rank, RETRY_AFTER_S)
        return Error(Refusal(Code.QUEUE_FULL, "too many wait", after_s))
    entry = await state.admission_queue.wait(
        rank,
        Need(kind, request.tokens),
        choose,
        limit,
        is_withdrawn=partial(_must_not_wait, request),
    )
    request.waited_s += state.clock() - began
    # A suspect was found, a stop began, or its time passed, while the request waited.
    blocked = hold_back(request) or refuse_if_leaving(request)
    if blocked is not None:
        if entry is not None:
            entry.sends.withdraw()
        return Error(blocked)
    if entry is None:
        after_s = _retry_after_s(request, rank, RETRY_AFTER_S)
        return Error(Refusal(Code.WAITED_TOO_LONG, retry_after_s=after_s))
    return Ok(entry)
