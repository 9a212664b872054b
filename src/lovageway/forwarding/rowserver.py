"""Sends rows of the store to daemons that request them.

Load pattern: all daemons of a region request a large configuration at once; or an unknown host
opens connections to the address between daemons, requests whole tables and reads no answer.
"""

import asyncio
import zlib
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack  # type: ignore[import-untyped]

from lovageway.forwarding.gossip import COMPRESSED, MAX_PULL_S, PULL_TIMEOUT_S, UNREADABLE
from lovageway.forwarding.mirror import Mirror
from lovageway.forwarding.model import Revision

FAST_COMPRESSION = 1  # level of zlib
MAX_REQUEST_BYTES = 1024
MAX_REQUESTS_PER_ADDRESS = 8  # a daemon requests each of a few tables at a time
MAX_UNKNOWN_REQUESTS = 32  # open requests of addresses that are not known as daemons


class RowsRequest(NamedTuple):
    """Request for the rows of a table that are newer than a version."""

    table: str
    number: int
    era: int | None  # daemons of earlier versions ask without an era
    compressed: bool  # whether the peer reads compressed answers


class RowServer:
    """Answers requests for rows; unknown hosts get their answers one after another.

    Parameters
    ----------
    mirror
        Holds the rows to send.
    removals_may_be_expired
        Returns whether removed rows may have expired while the store was unreachable.
    is_known
        Returns whether a daemon is known at an address.
    """

    def __init__(
        self,
        mirror: Mirror,
        removals_may_be_expired: Callable[[], bool],
        is_known: Callable[[str], bool],
    ) -> None:
        self._mirror = mirror
        self._removals_may_be_expired = removals_may_be_expired
        self._is_known = is_known
        self._open: Counter[str] = Counter()  # requests by address
        self._unknown_open = 0  # open requests
        self._unknown_turn = asyncio.Lock()
        self.refused = 0

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are being read or answered."""
        return self._open.total()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request; one that is malformed, or too late, gets no answer."""
        peername = writer.get_extra_info("peername")
        address = str(peername[0]) if peername else ""
        known = self._is_known(address)
        if self._open[address] >= MAX_REQUESTS_PER_ADDRESS or (
            not known and self._unknown_open >= MAX_UNKNOWN_REQUESTS
        ):
            self.refused += 1
            writer.transport.abort()
            return
        self._open[address] += 1
        self._unknown_open += not known
        try:
            writer.transport.set_write_buffer_limits(high=0)  # `drain` waits for the last byte
            request = await _read_request(reader)
            if known:
                await self._answer(request, writer)
            else:
                async with asyncio.timeout(MAX_PULL_S), self._unknown_turn:
                    await self._answer(request, writer)
        except (OSError, TimeoutError, EOFError, *UNREADABLE):
            pass  # the peer requests the rows again, or requests them from another daemon
        finally:
            self._unknown_open -= not known
            self._open[address] -= 1
            if not self._open[address]:
                del self._open[address]
            # `close` would keep an answer that nobody reads.
            if writer.transport.get_write_buffer_size():
                writer.transport.abort()
            else:
                writer.close()

    async def _answer(self, request: RowsRequest, writer: asyncio.StreamWriter) -> None:
        body = encode_rows(self._mirror, request, self._removals_may_be_expired())
        writer.write(len(body).to_bytes(4, "big") + body)
        async with asyncio.timeout(MAX_PULL_S):
            await writer.drain()


async def _read_request(reader: asyncio.StreamReader) -> RowsRequest:
    """Return the request that arrives on a connection.

    Raises
    ------
    OSError, TimeoutError, EOFError or one of `gossip.UNREADABLE`
        The request is malformed, or not complete in time.
    """
    async with asyncio.timeout(PULL_TIMEOUT_S):
        size = int.from_bytes(await reader.readexactly(4), "big")
        data = await reader.readexactly(min(size, MAX_REQUEST_BYTES))
    table, number, *more = msgpack.unpackb(data)
    era = int(more[0]) if more else None
    return RowsRequest(str(table), int(number), era, COMPRESSED in more[1:])


def encode_rows(mirror: Mirror, request: RowsRequest, may_be_expired: bool) -> bytes:
    """Return the answer to a request for rows.

    A large configuration is requested by all daemons of a region at once, and its answers share
    the link of one or two daemons; so they are compressed for peers that can read it.
    """
    body = bytes(msgpack.packb(_answer_fields(mirror, request, may_be_expired)))
    return zlib.compress(body, FAST_COMPRESSION) if request.compressed else body


def _answer_fields(mirror: Mirror, request: RowsRequest, may_be_expired: bool) -> list[Any]:
    position = mirror.position(request.table)
    number, era = request.number, request.era
    if era is None:
        era = position.era if number else 0
    is_full_table, rows = mirror.since(request.table, Revision(era, number))
    fields = [is_full_table, mirror.is_complete(request.table), may_be_expired]
    if request.era is None:
        return [*fields, [list(row)[:4] for row in rows]]
    kept = [[list(row), shown] for row, shown in mirror.kept(request.table)]
    return [*fields, [list(row) for row in rows], list(position), kept]
