"""Accepts changes: one transaction for each, found again by its operation id.

A change is written by one transaction on the conditions that the head has the revision that was
read and that the operation has no row yet. The table service never gives a revision twice, so of
all transmissions for one operation, through whichever daemons, at most one takes effect.
"""

import hashlib
import json
import re
from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from lovageway.codes import Code, Ran, Refusal
from lovageway.controllers._log import Store, log_key, read_entry, read_head, write_entry
from lovageway.controllers._rows import HEAD_KEY, OPERATION_PREFIX, ROW_PREFIX, validate
from lovageway.events import (
    ApplyDone,
    ApplyRequested,
    Count,
    Emit,
    ReadRows,
    Row,
    TableAnswered,
    Transact,
)
from lovageway.messages import LogEntry
from lovageway.model import Snapshot

APPLY_TIMEOUT_S = 8.0  # an operator's request gets its answer by then
STEP_TIMEOUT_S = 3.0  # above the table client's own 2 s
RETRY_S = 0.25
MAX_WAITING = 32
# Log and operation rows kept in the table service: about 4 h at 5,500 changes a day and under
# 0.5 MB. An operation may be repeated safely for as long as its row is kept.
KEEP_ENTRIES = 1000
RETRY_AFTER_S = 5.0
NO_MAJORITY = "This daemon is not in contact with more than half of the listed entry VMs."
_OPERATION = re.compile(r"[A-Za-z0-9_-]{8,64}")


class Host(Protocol):
    """What the applier needs from the configuration that owns it."""

    store: Store

    @property
    def snapshot(self) -> Snapshot:
        """Return the configuration in force."""

    def majority(self) -> bool:
        """Tell whether this daemon has majority contact."""

    def learn_head(self, version: int, now: float) -> None:
        """Note that the table service holds this version."""

    def accepted(self, entry: LogEntry, now: float, emit: Emit) -> None:
        """Put an accepted change in force and push it."""


class _Job(NamedTuple):
    event: ApplyRequested
    deadline: float
    stage: str = "read"  # then "behind", "write" and, after a doubtful answer, "verify"
    step: str = ""  # operation id of the table call that is awaited
    step_until: float = 0.0  # when the call counts as lost, or the stage is tried again
    unsure: bool = False  # a transmission may have taken effect
    revision: int = 0  # of the head that the transaction is conditioned on
    needed: int = 0  # version to catch up to
    entry: LogEntry | None = None
    write: Transact | None = None


class Applier:
    """Runs operators' changes one after the other.

    Parameters
    ----------
    host
        The configuration.
    """

    def __init__(self, host: Host) -> None:
        self._host = host
        self._jobs: deque[_Job] = deque()
        self._steps = 0

    def request(self, event: ApplyRequested, now: float, emit: Emit) -> None:
        """Start the change, or queue it behind others."""
        if not _OPERATION.fullmatch(event.op_id):
            refusal = Refusal(
                Code.INVALID_CHANGE, "op_id needs 8 to 64 letters, digits, - or _.", ran="no"
            )
            self._answer(event, 0, refusal, emit)
        elif len(self._jobs) >= MAX_WAITING:
            self._answer(event, 0, _not_accepted("Too many changes wait here.", "no"), emit)
        else:
            self._jobs.append(_Job(event, now + APPLY_TIMEOUT_S))
            if len(self._jobs) == 1:
                self._start(now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Give up jobs at their deadline and repeat steps whose answer is overdue."""
        if not self._jobs:
            return
        job = self._jobs[0]
        if now >= job.deadline:
            doubtful = job.unsure or job.stage == "write"
            reason = "The table service did not answer in time, or with a version older than here."
            self._finish(0, _not_accepted(reason, "unknown" if doubtful else "no"), now, emit)
        elif job.stage == "behind":
            if self._host.store.version >= job.needed:
                self._read(now, emit)
        elif now >= job.step_until:
            if job.stage == "write":
                self._set(unsure=True, stage="verify")
            self._read(now, emit)

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Take the answer of the step that is awaited."""
        if not self._jobs or self._jobs[0].step != event.op_id:
            return
        job = self._jobs[0]
        if job.stage == "read":
            self._on_read(job, event, now, emit)
        elif job.stage == "write":
            self._on_written(job, event, now, emit)
        else:
            self._on_verified(job, event, now, emit)

    def dump(self) -> list[dict[str, object]]:
        """Return the waiting changes."""
        return [{"op_id": job.event.op_id, "stage": job.stage} for job in self._jobs]

    # ---- steps ----------------------------------------------------------------------------------

    def _set(self, **fields: object) -> None:
        self._jobs[0] = self._jobs[0]._replace(**fields)  # type: ignore[arg-type]

    def _start(self, now: float, emit: Emit) -> None:
        if self._host.majority():
            self._read(now, emit)
        else:
            self._finish(0, _not_accepted(NO_MAJORITY, "no"), now, emit)

    def _read(self, now: float, emit: Emit) -> None:
        job = self._jobs[0]
        stage = "read" if job.stage == "behind" else job.stage
        # The next version, to name a winner, and the entry that this change will push out.
        version = self._host.store.version + 1
        wanted = {version, version - KEEP_ENTRIES, job.entry.version if job.entry else version}
        keys = [HEAD_KEY, _operation_key(job.event.op_id), *map(log_key, sorted(wanted))]
        step = self._next_step(stage, now)
        emit(ReadRows(step, tuple(keys)))

    def _next_step(self, stage: str, now: float) -> str:
        self._steps += 1
        step = f"config-apply-{self._steps}"
        self._set(stage=stage, step=step, step_until=now + STEP_TIMEOUT_S)
        return step

    def _on_read(self, job: _Job, event: TableAnswered, now: float, emit: Emit) -> None:
        head = read_head(event.rows) if event.status == "ok" else None
        if head is None:
            reason = "The table service does not answer or its head row is malformed."
            self._finish(0, _not_accepted(reason, "no"), now, emit)
            return
        if self._found(job, event.rows, now, emit):
            return
        version, mine = head[0], self._host.store.version
        if version < mine:
            # A push can overtake the answer of a read, so an old head is read again.
            self._set(step="", step_until=now + RETRY_S)
        elif version > mine:
            self._set(stage="behind", step="", needed=version)
            self._host.learn_head(version, now)
        else:
            self._check(job, head[1], event.rows, now, emit)

    def _check(
        self, job: _Job, revision: int, rows: Mapping[str, Row], now: float, emit: Emit
    ) -> None:
        host, base = self._host, job.event.base_version
        if base is not None and base != host.store.version:
            self._finish(0, self._conflict(base), now, emit)
            return
        parsed = host.snapshot if host.snapshot.version == host.store.version else None
        if not host.majority():  # catching up may have taken a while
            self._finish(0, _not_accepted(NO_MAJORITY, "no"), now, emit)
            return
        errors = validate(parsed, host.store.rows, job.event.changes)
        if errors:
            self._finish(0, Refusal(Code.INVALID_CHANGE, "; ".join(errors) + "."), now, emit)
            return
        entry = LogEntry(host.store.version + 1, job.event.op_id, job.event.changes)
        write = _transaction(entry, revision, rows)
        self._set(entry=entry, revision=revision, write=write)
        self._write(now, emit)

    def _write(self, now: float, emit: Emit) -> None:
        write = self._jobs[0].write
        assert write is not None
        emit(write._replace(op_id=self._next_step("write", now)))

    def _on_written(self, job: _Job, event: TableAnswered, now: float, emit: Emit) -> None:
        assert job.entry is not None
        if event.status == "ok":
            self._accept(job.entry, now, emit)
        elif event.status == "down" and not job.unsure:
            self._finish(0, _not_accepted("The table service is down.", "no"), now, emit)
        else:
            self._set(stage="verify", unsure=job.unsure or event.status == "unknown")
            self._read(now, emit)

    def _on_verified(self, job: _Job, event: TableAnswered, now: float, emit: Emit) -> None:
        assert job.entry is not None
        head = read_head(event.rows) if event.status == "ok" else None
        if head is None:
            self._set(step="", step_until=now + RETRY_S)
        elif self._found(job, event.rows, now, emit):
            return
        elif head[1] != job.revision:
            # The condition can never hold again, so no transmission can take effect any more.
            self._host.learn_head(head[0], now)
            self._finish(0, _lost_race(read_entry(event.rows, job.entry.version)), now, emit)
        else:
            # The same transaction again is safe: at most one transmission can take effect.
            self._write(now, emit)

    def _found(self, job: _Job, rows: Mapping[str, Row], now: float, emit: Emit) -> bool:
        """Answer when the operation has its row; return whether it has."""
        row = rows.get(_operation_key(job.event.op_id))
        if row is None:
            return False
        version = row.value.get("version")
        if row.value.get("digest") != digest(job.event.changes) or not isinstance(version, int):
            reason = f"op_id was used for another change, version {version}."
            self._finish(0, Refusal(Code.INVALID_CHANGE, reason), now, emit)
        elif job.entry is not None and job.entry.version == version:
            self._accept(job.entry, now, emit)
        else:
            self._host.learn_head(version, now)
            self._finish(version, None, now, emit)
        return True

    def _accept(self, entry: LogEntry, now: float, emit: Emit) -> None:
        emit(Count("config_accepted"))
        self._host.accepted(entry, now, emit)
        self._finish(entry.version, None, now, emit)

    def _conflict(self, base: int) -> Refusal:
        later = [entry for entry in self._host.store.entries() if entry.version > base]
        found = "; ".join(map(_describe, later[-5:])) or f"version {self._host.store.version}"
        return Refusal(
            Code.CONFLICT, f"The change is based on version {base}; since then: {found}."
        )

    def _finish(self, version: int, refusal: Refusal | None, now: float, emit: Emit) -> None:
        job = self._jobs.popleft()
        self._answer(job.event, version, refusal, emit)
        if self._jobs:
            self._start(now, emit)

    def _answer(
        self, event: ApplyRequested, version: int, refusal: Refusal | None, emit: Emit
    ) -> None:
        if refusal is not None:
            emit(Count("config_refused", (refusal.code.name,)))
            version = self._host.store.version
        emit(ApplyDone(event.op_id, version, refusal, event.reply_to))


def digest(changes: Iterable[tuple[str, object]]) -> str:
    """Return a hash of the changes, so that an operation id is not taken for another change."""
    text = json.dumps([list(change) for change in changes], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _operation_key(op_id: str) -> str:
    return f"{OPERATION_PREFIX}{op_id}"


def _transaction(entry: LogEntry, revision: int, rows: Mapping[str, Row]) -> Transact:
    """Return the write of a change; it also deletes the rows of the entry that is now too old."""
    operation = _operation_key(entry.op_id)
    puts: list[tuple[str, dict[str, object]]] = [
        (HEAD_KEY, {"version": entry.version, "op_id": entry.op_id}),
        (log_key(entry.version), write_entry(entry)),
        (operation, {"version": entry.version, "digest": digest(entry.changes)}),
    ]
    deletes = []
    for key, value in entry.changes:
        if value is None:
            deletes.append(f"{ROW_PREFIX}{key}")
        else:
            puts.append((f"{ROW_PREFIX}{key}", value))
    oldest = read_entry(rows, entry.version - KEEP_ENTRIES)
    if oldest is not None:
        deletes += [log_key(oldest.version), _operation_key(oldest.op_id)]
    conditions = ((HEAD_KEY, revision), (operation, 0))
    return Transact("", conditions, tuple(puts), tuple(deletes))


def _describe(entry: LogEntry) -> str:
    keys = ", ".join(key for key, _ in entry.changes[:3])
    more = f" and {len(entry.changes) - 3} more" if len(entry.changes) > 3 else ""
    return f"version {entry.version} (operation {entry.op_id}) changed {keys}{more}"


def _lost_race(winner: LogEntry | None) -> Refusal:
    found = _describe(winner) if winner else "a change that is not in the log"
    return Refusal(Code.CONFLICT, f"Accepted first: {found}.")


def _not_accepted(reason: str, ran: Ran) -> Refusal:
    return Refusal(Code.NOT_ACCEPTED, reason, RETRY_AFTER_S, ran)
