"""Tests of the evidence on one trait."""

import unittest

from lovageway.forwarding.crashrecord import (
    MAX_CRASHES_PER_RECORD,
    MAX_TRIAL_DELAY_S,
    MIN_CRASHES,
    MIN_CRASHES_ANSWERED,
    SAME_INCIDENT_S,
    CrashRecord,
)


def record(*times):
    """Return a record of one server a crash."""
    found = CrashRecord("part a of llm", 0.0)
    for number, at in enumerate(times):
        found.add(bytes([number]), at, at)
    return found


class Evidence(unittest.TestCase):
    def test_crashes_at_one_moment_are_one_incident(self):
        # Guards against a power failure that makes a popular part a suspect.
        self.assertFalse(record(*(1.0 + SAME_INCIDENT_S * n / 40 for n in range(30))).confirm())
        self.assertTrue(
            record(*(1.0 + SAME_INCIDENT_S * 2 * n for n in range(MIN_CRASHES))).confirm()
        )

    def test_an_answer_removes_earlier_crashes_and_raises_the_threshold(self):
        found = record(1.0, 2.0, 3.0)
        self.assertTrue(found.answer(2.5, 4.0))
        self.assertEqual(list(found.crashes.values()), [3.0])
        for number in range(MIN_CRASHES_ANSWERED - 1):
            self.assertFalse(found.confirm())
            found.add(b"s%d" % number, 5.0 + number, 5.0 + number)
        self.assertTrue(found.confirm())

    def test_the_earliest_report_on_a_server_counts(self):
        # Guards against evidence that moves in time with each daemon that repeats it.
        found = record(5.0)
        self.assertFalse(found.add(bytes([0]), 5.3, 5.4))
        self.assertFalse(found.add(bytes([0]), 4.9, 5.5))
        self.assertEqual(list(found.crashes.values()), [4.9])

    def test_crashes_and_the_delay_of_trials_are_limited(self):
        found = record(*(float(n) for n in range(200)))
        self.assertEqual(len(found.crashes), MAX_CRASHES_PER_RECORD)
        self.assertEqual(found.last_crash_at, 199.0)
        found.trials = 50
        self.assertEqual(found.trial_due_at(), 199.0 + MAX_TRIAL_DELAY_S)
