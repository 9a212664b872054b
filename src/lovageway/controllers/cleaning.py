"""Deletes claims a day after they were made, without comparing clocks of machines.

The row ``lease/claims`` holds the current epoch and the daemon that cleans. Only a daemon that has
seen one revision of the row for EPOCH_S of its own monotonic clock replaces it, conditioned on that
revision, so each epoch lasts at least EPOCH_S. A claim is inserted on the condition that the row
has the revision whose epoch the claim bears. Hence a claim that is RETAIN_EPOCHS epochs old is at
least RETAIN_EPOCHS * EPOCH_S old. Deletions are conditioned on the claims' revisions, so two
cleaners at once only waste work.
"""

import random

from lovageway.claimrows import EPOCH_KEY, INDEX_SHARDS, index_prefix, read_epoch
from lovageway.controllers.base import Controller
from lovageway.controllers.membership import Membership
from lovageway.events import Count, Emit, ReadRows, Row, StateChanged, TableAnswered, Transact

EPOCH_S = 60.0
RETAIN_EPOCHS = 1455  # 24 h and 1 % for clocks that run fast
TAKEOVER_S = 1.5 * EPOCH_S
READ_S = 30.0
MAX_READS_PER_S = 5.0  # of the whole fleet
BATCH = 100
STEP_S = 0.1
RETRY_S = 5.0


Batch = list[tuple[str, str]]  # index rows of one shard and the claim rows that they name


class Cleaning(Controller):
    """Owner of this daemon's view of the epoch and of the cleaning under way.

    Parameters
    ----------
    membership
        Names this daemon and counts the others.
    rng
        Spreads reads and takeovers.
    """

    def __init__(self, membership: Membership, rng: random.Random) -> None:
        self._membership = membership
        self._rng = rng
        self._row: Row | None = None
        self._since = 0.0  # when this revision was first seen
        self._read_at = -1.0  # when it was last seen, -1: never
        self._next_read = 0.0
        self._patience = TAKEOVER_S * (1 + rng.random())
        self._cleaned = -1
        self._shard = 0
        self._batches: list[Batch] = []
        self._step = ""  # operation that the cleaning waits for
        self._next_step = 0.0

    def tick(self, now: float, emit: Emit) -> None:
        """Read the epoch, replace it and take the next step of cleaning when due."""
        if now >= self._next_read:
            daemons = len(self._membership.live())
            interval = max(READ_S, daemons / MAX_READS_PER_S)
            self._next_read = now + interval * (0.75 + 0.5 * self._rng.random())
            emit(ReadRows("epoch-read|", (EPOCH_KEY,)))
        holder = self._holds()
        wait = EPOCH_S if holder else self._patience
        if self._read_at >= 0 and now >= self._since + wait and self._read_at >= self._since:
            if not holder and self._read_at < self._since + TAKEOVER_S:
                return  # the holder may have replaced the row since it was read last
            self._advance(now, emit)
        if holder and not self._step and now >= self._next_step:
            self._clean(now, emit)

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Take the epoch as read or written, or the answer to a step of cleaning."""
        verb, _, _ = event.op_id.partition("|")
        match verb:
            case "epoch-read" if event.status == "ok":
                self._take(event.rows.get(EPOCH_KEY), now)
            case "epoch-write" if event.status == "ok":
                self._take(event.rows.get(EPOCH_KEY), now)
                emit(Count("claim_epochs"))
            case "epoch-write" if event.status == "conflict":
                self._take(event.rows.get(EPOCH_KEY), now)
        if self._step and event.op_id == self._step:
            self._step = ""
            self._next_step = now + (STEP_S if event.status == "ok" else RETRY_S)
            self._cleaned_step(verb, event, now, emit)

    def dump(self, now: float) -> dict[str, object]:
        """Return the epoch, its holder and how far claims are cleaned."""
        return {"row": self._row.value if self._row else None, "cleaned": self._cleaned}

    def _holds(self) -> bool:
        return self._row is not None and self._row.value.get("node") == self._membership.node

    def _take(self, row: Row | None, now: float) -> None:
        if self._read_at < 0 or (row.revision if row else 0) != read_epoch(self._row).revision:
            self._row, self._since = row, now
            cleaned = row.value.get("cleaned") if row else None
            if isinstance(cleaned, int) and cleaned > self._cleaned:
                # Another holder has cleaned on; what this one has begun is of a cleaned epoch.
                self._cleaned, self._shard, self._batches, self._step = cleaned, 0, [], ""
        self._read_at = now

    def _advance(self, now: float, emit: Emit) -> None:
        epoch = read_epoch(self._row)
        if not self._holds():
            fields = {"node": self._membership.node, "epoch": epoch.number + 1}
            emit(StateChanged("claim_cleaning_taken_over", fields))
        value = {
            "epoch": epoch.number + 1,
            "cleaned": self._cleaned,
            "node": self._membership.node,
        }
        emit(Transact(f"epoch-write|{now}", ((EPOCH_KEY, epoch.revision),), ((EPOCH_KEY, value),)))
        # Until the answer, or the next read if it is lost, nothing more is known.
        self._since, self._next_read = now, now + RETRY_S

    # ---- cleaning -------------------------------------------------------------------------------

    def _clean(self, now: float, emit: Emit) -> None:
        epoch = self._cleaned + 1
        if epoch > read_epoch(self._row).number - RETAIN_EPOCHS:
            return
        if self._batches:
            rows = tuple(claim for _, claim in self._batches[0])
            self._ask(ReadRows(f"clean-read|{epoch}/{self._shard}/{now}", rows), emit)
        else:
            prefix = index_prefix(epoch, self._shard)
            self._ask(ReadRows(f"clean-list|{epoch}/{self._shard}/{now}", (), prefix), emit)

    def _ask(self, effect: ReadRows | Transact, emit: Emit) -> None:
        self._step = effect.op_id
        emit(effect)

    def _cleaned_step(self, verb: str, event: TableAnswered, now: float, emit: Emit) -> None:
        if event.status != "ok":
            self._batches = []  # the shard is listed again
        elif verb == "clean-list":
            found = [(key, str(row.value.get("key"))) for key, row in sorted(event.rows.items())]
            self._batches = [found[n : n + BATCH] for n in range(0, len(found), BATCH)]
            if not found:
                self._next_shard()
        elif verb == "clean-read":
            self._delete(event, now, emit)
        elif verb == "clean-delete":
            self._batches = self._batches[1:]
            if not self._batches:
                self._next_shard()

    def _delete(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Delete the batch's index rows and those claims that still belong to the epoch."""
        epoch, batch = self._cleaned + 1, self._batches[0]
        old = {
            key: row.revision
            for key, row in event.rows.items()
            if key.startswith("claim/") and row.value.get("epoch") == epoch
        }
        deletes = (*old, *(index for index, _ in batch))
        op_id = f"clean-delete|{epoch}/{self._shard}/{now}"
        self._ask(Transact(op_id, tuple(old.items()), (), deletes), emit)
        emit(Count("claims_cleaned", (), len(old)))

    def _next_shard(self) -> None:
        self._shard += 1
        if self._shard == INDEX_SHARDS:
            self._shard, self._cleaned = 0, self._cleaned + 1
