"""The active configuration: contracts, services, zones and rules for backend servers.

A daemon serves requests under its active configuration, which is said to be in force. Every change
is one transaction of the table service that includes the head row, which holds the newest version,
so versions are totally ordered. A daemon only moves to higher versions, either by the next log
entry or by a complete snapshot. This relies on three guarantees of the table service: transactions
are atomic, a revision is never assigned twice, and one read returns rows of a single point in time.
"""

import math
import random
from collections.abc import Mapping
from functools import singledispatchmethod
from typing import NamedTuple

from lovageway.codes import Refusal
from lovageway.controllers._apply import Applier
from lovageway.controllers._freshness import NEVER, FreshnessTracker, MissingVersions, Policy
from lovageway.controllers._log import (
    SnapshotAssembler,
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

HEAD_READS_PER_S = 20.0  # by the entire fleet
READ_TIMEOUT_S = 4.0  # longer than the table client's own timeout of 2 s
FETCH_TIMEOUT_S = 0.5  # until another source is tried
# A push usually follows the first report of a version; fetching at once would send it twice.
FETCH_DELAY_S = 0.1
MAX_LOG_ROWS_PER_READ = 100
SERVING_UPDATE_INTERVAL_S = 0.2


class _Read(NamedTuple):
    kind: str  # "head", "log" or "all"
    op_id: str
    sent_at: float


class Configuration(Controller):
    """Keeps the configuration that is in force at this daemon up to date.

    Parameters
    ----------
    rng
        Adds jitter to intervals and chooses peers.
    policy
        Read interval, sources of changes, and the maximum age without majority contact.

    Attributes
    ----------
    snapshot
        Configuration in force.
    store
        Rows and log of the last version received; newer than `snapshot` while they are invalid.
    """

    def __init__(self, rng: random.Random | None = None, policy: Policy | None = None) -> None:
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.store = Store()
        self._rng = rng or random.Random(0)
        self._policy = policy or Policy()
        self._spread = Spread(self._rng)
        self._freshness = FreshnessTracker(self._spread, self._policy)
        self._applier = Applier(self)
        self._assembler = SnapshotAssembler()
        self._read: _Read | None = None
        self._read_count = 0
        self._next_head_read_at = self._next_serving_update_at = NEVER
        self._table_reachable: bool | None = None
        self._table_checked_at = 0.0  # time of the last answer or timeout
        self._missing = MissingVersions()
        self._fetch_count = 0
        self._next_fetch_at = NEVER
        self._log_gap = False  # the log does not continue from the local version
        self._reject_reason = ""  # why the stored rows are not in force, empty if they are
        self._serving = False

    def connect(self, members: MembershipView) -> None:
        """Set the membership, which provides live peers and the VM list."""
        self._spread.members = members

    # ---- queries --------------------------------------------------------------------------------

    def status(self, now: float) -> tuple[int, float]:
        """Return version and freshness in seconds (-1: unknown), as sent to peers."""
        # While newer rows cannot be parsed, the freshness is that of another version.
        age = self._freshness.age(now)
        known = math.isfinite(age) and self.snapshot.version == self.store.version
        return self.snapshot.version, age if known else -1.0

    def has_majority(self) -> bool:
        """Return whether this daemon has majority contact."""
        return self._spread.has_majority()

    def may_serve(self, now: float) -> Refusal | None:
        """Return why new requests must be refused, None when they may be served."""
        return self._freshness.may_serve(self.snapshot.version, self._missing.since(), now)

    def spread(self, version: int, now: float) -> dict[str, object]:
        """Return where a version is in force, and query the other daemons for a few seconds."""
        self._spread.watch(version, now)
        return self._spread.report(version, self.snapshot.version)

    def peer_version(self, node: str) -> int:
        """Return the version that a peer last reported, 0 if none."""
        return self._spread.version_of(node)

    def table_state(self, now: float) -> dict[str, object]:
        """Return whether the table service is reachable, None before its first answer."""
        age = now - self._table_checked_at if self._table_reachable is not None else None
        return {"reachable": self._table_reachable, "answer_age_s": age}

    def dump(self, now: float) -> dict[str, object]:
        """Return versions, freshness and the rows in force."""
        refusal = self.may_serve(now)
        return {
            "version": self.snapshot.version,
            "stored_version": self.store.version,
            "freshness_s": self.status(now)[1],
            "confirmed": self._freshness.confirmed,
            "rejected": self._reject_reason,
            "refuses": refusal.code.name if refusal else None,
            "missing": self._missing.newest(),
            "table": self.table_state(now),
            "changes": self._applier.dump(),
            "rows": dump_snapshot(self.snapshot),
        }

    # ---- inputs ---------------------------------------------------------------------------------

    def on_apply(self, event: ApplyRequested, now: float, emit: Emit) -> None:
        """Start or queue an operator's change."""
        self._applier.request(event, now, emit)

    def on_send(self, effect: Effect, now: float) -> None:
        """Record a message about to be sent; the freshness in its answer counts from `now`."""
        if isinstance(effect, SendPeer):
            self._spread.record_sent(effect.address, effect.message, now)

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Process a message from a peer."""
        self._dispatch(msg, sender, address, now, emit)

    @singledispatchmethod
    def _dispatch(self, msg: Message, sender: str, address: str, now: float, emit: Emit) -> None:
        """Ignore messages for other controllers."""

    @_dispatch.register
    def _(self, msg: Ping, sender: str, address: str, now: float, emit: Emit) -> None:
        self._record_peer_version(sender, address, msg.version, now)

    @_dispatch.register
    def _(self, msg: Ack, sender: str, address: str, now: float, emit: Emit) -> None:
        self._record_peer_version(sender, address, msg.version, now)
        queried_at = self._spread.sent_at(Ping, address, msg.seq, now)
        self._freshness.apply_relayed(msg.version, msg.freshness_s, queried_at, self.store.version)

    @_dispatch.register
    def _(self, msg: ConfigQuery, sender: str, address: str, now: float, emit: Emit) -> None:
        self._send_state(address, msg.seq, now, emit)

    @_dispatch.register
    def _(self, msg: ConfigState, sender: str, address: str, now: float, emit: Emit) -> None:
        self._record_peer_version(sender, address, msg.version, now)
        queried_at = self._spread.sent_at(ConfigQuery, address, msg.seq, now)
        self._freshness.apply_relayed(msg.version, msg.freshness_s, queried_at, self.store.version)
        if queried_at is not None and msg.started:
            self._freshness.record_answer(vm_of(sender), msg.version, queried_at)

    @_dispatch.register
    def _(self, msg: ConfigPush, sender: str, address: str, now: float, emit: Emit) -> None:
        applied = [entry for entry in msg.entries if self._advance(entry, now, emit)]
        if msg.entries:
            self._record_peer_version(sender, address, msg.entries[-1].version, now)
        if msg.seq:
            self._send_state(address, msg.seq, now, emit)
        source = "push" if msg.seq else "peer"
        self._record_learned(applied, source, sender, emit, gossip=not msg.seq)

    @_dispatch.register
    def _(self, msg: ConfigPull, sender: str, address: str, now: float, emit: Emit) -> None:
        entries = None if msg.snapshot else self.store.entries_after(msg.version)
        if entries is None:
            for page in self.store.snapshot_pages():
                emit(SendPeer(address, page))
        elif entries:
            emit(SendPeer(address, ConfigPush(entries)))

    @_dispatch.register
    def _(self, msg: ConfigSnapshot, sender: str, address: str, now: float, emit: Emit) -> None:
        self._record_peer_version(sender, address, msg.version, now)
        # While starting, a snapshot older than a version already reported is of no use.
        if msg.version <= self.store.version or (
            not self._freshness.started and self._missing.newest() > msg.version
        ):
            return
        rows = self._assembler.add(sender, msg)
        if rows is not None and self.store.replace(msg.version, rows):
            self._put_in_force(None, now, emit)
            emit(Count("config_learned", ("snapshot",)))

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Process an answer of the table service."""
        self._applier.on_table(event, now, emit)
        read = self._read
        if read is None or event.op_id != read.op_id:
            return
        self._read = None
        self._record_table_state(event.status == "ok", now, emit)
        if event.status != "ok":
            return
        head = read_head(event.rows)
        if head is None:
            self._reject("the head row is malformed", emit)
            return
        if read.kind == "all" and self.store.replace(head[0], read_rows(event.rows)):
            self._log_gap = False
            self._put_in_force(None, now, emit)
            emit(Count("config_learned", ("table",)))
        elif read.kind == "log":
            self._apply_log(event.rows, head[0], now, emit)
        self._record_head(head[0], read.sent_at, now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Run the periodic tasks that are due."""
        self._freshness.record_start(now)  # only the first tick has an effect
        self._spread.tick(now, emit)
        self._applier.tick(now, emit)
        if self._read is not None and now - self._read.sent_at > READ_TIMEOUT_S:
            self._read = None
            self._record_table_state(False, now, emit)
        if now >= self._next_serving_update_at:
            self._next_serving_update_at = now + SERVING_UPDATE_INTERVAL_S
            self._update_serving_state(now, emit)
        self._catch_up(now, emit)
        if now >= self._next_head_read_at and self._read is None:
            wait_s = max(self._policy.head_interval_s, len(self._spread.peers()) / HEAD_READS_PER_S)
            self._next_head_read_at = now + wait_s * (0.9 + 0.2 * self._rng.random())
            # The first read returns all rows: no version exists yet to apply log entries to.
            self._send_read("head" if self.store.version else "all", now, emit)

    # ---- moving to higher versions --------------------------------------------------------------

    def accepted(self, entry: LogEntry, now: float, emit: Emit) -> None:
        """Put a change in force that this daemon wrote, and push it to the peers."""
        if not self._advance(entry, now, emit):
            self.learn_head(entry.version, now)
        emit(Count("config_learned", ("accepted",)))
        if self._policy.push:
            self._spread.push_all(entry, now, emit)

    def learn_head(self, version: int, now: float) -> None:
        """Record that the table service has this version."""
        self._record_version(version, now, 0.0)

    def _advance(self, entry: LogEntry, now: float, emit: Emit) -> bool:
        if not self.store.apply(entry):
            return False
        self._put_in_force(entry, now, emit)
        return True

    def _put_in_force(self, entry: LogEntry | None, now: float, emit: Emit) -> None:
        """Put the stored rows in force if valid; without `entry`, all rows were replaced."""
        version = self.store.version
        self._missing.remove_up_to(version)
        self._fetch_count = 0
        self._freshness.record_own_version(version)
        try:
            if entry is not None and self.snapshot.version == entry.version - 1:
                self.snapshot = parse_changes(self.snapshot, version, entry.changes)
            else:
                self.snapshot = parse_rows(version, self.store.rows)
        except BadRowError as exc:
            self._reject(str(exc), emit)
            return
        self._reject_reason = ""
        emit(StateChanged("config_in_force", {"version": version}))

    def _reject(self, reason: str, emit: Emit) -> None:
        emit(Count("config_rejected"))
        reason = f"version {self.store.version}: {reason[:500]}"
        if reason != self._reject_reason:
            self._reject_reason = reason
            fields = {"reason": reason, "in_force": self.snapshot.version}
            emit(StateChanged("config_rejected", fields))

    def _record_learned(
        self, entries: list[LogEntry], source: str, sender: str, emit: Emit, gossip: bool
    ) -> None:
        if entries:
            emit(Count("config_learned", (source,), len(entries)))
            if gossip and self._policy.push:
                self._spread.gossip(entries, sender, emit)

    def _record_peer_version(self, sender: str, address: str, version: int, now: float) -> None:
        self._spread.record_version(sender, address, version, now)
        if self._policy.push:
            self._record_version(version, now, FETCH_DELAY_S)

    def _send_state(self, address: str, seq: int, now: float, emit: Emit) -> None:
        emit(SendPeer(address, ConfigState(seq, *self.status(now), self._freshness.started)))

    def _record_version(self, version: int, now: float, delay: float) -> None:
        if version > self.store.version and self._missing.record(version, now):
            self._next_fetch_at = now + delay

    def _catch_up(self, now: float, emit: Emit) -> None:
        """Fetch missing versions, alternately from a peer that has them and the table service."""
        if not self._missing.newest() or now < self._next_fetch_at:
            return
        peers = self._spread.addresses_ahead(self.store.version, now) if self._policy.push else []
        table_next = self._fetch_count % 2 == 1 or not peers
        if table_next and self._read is None:
            self._send_read("all" if self._log_gap or not self.store.version else "log", now, emit)
        elif peers:
            emit(SendPeer(self._rng.choice(peers), ConfigPull(self.store.version)))
        self._fetch_count += 1
        self._next_fetch_at = now + FETCH_TIMEOUT_S

    def _send_read(self, kind: str, now: float, emit: Emit) -> None:
        self._read_count += 1
        self._read = _Read(kind, f"config-{kind}-{self._read_count}", now)
        keys = [] if kind == "all" else [HEAD_KEY]
        if kind == "log":
            first = self.store.version + 1
            last = min(self._missing.newest(), self.store.version + MAX_LOG_ROWS_PER_READ)
            keys += [log_key(version) for version in range(first, last + 1)]
        emit(ReadRows(self._read.op_id, tuple(keys), ROW_PREFIX if kind == "all" else ""))

    def _apply_log(self, rows: Mapping[str, Row], head: int, now: float, emit: Emit) -> None:
        applied = []
        while entry := read_entry(rows, self.store.version + 1):
            self._advance(entry, now, emit)
            applied.append(entry)
        self._record_learned(applied, "table", "", emit, gossip=True)
        self._log_gap = not applied and head > self.store.version
        if applied or self._log_gap:
            self._next_fetch_at = now  # fetch further entries, or all rows, without delay

    # ---- freshness ------------------------------------------------------------------------------

    def _record_head(self, version: int, sent_at: float, now: float, emit: Emit) -> None:
        if version < self.store.version:
            emit(Count("config_stale_heads"))
            return
        self._freshness.record_head(version, sent_at, self.store.version)
        self.learn_head(version, now)

    def _record_table_state(self, reachable: bool, now: float, emit: Emit) -> None:
        if reachable != self._table_reachable:
            emit(StateChanged("table_service", {"reachable": reachable}))
        self._table_reachable, self._table_checked_at = reachable, now

    def _update_serving_state(self, now: float, emit: Emit) -> None:
        """Check whether requests may be served, and emit an event when that changes."""
        self._freshness.update_confirmation(self.snapshot.version, now)
        if self._table_reachable is False:
            self._freshness.poll_peers(self.snapshot.version, self._missing.newest() > 0, now, emit)
        serving = self.may_serve(now) is None
        if serving != self._serving:
            self._serving = serving
            emit(StateChanged("config_serving", {"serving": serving, "age_s": self.status(now)[1]}))
