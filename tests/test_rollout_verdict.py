"""Tests of the verdict on a new version: which evidence condemns it, and which does not."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.rollout.model import Count, Evidence, RouteCounts
from lovageway.forwarding.rollout.verdict import Verdict, judge, tail
from tests.rolloutbuilders import evidence


class Judging(unittest.TestCase):
    def test_a_version_that_fails_a_part_of_its_answers_is_bad(self):
        # Guards against a bad version that stays in use until it has all requests.
        self.assertIs(judge(evidence((20, 8), (200, 4))), Verdict.BAD)

    def test_failures_that_the_old_version_has_too_do_not_condemn(self):
        # Guards against a roll-back for requests that fail on any server, one in seven on a route.
        self.assertIs(judge(evidence((70, 10), (700, 100))), Verdict.GOOD)

    def test_a_version_that_fails_on_one_route_only_is_bad(self):
        # Guards against a fault on a rare route that the other routes' answers hide.
        found = evidence((300, 2), (3000, 20)) + evidence((9, 6), (90, 1), route="rare")
        self.assertIs(judge(found), Verdict.BAD)

    def test_one_faulty_server_does_not_condemn_the_version(self):
        # Guards against a roll-back for one failing server that has the new version.
        servers = {"i-1": Count(20, 12), "i-2": Count(30, 0), "i-3": Count(30, 1)}
        self.assertIs(judge(evidence((80, 13), (800, 10), servers=servers)), Verdict.GOOD)

    def test_a_version_with_one_server_is_judged_by_it(self):
        # Guards against a service with a single server whose bad version is never rolled back.
        found = evidence((20, 12), (200, 2), servers={"i-1": Count(20, 12)})
        self.assertIs(judge(found), Verdict.BAD)

    def test_few_answers_prove_nothing(self):
        # Guards against a version that is completed or rolled back by chance.
        self.assertIs(judge(evidence((5, 0), (50, 0))), Verdict.UNDECIDED)
        self.assertIs(judge(Evidence({}, {})), Verdict.UNDECIDED)

    def test_some_more_failures_than_the_old_version_raise_a_doubt(self):
        # Guards against a version that is completed while the evidence speaks against it.
        self.assertIs(judge(evidence((30, 4), (300, 3))), Verdict.DOUBTFUL)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.floats(0.0, 0.2), st.integers(0, 1 << 30))
    def test_equal_versions_are_hardly_ever_bad(self, share, seed):
        # Guards against good versions that are rolled back because the test is repeated often.
        rng, found = Random(seed), Evidence({}, {})
        for _ in range(300):
            is_new = rng.random() < 0.05
            count = Count(1, int(rng.random() < share))
            counts = RouteCounts(new=count) if is_new else RouteCounts(old=count)
            found += Evidence(
                {"r": counts}, {("r", f"i-{rng.randrange(6)}"): count} if is_new else {}
            )
            if is_new:
                self.assertIsNot(judge(found), Verdict.BAD)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.floats(0.35, 1.0), st.floats(0.0, 0.1), st.integers(0, 1 << 30))
    def test_a_bad_version_is_found_within_fifty_bad_answers(self, bad, share, seed):
        # Guards against a verdict that comes later than the operator's bound allows.
        rng, found, count_bad = Random(seed), Evidence({}, {}), 0
        while judge(found) is not Verdict.BAD:
            for _ in range(20):
                count = Count(1, int(rng.random() < share))
                found += Evidence({"r": RouteCounts(old=count)}, {})
            count = Count(1, int(rng.random() < bad))
            count_bad += count.bad
            self.assertLess(count_bad, 50)
            key = ("r", f"i-{rng.randrange(6)}")
            found += Evidence({"r": RouteCounts(new=count)}, {key: count})


class Tail(unittest.TestCase):
    def test_the_tail_of_small_numbers(self):
        # Guards against a wrong term in the sum of the distribution.
        self.assertAlmostEqual(tail(2, 3, 0.5), 0.5)
        self.assertAlmostEqual(tail(3, 3, 0.1), 0.001)
        self.assertEqual((tail(0, 3, 0.1), tail(4, 3, 0.1)), (1.0, 0.0))
