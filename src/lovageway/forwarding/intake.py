"""Brings the controllers up to date with rows of the store, whoever told of them."""

from collections.abc import Callable

from lovageway.forwarding.migration import LeavingRun
from lovageway.forwarding.model import Row
from lovageway.forwarding.replicas import Change
from lovageway.forwarding.state import State
from lovageway.platform import names, records

TABLES = (names.OPERATOR_TABLE, names.SERVERS_TABLE)


class Intake:
    """Takes changed rows.

    Parameters
    ----------
    on_ready
        Called once, when the daemon knows its configuration and servers.
    on_leaving_runs
        Called with a server that leaves and the generations that run there.
    """

    def __init__(
        self,
        state: State,
        on_ready: Callable[[], None],
        on_leaving_runs: Callable[[str, list[LeavingRun]], None],
    ) -> None:
        self._state = state
        self._on_ready = on_ready
        self._on_leaving_runs = on_leaving_runs

    def take(self, rows: list[Row], source: str, expired: bool) -> None:
        """Bring the controllers up to date with changed rows.

        Parameters
        ----------
        lapsed
            Whether removed servers may have lapsed while the store was away.
        """
        for row in rows:
            self._state.telemetry.add("rows_taken", source)
            if row.table == names.SERVERS_TABLE:
                self._take_server(row, expired)
            elif records.is_config(row):
                self._take_config(row, source)
            else:
                self._take_evacuation(row, source)
        if rows:
            self._state.pump()
        complete = all(self._state.mirror.complete(table) for table in TABLES)
        if complete and self._state.routes is not None and self._state.lifecycle.on_configured():
            self._state.configured.set()
            self._state.log("ready", version=self._state.routes.cfg.version, source=source)
            self._on_ready()

    def _take_config(self, row: Row, source: str) -> None:
        if row.value is None:
            return
        try:
            cfg = records.config(row)
        except records.UnreadableRowError as exc:
            self._unreadable(row, exc)
            return
        if self._state.configure(cfg):
            self._state.log(
                "config", version=cfg.version, row=row.version, source=source, n=len(cfg.routes)
            )

    def _take_evacuation(self, row: Row, source: str) -> None:
        zone = records.evacuated_zone(row)
        if zone is not None:
            self._state.replicas.set_evacuated(zone, row.value is not None)
            self._state.log("evacuation", zone=zone, on=row.value is not None, source=source)

    def _take_server(self, row: Row, expired: bool) -> None:
        now = self._state.clock()
        change: Change | None
        if row.value is None:
            change = self._state.replicas.on_removed(row.key, now, expired=expired)
        else:
            try:
                replica = records.replica(row, self._state.cfg.regions_of_zones)
            except records.UnreadableRowError as exc:
                self._unreadable(row, exc)
                return
            change = self._state.replicas.on_entry(replica, now)
        entry = self._state.replicas.get(row.key)
        if entry is not None:
            self._state.log(
                "server",
                server=row.key,
                row=row.version,
                leaving=entry.leaving,
                gone=row.value is None,
                cold_s=round(max(0.0, entry.cold_until - now), 2),
            )
        if change is not None and change.leaves:
            self.leaves(change)

    def leaves(self, change: Change) -> None:
        """Begin to move the generations on a server that leaves, and tell of them."""
        entry, now = change.entry, self._state.clock()
        self._state.migration_schedule.on_notice(entry.id, now)
        found = [run.on_leaving(entry) for run in list(self._state.streams)]
        runs = [run for run in found if run is not None]
        if runs:
            self._state.migration_schedule.on_runs(entry.id, runs, now)
            self._on_leaving_runs(entry.id, runs)

    def _unreadable(self, row: Row, exc: Exception) -> None:
        self._state.telemetry.add("rows_unreadable", row.table)
        self._state.log("row_unreadable", table=row.table, key=row.key, cause=str(exc))
