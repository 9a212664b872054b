"""Tests of the answers to requests for rows: who gets them, and how many at a time."""

import asyncio
import os
import unittest
from unittest import mock

import msgpack

from lovageway.forwarding import rowserver
from lovageway.forwarding.mirror import Mirror
from lovageway.forwarding.model import Row
from lovageway.forwarding.rowserver import MAX_REQUESTS_PER_ADDRESS, MAX_UNKNOWN_REQUESTS, RowServer

HOST, KNOWN = "127.0.5.1", "127.0.5.2"
WAIT_S = 10.0
LARGE_ROW_BYTES = 12 << 20  # more than the kernel keeps for a connection
REQUEST = msgpack.packb(["op", 0, 0])


class Requests(unittest.IsolatedAsyncioTestCase):
    async def start(self, row_bytes):
        mirror = Mirror()
        mirror.apply([Row("op", "config", os.urandom(row_bytes), 1)])
        self.rows = RowServer(mirror, lambda: False, lambda address: address == KNOWN)
        self.writers, self.streams = [], []
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.addAsyncCleanup(self.end, server)
        self.port = server.sockets[0].getsockname()[1]

    async def end(self, server):
        server.close()
        for writer in self.writers:
            writer.transport.abort()
        await self.until(lambda: self.rows.open_requests == 0)

    async def serve(self, reader, writer):
        self.writers.append(writer)
        await self.rows.serve(reader, writer)

    async def request(self, data, source=HOST):
        reader, writer = await asyncio.open_connection(
            HOST, self.port, limit=1024, local_addr=(source, 0)
        )
        self.streams.append((reader, writer))  # a connection ends with its stream objects
        self.addCleanup(writer.transport.abort)
        writer.write(data)
        return reader

    async def until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def is_answered(self, source):
        reader = await self.request(len(REQUEST).to_bytes(4, "big") + REQUEST, source)
        try:
            async with asyncio.timeout(WAIT_S):
                return int.from_bytes(await reader.readexactly(4), "big") > 0
        except (OSError, EOFError):
            return False

    def unsent(self):
        return [w for w in self.writers if w.transport.get_write_buffer_size()]

    async def test_unknown_hosts_that_read_nothing_hold_one_answer_together(self):
        # Guards against a daemon that keeps a table for each connection of an unknown host.
        await self.start(LARGE_ROW_BYTES)
        for _ in range(5):
            await self.request(len(REQUEST).to_bytes(4, "big") + REQUEST)
        await self.until(self.unsent)
        self.assertEqual(len(self.unsent()), 1)
        self.assertTrue(await self.is_answered(KNOWN))

    async def test_an_answer_that_nobody_reads_is_dropped(self):
        # Guards against connections that stay for ever since their last bytes are never read.
        await self.start(LARGE_ROW_BYTES)
        with mock.patch.object(rowserver, "MAX_PULL_S", 0.2):
            await self.request(len(REQUEST).to_bytes(4, "big") + REQUEST, KNOWN)
            await self.until(self.unsent)
            await self.until(lambda: self.writers[0].transport.is_closing())
        self.assertEqual(self.unsent(), [])

    async def test_an_address_has_a_limited_number_of_open_requests(self):
        # Guards against one address that uses all descriptors.
        await self.start(100)
        for _ in range(MAX_REQUESTS_PER_ADDRESS):
            await self.request(b"\0", KNOWN)
        await self.until(lambda: len(self.writers) == MAX_REQUESTS_PER_ADDRESS)
        self.assertFalse(await self.is_answered(KNOWN))
        self.assertEqual(self.rows.refused, 1)
        self.assertTrue(await self.is_answered(HOST))

    async def test_unknown_hosts_have_a_limited_number_of_open_requests(self):
        # Guards against many addresses that use all descriptors together.
        await self.start(100)
        for number in range(MAX_UNKNOWN_REQUESTS):
            await self.request(b"\0", f"127.0.5.{10 + number}")
        await self.until(lambda: len(self.writers) == MAX_UNKNOWN_REQUESTS)
        self.assertFalse(await self.is_answered(HOST))
        self.assertTrue(await self.is_answered(KNOWN))

    async def test_malformed_requests_get_no_answer(self):
        # Guards against a request that ends the task which serves it with an unexpected error.
        await self.start(100)
        for data in (b"\xff" * 2000, b"\0\0\0\1\xc1", b"\0\0\0\1\x90", b"\0\0\0\4\x93\1\2\xa1"):
            reader = await self.request(data)
            async with asyncio.timeout(WAIT_S):
                self.assertEqual(await _read_all(reader), b"")
        for fields in (["op", "x"], ["op", 0, "x"], ["op", None], ["op", 1e400], 7, ["op"]):
            packed = msgpack.packb(fields)
            reader = await self.request(len(packed).to_bytes(4, "big") + packed)
            async with asyncio.timeout(WAIT_S):
                self.assertEqual(await _read_all(reader), b"")


async def _read_all(reader):
    try:
        return await reader.read()
    except ConnectionError:
        return b""
