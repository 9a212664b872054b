"""Metrics of a daemon."""

from prometheus_client import CollectorRegistry, Counter

from lovageway.events import Count
from lovageway.timing import Timing

COUNTERS: dict[str, tuple[str, tuple[str, ...]]] = {
    "requests": ("Requests received.", ("service",)),
    "attempts_failed": ("Attempts that ended without a whole answer.", ("failure",)),
    "callers_gone": ("Requests whose caller closed the connection early.", ()),
    "generations_cancelled": ("Generations cancelled after their caller had gone.", ()),
    "refusals": ("Refusals sent to callers.", ("code",)),
    "orders_refused": ("Orders that an engine refused for their fencing number.", ()),
    "queued": ("Requests that waited for credit.", ("request_class",)),
    "queue_refusals": ("Requests refused since the wait would be too long.", ("request_class",)),
    "claims_settled": ("Claims whose outcome was written.", ("state",)),
    "claims_cleaned": ("Claims deleted after their time.", ()),
    "claim_epochs": ("Epochs of claims begun by this daemon.", ()),
    "attempts": ("Attempts sent to backend servers.", ("service",)),
    "poison_marks": ("Deaths of backend servers noted under a request's fingerprint.", ()),
    "table_shed": ("Calls of the table service not made because too many were open.", ()),
    "stops": ("Planned stops begun.", ()),
    "share_lines": ("Lines of requests for shares sent to owners.", ()),
    "grant_lines": ("Lines of grants sent to holders.", ()),
    "limited": ("Requests refused or delayed by a limit of their contract.", ("part",)),
    "server_news": ("Reports on start identities and overload sent to owners.", ()),
    "config_accepted": ("Configuration changes accepted here.", ()),
    "config_refused": ("Configuration changes refused here.", ("code",)),
    "config_learned": ("Configuration versions put in force, by how they came.", ("source",)),
    "config_rejected": ("Configuration versions kept out because rows cannot be parsed.", ()),
    "config_stale_heads": ("Reads of a head older than the version in force.", ()),
    "member_changes": ("Members that took a new state.", ("state",)),
    "member_entries_rejected": ("Member entries that were malformed or too many.", ()),
    "refutations": ("Wrong entries about this daemon that it refuted.", ()),
    "peer_messages": ("Messages and handshakes between daemons.", ("direction",)),
    "peer_bytes": ("Bytes of messages and handshakes between daemons.", ("direction",)),
    "peer_errors": ("Peer connections dropped or messages lost.", ("reason",)),
}


class Metrics:
    """Counters by name.

    Label values are service names and words fixed in the code, so their number is bounded.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.timing = Timing()
        self.registry.register(self.timing)
        self._counters = {
            name: Counter(f"lovageway_{name}", text, labels, registry=self.registry)
            for name, (text, labels) in COUNTERS.items()
        }

    def add(self, count: Count) -> None:
        """Add an amount to a counter."""
        counter = self._counters[count.name]
        (counter.labels(*count.labels) if count.labels else counter).inc(count.amount)
