"""Histogram for Prometheus, cheap enough to update for each token."""

from bisect import bisect_left
from itertools import accumulate


class Histogram:
    """Counts observations by bucket; updated only in the event loop's thread, so without a lock."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Add an observation."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def buckets(self) -> list[tuple[str, float]]:
        """Return the name of the upper bound and the cumulative count of each bucket."""
        names = [*map(str, self.bounds), "+Inf"]
        return list(zip(names, map(float, accumulate(list(self.counts))), strict=True))
