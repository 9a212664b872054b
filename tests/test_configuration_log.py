"""The local store of configuration rows, and snapshots sent between daemons."""

import unittest

from lovageway.controllers.configuration import Configuration
from lovageway.messages import MAX_MESSAGE_BYTES, ConfigSnapshot, decode, encode
from tests.builders import contract_row
from tests.configuration_world import World, serving_world


class Versions(unittest.TestCase):
    def test_a_lower_snapshot_is_ignored(self):
        # Guards against a revert by a snapshot from a stale peer.
        world = serving_world(2)
        world.nodes[0].store.replace(5, {})
        self.assertFalse(world.nodes[0].store.replace(4, {"zone/x": {}}))
        self.assertEqual((world.nodes[0].store.version, world.nodes[0].store.rows), (5, {}))

    def test_a_large_configuration_is_sent_in_pages_below_the_message_limit(self):
        # Guards against snapshots that exceed the frame limit of the peers.
        world = World(1)
        store = world.nodes[0].store
        rows = {f"contract/c{n}": contract_row(f"c{n}", pad="x" * 500) for n in range(5000)}
        store.replace(7, rows)
        pages = [encode(page) for page in store.snapshot_pages()]
        self.assertGreater(len(pages), 1)
        self.assertLess(max(map(len, pages)), MAX_MESSAGE_BYTES // 2)
        effects = []
        node = Configuration()
        for number, page in enumerate(reversed(pages)):
            self.assertEqual(node.store.version, 0, f"complete after {number} pages")
            node.on_message("vm1/1", "p1", decode(page), 1.0, effects.append)
        self.assertEqual((node.store.version, node.store.rows), (7, rows))

    def test_pages_of_different_versions_never_mix(self):
        # Guards against a snapshot assembled from two versions.
        node, effects = Configuration(), []
        for page in (
            ConfigSnapshot(5, {"zone/a": {"name": "a", "region": "r"}}, 0, 2),
            ConfigSnapshot(6, {"zone/b": {"name": "b", "region": "r"}}, 1, 2),
            ConfigSnapshot(5, {}, 1, 2),
        ):
            node.on_message("vm1/1", "p1", page, 1.0, effects.append)
        self.assertEqual(node.store.version, 0)
