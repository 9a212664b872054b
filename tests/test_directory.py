"""Tests of the daemons that the directory returns."""

import unittest

from lovageway.forwarding.directory import MAX_ADDRESSES, addresses
from lovageway.forwarding.members import LEAVING, READY, STARTING, MemberFacts


def facts(ip, region="r1", state=READY):
    return MemberFacts(ip, 1, 1, state, "z", region)


def returned(members, region="r1", bound_regions=frozenset()):
    return [item.ip for item in addresses(members, region, bound_regions)]


class Returned(unittest.TestCase):
    def test_only_ready_daemons_are_returned(self):
        # Guards against clients that are sent to starting or leaving daemons.
        found = [facts("a"), facts("b", state=STARTING), facts("c", state=LEAVING)]
        self.assertEqual(returned(found), ["a"])

    def test_the_clients_region_goes_first_and_others_replace_it_when_it_is_lost(self):
        # Guards against traffic between regions, and against clients that get no address.
        found = [facts("a", "r1"), facts("b", "r2")]
        self.assertEqual(returned(found, "r2"), ["b"])
        self.assertEqual(returned(found, "r3"), ["a", "b"])

    def test_a_client_without_daemons_in_its_region_gets_those_of_the_bound_regions(self):
        # Guards against bodies sent to a region that is neither bound nor the client's own.
        found = [facts("a", "r1"), facts("b", "r2")]
        self.assertEqual(returned(found, "r3", frozenset({"r2"})), ["b"])

    def test_an_answer_is_bounded(self):
        self.assertEqual(len(returned([facts(f"d{n}") for n in range(390)])), MAX_ADDRESSES)
