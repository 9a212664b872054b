"""Tests of the local copy of the store's rows."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.mirror import MAX_TOMBSTONES, Mirror
from tests.replicabuilders import row

VERSIONS = st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 30), st.booleans()))


class Rows(unittest.TestCase):
    def test_an_older_row_never_replaces_a_newer_one(self):
        # Guards against a configuration reverted by the older row of a stale peer.
        mirror = Mirror()
        self.assertEqual(len(mirror.apply([row("config", 5)])), 1)
        self.assertEqual(mirror.apply([row("config", 4, b"old")]), [])
        self.assertEqual(mirror.get("op", "config").version, 5)

    def test_a_row_that_a_full_read_lacks_was_removed(self):
        # Guards against servers that stay listed when their removal is no longer in the store's
        # history and only a full read shows it.
        mirror = Mirror()
        mirror.apply([row("a", 1), row("b", 2)])
        changed = mirror.replace("op", [row("a", 1)], 9)
        self.assertEqual([(item.key, item.value) for item in changed], [("b", None)])
        self.assertIsNone(mirror.get("op", "b"))

    def test_a_full_read_does_not_remove_rows_that_are_newer_than_it(self):
        # Guards against a delayed answer that removes a row received from a peer in the meantime.
        mirror = Mirror()
        mirror.apply([row("new", 12)])
        self.assertEqual(mirror.replace("op", [], 9), [])

    def test_a_removed_row_does_not_come_back_from_an_older_answer(self):
        # Guards against using a server after its removal.
        mirror = Mirror()
        mirror.apply([row("a", 1), row("a", 7, None)])
        self.assertEqual(mirror.apply([row("a", 1)]), [])

    def test_a_peer_gets_newer_rows_and_all_rows_where_tombstones_were_forgotten(self):
        # Guards against peers that keep a row because its tombstone is never sent to them.
        mirror = Mirror()
        mirror.apply([row("a", 1), row("b", 2)])
        self.assertEqual(mirror.since("op", 1), (False, [row("b", 2)]))
        mirror.apply([row(f"k{n}", n + 10, None) for n in range(MAX_TOMBSTONES + 1)])
        self.assertTrue(mirror.since("op", 5)[0])

    @settings(derandomize=True)
    @given(VERSIONS, st.randoms(use_true_random=False))
    def test_the_order_of_arrival_does_not_matter(self, changes, rng):
        # Guards against daemons whose state differs after the same changes.
        rows = list(
            {(k, v): row(k, v, b"x" if there else None) for k, v, there in changes}.values()
        )
        first, second = Mirror(), Mirror()
        first.apply(rows)
        rng.shuffle(rows)
        for item in rows:
            second.apply([item])
        for key in "abc":
            self.assertEqual(first.get("op", key), second.get("op", key))
