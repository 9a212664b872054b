"""The fault soak: a short seeded run, and that its checks see each kind of broken promise."""

import asyncio
import unittest
from types import SimpleNamespace

from soak.faults import Interval
from soak.promises import Seen, check
from soak.run import run
from soak.servers import EVENTS, event, expected_body

SEED = 4
SECONDS = 5.0
NO_FAULTS = SimpleNamespace(done=[], bad_stops=[])


def seen(kind="once", **fields):
    known = Seen("a", kind, "d0", 10.0, 11.0, True, 200, True, expected_body("a"), True)
    return known._replace(**fields)


def stream(numbers, attempt="a", **fields):
    body = b"".join(event(attempt, number) for number in numbers)
    return seen("stream", body=body, **fields)


class Promises(unittest.TestCase):
    def broken(self, *items, ran=("a",), faults=NO_FAULTS):
        return check(items, [SimpleNamespace(executions=list(ran), continuations=[])], faults)

    def test_right_answers_break_nothing(self):
        whole = range(1, EVENTS + 1)
        self.assertEqual(self.broken(seen()), [])
        self.assertEqual(self.broken(stream(whole)), [])
        self.assertEqual(self.broken(stream(range(1, 5), complete=False)), [])
        self.assertEqual(self.broken(seen(status=503), ran=()), [])

    def test_a_call_that_ran_twice_is_seen(self):
        self.assertIn("ran 2 times", self.broken(seen(), ran=("a", "a"))[0])

    def test_an_untrue_refusal_is_seen(self):
        for status in (408, 421, 429, 503):
            self.assertIn("and ran", self.broken(seen(status=status))[0])

    def test_anothers_answer_is_seen(self):
        self.assertIn("not its own", self.broken(seen(body=expected_body("b")))[0])
        self.assertIn("signature", self.broken(seen(signed=False))[0])

    def test_faults_of_streams_are_seen(self):
        self.assertIn("not in order", self.broken(stream([1, 3], complete=False))[0])
        self.assertIn("not in order", self.broken(stream([1, 2, 2], complete=False))[0])
        self.assertIn("another", self.broken(stream([1], attempt="b", complete=False))[0])
        self.assertIn("complete after 2", self.broken(stream([1, 2]))[0])

    def test_a_call_that_planned_work_cut_is_seen(self):
        cut = seen(status=0, complete=False)
        stop = Interval("stop", "d0", 10.5, 12.0)
        planned = SimpleNamespace(done=[stop], bad_stops=[])
        self.assertIn("planned work", self.broken(cut, faults=planned)[0])
        killed = SimpleNamespace(done=[stop, Interval("kill", "d1", 9.0, 10.0)], bad_stops=[])
        self.assertEqual(self.broken(cut, faults=killed), [])


class ShortRun(unittest.TestCase):
    def test_no_promise_is_broken_under_seeded_faults(self):
        # Real daemons under signals, proxies and misbehaving servers and store.
        result = asyncio.run(run(SEED, SECONDS))
        self.assertEqual(result.broken, [])
        self.assertGreater(result.answered, result.requests / 2)
