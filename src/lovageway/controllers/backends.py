"""Backend servers: their capacity as owner, and the credit of this daemon at each of them."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from lovageway.controllers._steadiness import Steadiness
from lovageway.controllers.base import Controller
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.holding import Holding
from lovageway.controllers.ledger import Kind, Limit
from lovageway.controllers.membership import Membership, rendezvous_weight
from lovageway.controllers.shares import Shares, Source
from lovageway.controllers.starts import Starts
from lovageway.events import AttemptFailed, Count, Emit, ReadLoad, SendPeer, StateChanged
from lovageway.messages import Message, ServerObservation
from lovageway.model import LoadReport, Snapshot, Vm, vm_of

LOAD_INTERVAL_S = 0.5
STEADY_INTERVAL_S = 1.0  # between reports of servers whose state has been steady
LOAD_MAX_AGE_S = 3.0
MEMORY_PART = 0.9  # engines preempt when their last tenth of KV memory fills
UNLIMITED_MEMORY = float(1 << 40)  # plain services report no memory
# Each open server costs a line of shares. 39 daemons in a zone with 104 servers of one model load
# these evenly with 16; with 12 some servers are in no subset (docs/measurements/limits.md).
MAX_SUBSET = 16
MIN_OPEN_SERVERS = 8  # shares of this many servers give routing a choice
REQUESTS_PER_OPEN_SERVER = 4
SERVICE_ACTIVE_S = 5.0
MAX_POLL_S = 3.0  # an answer that has not come by then never will
TELL_INTERVAL_S = 0.1  # a server that ends breaks many requests at once
SUSPEND_S = 0.25  # after a failed connection, doubled at each further one
MAX_SUSPEND_S = 4.0
FAILED_S = 1.0  # a server that failed so lately is asked for credit after the others
WANT_S = 0.5  # a waiting request asks another server after this time


class ServerView(NamedTuple):
    """What routing sees of a server that this daemon may use."""

    vm: Vm
    start_id: str
    slots_free: int  # requests that this daemon may still start there
    memory_free: int  # tokens of KV memory that this daemon may still commit; may be negative
    memory_committed: int  # by all daemons together, as last known
    memory_capacity: int  # 0: the server has no KV memory, memory_free does not count
    in_flight: int  # requests of this daemon
    limit: int  # requests of all daemons together


class _Load(NamedTuple):
    report: LoadReport
    read_at: float
    before: int  # requests there by the report before


class _Suspension(NamedTuple):
    until: float
    length: float


class _Want(NamedTuple):
    server_id: str
    at: float


class Backends(Controller, Source):
    """Owner of load reports, of the ramp of servers and of this daemon's credit.

    Parameters
    ----------
    membership, configuration
        Where the servers are and which may be used.
    shares
        Slots and memory of each server are the parts of the resource ``server:ID``.
    """

    kinds: tuple[Kind, ...] = ("held", "held")
    tells_limits = True

    def __init__(
        self, membership: Membership, configuration: Configuration, shares: Shares
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._shares = shares
        self._starts = Starts()
        self._loads: dict[str, _Load] = {}
        self._polled: dict[str, float] = {}  # server -> first poll by this daemon as owner
        self._asked: dict[str, float] = {}  # server -> poll that is not yet answered
        self._doubted: dict[str, float] = {}  # server -> when a connection to it failed
        self._told: dict[str, float] = {}  # server -> when its owner was told of a failure
        self._steadiness = Steadiness()
        self._next_read = 0.0
        self._suspended: dict[str, _Suspension] = {}
        self._wants: dict[str, _Want] = {}  # request -> server that it asked last
        self._active: dict[str, float] = {}  # service -> last request
        self._vms: tuple[Vm, ...] = ()
        self._servers: dict[str, Vm] = {}
        self._subsets: dict[str, tuple[Vm, ...]] = {}
        self._owned_servers: tuple[Vm, ...] = ()
        self._owned_at = -1  # ownership.changes at which they were found
        self._snapshot: Snapshot = configuration.snapshot

    # ---- for routing ----------------------------------------------------------------------------

    def credits(self, service: str, now: float) -> list[ServerView]:
        """Return the servers at which this daemon has a share, with what is free of it."""
        self._active[service] = now
        views = []
        for vm in self._subset(service):
            held = self._shares.held(_resource(vm.vm_id))
            if held is None or now >= held.expires or self._is_suspended(vm.vm_id, now):
                continue
            views.append(_view(vm, held, now))
        return views

    def has_other(self, service: str, tried: tuple[str, ...]) -> bool:
        """Tell whether this daemon may use a server that is not among those tried."""
        return any(vm.vm_id not in tried for vm in self._subset(service))

    def want(self, service: str, request_id: str, memory: int, now: float) -> None:
        """Note that a request found no credit; call it at each try of the request."""
        known = self._wants.get(request_id)
        if known is None or now - known.at > WANT_S:
            server_id = self._server_to_ask(service, now)
            if server_id is None:
                return
            known = self._wants[request_id] = _Want(server_id, now)
        amounts = (1.0, float(memory))
        self._shares.note_need(_resource(known.server_id), request_id, amounts, now)

    def take(self, server_id: str, slots: int, memory: int) -> None:
        """Use credit that the last `credits` showed."""
        held = self._shares.held(_resource(server_id))
        assert held is not None
        held.take((float(slots), float(memory)), held.used_at)

    def grow(self, server_id: str, memory: int) -> None:
        """Charge `memory` more tokens to a running request, also beyond the credit."""
        self.take(server_id, 0, memory)

    def release(self, server_id: str, slots: int, memory: int) -> None:
        """Give back what `take` and `grow` took for a request."""
        self._shares.release(_resource(server_id), (float(slots), float(memory)))

    def start_id(self, server_id: str) -> str:
        """Return the identity of the server's present run, "" when this daemon does not know it."""
        held = self._shares.held(_resource(server_id))
        return self._starts.current(server_id) or (held.start_id if held else "")

    # ---- what attempts show ---------------------------------------------------------------------

    def attempt_started(self, server_id: str, start_id: str, now: float, emit: Emit) -> None:
        """Learn the identity that answered."""
        self._suspended.pop(server_id, None)
        self._show(server_id, start_id, now, emit)

    def attempt_failed(self, server_id: str, event: AttemptFailed, now: float, emit: Emit) -> None:
        """Use no more credit of a server that failed until its owner grants anew."""
        if event.start_id:
            self._show(server_id, event.start_id, now, emit)
        if event.failure == "error":
            return
        # The server may have started anew; credit for its earlier run must not reach it.
        self._shares.void(_resource(server_id))
        if now - self._told.get(server_id, float("-inf")) >= TELL_INTERVAL_S:
            self._told[server_id] = now
            self._tell_owner(ServerObservation(server_id, ""), now, emit)
        if event.failure == "connect" and not self._is_suspended(server_id, now):
            # Requests that fail together count once.
            old = self._suspended.get(server_id)
            length = min(MAX_SUSPEND_S, 2 * old.length) if old else SUSPEND_S
            self._suspended[server_id] = _Suspension(now + length, length)
        if event.failure == "refused":
            news = ServerObservation(server_id, event.start_id or "", refused=True)
            self._tell_owner(news, now, emit)

    def _show(self, server_id: str, start_id: str, now: float, emit: Emit) -> None:
        if not start_id:
            return
        held = self._shares.held(_resource(server_id))
        granted_for = held.start_id if held else ""
        if start_id == granted_for or not self._starts.seen(server_id, start_id, now):
            return
        if granted_for:
            self._shares.void(_resource(server_id))
        self._tell_owner(ServerObservation(server_id, start_id), now, emit)

    def _tell_owner(self, news: ServerObservation, now: float, emit: Emit) -> None:
        owner = self._shares.ownership.owner(_resource(news.server_id))
        emit(Count("server_news"))
        if owner == self._membership.node:
            self._take_news(news, now, emit)
            return
        address = self._shares.ownership.address(owner)
        if address:
            emit(SendPeer(address, news))

    def _take_news(self, news: ServerObservation, now: float, emit: Emit) -> None:
        if news.server_id not in self._servers:
            return
        self._steadiness.disturb(news.server_id, now)
        if news.refused:
            self._starts.restart_ramp(news.server_id, now)
            emit(StateChanged("ramp_restarted", {"server": news.server_id, "why": "refused"}))
        elif not news.start_id:
            self._doubted[news.server_id] = now
            if self._shares.ownership.mine(_resource(news.server_id)):
                self._poll(self._servers[news.server_id], now, emit)
        elif self._starts.seen(news.server_id, news.start_id, now):
            emit(StateChanged("server_started", {"server": news.server_id}))
        held = self._shares.held(_resource(news.server_id))
        if held is not None and news.start_id and held.start_id != news.start_id:
            self._shares.void(_resource(news.server_id))

    # ---- owner ----------------------------------------------------------------------------------

    def limit(self, name: str, now: float) -> Limit | None:
        """Return slots and memory that all daemons together may use at a server."""
        vm = self._servers.get(name)
        service = self._configuration.snapshot.services.get(vm.service) if vm else None
        if vm is None or service is None:
            return None
        start_id = self._starts.current(name)
        load = self._loads.get(name)
        if not self._allowed(vm) or (load and load.report.state != "ready"):
            return Limit((0.0, 0.0), start_id)
        if load is None or now - load.read_at > LOAD_MAX_AGE_S:
            asked = self._polled.get(name)
            unknown = load is not None or (asked is not None and now - asked > LOAD_MAX_AGE_S)
            return Limit((1.0 if unknown else 0.0, _memory(load)), start_id)
        if name in self._doubted:
            return Limit((1.0, _memory(load)), start_id)
        report = load.report
        slots = self._starts.slots(name, service, now)
        if slots < service.full_slots:
            slots = max(0, slots - self._orphans(name, load, now))
        reported = (float(report.running + report.waiting), float(report.memory_used))
        # A server may start anew between two reports; unused credit of that moment must not be
        # more than it bears cold.
        spare = float(service.cold_slots)
        return Limit((float(slots), _memory(load)), start_id, reported, spare)

    def _orphans(self, server_id: str, load: _Load, now: float) -> int:
        """Return requests that run there although no share covers them.

        They are left by daemons that died or were cut off. Two reports in a row have to show them,
        since one may be older than the end of requests whose share is gone.
        """
        total = self._shares.total(_resource(server_id), now)
        there = min(load.before, load.report.running + load.report.waiting)
        return max(0, there - int(total[0])) if total else there

    def age(self, name: str, start_id: str, now: float) -> int:
        """Return for how many whole seconds this daemon has known the identity."""
        return int(self._starts.age(name, start_id, now)) if start_id else 0

    def told_age(self, name: str, start_id: str, age_s: int, now: float) -> None:
        """Learn for how long another daemon has known an identity."""
        if name in self._servers:
            self._starts.told_age(name, start_id, age_s, now)

    def on_load(self, server_id: str, report: LoadReport | None, now: float) -> None:
        """Take a load report, or None when it could not be read."""
        asked = self._asked.pop(server_id, now)
        old = self._loads.get(server_id)
        self._steadiness.reported(server_id, report, old.report if old else None, now)
        if report is None and now - asked >= LOAD_INTERVAL_S:
            self._next_read = now  # the report in hand has grown old meanwhile
        if report is None or not self._starts.reported(server_id, report.start_id, now):
            return
        if self._doubted.get(server_id, now) < asked:
            del self._doubted[server_id]
        before = old.report.running + old.report.waiting if old else 0
        self._loads[server_id] = _Load(report, now, before)

    # ---- events ---------------------------------------------------------------------------------

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Take news of servers."""
        if isinstance(msg, ServerObservation):
            self._take_news(msg, now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Read load reports of owned servers and keep shares of services in use."""
        self._take_configuration(now, emit)
        if now < self._next_read:
            return
        self._next_read = now + LOAD_INTERVAL_S
        for vm in self._owned():
            if not self._can_wait(vm, now):
                self._poll(vm, now, emit)
        self._wants = {key: want for key, want in self._wants.items() if now - want.at < 1.0}
        for service, used_at in list(self._active.items()):
            if now - used_at > SERVICE_ACTIVE_S:
                del self._active[service]
            else:
                self._open_shares(service, now)

    def _owned(self) -> tuple[Vm, ...]:
        """Return the servers that this daemon owns.

        Found again only when owners or the VM list change: a look at 5,200 servers takes 2 ms.
        """
        changes = self._shares.ownership.changes
        if self._owned_at != changes:
            self._owned_at = changes
            self._owned_servers = tuple(
                vm
                for server_id, vm in self._servers.items()
                if self._shares.ownership.mine(_resource(server_id))
            )
            for server_id in self._polled.keys() - {vm.vm_id for vm in self._owned_servers}:
                for table in (self._polled, self._loads, self._doubted):
                    table.pop(server_id, None)
                self._steadiness.forget(server_id)
        return self._owned_servers

    def _can_wait(self, vm: Vm, now: float) -> bool:
        """Tell whether a server's report is fresh enough, given how steady the server has been."""
        load = self._loads.get(vm.vm_id)
        service = self._snapshot.services.get(vm.service)
        # Reports come a moment after a round of readings, so the round before the due one is early.
        if load is None or now - load.read_at >= STEADY_INTERVAL_S - LOAD_INTERVAL_S / 2:
            return False
        if service is None or vm.vm_id in self._doubted or vm.vm_id in self._suspended:
            return False
        return (
            self._steadiness.lasts(vm.vm_id, now)
            and self._starts.slots(vm.vm_id, service, now) >= service.full_slots
        )

    def _poll(self, vm: Vm, now: float, emit: Emit) -> None:
        """Read the load report; one reading at a time, so that its age is known."""
        self._polled.setdefault(vm.vm_id, now)
        if now - self._asked.get(vm.vm_id, float("-inf")) > MAX_POLL_S:
            self._asked[vm.vm_id] = now
            emit(ReadLoad(vm.vm_id, vm.address))

    def dump(self, now: float) -> dict[str, object]:
        """Return load reports and requests in flight."""
        held = {vm_id: self._shares.held(_resource(vm_id)) for vm_id in self._servers}
        return {
            "in_flight": {vm_id: int(item.in_use[0]) for vm_id, item in held.items() if item},
            "start_ids": {vm_id: self._starts.current(vm_id) for vm_id in self._servers},
            "loads": {
                server: {**load.report._asdict(), "age_s": now - load.read_at}
                for server, load in self._loads.items()
            },
        }

    # ---- which servers --------------------------------------------------------------------------

    def _take_configuration(self, now: float, emit: Emit) -> None:
        """Follow the VM list and the operators' rules."""
        snapshot, vms = self._configuration.snapshot, self._membership.vms
        if snapshot is self._snapshot and vms is self._vms:
            return
        before = self._snapshot
        self._snapshot, self._vms = snapshot, vms
        self._servers = {vm.vm_id: vm for vm in vms if vm.role == "backend"}
        self._subsets = {}
        self._owned_at = -1
        for server_id in self._starts.known() - self._servers.keys():
            self._starts.forget(server_id)
            for table in (self._loads, self._asked, self._doubted, self._told, self._suspended):
                table.pop(server_id, None)
            self._steadiness.forget(server_id)
        for vm in self._servers.values():
            if not _enabled(before, vm) and _enabled(snapshot, vm):
                self._starts.restart_ramp(vm.vm_id, now)
                self._steadiness.disturb(vm.vm_id, now)
                emit(StateChanged("ramp_restarted", {"server": vm.vm_id, "why": "brought back"}))

    def _allowed(self, vm: Vm) -> bool:
        return vm.state == "live" and _enabled(self._snapshot, vm)

    def _subset(self, service: str) -> tuple[Vm, ...]:
        found = self._subsets.get(service)
        if found is None:
            servers = [vm for vm in self._servers.values() if vm.service == service]
            servers = [vm for vm in servers if self._allowed(vm)]
            servers.sort(key=self._preference)
            found = self._subsets[service] = tuple(servers[:MAX_SUBSET])
        return found

    def _preference(self, vm: Vm) -> tuple[bool, bytes]:
        # Keyed by VM, so that a restarted daemon uses the same servers.
        weight = rendezvous_weight(vm_of(self._membership.node), vm.vm_id)
        return vm.zone != self._membership.identity.zone, weight

    def _is_suspended(self, server_id: str, now: float) -> bool:
        found = self._suspended.get(server_id)
        return found is not None and now < found.until

    def _open_shares(self, service: str, now: float) -> None:
        """Keep shares of enough servers to choose from."""
        subset = self._subset(service)
        held = [self._shares.held(_resource(vm.vm_id)) for vm in subset]
        running = sum(int(item.in_use[0]) for item in held if item)
        for vm in subset[: max(MIN_OPEN_SERVERS, running // REQUESTS_PER_OPEN_SERVER)]:
            self._shares.holding(_resource(vm.vm_id), now).used_at = now

    def _server_to_ask(self, service: str, now: float) -> str | None:
        """Return the server that most probably has room and that fewest requests wait for."""
        asked: dict[str, int] = {}
        for want in self._wants.values():
            asked[want.server_id] = asked.get(want.server_id, 0) + 1

        def cost(vm: Vm) -> tuple[bool, float]:
            held = self._shares.held(_resource(vm.vm_id))
            known = held is not None and now < held.expires
            room = held.limits[0] - held.committed[0] if held and known else 1.0
            short = held is not None and held.short(now)
            failed = now - self._told.get(vm.vm_id, float("-inf")) < FAILED_S
            return short or failed, asked.get(vm.vm_id, 0) - room

        servers = [vm for vm in self._subset(service) if not self._is_suspended(vm.vm_id, now)]
        return min(servers, key=cost).vm_id if servers else None


def _resource(server_id: str) -> str:
    return f"server:{server_id}"


def _memory(load: _Load | None) -> float:
    if load is None or not load.report.memory_capacity:
        return UNLIMITED_MEMORY
    return float(math.floor(MEMORY_PART * load.report.memory_capacity))


def _view(vm: Vm, held: Holding, now: float) -> ServerView:
    limited = held.limits[1] < UNLIMITED_MEMORY
    return ServerView(
        vm,
        held.start_id,
        int(held.free(0, now)),
        int(held.free(1, now)),
        int(held.committed[1]),
        round(held.limits[1] / MEMORY_PART) if limited else 0,
        int(held.in_use[0]),
        int(held.limits[0]),
    )


def _enabled(snapshot: Snapshot, vm: Vm) -> bool:
    rules: Iterable[object] = (snapshot.zones.get(vm.zone), snapshot.servers.get(vm.vm_id))
    return all(rule is None or bool(getattr(rule, "enabled", True)) for rule in rules)
