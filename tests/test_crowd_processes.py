"""A daemon as a real process, with its memory limit, while clients without manners flood it.

The crowd and the bounds were fixed on the code that had the fault, and do not depend on speed.
"""

import asyncio
import contextlib
import os
import signal
import socket
import tempfile
import unittest
from pathlib import Path

import msgpack
from soak.world import Daemon
from standins.caller import WAIT_S, Client, free_ports
from standins.replica import Engine, Replica
from standins.store import Store

from lovageway.platform.names import METRICS_PORT
from tests import crowd
from tests.relayworld import config, route

HOST = "127.0.4.1"
UNKNOWN_HOST = "127.0.4.9"  # sends datagrams like a daemon
SILENT = "127.0.4.2"  # where a daemon may run, so that this one sends messages to it
MEMORY_MB = 64  # of the daemon; an idle one takes 27 MB
CONNECTIONS = 200
MAX_DESCRIPTORS = 2 * CONNECTIONS + 100  # each may have a connection to a server, too
IDLE_CONNECTIONS = 1200  # more than the memory limit allows
MANY_DESCRIPTORS = 4100
BYTES_AHEAD = 1 << 20  # that one connection sends without reading an answer
HEAD_BYTES = 16384  # the limit that the configuration sets
BODY_BYTES = 4 << 20  # the limit that the configuration sets
IDLE_TIMEOUT_MS = 60_000
STOP_TIMEOUT_S = 30.0  # a planned stop takes the grace period of 4 s, and less than 2 s more
ANSWER_BYTES = 4_000_000  # more than the kernel keeps for a connection
ROUTES = [
    route(),
    route(name="s", prefix="/s/", route_kind="streaming", service="llm", stream_resume=True),
]
DATAGRAMS = 3000
ROWS, ROW_BYTES = 40, 32768  # of the table that daemons request from each other
STREAM = f"GET /s/x HTTP/1.1\r\n{crowd.USUAL_LINES}Token-Usage: 10,10\r\n\r\n"
EVENTS, EVENT_S = 40, 0.05  # of a stream, which thus ends within the grace period
HUGE = (2**63, 2**64 - 1, 10**30, 10**400, -(2**63) - 1, -(10**400))


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Guards against a daemon that runs out of memory for clients that nobody controls."""

    max_descriptors = MAX_DESCRIPTORS
    file_descriptors = 1000

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
        limits |= {"max_body_bytes": BODY_BYTES, "idle_timeout_ms": IDLE_TIMEOUT_MS}
        self.store.put("op", "config", config(1, ROUTES, limits=limits))
        self.fill_store()
        self.ports = free_ports([HOST], 6)
        self.daemon = Daemon(
            0, HOST, self.ports, [HOST, SILENT], self.store.address, Path(folder.name)
        )
        self.daemon.settings["limits"] = {
            "memory_mb": MEMORY_MB,
            "file_descriptors": self.file_descriptors,
        }
        self.daemon.start()
        self.addAsyncCleanup(self.daemon.end, signal.SIGKILL, WAIT_S)
        await crowd.wait_until(self.is_serving, 2 * WAIT_S)

    def fill_store(self):
        """Put further rows into the store before the daemon starts."""

    async def is_serving(self):
        with contextlib.suppress(OSError, EOFError):
            client = Client(*await asyncio.open_connection(HOST, self.daemon.ports[0]))
            try:
                await client.send(attempt="ordinary")
                return (await client.reply()).status == 200
            finally:
                client.close()
        return False

    async def flood(self, data, port, connections=CONNECTIONS):
        """Send the same data on all connections at once, and read no answer."""
        socks = await asyncio.to_thread(crowd.send_ahead, data, HOST, port, connections)
        try:
            await self.check()
        finally:
            for sock in socks:
                sock.close()
        await crowd.wait_until(self.is_serving, WAIT_S)
        await self.check()

    async def check(self):
        """Check that the process lives within its memory and its descriptors."""
        self.daemon.check()
        descriptors = len(os.listdir(f"/proc/{self.daemon.process.pid}/fd"))
        self.assertEqual(self.daemon.unexpected_exit_codes, [])
        self.assertLess(self.daemon.peak_mb, MEMORY_MB)
        self.assertLess(descriptors, self.max_descriptors)

    async def stop(self):
        """Check that a planned stop ends the process."""
        self.assertEqual(await self.daemon.end(signal.SIGTERM, STOP_TIMEOUT_S), 0)


class Crowd(CrowdCase):
    """Guards against heads, bodies and requests ahead that take more than their size."""

    async def test_heads_of_very_many_short_lines(self):
        request = crowd.short_lines(HEAD_BYTES)
        await self.flood(crowd.repeated(request, BYTES_AHEAD), self.ports[0])

    async def test_heads_of_odd_lines(self):
        request = crowd.odd_lines(HEAD_BYTES)
        await self.flood(crowd.repeated(request, BYTES_AHEAD), self.ports[0])

    async def test_heads_that_do_not_end(self):
        request = crowd.short_lines(HEAD_BYTES)[:-4]
        await self.flood(crowd.repeated(request, BYTES_AHEAD), self.ports[0])

    async def test_heads_that_ask_often_whether_their_body_may_come(self):
        request = crowd.expecting_lines(HEAD_BYTES)
        await self.flood(crowd.repeated(request, BYTES_AHEAD), self.ports[0])

    async def test_requests_sent_ahead_without_the_usual_headers(self):
        request = b"GET /a/x HTTP/1.1\r\n\r\n"
        await self.flood(crowd.repeated(request, BYTES_AHEAD), self.ports[0])

    async def test_requests_sent_ahead_to_the_readiness_path(self):
        request = b"GET /readiness HTTP/1.1\r\n\r\n"
        await self.flood(crowd.repeated(request, BYTES_AHEAD), self.ports[1])

    async def test_requests_sent_ahead_to_the_directory(self):
        request = b"GET /resolution?name=h.example HTTP/1.1\r\n\r\n"
        await self.flood(crowd.repeated(request, BYTES_AHEAD), self.ports[3])

    async def test_requests_sent_ahead_to_the_metrics(self):
        request = b"GET /metrics HTTP/1.1\r\n\r\n"
        await self.flood(crowd.repeated(request, BYTES_AHEAD), METRICS_PORT)

    async def test_requests_sent_ahead_for_the_state_dump(self):
        request = b"GET /dump HTTP/1.1\r\n\r\n"
        await self.flood(crowd.repeated(request, BYTES_AHEAD), METRICS_PORT)

    async def test_heads_of_odd_lines_at_the_addresses_that_forward_nothing(self):
        request = crowd.odd_lines(HEAD_BYTES, "GET /readiness HTTP/1.1\r\n")
        for port in (self.ports[1], self.ports[3], METRICS_PORT):
            await self.flood(crowd.repeated(request, BYTES_AHEAD), port)

    async def test_bodies_that_do_not_end(self):
        head = f"POST /a/x HTTP/1.1\r\n{crowd.USUAL_LINES}Content-Length: {BODY_BYTES}\r\n\r\n"
        await self.flood(head.encode() + b"x" * (BODY_BYTES - 1), self.ports[0])

    async def test_bodies_in_chunks_of_one_byte(self):
        head = f"POST /a/x HTTP/1.1\r\n{crowd.USUAL_LINES}Transfer-Encoding: chunked\r\n\r\n"
        data = head.encode() + b"1;" + b"e" * 90 + b"\r\nx\r\n"
        await self.flood(data + b"1\r\nx\r\n" * (BYTES_AHEAD // 6), self.ports[0])

    async def test_bodies_at_the_addresses_that_forward_nothing(self):
        head = f"POST /readiness HTTP/1.1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        for port in (self.ports[1], self.ports[3], METRICS_PORT):
            await self.flood(head.encode() + b"x" * (BODY_BYTES - 1), port)

    async def test_long_ids_in_the_lines_of_the_log(self):
        start = "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
        head = start + "i" * (HEAD_BYTES - 200) + "\r\n\r\n"
        await self.flood(crowd.repeated(head.encode(), BYTES_AHEAD), self.ports[0])

    async def test_one_request_of_many_lines_is_served_in_calm(self):
        # Guards against a limit that a single request within the operator's limits meets.
        for head in (crowd.short_lines(HEAD_BYTES), crowd.odd_lines(HEAD_BYTES)):
            self.assertIn(" 200 ", await crowd.answer(HOST, self.ports[0], head, WAIT_S))

    async def test_one_large_body_is_served_in_calm(self):
        # Guards against a limit that a single request within the operator's limits meets.
        head = f"POST /a/x HTTP/1.1\r\n{crowd.USUAL_LINES}Content-Length: {BODY_BYTES}\r\n\r\n"
        data = head.encode() + b"x" * BODY_BYTES
        self.assertIn(" 200 ", await crowd.answer(HOST, self.ports[0], data, WAIT_S))


class Idle(CrowdCase):
    """Guards against connections that send nothing and keep ordinary callers out."""

    max_descriptors = MANY_DESCRIPTORS
    file_descriptors = MANY_DESCRIPTORS

    async def test_idle_connections_give_way_to_requests(self):
        socks = await asyncio.to_thread(crowd.connect_all, HOST, self.ports[0], IDLE_CONNECTIONS)
        doors = [
            (self.ports[0], f"GET /a/x HTTP/1.1\r\n{crowd.USUAL_LINES}\r\n"),
            (self.ports[1], "GET /readiness HTTP/1.1\r\n\r\n"),
            (self.ports[3], "GET /resolution?name=h.example HTTP/1.1\r\n\r\n"),
            (METRICS_PORT, "GET /metrics HTTP/1.1\r\n\r\n"),
        ]
        try:
            answers = [await crowd.answer(HOST, p, r.encode(), WAIT_S) for p, r in doors]
            await self.check()
        finally:
            for sock in socks:
                sock.close()
        self.assertEqual([line.split(" ")[1:2] for line in answers], [["200"]] * len(doors))
        await self.stop()


class Stops(CrowdCase):
    """Guards against clients that keep a daemon from ending."""

    async def test_a_stop_does_not_wait_for_clients_that_read_nothing(self):
        request = b"GET /a/x HTTP/1.1\r\n\r\n"
        data = crowd.repeated(request, BYTES_AHEAD)
        await self.stop_beside(data, data + b"\0\0\0")

    async def test_a_stop_does_not_wait_for_an_unread_answer_before_bad_input(self):
        self.server.body = b"x" * ANSWER_BYTES
        await self.stop_beside(f"GET /a/x HTTP/1.1\r\n{crowd.USUAL_LINES}\r\n".encode() + b"\0")

    async def test_a_stop_does_not_wait_for_the_rest_of_a_request(self):
        head = f"POST /a/x HTTP/1.1\r\n{crowd.USUAL_LINES}Content-Length: 99\r\n\r\n"
        await self.stop_beside(head[:9].encode(), head.encode(), b"")

    async def stop_beside(self, *inputs):
        """Stop the daemon while connections with each input are open and read nothing."""
        socks = []
        for data in inputs:
            found = await asyncio.to_thread(
                crowd.send_ahead, data, HOST, self.ports[0], CONNECTIONS // len(inputs)
            )
            socks += found
        try:
            await self.check()
            await self.stop()
        finally:
            for sock in socks:
                sock.close()


class Numbers(CrowdCase):
    """Guards against a client's numbers that end the daemon's periodic work. review/9."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine = Engine("e-1", events=EVENTS, event_interval_s=EVENT_S)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.stop)
        self.store.put("servers", "e-1", self.engine.entry(slots=500))
        await crowd.wait_until(lambda: self.has_status(STREAM, 200), WAIT_S)

    async def has_status(self, head, status):
        line = await crowd.answer(HOST, self.ports[0], head.encode(), WAIT_S)
        return line.split(" ")[1:2] == [str(status)]

    async def flood_with(self, start, *lines):
        """Send requests with header lines, each with every huge number, and stop the daemon."""
        heads = []
        for number in HUGE:
            for line in lines:
                heads.append(f"{start}{line.replace('N', str(number))}\r\n\r\n".encode())
        socks = []
        for head in heads:
            socks += await asyncio.to_thread(crowd.send_ahead, head, HOST, self.ports[0], 1)
        try:
            await crowd.wait_until(self.is_serving, WAIT_S)
            await self.check()
            await self.stop()
        finally:
            for sock in socks:
                sock.close()
        self.assertFalse('"fault"' in self.daemon.log.read_text(), "the daemon logged a fault")

    async def test_sizes_of_generations(self):
        await self.flood_with(
            f"GET /s/x HTTP/1.1\r\n{crowd.USUAL_LINES}",
            "Token-Usage: N,1",
            "Token-Usage: 1,N",
            "Token-Usage: N,N",
            "Token-Usage: 1,1\r\nLength-Hint: N",
            "Token-Usage: 1,1\r\nPrompt-Prefix: p:N,q:1",
        )

    async def test_times_and_positions(self):
        await self.flood_with(
            f"GET /s/x HTTP/1.1\r\n{crowd.USUAL_LINES}",
            "Token-Usage: 1,1\r\nDeadline-Ms: N",
            "Token-Usage: 1,1\r\nLast-Event-Id: N",
        )

    async def test_numbers_of_calls(self):
        await self.flood_with(
            f"GET /a/x HTTP/1.1\r\n{crowd.USUAL_LINES}",
            "Deadline-Ms: N",
            "Last-Event-Id: N",
            "Content-Length: N",
            "Token-Usage: N,N",
        )


class Peers(CrowdCase):
    """Guards against unknown hosts at the addresses where daemons exchange their state."""

    def fill_store(self):
        for number in range(ROWS):
            self.store.put("op", f"note/{number}", {"text": os.urandom(ROW_BYTES // 2).hex()})

    async def test_answers_with_rows_that_nobody_reads(self):
        fields = msgpack.packb(["op", 0, 0])
        await self.flood(len(fields).to_bytes(4, "big") + fields, self.ports[4])

    async def test_requests_for_rows_that_do_not_end(self):
        await self.flood((1024).to_bytes(4, "big") + b"x" * 1000, self.ports[4])
        await self.flood(b"x" * BYTES_AHEAD, self.ports[4])

    async def test_datagrams_with_huge_numbers(self):
        facts = [UNKNOWN_HOST, 1, 1, 1, "z2", "r2"]
        versions, eras = {"op": 1, "servers": 1}, [["op", 1, False]]
        loads = {"i-1": [1, 1, 1, 1]}
        heartbeats = []
        for number in (2**63, 2**64 - 1, -(2**63)):
            for position in (1, 2, 3):
                changed = [*facts[:position], number, *facts[position + 1 :]]
                heartbeats.append([changed, versions, loads, eras, [changed], False, 1, []])
            for other in ({"i-1": [number] * 4}, {f"s{n}": [1, 1, number, 1] for n in range(9)}):
                region = [["r2", number, other]]
                heartbeats.append([facts, versions, other, eras, [], False, number, region])
            ahead = {"op": number, "servers": number}
            heartbeats.append([facts, ahead, loads, [["op", number, True]], [], False, 1, []])
        await self.send_datagrams([msgpack.packb([1, *fields]) for fields in heartbeats] * 20)
        await self.stop()
        self.assertFalse('"fault"' in self.daemon.log.read_text(), "the daemon logged a fault")

    async def test_datagrams_that_name_very_many_daemons(self):
        datagrams = []
        for number in range(DATAGRAMS):
            relayed = [
                [f"10.{number // 250}.{number % 250}.{n}", 1, number, 1, f"zone-{n}", f"r-{number}"]
                for n in range(60)
            ]
            facts = [UNKNOWN_HOST, 1, number, 1, "z2", "r2"]
            datagrams.append(msgpack.packb([1, facts, {}, {}, [], relayed, False, 1, []]))
        await self.send_datagrams(datagrams)

    async def test_datagrams_that_name_very_many_servers(self):
        datagrams = []
        for number in range(DATAGRAMS):
            loads = {f"server-{number}-{n}": [1, 1, 1, 1] for n in range(200)}
            regions = [[f"r-{number}", 1, loads]]
            facts = [UNKNOWN_HOST, 1, number, 1, "z2", "r2"]
            datagrams.append(msgpack.packb([1, facts, {}, loads, [], [], False, 1, []]))
            datagrams.append(msgpack.packb([1, facts, {}, {}, [], [], False, 1, regions]))
        await self.send_datagrams(datagrams)

    async def test_datagrams_that_name_very_many_generations(self):
        datagrams = []
        for number in range(DATAGRAMS):
            runs = [[f"{number}-{n}-{'r' * 40}", 1, 1] for n in range(100)]
            datagrams.append(msgpack.packb([2, UNKNOWN_HOST, f"server-{number % 1500}", runs]))
        await self.send_datagrams(datagrams)

    async def test_datagrams_that_hold_very_many_rows(self):
        datagrams = []
        for number in range(3 * DATAGRAMS):
            row = ["op", f"note/{number}", os.urandom(7000), 10**9 + number]
            datagrams.append(msgpack.packb([4, "op", 0, [row], False]))
        await self.send_datagrams(datagrams)

    async def send_datagrams(self, datagrams):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((UNKNOWN_HOST, self.ports[4]))
        try:
            for data in datagrams:
                self.assertLess(len(data), 60000)
                sock.sendto(data, (HOST, self.ports[4]))
                await asyncio.sleep(0.001)
        finally:
            sock.close()
        await crowd.wait_until(self.is_serving, WAIT_S)
        await self.check()
