"""Ways to choose a backend server for a request: ours, and the baselines it is measured against."""

import random
from collections.abc import Mapping, Sequence
from typing import Literal, NamedTuple

from lovageway.controllers.backends import ServerView
from lovageway.controllers.membership import rendezvous_weight

PolicyName = Literal["memory", "least_requests", "two_choices", "round_robin"]

AFFINITY = 0.2  # a cached prompt beginning outweighs this much more load, never more
HOME_AFFINITY = (0.1, 0.06, 0.03)  # of the servers where all daemons expect the prompt's beginning
OTHER_ZONE_COST = 0.01
OTHER_REGION_COST = 0.05  # traffic between regions is slow and billed by volume
# Daemons whose views are equal would otherwise all choose the same server until the next report.
SPREAD = 0.04


class Candidate(NamedTuple):
    """One server that has credit for the request."""

    view: ServerView
    pending: int = 0  # memory this daemon took there that the view may not show yet
    affinity: float = 0.0  # at most AFFINITY; the prompt's beginning may be cached there
    distance: float = 0.0  # zone or region cost


class Policy:
    """Chooses one of several sites; `uses_memory` tells whether credit for memory is needed."""

    uses_memory = False

    def choose(
        self, service: str, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return one of `sites`, which is not empty."""
        raise NotImplementedError


class LeastMemory(Policy):
    """Ours: the lowest committed share of memory, with affinity and the cost of distance."""

    uses_memory = True

    def choose(
        self, service: str, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the site with the lowest cost, give or take `SPREAD`."""
        return min(candidates, key=lambda candidate: cost(candidate) + SPREAD * rng.random())


class LeastRequests(Policy):
    """Baseline: the fewest requests of this daemon in flight, ties at random."""

    def choose(
        self, service: str, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the site with the fewest requests in flight."""
        return min(candidates, key=lambda candidate: (candidate.view.in_flight, rng.random()))


class TwoChoices(Policy):
    """Baseline: the shorter queue of two servers drawn at random."""

    def choose(
        self, service: str, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the better of two random sites."""
        drawn = rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda candidate: candidate.view.in_flight)


class RoundRobin(Policy):
    """Baseline: one server after another in the order of their ids."""

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def choose(
        self, service: str, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the site that follows the one chosen last."""
        last = self._last.get(service, "")
        order = sorted(candidates, key=lambda candidate: candidate.view.vm.vm_id)
        found = next((candidate for candidate in order if candidate.view.vm.vm_id > last), order[0])
        self._last[service] = found.view.vm.vm_id
        return found


POLICIES: Mapping[PolicyName, type[Policy]] = {
    "memory": LeastMemory,
    "least_requests": LeastRequests,
    "two_choices": TwoChoices,
    "round_robin": RoundRobin,
}


def cost(candidate: Candidate) -> float:
    """Return the cost of a site: its load as a share of the whole, corrected.

    For a server without KV memory the load is the share of its requests.
    """
    view = candidate.view
    if view.memory_capacity:
        load = (view.memory_committed + candidate.pending) / view.memory_capacity
    else:
        load = view.in_flight / max(1, view.limit)
    return load - candidate.affinity + candidate.distance


def home_affinity(prefix: str, server_ids: Sequence[str]) -> dict[str, float]:
    """Return the affinity of the first servers in the rendezvous order of a prompt's beginning.

    Daemons that know nothing of each other's requests thereby send equal beginnings to the same
    few servers.
    """
    order = sorted(server_ids, key=lambda name: rendezvous_weight(name, prefix), reverse=True)
    return dict(zip(order, HOME_AFFINITY, strict=False))
