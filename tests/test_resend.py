"""One decision about all sends of a request beyond its first."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.resend import (
    MAX_WITHOUT_PROGRESS,
    Kind,
    ResendLog,
    Sharing,
    Verdict,
    decide,
)
from lovageway.forwarding.retries import RetryBudget

RATIO, EXTRA, WINDOW_S = 0.2, 54.0, 10.0
COUNTED = (Kind.RETRY, Kind.CHECKPOINT, Kind.MIGRATION)


def sharing(budget=None, *, daemons=1.0, restarted=False, engines=True):
    return Sharing(budget or RetryBudget(RATIO, EXTRA, WINDOW_S), daemons, restarted, engines)


def count_allowed(kind, shared, tries=200, now=0.0):
    verdicts = [decide(kind, ResendLog(), shared, now, has_time=True) for _ in range(tries)]
    return verdicts.count(Verdict.ALLOWED)


class Decision(unittest.TestCase):
    def test_nothing_is_sent_when_the_time_is_used_up(self):
        # Guards against a kind of sending that does not look at the time.
        for kind in Kind:
            verdict = decide(kind, ResendLog(), sharing(), 0.0, has_time=False)
            self.assertIs(verdict, Verdict.NO_TIME)

    def test_every_arrival_beyond_the_first_counts(self):
        # Guards against continuations from copies that pile up beside the budget of retries.
        for kind in COUNTED:
            shared = sharing(daemons=2.0)
            allowed = sum(count_allowed(each, shared) for each in (kind, *COUNTED))
            self.assertLessEqual(allowed, EXTRA / 2)

    def test_what_reached_no_server_costs_nothing(self):
        # Guards against servers that are down and use up the budget without an arrival.
        self.assertEqual(count_allowed(Kind.UNSENT, sharing()), 200)

    def test_retries_leave_a_part_to_the_continuations_of_generations(self):
        # Guards against generations that are lost because retries, which clients can repeat
        # themselves, have used the budget.
        shared = sharing()
        self.assertGreater(count_allowed(Kind.RETRY, shared), 20)
        self.assertGreaterEqual(count_allowed(Kind.CHECKPOINT, shared), 10)
        self.assertEqual(count_allowed(Kind.MIGRATION, shared), 0)

    def test_a_service_without_copies_uses_its_whole_budget_for_retries(self):
        # Guards against a reserve that nothing ever uses.
        plain, engines = sharing(engines=False), sharing()
        self.assertGreater(count_allowed(Kind.RETRY, plain), count_allowed(Kind.RETRY, engines))

    def test_a_request_without_progress_is_given_up(self):
        # Guards against one request that goes round among servers for as long as it has time.
        log, shared = ResendLog(), sharing(RetryBudget(RATIO, 1e6, WINDOW_S))
        verdicts = [decide(Kind.CHECKPOINT, log, shared, 0.0, has_time=True) for _ in range(50)]
        self.assertEqual(verdicts.count(Verdict.ALLOWED), MAX_WITHOUT_PROGRESS)
        self.assertIs(verdicts[-1], Verdict.TOO_OFTEN)
        log.on_progress()
        verdict = decide(Kind.CHECKPOINT, log, shared, 0.0, has_time=True)
        self.assertIs(verdict, Verdict.ALLOWED)


STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),  # daemon
        st.sampled_from(["request", "request", "again", "again", "burst", "kill", "pass"]),
        st.sampled_from(COUNTED),
    ),
    max_size=150,
)


class Fleet(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(STEPS)
    def test_no_window_has_more_arrivals_than_allowed_across_restarts(self, steps):
        # Guards against a bound that starts anew with each process, and against any order of kinds
        # in which the sum of all daemons exceeds it.
        now, sent, asked = 0.0, [], []
        budgets = [RetryBudget(RATIO, EXTRA, WINDOW_S) for _ in range(4)]
        killed_at = [float("-inf")] * 4
        for number, what, kind in steps:
            if what == "request":
                budgets[number].on_request(now)
                asked.append(now)
            elif what == "kill" and now - killed_at[number] > WINDOW_S / 2:
                budgets[number] = RetryBudget(RATIO, EXTRA, WINDOW_S)
                killed_at[number] = now
            elif what == "pass":
                now += 0.7
            for _ in range({"again": 1, "burst": 12}.get(what, 0)):
                restarted = now - killed_at[number] < WINDOW_S
                shared = sharing(budgets[number], daemons=4.0, restarted=restarted)
                if decide(kind, ResendLog(), shared, now, has_time=True) is Verdict.ALLOWED:
                    sent.append(now)
            in_window = sum(at > now - WINDOW_S for at in sent)
            # Requests before the window count too: the rule takes the best of three windows.
            requests = sum(at > now - 2 * WINDOW_S for at in asked)
            self.assertLessEqual(in_window, RATIO * requests + EXTRA)
