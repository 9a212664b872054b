"""Messages between daemons and their check on arrival.

A message is a `NamedTuple`; on the wire it is a msgpack array ``[kind, field, field, ...]``.
`decode` checks every field against its type, so a malformed message never reaches a controller.
"""

from typing import Annotated, NamedTuple

import msgpack  # type: ignore[import-untyped]
import msgspec

MAX_MESSAGE_BYTES = 1 << 20

Natural = Annotated[int, msgspec.Meta(ge=0)]
# The upper bound keeps infinity out; the lower one also keeps NaN out.
Age = Annotated[float, msgspec.Meta(ge=-1, le=1e12)]


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
    """Accepted changes, oldest first."""

    entries: tuple[LogEntry, ...]


class ConfigPull(NamedTuple):
    """Asks for the changes after `version`; with `snapshot` for all rows."""

    version: int
    snapshot: bool = False


class ConfigSnapshot(NamedTuple):
    """All configuration rows of one version."""

    version: int
    rows: dict[str, dict[str, object]]


class ShareLine(NamedTuple):
    """Need of one holder for one resource; a resource has one or more parts.

    The parts of an account are concurrent requests, requests/s and output tokens/s, those of a
    backend server are slots and tokens of KV memory.
    """

    resource: str
    seq: int  # rises with each request of this holder
    in_use: tuple[float, ...]
    wanted: tuple[float, ...]  # in all, what is in use included
    confirmed: int  # number of the addressee's last grant put in force, 0: none
    burst: tuple[float, ...] = ()  # tokens for requests that wait for a rate now
    start_id: str = ""  # of the backend server as the holder knows it
    age_s: int = 0  # for how long the holder has known `start_id`


class ShareRequest(NamedTuple):
    """Asks the owner for shares; lines for many resources travel together."""

    lines: tuple[ShareLine, ...]


class GrantLine(NamedTuple):
    """Grant of one resource."""

    resource: str
    seq: int  # of the request answered
    number: int  # rises with each grant of this owner
    amounts: tuple[float, ...]
    limits: tuple[float, ...]  # of the resource as a whole
    committed: tuple[float, ...]  # to all holders together, as the owner knows it
    burst: tuple[float, ...] = ()  # tokens to be added once to the buckets of rates
    start_id: str = ""  # identity of the backend server, "" for accounts


class ShareGrant(NamedTuple):
    """Answers ShareRequest; a grant expires a fixed time after its request was sent."""

    lines: tuple[GrantLine, ...]


class ServerNews(NamedTuple):
    """A backend server was seen with an identity, or refused a request for overload."""

    server_id: str
    start_id: str
    refused: bool = False


class PoisonMark(NamedTuple):
    """A server died while it ran the request with this fingerprint."""

    fingerprint: str
    server_id: str
    start_id: str  # of the run that died


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
    | ServerNews
    | PoisonMark
    | StreamResumed
    | HandoverRequest
    | Handover
    | MemberPull
    | Members
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
    ServerNews,
    PoisonMark,
    StreamResumed,
    HandoverRequest,
    Handover,
    MemberPull,
    Members,
)
_NUMBERS = {kind: number for number, kind in enumerate(KINDS)}


class BadMessageError(ValueError):
    """A message that does not have the form of its kind."""


def encode(message: Message) -> bytes:
    """Return the message's bytes."""
    data: bytes = msgpack.packb([_NUMBERS[type(message)], *message])
    return data


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
        return msgspec.convert(fields, KINDS[kind])
    except BadMessageError:
        raise
    except Exception as exc:  # msgpack raises many kinds of errors on hostile input
        raise BadMessageError(f"malformed message: {exc}") from exc
