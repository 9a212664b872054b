"""Times of a stream's events."""

import unittest

from lovageway.forwarding.streamtiming import StreamTiming


class Paces(unittest.TestCase):
    def test_the_longest_pause_is_told_with_its_place(self):
        # Guards against a late stream of which nobody can tell where it paused.
        timing = StreamTiming()
        for now in (1.5, 1.53, 1.56, 1.96, 1.99):
            timing.on_event(now)
        told = timing.describe(1.0)
        self.assertEqual((told["first_ms"], told["events"]), (500, 5))
        self.assertEqual((told["longest_pause_ms"], told["pause_after"]), (400, 3))

    def test_a_stream_without_events_tells_nothing(self):
        self.assertEqual(StreamTiming().describe(1.0), {})
        self.assertFalse(StreamTiming().started)

    def test_the_mean_step_follows_the_events(self):
        timing = StreamTiming()
        for number in range(50):
            timing.on_event(0.03 * number)
        self.assertAlmostEqual(timing.mean_gap_s, 0.03, places=3)
