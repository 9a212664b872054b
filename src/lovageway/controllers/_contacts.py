"""Which addresses to contact: listed VMs and seeds that are not live."""

import math
import random
from collections.abc import Collection, Mapping, Sequence

CONTACT_INTERVAL_S = 0.5
CONTACT_AGAIN_S = 10.0
CONTACT_BURST = 4  # while no peer is known; otherwise one at a time


class Contacts:
    """Remembers when each address was last contacted.

    Parameters
    ----------
    seeds
        Peer addresses from the settings.
    rng
        Source of the order.
    """

    def __init__(self, seeds: Sequence[str], rng: random.Random) -> None:
        self._seeds = tuple(seeds)
        self._rng = rng
        self._targets: dict[str, str] = dict.fromkeys(seeds, "")
        self._next: dict[str, float] = {}

    def set_listed(self, listed: Mapping[str, str]) -> None:
        """Take the peer address of each listed VM, by VM id."""
        self._targets = dict.fromkeys(self._seeds, "")
        self._targets |= {addr: vm_id for vm_id, addr in listed.items() if addr}
        self._next = {addr: at for addr, at in self._next.items() if addr in self._targets}

    def due(self, live: Collection[str], now: float) -> list[tuple[str, str]]:
        """Return address and VM id ("" for a seed) of those to contact now.

        Parameters
        ----------
        live
            Peer addresses that need no contact: those of live daemons and our own.
        now
            Seconds.
        """
        waiting = [
            addr
            for addr in self._targets
            if addr not in live and now >= self._next.get(addr, -math.inf)
        ]
        count = min(len(waiting), 1 if len(live) > 1 else CONTACT_BURST)
        chosen = self._rng.sample(waiting, count)
        for addr in chosen:
            self._next[addr] = now + CONTACT_AGAIN_S * self._rng.uniform(0.9, 1.1)
        return [(addr, self._targets[addr]) for addr in chosen]
