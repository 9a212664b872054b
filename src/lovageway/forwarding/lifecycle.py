"""Phases of a daemon: starting, ready, leaving.

A leaving daemon is not ready and the directory no longer names it, but clients keep answers for a
while. It serves what still comes, refuses work that cannot end before its grace period does, and
closes its listener once answers of the directory have run out.
"""

from lovageway.forwarding.members import LEAVING, READY, STARTING
from lovageway.forwarding.model import Bounds

GRACE_USED = 0.8  # of the grace period; what still runs then is cut by the end of the process
LISTEN_SHARE = 0.55  # of the grace period during which new connections are accepted
IDLE_CLOSE_S = 2.2  # kept connections without a request are closed so long after the stop began


class Lifecycle:
    """State of this daemon."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.state = STARTING
        self._leaving_at: float | None = None

    def on_configured(self) -> bool:
        """Note that a configuration and the servers are known; True if it is ready from now on."""
        if self.state != STARTING:
            return False
        self.state = READY
        return True

    def on_stop(self, now: float) -> bool:
        """Begin a planned stop; a second one changes nothing."""
        if self.state == LEAVING:
            return False
        self.state, self._leaving_at = LEAVING, now
        return True

    @property
    def leaving(self) -> bool:
        """Return whether a planned stop began."""
        return self.state == LEAVING

    def can_finish(self, expected_s: float, now: float) -> bool:
        """Return whether a request of an expected duration can end before the process does."""
        if self._leaving_at is None:
            return True
        return now + expected_s < self._leaving_at + GRACE_USED * self.bounds.grace_s

    def accepts_connections(self, now: float) -> bool:
        """Return whether new connections are accepted."""
        if self._leaving_at is None:
            return True
        return now < self._leaving_at + LISTEN_SHARE * self.bounds.grace_s

    def closes_idle_connections(self, now: float) -> bool:
        """Return whether kept connections without a request are closed."""
        return self._leaving_at is not None and now > self._leaving_at + IDLE_CLOSE_S
