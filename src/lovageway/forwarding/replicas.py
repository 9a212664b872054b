"""Tracks the backend servers: store entries, observed health, cold starts, evacuated zones."""

from collections.abc import Callable
from math import isinf
from typing import NamedTuple

from lovageway.forwarding.model import Bounds, Replica, Service
from lovageway.forwarding.traits import server_token

# A live server's entry that expired during a store outage is back within this time.
EXPIRY_GRACE_S = 2.0
MIN_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 4.0
FAILURE_HALF_LIFE_S = 4.0
LATENCY_GAIN = 0.2  # weight of the newest answer in the moving average
COLD_SAFETY_FACTOR = 0.8  # used part of the bound on requests to a cold server


class Entry:
    """One backend server and this daemon's observations of it."""

    def __init__(self, replica: Replica, now: float) -> None:
        self.replica = replica
        # Identifies this start of the server in datagrams.
        self.token = server_token(replica.id, replica.started_at_ms)
        self.cold_until = now + replica.cold_s
        self.leaving_since: float | None = now if replica.leaving else None
        self.removed_at: float | None = None
        self.removal_due_at: float | None = None
        self.suspended_until = 0.0
        self.suspensions = 0
        self.latency_s = 0.0
        self.limit_per_s: float | None = None  # as the server named it last
        self._failures = 0.0
        self._failures_at = now
        self._cold_sends: list[float] = []

    @property
    def id(self) -> str:
        """Return the server's id."""
        return self.replica.id

    @property
    def leaving(self) -> bool:
        """Return whether the server announced that it leaves, or its entry was removed."""
        return self.leaving_since is not None or self.removed_at is not None

    def failures(self, now: float) -> float:
        """Return the number of recent failures, decayed with a half-life of FAILURE_HALF_LIFE_S."""
        if not self._failures:
            return 0.0
        halvings = (now - self._failures_at) / FAILURE_HALF_LIFE_S
        return self._failures * float(0.5**halvings)

    def on_failure(self, now: float, weight: float = 1.0) -> None:
        """Record an answer that failed or did not arrive."""
        self._failures = self.failures(now) + weight
        self._failures_at = now

    def on_answer(self, latency_s: float, now: float) -> None:
        """Record a successful answer."""
        self.suspensions = 0
        self.suspended_until = 0.0
        old = self.latency_s or latency_s
        self.latency_s = old + LATENCY_GAIN * (latency_s - old)

    def on_unreachable(self, now: float) -> None:
        """Suspend the server, twice as long each time, after a connection could not be opened."""
        self.suspended_until = now + min(MAX_SUSPENSION_S, MIN_SUSPENSION_S * 2**self.suspensions)
        self.suspensions += 1

    def is_below_cold_limit(self, per_s: int, now: float) -> bool:
        """Return whether fewer than `per_s` requests were sent to it cold in the last second."""
        self._cold_sends = [at for at in self._cold_sends if now - at < 1.0]
        return len(self._cold_sends) < per_s

    def on_sent(self, now: float) -> None:
        """Record a request that is sent, while the server is cold and for a second after."""
        if now < self.cold_until + 1.0:
            self._cold_sends.append(now)


class Change(NamedTuple):
    """The effect of a changed entry on a server."""

    entry: Entry
    leaves: bool  # whether the server started to leave with this change


class Replicas:
    """All backend servers by id."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self._entries: dict[str, Entry] = {}
        self._evacuated: set[str] = set()

    def get(self, server: str) -> Entry | None:
        """Return a server's entry."""
        return self._entries.get(server)

    def on_entry(self, replica: Replica, now: float) -> Change:
        """Apply a new or changed entry of a server.

        A new start time or address means a new server process, so that earlier observations are
        dropped.
        """
        old = self._entries.get(replica.id)
        if old is None or (old.replica.started_at_ms, old.replica.address) != (
            replica.started_at_ms,
            replica.address,
        ):
            entry = self._entries[replica.id] = Entry(replica, now)
            return Change(entry, replica.leaving)
        was_leaving = old.leaving
        old.replica = replica
        old.removed_at = old.removal_due_at = None
        old.leaving_since = (old.leaving_since or now) if replica.leaving else None
        if replica.cold_s > 0:
            old.cold_until = max(old.cold_until, now + replica.cold_s)
        return Change(old, replica.leaving and not was_leaving)

    def on_removed(self, server: str, now: float, *, expired: bool) -> Change | None:
        """Apply the removal of an entry.

        Parameters
        ----------
        expired
            The entry expired during a store outage; the server may be alive and write it again
            within EXPIRY_GRACE_S.
        """
        entry = self._entries.get(server)
        if entry is None:
            return None
        was_leaving = entry.leaving
        if expired and not was_leaving:
            entry.removal_due_at = now + EXPIRY_GRACE_S
            return None
        entry.removed_at = now
        return Change(entry, not was_leaving)

    def accepts_work(self, entry: Entry) -> bool:
        """Return whether a server is not leaving and its zone is not evacuated."""
        return not entry.leaving and entry.replica.zone not in self._evacuated

    def set_evacuated(self, zone: str, evacuated: bool) -> None:
        """Stop or resume sending to the servers of a zone."""
        (self._evacuated.add if evacuated else self._evacuated.discard)(zone)

    def tick(self, now: float) -> list[Change]:
        """Drop removed servers; return those whose expired entry did not come back in time."""
        changes = []
        for server, entry in list(self._entries.items()):
            if entry.removal_due_at is not None and now >= entry.removal_due_at:
                entry.removal_due_at, entry.removed_at = None, now
                changes.append(Change(entry, True))
            elif entry.removed_at is not None and now - entry.removed_at > 30.0:
                del self._entries[server]
        return changes

    def usable(
        self,
        service: Service,
        regions: frozenset[str],
        daemons: float,
        now: float,
        rank: Callable[[str], int] = lambda server: 0,
    ) -> list[Entry]:
        """Return the servers of a service that may get new work now.

        Parameters
        ----------
        daemons
            How many daemons share the bound on requests to a cold server.
        rank
            Returns, for a server id, how many daemons come before this one in the server's order.
        """
        return [
            entry
            for entry in self._entries.values()
            if entry.replica.service == service.name
            and self.accepts_work(entry)
            and entry.suspended_until <= now
            and (not regions or entry.replica.region in regions)
            and self._can_accept_more(entry, service, daemons, now, rank)
        ]

    def has_servers(self, service: str, regions: frozenset[str]) -> bool:
        """Return whether any server of the service accepts work, even if it is suspended now."""
        return any(
            entry.replica.service == service
            and self.accepts_work(entry)
            and (not regions or entry.replica.region in regions)
            for entry in self._entries.values()
        )

    def _can_accept_more(
        self,
        entry: Entry,
        service: Service,
        daemons: float,
        now: float,
        rank: Callable[[str], int],
    ) -> bool:
        """Return whether a server may get one more request; only a cold server has a bound.

        The bound holds for all daemons together, and each has an equal share of it. Where a share
        is less than one request a second, the first daemons in an order that differs by server get
        one each and the others send nothing.
        """
        if now >= entry.cold_until or service.cold_per_s <= 0:
            return True
        bound = service.cold_per_s * self.bounds.cold_overshoot + self.bounds.cold_tolerance
        total = max(1, int(COLD_SAFETY_FACTOR * bound))
        share = int(total / daemons)
        if share == 0 and not isinf(daemons):
            share = int(rank(entry.id) < total)
        return entry.is_below_cold_limit(share, now)

    def all(self) -> list[Entry]:
        """Return every entry."""
        return list(self._entries.values())
