"""Tests of the choice of the daemons that watch the store."""

import unittest

from lovageway.forwarding.members import LEAVING, READY, Candidate, MemberFacts
from lovageway.forwarding.watchers import (
    MAX_ALL_WATCH_DAEMONS,
    MAX_SILENCE_S,
    WATCHERS,
    should_watch,
)


def fleet(count, region="r1"):
    return [MemberFacts(f"{region}-{n}", 1, 1, READY, "z", region) for n in range(count)]


def watchers(facts, silent=(), lost=()):
    """Return the addresses of the daemons that watch, each decided from its own view."""
    found = []
    for own in facts:
        others = [
            Candidate(item, 2 * MAX_SILENCE_S if item.ip in silent else 0.1, item.ip in lost)
            for item in facts
            if item is not own
        ]
        if own.ip not in silent and should_watch(own, own.ip in lost, others, len(facts)):
            found.append(own.ip)
    return found


class Watchers(unittest.TestCase):
    def test_all_watch_in_a_small_fleet(self):
        self.assertEqual(len(watchers(fleet(MAX_ALL_WATCH_DAEMONS))), MAX_ALL_WATCH_DAEMONS)

    def test_two_of_each_region_watch_in_a_large_one(self):
        # Guards against store calls that grow with the number of daemons.
        facts = fleet(40) + fleet(37, "r2")
        found = watchers(facts)
        self.assertEqual(sum(ip.startswith("r1") for ip in found), WATCHERS)
        self.assertEqual(len(found), 2 * WATCHERS)

    def test_silent_and_leaving_watchers_are_replaced(self):
        # Guards against a fleet that receives no changes after its watchers were killed.
        facts = fleet(40)
        first = watchers(facts)
        found = watchers(facts, silent=first)
        self.assertEqual((len(found), set(found) & set(first)), (WATCHERS, set()))
        leaving = [f._replace(state=LEAVING) if f.ip in first else f for f in facts]
        self.assertGreaterEqual(len(set(watchers(leaving)) - set(first)), WATCHERS)

    def test_watchers_whose_store_calls_fail_are_joined_by_others(self):
        # Guards against a fleet that receives no changes because the store refuses only its
        # watchers.
        facts = fleet(40)
        first = watchers(facts)
        found = watchers(facts, lost=first)
        self.assertEqual(len(set(found) - set(first)), WATCHERS)

    def test_few_daemons_retry_while_the_store_is_unreachable_from_all(self):
        # Guards against calls from every daemon of a fleet to a store that is down.
        facts = fleet(40)
        self.assertEqual(len(watchers(facts, lost=[f.ip for f in facts])), WATCHERS)
