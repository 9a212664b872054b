"""Events that go into a node and effects that come out of it.

A node never does I/O. The runtime turns what happened into events and carries out the effects.
Times are seconds of the runtime's monotonic clock.
"""

from collections.abc import Callable, Mapping
from typing import Literal, NamedTuple

from lovageway.codes import Refusal
from lovageway.messages import Message
from lovageway.model import Change, LoadReport, Vm
from lovageway.resume import ResumeToken

# ---- events -------------------------------------------------------------------------------------

Failure = Literal["refused", "connect", "lost", "gone", "stalled", "error"]
"""Why an attempt ended.

refused: the server answered that it did not run it; connect: no connection was made, so it did not
run; lost: the link broke after sending; gone: the server lost the generation; stalled: no token in
time; error: the server answered with an error after it may have run.
"""


class Tick(NamedTuple):
    """Time has passed."""


class Request(NamedTuple):
    """One request as parsed from a caller."""

    request_id: str
    api_key: str
    service: str
    method: str
    fingerprint: str  # hash of service, method and body
    prompt_tokens: int
    max_tokens: int
    prefix: str = ""  # hash of the prompt's beginning, "" when there is none
    request_class: str | None = None
    idempotency_key: str | None = None
    whole: bool = False  # the caller wants one body, so nothing is delivered before the end
    resume: ResumeToken | None = None


class RequestArrived(NamedTuple):
    """A caller sent a request."""

    req: Request


class AttemptStarted(NamedTuple):
    """A backend server accepted the attempt under the given start identity."""

    request_id: str
    attempt: int
    start_id: str


class TokensDelivered(NamedTuple):
    """Output tokens were written to the caller; `total` counts from the stream's start."""

    request_id: str
    tokens: int
    total: int


class AttemptFailed(NamedTuple):
    """An attempt ended without a whole answer."""

    request_id: str
    attempt: int
    failure: Failure
    delivered: int  # output tokens that the caller already has
    start_id: str | None = None  # identity the server showed last, if any


class AttemptFinished(NamedTuple):
    """The whole answer has been read; for a plain call `answer` is what a resend gets."""

    request_id: str
    attempt: int
    output_tokens: int
    answer: str | None = None


class CallerGone(NamedTuple):
    """The caller closed its connection; `generation` can still be resumed when it is not empty."""

    request_id: str
    generation: str = ""


class StreamCancelled(NamedTuple):
    """A caller that has gone will not come back to the generation of its resume token."""

    token: ResumeToken


class PeerMessage(NamedTuple):
    """An authenticated message of another daemon; `sender` is its node id."""

    sender: str
    sender_address: str
    message: Message


class VmListRead(NamedTuple):
    """The VM list was read."""

    vms: tuple[Vm, ...]


class LoadRead(NamedTuple):
    """A load report was read, or could not be read (None)."""

    server_id: str
    report: LoadReport | None


class TableAnswered(NamedTuple):
    """The table service answered a read or a transaction.

    `status` is "ok", "conflict" (nothing was written), "unknown" (the answer was lost, the write
    may have taken effect) or "down" (nothing was sent). `rows` holds, by key, the value and the
    revision of the rows read or found in conflict.
    """

    op_id: str
    status: Literal["ok", "conflict", "unknown", "down"]
    rows: Mapping[str, "Row"]


class ApplyRequested(NamedTuple):
    """An operator asks for a configuration change on top of `base_version` (None: any)."""

    op_id: str
    changes: tuple[Change, ...]
    base_version: int | None
    reply_to: str = ""  # mailbox of the outcome; "": the operation id


class StopRequested(NamedTuple):
    """A planned stop begins."""


class OrderAnswered(NamedTuple):
    """A backend server answered an order; `accepted` is None when no answer came."""

    server_id: str
    fencing: int
    accepted: bool | None


Event = (
    Tick
    | RequestArrived
    | AttemptStarted
    | TokensDelivered
    | AttemptFailed
    | AttemptFinished
    | CallerGone
    | StreamCancelled
    | PeerMessage
    | VmListRead
    | LoadRead
    | TableAnswered
    | ApplyRequested
    | StopRequested
    | OrderAnswered
)

# ---- effects ------------------------------------------------------------------------------------


class Row(NamedTuple):
    """A row of the table service."""

    value: dict[str, object]
    revision: int  # 0: the row does not exist


class SendPeer(NamedTuple):
    """Send a message to the daemon whose peer listener has this address."""

    address: str
    message: Message


class ReadRows(NamedTuple):
    """Read rows by key and by prefix; answered by TableAnswered."""

    op_id: str
    keys: tuple[str, ...] = ()
    prefix: str = ""


class Transact(NamedTuple):
    """Write rows if all revisions match (0: must not exist); answered by TableAnswered."""

    op_id: str
    conditions: tuple[tuple[str, int], ...]
    puts: tuple[tuple[str, dict[str, object]], ...]
    deletes: tuple[str, ...] = ()


class ReadVmList(NamedTuple):
    """Read the VM list; answered by VmListRead."""


class ReadLoad(NamedTuple):
    """Read a backend server's load report; answered by LoadRead."""

    server_id: str
    address: str


class SendOrder(NamedTuple):
    """Send a desired state to a backend server; answered by OrderAnswered."""

    server_id: str
    address: str
    fencing: int
    order: dict[str, object]


class CancelGeneration(NamedTuple):
    """Tell an engine to drop a generation."""

    server_id: str
    address: str
    generation: str


class StartAttempt(NamedTuple):
    """Send the request to a backend server; goes to the request's exchange."""

    request_id: str
    attempt: int
    server_id: str
    address: str
    start_id: str  # identity that the credit was granted for, "" when not yet known
    account: str
    service: str
    request_class: str
    whole: bool  # deliver only when the generation has ended
    timeout_s: float


class ResumeAttempt(NamedTuple):
    """Read a running generation from an offset; goes to the request's exchange."""

    request_id: str
    attempt: int
    server_id: str
    address: str
    start_id: str
    generation: str
    timeout_s: float
    service: str
    request_class: str


class Refuse(NamedTuple):
    """End a request with a refusal; goes to the request's exchange."""

    request_id: str
    refusal: Refusal


class Replay(NamedTuple):
    """End a request with the stored answer of an earlier one; goes to its exchange."""

    request_id: str
    answer: str


class Finish(NamedTuple):
    """The request's records are closed; goes to the request's exchange."""

    request_id: str


class ApplyDone(NamedTuple):
    """Outcome of ApplyRequested; goes to the operator's thread that asked."""

    op_id: str
    version: int  # of the change; in force here when it was refused
    refusal: Refusal | None
    reply_to: str = ""


class Stopped(NamedTuple):
    """The planned stop is complete: nothing is running any more."""


class Count(NamedTuple):
    """Add to a counter."""

    name: str
    labels: tuple[str, ...] = ()
    amount: float = 1.0


class StateChanged(NamedTuple):
    """A change of state worth one log line."""

    name: str
    fields: Mapping[str, object]


RequestEffect = StartAttempt | ResumeAttempt | Refuse | Replay | Finish
Effect = (
    RequestEffect
    | SendPeer
    | ReadRows
    | Transact
    | ReadVmList
    | ReadLoad
    | SendOrder
    | CancelGeneration
    | ApplyDone
    | Stopped
    | Count
    | StateChanged
)

Emit = Callable[[Effect], None]
"""Adds one effect to those that the current event causes."""
