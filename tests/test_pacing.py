"""Tests of paced rounds, and of what daemons know of each other's load over narrow links."""

import asyncio
import unittest
from random import Random

from lovageway.forwarding.load import Load
from lovageway.forwarding.pacing import PacedRound
from tests.fleetworld import run, started

DAEMONS, ENGINES, RUNS = 64, 36, 4
LINK_BYTES_PER_S, LINK_QUEUE_BYTES = 625_000, 32_000
MIN_KNOWN_SHARE = 0.9  # of the true load at the engines


class Rounds(unittest.TestCase):
    def groups(self, paced):
        found = []
        while group := paced.next_group():
            found.append(group)
        return found

    def test_a_round_is_spread_over_its_slots(self):
        # Guards against bursts that overflow the queue of a narrow link.
        paced = PacedRound(0.4, 0.1)
        paced.start([str(number) for number in range(10)])
        groups = self.groups(paced)
        self.assertEqual([len(group) for group in groups], [3, 3, 3, 1])
        self.assertEqual(sum(groups, []), [str(number) for number in range(10)])

    def test_a_round_that_is_cut_short_leaves_no_destination_out(self):
        # Guards against daemons at the end of the order that receive nothing while changes of
        # state begin one round after another.
        paced = PacedRound(0.4, 0.1)
        paced.start(["a", "b", "c", "d"])
        self.assertEqual(paced.next_group(), ["a"])
        paced.start(["a", "b", "c", "e"])
        self.assertEqual(sum(self.groups(paced), []), ["b", "c", "a", "e"])

    def test_an_empty_round_ends_at_once(self):
        paced = PacedRound(0.4, 0.1)
        paced.start([])
        self.assertEqual(paced.next_group(), [])


class Knowledge(unittest.TestCase):
    def test_every_daemon_knows_the_load_of_all_regions_over_narrow_links(self):
        # Load pattern: 64 daemons in three regions, generations on all engines, and links of
        # 5 Mbit/s. Guards against aggregators that send their totals in one burst, whose last
        # datagrams, those for other regions, are lost in every round: the daemons then placed
        # half of their prompts on engines of other regions that looked idle.
        async def scenario(worlds):
            world = await started(worlds, DAEMONS, links=(LINK_BYTES_PER_S, LINK_QUEUE_BYTES))
            await asyncio.sleep(4.0)
            rng = Random(1)
            truth = {f"engine-{number}-0000": Load(0, 0) for number in range(ENGINES)}
            for ip in world.ips:
                for engine in rng.choices(list(truth), k=RUNS):
                    world.state(ip).load_tracker.add(engine, 3500)
                    truth[engine] += Load(1, 3500)
            await asyncio.sleep(3.0)
            for _ in range(4):
                await asyncio.sleep(0.35)
                for ip in world.ips:
                    tracker, now = world.state(ip).load_tracker, world.loop.time()
                    known = sum(tracker.at(engine, now).requests for engine in truth)
                    share = known / sum(load.requests for load in truth.values())
                    self.assertGreaterEqual(share, MIN_KNOWN_SHARE, ip)
                    self.assertLessEqual(share, 1.0, ip)
                    self.assertEqual(world.state(ip).regions_without_load(now), set(), ip)

        run(scenario)

    def test_a_region_that_is_cut_off_is_shown_to_operators(self):
        # Guards against a daemon that silently takes the engines of a region for idle.
        async def scenario(worlds):
            world = await started(worlds, DAEMONS)
            await asyncio.sleep(4.0)
            world.mute = {ip for ip in world.ips if world.region[ip] == "r2"}
            await asyncio.sleep(3.0)
            for ip in set(world.ips) - world.mute:
                lost = world.state(ip).regions_without_load(world.loop.time())
                self.assertEqual(lost, {"r2"}, ip)
            world.mute = set()
            await asyncio.sleep(6.0)
            for ip in world.ips:
                lost = world.state(ip).regions_without_load(world.loop.time())
                self.assertEqual(lost, set(), ip)

        run(scenario)


if __name__ == "__main__":
    unittest.main()
