"""The configuration in force: contracts, services, zones and rules for backend servers.

Every change is one transaction of the table service on the head row, so versions are totally
ordered there. A daemon only ever moves to a higher version: by the next log entry, or by a whole
snapshot. Where it relies on the table service: a transaction is atomic, a revision is never given
twice, and one read returns rows of one moment.
"""

import math
import random
from collections.abc import Mapping
from functools import singledispatchmethod
from typing import NamedTuple

from lovageway.codes import Refusal
from lovageway.controllers._apply import Applier
from lovageway.controllers._freshness import NEVER, Missing, Policy, Standing
from lovageway.controllers._log import (
    Assembler,
    Store,
    log_key,
    read_entry,
    read_head,
    read_rows,
)
from lovageway.controllers._rows import (
    HEAD_KEY,
    ROW_PREFIX,
    BadRowError,
    dump_snapshot,
    parse_changes,
    parse_rows,
)
from lovageway.controllers._spread import MembershipView, Spread
from lovageway.controllers.base import Controller
from lovageway.events import (
    ApplyRequested,
    Count,
    Effect,
    Emit,
    ReadRows,
    Row,
    SendPeer,
    StateChanged,
    TableAnswered,
)
from lovageway.messages import (
    Ack,
    ConfigPull,
    ConfigPush,
    ConfigQuery,
    ConfigSnapshot,
    ConfigState,
    LogEntry,
    Message,
    Ping,
)
from lovageway.model import EMPTY_SNAPSHOT, Snapshot, vm_of

READS_PER_S = 20.0  # of the head, by the whole fleet
READ_TIMEOUT_S = 4.0  # above the table client's own 2 s
FETCH_S = 0.5  # after which another source is tried
# A push is usually on its way when a higher version is first seen; asking at once costs twice.
FETCH_DELAY_S = 0.1
LOG_BATCH = 100  # log rows in one read
REVIEW_S = 0.2


class _Read(NamedTuple):
    kind: str  # "head", "log" or "all"
    op_id: str
    sent: float


class Configuration(Controller):
    """Owner of the snapshot that requests are served under.

    Parameters
    ----------
    rng
        Source of jitter and of the peers that are told.
    policy
        Limits.

    Attributes
    ----------
    snapshot
        Rows in force.
    store
        Rows and log as last learned; ahead of `snapshot` only while its rows cannot be parsed.
    """

    def __init__(self, rng: random.Random | None = None, policy: Policy | None = None) -> None:
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.store = Store()
        self._rng = rng or random.Random(0)
        self._policy = policy or Policy()
        self._spread = Spread(self._rng)
        self._standing = Standing(self._spread, self._policy)
        self._applier = Applier(self)
        self._assembler = Assembler()
        self._read: _Read | None = None
        self._reads = 0
        self._next_head = self._next_review = NEVER
        self._table_ok: bool | None = None
        self._table_at = 0.0  # of its last answer
        self._missing = Missing()
        self._fetches = 0
        self._next_fetch = NEVER
        self._read_all = False  # the log does not lead on from the version here
        self._rejected = ""  # why stored rows are not in force
        self._serving = False

    def connect(self, members: MembershipView) -> None:
        """Set where live peers and the VM list are known."""
        self._spread.members = members

    # ---- what others ask ------------------------------------------------------------------------

    def status(self, now: float) -> tuple[int, float]:
        """Return version and freshness in seconds (-1: unknown), as told to peers."""
        # While newer rows cannot be parsed, a freshness would be that of another version.
        age = self._standing.age(now)
        known = math.isfinite(age) and self.snapshot.version == self.store.version
        return self.snapshot.version, age if known else -1.0

    def majority(self) -> bool:
        """Tell whether this daemon has majority contact."""
        return self._spread.majority()

    def may_serve(self, now: float) -> Refusal | None:
        """Return why new requests must be refused, None when they may be served."""
        return self._standing.may_serve(self.snapshot.version, self._missing.since(), now)

    def spread(self, version: int, now: float) -> dict[str, object]:
        """Return where a version is in force, and keep asking the others for a while."""
        self._spread.watch(version, now)
        return self._spread.report(version, self.snapshot.version)

    def peer_version(self, node: str) -> int:
        """Return the version that a peer told last, 0 when it told none."""
        return self._spread.version_of(node)

    def table_state(self, now: float) -> dict[str, object]:
        """Return whether the table service answers, None before its first answer."""
        age = now - self._table_at if self._table_ok is not None else None
        return {"reachable": self._table_ok, "answer_age_s": age}

    def dump(self, now: float) -> dict[str, object]:
        """Return versions, freshness and the rows in force."""
        refusal = self.may_serve(now)
        return {
            "version": self.snapshot.version,
            "stored_version": self.store.version,
            "freshness_s": self.status(now)[1],
            "confirmed": self._standing.confirmed,
            "rejected": self._rejected,
            "refuses": refusal.code.name if refusal else None,
            "missing": self._missing.newest(),
            "table": self.table_state(now),
            "changes": self._applier.dump(),
            "rows": dump_snapshot(self.snapshot),
        }

    # ---- inputs ---------------------------------------------------------------------------------

    def on_apply(self, event: ApplyRequested, now: float, emit: Emit) -> None:
        """Take an operator's change."""
        self._applier.request(event, now, emit)

    def on_sent(self, effect: Effect, now: float) -> None:
        """Note a message that goes out; the answer's freshness counts from now."""
        if isinstance(effect, SendPeer):
            self._spread.note(effect.address, effect.message, now)

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Take a message of a peer."""
        self._on(msg, sender, address, now, emit)

    @singledispatchmethod
    def _on(self, msg: Message, sender: str, address: str, now: float, emit: Emit) -> None:
        """Pass over messages for other controllers."""

    @_on.register
    def _(self, msg: Ping, sender: str, address: str, now: float, emit: Emit) -> None:
        self._told(sender, address, msg.version, now)

    @_on.register
    def _(self, msg: Ack, sender: str, address: str, now: float, emit: Emit) -> None:
        self._told(sender, address, msg.version, now)
        asked = self._spread.asked_at(Ping, address, msg.seq, now)
        self._standing.relay(msg.version, msg.freshness_s, asked, self.store.version)

    @_on.register
    def _(self, msg: ConfigQuery, sender: str, address: str, now: float, emit: Emit) -> None:
        self._tell(address, msg.seq, now, emit)

    @_on.register
    def _(self, msg: ConfigState, sender: str, address: str, now: float, emit: Emit) -> None:
        self._told(sender, address, msg.version, now)
        asked = self._spread.asked_at(ConfigQuery, address, msg.seq, now)
        self._standing.relay(msg.version, msg.freshness_s, asked, self.store.version)
        if asked is not None and msg.started:
            self._standing.answered(vm_of(sender), msg.version, asked)

    @_on.register
    def _(self, msg: ConfigPush, sender: str, address: str, now: float, emit: Emit) -> None:
        learned = [entry for entry in msg.entries if self._advance(entry, now, emit)]
        if msg.entries:
            self._told(sender, address, msg.entries[-1].version, now)
        if msg.seq:
            self._tell(address, msg.seq, now, emit)
        source = "push" if msg.seq else "peer"
        self._learned(learned, source, sender, emit, gossip=not msg.seq)

    @_on.register
    def _(self, msg: ConfigPull, sender: str, address: str, now: float, emit: Emit) -> None:
        entries = None if msg.snapshot else self.store.after(msg.version)
        if entries is None:
            for page in self.store.pages():
                emit(SendPeer(address, page))
        elif entries:
            emit(SendPeer(address, ConfigPush(entries)))

    @_on.register
    def _(self, msg: ConfigSnapshot, sender: str, address: str, now: float, emit: Emit) -> None:
        self._told(sender, address, msg.version, now)
        # While starting, a snapshot older than a version already seen would only be replaced.
        if msg.version <= self.store.version or (
            not self._standing.started and self._missing.newest() > msg.version
        ):
            return
        rows = self._assembler.add(sender, msg)
        if rows is not None and self.store.replace(msg.version, rows):
            self._moved(None, now, emit)
            emit(Count("config_learned", ("snapshot",)))

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Take an answer of the table service."""
        self._applier.on_table(event, now, emit)
        read = self._read
        if read is None or event.op_id != read.op_id:
            return
        self._read = None
        self._table_answered(event.status == "ok", now, emit)
        if event.status != "ok":
            return
        head = read_head(event.rows)
        if head is None:
            self._reject("the head row is malformed", emit)
            return
        if read.kind == "all" and self.store.replace(head[0], read_rows(event.rows)):
            self._read_all = False
            self._moved(None, now, emit)
            emit(Count("config_learned", ("table",)))
        elif read.kind == "log":
            self._take_log(event.rows, head[0], now, emit)
        self._note_head(head[0], read.sent, now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Do what is due."""
        self._standing.begin(now)
        self._spread.tick(now, emit)
        self._applier.tick(now, emit)
        if self._read is not None and now - self._read.sent > READ_TIMEOUT_S:
            self._read = None
            self._table_answered(False, now, emit)
        if now >= self._next_review:
            self._next_review = now + REVIEW_S
            self._review(now, emit)
        self._catch_up(now, emit)
        if now >= self._next_head and self._read is None:
            wait = max(self._policy.head_interval_s, len(self._spread.others()) / READS_PER_S)
            self._next_head = now + wait * (0.9 + 0.2 * self._rng.random())
            # The first read takes all rows: there is nothing here that a log could lead on from.
            self._read_rows("head" if self.store.version else "all", now, emit)

    # ---- moving to higher versions --------------------------------------------------------------

    def accepted(self, entry: LogEntry, now: float, emit: Emit) -> None:
        """Put a change in force that this daemon wrote, and push it."""
        if not self._advance(entry, now, emit):
            self.learn_head(entry.version, now)
        emit(Count("config_learned", ("accepted",)))
        if self._policy.push:
            self._spread.push_all(entry, now, emit)

    def learn_head(self, version: int, now: float) -> None:
        """Note that the table service holds this version."""
        self._see(version, now, 0.0)

    def _advance(self, entry: LogEntry, now: float, emit: Emit) -> bool:
        if not self.store.apply(entry):
            return False
        self._moved(entry, now, emit)
        return True

    def _moved(self, entry: LogEntry | None, now: float, emit: Emit) -> None:
        """Put the stored rows in force if they can be parsed."""
        version = self.store.version
        self._missing.moved(version)
        self._fetches = 0
        self._standing.moved(version)
        try:
            if entry is not None and self.snapshot.version == entry.version - 1:
                self.snapshot = parse_changes(self.snapshot, version, entry.changes)
            else:
                self.snapshot = parse_rows(version, self.store.rows)
        except BadRowError as exc:
            self._reject(str(exc), emit)
            return
        self._rejected = ""
        emit(StateChanged("config_in_force", {"version": version}))

    def _reject(self, reason: str, emit: Emit) -> None:
        emit(Count("config_rejected"))
        reason = f"version {self.store.version}: {reason[:500]}"
        if reason != self._rejected:
            self._rejected = reason
            fields = {"reason": reason, "in_force": self.snapshot.version}
            emit(StateChanged("config_rejected", fields))

    def _learned(
        self, entries: list[LogEntry], source: str, sender: str, emit: Emit, gossip: bool
    ) -> None:
        if entries:
            emit(Count("config_learned", (source,), len(entries)))
            if gossip and self._policy.push:
                self._spread.push_some(entries, sender, emit)

    def _told(self, sender: str, address: str, version: int, now: float) -> None:
        self._spread.heard(sender, address, version, now)
        if self._policy.push:
            self._see(version, now, FETCH_DELAY_S)

    def _tell(self, address: str, seq: int, now: float, emit: Emit) -> None:
        emit(SendPeer(address, ConfigState(seq, *self.status(now), self._standing.started)))

    def _see(self, version: int, now: float, delay: float) -> None:
        if version > self.store.version and self._missing.hear(version, now):
            self._next_fetch = now + delay

    def _catch_up(self, now: float, emit: Emit) -> None:
        """Ask for what is missing: a peer that has it first, then the table service, in turns."""
        if not self._missing.newest() or now < self._next_fetch:
            return
        peers = self._spread.ahead(self.store.version, now) if self._policy.push else []
        table_next = self._fetches % 2 == 1 or not peers
        if table_next and self._read is None:
            self._read_rows("all" if self._read_all or not self.store.version else "log", now, emit)
        elif peers:
            emit(SendPeer(self._rng.choice(peers), ConfigPull(self.store.version)))
        self._fetches += 1
        self._next_fetch = now + FETCH_S

    def _read_rows(self, kind: str, now: float, emit: Emit) -> None:
        self._reads += 1
        self._read = _Read(kind, f"config-{kind}-{self._reads}", now)
        keys = [] if kind == "all" else [HEAD_KEY]
        if kind == "log":
            first = self.store.version + 1
            last = min(self._missing.newest(), self.store.version + LOG_BATCH)
            keys += [log_key(version) for version in range(first, last + 1)]
        emit(ReadRows(self._read.op_id, tuple(keys), ROW_PREFIX if kind == "all" else ""))

    def _take_log(self, rows: Mapping[str, Row], head: int, now: float, emit: Emit) -> None:
        learned = []
        while entry := read_entry(rows, self.store.version + 1):
            self._advance(entry, now, emit)
            learned.append(entry)
        self._learned(learned, "table", "", emit, gossip=True)
        self._read_all = not learned and head > self.store.version
        if learned or self._read_all:
            self._next_fetch = now  # more entries, or all rows, without waiting

    # ---- freshness ------------------------------------------------------------------------------

    def _note_head(self, version: int, sent: float, now: float, emit: Emit) -> None:
        if version < self.store.version:
            emit(Count("config_stale_heads"))
            return
        self._standing.note_head(version, sent, self.store.version)
        self.learn_head(version, now)

    def _table_answered(self, reachable: bool, now: float, emit: Emit) -> None:
        if reachable != self._table_ok:
            emit(StateChanged("table_service", {"reachable": reachable}))
        self._table_ok, self._table_at = reachable, now

    def _review(self, now: float, emit: Emit) -> None:
        """Find out whether this daemon is still in step with the fleet."""
        self._standing.review(self.snapshot.version, now)
        if self._table_ok is False:
            self._standing.poll(self.snapshot.version, self._missing.newest() > 0, now, emit)
        serving = self.may_serve(now) is None
        if serving != self._serving:
            self._serving = serving
            emit(StateChanged("config_serving", {"serving": serving, "age_s": self.status(now)[1]}))
