"""Counters, gauges and histograms of the forwarding path.

Values are plain numbers; `prometheus_client` is imported when the metrics are first read, so that
it does not delay the start of the daemon.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import TYPE_CHECKING

from lovageway.histogram import Histogram

if TYPE_CHECKING:
    from prometheus_client import Metric

PREFIX = "lovageway_"

COUNTERS: dict[str, tuple[str, tuple[str, ...]]] = {
    "forwarded": ("Requests by kind and how they ended.", ("kind", "outcome")),
    "forward_refusals": ("Answers that the daemon itself gave, by result code.", ("code",)),
    "forward_attempts": ("Attempts at backend servers, by how they ended.", ("outcome",)),
    "answers_rejected": ("Answers of servers that were not taken, by fault.", ("fault",)),
    "limits_unreadable": ("Limits that servers named and that could not be read.", ()),
    "hopeless_refusals": ("Requests refused at once, as those before them take too long.", ()),
    "limit_refusals": ("Requests refused since the limits of the servers leave no room.", ()),
    "broken_attempts": (
        "Attempts whose server ended the answer, by whether an event had arrived.",
        ("begun",),
    ),
    "suspects_changed": (
        "Requests and prompt parts found to crash servers, and those that no longer are suspects.",
        ("change",),
    ),
    "forward_repeats": (
        "Requests sent to a server again, by kind, and those that were not, by cause.",
        ("kind", "allowed"),
    ),
    "generation_moves": ("Moves of running generations, by result.", ("result",)),
    "protocol_errors": ("Client input that could not be served, by status.", ("status",)),
    "periodic_faults": ("Parts of the periodic work that failed, by part.", ("part",)),
    "rows_taken": ("Rows that changed what the daemon knows, by source.", ("source",)),
    "rows_unreadable": ("Rows that could not be decoded, by table.", ("table",)),
    "datagrams_rejected": ("Datagrams from other daemons that were dropped.", ("reason",)),
    "leaving_notices": ("Servers that said that they leave, by who heard it.", ("source",)),
    "server_probes": ("Questions to engines while the store was away.", ("result",)),
    "loads_unreadable": ("Loads in answers of servers of which a figure could not be read.", ()),
    "rollout_phases": ("Phases of roll-outs that began, by service.", ("service", "phase")),
    "rollout_answers": (
        "Answers while a roll-out is in progress, by version and whether they were bad.",
        ("service", "version", "bad"),
    ),
    "rollouts_ignored": ("Orders of roll-outs for services that are not configured.", ()),
    "pauses": ("Times at which the process stood still.", ()),
}
GAUGES: dict[str, str] = {
    "store_age_seconds": "Time since the store last answered.",
    "store_era": "Era of the store: rises when it returned from a copy and lost what it confirmed.",
    "store_rows_kept": "Rows that hold here although the store lost them, until written again.",
    "config_version": "Version of the configuration in force.",
    "waiting_requests": "Requests that wait for a server.",
    "running_requests": "Requests in progress.",
    "client_connections": "Connections of clients, at all listeners.",
    "client_connection_bytes": "Memory reserved for them and their requests, without bodies.",
    "client_memory_refusals": "Requests and connections refused for want of this memory.",
    "client_connections_evicted": "Unused connections closed to make room for new ones.",
    "store_calls_made": "Calls to the platform's store since the start.",
    "row_requests_refused": "Requests for rows refused since too many were open.",
    "log_lines_left_out": "Log lines left out since the start, to stay within the bound.",
    "regions_without_load": "Other regions whose load is not known, in a large fleet.",
    "region_load_age_seconds": "Age of the oldest load of another region, in a large fleet.",
    "suspects": "Requests and prompt parts that are held back, as they crash servers.",
    "server_limits": "Limits in force that servers named for their requests.",
    "live_daemons": "Daemons that are alive, this one included.",
}
HISTOGRAMS: dict[str, tuple[str, tuple[str, ...], tuple[float, ...]]] = {
    "answer_seconds": (
        "Time to the answer, or to the first event of a stream.",
        ("kind",),
        (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0),
    ),
    "wait_seconds": (
        "Time that a request waited for a server.",
        ("kind",),
        (0.0, 0.02, 0.1, 0.3, 1.0, 3.0, 10.0),
    ),
    "loop_delay_seconds": (
        "Time for which the event loop stood still when the daemon wanted to work.",
        (),
        (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0),
    ),
    "move_seconds": (
        "Time for which a stream paused while it was carried over.",
        (),
        (0.02, 0.05, 0.1, 0.18, 0.5, 1.0, 2.0),
    ),
}


class Telemetry:
    """Metrics of one daemon; label values come from fixed sets in the code."""

    def __init__(self) -> None:
        self._counts: dict[str, defaultdict[tuple[str, ...], float]] = {
            name: defaultdict(float) for name in COUNTERS
        }
        self._gauges = dict.fromkeys(GAUGES, 0.0)
        self._histograms: dict[str, dict[tuple[str, ...], Histogram]] = {
            name: {} for name in HISTOGRAMS
        }
        for name, (_, labels) in COUNTERS.items():
            if not labels:
                self._counts[name][()] = 0.0

    def add(self, name: str, *labels: str, amount: float = 1) -> None:
        """Increase a counter."""
        self._counts[name][labels] += amount

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def observe(self, name: str, value: float, *labels: str) -> None:
        """Add a value to a histogram."""
        series = self._histograms[name]
        if labels not in series:
            series[labels] = Histogram(HISTOGRAMS[name][2])
        series[labels].add(value)

    def collect(self) -> Iterator["Metric"]:
        """Yield the metrics as the families that prometheus_client exports."""
        from prometheus_client import core

        for name, (text, names) in COUNTERS.items():
            counter = core.CounterMetricFamily(PREFIX + name, text, labels=names)
            for labels, value in self._counts[name].items():
                counter.add_metric(labels, value)
            yield counter
        for name, text in GAUGES.items():
            yield core.GaugeMetricFamily(PREFIX + name, text, value=self._gauges[name])
        for name, (text, names, _) in HISTOGRAMS.items():
            histogram = core.HistogramMetricFamily(PREFIX + name, text, labels=names)
            for labels, series in self._histograms[name].items():
                histogram.add_metric(labels, series.buckets(), series.total)
            yield histogram

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return bytes(prometheus_client.generate_latest(registry))
