"""Tests of which generations migrate to another engine, in which order and where to."""

import unittest

from lovageway.forwarding import migration
from lovageway.forwarding.load import Load, LoadTracker
from lovageway.forwarding.migration import LeavingRun, MigrationSchedule, RunState
from lovageway.forwarding.replicas import Entry
from tests.replicabuilders import engine, replica, service

RUN = RunState(prompt=3000, generated=400, expected=1000, limit=1500, seconds_per_token=0.01)
BEGUN = RUN._replace(generated=0)


def entry(name, zone="z1", region="r1"):
    return Entry(replica(name, zone=zone, region=region), 0.0)


class Destinations(unittest.TestCase):
    def setUp(self):
        self.load_tracker = LoadTracker()
        self.source = entry("i-1")

    def destination(self, *entries, left_s=1.8):
        found = migration.destination(
            service(), self.source, RUN, list(entries), self.load_tracker, left_s, 0.0
        )
        return found.id if found is not None else None

    def test_a_near_engine_goes_before_an_idle_one_far_away(self):
        # An engine leaves, and a copy between regions takes nine times as long.
        self.load_tracker.add("i-2", 4000)
        self.assertEqual(self.destination(entry("i-2"), entry("i-3", "z2", "r2")), "i-2")

    def test_a_full_engine_is_skipped(self):
        # Guards against migrations that are refused and use up the notice.
        self.load_tracker.on_peer("b", {"i-2": Load(8, 33000)}, 0.0)
        self.assertEqual(self.destination(entry("i-2"), entry("i-3", "z1b")), "i-3")

    def test_a_copy_that_cannot_end_in_time_is_not_started(self):
        # Guards against a copy that blocks the link for the others and still comes too late.
        far = entry("i-3", "z2", "r2")
        self.assertEqual(self.destination(far, left_s=1.9), "i-3")
        self.assertIsNone(self.destination(far, left_s=0.5))

    def test_the_duration_of_a_copy_depends_on_its_size_and_distance(self):
        near, zone, region = entry("i-2"), entry("i-3", "z2"), entry("i-4", "z3", "r3")
        times = [migration.copy_s(engine(), RUN, self.source, to) for to in (near, zone, region)]
        self.assertAlmostEqual(times[0], 0.21, delta=0.01)
        self.assertLess(times[0], times[1])
        self.assertLess(times[1], times[2])


class Checkpoints(unittest.TestCase):
    def backup(self, *entries, run=BEGUN, load_tracker=None):
        load_tracker = load_tracker or LoadTracker()
        found = migration.backup(service(), entry("i-1"), run, list(entries), load_tracker, 0.0)
        return found.id if found is not None else None

    def test_a_long_generation_gets_a_checkpoint_near_its_engine(self):
        # Engines leave every few seconds, while generations take eight.
        self.assertEqual(self.backup(entry("i-3", "z2", "r2"), entry("i-2")), "i-2")

    def test_a_short_generation_gets_none(self):
        # Guards against checkpoints that cost more than they save.
        self.assertIsNone(self.backup(entry("i-2"), run=BEGUN._replace(expected=100, limit=120)))

    def test_checkpoints_leave_memory_for_generations(self):
        # During a burst, checkpoints would use the memory of new generations.
        load_tracker = LoadTracker()
        load_tracker.add("i-2", int(migration.MAX_CHECKPOINT_SHARE * 34000))
        self.assertIsNone(self.backup(entry("i-2"), load_tracker=load_tracker))

    def test_engines_half_full_of_generations_keep_no_checkpoints(self):
        # Load pattern: generations fill half of each engine and an engine leaves every few seconds.
        # Guards against checkpoints that take the room which its generations need elsewhere.
        load_tracker = LoadTracker()
        for name in ("i-2", "i-3"):
            load_tracker.on_peer(f"peer of {name}", {name: Load(5, engine().memory_tokens // 2)}, 0)
        self.assertIsNone(self.backup(entry("i-2"), entry("i-3"), load_tracker=load_tracker))

    def test_no_checkpoint_leaves_the_region(self):
        # Long generations run on every engine. Guards against checkpoints that occupy a link
        # between regions for two seconds each while migrations off a leaving engine wait for it.
        far = entry("i-3", "z2", "r2")
        load_tracker = LoadTracker()
        load_tracker.add("i-2", int(migration.MAX_CHECKPOINT_SHARE * 34000))
        self.assertIsNone(self.backup(entry("i-2"), far, load_tracker=load_tracker))
        self.assertIsNone(self.backup(far))

    def test_the_engine_itself_keeps_no_checkpoint(self):
        self.assertIsNone(self.backup(entry("i-1")))


class Order(unittest.TestCase):
    def setUp(self):
        self.schedule = MigrationSchedule()
        self.schedule.on_runs(
            "s", [LeavingRun("long", 900, 20000), LeavingRun("b", 200, 9000)], 0.0
        )
        self.schedule.on_runs("s", [LeavingRun("a", 200, 9000)], 0.01)

    def may_start(self, now):
        return [run for run in ("a", "b", "long") if self.schedule.may_start("s", run, now)]

    def test_what_other_daemons_report_is_limited(self):
        # Guards against an unknown host whose messages name ever more generations.
        most = MigrationSchedule.MAX_RUNS
        for number in range(2 * most):
            self.schedule.on_runs("s", [LeavingRun(f"n-{number}", 1, 1)], 0.02, "daemon")
            self.schedule.on_started("s", f"n-{number}", 0.02)
            self.schedule.on_finished("s", f"n-{number}")
            self.schedule.on_runs(f"s-{number}", [LeavingRun("n", 1, 1)], 0.02, "daemon")
        notices = self.schedule._notices
        self.assertEqual(len(notices), MigrationSchedule.MAX_NOTICES)
        notice = notices["s"]
        sizes = [len(notice.runs), len(notice.started_at), len(notice.finished)]
        self.assertLessEqual(max(sizes), most)

    def test_nothing_starts_before_the_reports_of_all_daemons_arrived(self):
        # Guards against two daemons that both start the first migration.
        self.assertEqual(self.may_start(0.02), [])

    def test_one_at_a_time_and_most_value_for_the_time_first(self):
        # A full engine leaves, and copies that overlap would all end after it is gone.
        self.assertEqual(self.may_start(0.06), ["a"])
        self.schedule.on_finished("s", "a")
        self.assertEqual(self.may_start(0.07), ["a", "b"])
        self.schedule.on_finished("s", "b")
        self.assertEqual(self.may_start(0.08), ["a", "b", "long"])

    def test_a_daemon_that_sends_nothing_more_delays_others_only_for_its_time(self):
        # Guards against migrations that wait for a daemon that was killed.
        self.assertIn("b", self.may_start(0.06 + 1.3 * 0.2 + MigrationSchedule.CALL_OVERHEAD_S))

    def test_a_short_copy_whose_calls_take_long_is_not_overtaken(self):
        # Guards against copies that overlap because a busy daemon's calls take longer than its
        # copy. This happened on a loaded machine: a copy of 20 ms was overtaken after 26 ms.
        schedule = MigrationSchedule()
        schedule.on_runs("s", [LeavingRun("a", 20, 9000), LeavingRun("b", 20, 8000)], 0.0)
        self.assertFalse(schedule.may_start("s", "b", 0.05 + 0.1))
        schedule.on_finished("s", "a")
        self.assertTrue(schedule.may_start("s", "b", 0.05 + 0.1))

    def test_a_run_reported_late_waits_for_one_that_has_started(self):
        # Guards against copies that overlap because two daemons learn at different times that an
        # engine leaves: the second one found its run ahead in the order and started at once.
        schedule = MigrationSchedule()
        schedule.on_runs("s", [LeavingRun("a", 900, 9000)], 0.0, "first daemon")
        schedule.on_runs("s", [LeavingRun("b", 200, 9000)], 0.08)
        self.assertFalse(schedule.may_start("s", "b", 0.09))
        schedule.on_started("s", "a", 0.1)
        self.assertFalse(schedule.may_start("s", "b", 0.14))
        schedule.on_finished("s", "a")
        self.assertTrue(schedule.may_start("s", "b", 0.14))

    def test_the_time_of_a_copy_counts_from_its_start(self):
        # Guards against copies that overlap because the daemon of the first one started late: the
        # second one counted the time of both from the notice.
        schedule = MigrationSchedule()
        schedule.on_runs("s", [LeavingRun("a", 20, 9000), LeavingRun("b", 20, 8000)], 0.0)
        schedule.on_started("s", "a", 0.2)
        self.assertFalse(schedule.may_start("s", "b", 0.3))
        self.assertTrue(schedule.may_start("s", "b", 0.2 + 0.026 + schedule.CALL_OVERHEAD_S))

    def test_a_started_run_keeps_the_link_when_a_better_one_is_reported(self):
        # Guards against an order in which the run that uses the link comes second.
        schedule = MigrationSchedule()
        schedule.on_runs("s", [LeavingRun("a", 900, 9000), LeavingRun("c", 900, 8000)], 0.0)
        schedule.on_started("s", "a", 0.06)
        self.assertEqual(schedule.own_started("s"), ["a"])
        schedule.on_runs("s", [LeavingRun("b", 200, 9000)], 0.08, "second daemon")
        self.assertTrue(schedule.may_start("s", "a", 0.09))
        schedule.on_finished("s", "a")
        self.assertEqual(schedule.own_started("s"), [])
        self.assertFalse(schedule.may_start("s", "c", 0.14))

    def test_every_daemon_orders_alike(self):
        other = MigrationSchedule()
        other.on_runs("s", [LeavingRun("a", 200, 9000)], 0.0)
        other.on_runs("s", [LeavingRun("b", 200, 9000), LeavingRun("long", 900, 20000)], 0.02)
        self.assertTrue(other.may_start("s", "a", 0.06))
        self.assertFalse(other.may_start("s", "b", 0.06))

    def test_a_run_that_may_end_in_time_goes_after_one_that_cannot(self):
        to = entry("i-2")
        ends = migration.describe("e", RUN._replace(generated=950), engine(), entry("i-1"), to)
        goes_on = migration.describe("g", RUN, engine(), entry("i-1"), to)
        self.assertLess(ends.value, goes_on.value)
