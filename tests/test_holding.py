"""A holder uses no more than its share, whichever grants arrive in whichever order."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.controllers.holding import Holding
from lovageway.controllers.ownership import GRANT_TTL_S
from lovageway.messages import GrantLine

KINDS = ("held", "rate")


def grant(seq, number, amount=5.0, rate=10.0, burst=()):
    return GrantLine("r", seq, number, (amount, rate), (20.0, 50.0), (0.0, 0.0), burst)


def requested_holding(now=0.0):
    holding = Holding(KINDS, now)
    holding.request_line("r", 1, "owner", 0, now)
    return holding


class Grants(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 4)), max_size=20))
    def test_repeated_and_reordered_grants_never_go_back(self, arrivals):
        # Guards against a late, larger grant that restores an amount now granted to others.
        holding = Holding(KINDS, 0.0)
        for seq in (1, 2, 3):
            holding.request_line("r", seq, "owner", 0, 0.0)
        newest = (0, 0)
        for seq, number in arrivals:
            amount = 10.0 * seq + number
            holding.accept("owner", grant(seq, number, amount), 0.1)
            newest = max(newest, (seq, number))
            self.assertEqual(holding.amounts[0], 10.0 * newest[0] + newest[1])

    def test_a_grant_of_another_daemon_than_asked_is_ignored(self):
        # Guards against a holder that accepts the grants of two owners.
        self.assertFalse(requested_holding().accept("stranger", grant(1, 1), 0.1))

    def test_a_share_expires_two_seconds_after_its_request_was_sent(self):
        # Guards against a holder that uses an expired share after a pause.
        holding = requested_holding()
        self.assertTrue(holding.accept("owner", grant(1, 1), 1.5))
        self.assertIsNone(holding.try_take("a", (1.0, 0.0), GRANT_TTL_S - 0.01))
        shortage = holding.try_take("b", (1.0, 0.0), GRANT_TTL_S)
        self.assertTrue(shortage.pending)
        self.assertFalse(requested_holding().accept("owner", grant(1, 1), GRANT_TTL_S))

    def test_a_void_share_takes_no_grant_of_an_earlier_request(self):
        # Guards against use of credit that was granted for the earlier run of a restarted server.
        holding = requested_holding()
        holding.invalidate()
        self.assertFalse(holding.accept("owner", grant(1, 1), 0.1))


class Use(unittest.TestCase):
    def test_nothing_is_taken_above_the_share(self):
        # Guards against a holder that exceeds its share.
        holding = requested_holding()
        holding.accept("owner", grant(1, 1), 0.0)
        taken = [holding.try_take(str(n), (1.0, 0.0), 0.0) is None for n in range(8)]
        self.assertEqual(taken, [True] * 5 + [False] * 3)
        holding.release((1.0, 0.0))
        self.assertIsNone(holding.try_take("x", (1.0, 0.0), 0.0))

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(0.01, 0.4), min_size=5, max_size=60))
    def test_a_rate_allows_its_share_and_one_second_of_burst(self, gaps):
        # Guards against a bucket that is refilled faster than at the granted rate.
        holding, now, taken = Holding(KINDS, 0.0), 0.0, 0
        for seq, gap in enumerate(itertools.chain(gaps, [1.5]), 1):
            holding.request_line("r", seq, "owner", 0, now)
            holding.accept("owner", grant(seq, seq), now)
            while holding.try_take(f"{seq}-{taken}", (0.0, 1.0), now) is None:
                taken += 1
            now += gap
            self.assertLessEqual(taken, 10.0 * now + 10.0)

    def test_a_debt_is_repaid_before_the_next_request(self):
        # Guards against output tokens that are never charged because they are counted after
        # admission.
        holding = requested_holding()
        holding.accept("owner", grant(1, 1), 0.0)
        holding.take((0.0, 15.0), 0.0)
        shortage = holding.try_take("a", (0.0, 0.0), 0.5)
        self.assertAlmostEqual(shortage.retry_after_s, 1.0)
        self.assertIsNone(holding.try_take("a", (0.0, 0.0), 1.51))

    def test_a_request_waits_for_the_owner_and_is_refused_on_its_word(self):
        # Guards against a refusal while the limit is not exhausted.
        holding = requested_holding()
        holding.accept("owner", grant(1, 1, amount=0.0), 0.0)
        self.assertTrue(holding.try_take("a", (1.0, 0.0), 0.0).pending)
        sent = holding.request_line("r", 2, "owner", 0, 0.1)
        self.assertEqual(sent.wanted[0], 1.0)
        holding.accept("owner", grant(2, 2, amount=0.0), 0.2)
        self.assertFalse(holding.try_take("a", (1.0, 0.0), 0.2).pending)
