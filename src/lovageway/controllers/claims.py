"""At-most-once calls: a claim row is written before a call is sent and is never taken over.

Every write is conditioned on a revision, so a write that arrives late changes nothing. See
`lovageway.claimrows` for the row's states.
"""

from collections.abc import Callable

from lovageway.chain import Context
from lovageway.claimrows import (
    EPOCH_KEY,
    Claim,
    Epoch,
    Stop,
    done_fields,
    index_key,
    read_epoch,
    resend_response,
)
from lovageway.codes import Code, Refusal
from lovageway.controllers.base import Controller
from lovageway.controllers.lookups import TABLE_WAIT_S, Lookups
from lovageway.events import (
    Count,
    Emit,
    Failure,
    ReadRows,
    Row,
    StateChanged,
    TableAnswered,
    Transact,
)

DOWN_RETRY_S = 5.0
BUSY_RETRY_S = 1.0
# With this number of outcomes still to be written (4 MB of answers), no claim is made, because
# outcomes must not be dropped.
MAX_UNWRITTEN = 256
MAX_WRITES = 8  # concurrent background writes of one daemon
MAX_INSERTS = 5  # inserts of one claim, repeated after conflicts in which nothing was written
MAX_BACKOFF_S = 5.0
MAX_DRAIN_WAIT_S = 5.0  # a drain waits no longer for a write; the row then stays "sent"
RUN_MARGIN_S = 60.0  # after the service's timeout; then an attempt without outcome counts as lost
NOT_RUN: tuple[Failure, ...] = ("refused", "connect")


class Claims(Controller):
    """Claims of this daemon, from their insert until their outcome is written.

    Parameters
    ----------
    node
        Node id of this daemon.
    live
        Returns the node ids of the live daemons.
    """

    def __init__(self, node: str, live: Callable[[], set[str]]) -> None:
        self._node = node
        self._live = live
        self._number = 0
        self.lookups = Lookups()
        self._claims: dict[str, Claim] = {}
        self._by_request: dict[str, str] = {}
        self._by_row: dict[str, str] = {}
        self._stops: dict[str, Stop] = {}
        self._ready_requests: list[str] = []

    # ---- results for resends --------------------------------------------------------------------

    def check_local(self, row_key: str, fingerprint: str) -> Stop | None:
        """Return the response to a resend by this daemon's own claims.

        None means that the row in the table service must be read.
        """
        claim = self._claims.get(self._by_row.get(row_key, ""))
        if claim is None or (claim.phase == "writing" and not claim.revision):
            return None
        if claim.fingerprint != fingerprint:
            return Refusal(Code.IDEMPOTENCY_KEY_REUSED)
        if claim.outcome is None:
            return Refusal(Code.IN_PROGRESS, retry_after_s=BUSY_RETRY_S)
        if claim.outcome["state"] == "not_run":
            return Refusal(Code.CLAIM_UNKNOWN, retry_after_s=BUSY_RETRY_S)
        return resend_response(claim.outcome)

    def check_row(self, row: Row | None, fingerprint: str) -> Stop | int:
        """Return the response to a resend, or the row's revision if the call may be claimed."""
        if row is None:
            return 0
        value = row.value
        if value.get("fingerprint") != fingerprint:
            return Refusal(Code.IDEMPOTENCY_KEY_REUSED)
        match value.get("state"):
            case "not_run":
                return row.revision
            case "sent":
                return self._check_sent(value)
        return resend_response(value)

    def _check_sent(self, value: dict[str, object]) -> Refusal:
        held = self._claims.get(str(value.get("op_id")))
        if value.get("node") == self._node:
            if held is None:
                return Refusal(Code.OUTCOME_UNKNOWN)
            if held.outcome and held.outcome["state"] == "not_run":
                return Refusal(Code.CLAIM_UNKNOWN, retry_after_s=BUSY_RETRY_S)
        elif value.get("node") not in self._live():
            return Refusal(Code.OUTCOME_UNKNOWN)
        return Refusal(Code.IN_PROGRESS, retry_after_s=BUSY_RETRY_S)

    # ---- life of a claim ------------------------------------------------------------------------

    def insert(self, ctx: Context, row_key: str, now: float, emit: Emit) -> Refusal | None:
        """Start the insert of a claim and return None, or return why no claim can be made."""
        if sum(claim.phase == "writing" for claim in self._claims.values()) >= MAX_UNWRITTEN:
            return Refusal(Code.TABLE_DOWN, "Results wait to be written.", DOWN_RETRY_S)
        assert ctx.service is not None
        self._number += 1
        claim = Claim(
            f"{self._node}#{self._number}",
            ctx.req.request_id,
            row_key,
            ctx.req.fingerprint,
            ctx.claim_revision,
            Epoch(*ctx.claim_epoch),
            "inserting",
            now + TABLE_WAIT_S,
            ctx.service.timeout_s + RUN_MARGIN_S,
        )
        self._by_request[claim.request_id] = self._by_row[row_key] = claim.op_id
        self._insert(claim, emit)
        return None

    def find_claim(self, request_id: str) -> Claim | None:
        """Return the claim of a request, or None."""
        return self._claims.get(self._by_request.get(request_id, ""))

    def pop_stop(self, request_id: str) -> Stop | None:
        """Return and remove the response to a request whose claim ended before it was held."""
        return self._stops.pop(request_id, None)

    def pop_ready(self) -> list[str]:
        """Return and clear the ids of requests whose lookup or claim has changed state."""
        ready, self._ready_requests = self._ready_requests, []
        return ready

    def record_sent(self, request_id: str, now: float) -> None:
        """Record that the call is being sent under the held claim."""
        claim = self.find_claim(request_id)
        assert claim is not None
        assert claim.phase == "held"
        self._store(claim._replace(phase="running", until=now + claim.run_s))

    def finished(self, request_id: str, answer: str | None, now: float, emit: Emit) -> None:
        """Store the answer of a call."""
        claim = self.find_claim(request_id)
        if claim is not None and claim.phase == "running":
            self._record_outcome(claim, done_fields(answer), now, emit)

    def failed(self, request_id: str, failure: Failure, now: float, emit: Emit) -> None:
        """Record the failure of an attempt; a claim whose call did not run may be used again."""
        claim = self.find_claim(request_id)
        if claim is None or claim.phase != "running":
            return
        if failure not in NOT_RUN:
            self._record_outcome(claim, {"state": "unknown"}, now, emit)
        elif claim.detached:
            self._record_outcome(claim, {"state": "not_run"}, now, emit)
        else:
            self._store(claim._replace(phase="held"))

    def closed(self, request_id: str, now: float, emit: Emit) -> None:
        """Record the end of a request; a call that was never sent becomes "not_run"."""
        self.lookups.end(request_id)
        self._stops.pop(request_id, None)
        claim = self.find_claim(request_id)
        if claim is None or claim.phase == "writing":
            return
        if claim.phase == "running":
            self._store(claim._replace(detached=True))
        else:
            self._record_outcome(claim, {"state": "not_run"}, now, emit)

    def busy(self, now: float) -> bool:
        """Return whether a drain has to wait for calls or for the writes of their outcomes."""
        return any(
            claim.outcome is None or now < claim.outcome_at + MAX_DRAIN_WAIT_S
            for claim in self._claims.values()
        )

    def tick(self, now: float, emit: Emit) -> None:
        """Start due writes of outcomes and end claims whose deadline has passed."""
        self.lookups.tick(now)
        writes = sum(claim.pending for claim in self._claims.values())
        for claim in [claim for claim in self._claims.values() if now >= claim.until]:
            if claim.phase in ("inserting", "checking"):
                self._record_outcome(claim, {"state": "not_run"}, now, emit)
            elif claim.phase == "running":
                self._record_outcome(claim, {"state": "unknown"}, now, emit)
            elif claim.phase == "writing" and not claim.pending and writes < MAX_WRITES:
                writes += 1
                self._write(claim, emit)

    def dump(self, now: float) -> dict[str, object]:
        """Return the claims that are held or wait to be written, without their answers."""
        return {
            "lookups": len(self.lookups),
            "claims": [
                {
                    "op_id": claim.op_id,
                    "row": claim.row_key,
                    "phase": claim.phase,
                    "outcome": (claim.outcome or {}).get("state"),
                }
                for claim in self._claims.values()
            ],
        }

    # ---- answers of the table service -----------------------------------------------------------

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Apply the answer to a lookup, an insert, a check or a background write."""
        verb, _, name = event.op_id.partition("|")
        if verb == "lookup":
            if self.lookups.answered(name, event):
                self._ready_requests.append(name)
            return
        claim = self._claims.get(name)
        if claim is None:
            return
        match verb:
            case "claim":
                self._insert_answered(claim, event, now, emit)
            case "check" if claim.phase == "checking":
                self._check_answered(claim, event, now, emit)
            case "settle":
                self._outcome_written(claim._replace(pending=False), event, now, emit)
            case "reread":
                self._reread(claim._replace(pending=False), event, now, emit)
        self._ready_requests.append(claim.request_id)

    def _insert(self, claim: Claim, emit: Emit) -> None:
        self._store(claim._replace(phase="inserting"))
        conditions = ((claim.row_key, claim.condition), (EPOCH_KEY, claim.epoch.revision))
        emit(
            Transact(
                f"claim|{claim.op_id}", conditions, self._row_writes(claim, {"state": "sent"}, True)
            )
        )

    def _insert_answered(self, claim: Claim, event: TableAnswered, now: float, emit: Emit) -> None:
        row = event.rows.get(claim.row_key)
        if event.status != "unknown" and row is not None and self._is_own(row, claim):
            self._hold_confirmed(claim._replace(revision=row.revision), now, emit)
        elif claim.phase == "writing":
            if event.status in ("conflict", "down"):
                self._remove(claim)  # nothing was written, so there is no outcome to write
        elif event.status == "conflict":
            self._retry_or_end(claim, event, emit)
        elif event.status == "down":
            self._end_claim(claim, Refusal(Code.TABLE_DOWN, retry_after_s=DOWN_RETRY_S))
        else:
            self._store(claim._replace(phase="checking"))
            emit(ReadRows(f"check|{claim.op_id}", (claim.row_key,)))

    def _hold_confirmed(self, claim: Claim, now: float, emit: Emit) -> None:
        """Hold a claim whose row is known, or end it as "not_run" after its deadline.

        A daemon that was paused may apply the answer before its next tick, so the deadline is
        checked here as well.
        """
        if claim.phase == "writing":
            self._store(claim)
        elif now < claim.until:
            self._store(claim._replace(phase="held"))
        else:
            self._record_outcome(claim, {"state": "not_run"}, now, emit)

    def _retry_or_end(self, claim: Claim, event: TableAnswered, emit: Emit) -> None:
        """Insert again if the conflict allows it; the answer proves that nothing was written."""
        row, epoch = event.rows.get(claim.row_key), event.rows.get(EPOCH_KEY)
        condition: Stop | int = claim.condition
        if row is not None:
            condition = self.check_row(row, claim.fingerprint)
        elif epoch is None:
            condition = 0  # the row has been deleted by the cleaning since the lookup
        if not isinstance(condition, int):
            self._end_claim(claim, condition)
        elif claim.inserts >= MAX_INSERTS:
            self._end_claim(claim, Refusal(Code.CLAIM_UNKNOWN, retry_after_s=BUSY_RETRY_S))
        else:
            found = read_epoch(epoch) if epoch is not None else claim.epoch
            again = claim._replace(condition=condition, epoch=found, inserts=claim.inserts + 1)
            self._insert(again, emit)

    def _check_answered(self, claim: Claim, event: TableAnswered, now: float, emit: Emit) -> None:
        row = event.rows.get(claim.row_key)
        if event.status == "ok" and row is not None and self._is_own(row, claim):
            self._hold_confirmed(claim._replace(revision=row.revision), now, emit)
        elif event.status == "ok" and row is not None and row.revision != claim.condition:
            # The revision has changed, so a late insert of this claim cannot take effect.
            stop = self.check_row(row, claim.fingerprint)
            unknown = Refusal(Code.CLAIM_UNKNOWN, retry_after_s=BUSY_RETRY_S)
            self._end_claim(claim, unknown if isinstance(stop, int) else stop)
        else:
            self._record_outcome(claim, {"state": "not_run"}, now, emit)

    # ---- outcome --------------------------------------------------------------------------------

    def _record_outcome(
        self, claim: Claim, outcome: dict[str, object], now: float, emit: Emit
    ) -> None:
        claim = claim._replace(phase="writing", outcome=outcome, until=now, outcome_at=now)
        self._store(claim)
        if claim.revision:
            self._write(claim, emit)

    def _write(self, claim: Claim, emit: Emit) -> None:
        """Write the outcome; the row of an unconfirmed claim is read first."""
        assert claim.outcome is not None
        self._store(claim._replace(pending=True))
        if not claim.revision:
            emit(ReadRows(f"reread|{claim.op_id}", (claim.row_key,)))
            return
        puts = self._row_writes(claim, claim.outcome, False)
        emit(Transact(f"settle|{claim.op_id}", ((claim.row_key, claim.revision),), puts))

    def _reread(self, claim: Claim, event: TableAnswered, now: float, emit: Emit) -> None:
        """Apply the row of an unconfirmed claim, whose insert may not take effect any more."""
        row = event.rows.get(claim.row_key)
        if event.status != "ok":
            self._retry_later(claim, now)
        elif row is not None and self._is_own(row, claim):
            self._write(claim._replace(revision=row.revision), emit)
        elif (row.revision if row else 0) == claim.condition:
            assert claim.outcome is not None
            self._store(claim._replace(pending=True))
            puts = self._row_writes(claim, claim.outcome, True)
            condition = (claim.row_key, claim.condition)
            emit(Transact(f"settle|{claim.op_id}", (condition,), puts))
        else:
            self._remove(claim)

    def _outcome_written(self, claim: Claim, event: TableAnswered, now: float, emit: Emit) -> None:
        assert claim.outcome is not None
        state = str(claim.outcome["state"])
        row = event.rows.get(claim.row_key)
        own = row is not None and self._is_own(row, claim)
        if event.status == "ok" or (own and row and row.value.get("state") == state):
            emit(Count("claims_settled", (state,)))
            self._remove(claim)
        elif event.status != "conflict":
            self._retry_later(claim, now)
        elif own and row:
            self._write(claim._replace(revision=row.revision), emit)
        elif claim.revision:
            emit(StateChanged("claim_row_lost", {"row": claim.row_key, "outcome": state}))
            self._remove(claim)
        else:
            self._retry_later(claim, now)

    def _retry_later(self, claim: Claim, now: float) -> None:
        backoff = min(2 * claim.backoff, MAX_BACKOFF_S)
        self._store(claim._replace(until=now + claim.backoff, backoff=backoff))

    # ---- rows and local records -----------------------------------------------------------------

    def _is_own(self, row: Row, claim: Claim) -> bool:
        return row.value.get("op_id") == claim.op_id

    def _row_writes(
        self, claim: Claim, state: dict[str, object], indexed: bool
    ) -> tuple[tuple[str, dict[str, object]], ...]:
        value: dict[str, object] = {
            "node": self._node,
            "op_id": claim.op_id,
            "fingerprint": claim.fingerprint,
            "epoch": claim.epoch.number,
            **state,
        }
        index: tuple[str, dict[str, object]] = (
            index_key(claim.epoch.number, claim.op_id),
            {"key": claim.row_key},
        )
        return ((claim.row_key, value), index) if indexed else ((claim.row_key, value),)

    def _store(self, claim: Claim) -> None:
        self._claims[claim.op_id] = claim

    def _end_claim(self, claim: Claim, stop: Stop) -> None:
        self._stops[claim.request_id] = stop
        self._remove(claim)

    def _remove(self, claim: Claim) -> None:
        del self._claims[claim.op_id]
        for table, key in ((self._by_request, claim.request_id), (self._by_row, claim.row_key)):
            if table.get(key) == claim.op_id:
                del table[key]
