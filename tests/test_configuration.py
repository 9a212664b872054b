"""Configuration controllers on a simulated clock with lost, repeated and delayed messages."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.events import Count, Row, StateChanged, Transact
from tests.builders import contract_row
from tests.configuration_world import MAX_AGE_S, World, change, serving_world

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


class Run:
    """A run of random steps; the invariants are checked after each step."""

    def __init__(self, size):
        self.world = World(size)
        self.world.run(2.0)
        self.versions = {}
        self.started = {}
        self.requests = {}  # operation id -> (changes, number of requests)

    def step(self, action, number):
        world = self.world
        size, node = len(world.nodes), number % len(world.nodes)
        pick = number // size
        if action in ("tick", "long tick"):
            world.tick(0.05 + pick % 20 * (0.05 if action == "tick" else 0.5))
        elif action in ("deliver", "repeat", "drop") and world.messages:
            index = pick % len(world.messages)
            if action == "drop":
                world.messages.pop(index)
            else:
                world.deliver(index, keep=action == "repeat")
        elif action in ("table", "lose", "answer lost", "late", "hold") and world.calls:
            # Every second step prefers writes, because they are far rarer than reads.
            writes = [n for n, call in enumerate(world.calls) if isinstance(call[2], Transact)]
            index = writes[0] if writes and pick % 2 else pick % len(world.calls)
            world.answer(index, "ok" if action == "table" else action)
        elif action == "release" and world.held_answers:
            world.deliver_answer(*world.held_answers.pop(pick % len(world.held_answers)))
        elif action == "pump":
            for _ in range(4):
                self.pump()
        elif action == "arrive late" and world.late_writes:
            world.deliver_late(pick % len(world.late_writes))
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
        for _ in range(len(self.world.messages)):
            self.world.deliver(0)

    def apply(self, node, pick):
        if pick % 3 == 0 and self.requests:  # the operator repeats an operation on any daemon
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
            # Versions never decrease, and a version has the same rows on all daemons.
            assert version >= self.versions.get(run, 0), "version went backwards"
            assert node.store.rows == world.table.history[version], "rows differ at one version"
            assert node.store.version == version
            self.versions[run] = version
            age = node._freshness.age(world.now)
            # Freshness, read or relayed, never hides a commit.
            assert version >= world.version_at(world.now - age), "freshness claims too much"
            if node.may_serve(world.now) is None and not self.started.get(run):
                self.started[run] = True
                # A daemon that starts reaches the version that more than half of the VMs had.
                assert version >= world.majority_version_before(
                    world.now - MAX_AGE_S
                ), "started too low"
        commits = Counter(world.table.commits)
        assert max(commits.values()) == 1, "an operation was applied twice"
        for done in world.done:
            if done.refusal is None:
                assert world.table.commits.index(done.op_id) + 1 == done.version
        world.record_majority()

    def finish(self):
        """End all faults; all daemons must reach the highest version and serve."""
        world = self.world
        world.table_up, world.cut = True, [False] * len(world.nodes)
        while world.late_writes:
            world.deliver_late(0)
        for number, up in enumerate(world.up):
            if not up:
                world.start(number)
        world.run(14.0)
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
        # Guards against reverted or diverging configurations, operations that are applied twice,
        # writes that are reported as failed although they took effect, and freshness that hides an
        # accepted change.
        run = Run(size)
        for action, number in steps:
            run.step(action, number)
            run.check()
        run.finish()


class Broken(unittest.TestCase):
    def test_rows_that_cannot_be_parsed_keep_the_previous_version_in_force(self):
        # Guards against a daemon that stops because of one broken row, and against a broken row
        # that no ordinary change can replace.
        world = serving_world(2)
        broken = {"name": "gobi", "region": 5, "enabled": "often"}
        world.table.rows["config/head"] = Row({"version": 2, "op_id": "x"}, 90)
        world.table.rows["config/zone/gobi"] = Row(broken, 90)
        world.table.revision = 90
        world.effects.clear()
        world.run(10.0)
        for node in world.nodes:
            self.assertEqual(node.snapshot.version, 1)
            self.assertIsNone(node.may_serve(world.now))
        rejections = [item for item in world.effects if isinstance(item, StateChanged)]
        rejections = [item for item in rejections if item.name == "config_rejected"]
        self.assertEqual(len(rejections), 2)  # once on each daemon
        self.assertIn("zone/gobi", rejections[0].fields["reason"])
        self.assertIn(Count("config_rejected"), world.effects)
        world.apply(0, "operator-one", [("contract/new", contract_row("new"))])
        world.run(1.0)
        self.assertIn("zone/gobi", world.done[-1].refusal.detail)
        world.apply(0, "operator-two", [("zone/gobi", {"name": "gobi", "region": "r"})])
        world.run(2.0)
        self.assertEqual([node.snapshot.version for node in world.nodes], [3, 3])
