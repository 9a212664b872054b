"""Times between tokens as Prometheus histograms, cheap enough to be taken for each token."""

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from lovageway.histogram import Histogram

GAP_BOUNDS_S = (0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0)
FIRST_BOUNDS_S = (0.05, 0.1, 0.25, 0.5, 0.75, 0.97, 1.5, 2.5, 5.0, 10.0, 30.0)
STALL_S = 0.5  # a longer gap counts as stalled time

LABELS = ("service", "request_class")
METRICS = {
    "token_gap_seconds": (
        "histogram",
        "Time between a stream's tokens at the daemon; tokens that arrive together count once.",
    ),
    "first_token_seconds": ("histogram", "Time from the request to its first token."),
    "stalled_seconds_total": ("counter", f"Seconds of gaps above {STALL_S} s between tokens."),
}


class _Series:
    """Measures of one service and request class."""

    def __init__(self) -> None:
        self.gaps = Histogram(GAP_BOUNDS_S)
        self.firsts = Histogram(FIRST_BOUNDS_S)
        self.stalled = 0.0


class Pace:
    """Times of one stream.

    Parameters
    ----------
    series
        Where they are counted.
    arrived
        When the request came (monotonic, s); None for a stream that is resumed.
    """

    def __init__(self, series: _Series, arrived: float | None) -> None:
        self._series = series
        self._arrived = arrived
        self._last: float | None = None

    def wrote(self, now: float) -> None:
        """Note that tokens were written at `now` (monotonic, s)."""
        series = self._series
        if self._last is not None:
            gap = now - self._last
            series.gaps.add(gap)
            if gap > STALL_S:
                series.stalled += gap
        elif self._arrived is not None:
            series.firsts.add(now - self._arrived)
        self._last = now


class Timing(Collector):
    """Measures by service and request class, both bounded by the configuration."""

    def __init__(self) -> None:
        self._series: dict[tuple[str, str], _Series] = {}

    def pace(self, service: str, request_class: str, arrived: float | None = None) -> Pace:
        """Return the measure of one stream."""
        return Pace(self._series.setdefault((service, request_class), _Series()), arrived)

    def collect(self) -> Iterator[Metric]:
        """Return the metrics as prometheus_client exports them."""
        help_of = {name: text for name, (_, text) in METRICS.items()}
        names = ("token_gap_seconds", "first_token_seconds")
        gaps, firsts = (
            HistogramMetricFamily(f"lovageway_{name}", help_of[name], labels=LABELS)
            for name in names
        )
        name = "stalled_seconds_total"
        stalled = CounterMetricFamily(f"lovageway_{name}", help_of[name], labels=LABELS)
        for labels, series in list(self._series.items()):
            gaps.add_metric(labels, series.gaps.buckets(), series.gaps.total)
            firsts.add_metric(labels, series.firsts.buckets(), series.firsts.total)
            stalled.add_metric(labels, series.stalled)
        yield from (gaps, firsts, stalled)
