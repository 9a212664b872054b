"""Reads the log lines of several daemons: one request's history, refusals and losses by cause."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

# Events that name no request but report the state on which a daemon decided about requests.
CONTEXT = ("server", "config", "evacuation", "store_lost", "store_regained", "paused", "leaving")


# Upper bounds of the size classes of losses, in events of a stream.
SIZE_CLASSES = ((50, "short"), (200, "medium"))


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


class Loss(NamedTuple):
    """A request that its client did not get in time or in whole, and the reason."""

    cause: str
    route: str
    size: str  # "call", or the size class of the events of a stream
    window: int  # by the time of its last line, counted from the first line of all


def losses(
    lines: Iterable[Line], first_s: float, pause_s: float, window_s: float = 2.0
) -> Counter[Loss]:
    """Count the requests that were lost or late, by cause, route, size and time window.

    Parameters
    ----------
    lines
        Lines of any number of daemons, in any order.
    first_s
        Target time to the first event of a stream, or to the answer of a call, in seconds.
    pause_s
        Target for the longest pause between two events, in seconds.
    window_s
        Width of a window, in seconds.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    if not ordered:
        return Counter()
    begin, stopping = _seconds(ordered[0].at), set()
    placed: dict[str, Line] = {}
    found: Counter[Loss] = Counter()
    for line in ordered:
        window = int((_seconds(line.at) - begin) / window_s)
        attempt_id = str(line.fields.get("id"))
        if line.event == "leaving":
            stopping.add(line.daemon)
        elif line.event == "start":
            stopping.discard(line.daemon)
        elif line.event == "placed":
            placed[attempt_id] = line
        elif line.event == "request":
            placed.pop(attempt_id, None)
            cause = _cause(line.fields, first_s, pause_s, line.daemon in stopping)
            if cause is not None:
                route = str(line.fields.get("route", "-"))
                found[Loss(cause, route, _size(line.fields), window)] += 1
    for line in placed.values():
        window = int((_seconds(line.at) - begin) / window_s)
        found[Loss("lost with its daemon", "-", "unknown", window)] += 1
    return found


def _cause(fields: dict[str, Any], first_s: float, pause_s: float, stopping: bool) -> str | None:
    """Return why a request counts as lost or late, or None if it does not."""
    outcome, status = fields.get("outcome"), _number(fields, "status")
    if outcome == "broken_off":
        return "lost in a planned stop" if stopping else "lost with its engine"
    if outcome == "client_gone":
        return "client gone"
    if outcome != "answered":
        return f"refused: {outcome}"
    if status >= 500:
        return "server failure"
    if _number(fields, "first_ms", _number(fields, "ms")) > 1000 * first_s:
        return "first event late" if "first_ms" in fields else "answer late"
    if _number(fields, "longest_pause_ms") > 1000 * pause_s:
        return "pause too long"
    return None


def _size(fields: dict[str, Any]) -> str:
    if "events" not in fields:
        return "call"
    events = _number(fields, "events")
    return next((name for limit, name in SIZE_CLASSES if events <= limit), "long")


def _number(fields: dict[str, Any], name: str, default: float = 0.0) -> float:
    value = fields.get(name, default)
    return float(value) if isinstance(value, int | float) else default


def _seconds(at: str) -> float:
    """Return a timestamp in seconds; 0 for one that is not ISO 8601."""
    try:
        return datetime.fromisoformat(at).timestamp()
    except ValueError:
        return 0.0
