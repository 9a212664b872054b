"""Finds what crashes servers: a whole request, or a part of prompts that many requests share.

Load pattern: requests that are all different share one part of their prompts, and each server that
begins to answer one of them crashes; or a client repeats one request that does this. They arrive
through all daemons, beside sound requests of the same account and with the same other parts.

Load pattern of sound requests: they run on a server when another request crashes it; a faulty
server disconnects during some of its answers; or all servers of a service end at one moment.

A request has traits: its fingerprint, and each part of its prompt that other requests may share.
When a server ends before it answered, or soon after it began to (`streamproof`), the crash is
recorded under all traits of the request. An answer with a trait removes the trait's crashes. A
server that answers a later request did not crash. A trait with enough crashes is a suspect, and a
request is held back if it has a suspect and all other suspects that the same crashes support
equally: which of them is the cause becomes known when a request with only some of them is answered
or crashes a server.

Daemons send each other their records. Merging them in any order, any number of times, has the
same result.
"""

from collections import OrderedDict
from collections.abc import Iterable
from heapq import nlargest
from itertools import islice
from typing import NamedTuple

from lovageway.forwarding.crashrecord import (
    MIN_CRASHES,
    MIN_CRASHES_ANSWERED,
    SAME_INCIDENT_S,
    CrashRecord,
)
from lovageway.forwarding.traits import Trait
from lovageway.forwarding.unconfirmedends import UnconfirmedEnds

RETENTION_S = 900.0  # of a record after its last crash or answer
SUSPECT_RETENTION_S = 86400.0
NEWS_S = 3.0  # a record is sent to the other daemons for this long after it changed
# Ages grow on their way between daemons, so that a time this much later is not news.
AGE_TOLERANCE_S = 0.5
MAX_SUSPECTS_PER_MESSAGE = 16
MAX_REPEATED_PER_MESSAGE = 2  # suspects that did not change, in rotation
MAX_CRASHES_PER_SUSPECT = 6  # in a message; enough for MIN_CRASHES_ANSWERED
MAX_SUSPECTS = 256
MAX_RECORDS = 4096
EVICTION_CANDIDATES = 16  # the oldest records, of which the one with the fewest crashes goes first
MAX_ALIVE = 8192  # servers whose last answer to a suspect request other daemons reported
MAX_ANSWERED = 4096  # traits whose last answer is remembered


class Suspect(NamedTuple):
    """The record of one trait as sent to other daemons."""

    mark: bytes
    label: str
    crashes: tuple[tuple[bytes, int], ...]  # (server token, age in ms)
    answered_ms: int | None  # age of the last answer in ms, None if there was none
    trials: int
    confirmed: bool  # whether the sender holds back requests with it
    stored: bool  # whether the store has a row of it


class News(NamedTuple):
    """What a daemon sends to the others."""

    suspects: list[Suspect]
    alive: list[tuple[bytes, int]]  # servers thought to have crashed: token, age of a request


class Held(NamedTuple):
    """A suspect and its evidence, for operators."""

    mark: str  # hexadecimal
    label: str
    crashes: int
    first_crash_s: float  # age
    last_crash_s: float  # age
    with_marks: list[str]  # requests are held back only if they have these too
    trials: int


class PoisonDetector:
    """Records crashes and answers by trait, seen by this daemon and by others."""

    def __init__(self) -> None:
        self._records: dict[bytes, CrashRecord] = {}
        self._answered: OrderedDict[bytes, float] = OrderedDict()  # last answers of shared parts
        self._unconfirmed_ends = UnconfirmedEnds()
        self._marks: dict[bytes, set[bytes]] = {}  # by server that crashed
        # By server that was thought to have crashed: when the latest request that it answered
        # was sent, and when this became known here.
        self._alive: dict[bytes, tuple[float, float]] = {}
        self._suspects: dict[bytes, frozenset[bytes]] = {}  # with their equally likely suspects
        self._is_stale = False  # whether `_suspects` has to be computed again
        self._repeats: list[bytes] = []  # suspects that are sent again next
        self._changes: list[tuple[bytes, bool]] = []

    # Observations of this daemon.

    def on_crash(self, traits: Iterable[Trait], server: bytes, now: float) -> None:
        """Record a server that ended while it had not yet shown that it can answer these traits."""
        for mark, label, is_part in traits:
            self._add(mark, label, server, now, now)
            self._records[mark].is_part |= is_part

    def _add(self, mark: bytes, label: str, server: bytes, at: float, now: float) -> None:
        if self._record(mark, label, now).add(server, at, now):
            self._marks.setdefault(server, set()).add(mark)
            self._is_stale = True

    def on_answer(self, traits: Iterable[Trait], now: float) -> None:
        """Record that a server answered a request with these traits, or a large part of it."""
        for mark, _, is_part in traits:
            record = self._records.get(mark)
            if record is not None:
                self._is_stale |= record.answer(now, now)
            if is_part:
                self._answered[mark] = max(now, self._answered.get(mark, now))
                self._answered.move_to_end(mark)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def on_unconfirmed_end(self, traits: tuple[Trait, ...], server: bytes, now: float) -> None:
        """Record an answer that ended with its connection, or with its server."""
        self._unconfirmed_ends.add(server, traits, now)

    def on_server_lost(self, server: bytes, now: float) -> bool:
        """Record that a server is gone; return whether it was in the middle of answers."""
        ends = self._unconfirmed_ends.take_cut_off(server, now)
        for end in ends:
            self.on_crash(end.traits, server, end.at)
        return bool(ends)

    def on_server_answer(self, server: bytes, sent_at: float, now: float) -> None:
        """Remove the crashes of a server that answered a request sent after them."""
        for end in self._unconfirmed_ends.take_whole(server, sent_at):
            self.on_answer(end.traits, end.at)
        found = [
            record
            for mark in self._marks.get(server, ())
            if (record := self._records.get(mark)) is not None
            and record.crashes.get(server, sent_at) < sent_at
        ]
        for record in found:
            del record.crashes[server]
            record.changed_at = now
            self._is_stale = True
        if found or server in self._alive:
            alive_at, known_at = self._alive.get(server, (sent_at, now))
            self._alive[server] = (max(sent_at, alive_at), now if found else known_at)

    # Decisions.

    def blocking(self, traits: Iterable[Trait], now: float) -> Trait | None:
        """Return the suspect for which a request must be held back, or None."""
        self._refresh()
        if not self._suspects:
            return None
        marks = {trait.mark: trait for trait in traits}
        for mark, trait in marks.items():
            others = self._suspects.get(mark)
            if others is not None and others <= marks.keys():
                return trait
        return None

    def is_implicated(self, traits: Iterable[Trait]) -> bool:
        """Return whether a trait was in several crashes since it was last answered.

        Servers that crash at one moment count as one crash for a part, which many requests share.
        """
        for trait in traits:
            record = self._records.get(trait.mark)
            if record is not None:
                crashes = record.incidents() if trait.is_part else record.crashes
                if len(crashes) > 1:
                    return True
        return False

    def take_trial(self, suspect: Trait, traits: Iterable[Trait], now: float) -> bool:
        """Return whether one request may be sent although it has a suspect, and count it if so.

        The wait is short if the request does without another suspect that half of the same crashes
        support: its answer, or its crash, decides between the two.
        """
        self._refresh()
        record = self._records[suspect.mark]
        own = {trait.mark for trait in traits}
        is_disputed = any(
            2 * len(rival.crashes.keys() & record.crashes.keys()) >= len(record.crashes)
            for rival in (self._records[mark] for mark in self._suspects.keys() - own)
        )
        if now < record.trial_due_at(is_disputed=is_disputed):
            return False
        for mark in (suspect.mark, *self._suspects[suspect.mark]):
            tried = self._records[mark]
            tried.trials, tried.trial_at, tried.changed_at = record.trials + 1, now, now
        return True

    def release(self, mark: bytes, now: float) -> None:
        """Return a suspect to service, with those that the same crashes support equally."""
        self._refresh()
        record = self._records.get(mark)
        if record is None:
            return
        crashes = record.crashes.keys()
        equals = [
            m for m in self._suspects.get(mark, ()) if self._records[m].crashes.keys() == crashes
        ]
        for released in (mark, *equals):
            self._records[released].answer(now, now)
        self._is_stale = True

    def _refresh(self) -> None:
        """Compute the suspects again after a change."""
        if not self._is_stale:
            return
        self._is_stale = False
        found = {mark: record for mark, record in self._records.items() if record.confirm()}
        if len(found) > MAX_SUSPECTS:
            found = dict(nlargest(MAX_SUSPECTS, found.items(), key=lambda i: len(i[1].crashes)))
        suspects = {
            mark: frozenset(
                other
                for other, rival in found.items()
                if other != mark and rival.crashes.keys() >= record.crashes.keys()
            )
            for mark, record in found.items()
        }
        self._changes += [(mark, True) for mark in suspects.keys() - self._suspects.keys()]
        self._changes += [(mark, False) for mark in self._suspects.keys() - suspects.keys()]
        self._suspects = suspects

    # Records.

    def _record(self, mark: bytes, label: str, now: float) -> CrashRecord:
        """Return the record of a trait; a new one replaces the least useful one of too many."""
        record = self._records.get(mark)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                oldest = list(islice(self._records.items(), EVICTION_CANDIDATES))
                del self._records[min(oldest, key=lambda item: len(item[1].crashes))[0]]
            record = self._records[mark] = CrashRecord(label, now)
            record.answered_at = self._answered.get(mark, record.answered_at)
        return record

    def take_changes(self, now: float) -> list[tuple[Held, bool]]:
        """Return the suspects that are new, and those that no longer are, each once."""
        self._refresh()
        changes = [
            (self._describe(mark, now), held)
            for mark, held in self._changes
            if mark in self._records
        ]
        self._changes = []
        return changes

    def forget(self, now: float) -> None:
        """Drop old records."""
        self._unconfirmed_ends.forget(now)
        for mark, record in list(self._records.items()):
            age = now - max(record.newest, record.trial_at)
            if mark in self._suspects:
                if age > SUSPECT_RETENTION_S:
                    record.crashes.clear()
                    self._is_stale = True
            elif age > RETENTION_S:
                del self._records[mark]
        expired = [s for s, (_, known_at) in self._alive.items() if now - known_at > RETENTION_S]
        for server in expired:
            del self._alive[server]
        self._marks = {}
        for mark, record in self._records.items():
            for server in record.crashes:
                self._marks.setdefault(server, set()).add(mark)

    def held(self, now: float) -> list[Held]:
        """Return all suspects with their evidence."""
        self._refresh()
        return [self._describe(mark, now) for mark in self._suspects]

    def _describe(self, mark: bytes, now: float) -> Held:
        record = self._records[mark]
        ages = [round(now - at, 1) for at in record.crashes.values()]
        others = sorted(other.hex() for other in self._suspects.get(mark, ()))
        first, last = max(ages, default=0.0), min(ages, default=0.0)
        return Held(mark.hex(), record.label, len(ages), first, last, others, record.trials)

    # The store: rows of suspects outlive all daemons.

    def to_store(self, now: float) -> list[tuple[bytes, Suspect]]:
        """Return the suspects without a row in the store."""
        self._refresh()
        return [
            (mark, self._suspect(mark, self._records[mark], now))
            for mark in self._suspects
            if self._records[mark].stored_at is None
        ]

    def last_crash_at(self, mark: bytes) -> float:
        """Return when the last server crashed with a trait; minus infinity if none did."""
        record = self._records.get(mark)
        return record.last_crash_at if record is not None else float("-inf")

    def to_remove(self) -> list[bytes]:
        """Return the traits that have a row in the store and whose crashes were cleared."""
        records = self._records.items()
        return [m for m, r in records if r.stored_at is not None and len(r.crashes) < MIN_CRASHES]

    def stored_for(self, age_s: float, now: float) -> list[bytes]:
        """Return the suspects whose rows are known for at least `age_s`."""
        self._refresh()
        records = ((mark, self._records[mark].stored_at) for mark in self._suspects)
        return [mark for mark, at in records if at is not None and now - at >= age_s]

    def cleared(self, marks: Iterable[str]) -> list[bytes]:
        """Return those of some traits that are known and are no suspects, by hexadecimal mark."""
        self._refresh()
        wanted = set(marks)
        known = self._records.keys() - self._suspects.keys()
        return [mark for mark in known if mark.hex() in wanted]

    def set_stored(self, mark: bytes, stored_at: float | None) -> None:
        """Record since when the store has a row of a trait; None if it has none."""
        if mark in self._records:
            self._records[mark].stored_at = stored_at

    def on_stored(self, mark: bytes, label: str, servers: Iterable[bytes], now: float) -> None:
        """Take a suspect from the store; the ages of its crashes are not known there."""
        record = self._record(mark, label, now)
        record.confirmed = True
        record.stored_at = now
        for number, server in enumerate(servers):
            self._add(mark, label, server, now - number * SAME_INCIDENT_S, now)
        self._is_stale = True

    # Other daemons.

    def on_peer(self, news: News, now: float) -> None:
        """Merge the records of another daemon."""
        for server, age_ms in news.alive:
            sent_at = now - age_ms / 1000
            if server not in self._alive and len(self._alive) >= MAX_ALIVE:
                continue
            if sent_at > self._alive.get(server, (float("-inf"), 0.0))[0] + AGE_TOLERANCE_S:
                self._alive[server] = (sent_at, now)
                self.on_server_answer(server, sent_at, now)
        for suspect in news.suspects:
            self._merge(suspect, now)

    def _merge(self, suspect: Suspect, now: float) -> None:
        if suspect.mark not in self._records and len(self._records) >= MAX_RECORDS:
            return
        record = self._record(suspect.mark, suspect.label, now)
        if suspect.answered_ms is not None:
            at = now - suspect.answered_ms / 1000
            if at > record.answered_at + AGE_TOLERANCE_S:
                self._is_stale |= record.answer(at, now)
        for server, age_ms in suspect.crashes:
            at = now - age_ms / 1000
            alive_at, _ = self._alive.get(server, (float("-inf"), now))
            if at > alive_at:
                self._add(suspect.mark, suspect.label, server, at, now)
            else:
                self._alive[server] = (alive_at, now)  # the sender does not know it yet
        record.trials = max(record.trials, suspect.trials) if record.crashes else 0
        if len(record.crashes) >= MIN_CRASHES:
            if suspect.stored and record.stored_at is None:
                record.stored_at = now
            self._is_stale |= suspect.confirmed and not record.confirmed
            record.confirmed |= suspect.confirmed

    def news(self, now: float, *, repeat: bool) -> News | None:
        """Return what changed lately, or None if there is nothing to send.

        Parameters
        ----------
        repeat
            Whether a few suspects that did not change are added, in rotation.
        """
        self._refresh()
        changed = [m for m, r in self._records.items() if now - r.changed_at < NEWS_S]
        changed.sort(key=self._publish_order)
        chosen = dict.fromkeys(changed[:MAX_SUSPECTS_PER_MESSAGE])
        if repeat:
            self._repeats = self._repeats or list(self._suspects)
            chosen.update(dict.fromkeys(self._repeats[:MAX_REPEATED_PER_MESSAGE]))
            del self._repeats[:MAX_REPEATED_PER_MESSAGE]
        suspects = []
        for mark in chosen:
            record = self._records.get(mark)
            if record is not None:
                record.published_at = now
                suspects.append(self._suspect(mark, record, now))
        alive = [
            (server, int(1000 * (now - sent_at)))
            for server, (sent_at, known_at) in self._alive.items()
            if now - known_at < NEWS_S
        ][-MAX_SUSPECTS_PER_MESSAGE:]
        return News(suspects, alive) if suspects or alive else None

    def _publish_order(self, mark: bytes) -> tuple[bool, int, float, bool]:
        """Return the sort key of a changed record among those to send to the other daemons.

        A server that ends with many streams changes more records than a message holds. Those with
        more crashes go first, then those that were not sent lately; parts are few and shared.
        """
        record = self._records[mark]
        is_suspect = mark in self._suspects
        return not is_suspect, -len(record.crashes), record.published_at, not record.is_part

    @staticmethod
    def _suspect(mark: bytes, record: CrashRecord, now: float) -> Suspect:
        crashes = record.incidents()[-MAX_CRASHES_PER_SUSPECT:]
        if len(crashes) < MIN_CRASHES_ANSWERED:
            crashes = sorted(record.crashes.items(), key=lambda item: item[1])
            crashes = crashes[:MAX_CRASHES_PER_SUSPECT]
        answered = record.answered_at > float("-inf")
        return Suspect(
            mark,
            record.label,
            tuple((server, int(1000 * (now - at))) for server, at in crashes),
            int(1000 * (now - record.answered_at)) if answered else None,
            record.trials,
            record.confirmed,
            record.stored_at is not None,
        )
