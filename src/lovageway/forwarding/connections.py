"""Connections of clients: parses requests, writes answers, keeps the operator's limits."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

import httptools

from lovageway.forwarding.model import RequestLimits

QUEUED_MOST = 8  # pipelined requests kept before reading stops
LINGER_S = 1.0  # how long input is discarded before a connection with unread input is closed
CLOSE_CHECK_S = 0.05  # input that arrived with an idle timeout is read before the close
DEFAULT_LIMITS = RequestLimits(16384, 4 << 20, 3.0, 15.0)
WRITE_HIGH_WATER = 64 * 1024  # bytes of answers that a client has yet to read
UNREAD_S = 10.0  # a client that reads nothing for so long is cut
BODY_LEAST_BYTES_S = 1024  # a body that comes more slowly, after the time for a head, is refused

BODY_REFUSED_RETRY_S = 0.5
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
    """A whole request of a client."""

    method: str
    target: str
    headers: Headers
    body: bytes
    http_1_1: bool
    keep_alive: bool
    arrived_at: float


class Handler(Protocol):
    """What a listener's connections need of the daemon."""

    def limits(self) -> RequestLimits:
        """Return the limits in force."""

    def closing(self) -> bool:
        """Return whether answers ask clients to close their connections."""

    def hold_body(self, size: int) -> bool:
        """Count bytes of bodies that are kept; negative ones are given back.

        Returns
        -------
        bool
            False if there is no room for them; then nothing was counted.
        """

    def handle(self, conn: "ClientConnection", inbound: Inbound) -> None:
        """Begin to serve a request."""

    def gone(self, conn: "ClientConnection") -> None:
        """Stop the work of a connection whose client has left."""

    def rejected(self, status: int, reason: str) -> None:
        """Note a request that broke the protocol or a limit."""

    def opened(self, conn: "ClientConnection") -> None:
        """Note a new connection."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client; serves its requests one after another."""

    def __init__(self, handler: Handler, clock: Callable[[], float]) -> None:
        self._handler = handler
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._held = 0  # bytes of bodies that this connection keeps
        self._head_size = 0
        self._trailer_size = 0
        self._between = 0  # bytes since the parser last made something of them
        self._in_message = False
        self._head_done = False
        self._message_at = 0.0
        self._queue: deque[Inbound] = deque()
        self._discarding = False
        self._close_after = False
        self._chunked = False
        self._writable: asyncio.Event = asyncio.Event()
        self._writable.set()
        self._blocked_at: float | None = None
        self.busy: Inbound | None = None
        self.active_at = clock()
        self.closed = False
        self.peer = ""

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        self.peer = str(transport.get_extra_info("peername"))
        self._handler.opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse what a client sent."""
        if self._discarding:
            return
        self.active_at = self._clock()
        limits = self._handler.limits()
        if not self._head_done:
            self._head_size += len(data)
        self._between += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(501, "upgrades are not served")
        except httptools.HttpParserError as exc:
            self._reject(400, str(exc.__context__ or exc))
        else:
            if self._in_message and not self._head_done and self._head_size > limits.header_bytes:
                self._reject(431, "the head exceeds the limit")
            elif self._head_done and self._between > limits.header_bytes:
                self._reject(400, "a chunk's extension or a trailer exceeds the limit")
        self._next()

    def eof_received(self) -> bool:
        """Treat the end of a client's input as its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop what ran for the client."""
        self.closed = True
        self._writable.set()
        self._queue.clear()
        self._release_bodies()
        self._handler.gone(self)

    def pause_writing(self) -> None:
        """Note that the client reads too slowly."""
        self._writable.clear()
        self._blocked_at = self._clock()

    def resume_writing(self) -> None:
        """Note that the client reads again."""
        self._blocked_at = None
        self._writable.set()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._in_message = True
        self._head_done = False
        self._message_at = self._clock()
        self._url, self._headers, self._body = b"", [], []
        self._body_size = 0

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; those of a trailer are dropped."""
        self._between = 0
        if not self._head_done:
            self._headers.append((name, value))
            return
        self._trailer_size += len(name) + len(value)
        if self._trailer_size > self._handler.limits().header_bytes:
            self._reject(431, "the trailer exceeds the limit")

    def on_headers_complete(self) -> None:
        """Check what the head says of the body."""
        self._head_done = True
        self._between = self._trailer_size = 0
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
            elif lower == b"expect" and not self._discarding:
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._between = 0
        if self._discarding:
            return
        if not self._handler.hold_body(len(body)):
            retry = [("Retry-After", f"{BODY_REFUSED_RETRY_S}")]
            self._reject(503, "no memory for another body; come back", retry)
            return
        self._held += len(body)
        self._body.append(body)
        self._body_size += len(body)
        if self._body_size > self._handler.limits().body_bytes:
            self._reject(413, "the body exceeds the limit")

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        self._in_message = self._head_done = False
        self._head_size = self._between = 0
        if self._discarding:
            return
        version = self._parser.get_http_version()
        self._queue.append(
            Inbound(
                method=self._parser.get_method().decode("latin-1"),
                target=self._url.decode("latin-1"),
                headers=[(n.decode("latin-1"), v.decode("latin-1")) for n, v in self._headers],
                body=b"".join(self._body),
                http_1_1=version == "1.1",
                keep_alive=self._parser.should_keep_alive(),
                arrived_at=self._message_at,
            )
        )
        self._headers, self._body = [], []
        if len(self._queue) >= QUEUED_MOST and self._transport is not None:
            self._transport.pause_reading()

    def _next(self) -> None:
        if self.busy is None and self._queue and not self.closed and not self._close_after:
            self.busy = self._queue.popleft()
            if self._transport is not None:
                self._transport.resume_reading()
            self._handler.handle(self, self.busy)

    # Answers.

    def respond(self, status: int, headers: Headers, body: bytes, reason: str = "") -> None:
        """Write a whole answer and go on to the next request."""
        self._head(status, reason, [*headers, ("Content-Length", str(len(body)))], body)
        self.finish()

    def start(self, status: int, headers: Headers, reason: str = "") -> None:
        """Write the head of an answer whose length is not known."""
        assert self.busy is not None
        self._chunked = self.busy.http_1_1
        if self._chunked:
            headers = [*headers, ("Transfer-Encoding", "chunked")]
        else:
            self._close_after = True
        self._head(status, reason, headers, b"")

    def send(self, data: bytes) -> None:
        """Write a part of the body after `start`."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def end(self) -> None:
        """End a body after `start`; the answer is complete."""
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self.finish()

    def abort(self) -> None:
        """Break off an answer, so that it cannot look complete."""
        if self._transport is not None:
            self._transport.abort()

    async def drained(self) -> None:
        """Wait until the client has read enough."""
        await self._writable.wait()

    def finish(self) -> None:
        """Go on to the next request after a whole answer."""
        self.busy = None
        if not self._queue and not self._in_message:
            self._release_bodies()
        self.active_at = self._clock()
        if self._close_after:
            self._linger()
        else:
            asyncio.get_running_loop().call_soon(self._next)

    def _release_bodies(self) -> None:
        self._handler.hold_body(-self._held)
        self._held = 0

    def _head(self, status: int, reason: str, headers: Headers, body: bytes) -> None:
        busy = self.busy
        if busy is not None and (not busy.keep_alive or self._handler.closing()):
            self._close_after = True
        lines = [f"HTTP/1.1 {status} {reason or REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Connection: {'close' if self._close_after else 'keep-alive'}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self._write(head if busy is not None and busy.method == "HEAD" else head + body)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self.closed:
            self._transport.write(data)

    # Limits.

    def _reject(self, status: int, reason: str, headers: Headers | None = None) -> None:
        """Answer input that cannot be served, after the answers that are due before it."""
        if self._discarding:
            return
        self._discarding = True
        self._handler.rejected(status, reason)
        self._queue.clear()
        if self.busy is not None:
            self._close_after = True
            return
        body = f'{{"error": {{"message": "{reason}"}}}}'.encode()
        self._close_after = True
        self._head(status, "", [*(headers or []), ("Content-Length", str(len(body)))], body)
        self._release_bodies()
        self._linger()

    def _linger(self) -> None:
        """Close once the client has read the answer: unread input would reset the connection."""
        self._discarding = True
        if self._transport is None or self.closed:
            return
        if not self._in_message and not self._queue:
            self._transport.close()
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def check(self, now: float, *, close_idle: bool) -> None:
        """Apply time limits; called several times a second."""
        if self.closed or self._transport is None or self._discarding:
            return
        limits = self._handler.limits()
        if self._blocked_at is not None and now - self._blocked_at > UNREAD_S:
            self.abort()
        elif self.busy is not None:
            return
        elif self._in_message:
            quiet = now - (self.active_at if self._head_done else self._message_at)
            slow = now - self._message_at - self._body_size / BODY_LEAST_BYTES_S
            if max(quiet, slow) > limits.header_timeout_s:
                self._reject(408, "the request did not arrive in time")
        elif close_idle or now - self.active_at > limits.idle_timeout_s:
            seen = self.active_at
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_CHECK_S, self._close_if_quiet, seen)

    def _close_if_quiet(self, seen: float) -> None:
        """Close an idle connection unless input was read since the decision.

        After a freeze, the timer and the input are due at the same moment.
        """
        quiet = self.active_at == seen and self.busy is None and not self._in_message
        if quiet and self._transport is not None and not self.closed:
            self._transport.close()
