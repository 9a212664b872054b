"""Tests that the platform's stand-in applies faults only to the transactions that a test names."""

import unittest

from standins.platform import Platform


class LostAnswers(unittest.TestCase):
    def transact(self, platform, key):
        body = {"conditions": [], "puts": [[key, "value"]], "deletes": []}
        return platform.transact(body).status

    def test_only_transactions_on_the_named_keys_lose_their_answer(self):
        # Guards against another daemon's write that triggers the fault meant for the write under
        # test. The table would then be down before the command's write, which is not applied.
        platform = Platform()
        platform.control({"lose": 1, "lose_of": "config/", "then": "down"})
        self.assertEqual(self.transact(platform, "orders/lease"), 200)
        self.assertEqual((platform.answers_to_lose, platform.table_state), (1, "up"))
        self.assertEqual(self.transact(platform, "config/head"), 500)
        self.assertEqual((platform.answers_to_lose, platform.table_state), (0, "down"))
