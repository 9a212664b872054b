"""A cold server is never treated as warm, and a warm one is not treated as cold needlessly."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.controllers.starts import Starts
from lovageway.model import Service

SERVICE = Service("crock-llm", "engine", cold_slots=2, full_slots=16, ramp_s=10.0)
event = st.tuples(
    st.sampled_from(("report", "answer", "age", "restart")), st.integers(0, 1), st.floats(0, 4)
)


class Ramp(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(event, max_size=30))
    def test_the_ramp_is_never_ahead_of_the_true_age(self, events):
        # Guards against a restarted server that gets the load of a warm one. Answers and ages that
        # other daemons report may still be about the previous run.
        starts, now, began = Starts(), 100.0, [100.0, 100.0]
        current = 0
        for kind, late, wait in events:
            now += wait
            run = max(0, current - late)
            match kind:
                case "report":
                    starts.reported("s", f"run{current}", now)
                case "answer":
                    starts.seen("s", f"run{run}", now)
                case "age":
                    starts.merge_age("s", f"run{run}", int(now - began[run]), now)
                case "restart":
                    current += 1
                    began[current:] = [now, now]
            if starts.current("s") == f"run{current}":
                true_part = min(1.0, (now - began[current]) / SERVICE.ramp_s)
                self.assertLessEqual(starts.slots("s", SERVICE, now), 2 + 14 * true_part + 1e-6)

    def test_a_new_owner_learns_the_age_from_others(self):
        # Guards against restarting the ramp of every server whose owner changed.
        starts = Starts()
        starts.reported("s", "run", 100.0)
        self.assertEqual(starts.slots("s", SERVICE, 100.0), 2)
        starts.merge_age("s", "run", 60, 100.5)
        self.assertEqual(starts.slots("s", SERVICE, 100.5), 16)

    def test_a_late_report_of_the_earlier_run_changes_nothing(self):
        # Guards against a warm limit for a cold server because of a report read before its restart.
        starts = Starts()
        starts.reported("s", "old", 0.0)
        self.assertTrue(starts.seen("s", "new", 50.0))
        self.assertFalse(starts.reported("s", "old", 50.1))
        self.assertFalse(starts.seen("s", "old", 50.2))
        self.assertEqual(starts.slots("s", SERVICE, 50.2), 2)

    def test_the_ramp_starts_again_after_a_refusal(self):
        # Guards against raising the load of a server that refuses requests because of overload.
        starts = Starts()
        starts.reported("s", "run", 0.0)
        starts.restart_ramp("s", 60.0)
        self.assertEqual(starts.slots("s", SERVICE, 60.0), 2)
        self.assertEqual(starts.slots("s", SERVICE, 65.0), 9)
