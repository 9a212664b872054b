"""Tracks the backend servers: store entries, observed health, cold starts, evacuated zones."""

from collections.abc import Callable
from typing import NamedTuple

from lovageway.forwarding import fleetshare, statements
from lovageway.forwarding.fleetshare import Bound, SendLog
from lovageway.forwarding.model import Bounds, Replica, ServerLoad, Service
from lovageway.forwarding.statements import Statements
from lovageway.forwarding.traits import server_token

# A live server's entry that expired during a store outage is back within this time.
EXPIRY_GRACE_S = 2.0
MIN_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 4.0
SLOWNESS_HALF_LIFE_S = 1.0  # of what a server said of its slowness
SLOWNESS_GAIN = 0.4  # weight of the newest figure
MAX_BACK_OFF_S = 30.0  # a server that asks for more is tried again after this time
FAILURE_HALF_LIFE_S = 4.0
LATENCY_GAIN = 0.2  # weight of the newest answer in the moving average
COLD_SAFETY_FACTOR = 0.8  # used part of the bound on requests to a cold server


class Entry:
    """One backend server and this daemon's observations of it."""

    def __init__(self, replica: Replica, now: float) -> None:
        self.replica = replica
        # Identifies this start of the server in datagrams.
        self.token = server_token(replica.id, replica.started_at_ms)
        self.known_at = now
        self.cold_until = now + replica.cold_s
        self.leaving_since: float | None = now if replica.leaving else None
        self.said_leaving_at: float | None = None  # when it said so in an answer
        self.back_off_until = 0.0  # until then it asked this daemon for no requests
        self.removed_at: float | None = None
        self.removal_due_at: float | None = None
        self.suspended_until = 0.0
        self.suspensions = 0
        self.latency_s = 0.0
        self.sends = SendLog()  # while a bound on the requests to this server holds
        self.held_off = 0  # times that it was passed over for the limit that it named
        self._slowness = 1.0
        self._slowness_at = now
        self._failures = 0.0
        self._failures_at = now

    @property
    def id(self) -> str:
        """Return the server's id."""
        return self.replica.id

    @property
    def leaving(self) -> bool:
        """Return whether the server announced that it leaves, or its entry was removed."""
        return (
            self.leaving_since is not None
            or self.said_leaving_at is not None
            or self.removed_at is not None
        )

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

    def on_load(self, load: ServerLoad, now: float) -> None:
        """Record the load that the server reports."""
        if load.slowness is None:
            return
        old = self.slowness(now)
        self._slowness = old + SLOWNESS_GAIN * (load.slowness - old)
        self._slowness_at = now

    def slowness(self, now: float) -> float:
        """Return how long work takes there now, as a multiple of the usual time.

        The figure changes many times a second; what was heard a while ago counts as usual.
        """
        if self._slowness == 1.0:
            return 1.0
        kept = float(0.5 ** ((now - self._slowness_at) / SLOWNESS_HALF_LIFE_S))
        return 1.0 + kept * (self._slowness - 1.0)

    def on_back_off(self, seconds: float, now: float) -> None:
        """Send the server nothing for a time, as it asked in a refusal."""
        until = now + min(MAX_BACK_OFF_S, seconds)
        self.back_off_until = max(self.back_off_until, until)

    def on_unreachable(self, now: float) -> None:
        """Suspend the server, twice as long each time, after a connection could not be opened."""
        self.suspended_until = now + min(MAX_SUSPENSION_S, MIN_SUSPENSION_S * 2**self.suspensions)
        self.suspensions += 1


class Change(NamedTuple):
    """The effect of a changed entry on a server."""

    entry: Entry
    leaves: bool  # whether the server started to leave with this change


class Replicas:
    """All backend servers by id."""

    def __init__(self, bounds: Bounds, said: Statements | None = None) -> None:
        self.bounds = bounds
        self.statements = said if said is not None else Statements()
        self._entries: dict[str, Entry] = {}
        self._evacuated: set[str] = set()
        self.on_sent: Callable[[Entry], None] = lambda entry: None

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
            if old is not None:
                self.statements.drop(old.token)
            entry = self._entries[replica.id] = Entry(replica, now)
            return Change(entry, replica.leaving)
        was_leaving = old.leaving
        old.replica = replica
        old.removed_at = old.removal_due_at = None
        old.leaving_since = (old.leaving_since or now) if replica.leaving else None
        if replica.cold_s > 0:
            old.cold_until = max(old.cold_until, now + replica.cold_s)
        return Change(old, replica.leaving and not was_leaving)

    def on_said_leaving(self, entry: Entry, now: float) -> Change:
        """Record that a server says that it leaves; this holds until it starts again."""
        was_leaving = entry.leaving
        entry.said_leaving_at = now
        return Change(entry, not was_leaving)

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
                self.statements.drop(entry.token)
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
            How many daemons share the bounds on requests to a server.
        rank
            Returns, for a server id, how many daemons come before this one in the server's order.
        """
        limited = self.statements.in_force > 0
        evacuated, name, found = self._evacuated, service.name, []
        for entry in self._entries.values():  # written out: it runs for each request
            server = entry.replica
            if server.service != name or entry.leaving or server.zone in evacuated:
                continue
            if entry.suspended_until > now or entry.back_off_until > now:
                continue
            if regions and server.region not in regions:
                continue
            if (now < entry.cold_until or limited) and not self._can_accept_more(
                entry, service, daemons, now, rank
            ):
                continue
            found.append(entry)
        return found

    def accepting(self, service: str) -> list[Entry]:
        """Return the servers of a service that accept work, even if they are suspended now."""
        return [
            entry
            for entry in self._entries.values()
            if self._may_serve(entry, service, frozenset())
        ]

    def has_servers(self, service: str, regions: frozenset[str]) -> bool:
        """Return whether any server of the service accepts work, even if it is suspended now."""
        return any(self._may_serve(entry, service, regions) for entry in self._entries.values())

    def _may_serve(self, entry: Entry, service: str, regions: frozenset[str]) -> bool:
        return (
            entry.replica.service == service
            and self.accepts_work(entry)
            and (not regions or entry.replica.region in regions)
        )

    def _can_accept_more(
        self,
        entry: Entry,
        service: Service,
        daemons: float,
        now: float,
        rank: Callable[[str], int],
    ) -> bool:
        """Return whether this daemon's shares of a server's bounds leave room for a request."""
        if not self._has_room(entry, self._cold_bound(entry, service, now), daemons, now, rank):
            return False
        if not self.is_within_limit(entry, daemons, now, rank):
            entry.held_off += 1
            return False
        return True

    def is_within_limit(
        self, entry: Entry, daemons: float, now: float, rank: Callable[[str], int]
    ) -> bool:
        """Return whether this daemon's share of the limit that a server named leaves room."""
        return self._has_room(entry, self._limit_bound(entry), daemons, now, rank)

    @staticmethod
    def _has_room(
        entry: Entry,
        bound: Bound | None,
        daemons: float,
        now: float,
        rank: Callable[[str], int],
    ) -> bool:
        if bound is None:
            return True
        allowed = fleetshare.share(bound.requests, daemons, rank(entry.id))
        return entry.sends.count(bound.window_s, now) < allowed

    def _cold_bound(self, entry: Entry, service: Service, now: float) -> Bound | None:
        if now >= entry.cold_until or service.cold_per_s <= 0:
            return None
        count = service.cold_per_s * self.bounds.cold_overshoot + self.bounds.cold_tolerance
        return Bound(max(1, int(COLD_SAFETY_FACTOR * count)), 1.0)

    def _limit_bound(self, entry: Entry) -> Bound | None:
        limit = self.statements.limit(entry.token)
        return statements.bound(limit) if limit is not None else None

    def on_send(self, entry: Entry, now: float) -> None:
        """Record a request that is about to be sent."""
        self.on_sent(entry)
        bound = self._limit_bound(entry)
        if bound is not None or now < entry.cold_until + 1.0:
            entry.sends.forget(now - max(1.0, bound.window_s if bound is not None else 0.0))
            entry.sends.add(now)

    def limited_slots(
        self,
        service: Service,
        regions: frozenset[str],
        daemons: float,
        now: float,
        count: int,
        rank: Callable[[str], int] = lambda server: 0,
    ) -> list[float] | None:
        """Return when this daemon may send the next requests of a service.

        Parameters
        ----------
        count
            How many requests.

        Returns
        -------
        list of float or None
            The first `count` times in order; fewer if this daemon has no share. None if something
            other than limits keeps requests from one of the servers.
        """
        found: list[float] = []
        for entry in self._entries.values():
            if not self._may_serve(entry, service.name, regions):
                continue
            bound = self._limit_bound(entry)
            if bound is None or self.is_within_limit(entry, daemons, now, rank):
                return None
            allowed = fleetshare.share(bound.requests, daemons, rank(entry.id))
            found += entry.sends.slots(allowed, bound.window_s, count, now)
        return sorted(found)[:count]

    def limit_per_s(self, service: str, regions: frozenset[str]) -> float:
        """Return the sum of the limits that the servers of a service named."""
        return sum(
            max(statements.MIN_LIMIT_PER_S, self.statements.limit(entry.token) or 0.0)
            for entry in self._entries.values()
            if self._may_serve(entry, service, regions)
        )

    def all(self) -> list[Entry]:
        """Return every entry."""
        return list(self._entries.values())
