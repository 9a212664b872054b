"""Counts of observations by bucket, for Prometheus; cheap enough for each token."""

from bisect import bisect_left
from itertools import accumulate


class Histogram:
    """Counts by bucket; changed by the event loop's thread alone, so it needs no lock."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Count an observation."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative count by the name of each bucket's upper bound."""
        names = [*map(str, self.bounds), "+Inf"]
        return list(zip(names, map(float, accumulate(list(self.counts))), strict=True))
