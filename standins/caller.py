"""HTTP client for the daemons under test, and a search for free ports to run them on."""

import asyncio
import contextlib
import random
import socket
import time

WAIT_S = 10.0  # timeout for one event; well above the time that events normally take
KEY = "key-a"
HOST = "h.example"


def free_ports(hosts, count):
    """Return `count` consecutive ports that are free on all hosts, for TCP and UDP."""
    rng = random.Random(time.time_ns())
    while True:
        first = rng.randrange(20000, 60000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for port in range(first, first + count):
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                            sock.bind((host, port))
            except OSError:
                continue
            return list(range(first, first + count))


class Reply:
    """A response as the client received it; `complete` is False for a body that was cut off."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class Client:
    """One client connection to a daemon."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, method="GET", target="/a/x", body=b"", attempt="id-1", **headers):
        fields = {"Host": HOST, "Attempt-Id": attempt, "Authorization": f"Bearer {KEY}"}
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        if body:
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items() if v)]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def reply(self, wait_s=WAIT_S):
        async with asyncio.timeout(wait_s):
            return await self._reply()

    async def _reply(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        status = int(first.split(" ")[1])
        if headers.get("transfer-encoding") != "chunked":
            body = await self.reader.readexactly(int(headers.get("content-length", 0)))
            return Reply(status, headers, body, True)
        parts = []
        while True:
            try:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                parts.append((await self.reader.readexactly(size + 2))[:-2])
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return Reply(status, headers, b"".join(parts), False)
            if size == 0:
                return Reply(status, headers, b"".join(parts), True)

    async def read_until_closed(self):
        """Wait until the daemon closes the connection and return the bytes received before."""
        async with asyncio.timeout(WAIT_S):
            try:
                return await self.reader.read()
            except ConnectionError:
                return b""

    def close(self):
        self.writer.transport.abort()
