"""Counters of a daemon."""

from prometheus_client import CollectorRegistry, Counter

from lovageway.events import Count

COUNTERS: dict[str, tuple[str, tuple[str, ...]]] = {
    "requests": ("Requests received.", ("service",)),
    "attempts_failed": ("Attempts that ended without a whole answer.", ("failure",)),
    "callers_gone": ("Requests whose caller closed the connection early.", ()),
    "generations_cancelled": ("Generations cancelled after their caller had gone.", ()),
    "refusals": ("Refusals sent to callers.", ("code",)),
    "orders_refused": ("Orders that an engine refused for their fencing number.", ()),
    "stops": ("Planned stops begun.", ()),
    "peer_errors": ("Peer connections dropped or messages lost.", ("reason",)),
}


class Metrics:
    """Counters by name; labels are bounded by the number of services and fixed words."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._counters = {
            name: Counter(f"lovageway_{name}", text, labels, registry=self.registry)
            for name, (text, labels) in COUNTERS.items()
        }

    def add(self, count: Count) -> None:
        """Add to a counter."""
        counter = self._counters[count.name]
        (counter.labels(*count.labels) if count.labels else counter).inc(count.amount)
