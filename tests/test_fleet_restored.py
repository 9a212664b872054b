"""A fleet whose store comes back from an older copy, in virtual time.

Load pattern: hundreds of daemons, two of each region watch the store for all; the store loses what
it has confirmed, and versions are given out again.
"""

import asyncio
import json
import unittest

from standins.replica import Replica

from lovageway.forwarding.peers import MEMBERS_READ_INTERVAL_S, REWRITE_SPREAD_S
from tests.fleetworld import run, started
from tests.relayworld import config
from tests.test_fleet_rows import APPLY_S

DAEMONS = 48


class Restored(unittest.TestCase):
    async def returned(self, worlds, *, loses=True):
        """Return a fleet that has configuration 3, an evacuation and no server i-1, all lost.

        Without `loses`, the store was away and lost nothing.
        """
        world = await started(worlds, DAEMONS)
        copied = world.copy()
        world.put("op", "config", json.dumps(config(2)).encode())
        world.put("op", "config", json.dumps(config(3, tenants=[])).encode())
        world.put("op", "evacuate/z9", b"{}")
        world.put("servers", "i-1", None)
        world.put("servers", "i-2", json.dumps(Replica("i-2").entry()).encode())
        await asyncio.sleep(APPLY_S)
        self.assertEqual({*world.versions().values()}, {3})
        self.assertTrue(all(world.state(ip).replicas.get("i-2") for ip in world.ips))
        world.store_refuses.update(world.ips)
        await asyncio.sleep(1.0)
        if loses:
            world.restore(copied)
        world.store_refuses.clear()
        return world

    def check_confirmed(self, world):
        for ip in world.ips:
            state = world.state(ip)
            self.assertEqual((ip, state.routes.cfg.version), (ip, 3))
            self.assertEqual(state.routes.cfg.accounts, {})
            self.assertIn("z9", state.replicas._evacuated)
            entry = state.replicas.get("i-1")
            self.assertTrue(entry is None or entry.leaving, ip)

    def test_what_was_confirmed_holds_on_all_daemons_and_on_those_that_start(self):
        # Guards against a withdrawn key, a server that left or a zone that is used again, at a
        # daemon that missed the return or started after it.
        async def scenario(worlds):
            world = await self.returned(worlds)
            for _ in range(16):
                await asyncio.sleep(0.25)
                self.check_confirmed(world)
            for ip in (world.ips[0], world.ips[20], world.ips[33]):
                world.stop(ip)
                world.start(ip)
            await asyncio.sleep(APPLY_S)
            self.check_confirmed(world)

        run(scenario)

    def test_a_change_after_the_return_is_in_force_in_time_on_all_daemons(self):
        async def scenario(worlds):
            world = await self.returned(worlds)
            await asyncio.sleep(2.0)
            number = world.version
            world.put("op", "config", json.dumps(config(4)).encode())
            self.assertEqual(number, world.version - 1)
            await asyncio.sleep(APPLY_S)
            self.assertEqual({*world.versions().values()}, {4})

        run(scenario)

    def test_a_change_before_the_daemons_reach_the_store_again_is_in_force_in_time(self):
        async def scenario(worlds):
            world = await self.returned(worlds)
            world.put("op", "config", json.dumps(config(4)).encode())
            await asyncio.sleep(APPLY_S)
            self.assertEqual({*world.versions().values()}, {4})

        run(scenario)

    def test_a_server_that_the_copy_lacks_is_used_until_it_had_the_time_to_write_again(self):
        async def scenario(worlds):
            world = await self.returned(worlds)
            await asyncio.sleep(1.5)
            for ip in world.ips:
                self.assertFalse(world.state(ip).replicas.get("i-2").leaving)
            await asyncio.sleep(4.0)
            for ip in world.ips:
                self.assertTrue(world.state(ip).replicas.get("i-2").leaving)

        run(scenario)

    def test_daemons_write_their_rows_again_spread_over_time(self):
        # Guards against daemons that nobody finds after the store lost their rows, and against
        # hundreds of writes in one moment.
        async def scenario(worlds):
            world = await self.returned(worlds)
            world.rows["daemons"].clear()
            most = written = 0
            for _ in range(int(MEMBERS_READ_INTERVAL_S + REWRITE_SPREAD_S) + 8):
                await asyncio.sleep(1.0)
                most = max(most, len(world.rows["daemons"]) - written)
                written = len(world.rows["daemons"])
            self.assertEqual(written, DAEMONS)
            self.assertLess(most, DAEMONS / 3)

        run(scenario)

    def test_a_return_costs_few_more_calls_than_an_outage(self):
        # Guards against all daemons that read all tables at once.
        calls = []

        async def scenario(worlds, loses):
            world = await self.returned(worlds, loses=loses)
            before = world.calls
            await asyncio.sleep(2.0)
            calls.append(world.calls - before)

        for loses in (False, True):
            run(lambda worlds, loses=loses: scenario(worlds, loses))
        self.assertLess(calls[1] - calls[0], DAEMONS)
