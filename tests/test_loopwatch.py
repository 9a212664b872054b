"""The time for which the event loop stands still is measured and logged."""

import asyncio
import time
import unittest

from lovageway.forwarding.loopwatch import INTERVAL_S, LOGGED_DELAY_S, LoopWatch
from lovageway.forwarding.telemetry import Telemetry
from tests.relayworld import RecordedLog


class Watch(unittest.IsolatedAsyncioTestCase):
    async def test_work_that_holds_the_event_loop_is_logged_and_counted(self):
        # Guards against stalls that operators can only infer from late answers.
        telemetry, log = Telemetry(), RecordedLog()
        watch = LoopWatch(asyncio.get_running_loop(), telemetry, log)
        watch.start()
        self.addCleanup(watch.stop)
        await asyncio.sleep(0)
        time.sleep(INTERVAL_S + 2 * LOGGED_DELAY_S)
        await asyncio.sleep(0.01)
        self.assertGreaterEqual(log.of("loop_stalled")[0]["late_ms"], 2000 * LOGGED_DELAY_S - 100)
        self.assertIn("lovageway_loop_delay_seconds_count 1.0", telemetry.text().decode())
