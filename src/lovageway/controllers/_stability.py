"""Stability of owned backend servers: a stable one needs only one load report per second."""

from lovageway.model import LoadReport

STABLE_AFTER_S = 30.0  # without a disturbance
# Above this fraction of its capacity, memory fills too fast for the longer interval.
MAX_MEMORY_FRACTION = 0.5


class StabilityTracker:
    """Time of the last disturbance of each server.

    A server is disturbed by anything that calls for load reports at the short interval.
    """

    def __init__(self) -> None:
        self._disturbed_at: dict[str, float] = {}

    def is_stable(self, server_id: str, now: float) -> bool:
        """Return whether the server is tracked and was not disturbed for `STABLE_AFTER_S`."""
        return now - self._disturbed_at.get(server_id, now) >= STABLE_AFTER_S

    def record_disturbance(self, server_id: str, now: float) -> None:
        """Record a failure, a refusal, a restart of the server or a restart of its ramp."""
        self._disturbed_at[server_id] = now

    def reported(
        self, server_id: str, report: LoadReport | None, before: LoadReport | None, now: float
    ) -> None:
        """Record a reading of the load report, and a disturbance if it shows one.

        Parameters
        ----------
        server_id
            Server that was read.
        report
            Report that was read, None when the reading failed.
        before
            Previous report, None when there is none.
        now
            Time in seconds.
        """
        if report is None or before is None or not _is_undisturbed(report, before):
            self._disturbed_at[server_id] = now

    def forget(self, server_id: str) -> None:
        """Remove a server that no longer exists or that another daemon owns."""
        self._disturbed_at.pop(server_id, None)


def _is_undisturbed(report: LoadReport, before: LoadReport) -> bool:
    if report.start_id != before.start_id or report.preemptions != before.preemptions:
        return False
    if report.state != "ready" or report.waiting:
        return False
    return report.memory_used <= MAX_MEMORY_FRACTION * report.memory_capacity
