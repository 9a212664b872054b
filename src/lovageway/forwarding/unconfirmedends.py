"""Answers that only the end of their connection ended, until it is known whether they were whole.

Load pattern: servers answer without a length or chunks, and requests with one part of their prompts
crash each server soon after it has begun to answer them. The connections of a process that ends are
closed as after a whole answer.

Such an answer is whole if its server answers a request that was sent later. It counts as a crash if
the server accepts no connections or has started again.
"""

from collections import OrderedDict
from typing import NamedTuple

from lovageway.forwarding.traits import Trait

MAX_ENDS = 512  # in all: a request has up to 65 traits
MAX_ENDS_OF_SERVER = 32
MAX_AGE_S = 10.0  # nothing else was seen of the server; what then ends it had another cause


class UnconfirmedEnd(NamedTuple):
    """An answer that ended with its connection."""

    traits: tuple[Trait, ...]
    at: float


class UnconfirmedEnds:
    """The answers that ended with their connections, by server."""

    def __init__(self) -> None:
        self._ends: OrderedDict[bytes, list[UnconfirmedEnd]] = OrderedDict()
        self._count = 0

    def add(self, server: bytes, traits: tuple[Trait, ...], now: float) -> None:
        """Record an answer; of too many, those of the oldest server are dropped."""
        ends = self._ends.setdefault(server, [])
        if len(ends) < MAX_ENDS_OF_SERVER:
            ends.append(UnconfirmedEnd(traits, now))
            self._count += 1
        if self._count > MAX_ENDS:
            _, dropped = self._ends.popitem(last=False)
            self._count -= len(dropped)

    def take_whole(self, server: bytes, sent_at: float) -> list[UnconfirmedEnd]:
        """Remove and return the answers before a request that the server answered."""
        ends = self._ends.get(server)
        if not ends or ends[0].at >= sent_at:
            return []
        self._take(server)
        for end in ends:
            if end.at >= sent_at:
                self.add(server, end.traits, end.at)
        return [end for end in ends if end.at < sent_at]

    def take_cut_off(self, server: bytes, now: float) -> list[UnconfirmedEnd]:
        """Remove and return the answers that the end of a server may have cut off."""
        return [end for end in self._take(server) if now - end.at <= MAX_AGE_S]

    def forget(self, now: float) -> None:
        """Drop the answers of servers of which nothing else was seen."""
        for server, ends in list(self._ends.items()):
            if now - ends[-1].at > MAX_AGE_S:
                self._take(server)

    def _take(self, server: bytes) -> list[UnconfirmedEnd]:
        ends = self._ends.pop(server, [])
        self._count -= len(ends)
        return ends
