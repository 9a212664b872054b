"""Tests of the fault soak: each kind of broken promise is detected, and a short seeded run."""

import asyncio
import unittest
from types import SimpleNamespace

from soak.faults import FaultInterval
from soak.promises import ObservedRequest, check, check_budget, check_crashes
from soak.run import run
from soak.servers import EVENTS, event, expected_body

SEED = 4
SECONDS = 5.0
NO_FAULTS = SimpleNamespace(intervals=[], failed_stops=[])


def observed(kind="once", **fields):
    defaults = ObservedRequest(
        "a", kind, "d0", 10.0, 11.0, True, 200, True, expected_body("a"), True
    )
    return defaults._replace(**fields)


def stream(numbers, attempt="a", **fields):
    body = b"".join(event(attempt, number) for number in numbers)
    return observed("stream", body=body, **fields)


class Promises(unittest.TestCase):
    def broken(self, *items, ran=("a",), faults=NO_FAULTS):
        return check(items, [SimpleNamespace(executions=list(ran), continuations=[])], faults)

    def test_correct_answers_break_no_promise(self):
        all_events = range(1, EVENTS + 1)
        self.assertEqual(self.broken(observed()), [])
        self.assertEqual(self.broken(stream(all_events)), [])
        self.assertEqual(self.broken(stream(range(1, 5), complete=False)), [])
        self.assertEqual(self.broken(observed(status=503), ran=()), [])

    def test_a_call_executed_twice_is_detected(self):
        self.assertIn("ran 2 times", self.broken(observed(), ran=("a", "a"))[0])

    def test_a_refusal_of_an_executed_call_is_detected(self):
        for status in (408, 421, 429, 503):
            self.assertIn("and ran", self.broken(observed(status=status))[0])

    def test_an_answer_to_another_call_is_detected(self):
        self.assertIn("not its own", self.broken(observed(body=expected_body("b")))[0])
        self.assertIn("signature", self.broken(observed(signed=False))[0])

    def test_errors_in_streams_are_detected(self):
        self.assertIn("not in order", self.broken(stream([1, 3], complete=False))[0])
        self.assertIn("not in order", self.broken(stream([1, 2, 2], complete=False))[0])
        self.assertIn("another", self.broken(stream([1], attempt="b", complete=False))[0])
        self.assertIn("complete after 2", self.broken(stream([1, 2]))[0])

    def test_arrivals_beyond_the_retry_budget_are_detected(self):
        # Guards against repeats that pile up unseen, those that continue from copies included.
        asked = [observed(id=f"a{n}", begin=n * 0.1) for n in range(20)]
        once = [(item.begin + 0.1, item.id, "/") for item in asked]
        again = [(3.0 + n * 0.1, f"a{n}", "/") for n in range(7)]
        for extra, lines in ((3, 0), (2, 1)):
            server = SimpleNamespace(service="svc", arrivals=[*once, *again])
            self.assertEqual(len(check_budget(asked, [server], 0.2, extra, 10.0)), lines)

    def test_a_call_cut_by_planned_work_is_detected(self):
        cut = observed(status=0, complete=False)
        stop = FaultInterval("stop", "d0", 10.5, 12.0)
        planned = SimpleNamespace(intervals=[stop], failed_stops=[])
        self.assertIn("planned work", self.broken(cut, faults=planned)[0])
        killed = SimpleNamespace(
            intervals=[stop, FaultInterval("kill", "d1", 9.0, 10.0)], failed_stops=[]
        )
        self.assertEqual(self.broken(cut, faults=killed), [])


class Crashes(unittest.TestCase):
    part = FaultInterval("crashing part", "part", 10.0, 20.0)

    def broken(self, *intervals):
        crashes = [10.0 + number for number in range(5)] + [18.0, 18.1, 18.2, 18.3]
        faults = SimpleNamespace(intervals=[self.part, *intervals])
        return check_crashes(crashes, faults)

    def test_crashes_that_go_on_are_detected(self):
        self.assertIn("4 after", self.broken()[0])

    def test_crashes_are_excused_while_daemons_are_not_in_touch(self):
        self.assertEqual(self.broken(FaultInterval("kill", "d0", 12.0, 12.4)), [])


class ShortRun(unittest.TestCase):
    def test_no_promise_is_broken_under_seeded_faults(self):
        # Guards against daemons that break a promise under signals, faults of their connections,
        # and a misbehaving store and servers.
        result = asyncio.run(run(SEED, SECONDS))
        self.assertEqual(result.broken, [])
        self.assertGreater(result.answered, result.requests / 2)
