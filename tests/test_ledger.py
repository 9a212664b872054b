"""The owner divides a limit by demand and never commits more than the limit."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.controllers.ledger import MAX_UNTHROTTLED_HOLDERS, Ledger, Limit
from lovageway.controllers.ownership import GRANT_TTL_S
from lovageway.messages import HeldGrant, ShareLine

LIMIT = Limit((20.0, 50.0))
ZERO = (0.0, 0.0)


def line(seq, wanted, in_use=0.0, confirmed=0, burst=()):
    return ShareLine("r", seq, (in_use, 0.0), (float(wanted), 0.0), confirmed, burst)


def request_grant(ledger, node, number, wanted, now, limit=LIMIT, **more):
    assert ledger.request(node, line(number, wanted, **more), now)
    return ledger.grant(node, limit, now)


class Division(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 30), st.floats(0, 1)), max_size=40))
    def test_unexpired_grants_never_exceed_the_limit(self, asks):
        # Guards against counting a smaller grant before the holder has confirmed it.
        ledger, now, given_out = Ledger(("held", "rate")), 0.0, []
        for seq, (node, wanted, wait) in enumerate(asks, 1):
            now += wait
            grant = request_grant(ledger, node, seq, wanted, now)
            given_out.append((node, now + GRANT_TTL_S, grant.amounts[0]))
            held = {}
            for holder, expires, amount in given_out:
                if expires > now:
                    held[holder] = max(held.get(holder, 0), amount)
            self.assertLessEqual(sum(held.values()), 20)

    def test_late_and_repeated_requests_change_nothing(self):
        # Guards against an old message that reduces or renews a share.
        ledger = Ledger(("held", "rate"))
        request_grant(ledger, "a", 5, 10, 0.0)
        before = ledger.dump(0.0)
        self.assertFalse(ledger.request("a", line(5, 1), 0.0))
        self.assertFalse(ledger.request("a", line(3, 20), 0.0))
        self.assertEqual(ledger.dump(0.0), before)

    def test_a_smaller_grant_counts_when_confirmed(self):
        # Guards against granting amounts to others that a holder may still use.
        ledger = Ledger(("held", "rate"))
        request_grant(ledger, "a", 1, 20, 0.0)
        smaller = request_grant(ledger, "a", 2, 0, 0.5)
        self.assertEqual(request_grant(ledger, "b", 1, 20, 0.6).amounts[0], 0)
        request_grant(ledger, "a", 3, 0, 0.7, confirmed=smaller.number)
        self.assertGreaterEqual(request_grant(ledger, "b", 2, 20, 0.8).amounts[0], 18)

    def test_a_smaller_grant_counts_when_the_old_one_has_expired(self):
        # Guards against shares that stay committed to a dead holder.
        ledger = Ledger(("held", "rate"))
        request_grant(ledger, "a", 1, 20, 0.0)
        self.assertEqual(request_grant(ledger, "b", 1, 20, 2.0).amounts[0], 0)
        self.assertEqual(request_grant(ledger, "b", 2, 20, 2.1).amounts[0], 20)

    def test_what_is_in_use_stays_counted_after_a_smaller_grant(self):
        # Guards against grants to others while running requests exceed the holder's own grant.
        ledger = Ledger(("held", "rate"))
        request_grant(ledger, "a", 1, 20, 0.0)
        lowered = Limit((8.0, 50.0))
        smaller = request_grant(ledger, "a", 2, 20, 0.2, lowered, in_use=20.0)
        self.assertLessEqual(smaller.amounts[0], 8)
        ledger.request("a", line(3, 20, in_use=20.0, confirmed=smaller.number), 0.3)
        self.assertEqual(request_grant(ledger, "b", 1, 20, 0.4).amounts[0], 0)

    def test_inherited_grants_count_until_they_expire_or_are_replaced(self):
        # Guards against a new owner that grants again what the old owner granted.
        ledger = Ledger(("held", "rate"))
        ledger.inherit((HeldGrant("a", (15.0, 0.0), 1.0),), (), 0.0)
        self.assertEqual(request_grant(ledger, "b", 1, 20, 0.5).amounts[0], 5)
        self.assertEqual(request_grant(ledger, "b", 2, 20, 1.1).amounts[0], 20)

    def test_needs_come_before_spare(self):
        # Guards against idle holders that keep an amount that others need.
        ledger = Ledger(("held", "rate"))
        for node in "abc":
            request_grant(ledger, node, 1, 0, 0.0)
        self.assertEqual(request_grant(ledger, "d", 1, 20, 0.1).amounts[0], 17)
        for node in ledger.rebalance(LIMIT, 0.2):
            pushed = ledger.grant(node, LIMIT, 0.2)
            ledger.request(node, line(2, 0, confirmed=pushed.number), 0.3)
        self.assertEqual(ledger.grant("d", LIMIT, 0.4).amounts[0], 20)

    def test_a_need_that_grows_between_two_divisions_is_met_from_what_is_free(self):
        # Guards against refusals (4202) of a burst at one of many daemons while most of the limit
        # is free: with many holders the division is up to 0.25 s old.
        ledger, limit = Ledger(("held", "rate")), Limit((200.0, 50.0))
        for number in range(MAX_UNTHROTTLED_HOLDERS + 4):
            request_grant(ledger, f"d{number}", 1, 1, 0.0, limit)
        ledger.rebalance(limit, 0.3)
        self.assertLess(request_grant(ledger, "d0", 2, 1, 0.31, limit, in_use=1.0).amounts[0], 8)
        grant = request_grant(ledger, "d0", 3, 8, 0.35, limit, in_use=1.0)
        self.assertGreaterEqual(grant.amounts[0], 8)
        self.assertLessEqual(ledger.total(0.35)[0], 200)

    def test_burst_is_given_out_once(self):
        # Guards against granting the burst to every holder, which allows n times the limit in 1 s.
        ledger = Ledger(("held", "rate"))
        first = request_grant(ledger, "a", 1, 0, 0.0, burst=(0.0, 40.0)).burst
        second = request_grant(ledger, "b", 1, 0, 0.0, burst=(0.0, 40.0)).burst
        self.assertEqual((first[1], second[1]), (40.0, 10.0))
