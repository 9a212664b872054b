"""Changes are accepted once, and the reported outcome is correct."""

import unittest
from collections import Counter

from lovageway.codes import Code
from tests.configuration_world import World, change, serving_world


class Accepting(unittest.TestCase):
    def refused(self, world, index=-1):
        self.assertIsNotNone(world.done[index].refusal)
        return world.done[index].refusal

    def test_the_loser_of_a_race_receives_the_change_that_won(self):
        # Guards against a lost update that is not reported.
        world = serving_world(3)
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
        # Guards against "not accepted" for a lost race: the answer of the read is older than the
        # version that was pushed meanwhile.
        world = serving_world(2)
        world.apply(1, "operator-two", change(1), base=1)
        world.answer(0, "hold")
        world.apply(0, "operator-one", change(0), base=1)
        for _ in range(2):
            world.answer(0)
        while world.messages:
            world.deliver(0)
        self.assertEqual(world.nodes[1].snapshot.version, 2)
        world.deliver_answer(*world.held_answers.pop())
        world.run(1.0)
        refusal = self.refused(world)
        self.assertEqual(refusal.code, Code.CONFLICT)
        self.assertIn("operator-one", refusal.detail)

    def test_a_change_on_an_old_version_is_refused_with_what_came_since(self):
        # Guards against a change that overwrites rows which the operator has not seen.
        world = serving_world(1)
        world.apply(0, "operator-one", change(0), base=1)
        world.run(1.0)
        world.apply(0, "operator-two", change(1), base=1)
        world.run(1.0)
        refusal = self.refused(world)
        self.assertEqual(refusal.code, Code.CONFLICT)
        self.assertIn("operator-one", refusal.detail)

    def test_without_majority_contact_nothing_is_accepted(self):
        # Guards against changes that a minority accepts and the other daemons never receive.
        world = serving_world(3)
        world.cut[1] = world.cut[2] = True
        world.apply(0, "operator-one", change(0))
        refusal = self.refused(world)
        self.assertEqual((refusal.code, refusal.effect), (Code.NOT_ACCEPTED, "no"))
        self.assertEqual(world.calls, [])

    def test_an_unknown_outcome_is_found_by_a_later_retry(self):
        # Guards against a change that is applied twice, or reported as failed while in force.
        world = serving_world(1)
        world.apply(0, "operator-one", change(0))
        world.answer(0)
        world.answer(0, "answer lost")
        world.table_up = False
        world.run(9.0)
        refusal = self.refused(world)
        self.assertEqual((refusal.code, refusal.effect), (Code.NOT_ACCEPTED, "unknown"))
        world.table_up = True
        world.apply(0, "operator-one", change(0))
        world.run(1.0)
        self.assertEqual((world.done[-1].version, world.done[-1].refusal), (2, None))
        self.assertEqual(world.table.commits, ["seed", "operator-one"])

    def test_a_write_that_arrives_late_is_not_called_failed(self):
        # Guards against a verifying read that finds nothing because the write is still in transit.
        world = serving_world(1)
        world.apply(0, "operator-one", change(0))
        world.answer(0)
        world.answer(0, "late")
        world.answer(0)  # the verifying read: no row of the operation yet
        self.assertEqual(world.done, [])
        world.deliver_late(0)
        world.run(1.0)
        self.assertEqual((world.done[-1].version, world.done[-1].refusal), (2, None))
        self.assertEqual(world.table.commits, ["seed", "operator-one"])

    def test_the_first_change_of_an_empty_table_service_is_accepted(self):
        # Guards against a deployment that only starts after rows are written manually.
        world = World(2)
        world.table.__init__(None)
        world.run(2.0)
        self.assertEqual(world.nodes[0].may_serve(world.now).code, Code.STARTING)
        world.apply(0, "operator-one", [("zone/gobi", {"name": "gobi", "region": "r"})], base=0)
        world.run(2.0)
        self.assertEqual([node.may_serve(world.now) for node in world.nodes], [None, None])

    def test_an_operation_id_cannot_be_reused_for_another_change(self):
        # Guards against a change that is reported as accepted although it never was.
        world = serving_world(1)
        world.apply(0, "operator-one", change(0))
        world.apply(0, "operator-one", change(1))
        world.run(1.0)
        self.assertEqual(self.refused(world).code, Code.INVALID_CHANGE)

    def test_log_rows_in_the_table_service_are_bounded(self):
        # Guards against unbounded growth of the log and operation rows.
        from lovageway.controllers import _apply

        world = serving_world(1)
        previous, _apply.MAX_KEPT_ENTRIES = _apply.MAX_KEPT_ENTRIES, 5
        self.addCleanup(setattr, _apply, "MAX_KEPT_ENTRIES", previous)
        for number in range(20):
            world.apply(0, f"operator-{number}", change(number))
            world.run(0.1)
        rows = Counter(key.split("/")[1] for key in world.table.rows)
        self.assertEqual((rows["log"], rows["op"]), (5, 5))
        self.assertEqual(world.nodes[0].snapshot.version, 21)
