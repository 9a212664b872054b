"""Tests of the compact encoding of share messages."""

import math
import unittest

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway._amounts import round_for_wire
from lovageway.controllers.shares import first_seq
from lovageway.messages import (
    SAME_START,
    BadMessageError,
    GrantLine,
    ShareGrant,
    ShareLine,
    ShareRequest,
    decode,
    encode,
)

amount = st.one_of(st.floats(0, 1e12), st.integers(0, 1 << 41).map(float))
amounts = st.tuples(amount, amount, amount)


class CompactEncoding(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(used=amounts, wanted=amounts, burst=st.one_of(st.just(()), amounts), age=st.integers(0))
    def test_every_amount_arrives_as_it_was_sent(self, used, wanted, burst, age):
        # Guards against a grant that is larger at its holder than in its owner's ledger because
        # the encoding is lossy.
        age = min(age, 1 << 60)
        request = ShareRequest((ShareLine("server:s", 5, used, wanted, 0, burst, "", age),))
        self.assertEqual(decode(encode(request)), request)
        grant = ShareGrant((GrantLine("", 5, 6, used, wanted, (), burst, SAME_START),))
        self.assertEqual(decode(encode(grant)), grant)

    @settings(derandomize=True, deadline=None)
    @given(exact=st.floats(0, 1e12))
    def test_rounded_amounts_stay_on_the_safe_side(self, exact):
        # Guards against grants that are rounded up and small limits that are rounded to zero.
        self.assertLessEqual(round_for_wire(exact), exact)
        self.assertGreaterEqual(round_for_wire(exact), 0.992 * exact)
        self.assertGreaterEqual(round_for_wire(exact, math.ceil), exact)

    def test_a_line_of_a_small_account_is_short(self):
        # Guards against share messages that grow with every field added to their lines.
        used, wanted, granted = (3.0, 0.0, 0.0), (4.0, 3.33203125, 600.0), (5.0, 4.25, 700.0)
        request = ShareRequest((ShareLine("account:a1234", 1 << 30, used, wanted, 9000),))
        self.assertLessEqual(len(encode(request)), 45)
        self.assertLessEqual(len(encode(ShareGrant((GrantLine("", 1 << 30, 9000, granted),)))), 26)

    def test_amounts_out_of_range_are_refused(self):
        # Guards against NaN and infinity, which later comparisons would not reject.
        for bad in (math.nan, math.inf, -math.inf, 1e16, -1e16):
            for column in range(2):
                fields = [[1], [1]]
                fields[column] = [bad]
                data = msgpack.packb([7, [["account:a", 1, *fields, 0]]])
                with self.assertRaises(BadMessageError):
                    decode(data)

    def test_a_restarted_daemon_numbers_its_lines_elsewhere(self):
        # Guards against a late grant to a daemon's previous run at the same address. Grants name no
        # resource, so it would be applied to whichever line of the new run has the same number.
        firsts = sorted(first_seq(f"entry-1/{number:08x}") for number in range(1000))
        near = sum(high - low < 1000 for low, high in zip(firsts, firsts[1:], strict=False))
        self.assertLessEqual(near, 3)


if __name__ == "__main__":
    unittest.main()
