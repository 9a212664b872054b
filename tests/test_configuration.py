"""The configuration controller on a paused clock, under lost, repeated and late messages."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.codes import Code
from lovageway.controllers._standing import Policy
from lovageway.controllers.configuration import Configuration
from lovageway.events import Count, ReadRows, Row, SendPeer, StateChanged, TableAnswered, Transact
from lovageway.messages import (
    MAX_MESSAGE_BYTES,
    ConfigPush,
    ConfigSnapshot,
    LogEntry,
    Ping,
    decode,
    encode,
)
from tests.builders import JAR_ZONES, contract_row
from tests.configuration_world import MAX_AGE_S, World

ACTIONS = st.sampled_from(
    ["tick"] * 4
    + ["deliver"] * 6
    + ["table"] * 6
    + ["apply"] * 4
    + ["ping", "pump"] * 2
    + ["drop", "repeat", "lose", "answer lost", "answer lost", "late", "late", "arrive late"]
    + ["hold"] * 3
    + ["release"] * 2
    + ["table down", "cut", "crash", "long tick"]
    + ["table up", "heal", "start"] * 2
)
STEPS = st.lists(st.tuples(ACTIONS, st.integers(0, 10**6)), min_size=40, max_size=150)


def change(number):
    """Return one of a few changes that overlap."""
    zone = JAR_ZONES[number % 3]
    if number % 2:
        return [(f"zone/{zone}", {"name": zone, "region": "r", "enabled": number % 4 == 1})]
    return [("contract/clerks", contract_row(concurrency=number + 1))]


class Run:
    """One run of random steps with the invariants checked after each."""

    def __init__(self, size):
        self.world = World(size)
        self.world.settle(2.0)
        self.versions = {}
        self.started = {}
        self.requests = {}  # operation id -> (changes, number of requests)

    def step(self, action, number):
        world = self.world
        size, node = len(world.nodes), number % len(world.nodes)
        pick = number // size
        if action in ("tick", "long tick"):
            world.tick(0.05 + pick % 20 * (0.05 if action == "tick" else 0.5))
        elif action in ("deliver", "repeat", "drop") and world.mail:
            index = pick % len(world.mail)
            if action == "drop":
                world.mail.pop(index)
            else:
                world.deliver(index, keep=action == "repeat")
        elif action in ("table", "lose", "answer lost", "late", "hold") and world.calls:
            # Writes come first every other time: there are far fewer of them than of reads.
            writes = [n for n, call in enumerate(world.calls) if isinstance(call[2], Transact)]
            index = writes[0] if writes and pick % 2 else pick % len(world.calls)
            world.answer(index, "ok" if action == "table" else action)
        elif action == "release" and world.held:
            world.give(*world.held.pop(pick % len(world.held)))
        elif action == "pump":
            for _ in range(4):
                self.pump()
        elif action == "arrive late" and world.late:
            world.arrive_late(pick % len(world.late))
        elif action == "apply":
            self.apply(node, pick)
        elif action == "ping":
            world.ping(node, pick % size)
        elif action == "crash" and sum(world.up) > 1:
            world.crash(node)
        elif action == "start" and not world.up[node]:
            world.start(node)
        elif action in ("cut", "heal"):
            world.cut[node] = action == "cut"
        elif action in ("table up", "table down"):
            world.table_up = action == "table up"

    def pump(self):
        for _ in range(len(self.world.calls)):
            self.world.answer(0)
        for _ in range(len(self.world.mail)):
            self.world.deliver(0)

    def apply(self, node, pick):
        if pick % 3 == 0 and self.requests:  # the operator repeats an operation anywhere
            op_id = sorted(self.requests)[pick % len(self.requests)]
            changes, sent = self.requests[op_id]
        else:
            op_id, changes, sent = f"operation-{len(self.requests)}", change(pick), 0
        self.requests[op_id] = (changes, sent + 1)
        self.world.apply(node, op_id, changes)

    def check(self):
        world = self.world
        for number, node in enumerate(world.nodes):
            if not world.up[number]:
                continue
            run = (number, world.epochs[number])
            version = node.snapshot.version
            # Versions only rise, and a version has the rows of its transaction everywhere.
            assert version >= self.versions.get(run, 0), "version went backwards"
            assert node.store.rows == world.table.history[version], "rows differ at one version"
            assert node.store.version == version
            self.versions[run] = version
            age = node._standing.age(world.now)
            # Freshness, read or relayed, is never younger than the truth.
            assert version >= world.version_at(world.now - age), "freshness claims too much"
            if node.may_serve(world.now) is None and not self.started.get(run):
                self.started[run] = True
                # What more than half of the VMs held is not lost to a daemon that starts.
                assert version >= world.held_before(world.now - MAX_AGE_S), "started too low"
        commits = Counter(world.table.commits)
        assert max(commits.values()) == 1, "an operation was applied twice"
        for done in world.done:
            if done.refusal is None:
                assert world.table.commits.index(done.op_id) + 1 == done.version
        world.note_majority()

    def finish(self):
        """Heal everything; all must meet at the highest version and serve."""
        world = self.world
        world.table_up, world.cut = True, [False] * len(world.nodes)
        while world.late:
            world.arrive_late(0)
        for number, up in enumerate(world.up):
            if not up:
                world.start(number)
        world.settle(14.0)
        self.check()
        for node in world.nodes:
            assert node.snapshot.version == world.table.version()
            assert node.may_serve(world.now) is None
        for op_id, (_, sent) in self.requests.items():
            answers = [done for done in world.done if done.op_id == op_id]
            definite = sent == 1 and answers and answers[0].refusal is not None
            if definite and answers[0].refusal.effect == "no":
                assert op_id not in world.table.commits, "refused as not run, but it ran"


class Agreement(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.integers(1, 5), STEPS)
    def test_versions_rise_agree_and_each_operation_is_applied_once(self, size, steps):
        # Guards against reverted or diverging configurations, operations applied twice, claims of
        # failure after a write took effect, and freshness that hides an accepted change.
        run = Run(size)
        for action, number in steps:
            run.step(action, number)
            run.check()
        run.finish()


def settled(size):
    world = World(size)
    world.settle(3.0)
    assert all(node.may_serve(world.now) is None for node in world.nodes)
    return world


class Accepting(unittest.TestCase):
    def refused(self, world, index=-1):
        self.assertIsNotNone(world.done[index].refusal)
        return world.done[index].refusal

    def test_the_loser_of_a_race_is_told_which_change_won(self):
        # Guards against a lost update that nobody hears of.
        world = settled(3)
        world.apply(0, "operator-one", change(0))
        world.apply(1, "operator-two", change(1))
        while world.calls:
            world.answer(0)
        self.assertIsNone(world.done[0].refusal)
        refusal = self.refused(world, 1)
        self.assertEqual(refusal.code, Code.CONFLICT)
        self.assertEqual(refusal.effect, "no")
        self.assertIn("version 2 (operation operator-one) changed contract/clerks", refusal.detail)

    def test_a_push_that_overtakes_the_loser_s_read_still_makes_a_conflict(self):
        # Guards against "not accepted" for a lost race: the read is older than what was pushed.
        world = settled(2)
        world.apply(1, "operator-two", change(1), base=1)
        world.answer(0, "hold")
        world.apply(0, "operator-one", change(0), base=1)
        for _ in range(2):
            world.answer(0)
        while world.mail:
            world.deliver(0)
        self.assertEqual(world.nodes[1].snapshot.version, 2)
        world.give(*world.held.pop())
        world.settle(1.0)
        refusal = self.refused(world)
        self.assertEqual(refusal.code, Code.CONFLICT)
        self.assertIn("operator-one", refusal.detail)

    def test_a_change_on_an_old_version_is_refused_with_what_came_since(self):
        # Guards against a change that was made on rows the operator has not seen.
        world = settled(1)
        world.apply(0, "operator-one", change(0), base=1)
        world.settle(1.0)
        world.apply(0, "operator-two", change(1), base=1)
        world.settle(1.0)
        refusal = self.refused(world)
        self.assertEqual(refusal.code, Code.CONFLICT)
        self.assertIn("operator-one", refusal.detail)

    def test_without_majority_contact_nothing_is_accepted(self):
        # Guards against changes that a minority accepts and the others never see.
        world = settled(3)
        world.cut[1] = world.cut[2] = True
        world.apply(0, "operator-one", change(0))
        refusal = self.refused(world)
        self.assertEqual((refusal.code, refusal.effect), (Code.NOT_ACCEPTED, "no"))
        self.assertEqual(world.calls, [])

    def test_an_unknown_outcome_is_found_by_a_later_retry(self):
        # Guards against a second application, and against "failed" for a change in force.
        world = settled(1)
        world.apply(0, "operator-one", change(0))
        world.answer(0)
        world.answer(0, "answer lost")
        world.table_up = False
        world.settle(9.0)
        refusal = self.refused(world)
        self.assertEqual((refusal.code, refusal.effect), (Code.NOT_ACCEPTED, "unknown"))
        world.table_up = True
        world.apply(0, "operator-one", change(0))
        world.settle(1.0)
        self.assertEqual((world.done[-1].version, world.done[-1].refusal), (2, None))
        self.assertEqual(world.table.commits, ["seed", "operator-one"])

    def test_a_write_that_arrives_late_is_not_called_failed(self):
        # Guards against a read back that finds nothing while the write is still on its way.
        world = settled(1)
        world.apply(0, "operator-one", change(0))
        world.answer(0)
        world.answer(0, "late")
        world.answer(0)  # the read back: no row of the operation yet
        self.assertEqual(world.done, [])
        world.arrive_late(0)
        world.settle(1.0)
        self.assertEqual((world.done[-1].version, world.done[-1].refusal), (2, None))
        self.assertEqual(world.table.commits, ["seed", "operator-one"])

    def test_the_first_change_of_an_empty_table_service_is_accepted(self):
        # Guards against a deployment that can only be started by writing rows by hand.
        world = World(2)
        world.table.__init__(None)
        world.settle(2.0)
        self.assertEqual(world.nodes[0].may_serve(world.now).code, Code.STARTING)
        world.apply(0, "operator-one", [("zone/gobi", {"name": "gobi", "region": "r"})], base=0)
        world.settle(2.0)
        self.assertEqual([node.may_serve(world.now) for node in world.nodes], [None, None])

    def test_an_operation_id_is_not_taken_for_another_change(self):
        # Guards against a change that is reported as accepted and never was.
        world = settled(1)
        world.apply(0, "operator-one", change(0))
        world.apply(0, "operator-one", change(1))
        world.settle(1.0)
        self.assertEqual(self.refused(world).code, Code.INVALID_CHANGE)

    def test_all_errors_of_a_change_are_named_at_once(self):
        # Guards against operators who correct one error after the other, and against bad rows.
        world = settled(1)
        wrong = contract_row("new", concurrency="2", requests_per_s=-1.0, surplus=1)
        poor = contract_row("poor", requests_per_s=-1, tokens_per_s=1e999, delivery="pigeon")
        changes = [
            ("contract/new", wrong),
            ("contract/poor", poor),
            ("zone/gobi", {"name": "selenge", "region": "r"}),
            ("zone/a/b", {"name": "a/b", "region": "r"}),
            ("quota/x", {}),
            ("server/none", None),
            ("service/s", {"name": "s", "kind": "engine", "cold_slots": 0, "methods": "refund"}),
            ("zone/bad", {"name": "bad", "region": "\ud800"}),
        ]
        world.apply(0, "operator-one", changes)
        world.settle(0.5)
        refusal = self.refused(world)
        self.assertEqual(refusal.code, Code.INVALID_CHANGE)
        for part in (
            "contract/new: concurrency",
            "contract/new: surplus",
            "contract/poor: requests_per_s",
            "contract/poor: tokens_per_s",
            "contract/poor: delivery",
            "zone/gobi: the row names 'selenge'",
            "'zone/a/b': a name has",
            "'quota/x': the key must be",
            "server/none: there is no such row",
            "service/s: methods",
            "zone/bad:",
        ):
            self.assertIn(part, refusal.detail)
        self.assertEqual(world.table.commits, ["seed"])

    def test_rows_must_fit_each_other(self):
        # Guards against keys that open two accounts and contracts for services that do not exist.
        world = settled(1)
        same_key = {**contract_row("clerks"), "account": "thief", "services": ["nowhere"]}
        for number, (changes, part) in enumerate(
            [
                ([("contract/thief", same_key)], "belongs to clerks"),
                ([("contract/thief", same_key)], "no service 'nowhere'"),
                ([("service/counter-app", None)], "no service 'counter-app'"),
                ([], "there is no change"),
                ([("zone/x", {"name": "x", "region": "r" * 300_000})], "at most 262144"),
            ]
        ):
            world.apply(0, f"operation-{number}", changes)
            world.settle(0.2)
            self.assertIn(part, self.refused(world).detail)

    def test_a_lower_snapshot_is_not_taken(self):
        # Guards against a revert by a snapshot of a stale peer.
        world = settled(2)
        world.nodes[0].store.replace(5, {})
        self.assertFalse(world.nodes[0].store.replace(4, {"zone/x": {}}))
        self.assertEqual((world.nodes[0].store.version, world.nodes[0].store.rows), (5, {}))

    def test_log_rows_in_the_table_service_are_bounded(self):
        # Guards against log and operation rows that grow for ever.
        from lovageway.controllers import _apply

        world = settled(1)
        keep, _apply.KEEP_ENTRIES = _apply.KEEP_ENTRIES, 5
        self.addCleanup(setattr, _apply, "KEEP_ENTRIES", keep)
        for number in range(20):
            world.apply(0, f"operator-{number}", change(number))
            world.settle(0.1)
        rows = Counter(key.split("/")[1] for key in world.table.rows)
        self.assertEqual((rows["log"], rows["op"]), (5, 5))
        self.assertEqual(world.nodes[0].snapshot.version, 21)


class Serving(unittest.TestCase):
    def test_with_the_table_service_down_all_continue_on_majority_contact(self):
        # Guards against an outage of the table service that stops the request path.
        world = settled(3)
        world.table_up = False
        world.settle(20.0)
        self.assertTrue(all(node.may_serve(world.now) is None for node in world.nodes))

    def test_a_daemon_that_is_cut_off_refuses_and_catches_up_before_it_serves_again(self):
        # Guards against requests served under a configuration that was replaced meanwhile.
        world = settled(3)
        world.cut[2] = True
        world.settle(2.5)
        self.assertIsNone(world.nodes[2].may_serve(world.now))
        world.settle(1.5)
        self.assertEqual(world.nodes[2].may_serve(world.now).code, Code.CONFIG_STALE)
        world.apply(0, "operator-one", change(0))
        world.settle(1.0)
        world.table_up, world.cut[2] = False, False
        for _ in range(100):
            world.settle(0.05)
            if world.nodes[2].may_serve(world.now) is None:
                break
            self.assertNotEqual(world.nodes[2].may_serve(world.now), None)
        self.assertEqual(world.nodes[2].snapshot.version, 2)

    def test_a_restarted_daemon_does_not_start_from_a_stale_peer(self):
        # Guards against a revert: two of three took version 2, one of them restarts and meets only
        # the third, whose version is older.
        world = settled(3)
        world.cut[2] = True
        world.apply(0, "operator-one", change(0))
        world.settle(1.0)
        world.table_up = False
        world.crash(1)
        world.crash(0)
        world.start(1)
        world.cut[2] = False
        world.settle(20.0)
        self.assertEqual(world.nodes[1].may_serve(world.now).code, Code.STARTING)
        world.up[0] = True  # it was paused, its process still has version 2
        world.settle(5.0)
        self.assertIsNone(world.nodes[1].may_serve(world.now))
        self.assertEqual([node.snapshot.version for node in world.nodes], [2, 2, 2])

    def test_daemons_that_have_just_started_do_not_confirm_each_other(self):
        # Guards against a revert when more than half of the VMs restart in an outage of the table.
        world = settled(3)
        world.cut[2] = True
        world.apply(0, "operator-one", change(0))
        world.settle(1.0)
        world.table_up = False
        for number in (0, 1):
            world.crash(number)
            world.start(number)
        world.settle(1.0)
        world.cut[2] = False
        world.settle(20.0)
        self.assertTrue(all(node.may_serve(world.now) for node in world.nodes))
        world.table_up = True
        world.settle(5.0)
        self.assertEqual([node.snapshot.version for node in world.nodes], [2, 2, 2])

    def test_a_paused_process_does_not_serve_on_what_it_knew_before(self):
        # Guards against a resumed process that answers before it has looked around.
        world = settled(3)
        world.table_up = False
        world.settle(5.0)
        world.now += 60.0
        self.assertEqual(world.nodes[0].may_serve(world.now).code, Code.CONFIG_STALE)

    def test_a_daemon_that_knows_it_is_behind_and_cannot_catch_up_refuses(self):
        # Guards against majority contact that hides a version known to be missing here.
        world = settled(3)
        world.table_up = False
        world.settle(5.0)
        world.nodes[0].on_message("vm1/9", "p1", Ping(1, 2, -1.0, ()), world.now, world.emit(0))
        world.mail.clear()
        world.settle(1.0)
        self.assertIsNone(world.nodes[0].may_serve(world.now))
        world.settle(3.0)
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


class Spreading(unittest.TestCase):
    def test_an_answer_that_was_held_up_does_not_make_the_daemon_look_fresh(self):
        # Guards against a relayed freshness that leaves out the time on the way.
        world = settled(2)
        world.table_up = False
        world.settle(2.0)
        world.ping(0, 1)
        world.deliver(0)
        ages = [node._standing.age(world.now) for node in world.nodes]
        world.now += 2.0
        while world.mail:
            world.deliver(0)
        self.assertGreaterEqual(world.nodes[0]._standing.age(world.now), min(ages) + 2.0)

    def test_a_head_that_was_held_up_does_not_make_the_daemon_look_fresh(self):
        # Guards against a freshness that counts from the answer: changes may lie in between.
        world = settled(1)
        world.tick(1.2)
        world.answer(0, "hold")
        world.now += 2.0
        world.give(*world.held.pop())
        self.assertGreaterEqual(world.nodes[0]._standing.age(world.now), 2.0)

    def test_a_head_older_than_the_version_in_force_proves_nothing(self):
        # Guards against freshness from a stale read, and against following it backwards.
        world = settled(2)
        world.apply(0, "operator-one", change(0))
        world.settle(1.0)
        node, effects = world.nodes[0], []
        age = node._standing.age(world.now)
        node.tick(world.now + 2.0, effects.append)
        read = next(item for item in effects if isinstance(item, ReadRows))
        rows = {"config/head": Row({"version": 1, "op_id": "seed"}, 1)}
        node.on_table(TableAnswered(read.op_id, "ok", rows), world.now + 2.1, effects.append)
        self.assertEqual(node.snapshot.version, 2)
        self.assertIn(Count("config_stale_heads"), effects)
        self.assertAlmostEqual(node._standing.age(world.now + 2.1), age + 2.1)

    def test_rows_that_cannot_be_parsed_keep_the_previous_version_in_force(self):
        # Guards against a daemon that one broken row stops, and against a deadlock: the row can be
        # replaced by an ordinary change.
        world = settled(2)
        broken = {"name": "gobi", "region": 5, "enabled": "often"}
        world.table.rows["config/head"] = Row({"version": 2, "op_id": "x"}, 90)
        world.table.rows["config/zone/gobi"] = Row(broken, 90)
        world.table.revision = 90
        world.effects.clear()
        world.settle(10.0)
        for node in world.nodes:
            self.assertEqual(node.snapshot.version, 1)
            self.assertIsNone(node.may_serve(world.now))
        said = [item for item in world.effects if isinstance(item, StateChanged)]
        said = [item for item in said if item.name == "config_rejected"]
        self.assertEqual(len(said), 2)  # once on each daemon
        self.assertIn("zone/gobi", said[0].fields["reason"])
        self.assertIn(Count("config_rejected"), world.effects)
        world.apply(0, "operator-one", [("contract/new", contract_row("new"))])
        world.settle(1.0)
        self.assertIn("zone/gobi", world.done[-1].refusal.detail)
        world.apply(0, "operator-two", [("zone/gobi", {"name": "gobi", "region": "r"})])
        world.settle(2.0)
        self.assertEqual([node.snapshot.version for node in world.nodes], [3, 3])

    def test_a_large_configuration_travels_in_pages_under_the_message_limit(self):
        # Guards against snapshots that the peers' frame limit refuses.
        world = World(1)
        store = world.nodes[0].store
        rows = {f"contract/c{n}": contract_row(f"c{n}", pad="x" * 500) for n in range(5000)}
        store.replace(7, rows)
        pages = [encode(page) for page in store.pages()]
        self.assertGreater(len(pages), 1)
        self.assertLess(max(map(len, pages)), MAX_MESSAGE_BYTES // 2)
        effects = []
        node = Configuration()
        for number, page in enumerate(reversed(pages)):
            self.assertEqual(node.store.version, 0, f"complete after {number} pages")
            node.on_message("vm1/1", "p1", decode(page), 1.0, effects.append)
        self.assertEqual((node.store.version, node.store.rows), (7, rows))

    def test_pages_of_different_versions_never_mix(self):
        # Guards against a snapshot put together from two versions.
        node, effects = Configuration(), []
        for page in (
            ConfigSnapshot(5, {"zone/a": {"name": "a", "region": "r"}}, 0, 2),
            ConfigSnapshot(6, {"zone/b": {"name": "b", "region": "r"}}, 1, 2),
            ConfigSnapshot(5, {}, 1, 2),
        ):
            node.on_message("vm1/1", "p1", page, 1.0, effects.append)
        self.assertEqual(node.store.version, 0)

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
