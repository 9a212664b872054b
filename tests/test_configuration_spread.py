"""An accepted change reaches every daemon, and operators see where it is in force."""

import unittest

from lovageway.events import ReadRows, Row, SendPeer, TableAnswered
from lovageway.messages import ConfigPush, LogEntry
from tests.configuration_world import World, change, settled


class Spreading(unittest.TestCase):
    def test_a_daemon_that_learned_a_change_from_the_table_tells_four_peers(self):
        # Guards against changes that wait for each daemon's own poll, and against floods.
        world = World(12)
        for node in world.nodes[1:]:
            node.snapshot = node.snapshot._replace(version=1)
        world.settle(2.0)
        entry = LogEntry(2, "operation", (("zone/x", {"name": "x", "region": "r"}),))
        node, sent = world.nodes[0], []
        node.learn_head(2, world.now)
        node.tick(world.now + 0.01, sent.append)
        read = next(item for item in sent if isinstance(item, ReadRows))
        row = {"version": 2, "op_id": entry.op_id, "changes": [list(entry.changes[0])]}
        rows = {"config/head": Row({"version": 2}, 9), "config/log/2": Row(row, 9)}
        node.on_table(TableAnswered(read.op_id, "ok", rows), world.now, sent.append)
        told = [item for item in sent if isinstance(item, SendPeer)]
        told = [item.address for item in told if isinstance(item.message, ConfigPush)]
        self.assertEqual(len(set(told)), 4)

    def test_the_spread_names_who_has_a_version_and_who_lacks_it(self):
        # Guards against --wait that ends before the change is in force.
        world = settled(3)
        world.cut[2] = True
        world.apply(0, "operator-one", change(0))
        world.settle(1.0)
        report = world.nodes[0].spread(2, world.now)
        self.assertEqual(
            (report["in_force"], report["missing"], report["not_live"]),
            (["vm0", "vm1"], [], ["vm2"]),
        )
        self.assertEqual(world.nodes[1].spread(9, world.now)["in_force"], [])
