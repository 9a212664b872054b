"""Judges whether a new version answers worse than the old one.

Load pattern: the new version gets a few requests a second of all routes together, the old one gets
the rest in the same time. Some requests fail whatever server runs them, answers are slower while
load is high, and a single server may be faulty; none of this makes a version bad. A bad version
fails or delays a part of its answers, possibly on one route only.

The bad answers of the new version are compared with what the old version's share of bad answers on
the same routes would give, by a one-sided binomial test. Requests of a daemon reach both versions
at the same moments, so changes of load affect both.
"""

from enum import Enum
from math import exp, lgamma, log, log1p

from lovageway.forwarding.rollout.model import Count, Evidence

MIN_ANSWERS = 12  # of the new version; fewer prove nothing
MIN_BAD = 3  # fewer bad answers condemn no version
# Probability of at least so many bad answers from a version that is as good as the old one. The
# test is repeated some hundred times in a roll-out, for each route.
BAD_PROBABILITY = 1e-4
DOUBT_PROBABILITY = 0.02  # a version below this is not completed
# What a new version may fail more often than the old one without being bad.
TOLERATED_FACTOR = 1.25
TOLERATED_SHARE = 0.02
# Assumed answers of the old version beside those counted, so that few of them are no proof.
PRIOR = Count(10, 0)
MAX_SHARE = 0.95  # of bad answers that are expected, where the old version fails nearly always
MIN_SERVER_ANSWERS = 4  # of a server that counts as a second one
# Without its worst server, a version that is less likely than this is still suspicious. The test
# has fewer answers then, so it asks for less.
REST_PROBABILITY = 0.1


class Verdict(Enum):
    """Result of the comparison."""

    UNDECIDED = "undecided"
    GOOD = "good"
    DOUBTFUL = "doubtful"
    BAD = "bad"


def judge(evidence: Evidence) -> Verdict:
    """Return whether a new version is worse than the old one, by the evidence of all daemons."""
    groups = [frozenset([route]) for route in evidence.routes]
    chance = min((_chance(evidence, group) for group in groups), default=1.0)
    if len(groups) > 1:
        chance = min(chance, _chance(evidence, frozenset(evidence.routes)))
    total = sum((counts.new for counts in evidence.routes.values()), Count())
    if chance < BAD_PROBABILITY and total.bad >= MIN_BAD:
        return Verdict.BAD
    if total.answers < MIN_ANSWERS:
        return Verdict.UNDECIDED
    return Verdict.DOUBTFUL if chance < DOUBT_PROBABILITY else Verdict.GOOD


def _chance(evidence: Evidence, routes: frozenset[str]) -> float:
    """Return how likely so many bad answers are if the new version is as good as the old one.

    Return 1.0 if they are those of one server among several.
    """
    new, expected = Count(), 0.0
    for route in routes:
        counts = evidence.routes[route]
        old = counts.old + PRIOR
        share = TOLERATED_FACTOR * old.bad / old.answers + TOLERATED_SHARE
        new += counts.new
        expected += share * counts.new.answers
    if not new.bad:
        return 1.0
    share = min(MAX_SHARE, expected / new.answers)
    servers: dict[str, Count] = {}
    for (route, server), count in evidence.servers.items():
        if route in routes:
            servers[server] = servers.get(server, Count()) + count
    seen = [count for count in servers.values() if count.answers >= MIN_SERVER_ANSWERS]
    if len(seen) > 1:
        rest = new - max(seen, key=lambda count: count.bad)
        if tail(rest.bad, rest.answers, share) > REST_PROBABILITY:
            return 1.0
    return tail(new.bad, new.answers, share)


def tail(bad: int, answers: int, share: float) -> float:
    """Return the probability of `bad` or more of `answers` independent events.

    Parameters
    ----------
    share
        Probability of one event, between 0 and 1, both exclusive.
    """
    if bad <= 0:
        return 1.0
    if bad > answers:
        return 0.0
    whole = lgamma(answers + 1)
    terms = (
        exp(
            whole
            - lgamma(count + 1)
            - lgamma(answers - count + 1)
            + count * log(share)
            + (answers - count) * log1p(-share)
        )
        for count in range(bad, answers + 1)
    )
    return min(1.0, sum(terms))
