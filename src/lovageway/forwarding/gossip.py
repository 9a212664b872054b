"""Datagrams between daemons, and the rows that a daemon takes from a peer."""

import asyncio
from collections.abc import Callable
from functools import singledispatch
from typing import Any, NamedTuple, cast

import msgpack  # type: ignore[import-untyped]

from lovageway.forwarding.load import Load, Loads
from lovageway.forwarding.members import MemberFacts
from lovageway.forwarding.migration import LeavingRun
from lovageway.forwarding.mirror import Mirror
from lovageway.forwarding.model import Row
from lovageway.forwarding.poison import Suspect

NEWS, RUNS, DONE, ROWS, ADDED = 1, 2, 3, 4, 5  # kinds of datagrams
DATAGRAM_MOST = 8192  # bytes
FAR_SERVERS_LEAST = 10  # servers of each other region that it tells of in any case
SERVERS_MOST = 200  # servers whose load one message tells of, about 4 KB
PULL_TIMEOUT_S = 1.0
ROWS_MOST = 8 << 20  # bytes of one answer with rows
_UNREADABLE = (ValueError, TypeError, AttributeError, OverflowError, msgpack.UnpackException)


class RegionSum(NamedTuple):
    """The load of all daemons of a region."""

    region: str
    age_ms: int
    loads: Loads


class News(NamedTuple):
    """What one daemon tells the others."""

    facts: MemberFacts
    versions: dict[str, int]  # newest row by table
    loads: Loads
    poison: list[Suspect]
    relayed: list[MemberFacts]
    store_lost: bool  # whether the store turns the sender away
    daemons: int = 1  # how many daemons' load it is: the sender's own, or a collector's sum
    far: tuple[RegionSum, ...] = ()  # of other regions


class Rows(NamedTuple):
    """Rows that changed, from a daemon that watches the store to those that do not."""

    table: str
    after: int  # the rows are all that changed since this version of the table
    rows: list[Row]
    lapsing: bool  # removed rows may have lapsed while the store was away


class LeavingRuns(NamedTuple):
    """A daemon's generations on an engine that leaves."""

    ip: str
    server: str
    runs: list[LeavingRun]


class LoadAdded(NamedTuple):
    """Load that a daemon has just added, ahead of its next news."""

    ip: str
    loads: Loads


class MoveDone(NamedTuple):
    """A generation needs the link of an engine that leaves no more."""

    server: str
    run: str


Message = News | Rows | LeavingRuns | MoveDone | LoadAdded


def most_loaded(loads: Loads, most: int) -> Loads:
    """Return the load of the servers that have the most, as far as a message may tell of them.

    A server that is left out counts as idle; of many servers these are the least loaded ones.
    """
    if len(loads) <= most:
        return loads
    first = sorted(loads, key=lambda server: (loads[server].tokens, loads[server].requests))
    return {server: loads[server] for server in first[-most:]}


def fit(news: News) -> News:
    """Return news whose load fits into a datagram, that of other regions last."""
    loads = most_loaded(news.loads, SERVERS_MOST)
    left = SERVERS_MOST - len(loads)
    each = left // len(news.far) if news.far else 0
    far = tuple(
        part._replace(loads=most_loaded(part.loads, max(each, FAR_SERVERS_LEAST)))
        for part in news.far
    )
    return news._replace(loads=loads, far=far)


@singledispatch
def encode(message: object) -> bytes:
    """Encode a datagram."""
    raise TypeError(f"no message: {message!r}")


@encode.register
def _(message: LeavingRuns) -> bytes:
    fields = [RUNS, message.ip, message.server, [list(run) for run in message.runs]]
    return bytes(msgpack.packb(fields))


@encode.register
def _(message: Rows) -> bytes:
    return bytes(
        msgpack.packb(
            [ROWS, message.table, message.after, [list(r) for r in message.rows], message.lapsing]
        )
    )


@encode.register
def _(message: LoadAdded) -> bytes:
    return bytes(msgpack.packb([ADDED, message.ip, message.loads]))


@encode.register
def _(message: MoveDone) -> bytes:
    return bytes(msgpack.packb([DONE, message.server, message.run]))


@encode.register
def _(news: News) -> bytes:
    return bytes(msgpack.packb([NEWS, *news]))


def _loads(fields: dict[Any, Any]) -> Loads:
    return {str(key): Load(*map(int, load)) for key, load in fields.items()}


def decode(data: bytes) -> Message | None:
    """Decode a datagram; None if it has another form."""
    try:
        kind, *fields = msgpack.unpackb(data)
        if kind == RUNS:
            ip, server, runs = fields
            decoded_runs = [LeavingRun(str(i), int(c), int(w)) for i, c, w in runs]
            return LeavingRuns(str(ip), str(server), decoded_runs)
        if kind == DONE:
            server, run = fields
            return MoveDone(str(server), str(run))
        if kind == ADDED:
            ip, loads = fields
            return LoadAdded(str(ip), _loads(loads))
        if kind == ROWS:
            table, after, rows, lapsing = fields
            return Rows(str(table), int(after), [_row(row) for row in rows], bool(lapsing))
        return _news(fields) if kind == NEWS else None
    except _UNREADABLE:
        return None


def _news(fields: list[Any]) -> News:
    facts, versions, loads, poison, relayed, store_lost, daemons, far = fields
    return News(
        facts=_facts(facts),
        versions={str(table): int(version) for table, version in versions.items()},
        loads=_loads(loads),
        poison=[_suspect(item) for item in poison],
        relayed=[_facts(item) for item in relayed],
        store_lost=bool(store_lost),
        daemons=int(daemons),
        far=tuple(RegionSum(str(r), int(age), _loads(part)) for r, age, part in far),
    )


def _suspect(item: Any) -> Suspect:
    mark, breaks, cleared_ms = item
    decoded = tuple((_bytes(server), int(age_ms)) for server, age_ms in breaks)
    return Suspect(_bytes(mark), decoded, None if cleared_ms is None else int(cleared_ms))


def _bytes(value: object) -> bytes:
    # bytes(value) would take a number for the length of a field of zeros.
    if not isinstance(value, bytes):
        raise TypeError(f"{value!r} is not bytes")
    return value


def _row(fields: Any) -> Row:
    table, key, value, version = fields
    return Row(str(table), str(key), None if value is None else _bytes(value), int(version))


def _facts(item: Any) -> MemberFacts:
    ip, incarnation, counter, state, zone, region = item
    return MemberFacts(str(ip), int(incarnation), int(counter), int(state), str(zone), str(region))


class Gossip(asyncio.DatagramProtocol):
    """Socket for datagrams."""

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
        """Take a datagram whose sender is whom it names."""
        message = decode(data)
        if message is None or _sender(message) not in (None, addr[0]):
            self.rejected += 1
            self._on_rejected("unreadable" if message is None else "another sender")
            return
        self._on_message(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore refusals of a port: they say that the daemon there is not running yet."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, data: bytes, ips: list[str], port: int) -> bool:
        """Send a datagram to several daemons; a lost one is made up for by the next.

        Returns
        -------
        bool
            False if it is too large; nothing was sent.
        """
        if len(data) > DATAGRAM_MOST:
            return False
        if self._transport is not None:
            for ip in ips:
                self._transport.sendto(data, (ip, port))
        return True


def _sender(message: Message) -> str | None:
    """Return the address that a message says it comes from."""
    match message:
        case News():
            return message.facts.ip
        case LoadAdded() | LeavingRuns():
            return message.ip
    return None


async def serve_rows(
    mirror: Mirror, lapsing: bool, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer a peer's question for the rows of a table after a version.

    Parameters
    ----------
    lapsing
        Whether removed rows may have lapsed while the store was away.
    """
    try:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            size = int.from_bytes(await reader.readexactly(4), "big")
            table, after = msgpack.unpackb(await reader.readexactly(min(size, 1024)))
            whole, rows = mirror.since(str(table), int(after))
            body = msgpack.packb(
                [whole, mirror.complete(str(table)), lapsing, [list(r) for r in rows]]
            )
            writer.write(len(body).to_bytes(4, "big") + body)
            await writer.drain()
    except (OSError, TimeoutError, EOFError, *_UNREADABLE):
        pass  # the peer asks again or asks another daemon
    finally:
        writer.close()


async def pull_rows(ip: str, port: int, table: str, after: int) -> tuple[bool, bool, list[Row]]:
    """Ask a peer for the rows of a table after a version.

    Returns
    -------
    bool
        Whether the rows are the whole table.
    bool
        Whether removed rows may have lapsed while the store was away.
    list of Row
        The rows, removed ones included.

    Raises
    ------
    OSError
        The peer did not answer in time or in form.
    """
    try:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                question = msgpack.packb([table, after])
                writer.write(len(question).to_bytes(4, "big") + question)
                size = int.from_bytes(await reader.readexactly(4), "big")
                if size > ROWS_MOST:
                    raise OSError(f"{ip} sent {size} bytes of rows")
                whole, complete, lapsing, rows = msgpack.unpackb(await reader.readexactly(size))
            finally:
                writer.close()
        return bool(whole and complete), bool(lapsing), [_row(row) for row in rows]
    except (TimeoutError, EOFError, *_UNREADABLE) as exc:
        raise OSError(f"{ip} gave no rows: {exc!r}") from exc
