"""Tracks the other daemons: which are live, ready or leaving, and where heartbeats are sent.

Each daemon sends datagrams with a rising counter. State that a daemon reports about itself replaces
anything relayed by others; a relayed state is accepted only if its counter is higher within the
same incarnation.

In a small fleet every daemon sends its heartbeat to every other one. In a large one, each region
has a few aggregators, which are the first ready daemons in the order of their hashed addresses. The
others report to them, and they send the region its total load. Aggregators are not elected; a
daemon with a different view briefly reports to another one.
"""

import heapq
from functools import lru_cache
from hashlib import blake2b
from random import Random
from typing import NamedTuple

DEAD_AFTER_S = 2.0  # without a heartbeat
LEAVING_DEAD_AFTER_S = 1.0
OTHER_REGION_DEAD_AFTER_S = 5.0  # for relayed state, which describes other regions in rotation
MAX_SILENCE_S = 0.9  # an aggregator or watcher that is silent for longer is replaced
FORGET_AFTER_S = 30.0
MAX_DAEMONS = 2048  # that are known at a time
DISCOVERY_S = 3.0  # after its start, a daemon has received the state of all others by then
MAX_FULL_MESH_PEERS = 16  # up to this many peers, each tick sends a heartbeat to all of them
AGGREGATORS = 3  # in each region of a larger fleet; all of them receive the reports
# Aggregators that send the region its total. The next one replaces a silent one without delay.
SENDING_AGGREGATORS = 2
OTHER_REGION_TARGETS = 3  # daemons of each other region that receive an aggregator's total
MAX_RELAYED = 8  # members described in one heartbeat
MAX_RELAYED_OWN_REGION = 24  # members of its own region in one heartbeat of an aggregator
MAX_RELAYED_OTHER_REGIONS = 12  # members of other regions in one heartbeat of an aggregator

STARTING, READY, LEAVING = 0, 1, 2


class MemberFacts(NamedTuple):
    """State of a daemon as reported by itself."""

    ip: str
    incarnation: int
    counter: int
    state: int
    zone: str
    region: str


class _Member(NamedTuple):
    facts: MemberFacts
    received_at: float
    store_lost: bool
    is_relayed: bool = False  # the latest state came through another daemon


class Candidate(NamedTuple):
    """A live daemon that may become a watcher or an aggregator."""

    facts: MemberFacts
    silent_s: float
    store_lost: bool


class Targets(NamedTuple):
    """Destination addresses of the heartbeats of one tick."""

    reports: list[str]  # receive this daemon's own load
    region: list[str]  # of the same region; receive the region's total from an aggregator
    other_regions: list[str]  # receive the same total


class Members:
    """The other daemons of the fleet.

    The live ones are indexed by region. The index is updated with each message and as entries
    expire, so that a lookup on the request path costs the same in a fleet of any size.
    """

    def __init__(
        self, own: MemberFacts, seeds: tuple[str, ...], started_at: float = float("-inf")
    ) -> None:
        self.own = own
        self.seeds = seeds
        self._started_at = started_at
        self._others: dict[str, _Member] = {}
        self._live: dict[str, dict[str, None]] = {}  # addresses by region
        self._live_count = 0
        self._expiries: list[tuple[float, str]] = []  # heap of (time, address)
        self._next_expiry: dict[str, float] = {}  # earliest entry by address
        self._contacts: set[str] = set()
        self._has_all_contacts = False  # every daemon in the members table is a contact
        self._pending_relays: dict[str, list[str]] = {}  # by kind: not yet relayed in this round
        self._ranks: dict[str, int] = {}  # cached by key until a daemon is added or forgotten

    def advance_counter(self, state: int) -> MemberFacts:
        """Increment this daemon's counter, set its state and return the result."""
        self.own = self.own._replace(counter=self.own.counter + 1, state=state)
        return self.own

    # State of other daemons.

    def on_heartbeat(self, facts: MemberFacts, now: float, *, store_lost: bool = False) -> bool:
        """Record a daemon's own state; return True if it is new, restarted or changed state."""
        old = self._others.get(facts.ip)
        if facts.ip == self.own.ip:
            return False
        if old is not None and old.facts.incarnation == facts.incarnation:
            if facts.counter <= old.facts.counter:
                return False
            self._record(_Member(facts, now, store_lost))
            return old.facts.state != facts.state
        return self._record(_Member(facts, now, store_lost))

    def on_relayed(self, facts: MemberFacts, now: float) -> None:
        """Record a daemon's state that another daemon relayed."""
        if facts.ip == self.own.ip:
            return
        old = self._others.get(facts.ip)
        if old is None:
            self.add_contact(facts.ip)
            self._record(_Member(facts, now, False, is_relayed=True))
        elif old.facts.incarnation == facts.incarnation and facts.counter > old.facts.counter:
            self._record(_Member(facts, now, old.store_lost, is_relayed=True))

    def is_known(self, ip: str) -> bool:
        """Return whether another daemon runs at an address, or may run there."""
        return ip in self._others or ip in self._contacts or ip in self.seeds

    def add_contact(self, ip: str) -> None:
        """Add an address at which a daemon may run."""
        if ip != self.own.ip and len(self._contacts) < MAX_DAEMONS:
            self._contacts.add(ip)

    def mark_contacts_complete(self) -> None:
        """Record that every daemon of the members table has been added as a contact."""
        self._has_all_contacts = True

    def tick(self, now: float) -> None:
        """Forget daemons that have been silent for longer than `FORGET_AFTER_S`."""
        self._expire(now)
        for ip in [i for i, m in self._others.items() if now - m.received_at > FORGET_AFTER_S]:
            del self._others[ip]
            self._ranks.clear()

    def _record(self, member: _Member) -> bool:
        """Record a daemon; return False if it is new and too many are known."""
        facts = member.facts
        old = self._others.get(facts.ip)
        if old is None and len(self._others) >= MAX_DAEMONS:
            return False
        if old is not None and old.facts.region != facts.region:
            self._remove_live(old.facts)
        if old is None:
            self._ranks.clear()
        self._others[facts.ip] = member
        live = self._live.setdefault(facts.region, {})
        if facts.ip not in live:
            live[facts.ip] = None
            self._live_count += 1
        self._schedule_expiry(facts.ip, member.received_at + self._max_silence_s(member))
        return True

    def _schedule_expiry(self, ip: str, at: float) -> None:
        """Schedule the liveness check of a daemon, unless an earlier one is scheduled."""
        if at < self._next_expiry.get(ip, float("inf")):
            self._next_expiry[ip] = at
            heapq.heappush(self._expiries, (at, ip))

    def _max_silence_s(self, member: _Member) -> float:
        """Return the time without a heartbeat after which a daemon counts as dead."""
        if member.facts.state == LEAVING:
            return LEAVING_DEAD_AFTER_S
        is_remote = member.is_relayed and member.facts.region != self.own.region
        return OTHER_REGION_DEAD_AFTER_S if is_remote else DEAD_AFTER_S

    def _remove_live(self, facts: MemberFacts) -> None:
        live = self._live.get(facts.region, {})
        if facts.ip in live:
            del live[facts.ip]
            self._live_count -= 1
            if not live:
                del self._live[facts.region]

    def _expire(self, now: float) -> None:
        """Remove daemons from the live ones whose state has expired."""
        while self._expiries and self._expiries[0][0] < now:
            at, ip = heapq.heappop(self._expiries)
            if self._next_expiry.get(ip) != at:
                continue  # replaced by an earlier entry
            del self._next_expiry[ip]
            member = self._others.get(ip)
            if member is None:
                continue
            expires_at = member.received_at + self._max_silence_s(member)
            if expires_at < now:
                self._remove_live(member.facts)
            else:
                self._schedule_expiry(ip, expires_at)

    # Liveness.

    def alive(self, now: float) -> list[MemberFacts]:
        """Return the other live daemons."""
        self._expire(now)
        return [self._others[ip].facts for live in self._live.values() for ip in live]

    def count(self, now: float) -> int:
        """Return the number of live daemons, including this one."""
        self._expire(now)
        return 1 + self._live_count

    # Shares of limits that apply to the fleet as a whole.

    def count_sharers(self, now: float) -> float:
        """Return the number of daemons that share the fleet's limits.

        Silent daemons count until they are forgotten, since they may be partitioned and still
        running. The number is infinite until this daemon has had the time to discover the others.
        """
        if now - self._started_at < DISCOVERY_S and not self._has_discovered_all():
            return float("inf")
        return 1 + len(self._others)

    def _has_discovered_all(self) -> bool:
        return self._has_all_contacts and self._contacts <= self._others.keys()

    def rank(self, key: str) -> int:
        """Return how many of the daemons that share limits precede this one for a key."""
        found = self._ranks.get(key)
        if found is None:
            own_key = sort_key(key + self.own.ip)
            found = self._ranks[key] = sum(sort_key(key + ip) < own_key for ip in self._others)
        return found

    def candidates(self, now: float) -> list[Candidate]:
        """Return the live daemons of this region as candidates for watchers and aggregators."""
        return [
            Candidate(member.facts, now - member.received_at, member.store_lost)
            for member in map(self._others.__getitem__, self.in_own_region(now))
        ]

    def leaders(self, key: str, count: int, now: float) -> list[str]:
        """Return the addresses of the first ready daemons in the order of a key."""
        ready = [facts.ip for facts in self.alive(now) if facts.state == READY]
        if self.own.state == READY:
            ready.append(self.own.ip)
        return heapq.nsmallest(count, ready, key=lambda ip: sort_key(key + ip))

    def position(self) -> int:
        """Return how many daemons come before this one in the order of their addresses."""
        known = {*self._contacts, *self._others} - {self.own.ip}
        return sum(ip < self.own.ip for ip in known)

    def first_without_store(self, key: str, now: float) -> str:
        """Return the first daemon of this region, in the order of a key, that lost the store.

        This daemon has lost it, too.
        """
        others = [ip for ip in self.in_own_region(now) if self._others[ip].store_lost]
        return min([self.own.ip, *others], key=lambda ip: sort_key(key + ip))

    def describe(self, now: float) -> list[dict[str, object]]:
        """Return the live daemons for the operators' dump."""
        return [
            {**facts._asdict(), "silent_s": round(now - self._others[facts.ip].received_at, 3)}
            for facts in self.alive(now)
        ]

    def in_own_region(self, now: float) -> list[str]:
        """Return the addresses of the live daemons of this region."""
        return self.in_regions({self.own.region}, now)

    def in_regions(self, regions: set[str], now: float) -> list[str]:
        """Return the addresses of the live daemons of some regions."""
        self._expire(now)
        return [ip for region in regions for ip in self._live.get(region, ())]

    def is_large(self, now: float) -> bool:
        """Return whether the fleet is too large for heartbeats to every daemon."""
        return self.count(now) > MAX_FULL_MESH_PEERS + 1

    # Destinations of messages.

    def aggregators(self, now: float) -> list[str]:
        """Return the aggregators of this region; this daemon may be one of them."""
        ready = [
            item.facts.ip
            for item in self.candidates(now)
            if item.facts.state == READY and item.silent_s < MAX_SILENCE_S
        ]
        if self.own.state == READY:
            ready.append(self.own.ip)
        return heapq.nsmallest(AGGREGATORS, ready, key=sort_key)

    def targets(self, now: float, rng: Random) -> Targets:
        """Return the destinations of this tick's heartbeats.

        One random daemon of the region also receives a report, so that membership still spreads in
        the region while all aggregators are silent. One silent address receives a report, so that
        a daemon that returned is found.
        """
        if not self.is_large(now):
            return Targets(
                [*self.in_regions(set(self._live), now), *self._pick_silent(rng)], [], []
            )
        own_region, aggregators = self.in_own_region(now), self.aggregators(now)
        reports = [ip for ip in aggregators if ip != self.own.ip]
        others = [ip for ip in own_region if ip not in reports]
        if self.own.ip in aggregators[:SENDING_AGGREGATORS]:
            return Targets(
                [*reports, *self._pick_silent(rng)], others, self._other_region_targets()
            )
        if others and self.own.ip not in aggregators:
            reports.append(rng.choice(others))
        return Targets([*reports, *self._pick_silent(rng)], [], [])

    def urgent_targets(self, now: float) -> list[str]:
        """Return the daemons that receive what cannot wait for a heartbeat.

        In a small fleet they are all others. In a large one they are the aggregators of the region
        and of the other ones, and for an aggregator also its region.
        """
        if not self.is_large(now):
            return self.in_regions(set(self._live), now)
        aggregators = self.aggregators(now)
        own_region = self.in_own_region(now) if self.own.ip in aggregators else aggregators
        found = dict.fromkeys([*own_region, *self._other_region_targets()])
        found.pop(self.own.ip, None)
        return list(found)

    def _other_region_targets(self) -> list[str]:
        """Return the first ready daemons of each other region."""
        found = []
        for region, live in self._live.items():
            if region != self.own.region:
                ready = [ip for ip in live if self._others[ip].facts.state == READY]
                found += heapq.nsmallest(OTHER_REGION_TARGETS, ready, key=sort_key)
        return found

    def _pick_silent(self, rng: Random) -> list[str]:
        """Return at most one address at which a daemon may run that is not known to be live."""
        silent = {
            ip
            for ip in (*self.seeds, *self._contacts, *self._others)
            if ip not in self._others or ip not in self._live.get(self._others[ip].facts.region, ())
        }
        silent.discard(self.own.ip)
        return [rng.choice(sorted(silent))] if silent else []

    def relayed(self, now: float, *, aggregator: bool = False) -> list[MemberFacts]:
        """Return the members to describe in the next heartbeat; all of them come in rotation.

        Parameters
        ----------
        aggregator
            Whether this daemon is an aggregator: its heartbeats describe more members, most of
            them of its own region.
        """
        if not aggregator:
            return self._next_of_kind("any", MAX_RELAYED, now)
        own_region = self._next_of_kind("near", MAX_RELAYED_OWN_REGION, now)
        return own_region + self._next_of_kind("far", MAX_RELAYED_OTHER_REGIONS, now)

    def _next_of_kind(self, kind: str, limit: int, now: float) -> list[MemberFacts]:
        """Return the next members of a kind in rotation.

        Parameters
        ----------
        kind
            "near" for this region, "far" for other regions, "any" for both.
        """
        self._expire(now)
        found: list[MemberFacts] = []
        pending = self._pending_relays.setdefault(kind, [])
        refilled = False
        while len(found) < limit and (pending or not refilled):
            if not pending:
                refilled = True
                known = {facts.ip for facts in found}
                pending[:] = [ip for ip in self._addresses_of_kind(kind, now) if ip not in known]
                continue
            member = self._others.get(pending.pop())
            if member is not None and member.facts.ip in self._live.get(member.facts.region, ()):
                found.append(member.facts)
        return found

    def _addresses_of_kind(self, kind: str, now: float) -> list[str]:
        own, all_regions = {self.own.region}, set(self._live)
        regions = {"near": own, "far": all_regions - own, "any": all_regions}[kind]
        return self.in_regions(regions, now)


@lru_cache(maxsize=4096)
def sort_key(name: str) -> bytes:
    """Return a hash that orders names, such as addresses, in the same way on all daemons."""
    return blake2b(name.encode(), digest_size=8).digest()
