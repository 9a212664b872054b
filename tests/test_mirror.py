"""Tests of the local copy of the store's rows."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.mirror import FIRST, MAX_TOMBSTONES, KeptRow, Mirror
from lovageway.forwarding.model import Revision
from lovageway.platform import records
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
        changed = mirror.replace("op", [row("a", 1)], Revision(0, 9))
        self.assertEqual([(item.key, item.value) for item in changed], [("b", None)])
        self.assertIsNone(mirror.get("op", "b"))

    def test_a_full_read_does_not_remove_rows_that_are_newer_than_it(self):
        # Guards against a delayed answer that removes a row received from a peer in the meantime.
        mirror = Mirror()
        mirror.apply([row("new", 12)])
        self.assertEqual(mirror.replace("op", [], Revision(0, 9)), [])

    def test_a_removed_row_does_not_come_back_from_an_older_answer(self):
        # Guards against using a server after its removal.
        mirror = Mirror()
        mirror.apply([row("a", 1), row("a", 7, None)])
        self.assertEqual(mirror.apply([row("a", 1)]), [])

    def test_a_peer_gets_newer_rows_and_all_rows_where_tombstones_were_forgotten(self):
        # Guards against peers that keep a row because its tombstone is never sent to them.
        mirror = Mirror()
        mirror.apply([row("a", 1), row("b", 2)])
        self.assertEqual(mirror.since("op", Revision(0, 1)), (False, [row("b", 2)]))
        mirror.apply([row(f"k{n}", n + 10, None) for n in range(MAX_TOMBSTONES + 1)])
        self.assertTrue(mirror.since("op", Revision(0, 5))[0])

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


def configuration(version, number, era=1, **fields):
    return row("config", version, json.dumps({"version": number, **fields}).encode(), era=era)


def server(version, era=1, born=1, state="ready", sequence=1):
    fields = {"service": "svc", "address": "10.0.0.1:80", "zone": "z1", "version": "v1"}
    fields |= {"slots": 8, "state": state, "born": born, "sequence": sequence}
    return row("i-1", version, json.dumps(fields).encode(), "servers", era)


def evacuation(version, era=1, *, on=True):
    return row("evacuate/z1", version, b"{}" if on else None, era=era)


class Returned(unittest.TestCase):
    """The store returned from a copy: era 1 ended at version 20, the copy is of version 12."""

    def setUp(self):
        self.mirror = Mirror(records.content, frozenset({"servers"}))

    def read(self, *rows, number, era, **fields):
        """Apply a complete read of the table of operators' rows."""
        rows = [item._replace(era=era) for item in rows]
        return self.mirror.replace("op", rows, Revision(era, number), **fields)

    def read_servers(self, *rows, number, era, **fields):
        rows = [item._replace(era=era) for item in rows]
        return self.mirror.replace("servers", rows, Revision(era, number), **fields)

    def config_number(self):
        return json.loads(self.mirror.get("op", "config").value)["version"]

    def follow_configurations(self):
        """Follow configurations 6, 10 and 13, of which the copy has the first."""
        self.read(configuration(10, 6), number=10, era=1)
        self.mirror.apply([configuration(15, 10)])
        self.mirror.apply([configuration(20, 13)])

    def test_a_version_that_was_given_out_before_is_new_in_a_later_era(self):
        # Guards against a change that is never in force: CONFIG on all plays of the incident's day.
        self.follow_configurations()
        self.read(configuration(13, 13), number=13, era=2)
        (applied,) = self.mirror.apply([configuration(15, 16, era=2)])
        self.assertEqual((applied.revision, self.config_number()), (Revision(2, 15), 16))

    def test_what_the_copy_shows_does_not_replace_what_was_confirmed(self):
        # Guards against a withdrawn key or a removed route that is in use again.
        self.follow_configurations()
        self.assertEqual(self.read(configuration(10, 6), number=12, era=2), [])
        self.assertEqual(self.config_number(), 13)
        self.assertEqual(self.mirror.kept("op")[0].shown_version, 10)
        # A read of the complete table, as after a lost history, shows the same row again.
        self.assertEqual(self.read(configuration(10, 6), number=14, era=2), [])
        self.mirror.apply([configuration(15, 13, era=2)])
        self.assertEqual((self.config_number(), self.mirror.kept("op")), (13, []))

    def test_a_configuration_of_before_that_is_written_again_is_not_in_force_again(self):
        # Guards against a daemon that goes through lost configurations once more as the operator
        # writes them again.
        self.follow_configurations()
        self.read(configuration(10, 6), number=12, era=2)
        self.assertEqual(self.mirror.apply([configuration(13, 10, era=2)]), [])
        self.mirror.apply([configuration(14, 13, era=2)])
        self.assertEqual(self.config_number(), 13)

    def test_another_configuration_with_a_number_of_before_is_in_force(self):
        # Guards against an operator whose own numbers went back with the store.
        self.follow_configurations()
        self.read(configuration(10, 6), number=12, era=2)
        self.mirror.apply([configuration(13, 11, era=2, routes=["new"])])
        self.assertEqual(self.config_number(), 11)

    def test_a_newer_configuration_is_found_by_the_first_read_after_the_return(self):
        # Guards against a change made before the daemons reach the store again: its row version
        # is lower than that of the configuration that they hold.
        self.follow_configurations()
        self.read(configuration(14, 16), number=14, era=2)
        self.assertEqual(self.config_number(), 16)

    def test_rows_of_an_ended_era_change_nothing(self):
        # Guards against an answer that hung while the store returned.
        self.follow_configurations()
        self.read(configuration(13, 13), number=13, era=2)
        self.mirror.apply([configuration(14, 16, era=2)])
        self.assertEqual(self.mirror.apply([configuration(21, 14)]), [])
        self.assertEqual(self.config_number(), 16)

    def test_an_evacuation_holds_until_it_is_written_again(self):
        # Guards against new work in a zone whose evacuation the store has lost.
        self.read(configuration(10, 6), number=10, era=1)
        self.mirror.apply([evacuation(15)])
        self.assertEqual(self.read(configuration(10, 6), number=12, era=2), [])
        self.read(configuration(10, 6), number=12, era=2)
        self.assertIsNotNone(self.mirror.get("op", "evacuate/z1"))
        self.mirror.apply([evacuation(13, 2), evacuation(14, 2, on=False)])
        self.assertIsNone(self.mirror.get("op", "evacuate/z1"))

    def test_an_evacuation_that_was_taken_back_just_after_the_return_ends(self):
        # Guards against a zone that stays without work for ever, since its evacuation and its end
        # were written between the return and the first read.
        self.read(configuration(10, 6), number=10, era=1)
        self.mirror.apply([evacuation(15)])
        rows = [configuration(10, 6, era=2)]
        self.assertTrue(self.mirror.lacks_rows("op", rows, 2))
        self.assertEqual(self.mirror.newest_copied(rows), 10)
        removals = [evacuation(14, 2, on=False)]
        (changed,) = self.read(*rows, number=14, era=2, removals=removals)
        self.assertEqual((changed.key, changed.value), ("evacuate/z1", None))

    def test_the_end_of_an_earlier_evacuation_does_not_end_a_later_one(self):
        # Guards against a tombstone of the copy that counts as one of after the return.
        self.read(configuration(10, 6), number=10, era=1)
        self.mirror.apply([evacuation(11), evacuation(12, on=False), evacuation(15)])
        removals = [evacuation(12, 2, on=False)]
        self.assertEqual(self.read(configuration(10, 6), number=12, era=2, removals=removals), [])
        self.assertIsNotNone(self.mirror.get("op", "evacuate/z1"))

    def test_an_evacuation_that_was_taken_back_does_not_come_back_but_may_be_repeated(self):
        self.read(configuration(10, 6), evacuation(11), number=11, era=1)
        self.mirror.apply([evacuation(15, on=False)])
        self.assertEqual(self.read(configuration(10, 6), evacuation(11), number=12, era=2), [])
        self.assertIsNone(self.mirror.get("op", "evacuate/z1"))
        self.mirror.apply([evacuation(13, 2)])
        self.assertIsNotNone(self.mirror.get("op", "evacuate/z1"))

    def test_a_server_that_left_does_not_come_back(self):
        # Guards against requests to a server that announced its leaving, or that is gone.
        for last in (server(15, state="draining"), row("i-1", 15, None, "servers", 1)):
            with self.subTest(last=last.value):
                self.setUp()
                self.read_servers(server(10), number=10, era=1)
                self.mirror.apply([last])
                self.assertEqual(self.read_servers(server(10, sequence=9), number=12, era=2), [])
                self.assertEqual(self.mirror.kept("servers")[0].row.value, last.value)

    def test_a_server_that_started_again_is_known_by_its_start(self):
        self.read_servers(server(10), number=10, era=1)
        self.mirror.apply([row("i-1", 15, None, "servers", 1)])
        (applied,) = self.read_servers(server(13, born=2), number=13, era=2)
        self.assertEqual(json.loads(applied.value)["born"], 2)

    def test_a_server_whose_leaving_is_written_before_the_first_read_leaves(self):
        self.read_servers(server(10), number=10, era=1)
        (applied,) = self.read_servers(server(13, state="draining"), number=13, era=2)
        self.assertEqual(json.loads(applied.value)["state"], "draining")

    def test_a_server_that_the_copy_lacks_is_removed_until_it_writes_again(self):
        self.read_servers(number=10, era=1)
        self.mirror.apply([server(15)])
        (removed,) = self.read_servers(number=12, era=2)
        self.assertIsNone(removed.value)
        self.assertEqual(len(self.mirror.apply([server(13, 2, sequence=20)])), 1)

    def test_a_server_that_the_store_still_lists_later_is_alive(self):
        # Guards against a live server that is never used: its entry had expired before the return,
        # and nothing but its count changes.
        self.read_servers(server(10), number=10, era=1)
        self.mirror.apply([row("i-1", 15, None, "servers", 1)])
        self.read_servers(server(10), number=12, era=2)
        self.assertIsNone(self.mirror.get("servers", "i-1"))
        settled = self.read_servers(server(10, sequence=30), number=14, era=2, settled=True)
        self.assertEqual(len(settled), 1)
        self.assertEqual(self.mirror.kept("servers"), [])

    def test_several_returns_in_a_row(self):
        # Guards against a copy of before an earlier return that counts as newer.
        self.follow_configurations()
        self.read(configuration(12, 6), number=12, era=2)
        self.mirror.apply([configuration(13, 13, era=2)])
        self.mirror.apply([configuration(14, 17, era=2)])
        self.assertEqual(self.read(configuration(13, 13), number=13, era=3), [])
        self.assertEqual(self.read(configuration(10, 6), number=11, era=4), [])
        self.assertEqual(self.config_number(), 17)
        self.mirror.apply([configuration(12, 18, era=4)])
        self.assertEqual(self.config_number(), 18)


class Peers(unittest.TestCase):
    """What daemons take from each other after the store returned from a copy."""

    def mirror(self, *rows, number, era):
        found = Mirror(records.content, frozenset({"servers"}))
        found.replace("op", [item._replace(era=era) for item in rows], Revision(era, number))
        return found

    def returned(self):
        """Return the mirror of a daemon that keeps configuration 13 and an evacuation."""
        found = self.mirror(configuration(10, 6), number=10, era=1)
        found.apply([configuration(15, 13), evacuation(16)])
        found.replace("op", [configuration(10, 6, era=2)], Revision(2, 12))
        return found

    def test_a_daemon_that_starts_learns_what_the_others_keep(self):
        # Guards against a restarted daemon that serves the state of the copy.
        keeper, new = self.returned(), self.mirror(configuration(10, 6), number=12, era=2)
        taken = new.merge_kept("op", keeper.kept("op"), 2)
        self.assertEqual({item.key for item in taken}, {"config", "evacuate/z1"})
        self.assertEqual(new.kept("op"), keeper.kept("op"))
        # What is written again is newer than what was kept, here and at the others.
        for mirror in (new, keeper):
            mirror.apply([configuration(13, 13, era=2), evacuation(14, 2, on=False)])
            self.assertEqual(mirror.kept("op"), [])
            self.assertIsNone(mirror.get("op", "evacuate/z1"))

    def test_what_was_written_again_is_not_replaced_by_what_others_keep(self):
        keeper = self.returned()
        new = self.mirror(configuration(13, 16), evacuation(14), number=14, era=2)
        self.assertEqual(new.merge_kept("op", keeper.kept("op"), 2), [])
        self.assertEqual(new.merge_kept("op", [KeptRow(configuration(15, 13), 10)], 1), [])

    def test_a_daemon_that_missed_the_return_gets_what_changed_by_it(self):
        # Guards against 390 daemons that each pull complete tables after a return.
        keeper, late = self.returned(), self.mirror(configuration(10, 6), number=10, era=1)
        late.apply([configuration(15, 13), evacuation(16)])
        keeper.apply([configuration(13, 17, era=2)])
        is_full, rows = keeper.since("op", late.position("op"))
        self.assertEqual((is_full, [item.version for item in rows]), (False, [13]))
        late.apply(rows)
        late.advance("op", keeper.position("op"))
        late.merge_kept("op", keeper.kept("op"), 2)
        self.assertEqual(late.get("op", "config"), keeper.get("op", "config"))
        self.assertEqual(late.kept("op"), keeper.kept("op"))
        self.assertEqual(late.position("op"), keeper.position("op"))

    def test_a_daemon_that_knows_the_later_era_only_sends_everything(self):
        # Guards against a daemon that takes the copy's rows for changes.
        new, late = self.mirror(configuration(10, 6), number=12, era=2), self.returned()
        is_full, rows = new.since("op", Revision(1, 16))
        self.assertTrue(is_full)
        late = self.mirror(configuration(10, 6), number=10, era=1)
        late.apply([configuration(15, 13), evacuation(16)])
        self.assertEqual(late.replace("op", rows, new.position("op")), [])
        self.assertEqual(json.loads(late.get("op", "config").value)["version"], 13)
        self.assertEqual(new.since("op", FIRST)[0], True)


class Store:
    """A store whose writers write again what it loses."""

    def __init__(self):
        self.era, self.version, self.rows, self.log = 1, 0, {}, []
        self.writes = []  # all writes, in order
        self.copies = [(0, {}, [], 0)]

    def write(self, key, value):
        self.writes.append((key, value))
        self._write(key, value)

    def _write(self, key, value):
        self.version += 1
        item = row(key, self.version, value, era=self.era)
        self.log.append(item)
        self.rows[key] = item

    def copy(self):
        self.copies.append((self.version, dict(self.rows), list(self.log), len(self.writes)))

    def restore(self, number):
        del self.copies[number % len(self.copies) + 1 :]
        self.version, rows, log, written = self.copies[-1]
        self.era += 1
        self.rows = {key: item._replace(era=self.era) for key, item in rows.items()}
        self.log = [item._replace(era=self.era) for item in log]
        return self.writes[written:]


ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.sampled_from(("config", "evacuate/a")), st.booleans()),
        st.tuples(st.sampled_from(("copy", "poll", "read", "restore")), st.integers(0, 5)),
    ),
    max_size=40,
)


class AnyReturns(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(ACTIONS)
    def test_the_newest_configuration_holds_and_all_is_as_in_the_store_in_the_end(self, actions):
        # Guards against a sequence of writes, polls and returns after which a daemon has an older
        # configuration than before, or another state than the store.
        store, mirror = Store(), Mirror(records.content)
        self.cursor, self.numbers, number = None, [0], 0
        store.write("config", b'{"version": 0}')
        self.follow(store, mirror)
        for action, *fields in actions:
            match action:
                case "write" if fields[0] == "config":
                    number += 1
                    store.write("config", b'{"version": %d}' % number)
                case "write":
                    store.write(fields[0], b"{}" if fields[1] else None)
                case "copy":
                    store.copy()
                case "poll":
                    self.follow(store, mirror)
                case "read":
                    self.cursor = None
                    self.follow(store, mirror)
                case "restore":
                    self.follow(store, mirror)  # a daemon that had seen all that was confirmed
                    lost = store.restore(fields[0])
                    if fields[0] % 2:
                        self.follow(store, mirror)
                    for key, value in lost:
                        store._write(key, value)
        self.follow(store, mirror)
        self.assertEqual(self.numbers, sorted(self.numbers))
        for key, item in store.rows.items():
            held = mirror.get("op", key)
            self.assertEqual(held.value if held else None, item.value, key)

    def follow(self, store, mirror):
        """Poll after the cursor, or read all rows if the cursor is of another era."""
        if self.cursor is not None and self.cursor.era == store.era:
            mirror.apply([item for item in store.log if item.version > self.cursor.number])
        else:
            rows = [item for item in store.rows.values() if item.value is not None]
            removals = []
            if mirror.lacks_rows("op", rows, store.era):
                copied = mirror.newest_copied(rows)
                removals = [item for item in store.log if item.version > copied]
            mirror.replace("op", rows, Revision(store.era, store.version), removals)
        self.cursor = Revision(store.era, store.version)
        config = mirror.get("op", "config")
        self.numbers.append(json.loads(config.value)["version"] if config is not None else 0)
