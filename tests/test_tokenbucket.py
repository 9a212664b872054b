"""Bounds on how often something happens."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.tokenbucket import TokenBucket


class Buckets(unittest.TestCase):
    def test_tokens_come_back_with_time_up_to_the_most(self):
        tokens = TokenBucket(10.0, 20.0)
        self.assertEqual(tokens.at(100.0), 20.0)
        tokens.take(20)
        self.assertEqual(tokens.at(100.0), 0.0)
        self.assertAlmostEqual(tokens.at(101.0), 10.0)
        self.assertAlmostEqual(tokens.at(500.0), 20.0)

    @settings(derandomize=True)
    @given(st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200))
    def test_no_more_is_taken_than_the_burst_and_the_rate_allow(self, pauses):
        # Guards against messages or log lines beyond their stated bound.
        tokens, now, taken = TokenBucket(30.0, 120.0), 5.0, 0
        for pause in pauses:
            now += pause
            allowed = min(40, int(tokens.at(now)))
            tokens.take(allowed)
            taken += allowed
        self.assertLessEqual(taken, 120 + 30.0 * (now - 5.0) + 1e-6)
