"""Phases of a daemon: starting, ready, leaving.

A leaving daemon is not ready and the directory no longer returns it, but clients use earlier
answers of the directory for a while. It still serves new requests, rejects those that cannot end
within its grace period, and closes its listener once the earlier answers have expired.
"""

from math import inf

from lovageway.forwarding.members import LEAVING, READY, STARTING
from lovageway.forwarding.model import Bounds

# Share of the grace period that requests may use; the end of the process aborts any later ones.
GRACE_SHARE = 0.8
# Share of the grace period after which requests that are not answered get their final answer.
ANSWER_SHARE = 0.9
ACCEPT_SHARE = 0.55  # share of the grace period during which new connections are accepted
IDLE_CLOSE_DELAY_S = 2.2  # from the start of the stop until idle connections are closed


class Lifecycle:
    """The phase of this daemon."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.state = STARTING
        self._leaving_at: float | None = None

    def on_configured(self) -> bool:
        """Become ready: configuration and servers are loaded. Return False if not starting."""
        if self.state != STARTING:
            return False
        self.state = READY
        return True

    def on_stop(self, now: float) -> bool:
        """Start a planned stop; return False if one is in progress."""
        if self.state == LEAVING:
            return False
        self.state, self._leaving_at = LEAVING, now
        return True

    @property
    def leaving(self) -> bool:
        """Return whether a planned stop has started."""
        return self.state == LEAVING

    def can_finish(self, expected_s: float, now: float) -> bool:
        """Return whether a request of an expected duration can end before the process does."""
        return expected_s < self.serving_left_s(now)

    def is_during_stop(self, at: float) -> bool:
        """Return whether a time lies within a planned stop."""
        return self._leaving_at is not None and at >= self._leaving_at

    def serving_left_s(self, now: float) -> float:
        """Return how long requests may still run here, in seconds; infinite without a stop."""
        if self._leaving_at is None:
            return inf
        return self._leaving_at + GRACE_SHARE * self.bounds.grace_s - now

    @property
    def answer_by(self) -> float:
        """Return the time by which every request has its answer; infinite without a stop."""
        if self._leaving_at is None:
            return inf
        return self._leaving_at + ANSWER_SHARE * self.bounds.grace_s

    def accepts_connections(self, now: float) -> bool:
        """Return whether new connections are accepted."""
        if self._leaving_at is None:
            return True
        return now < self._leaving_at + ACCEPT_SHARE * self.bounds.grace_s

    def closes_idle_connections(self, now: float) -> bool:
        """Return whether idle connections are closed."""
        return self._leaving_at is not None and now > self._leaving_at + IDLE_CLOSE_DELAY_S
