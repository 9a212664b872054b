"""Counts the answers of both versions of a service while a roll-out is in progress."""

from lovageway.forwarding.model import Route
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.rollout.latency import UsualLatency
from lovageway.forwarding.rollout.model import Count, Evidence, Report, RouteCounts

MAX_REPORTS = 2048  # starts of daemons whose evidence is kept


class Answers:
    """Answers at this daemon, and at those that reported.

    Parameters
    ----------
    to
        The new version.
    """

    def __init__(self, to: str) -> None:
        self._to = to
        self._latency = UsualLatency()
        self._pace = UsualLatency()
        self.own = Evidence({}, {})
        self._reports: dict[tuple[str, int], Evidence] = {}  # by address and incarnation

    def total(self) -> Evidence:
        """Return the answers of all daemons."""
        return sum(self._reports.values(), self.own)

    def is_new(self, entry: Entry) -> bool:
        """Return whether a server has the new version."""
        return entry.replica.version == self._to

    def on_answer(self, entry: Entry, route: Route, latency_s: float, now: float) -> bool:
        """Count an answer that arrived; return whether it was slow."""
        slow = self._is_slow(self._latency, entry, route, latency_s, now)
        self._count(entry, route, Count(1, int(slow)))
        return slow

    def is_pace_slow(self, entry: Entry, route: Route, gap_s: float, now: float) -> bool:
        """Return whether the events of a stream came much slower than the old version's."""
        limits = route._replace(target_s=route.gap_s)
        return gap_s > 0 and self._is_slow(self._pace, entry, limits, gap_s, now)

    def _is_slow(
        self, usual: UsualLatency, entry: Entry, route: Route, seconds: float, now: float
    ) -> bool:
        # A server that has just started is slow for some seconds.
        slow = now >= entry.cold_until and usual.is_slow(route, seconds)
        if not self.is_new(entry):
            usual.add(route, seconds)
        return slow

    def on_failure(self, entry: Entry, route: Route, *, counted: bool) -> None:
        """Count an answer that failed.

        Parameters
        ----------
        counted
            Whether the beginning of the answer was already counted.
        """
        self._count(entry, route, Count(0 if counted else 1, 1))

    def _count(self, entry: Entry, route: Route, count: Count) -> None:
        routes, servers = self.own
        is_new = self.is_new(entry)
        added = RouteCounts(new=count) if is_new else RouteCounts(old=count)
        routes[route.name] = routes.get(route.name, RouteCounts()) + added
        if is_new:
            key = (route.name, entry.id)
            servers[key] = servers.get(key, Count()) + count

    def on_report(self, report: Report) -> None:
        """Take the evidence of another daemon, unless it is of an earlier moment."""
        key = (report.ip, report.incarnation)
        known = self._reports.get(key)
        if known is None and len(self._reports) >= MAX_REPORTS:
            return
        if known is None or _size(report.evidence) >= _size(known):
            self._reports[key] = report.evidence


def describe_evidence(evidence: Evidence) -> dict[str, list[int]]:
    """Return answers and bad answers of the new and of the old version, by route."""
    return {route: [*counts.new, *counts.old] for route, counts in evidence.routes.items()}


def _size(evidence: Evidence) -> int:
    return sum(counts.new.answers + counts.old.answers for counts in evidence.routes.values())
