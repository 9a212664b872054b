"""State derived from the member table and the VM list, computed once for each change."""

import hashlib
from collections.abc import Collection, Iterable

from lovageway.controllers._swim import DEAD, LEAVING
from lovageway.messages import Member
from lovageway.model import vm_of

MAX_CACHED_OWNERS = 20000


class View:
    """Live daemons, majority contact and owners of resources.

    Parameters
    ----------
    me
        Own entry.
    others
        Entries of the other daemons.
    listed
        Ids of the entry VMs in the VM list that was read last.

    Attributes
    ----------
    vm_count
        Number of entry VMs in the list and this daemon's own; more than half form a majority.
    peers
        Ids of those VMs that are believed to be live, without this daemon's own.
    """

    def __init__(self, me: Member, others: Iterable[Member], listed: Collection[str]) -> None:
        self.live = tuple(sorted([me, *(item for item in others if item.state != DEAD)]))
        self._eligible = [item.node for item in self.live if item.state != LEAVING] or [me.node]
        self._owners: dict[str, str] = {}
        entry_vm_ids = {*listed, vm_of(me.node)}
        live = {vm_of(member.node) for member in self.live}
        self.vm_count = len(entry_vm_ids)
        self.peers = tuple(sorted((entry_vm_ids & live) - {vm_of(me.node)}))
        self.majority = 2 * (1 + len(self.peers)) > self.vm_count

    def owner(self, resource: str) -> str:
        """Return the node id of the owner of a shared resource, by rendezvous hashing."""
        found = self._owners.get(resource)
        if found is None:
            found = max(self._eligible, key=lambda node: rendezvous_weight(node, resource))
            if len(self._owners) >= MAX_CACHED_OWNERS:
                self._owners.clear()
            self._owners[resource] = found
        return found


def rendezvous_weight(node: str, resource: str) -> bytes:
    """Return the weight of a node for a resource; the highest weight owns it."""
    return hashlib.blake2b(f"{node}|{resource}".encode(), digest_size=8).digest()
