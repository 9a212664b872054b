"""Peer addresses to ping in order to join or rejoin: listed VMs and seeds that are not live."""

import math
import random
from collections.abc import Collection, Mapping, Sequence

JOIN_INTERVAL_S = 0.5  # between two rounds of contacts
JOIN_RETRY_S = 10.0  # until the same address is contacted again
MAX_JOIN_BURST = 4  # addresses per round while no peer is live; otherwise one


class JoinTargets:
    """Schedule of the addresses to contact, with a retry time for each.

    Parameters
    ----------
    seeds
        Peer addresses from the settings.
    rng
        Chooses among the addresses and adds jitter to their retry times.
    """

    def __init__(self, seeds: Sequence[str], rng: random.Random) -> None:
        self._seeds = tuple(seeds)
        self._rng = rng
        self._vm_ids: dict[str, str] = dict.fromkeys(seeds, "")  # by address
        self._retry_at: dict[str, float] = {}

    def set_listed_addresses(self, listed: Mapping[str, str]) -> None:
        """Replace the listed addresses.

        Parameters
        ----------
        listed
            Peer address of each VM in the VM list, by VM id.
        """
        self._vm_ids = dict.fromkeys(self._seeds, "")
        self._vm_ids |= {addr: vm_id for vm_id, addr in listed.items() if addr}
        self._retry_at = {addr: at for addr, at in self._retry_at.items() if addr in self._vm_ids}

    def next_targets(self, live: Collection[str], now: float) -> list[tuple[str, str]]:
        """Return address and VM id ("" for a seed) of the targets to contact now.

        Parameters
        ----------
        live
            Peer addresses that need no contact: those of the live daemons, including this one.
        now
            Time in seconds.
        """
        candidates = [
            addr
            for addr in self._vm_ids
            if addr not in live and now >= self._retry_at.get(addr, -math.inf)
        ]
        count = min(len(candidates), 1 if len(live) > 1 else MAX_JOIN_BURST)
        chosen = self._rng.sample(candidates, count)
        for addr in chosen:
            self._retry_at[addr] = now + JOIN_RETRY_S * self._rng.uniform(0.9, 1.1)
        return [(addr, self._vm_ids[addr]) for addr in chosen]
