"""The configuration in force: contracts, services, zones and rules for backend servers."""

from collections.abc import Mapping

from pydantic import TypeAdapter

from lovageway.controllers.base import Controller
from lovageway.events import Emit, ReadRows, Row, StateChanged, TableAnswered
from lovageway.model import EMPTY_SNAPSHOT, Contract, ServerRule, Service, Snapshot, Zone

HEAD_KEY = "config/head"
ROW_PREFIX = "config/"
READ_INTERVAL_S = 1.0


class Configuration(Controller):
    """Owner of the snapshot that requests are served under."""

    def __init__(self) -> None:
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self._next_read = 0.0
        self._reads = 0

    def ready(self) -> bool:
        """Tell whether a configuration has been read."""
        return self.snapshot.version > 0

    def status(self, now: float) -> tuple[int, float]:
        """Return version and freshness in seconds (-1: unknown), as told to peers."""
        return self.snapshot.version, -1.0

    def tick(self, now: float, emit: Emit) -> None:
        """Read the rows when due."""
        if now >= self._next_read:
            self._next_read = now + READ_INTERVAL_S
            self._reads += 1
            emit(ReadRows(f"config-{self._reads}", (), ROW_PREFIX))

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Put rows in force when their version is higher."""
        if event.status != "ok" or HEAD_KEY not in event.rows:
            return
        snapshot = build_snapshot(event.rows)
        if snapshot.version > self.snapshot.version:
            self.snapshot = snapshot
            emit(StateChanged("config_in_force", {"version": snapshot.version}))

    def dump(self, now: float) -> dict[str, object]:
        """Return the version and the rows in force."""
        return {"version": self.snapshot.version, "rows": dump_snapshot(self.snapshot)}


def build_snapshot(rows: Mapping[str, Row]) -> Snapshot:
    """Return the snapshot that the rows under ``config/`` describe.

    Raises
    ------
    pydantic.ValidationError
        If a row does not fit its type.
    """
    tables: dict[str, dict[str, object]] = {name: {} for name in _TYPES}
    for key, row in rows.items():
        _, _, rest = key.partition("/")
        table, _, name = rest.partition("/")
        if table in _TYPES:
            tables[table][name] = _TYPES[table].validate_python(row.value)
    version = _VERSION.validate_python(rows[HEAD_KEY].value["version"])
    return Snapshot(
        version, tables["contract"], tables["service"], tables["zone"], tables["server"]  # type: ignore[arg-type]
    )


def dump_snapshot(snapshot: Snapshot) -> dict[str, dict[str, object]]:
    """Return the rows of a snapshot as plain values."""
    return {
        name: {key: row._asdict() for key, row in getattr(snapshot, f"{name}s").items()}
        for name in _TYPES
    }


_VERSION = TypeAdapter(int)
_TYPES: dict[str, TypeAdapter[object]] = {
    "contract": TypeAdapter(Contract),
    "service": TypeAdapter(Service),
    "zone": TypeAdapter(Zone),
    "server": TypeAdapter(ServerRule),
}
