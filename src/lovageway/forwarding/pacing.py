"""Spreads the datagrams of one round over the time until the next one.

Load pattern: in a large fleet an aggregator sends a datagram of some kilobytes to each daemon of
its region, and to a few of every other region, all in the same moment. On a link of a few megabits
per second such a burst overflows the queue of the link, and its last datagrams are lost in each
round. They were those for other regions, whose daemons then knew no load but their own.
"""

from math import ceil


class PacedRound:
    """The destinations of one round of datagrams that have not been sent yet.

    Parameters
    ----------
    spread_s
        Time over which a round is spread.
    slot_s
        Time between two groups of datagrams.

    Attributes
    ----------
    slot_s
        As passed; the caller sends the next group after this time.
    """

    def __init__(self, spread_s: float, slot_s: float) -> None:
        self.slot_s = slot_s
        self._slots = max(1, int(spread_s / slot_s))
        self._waiting: list[str] = []
        self._per_slot = 0

    def start(self, destinations: list[str]) -> None:
        """Begin a round.

        Destinations of the previous round that are still waiting come first, so that rounds that
        follow each other quickly leave none of them out.
        """
        late = [ip for ip in self._waiting if ip in destinations]
        self._waiting = late + [ip for ip in destinations if ip not in late]
        self._per_slot = ceil(len(self._waiting) / self._slots)

    def next_group(self) -> list[str]:
        """Return the destinations to send to now; an empty list ends the round."""
        group, self._waiting = self._waiting[: self._per_slot], self._waiting[self._per_slot :]
        return group
