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
    "queued": ("Requests that waited for credit.", ("request_class",)),
    "queue_refusals": ("Requests refused since the wait would be too long.", ("request_class",)),
    "stops": ("Planned stops begun.", ()),
    "share_lines": ("Lines of requests for shares sent to owners.", ()),
    "grant_lines": ("Lines of grants sent to holders.", ()),
    "limited": ("Requests refused or delayed by a limit of their contract.", ("part",)),
    "server_news": ("Reports on start identities and overload sent to owners.", ()),
    "member_changes": ("Members that took a new state.", ("state",)),
    "member_entries_rejected": ("Member entries that were malformed or too many.", ()),
    "refutations": ("Wrong entries about this daemon that it refuted.", ()),
    "peer_messages": ("Messages and handshakes between daemons.", ("direction",)),
    "peer_bytes": ("Bytes of messages and handshakes between daemons.", ("direction",)),
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
