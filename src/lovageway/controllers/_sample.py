"""Finds out with a few pings whether this daemon is on the smaller side of a partition.

Regular probes reach one peer a second. In a fleet of 40 that was cut, daemons of the smaller side
took up to 16 s to find enough peers dead, while the larger side gave their resources to new owners.
"""

import math
import random
from collections.abc import Callable, Iterable

from lovageway.controllers._view import View
from lovageway.events import Emit, StateChanged

SAMPLE_PEERS = 64  # tells a half from two thirds in 99.6 % of cases; all peers of smaller fleets
SAMPLE_S = 1.5
AGAIN_S = 0.75  # then those that were silent are pinged once more, as a message may be lost

Ping = Callable[[str, float, Emit], int | None]


class ContactSample:
    """Pings to several peers at once and what their answers show.

    Parameters
    ----------
    ping
        Pings a VM's daemon; returns the number of the ping, None when the VM is not known.
    rng
        Chooses the peers.

    Attributes
    ----------
    cut_off
        Whether the last sample showed at most half of the counted VMs, this daemon's included.
    """

    def __init__(self, ping: Ping, rng: random.Random) -> None:
        self.cut_off = False
        self._ping = ping
        self._rng = rng
        self._began = -math.inf
        self._again = False
        self._asked: dict[int, str] = {}
        self._silent: set[str] = set()
        self._size = 0
        self._peers = 0

    @property
    def running(self) -> bool:
        """Tell whether answers are awaited."""
        return self._size > 0

    def begin(self, view: View, now: float, emit: Emit) -> None:
        """Ping some of the peers that are taken for live, unless a sample runs."""
        if self.running:
            return
        chosen = self._rng.sample(view.peers, min(SAMPLE_PEERS, len(view.peers)))
        self._began, self._again, self._peers = now, False, len(view.peers)
        self._asked.clear()
        self._silent = set(chosen)
        self._size = len(chosen)
        self._send(chosen, now, emit)

    def tick(self, view: View, now: float, emit: Emit) -> None:
        """Repeat, conclude or renew the sample; a daemon that is cut off samples all the time."""
        if self.running and not self._again and now >= self._began + AGAIN_S:
            self._again = True
            self._send(sorted(self._silent), now, emit)
        if self.running:
            self._conclude(view.counted, now, emit)
        if self.cut_off and not self.running:
            if view.peers:
                self.begin(view, now, emit)
            else:
                self.cut_off = False  # the view itself has no majority

    def answered(self, seq: int) -> None:
        """Note the answer to a ping."""
        self._silent.discard(self._asked.pop(seq, ""))

    def postpone(self, pause: float) -> None:
        """Wait longer by a pause of this process, in which no answer could be read."""
        self._began += pause

    def _send(self, vm_ids: Iterable[str], now: float, emit: Emit) -> None:
        for vm_id in vm_ids:
            seq = self._ping(vm_id, now, emit)
            if seq is not None:
                self._asked[seq] = vm_id

    def _conclude(self, counted: int, now: float, emit: Emit) -> None:
        """End the sample when it is clear; `counted` VMs need more than half for a majority."""
        # The peers in the sample stand for all that were taken for live when it began.
        answered = (self._size - len(self._silent)) / self._size
        majority = 2 * (1 + self._peers * answered) > counted
        if not majority and now < self._began + SAMPLE_S:
            return
        if self.cut_off == majority:
            emit(StateChanged("contact_sample", {"cut_off": not majority}))
        self.cut_off, self._size = not majority, 0
