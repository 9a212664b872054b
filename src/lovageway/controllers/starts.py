"""Start identities of backend servers and how long each has been known.

A start identity names one run of a server; the slots that a server may use ramp up with the age of
its run. Servers do not report that age, so each daemon records when it first saw an identity. That
moment is never before the true start, so every recorded age is a lower bound and the highest bound
of all daemons can be used: a cold server is never treated as warm, and a new owner learns from
holders and from the former owner that a server is warm.
"""

from lovageway.model import Service

MAX_IDENTITIES = 4  # remembered for each server


class Starts:
    """Current and earlier start identities of each server."""

    def __init__(self) -> None:
        self._since: dict[str, dict[str, float]] = {}  # server -> identity -> first seen
        self._current: dict[str, str] = {}
        self._ended: dict[str, list[str]] = {}
        self._unconfirmed: dict[str, str] = {}
        self._ramp_restarted_at: dict[str, float] = {}  # server -> when its ramp was restarted

    def current(self, server_id: str) -> str:
        """Return the current identity, "" when none is known."""
        return self._current.get(server_id, "")

    def reported(self, server_id: str, start_id: str, now: float) -> bool:
        """Record the identity of a load report; return False when the report may be outdated.

        An identity that was succeeded by another counts as current again only when it is reported
        twice, because the first report may have been read before that run of the server ended.
        """
        if start_id in self._ended.get(server_id, ()):
            if self._unconfirmed.get(server_id) != start_id:
                self._unconfirmed[server_id] = start_id
                return False
            self._ended[server_id].remove(start_id)
            self._since[server_id][start_id] = now
        self._unconfirmed.pop(server_id, None)
        self._set_current(server_id, start_id, now)
        return True

    def seen(self, server_id: str, start_id: str, now: float) -> bool:
        """Record the identity shown by an answer; return whether it is a new one."""
        if start_id == self.current(server_id) or start_id in self._ended.get(server_id, ()):
            return False
        self._set_current(server_id, start_id, now)
        return True

    def age(self, server_id: str, start_id: str, now: float) -> float:
        """Return the number of seconds for which the identity has been known."""
        return now - self._first_seen_at(server_id, start_id, now)

    def merge_age(self, server_id: str, start_id: str, age_s: float, now: float) -> None:
        """Raise the known age of the identity to the one that another daemon reported."""
        since = self._first_seen_at(server_id, start_id, now)
        self._since[server_id][start_id] = min(since, now - age_s)

    def restart_ramp(self, server_id: str, now: float) -> None:
        """Restart the server's ramp, as if it had started cold now."""
        self._ramp_restarted_at[server_id] = now

    def slots(self, server_id: str, service: Service, now: float) -> int:
        """Return the number of concurrent requests that the server can run at its age."""
        start_id = self.current(server_id)
        age = self.age(server_id, start_id, now) if start_id else 0.0
        age = min(age, now - self._ramp_restarted_at.get(server_id, float("-inf")))
        fraction = min(1.0, age / service.ramp_s) if service.ramp_s > 0 else 1.0
        return int(service.cold_slots + (service.full_slots - service.cold_slots) * fraction)

    def forget(self, server_id: str) -> None:
        """Drop the state of a server that is no longer listed."""
        for table in (
            self._since,
            self._current,
            self._ended,
            self._unconfirmed,
            self._ramp_restarted_at,
        ):
            table.pop(server_id, None)

    def known(self) -> set[str]:
        """Return the servers for which state is kept."""
        return self._since.keys() | self._ramp_restarted_at.keys()

    def _set_current(self, server_id: str, start_id: str, now: float) -> None:
        old = self.current(server_id)
        if old and old != start_id:
            self._ended.setdefault(server_id, []).append(old)
            del self._ended[server_id][:-MAX_IDENTITIES]
        self._current[server_id] = start_id
        self._first_seen_at(server_id, start_id, now)

    def _first_seen_at(self, server_id: str, start_id: str, now: float) -> float:
        known = self._since.setdefault(server_id, {})
        since = known.setdefault(start_id, now)
        while len(known) > MAX_IDENTITIES:
            del known[next(name for name in known if name != start_id)]
        return since
