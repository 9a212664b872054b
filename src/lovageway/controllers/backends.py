"""Backend servers: where they are, what they report and what runs there from this daemon."""

from typing import NamedTuple

from lovageway.controllers.base import Controller
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.membership import Membership
from lovageway.events import Emit, ReadLoad
from lovageway.model import LoadReport, Service, Vm

LOAD_INTERVAL_S = 0.5
LOAD_MAX_AGE_S = 3.0


MEMORY_PART = 0.9  # engines preempt when their last tenth of KV memory fills


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


class _Held(NamedTuple):
    slots: int
    memory: int


_NOTHING = _Held(0, 0)


class _Load(NamedTuple):
    report: LoadReport
    read_at: float


class Backends(Controller):
    """Owner of load reports and of this daemon's requests in flight at each server."""

    def __init__(self, membership: Membership, configuration: Configuration) -> None:
        self._membership = membership
        self._configuration = configuration
        self._loads: dict[str, _Load] = {}
        self._held: dict[str, _Held] = {}
        self._next_read = 0.0

    def candidates(self, service: str, now: float) -> list[Vm]:
        """Return the servers of the service that may receive new work."""
        snapshot = self._configuration.snapshot
        return [
            vm
            for vm in self._membership.vms
            if vm.role == "backend"
            and vm.service == service
            and vm.state == "live"
            and _enabled(snapshot.zones.get(vm.zone))
            and _enabled(snapshot.servers.get(vm.vm_id))
            and self._ready(vm.vm_id, now)
        ]

    def _ready(self, server_id: str, now: float) -> bool:
        load = self._loads.get(server_id)
        return bool(load and now - load.read_at <= LOAD_MAX_AGE_S and load.report.state == "ready")

    def credits(self, service: str, now: float) -> list[ServerView]:
        """Return the servers that this daemon may use for new work, with its free credit."""
        found = self._configuration.snapshot.services.get(service)
        if found is None:
            return []
        return [self._view(vm, found) for vm in self.candidates(service, now)]

    def _view(self, vm: Vm, service: Service) -> ServerView:
        report = self._loads[vm.vm_id].report
        held = self._held.get(vm.vm_id, _NOTHING)
        committed = max(held.memory, report.memory_used)
        return ServerView(
            vm,
            report.start_id,
            service.full_slots - held.slots,
            int(MEMORY_PART * report.memory_capacity) - committed,
            committed,
            report.memory_capacity,
            held.slots,
            service.full_slots,
        )

    def want(self, service: str, request_id: str, memory: int, now: float) -> None:
        """Note that a request found no credit; call it at each try of the request."""

    def take(self, server_id: str, slots: int, memory: int) -> None:
        """Use credit that the last `credits` showed."""
        held = self._held.get(server_id, _NOTHING)
        self._held[server_id] = _Held(held.slots + slots, held.memory + memory)

    def grow(self, server_id: str, memory: int) -> None:
        """Charge `memory` more tokens to a running request, also beyond the credit."""
        self.take(server_id, 0, memory)

    def release(self, server_id: str, slots: int, memory: int) -> None:
        """Give back what `take` and `grow` took for a request."""
        held = self._held[server_id]
        left = _Held(held.slots - slots, held.memory - memory)
        if left == _NOTHING:
            del self._held[server_id]
        else:
            self._held[server_id] = left

    def on_load(self, server_id: str, report: LoadReport | None, now: float) -> None:
        """Take a load report, or None when it could not be read."""
        if report is not None:
            self._loads[server_id] = _Load(report, now)

    def tick(self, now: float, emit: Emit) -> None:
        """Read load reports when due."""
        if now < self._next_read:
            return
        self._next_read = now + LOAD_INTERVAL_S
        for vm in self._membership.vms:
            if vm.role == "backend":
                emit(ReadLoad(vm.vm_id, vm.address))

    def dump(self, now: float) -> dict[str, object]:
        """Return load reports and requests in flight."""
        return {
            "in_flight": {server: held.slots for server, held in self._held.items()},
            "loads": {
                server: {**load.report._asdict(), "age_s": now - load.read_at}
                for server, load in self._loads.items()
            },
        }


def _enabled(rule: object) -> bool:
    return rule is None or bool(getattr(rule, "enabled", True))
