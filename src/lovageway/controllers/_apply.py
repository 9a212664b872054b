"""Writes operators' changes to the table service, at most once for each operation id.

Each change is one transaction, on the conditions that the head row still has the revision that was
read and that the operation has no row yet. The table service never assigns a revision twice, so at
most one transmission for an operation takes effect, whichever daemons send it.
"""

import hashlib
import json
import re
from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from lovageway.codes import Code, Ran, Refusal
from lovageway.controllers._log import Store, log_key, log_row, read_entry, read_head
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

APPLY_TIMEOUT_S = 8.0  # until an operator's request is answered at the latest
CALL_TIMEOUT_S = 3.0  # longer than the table client's own timeout of 2 s
READ_RETRY_S = 0.25
MAX_QUEUED_CHANGES = 32
# Log and operation rows kept in the table service: about 4 h at 5,500 changes per day, below
# 0.5 MB. An operation can be repeated safely as long as its row is kept.
MAX_KEPT_ENTRIES = 1000
RETRY_AFTER_S = 5.0  # sent to the operator
NO_MAJORITY = "This daemon is not in contact with more than half of the listed entry VMs."
_OPERATION = re.compile(r"[A-Za-z0-9_-]{8,64}")


class Host(Protocol):
    """Interface of the configuration that owns the applier."""

    store: Store

    @property
    def snapshot(self) -> Snapshot:
        """Return the configuration in force."""

    def has_majority(self) -> bool:
        """Return whether this daemon has majority contact."""

    def learn_head(self, version: int, now: float) -> None:
        """Record that the table service has this version."""

    def accepted(self, entry: LogEntry, now: float, emit: Emit) -> None:
        """Put an accepted change in force and push it to the peers."""


class _Job(NamedTuple):
    event: ApplyRequested
    deadline: float
    stage: str = "read"  # then "behind", "write" and, if the write is unconfirmed, "verify"
    call_id: str = ""  # id of the table call whose answer is awaited, empty while none is
    call_until: float = 0.0  # when the call counts as lost, or the stage is repeated
    unconfirmed: bool = False  # the write is unconfirmed: a transmission may have taken effect
    revision: int = 0  # of the head row, a condition of the transaction
    required_version: int = 0  # version that the local store has to reach first
    entry: LogEntry | None = None
    write: Transact | None = None


class Applier:
    """Applies operators' changes, one at a time.

    Parameters
    ----------
    host
        Configuration that owns the applier.
    """

    def __init__(self, host: Host) -> None:
        self._host = host
        self._jobs: deque[_Job] = deque()
        self._calls = 0

    def request(self, event: ApplyRequested, now: float, emit: Emit) -> None:
        """Start a change, or queue it behind earlier ones."""
        if not _OPERATION.fullmatch(event.op_id):
            refusal = Refusal(
                Code.INVALID_CHANGE, "op_id needs 8 to 64 letters, digits, - or _.", ran="no"
            )
            self._answer(event, 0, refusal, emit)
        elif len(self._jobs) >= MAX_QUEUED_CHANGES:
            self._answer(event, 0, _not_accepted("Too many changes wait here.", "no"), emit)
        else:
            self._jobs.append(_Job(event, now + APPLY_TIMEOUT_S))
            if len(self._jobs) == 1:
                self._start(now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Refuse the current change at its deadline, or repeat a call whose answer is overdue."""
        if not self._jobs:
            return
        job = self._jobs[0]
        if now >= job.deadline:
            may_have_run = job.unconfirmed or job.stage == "write"
            reason = "The table service did not answer in time, or with a version older than here."
            self._finish(0, _not_accepted(reason, "unknown" if may_have_run else "no"), now, emit)
        elif job.stage == "behind":
            if self._host.store.version >= job.required_version:
                self._read(now, emit)
        elif now >= job.call_until:
            if job.stage == "write":
                self._update_job(unconfirmed=True, stage="verify")
            self._read(now, emit)

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Process the answer of the awaited call."""
        if not self._jobs or self._jobs[0].call_id != event.op_id:
            return
        job = self._jobs[0]
        if job.stage == "read":
            self._on_read(job, event, now, emit)
        elif job.stage == "write":
            self._on_written(job, event, now, emit)
        else:
            self._on_verified(job, event, now, emit)

    def dump(self) -> list[dict[str, object]]:
        """Return the current change and the queued ones."""
        return [{"op_id": job.event.op_id, "stage": job.stage} for job in self._jobs]

    # ---- steps ----------------------------------------------------------------------------------

    def _update_job(self, **fields: object) -> None:
        self._jobs[0] = self._jobs[0]._replace(**fields)  # type: ignore[arg-type]

    def _start(self, now: float, emit: Emit) -> None:
        if self._host.has_majority():
            self._read(now, emit)
        else:
            self._finish(0, _not_accepted(NO_MAJORITY, "no"), now, emit)

    def _read(self, now: float, emit: Emit) -> None:
        job = self._jobs[0]
        stage = "read" if job.stage == "behind" else job.stage
        # The entry of the next version, to report a change that was accepted first, and the entry
        # that exceeds MAX_KEPT_ENTRIES once this change is written.
        version = self._host.store.version + 1
        versions = {
            version,
            version - MAX_KEPT_ENTRIES,
            job.entry.version if job.entry else version,
        }
        keys = [HEAD_KEY, _operation_key(job.event.op_id), *map(log_key, sorted(versions))]
        call_id = self._start_call(stage, now)
        emit(ReadRows(call_id, tuple(keys)))

    def _start_call(self, stage: str, now: float) -> str:
        self._calls += 1
        call_id = f"config-apply-{self._calls}"
        self._update_job(stage=stage, call_id=call_id, call_until=now + CALL_TIMEOUT_S)
        return call_id

    def _on_read(self, job: _Job, event: TableAnswered, now: float, emit: Emit) -> None:
        head = read_head(event.rows) if event.status == "ok" else None
        if head is None:
            reason = "The table service does not answer or its head row is malformed."
            self._finish(0, _not_accepted(reason, "no"), now, emit)
            return
        if self._finish_if_recorded(job, event.rows, now, emit):
            return
        version, own_version = head[0], self._host.store.version
        if version < own_version:
            # A push can arrive before the answer of an earlier read, so the head is read again.
            self._update_job(call_id="", call_until=now + READ_RETRY_S)
        elif version > own_version:
            self._update_job(stage="behind", call_id="", required_version=version)
            self._host.learn_head(version, now)
        else:
            self._validate(job, head[1], event.rows, now, emit)

    def _validate(
        self, job: _Job, revision: int, rows: Mapping[str, Row], now: float, emit: Emit
    ) -> None:
        host, base = self._host, job.event.base_version
        if base is not None and base != host.store.version:
            self._finish(0, self._conflict_with_later(base), now, emit)
            return
        parsed = host.snapshot if host.snapshot.version == host.store.version else None
        if not host.has_majority():  # it may have been lost while catching up
            self._finish(0, _not_accepted(NO_MAJORITY, "no"), now, emit)
            return
        errors = validate(parsed, host.store.rows, job.event.changes)
        if errors:
            self._finish(0, Refusal(Code.INVALID_CHANGE, "; ".join(errors) + "."), now, emit)
            return
        entry = LogEntry(host.store.version + 1, job.event.op_id, job.event.changes)
        write = _transaction(entry, revision, rows)
        self._update_job(entry=entry, revision=revision, write=write)
        self._write(now, emit)

    def _write(self, now: float, emit: Emit) -> None:
        write = self._jobs[0].write
        assert write is not None
        emit(write._replace(op_id=self._start_call("write", now)))

    def _on_written(self, job: _Job, event: TableAnswered, now: float, emit: Emit) -> None:
        assert job.entry is not None
        if event.status == "ok":
            self._accept(job.entry, now, emit)
        elif event.status == "down" and not job.unconfirmed:
            self._finish(0, _not_accepted("The table service is down.", "no"), now, emit)
        else:
            self._update_job(
                stage="verify", unconfirmed=job.unconfirmed or event.status == "unknown"
            )
            self._read(now, emit)

    def _on_verified(self, job: _Job, event: TableAnswered, now: float, emit: Emit) -> None:
        assert job.entry is not None
        head = read_head(event.rows) if event.status == "ok" else None
        if head is None:
            self._update_job(call_id="", call_until=now + READ_RETRY_S)
        elif self._finish_if_recorded(job, event.rows, now, emit):
            return
        elif head[1] != job.revision:
            # The head has changed, so no transmission of this transaction can take effect any more.
            self._host.learn_head(head[0], now)
            self._finish(
                0, _conflict_with_winner(read_entry(event.rows, job.entry.version)), now, emit
            )
        else:
            # Repeating the transaction is safe: at most one transmission can take effect.
            self._write(now, emit)

    def _finish_if_recorded(
        self, job: _Job, rows: Mapping[str, Row], now: float, emit: Emit
    ) -> bool:
        """Finish the job if the operation already has a row; return whether it has one."""
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

    def _conflict_with_later(self, base: int) -> Refusal:
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
    """Return a hash of the changes, which detects reuse of an operation id for another change."""
    text = json.dumps([list(change) for change in changes], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _operation_key(op_id: str) -> str:
    return f"{OPERATION_PREFIX}{op_id}"


def _transaction(entry: LogEntry, revision: int, rows: Mapping[str, Row]) -> Transact:
    """Return the transaction of a change, including the deletion of the oldest kept entry."""
    operation = _operation_key(entry.op_id)
    puts: list[tuple[str, dict[str, object]]] = [
        (HEAD_KEY, {"version": entry.version, "op_id": entry.op_id}),
        (log_key(entry.version), log_row(entry)),
        (operation, {"version": entry.version, "digest": digest(entry.changes)}),
    ]
    deletes = []
    for key, value in entry.changes:
        if value is None:
            deletes.append(f"{ROW_PREFIX}{key}")
        else:
            puts.append((f"{ROW_PREFIX}{key}", value))
    oldest = read_entry(rows, entry.version - MAX_KEPT_ENTRIES)
    if oldest is not None:
        deletes += [log_key(oldest.version), _operation_key(oldest.op_id)]
    conditions = ((HEAD_KEY, revision), (operation, 0))
    return Transact("", conditions, tuple(puts), tuple(deletes))


def _describe(entry: LogEntry) -> str:
    keys = ", ".join(key for key, _ in entry.changes[:3])
    more = f" and {len(entry.changes) - 3} more" if len(entry.changes) > 3 else ""
    return f"version {entry.version} (operation {entry.op_id}) changed {keys}{more}"


def _conflict_with_winner(winner: LogEntry | None) -> Refusal:
    found = _describe(winner) if winner else "a change that is not in the log"
    return Refusal(Code.CONFLICT, f"Accepted first: {found}.")


def _not_accepted(reason: str, ran: Ran) -> Refusal:
    return Refusal(Code.NOT_ACCEPTED, reason, RETRY_AFTER_S, ran)
