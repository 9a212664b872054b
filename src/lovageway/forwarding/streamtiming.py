"""How the events of one stream follow each other."""

GAIN = 0.1  # weight of the newest time between two events in the mean


class StreamTiming:
    """Times of the events of a stream; seconds."""

    def __init__(self) -> None:
        self.events = 0
        self.mean_gap_s = 0.0  # mean time between two events
        self.first_at: float | None = None
        self.longest_s = 0.0
        self.longest_after = 0  # events that came before the longest pause
        self._last_at = 0.0

    @property
    def started(self) -> bool:
        """Return whether an event came."""
        return self.first_at is not None

    def on_event(self, now: float) -> None:
        """Note an event that is passed on."""
        if self.first_at is None:
            self.first_at = now
        else:
            gap = now - self._last_at
            self.mean_gap_s += GAIN * (gap - self.mean_gap_s) if self.mean_gap_s else gap
            if gap > self.longest_s:
                self.longest_s, self.longest_after = gap, self.events
        self._last_at = now
        self.events += 1

    def describe(self, arrived_at: float) -> dict[str, object]:
        """Return the fields of a log line.

        Parameters
        ----------
        arrived_at
            When the request came.
        """
        if self.first_at is None:
            return {}
        return {
            "first_ms": round((self.first_at - arrived_at) * 1000),
            "events": self.events,
            "longest_pause_ms": round(self.longest_s * 1000),
            "pause_after": self.longest_after,
        }
