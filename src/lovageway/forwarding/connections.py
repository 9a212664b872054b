"""Client connections: parsing requests, writing answers and enforcing the operator's limits."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

import httptools

from lovageway.forwarding.connectionmemory import LINE_BYTES, head_bytes
from lovageway.forwarding.inputturns import InputTurns, SlicedInput, set_reading
from lovageway.forwarding.model import RequestLimits

MAX_QUEUED_REQUESTS = 8  # pipelined requests after which reading pauses
LINGER_S = 1.0  # time for which input is discarded before a connection with unread input is closed
IDLE_CLOSE_DELAY_S = 0.05  # lets input that arrived together with the idle timeout be read first
DEFAULT_LIMITS = RequestLimits(16384, 4 << 20, 3.0, 15.0)
WRITE_HIGH_WATER = 16 * 1024  # bytes of answers buffered for a client
WRITE_STALL_TIMEOUT_S = 10.0  # a client that reads nothing for this long is disconnected
# A slower body is rejected with 408; the header timeout is allowed in addition.
MIN_BODY_BYTES_PER_S = 1024
BODY_PART_BYTES = 16 * 1024  # from which on another part of a body begins
MEMORY_RETRY_AFTER_S = 0.5  # Retry-After of a request without memory for its head or body
REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
Headers = list[tuple[str, str]]


class Inbound(NamedTuple):
    """Complete request of a client."""

    method: str
    target: str
    headers: Headers
    body: bytes
    http_1_1: bool
    keep_alive: bool
    arrived_at: float
    memory: int = 0  # reserved for it without its body, in bytes


class Handler(Protocol):
    """Callbacks of the connections of one listener."""

    def limits(self) -> RequestLimits:
        """Return the limits in force."""

    def should_close(self) -> bool:
        """Return whether connections are closed after an answer, as during a drain."""

    def reserve_body(self, size: int) -> bool:
        """Reserve memory for bodies; a negative size releases it.

        Returns
        -------
        bool
            Whether there was enough memory; if not, nothing was reserved.
        """

    def reserve_memory(self, conn: "ClientConnection", size: int, held: int) -> bool:
        """Reserve memory for a connection that holds some.

        Returns
        -------
        bool
            Whether there was enough memory; if not, nothing was reserved.
        """

    def release_memory(self, size: int) -> None:
        """Release memory of a connection."""

    def on_activity(self, conn: "ClientConnection") -> None:
        """Record that a connection was active, or came into use or out of use."""

    def handle(self, conn: "ClientConnection", inbound: Inbound) -> None:
        """Start to serve a request."""

    def on_disconnect(self, conn: "ClientConnection") -> None:
        """Cancel the work for a closed connection."""

    def on_rejected(self, status: int, reason: str) -> None:
        """Record a request that violated the protocol or a limit."""

    def on_connect(self, conn: "ClientConnection") -> None:
        """Record a new connection."""


class ClientConnection(asyncio.BufferedProtocol):
    """Connection of a client; its requests are served one after another."""

    def __init__(self, handler: Handler, clock: Callable[[], float], turns: InputTurns) -> None:
        self._handler = handler
        self._clock = clock
        self._turns = turns
        self._input = SlicedInput(
            turns, self._feed, lambda reading: set_reading(self._transport, reading)
        )
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        # In parts: a single buffer that grows is moved again and again, and leaves holes in the
        # heap that do not fit other bodies.
        self._body: list[bytearray] = []
        self._body_size = 0
        self._reserved_bytes = 0  # of the bodies on this connection
        self._memory = 0  # reserved for heads, waiting and running requests, in bytes
        self._head_memory = 0  # the part of the head that is being read
        self._head_size = 0
        self._trailer_size = 0
        self._unparsed_bytes = 0  # received since the last parser callback
        self._in_message = False
        self._head_done = False
        self._expects_continue = False  # the client waits before it sends the body
        self._message_started_at = 0.0
        self._queue: deque[Inbound] = deque()
        self._discarding = False
        self._close_after = False
        self._chunked = False
        self._writable: asyncio.Event = asyncio.Event()
        self._writable.set()
        self._write_blocked_at: float | None = None
        self.current: Inbound | None = None
        self.last_active_at = clock()
        self.closed = False
        self.peer = ""

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its write limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        self.peer = str(transport.get_extra_info("peername"))
        self._handler.on_connect(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer to read into: a small one, as input may wait for a long time."""
        return self._turns.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self.data_received(bytes(memoryview(self._turns.read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse input and start the next request if none is being served."""
        if not self._discarding:
            self.last_active_at = self._clock()
            self._input.receive(data)
            self._handler.on_activity(self)

    def _feed(self, data: bytes) -> bool:
        """Parse a slice of the input; return False once the connection's input is discarded."""
        limits = self._handler.limits()
        if not self._head_done:
            self._head_size += len(data)
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(501, "upgrades are not served")
        except httptools.HttpParserError as exc:
            self._reject(400, str(exc.__context__ or exc))
        else:
            if self._in_message and not self._head_done and self._head_size > limits.header_bytes:
                self._reject(431, "the head exceeds the limit")
            elif self._unparsed_bytes > limits.header_bytes:
                self._reject(400, "input outside a head or a body exceeds the limit")
        self._serve_next()
        return not self._discarding

    def eof_received(self) -> bool:
        """Close the connection when the client closes its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being served and release all memory."""
        self._leave()

    def _leave(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._input.discard()
        self._writable.set()
        self._queue.clear()
        self._release_bodies()
        self._release_memory(self._memory)
        self._handler.on_disconnect(self)

    def pause_writing(self) -> None:
        """Record that the write buffer is full."""
        self._writable.clear()
        self._write_blocked_at = self._clock()
        self._handler.on_activity(self)

    def resume_writing(self) -> None:
        """Record that the write buffer has drained."""
        self._write_blocked_at = None
        self._writable.set()
        self._handler.on_activity(self)
        self._serve_next()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._in_message = True
        self._head_done = False
        self._expects_continue = False
        self._message_started_at = self._clock()
        self._url, self._headers = b"", []
        self._drop_body()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are limited in size and otherwise ignored."""
        self._unparsed_bytes = 0
        if not self._head_done:
            size = LINE_BYTES + len(name) + len(value)
            if self._reserve_memory(size):
                self._head_memory += size
                self._headers.append((name, value))
            return
        self._trailer_size += len(name) + len(value)
        if self._trailer_size > self._handler.limits().header_bytes:
            self._reject(431, "the trailer exceeds the limit")

    def on_headers_complete(self) -> None:
        """Check the size of the head and what it announces about the body."""
        self._head_done = True
        self._unparsed_bytes = self._trailer_size = 0
        limits = self._handler.limits()
        size = len(self._url) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        self._head_size = 0
        if size > limits.header_bytes:
            self._reject(431, "the head exceeds the limit")
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"transfer-encoding" and value.strip().lower() != b"chunked":
                self._reject(501, "only the chunked transfer coding is served")
            elif lower == b"content-length" and int(value) > limits.body_bytes:
                self._reject(413, "the body exceeds the limit")
            elif lower == b"expect":
                self._expects_continue = True
        self._write_continue()

    def _write_continue(self) -> None:
        """Ask for the body of a request that waits for it, once, between two answers."""
        is_due = self._expects_continue and self._in_message and not self._discarding
        if is_due and self.current is None and not self._queue and self._writable.is_set():
            self._expects_continue = False
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, within the limits for bodies."""
        self._unparsed_bytes = 0
        if self._discarding:
            return
        if not self._handler.reserve_body(len(body)):
            self._reject_for_memory("body")
            return
        self._reserved_bytes += len(body)
        if self._body and len(self._body[-1]) < BODY_PART_BYTES:
            self._body[-1] += body
        else:
            self._body.append(bytearray(body))
        self._body_size += len(body)
        if self._body_size > self._handler.limits().body_bytes:
            self._reject(413, "the body exceeds the limit")

    def _drop_body(self) -> None:
        self._body, self._body_size = [], 0

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        self._in_message = self._head_done = False
        self._head_size = self._unparsed_bytes = 0
        if self._discarding:
            return
        size = sum(len(n) + len(v) for n, v in self._headers) + len(self._url)
        memory = max(self._head_memory, head_bytes(size, len(self._headers)))
        if not self._reserve_memory(memory - self._head_memory):
            return
        self._head_memory = 0
        version = self._parser.get_http_version()
        self._queue.append(
            Inbound(
                method=self._parser.get_method().decode("latin-1"),
                target=self._url.decode("latin-1"),
                headers=[(n.decode("latin-1"), v.decode("latin-1")) for n, v in self._headers],
                body=b"".join(self._body),
                http_1_1=version == "1.1",
                keep_alive=self._parser.should_keep_alive(),
                arrived_at=self._message_started_at,
                memory=memory,
            )
        )
        self._headers = []
        self._drop_body()
        if len(self._queue) >= MAX_QUEUED_REQUESTS:
            self._input.hold(True)

    def _serve_next(self) -> None:
        """Serve the next request, unless the client does not read the answers before it."""
        if self._expects_continue:
            self._write_continue()
        if self.current is not None or not self._queue or self.closed or self._close_after:
            return
        if self._writable.is_set():
            self.current = self._queue.popleft()
            self._handler.on_activity(self)
            self._input.hold(False)
            self._handler.handle(self, self.current)

    # Answers.

    def respond(self, status: int, headers: Headers, body: bytes, reason: str = "") -> None:
        """Write a complete answer and continue with the next request."""
        self._write_head(status, reason, [*headers, ("Content-Length", str(len(body)))], body)
        self.finish()

    def start(self, status: int, headers: Headers, reason: str = "") -> None:
        """Write the head of an answer of unknown length."""
        assert self.current is not None
        self._chunked = self.current.http_1_1
        if self._chunked:
            headers = [*headers, ("Transfer-Encoding", "chunked")]
        else:
            self._close_after = True
        self._write_head(status, reason, headers, b"")

    def send(self, data: bytes) -> None:
        """Write a part of the body after `start`."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def end(self) -> None:
        """End a body after `start`; the answer is complete."""
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self.finish()

    def abort(self) -> None:
        """Reset the connection, so that an incomplete answer cannot look complete."""
        if self._transport is not None:
            self._transport.abort()

    async def wait_until_writable(self, limit_s: float | None = None) -> bool:
        """Wait until the write buffer is below its limit; return False after `limit_s` seconds."""
        if self._writable.is_set():
            return True
        try:
            async with asyncio.timeout(limit_s):
                return await self._writable.wait()
        except TimeoutError:
            return False

    def finish(self) -> None:
        """Continue with the next request after a complete answer."""
        if self.current is not None and not self.closed:
            self._release_memory(self.current.memory)
        self.current = None
        if not self._queue and not self._in_message:
            self._release_bodies()
        self.last_active_at = self._clock()
        self._handler.on_activity(self)
        if self._close_after:
            self._linger()
        else:
            asyncio.get_running_loop().call_soon(self._serve_next)

    # Memory.

    def _reserve_memory(self, size: int) -> bool:
        """Reserve memory for a head; reject the request if there is none."""
        if self._discarding:
            return False
        if not self._handler.reserve_memory(self, size, self._memory):
            self._reject_for_memory("head")
            return False
        self._memory += size
        return True

    def _release_memory(self, size: int) -> None:
        self._memory -= size
        self._handler.release_memory(size)

    @property
    def is_in_use(self) -> bool:
        """Return whether a request is being served."""
        return self.current is not None

    @property
    def is_unread(self) -> bool:
        """Return whether the client does not read the answers."""
        return not self._writable.is_set()

    @property
    def is_receiving(self) -> bool:
        """Return whether a part of a request has arrived."""
        return self._in_message

    def close_unused(self) -> None:
        """Close the connection for another one; its client gets no answer."""
        self.abort()
        self._leave()

    def _release_bodies(self) -> None:
        self._handler.reserve_body(-self._reserved_bytes)
        self._reserved_bytes = 0

    def _write_head(self, status: int, reason: str, headers: Headers, body: bytes) -> None:
        current = self.current
        if current is not None and (not current.keep_alive or self._handler.should_close()):
            self._close_after = True
        lines = [f"HTTP/1.1 {status} {reason or REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Connection: {'close' if self._close_after else 'keep-alive'}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self._write(head if current is not None and current.method == "HEAD" else head + body)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self.closed:
            self._transport.write(data)

    # Limits.

    def _reject(self, status: int, reason: str, headers: Headers | None = None) -> None:
        """Reject input with an error, or close after the answer that is being served, if any."""
        if self._discarding:
            return
        self._discarding = True
        self._input.discard()
        self._handler.on_rejected(status, reason)
        self._queue.clear()
        self._headers = []
        self._drop_body()
        running = self.current.memory if self.current is not None else 0
        self._release_memory(self._memory - running)
        self._head_memory = 0
        if self.current is not None:
            self._close_after = True
            return
        body = f'{{"error": {{"message": "{reason}"}}}}'.encode()
        self._close_after = True
        self._write_head(status, "", [*(headers or []), ("Content-Length", str(len(body)))], body)
        self._release_bodies()
        self._linger()

    def _reject_for_memory(self, part: str) -> None:
        """Reject a request for whose head or body there is no memory; it has not run."""
        retry = [("Retry-After", f"{MEMORY_RETRY_AFTER_S}")]
        self._reject(503, f"no memory for another {part}; come back", retry)

    def _linger(self) -> None:
        """Close the connection, after LINGER_S if input may be pending.

        Closing with unread input resets the connection, and the client may lose the answer.
        """
        self._discarding = True
        has_pending_input = self._input.pending > 0
        self._input.discard()
        if self._transport is None or self.closed:
            return
        if not has_pending_input and not self._in_message and not self._queue:
            self._close()
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._close)

    def _close(self) -> None:
        """Close the connection once its client has read everything, or reads nothing more."""
        if self._transport is not None and not self.closed:
            self._transport.close()
            self._abort_if_stalled()

    def _abort_if_stalled(self, unread_before: int | None = None) -> None:
        """Abort a closing connection whose client has read nothing since the last call."""
        if self._transport is None or self.closed:
            return
        unread = self._transport.get_write_buffer_size()
        if unread and unread == unread_before:
            self.abort()
        elif unread:
            loop = asyncio.get_running_loop()
            loop.call_later(WRITE_STALL_TIMEOUT_S, self._abort_if_stalled, unread)

    def check_timeouts(self, now: float, *, close_idle: bool) -> None:
        """Enforce the time limits; called several times a second."""
        if self.closed or self._transport is None or self._discarding:
            return
        limits = self._handler.limits()
        if (
            self._write_blocked_at is not None
            and now - self._write_blocked_at > WRITE_STALL_TIMEOUT_S
        ):
            self.abort()
        elif self.current is not None:
            return
        elif self._in_message:
            quiet = now - (self.last_active_at if self._head_done else self._message_started_at)
            slow = now - self._message_started_at - self._body_size / MIN_BODY_BYTES_PER_S
            if max(quiet, slow) > limits.header_timeout_s:
                self._reject(408, "the request did not arrive in time")
        elif close_idle or now - self.last_active_at > limits.idle_timeout_s:
            seen = self.last_active_at
            loop = asyncio.get_running_loop()
            loop.call_later(IDLE_CLOSE_DELAY_S, self._close_if_quiet, seen)

    def _close_if_quiet(self, seen: float) -> None:
        """Close an idle connection unless input was read since the timeout was detected.

        After the process was suspended, the timer and pending input are handled at the same time.
        """
        quiet = self.last_active_at == seen and self.current is None and not self._in_message
        if quiet:
            self._close()
