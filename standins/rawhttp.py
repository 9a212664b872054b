"""Raw HTTP/1.1 server for stand-ins that run in the test's event loop.

Handlers write bytes themselves, so that they can send malformed or incomplete responses.
"""

import asyncio
import contextlib
from typing import NamedTuple


class Request(NamedTuple):
    """A received request."""

    method: str
    target: str
    headers: dict[str, str]  # lower-case names
    body: bytes

    @property
    def path(self):
        return self.target.partition("?")[0]

    def field(self, name):
        """Return a field of the query string, "" if it is missing."""
        for part in self.target.partition("?")[2].split("&"):
            key, _, value = part.partition("=")
            if key == name:
                return value
        return ""


async def read_request(reader):
    """Return the next request, or None after the client closed the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def answer(status, body=b"", headers=(), *, length=True, reason="OK"):
    """Encode a response; without `length` it has no Content-Length header."""
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in headers)]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Listener:
    """Listens for connections and passes their requests to `serve_request`."""

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.port = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._connection, self.host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """Close the listener and reset every connection."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connection(self, reader, writer):
        task = asyncio.current_task()
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.serve_request(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            with contextlib.suppress(ConnectionError, RuntimeError):
                writer.close()

    async def serve_request(self, request, writer):
        """Respond to one request; return False to close the connection."""
        raise NotImplementedError
