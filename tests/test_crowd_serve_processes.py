"""A daemon of the product's own interface as a real process, while a crowd floods its listeners.

The crowd and the bounds were fixed on the code that had the fault, and do not depend on speed.
"""

import asyncio
import json
import os
import re
import signal
import unittest
from pathlib import Path

from standins.caller import WAIT_S
from standins.fleet import Fleet

from tests import crowd
from tests.builders import contract_row, jar_returns_rows

HOST = "127.0.0.1"
MEMORY_MB = 128  # of the smallest VMs; an idle daemon takes 56 MB
OPEN_REQUESTS = 100  # that the settings allow; twice as many connections
CONNECTIONS = 300
MAX_DESCRIPTORS = 2 * CONNECTIONS + 100  # each may have a connection to a server, too
BYTES_AHEAD = 1 << 20  # that one connection sends without reading an answer
BODY_BYTES = 1 << 20  # the largest body that is read
LARGE_BODY_BYTES = 4_000_000
HEAD_BYTES = 16384
LONG_HEAD_LINES, LONG_LINE_BYTES = 60, 8000  # both just within the listener's limits
STOP_TIMEOUT_S = 60.0
HUGE = (2**53, 2**63, 2**64 - 1, 10**30, 10**400)
KEY_LINE = "Authorization: Bearer clerks-key\r\n"
COMPLETION = f"POST /v1/completions HTTP/1.1\r\nHost: d\r\n{KEY_LINE}"
CALL = f"POST /v1/services/counter-app/history HTTP/1.1\r\nHost: d\r\n{KEY_LINE}"
_PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")


def with_body(head, body):
    """Return a request with a JSON body."""
    data = json.dumps(body).encode() if not isinstance(body, bytes) else body
    return f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Guards against a daemon that runs out of memory for clients that nobody controls."""

    step_ms = "1"

    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.fleet.backend("crock-0", "crock-llm", "khangai", "engine", "--step-ms", self.step_ms)
        self.fleet.backend("counter-0", "counter-app", "khangai", "plain")
        self.daemon = self.fleet.daemon("entry-0", "khangai", max_open_requests=OPEN_REQUESTS)
        rows = jar_returns_rows()
        rows["contract/clerks"] = contract_row("clerks", concurrency=10000, requests_per_s=1e6)
        self.fleet.begin(rows)
        self.port = self.port_of("listen")
        self.peak_mb = 0.0

    def port_of(self, name):
        return int(self.daemon.addresses[name].rpartition(":")[2])

    async def is_serving(self):
        """Return whether ordinary calls, generations and operators are answered."""
        operator = f"Authorization: Bearer {self.fleet.operator_key}\r\n"
        doors = [
            (self.port, with_body(CALL, {"jar": 1})),
            (self.port, with_body(COMPLETION, {"model": "crock-llm", "prompt": "len=3"})),
            (
                self.port_of("operator_listen"),
                f"GET /admin/status HTTP/1.1\r\nHost: d\r\n{operator}\r\n".encode(),
            ),
        ]
        lines = [await crowd.answer(HOST, port, data, WAIT_S) for port, data in doors]
        return all(" 200 " in line for line in lines)

    async def flood(self, data, port=None):
        """Send the same data on all connections at once, and read no answer."""
        socks = await asyncio.to_thread(
            crowd.send_ahead, data, HOST, port or self.port, CONNECTIONS
        )
        try:
            self.check()
        finally:
            for sock in socks:
                sock.close()
        await crowd.wait_until(self.is_serving, 3 * WAIT_S)
        self.check()

    async def hold_idle(self, port):
        """Open idle connections, check that ordinary requests are answered, and stop the daemon."""
        socks = await asyncio.to_thread(crowd.connect_all, HOST, port, CONNECTIONS)
        try:
            await crowd.wait_until(self.is_serving, 3 * WAIT_S)
            self.check()
        finally:
            for sock in socks:
                sock.close()
        await self.stop()

    def check(self):
        """Check that the process lives within its memory and its descriptors."""
        self.assertIsNone(self.daemon.popen.poll())
        proc = Path(f"/proc/{self.daemon.popen.pid}")
        peak_mb = int(_PEAK_MEMORY.search((proc / "status").read_text()).group(1)) / 1000
        self.assertLess(peak_mb, MEMORY_MB)
        self.assertLess(len(os.listdir(proc / "fd")), MAX_DESCRIPTORS)

    async def stop(self):
        """Check that a planned stop ends the process."""
        self.daemon.signal(signal.SIGTERM)
        self.assertEqual(await asyncio.to_thread(self.daemon.popen.wait, STOP_TIMEOUT_S), 0)


class Callers(CrowdCase):
    """Guards against the callers' listener."""

    async def test_heads_of_very_many_short_lines(self):
        request = crowd.short_lines(HEAD_BYTES, f"GET /v1/models HTTP/1.1\r\n{KEY_LINE}")
        await self.flood(crowd.repeated(request, BYTES_AHEAD))

    async def test_heads_of_long_lines_that_do_not_end(self):
        line = f"x-%d: {'v' * LONG_LINE_BYTES}\r\n"
        head = COMPLETION + "".join(line % number for number in range(LONG_HEAD_LINES))
        await self.flood(head.encode())

    async def test_requests_sent_ahead(self):
        request = f"GET /v1/models HTTP/1.1\r\nHost: d\r\n{KEY_LINE}\r\n".encode()
        await self.flood(crowd.repeated(request, BYTES_AHEAD))
        await self.flood(crowd.repeated(b"GET /v1/models HTTP/1.1\r\n\r\n", BYTES_AHEAD))

    async def test_bodies_above_the_limit(self):
        await self.flood(with_body(CALL, b"x" * LARGE_BODY_BYTES))
        await self.flood(
            f"{CALL}Transfer-Encoding: chunked\r\n\r\n".encode()
            + b"10000\r\n%b\r\n" % (b"x" * 65536) * (LARGE_BODY_BYTES // 65536)
        )

    async def test_bodies_within_the_limit_that_do_not_end(self):
        await self.flood(with_body(CALL, b"x" * BODY_BYTES)[:-1])
        await self.flood(with_body(COMPLETION, b" " * BODY_BYTES)[:-1])

    async def test_bodies_sent_ahead(self):
        await self.flood(with_body(CALL, b"x" * BODY_BYTES) * 2)

    async def test_idle_connections(self):
        socks = await asyncio.to_thread(crowd.connect_all, HOST, self.port, CONNECTIONS)
        try:
            self.assertTrue(await self.is_serving())
            self.check()
        finally:
            for sock in socks:
                sock.close()
        await self.stop()

    async def test_huge_numbers(self):
        for number in HUGE:
            body = {"model": "crock-llm", "prompt": "len=3", "max_tokens": number}
            await crowd.answer(HOST, self.port, with_body(COMPLETION, body), WAIT_S)
            resumed = f"POST /v1/streams/resume HTTP/1.1\r\nHost: d\r\nLast-Event-ID: {number}\r\n"
            await crowd.answer(HOST, self.port, with_body(resumed, {}), WAIT_S)
        await crowd.wait_until(self.is_serving, 3 * WAIT_S)
        self.check()
        await self.stop()

    async def test_one_large_request_is_served_in_calm(self):
        # Guards against a limit that a single request within the interface's limits meets.
        body = b'{"jar": 1}'.ljust(BODY_BYTES)
        self.assertIn(" 200 ", await crowd.answer(HOST, self.port, with_body(CALL, body), WAIT_S))
        line = f"x-%d: {'v' * (LONG_LINE_BYTES // 8)}\r\n"
        head = CALL + "".join(line % number for number in range(LONG_HEAD_LINES))
        data = with_body(head, {"jar": 1})
        self.assertIn(" 200 ", await crowd.answer(HOST, self.port, data, WAIT_S))


class SlowGenerations(CrowdCase):
    """Guards against what is kept of a request while its answer is awaited."""

    step_ms = "400"

    async def test_bodies_of_very_many_small_values(self):
        body = {"model": "crock-llm", "prompt": "len=400", "max_tokens": 400, "stream": True}
        body["user"] = [[] for _ in range(BODY_BYTES // 4 - 100)]
        socks = []
        for _ in range(OPEN_REQUESTS // 4):
            data = with_body(COMPLETION, json.dumps(body, separators=(",", ":")).encode())
            socks += await asyncio.to_thread(crowd.send_ahead, data, HOST, self.port, 1)
        try:
            self.check()
        finally:
            for sock in socks:
                sock.close()
        await crowd.wait_until(self.is_serving, 6 * WAIT_S)
        self.check()


class Operators(CrowdCase):
    """Guards against the operators' listener."""

    async def test_heads_that_do_not_end(self):
        await self.flood(b"GET /admin/status HTTP/1.1\r\nx-a: ", self.port_of("operator_listen"))

    async def test_heads_of_very_many_short_lines(self):
        request = crowd.short_lines(HEAD_BYTES, "GET /admin/status HTTP/1.1\r\n")
        port = self.port_of("operator_listen")
        await self.flood(crowd.repeated(request, BYTES_AHEAD), port)

    async def test_requests_sent_ahead(self):
        request = b"GET /admin/status HTTP/1.1\r\nHost: d\r\n\r\n"
        port = self.port_of("operator_listen")
        await self.flood(crowd.repeated(request, BYTES_AHEAD), port)

    async def test_bodies_that_do_not_end(self):
        head = "POST /admin/config/apply HTTP/1.1\r\nHost: d\r\n"
        data = with_body(head, b"x" * LARGE_BODY_BYTES)[:-1]
        await self.flood(data, self.port_of("operator_listen"))

    async def test_idle_connections(self):
        await self.hold_idle(self.port_of("operator_listen"))


class Peers(CrowdCase):
    """Guards against unknown hosts at the listener for other daemons."""

    async def test_handshakes_that_do_not_end(self):
        await self.flood((1024).to_bytes(4, "big") + b"x" * 1000, self.port_of("peer_listen"))

    async def test_frames_without_a_handshake(self):
        await self.flood(b"\0\0\1\0" * (BYTES_AHEAD // 4), self.port_of("peer_listen"))

    async def test_idle_connections(self):
        await self.hold_idle(self.port_of("peer_listen"))
