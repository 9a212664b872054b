"""Tests of backend servers as the store and their answers describe them."""

import unittest

from lovageway.forwarding.members import READY, MemberFacts, Members
from lovageway.forwarding.replicas import EXPIRY_GRACE_S, MAX_SUSPENSION_S, Replicas
from tests.replicabuilders import BOUNDS, replica, service

ANYWHERE = frozenset()


class Entries(unittest.TestCase):
    def setUp(self):
        self.replicas = Replicas(BOUNDS)

    def usable(self, now=0.0, daemons=1, **fields):
        found = self.replicas.usable(service(**fields), ANYWHERE, daemons, now)
        return [entry.id for entry in found]

    def test_a_leaving_server_is_reported_once_and_not_used(self):
        # Guards against migrations that start twice for the same announcement.
        self.replicas.on_entry(replica(), 0.0)
        self.assertTrue(self.replicas.on_entry(replica(leaving=True), 1.0).leaves)
        self.assertFalse(self.replicas.on_entry(replica(leaving=True), 2.0).leaves)
        self.assertEqual(self.usable(), [])

    def test_a_removed_entry_counts_as_an_unannounced_leave(self):
        # Guards against new work for servers that leave without an announcement.
        self.replicas.on_entry(replica(), 0.0)
        self.assertTrue(self.replicas.on_removed("i-1", 1.0, expired=False).leaves)
        self.assertEqual(self.usable(), [])

    def test_an_entry_that_expired_in_a_store_outage_is_used_until_the_grace_ends(self):
        # Guards against losing every server when the store was unavailable for a while.
        self.replicas.on_entry(replica(), 0.0)
        self.assertIsNone(self.replicas.on_removed("i-1", 10.0, expired=True))
        self.assertEqual(self.usable(10.0), ["i-1"])
        self.assertEqual(self.replicas.tick(10.0 + EXPIRY_GRACE_S - 0.1), [])
        self.assertTrue(self.replicas.tick(10.0 + EXPIRY_GRACE_S)[0].leaves)
        self.assertEqual(self.usable(13.0), [])

    def test_an_expired_entry_that_is_back_stays(self):
        # Guards against dropping a server that the store lists again.
        self.replicas.on_entry(replica(), 0.0)
        self.replicas.on_removed("i-1", 10.0, expired=True)
        self.replicas.on_entry(replica(), 11.0)
        self.assertEqual(self.replicas.tick(13.0), [])
        self.assertEqual(self.usable(13.0), ["i-1"])

    def test_a_server_that_started_again_under_its_id_is_a_new_one(self):
        # Guards against failures and leave announcements of an earlier process.
        self.replicas.on_entry(replica(), 0.0).entry.on_unreachable(0.0)
        self.replicas.on_entry(replica(started_at_ms=2), 0.1)
        self.assertEqual(self.usable(0.1), ["i-1"])

    def test_an_unreachable_server_is_tried_again_after_a_bounded_time(self):
        # Guards against a server that is never used again after a crash.
        entry = self.replicas.on_entry(replica(), 0.0).entry
        for _ in range(10):
            entry.on_unreachable(0.0)
        self.assertEqual(self.usable(MAX_SUSPENSION_S - 0.1), [])
        self.assertEqual(self.usable(MAX_SUSPENSION_S), ["i-1"])

    def test_all_daemons_together_stay_within_the_bound_of_a_cold_server(self):
        # A server returns cold, and eight daemons decide independently of each other.
        fleets = [Replicas(BOUNDS) for _ in range(8)]
        for fleet in fleets:
            fleet.on_entry(replica(cold_s=5.0), 0.0)
        cold = service(cold_s=5.0, cold_per_s=41.0)
        sent = []
        for step in range(2000):
            now = step * 0.002
            for entry in fleets[step % 8].usable(cold, ANYWHERE, 8, now):
                fleets[step % 8].on_send(entry, now)
                sent.append(now)
        bound = 41.0 * BOUNDS.cold_overshoot + BOUNDS.cold_tolerance
        for begin in range(3):
            self.assertLessEqual(sum(begin <= at < begin + 1 for at in sent), bound)
        self.assertGreater(len(sent), 100)


class ColdServersOfLargeFleets(unittest.TestCase):
    """A server returns cold in a fleet with more daemons than its bound of requests a second."""

    DAEMONS = 195
    COLD = service(cold_s=60.0, cold_per_s=19.0)
    BOUND = 19.0 * BOUNDS.cold_overshoot + BOUNDS.cold_tolerance

    def setUp(self):
        self.facts = [
            MemberFacts(f"10.0.{n % 3}.{n}", 1, 1, READY, "z", f"r{n % 3}")
            for n in range(self.DAEMONS)
        ]
        self.replicas = [Replicas(BOUNDS) for _ in self.facts]
        for known in self.replicas:
            known.on_entry(replica(cold_s=60.0), 0.0)

    def members(self, number, others, started_at=-100.0):
        members = Members(self.facts[number], (), started_at)
        for facts in others:
            members.on_heartbeat(facts, 0.0)
        return members

    def worst_second(self, fleet, until=3.0):
        """Every daemon sends whatever it may; return the most requests of any second."""
        sent = []
        for step in range(int(until * 50)):
            now = step / 50
            for known, members in zip(self.replicas, fleet, strict=True):
                sharers = members.count_sharers(now)
                found = known.usable(self.COLD, ANYWHERE, sharers, now, members.rank)
                for entry in found:
                    known.on_send(entry, now)
                    sent.append(now)
        return max((sum(at <= other < at + 1.0 for other in sent) for at in set(sent)), default=0)

    def test_the_sum_holds_where_each_daemon_has_all_members(self):
        # Guards against one request a second from each of 195 daemons.
        fleet = [self.members(n, self.facts) for n in range(self.DAEMONS)]
        worst = self.worst_second(fleet)
        self.assertLessEqual(worst, self.BOUND)
        self.assertGreater(worst, self.BOUND / 2)

    def test_daemons_that_have_just_started_send_nothing_until_they_have_the_members(self):
        # Guards against restarted daemons that assume to be alone after many were killed at once.
        fleet = [
            self.members(n, self.facts if n % 2 else [], -100.0 if n % 2 else 0.0)
            for n in range(self.DAEMONS)
        ]
        self.assertLessEqual(self.worst_second(fleet, until=2.9), self.BOUND)

    def test_a_partitioned_region_takes_no_larger_share(self):
        # Guards against two sides of a partition that each use the complete bound.
        fleet = [self.members(n, self.facts) for n in range(self.DAEMONS)]
        for number, members in enumerate(fleet):
            for facts in self.facts:
                if facts.region == self.facts[number].region:
                    members.on_heartbeat(facts._replace(counter=2), 10.0)
            members.tick(10.0)
            self.assertEqual(members.count(10.0), self.DAEMONS / 3)
        self.assertLessEqual(self.worst_second(fleet), self.BOUND)
