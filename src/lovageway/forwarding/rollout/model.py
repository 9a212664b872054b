"""Data types of roll-outs: what daemons tell each other of them."""

from typing import NamedTuple

from lovageway.forwarding.model import RolloutPhase


class Run(NamedTuple):
    """Identifies one execution of an order in messages."""

    service: str
    to: str
    began_ms: int  # time of the store; a later one is newer


class Announcement(NamedTuple):
    """What the coordinator tells the other daemons."""

    run: Run
    phase: RolloutPhase
    share: float  # of the requests, for the new version
    left_s: float  # until the deadline
    switch_in_s: float  # until the old servers may be stopped
    age_s: float  # since the coordinator sent it, or since the roll-out ended


class Count(NamedTuple):
    """Answers of one kind."""

    answers: int = 0
    bad: int = 0

    def __add__(self, other: object) -> "Count":
        if not isinstance(other, Count):
            return NotImplemented
        return Count(self.answers + other.answers, self.bad + other.bad)

    def __sub__(self, other: "Count") -> "Count":
        return Count(self.answers - other.answers, self.bad - other.bad)


class RouteCounts(NamedTuple):
    """Answers on one route by both versions in the same time."""

    new: Count = Count()
    old: Count = Count()

    def __add__(self, other: object) -> "RouteCounts":
        if not isinstance(other, RouteCounts):
            return NotImplemented
        return RouteCounts(self.new + other.new, self.old + other.old)


class Evidence(NamedTuple):
    """Answers since the roll-out began: of one daemon, or of all that reported."""

    routes: dict[str, RouteCounts]
    servers: dict[tuple[str, str], Count]  # of the new version, by route and server

    def __add__(self, other: object) -> "Evidence":
        if not isinstance(other, Evidence):
            return NotImplemented
        routes, servers = dict(self.routes), dict(self.servers)
        for name, counts in other.routes.items():
            routes[name] = routes.get(name, RouteCounts()) + counts
        for key, count in other.servers.items():
            servers[key] = servers.get(key, Count()) + count
        return Evidence(routes, servers)


class Report(NamedTuple):
    """The evidence of one process of a daemon."""

    ip: str
    incarnation: int
    run: Run
    evidence: Evidence
