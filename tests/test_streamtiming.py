"""Tests of the timing of a stream's events."""

import unittest

from lovageway.forwarding.streamtiming import StreamTiming


class Timings(unittest.TestCase):
    def test_the_longest_pause_is_logged_with_its_position(self):
        # Guards against a late stream whose log line does not show where it paused.
        timing = StreamTiming()
        for now in (1.5, 1.53, 1.56, 1.96, 1.99):
            timing.on_event(now)
        fields = timing.describe(1.0)
        self.assertEqual((fields["first_ms"], fields["events"]), (500, 5))
        self.assertEqual((fields["longest_pause_ms"], fields["pause_after"]), (400, 3))

    def test_a_stream_without_events_has_no_log_fields(self):
        self.assertEqual(StreamTiming().describe(1.0), {})
        self.assertFalse(StreamTiming().started)

    def test_the_mean_gap_follows_the_events(self):
        timing = StreamTiming()
        for number in range(50):
            timing.on_event(0.03 * number)
        self.assertAlmostEqual(timing.mean_gap_s, 0.03, places=3)
