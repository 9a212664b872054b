"""Applies changed rows to the controllers, whether they came from the store or from a peer."""

from collections.abc import Callable

from lovageway.forwarding.migration import LeavingRun
from lovageway.forwarding.model import Row
from lovageway.forwarding.replicas import Change
from lovageway.forwarding.state import State
from lovageway.platform import names, records

MAX_CAUSE = 300  # characters
TABLES = (names.OPERATOR_TABLE, names.SERVERS_TABLE)


class RowHandler:
    """Applies changed rows to the controllers.

    Parameters
    ----------
    on_ready
        Called once, when the configuration and the servers have been received.
    send_leaving_runs
        Called with a leaving server and the generations that run there.
    on_rollout_row
        Called with a service and the row that orders its roll-out.
    """

    def __init__(
        self,
        state: State,
        on_ready: Callable[[], None],
        send_leaving_runs: Callable[[str, list[LeavingRun]], None],
        on_rollout_row: Callable[[str, Row], None],
    ) -> None:
        self._state = state
        self._on_ready = on_ready
        self._send_leaving_runs = send_leaving_runs
        self._on_rollout_row = on_rollout_row

    def apply(self, rows: list[Row], source: str, may_be_expired: bool) -> None:
        """Apply changed rows to the controllers.

        Parameters
        ----------
        source
            Where the rows came from, "store" or "peer".
        may_be_expired
            Whether removed servers may have expired while the store was unreachable.
        """
        for row in rows:
            self._state.telemetry.add("rows_taken", source)
            try:
                self._apply_row(row, source, may_be_expired)
            except Exception as exc:  # one row must not keep the others from being applied
                self._report_unreadable(row, exc)
        if rows:
            self._state.pump()
        complete = all(self._state.mirror.is_complete(table) for table in TABLES)
        if complete and self._state.routes is not None and self._state.lifecycle.on_configured():
            self._state.configured.set()
            self._state.log("ready", version=self._state.routes.cfg.version, source=source)
            self._on_ready()

    def _apply_row(self, row: Row, source: str, may_be_expired: bool) -> None:
        if row.table == names.SERVERS_TABLE:
            self._apply_server(row, may_be_expired)
        elif records.is_config(row):
            self._apply_config(row, source)
        elif (service := records.rollout_service(row)) is not None:
            self._on_rollout_row(service, row)
        else:
            self._apply_evacuation(row, source)

    def _apply_config(self, row: Row, source: str) -> None:
        if row.value is None:
            return
        try:
            cfg = records.config(row)
        except records.UnreadableRowError as exc:
            self._report_unreadable(row, exc)
            return
        if self._state.configure(cfg, row.era):
            self._state.log(
                "config", version=cfg.version, row=row.version, source=source, n=len(cfg.routes)
            )

    def _apply_evacuation(self, row: Row, source: str) -> None:
        zone = records.evacuated_zone(row)
        if zone is not None:
            self._state.replicas.set_evacuated(zone, row.value is not None)
            self._state.log("evacuation", zone=zone, on=row.value is not None, source=source)

    def _apply_server(self, row: Row, may_be_expired: bool) -> None:
        now = self._state.clock()
        change: Change | None
        if row.value is None:
            change = self._state.replicas.on_removed(row.key, now, expired=may_be_expired)
        else:
            try:
                replica = records.replica(row, self._state.cfg.regions_of_zones)
            except records.UnreadableRowError as exc:
                self._report_unreadable(row, exc)
                return
            old = self._state.replicas.get(row.key)
            change = self._state.replicas.on_entry(replica, now)
            if old is not None and old is not change.entry and not old.leaving:
                self._state.on_server_lost(old.token)
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
            self.on_server_leaving(change)

    def on_server_leaving(self, change: Change) -> None:
        """Start to migrate the generations on a leaving server, and send them to other daemons."""
        entry, now = change.entry, self._state.clock()
        self._state.migration_schedule.on_notice(entry.id, now)
        found = [run.on_engine_shutdown(entry) for run in list(self._state.streams)]
        runs = [run for run in found if run is not None]
        if runs:
            self._state.migration_schedule.on_runs(entry.id, runs, now)
            self._send_leaving_runs(entry.id, runs)

    def _report_unreadable(self, row: Row, exc: Exception) -> None:
        self._state.telemetry.add("rows_unreadable", row.table)
        self._state.log("row_unreadable", table=row.table, key=row.key, cause=str(exc)[:MAX_CAUSE])
