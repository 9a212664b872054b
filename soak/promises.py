"""What callers and servers saw in a soak, held against the promises of the pages."""

import re
from typing import NamedTuple

from soak.servers import EVENTS, expected_body

NOT_RUN = (408, 421, 429, 503)  # statuses that promise that a request has not run and never will
KEPT_FAULTS = ("stop", "reload", "configuration", "leave", "compact")  # planned: they cut nothing
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\n\n")


class Seen(NamedTuple):
    """One request as its caller saw it."""

    id: str
    kind: str  # safe, once or stream
    daemon: str
    begin: float
    end: float
    sent: bool  # the daemon accepted the connection and the request was written
    status: int  # 0: no answer
    signed: bool
    body: bytes
    complete: bool


def check(seen, servers, faults):
    """Return one line for each promise that was broken."""
    ran = _runs(servers)
    broken = []
    for item in seen:
        broken += _check_answer(item)
        times = ran.get(item.id, 0)
        if item.kind != "safe" and times > 1:
            broken.append(f"{item.id}: {item.kind} ran {times} times")
        if item.kind != "safe" and item.status in NOT_RUN and times:
            broken.append(f"{item.id}: answered {item.status} and ran")
        if item.sent and not item.complete and item.kind != "stream" and _only_kept(item, faults):
            broken.append(f"{item.id}: cut by planned work at {item.daemon}")
    broken += [f"{name}: planned stop ended with {code}" for name, code in faults.bad_stops]
    return broken


def _runs(servers):
    """Return how many runs each request had; one that went on from a copy is the same run."""
    ran = {}
    for server in servers:
        for attempt in server.executions:
            ran[attempt] = ran.get(attempt, 0) + 1
        for attempt in server.continuations:
            ran[attempt] -= 1
    return ran


def _check_answer(item):
    if item.kind == "stream":
        return _check_stream(item)
    if item.status == 200 and item.complete:
        if not item.signed:
            return [f"{item.id}: success without a signature"]
        if item.body != expected_body(item.id):
            return [f"{item.id}: answer {item.body[:60]!r} is not its own"]
    return []


def _check_stream(item):
    if item.status != 200:
        return []
    found = [(int(n), owner, int(m)) for n, owner, m in _EVENT.findall(item.body)]
    broken = []
    if any(owner.decode() != item.id or n != m for n, owner, m in found):
        broken.append(f"{item.id}: events of another generation")
    numbers = [n for n, _, _ in found]
    if numbers != list(range(1, len(numbers) + 1)):
        broken.append(f"{item.id}: events {numbers} are not in order")
    if item.complete and len(numbers) != EVENTS:
        broken.append(f"{item.id}: looks complete after {len(numbers)} events")
    return broken


def _only_kept(item, faults):
    """Return whether only planned work, and some, happened while a request ran."""
    near = [f for f in faults.done if f.begin - 1.0 < item.end and f.end + 1.0 > item.begin]
    return bool(near) and all(fault.kind in KEPT_FAULTS for fault in near)
