"""Client connections and their time limits, with a simulated clock."""

import asyncio
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding import connections
from lovageway.forwarding.connections import IDLE_CLOSE_DELAY_S, ClientConnection
from lovageway.forwarding.inputturns import InputTurns
from lovageway.forwarding.model import RequestLimits

LIMITS = RequestLimits(1000, 1000, 1.0, 10.0)


class Transport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.written = b""
        self.ended = None
        self.unread = 0  # bytes that the client has not read

    def write(self, data):
        self.written += data

    def close(self):
        self.ended = self.ended or "closed"

    def abort(self):
        self.ended = "aborted" if self.unread or self.ended is None else self.ended

    def get_write_buffer_size(self):
        return self.unread

    def can_write_eof(self):
        return False

    def is_closing(self):
        return self.ended is not None

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


class Handler:
    def __init__(self):
        self.requests = []
        self.is_closing = False
        self.room = 10_000
        self.memory = 1 << 20  # for connections, in bytes

    def limits(self):
        return LIMITS

    def should_close(self):
        return self.is_closing

    def reserve_body(self, size):
        if size > self.room:
            return False
        self.room -= size
        return True

    def reserve_memory(self, conn, size, held):
        if size > self.memory:
            return False
        self.memory -= size
        return True

    def release_memory(self, size):
        self.memory += size

    def on_activity(self, conn):
        pass

    def handle(self, conn, inbound):
        self.requests.append(inbound)

    def on_disconnect(self, conn):
        pass

    def on_connect(self, conn):
        pass

    def on_rejected(self, status, reason):
        pass


REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Timing(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 0.0
        self.handler = Handler()
        self.conn = ClientConnection(self.handler, lambda: self.now, InputTurns(lambda: self.now))
        self.transport = Transport()

    def connect(self):
        self.conn.connection_made(self.transport)

    async def test_a_request_received_while_the_process_was_suspended_is_served(self):
        # Guards against an idle timeout that closes a connection before its request is read. After
        # a suspension of the process, both are handled at the same time.
        self.connect()
        self.now = 60.0
        self.conn.check_timeouts(self.now, close_idle=False)
        self.conn.data_received(REQUEST)
        await asyncio.sleep(2 * IDLE_CLOSE_DELAY_S)
        self.assertIsNone(self.transport.ended)
        self.assertEqual(len(self.handler.requests), 1)

    async def test_an_idle_connection_is_closed(self):
        self.connect()
        self.now = 60.0
        self.conn.check_timeouts(self.now, close_idle=False)
        await asyncio.sleep(2 * IDLE_CLOSE_DELAY_S)
        self.assertEqual(self.transport.ended, "closed")

    async def test_a_connection_in_use_is_not_idle(self):
        self.connect()
        self.conn.data_received(REQUEST)
        self.now = 60.0
        self.conn.check_timeouts(self.now, close_idle=True)
        await asyncio.sleep(2 * IDLE_CLOSE_DELAY_S)
        self.assertIsNone(self.transport.ended)

    async def test_a_client_that_reads_nothing_is_disconnected(self):
        # Guards against answers that stay in memory because their clients never read them.
        self.connect()
        self.conn.data_received(REQUEST)
        self.conn.pause_writing()
        self.now = 60.0
        self.conn.check_timeouts(self.now, close_idle=False)
        self.assertEqual(self.transport.ended, "aborted")

    async def test_a_closed_connection_ends_when_its_client_reads_nothing_more(self):
        # Guards against connections that stay, and keep a planned stop from ending.
        self.connect()
        self.transport.unread = 100
        with mock.patch.multiple(connections, WRITE_STALL_TIMEOUT_S=0.02, LINGER_S=0.0):
            self.conn.data_received(b"\0")
            await self.until(lambda: self.transport.ended == "aborted")
        self.assertIn(b" 400 ", self.transport.written)

    async def test_a_closed_connection_stays_while_its_client_reads(self):
        # Guards against an answer that a slow client loses.
        self.connect()
        self.transport.unread = 30
        with mock.patch.multiple(connections, WRITE_STALL_TIMEOUT_S=0.02, LINGER_S=0.0):
            self.conn.data_received(b"\0")
            while self.transport.unread:
                self.transport.unread -= 1
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.05)
        self.assertEqual(self.transport.ended, "closed")

    async def until(self, condition):
        async with asyncio.timeout(10.0):
            while not condition():
                await asyncio.sleep(0.005)

    async def test_an_answer_of_a_stopping_daemon_ends_the_connection(self):
        self.connect()
        self.conn.data_received(REQUEST)
        self.handler.is_closing = True
        self.conn.respond(200, [], b"x")
        self.assertIn(b"Connection: close", self.transport.written)
        self.assertEqual(self.transport.ended, "closed")

    async def test_a_head_in_single_bytes_is_a_request(self):
        # Guards against parsing that depends on how the input is split into segments.
        self.connect()
        for number in range(len(REQUEST)):
            self.conn.data_received(REQUEST[number : number + 1])
        self.assertEqual(self.handler.requests[0].target, "/")

    async def test_an_expected_continue_is_answered(self):
        self.connect()
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n"
        self.conn.data_received(head)
        self.assertIn(b"100 Continue", self.transport.written)
        self.conn.data_received(b"x")
        self.assertEqual(self.handler.requests[0].body, b"x")

    async def test_a_continue_is_asked_for_once_and_not_within_another_answer(self):
        # Guards against heads with very many such lines, and a line in the middle of a stream.
        self.connect()
        self.conn.data_received(REQUEST)
        self.conn.start(200, [])
        expect = b"Expect: 100-continue\r\n" * 20
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n" + expect + b"\r\n"
        self.conn.data_received(head)
        self.conn.send(b"x")
        self.assertNotIn(b"100 Continue", self.transport.written)
        self.conn.end()
        await asyncio.sleep(0)
        self.assertEqual(self.transport.written.count(b"100 Continue"), 1)
        self.conn.data_received(b"y")
        self.assertEqual(self.handler.requests[-1].body, b"y")

    async def test_bodies_beyond_the_memory_limit_are_refused_with_a_retry_time(self):
        # Guards against a daemon that runs out of memory because of many large bodies at once.
        self.connect()
        self.handler.room = 100
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n"
        self.conn.data_received(head + b"x" * 200)
        self.assertIn(b" 503 ", self.transport.written)
        self.assertIn(b"Retry-After", self.transport.written)
        self.assertEqual((self.handler.requests, self.handler.room), ([], 100))

    async def test_memory_of_bodies_is_released_when_requests_end_or_clients_disconnect(self):
        # Guards against reservations that are never released, after which every body is refused.
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n"
        self.connect()
        for _ in range(3):
            self.conn.data_received(head + b"x" * 50)
            self.conn.respond(200, [], b"")
        self.assertEqual(self.handler.room, 10_000)
        self.conn.data_received(head + b"x" * 20)
        self.assertEqual(self.handler.room, 9_980)
        self.conn.connection_lost(None)
        self.assertEqual(self.handler.room, 10_000)

    async def test_extensions_and_trailers_of_a_chunked_body_are_limited(self):
        # Guards against unlimited memory and work for a client that never ends its request.
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        endless = {
            "extension": (b"5;", b"x" * 100),
            "trailer": (b"1\r\nx\r\n0\r\nX-Pad: ", b"x" * 100),
            "trailers": (b"1\r\nx\r\n0\r\n", b"X-Pad: y\r\n" * 10),
        }
        for kind, (begin, repeated) in endless.items():
            with self.subTest(kind=kind):
                self.connect()
                self.conn.data_received(head + begin)
                for _ in range(LIMITS.header_bytes // len(repeated) + 2):
                    self.conn.data_received(repeated)
                self.assertRegex(self.transport.written, rb"^HTTP/1.1 4(00|31) ")
                self.assertEqual(self.handler.requests, [])

    async def test_a_body_that_arrives_too_slowly_is_refused(self):
        # Guards against clients that occupy memory and connections without a time limit.
        self.connect()
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n"
        self.conn.data_received(head)
        for _ in range(40):
            self.now += LIMITS.header_timeout_s / 10
            self.conn.data_received(b"x")
            self.conn.check_timeouts(self.now, close_idle=False)
        self.assertIn(b" 408 ", self.transport.written)
        self.assertEqual(self.handler.room, 10_000)


class MuchInput(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = 0.0
        self.handler = Handler()
        self.conn = ClientConnection(self.handler, self.clock, InputTurns(self.clock))
        self.transport = Transport()
        self.conn.connection_made(self.transport)

    def clock(self):
        self.now += 0.0005
        return self.now

    async def test_a_body_in_small_chunks_does_not_hold_the_event_loop(self):
        # Guards against one client that stops a daemon with chunks of one byte.
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.conn.data_received(head + b"1\r\nx\r\n" * 900 + b"0\r\n\r\n")
        self.assertEqual([request.body for request in self.handler.requests], [b"x" * 900])
        self.conn.finish()
        extension = b"1;" + b"e" * 900 + b"\r\nx\r\n"
        self.conn.data_received(head + extension * 250)
        passes = 0
        while self.conn._input.pending:
            passes += 1
            await asyncio.sleep(0)
        self.assertGreater(passes, 8)
        self.conn.data_received(b"0\r\n\r\n")
        await asyncio.sleep(0)
        self.assertEqual(self.handler.requests[-1].body, b"x" * 250)

    async def test_a_refused_body_is_dropped_at_once(self):
        # Guards against refused uploads that stay in memory, outside the budget, for as long as
        # their connections are closed in an orderly way.
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n"
        self.conn.data_received(head + b"x" * 500)
        self.handler.room = 0
        self.conn.data_received(b"x" * 400)
        self.assertIn(b"503 Service Unavailable", self.transport.written)
        self.assertEqual(len(self.conn._body), 0)

    async def test_line_ends_outside_requests_are_limited(self):
        # Guards against a client that keeps a connection, and the event loop, with line ends that
        # belong to no request.
        self.conn.data_received(b"\r\n" * 400)
        self.assertEqual(self.transport.written, b"")
        self.conn.data_received(b"\r\n" * 400)
        self.assertIn(b"400 Bad Request", self.transport.written)


class Memory(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.handler = Handler()
        self.memory = self.handler.memory
        self.transport = Transport()
        self.conn = ClientConnection(self.handler, lambda: 0.0, InputTurns(lambda: 0.0))
        self.conn.connection_made(self.transport)

    async def read(self, data):
        self.conn.data_received(data)
        await asyncio.sleep(0)

    async def test_the_next_request_waits_until_the_answers_are_read(self):
        # Guards against answers that pile up for a client that reads none of them.
        await self.read(REQUEST * 3)
        self.conn.pause_writing()
        self.conn.respond(200, [], b"x")
        await asyncio.sleep(0)
        self.assertEqual(len(self.handler.requests), 1)
        self.assertTrue(self.conn.is_unread)
        self.conn.resume_writing()
        self.assertEqual(len(self.handler.requests), 2)

    async def test_a_head_without_memory_is_refused_as_not_run(self):
        # Guards against heads that take more memory than the machine has, and a refusal that
        # promises nothing or forgets to say when to come back.
        self.handler.memory = 2000
        await self.read(b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 20)
        self.assertIn(b"HTTP/1.1 503", self.transport.written)
        self.assertIn(b"Retry-After", self.transport.written)
        self.assertEqual(self.handler.requests, [])

    async def test_requests_that_run_without_free_memory_are_released_once(self):
        # Guards against memory that is released although it was not reserved.
        await self.read(REQUEST * 3)
        self.handler.memory, taken = 0, self.handler.memory
        for _ in range(3):
            self.conn.respond(200, [], b"")
            await asyncio.sleep(0)
        self.assertEqual(self.handler.memory + taken, self.memory)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(st.sampled_from(["read", "part", "odd", "answer", "poor", "late"]), max_size=12)
    )
    def test_all_memory_is_released_at_the_end(self, steps):
        # Guards against memory that stays reserved, so that a daemon refuses everybody in the end.
        asyncio.run(self.play(steps))

    async def play(self, steps):
        self.setUp()
        taken = 0
        for step in steps:
            match step:
                case "read":
                    await self.read(REQUEST * 2)
                case "part":
                    await self.read(b"GET / HTTP/1.1\r\nHost: h\r\n")
                case "odd":
                    await self.read(b"\x00\r\n\r\n")
                case "answer" if self.conn.current is not None:
                    self.conn.respond(200, [], b"")
                    await asyncio.sleep(0)
                case "poor":
                    taken, self.handler.memory = taken + self.handler.memory, 0
                case "late":
                    self.conn.check_timeouts(99.0, close_idle=False)
        self.conn.connection_lost(None)
        if self.conn.current is not None:
            self.conn.respond(200, [], b"")  # its answer comes after the connection has ended
        self.assertEqual(self.handler.memory + taken, self.memory)
