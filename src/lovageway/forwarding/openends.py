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

MAX_SERVERS = 1024
MAX_ENDS = 32  # of one server; more answers of the same moment add no evidence
MAX_AGE_S = 10.0  # nothing else was seen of the server; what then ends it had another cause


class OpenEnd(NamedTuple):
    """An answer that ended with its connection."""

    traits: tuple[Trait, ...]
    at: float


class OpenEnds:
    """The answers that ended with their connections, by server."""

    def __init__(self) -> None:
        self._ends: OrderedDict[bytes, list[OpenEnd]] = OrderedDict()

    def add(self, server: bytes, traits: tuple[Trait, ...], now: float) -> None:
        """Record an answer; of too many, those of the oldest server are dropped."""
        ends = self._ends.setdefault(server, [])
        if len(ends) < MAX_ENDS:
            ends.append(OpenEnd(traits, now))
        if len(self._ends) > MAX_SERVERS:
            self._ends.popitem(last=False)

    def take_whole(self, server: bytes, sent_at: float) -> list[OpenEnd]:
        """Remove and return the answers before a request that the server answered."""
        ends = self._ends.pop(server, None)
        if not ends:
            return []
        later = [end for end in ends if end.at >= sent_at]
        if later:
            self._ends[server] = later
        return [end for end in ends if end.at < sent_at]

    def take_cut_off(self, server: bytes, now: float) -> list[OpenEnd]:
        """Remove and return the answers that the end of a server may have cut off."""
        return [end for end in self._ends.pop(server, []) if now - end.at <= MAX_AGE_S]

    def forget(self, now: float) -> None:
        """Drop the answers of servers of which nothing else was seen."""
        for server, ends in list(self._ends.items()):
            if now - ends[-1].at > MAX_AGE_S:
                del self._ends[server]
