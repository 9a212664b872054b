"""Propagation of accepted changes, and its report to operators."""

import unittest

from lovageway.events import ReadRows, Row, SendPeer, TableAnswered
from lovageway.messages import ConfigPush, LogEntry
from tests.configuration_world import World, change, serving_world


class Spreading(unittest.TestCase):
    def test_a_change_read_from_the_table_is_pushed_to_four_peers(self):
        # Guards against changes that reach each daemon only by its own poll, and against floods of
        # messages.
        world = World(12)
        for node in world.nodes[1:]:
            node.snapshot = node.snapshot._replace(version=1)
        world.run(2.0)
        entry = LogEntry(2, "operation", (("zone/x", {"name": "x", "region": "r"}),))
        node, sent = world.nodes[0], []
        node.learn_head(2, world.now)
        node.tick(world.now + 0.01, sent.append)
        read = next(item for item in sent if isinstance(item, ReadRows))
        row = {"version": 2, "op_id": entry.op_id, "changes": [list(entry.changes[0])]}
        rows = {"config/head": Row({"version": 2}, 9), "config/log/2": Row(row, 9)}
        node.on_table(TableAnswered(read.op_id, "ok", rows), world.now, sent.append)
        pushes = [item for item in sent if isinstance(item, SendPeer)]
        pushes = [item.address for item in pushes if isinstance(item.message, ConfigPush)]
        self.assertEqual(len(set(pushes)), 4)

    def test_the_spread_lists_daemons_with_and_without_a_version(self):
        # Guards against a --wait that ends before the change is in force.
        world = serving_world(3)
        world.cut[2] = True
        world.apply(0, "operator-one", change(0))
        world.run(1.0)
        report = world.nodes[0].spread(2, world.now)
        self.assertEqual(
            (report["in_force"], report["missing"], report["not_live"]),
            (["vm0", "vm1"], [], ["vm2"]),
        )
        self.assertEqual(world.nodes[1].spread(9, world.now)["in_force"], [])
