"""Which owned backend servers have been steady for so long that a report a second is enough."""

from lovageway.model import LoadReport

STEADY_AFTER_S = 30.0
# Above this part memory fills too fast for the longer interval.
MEMORY_PART = 0.5


class StabilityTracker:
    """Last moment at which each server gave a reason to be watched closely."""

    def __init__(self) -> None:
        self._disturbed: dict[str, float] = {}

    def is_stable(self, server_id: str, now: float) -> bool:
        """Tell whether nothing has disturbed the server for a while."""
        return now - self._disturbed.get(server_id, now) >= STEADY_AFTER_S

    def record_disturbance(self, server_id: str, now: float) -> None:
        """Note a failure, a refusal, a new start or a restart of the ramp."""
        self._disturbed[server_id] = now

    def reported(
        self, server_id: str, report: LoadReport | None, before: LoadReport | None, now: float
    ) -> None:
        """Take a reading of the load report, None when it failed, and the report before it."""
        if report is None or before is None or not _is_calm(report, before):
            self._disturbed[server_id] = now

    def forget(self, server_id: str) -> None:
        """Drop a server that is gone or that another daemon owns."""
        self._disturbed.pop(server_id, None)


def _is_calm(report: LoadReport, before: LoadReport) -> bool:
    if report.start_id != before.start_id or report.preemptions != before.preemptions:
        return False
    if report.state != "ready" or report.waiting:
        return False
    return report.memory_used <= MEMORY_PART * report.memory_capacity
