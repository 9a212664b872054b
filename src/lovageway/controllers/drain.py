"""Drain at a planned stop: announce it, keep serving, then refuse, finish and stop."""

from lovageway.controllers.base import Controller
from lovageway.controllers.discovery import TTL_S
from lovageway.controllers.membership import Membership
from lovageway.events import Count, Emit, StateChanged, Stopped

# A discovery answer that was sent just before the announcement arrived still names this daemon for
# TTL_S; the extra second covers the time that the announcement takes.
REFUSAL_DELAY_S = TTL_S + 1.0


class Drain(Controller):
    """State of this daemon's planned stop."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._refuse_at: float | None = None
        self._refusal_reported = False
        self._stopped = False

    def begin(self, now: float, emit: Emit) -> None:
        """Announce the stop; a second call has no effect."""
        if self._refuse_at is not None:
            return
        emit(Count("stops"))
        self._refuse_at = now + REFUSAL_DELAY_S
        self._membership.leave(now, emit)

    def is_refusing(self, now: float) -> bool:
        """Return whether new requests are refused."""
        return self._refuse_at is not None and now >= self._refuse_at

    def finish(self, running: int, now: float, emit: Emit) -> None:
        """Emit `Stopped` once new requests are refused and none is running."""
        if not self.is_refusing(now):
            return
        if not self._refusal_reported:
            self._refusal_reported = True
            emit(StateChanged("refusing_new_requests", {"running": running}))
        if not running and not self._stopped:
            self._stopped = True
            emit(Stopped())

    def dump(self, now: float) -> dict[str, object]:
        """Return the progress of the stop."""
        left = None if self._refuse_at is None else max(0.0, self._refuse_at - now)
        return {
            "leaving": self._refuse_at is not None,
            "refuses_in_s": left,
            "stopped": self._stopped,
        }
