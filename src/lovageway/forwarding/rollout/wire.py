"""Encodes what daemons tell each other of roll-outs as fields of datagrams, and decodes it."""

from math import inf
from typing import Any

from lovageway.forwarding.model import RolloutPhase
from lovageway.forwarding.rollout.model import (
    Announcement,
    Count,
    Evidence,
    Report,
    RouteCounts,
    Run,
)
from lovageway.forwarding.wirenumbers import whole_number

MAX_ROUTES = 60  # in one report; the most used ones
MAX_SERVERS = 100  # pairs of a route and a server
MAX_NAME_CHARS = 200


def announcement_fields(item: Announcement) -> list[object]:
    """Return an announcement as fields."""
    times = [round(1000 * value) for value in item[3:]]
    return [list(item.run), int(item.phase), item.share, *times]


def announcement(fields: Any) -> Announcement:
    """Decode an announcement.

    Raises
    ------
    TypeError, ValueError
        The fields are malformed.
    """
    run, phase, share, left_ms, switch_in_ms, age_ms = fields
    if not 0 <= share <= 1:
        raise ValueError(f"{share!r} is no share of requests")
    return Announcement(
        _run(run),
        RolloutPhase(phase),
        float(share),
        _seconds(left_ms),
        _seconds(switch_in_ms),
        max(0.0, _seconds(age_ms)),
    )


def report_fields(item: Report) -> list[object]:
    """Return a report as fields, with the routes and servers that answered most."""
    routes = sorted(item.evidence.routes.items(), key=lambda pair: -_weight(pair[1]))
    servers = sorted(item.evidence.servers.items(), key=lambda pair: -pair[1].answers)
    return [
        item.ip,
        item.incarnation,
        list(item.run),
        {name: [*counts.new, *counts.old] for name, counts in routes[:MAX_ROUTES]},
        [[*key, *count] for key, count in servers[:MAX_SERVERS]],
    ]


def report(fields: Any) -> Report:
    """Decode a report.

    Raises
    ------
    TypeError, ValueError, AttributeError
        The fields are malformed.
    """
    ip, incarnation, run, routes, servers = fields
    return Report(
        str(ip),
        whole_number(incarnation),
        _run(run),
        Evidence(
            {
                _name(name): RouteCounts(_count(counts[:2]), _count(counts[2:]))
                for name, counts in routes.items()
            },
            {(_name(route), _name(server)): _count(count) for route, server, *count in servers},
        ),
    )


def _weight(counts: RouteCounts) -> int:
    return 1000 * counts.new.answers + counts.old.answers


def _run(fields: Any) -> Run:
    service, to, began_ms = fields
    return Run(_name(service), _name(to), whole_number(began_ms))


def _name(value: object) -> str:
    return str(value)[:MAX_NAME_CHARS]


def _count(fields: Any) -> Count:
    answers, bad = (whole_number(value) for value in fields)
    if not 0 <= bad <= answers:
        raise ValueError(f"{bad} bad of {answers} answers")
    return Count(answers, bad)


def _seconds(value: Any) -> float:
    seconds = float(value) / 1000
    if not -inf < seconds < inf:
        raise ValueError(f"{value!r} is no time")
    return seconds
