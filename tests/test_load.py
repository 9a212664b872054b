"""Tests of the sums of the loads that daemons report to each other."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.load import (
    MAX_ENTRIES,
    MAX_PEER_LOAD_AGE_S,
    MAX_REGION_LOAD_AGE_S,
    MAX_SUMS,
    ZERO,
    Load,
    LoadTracker,
)

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["peer", "added", "own", "wait"]),
        st.sampled_from("abc"),
        st.dictionaries(st.sampled_from(["i-1", "i-2"]), st.integers(1, 9), max_size=2),
        st.floats(0, 0.6),
    ),
    max_size=30,
)


class Sums(unittest.TestCase):
    def setUp(self):
        self.load_tracker = LoadTracker()

    def test_the_reports_that_are_kept_are_limited(self):
        # Guards against an unknown host whose messages name ever more servers, daemons and regions.
        for number in range(MAX_SUMS + 10):
            loads = {f"i-{number}": Load(1, 10)}
            self.load_tracker.on_other_region(f"r-{number}", loads, 0.0)
            self.load_tracker.on_region_sum(f"a-{number}", loads, 2, 0.0)
        self.assertEqual(len(self.load_tracker.regions(0.1)), MAX_SUMS)
        many = {f"s-{number}": Load(1, 10) for number in range(MAX_ENTRIES // 4)}
        for number in range(6):
            self.load_tracker.on_peer(f"p-{number}", many, 0.1)
        self.assertEqual(self.load_tracker.daemons(), 1 + 4)
        self.load_tracker.forget(0.2 + MAX_PEER_LOAD_AGE_S)
        self.load_tracker.on_peer("p-9", {"i-1": Load(1, 10)}, 2.0)
        self.assertEqual(self.load_tracker.daemons(), 1 + 1)

    @settings(derandomize=True)
    @given(STEPS)
    def test_the_sum_is_that_of_the_last_report_of_each_peer(self, steps):
        # Guards against sums that drift from their parts as messages arrive and peers fall silent.
        load_tracker, reported, own, now = LoadTracker(), {}, {}, 0.0
        for kind, peer, counts, wait_s in steps:
            loads = {server: Load(n, 10 * n, n, n) for server, n in counts.items()}
            if kind == "peer":
                reported[peer] = (now, loads)
                load_tracker.on_peer(peer, loads, now)
            elif kind == "added":
                at, known = reported.get(peer, (now, {}))
                sums = {s: known.get(s, ZERO) + loads.get(s, ZERO) for s in {*known, *loads}}
                reported[peer] = (at, sums)
                load_tracker.on_peer_added(peer, loads, now)
            elif kind == "own":
                for server in loads:
                    own[server] = own.get(server, ZERO) + Load(1, 5)
                    load_tracker.add(server, 5)
            else:
                now += wait_s
            reported = {p: t for p, t in reported.items() if now - t[0] <= MAX_PEER_LOAD_AGE_S}
            for server in ("i-1", "i-2"):
                expected = own.get(server, ZERO)
                for _, loads in reported.values():
                    expected += loads.get(server, ZERO)
                self.assertEqual(load_tracker.at(server, now), expected)

    def test_an_aggregators_sum_counts_where_it_includes_more_daemons(self):
        # In a large fleet, a daemon receives the loads of few daemons of its region; the
        # aggregators receive all.
        self.load_tracker.add("i-1", 10)
        self.load_tracker.on_peer("b", {"i-1": Load(1, 100)}, 0.0)
        self.load_tracker.on_region_sum("c", {"i-1": Load(9, 900)}, 64, 0.0)
        self.load_tracker.on_region_sum("d", {"i-1": Load(2, 200)}, 5, 0.1)
        self.assertEqual(self.load_tracker.at("i-1", 0.2), Load(10, 910))
        self.load_tracker.on_peer_added("e", {"i-1": Load(1, 50, 50)}, 0.3)
        self.assertEqual(self.load_tracker.at("i-1", 0.3), Load(11, 960, 50))
        self.load_tracker.on_region_sum("c", {"i-1": Load(10, 950, 50)}, 64, 0.5)
        self.assertEqual(self.load_tracker.at("i-1", 0.5), Load(11, 960, 50))
        later = 0.6 + MAX_PEER_LOAD_AGE_S
        self.assertEqual(self.load_tracker.at("i-1", later), Load(1, 10))

    def test_reports_of_single_prompts_do_not_replace_an_aggregators_sum(self):
        # Daemons report more prompts in a second than the region has daemons. Guards against
        # engines that look idle because only the newest prompts count.
        self.load_tracker.on_region_sum("c", {"i-1": Load(9, 9000)}, 21, 0.0)
        for number in range(30):
            self.load_tracker.on_peer_added(f"peer-{number}", {"i-2": Load(1, 100, 100)}, 0.1)
        self.assertEqual(self.load_tracker.at("i-1", 0.2), Load(9, 9000))
        self.assertEqual(self.load_tracker.at("i-2", 0.2), Load(30, 3000, 3000))
        self.assertEqual(self.load_tracker.daemons(), 1)

    def test_loads_that_cancel_out_are_accepted(self):
        # Guards against an error at each message of a peer once a sum has become zero.
        self.load_tracker.on_peer("b", {"i-1": ZERO}, 0.0)
        self.load_tracker.on_peer("c", {"i-1": Load(1, 5)}, 0.0)
        self.load_tracker.on_peer("c", {}, 0.1)
        self.load_tracker.on_peer("b", {"i-1": Load(2, 9)}, 0.2)
        self.assertEqual(self.load_tracker.at("i-1", 0.2), Load(2, 9))
        self.assertEqual(self.load_tracker.total_without("b", {})["i-1"], Load(-2, -9))

    def test_an_aggregator_sends_each_daemon_the_load_of_the_others(self):
        # Guards against a daemon that counts its own requests twice.
        self.load_tracker.add("i-1", 10)
        self.load_tracker.on_peer("b", {"i-1": Load(2, 200), "i-2": Load(1, 5)}, 0.0)
        self.load_tracker.on_peer("c", {"i-1": Load(3, 300)}, 0.0)
        total = self.load_tracker.total(0.1)
        self.assertEqual(self.load_tracker.daemons(), 3)
        self.assertEqual(
            self.load_tracker.total_without("b", total), {"i-1": Load(4, 310), "i-2": Load(0, 0)}
        )
        self.assertEqual(self.load_tracker.total_without("unheard", total), total)

    def test_sums_of_other_regions_age_on_their_way(self):
        # Guards against a partitioned region whose last load counts forever because each
        # aggregator forwards it to the next one as new.
        self.load_tracker.on_other_region("r2", {"i-1": Load(1, 100)}, -2.0)
        self.assertAlmostEqual(self.load_tracker.regions(0.1)["r2"][0], 2.1)
        self.assertEqual(self.load_tracker.at("i-1", 0.1), Load(1, 100))
        self.assertEqual(self.load_tracker.at("i-1", MAX_REGION_LOAD_AGE_S - 1.9), ZERO)
        self.load_tracker.on_other_region("r2", {"i-1": Load(2, 200)}, 1.0)
        self.load_tracker.on_other_region("r2", {"i-1": Load(1, 100)}, 0.5)
        self.assertEqual(self.load_tracker.at("i-1", 1.1), Load(2, 200))
