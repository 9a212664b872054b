"""Tests of the token bucket."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.tokenbucket import TokenBucket


class Buckets(unittest.TestCase):
    def test_the_bucket_is_refilled_up_to_its_capacity(self):
        bucket = TokenBucket(10.0, 20.0)
        self.assertEqual(bucket.at(100.0), 20.0)
        bucket.take(20)
        self.assertEqual(bucket.at(100.0), 0.0)
        self.assertAlmostEqual(bucket.at(101.0), 10.0)
        self.assertAlmostEqual(bucket.at(500.0), 20.0)

    @settings(derandomize=True)
    @given(st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200))
    def test_no_more_is_taken_than_the_burst_and_the_rate_allow(self, pauses):
        # Guards against datagrams or log lines beyond their bound.
        bucket, now, taken = TokenBucket(30.0, 120.0), 5.0, 0
        for pause in pauses:
            now += pause
            allowed = min(40, int(bucket.at(now)))
            bucket.take(allowed)
            taken += allowed
        self.assertLessEqual(taken, 120 + 30.0 * (now - 5.0) + 1e-6)
