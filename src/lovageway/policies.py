"""Policies that choose a backend server: the default one and baselines for comparison."""

import random
from collections.abc import Mapping, Sequence
from typing import Literal, NamedTuple

from lovageway.controllers.backends import ServerView
from lovageway.controllers.membership import rendezvous_weight

PolicyName = Literal["memory", "least_requests", "two_choices", "round_robin"]

AFFINITY = 0.2  # a cached prompt prefix offsets at most this much additional load
# Affinity of the first servers in a prompt prefix's rendezvous order, equal at all daemons.
HOME_AFFINITY = (0.1, 0.06, 0.03)
OTHER_ZONE_COST = 0.01
OTHER_REGION_COST = 0.05  # traffic between regions is slow and billed by volume
# Without noise, daemons with equal views would choose the same server until the next load report.
COST_NOISE = 0.04


class Candidate(NamedTuple):
    """A server at which this daemon has credit for the request."""

    view: ServerView
    pending: int = 0  # memory charged there by this daemon that the view may not show yet
    affinity: float = 0.0  # 0 to AFFINITY; positive where the prompt prefix may be cached
    distance: float = 0.0  # cost of another zone or region


class Policy:
    """Chooses one of several candidates; `uses_memory` states if it needs credit for memory."""

    uses_memory = False

    def choose(
        self, service: str, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return one of `candidates`, which is not empty."""
        raise NotImplementedError


class LeastMemory(Policy):
    """Default: the lowest committed share of memory, with affinity and the cost of distance."""

    uses_memory = True

    def choose(
        self, service: str, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the candidate with the lowest cost, up to `COST_NOISE` of random noise."""
        return min(candidates, key=lambda candidate: cost(candidate) + COST_NOISE * rng.random())


class LeastRequests(Policy):
    """Baseline: the fewest in-flight requests of this daemon, ties broken at random."""

    def choose(
        self, service: str, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the candidate with the fewest in-flight requests."""
        return min(candidates, key=lambda candidate: (candidate.view.in_flight, rng.random()))


class TwoChoices(Policy):
    """Baseline: the one of two random servers with fewer in-flight requests."""

    def choose(
        self, service: str, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the one of two random candidates with fewer in-flight requests."""
        sampled = rng.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda candidate: candidate.view.in_flight)


class RoundRobin(Policy):
    """Baseline: one server after another in the order of their ids."""

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def choose(
        self, service: str, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the candidate that follows the previous choice."""
        last = self._last.get(service, "")
        order = sorted(candidates, key=lambda candidate: candidate.view.vm.vm_id)
        chosen = next(
            (candidate for candidate in order if candidate.view.vm.vm_id > last), order[0]
        )
        self._last[service] = chosen.view.vm.vm_id
        return chosen


POLICIES: Mapping[PolicyName, type[Policy]] = {
    "memory": LeastMemory,
    "least_requests": LeastRequests,
    "two_choices": TwoChoices,
    "round_robin": RoundRobin,
}


def cost(candidate: Candidate) -> float:
    """Return the cost of a candidate: its load, corrected for affinity and distance.

    The load is the fraction of the KV memory that is committed or, for a server without KV memory,
    the fraction of its request limit that is in flight.
    """
    view = candidate.view
    if view.memory_capacity:
        load = (view.memory_committed + candidate.pending) / view.memory_capacity
    else:
        load = view.in_flight / max(1, view.limit)
    return load - candidate.affinity + candidate.distance


def home_affinity(prefix: str, server_ids: Sequence[str]) -> dict[str, float]:
    """Return the affinity of the first servers in the rendezvous order of a prompt prefix.

    Daemons thereby send equal prefixes to the same few servers without exchanging which requests
    they have sent.
    """
    order = sorted(server_ids, key=lambda name: rendezvous_weight(name, prefix), reverse=True)
    return dict(zip(order, HOME_AFFINITY, strict=False))
