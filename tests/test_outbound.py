"""Connections to servers: parts of answers, their limits and the turns that they take."""

import asyncio
import unittest

from lovageway.forwarding.exchange import MAX_BUFFERED_BYTES, Exchange
from lovageway.forwarding.inputturns import SLICE_BYTES, InputTurns
from lovageway.forwarding.outbound import MAX_HEAD_BYTES, ServerConnection
from lovageway.platform import heads

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nReplica-Signature: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ONE_BYTE = b"1\r\nx\r\n"
READ_BYTES = 256 * 1024  # the most that the event loop reads at once


class Transport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.reading = True
        self.aborted = False

        self.written = []

    def write(self, data):
        self.written.append(data)

    def abort(self):
        self.aborted = True

    def is_closing(self):
        return self.aborted

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def get_write_buffer_size(self):
        return 0


class Answers(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 0.0
        self.conn = ServerConnection(heads.answer, self.clock, InputTurns(self.clock))
        self.transport = Transport()
        self.conn.connection_made(self.transport)
        self.exchange = Exchange("a", max_bytes=None)
        self.conn.begin(self.exchange, b"")

    def clock(self):
        self.now += 0.0005
        return self.now

    async def test_a_read_full_of_small_chunks_does_not_hold_the_event_loop(self):
        # Guards against one faulty server that stops a daemon: 43,000 chunks of one byte in one
        # read, each parsed and queued before anything else runs.
        chunks = (READ_BYTES - len(CHUNKED)) // len(ONE_BYTE)
        self.conn.data_received(CHUNKED + ONE_BYTE * chunks)
        self.assertFalse(self.transport.reading)
        received, passes = 0, 0
        while not self.transport.reading:
            passes += 1
            part = await self.exchange.get()
            self.assertLessEqual(len(part.data), MAX_BUFFERED_BYTES + SLICE_BYTES)
            received += len(part.data)
            await asyncio.sleep(0)
        received += len((await self.exchange.get()).data)
        self.assertGreater(passes, 8)
        self.assertEqual(received, chunks)

    async def test_chunks_that_are_not_taken_yet_are_taken_together(self):
        # Guards against work and memory for each chunk, in place of each byte.
        self.conn.data_received(CHUNKED + ONE_BYTE * 300)
        self.assertIsNotNone((await self.exchange.get()).head)
        self.assertEqual((await self.exchange.get()).data, b"x" * 300)

    async def test_a_large_body_is_not_copied_to_send_it(self):
        # Guards against uploads that take several times their size of the daemon's memory.
        conn = ServerConnection(heads.answer, self.clock, InputTurns(self.clock))
        conn.connection_made(self.transport)
        body = b"x" * (4 << 20)
        conn.begin(Exchange("b"), b"head", body)
        self.assertIs(self.transport.written[-1], body)

    async def test_blank_lines_before_a_head_are_limited(self):
        # Guards against a server that sends line ends without end, which are no part of a head.
        for _ in range(MAX_HEAD_BYTES // SLICE_BYTES + 1):
            self.conn.data_received(b"\r\n" * (SLICE_BYTES // 2))
        self.assertTrue(self.transport.aborted)
        self.assertEqual(self.exchange.fault, "head")

    async def test_a_connection_with_input_after_its_answer_is_not_reused(self):
        # Guards against a surplus answer that waits for its turn and is taken for the next one.
        answer = HEAD + b"Content-Length: 1\r\n\r\nx"
        self.conn.data_received(answer + b"\r\n" * (10 * SLICE_BYTES))
        self.assertTrue(self.exchange.ended)
        self.assertFalse(self.conn.is_idle)

    async def test_an_answer_without_length_that_this_daemon_closes_is_not_complete(self):
        # Guards against an end of this daemon's own making that counts as the server's.
        self.conn.data_received(HEAD + b"\r\nid: 1\ndata: x\n\n")
        self.conn.close()
        self.conn.connection_lost(None)
        parts = [await self.exchange.get() for _ in range(3)]
        self.assertEqual((parts[-1].end, parts[-1].complete), (True, False))
