"""Builders of test data for roll-outs."""

from lovageway.forwarding.model import Revision, RolloutOrder, RolloutPhase
from lovageway.forwarding.placement import Work
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.rollout.model import Announcement, Count, Evidence, RouteCounts, Run
from lovageway.forwarding.rollout.schedule import Facts
from tests.replicabuilders import replica, service

SERVICE = service("svc", with_engine=False)


def evidence(new=(0, 0), old=(0, 0), route="r", servers=None):
    counts = RouteCounts(Count(*new), Count(*old))
    if servers is None:
        half = Count(new[0] // 2, new[1] // 2)
        servers = {"i-1": half, "i-2": Count(*new) - half}
    return Evidence({route: counts}, {(route, name): c for name, c in servers.items()})


def order(to="v2", duration_s=30.0, number=7, era=1):
    return RolloutOrder("svc", to, duration_s, Revision(era, number))


def announcement(phase=RolloutPhase.CANARY, to="v2", began_ms=1000, **fields):
    known = Announcement(Run("svc", to, began_ms), phase, 0.05, 20.0, 10.0, 0.0)
    return known._replace(**fields)


def facts(**fields):
    known = Facts(30.0, 3.0, RolloutPhase.CANARY, 3.0, evidence((40, 0), (400, 4)), 36, 36, 0.2)
    return known._replace(**fields)


def servers(versions, now=0.0):
    """Return entries of one service, one for each version given."""
    return [
        Entry(replica(f"i-{n + 1}", service="svc", version=version), now)
        for n, version in enumerate(versions)
    ]


def work(route="r", avoid=(), expected_s=0.3):
    return Work(SERVICE, None, "z1", "r-z1", frozenset(avoid), route=route, expected_s=expected_s)
