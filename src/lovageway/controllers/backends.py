"""Backend servers: their capacity, computed by their owner, and this daemon's credit at each.

The credit at a server is what this daemon may still use there: the unused part of its share.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from lovageway.controllers._stability import StabilityTracker
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
STEADY_LOAD_INTERVAL_S = 1.0  # for servers whose state has been steady
MAX_LOAD_AGE_S = 3.0
USABLE_MEMORY_FRACTION = 0.9  # engines preempt when the last tenth of their KV cache fills
UNLIMITED_MEMORY = float(1 << 40)  # plain services report no memory
# Servers of one service that a daemon uses (its subset). Each one at which it keeps a share costs a
# line in its share requests. With 16, 39 daemons in a zone load its 104 servers of one model
# evenly; with 12, some servers are in no subset (docs/measurements/limits.md).
MAX_SUBSET = 16
MIN_OPEN_SERVERS = 8  # shares of this number of servers give routing a choice
REQUESTS_PER_OPEN_SERVER = 4
SERVICE_IDLE_S = 5.0
POLL_TIMEOUT_S = 3.0  # no answer arrives after this time
FAILURE_REPORT_INTERVAL_S = 0.1  # a server that ends breaks many requests at once
MIN_SUSPENSION_S = 0.25  # after a failed connection; doubled at each further failure
MAX_SUSPENSION_S = 4.0
RECENT_FAILURE_S = 1.0  # credit of a server that failed within this time is requested last
CREDIT_REQUEST_TTL_S = 0.5  # then credit of another server is requested for a waiting request


class ServerView(NamedTuple):
    """State of a server that this daemon may use, as routing sees it."""

    vm: Vm
    start_id: str
    slots_free: int  # requests that this daemon may still start there
    memory_free: int  # tokens of KV cache that this daemon may still commit; may be negative
    memory_committed: int  # by all daemons together, as last known
    memory_capacity: int  # 0 if the server has no KV cache; memory_free is then meaningless
    in_flight: int  # requests of this daemon
    limit: int  # requests of all daemons together


class _Load(NamedTuple):
    report: LoadReport
    read_at: float
    previous_requests: int  # requests on the server according to the previous report


class _Suspension(NamedTuple):
    until: float
    length: float


class _CreditRequest(NamedTuple):
    server_id: str
    sent_at: float


class Backends(Controller, Source):
    """Load reports, ramps of servers after their start, and this daemon's credit.

    Parameters
    ----------
    membership, configuration
        VM list, and the operators' rules on which servers may be used.
    shares
        Shares of the resources ``server:ID``, whose parts are slots and memory.
    """

    kinds: tuple[Kind, ...] = ("held", "held")
    sends_limits = True

    def __init__(
        self, membership: Membership, configuration: Configuration, shares: Shares
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._shares = shares
        self._starts = Starts()
        self._loads: dict[str, _Load] = {}
        self._polled_since: dict[str, float] = {}  # server -> first poll by this daemon as owner
        self._pending_polls: dict[str, float] = {}  # server -> start of the unanswered poll
        self._unconfirmed: dict[str, float] = {}  # server -> time of its last failed connection
        self._failed_at: dict[str, float] = {}  # server -> last failure reported to its owner
        self._stability = StabilityTracker()
        self._next_read = 0.0
        self._suspended: dict[str, _Suspension] = {}
        self._credit_requests: dict[str, _CreditRequest] = {}  # request id -> latest request
        self._active: dict[str, float] = {}  # service -> last request
        self._vms: tuple[Vm, ...] = ()
        self._servers: dict[str, Vm] = {}
        self._subsets: dict[str, tuple[Vm, ...]] = {}
        self._owned_servers: tuple[Vm, ...] = ()
        self._owned_version = -1  # `ownership.changes` for which `_owned_servers` was computed
        self._snapshot: Snapshot = configuration.snapshot

    # ---- interface for routing ------------------------------------------------------------------

    def credits(self, service: str, now: float) -> list[ServerView]:
        """Return the servers at which this daemon has a share, with its free amounts."""
        self._active[service] = now
        views = []
        for vm in self._subset(service):
            held = self._shares.find_holding(_resource(vm.vm_id))
            if held is None or now >= held.expires or self._is_suspended(vm.vm_id, now):
                continue
            views.append(_view(vm, held, now))
        return views

    def has_other(self, service: str, tried: tuple[str, ...]) -> bool:
        """Return whether this daemon may use a server that is not among those tried."""
        return any(vm.vm_id not in tried for vm in self._subset(service))

    def request_credit(self, service: str, request_id: str, memory: int, now: float) -> None:
        """Record that a request found no credit; call this at each try of the request."""
        known = self._credit_requests.get(request_id)
        if known is None or now - known.sent_at > CREDIT_REQUEST_TTL_S:
            server_id = self._choose_credit_server(service, now)
            if server_id is None:
                return
            known = self._credit_requests[request_id] = _CreditRequest(server_id, now)
        amounts = (1.0, float(memory))
        self._shares.record_need(_resource(known.server_id), request_id, amounts, now)

    def take(self, server_id: str, slots: int, memory: int) -> None:
        """Use credit that the last call of `credits` returned."""
        held = self._shares.find_holding(_resource(server_id))
        assert held is not None
        held.take((float(slots), float(memory)), held.used_at)

    def charge_memory(self, server_id: str, memory: int) -> None:
        """Charge `memory` more tokens to a running request, even beyond the credit."""
        self.take(server_id, 0, memory)

    def release(self, server_id: str, slots: int, memory: int) -> None:
        """Release what `take` and `charge_memory` took for a request."""
        self._shares.release(_resource(server_id), (float(slots), float(memory)))

    def start_id(self, server_id: str) -> str:
        """Return the start identity of the server's current run, "" when it is unknown."""
        held = self._shares.find_holding(_resource(server_id))
        return self._starts.current(server_id) or (held.start_id if held else "")

    # ---- observations of attempts ---------------------------------------------------------------

    def attempt_started(self, server_id: str, start_id: str, now: float, emit: Emit) -> None:
        """Record the start identity that answered an attempt."""
        self._suspended.pop(server_id, None)
        self._observe_start(server_id, start_id, now, emit)

    def attempt_failed(self, server_id: str, event: AttemptFailed, now: float, emit: Emit) -> None:
        """Stop using credit of a server that failed until its owner grants it again."""
        if event.start_id:
            self._observe_start(server_id, event.start_id, now, emit)
        if event.failure == "error":
            return
        # The server may have restarted; credit for its earlier run must not be used on the new one.
        self._shares.invalidate(_resource(server_id))
        if now - self._failed_at.get(server_id, float("-inf")) >= FAILURE_REPORT_INTERVAL_S:
            self._failed_at[server_id] = now
            self._send_to_owner(ServerObservation(server_id, ""), now, emit)
        if event.failure == "connect" and not self._is_suspended(server_id, now):
            # Requests that fail together count as one failure.
            old = self._suspended.get(server_id)
            length = min(MAX_SUSPENSION_S, 2 * old.length) if old else MIN_SUSPENSION_S
            self._suspended[server_id] = _Suspension(now + length, length)
        if event.failure in ("refused", "overloaded"):
            observation = ServerObservation(server_id, event.start_id or "", refused=True)
            self._send_to_owner(observation, now, emit)

    def _observe_start(self, server_id: str, start_id: str, now: float, emit: Emit) -> None:
        if not start_id:
            return
        held = self._shares.find_holding(_resource(server_id))
        granted_for = held.start_id if held else ""
        if start_id == granted_for or not self._starts.seen(server_id, start_id, now):
            return
        if granted_for:
            self._shares.invalidate(_resource(server_id))
        self._send_to_owner(ServerObservation(server_id, start_id), now, emit)

    def _send_to_owner(self, observation: ServerObservation, now: float, emit: Emit) -> None:
        owner = self._shares.ownership.owner(_resource(observation.server_id))
        emit(Count("server_news"))
        if owner == self._membership.node:
            self._apply_observation(observation, now, emit)
            return
        address = self._shares.ownership.address(owner)
        if address:
            emit(SendPeer(address, observation))

    def _apply_observation(self, observation: ServerObservation, now: float, emit: Emit) -> None:
        if observation.server_id not in self._servers:
            return
        self._stability.record_disturbance(observation.server_id, now)
        if observation.refused:
            self._starts.restart_ramp(observation.server_id, now)
            emit(
                StateChanged("ramp_restarted", {"server": observation.server_id, "why": "refused"})
            )
        elif not observation.start_id:
            self._unconfirmed[observation.server_id] = now
            if self._shares.ownership.owns(_resource(observation.server_id)):
                self._poll(self._servers[observation.server_id], now, emit)
        elif self._starts.seen(observation.server_id, observation.start_id, now):
            emit(StateChanged("server_started", {"server": observation.server_id}))
        held = self._shares.find_holding(_resource(observation.server_id))
        if held is not None and observation.start_id and held.start_id != observation.start_id:
            self._shares.invalidate(_resource(observation.server_id))

    # ---- owner ----------------------------------------------------------------------------------

    def limit(self, name: str, now: float) -> Limit | None:
        """Return the slots and the memory that all daemons together may use at a server."""
        vm = self._servers.get(name)
        service = self._configuration.snapshot.services.get(vm.service) if vm else None
        if vm is None or service is None:
            return None
        start_id = self._starts.current(name)
        load = self._loads.get(name)
        if not self._is_usable(vm) or (load and load.report.state != "ready"):
            return Limit((0.0, 0.0), start_id)
        if load is None or now - load.read_at > MAX_LOAD_AGE_S:
            since = self._polled_since.get(name)
            unknown = load is not None or (since is not None and now - since > MAX_LOAD_AGE_S)
            return Limit((1.0 if unknown else 0.0, _memory(load)), start_id)
        if name in self._unconfirmed:
            return Limit((1.0, _memory(load)), start_id)
        report = load.report
        slots = self._starts.slots(name, service, now)
        if slots < service.full_slots:
            slots = max(0, slots - self._uncovered_requests(name, load, now))
        reported = (float(report.running + report.waiting), float(report.memory_used))
        # A server may restart between two reports. Credit that is unused at that moment must not
        # exceed the capacity of a cold server.
        spare = float(service.cold_slots)
        return Limit((float(slots), _memory(load)), start_id, reported, spare)

    def _uncovered_requests(self, server_id: str, load: _Load, now: float) -> int:
        """Return the number of requests on the server that no share covers.

        They are left over from daemons that died or were cut off. Two consecutive reports have to
        show them, since a single report may be older than the end of requests whose share is gone.
        """
        total = self._shares.total(_resource(server_id), now)
        requests = min(load.previous_requests, load.report.running + load.report.waiting)
        return max(0, requests - int(total[0])) if total else requests

    def age(self, name: str, start_id: str, now: float) -> int:
        """Return how long this daemon has known the start identity, in full seconds."""
        return int(self._starts.age(name, start_id, now)) if start_id else 0

    def merge_age(self, name: str, start_id: str, age_s: int, now: float) -> None:
        """Record how long another daemon has known a start identity, in seconds."""
        if name in self._servers:
            self._starts.merge_age(name, start_id, age_s, now)

    def on_load(self, server_id: str, report: LoadReport | None, now: float) -> None:
        """Apply a load report, or None when it could not be read."""
        polled_at = self._pending_polls.pop(server_id, now)
        old = self._loads.get(server_id)
        self._stability.reported(server_id, report, old.report if old else None, now)
        if report is None and now - polled_at >= LOAD_INTERVAL_S:
            self._next_read = now  # retry at once, because the last report has become stale
        if report is None or not self._starts.reported(server_id, report.start_id, now):
            return
        if self._unconfirmed.get(server_id, now) < polled_at:
            del self._unconfirmed[server_id]
        previous_requests = old.report.running + old.report.waiting if old else 0
        self._loads[server_id] = _Load(report, now, previous_requests)

    # ---- events ---------------------------------------------------------------------------------

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Apply another daemon's observation of a server."""
        if isinstance(msg, ServerObservation):
            self._apply_observation(msg, now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Read load reports of owned servers and keep shares of services in use."""
        self._apply_configuration(now, emit)
        if now < self._next_read:
            return
        self._next_read = now + LOAD_INTERVAL_S
        for vm in self._list_owned():
            if not self._can_wait(vm, now):
                self._poll(vm, now, emit)
        self._credit_requests = {
            key: request
            for key, request in self._credit_requests.items()
            if now - request.sent_at < 1.0
        }
        for service, used_at in list(self._active.items()):
            if now - used_at > SERVICE_IDLE_S:
                del self._active[service]
            else:
                self._keep_shares_open(service, now)

    def _list_owned(self) -> tuple[Vm, ...]:
        """Return the servers that this daemon owns.

        The result is cached until owners or the VM list change, because a scan of 5,200 servers
        takes 2 ms.
        """
        changes = self._shares.ownership.changes
        if self._owned_version != changes:
            self._owned_version = changes
            self._owned_servers = tuple(
                vm
                for server_id, vm in self._servers.items()
                if self._shares.ownership.owns(_resource(server_id))
            )
            for server_id in self._polled_since.keys() - {vm.vm_id for vm in self._owned_servers}:
                for table in (self._polled_since, self._loads, self._unconfirmed):
                    table.pop(server_id, None)
                self._stability.forget(server_id)
        return self._owned_servers

    def _can_wait(self, vm: Vm, now: float) -> bool:
        """Return whether the next poll of a steady server can wait for a later round."""
        load = self._loads.get(vm.vm_id)
        service = self._snapshot.services.get(vm.service)
        # Reports arrive shortly after a round of polls started, so at the round at which a server
        # has to be polled its report is slightly younger than the interval.
        if load is None or now - load.read_at >= STEADY_LOAD_INTERVAL_S - LOAD_INTERVAL_S / 2:
            return False
        if service is None or vm.vm_id in self._unconfirmed or vm.vm_id in self._suspended:
            return False
        return (
            self._stability.is_stable(vm.vm_id, now)
            and self._starts.slots(vm.vm_id, service, now) >= service.full_slots
        )

    def _poll(self, vm: Vm, now: float, emit: Emit) -> None:
        """Read the load report, with one read at a time so that the age of a report is known."""
        self._polled_since.setdefault(vm.vm_id, now)
        if now - self._pending_polls.get(vm.vm_id, float("-inf")) > POLL_TIMEOUT_S:
            self._pending_polls[vm.vm_id] = now
            emit(ReadLoad(vm.vm_id, vm.address))

    def dump(self, now: float) -> dict[str, object]:
        """Return load reports and requests in flight."""
        held = {vm_id: self._shares.find_holding(_resource(vm_id)) for vm_id in self._servers}
        return {
            "in_flight": {vm_id: int(item.in_use[0]) for vm_id, item in held.items() if item},
            "start_ids": {vm_id: self._starts.current(vm_id) for vm_id in self._servers},
            "loads": {
                server: {**load.report._asdict(), "age_s": now - load.read_at}
                for server, load in self._loads.items()
            },
        }

    # ---- choice of servers ----------------------------------------------------------------------

    def _apply_configuration(self, now: float, emit: Emit) -> None:
        """Apply changes of the VM list and of the operators' rules."""
        snapshot, vms = self._configuration.snapshot, self._membership.vms
        if snapshot is self._snapshot and vms is self._vms:
            return
        before = self._snapshot
        self._snapshot, self._vms = snapshot, vms
        self._servers = {vm.vm_id: vm for vm in vms if vm.role == "backend"}
        self._subsets = {}
        self._owned_version = -1
        for server_id in self._starts.known() - self._servers.keys():
            self._starts.forget(server_id)
            for table in (
                self._loads,
                self._pending_polls,
                self._unconfirmed,
                self._failed_at,
                self._suspended,
            ):
                table.pop(server_id, None)
            self._stability.forget(server_id)
        for vm in self._servers.values():
            if not _is_enabled(before, vm) and _is_enabled(snapshot, vm):
                self._starts.restart_ramp(vm.vm_id, now)
                self._stability.record_disturbance(vm.vm_id, now)
                emit(StateChanged("ramp_restarted", {"server": vm.vm_id, "why": "brought back"}))

    def _is_usable(self, vm: Vm) -> bool:
        return vm.state == "live" and _is_enabled(self._snapshot, vm)

    def _subset(self, service: str) -> tuple[Vm, ...]:
        found = self._subsets.get(service)
        if found is None:
            servers = [vm for vm in self._servers.values() if vm.service == service]
            servers = [vm for vm in servers if self._is_usable(vm)]
            servers.sort(key=self._preference)
            found = self._subsets[service] = tuple(servers[:MAX_SUBSET])
        return found

    def _preference(self, vm: Vm) -> tuple[bool, bytes]:
        # The weight depends on the VM, so that a restarted daemon uses the same servers.
        weight = rendezvous_weight(vm_of(self._membership.node), vm.vm_id)
        return vm.zone != self._membership.identity.zone, weight

    def _is_suspended(self, server_id: str, now: float) -> bool:
        found = self._suspended.get(server_id)
        return found is not None and now < found.until

    def _keep_shares_open(self, service: str, now: float) -> None:
        """Keep shares of a sufficient number of servers in use, so that routing has a choice."""
        subset = self._subset(service)
        held = [self._shares.find_holding(_resource(vm.vm_id)) for vm in subset]
        running = sum(int(item.in_use[0]) for item in held if item)
        for vm in subset[: max(MIN_OPEN_SERVERS, running // REQUESTS_PER_OPEN_SERVER)]:
            self._shares.get_or_create_holding(_resource(vm.vm_id), now).used_at = now

    def _choose_credit_server(self, service: str, now: float) -> str | None:
        """Return the server that most probably has free slots and fewest waiting requests."""
        waiting: dict[str, int] = {}
        for request in self._credit_requests.values():
            waiting[request.server_id] = waiting.get(request.server_id, 0) + 1

        def cost(vm: Vm) -> tuple[bool, float]:
            held = self._shares.find_holding(_resource(vm.vm_id))
            known = held is not None and now < held.expires
            free_slots = held.limits[0] - held.committed[0] if held and known else 1.0
            short = held is not None and held.is_short(now)
            failed = now - self._failed_at.get(vm.vm_id, float("-inf")) < RECENT_FAILURE_S
            return short or failed, waiting.get(vm.vm_id, 0) - free_slots

        servers = [vm for vm in self._subset(service) if not self._is_suspended(vm.vm_id, now)]
        return min(servers, key=cost).vm_id if servers else None


def _resource(server_id: str) -> str:
    return f"server:{server_id}"


def _memory(load: _Load | None) -> float:
    if load is None or not load.report.memory_capacity:
        return UNLIMITED_MEMORY
    return float(math.floor(USABLE_MEMORY_FRACTION * load.report.memory_capacity))


def _view(vm: Vm, held: Holding, now: float) -> ServerView:
    limited = held.limits[1] < UNLIMITED_MEMORY
    return ServerView(
        vm,
        held.start_id,
        int(held.free(0, now)),
        int(held.free(1, now)),
        int(held.committed[1]),
        round(held.limits[1] / USABLE_MEMORY_FRACTION) if limited else 0,
        int(held.in_use[0]),
        int(held.limits[0]),
    )


def _is_enabled(snapshot: Snapshot, vm: Vm) -> bool:
    rules: Iterable[object] = (snapshot.zones.get(vm.zone), snapshot.servers.get(vm.vm_id))
    return all(rule is None or bool(getattr(rule, "enabled", True)) for rule in rules)
