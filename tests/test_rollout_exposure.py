"""Tests of the exposure of a new version: the bound holds over any number of daemons."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.rollout.exposure import Exposure

SHARE, TOLERANCE, DURATION_S = 0.1, 50.0, 30.0


class Fleet:
    """Daemons that send whatever their own part of the bound allows."""

    def __init__(self, daemons, seed):
        self.rng = Random(seed)
        self.parts = [self.start(False, 0.0) for _ in range(daemons)]
        self.sent = self.sent_new = 0

    def start(self, has_history, now):
        rng = Random(self.rng.random())
        return Exposure(SHARE, TOLERANCE, rng, has_history=has_history, now=now)

    def request(self, number, counted, now):
        part = self.parts[number]
        is_new = part.has_room(counted, DURATION_S - now, now)
        part.on_send(is_new=is_new)
        self.sent += 1
        self.sent_new += is_new


class Bound(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        daemons=st.integers(1, 390),
        per_s=st.floats(1.0, 120.0),
        skew=st.floats(0.0, 3.0),
        restarts=st.floats(0.0, 0.6),
        seed=st.integers(0, 1 << 30),
    )
    def test_the_sum_stays_within_the_bound(self, daemons, per_s, skew, restarts, seed):
        # Guards against daemons that each stay within a bound that all of them together exceed:
        # few or many requests each, uneven ones, daemons that restart, also all at once.
        fleet, rng = Fleet(daemons, seed), Random(seed)
        weights = [rng.random() ** skew + 0.01 for _ in range(daemons)]
        restart_at = DURATION_S * rng.random()
        for tick in range(int(per_s * DURATION_S)):
            now = tick / per_s
            if now >= restart_at:
                restart_at = float("inf")
                for number in rng.sample(range(daemons), int(restarts * daemons)):
                    fleet.parts[number] = fleet.start(True, now)
            fleet.request(rng.choices(range(daemons), weights)[0], daemons, now)
        self.assertLessEqual(fleet.sent_new, SHARE * fleet.sent + TOLERANCE)

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(daemons=st.integers(2, 390), ends=st.floats(0.6, 1.0), seed=st.integers(0, 1 << 30))
    def test_the_sum_holds_where_traffic_ends_early(self, daemons, ends, seed):
        # Guards against a part of requests that were expected and did not come. The phases in which
        # a daemon uses its whole part begin after half of the time.
        fleet, rng = Fleet(daemons, seed), Random(seed)
        for tick in range(int(70 * ends * DURATION_S)):
            now = tick / 70
            part = fleet.parts[rng.randrange(daemons)]
            held = now < 0.5 * DURATION_S and part.sent_new >= 0.05 * part.sent + 1
            is_new = not held and part.has_room(daemons, DURATION_S - now, now)
            part.on_send(is_new=is_new)
            fleet.sent, fleet.sent_new = fleet.sent + 1, fleet.sent_new + is_new
        self.assertLessEqual(fleet.sent_new, SHARE * fleet.sent + TOLERANCE)

    def test_a_daemon_that_does_not_know_the_fleet_has_no_part_of_the_tolerance(self):
        # Guards against a starting daemon that takes the tolerance of all others.
        part = Exposure(SHARE, TOLERANCE, Random(1), has_history=False, now=0.0)
        self.assertLessEqual(part.allowed(float("inf"), 30.0, 0.0), 1)
        self.assertGreaterEqual(part.allowed(1, 30.0, 0.0), 25)

    def test_rare_routes_are_observed_more_often(self):
        # Guards against a fault on a rare route that few answers show, and a share that is
        # exceeded by it.
        part = Exposure(SHARE, TOLERANCE, Random(1), has_history=False, now=0.0)
        taken = {"often": 0, "rare": 0}
        for number in range(2000):
            route = "rare" if number % 20 == 0 else "often"
            is_new = part.is_due(route)
            part.on_chosen(route, 0.05, is_new=is_new)
            taken[route] += is_new
        self.assertAlmostEqual(sum(taken.values()), 100, delta=4)
        self.assertGreater(taken["rare"], 15)
