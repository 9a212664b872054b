"""Messages between daemons, with their encoding and validation.

A message is a `NamedTuple`; on the wire it is a msgpack array ``[kind, field, field, ...]``.
`decode` validates every field against its type, so no malformed message reaches a controller.
"""

from collections.abc import Iterator
from typing import Annotated, Any, Literal, NamedTuple

import msgpack  # type: ignore[import-untyped]
import msgspec

from lovageway._amounts import decode_amounts, encode_amounts

MAX_MESSAGE_BYTES = 1 << 20

Natural = Annotated[int, msgspec.Meta(ge=0)]
# The upper bound rejects infinity; the lower bound also rejects NaN.
Age = Annotated[float, msgspec.Meta(ge=-1, le=1e12)]
# One amount for each part of a resource.
Amounts = tuple[Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)], ...]

SAME_START = "\0"  # not a valid start identity, because those are sent in an HTTP header


class Member(NamedTuple):
    """State of one daemon as reported by another."""

    node: str  # "VM_ID/START_ID"
    address: str  # callers connect here
    peer_address: str
    zone: str
    incarnation: Natural
    state: str  # "live", "suspect", "dead" or "leaving"


class Ping(NamedTuple):
    """Liveness check that also carries the sender's state."""

    seq: Natural
    version: Natural  # of the sender's configuration
    freshness_s: Age  # time since the table service had no higher version; -1: unknown
    members: tuple[Member, ...]


class Ack(NamedTuple):
    """Response to Ping, with the state of its sender."""

    seq: Natural
    version: Natural
    freshness_s: Age
    members: tuple[Member, ...]


class PingRequest(NamedTuple):
    """Request to a third daemon to ping one that does not respond."""

    seq: Natural
    target: str  # peer address


class Leaving(NamedTuple):
    """Notice that the sender has begun to drain."""

    member: Member


class MemberPull(NamedTuple):
    """Request for all members that are not dead; answered by Members."""


class Members(NamedTuple):
    """One page of the sender's member list."""

    members: tuple[Member, ...]


class LogEntry(NamedTuple):
    """One accepted configuration change; version N applies only to version N - 1."""

    version: int
    op_id: str
    changes: tuple[tuple[str, dict[str, object] | None], ...]


class ConfigPush(NamedTuple):
    """Accepted changes, oldest first; answered by ConfigState when `seq` is above 0."""

    entries: tuple[LogEntry, ...]
    seq: int = 0  # set by the daemon that accepted the last change; 0: no response


class ConfigPull(NamedTuple):
    """Request for the changes after `version`, or for all rows if `snapshot` is set."""

    version: int
    snapshot: bool = False


class ConfigSnapshot(NamedTuple):
    """One page of all configuration rows of one version; paging bounds the message size."""

    version: int
    rows: dict[str, dict[str, object]]
    page: int = 0
    pages: int = 1


class ConfigQuery(NamedTuple):
    """Request for ConfigState."""

    seq: int


class ConfigState(NamedTuple):
    """Configuration version in force at the sender."""

    seq: int  # of the ConfigQuery or ConfigPush that this answers
    version: int
    freshness_s: float  # as in Ping
    started: bool  # true: it has held the fleet's state since its process began


class ShareLine(NamedTuple):
    """One holder's demand for one resource; a resource has one or more parts.

    The parts of an account are concurrent requests, requests/s and output tokens/s, those of a
    backend server are slots and tokens of KV memory.
    """

    resource: str
    seq: int  # rises with each request of this holder
    in_use: Amounts
    wanted: Amounts  # in total, including what is in use
    confirmed: int  # number of the last grant of the receiver that is in force; 0: none
    burst: Amounts = ()  # rate tokens for the requests that wait now
    start_id: str = ""  # of the backend server, as seen by the holder
    age_s: int = 0  # time since the holder first saw `start_id`


class ShareRequest(NamedTuple):
    """Request for shares to an owner, with lines for several resources."""

    lines: tuple[ShareLine, ...]


class GrantLine(NamedTuple):
    """Grant for one resource."""

    resource: str  # "" between daemons, where the `seq` of the line identifies the resource
    seq: int  # of the request answered
    number: int  # rises with each grant of this owner
    amounts: Amounts
    limits: Amounts = ()  # of the resource in total; omitted for accounts
    committed: Amounts = ()  # to all holders, per the owner's ledger; omitted for accounts
    burst: Amounts = ()  # tokens to add once to the rate buckets
    start_id: str = ""  # of the backend server; SAME_START: as in the request; "": an account


class ShareGrant(NamedTuple):
    """Response to ShareRequest; a grant expires a fixed time after its request was sent."""

    lines: tuple[GrantLine, ...]


class ServerObservation(NamedTuple):
    """A backend server showed a start identity, failed, or refused a request for overload."""

    server_id: str
    start_id: str  # "": a connection to it failed, so it may have restarted
    refused: bool = False


class PoisonMark(NamedTuple):
    """A server died, or may have died, while it ran a request with this fingerprint."""

    fingerprint: str
    server_id: str
    start_id: str  # of the run that died
    state: Literal["suspect", "dead", "alive"] = "dead"  # "alive" withdraws the mark


class ServerProbe(NamedTuple):
    """Request to a peer to read a backend server's load report."""

    server_id: str


class ServerSeen(NamedTuple):
    """Response to ServerProbe: the start identity that the server has just shown."""

    server_id: str
    start_id: str


class StreamResumed(NamedTuple):
    """Notice that the caller of a generation the receiver started now reads it via the sender."""

    generation: str


class HeldGrant(NamedTuple):
    """Grant of one holder, as reported to a new owner."""

    node: str
    amounts: tuple[float, ...]
    remaining_s: float


class HandoverRequest(NamedTuple):
    """Request for the grants of resources that the sender now owns."""

    nonce: int
    resources: tuple[str, ...]


class HandoverLine(NamedTuple):
    """State of one resource, which the sender no longer grants and uses no more of."""

    resource: str
    complete: bool  # true: the sender was the owner and lists every holder
    holders: tuple[HeldGrant, ...]
    pool: tuple[float, ...] = ()  # unspent burst of rates; empty: full
    start_id: str = ""  # of the backend server
    age_s: int = 0  # time since the sender first saw `start_id`


class Handover(NamedTuple):
    """Response to HandoverRequest for the resources that the sender hands over."""

    nonce: int
    lines: tuple[HandoverLine, ...]


Message = (
    Ping
    | Ack
    | PingRequest
    | Leaving
    | ConfigPush
    | ConfigPull
    | ConfigSnapshot
    | ShareRequest
    | ShareGrant
    | ServerObservation
    | PoisonMark
    | StreamResumed
    | HandoverRequest
    | Handover
    | ConfigQuery
    | ConfigState
    | MemberPull
    | Members
    | ServerProbe
    | ServerSeen
)

KINDS: tuple[type[Message], ...] = (
    Ping,
    Ack,
    PingRequest,
    Leaving,
    ConfigPush,
    ConfigPull,
    ConfigSnapshot,
    ShareRequest,
    ShareGrant,
    ServerObservation,
    PoisonMark,
    StreamResumed,
    HandoverRequest,
    Handover,
    ConfigQuery,
    ConfigState,
    MemberPull,
    Members,
    ServerProbe,
    ServerSeen,
)
_KIND_NUMBERS = {kind: number for number, kind in enumerate(KINDS)}


class BadMessageError(ValueError):
    """Raised for a message that cannot be decoded."""


def encode(message: Message) -> bytes:
    """Return the message as bytes."""
    fields: tuple[object, ...] = message
    if isinstance(message, ShareRequest | ShareGrant):
        fields = ([_encode_line(line) for line in message.lines],)
    data: bytes = msgpack.packb([_KIND_NUMBERS[type(message)], *fields])
    return data


def _encode_line(line: ShareLine | GrantLine) -> list[object]:
    """Return the line's fields with compact amounts and without trailing defaults."""
    fields: list[object] = [
        encode_amounts(item) if isinstance(item, tuple) else item for item in line
    ]
    required = len(line) - len(line._field_defaults)
    while len(fields) > required and not fields[-1]:
        fields.pop()
    return fields


def _decode_lines(message: Message) -> Message:
    match message:
        case ShareRequest(lines):
            return ShareRequest(tuple(ShareLine(*_decode_fields(line)) for line in lines))
        case ShareGrant(grants):
            return ShareGrant(tuple(GrantLine(*_decode_fields(line)) for line in grants))
    return message


def _decode_fields(line: ShareLine | GrantLine) -> Iterator[Any]:
    return (decode_amounts(item) if isinstance(item, tuple) else item for item in line)


def decode(data: bytes) -> Message:
    """Return the message in `data`.

    Raises
    ------
    BadMessageError
        If the data is longer than MAX_MESSAGE_BYTES, is not msgpack, or does not match the fields
        of its kind.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise BadMessageError(
            f"message of {len(data)} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
        )
    try:
        kind, *fields = msgpack.unpackb(data, strict_map_key=True)
        if not isinstance(kind, int) or not 0 <= kind < len(KINDS):
            raise BadMessageError(f"unknown message kind {kind!r}")
        return _decode_lines(msgspec.convert(fields, KINDS[kind]))
    except BadMessageError:
        raise
    except Exception as exc:  # msgpack raises many exception types on malformed input
        raise BadMessageError(f"malformed message: {exc}") from exc
