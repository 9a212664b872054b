"""Start identities of backend servers and how long each has been known.

The ramp of a server follows its age. Nobody tells the age, so each daemon notes when it first saw
an identity. That moment is never before the true start, so every such age is a lower bound and the
highest bound of all daemons may be used: a cold server is never taken for warm, and a new owner
learns from holders and from the former owner that a server is warm.
"""

from lovageway.model import Service

MAX_IDENTITIES = 4


class Starts:
    """Identity in force and earlier ones for each server."""

    def __init__(self) -> None:
        self._since: dict[str, dict[str, float]] = {}  # server -> identity -> first seen
        self._current: dict[str, str] = {}
        self._ended: dict[str, list[str]] = {}
        self._doubted: dict[str, str] = {}
        self._restarted: dict[str, float] = {}  # server -> when its ramp was restarted

    def current(self, server_id: str) -> str:
        """Return the identity in force, "" when none is known."""
        return self._current.get(server_id, "")

    def reported(self, server_id: str, start_id: str, now: float) -> bool:
        """Take an identity from a load report; returns False when the report is late.

        An identity that was followed by another must be reported twice: its first report may have
        been read before the server ended.
        """
        if start_id in self._ended.get(server_id, ()):
            if self._doubted.get(server_id) != start_id:
                self._doubted[server_id] = start_id
                return False
            self._ended[server_id].remove(start_id)
            self._since[server_id][start_id] = now
        self._doubted.pop(server_id, None)
        self._put(server_id, start_id, now)
        return True

    def seen(self, server_id: str, start_id: str, now: float) -> bool:
        """Take an identity that an answer showed; tells whether it is a new one."""
        if start_id == self.current(server_id) or start_id in self._ended.get(server_id, ()):
            return False
        self._put(server_id, start_id, now)
        return True

    def age(self, server_id: str, start_id: str, now: float) -> float:
        """Return for how many seconds the identity has been known."""
        return now - self._note(server_id, start_id, now)

    def merge_age(self, server_id: str, start_id: str, age_s: float, now: float) -> None:
        """Learn for how long another daemon has known the identity."""
        since = self._note(server_id, start_id, now)
        self._since[server_id][start_id] = min(since, now - age_s)

    def restart_ramp(self, server_id: str, now: float) -> None:
        """Treat the server as cold from now on."""
        self._restarted[server_id] = now

    def slots(self, server_id: str, service: Service, now: float) -> int:
        """Return the number of requests that the server can take at its age."""
        start_id = self.current(server_id)
        age = self.age(server_id, start_id, now) if start_id else 0.0
        age = min(age, now - self._restarted.get(server_id, float("-inf")))
        part = min(1.0, age / service.ramp_s) if service.ramp_s > 0 else 1.0
        return int(service.cold_slots + (service.full_slots - service.cold_slots) * part)

    def forget(self, server_id: str) -> None:
        """Drop a server that is no longer listed."""
        for table in (self._since, self._current, self._ended, self._doubted, self._restarted):
            table.pop(server_id, None)

    def known(self) -> set[str]:
        """Return the servers of which something is known."""
        return self._since.keys() | self._restarted.keys()

    def _put(self, server_id: str, start_id: str, now: float) -> None:
        old = self.current(server_id)
        if old and old != start_id:
            self._ended.setdefault(server_id, []).append(old)
            del self._ended[server_id][:-MAX_IDENTITIES]
        self._current[server_id] = start_id
        self._note(server_id, start_id, now)

    def _note(self, server_id: str, start_id: str, now: float) -> float:
        known = self._since.setdefault(server_id, {})
        since = known.setdefault(start_id, now)
        while len(known) > MAX_IDENTITIES:
            del known[next(name for name in known if name != start_id)]
        return since
