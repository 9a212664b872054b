"""A daemon serves requests only under a configuration that is verified to be current."""

import unittest

from lovageway.codes import Code
from lovageway.controllers._freshness import Policy
from lovageway.controllers.configuration import Configuration
from lovageway.events import Count, ReadRows, Row, TableAnswered
from lovageway.messages import Ping
from tests.configuration_world import change, serving_world


class Serving(unittest.TestCase):
    def test_with_the_table_service_down_all_continue_on_majority_contact(self):
        # Guards against an outage of the table service that stops the request path.
        world = serving_world(3)
        world.table_up = False
        world.run(20.0)
        self.assertTrue(all(node.may_serve(world.now) is None for node in world.nodes))

    def test_a_daemon_that_is_cut_off_refuses_and_catches_up_before_it_serves_again(self):
        # Guards against requests served under a configuration that was replaced meanwhile.
        world = serving_world(3)
        world.cut[2] = True
        world.run(2.5)
        self.assertIsNone(world.nodes[2].may_serve(world.now))
        world.run(1.5)
        self.assertEqual(world.nodes[2].may_serve(world.now).code, Code.CONFIG_STALE)
        world.apply(0, "operator-one", change(0))
        world.run(1.0)
        world.table_up, world.cut[2] = False, False
        for _ in range(100):
            world.run(0.05)
            if world.nodes[2].may_serve(world.now) is None:
                break
            self.assertNotEqual(world.nodes[2].may_serve(world.now), None)
        self.assertEqual(world.nodes[2].snapshot.version, 2)

    def test_a_restarted_daemon_does_not_start_from_a_stale_peer(self):
        # Guards against a revert: two of three daemons have version 2. One of them restarts and
        # reaches only the third, which has an older version.
        world = serving_world(3)
        world.cut[2] = True
        world.apply(0, "operator-one", change(0))
        world.run(1.0)
        world.table_up = False
        world.crash(1)
        world.crash(0)
        world.start(1)
        world.cut[2] = False
        world.run(20.0)
        self.assertEqual(world.nodes[1].may_serve(world.now).code, Code.STARTING)
        world.up[0] = True  # resumed after a pause, so its process still has version 2
        world.run(5.0)
        self.assertIsNone(world.nodes[1].may_serve(world.now))
        self.assertEqual([node.snapshot.version for node in world.nodes], [2, 2, 2])

    def test_daemons_that_have_just_started_do_not_confirm_each_other(self):
        # Guards against a revert when more than half of the VMs restart during an outage of the
        # table service.
        world = serving_world(3)
        world.cut[2] = True
        world.apply(0, "operator-one", change(0))
        world.run(1.0)
        world.table_up = False
        for number in (0, 1):
            world.crash(number)
            world.start(number)
        world.run(1.0)
        world.cut[2] = False
        world.run(20.0)
        self.assertTrue(all(node.may_serve(world.now) for node in world.nodes))
        world.table_up = True
        world.run(5.0)
        self.assertEqual([node.snapshot.version for node in world.nodes], [2, 2, 2])

    def test_a_paused_process_does_not_serve_under_its_old_state(self):
        # Guards against a resumed process that serves before it has checked its version again.
        world = serving_world(3)
        world.table_up = False
        world.run(5.0)
        world.now += 60.0
        self.assertEqual(world.nodes[0].may_serve(world.now).code, Code.CONFIG_STALE)

    def test_a_daemon_that_is_behind_and_cannot_catch_up_refuses(self):
        # Guards against a daemon with majority contact that serves although it lacks a reported
        # version.
        world = serving_world(3)
        world.table_up = False
        world.run(5.0)
        world.nodes[0].on_message("vm1/9", "p1", Ping(1, 2, -1.0, ()), world.now, world.emit(0))
        world.messages.clear()
        world.run(1.0)
        self.assertIsNone(world.nodes[0].may_serve(world.now))
        world.run(3.0)
        self.assertEqual(world.nodes[0].may_serve(world.now).code, Code.CONFIG_STALE)
        self.assertIsNone(world.nodes[1].may_serve(world.now))

    def test_minority_max_age_extends_service(self):
        # Guards against a setting without effect.
        node = Configuration(None, Policy(minority_max_age_s=60.0))
        effects = []
        node.tick(0.0, effects.append)
        rows = {"config/head": Row({"version": 1}, 1)}
        node.on_table(TableAnswered(effects[-1].op_id, "ok", rows), 0.1, effects.append)
        self.assertIsNone(node.may_serve(59.0))
        self.assertEqual(node.may_serve(61.0).code, Code.CONFIG_STALE)

    def test_a_delayed_answer_does_not_make_the_daemon_look_fresh(self):
        # Guards against a relayed freshness that omits the time in transit.
        world = serving_world(2)
        world.table_up = False
        world.run(2.0)
        world.ping(0, 1)
        world.deliver(0)
        ages = [node._freshness.age(world.now) for node in world.nodes]
        world.now += 2.0
        while world.messages:
            world.deliver(0)
        self.assertGreaterEqual(world.nodes[0]._freshness.age(world.now), min(ages) + 2.0)

    def test_a_delayed_head_does_not_make_the_daemon_look_fresh(self):
        # Guards against a freshness that counts from the answer of a read, because changes may be
        # committed between the read and its answer.
        world = serving_world(1)
        world.tick(1.2)
        world.answer(0, "hold")
        world.now += 2.0
        world.deliver_answer(*world.held_answers.pop())
        self.assertGreaterEqual(world.nodes[0]._freshness.age(world.now), 2.0)

    def test_a_head_older_than_the_version_in_force_is_ignored(self):
        # Guards against freshness from a stale read, and against a revert to its version.
        world = serving_world(2)
        world.apply(0, "operator-one", change(0))
        world.run(1.0)
        node, effects = world.nodes[0], []
        age = node._freshness.age(world.now)
        node.tick(world.now + 2.0, effects.append)
        read = next(item for item in effects if isinstance(item, ReadRows))
        rows = {"config/head": Row({"version": 1, "op_id": "seed"}, 1)}
        node.on_table(TableAnswered(read.op_id, "ok", rows), world.now + 2.1, effects.append)
        self.assertEqual(node.snapshot.version, 2)
        self.assertIn(Count("config_stale_heads"), effects)
        self.assertAlmostEqual(node._freshness.age(world.now + 2.1), age + 2.1)
