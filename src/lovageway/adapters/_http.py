"""cheroot servers whose built-in error responses have the same JSON form as all refusals."""

import json
from collections.abc import Callable
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

from lovageway.codes import Code, Refusal

MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 1 << 14
BACKLOG = 256  # with cheroot's default of 5, connections that arrive together are reset
SOCKET_TIMEOUT_S = 10  # also ends callers that send byte by byte or do not read their response

_CODES_BY_STATUS = {"413": Code.TOO_LARGE, "414": Code.TOO_LARGE}


class _Request(HTTPRequest):
    """Request that is refused with a numbered code and JSON if cheroot itself rejects it."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Write the response to a request that cheroot rejects before calling the application."""
        if not str(status).startswith("4"):
            super().simple_response(status, msg)
            return
        self.close_connection = True
        code = _CODES_BY_STATUS.get(str(status)[:3], Code.MALFORMED)
        self.server.on_refusal(code)
        refusal = Refusal(code, str(msg)[:200])
        if b"Idempotency-Key" in self.inheaders:
            # No row was looked up, so an earlier call with the key may have run.
            refusal = refusal._replace(earlier="unknown")
        self.conn.wfile.write(encode_refusal(f"{self.server.protocol} {status}", refusal))


class _Connection(HTTPConnection):
    RequestHandlerClass = _Request


class _Server(wsgi.Server):
    ConnectionClass = _Connection
    on_refusal: Callable[[Code], None]


def encode_refusal(status_line: str, refusal: Refusal) -> bytes:
    """Return the bytes of a refusal that is written without a handler and ends the connection."""
    body = json.dumps(refusal.to_json())
    head = (
        f"{status_line}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return (head + body).encode("latin-1", errors="replace")


def build_server(
    host: str, port: int, threads: int, on_refusal: Callable[[Code], None]
) -> wsgi.Server:
    """Return a cheroot server; `prepare()` binds it, `wsgi_app` is set by the caller.

    Parameters
    ----------
    host, port
        Address to listen on; port 0 lets the kernel choose.
    threads
        Maximum number of requests that are served at the same time.
    on_refusal
        Called with the code of each request that cheroot itself rejects.
    """

    # Placeholder until the caller has set `wsgi_app`.
    def no_app(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        start_response("503 Service Unavailable", [("Content-Length", "0")])
        return []

    # cheroot never adds threads by itself. With fewer threads at the start, further requests would
    # wait in its own queue, which ignores request classes and deadlines.
    server = _Server((host, port), no_app, numthreads=threads, max=threads)
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = MAX_BODY_BYTES
    server.timeout = SOCKET_TIMEOUT_S
    server.request_queue_size = BACKLOG
    # A planned stop waits for workers that are still writing a response. The socket timeout ends
    # the worker of a caller that no longer reads.
    server.shutdown_timeout = None
    server.on_refusal = on_refusal
    return server
