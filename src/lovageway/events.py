"""Events that go into a node and effects that come out of it.

A node performs no I/O. The runtime turns what happened into events and performs the effects.
Times are in seconds of the runtime's monotonic clock.
"""

from collections.abc import Callable, Mapping
from typing import Literal, NamedTuple

from lovageway.codes import Refusal
from lovageway.messages import Message
from lovageway.model import Change, LoadReport, Vm
from lovageway.resume import ResumeToken

# ---- events -------------------------------------------------------------------------------------

Failure = Literal["refused", "connect", "lost", "gone", "stalled", "error", "overloaded"]
"""Why an attempt ended.

refused: the server answered that it did not run the attempt; connect: no connection was made, so
the attempt did not run; lost: the connection broke after sending; gone: the server lost the
generation; stalled: no token arrived in time; error: the server answered with an error after the
attempt may have run; overloaded: the server answered that it is overloaded, but its protocol does
not say that such an attempt did not run.
"""


class Tick(NamedTuple):
    """Periodic event that only advances the time."""


class Request(NamedTuple):
    """One request of a caller, after parsing."""

    request_id: str
    api_key: str
    service: str
    method: str
    fingerprint: str  # hash of service, method and body
    prompt_tokens: int
    max_tokens: int
    prefix: str = ""  # hash of the prompt prefix; "": none
    request_class: str | None = None
    idempotency_key: str | None = None
    whole: bool = False  # the caller requested one body: nothing is delivered before the end
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
    """Output tokens were written to the caller; `total` counts from the start of the stream."""

    request_id: str
    tokens: int
    total: int


class AttemptFailed(NamedTuple):
    """An attempt ended without a complete answer."""

    request_id: str
    attempt: int
    failure: Failure
    delivered: int  # output tokens that the caller has already received
    start_id: str | None = None  # start identity that the server showed last, if any


class AttemptFinished(NamedTuple):
    """The complete answer was read; for a plain call `answer` is returned to a resend."""

    request_id: str
    attempt: int
    output_tokens: int
    answer: str | None = None


class CallerGone(NamedTuple):
    """The caller closed its connection; `generation`, unless empty, can still be resumed."""

    request_id: str
    generation: str = ""


class StreamCancelled(NamedTuple):
    """A disconnected caller will not resume the generation of its resume token."""

    token: ResumeToken


class PeerMessage(NamedTuple):
    """An authenticated message from another daemon; `sender` is its node id."""

    sender: str
    sender_address: str
    message: Message


class VmListRead(NamedTuple):
    """The VM list was read."""

    vms: tuple[Vm, ...]


class LoadRead(NamedTuple):
    """A load report was read; `report` is None if that failed."""

    server_id: str
    report: LoadReport | None


class TableAnswered(NamedTuple):
    """The table service answered a read or a transaction.

    `status` is "ok", "conflict" (nothing was written), "unknown" (the answer was lost, so the write
    may have taken effect) or "down" (nothing was sent). `rows` maps keys to the value and revision
    of the rows that were read or found in conflict.
    """

    op_id: str
    status: Literal["ok", "conflict", "unknown", "down"]
    rows: Mapping[str, "Row"]


class ApplyRequested(NamedTuple):
    """An operator requested a configuration change on top of `base_version` (None: any)."""

    op_id: str
    changes: tuple[Change, ...]
    base_version: int | None
    reply_to: str = ""  # mailbox for the outcome; "": the one of the operation id


class StopRequested(NamedTuple):
    """The drain of this daemon begins."""


class OrderAnswered(NamedTuple):
    """A backend server answered an order; `accepted` is None if no answer arrived."""

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
    """Send a message to the daemon whose peer listener has the given address."""

    address: str
    message: Message


class ReadRows(NamedTuple):
    """Read rows by key and by prefix; answered by TableAnswered."""

    op_id: str
    keys: tuple[str, ...] = ()
    prefix: str = ""


class Transact(NamedTuple):
    """Write rows if all revisions match (0: no such row); answered by TableAnswered."""

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
    """Cancel a generation at its engine."""

    server_id: str
    address: str
    generation: str


class StartAttempt(NamedTuple):
    """Send the request to a backend server; goes to the request's exchange."""

    request_id: str
    attempt: int
    server_id: str
    address: str
    start_id: str  # start identity that the credit was granted for; "": not yet known
    account: str
    service: str
    request_class: str
    whole: bool  # deliver only after the generation has ended
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
    """Report that the node has closed the request; goes to the request's exchange."""

    request_id: str


class ApplyDone(NamedTuple):
    """Report the outcome of ApplyRequested; goes to the operator thread that waits for it."""

    op_id: str
    version: int  # of the change, or the one in force here if it was refused
    refusal: Refusal | None
    reply_to: str = ""


class Stopped(NamedTuple):
    """Report that the drain is complete and nothing is running."""


class Count(NamedTuple):
    """Add to a counter."""

    name: str
    labels: tuple[str, ...] = ()
    amount: float = 1.0


class StateChanged(NamedTuple):
    """Write one log line about a change of state."""

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
"""Adds one effect to those of the current event."""
