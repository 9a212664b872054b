"""Measures the times between the events of one stream."""

GAP_GAIN = 0.1  # weight of the newest gap in the moving average


class StreamTiming:
    """Event count and times of a stream, in seconds."""

    def __init__(self) -> None:
        self.events = 0
        self.mean_gap_s = 0.0  # moving average of the time between two events
        self.first_at: float | None = None
        self.longest_gap_s = 0.0
        self.events_before_longest_gap = 0
        self._last_at = 0.0

    @property
    def started(self) -> bool:
        """Return whether an event has arrived."""
        return self.first_at is not None

    def on_event(self, now: float) -> None:
        """Record an event that is forwarded."""
        if self.first_at is None:
            self.first_at = now
        else:
            gap = now - self._last_at
            self.mean_gap_s += GAP_GAIN * (gap - self.mean_gap_s) if self.mean_gap_s else gap
            if gap > self.longest_gap_s:
                self.longest_gap_s, self.events_before_longest_gap = gap, self.events
        self._last_at = now
        self.events += 1

    def describe(self, arrived_at: float) -> dict[str, object]:
        """Return the timing fields of a log line; empty without events.

        Parameters
        ----------
        arrived_at
            When the request arrived.
        """
        if self.first_at is None:
            return {}
        return {
            "first_ms": round((self.first_at - arrived_at) * 1000),
            "events": self.events,
            "longest_pause_ms": round(self.longest_gap_s * 1000),
            "pause_after": self.events_before_longest_gap,
        }
