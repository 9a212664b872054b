"""The callers' listener with slow, many and disconnecting callers, on real processes."""

import asyncio
import json
import re
import socket
import time
import unittest
from unittest import mock

from aiohttp import web
from standins.fleet import Fleet, http, wait_for
from standins.streams import KEY, Stream

from lovageway.adapters import _listener
from lovageway.memorybudget import MemoryBudget
from tests.builders import contract_row, jar_returns_rows

LIMIT = 4
SOCKET_BUFFER_BYTES = 8 << 20  # more than the kernel buffers for one connection
ANSWER_BYTES = 3 * SOCKET_BUFFER_BYTES


class Listener(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(Fleet())
        cls.engine = cls.fleet.backend("crock-0", "crock-llm", "khangai", "engine")
        cls.daemons = [
            cls.fleet.daemon(f"entry-{n}", "khangai", max_open_requests=LIMIT) for n in range(2)
        ]
        cls.daemon = cls.daemons[0]
        rows = jar_returns_rows()
        rows["contract/clerks"] = contract_row("clerks")
        cls.fleet.begin(rows)
        for daemon in cls.daemons:
            wait_for(lambda d=daemon: cls.complete(d).status == 200, "service")

    @classmethod
    def complete(cls, daemon, prompt="len=1"):
        body = {"model": "crock-llm", "prompt": prompt}
        url = f"http://{daemon.address}/v1/completions"
        return http.request("POST", url, json=body, headers=KEY)

    def running(self):
        return json.loads(http.request("GET", f"http://{self.engine.address}/load").data)["running"]

    def connect(self, data=b""):
        host, _, port = self.daemon.address.rpartition(":")
        conn = self.enterContext(socket.create_connection((host, int(port)), timeout=30))
        conn.sendall(data)
        return conn

    def open_stream(self, tokens):
        body = {"model": "crock-llm", "prompt": f"len={tokens}", "stream": True}
        return Stream(self.daemon.address, "/v1/completions", body)

    def parked(self, daemon):
        return self.fleet.admin(daemon, "/admin/dump")["streams"]["parked"]

    def test_a_caller_that_leaves_during_a_whole_answer_ends_its_generation_at_once(self):
        # Guards against a generation that runs to its end although its caller has disconnected.
        body = json.dumps({"model": "crock-llm", "prompt": "len=15000"}).encode()
        head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer clerks-key\r\n"
        conn = self.connect(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        wait_for(lambda: self.running() == 1, "the generation")
        conn.close()
        wait_for(lambda: self.running() == 0, "cancellation", 2.0)

    def test_a_caller_cancels_its_generation_through_another_daemon(self):
        # Guards against a generation kept for resumption after its caller cancelled it through a
        # daemon that does not serve it.
        stream = self.open_stream(15000).read(5)
        stream.resp.close()
        wait_for(lambda: self.parked(self.daemon), "the parked generation")
        url = f"http://{self.daemons[1].address}/v1/streams"
        token = {"resume_token": stream.token}
        other = {"Authorization": "Bearer counter-key"}
        refused = http.request("DELETE", url, json=token, headers=other)
        self.assertEqual(json.loads(refused.data)["error"]["code"], 4008)
        self.assertEqual(self.running(), 1)
        self.assertEqual(http.request("DELETE", url, json=token, headers=KEY).status, 200)
        wait_for(lambda: self.running() == 0, "cancellation", 2.0)
        wait_for(lambda: not self.parked(self.daemon), "release at the first daemon", 2.0)

    def test_a_request_that_is_sent_slowly_is_refused_with_a_number(self):
        # Guards against connections that a caller keeps open forever by sending slowly.
        conn = self.connect(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n")
        answer = conn.makefile("rb").read()
        error = json.loads(answer.partition(b"\r\n\r\n")[2])["error"]
        self.assertEqual((error["code"], error["ran"]), (4001, "no"))

    def test_a_body_whose_chunks_are_broken_is_refused_with_a_number(self):
        # Guards against a parser error in a body that closes the connection without an answer.
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        for chunks in (b"zz\r\n", b"5\r\n{}xxxxx\r\n"):
            conn = self.connect(head + chunks)
            answer = conn.makefile("rb").read()
            error = json.loads(answer.partition(b"\r\n\r\n")[2])["error"]
            self.assertEqual((error["code"], error["ran"]), (4001, "no"))

    def test_requests_beyond_the_setting_are_refused_and_those_within_it_are_served(self):
        # Guards against a number of open requests that nothing in the daemon limits.
        streams = [self.open_stream(300).read(2) for _ in range(LIMIT)]
        began = time.monotonic()
        error = json.loads(self.complete(self.daemon).data)["error"]
        self.assertEqual((error["code"], error["ran"], error["retry_after_s"]), (4301, "no", 1.0))
        self.assertLess(time.monotonic() - began, 1.0)
        for stream in streams:
            self.assertEqual(stream.read().offsets(), list(range(300)))
        self.assertEqual(self.complete(self.daemon).status, 200)

    def test_times_between_tokens_are_exported_by_service_and_class(self):
        # Guards against stalls of streams that no metric shows.
        self.open_stream(20).read()
        text = self.fleet.page(self.daemon, "/metrics")
        labels = r'\{request_class="\w+",service="crock-llm"\}'
        for name in ("token_gap_seconds_count", "first_token_seconds_count"):
            self.assertRegex(text, f"lovageway_{name}{labels} [1-9]")
        self.assertRegex(text, f"lovageway_stalled_seconds_total{labels} ")


class Stopping(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # Shortens the time for which a caller may read nothing and the wait at the end of a stop.
        self.enterContext(mock.patch.object(_listener, "SOCKET_TIMEOUT_S", 0.5))
        self.enterContext(mock.patch.object(_listener, "LINGER_S", 0.1))
        self.listener = _listener.Listener(LIMIT, lambda code: None, MemoryBudget(1 << 30))
        address = await self.listener.bind("127.0.0.1", 0)
        await self.listener.start(self.answer)
        self.conn = self.enterContext(socket.socket())
        self.conn.setblocking(False)
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.conn, (host, int(port)))
        await loop.sock_sendall(self.conn, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.seen = len(await loop.sock_recv(self.conn, 1))

    async def answer(self, request):
        return web.Response(body=b"x" * ANSWER_BYTES)

    async def test_a_stop_waits_for_a_caller_that_reads_slowly(self):
        # Guards against a planned stop that ends before the rest of an answer has been sent.
        seen_at_stop = []
        stop = asyncio.create_task(self.listener.stop())
        stop.add_done_callback(lambda _: seen_at_stop.append(self.seen))
        while data := await asyncio.get_running_loop().sock_recv(self.conn, 1 << 20):
            self.seen += len(data)
            await asyncio.sleep(0.1)
        await stop
        self.assertGreater(self.seen, ANSWER_BYTES)
        # The process exits after the stop, so data that the kernel has not accepted would be lost.
        self.assertLess(ANSWER_BYTES - seen_at_stop[0], SOCKET_BUFFER_BYTES)

    async def test_a_stop_does_not_wait_for_a_caller_that_reads_nothing(self):
        # Guards against a caller that does not read its answer and so delays the stop, and keeps
        # memory allocated, forever.
        async with asyncio.timeout(10):
            await self.listener.stop()


class Full(unittest.IsolatedAsyncioTestCase):
    HEAD = b"GET / HTTP/1.1\r\nHost: x\r\nx-pad: "

    async def asyncSetUp(self):
        self.served = 0
        self.free = asyncio.Event()
        self.free.set()
        self.listener = _listener.Listener(LIMIT, lambda code: None, MemoryBudget(20_000))
        address = await self.listener.bind("127.0.0.1", 0)
        await self.listener.start(self.answer)
        self.addAsyncCleanup(self.listener.stop)
        host, _, port = address.rpartition(":")
        self.address = host, int(port)

    async def answer(self, request):
        self.served += 1
        await self.free.wait()
        return web.Response(body=b"done")

    async def connect(self):
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        return reader, writer

    async def request(self, stream, head_bytes=1000):
        """Send a request with a head of some size and return the status and the rest of input."""
        reader, writer = stream
        writer.write(self.HEAD.ljust(head_bytes, b"p") + b"\r\n\r\n")
        async with asyncio.timeout(10):
            head = await reader.readuntil(b"\r\n\r\n")
            size = int(re.search(rb"(?i)content-length: (\d+)", head).group(1))
            await reader.readexactly(size)
        return int(head.split(b" ")[1])

    async def test_a_head_without_memory_is_refused_once_and_not_served(self):
        # Guards against a refusal that says "not run" of a request that then runs.
        stream = await self.connect()
        with mock.patch.object(self.listener.memory, "max_bytes", 500):
            self.assertEqual(await self.request(stream), 503)
        async with asyncio.timeout(10):
            self.assertEqual(await stream[0].read(), b"")
        self.assertEqual((self.served, self.listener.memory.reserved), (0, 0))

    async def test_the_memory_of_a_head_is_released_with_its_answer(self):
        # Guards against a daemon that refuses everything after some time.
        stream = await self.connect()
        for _ in range(30):
            self.assertEqual(await self.request(stream, 7000), 200)
        stream[1].close()
        async with asyncio.timeout(10):
            while self.listener.memory.reserved:
                await asyncio.sleep(0.01)

    async def test_an_idle_connection_gives_way_and_one_with_a_request_does_not(self):
        # Guards against idle connections that keep callers out, and against a request cut off.
        self.free.clear()
        busy = await self.connect()
        answer = asyncio.create_task(self.request(busy))
        while not self.served:
            await asyncio.sleep(0.01)
        idle = [await self.connect() for _ in range(2 * LIMIT - 1)]
        late = await self.connect()
        async with asyncio.timeout(10):
            self.assertEqual(await idle[0][0].read(), b"")
        self.free.set()
        self.assertEqual(await answer, 200)
        for stream in (*idle[1:], late):
            self.assertEqual(await self.request(stream), 200)


class Frozen(unittest.IsolatedAsyncioTestCase):
    TIMEOUT_S = 0.2

    async def asyncSetUp(self):
        self.enterContext(mock.patch.object(_listener, "SOCKET_TIMEOUT_S", self.TIMEOUT_S))
        self.enterContext(mock.patch.object(_listener, "LINGER_S", 0.1))
        self.listener = _listener.Listener(LIMIT, lambda code: None, MemoryBudget(1 << 30))
        address = await self.listener.bind("127.0.0.1", 0)
        await self.listener.start(self.answer)
        self.addAsyncCleanup(self.listener.stop)
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(self.writer.close)

    async def answer(self, request):
        return web.Response(body=b"done")

    async def send_request(self, *, frozen_s=0.0):
        """Send a request and block the event loop while the request waits in the kernel."""
        self.writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")  # is sent before the freeze
        time.sleep(frozen_s)  # blocks the event loop as SIGSTOP would stop the process
        async with asyncio.timeout(10):
            head = await self.reader.readuntil(b"\r\n\r\n")
            return head.split(b" ")[1], await self.reader.readexactly(4)

    async def test_a_request_that_came_during_a_freeze_is_answered(self):
        # Guards against a keep-alive connection that the idle timer closes before a request that
        # waits in the kernel is read: after a freeze, both happen in the same loop iteration.
        self.assertEqual(await self.send_request(), (b"200", b"done"))
        answer = await self.send_request(frozen_s=2 * self.TIMEOUT_S)
        self.assertEqual(answer, (b"200", b"done"))

    async def test_a_first_request_that_came_during_a_freeze_is_answered(self):
        # Guards against a new connection that is refused as too slow although its request was sent
        # in time and only the daemon was frozen.
        answer = await self.send_request(frozen_s=2 * self.TIMEOUT_S)
        self.assertEqual(answer, (b"200", b"done"))

    async def test_an_idle_connection_is_still_closed(self):
        # Guards against idle connections that stay open forever.
        self.assertEqual(await self.send_request(), (b"200", b"done"))
        async with asyncio.timeout(10):
            self.assertEqual(await self.reader.read(), b"")


if __name__ == "__main__":
    unittest.main()
