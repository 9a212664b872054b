"""Reads the log lines of several daemons: the history of one request, and refusals by cause."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

# Events that name no request but report the state on which a daemon decided about requests.
CONTEXT = ("server", "config", "evacuation", "store_lost", "store_regained", "paused", "leaving")


class Line(NamedTuple):
    """One line of a daemon's log."""

    at: str  # time in UTC, ISO 8601
    daemon: str
    event: str
    fields: dict[str, Any]


def parse(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines among the texts; a prefix before the JSON object is skipped."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        event, at = str(fields.pop("event")), str(fields.pop("timestamp", ""))
        yield Line(at, str(fields.pop("daemon", "")), event, fields)


def explain(lines: Iterable[Line], attempt_id: str) -> list[Line]:
    """Return the lines of a request and of state changes meanwhile, in time order.

    State changes are included if they concern the request's daemons and servers.

    Parameters
    ----------
    lines
        Lines of any number of daemons, in any order.
    attempt_id
        Id that the client sent with the request.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.fields.get("id") == attempt_id]
    if not own:
        return []
    daemons = {line.daemon for line in own}
    servers = {line.fields.get(name) for line in own for name in ("server", "source", "to")}
    servers |= {name for line in own for name in line.fields.get("servers", ())}
    first, last = own[0].at, own[-1].at
    return [
        line
        for line in ordered
        if line in own
        or (
            line.event in CONTEXT
            and line.daemon in daemons
            and first <= line.at <= last
            and (line.event != "server" or line.fields.get("server") in servers)
        )
    ]


def refusals(lines: Iterable[Line]) -> Counter[tuple[str, str]]:
    """Count the requests without an answer from a server, by route and outcome."""
    return Counter(
        (str(line.fields.get("route", "-")), str(line.fields.get("outcome")))
        for line in lines
        if line.event == "request" and line.fields.get("outcome") != "answered"
    )
