"""Tracks the load of each backend server: this daemon's requests and those that others reported.

The sums are updated with each message, so that the cost of reading the load of a server does not
depend on the size of the fleet. In a small fleet each daemon receives the load of every other one.
In a large one it receives the sum of its region from aggregators, and the sums of other regions
through them.
"""

from typing import NamedTuple

# Older reports are not used. The age of peers' loads allows for two heartbeat intervals of a large
# fleet, so that one lost heartbeat does not remove a load.
MAX_PEER_LOAD_AGE_S = 1.3
MAX_REGION_LOAD_AGE_S = 2.5  # for the sum of another region
MAX_ENTRIES = 50_000  # pairs of a daemon and a server in the reports of peers
MAX_SUMS = 64  # of aggregators, and of other regions


class Load(NamedTuple):
    """Requests at a server, and the KV cache that they and checkpoints occupy.

    The field names are keys of the state that a daemon writes out for operators.

    Attributes
    ----------
    requests
        Number of requests.
    tokens
        Expected size of the KV cache of these requests and of checkpoints, in tokens.
    unread
        Prompt tokens that are not yet processed: the prompts of requests whose answer has not
        begun.
    copies
        The part of `tokens` that belongs to checkpoints of generations running on other servers.
    """

    requests: int
    tokens: int
    unread: int = 0
    copies: int = 0

    def __add__(self, other: object) -> "Load":
        if not isinstance(other, Load):
            return NotImplemented
        return Load(
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.unread + other.unread,
            self.copies + other.copies,
        )

    def __sub__(self, other: "Load") -> "Load":
        return Load(
            self.requests - other.requests,
            self.tokens - other.tokens,
            self.unread - other.unread,
            self.copies - other.copies,
        )


ZERO = Load(0, 0)
Loads = dict[str, Load]  # by server id


class LoadReport(NamedTuple):
    """Load that other daemons reported."""

    as_of: float  # time of receipt; for another region's sum, less the age that its sender stated
    loads: Loads
    # Number of daemons whose complete load the report contains; 0 if a peer has so far sent only
    # added load.
    daemons: int = 1


def _sum(*parts: Loads) -> Loads:
    found: Loads = {}
    for loads in parts:
        for server, load in loads.items():
            found[server] = found.get(server, ZERO) + load
    return found


class LoadTracker:
    """Adds up the load of each server from this daemon's requests and other daemons' reports."""

    def __init__(self) -> None:
        self._own: Loads = {}
        self._peers: dict[str, LoadReport] = {}  # each reporting peer's own load
        self._peer_sum: Loads = {}
        self._entries = 0  # pairs of a peer and a server
        self._reporting_peers = 0  # peers that reported their complete load
        # The load of the region without this daemon's, by the aggregator that sent it.
        self._region_sums: dict[str, LoadReport] = {}
        self._other_regions: dict[str, LoadReport] = {}  # by region
        self._expires_at = float("inf")  # when the oldest report becomes too old
        self._remote_sum: Loads | None = None  # cached sum of the reports in use; None if outdated

    # Load of this daemon.

    def add(self, server: str, tokens: int) -> None:
        """Count a request that is sent to a server."""
        self._change(server, Load(1, tokens))

    def add_unread(self, server: str, prompt: int) -> None:
        """Add the tokens of a prompt that a server has yet to process.

        The same amount is added negatively once the answer begins.
        """
        self._change(server, Load(0, 0, prompt))

    def add_checkpoint(self, server: str, tokens: int) -> None:
        """Add the KV cache of a checkpoint, in tokens; a negative amount when it is freed."""
        self._change(server, Load(0, tokens, copies=tokens))

    def remove(self, server: str, tokens: int) -> None:
        """Count a request that ended at a server."""
        self._change(server, Load(-1, -tokens))

    def _change(self, server: str, change: Load) -> None:
        remaining = self._own.get(server, ZERO) + change
        if any(part > 0 for part in remaining):
            self._own[server] = remaining
        else:
            self._own.pop(server, None)

    def own(self) -> Loads:
        """Return this daemon's load."""
        return dict(self._own)

    def own_at(self, server: str) -> Load:
        """Return this daemon's load at a server."""
        return self._own.get(server, ZERO)

    # Reports of other daemons.

    def on_peer(self, peer: str, loads: Loads, now: float) -> None:
        """Record a peer's own complete load."""
        self._set_peer(peer, LoadReport(now, loads))
        self._invalidate(now + MAX_PEER_LOAD_AGE_S)

    def on_peer_added(self, peer: str, loads: Loads, now: float) -> None:
        """Add load that a peer started after its last complete report.

        The peer's next complete report contains this load and replaces the record.
        """
        known = self._peers.get(peer, LoadReport(now, {}, 0))
        self._set_peer(peer, known._replace(loads=_sum(known.loads, loads)))
        for aggregator, report in self._region_sums.items():
            self._region_sums[aggregator] = report._replace(loads=_sum(report.loads, loads))
        self._invalidate(known.as_of + MAX_PEER_LOAD_AGE_S)

    def on_region_sum(self, aggregator: str, loads: Loads, daemons: int, now: float) -> None:
        """Record the load of the region's other daemons as an aggregator added it up.

        Parameters
        ----------
        daemons
            How many daemons reported to the aggregator.
        """
        if aggregator in self._region_sums or len(self._region_sums) < MAX_SUMS:
            self._region_sums[aggregator] = LoadReport(now, loads, daemons)
            self._invalidate(now + MAX_PEER_LOAD_AGE_S)

    def on_other_region(self, region: str, loads: Loads, now: float) -> None:
        """Record the sum of another region's loads, unless a newer one is recorded.

        Parameters
        ----------
        now
            When the loads were valid: the time of receipt less the age stated by the sender.
        """
        old = self._other_regions.get(region)
        is_new = old is None and len(self._other_regions) < MAX_SUMS
        if is_new or (old is not None and old.as_of <= now):
            self._other_regions[region] = LoadReport(now, loads)
            self._invalidate(now + MAX_REGION_LOAD_AGE_S)

    def _set_peer(self, peer: str, report: LoadReport | None) -> None:
        """Replace a peer's report, if there is room, and correct the sum by the difference."""
        old = self._peers.pop(peer, None)
        if old is not None:
            self._reporting_peers -= old.daemons
            self._entries -= len(old.loads)
            for server, load in old.loads.items():
                remaining = self._peer_sum.get(server, ZERO) - load
                if remaining == ZERO:
                    self._peer_sum.pop(server, None)
                else:
                    self._peer_sum[server] = remaining
        if report is not None and self._entries + len(report.loads) <= MAX_ENTRIES:
            self._peers[peer] = report
            self._entries += len(report.loads)
            self._reporting_peers += report.daemons
            for server, load in report.loads.items():
                self._peer_sum[server] = self._peer_sum.get(server, ZERO) + load

    def _invalidate(self, expires_at: float) -> None:
        self._remote_sum = None
        self._expires_at = min(self._expires_at, expires_at)

    def _sum_remote(self) -> Loads:
        """Return the sum of the reports in use.

        For this region, that is the source with the most daemons: an aggregator's sum or the
        peers' own reports.
        """
        best = max(
            self._region_sums.values(),
            key=lambda report: (report.daemons, report.as_of),
            default=None,
        )
        own_region = self._peer_sum
        if best is not None and best.daemons > self._reporting_peers:
            own_region = best.loads
        return _sum(own_region, *(report.loads for report in self._other_regions.values()))

    # Queries.

    def at(self, server: str, now: float) -> Load:
        """Return the load that all daemons together have at a server."""
        if now > self._expires_at:
            self.forget(now)
        if self._remote_sum is None:
            self._remote_sum = self._sum_remote()
        own, remote = self._own.get(server), self._remote_sum.get(server)
        if own is None:
            return remote or ZERO
        return own if remote is None else own + remote

    def total(self, now: float) -> Loads:
        """Return the sum of this daemon's load and its peers' reports, without other regions."""
        self.forget(now)
        return _sum(self._own, self._peer_sum)

    def total_without(self, peer: str, total: Loads) -> Loads:
        """Return a total without the load that one peer reported."""
        report = self._peers.get(peer)
        if report is None or not report.loads:
            return total
        own_part = report.loads.items()
        return {**total, **{server: total.get(server, ZERO) - load for server, load in own_part}}

    def daemons(self) -> int:
        """Return the number of daemons whose loads make up the total."""
        return 1 + self._reporting_peers

    def regions(self, now: float) -> dict[str, tuple[float, Loads]]:
        """Return the sums of other regions that are recent enough, with their age in seconds."""
        self.forget(now)
        return {
            region: (now - report.as_of, report.loads)
            for region, report in self._other_regions.items()
        }

    def forget(self, now: float) -> None:
        """Drop reports that are too old to use."""
        for peer in _stale_keys(self._peers, now, MAX_PEER_LOAD_AGE_S):
            self._set_peer(peer, None)
        for reports, max_age_s in (
            (self._region_sums, MAX_PEER_LOAD_AGE_S),
            (self._other_regions, MAX_REGION_LOAD_AGE_S),
        ):
            for key in _stale_keys(reports, now, max_age_s):
                del reports[key]
        own_region_times = [
            report.as_of for report in (*self._peers.values(), *self._region_sums.values())
        ]
        other_region_times = [report.as_of for report in self._other_regions.values()]
        self._expires_at = min(
            min(own_region_times, default=float("inf")) + MAX_PEER_LOAD_AGE_S,
            min(other_region_times, default=float("inf")) + MAX_REGION_LOAD_AGE_S,
        )
        self._remote_sum = None


def _stale_keys(reports: dict[str, LoadReport], now: float, max_age_s: float) -> list[str]:
    return [key for key, report in reports.items() if now - report.as_of > max_age_s]
