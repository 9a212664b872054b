"""Controller of the other daemons: who is alive, ready or leaving, and who gets which message.

Each daemon sends datagrams with a rising counter. What a daemon says of itself replaces anything
that others said of it; what is relayed counts only if it is newer within the same incarnation.

In a small fleet every daemon tells every other one. In a large one, each region has a few
collectors, which are the first of its daemons in a fixed order: the others report to them, and they
tell the region what all of it adds up to. Nobody appoints a collector; a daemon whose view differs
reports to another one for a moment.
"""

import heapq
from functools import lru_cache
from hashlib import blake2b
from random import Random
from typing import NamedTuple

DEAD_AFTER_S = 2.0  # without news of a daemon
LEAVING_DEAD_AFTER_S = 1.0
FAR_DEAD_AFTER_S = 5.0  # for daemons of other regions that others tell of, in turn
SILENT_S = 0.9  # a collector or watcher that was silent for so long is replaced
FORGET_AFTER_S = 30.0
SETTLE_S = 3.0  # after its start a daemon has heard of all others, through collectors
FULL_MESH_MOST = 16  # up to so many peers, each tick reaches all of them
COLLECTORS = 3  # in each region of a larger fleet; all of them get the reports
SENDERS = 2  # of the collectors tell the region its sum; the next one replaces a silent one at once
ELSEWHERE = 3  # daemons of each other region that a collector tells of its region
RELAYED_MOST = 8  # members described in one message
RELAYED_NEAR = 24  # members of its region described in one message of a collector
RELAYED_FAR = 12  # members of other regions described in one message of a collector

STARTING, READY, LEAVING = 0, 1, 2


class MemberFacts(NamedTuple):
    """What a daemon says of itself."""

    ip: str
    incarnation: int
    counter: int
    state: int
    zone: str
    region: str


class _Member(NamedTuple):
    facts: MemberFacts
    heard_at: float
    store_lost: bool
    relayed: bool = False  # another daemon told of it last


class Candidate(NamedTuple):
    """A live daemon as one that may watch the store for others."""

    facts: MemberFacts
    silent_s: float
    store_lost: bool


class Targets(NamedTuple):
    """Addresses that a tick's messages go to."""

    reports: list[str]  # get this daemon's own load
    region: list[str]  # get the sum of the region's load, from a collector
    other_regions: list[str]  # of other regions; get the same


class Members:
    """The daemons that this daemon knows of.

    The live ones are kept by region as messages come and time passes, so that a question on the
    request path costs the same in a fleet of any size.
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
        self._due: list[tuple[float, str]] = []  # heap: when a live daemon may be dead
        self._due_of: dict[str, float] = {}  # the entry of each that counts, the earliest
        self._contacts: set[str] = set()
        self._is_listed = False  # the contacts are all daemons that ever announced themselves
        self._rounds: dict[str, list[str]] = {}  # by kind: members yet to be described
        self._ranks: dict[str, int] = {}  # by key, until a daemon is added or forgotten

    def beat(self, state: int) -> MemberFacts:
        """Advance this daemon's counter and return what it says of itself."""
        self.own = self.own._replace(counter=self.own.counter + 1, state=state)
        return self.own

    # News of daemons.

    def on_heartbeat(self, facts: MemberFacts, now: float, *, store_lost: bool = False) -> bool:
        """Take what a daemon says of itself; True if it was unknown, restarted or changed state."""
        old = self._others.get(facts.ip)
        if facts.ip == self.own.ip:
            return False
        if old is not None and old.facts.incarnation == facts.incarnation:
            if facts.counter <= old.facts.counter:
                return False
            self._hear(_Member(facts, now, store_lost))
            return old.facts.state != facts.state
        self._hear(_Member(facts, now, store_lost))
        return True

    def on_relayed(self, facts: MemberFacts, now: float) -> None:
        """Take what a daemon says of a third one."""
        if facts.ip == self.own.ip:
            return
        old = self._others.get(facts.ip)
        if old is None:
            self._contacts.add(facts.ip)
            self._hear(_Member(facts, now, False, relayed=True))
        elif old.facts.incarnation == facts.incarnation and facts.counter > old.facts.counter:
            self._hear(_Member(facts, now, old.store_lost, relayed=True))

    def add_contact(self, ip: str) -> None:
        """Add an address at which a daemon may be."""
        if ip != self.own.ip:
            self._contacts.add(ip)

    def on_listed(self) -> None:
        """Note that every daemon that announced itself is a contact now."""
        self._is_listed = True

    def tick(self, now: float) -> None:
        """Forget daemons that were silent for long."""
        self._expire(now)
        for ip in [i for i, m in self._others.items() if now - m.heard_at > FORGET_AFTER_S]:
            del self._others[ip]
            self._ranks.clear()

    def _hear(self, member: _Member) -> None:
        facts = member.facts
        old = self._others.get(facts.ip)
        if old is not None and old.facts.region != facts.region:
            self._set_dead(old.facts)
        if old is None:
            self._ranks.clear()
        self._others[facts.ip] = member
        live = self._live.setdefault(facts.region, {})
        if facts.ip not in live:
            live[facts.ip] = None
            self._live_count += 1
        self._watch(facts.ip, member.heard_at + self._silence_s(member))

    def _watch(self, ip: str, due: float) -> None:
        """Look at a live daemon at a time, unless that happens earlier anyway."""
        if due < self._due_of.get(ip, float("inf")):
            self._due_of[ip] = due
            heapq.heappush(self._due, (due, ip))

    def _silence_s(self, member: _Member) -> float:
        """Return after which silence a daemon counts as dead."""
        if member.facts.state == LEAVING:
            return LEAVING_DEAD_AFTER_S
        far = member.relayed and member.facts.region != self.own.region
        return FAR_DEAD_AFTER_S if far else DEAD_AFTER_S

    def _set_dead(self, facts: MemberFacts) -> None:
        live = self._live.get(facts.region, {})
        if facts.ip in live:
            del live[facts.ip]
            self._live_count -= 1

    def _expire(self, now: float) -> None:
        """Drop the daemons from the live ones whose silence lasts too long."""
        while self._due and self._due[0][0] < now:
            at, ip = heapq.heappop(self._due)
            if self._due_of.get(ip) != at:
                continue  # an earlier entry replaced it
            del self._due_of[ip]
            member = self._others.get(ip)
            if member is None:
                continue
            due = member.heard_at + self._silence_s(member)
            if due < now:
                self._set_dead(member.facts)
            else:
                self._watch(ip, due)

    # Who lives.

    def alive(self, now: float) -> list[MemberFacts]:
        """Return the other daemons that were heard of lately."""
        self._expire(now)
        return [self._others[ip].facts for live in self._live.values() for ip in live]

    def count(self, now: float) -> int:
        """Return how many daemons live, this one included."""
        self._expire(now)
        return 1 + self._live_count

    # Parts of bounds that hold for all daemons together.

    def count_sharers(self, now: float) -> float:
        """Return how many daemons share the fleet's bounds.

        Daemons that fell silent count until they are forgotten, since they may be cut off and work
        on. The number is infinite while this daemon has not had the time to hear of the others.
        """
        if now - self._started_at < SETTLE_S and not self._has_heard_all():
            return float("inf")
        return 1 + len(self._others)

    def _has_heard_all(self) -> bool:
        return self._is_listed and self._contacts <= self._others.keys()

    def rank(self, key: str) -> int:
        """Return how many of the daemons that share bounds come before this one, for a key."""
        found = self._ranks.get(key)
        if found is None:
            mine = order(key + self.own.ip)
            found = self._ranks[key] = sum(order(key + ip) < mine for ip in self._others)
        return found

    def candidates(self, now: float) -> list[Candidate]:
        """Return the live daemons of this region with what matters for watching the store."""
        return [
            Candidate(member.facts, now - member.heard_at, member.store_lost)
            for member in map(self._others.__getitem__, self.near(now))
        ]

    def describe(self, now: float) -> list[dict[str, object]]:
        """Return the live daemons for an operator."""
        return [
            {**facts._asdict(), "silent_s": round(now - self._others[facts.ip].heard_at, 3)}
            for facts in self.alive(now)
        ]

    def near(self, now: float) -> list[str]:
        """Return the addresses of the live daemons of this region."""
        return self.in_regions({self.own.region}, now)

    def in_regions(self, regions: set[str], now: float) -> list[str]:
        """Return the addresses of the live daemons of some regions."""
        self._expire(now)
        return [ip for region in regions for ip in self._live.get(region, ())]

    def is_large(self, now: float) -> bool:
        """Return whether messages to every daemon would cost too much."""
        return self.count(now) > FULL_MESH_MOST + 1

    # Who gets which message.

    def collectors(self, now: float) -> list[str]:
        """Return the collectors of this region; this daemon may be one of them."""
        ready = [
            item.facts.ip
            for item in self.candidates(now)
            if item.facts.state == READY and item.silent_s < SILENT_S
        ]
        if self.own.state == READY:
            ready.append(self.own.ip)
        return heapq.nsmallest(COLLECTORS, ready, key=order)

    def targets(self, now: float, rng: Random) -> Targets:
        """Return the addresses that this tick's messages go to.

        One random daemon of the region gets a report besides, so that the region still learns of
        its daemons while all collectors are silent; and one silent address, to find daemons that
        returned.
        """
        if not self.is_large(now):
            return Targets([*self.in_regions(set(self._live), now), *self._silent(rng)], [], [])
        near, collectors = self.near(now), self.collectors(now)
        reports = [ip for ip in collectors if ip != self.own.ip]
        others = [ip for ip in near if ip not in reports]
        if self.own.ip in collectors[:SENDERS]:
            return Targets([*reports, *self._silent(rng)], others, self._elsewhere())
        if others and self.own.ip not in collectors:
            reports.append(rng.choice(others))
        return Targets([*reports, *self._silent(rng)], [], [])

    def _elsewhere(self) -> list[str]:
        """Return the first daemons of each other region."""
        found = []
        for region, live in self._live.items():
            if region != self.own.region:
                ready = [ip for ip in live if self._others[ip].facts.state == READY]
                found += heapq.nsmallest(ELSEWHERE, ready, key=order)
        return found

    def _silent(self, rng: Random) -> list[str]:
        """Return one address of a daemon that may have returned, if there is any."""
        silent = {
            ip
            for ip in (*self.seeds, *self._contacts, *self._others)
            if ip not in self._others or ip not in self._live[self._others[ip].facts.region]
        }
        silent.discard(self.own.ip)
        return [rng.choice(sorted(silent))] if silent else []

    def relayed(self, now: float, *, aggregator: bool = False) -> list[MemberFacts]:
        """Return the next part of the members for a message.

        Parameters
        ----------
        collecting
            This daemon is a collector: more of the part are members of its region.
        """
        if not aggregator:
            return self._next_round("any", RELAYED_MOST, now)
        near = self._next_round("near", RELAYED_NEAR, now)
        return near + self._next_round("far", RELAYED_FAR, now)

    def _next_round(self, kind: str, most: int, now: float) -> list[MemberFacts]:
        """Return the next members of a kind; all of them come in turn."""
        self._expire(now)
        found: list[MemberFacts] = []
        left = self._rounds.setdefault(kind, [])
        began_anew = False
        while len(found) < most and (left or not began_anew):
            if not left:
                began_anew = True
                known = {facts.ip for facts in found}
                left[:] = [ip for ip in self._of_kind(kind, now) if ip not in known]
                continue
            member = self._others.get(left.pop())
            if member is not None and member.facts.ip in self._live[member.facts.region]:
                found.append(member.facts)
        return found

    def _of_kind(self, kind: str, now: float) -> list[str]:
        own, every = {self.own.region}, set(self._live)
        regions = {"near": own, "far": every - own, "any": every}[kind]
        return self.in_regions(regions, now)


@lru_cache(maxsize=4096)
def order(name: str) -> bytes:
    """Return what orders names, such as addresses, in a way that all daemons agree on."""
    return blake2b(name.encode(), digest_size=8).digest()
