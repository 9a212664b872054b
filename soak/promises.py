"""Checks of what callers and servers observed in a soak against the documented promises."""

import re
from typing import NamedTuple

from soak.faults import LIMITED
from soak.servers import EVENTS, EngineServer, expected_body

# Statuses which promise that the request was not executed and never will be.
NOT_RUN = (408, 421, 429, 503)
# Planned operations; they must not interrupt any request.
PLANNED_FAULTS = ("stop", "reload", "configuration", "leave", "compact")
CONTACT_S = 3.0
MAX_LATE_CRASHES = 3
# In some 4 s, a server gets no more than one and a half times what its limit allows and 5 requests.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5
OUT_OF_TOUCH_FAULTS = ("pause", "kill", "stop", "store", "link")
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\n\n")


class ObservedRequest(NamedTuple):
    """A request and its result, as observed by the caller."""

    id: str
    kind: str  # safe, once or stream
    daemon: str
    begin: float
    end: float
    sent: bool  # the daemon accepted the connection and the request was written
    status: int  # 0 without a response
    signed: bool
    body: bytes
    complete: bool


def check(observed, servers, faults):
    """Return one line for each broken promise."""
    executions = _count_executions(servers)
    broken = []
    for item in observed:
        broken += _check_answer(item)
        times = executions.get(item.id, 0)
        if item.kind != "safe" and times > 1:
            broken.append(f"{item.id}: {item.kind} ran {times} times")
        if item.kind != "safe" and item.status in NOT_RUN and times:
            broken.append(f"{item.id}: answered {item.status} and ran")
        if (
            item.sent
            and not item.complete
            and item.kind != "stream"
            and _only_planned_faults(item, faults)
        ):
            broken.append(f"{item.id}: cut by planned work at {item.daemon}")
    broken += [f"{name}: planned stop ended with {code}" for name, code in faults.failed_stops]
    return broken


def check_crashes(crashes, faults):
    """Return a line if requests with one part kept ending engines.

    At most MAX_LATE_CRASHES may follow later than CONTACT_S after the fifth crash. Each interval of
    the fault has a part of its own. Daemons that are stopped, or cut off from each other or the
    store, need not know of the crashes, so intervals with such faults are not checked.
    """
    broken = []
    for part in (fault for fault in faults.intervals if fault.kind == "crashing part"):
        found = sorted(at for at in crashes if part.begin <= at <= part.end + CONTACT_S)
        late = [at for at in found if len(found) >= 5 and at > found[4] + CONTACT_S]
        others = [
            fault
            for fault in faults.intervals
            if fault.kind.startswith(OUT_OF_TOUCH_FAULTS)
            and fault.begin < part.end + CONTACT_S
            and fault.end > part.begin - CONTACT_S
        ]
        if len(late) > MAX_LATE_CRASHES and not others:
            broken.append(f"crashes: {len(late)} after a part was known to crash engines")
    return broken


def check_limits(observed, servers, faults):
    """Return a line for each server that got more requests than the limit it named allows.

    Requests of daemons that were stopped, or cut off from others, around that time do not count.
    """
    daemons = {item.id: item.daemon for item in observed}
    arrivals = {server.name: server.arrivals for server in servers}
    broken = []
    for fault in (fault for fault in faults.intervals if fault.kind.startswith(LIMITED)):
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * float(fault.kind.removeprefix(LIMITED))
        excused = {
            other.target.partition(" ")[0]
            for other in faults.intervals
            if other.kind.startswith(OUT_OF_TOUCH_FAULTS)
            and other.begin < fault.end
            and other.end > fault.begin - CONTACT_S
        }
        times = [
            at
            for at, attempt, _ in arrivals[fault.target]
            if fault.begin + CONTACT_S <= at <= fault.end and daemons.get(attempt) not in excused
        ]
        most = max((sum(at <= b < at + LIMIT_WINDOW_S for b in times) for at in times), default=0)
        if most > allowed + LIMIT_SLACK:
            broken.append(f"{fault.target}: {most} requests in 4 s under {fault.kind} a second")
    return broken


def check_budget(observed, servers, ratio, extra, window_s):
    """Return a line for each service that got more further arrivals than its retry budget allows.

    All arrivals of a request beyond its first count, whatever they are for. The requests are
    counted in the same window, the one before it or the one half a window before it, whichever has
    most.
    """
    broken = []
    for service in sorted({server.service for server in servers}):
        seen, again = set(), []
        members = [server for server in servers if server.service == service]
        for at, attempt, _ in sorted(item for server in members for item in server.arrivals):
            if attempt in seen:
                again.append(at)
            seen.add(attempt)
        is_stream = service == EngineServer.service
        asked = [item.begin for item in observed if (item.kind == "stream") == is_stream]
        for begin in again:
            count = sum(begin <= at < begin + window_s for at in again)
            requests = max(
                sum(begin - back <= at < begin - back + window_s for at in asked)
                for back in (0.0, window_s / 2, window_s)
            )
            if count > ratio * requests + extra:
                broken.append(f"{service}: {count} further arrivals for {requests} requests")
                break
    return broken


def _count_executions(servers):
    """Return the number of executions by request.

    A generation that continued from a copied KV cache counts as one execution.
    """
    executions = {}
    for server in servers:
        for attempt in server.executions:
            executions[attempt] = executions.get(attempt, 0) + 1
        for attempt in server.continuations:
            executions[attempt] -= 1
    return executions


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
    events = [(int(n), owner, int(m)) for n, owner, m in _EVENT.findall(item.body)]
    broken = []
    if any(owner.decode() != item.id or n != m for n, owner, m in events):
        broken.append(f"{item.id}: events of another generation")
    numbers = [n for n, _, _ in events]
    if numbers != list(range(1, len(numbers) + 1)):
        broken.append(f"{item.id}: events {numbers} are not in order")
    if item.complete and len(numbers) != EVENTS:
        broken.append(f"{item.id}: looks complete after {len(numbers)} events")
    return broken


def _only_planned_faults(item, faults):
    """Return whether there were faults around a request, all of them planned operations."""
    concurrent = [
        f for f in faults.intervals if f.begin - 1.0 < item.end and f.end + 1.0 > item.begin
    ]
    return bool(concurrent) and all(fault.kind in PLANNED_FAULTS for fault in concurrent)


def check_rollouts(rollouts, share, tolerance):
    """Return a line for each roll-out whose bad version was completed, or got too many requests.

    Faults may keep a good version from being proved, so it may end as rolled back.
    """
    broken = []
    for item in rollouts:
        if not item.is_bad:
            continue
        if item.state == "completed":
            broken.append(f"{item.to}: a bad version was completed")
        counts = [
            sum(item.begin <= at <= item.end for server in group for at, _, _ in server.arrivals)
            for group in (item.new, item.old)
        ]
        if counts[0] > share * sum(counts) + tolerance:
            broken.append(f"{item.to}: a bad version got {counts[0]} of {sum(counts)} requests")
    return broken
