"""The daemons that a daemon knows of."""

import unittest
from random import Random

from lovageway.forwarding.members import (
    COLLECTORS,
    DEAD_AFTER_S,
    ELSEWHERE,
    FAR_DEAD_AFTER_S,
    FORGET_AFTER_S,
    LEAVING,
    LEAVING_DEAD_AFTER_S,
    READY,
    RELAYED_NEAR,
    SENDERS,
    SILENT_S,
    STARTING,
    MemberFacts,
    Members,
    order,
)


def facts(ip, counter=1, incarnation=1, state=READY, region="r1"):
    return MemberFacts(ip, incarnation, counter, state, "z1", region)


class Known(unittest.TestCase):
    def setUp(self):
        self.members = Members(facts("a", state=STARTING), ("a", "b"))

    def test_a_silent_daemon_is_dead(self):
        # Guards against a directory that names daemons that were killed.
        self.members.on_heartbeat(facts("b"), 0.0)
        self.assertEqual(self.members.count(1.0), 2)
        self.assertEqual(self.members.count(DEAD_AFTER_S + 0.1), 1)

    def test_old_news_does_not_keep_a_daemon_alive(self):
        # Guards against datagrams that arrive late or are passed on by others.
        self.members.on_heartbeat(facts("b", counter=9), 0.0)
        self.members.on_heartbeat(facts("b", counter=8), 5.0)
        self.members.on_relayed(facts("b", counter=9), 5.0)
        self.assertEqual(self.members.count(5.0), 1)

    def test_a_restarted_daemon_replaces_its_former_process_whatever_its_clock(self):
        # Guards against a daemon that is ignored since its time of day went back.
        self.members.on_heartbeat(facts("b", counter=900, incarnation=50), 0.0)
        self.assertTrue(self.members.on_heartbeat(facts("b", incarnation=20, state=STARTING), 1.0))
        self.assertEqual(self.members.alive(1.0)[0].state, STARTING)
        self.members.on_relayed(facts("b", counter=901, incarnation=50), 1.1)
        self.assertEqual(self.members.alive(1.1)[0].incarnation, 20)

    def test_daemons_are_found_through_others_and_forgotten(self):
        # Guards against a daemon that never learns of one that is no seed.
        self.members.on_relayed(facts("c"), 0.0)
        self.assertIn("c", self.members.targets(0.1, Random(1)).reports)
        self.members.tick(FORGET_AFTER_S + 1)
        self.assertEqual(self.members.alive(FORGET_AFTER_S + 1), [])

    def test_a_leaving_daemon_is_dead_sooner_and_a_new_region_replaces_the_old_one(self):
        # Guards against counts that keep a daemon twice, or too long after its state changed.
        self.members.on_heartbeat(facts("b"), 0.0)
        self.members.on_heartbeat(facts("b", counter=2, state=LEAVING), 0.1)
        self.assertEqual(self.members.count(0.2 + LEAVING_DEAD_AFTER_S), 1)
        moved = facts("c", incarnation=2)._replace(region="r2")
        self.members.on_heartbeat(facts("c"), 2.0)
        self.members.on_heartbeat(moved, 2.1)
        self.assertEqual(self.members.alive(2.2), [moved])
        self.assertEqual(self.members.count(2.2), 2)
        self.assertEqual(self.members.near(2.2), [])


def fleet(daemons, regions=3):
    """Return the views of daemons that all know each other."""
    known = [facts(f"10.0.{n % regions}.{n}", region=f"r{n % regions}") for n in range(daemons)]
    views = [Members(own, ()) for own in known]
    for view in views:
        for item in known:
            view.on_heartbeat(item, 0.0)
    return views


class LargeFleet(unittest.TestCase):
    def test_the_messages_of_a_tick_grow_with_the_fleet_and_not_with_its_square(self):
        # Guards against a cost of control that grows with the square of the fleet.
        for daemons in (91, 195, 390):
            views = fleet(daemons)
            sent = 0
            for view in views:
                to = view.targets(0.1, Random(1))
                self.assertLessEqual(len(to.reports), COLLECTORS + 1)
                self.assertLessEqual(len(to.other_regions), 2 * ELSEWHERE)
                sent += len(to.reports) + len(to.region) + len(to.other_regions)
            reports = daemons * (COLLECTORS + 1)
            self.assertLessEqual(
                sent, reports + COLLECTORS * daemons + 3 * COLLECTORS * 2 * ELSEWHERE
            )

    def test_each_daemon_reports_to_the_collectors_and_hears_their_sum(self):
        # Guards against daemons whose load nobody adds up, or that hear of no other load.
        views = {view.own.ip: view for view in fleet(60)}
        to = {ip: view.targets(0.1, Random(1)) for ip, view in views.items()}
        for region in ("r0", "r1", "r2"):
            near = {ip for ip, view in views.items() if view.own.region == region}
            first = sorted(near, key=order)[:COLLECTORS]
            senders = first[:SENDERS]
            self.assertEqual([ip for ip in sorted(near, key=order) if to[ip].region], senders)
            for ip in near:
                self.assertLessEqual({*first} - {ip}, {*to[ip].reports})
                hears = [sender for sender in senders if ip in to[sender].region]
                self.assertEqual(len(hears), 0 if ip in first else SENDERS)
            other_regions = {views[ip].own.region for ip in to[first[0]].other_regions}
            self.assertEqual(other_regions, {"r0", "r1", "r2"} - {region})

    def test_a_silent_or_leaving_collector_is_replaced(self):
        # Guards against a region without sums while its collectors are frozen or stop.
        view = fleet(60)[0]
        first, second, *_ = view.collectors(0.1)
        later = SILENT_S + 0.1
        for item in list(view.alive(0.1)):
            if item.ip != first:
                state = LEAVING if item.ip == second else READY
                view.on_heartbeat(item._replace(counter=5, state=state), later - 0.05)
        collectors = view.collectors(later)
        self.assertEqual(len(collectors), COLLECTORS)
        self.assertFalse({first, second} - {view.own.ip} & {*collectors})

    def test_a_region_hears_of_its_daemons_without_its_collectors(self):
        # Guards against a region that takes all its daemons for dead when three of them freeze.
        view = next(view for view in fleet(60) if view.own.ip not in view.collectors(0.1))
        rng = Random(1)
        reached = set()
        for _ in range(300):
            reached.update(view.targets(0.1, rng).reports)
        self.assertLessEqual({*view.near(0.1)}, reached)

    def test_every_member_is_described_in_turn(self):
        # Guards against daemons that are never described and count as dead elsewhere.
        view = fleet(195)[0]
        for aggregator in (False, True):
            seen, near = set(), []
            for _ in range(100):
                described = view.relayed(0.1, aggregator=aggregator)
                seen.update(item.ip for item in described)
                near.append(sum(item.region == "r0" for item in described))
            self.assertEqual(len(seen), 194)
        # A collector describes each daemon of its region about once a second.
        self.assertGreaterEqual(min(near), RELAYED_NEAR)

    def test_a_far_daemon_that_others_tell_of_may_be_silent_for_longer(self):
        # Guards against far daemons that are dead for a moment whenever their turn comes late.
        view = fleet(3)[0]
        near, far = facts("n", region="r0"), facts("f", region="r1")
        view.on_relayed(near, 1.0)
        view.on_relayed(far, 1.0)
        view.on_heartbeat(facts("d", region="r1"), 1.0)
        late = 1.1 + DEAD_AFTER_S
        self.assertEqual([item.ip for item in view.alive(late)], ["f"])
        self.assertEqual(view.alive(1.1 + FAR_DEAD_AFTER_S), [])

    def test_news_of_both_kinds_leave_no_trace_beyond_their_time(self):
        # Guards against memory and work that grow for as long as a daemon lives.
        view = fleet(3)[0]
        for step in range(5000):
            item = facts("f", counter=step, region="r1")
            (view.on_heartbeat if step % 2 else view.on_relayed)(item, step / 10)
            view.count(step / 10)
        self.assertLess(len(view._due), 60)
        self.assertEqual([item.ip for item in view.alive(500.0)], ["f"])
        self.assertEqual(view.alive(500.0 + FAR_DEAD_AFTER_S), [])
        self.assertEqual(view._due, [])
