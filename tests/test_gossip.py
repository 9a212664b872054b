"""Tests of the datagrams between daemons."""

import asyncio
import json
import unittest
import zlib

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding import gossip
from lovageway.forwarding.load import Load
from lovageway.forwarding.members import MemberFacts
from lovageway.forwarding.migration import LeavingRun
from lovageway.forwarding.mirror import FIRST, Mirror
from lovageway.forwarding.model import Revision, Row
from lovageway.forwarding.poison import News, Suspect
from lovageway.forwarding.rowserver import RowServer
from lovageway.forwarding.statements import Report

FACTS = MemberFacts("10.0.0.1", 1, 2, 1, "z", "r")


class Messages(unittest.TestCase):
    def test_every_kind_comes_back_as_it_was(self):
        heartbeat = gossip.Heartbeat(
            FACTS,
            {"op": 7},
            {"i-1": Load(2, 300, 40, 100)},
            [("op", 2, True)],
            [FACTS],
            True,
        )
        other_region = gossip.RegionLoad("r2", 300, {"i-9": Load(4, 9000)})
        total = heartbeat._replace(daemons=64, other_regions=(other_region,))
        runs = gossip.LeavingRuns("10.0.0.1", "i-1", [LeavingRun("a", 200, 9000)])
        rows = gossip.Rows(
            "op",
            Revision(2, 6),
            [Row("op", "config", b"{}", 7, 2), Row("op", "a", None, 8, 2)],
            True,
        )
        added = gossip.LoadAdded(
            "10.0.0.1", {"i-1": Load(1, 300, 300), "i-2": Load(0, 300, 0, 300)}
        )
        suspect = Suspect(b"12345678", "part a of llm", ((b"1234", 20),), None, 1, True, True)
        poison = gossip.Poison("10.0.0.1", News([suspect], [(b"1234", 30)]))
        reports = [Report(b"1234", 3.7, 20), Report(b"1235", None, 30)]
        statements = gossip.Statements("10.0.0.1", reports)
        started, done = gossip.MigrationStarted("i-1", "a"), gossip.MigrationDone("i-1", "a")
        kinds = (heartbeat, total, runs, rows, started, done, added, poison, statements)
        for message in kinds:
            with self.subTest(kind=type(message).__name__):
                self.assertEqual(gossip.decode(gossip.encode(message)), message)

    def test_numbers_that_no_daemon_sends_are_not_read(self):
        # Guards against sums that no later message can carry.
        beat = gossip.Heartbeat(FACTS, {}, {}, [], [], False)
        for number in (2**53 + 1, 2**63, 2**64 - 1, -(2**63)):
            facts = FACTS._replace(counter=number)
            for message in (
                beat._replace(facts=facts),
                beat._replace(relayed=[facts]),
                beat._replace(versions={"op": number}),
                beat._replace(loads={"i-1": Load(1, number)}),
                beat._replace(daemons=number),
                gossip.LoadAdded("10.0.0.1", {"i-1": Load(1, 1, number)}),
                gossip.LeavingRuns("10.0.0.1", "i-1", [LeavingRun("a", number, 1)]),
                gossip.Rows("op", Revision(0, number), [], False),
            ):
                self.assertIsNone(gossip.decode(gossip.encode(message)))
        self.assertIsNone(gossip.decode(gossip.encode(gossip.Leaving("10.0.0.1", [b"x" * 65]))))

    def test_a_message_that_names_another_sender_is_dropped(self):
        # Guards against state attributed to the wrong daemon after its address was reassigned.
        seen = []
        reasons = []
        receiver = gossip.Gossip(seen.append, reasons.append)
        heartbeat = gossip.Heartbeat(FACTS, {}, {}, [], [], False)
        receiver.datagram_received(gossip.encode(heartbeat), ("10.0.0.2", 7200))
        receiver.datagram_received(gossip.encode(heartbeat), ("10.0.0.1", 7200))
        self.assertEqual((len(seen), receiver.rejected), (1, 1))
        added = gossip.encode(gossip.LoadAdded("10.0.0.1", {"i-1": Load(24, 30000)}))
        receiver.datagram_received(added, ("10.0.0.2", 7200))
        runs = gossip.encode(gossip.LeavingRuns("10.0.0.1", "i-1", []))
        receiver.datagram_received(runs, ("10.0.0.2", 7200))
        poison = gossip.encode(gossip.Poison("10.0.0.1", News([], [])))
        receiver.datagram_received(poison, ("10.0.0.2", 7200))
        receiver.datagram_received(b"\xc1", ("10.0.0.1", 7200))
        self.assertEqual((len(seen), receiver.rejected), (1, 5))
        self.assertEqual(reasons, ["another sender"] * 4 + ["unreadable"])

    @settings(derandomize=True)
    @given(st.binary(max_size=100))
    def test_any_bytes_are_decoded_or_dropped(self, data):
        # Fuzzing: no datagram may crash the daemon.
        gossip.decode(data)

    def test_fields_of_another_type_are_dropped_and_cost_no_memory(self):
        # Guards against a mark that is a number, for which bytes(n) would allocate gigabytes, and
        # against infinity or NaN in place of a count.
        heartbeat = list(gossip.Heartbeat(FACTS, {}, {}, [], [], False))
        wrong = (
            (2, {"i-1": [float("inf"), 1]}),
            (2, {"i-1": [1, 2, 3, 4, 5]}),
            (1, [["op", 1]]),
            (0, [[1], 2, 3, 4, 5]),
            (7, float("nan")),
            (8, [["r", float("inf"), {}]]),
        )
        for place, value in wrong:
            with self.subTest(place=place, value=value):
                fields = [*heartbeat[:place], value, *heartbeat[place + 1 :]]
                self.assertIsNone(gossip.decode(msgpack.packb([gossip.HEARTBEAT, *fields])))
        for suspects, alive in (
            ([[10**12, "", [], None, 0, False, False]], []),
            ([["text", "", [], None, 0, False, False]], []),
            ([[b"12345678", "", [[10**12, 1]], None, 0, False, False]], []),
            ([[b"12345678", "", [], float("inf"), 0, False, False]], []),
            ([[b"12345678", "", [], None, float("nan"), False, False]], []),
            ([], [[10**12, 1]]),
        ):
            with self.subTest(suspects=suspects, alive=alive):
                fields = [gossip.POISON, "10.0.0.1", suspects, alive]
                self.assertIsNone(gossip.decode(msgpack.packb(fields)))
        suspect = [b"12345678", "", [[b"1234", -5000]], -5000, 0, False, False]
        data = msgpack.packb([gossip.POISON, "10.0.0.1", [suspect], [[b"1234", -5000]]])
        news = gossip.decode(data).news
        self.assertEqual((news.alive, news.suspects[0].answered_ms), ([(b"1234", 0)], 0))
        row = msgpack.packb([gossip.ROWS, "op", 1, [["op", "config", 10**12, 2]], False])
        self.assertIsNone(gossip.decode(row))
        self.assertIsNone(gossip.decode(b"\x91" * 5000))

    def test_a_heartbeat_with_thousands_of_servers_fits_into_a_datagram(self):
        # Guards against a region that receives neither load nor membership from its aggregators
        # because the total load of 3,000 servers exceeds a datagram. A sweep found this.
        loads = {f"i-{n:010d}": Load(n % 24, 100_000 + n, n, n) for n in range(3000)}
        regions = tuple(gossip.RegionLoad(f"region-{n}", 1000, loads) for n in range(2))
        relayed = [FACTS._replace(ip=f"10.200.100.{n}", counter=10**6 + n) for n in range(40)]
        versions = {"op": 10**6, "servers": 10**6}
        heartbeat = gossip.Heartbeat(FACTS, versions, loads, [], relayed, False, 300, regions)
        found = gossip.fit_to_datagram(heartbeat)
        self.assertLessEqual(len(gossip.encode(found)), gossip.MAX_DATAGRAM_BYTES)
        self.assertEqual(len(found.loads), gossip.MAX_SERVERS)
        self.assertEqual(max(loads), max(found.loads))
        self.assertTrue(all(part.loads for part in found.other_regions))
        few = heartbeat._replace(loads={"i-1": Load(1, 2)}, other_regions=())
        self.assertEqual(gossip.fit_to_datagram(few), few)


class Transfer(unittest.IsolatedAsyncioTestCase):
    """Guards against large configurations that reach daemons late over shared links."""

    HOST = "127.0.0.1"

    def setUp(self):
        routes = [{"name": f"route-{n}", "prefix": f"/{n * 7919:x}/"} for n in range(3000)]
        self.row = Row("op", "config", json.dumps({"routes": routes}).encode(), 9, 1)
        self.mirror = Mirror()
        self.mirror.replace("op", [self.row], Revision(1, 9))

    async def serve(self, on_connection):
        server = await asyncio.start_server(on_connection, self.HOST, 0)

        async def stop():
            server.close()
            await asyncio.sleep(0.01)  # the closed connections end

        self.addAsyncCleanup(stop)
        return server.sockets[0].getsockname()[1]

    async def serve_rows(self, reader, writer):
        server = RowServer(self.mirror, lambda: False, lambda address: True)
        await server.serve(reader, writer)

    async def answer_to(self, *fields):
        """Return the body of the answer to a request."""
        port = await self.serve(self.serve_rows)
        reader, writer = await asyncio.open_connection(self.HOST, port)
        request = msgpack.packb(fields)
        writer.write(len(request).to_bytes(4, "big") + request)
        body = await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big"))
        writer.close()
        return body

    async def test_a_large_configuration_is_sent_in_a_fraction_of_its_size(self):
        body = await self.answer_to("op", 0, 0, gossip.COMPRESSED)
        self.assertLess(len(body), len(self.row.value) / 4)
        port = await self.serve(self.serve_rows)
        pulled = await gossip.pull_rows(self.HOST, port, "op", FIRST)
        self.assertEqual(pulled.rows, [self.row])

    async def test_daemons_of_earlier_versions_are_understood(self):
        body = await self.answer_to("op", 0, 0)
        self.assertEqual(len(msgpack.unpackb(body)), 6)

        async def earlier(reader, writer):
            await reader.read(1024)
            writer.write(len(body).to_bytes(4, "big") + body)
            writer.close()

        pulled = await gossip.pull_rows(self.HOST, await self.serve(earlier), "op", FIRST)
        self.assertEqual(pulled.rows, [self.row])

    async def test_an_answer_that_makes_progress_is_read_to_its_end(self):
        # Guards against pulls that share a link, all of which end without effect after a second.
        body = await self.answer_to("op", 0, 0)

        async def slow(reader, writer):
            await reader.read(1024)
            data = len(body).to_bytes(4, "big") + body
            for start in range(0, len(data), len(data) // 6 + 1):
                writer.write(data[start : start + len(data) // 6 + 1])
                await asyncio.sleep(0.3)
            writer.close()

        pulled = await gossip.pull_rows(self.HOST, await self.serve(slow), "op", FIRST)
        self.assertEqual(pulled.rows, [self.row])

    async def test_an_answer_that_grows_beyond_the_limit_is_refused(self):
        # Guards against a small message that takes the memory of the daemon.
        body = zlib.compress(b"\x00" * (gossip.MAX_ROWS_BYTES + 1))

        async def bomb(reader, writer):
            await reader.read(1024)
            writer.write(len(body).to_bytes(4, "big") + body)
            writer.close()

        with self.assertRaisesRegex(OSError, "larger than the limit"):
            await gossip.pull_rows(self.HOST, await self.serve(bomb), "op", FIRST)
