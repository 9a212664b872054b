"""Tests of the choice of a server for a request."""

import unittest
from random import Random

from lovageway.forwarding import placement
from lovageway.forwarding.load import Load, LoadTracker
from lovageway.forwarding.placement import Work, choose
from lovageway.forwarding.replicas import Entry
from tests.replicabuilders import generation, replica, service


def work(with_engine=True, **fields):
    requested = generation() if with_engine else None
    defaults = Work(service(with_engine=with_engine), requested, "z1", "r-z1", frozenset())
    return defaults._replace(**fields)


def entries(*names, zone="z1"):
    return [Entry(replica(name, zone=zone), 0.0) for name in names]


class Engines(unittest.TestCase):
    def setUp(self):
        self.load_tracker = LoadTracker()

    def choose(self, found, **fields):
        return choose(work(**fields), found, self.load_tracker, 0.0, Random(1))

    def test_long_generations_fill_no_engine_beyond_its_memory(self):
        # Long generations arrive at once. Placing them by the least requests alone would overfill
        # the engines.
        found = entries("i-1", "i-2")
        placed = 0
        for _ in range(100):
            if (entry := self.choose(found)) is None:
                break
            self.load_tracker.add(entry.id, placement.expected_memory(generation()))
            placed += 1
        room = 34000 * placement.MAX_MEMORY_SHARE
        for entry in found:
            self.assertLessEqual(self.load_tracker.at(entry.id, 0.0).tokens, room)
        self.assertEqual(placed, 2 * int(room // placement.expected_memory(generation())))

    def test_the_load_of_other_daemons_counts(self):
        # All daemons see the same idle engine. If each counted only its own requests, all of them
        # would send to it.
        found = entries("i-1", "i-2")
        self.load_tracker.on_peer("b", {"i-1": Load(7, 20000)}, 0.0)
        self.assertEqual(self.choose(found).id, "i-2")

    def test_the_load_of_other_regions_counts_as_one_sum_each(self):
        # In a large fleet, daemons receive single loads from daemons of their own region only.
        self.load_tracker.add("i-1", 100)
        self.load_tracker.on_peer("b", {"i-1": Load(1, 200)}, 0.0)
        self.load_tracker.on_other_region("r2", {"i-1": Load(5, 5000)}, 0.0)
        self.load_tracker.on_other_region("r2", {"i-1": Load(4, 4000)}, 0.1)
        self.assertEqual(self.load_tracker.at("i-1", 0.2), Load(6, 4300))
        self.assertEqual(self.load_tracker.total(0.2), {"i-1": Load(2, 300)})
        self.assertEqual(self.load_tracker.at("i-1", 9.0), Load(1, 100))

    def test_load_that_a_peer_added_counts_until_its_next_report_contains_it(self):
        # Prompts arrive at many daemons between two ticks. Guards against counting them twice once
        # the next full report arrives, and counting them forever if the peer dies.
        self.load_tracker.on_peer("b", {"i-1": Load(1, 200)}, 0.0)
        self.load_tracker.on_peer_added(
            "b", {"i-1": Load(1, 300, 300), "i-2": Load(0, 300, 0, 300)}, 0.1
        )
        self.assertEqual(self.load_tracker.at("i-1", 0.1), Load(2, 500, 300))
        self.assertEqual(self.load_tracker.at("i-2", 0.1), Load(0, 300, 0, 300))
        self.load_tracker.on_peer("b", {"i-1": Load(2, 500, 300)}, 0.5)
        self.assertEqual(self.load_tracker.at("i-1", 0.5), Load(2, 500, 300))
        self.load_tracker.on_peer_added("c", {"i-1": Load(1, 300, 300)}, 0.6)
        self.assertEqual(self.load_tracker.at("i-1", 5.0), Load(0, 0))

    def test_where_remote_loads_are_stale_work_stays_in_its_region(self):
        # In a large fleet, all daemons of other regions see the same engine idle for seconds, and
        # their prompts would queue there behind one another.
        found = entries("i-1", "i-2") + entries("i-3", "i-4", zone="z2")
        for _ in range(2):
            self.load_tracker.add("i-1", 3000)
            self.load_tracker.add("i-2", 3000)
        self.assertIn(self.choose(found, remote_loads_stale=True).id, ("i-1", "i-2"))
        for _ in range(4):
            self.load_tracker.add("i-1", 3000)
            self.load_tracker.add("i-2", 3000)
        self.assertIn(self.choose(found, remote_loads_stale=True).id, ("i-3", "i-4"))

    def test_stale_loads_of_a_peer_are_not_used(self):
        # Guards against an engine that gets no work because a daemon that had work there died.
        self.load_tracker.on_peer("b", {"i-1": Load(24, 34000)}, 0.0)
        found = entries("i-1")
        self.assertIsNone(choose(work(), found, self.load_tracker, 0.5, Random(1)))
        self.assertIsNotNone(choose(work(), found, self.load_tracker, 2.0, Random(1)))

    def test_a_burst_spreads_over_the_engines_by_the_prompts_that_wait(self):
        # An engine has just joined and is empty. Without the count of unread prompts, all prompts
        # of a second would queue there.
        found = entries("i-1", "i-2")
        for _ in range(3):
            self.load_tracker.add("i-1", 3000)
        for _ in range(2):
            self.load_tracker.add("i-2", 3000)
            self.load_tracker.add_unread("i-2", 3000)
        self.assertEqual(self.choose(found).id, "i-1")
        self.load_tracker.add_unread("i-2", -6000)
        self.assertEqual(self.choose(found).id, "i-2")

    def test_long_generations_go_where_an_engine_can_leave(self):
        # An engine leaves every few seconds. Its generations can migrate in time only within its
        # own region, and region z2 has a single engine.
        found = entries("i-1", "i-2") + entries("i-3", zone="z2")
        placed = {"i-1": 0, "i-2": 0, "i-3": 0}
        for _ in range(9):
            entry = self.choose(found)
            self.load_tracker.add(entry.id, placement.expected_memory(generation()))
            placed[entry.id] += 1
        self.assertEqual(placed["i-3"], 0)
        self.assertLessEqual(abs(placed["i-1"] - placed["i-2"]), 1)

    def test_beyond_what_a_region_can_migrate_the_load_is_balanced(self):
        # There are more long generations than the regions could migrate off an engine. Guards
        # against filling one region although a further generation could not migrate in any.
        found = entries("i-1", "i-2") + entries("i-3", zone="z2")
        for _ in range(12):
            entry = self.choose(found)
            self.load_tracker.add(entry.id, placement.expected_memory(generation()))
        self.assertGreater(self.load_tracker.at("i-3", 0.0).requests, 0)

    def test_checkpoints_do_not_count_as_generations_to_migrate(self):
        # Guards against a region that looks full because each generation has a checkpoint there.
        # A generation that continues from its checkpoint needs no further memory.
        found = entries("i-1", "i-2") + entries("i-3", zone="z2")
        expected_memory = placement.expected_memory(generation())
        for name, other in (("i-1", "i-2"), ("i-2", "i-1")):
            for _ in range(3):
                self.load_tracker.add(name, expected_memory)
                self.load_tracker.add_checkpoint(other, expected_memory)
        self.assertNotEqual(self.choose(found).id, "i-3")

    def test_short_and_resumable_generations_go_to_the_least_load(self):
        # Guards against short calls that queue behind long prompts although an engine is idle.
        found = entries("i-1", "i-2") + entries("i-3", zone="z2")
        for name in ("i-1", "i-2"):
            self.load_tracker.add(name, 4000)
        self.assertEqual(self.choose(found, resumable=True).id, "i-3")
        self.assertEqual(self.choose(found, generation=generation(limit=20, hint=16)).id, "i-3")

    def test_a_generation_that_fits_nowhere_still_runs_on_an_empty_engine(self):
        # Guards against one huge request that waits forever.
        huge = generation(prompt=40000)
        self.assertIsNotNone(self.choose(entries("i-1"), generation=huge))

    def test_no_more_generations_than_slots(self):
        # Guards against short requests that queue in an engine whose slots are all in use.
        for _ in range(24):
            self.load_tracker.add("i-1", 10)
        self.assertIsNone(self.choose(entries("i-1")))

    def test_an_engine_that_failed_recently_comes_last(self):
        # Guards against further work for an engine that fails the generations it runs.
        found = entries("i-1", "i-2")
        found[0].on_failure(0.0)
        self.assertEqual(self.choose(found).id, "i-2")


class PlainServers(unittest.TestCase):
    def setUp(self):
        self.load_tracker = LoadTracker()

    def choose(self, found, now=0.0, **fields):
        return choose(work(with_engine=False, **fields), found, self.load_tracker, now, Random(1))

    def test_the_near_server_serves_until_its_slots_are_in_use(self):
        # All calls come from one zone. A server of another region costs time and traffic.
        found = entries("i-1") + entries("i-2", zone="z2")
        self.assertEqual(self.choose(found).id, "i-1")
        for _ in range(6):
            self.load_tracker.add("i-1", 0)
        self.assertEqual(self.choose(found).id, "i-2")

    def test_a_server_that_fails_part_of_its_calls_is_avoided_and_tried_again(self):
        # A partly failing server fails calls while its health check passes.
        found = entries("i-1") + entries("i-2", zone="z2")
        found[0].on_failure(0.0)
        self.assertEqual(self.choose(found).id, "i-2")
        self.assertEqual(self.choose(found, now=30.0).id, "i-1")

    def test_a_server_that_was_tried_is_not_tried_first_again(self):
        # Guards against a second attempt at the server that failed the first.
        found = entries("i-1", "i-2")
        self.assertEqual(self.choose(found, avoid=frozenset({"i-1"})).id, "i-2")

    def test_calls_wait_here_when_every_server_is_full(self):
        # During a burst, calls beyond the slots would only queue in the servers and run late.
        found = entries("i-1")
        for _ in range(8):
            self.load_tracker.add("i-1", 0)
        self.assertIsNone(self.choose(found))
