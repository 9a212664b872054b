"""Capacity of backend servers as computed by their owner, and the credit of one daemon."""

import unittest
from unittest import mock

from lovageway.controllers.backends import MAX_SUBSET, Backends
from lovageway.controllers.membership import rendezvous_weight
from lovageway.controllers.ownership import Ownership
from lovageway.controllers.shares import Shares
from lovageway.events import AttemptFailed, ReadLoad
from lovageway.messages import Member, ServerObservation
from lovageway.model import Identity, LoadReport, ServerRule, Service, Snapshot, Vm, Zone

SERVICE = Service("crock-llm", "engine", cold_slots=2, full_slots=16, ramp_s=10.0)
NODE = "entry/1"


def snapshot(version=1, zone=True, server=True):
    zones = {name: Zone(name, name, zone or name != "gobi") for name in ("gobi", "khangai")}
    rules = {"s0": ServerRule("s0", server)}
    return Snapshot(version, {}, {"crock-llm": SERVICE}, zones, rules)


class Single:
    """Membership and configuration of a fleet of one daemon."""

    def __init__(self, servers):
        self.node = NODE
        self.identity = Identity("entry", "1", "gobi", "a", "p")
        self.vms = (Vm("entry", "entry", "", "gobi", "a", "p"), *servers)
        self.snapshot = snapshot()

    def live(self):
        return [Member(NODE, "a", "p", "gobi", 0, "live")]

    def has_majority(self):
        return True


class Daemon:
    def __init__(self, *servers):
        self.around = Single(servers or (Vm("s0", "backend", "crock-llm", "gobi", "s:1"),))
        self.shares = Shares(self.around)
        self.backends = Backends(self.around, self.around, self.shares)
        self.shares.register("server", self.backends)
        self.now = 100.0
        self.effects = []
        self.report = LoadReport("run1", 0, 0, 0, 10000)
        self.run(0.8)

    def run(self, seconds):
        """Advance the clock; every read of a load report is answered with `report`."""
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.effects = []
            self.backends.tick(self.now, self.effects.append)
            self.shares.tick(self.now, self.effects.append)
            self.shares.flush(self.now, self.effects.append)
            self.answer()

    def answer(self):
        for effect in self.effects:
            if isinstance(effect, ReadLoad):
                self.backends.on_load(effect.server_id, self.report, self.now)
        self.effects = []

    def limit(self):
        return self.backends.limit("s0", self.now).amounts

    def credits(self):
        return self.backends.credits("crock-llm", self.now)

    def request_credit(self):
        self.backends.request_credit("crock-llm", "request", 100, self.now)
        self.shares.flush(self.now, self.effects.append)

    def fail(self, failure, start_id=None):
        event = AttemptFailed("request", 0, failure, 0, start_id)
        self.backends.attempt_failed("s0", event, self.now, self.effects.append)


def _answer_and_count(daemon):
    readings = [effect for effect in daemon.effects if isinstance(effect, ReadLoad)]
    Daemon.answer(daemon)
    return readings


class Owner(unittest.TestCase):
    def test_the_limit_follows_the_ramp_and_restarts_with_the_server(self):
        # Guards against the limit of a warm server being granted for one that has just started.
        daemon = Daemon()
        self.assertEqual(daemon.limit(), (2, 9000))
        daemon.run(12)
        self.assertEqual(daemon.limit(), (16, 9000))
        daemon.report = daemon.report._replace(start_id="run2")
        daemon.run(0.6)
        self.assertLessEqual(daemon.limit()[0], 3)

    def test_a_server_without_recent_report_gets_one_request_at_a_time(self):
        # Guards against load on a server whose state is unknown.
        daemon = Daemon()
        daemon.run(12)
        daemon.report = None
        daemon.run(4)
        self.assertEqual(daemon.limit()[0], 1)

    def test_a_failed_connection_leaves_one_request_until_a_later_report(self):
        # Guards against use of credit that was granted for the earlier run of a restarted server.
        daemon = Daemon()
        daemon.run(12)
        daemon.fail("lost")
        self.assertEqual(daemon.limit()[0], 1)
        self.assertEqual(daemon.credits(), [])
        daemon.now += 0.01
        daemon.answer()
        self.assertEqual(daemon.limit()[0], 1, "the report was asked for before the failure")
        daemon.run(1)
        self.assertEqual(daemon.limit()[0], 16)

    def test_a_refusal_for_overload_restarts_the_ramp(self):
        # Guards against a server that stays overloaded because its limit is not lowered.
        daemon = Daemon()
        daemon.run(12)
        daemon.fail("refused", "run1")
        daemon.answer()
        daemon.run(1)
        self.assertLessEqual(daemon.limit()[0], 4)

    def test_requests_left_by_dead_daemons_are_taken_off_a_cold_server(self):
        # Guards against an overload when requests run on the server that no share covers.
        daemon = Daemon()
        daemon.report = daemon.report._replace(running=2)
        daemon.run(1.5)
        self.assertLessEqual(daemon.limit()[0], 2)

    def test_a_server_that_is_taken_out_or_leaving_gets_nothing(self):
        # Guards against new requests to a zone or server that operators disabled or that drains.
        for change in ("zone", "server", "vm", "report"):
            daemon = Daemon()
            daemon.run(12)
            daemon.request_credit()
            self.assertTrue(daemon.credits())
            match change:
                case "vm":
                    leaving = daemon.around.vms[1]._replace(state="leaving")
                    daemon.around.vms = (daemon.around.vms[0], leaving)
                case "report":
                    daemon.report = daemon.report._replace(state="leaving")
                case _:
                    daemon.around.snapshot = snapshot(2, **{change: False})
            daemon.run(0.7)
            self.assertEqual(daemon.limit(), (0, 0), change)
            self.assertFalse([view for view in daemon.credits() if view.slots_free], change)

    def test_the_ramp_restarts_when_a_zone_is_brought_back(self):
        # Guards against immediate full load on servers that had no requests.
        daemon = Daemon()
        daemon.run(12)
        daemon.around.snapshot = snapshot(2, zone=False)
        daemon.run(0.5)
        daemon.around.snapshot = snapshot(3)
        daemon.run(0.5)
        self.assertLessEqual(daemon.limit()[0], 3)


class Owned(unittest.TestCase):
    def setUp(self):
        servers = [Vm(f"s{n}", "backend", "crock-llm", "gobi", f"s:{n}") for n in range(50)]
        self.daemon = Daemon(*servers)

    def polled(self):
        """Return the servers whose load report is read within a second."""
        reads = set()
        self.daemon.answer = lambda: reads.update(
            effect.server_id for effect in self.daemon.effects if isinstance(effect, ReadLoad)
        )
        self.daemon.backends._pending_polls.clear()
        self.daemon.run(1.0)
        del self.daemon.answer
        return reads

    def test_ticks_do_not_look_at_every_server(self):
        # Guards against control work that grows with the VM list: with 5,200 servers, looking up
        # each owner and scanning the list ten times a second took 2.8 % of a core.
        with mock.patch.object(Ownership, "owns", autospec=True) as owns:
            self.daemon.run(5.0)
        self.assertEqual(owns.call_count, 0)

    def test_a_daemon_polls_the_servers_that_it_owns_as_owners_change(self):
        # Guards against servers polled by no daemon, or by two, after a daemon joins or dies.
        self.assertEqual(len(self.polled()), 50)
        other = Member("other/1", "b", "q", "gobi", 0, "live")
        alone = self.daemon.around.live
        self.daemon.around.live = lambda: [*alone(), other]
        self.daemon.run(0.5)
        owned = {f"s{n}" for n in range(50) if self.owner(f"s{n}") == NODE}
        self.assertEqual(self.polled(), owned)
        self.daemon.around.live = alone
        self.daemon.run(0.5)
        self.assertEqual(len(self.polled()), 50)

    def owner(self, server_id):
        nodes = (NODE, "other/1")
        return max(nodes, key=lambda node: rendezvous_weight(node, f"server:{server_id}"))

    def test_a_daemon_without_contact_polls_nothing(self):
        # Guards against an owner that continues after it lost contact.
        self.daemon.around.has_majority = lambda: False
        self.daemon.run(0.5)
        self.assertEqual(self.polled(), set())
        self.daemon.around.has_majority = lambda: True
        self.daemon.run(0.5)
        self.assertEqual(len(self.polled()), 50)


class Interval(unittest.TestCase):
    def readings(self, daemon, seconds):
        """Return the number of load reports read in `seconds`."""
        self.enterContext(mock.patch.object(daemon, "answer", counted := mock.Mock()))
        counted.side_effect = lambda: found.extend(_answer_and_count(daemon))
        found = []
        daemon.run(seconds)
        return len(found)

    def test_a_server_that_has_been_steady_is_read_once_a_second(self):
        # Guards against two reports per second from each of 13 servers that are steady.
        daemon = Daemon()
        self.assertGreater(self.readings(daemon, 10), 15)
        daemon.run(40)
        self.assertLessEqual(self.readings(daemon, 10), 11)

    def test_a_restart_of_a_steady_server_is_noticed_within_the_longer_interval(self):
        # Guards against the limit of a warm server for one that restarted between two reports.
        daemon = Daemon()
        daemon.run(50)
        daemon.report = daemon.report._replace(start_id="run2")
        daemon.run(1.1)
        self.assertLessEqual(daemon.limit()[0], 3)
        self.assertGreater(self.readings(daemon, 10), 15, "it ramps")

    def test_whatever_disturbs_a_server_brings_the_short_interval_back(self):
        # Guards against state of an overloaded or failing server that is a second old.
        changes = {
            "waiting": {"waiting": 1},
            "memory": {"memory_used": 6000},
            "preemptions": {"preemptions": 3},
            "leaving": {"state": "leaving"},
        }
        for name in ("none", "lost", "refused", *changes):
            with self.subTest(name):
                daemon = Daemon()
                daemon.run(50)
                if name in changes:
                    daemon.report = daemon.report._replace(**changes[name])
                elif name != "none":
                    daemon.fail(name, "run1")
                    daemon.answer()
                daemon.run(1.1)
                expected = self.assertLess if name == "none" else self.assertGreater
                expected(self.readings(daemon, 10), 15)

    def test_a_failed_reading_of_a_steady_server_is_repeated_before_the_report_is_too_old(self):
        # Guards against a single lost answer that reduces a server's credit to one request.
        daemon = Daemon()
        daemon.run(50)
        daemon.answer = lambda: None
        daemon.run(1.1)
        polled_at = daemon.backends._pending_polls["s0"]
        while daemon.now < polled_at + 1.5:  # the timeout of a read
            daemon.run(0.1)
            self.assertEqual(daemon.limit()[0], 16)
        daemon.backends.on_load("s0", None, daemon.now)
        del daemon.answer
        daemon.run(0.1)
        self.assertEqual(daemon.limit()[0], 16)
        self.assertLess(daemon.now - daemon.backends._loads["s0"].read_at, 0.2)


class Credit(unittest.TestCase):
    def test_a_share_of_another_run_is_void(self):
        # Guards against credit that outlives the run of the server that it was granted for.
        daemon = Daemon()
        daemon.run(12)
        daemon.request_credit()
        self.assertTrue(daemon.credits())
        daemon.backends.attempt_started("s0", "run2", daemon.now, daemon.effects.append)
        self.assertEqual(daemon.credits(), [])
        late = ServerObservation("s0", "run1")
        daemon.backends.on_message("x/1", "x", late, daemon.now, daemon.effects.append)
        self.assertEqual(daemon.limit()[0], 2)

    def test_requests_that_fail_together_suspend_a_server_once(self):
        # Guards against a long suspension of a server after one burst of failed connections.
        daemon = Daemon()
        daemon.run(12)
        daemon.request_credit()
        for _ in range(20):
            daemon.fail("connect")
        daemon.run(1)
        daemon.request_credit()
        daemon.run(0.1)
        self.assertTrue(daemon.credits())

    def test_a_daemon_uses_a_bounded_subset_with_its_own_zone_first(self):
        # Guards against a cost for each request that grows with the number of servers.
        servers = [
            Vm(f"s{n}", "backend", "crock-llm", ("khangai", "gobi")[n < 10], f"s:{n}")
            for n in range(100)
        ]
        daemon = Daemon(*servers)
        daemon.run(3)
        daemon.credits()
        daemon.run(1)
        views = daemon.credits()
        self.assertLessEqual(len(views), MAX_SUBSET)
        self.assertTrue({view.vm.vm_id for view in views} & {f"s{n}" for n in range(10)})
        subset = daemon.backends._subset("crock-llm")
        self.assertEqual({vm.zone for vm in subset[:10]}, {"gobi"})
        self.assertEqual(len(subset), MAX_SUBSET)
