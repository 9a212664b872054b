"""Which daemon owns a shared resource, and since when this daemon may act as an owner."""

from collections.abc import Set
from typing import NamedTuple

from lovageway.controllers.membership import Membership, rendezvous_weight
from lovageway.messages import Member
from lovageway.model import Vm, vm_of

GRANT_S = 2.0
DRIFT = 1.01  # clocks of two VMs may differ in speed by 1 %
# Longest time between the moments at which two daemons learn that a third has gone (2 to 3.5 s
# after its last answer), or by which a daemon that is cut off loses majority contact after others
# have found the first of its side dead (2.5 s after the cut; the sample shows the cut in 5 s).
DETECTION_SPREAD_S = 3.5
NEW_OWNER_WAIT_S = GRANT_S * DRIFT + DETECTION_SPREAD_S
# A daemon that heard nobody for 1.2 s pings five others a second, so one in contact is answered
# well before this time.
ISOLATION_S = 2.0
# Others take no daemon for dead within ISOLATION_S of its last sign of life, so from then on its
# last grant to itself has GRANT_S to run; half a second is for messages on their way.
FENCED_WAIT_S = GRANT_S * DRIFT + 0.5
PAUSE_S = 2.0  # a daemon that was paused this long may have been taken for dead
REFRESH_S = 0.1
SURVEY_MAX_DAEMONS = 16  # asking everyone costs one message for each daemon and resource


class _Owner(NamedTuple):
    weight: bytes
    node: str


class Ownership:
    """Owners by rendezvous hashing over live daemons, with the changes of the last seconds.

    Suspected daemons keep their resources until they are dead: most suspicions are refuted, and
    each change of the owner costs a handover.

    Attributes
    ----------
    changes
        Rises whenever this daemon may own other resources than before.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self.changes = 0
        self._members: dict[str, Member] = {}
        self._leaving: dict[str, Member] = {}
        self._owners: dict[str, _Owner] = {}
        self._departed: list[tuple[float, str]] = []
        self._base: float | None = None
        self._left_at: float | None = None
        self._last_refresh = float("-inf")
        self._last_heard = float("-inf")
        self._vms: tuple[Vm, ...] = ()
        self._entry: frozenset[str] = frozenset()

    @property
    def node(self) -> str:
        """Node id of this daemon."""
        return self._membership.node

    def record_contact(self, now: float) -> None:
        """Note that another daemon sent something."""
        self._last_heard = now

    def refresh(self, now: float) -> bool:
        """Take the membership as of now; tells whether owners may have changed."""
        paused = now - self._last_refresh > PAUSE_S
        self._last_refresh = now
        live = self._membership.live()
        members = {item.node: item for item in live if item.state in ("live", "suspect")}
        self._leaving = {item.node: item for item in live if item.state == "leaving"}
        if self.node in members:
            self._left_at = None
        elif self._left_at is None:
            self._left_at = now
        gone = self._members.keys() - members.keys()
        joined = members.keys() - self._members.keys()
        self._members = members
        self._departed = [item for item in self._departed if now - item[0] <= NEW_OWNER_WAIT_S]
        self._departed += [(now, node) for node in gone]
        before = self.in_contact()
        if not self._in_contact(now):
            self._base = None
        elif self._base is None or paused:
            self._base = now
        if gone or joined:
            self._choose_again(gone, joined)
        if gone or joined or before != self.in_contact():
            self.changes += 1
        return bool(gone or joined)

    def _choose_again(self, gone: Set[str], joined: Set[str]) -> None:
        """Bring the remembered owners up to date; there are as many as listed servers."""
        for resource, owner in list(self._owners.items()):
            if owner.node in gone:
                del self._owners[resource]
                continue
            for node in joined:
                owner = max(owner, _Owner(rendezvous_weight(node, resource), node))
            self._owners[resource] = owner

    def _in_contact(self, now: float) -> bool:
        entry = self._entry_vms()
        if not entry:
            return False  # an unread list would make this daemon a majority of one
        isolated = now - self._last_heard > ISOLATION_S
        if isolated and entry != {vm_of(self.node)}:
            return False
        return self._membership.has_majority()

    def _entry_vms(self) -> frozenset[str]:
        """Return the listed entry VMs; computed once for each list, which has 5,600 VMs."""
        vms = self._membership.vms
        if vms is not self._vms:
            self._vms = vms
            self._entry = frozenset(vm.vm_id for vm in vms if vm.role == "entry")
        return self._entry

    def owner(self, resource: str) -> str:
        """Return the node id of the resource's owner."""
        found = self._owners.get(resource)
        if found is None:
            nodes = set(self._members) or {self.node}
            found = max(_Owner(rendezvous_weight(node, resource), node) for node in nodes)
            self._owners[resource] = found
        return found.node

    def leaving(self) -> bool:
        """Tell whether this daemon has begun its planned stop."""
        return self._left_at is not None

    def known(self) -> set[str]:
        """Return the resources whose owner is remembered."""
        return set(self._owners)

    def forget(self, resource: str) -> None:
        """Drop what is remembered of a resource that is no longer used."""
        self._owners.pop(resource, None)

    def fresh(self, now: float) -> bool:
        """Tell whether the membership was taken a moment ago."""
        return now - self._last_refresh < REFRESH_S

    def owns(self, resource: str) -> bool:
        """Tell whether this daemon owns the resource and has majority contact."""
        return self._base is not None and self.owner(resource) == self.node

    def in_contact(self) -> bool:
        """Tell whether this daemon may act as an owner at all."""
        return self._base is not None

    def epoch(self) -> float:
        """Return since when this daemon has been in contact without a pause."""
        return self._base if self._base is not None else float("inf")

    def waited(self, resource: str, now: float) -> bool:
        """Tell whether every grant of an earlier owner must have expired."""
        return now - self._since(resource) >= NEW_OWNER_WAIT_S

    def _since(self, resource: str) -> float:
        weight = rendezvous_weight(self.node, resource)
        since = self.epoch()
        for at, node in self._departed:
            if rendezvous_weight(node, resource) > weight:
                since = max(since, at)
        return since

    def was_owner_before(self, new_owner: str, resource: str, now: float) -> bool:
        """Tell whether this daemon would own the resource if `new_owner` were not there.

        A leaving daemon tells only for a short time: afterwards its successor may have granted.
        """
        if self._left_at is not None and now - self._left_at > GRANT_S:
            return False
        nodes = (self._members.keys() | {self.node}) - {new_owner}
        return max(nodes, key=lambda node: rendezvous_weight(node, resource)) == self.node

    def to_ask(self, resource: str) -> set[str]:
        """Return the daemons whose answers can end the wait for this resource."""
        live = self._members.keys() - {self.node}
        everyone = live | (self._leaving.keys() - {self.node})
        if len(everyone) < SURVEY_MAX_DAEMONS:
            return everyone
        return {
            max(nodes, key=lambda node: rendezvous_weight(node, resource))
            for nodes in (live, everyone)
            if nodes
        }

    def covered(self, resource: str, answered: set[str], now: float) -> bool:
        """Tell whether these daemons' answers are enough to know every share that may be used.

        A daemon that left is covered when its VM runs a new daemon: then the old process has ended.
        One single VM may be missing for FENCED_WAIT_S: since all others take no more grants from
        it, it can only use shares by itself, and alone it stops to do so after ISOLATION_S.
        """
        covered = {vm_of(node) for node in answered} | {vm_of(self.node)}
        listed = self._entry_vms() | {vm_of(node) for _, node in self._departed}
        everyone = (self._members.keys() | self._leaving.keys()) - {self.node}
        missing = listed - covered
        if not everyone <= answered or len(missing) > 1:
            return False
        left = [at for at, node in self._departed if vm_of(node) in missing]
        if missing and not left:
            return False  # it may be in contact with others for as long as DETECTION_SPREAD_S
        return now - max(left, default=float("-inf")) >= FENCED_WAIT_S

    def address(self, node: str) -> str | None:
        """Return the peer address of a daemon, None when it is gone."""
        found = self._members.get(node) or self._leaving.get(node)
        return found.peer_address if found else None
