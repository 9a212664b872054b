"""Outcome of a request after a failed attempt: a retry or a refusal, and its code."""

import unittest

from lovageway.chain import Context, qualify_effect
from lovageway.codes import Code, Refusal
from lovageway.controllers.budgets import Budgets
from lovageway.events import AttemptFailed, Request
from lovageway.filters.attempt import Attempt
from lovageway.model import Contract, Service

CONTRACT = Contract("clerks", (), (), 1.0, 1, 1.0)
PLAIN = Service("counter-app", "plain", ("refund", "history"), ("history",))
ENGINE = Service("crock-llm", "engine")


def context(service, method, **changes):
    req = Request("r", "", service.name, method, "f", 0, 0)
    ctx = Context(req, 0.0, CONTRACT, service, server_id="server-0", start_id="s")
    return ctx._replace(**changes)


def failed(failure, delivered=0, attempt=0):
    return AttemptFailed("r", attempt, failure, delivered)


class FailedAttempt(unittest.TestCase):
    def setUp(self):
        self.budgets = Budgets()
        self.attempt = Attempt(self.budgets)

    def refusal(self, ctx, event):
        found = self.attempt.failed(ctx, event).error
        return found.code, found.effect

    def test_a_lost_call_that_is_not_idempotent_is_never_sent_again(self):
        # Guards against a second refund when the answer to the first is lost.
        ctx = context(PLAIN, "refund")
        for failure in ("lost", "gone", "stalled", "error", "overloaded"):
            expected = (Code.OUTCOME_UNKNOWN_NOW, "unknown")
            self.assertEqual(self.refusal(ctx, failed(failure)), expected)

    def test_tokens_of_a_second_generation_never_follow_those_of_a_first(self):
        # Guards against a retry after output has been delivered.
        ctx = context(ENGINE, "completions")
        self.assertEqual(self.refusal(ctx, failed("gone", 3)), (Code.GENERATION_LOST, "yes"))
        self.assertEqual(self.refusal(ctx, failed("lost", 3)), (Code.STREAM_LOST, "yes"))

    def test_a_retry_passes_over_the_failed_server_and_costs_one_from_the_budget(self):
        # Guards against unlimited retries and against a retry at the server that failed.
        ctx = self.attempt.failed(context(ENGINE, "completions"), failed("lost")).ok
        self.assertEqual((ctx.attempt, ctx.tried), (1, ("server-0",)))
        self.assertEqual(self.refusal(ctx, failed("lost", 0, 1)), (Code.RETRY_BUDGET, "unknown"))

    def test_a_third_attempt_is_the_last_even_with_budget_left(self):
        # Guards against one request that uses up the retry budget.
        for _ in range(100):
            self.budgets.earn("clerks", "crock-llm")
        ctx = context(ENGINE, "completions", attempt=2)
        self.assertEqual(self.refusal(ctx, failed("connect")), (Code.ATTEMPT_FAILED, "no"))

    def test_not_run_is_not_said_after_an_earlier_attempt_that_may_have_run(self):
        # Guards against reporting "not run" from the last attempt alone, in any filter.
        ctx = context(ENGINE, "completions", attempt=2, maybe_ran=True)
        self.assertEqual(self.refusal(ctx, failed("connect")), (Code.ATTEMPT_FAILED, "unknown"))
        self.assertEqual(qualify_effect(ctx, Refusal(Code.NO_SERVER)).effect, "unknown")
