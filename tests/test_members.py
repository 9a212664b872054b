"""Tests of the membership: liveness, incarnations and the destinations of heartbeats."""

import unittest
from random import Random

from lovageway.forwarding.members import (
    AGGREGATORS,
    DEAD_AFTER_S,
    FORGET_AFTER_S,
    LEAVING,
    LEAVING_DEAD_AFTER_S,
    MAX_DAEMONS,
    MAX_RELAYED_OWN_REGION,
    MAX_SILENCE_S,
    OTHER_REGION_DEAD_AFTER_S,
    OTHER_REGION_TARGETS,
    READY,
    SENDING_AGGREGATORS,
    STARTING,
    MemberFacts,
    Members,
    sort_key,
)


def facts(ip, counter=1, incarnation=1, state=READY, region="r1"):
    return MemberFacts(ip, incarnation, counter, state, "z1", region)


class Liveness(unittest.TestCase):
    def setUp(self):
        self.members = Members(facts("a", state=STARTING), ("a", "b"))

    def test_a_silent_daemon_is_dead(self):
        # Guards against a directory that lists killed daemons.
        self.members.on_heartbeat(facts("b"), 0.0)
        self.assertEqual(self.members.count(1.0), 2)
        self.assertEqual(self.members.count(DEAD_AFTER_S + 0.1), 1)

    def test_a_limited_number_of_daemons_is_known(self):
        # Guards against an unknown host whose messages name ever more daemons.
        for number in range(MAX_DAEMONS + 100):
            self.members.on_relayed(facts(f"n-{number}", region=f"r-{number}"), 0.0)
            self.members.on_heartbeat(facts(f"m-{number}"), 0.0)
        self.assertEqual(self.members.count(0.1), 1 + MAX_DAEMONS)
        self.assertFalse(self.members.on_heartbeat(facts("late"), 0.0))
        self.members.tick(FORGET_AFTER_S + 0.1)
        self.assertTrue(self.members.on_heartbeat(facts("late"), FORGET_AFTER_S + 0.1))
        self.assertEqual(self.members.count(FORGET_AFTER_S + 0.2), 2)

    def test_an_old_state_does_not_keep_a_daemon_alive(self):
        # Guards against datagrams that arrive late, or relayed state, extending a dead daemon's
        # liveness.
        self.members.on_heartbeat(facts("b", counter=9), 0.0)
        self.members.on_heartbeat(facts("b", counter=8), 5.0)
        self.members.on_relayed(facts("b", counter=9), 5.0)
        self.assertEqual(self.members.count(5.0), 1)

    def test_a_restarted_daemon_replaces_its_former_process_whatever_its_clock(self):
        # Guards against ignoring a restarted daemon whose wall clock went back, which gives it a
        # lower incarnation.
        self.members.on_heartbeat(facts("b", counter=900, incarnation=50), 0.0)
        self.assertTrue(self.members.on_heartbeat(facts("b", incarnation=20, state=STARTING), 1.0))
        self.assertEqual(self.members.alive(1.0)[0].state, STARTING)
        self.members.on_relayed(facts("b", counter=901, incarnation=50), 1.1)
        self.assertEqual(self.members.alive(1.1)[0].incarnation, 20)

    def test_daemons_are_found_through_others_and_forgotten(self):
        # Guards against a daemon that is never discovered because it is not a seed.
        self.members.on_relayed(facts("c"), 0.0)
        self.assertIn("c", self.members.targets(0.1, Random(1)).reports)
        self.members.tick(FORGET_AFTER_S + 1)
        self.assertEqual(self.members.alive(FORGET_AFTER_S + 1), [])

    def test_a_leaving_daemon_is_dead_sooner_and_a_new_region_replaces_the_old_one(self):
        # Guards against counting a daemon twice, or for too long after its state changed.
        self.members.on_heartbeat(facts("b"), 0.0)
        self.members.on_heartbeat(facts("b", counter=2, state=LEAVING), 0.1)
        self.assertEqual(self.members.count(0.2 + LEAVING_DEAD_AFTER_S), 1)
        moved = facts("c", incarnation=2)._replace(region="r2")
        self.members.on_heartbeat(facts("c"), 2.0)
        self.members.on_heartbeat(moved, 2.1)
        self.assertEqual(self.members.alive(2.2), [moved])
        self.assertEqual(self.members.count(2.2), 2)
        self.assertEqual(self.members.in_own_region(2.2), [])


def fleet(daemons, regions=3):
    """Return the membership of each daemon of a fleet, with all others known."""
    known = [facts(f"10.0.{n % regions}.{n}", region=f"r{n % regions}") for n in range(daemons)]
    views = [Members(own, ()) for own in known]
    for view in views:
        for item in known:
            view.on_heartbeat(item, 0.0)
    return views


class LargeFleet(unittest.TestCase):
    def test_the_messages_of_a_tick_grow_with_the_fleet_and_not_with_its_square(self):
        # Guards against control traffic that grows with the square of the fleet's size.
        for daemons in (91, 195, 390):
            views = fleet(daemons)
            sent = 0
            for view in views:
                to = view.targets(0.1, Random(1))
                self.assertLessEqual(len(to.reports), AGGREGATORS + 1)
                self.assertLessEqual(len(to.other_regions), 2 * OTHER_REGION_TARGETS)
                sent += len(to.reports) + len(to.region) + len(to.other_regions)
            reports = daemons * (AGGREGATORS + 1)
            self.assertLessEqual(
                sent, reports + AGGREGATORS * daemons + 3 * AGGREGATORS * 2 * OTHER_REGION_TARGETS
            )

    def test_each_daemon_reports_to_the_aggregators_and_receives_their_total(self):
        # Guards against daemons whose load is missing from the total, or that receive no total.
        views = {view.own.ip: view for view in fleet(60)}
        to = {ip: view.targets(0.1, Random(1)) for ip, view in views.items()}
        for region in ("r0", "r1", "r2"):
            near = {ip for ip, view in views.items() if view.own.region == region}
            first = sorted(near, key=sort_key)[:AGGREGATORS]
            senders = first[:SENDING_AGGREGATORS]
            self.assertEqual([ip for ip in sorted(near, key=sort_key) if to[ip].region], senders)
            for ip in near:
                self.assertLessEqual({*first} - {ip}, {*to[ip].reports})
                received = [sender for sender in senders if ip in to[sender].region]
                self.assertEqual(len(received), 0 if ip in first else SENDING_AGGREGATORS)
            other_regions = {views[ip].own.region for ip in to[first[0]].other_regions}
            self.assertEqual(other_regions, {"r0", "r1", "r2"} - {region})

    def test_a_silent_or_leaving_aggregator_is_replaced(self):
        # Guards against a region without totals while its aggregators are frozen or stopping.
        view = fleet(60)[0]
        first, second, *_ = view.aggregators(0.1)
        later = MAX_SILENCE_S + 0.1
        for item in list(view.alive(0.1)):
            if item.ip != first:
                state = LEAVING if item.ip == second else READY
                view.on_heartbeat(item._replace(counter=5, state=state), later - 0.05)
        aggregators = view.aggregators(later)
        self.assertEqual(len(aggregators), AGGREGATORS)
        self.assertFalse({first, second} - {view.own.ip} & {*aggregators})

    def test_membership_spreads_in_a_region_without_its_aggregators(self):
        # Guards against a region that counts all its daemons as dead when its three aggregators
        # freeze.
        view = next(view for view in fleet(60) if view.own.ip not in view.aggregators(0.1))
        rng = Random(1)
        reached = set()
        for _ in range(300):
            reached.update(view.targets(0.1, rng).reports)
        self.assertLessEqual({*view.in_own_region(0.1)}, reached)

    def test_every_member_is_described_in_rotation(self):
        # Guards against daemons that are never described and count as dead in other regions.
        view = fleet(195)[0]
        for aggregator in (False, True):
            seen, near = set(), []
            for _ in range(100):
                described = view.relayed(0.1, aggregator=aggregator)
                seen.update(item.ip for item in described)
                near.append(sum(item.region == "r0" for item in described))
            self.assertEqual(len(seen), 194)
        # An aggregator describes each daemon of its region about once a second.
        self.assertGreaterEqual(min(near), MAX_RELAYED_OWN_REGION)

    def test_a_relayed_daemon_of_another_region_expires_later(self):
        # Guards against daemons of other regions that briefly count as dead whenever the rotation
        # reaches them late.
        view = fleet(3)[0]
        near, far = facts("n", region="r0"), facts("f", region="r1")
        view.on_relayed(near, 1.0)
        view.on_relayed(far, 1.0)
        view.on_heartbeat(facts("d", region="r1"), 1.0)
        late = 1.1 + DEAD_AFTER_S
        self.assertEqual([item.ip for item in view.alive(late)], ["f"])
        self.assertEqual(view.alive(1.1 + OTHER_REGION_DEAD_AFTER_S), [])

    def test_direct_and_relayed_states_leave_no_entries_after_expiry(self):
        # Guards against memory and work that grow for as long as a daemon lives.
        view = fleet(3)[0]
        for step in range(5000):
            item = facts("f", counter=step, region="r1")
            (view.on_heartbeat if step % 2 else view.on_relayed)(item, step / 10)
            view.count(step / 10)
        self.assertLess(len(view._expiries), 60)
        self.assertEqual([item.ip for item in view.alive(500.0)], ["f"])
        self.assertEqual(view.alive(500.0 + OTHER_REGION_DEAD_AFTER_S), [])
        self.assertEqual(view._expiries, [])
