"""Validation of the rows of a change, with all errors reported at once."""

import unittest

from lovageway.codes import Code
from tests.builders import contract_row
from tests.configuration_world import serving_world


class Rows(unittest.TestCase):
    def refused(self, world, index=-1):
        self.assertIsNotNone(world.done[index].refusal)
        return world.done[index].refusal

    def test_all_errors_of_a_change_are_reported_at_once(self):
        # Guards against invalid rows, and against operators having to correct errors one by one.
        world = serving_world(1)
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
        world.run(0.5)
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

    def test_rows_must_be_consistent_with_each_other(self):
        # Guards against keys of two accounts, and against contracts for services that do not exist.
        world = serving_world(1)
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
            world.run(0.2)
            self.assertIn(part, self.refused(world).detail)
