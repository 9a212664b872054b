"""Rows of the table service, and records of a daemon, for calls which must not run twice.

States of the row ``claim/ACCOUNT/KEY``: "sent" (the holder may have sent the call), "done" (with
the answer), "not_run" (proved; a resend may claim anew on that revision) and "unknown" (the answer
was lost). ``claim-index/EPOCH/SHARD/OPERATION`` names the claims of an epoch, for cleaning.
"""

import hashlib
from typing import Literal, NamedTuple
from urllib.parse import quote

from lovageway.chain import Answered
from lovageway.codes import Code, Refusal
from lovageway.events import Row

MAX_STORED_ANSWER_BYTES = 16384  # of an answer
EPOCH_KEY = "lease/claims"  # see controllers.cleaning
INDEX_SHARDS = 16  # of an epoch's index: one read returns at most 600 rows at 150 calls/s

FIRST_BACKOFF_S = 0.5  # between writes of an outcome

Stop = Refusal | Answered


class Epoch(NamedTuple):
    """The period that a claim belongs to and the revision of the row that says so."""

    number: int
    revision: int


class Claim(NamedTuple):
    """One claim of this daemon until its outcome is written."""

    op_id: str
    request_id: str
    row_key: str
    fingerprint: str
    condition: int  # revision that the insert is conditioned on
    epoch: Epoch
    phase: Literal["inserting", "checking", "held", "running", "writing"]
    until: float  # deadline of the insert, of the run, or time of the next write
    run_s: float  # how long a run may last
    revision: int = 0  # of this claim's row, 0: not confirmed
    inserts: int = 1
    detached: bool = False  # the request has ended while the call runs
    outcome: dict[str, object] | None = None
    settled: float = 0.0  # when the outcome was known
    backoff: float = FIRST_BACKOFF_S
    pending: bool = False  # a background operation waits for its answer


def row_key(account: str, key: str) -> str:
    """Return the claim's row; both parts are escaped, so that no two pairs share a row."""
    return f"claim/{quote(account, safe='')}/{quote(key, safe='')}"


def index_prefix(epoch: int, shard: int) -> str:
    """Return the prefix of the index rows of one shard of one epoch."""
    return f"claim-index/{epoch}/{shard:x}/"


def index_key(epoch: int, op_id: str) -> str:
    """Return the row by which cleaning finds a claim."""
    shard = hashlib.blake2b(op_id.encode(), digest_size=1).digest()[0] % INDEX_SHARDS
    return index_prefix(epoch, shard) + quote(op_id, safe="")


def read_epoch(row: Row | None) -> Epoch:
    """Return the epoch in the row of EPOCH_KEY; before the first there is epoch 0."""
    if row is None:
        return Epoch(0, 0)
    number = row.value.get("epoch")
    return Epoch(number if isinstance(number, int) else 0, row.revision)


def done(answer: str | None) -> dict[str, object]:
    """Return the fields of a call that ran; an answer that is too large leaves its size only."""
    size = len((answer or "").encode(errors="surrogateescape"))
    if answer is None or size > MAX_STORED_ANSWER_BYTES:
        return {"state": "done", "answer": None, "bytes": size}
    return {"state": "done", "answer": answer}


def settled(value: dict[str, object]) -> Stop:
    """Return what a resend gets from a row that is neither "sent" nor "not_run"."""
    answer = value.get("answer")
    if value.get("state") != "done":
        return Refusal(Code.OUTCOME_UNKNOWN)
    if isinstance(answer, str):
        return Answered(answer)
    return Refusal(Code.ANSWER_NOT_STORED, f"It had {value.get('bytes')} bytes.")
