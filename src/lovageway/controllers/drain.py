"""Planned stop: announce, serve until callers have heard of it, refuse, wait, stop."""

from lovageway.controllers.base import Controller
from lovageway.controllers.discovery import TTL_S
from lovageway.controllers.membership import Membership
from lovageway.events import Count, Emit, StateChanged, Stopped

# A caller may have asked just before the announcement arrived; one second covers its way.
SERVE_ON_S = TTL_S + 1.0


class Drain(Controller):
    """Owner of the planned stop of this daemon."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._refuse_at: float | None = None
        self._refusing = False
        self._stopped = False

    def begin(self, now: float, emit: Emit) -> None:
        """Announce the stop; a second request for it changes nothing."""
        if self._refuse_at is not None:
            return
        emit(Count("stops"))
        self._refuse_at = now + SERVE_ON_S
        self._membership.leave(now, emit)

    def refusing(self, now: float) -> bool:
        """Tell whether new requests are refused."""
        return self._refuse_at is not None and now >= self._refuse_at

    def finish(self, running: int, now: float, emit: Emit) -> None:
        """Report the end of the stop once new requests are refused and none is running."""
        if not self.refusing(now):
            return
        if not self._refusing:
            self._refusing = True
            emit(StateChanged("refusing_new_requests", {"running": running}))
        if not running and not self._stopped:
            self._stopped = True
            emit(Stopped())

    def dump(self, now: float) -> dict[str, object]:
        """Return how far the stop has come."""
        left = None if self._refuse_at is None else max(0.0, self._refuse_at - now)
        return {
            "leaving": self._refuse_at is not None,
            "refuses_in_s": left,
            "stopped": self._stopped,
        }
