"""Divides what all daemons together may send into shares, without messages between the daemons.

Load pattern: a server that has just started, or one that named a limit on its requests, takes only
so many from the whole fleet, and each daemon decides by itself. Each daemon that shares a bound has
an equal part of it. What is left, and a bound with less than one request for each daemon, goes to
the first daemons in an order that differs by server, one request each. So the shares add up to the
bound exactly in any window of time, whichever of the daemons use theirs.
"""

from collections import deque
from math import isinf
from typing import NamedTuple

MAX_TIMES = 4096  # of one server that are kept; more than any bound allows


class Bound(NamedTuple):
    """The most requests that all daemons together may send in any window of a length."""

    requests: int
    window_s: float


def part(amount: float, daemons: float) -> float:
    """Return a daemon's equal part of an amount; nothing while their number is unknown."""
    return amount / max(1.0, daemons)


def share(count: int, daemons: float, rank: int) -> int:
    """Return a daemon's part of a number of requests.

    Parameters
    ----------
    daemons
        How many daemons share the bound; infinite while that is unknown.
    rank
        How many of them come before this one in the order of the server.
    """
    if isinf(daemons):
        return 0
    whole, rest = divmod(count, max(1, int(daemons)))
    return whole + (rank < rest)


class SendLog:
    """Times at which this daemon sent requests to one server."""

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=MAX_TIMES)

    def add(self, now: float) -> None:
        """Record a request that is about to be sent."""
        self._times.append(now)

    def withdraw(self) -> None:
        """Remove the newest request, which was not sent after all."""
        if self._times:
            self._times.pop()

    def forget(self, before: float) -> None:
        """Drop the requests sent before a time."""
        while self._times and self._times[0] <= before:
            self._times.popleft()

    def count(self, window_s: float, now: float) -> int:
        """Return the number of requests sent in the last `window_s` seconds."""
        return sum(at > now - window_s for at in self._times)

    def slots(self, allowed: int, window_s: float, count: int, now: float) -> list[float]:
        """Return the times from which the next `count` requests may be sent.

        Parameters
        ----------
        allowed
            How many requests may be sent in a window.
        """
        if allowed < 1:
            return []
        times = [at for at in self._times if at > now - window_s][-allowed:]
        times = [now - window_s] * (allowed - len(times)) + times
        for _ in range(count):
            times.append(times[-allowed] + window_s)
        return times[allowed:]
