"""Listeners of a daemon: aiohttp's low-level server with limits, deadlines and numbered refusals.

Load pattern: clients that nobody controls open connections and send nothing, send heads and bodies
of the permitted size that do not end, or do not read their answers. An idle connection is closed
for a new one; the heads and bodies of all requests share a budget of memory.
"""

import asyncio
import json
import socket
from collections import deque
from collections.abc import Awaitable, Callable

from aiohttp import StreamReader, web
from aiohttp.http import HttpProcessingError
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler

from lovageway.adapters._http import BACKLOG, MAX_BODY_BYTES, SOCKET_TIMEOUT_S, encode_refusal
from lovageway.codes import INFO, Code, Refusal
from lovageway.memorybudget import MemoryBudget, MemoryReservation

MAX_LINE_BYTES = 8190  # of the request line and of each header
MAX_HEADERS = 64
BODY_TIMEOUT_S = 30.0  # until the complete body is received
LINGER_S = 2.0  # closing a socket with unread input resets it, which can lose the refusal
CONNECTIONS_PER_REQUEST = 2  # leaves one idle keep-alive connection for each open request
FULL_RETRY_AFTER_S = 1.0
FLUSH_POLL_S = 0.05  # interval at which a stop checks whether all responses are sent
LATE_READ_GRACE_S = 0.05  # time to read a request that arrived while the process was suspended
READ_BUFFER_BYTES = 16 * 1024  # of a body, for each connection; reading pauses at twice as much
RECEIVE_BYTES = 32 * 1024  # that the kernel keeps of a connection's input
HEAD_COPIES = 2  # of a head: as received, and as parsed
BODY_COPIES = 2  # of a body: as received, and as parsed
NO_MEMORY = Refusal(Code.QUEUE_FULL, "No memory for another request.", FULL_RETRY_AFTER_S)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
OnRefusal = Callable[[Code], None]


class BadRequestError(Exception):
    """A request cannot be served as it was sent.

    Parameters
    ----------
    refusal
        Refusal to send to the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class _LastResponse(web.Response):
    """Last response on a connection; input is discarded for LINGER_S while the caller reads it."""

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the response, shut down the output and wait for LINGER_S."""
        request = self._req
        await super().write_eof(data)
        if request is not None and request.transport is not None:
            request.transport.write_eof()
            await asyncio.sleep(LINGER_S)


class Connection(RequestHandler):
    """Connection that is closed when no request has been read within SOCKET_TIMEOUT_S."""

    __slots__ = (
        "_deadline",
        "_has_input",
        "_head_bytes",
        "_head_sizes",
        "_last_unsent_bytes",
        "_listener",
        "_memory",
        "_payload",
        "_refused",
    )

    def __init__(self, listener: "Listener", server: web.Server) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            # SOCKET_TIMEOUT_S is shorter and also covers a request that is sent slowly. 0 would
            # close every connection after its first response.
            keepalive_timeout=3600,
            access_log=None,  # type: ignore[arg-type]  # None disables the log
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
            lingering_time=LINGER_S,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
        )
        self._listener = listener
        self._deadline: asyncio.TimerHandle | None = None
        self._has_input = self._refused = False
        self._last_unsent_bytes = 0
        self._memory = MemoryReservation(listener.memory)  # of heads
        self._head_bytes = 0  # received of the next head
        self._head_sizes: deque[int] = deque()  # of the requests that are read and not answered
        self._payload: StreamReader | None = None  # body of the request that was read last

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the deadline, or refuse the connection when too many are open."""
        super().connection_made(transport)
        admitted = self._listener.admit(self)
        self.start_deadline()
        if not admitted:
            self._refuse(Refusal(Code.QUEUE_FULL, "Too many connections.", FULL_RETRY_AFTER_S))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the deadline and release the memory."""
        self.cancel_deadline()
        self._leave()
        super().connection_lost(exc)

    def close_idle(self) -> None:
        """Close a connection without an open request, for another one."""
        self._leave()
        if isinstance(self.transport, asyncio.Transport):
            self.transport.abort()

    def _leave(self) -> None:
        self._refused = True
        self._memory.release()
        self._listener.leave(self)

    def data_received(self, data: bytes) -> None:
        """Parse the input unless the connection has been refused."""
        self._has_input = True
        if self._refused:
            return
        is_body = self._payload is not None and not self._payload.is_eof()
        if not is_body:
            if not self._memory.reserve(HEAD_COPIES * len(data)):
                self._on_no_memory()
                return
            self._head_bytes += len(data)
        requests = self._request_count
        super().data_received(data)
        if self._request_count > requests:
            self._payload = self._messages[-1][1]
            self._head_sizes.append(self._head_bytes)
            self._head_sizes.extend([0] * (self._request_count - requests - 1))
            self._head_bytes = 0
            self._listener.on_busy(self)

    def _on_no_memory(self) -> None:
        """Refuse a head for which there is no memory, or close after the answers before it."""
        if self._head_sizes:
            self._refused = True
            self.close()
        else:
            self._refuse(NO_MEMORY._replace(earlier="unknown"))

    def on_answered(self) -> None:
        """Release the memory of a head, and start the deadline for reading the next request."""
        size = self._head_sizes.popleft() if self._head_sizes else 0
        self._memory.resize(max(0, self._memory.size - HEAD_COPIES * size))
        self.start_deadline()

    def start_deadline(self) -> None:
        """Start the deadline for reading the next request."""
        if not self._head_sizes:
            self._listener.on_idle(self)
        self._has_input, self._last_unsent_bytes = False, self.unsent_bytes()
        self._schedule_deadline()

    def unsent_bytes(self) -> int:
        """Return the size of the write buffer: bytes that the caller has not read yet."""
        transport = self.transport
        return transport.get_write_buffer_size() if isinstance(transport, asyncio.Transport) else 0

    def _schedule_deadline(self) -> None:
        if self.transport is not None:
            loop = asyncio.get_running_loop()
            self._deadline = loop.call_later(SOCKET_TIMEOUT_S, self._on_deadline)

    def cancel_deadline(self) -> None:
        """Cancel the deadline, because a request has been read."""
        self._listener.on_busy(self)
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the numbered refusal of a request that aiohttp cannot parse."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        self._refused = True
        text = str(message or exc)
        large = isinstance(exc, LineTooLong) or "too many" in text.lower()
        refusal = Refusal(Code.TOO_LARGE if large else Code.MALFORMED, text[:200])
        # The headers were not parsed, so an idempotency key may have been sent.
        refusal = refusal._replace(earlier="unknown")
        self._listener.on_refusal(refusal.code)
        response = _LastResponse(
            status=INFO[refusal.code].status,
            body=json.dumps(refusal.to_json()).encode(),
            content_type="application/json",
        )
        response.force_close()
        return response

    def _on_deadline(self) -> None:
        """Check again after LATE_READ_GRACE_S.

        After the process was suspended, the event loop runs an expired timer in the same iteration
        that reads the input, so a request may be waiting in the kernel.
        """
        self._deadline = asyncio.get_running_loop().call_later(LATE_READ_GRACE_S, self._close_late)

    def _close_late(self) -> None:
        """Close a connection whose deadline has passed, or extend it while the caller reads."""
        unsent_bytes = self.unsent_bytes()
        if 0 < self._last_unsent_bytes <= unsent_bytes:
            # The caller has read nothing since the last check: `close` would wait for it forever.
            assert isinstance(self.transport, asyncio.Transport)
            self.transport.abort()
        elif unsent_bytes:
            self._last_unsent_bytes = unsent_bytes
            self._schedule_deadline()
        elif self._has_input:
            refusal = Refusal(Code.MALFORMED, "The request was not sent in time.")
            self._refuse(refusal._replace(earlier="unknown"))
        else:
            self.force_close()

    def _refuse(self, refusal: Refusal) -> None:
        """Write a refusal that answers no parsed request, and close the connection."""
        self._refused = True
        if self.transport is None:
            return
        self._listener.on_refusal(refusal.code)
        status_line = f"HTTP/1.1 {INFO[refusal.code].status} Refused"
        self.transport.write(encode_refusal(status_line, refusal))
        self.force_close()


class Listener:
    """Accepts connections and limits the requests that are open at the same time.

    Parameters
    ----------
    max_requests
        Maximum number of open requests; further ones are refused with QUEUE_FULL.
    on_refusal
        Called with the code of each refusal that the listener sends.
    memory
        Budget for the heads of requests.
    """

    def __init__(self, max_requests: int, on_refusal: OnRefusal, memory: MemoryBudget) -> None:
        self.on_refusal = on_refusal
        self.memory = memory
        self._max_requests = max_requests
        self._admitted: set[Connection] = set()
        # Connections without an open request, the one that is idle for the longest time first.
        self._idle_conns: dict[Connection, None] = {}
        self._open = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._handler: Handler | None = None
        # When a caller disconnects, its handler is cancelled, so the disconnect is noticed at once.
        self._web = web.Server(self._serve, handler_cancellation=True)

    async def bind(self, host: str, port: int) -> str:
        """Bind without accepting connections and return the address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self, self._web), host, port, backlog=BACKLOG, start_serving=False
        )
        for sock in self._server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        name = self._server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    async def start(self, handler: Handler) -> None:
        """Start accepting connections.

        Parameters
        ----------
        handler
            Coroutine that serves each request.
        """
        self._handler = handler
        await self._server.start_serving()

    async def stop(self) -> None:
        """Stop accepting connections, wait for the open requests and close the connections."""
        self._server.close()
        await self._idle.wait()
        # Responses are sent completely. `_on_deadline` aborts the connection of a caller that does
        # not read.
        while any(
            conn.unsent_bytes() for conn in self._web.connections if isinstance(conn, Connection)
        ):
            await asyncio.sleep(FLUSH_POLL_S)
        self._web.pre_shutdown()
        await self._web.shutdown(LINGER_S)

    def admit(self, conn: Connection) -> bool:
        """Admit a new connection, in place of an idle one if too many are open.

        Returns
        -------
        bool
            False if each connection has an open request.
        """
        if len(self._admitted) >= self._max_requests * CONNECTIONS_PER_REQUEST:
            idle = next(iter(self._idle_conns), None)
            if idle is None:
                return False
            idle.close_idle()
        self._admitted.add(conn)
        return True

    def leave(self, conn: Connection) -> None:
        """Forget a connection that is closed."""
        self._admitted.discard(conn)
        self._idle_conns.pop(conn, None)

    def on_idle(self, conn: Connection) -> None:
        """Record that a connection has no open request."""
        if conn in self._admitted:
            self._idle_conns[conn] = None

    def on_busy(self, conn: Connection) -> None:
        """Record that a connection has an open request, or is closed."""
        self._idle_conns.pop(conn, None)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        conn = request.protocol
        assert isinstance(conn, Connection)
        assert self._handler is not None
        conn.cancel_deadline()
        full = self._open >= self._max_requests
        self._open += 1
        self._idle.clear()
        try:
            if full:
                refusal = Refusal(Code.QUEUE_FULL, "Too many open requests.", FULL_RETRY_AFTER_S)
                if "Idempotency-Key" in request.headers:
                    # No row was looked up, so an earlier call with the key may have run.
                    refusal = refusal._replace(earlier="unknown")
                return refusal_response(refusal, self.on_refusal)
            return await self._handler(request)
        finally:
            self._open -= 1
            if self._open == 0:
                self._idle.set()
            conn.on_answered()


def refusal_response(
    refusal: Refusal, on_refusal: OnRefusal, request_id: str | None = None
) -> web.Response:
    """Count a refusal and return it as a JSON response."""
    on_refusal(refusal.code)
    headers = {"X-Request-Id": request_id} if request_id else {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    return json_response(refusal.to_json(), headers, INFO[refusal.code].status)


def json_response(value: object, headers: dict[str, str], status: int = 200) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        status=status,
        headers=headers,
        body=json.dumps(value).encode(),
        content_type="application/json",
    )


async def read_body(request: web.BaseRequest, memory: MemoryReservation) -> bytes:
    """Return the body of a request.

    Parameters
    ----------
    memory
        Reserves the memory of the body.

    Raises
    ------
    BadRequestError
        If the body is too large, malformed or not received within BODY_TIMEOUT_S, or there is no
        memory for it.
    """
    too_large = BadRequestError(Refusal(Code.TOO_LARGE, f"At most {MAX_BODY_BYTES} bytes."))
    if (request.content_length or 0) > MAX_BODY_BYTES:
        raise too_large
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    data = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            while chunk := await request.content.readany():
                if not memory.reserve(BODY_COPIES * len(chunk)):
                    raise BadRequestError(NO_MEMORY)
                data += chunk
                if len(data) > MAX_BODY_BYTES:
                    raise too_large
    except TimeoutError as exc:
        raise BadRequestError(Refusal(Code.MALFORMED, "The body was not sent in time.")) from exc
    except (web.RequestPayloadError, HttpProcessingError) as exc:
        raise BadRequestError(Refusal(Code.MALFORMED, f"Body cannot be read: {exc}.")) from exc
    return bytes(data)
