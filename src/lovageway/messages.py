"""Messages between daemons and their check on arrival.

A message is a `NamedTuple`; on the wire it is a msgpack array ``[kind, field, field, ...]``.
`decode` checks every field against its type, so a malformed message never reaches a controller.
"""

from collections.abc import Iterator
from typing import Annotated, Any, Literal, NamedTuple

import msgpack  # type: ignore[import-untyped]
import msgspec

from lovageway._amounts import restore, shorten

MAX_MESSAGE_BYTES = 1 << 20

Natural = Annotated[int, msgspec.Meta(ge=0)]
# The upper bound keeps infinity out; the lower one also keeps NaN out.
Age = Annotated[float, msgspec.Meta(ge=-1, le=1e12)]
Amounts = tuple[Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)], ...]  # one for each part

SAME_START = "\0"  # cannot occur in a start identity, which travels in a header


class Member(NamedTuple):
    """What one daemon says of another."""

    node: str  # "VM_ID/START_ID"
    address: str  # callers connect here
    peer_address: str
    zone: str
    incarnation: Natural
    state: str  # "live", "suspect", "dead" or "leaving"


class Ping(NamedTuple):
    """Asks whether a daemon is live and tells what the sender knows."""

    seq: Natural
    version: Natural  # of the sender's configuration
    freshness_s: Age  # age since the table service had no higher version; -1: unknown
    members: tuple[Member, ...]


class Ack(NamedTuple):
    """Answers Ping."""

    seq: Natural
    version: Natural
    freshness_s: Age
    members: tuple[Member, ...]


class PingRequest(NamedTuple):
    """Asks a third daemon to ping a silent one."""

    seq: Natural
    target: str  # peer address


class Leaving(NamedTuple):
    """The sender's planned stop has begun."""

    member: Member


class MemberPull(NamedTuple):
    """Asks for all members that are not dead; answered by Members."""


class Members(NamedTuple):
    """One page of the members that the sender knows."""

    members: tuple[Member, ...]


class LogEntry(NamedTuple):
    """One accepted configuration change; version N applies only on version N - 1."""

    version: int
    op_id: str
    changes: tuple[tuple[str, dict[str, object] | None], ...]


class ConfigPush(NamedTuple):
    """Accepted changes, oldest first; answered by ConfigState when `seq` is above 0."""

    entries: tuple[LogEntry, ...]
    seq: int = 0  # set by the daemon that accepted the last of the changes


class ConfigPull(NamedTuple):
    """Asks for the changes after `version`; with `snapshot` for all rows."""

    version: int
    snapshot: bool = False


class ConfigSnapshot(NamedTuple):
    """One page of all configuration rows of one version; pages keep frames under the limit."""

    version: int
    rows: dict[str, dict[str, object]]
    page: int = 0
    pages: int = 1


class ConfigQuery(NamedTuple):
    """Asks for ConfigState."""

    seq: int


class ConfigState(NamedTuple):
    """Tells the version in force at the sender."""

    seq: int  # of the ConfigQuery or ConfigPush answered
    version: int
    freshness_s: float  # as in Ping
    started: bool  # false: the sender has not yet taken over the state of the fleet


class ShareLine(NamedTuple):
    """Need of one holder for one resource; a resource has one or more parts.

    The parts of an account are concurrent requests, requests/s and output tokens/s, those of a
    backend server are slots and tokens of KV memory.
    """

    resource: str
    seq: int  # rises with each request of this holder
    in_use: Amounts
    wanted: Amounts  # in all, what is in use included
    confirmed: int  # number of the addressee's last grant put in force, 0: none
    burst: Amounts = ()  # tokens for requests that wait for a rate now
    start_id: str = ""  # of the backend server as the holder knows it
    age_s: int = 0  # for how long the holder has known `start_id`


class ShareRequest(NamedTuple):
    """Asks the owner for shares; lines for many resources travel together."""

    lines: tuple[ShareLine, ...]


class GrantLine(NamedTuple):
    """Grant of one resource."""

    resource: str  # "" between daemons: `seq` tells, since each line of a holder has its own
    seq: int  # of the request answered
    number: int  # rises with each grant of this owner
    amounts: Amounts
    limits: Amounts = ()  # of the resource as a whole; left out for accounts
    committed: Amounts = ()  # to all holders together, as the owner knows it; left out likewise
    burst: Amounts = ()  # tokens to be added once to the buckets of rates
    start_id: str = ""  # of the backend server, SAME_START: as in the request, "" for accounts


class ShareGrant(NamedTuple):
    """Answers ShareRequest; a grant expires a fixed time after its request was sent."""

    lines: tuple[GrantLine, ...]


class ServerObservation(NamedTuple):
    """A backend server was seen with an identity, failed, or refused a request for overload."""

    server_id: str
    start_id: str  # "": a connection to it failed, so it may have started anew
    refused: bool = False


class PoisonMark(NamedTuple):
    """A server died, or may have died, while it ran the request with this fingerprint."""

    fingerprint: str
    server_id: str
    start_id: str  # of the run that died
    state: Literal["suspect", "dead", "alive"] = "dead"  # "alive" withdraws the mark


class ServerProbe(NamedTuple):
    """Asks a peer to read a backend server's load report."""

    server_id: str


class ServerSeen(NamedTuple):
    """Answers ServerProbe: the server has just shown this start identity."""

    server_id: str
    start_id: str


class StreamResumed(NamedTuple):
    """The caller of a generation that the receiver started reads it through the sender now."""

    generation: str


class HeldGrant(NamedTuple):
    """What one holder may use, as told to a new owner."""

    node: str
    amounts: tuple[float, ...]
    remaining_s: float


class HandoverRequest(NamedTuple):
    """Asks for the grants of resources that the sender owns from now on."""

    nonce: int
    resources: tuple[str, ...]


class HandoverLine(NamedTuple):
    """What the sender knows of one resource; it neither grants it nor will use more of it."""

    resource: str
    complete: bool  # the sender was the owner and lists every holder
    holders: tuple[HeldGrant, ...]
    pool: tuple[float, ...] = ()  # unspent burst of rates; empty: full
    start_id: str = ""  # of the backend server, and for how long the sender has known it
    age_s: int = 0


class Handover(NamedTuple):
    """Answers HandoverRequest for the resources that the sender agrees to hand over."""

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
_NUMBERS = {kind: number for number, kind in enumerate(KINDS)}


class BadMessageError(ValueError):
    """A message that does not have the form of its kind."""


def encode(message: Message) -> bytes:
    """Return the message's bytes."""
    fields: tuple[object, ...] = message
    if isinstance(message, ShareRequest | ShareGrant):
        fields = ([_shorten(line) for line in message.lines],)
    data: bytes = msgpack.packb([_NUMBERS[type(message)], *fields])
    return data


def _shorten(line: ShareLine | GrantLine) -> list[object]:
    """Return the line's fields with short amounts and without defaults at its end."""
    fields: list[object] = [shorten(item) if isinstance(item, tuple) else item for item in line]
    required = len(line) - len(line._field_defaults)
    while len(fields) > required and not fields[-1]:
        fields.pop()
    return fields


def _restore(message: Message) -> Message:
    match message:
        case ShareRequest(lines):
            return ShareRequest(tuple(ShareLine(*_restore_fields(line)) for line in lines))
        case ShareGrant(grants):
            return ShareGrant(tuple(GrantLine(*_restore_fields(line)) for line in grants))
    return message


def _restore_fields(line: ShareLine | GrantLine) -> Iterator[Any]:
    return (restore(item) if isinstance(item, tuple) else item for item in line)


def decode(data: bytes) -> Message:
    """Return the message in `data`.

    Raises
    ------
    BadMessageError
        If it is longer than MAX_MESSAGE_BYTES, not msgpack, or does not fit its kind.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise BadMessageError(
            f"message of {len(data)} bytes, at most {MAX_MESSAGE_BYTES} are allowed"
        )
    try:
        kind, *fields = msgpack.unpackb(data, strict_map_key=True)
        if not isinstance(kind, int) or not 0 <= kind < len(KINDS):
            raise BadMessageError(f"unknown message kind {kind!r}")
        return _restore(msgspec.convert(fields, KINDS[kind]))
    except BadMessageError:
        raise
    except Exception as exc:  # msgpack raises many kinds of errors on hostile input
        raise BadMessageError(f"malformed message: {exc}") from exc
