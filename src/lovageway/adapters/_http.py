"""cheroot servers whose own error answers have the form of every other refusal."""

import json
from collections.abc import Callable
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

from lovageway.codes import Code, Refusal

MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 1 << 14
BACKLOG = 256  # cheroot keeps 5 by default, which resets callers that connect together
SOCKET_TIMEOUT_S = 10  # also ends callers that send a request byte by byte or do not read

_CODES = {"413": Code.TOO_LARGE, "414": Code.TOO_LARGE}


class _Request(HTTPRequest):
    """Answers what cheroot refuses by itself with a numbered code."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Write the answer to a request that never reaches the application."""
        if not str(status).startswith("4"):
            super().simple_response(status, msg)
            return
        self.close_connection = True
        code = _CODES.get(str(status)[:3], Code.MALFORMED)
        self.server.on_refusal(code)
        refusal = Refusal(code, str(msg)[:200])
        if b"Idempotency-Key" in self.inheaders:
            refusal = refusal._replace(earlier="unknown")
        self.conn.wfile.write(last_response(f"{self.server.protocol} {status}", refusal))


class _Connection(HTTPConnection):
    RequestHandlerClass = _Request


class _Server(wsgi.Server):
    ConnectionClass = _Connection
    on_refusal: Callable[[Code], None]


def last_response(status_line: str, refusal: Refusal) -> bytes:
    """Return the bytes of a refusal that ends a connection outside any handler."""
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
        Most requests that are served at the same time.
    on_refusal
        Called with the code of each request that cheroot itself refuses.
    """

    def no_app(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        start_response("503 Service Unavailable", [("Content-Length", "0")])
        return []

    # cheroot never adds threads by itself: with fewer at the start, further requests would wait in
    # its own queue, where neither class nor deadline counts.
    server = _Server((host, port), no_app, numthreads=threads, max=threads)
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = MAX_BODY_BYTES
    server.timeout = SOCKET_TIMEOUT_S
    server.request_queue_size = BACKLOG
    # A worker that is still writing a whole answer must not be cut off by a planned stop. A caller
    # that no longer reads ends its worker by the socket's timeout.
    server.shutdown_timeout = None
    server.on_refusal = on_refusal
    return server
