"""Detects whether this daemon is on the minority side of a partition, by a sample of pings.

Regular probes reach one peer per second. In a partitioned fleet of 40, daemons of the minority side
took up to 16 s to declare enough peers dead, while the majority side had already assigned their
resources to new owners.
"""

import math
import random
from collections.abc import Callable, Iterable

from lovageway.controllers._view import View
from lovageway.events import Emit, StateChanged

# By a sample of this size, a reachable half of the peers is distinguished from two thirds in 99.6 %
# of cases. Fleets with fewer peers sample all of them.
MAX_SAMPLED_PEERS = 64
CHECK_TIMEOUT_S = 1.5
REPEAT_AFTER_S = 0.75  # until silent peers are pinged once more, because a message may be lost

Ping = Callable[[str, float, Emit], int | None]


class PartitionCheck:
    """Sample of simultaneous pings that estimates whether this daemon reaches a majority.

    Parameters
    ----------
    ping
        Pings the daemon on a VM; returns the ping's sequence number, None for an unknown VM.
    rng
        Chooses the sampled peers.

    Attributes
    ----------
    cut_off
        Whether, by the last sample, at most half of the entry VMs are reachable, this daemon's
        included.
    """

    def __init__(self, ping: Ping, rng: random.Random) -> None:
        self.cut_off = False
        self._ping = ping
        self._rng = rng
        self._started_at = -math.inf
        self._repeated = False
        self._vm_by_seq: dict[int, str] = {}
        self._silent: set[str] = set()  # sampled VMs that have not answered
        self._sample_size = 0  # 0: no sample is running
        self._live_peer_count = 0  # when the sample was started

    @property
    def is_running(self) -> bool:
        """Whether a sample awaits answers."""
        return self._sample_size > 0

    def start(self, view: View, now: float, emit: Emit) -> None:
        """Ping a sample of the peers believed to be live, unless a sample is already running."""
        if self.is_running:
            return
        chosen = self._rng.sample(view.peers, min(MAX_SAMPLED_PEERS, len(view.peers)))
        self._started_at, self._repeated, self._live_peer_count = now, False, len(view.peers)
        self._vm_by_seq.clear()
        self._silent = set(chosen)
        self._sample_size = len(chosen)
        self._send(chosen, now, emit)

    def tick(self, view: View, now: float, emit: Emit) -> None:
        """Repeat unanswered pings, evaluate the sample, or start the next one while cut off."""
        if self.is_running and not self._repeated and now >= self._started_at + REPEAT_AFTER_S:
            self._repeated = True
            self._send(sorted(self._silent), now, emit)
        if self.is_running:
            self._evaluate(view.vm_count, now, emit)
        if self.cut_off and not self.is_running:
            if view.peers:
                self.start(view, now, emit)
            else:
                self.cut_off = False  # without live peers, the view itself has no majority

    def record_answer(self, seq: int) -> None:
        """Record the answer to a ping."""
        self._silent.discard(self._vm_by_seq.pop(seq, ""))

    def extend_timeout(self, pause_s: float) -> None:
        """Extend the timeout by a pause of this process, during which it could not read answers."""
        self._started_at += pause_s

    def _send(self, vm_ids: Iterable[str], now: float, emit: Emit) -> None:
        for vm_id in vm_ids:
            seq = self._ping(vm_id, now, emit)
            if seq is not None:
                self._vm_by_seq[seq] = vm_id

    def _evaluate(self, vm_count: int, now: float, emit: Emit) -> None:
        """End the sample once its answers indicate a majority or the timeout has passed.

        Parameters
        ----------
        vm_count
            Number of entry VMs, this daemon's included; more than half of them form a majority.
        """
        # Only a sample of the peers is pinged, so the share of answers is extrapolated to all peers
        # that were believed to be live at the start.
        answered_share = (self._sample_size - len(self._silent)) / self._sample_size
        majority = 2 * (1 + self._live_peer_count * answered_share) > vm_count
        if not majority and now < self._started_at + CHECK_TIMEOUT_S:
            return
        if self.cut_off == majority:
            emit(StateChanged("contact_sample", {"cut_off": not majority}))
        self.cut_off, self._sample_size = not majority, 0  # no sample is running any more
