"""A daemon as a real process, with its memory limit, while clients without manners flood it.

The crowd and the bounds were fixed on the code that had the fault, and do not depend on speed.
"""

import asyncio
import contextlib
import os
import select
import signal
import socket
import tempfile
import unittest
from pathlib import Path

from soak.world import Daemon
from standins.caller import HOST as NAME
from standins.caller import KEY, WAIT_S, Client, free_ports
from standins.replica import Replica
from standins.store import Store

from tests.relayworld import config, route

HOST = "127.0.4.1"
MEMORY_MB = 64  # of the daemon; an idle one takes 27 MB
CONNECTIONS = 200
MAX_DESCRIPTORS = 2 * CONNECTIONS + 100  # each may have a connection to a server, too
BYTES_AHEAD = 1 << 20  # that one connection sends without reading an answer
HEAD_BYTES = 16384  # the limit that the configuration sets
TURN_BYTES = 16384  # of a connection, before the next one has its turn
QUIET_S = 1.0  # without room on any connection, after which the daemon reads no more


def short_lines():
    """Return requests within the limits whose heads consist of very many short lines."""
    start = f"GET /a/x HTTP/1.1\r\nHost: {NAME}\r\nAttempt-Id: i\r\nAuthorization: Bearer {KEY}\r\n"
    room = HEAD_BYTES - len(start) - 200
    return (start + "a:b\r\n" * (room // 8) + "\r\n").encode()


def odd_lines():
    """Return requests within the limits whose heads have many different names and no values."""
    start = f"GET /a/x HTTP/1.1\r\nHost: {NAME}\r\nAttempt-Id: i\r\nAuthorization: Bearer {KEY}\r\n"
    room = HEAD_BYTES - len(start) - 200
    lines = "".join(f"x{number:x}:\r\n" for number in range(room // 12))
    return (start + lines + "\r\n").encode()


def send_ahead(request, port):
    """Send copies of a request on all connections in turn, as long as the daemon reads."""
    left = {}
    for _ in range(CONNECTIONS):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # answers stay at the daemon
        sock.connect((HOST, port))
        sock.setblocking(False)
        left[sock] = request * (BYTES_AHEAD // len(request))
    socks = list(left)
    while left:
        _, writable, _ = select.select([], list(left), [], QUIET_S)
        if not writable:
            break  # the daemon reads no more
        for sock in writable:
            try:
                left[sock] = left[sock][sock.send(left[sock][:TURN_BYTES]) :]
            except BlockingIOError:
                continue
            except OSError:
                left[sock] = b""  # the daemon closed the connection
            if not left[sock]:
                del left[sock]
    return socks


class Crowd(unittest.IsolatedAsyncioTestCase):
    """Guards against a daemon that runs out of memory for clients that nobody controls."""

    async def asyncSetUp(self):
        self.store = await Store(HOST).start()
        self.addAsyncCleanup(self.store.stop)
        folder = tempfile.TemporaryDirectory(prefix="crowd-")
        self.addCleanup(folder.cleanup)
        self.server = Replica("i-1")
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.store.put("servers", "i-1", self.server.entry(slots=500))
        limits = {**config(1)["limits"], "max_header_bytes": HEAD_BYTES}
        self.store.put("op", "config", config(1, [route()], limits=limits))
        ports = free_ports([HOST], 6)
        self.daemon = Daemon(0, HOST, ports, [HOST], self.store.address, Path(folder.name))
        self.daemon.settings["limits"] = {"memory_mb": MEMORY_MB, "file_descriptors": 1000}
        self.daemon.start()
        self.addAsyncCleanup(self.daemon.end, signal.SIGKILL, WAIT_S)
        async with asyncio.timeout(2 * WAIT_S):
            while not await self.is_serving():
                await asyncio.sleep(0.05)

    async def is_serving(self):
        with contextlib.suppress(OSError, EOFError):
            client = Client(*await asyncio.open_connection(HOST, self.daemon.ports[0]))
            try:
                await client.send(attempt="ordinary")
                return (await client.reply()).status == 200
            finally:
                client.close()
        return False

    async def flood(self, request, port):
        """Send one kind of request on all connections at once, and read no answer."""
        socks = await asyncio.to_thread(send_ahead, request, port)
        self.daemon.check()
        descriptors = len(os.listdir(f"/proc/{self.daemon.process.pid}/fd"))
        for sock in socks:
            sock.close()
        async with asyncio.timeout(WAIT_S):
            while not await self.is_serving():
                await asyncio.sleep(0.05)
        self.daemon.check()
        self.assertEqual(self.daemon.unexpected_exit_codes, [])
        self.assertLess(self.daemon.peak_mb, MEMORY_MB)
        self.assertLess(descriptors, MAX_DESCRIPTORS)

    async def test_heads_of_very_many_short_lines(self):
        await self.flood(short_lines(), self.daemon.ports[0])

    async def test_heads_of_odd_lines(self):
        await self.flood(odd_lines(), self.daemon.ports[0])

    async def test_heads_that_do_not_end(self):
        await self.flood(short_lines()[:-4], self.daemon.ports[0])

    async def test_requests_sent_ahead_without_the_usual_headers(self):
        await self.flood(b"GET /a/x HTTP/1.1\r\n\r\n" * 50, self.daemon.ports[0])

    async def test_requests_sent_ahead_to_the_readiness_path(self):
        await self.flood(b"GET /readiness HTTP/1.1\r\n\r\n" * 50, self.daemon.ports[1])

    async def test_one_request_of_many_lines_is_served_in_calm(self):
        # Guards against a limit that a single request within the operator's limits meets.
        for head in (short_lines(), odd_lines()):
            reader, writer = await asyncio.open_connection(HOST, self.daemon.ports[0])
            writer.write(head)
            async with asyncio.timeout(WAIT_S):
                self.assertIn(b" 200 ", await reader.readline())
            writer.close()
