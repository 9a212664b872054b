"""Tests of what one daemon does with a roll-out: where requests go, and what it believes."""

import unittest
from random import Random

from lovageway.forwarding.members import sort_key
from lovageway.forwarding.model import RolloutPhase
from lovageway.forwarding.rollout.model import Count, Evidence, Report, RouteCounts, Run
from lovageway.forwarding.rollout.rollouts import Rollouts
from tests.replicabuilders import BOUNDS, route
from tests.rolloutbuilders import announcement, order, servers, work

LIMITS = BOUNDS._replace(exposure_share=0.1, exposure_tolerance=50.0, rollback_s=5.0)


class RolloutsCase(unittest.TestCase):
    def setUp(self):
        self.entries = servers(["v1", "v1", "v1", "v2", "v2", "v2"])
        self.rollouts = Rollouts(LIMITS, Random(1), lambda name: self.entries, lambda now: 4.0)
        self.rollouts.has_history = False

    def order(self, now=0.0, **fields):
        return self.rollouts.on_order("svc", order(**fields), now)

    def hear(self, phase=RolloutPhase.CANARY, now=0.0, **fields):
        return self.rollouts.on_announcement(announcement(phase, **fields), now)

    def versions(self, now=0.0):
        """Return the versions of the servers to which a request may go at all."""
        found = self.rollouts.permitted("svc", self.entries, now)
        return sorted({entry.replica.version for entry in found})

    def place(self, now=0.0, **fields):
        """Choose the first server of the preferred group; return its version."""
        request = work(**fields)
        entries = self.rollouts.permitted("svc", self.entries, now)
        entry = next(g[0] for g in self.rollouts.preferences(request, entries, now) if g)
        self.rollouts.on_send(entry)
        self.rollouts.on_chosen(request, entry)
        return entry.replica.version


class Placing(RolloutsCase):
    def test_without_an_order_versions_do_not_matter(self):
        # Guards against deployments without roll-outs that are served in another way.
        self.assertEqual(self.rollouts.permitted("svc", self.entries, 0.0), self.entries)
        self.assertEqual(self.rollouts.preferences(work(), self.entries, 0.0), [self.entries])

    def test_an_unannounced_version_gets_nothing_while_there_are_others(self):
        # Guards against the whole traffic going to servers that start before the coordinator acts.
        self.order()
        self.assertEqual(self.versions(), ["v1"])
        self.entries = servers(["v2", "v2"])
        self.assertEqual(self.versions(), ["v2"])

    def test_a_small_share_goes_to_the_new_version(self):
        # Guards against a share that is exceeded, or a new version that is never observed.
        self.order()
        self.hear()
        placed = [self.place() for _ in range(1000)]
        self.assertAlmostEqual(placed.count("v2"), 50, delta=2)

    def test_the_share_goes_to_few_servers_at_a_time(self):
        # Guards against a version that fails under load only and never sees load.
        self.order()
        self.hear()
        found = set()
        for left_s in (20.0, 16.0, 12.0):
            self.hear(left_s=left_s, now=30.0 - left_s)
            request, now = work(), 30.0 - left_s
            while (groups := self.rollouts.preferences(request, self.entries, now)) and len(
                groups
            ) == 1:
                self.rollouts.on_send(self.entries[0])
                self.rollouts.on_chosen(request, self.entries[0])
            self.assertEqual(len(groups[0]), 1)
            found.add(groups[0][0].id)
        self.assertEqual(len(found), 3)

    def test_a_request_that_was_sent_before_goes_to_the_old_version(self):
        # Guards against a request that a bad version fails twice.
        self.order()
        self.hear(RolloutPhase.SWITCH)
        self.assertEqual(self.place(avoid=["i-4"]), "v1")

    def test_long_requests_move_before_the_switch(self):
        # Guards against generations that are cut off when the old servers stop.
        self.order()
        self.hear(RolloutPhase.SHIFT, switch_in_s=5.0)
        self.assertEqual(self.place(expected_s=8.0), "v2")
        self.assertEqual(self.place(expected_s=0.3), "v1")

    def test_no_phase_exceeds_the_exposure(self):
        # Guards against a bad version that gets everything in the last phases.
        self.order()
        for phase in (RolloutPhase.SHIFT, RolloutPhase.SWITCH):
            self.hear(phase, left_s=0.0, now=phase / 10)
            placed = [self.place(now=phase / 10, expected_s=99.0) for _ in range(1000)]
            self.assertLess(placed.count("v2"), 0.1 * 1000 + 50 / 4)

    def test_a_generation_stays_within_its_version(self):
        # Guards against a migration to an engine with another version.
        self.order()
        self.hear()
        found = self.rollouts.like(self.entries[0], self.entries)
        self.assertEqual({entry.replica.version for entry in found}, {"v1"})


class Believing(RolloutsCase):
    def setUp(self):
        super().setUp()
        self.order()
        self.hear()

    def test_a_halted_version_gets_nothing_even_without_other_servers(self):
        # Guards against a bad version that is used because the old servers fail.
        self.hear(RolloutPhase.HALTED)
        self.entries = servers(["v2"])
        self.assertEqual(self.versions(), [])

    def test_a_late_announcement_does_not_revive_a_halted_version(self):
        # Guards against datagrams that overtake each other.
        self.hear(RolloutPhase.HALTED, now=5.0)
        self.assertIsNone(self.hear(RolloutPhase.CANARY, now=6.0))
        self.assertEqual(self.versions(6.0), ["v1"])

    def test_the_written_end_wins_over_a_verdict(self):
        # Guards against daemons that keep using servers that another coordinator let stop.
        self.hear(RolloutPhase.HALTED, now=5.0)
        self.hear(RolloutPhase.COMPLETED, now=6.0)
        self.assertEqual(self.versions(6.0), ["v2"])

    def test_a_daemon_without_contact_sends_the_new_version_nothing(self):
        # Guards against a daemon that a verdict does not reach and that goes on.
        self.assertEqual(self.versions(now=3.0), ["v1", "v2"])
        self.assertEqual(self.versions(now=4.0), ["v1"])

    def test_an_old_announcement_does_not_count_as_contact(self):
        # Guards against daemons that keep each other going by repeating what they heard.
        self.hear(now=4.0, age_s=4.0)
        self.assertEqual(self.versions(now=4.0), ["v1"])

    def test_a_withdrawn_order_ends_the_roll_out(self):
        # Guards against a version that is observed further although nobody asks for it.
        change = self.rollouts.on_order("svc", None, 1.0)
        self.assertIs(change.rollout.phase, RolloutPhase.HALTED)
        self.assertEqual(self.versions(1.0), ["v1"])

    def test_another_order_bars_the_version_of_the_earlier_one(self):
        # Guards against an unproved version that counts as the old one of the next order.
        self.order(to="v3", number=9, now=1.0)
        self.entries += servers(["v3"])
        self.assertEqual(self.versions(1.0), ["v1"])
        self.hear(to="v3", began_ms=2000, now=1.0)
        self.assertEqual(self.versions(1.0), ["v1", "v3"])

    def test_an_order_that_is_written_again_goes_on(self):
        # Guards against a roll-out that begins anew when the operator repeats its order, or
        # writes it again after the store returned from a copy.
        self.order(number=9, now=1.0)
        self.hear(RolloutPhase.COMPLETED, now=2.0)
        self.order(number=3, era=2, now=3.0)
        self.assertEqual(self.versions(3.0), ["v2"])

    def test_an_order_after_the_end_is_a_new_one(self):
        # Guards against a second attempt with the same version that is never begun.
        self.hear(RolloutPhase.HALTED, now=2.0)
        self.order(number=9, now=3.0)
        self.assertIsNone(self.rollouts.get("svc").phase)
        self.hear(began_ms=3000, now=4.0)
        self.assertEqual(self.versions(4.0), ["v1", "v2"])

    def test_what_is_heard_of_an_ended_run_does_not_end_the_next_one(self):
        # Guards against an order that is given again and takes the end of the first attempt.
        self.hear(RolloutPhase.HALTED, now=2.0)
        self.order(number=9, now=3.0)
        self.assertIsNone(self.hear(RolloutPhase.HALTED, now=3.5))
        self.assertIsNone(self.rollouts.get("svc").phase)

    def test_an_announcement_may_come_before_its_order(self):
        # Guards against a roll-out that a slow row of the store holds up, and against two versions
        # that are both used while the rows arrive.
        self.hear(to="v3", began_ms=2000, now=1.0)
        self.entries += servers(["v3"])
        self.assertEqual(self.versions(1.0), ["v1", "v2"])
        self.order(to="v3", number=9, now=2.0)
        self.hear(to="v3", began_ms=2000, now=2.0)
        self.assertEqual(self.versions(2.0), ["v1", "v3"])


class Observing(RolloutsCase):
    def setUp(self):
        super().setUp()
        self.order()
        self.hear()
        self.route = route(host="h")._replace(target_s=0.3)
        self.answers = self.rollouts.get("svc").answers

    def answer(self, index, latency_s, count=1):
        for _ in range(count):
            self.answers.on_answer(self.entries[index], self.route, latency_s, 1.0)

    def test_answers_several_times_slower_than_usual_are_bad(self):
        # Guards against a version that only delays its answers.
        self.answer(0, 0.1, count=20)
        self.answer(4, 0.5, count=3)
        self.answer(4, 0.2)
        counts = self.answers.total().routes[self.route.name]
        self.assertEqual((counts.new, counts.old), (Count(4, 3), Count(20, 0)))

    def test_a_cold_server_is_not_called_slow(self):
        # Guards against good versions that are rolled back because their servers just started.
        self.answer(0, 0.1, count=20)
        self.entries[4].cold_until = 2.0
        self.answer(4, 0.5, count=3)
        self.assertEqual(self.answers.total().routes[self.route.name].new, Count(3, 0))

    def test_reports_are_counted_once_for_each_process(self):
        # Guards against evidence that a repeated or overtaken report counts twice or takes back.
        run = Run("svc", "v2", 1000)

        def report(answers, incarnation=1, began_ms=1000):
            counts = {"r": RouteCounts(Count(answers, 1), Count())}
            found = Evidence(counts, {})
            return Report("10.0.0.9", incarnation, run._replace(began_ms=began_ms), found)

        for item in (report(3), report(5), report(3), report(4, incarnation=2), report(9, 1, 999)):
            self.rollouts.on_report(item)
        total = self.answers.total().routes["r"].new
        self.assertEqual(total, Count(9, 2))

    def test_the_order_of_observed_servers_is_the_same_on_all_daemons(self):
        # Guards against daemons that each observe other servers, so that none carries load.
        first = min(self.entries[3:], key=lambda entry: sort_key(entry.id)).id
        for _ in range(40):
            groups = self.rollouts.preferences(work(), self.entries[::-1], 0.0)
            if len(groups) > 1:
                break
            self.rollouts.on_chosen(work(), self.entries[0])
            self.rollouts.on_send(self.entries[0])
        self.assertIn(first, {entry.id for entry in self.entries[3:]})
        self.assertEqual(len(groups[0]), 1)
