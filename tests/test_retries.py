"""Tests of the retry budget."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.retries import RetryBudget


class Budget(unittest.TestCase):
    def test_all_daemons_together_stay_within_the_operators_bound(self):
        # Every server fails, and eight daemons would retry every request.
        daemons = [RetryBudget(0.2, 54, 10.0) for _ in range(8)]
        requests, repeats = [], []
        for step in range(3000):
            now = step * 0.01
            budget = daemons[step % 8]
            budget.on_request(now)
            requests.append(now)
            if budget.take(8, now):
                repeats.append(now)
        for end in range(0, 30):
            window = (end - 10, end)
            sent = sum(window[0] < at <= window[1] for at in repeats)
            asked = sum(window[0] < at <= window[1] for at in requests)
            self.assertLessEqual(sent, 0.2 * asked + 54)
        self.assertGreater(len(repeats), 100)

    def test_the_allowance_returns_when_the_window_has_passed(self):
        # Guards against a daemon that never retries again after one period of failures.
        budget = RetryBudget(0.0, 10, 10.0)
        for _ in range(100):
            budget.take(1, 0.0)
        self.assertFalse(budget.take(1, 9.0))
        self.assertTrue(budget.take(1, 11.0))

    def test_while_the_number_of_daemons_is_unknown_only_the_share_of_requests_is_used(self):
        # Guards against hundreds of daemons that each use the complete allowance after a restart.
        budget = RetryBudget(0.2, 430, 10.0)
        for _ in range(50):
            budget.on_request(0.0)
        sent = sum(budget.take(float("inf"), 0.0) for _ in range(100))
        self.assertEqual(sent, 8)

    def test_a_restarted_daemon_begins_with_a_small_part(self):
        # Guards against each process of a daemon using the complete part of one window.
        first, second = RetryBudget(0.2, 54, 10.0), RetryBudget(0.2, 54, 10.0)
        sent = sum(first.take(1, 0.0) for _ in range(100))
        sent += sum(second.take(1, 0.5, restarted=True) for _ in range(100))
        self.assertLessEqual(sent, 54)
        self.assertGreater(sum(second.take(1, 10.5) for _ in range(100)), 30)

    def test_a_send_that_was_not_made_is_given_back(self):
        # Guards against migrations that were given up and use the budget of others.
        budget = RetryBudget(0.0, 10, 10.0)
        self.assertEqual(sum(budget.take(1, 0.1 * n) for n in range(20)), 8)
        budget.give_back(0.2)
        self.assertEqual(sum(budget.take(1, 5.0) for _ in range(20)), 1)
        budget.give_back(-20.0)
        self.assertFalse(budget.take(1, 5.0))

    @settings(derandomize=True)
    @given(st.lists(st.tuples(st.floats(0, 1), st.booleans()), max_size=200))
    def test_no_window_exceeds_the_bound(self, steps):
        budget, now, sent, asked = RetryBudget(0.2, 5, 3.0), 0.0, [], []
        for gap, is_request in steps:
            now += gap
            if is_request:
                budget.on_request(now)
                asked.append(now)
            elif budget.take(1, now):
                sent.append(now)
                repeats = sum(at > now - 3.0 for at in sent)
                self.assertLessEqual(repeats, 0.2 * sum(at > now - 3.5 for at in asked) + 5)
