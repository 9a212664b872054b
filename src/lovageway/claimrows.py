"""Idempotency records of calls that must not run twice, here named claims.

Before a daemon sends such a call, it writes a row to the table service, so that a resend with the
same idempotency key does not run the call again. The states of the row ``claim/ACCOUNT/KEY`` are
"sent" (the daemon that wrote it may have sent the call), "done" (the call ran; the row has the
answer unless that is too large), "not_run" (the call is known not to have run; a resend may replace
the row if it still has that revision) and "unknown" (the answer was lost). The rows
``claim-index/EPOCH/SHARD/OPERATION`` list the claims of an epoch, so that old ones can be deleted
(see `controllers.cleaning`).
"""

import hashlib
from typing import Literal, NamedTuple
from urllib.parse import quote

from lovageway.chain import Answered
from lovageway.codes import Code, Refusal
from lovageway.events import Row

MAX_STORED_ANSWER_BYTES = 16384
EPOCH_KEY = "lease/claims"  # see controllers.cleaning
# Per epoch of 60 s. A read returns one shard, which has at most 600 rows at 150 calls/s, as the
# 9,000 calls of an epoch are divided among the shards.
INDEX_SHARDS = 16

FIRST_BACKOFF_S = 0.5  # between attempts to write an outcome

Stop = Refusal | Answered  # response to a request whose call is not to be sent


class Epoch(NamedTuple):
    """Period in which a claim was made, and the revision of the row that states the period."""

    number: int
    revision: int


class Claim(NamedTuple):
    """One claim of this daemon, kept until its outcome is written."""

    op_id: str
    request_id: str
    row_key: str
    fingerprint: str
    condition: int  # revision of the row that the insert requires
    epoch: Epoch
    # Row being written, its state unknown and being read, row confirmed, call sent, outcome known.
    phase: Literal["inserting", "checking", "held", "running", "writing"]
    until: float  # deadline of the insert or the run, or the time of the next write
    run_s: float  # maximum duration of a run
    revision: int = 0  # of this claim's row; 0: not confirmed
    inserts: int = 1  # attempts so far
    detached: bool = False  # the request has ended but the call is still running
    outcome: dict[str, object] | None = None
    outcome_at: float = 0.0  # time at which the outcome became known
    backoff: float = FIRST_BACKOFF_S
    pending: bool = False  # a read or write of the table service is in progress


def row_key(account: str, key: str) -> str:
    """Return the key of the claim's row; both parts are escaped, so every pair has its own row."""
    return f"claim/{quote(account, safe='')}/{quote(key, safe='')}"


def index_prefix(epoch: int, shard: int) -> str:
    """Return the key prefix of the index rows of one shard of one epoch."""
    return f"claim-index/{epoch}/{shard:x}/"


def index_key(epoch: int, op_id: str) -> str:
    """Return the key of the index row that lists a claim."""
    shard = hashlib.blake2b(op_id.encode(), digest_size=1).digest()[0] % INDEX_SHARDS
    return index_prefix(epoch, shard) + quote(op_id, safe="")


def read_epoch(row: Row | None) -> Epoch:
    """Return the epoch in the row of EPOCH_KEY, or epoch 0 if there is no row."""
    if row is None:
        return Epoch(0, 0)
    number = row.value.get("epoch")
    return Epoch(number if isinstance(number, int) else 0, row.revision)


def done_fields(answer: str | None) -> dict[str, object]:
    """Return the row's fields for a call that ran; of a too large answer only its size."""
    size = len((answer or "").encode(errors="surrogateescape"))
    if answer is None or size > MAX_STORED_ANSWER_BYTES:
        return {"state": "done", "answer": None, "bytes": size}
    return {"state": "done", "answer": answer}


def resend_response(value: dict[str, object]) -> Stop:
    """Return the response to a resend of a call whose row is "done" or "unknown"."""
    answer = value.get("answer")
    if value.get("state") != "done":
        return Refusal(Code.OUTCOME_UNKNOWN)
    if isinstance(answer, str):
        return Answered(answer)
    return Refusal(Code.ANSWER_NOT_STORED, f"The answer had {value.get('bytes')} bytes.")
