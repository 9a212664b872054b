"""Deletion of claims a day after they were made, without comparing the clocks of machines.

The row ``lease/claims`` holds the current epoch and the daemon that deletes old claims. A daemon
replaces the row only after it has seen the same revision for EPOCH_S of its own monotonic clock,
and conditions the write on that revision, so each epoch lasts at least EPOCH_S. A claim is inserted
on the condition that the row has the revision from which the claim's epoch was read. Hence a claim
that is RETAIN_EPOCHS epochs old is at least RETAIN_EPOCHS * EPOCH_S old. Deletions are conditioned
on the claims' revisions, so two daemons that delete at the same time only duplicate work.
"""

import random

from lovageway.claimrows import EPOCH_KEY, INDEX_SHARDS, index_prefix, read_epoch
from lovageway.controllers.base import Controller
from lovageway.controllers.membership import Membership
from lovageway.events import Count, Emit, ReadRows, Row, StateChanged, TableAnswered, Transact

EPOCH_S = 60.0
RETAIN_EPOCHS = 1455  # 24 h, and 1 % more for clocks that run fast
MIN_TAKEOVER_S = 1.5 * EPOCH_S  # time without a new revision before another daemon takes over
MIN_READ_INTERVAL_S = 30.0
MAX_FLEET_READS_PER_S = 5.0  # by all daemons together
BATCH = 100  # claims deleted in one transaction
STEP_INTERVAL_S = 0.1
RETRY_S = 5.0

# Keys of index rows of one shard, each with the key of the claim row that it names.
Batch = list[tuple[str, str]]


class Cleaning(Controller):
    """State of the epoch as known to this daemon, and of its own deletion of claims.

    Parameters
    ----------
    membership
        Source of this daemon's node id and of the number of daemons.
    rng
        Source of the jitter of reads and takeovers.
    """

    def __init__(self, membership: Membership, rng: random.Random) -> None:
        self._membership = membership
        self._rng = rng
        self._row: Row | None = None
        self._revision_seen_at = 0.0  # when this revision was first seen
        self._read_at = -1.0  # when this revision was last seen, -1: never
        self._next_read = 0.0
        self._takeover_after_s = MIN_TAKEOVER_S * (1 + rng.random())
        self._cleaned = -1  # last epoch whose claims have been deleted
        self._shard = 0  # shard of the next epoch that is being deleted
        self._batches: list[Batch] = []  # of this shard, not deleted yet
        self._pending_op = ""  # table operation whose answer the cleaning waits for
        self._next_step_at = 0.0

    def tick(self, now: float, emit: Emit) -> None:
        """Read the epoch, start a new one or continue the cleaning, whichever is due."""
        if now >= self._next_read:
            daemons = len(self._membership.live())
            interval = max(MIN_READ_INTERVAL_S, daemons / MAX_FLEET_READS_PER_S)
            self._next_read = now + interval * (0.75 + 0.5 * self._rng.random())
            emit(ReadRows("epoch-read|", (EPOCH_KEY,)))
        holder = self._is_holder()
        wait = EPOCH_S if holder else self._takeover_after_s
        if (
            self._read_at >= 0
            and now >= self._revision_seen_at + wait
            and self._read_at >= self._revision_seen_at
        ):
            if not holder and self._read_at < self._revision_seen_at + MIN_TAKEOVER_S:
                return  # the holder may have replaced the row since it was read last
            self._start_epoch(now, emit)
        if holder and not self._pending_op and now >= self._next_step_at:
            self._clean(now, emit)

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Apply the epoch as read or written, or the answer to a step of the cleaning."""
        verb, _, _ = event.op_id.partition("|")
        match verb:
            case "epoch-read" if event.status == "ok":
                self._apply_row(event.rows.get(EPOCH_KEY), now)
            case "epoch-write" if event.status == "ok":
                self._apply_row(event.rows.get(EPOCH_KEY), now)
                emit(Count("claim_epochs"))
            case "epoch-write" if event.status == "conflict":
                self._apply_row(event.rows.get(EPOCH_KEY), now)
        if self._pending_op and event.op_id == self._pending_op:
            self._pending_op = ""
            self._next_step_at = now + (STEP_INTERVAL_S if event.status == "ok" else RETRY_S)
            self._step_answered(verb, event, now, emit)

    def dump(self, now: float) -> dict[str, object]:
        """Return the epoch, its holder and the last epoch whose claims are deleted."""
        return {"row": self._row.value if self._row else None, "cleaned": self._cleaned}

    def _is_holder(self) -> bool:
        return self._row is not None and self._row.value.get("node") == self._membership.node

    def _apply_row(self, row: Row | None, now: float) -> None:
        if self._read_at < 0 or (row.revision if row else 0) != read_epoch(self._row).revision:
            self._row, self._revision_seen_at = row, now
            cleaned = row.value.get("cleaned") if row else None
            if isinstance(cleaned, int) and cleaned > self._cleaned:
                # Another holder has cleaned later epochs, so the step begun here is obsolete.
                self._cleaned, self._shard, self._batches, self._pending_op = cleaned, 0, [], ""
        self._read_at = now

    def _start_epoch(self, now: float, emit: Emit) -> None:
        epoch = read_epoch(self._row)
        if not self._is_holder():
            fields = {"node": self._membership.node, "epoch": epoch.number + 1}
            emit(StateChanged("claim_cleaning_taken_over", fields))
        value = {
            "epoch": epoch.number + 1,
            "cleaned": self._cleaned,
            "node": self._membership.node,
        }
        emit(Transact(f"epoch-write|{now}", ((EPOCH_KEY, epoch.revision),), ((EPOCH_KEY, value),)))
        # No further write is due until the answer, or until the next read if the answer is lost.
        self._revision_seen_at, self._next_read = now, now + RETRY_S

    # ---- cleaning -------------------------------------------------------------------------------

    def _clean(self, now: float, emit: Emit) -> None:
        epoch = self._cleaned + 1
        if epoch > read_epoch(self._row).number - RETAIN_EPOCHS:
            return
        if self._batches:
            rows = tuple(claim for _, claim in self._batches[0])
            self._start_step(ReadRows(f"clean-read|{epoch}/{self._shard}/{now}", rows), emit)
        else:
            prefix = index_prefix(epoch, self._shard)
            self._start_step(ReadRows(f"clean-list|{epoch}/{self._shard}/{now}", (), prefix), emit)

    def _start_step(self, effect: ReadRows | Transact, emit: Emit) -> None:
        self._pending_op = effect.op_id
        emit(effect)

    def _step_answered(self, verb: str, event: TableAnswered, now: float, emit: Emit) -> None:
        if event.status != "ok":
            self._batches = []  # list the shard again
        elif verb == "clean-list":
            found = [(key, str(row.value.get("key"))) for key, row in sorted(event.rows.items())]
            self._batches = [found[n : n + BATCH] for n in range(0, len(found), BATCH)]
            if not found:
                self._finish_shard()
        elif verb == "clean-read":
            self._delete_batch(event, now, emit)
        elif verb == "clean-delete":
            self._batches = self._batches[1:]
            if not self._batches:
                self._finish_shard()

    def _delete_batch(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Delete the batch's index rows and the claims that still belong to the epoch."""
        epoch, batch = self._cleaned + 1, self._batches[0]
        old = {
            key: row.revision
            for key, row in event.rows.items()
            if key.startswith("claim/") and row.value.get("epoch") == epoch
        }
        deletes = (*old, *(index for index, _ in batch))
        op_id = f"clean-delete|{epoch}/{self._shard}/{now}"
        self._start_step(Transact(op_id, tuple(old.items()), (), deletes), emit)
        emit(Count("claims_cleaned", (), len(old)))

    def _finish_shard(self) -> None:
        self._shard += 1
        if self._shard == INDEX_SHARDS:
            self._shard, self._cleaned = 0, self._cleaned + 1
