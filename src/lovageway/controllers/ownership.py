"""Owners of shared resources, and since when this daemon may act as an owner."""

from collections.abc import Set
from typing import NamedTuple

from lovageway.controllers.membership import Membership, rendezvous_weight
from lovageway.messages import Member
from lovageway.model import Vm, vm_of

GRANT_TTL_S = 2.0  # from the sending of the request that the grant answers
CLOCK_DRIFT = 1.01  # the clocks of two VMs may differ in speed by 1 %
# Upper bound of two delays. First, the time between the moments at which two daemons detect that a
# third is gone, which each does 2 to 3.5 s after its last answer. Second, the time until a daemon
# that is cut off loses majority contact, counted from when the others have found the first daemon
# of its side dead (2.5 s after the cut; the membership sample shows the cut in 5 s).
DETECTION_SPREAD_S = 3.5
NEW_OWNER_WAIT_S = GRANT_TTL_S * CLOCK_DRIFT + DETECTION_SPREAD_S
# A daemon that received nothing for 1.2 s pings five others a second, so one that is in contact
# receives an answer well before this time.
ISOLATION_S = 2.0
# Other daemons declare no daemon dead within ISOLATION_S of its last message. From then on its last
# grant to itself is valid for at most GRANT_TTL_S. The half second covers messages that are still
# on the network.
FENCED_WAIT_S = GRANT_TTL_S * CLOCK_DRIFT + 0.5
PAUSE_S = 2.0  # other daemons may have declared a daemon dead that was paused for this time
REFRESH_INTERVAL_S = 0.1
# From this number of other daemons on not all of them are queried for a handover, because that
# costs one message for each daemon and resource.
MAX_SURVEYED_DAEMONS = 16


class _Owner(NamedTuple):
    weight: bytes
    node: str


class Ownership:
    """Owners by rendezvous hashing over live daemons, and recent changes of the membership.

    Suspected daemons keep their resources until they are dead, because most suspicions are refuted
    and each change of the owner costs a handover.

    Attributes
    ----------
    changes
        Counter that increases whenever the set of resources owned by this daemon may have changed.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self.changes = 0
        self._members: dict[str, Member] = {}
        self._leaving: dict[str, Member] = {}
        self._owners: dict[str, _Owner] = {}
        self._departed: list[tuple[float, str]] = []
        self._contact_since: float | None = None
        self._leaving_since: float | None = None
        self._last_refresh = float("-inf")
        self._last_contact = float("-inf")
        self._vms: tuple[Vm, ...] = ()
        self._entry_ids: frozenset[str] = frozenset()

    @property
    def node(self) -> str:
        """Node id of this daemon."""
        return self._membership.node

    def record_contact(self, now: float) -> None:
        """Record that a message of another daemon was received."""
        self._last_contact = now

    def refresh(self, now: float) -> bool:
        """Apply the current membership and return whether owners may have changed."""
        paused = now - self._last_refresh > PAUSE_S
        self._last_refresh = now
        live = self._membership.live()
        members = {item.node: item for item in live if item.state in ("live", "suspect")}
        self._leaving = {item.node: item for item in live if item.state == "leaving"}
        if self.node in members:
            self._leaving_since = None
        elif self._leaving_since is None:
            self._leaving_since = now
        gone = self._members.keys() - members.keys()
        joined = members.keys() - self._members.keys()
        self._members = members
        self._departed = [item for item in self._departed if now - item[0] <= NEW_OWNER_WAIT_S]
        self._departed += [(now, node) for node in gone]
        before = self.in_contact()
        if not self._has_contact(now):
            self._contact_since = None
        elif self._contact_since is None or paused:
            self._contact_since = now
        if gone or joined:
            self._update_owners(gone, joined)
        if gone or joined or before != self.in_contact():
            self.changes += 1
        return bool(gone or joined)

    def _update_owners(self, gone: Set[str], joined: Set[str]) -> None:
        """Update the cached owners in place, because there are as many as listed servers."""
        for resource, owner in list(self._owners.items()):
            if owner.node in gone:
                del self._owners[resource]
                continue
            for node in joined:
                owner = max(owner, _Owner(rendezvous_weight(node, resource), node))
            self._owners[resource] = owner

    def _has_contact(self, now: float) -> bool:
        entry = self._entry_vms()
        if not entry:
            return False  # without the VM list this daemon would count as a majority of one
        isolated = now - self._last_contact > ISOLATION_S
        if isolated and entry != {vm_of(self.node)}:
            return False
        return self._membership.has_majority()

    def _entry_vms(self) -> frozenset[str]:
        """Return the listed entry VMs, cached for each list because it has 5,600 VMs."""
        vms = self._membership.vms
        if vms is not self._vms:
            self._vms = vms
            self._entry_ids = frozenset(vm.vm_id for vm in vms if vm.role == "entry")
        return self._entry_ids

    def owner(self, resource: str) -> str:
        """Return the node id of the resource's owner."""
        found = self._owners.get(resource)
        if found is None:
            nodes = set(self._members) or {self.node}
            found = max(_Owner(rendezvous_weight(node, resource), node) for node in nodes)
            self._owners[resource] = found
        return found.node

    def is_leaving(self) -> bool:
        """Return whether this daemon drains."""
        return self._leaving_since is not None

    def resources(self) -> set[str]:
        """Return the resources whose owner is cached."""
        return set(self._owners)

    def forget(self, resource: str) -> None:
        """Remove the cached owner of a resource that is no longer used."""
        self._owners.pop(resource, None)

    def is_fresh(self, now: float) -> bool:
        """Return whether the membership was applied within REFRESH_INTERVAL_S."""
        return now - self._last_refresh < REFRESH_INTERVAL_S

    def owns(self, resource: str) -> bool:
        """Return whether this daemon owns the resource and has majority contact."""
        return self._contact_since is not None and self.owner(resource) == self.node

    def in_contact(self) -> bool:
        """Return whether this daemon may act as an owner at all."""
        return self._contact_since is not None

    def contact_since(self) -> float:
        """Return since when this daemon has been in contact without a pause, inf if it is not."""
        return self._contact_since if self._contact_since is not None else float("inf")

    def earlier_grants_expired(self, resource: str, now: float) -> bool:
        """Return whether every grant of an earlier owner must have expired."""
        return now - self._waiting_since(resource) >= NEW_OWNER_WAIT_S

    def _waiting_since(self, resource: str) -> float:
        weight = rendezvous_weight(self.node, resource)
        since = self.contact_since()
        for at, node in self._departed:
            if rendezvous_weight(node, resource) > weight:
                since = max(since, at)
        return since

    def was_owner_before(self, new_owner: str, resource: str, now: float) -> bool:
        """Return whether this daemon would own the resource if `new_owner` were absent.

        A draining daemon returns False after GRANT_TTL_S, when its successor may have granted.
        """
        if self._leaving_since is not None and now - self._leaving_since > GRANT_TTL_S:
            return False
        nodes = (self._members.keys() | {self.node}) - {new_owner}
        return max(nodes, key=lambda node: rendezvous_weight(node, resource)) == self.node

    def handover_peers(self, resource: str) -> set[str]:
        """Return the daemons to send a handover request for this resource to."""
        live = self._members.keys() - {self.node}
        everyone = live | (self._leaving.keys() - {self.node})
        if len(everyone) < MAX_SURVEYED_DAEMONS:
            return everyone
        return {
            max(nodes, key=lambda node: rendezvous_weight(node, resource))
            for nodes in (live, everyone)
            if nodes
        }

    def is_covered(self, resource: str, answered: set[str], now: float) -> bool:
        """Return whether the answers of these daemons include every share that may be in use.

        A daemon that left is covered when its VM runs a new daemon, because the old process has
        then ended. The answer of one VM may be missing once FENCED_WAIT_S has passed since its
        daemon left: all others reject its grants, so only that daemon itself can use them, and an
        isolated daemon stops doing so after ISOLATION_S.
        """
        covered = {vm_of(node) for node in answered} | {vm_of(self.node)}
        listed = self._entry_vms() | {vm_of(node) for _, node in self._departed}
        everyone = (self._members.keys() | self._leaving.keys()) - {self.node}
        missing = listed - covered
        if not everyone <= answered or len(missing) > 1:
            return False
        left = [at for at, node in self._departed if vm_of(node) in missing]
        if missing and not left:
            return False  # its daemon may still be in contact for up to DETECTION_SPREAD_S
        return now - max(left, default=float("-inf")) >= FENCED_WAIT_S

    def address(self, node: str) -> str | None:
        """Return the peer address of a daemon, or None when it is gone."""
        found = self._members.get(node) or self._leaving.get(node)
        return found.peer_address if found else None
