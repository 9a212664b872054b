"""Tests of the memory of client connections: who gives way when it does not suffice."""

import unittest

from lovageway.forwarding.connectionmemory import (
    CONNECTION_BYTES,
    LARGE_BYTES,
    ConnectionMemory,
    head_bytes,
)


class Connection:
    def __init__(self, last_active_at, in_use=False, unread=False):
        self.last_active_at = last_active_at
        self.is_in_use = in_use
        self.is_unread = unread
        self.is_closed = False

    def close_unused(self):
        self.is_closed = True


class Places(unittest.TestCase):
    def setUp(self):
        self.memory = ConnectionMemory(memory_mb=60, open_files=10)  # 6 connections

    def fill(self, *conns):
        for _ in conns:
            self.assertTrue(self.memory.admit([]))
        return list(conns)

    def test_a_new_connection_takes_the_place_of_the_one_that_rested_longest(self):
        # Guards against idle connections that keep ordinary callers out.
        conns = self.fill(*[Connection(at) for at in (5, 3, 4, 9, 8, 7)])
        self.assertTrue(self.memory.admit(conns))
        self.assertEqual([conn.is_closed for conn in conns].index(True), 1)

    def test_clients_that_read_no_answer_go_first(self):
        # Guards against a crowd that stays since it keeps sending.
        conns = self.fill(*[Connection(at, unread=at == 9) for at in (5, 3, 4, 9, 8, 7)])
        self.assertTrue(self.memory.admit(conns))
        self.assertEqual([conn.is_closed for conn in conns].index(True), 3)

    def test_connections_in_use_are_never_closed(self):
        # Guards against a request that is cut off for a new connection.
        conns = self.fill(*[Connection(at, in_use=True) for at in range(6)])
        self.assertFalse(self.memory.admit(conns))
        self.assertEqual(self.memory.connections, 6)

    def test_memory_limits_connections_too(self):
        # Guards against many descriptors on a machine with little memory.
        memory = ConnectionMemory(memory_mb=1, open_files=0)
        admitted = sum(memory.admit([]) for _ in range(100))
        self.assertEqual(admitted, memory.max_bytes // CONNECTION_BYTES)

    def test_a_place_is_free_again_after_the_end(self):
        # Guards against a count that only grows.
        for _ in range(20):
            self.assertTrue(self.memory.admit([]))
            self.memory.leave()
        self.assertEqual((self.memory.connections, self.memory.reserved), (0, 0))


class Heads(unittest.TestCase):
    def test_large_heads_leave_room_for_ordinary_ones(self):
        # Guards against a crowd with large heads that keeps ordinary callers from being served.
        memory = ConnectionMemory(memory_mb=128, open_files=4100)
        while memory.reserve(LARGE_BYTES, LARGE_BYTES):
            pass
        ordinary = head_bytes(1000, 15)
        served = sum(memory.reserve(ordinary, 0) for _ in range(500))
        self.assertEqual(served, 500)

    def test_one_head_of_short_lines_fits_on_the_smallest_machine(self):
        # Guards against a limit that a single request within the operator's limits meets.
        memory = ConnectionMemory(memory_mb=64, open_files=1000)
        self.assertTrue(memory.reserve(head_bytes(16384, 16384 // 5), 0))
