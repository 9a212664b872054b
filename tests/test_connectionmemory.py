"""Tests of the memory of client connections: what is closed when it does not suffice."""

import unittest

from lovageway.forwarding.connectionmemory import (
    CONNECTION_BYTES,
    LARGE_BYTES,
    ConnectionMemory,
    head_bytes,
)


class Connection:
    def __init__(self, memory, in_use=False, unread=False):
        self.memory = memory
        self.is_in_use = in_use
        self.is_unread = unread
        self.is_receiving = False
        self.is_closed = False

    def close_unused(self):
        self.is_closed = True
        self.memory.leave(self)


class Places(unittest.TestCase):
    def setUp(self):
        self.memory = ConnectionMemory(memory_mb=60, open_files=10)  # 6 connections

    def fill(self, *conns):
        for conn in conns:
            self.assertTrue(self.memory.admit(conn))
        return list(conns)

    def connections(self, count, **fields):
        return self.fill(*[Connection(self.memory, **fields) for _ in range(count)])

    def test_a_new_connection_takes_the_place_of_the_one_that_rested_longest(self):
        # Guards against idle connections that keep ordinary callers out.
        conns = self.connections(6)
        for index in (0, 2, 3, 4, 5):
            self.memory.on_activity(conns[index])
        self.connections(1)
        self.assertEqual([conn.is_closed for conn in conns].index(True), 1)
        self.assertEqual((sum(conn.is_closed for conn in conns), self.memory.connections), (1, 6))

    def test_clients_that_read_no_answer_go_first(self):
        # Guards against a crowd that stays since it keeps sending.
        conns = self.connections(6)
        conns[3].is_unread = True
        self.memory.on_activity(conns[3])
        self.connections(1)
        self.assertEqual([conn.is_closed for conn in conns].index(True), 3)

    def test_a_request_that_arrives_gives_way_after_idle_connections(self):
        # Guards against uploads that are cut off for a new connection.
        conns = self.connections(6)
        for conn in conns[:5]:
            conn.is_receiving = True
            self.memory.on_activity(conn)
        self.connections(2)
        self.assertEqual([conn.is_closed for conn in conns], [False] * 5 + [True])

    def test_connections_in_use_are_never_closed(self):
        # Guards against a request that is cut off for a new connection.
        conns = self.connections(6)
        for conn in conns:
            conn.is_in_use = True
            self.memory.on_activity(conn)
        self.assertFalse(self.memory.admit(Connection(self.memory)))
        self.assertEqual(self.memory.connections, 6)
        self.assertFalse(any(conn.is_closed for conn in conns))

    def test_idle_connections_give_way_to_a_request(self):
        # Guards against a crowd that sends nothing and takes the memory that requests need.
        memory = ConnectionMemory(memory_mb=1, open_files=0)
        conns = [Connection(memory) for _ in range(memory.max_bytes // CONNECTION_BYTES)]
        for conn in conns:
            self.assertTrue(memory.admit(conn))
        self.assertTrue(memory.reserve(head_bytes(1000, 15), 0, conns[0]))
        self.assertFalse(conns[0].is_closed)
        self.assertTrue(conns[1].is_closed)
        self.assertLessEqual(memory.reserved, memory.max_bytes)

    def test_large_heads_close_no_connection(self):
        # Guards against a crowd with large heads that closes the connections of ordinary callers.
        memory = ConnectionMemory(memory_mb=1, open_files=0)
        conns = [Connection(memory) for _ in range(memory.max_bytes // CONNECTION_BYTES)]
        for conn in conns:
            self.assertTrue(memory.admit(conn))
        self.assertFalse(memory.reserve(LARGE_BYTES, 1, conns[0]))
        self.assertFalse(any(conn.is_closed for conn in conns))

    def test_a_connection_does_not_give_way_to_its_own_request(self):
        # Guards against a request that ends itself.
        memory = ConnectionMemory(memory_mb=1, open_files=1)
        conn = Connection(memory)
        memory.max_connections = 1
        self.assertTrue(memory.admit(conn))
        memory.max_bytes = CONNECTION_BYTES
        self.assertFalse(memory.reserve(1, 0, conn))
        self.assertFalse(conn.is_closed)

    def test_memory_limits_connections_too(self):
        # Guards against many descriptors on a machine with little memory.
        memory = ConnectionMemory(memory_mb=1, open_files=0)
        admitted = sum(memory.admit(Connection(memory, in_use=True)) for _ in range(100))
        self.assertEqual(admitted, memory.max_bytes // CONNECTION_BYTES)

    def test_a_place_is_free_again_after_the_end(self):
        # Guards against a count that only grows.
        for _ in range(20):
            conn = Connection(self.memory)
            self.assertTrue(self.memory.admit(conn))
            self.memory.leave(conn)
        self.assertEqual((self.memory.connections, self.memory.reserved), (0, 0))


class Heads(unittest.TestCase):
    def test_large_heads_leave_room_for_ordinary_ones(self):
        # Guards against a crowd with large heads that keeps ordinary callers from being served.
        memory = ConnectionMemory(memory_mb=128, open_files=4100)
        conn = Connection(memory)
        while memory.reserve(LARGE_BYTES, LARGE_BYTES, conn):
            pass
        ordinary = head_bytes(1000, 15)
        served = sum(memory.reserve(ordinary, 0, conn) for _ in range(500))
        self.assertEqual(served, 500)

    def test_one_head_of_short_lines_fits_on_the_smallest_machine(self):
        # Guards against a limit that a single request within the operator's limits meets.
        memory = ConnectionMemory(memory_mb=64, open_files=1000)
        self.assertTrue(memory.reserve(head_bytes(16384, 16384 // 5), 0, Connection(memory)))
