"""How long an output may take, from the pace of recent streams."""

import unittest

from lovageway.forwarding.tokenpace import HEADROOM, MIN_EVENTS, PERIOD_S, TokenPace


class Pace(unittest.TestCase):
    def test_the_slowest_recent_stream_counts(self):
        # Guards against generations that a daemon takes although its end will cut them off.
        pace = TokenPace()
        pace.on_events("llm", MIN_EVENTS, 0.02, 1.0)
        pace.on_events("llm", MIN_EVENTS, 0.01, 2.0)
        self.assertAlmostEqual(pace.longest_s("llm", 100, 0.5, 3.0), HEADROOM * 2.0)

    def test_without_an_observation_the_default_counts(self):
        pace = TokenPace()
        pace.on_events("llm", MIN_EVENTS - 1, 9.0, 1.0)  # the first gaps say little
        pace.on_events("other", MIN_EVENTS, 9.0, 1.0)
        self.assertAlmostEqual(pace.longest_s("llm", 100, 0.045, 1.0), 4.5)

    def test_an_old_pace_is_forgotten(self):
        # Guards against a daemon that refuses generations for a slow hour that is long over.
        pace = TokenPace()
        pace.on_events("llm", MIN_EVENTS, 0.02, 1.0)
        self.assertAlmostEqual(pace.longest_s("llm", 1, 0.5, PERIOD_S + 0.5), HEADROOM * 0.02)
        self.assertAlmostEqual(pace.longest_s("llm", 1, 0.5, 3 * PERIOD_S + 1.0), 0.5)
