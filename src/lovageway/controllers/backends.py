"""Backend servers: where they are, what they report and what runs there from this daemon."""

from typing import NamedTuple

from lovageway.controllers.base import Controller
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.membership import Membership
from lovageway.events import Emit, ReadLoad
from lovageway.model import LoadReport, Vm

LOAD_INTERVAL_S = 0.5
LOAD_MAX_AGE_S = 3.0


class _Load(NamedTuple):
    report: LoadReport
    read_at: float


class Backends(Controller):
    """Owner of load reports and of this daemon's requests in flight at each server."""

    def __init__(self, membership: Membership, configuration: Configuration) -> None:
        self._membership = membership
        self._configuration = configuration
        self._loads: dict[str, _Load] = {}
        self._in_flight: dict[str, int] = {}
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

    def in_flight(self, server_id: str) -> int:
        """Return the number of this daemon's requests at the server."""
        return self._in_flight.get(server_id, 0)

    def start(self, server_id: str) -> None:
        """Note that a request goes to the server."""
        self._in_flight[server_id] = self.in_flight(server_id) + 1

    def end(self, server_id: str) -> None:
        """Note that a request at the server has ended."""
        left = self.in_flight(server_id) - 1
        if left > 0:
            self._in_flight[server_id] = left
        else:
            self._in_flight.pop(server_id, None)

    def start_id(self, server_id: str) -> str:
        """Return the server's start identity as last reported, "" when unknown."""
        load = self._loads.get(server_id)
        return load.report.start_id if load else ""

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
            "in_flight": dict(self._in_flight),
            "loads": {
                server: {**load.report._asdict(), "age_s": now - load.read_at}
                for server, load in self._loads.items()
            },
        }


def _enabled(rule: object) -> bool:
    return rule is None or bool(getattr(rule, "enabled", True))
