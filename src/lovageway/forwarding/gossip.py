"""Encodes datagrams between daemons, and requests rows of the store from a peer."""

import asyncio
import zlib
from collections.abc import Callable
from functools import singledispatch
from math import inf
from typing import Any, NamedTuple, cast

import msgpack  # type: ignore[import-untyped]

from lovageway.forwarding.load import Load, Loads
from lovageway.forwarding.members import MemberFacts
from lovageway.forwarding.migration import LeavingRun
from lovageway.forwarding.mirror import KeptRow
from lovageway.forwarding.model import Revision, Row
from lovageway.forwarding.poison import News, Suspect
from lovageway.forwarding.rollout import wire
from lovageway.forwarding.rollout.model import Announcement
from lovageway.forwarding.rollout.model import Report as RolloutReport
from lovageway.forwarding.statements import Report
from lovageway.forwarding.traits import MAX_LABEL
from lovageway.forwarding.wirenumbers import whole_number

# Kinds of datagrams. The kind is the first field of each.
HEARTBEAT, LEAVING_RUNS, MIGRATION_DONE, ROWS, LOAD_ADDED, MIGRATION_STARTED = 1, 2, 3, 4, 5, 6
POISON, STATEMENTS, ROWS_OF_ERA = 7, 8, 9
ROLLOUTS, ROLLOUT_REPORT, LEAVING = 10, 11, 12
MAX_DATAGRAM_BYTES = 8192  # a longer one is neither sent nor read
MAX_TOKEN_BYTES = 64  # of the digest that stands for a server or a trait
# At least this many servers of each other region are described, even if the total then exceeds
# MAX_SERVERS.
MIN_SERVERS_PER_REGION = 10
MAX_SERVERS = 200  # servers whose load one heartbeat describes, in about 4 KB
PULL_TIMEOUT_S = 1.0  # without a byte of the answer
MAX_PULL_S = 4.0  # for the complete answer
MAX_CAUSE = 300  # characters
ROWS_READ_BYTES = 64 * 1024
MAX_ROWS_BYTES = 8 << 20  # size of one answer with rows
# Raised when a malformed message is decoded.
UNREADABLE = (
    ValueError,
    TypeError,
    AttributeError,
    OverflowError,
    msgpack.UnpackException,
    zlib.error,
)
COMPRESSED = 1  # in a request for rows: its sender reads compressed answers
ZLIB_HEADER = b"\x78"  # no message begins with this byte


class RegionLoad(NamedTuple):
    """Total load that all daemons of one region have, by server."""

    region: str
    age_ms: int  # age of the total when it was sent
    loads: Loads


class Heartbeat(NamedTuple):
    """State that a daemon sends periodically. The fields are sent by position."""

    facts: MemberFacts
    versions: dict[str, int]  # version of the newest row by table
    loads: Loads
    # Of the rows by table: the era of their versions, and whether the sender keeps some that the
    # store lost. Daemons of earlier versions send an empty list here.
    eras: list[tuple[str, int, bool]]
    relayed: list[MemberFacts]  # state of other daemons
    store_lost: bool  # whether the sender's calls to the store fail
    daemons: int = 1  # number of daemons whose load is in `loads`; above 1 from an aggregator
    other_regions: tuple[RegionLoad, ...] = ()  # empty in most heartbeats


class Rows(NamedTuple):
    """Changed rows, sent by a watcher to the daemons that do not watch the store."""

    table: str
    # `rows` holds all changes since this revision of the table; without an era, daemons of earlier
    # versions mean the current one.
    after: Revision
    rows: list[Row]
    may_be_expired: bool  # removed rows may have expired while the store was unreachable
    has_era: bool = True


class PulledRows(NamedTuple):
    """Rows of a table that another daemon sent on request."""

    is_full: bool  # whether they are the complete table
    may_be_expired: bool  # removed rows may have expired while the store was unreachable
    rows: list[Row]  # including tombstones
    position: Revision  # the newest revision that the other daemon received
    kept: list[KeptRow]


class LeavingRuns(NamedTuple):
    """A daemon's generations on an engine that is shutting down."""

    ip: str  # of the daemon
    server: str
    runs: list[LeavingRun]


class LoadAdded(NamedTuple):
    """Load that a daemon has just added, sent before its next heartbeat."""

    ip: str  # of the daemon
    loads: Loads


class Poison(NamedTuple):
    """What a daemon knows of crashes of servers."""

    ip: str  # of the daemon
    news: News


class Statements(NamedTuple):
    """What a daemon heard of servers' limits."""

    ip: str  # of the daemon
    reports: list[Report]


class Leaving(NamedTuple):
    """Servers that lately said of themselves that they leave."""

    ip: str  # of the daemon
    servers: list[bytes]  # tokens


class Rollouts(NamedTuple):
    """What a daemon heard of roll-outs."""

    ip: str  # of the daemon
    announcements: list[Announcement]


class MigrationStarted(NamedTuple):
    """A generation that now uses the network link of an engine that is shutting down."""

    server: str  # id of the engine
    run: str  # attempt id of the generation


class MigrationDone(NamedTuple):
    """A generation that no longer needs the network link of an engine that is shutting down."""

    server: str  # id of the engine
    run: str  # attempt id of the generation


Message = (
    Heartbeat
    | Rows
    | LeavingRuns
    | MigrationStarted
    | MigrationDone
    | LoadAdded
    | Poison
    | Statements
    | Leaving
    | Rollouts
    | RolloutReport
)


def most_loaded(loads: Loads, limit: int) -> Loads:
    """Return the loads of the most loaded servers, at most `limit` of them.

    Receivers treat a server that is left out as idle, so the least loaded ones are left out.
    """
    if len(loads) <= limit:
        return loads
    ordered = sorted(loads, key=lambda server: (loads[server].tokens, loads[server].requests))
    return {server: loads[server] for server in ordered[-limit:]}


def fit_to_datagram(heartbeat: Heartbeat) -> Heartbeat:
    """Return a heartbeat whose loads are cut to fit a datagram, those of other regions first."""
    loads = most_loaded(heartbeat.loads, MAX_SERVERS)
    remaining = MAX_SERVERS - len(loads)
    per_region = remaining // len(heartbeat.other_regions) if heartbeat.other_regions else 0
    other_regions = tuple(
        part._replace(loads=most_loaded(part.loads, max(per_region, MIN_SERVERS_PER_REGION)))
        for part in heartbeat.other_regions
    )
    return heartbeat._replace(loads=loads, other_regions=other_regions)


@singledispatch
def encode(message: object) -> bytes:
    """Encode a message as a datagram."""
    raise TypeError(f"cannot encode {message!r} as a datagram")


@encode.register
def _(message: LeavingRuns) -> bytes:
    fields = [LEAVING_RUNS, message.ip, message.server, [list(run) for run in message.runs]]
    return bytes(msgpack.packb(fields))


@encode.register
def _(message: Rows) -> bytes:
    rows = [list(row) for row in message.rows]
    fields = [ROWS_OF_ERA, message.table, list(message.after), rows, message.may_be_expired]
    return bytes(msgpack.packb(fields))


@encode.register
def _(message: LoadAdded) -> bytes:
    return bytes(msgpack.packb([LOAD_ADDED, message.ip, message.loads]))


@encode.register
def _(message: Poison) -> bytes:
    return bytes(msgpack.packb([POISON, message.ip, *message.news]))


@encode.register
def _(message: Statements) -> bytes:
    return bytes(msgpack.packb([STATEMENTS, message.ip, [list(r) for r in message.reports]]))


@encode.register
def _(message: Leaving) -> bytes:
    return bytes(msgpack.packb([LEAVING, *message]))


@encode.register
def _(message: Rollouts) -> bytes:
    fields = [wire.announcement_fields(item) for item in message.announcements]
    return bytes(msgpack.packb([ROLLOUTS, message.ip, fields]))


@encode.register
def _(message: RolloutReport) -> bytes:
    return bytes(msgpack.packb([ROLLOUT_REPORT, *wire.report_fields(message)]))


@encode.register
def _(message: MigrationStarted) -> bytes:
    return bytes(msgpack.packb([MIGRATION_STARTED, message.server, message.run]))


@encode.register
def _(message: MigrationDone) -> bytes:
    return bytes(msgpack.packb([MIGRATION_DONE, message.server, message.run]))


@encode.register
def _(message: Heartbeat) -> bytes:
    return bytes(msgpack.packb([HEARTBEAT, *message]))


def _loads(fields: dict[Any, Any]) -> Loads:
    return {str(key): Load(*map(whole_number, load)) for key, load in fields.items()}


def decode(data: bytes) -> Message | None:
    """Return the message in a datagram, or None if it is malformed or of an unknown kind."""
    try:
        kind, *fields = msgpack.unpackb(data)
        if kind == LEAVING_RUNS:
            ip, server, runs = fields
            decoded_runs = [
                LeavingRun(str(i), whole_number(c), whole_number(w)) for i, c, w in runs
            ]
            return LeavingRuns(str(ip), str(server), decoded_runs)
        if kind == MIGRATION_STARTED:
            server, run = fields
            return MigrationStarted(str(server), str(run))
        if kind == MIGRATION_DONE:
            server, run = fields
            return MigrationDone(str(server), str(run))
        if kind == LOAD_ADDED:
            ip, loads = fields
            return LoadAdded(str(ip), _loads(loads))
        if kind == POISON:
            ip, suspects, alive = fields
            decoded_alive = [(_token(server), _age(age_ms)) for server, age_ms in alive]
            return Poison(str(ip), News([_suspect(item) for item in suspects], decoded_alive))
        if kind == STATEMENTS:
            ip, reports = fields
            return Statements(str(ip), [_report(item) for item in reports])
        if kind == LEAVING:
            ip, servers = fields
            return Leaving(str(ip), [_token(server) for server in servers])
        if kind == ROLLOUTS:
            ip, announcements = fields
            return Rollouts(str(ip), [wire.announcement(item) for item in announcements])
        if kind == ROLLOUT_REPORT:
            return wire.report(fields)
        if kind in (ROWS, ROWS_OF_ERA):
            table, after, rows, may_be_expired = fields
            has_era = kind == ROWS_OF_ERA
            return Rows(
                str(table),
                _revision(after) if has_era else Revision(0, whole_number(after)),
                [_row(row) for row in rows],
                bool(may_be_expired),
                has_era,
            )
        return _heartbeat(fields) if kind == HEARTBEAT else None
    except UNREADABLE:
        return None


def _heartbeat(fields: list[Any]) -> Heartbeat:
    facts, versions, loads, eras, relayed, store_lost, daemons, other_regions = fields
    return Heartbeat(
        facts=_facts(facts),
        versions={str(table): whole_number(version) for table, version in versions.items()},
        loads=_loads(loads),
        eras=[(str(table), whole_number(era), bool(kept)) for table, era, kept in eras],
        relayed=[_facts(item) for item in relayed],
        store_lost=bool(store_lost),
        daemons=whole_number(daemons),
        other_regions=tuple(
            RegionLoad(str(r), _age(age), _loads(part)) for r, age, part in other_regions
        ),
    )


def _suspect(item: Any) -> Suspect:
    mark, label, crashes, answered_ms, trials, confirmed, stored = item
    return Suspect(
        _token(mark),
        str(label)[:MAX_LABEL],
        tuple((_token(server), _age(age_ms)) for server, age_ms in crashes),
        None if answered_ms is None else _age(answered_ms),
        whole_number(trials),
        bool(confirmed),
        bool(stored),
    )


def _report(item: Any) -> Report:
    server, limit_per_s, age_ms = item
    if limit_per_s is not None and not 0 <= limit_per_s < inf:
        raise ValueError(f"{limit_per_s!r} is no limit")
    return Report(_token(server), None if limit_per_s is None else float(limit_per_s), _age(age_ms))


def _age(value: Any) -> int:
    # A time in the future would count as newer than everything that is observed later.
    return max(0, whole_number(value))


def _token(value: object) -> bytes:
    found = _bytes(value)
    if len(found) > MAX_TOKEN_BYTES:
        raise ValueError("the digest of a server or a trait is too long")
    return found


def _bytes(value: object) -> bytes:
    # A conversion by bytes() would turn a number n into n zero bytes.
    if not isinstance(value, bytes):
        raise TypeError(f"{value!r} is not bytes")
    return value


def _row(fields: Any) -> Row:
    table, key, value, version, *era = fields
    return Row(
        str(table),
        str(key),
        None if value is None else _bytes(value),
        whole_number(version),
        whole_number(era[0]) if era else 0,
    )


def _revision(fields: Any) -> Revision:
    era, number = fields
    return Revision(whole_number(era), whole_number(number))


def _facts(item: Any) -> MemberFacts:
    ip, incarnation, counter, state, zone, region = item
    return MemberFacts(
        str(ip),
        whole_number(incarnation),
        whole_number(counter),
        whole_number(state),
        str(zone),
        str(region),
    )


class Gossip(asyncio.DatagramProtocol):
    """Sends and receives datagrams on one UDP socket.

    Parameters
    ----------
    on_message
        Called with each message that is accepted.
    on_rejected
        Called with the reason for each datagram that is rejected.
    """

    def __init__(
        self,
        on_message: Callable[[Message], None],
        on_rejected: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._on_message = on_message
        self._on_rejected = on_rejected
        self._transport: asyncio.DatagramTransport | None = None
        self.rejected = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handle a datagram.

        One that is malformed is rejected, and so is one whose sender field does not match its
        source address. `Rows`, `MigrationStarted` and `MigrationDone` have no sender field
        and are not checked.
        """
        message = decode(data) if len(data) <= MAX_DATAGRAM_BYTES else None
        if message is None or _sender(message) not in (None, addr[0]):
            self.rejected += 1
            self._on_rejected("unreadable" if message is None else "another sender")
            return
        self._on_message(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore every error.

        The usual one is a refused datagram, when the daemon at the destination is not running. A
        lost datagram is replaced by the next one.
        """

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, data: bytes, ips: list[str], port: int) -> bool:
        """Send a datagram to several daemons. A lost one is not repeated; the next replaces it.

        Returns
        -------
        bool
            False if the datagram is too large and was not sent.
        """
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        if self._transport is not None:
            for ip in ips:
                self._transport.sendto(data, (ip, port))
        return True


def _sender(message: Message) -> str | None:
    """Return the sender field of a message, or None if its kind has no such field."""
    match message:
        case Heartbeat():
            return message.facts.ip
        case (
            LoadAdded()
            | LeavingRuns()
            | Poison()
            | Statements()
            | Leaving()
            | Rollouts()
            | RolloutReport()
        ):
            return message.ip
    return None


async def _read(reader: asyncio.StreamReader, size: int) -> bytes:
    """Return `size` bytes, as long as some of them arrive within PULL_TIMEOUT_S."""
    data = bytearray()
    while len(data) < size:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            piece = await reader.read(min(ROWS_READ_BYTES, size - len(data)))
        if not piece:
            raise EOFError("the answer is not complete")
        data += piece
    return bytes(data)


def _decompress(body: bytes) -> bytes:
    """Return an answer with rows, which daemons of earlier versions send without compression."""
    if body[:1] != ZLIB_HEADER:
        return body
    decoder = zlib.decompressobj()
    data = decoder.decompress(body, MAX_ROWS_BYTES)
    if not decoder.eof:
        raise ValueError("the rows are not complete, or larger than the limit")
    return data


async def pull_rows(ip: str, port: int, table: str, after: Revision) -> PulledRows:
    """Request from a peer the rows of a table that are newer than a revision.

    Parameters
    ----------
    after
        Only rows newer than this revision are requested; `mirror.FIRST` requests the complete
        table.

    Raises
    ------
    OSError
        The connection failed, the peer did not answer in time, or its answer is malformed or too
        large.
    """
    try:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, port)
        try:
            request = msgpack.packb([table, after.number, after.era, COMPRESSED])
            writer.write(len(request).to_bytes(4, "big") + request)
            async with asyncio.timeout(MAX_PULL_S):
                size = int.from_bytes(await _read(reader, 4), "big")
                if size > MAX_ROWS_BYTES:
                    raise OSError(f"{ip} sent {size} bytes of rows, which is more than the limit")
                body = _decompress(await _read(reader, size))
            is_full, is_complete, may_be_expired, rows, position, kept = msgpack.unpackb(body)
        finally:
            writer.close()
        return PulledRows(
            bool(is_full and is_complete),
            bool(may_be_expired),
            [_row(row) for row in rows],
            _revision(position),
            [KeptRow(_row(row), None if shown is None else int(shown)) for row, shown in kept],
        )
    except (TimeoutError, EOFError, *UNREADABLE) as exc:
        raise OSError(f"{ip} sent no readable rows: {repr(exc)[:MAX_CAUSE]}") from exc
