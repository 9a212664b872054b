"""Callers' listener: aiohttp's low-level server with bounds, deadlines and numbered refusals."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.http import HttpProcessingError
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler

from lovageway.adapters._http import BACKLOG, MAX_BODY_BYTES, SOCKET_TIMEOUT_S, last_response
from lovageway.codes import INFO, Code, Refusal

MAX_LINE_BYTES = 8190
MAX_HEADERS = 64
BODY_TIMEOUT_S = 30.0
LINGER_S = 2.0  # closing with unread input resets the connection and can lose the refusal
CONNECTIONS_A_REQUEST = 2  # idle kept-alive connections beside those that serve a request
FULL_RETRY_S = 1.0
FLUSH_POLL_S = 0.05
LATE_CHECK_S = 0.05  # for a request that arrived while the process stood still to be read

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
OnRefusal = Callable[[Code], None]


class BadRequestError(Exception):
    """A request that cannot be served as sent."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class _LastResponse(web.Response):
    """Last answer on a connection; discards input for a while so that the caller can read it."""

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the answer, end the output and linger."""
        request = self._req
        await super().write_eof(data)
        if request is not None and request.transport is not None:
            request.transport.write_eof()
            await asyncio.sleep(LINGER_S)


class Connection(RequestHandler):
    """One connection; it is closed when no request has been read within SOCKET_TIMEOUT_S."""

    __slots__ = ("_deadline", "_listener", "_partial", "_refused", "_unsent")

    def __init__(self, listener: "Listener", server: web.Server) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            # The deadline below is shorter and also covers a request that is sent slowly. 0 would
            # close every connection after its first answer.
            keepalive_timeout=3600,
            access_log=None,  # type: ignore[arg-type]  # None switches the log off
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
            lingering_time=LINGER_S,
            auto_decompress=False,
        )
        self._listener = listener
        self._deadline: asyncio.TimerHandle | None = None
        self._partial = self._refused = False
        self._unsent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the deadline, or refuse when too many connections are open."""
        super().connection_made(transport)
        self.await_request()
        if self._listener.crowded():
            self._refuse(Refusal(Code.QUEUE_FULL, "Too many connections.", FULL_RETRY_S))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop the deadline."""
        self.request_read()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse input unless the connection has been refused."""
        self._partial = True
        if not self._refused:
            super().data_received(data)

    def await_request(self) -> None:
        """Close the connection unless a request comes in time."""
        self._partial, self._unsent = False, self.unsent()
        self._arm()

    def unsent(self) -> int:
        """Return how many bytes wait for the caller to read."""
        transport = self.transport
        return transport.get_write_buffer_size() if isinstance(transport, asyncio.Transport) else 0

    def _arm(self) -> None:
        if self.transport is not None:
            loop = asyncio.get_running_loop()
            self._deadline = loop.call_later(SOCKET_TIMEOUT_S, self._late)

    def request_read(self) -> None:
        """Stop waiting for a request."""
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
        """Return the numbered refusal of a request that aiohttp does not accept."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        self._refused = True
        text = str(message or exc)
        large = isinstance(exc, LineTooLong) or "too many" in text.lower()
        refusal = Refusal(Code.TOO_LARGE if large else Code.MALFORMED, text[:200])
        # The headers are not known, so nothing is known of an idempotency key.
        refusal = refusal._replace(earlier="unknown")
        self._listener.on_refusal(refusal.code)
        response = _LastResponse(
            status=INFO[refusal.code].status,
            body=json.dumps(refusal.to_json()).encode(),
            content_type="application/json",
        )
        response.force_close()
        return response

    def _late(self) -> None:
        """Look again a little later: after a freeze, input is due in the same turn as the timer."""
        self._deadline = asyncio.get_running_loop().call_later(LATE_CHECK_S, self._end_late)

    def _end_late(self) -> None:
        unsent = self.unsent()
        if 0 < self._unsent <= unsent:
            # The caller has read nothing of its answer: closing would wait for it without end.
            assert isinstance(self.transport, asyncio.Transport)
            self.transport.abort()
        elif unsent:
            self._unsent = unsent
            self._arm()
        elif self._partial:
            refusal = Refusal(Code.MALFORMED, "The request was not sent in time.")
            self._refuse(refusal._replace(earlier="unknown"))
        else:
            self.force_close()

    def _refuse(self, refusal: Refusal) -> None:
        """Write a refusal outside any request and close."""
        self._refused = True
        if self.transport is None:
            return
        self._listener.on_refusal(refusal.code)
        status_line = f"HTTP/1.1 {INFO[refusal.code].status} Refused"
        self.transport.write(last_response(status_line, refusal))
        self.force_close()


class Listener:
    """Accepts connections and bounds the requests that are open at the same time.

    Parameters
    ----------
    max_requests
        Most requests that are open at the same time; further ones are refused with QUEUE_FULL.
    on_refusal
        Called with the code of each refusal that is made here.
    """

    def __init__(self, max_requests: int, on_refusal: OnRefusal) -> None:
        self.on_refusal = on_refusal
        self._max_requests = max_requests
        self._open = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._handler: Handler | None = None
        # A caller that leaves cancels its handler, which is how its departure is noticed at once.
        self._web = web.Server(self._serve, handler_cancellation=True)

    async def bind(self, host: str, port: int) -> str:
        """Bind without accepting; return the address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self, self._web), host, port, backlog=BACKLOG, start_serving=False
        )
        name = self._server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    async def start(self, handler: Handler) -> None:
        """Accept connections."""
        self._handler = handler
        await self._server.start_serving()

    async def stop(self) -> None:
        """Accept nothing new, wait for the open requests and close the connections."""
        self._server.close()
        await self._idle.wait()
        # The rest of an answer must reach its caller; one that does not read is cut by `_late`.
        while any(conn.unsent() for conn in self._web.connections if isinstance(conn, Connection)):
            await asyncio.sleep(FLUSH_POLL_S)
        self._web.pre_shutdown()
        await self._web.shutdown(LINGER_S)

    def crowded(self) -> bool:
        """Return whether one connection more than allowed is open."""
        return len(self._web.connections) > self._max_requests * CONNECTIONS_A_REQUEST

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        conn = request.protocol
        assert isinstance(conn, Connection)
        assert self._handler is not None
        conn.request_read()
        full = self._open >= self._max_requests
        self._open += 1
        self._idle.clear()
        try:
            if full:
                refusal = Refusal(Code.QUEUE_FULL, "Too many open requests.", FULL_RETRY_S)
                if "Idempotency-Key" in request.headers:
                    refusal = refusal._replace(earlier="unknown")
                return refused(refusal, self.on_refusal)
            return await self._handler(request)
        finally:
            self._open -= 1
            if self._open == 0:
                self._idle.set()
            conn.await_request()


def refused(refusal: Refusal, on_refusal: OnRefusal, request_id: str | None = None) -> web.Response:
    """Return a refusal as JSON."""
    on_refusal(refusal.code)
    headers = {"X-Request-Id": request_id} if request_id else {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    return json_response(refusal.to_json(), headers, INFO[refusal.code].status)


def json_response(value: object, headers: dict[str, str], status: int = 200) -> web.Response:
    """Return a JSON body."""
    return web.Response(
        status=status,
        headers=headers,
        body=json.dumps(value).encode(),
        content_type="application/json",
    )


async def read_body(request: web.BaseRequest) -> bytes:
    """Return the body of a request.

    Raises
    ------
    BadRequestError
        If it is too large, not readable or not sent in time.
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
                data += chunk
                if len(data) > MAX_BODY_BYTES:
                    raise too_large
    except TimeoutError as exc:
        raise BadRequestError(Refusal(Code.MALFORMED, "The body was not sent in time.")) from exc
    except (web.RequestPayloadError, HttpProcessingError) as exc:
        raise BadRequestError(Refusal(Code.MALFORMED, f"Body cannot be read: {exc}.")) from exc
    return bytes(data)
