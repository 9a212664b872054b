"""Prometheus histograms of the times between tokens, cheap enough to update for each token."""

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from lovageway.histogram import Histogram

GAP_BOUNDS_S = (0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0)
FIRST_TOKEN_BOUNDS_S = (0.05, 0.1, 0.25, 0.5, 0.75, 0.97, 1.5, 2.5, 5.0, 10.0, 30.0)
MIN_STALL_S = 0.5  # longer gaps count as stalled time

LABELS = ("service", "request_class")
METRICS = {
    "token_gap_seconds": (
        "histogram",
        "Time between a stream's tokens at the daemon; tokens that arrive together count once.",
    ),
    "first_token_seconds": ("histogram", "Time from the request to its first token."),
    "stalled_seconds_total": ("counter", f"Seconds of gaps above {MIN_STALL_S} s between tokens."),
}


class _Series:
    """Measurements of one service and request class."""

    def __init__(self) -> None:
        self.gaps = Histogram(GAP_BOUNDS_S)
        self.first_tokens = Histogram(FIRST_TOKEN_BOUNDS_S)
        self.stalled_s = 0.0


class StreamTiming:
    """Measures the times between the tokens of one stream.

    Parameters
    ----------
    series
        Measurements that the times are added to.
    arrived
        When the request arrived (monotonic, s); None for a resumed stream.
    """

    def __init__(self, series: _Series, arrived: float | None) -> None:
        self._series = series
        self._arrived = arrived
        self._last_write: float | None = None

    def record_write(self, now: float) -> None:
        """Record that tokens were written at `now` (monotonic, s)."""
        series = self._series
        if self._last_write is not None:
            gap = now - self._last_write
            series.gaps.add(gap)
            if gap > MIN_STALL_S:
                series.stalled_s += gap
        elif self._arrived is not None:
            series.first_tokens.add(now - self._arrived)
        self._last_write = now


class Timing(Collector):
    """Measurements by service and request class; the configuration bounds the number of both."""

    def __init__(self) -> None:
        self._series: dict[tuple[str, str], _Series] = {}

    def start_stream(
        self, service: str, request_class: str, arrived: float | None = None
    ) -> StreamTiming:
        """Return the timing of a stream that starts."""
        return StreamTiming(self._series.setdefault((service, request_class), _Series()), arrived)

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics for prometheus_client."""
        help_texts = {name: text for name, (_, text) in METRICS.items()}
        names = ("token_gap_seconds", "first_token_seconds")
        gaps, first_tokens = (
            HistogramMetricFamily(f"lovageway_{name}", help_texts[name], labels=LABELS)
            for name in names
        )
        name = "stalled_seconds_total"
        stalled = CounterMetricFamily(f"lovageway_{name}", help_texts[name], labels=LABELS)
        for labels, series in list(self._series.items()):
            gaps.add_metric(labels, series.gaps.buckets(), series.gaps.total)
            first_tokens.add_metric(
                labels, series.first_tokens.buckets(), series.first_tokens.total
            )
            stalled.add_metric(labels, series.stalled_s)
        yield from (gaps, first_tokens, stalled)
