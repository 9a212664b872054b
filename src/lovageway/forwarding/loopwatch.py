"""Measures for how long the event loop stands still, and logs it beyond a bound.

While one piece of work holds the event loop, no request gets an answer. The loop also stands still
while the process is suspended.
"""

import asyncio

from lovageway.forwarding.eventlog import EventLog
from lovageway.forwarding.telemetry import Telemetry

INTERVAL_S = 0.1
LOGGED_DELAY_S = 0.25


class LoopWatch:
    """Wakes regularly and records how late it is."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, telemetry: Telemetry, log: EventLog
    ) -> None:
        self._loop = loop
        self._telemetry = telemetry
        self._log = log
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to measure."""
        self._schedule()

    def stop(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        due_at = self._loop.time() + INTERVAL_S
        self._timer = self._loop.call_at(due_at, self._on_wake, due_at)

    def _on_wake(self, due_at: float) -> None:
        late_s = max(0.0, self._loop.time() - due_at)
        self._telemetry.observe("loop_delay_seconds", late_s)
        if late_s > LOGGED_DELAY_S:
            self._log("loop_stalled", late_ms=round(late_s * 1000))
        self._schedule()
