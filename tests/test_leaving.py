"""Servers that say that they leave, or that they want nothing for a while, in answers only."""

import asyncio

from standins.caller import WAIT_S
from standins.replica import Engine, Replica

from lovageway.forwarding.model import ServerLoad
from lovageway.forwarding.replicas import MAX_BACK_OFF_S, SLOWNESS_HALF_LIFE_S, Entry
from tests.relayworld import RelayCase, route
from tests.replicabuilders import replica
from tests.test_streams import LONG, NO_COPIES, STREAM


class Calls(RelayCase):
    daemons = 2

    async def test_a_server_that_says_that_it_leaves_gets_nothing_more_from_any_daemon(self):
        # Guards against requests that a server cuts off since the store does not tell that it
        # leaves, at the daemon that got the answer and at the others.
        leaving, other = Replica("i-1"), Replica("i-2", "127.0.0.2")
        await self.serve(leaving, other)
        leaving.says_leaving = True
        while not leaving.executions:
            await self.ask()
        for relay in self.relays:
            entry = relay.state.replicas.get("i-1")
            await self.until(lambda entry=entry: entry.leaving)
        before = len(leaving.requests)
        for number in range(20):
            self.assertEqual((await self.ask(number % 2, attempt=f"x-{number}")).status, 200)
        self.assertEqual(len(leaving.requests), before)

    async def test_a_new_start_of_the_server_is_used_again(self):
        # Guards against a notice that outlives the process that gave it.
        server = Replica("i-1")
        await self.serve(server)
        server.says_leaving = True
        await self.ask()
        server.says_leaving = False
        self.assertEqual((await self.ask(attempt="id-2")).status, 503)
        self.store.put("servers", "i-1", server.entry(born=1700000000001))
        await self.until(lambda: not self.relays[0].state.replicas.get("i-1").leaving)
        self.assertEqual((await self.ask(attempt="id-3")).status, 200)

    async def test_a_server_gets_nothing_for_as_long_as_it_asked(self):
        # Guards against requests that a full server has to refuse again and again.
        full, other = Replica("i-1"), Replica("i-2", "127.0.0.2")
        full.behaviour, full.back_off_s = "shed", 60
        await self.serve(full, other, routes=[route()])
        number = 0
        while not full.requests:
            number += 1
            await self.ask(attempt=f"a-{number}")
        for number in range(30):
            self.assertEqual((await self.ask(attempt=f"b-{number}")).status, 200)
        self.assertEqual(len(full.requests), 1)


class Generations(RelayCase):
    async def test_an_engine_is_asked_while_the_store_is_away(self):
        # Guards against generations that end with an engine whose notice nobody reads, as its
        # entry in the store does not change while the store is away.
        engines = [Engine(f"i-{n}", f"127.0.0.{n}", events=400) for n in (1, 2)]
        for engine in engines:
            engine.event_interval_s = 0.02
        await self.serve(*engines, routes=[STREAM], services=NO_COPIES)
        # The stream takes 8 s by itself.
        ask = self.ask(method="POST", target="/a/x", body=b"p", wait_s=3 * WAIT_S, **LONG)
        asked = asyncio.create_task(ask)
        await self.until(lambda: any(engine.generated_events for engine in engines))
        source = next(engine for engine in engines if engine.generated_events)
        self.store.mode = "reset"
        await self.until(lambda: source.probes)
        source.says_leaving = True
        reply = await asked
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body.count(b"id: "), 400)
        other = next(engine for engine in engines if engine is not source)
        self.assertEqual(other.continuations, ["id-1"])

    async def test_engines_are_not_asked_in_calm(self):
        # Guards against questions to all servers that cost much and tell nothing new.
        engine = Engine()
        await self.serve(engine, routes=[STREAM])
        for _ in range(3):
            self.relays[0]._peers.tick(self.relays[0].state.clock())
        self.assertEqual(engine.probes, 0)


class Words(RelayCase):
    def test_the_slowness_that_a_server_reports_ages_fast(self):
        # Guards against a figure that changes many times a second and is believed for long.
        entry, load = Entry(replica(), 0.0), (1, 0, 8, 3.0)
        entry.on_load(ServerLoad(*load), 1.0)
        first = entry.slowness(1.0)
        self.assertGreater(first, 1.5)
        self.assertAlmostEqual(entry.slowness(1.0 + SLOWNESS_HALF_LIFE_S) - 1.0, (first - 1.0) / 2)
        for tick in range(20):
            entry.on_load(ServerLoad(*load), 1.0 + tick / 10)
        self.assertGreater(entry.slowness(2.9), 2.5)
        entry.on_load(ServerLoad(1, 0, 8), 3.0)
        self.assertLess(entry.slowness(13.0), 1.01)

    def test_a_server_is_tried_again_after_the_longest_back_off(self):
        # Guards against a server that is banned for ever by a huge value.
        entry = Entry(replica(), 0.0)
        for seconds in (1e12, float("inf"), -5.0):
            entry.on_back_off(seconds, 1.0)
            self.assertLessEqual(entry.back_off_until, 1.0 + MAX_BACK_OFF_S)
