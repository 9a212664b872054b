"""Retry budgets keep the attempts of an outage under 1.1 for each request."""

import unittest

from lovageway.controllers.budgets import MAX_BALANCE, MAX_BUDGETS, Budgets


class RetryBudget(unittest.TestCase):
    def test_an_outage_costs_at_most_the_reserve_in_extra_attempts(self):
        # Guards against retries that multiply the load on a failing service.
        budgets = Budgets()
        for _ in range(1000):
            budgets.earn("clerks", "crock-llm")
        retries = sum(budgets.spend("clerks", "crock-llm") for _ in range(300))
        self.assertEqual(retries, MAX_BALANCE)
        self.assertLess((300 + retries) / 300, 1.1)

    def test_answered_requests_earn_a_tenth_of_a_retry(self):
        # Guards against a budget that never recovers, or recovers too fast.
        budgets = Budgets()
        retries = 0
        for _ in range(1000):
            budgets.earn("clerks", "crock-llm")
            retries += budgets.spend("clerks", "crock-llm")
        self.assertAlmostEqual(retries, 101, delta=1)

    def test_budgets_of_contracts_and_services_are_separate(self):
        # Guards against one account that uses the retries of another.
        budgets = Budgets()
        self.assertTrue(budgets.spend("clerks", "crock-llm"))
        self.assertFalse(budgets.spend("clerks", "crock-llm"))
        self.assertTrue(budgets.spend("counter", "crock-llm"))
        self.assertTrue(budgets.spend("clerks", "counter-app"))

    def test_memory_is_bounded(self):
        # Guards against memory that grows with the number of accounts.
        budgets = Budgets()
        for number in range(MAX_BUDGETS + 100):
            budgets.earn(f"account-{number}", "crock-llm")
        self.assertEqual(len(budgets.dump(0.0)), MAX_BUDGETS)
