"""Connections to backend servers and to the store: one request at a time on each.

What a server sends is bounded in each of its parts. Beyond a bound the connection is closed at once
and the answer counts as broken off: the request may have run. Reading pauses while nobody takes the
parts of an answer.
"""

import asyncio
import socket
from collections.abc import Callable

import httptools

from lovageway.forwarding.exchange import BadAnswerError, Exchange, Part
from lovageway.forwarding.model import Address, AnswerHead

CONNECT_TIMEOUT_S = 0.3  # calls have about a second; a lost first packet is sent again after one
UNACKNOWLEDGED_MS = 3000  # a connection on which nothing is acknowledged for so long is given up
PROBE_IDLE_S = 1  # keep-alive probes find connections that fell silent
PROBE_COUNT = 3
DEFAULT_KEEP_S = 4.0  # an idle connection is reused so long if the server names no time
KEEP_USED = 0.7  # of the time that the server names
HEAD_MOST = 32 * 1024  # bytes of a head, of trailers or of anything else between parts of a body
HEADERS_MOST = 200
INTERIM_MOST = 8  # 1xx heads before an answer
SKIPPED_MOST = 64 * 1024  # bytes of answers to other requests that are read to reach the own one

HeadDecoder = Callable[[int, str, list[tuple[str, str]]], AnswerHead]


class ServerConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, decode: HeadDecoder, clock: Callable[[], float]) -> None:
        self._decode = decode
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._reset()
        self.reusable = True
        self.closed = False
        self.idle_since = clock()
        self.keep_s = DEFAULT_KEEP_S
        self.answered = 0
        self.last_attempt: str | None = None
        self._between = 0  # bytes since the parser last made something of them
        self._interim = 0
        self._skipped = 0

    def _reset(self) -> None:
        self._reason = b""
        self._headers: list[tuple[str, str]] = []
        self._head_size = 0
        self._skipping = False
        self._to_eof = False
        self._in_answer = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options that find silent connections."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family == socket.AF_INET:
            _set_probes(sock)

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer; bytes that nobody asked for end the connection."""
        if self._exchange is None:
            self.close()
            return
        self._between += len(data)
        try:
            self._parser.feed_data(data)
            if self._in_answer and self._between > HEAD_MOST:
                raise BadAnswerError("head")
        except BadAnswerError as exc:
            self._broken(str(exc))
        except httptools.HttpParserCallbackError as exc:
            cause = exc.__context__
            self._broken(str(cause) if isinstance(cause, BadAnswerError) else repr(cause))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._broken()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer; one without a length is complete if the server closed in order."""
        self.closed, self.reusable = True, False
        complete = self._to_eof and exc is None and not self._skipping
        self._end(complete=complete)

    def eof_received(self) -> bool:
        """Close when the server does."""
        return False

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Begin an answer; one that nobody asked for ends the use of the connection."""
        self._reset()
        self._between = 0
        self._in_answer = True
        if self._exchange is None:
            self.reusable = False

    def on_status(self, status: bytes) -> None:
        """Take a part of the reason."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header or a trailer."""
        self._between = 0
        self._head_size += len(name) + len(value)
        if self._head_size > HEAD_MOST or len(self._headers) >= HEADERS_MOST:
            raise BadAnswerError("head")
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Decode the head; an answer that belongs to another request is skipped."""
        self._between = 0
        status = self._parser.get_status_code()
        exchange = self._exchange
        if exchange is None:
            self._skipping = True
            return
        if status < 200:
            self._skipping = True
            self._interim += 1
            if self._interim > INTERIM_MOST:
                raise BadAnswerError("interim answers")
            return
        head = self._decode(status, self._reason.decode("latin-1"), self._headers)
        if not self._parser.should_keep_alive():
            self.reusable = False
        if head.keep_alive_s is not None:
            self.keep_s = KEEP_USED * head.keep_alive_s
        values = {name.lower(): value for name, value in self._headers}
        length = values.get("content-length", "0")
        if not self._is_answer_to(exchange, head):
            self._skipping, self.reusable = True, False
            if int(length) > SKIPPED_MOST:
                raise BadAnswerError("skipped")
            return
        self._to_eof = not values.keys() & {"content-length", "transfer-encoding"} and status != 204
        exchange.expect(0 if exchange.no_body else int(length))
        exchange.put(Part(head, b"", False, False))
        if exchange.no_body:
            self.reusable = False
            self._end(complete=True)

    def _is_answer_to(self, exchange: Exchange, head: AnswerHead) -> bool:
        """Return whether an answer belongs to the request.

        Raises
        ------
        BadAnswerError
            It has no id: it may be another copy of an answer that was given before.
        """
        if exchange.attempt_id is not None and head.attempt_id is None:
            raise BadAnswerError("no id")
        return exchange.attempt_id is None or head.attempt_id == exchange.attempt_id

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        self._between = 0
        if self._skipping:
            self._skipped += len(body)
            if self._skipped > SKIPPED_MOST:
                raise BadAnswerError("skipped")
        elif self._exchange is not None:
            self._exchange.put(Part(None, body, False, False))

    def on_message_complete(self) -> None:
        """End the answer."""
        self._between = 0
        self._in_answer = False
        if not self._skipping:
            self._end(complete=True)

    # Use.

    def begin(self, exchange: Exchange, data: bytes) -> None:
        """Send a request."""
        assert self._exchange is None and self._transport is not None
        self._exchange = exchange
        self.last_attempt = exchange.attempt_id
        self._interim = self._skipped = 0
        exchange.on_pace = self._set_pace
        self._transport.write(data)

    def close(self) -> None:
        """Close at once; a server drops the request that it runs for this connection."""
        self.reusable = False
        if self._transport is not None and not self.closed:
            self._transport.abort()

    @property
    def is_idle(self) -> bool:
        """Return whether the connection can take a request: nothing of an answer is on it."""
        return self.reusable and not self.closed and not self._in_answer

    def idle_for(self, now: float) -> float:
        """Return for how long the connection has been idle."""
        return now - self.idle_since

    def _set_pace(self, paused: bool) -> None:
        """Pause or resume reading."""
        if self._transport is None or self.closed or self._transport.is_closing():
            return
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _broken(self, fault: str = "not in the protocol") -> None:
        if self._exchange is not None:
            self._exchange.fault = fault
        self._end(complete=False)
        self.close()

    def _end(self, *, complete: bool) -> None:
        exchange, self._exchange = self._exchange, None
        self.idle_since = self._clock()
        self.answered += 1
        if self._transport is not None and self._transport.get_write_buffer_size() > 0:
            self.reusable = False  # the answer came before the server had read the request
        if exchange is not None:
            exchange.on_pace = lambda paused: None
            self._set_pace(False)
            exchange.put(Part(None, b"", True, complete))


def _set_probes(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class Pool:
    """Idle connections by server."""

    def __init__(self, decode: HeadDecoder, clock: Callable[[], float]) -> None:
        self._decode = decode
        self._clock = clock
        self._idle: dict[str, list[ServerConnection]] = {}
        self.opened = 0

    async def acquire(
        self, key: str, address: Address, attempt_id: str | None = None
    ) -> ServerConnection:
        """Return an idle connection or open one.

        Parameters
        ----------
        key
            Identity of the server; connections of an earlier server at the address are not used.
        attempt_id
            Id of the request. A connection on which it was sent before is not used: a second copy
            of the earlier answer could not be told from the answer to come.

        Raises
        ------
        OSError
            The server cannot be reached.
        """
        idle = self._idle.get(key, [])
        now = self._clock()
        while idle:
            conn = idle.pop()
            is_used = attempt_id is not None and conn.last_attempt == attempt_id
            if conn.is_idle and not is_used and conn.idle_for(now) < conn.keep_s:
                return conn
            conn.close()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(
                    lambda: ServerConnection(self._decode, self._clock), address.host, address.port
                )
        except TimeoutError as exc:
            raise OSError(f"{address} did not accept a connection in time") from exc
        self.opened += 1
        return conn

    def release(self, key: str, conn: ServerConnection) -> None:
        """Keep a connection whose answer was complete, or close it."""
        if conn.is_idle:
            self._idle.setdefault(key, []).append(conn)
        else:
            conn.close()

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        now = self._clock()
        for key, idle in list(self._idle.items()):
            keep = [c for c in idle if not c.closed and c.idle_for(now) < c.keep_s]
            for conn in set(idle) - set(keep):
                conn.close()
            if keep:
                self._idle[key] = keep
            else:
                del self._idle[key]

    def drop(self, key: str) -> None:
        """Close the idle connections of a server."""
        for conn in self._idle.pop(key, []):
            conn.close()
