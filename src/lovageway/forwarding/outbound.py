"""Connections to backend servers and to the store: one request at a time on each.

Each part of an answer has a size limit. An answer that exceeds one closes the connection at once
and counts as interrupted: the request may have been executed. Reading pauses while the parts of an
answer are not consumed.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

import httptools

from lovageway.forwarding.exchange import BadAnswerError, Exchange, Part
from lovageway.forwarding.inputturns import InputTurns, SlicedInput, set_reading
from lovageway.forwarding.model import Address, AnswerHead

# Calls have about one second, and TCP sends a lost SYN packet again only after one second.
CONNECT_TIMEOUT_S = 0.3
TCP_USER_TIMEOUT_MS = 3000  # closes a connection whose data is not acknowledged for this long
KEEPALIVE_INTERVAL_S = 1  # TCP keep-alive probes detect connections whose peer disappeared
KEEPALIVE_PROBES = 3
DEFAULT_MAX_IDLE_S = 4.0  # idle time up to which a connection is reused by default
KEEP_ALIVE_SHARE = 0.7  # share of the server's Keep-Alive timeout for which it is reused
MAX_HEAD_BYTES = 32 * 1024  # of a head, of trailers or of other data around parts of a body
MAX_HEADERS = 200
# Statuses of the protocol; any other answer is none. Lower ones are interim answers.
FIRST_STATUS, FIRST_FINAL_STATUS, LAST_STATUS = 100, 200, 599
MAX_INTERIM_ANSWERS = 8  # answers with status 1xx before the final answer
MAX_ATTEMPT_IDS = 64  # remembered for each connection
SEPARATE_BODY_BYTES = 64 * 1024  # a larger body is written without a copy that includes its head
MAX_SKIPPED_BYTES = 64 * 1024  # of answers to other requests, read before the awaited answer

HeadDecoder = Callable[[int, str, list[tuple[str, str]]], AnswerHead]


class ServerConnection(asyncio.Protocol):
    """Connection to a server that carries one request at a time."""

    def __init__(self, decode: HeadDecoder, clock: Callable[[], float], turns: InputTurns) -> None:
        self._decode = decode
        self._clock = clock
        self._input = SlicedInput(
            turns, self._feed, lambda reading: set_reading(self._transport, reading)
        )
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._reset()
        self.reusable = True
        self.closed = False
        self._closed_here = False  # whether this daemon, not the server, ended the connection
        self.idle_since = clock()
        self.max_idle_s = DEFAULT_MAX_IDLE_S
        self.answered = 0
        self.attempt_ids: deque[str] = deque(maxlen=MAX_ATTEMPT_IDS)  # those sent last
        self._unparsed_bytes = 0  # received since the last parser callback
        self._interim_answers = 0
        self._skipped_bytes = 0

    def _reset(self) -> None:
        self._reason = b""
        self._headers: list[tuple[str, str]] = []
        self._head_size = 0
        self._skipping = False
        self._body_ends_at_eof = False
        self._in_answer = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect dead connections."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family == socket.AF_INET:
            _set_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer; data without a pending request closes the connection."""
        self._input.receive(data)

    def _feed(self, data: bytes) -> bool:
        """Parse a slice of the input; return False once the connection is closed."""
        if self._exchange is None:
            self.close()
            return False
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if self._unparsed_bytes > MAX_HEAD_BYTES:
                raise BadAnswerError("head")
        except BadAnswerError as exc:
            self._fail(str(exc))
        except httptools.HttpParserCallbackError as exc:
            cause = exc.__context__
            self._fail(str(cause) if isinstance(cause, BadAnswerError) else repr(cause))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail()
        return not self._closed_here

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer; one without a length is complete if the server closed cleanly."""
        self.closed, self.reusable = True, False
        self._input.discard()
        complete = (
            self._body_ends_at_eof and exc is None and not self._skipping and not self._closed_here
        )
        if self._exchange is not None:
            self._exchange.ended_by_close = complete
        if self._exchange is not None and not isinstance(exc, ConnectionError | None):
            self._exchange.fault = "unreachable"  # timed out: the server may be running
        self._end_exchange(complete=complete)

    def eof_received(self) -> bool:
        """Close the connection when the server closes its side."""
        return False

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Begin an answer; after one without a pending request the connection is not reused."""
        self._reset()
        self._unparsed_bytes = 0
        self._in_answer = True
        if self._exchange is None:
            self.reusable = False

    def on_status(self, status: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header or a trailer."""
        self._unparsed_bytes = 0
        self._head_size += len(name) + len(value)
        if self._head_size > MAX_HEAD_BYTES or len(self._headers) >= MAX_HEADERS:
            raise BadAnswerError("head")
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Decode the head; an answer to another request is skipped."""
        self._unparsed_bytes = 0
        status = self._parser.get_status_code()
        exchange = self._exchange
        if exchange is None:
            self._skipping = True
            return
        if not FIRST_STATUS <= status <= LAST_STATUS:
            raise BadAnswerError("status")
        if status < FIRST_FINAL_STATUS:
            self._skipping = True
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise BadAnswerError("interim answers")
            return
        head = self._decode(status, self._reason.decode("latin-1"), self._headers)
        if not self._parser.should_keep_alive():
            self.reusable = False
        if head.keep_alive_s is not None:
            self.max_idle_s = KEEP_ALIVE_SHARE * head.keep_alive_s
        values = {name.lower(): value for name, value in self._headers}
        length = values.get("content-length", "0")
        if not self._is_answer_to(exchange, head):
            self._skipping, self.reusable = True, False
            if int(length) > MAX_SKIPPED_BYTES:
                raise BadAnswerError("skipped")
            return
        self._body_ends_at_eof = (
            not values.keys() & {"content-length", "transfer-encoding"} and status != 204
        )
        exchange.check_size(0 if exchange.no_body else int(length))
        exchange.put(Part(head, b"", False, False))
        if exchange.no_body:
            self.reusable = False
            self._end_exchange(complete=True)

    def _is_answer_to(self, exchange: Exchange, head: AnswerHead) -> bool:
        """Return whether an answer carries the id of the request, or none if that had none.

        Raises
        ------
        BadAnswerError
            The answer has no id: it may be a duplicate of an earlier answer.
        """
        if exchange.attempt_id is not None and head.attempt_id is None:
            raise BadAnswerError("no id")
        return head.attempt_id == exchange.attempt_id

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        self._unparsed_bytes = 0
        if self._skipping:
            self._skipped_bytes += len(body)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise BadAnswerError("skipped")
        elif self._exchange is not None:
            self._exchange.put(Part(None, body, False, False))

    def on_message_complete(self) -> None:
        """End the answer."""
        self._unparsed_bytes = 0
        self._in_answer = False
        if not self._skipping:
            self._end_exchange(complete=True)

    # Use.

    def begin(self, exchange: Exchange, head: bytes, body: bytes = b"") -> None:
        """Send a request and pass its answer to the exchange."""
        assert self._exchange is None and self._transport is not None
        self._exchange = exchange
        if exchange.attempt_id is not None:
            self.attempt_ids.append(exchange.attempt_id)
        self._interim_answers = self._skipped_bytes = 0
        exchange.on_reading_paused = self._input.hold
        if len(body) < SEPARATE_BODY_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._transport.write(body)

    def close(self) -> None:
        """Abort the connection; the server then cancels the request that it runs for it."""
        self.reusable = False
        self._closed_here = True
        if self._transport is not None and not self.closed:
            self._transport.abort()

    @property
    def is_idle(self) -> bool:
        """Return whether the connection can be reused: no part of an answer is pending on it."""
        in_use = self._in_answer or self._input.pending > 0
        return self.reusable and not self.closed and not in_use

    def idle_s(self, now: float) -> float:
        """Return how long the connection has been idle, in seconds."""
        return now - self.idle_since

    def _fail(self, fault: str = "not in the protocol") -> None:
        if self._exchange is not None:
            self._exchange.fault = fault
        self._end_exchange(complete=False)
        self.close()

    def _end_exchange(self, *, complete: bool) -> None:
        exchange, self._exchange = self._exchange, None
        self.idle_since = self._clock()
        self.answered += 1
        if self._transport is not None and self._transport.get_write_buffer_size() > 0:
            self.reusable = False  # the answer arrived before the request was sent completely
        if exchange is not None:
            exchange.on_reading_paused = lambda paused: None
            self._input.hold(False)
            exchange.put(Part(None, b"", True, complete))


def _set_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class Pool:
    """Pool of idle connections, by server."""

    def __init__(self, decode: HeadDecoder, clock: Callable[[], float], turns: InputTurns) -> None:
        self._decode = decode
        self._clock = clock
        self._turns = turns
        self._idle: dict[str, list[ServerConnection]] = {}
        self.opened = 0

    async def acquire(
        self,
        key: str,
        address: Address,
        attempt_id: str | None = None,
        limit_s: float = CONNECT_TIMEOUT_S,
    ) -> ServerConnection:
        """Return an idle connection or open one.

        Parameters
        ----------
        key
            Identity of the server, so that connections to an earlier server at its address are
            not reused.
        attempt_id
            Id of the request. A connection on which it was sent is not reused: a duplicate of the
            earlier answer could not be distinguished from the new answer.
        limit_s
            Time to open a connection, in seconds; at most CONNECT_TIMEOUT_S is used.

        Raises
        ------
        OSError
            The connection could not be opened.
        """
        idle = self._idle.get(key, [])
        now = self._clock()
        while idle:
            conn = idle.pop()
            is_used = attempt_id in conn.attempt_ids
            if conn.is_idle and not is_used and conn.idle_s(now) < conn.max_idle_s:
                return conn
            conn.close()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(max(0.0, min(limit_s, CONNECT_TIMEOUT_S))):
                _, conn = await loop.create_connection(
                    lambda: ServerConnection(self._decode, self._clock, self._turns),
                    address.host,
                    address.port,
                )
        except TimeoutError as exc:
            raise OSError(f"{address} did not accept a connection in time") from exc
        except (OverflowError, ValueError) as exc:
            raise OSError(f"{address} is no address: {exc}") from exc
        self.opened += 1
        return conn

    def release(self, key: str, conn: ServerConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if conn.is_idle:
            self._idle.setdefault(key, []).append(conn)
        else:
            conn.close()

    def close_expired(self) -> None:
        """Close connections that exceeded their idle time."""
        now = self._clock()
        for key, idle in list(self._idle.items()):
            keep = [c for c in idle if not c.closed and c.idle_s(now) < c.max_idle_s]
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
