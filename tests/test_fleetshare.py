"""Tests of the shares that daemons have of a bound on the whole fleet."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.fleetshare import SendLog, part, share


class Shares(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.integers(0, 2000), st.integers(1, 400))
    def test_the_shares_add_up_to_the_bound(self, requests, daemons):
        # Guards against a fleet that sends more than a server takes, or leaves a part of it unused.
        found = [share(requests, daemons, rank) for rank in range(daemons)]
        self.assertEqual(sum(found), requests)
        self.assertLessEqual(max(found) - min(found), 1)

    def test_a_daemon_that_does_not_know_the_others_has_no_share(self):
        # Guards against restarted daemons that each use the complete bound.
        self.assertEqual(share(1000, float("inf"), 0), 0)
        self.assertEqual(part(1000.0, float("inf")), 0.0)


class Sends(unittest.TestCase):
    def log(self, *times):
        found = SendLog()
        for at in times:
            found.add(at)
        return found

    def test_only_requests_of_the_window_count(self):
        found = self.log(1.0, 2.0, 4.5)
        self.assertEqual([found.count(4.0, now) for now in (4.9, 5.0, 6.1, 9.0)], [3, 2, 1, 0])

    def test_a_request_that_was_not_sent_does_not_count(self):
        found = self.log(1.0)
        found.withdraw()
        found.withdraw()
        self.assertEqual(found.count(4.0, 1.0), 0)

    def test_the_next_requests_wait_for_the_window_of_earlier_ones(self):
        # Guards against a time to come back at which the share is still used up.
        found = self.log(1.0, 3.0)
        self.assertEqual(found.slots(2, 4.0, 3, 4.0), [5.0, 7.0, 9.0])
        self.assertEqual(found.slots(0, 4.0, 3, 4.0), [])
        for slot in found.slots(2, 4.0, 3, 4.0):
            found.forget(slot - 4.0)
            self.assertLess(found.count(4.0, slot), 2)
            found.add(slot)
