"""Tests of the phases of a roll-out: which one follows from which facts."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.model import RolloutPhase
from lovageway.forwarding.rollout.schedule import (
    MAX_STORE_SILENCE_S,
    SWITCH_S,
    Decision,
    canary_share,
    decide,
    shift_at_s,
    switch_at_s,
)
from tests.rolloutbuilders import evidence, facts


class Phases(unittest.TestCase):
    def test_a_good_version_is_observed_shifted_switched_and_completed(self):
        # Guards against a good version that is not completed within its time.
        phase, since, seen = RolloutPhase.CANARY, 0.0, []
        for tick in range(0, 300):
            now = tick / 10
            known = facts(elapsed_s=now, phase=phase, in_phase_s=now - since)
            following = decide(known).phase
            if following is not phase:
                phase, since = following, now
                seen.append((phase, now))
        self.assertEqual(
            [p for p, _ in seen], [RolloutPhase.SHIFT, RolloutPhase.SWITCH, RolloutPhase.COMPLETED]
        )
        self.assertLessEqual(seen[-1][1], 0.85 * 30.0)

    def test_a_bad_version_is_halted_in_each_phase(self):
        # Guards against a version that turns bad late and is completed all the same.
        bad = evidence((60, 20), (600, 6))
        for phase in (RolloutPhase.CANARY, RolloutPhase.SHIFT, RolloutPhase.SWITCH):
            known = facts(evidence=bad, phase=phase, elapsed_s=24.0, in_phase_s=9.0)
            self.assertEqual(decide(known), Decision(RolloutPhase.HALTED, "bad answers"))

    def test_without_the_store_the_old_servers_keep_their_work(self):
        # Guards against old servers without work that nobody can stop, or that another stops.
        for phase in (RolloutPhase.CANARY, RolloutPhase.SHIFT, RolloutPhase.SWITCH):
            known = facts(phase=phase, elapsed_s=25.0, store_silent_s=MAX_STORE_SILENCE_S + 1)
            self.assertIs(decide(known).phase, RolloutPhase.CANARY)

    def test_a_version_without_evidence_is_rolled_back_before_its_deadline(self):
        # Guards against an unproved version that gets all requests.
        known = facts(evidence=evidence((3, 0), (30, 0)))
        self.assertIs(decide(known._replace(elapsed_s=25.0)).phase, RolloutPhase.CANARY)
        self.assertIs(decide(known._replace(elapsed_s=29.0)).phase, RolloutPhase.HALTED)

    def test_too_few_servers_are_not_given_all_requests(self):
        # Guards against a switch to servers that cannot carry the load.
        known = facts(new_slots=6, elapsed_s=25.0)
        self.assertIs(decide(known).phase, RolloutPhase.CANARY)
        self.assertEqual(decide(known._replace(elapsed_s=29.0)).reason, "too few servers")

    def test_an_end_stays(self):
        # Guards against a phase that changes after the old servers were stopped.
        for phase in (RolloutPhase.HALTED, RolloutPhase.COMPLETED):
            known = facts(phase=phase, halted="withdrawn", evidence=evidence((60, 60), (6, 0)))
            self.assertIs(decide(known).phase, phase)

    def test_the_share_grows_with_good_answers_only(self):
        # Guards against a share that grows by the answers of a version that fails.
        shares = [canary_share(evidence((n, 0)), 0.1) for n in (0, 12, 40)]
        self.assertEqual(shares, sorted(set(shares)))
        self.assertEqual(canary_share(evidence((40, 40)), 0.1), shares[0])

    @settings(max_examples=100, derandomize=True)
    @given(st.floats(0.01, 86400.0))
    def test_the_times_are_in_order_for_any_duration(self, duration_s):
        # Guards against a very short or long order whose phases overlap or begin too late.
        self.assertLess(shift_at_s(duration_s), switch_at_s(duration_s))
        self.assertLess(switch_at_s(duration_s), 0.81 * duration_s)
        if duration_s > 8 * SWITCH_S:
            self.assertLess(switch_at_s(duration_s) + SWITCH_S, 0.9 * duration_s)
