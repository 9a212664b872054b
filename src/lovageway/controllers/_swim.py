"""Member table of SWIM: one entry for each VM, merged so that every daemon reaches the same one.

An entry is ordered by incarnation, start id and state. The highest one wins, so an entry that is
stale, replayed or received twice changes nothing, and the order of arrival does not matter. A
restarted VM takes an incarnation above that of its earlier start ids and thereby replaces them.
"""

import math
import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lovageway.messages import Member
from lovageway.model import vm_of

LIVE, SUSPECT, LEAVING, DEAD = "live", "suspect", "leaving", "dead"
MAX_UPDATES = 12  # entries in one message; bounds a ping to about 1 KB
SUSPICION_S = 1.5
RETRANSMIT_FACTOR = 3
# A gossiped entry circulates for less than a minute; a dead entry kept longer than that keeps the
# late copies of earlier states from being taken for a new member.
FORGET_DEAD_S = 120.0
MAX_INCARNATION = 1 << 53
MAX_NAME = 128

_RANKS = {LIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}
_HOST_PORT = re.compile(r"[0-9A-Fa-f.:\[\]]{2,45}:\d{1,5}")


class Order(NamedTuple):
    """Precedence of an entry among those of the same VM; the highest wins."""

    incarnation: int
    start_id: str
    rank: int


def order(member: Member) -> Order:
    """Return the precedence of an entry."""
    return Order(member.incarnation, member.node.partition("/")[2], _RANKS[member.state])


def well_formed(member: Member) -> bool:
    """Tell whether an entry of another daemon can be used at all."""
    vm_id, _, start_id = member.node.partition("/")
    return bool(
        vm_id
        and start_id
        and len(member.node) <= MAX_NAME
        and 0 < len(member.zone) <= MAX_NAME
        and member.state in _RANKS
        and 0 <= member.incarnation < MAX_INCARNATION
        and _HOST_PORT.fullmatch(member.address)
        and _HOST_PORT.fullmatch(member.peer_address)
    )


class _Slot(NamedTuple):
    member: Member
    since: float  # when the state was taken over


class MemberTable:
    """Entries of the other daemons, suspicion deadlines and updates still to be passed on."""

    def __init__(self) -> None:
        self._slots: dict[str, _Slot] = {}
        self._deadlines: dict[str, float] = {}  # VM -> end of suspicion
        self._updates: dict[str, tuple[Member, int]] = {}  # VM -> entry, times sent
        self.epoch = 0  # rises whenever an entry changes

    def __len__(self) -> int:
        return len(self._slots)

    def __iter__(self) -> Iterator[Member]:
        return (slot.member for slot in self._slots.values())

    def get(self, vm_id: str) -> Member | None:
        """Return the entry of a VM."""
        slot = self._slots.get(vm_id)
        return slot.member if slot else None

    def since(self, vm_id: str) -> float:
        """Return when the entry of a VM took its present state."""
        return self._slots[vm_id].since

    def merge(self, member: Member, now: float) -> Member | None:
        """Take an entry if it has precedence.

        Returns
        -------
        Member | None
            The entry that it replaced, itself when the VM was unknown, None when it changed
            nothing.
        """
        vm_id = vm_of(member.node)
        known = self.get(vm_id)
        if known is None and member.state == DEAD:
            return None
        if known is not None and order(member) <= order(known):
            return None
        self._slots[vm_id] = _Slot(member, now)
        self.epoch += 1
        self.announce(member)
        if member.state != SUSPECT:
            self._deadlines.pop(vm_id, None)
        else:
            self._deadlines.setdefault(vm_id, now + SUSPICION_S)
        return known or member

    def suspect(self, vm_id: str, now: float) -> None:
        """Note that a member did not answer; a leaving one keeps its mark meanwhile."""
        member = self.get(vm_id)
        if member is None or member.state == DEAD:
            return
        self._deadlines.setdefault(vm_id, now + SUSPICION_S)
        if member.state == LIVE:
            self.merge(member._replace(state=SUSPECT), now)

    def suspicions(self) -> int:
        """Return the number of members that are suspected."""
        return len(self._deadlines)

    def answered(self, vm_id: str) -> None:
        """End the silent suspicion of a leaving member that answers."""
        member = self.get(vm_id)
        if member is not None and member.state == LEAVING:
            self._deadlines.pop(vm_id, None)

    def expire(self, now: float) -> list[Member]:
        """Declare dead whose suspicion was not refuted in time and return their entries."""
        expired = []
        for vm_id in [vm_id for vm_id, end in self._deadlines.items() if now >= end]:
            del self._deadlines[vm_id]
            dead = self._slots[vm_id].member._replace(state=DEAD)
            self.merge(dead, now)
            expired.append(dead)
        return expired

    def forget(self, listed: Iterable[str], now: float) -> None:
        """Drop dead entries of VMs that no longer exist."""
        keep = set(listed)
        for vm_id, slot in list(self._slots.items()):
            old = now - slot.since > FORGET_DEAD_S
            if slot.member.state == DEAD and old and vm_id not in keep:
                del self._slots[vm_id]
                self._updates.pop(vm_id, None)
                self.epoch += 1

    def postpone(self, pause_s: float) -> None:
        """Move suspicion deadlines after this process was paused: nobody could refute meanwhile."""
        self._deadlines = {vm_id: end + pause_s for vm_id, end in self._deadlines.items()}

    def announce(self, member: Member) -> None:
        """Pass an entry on with the next messages."""
        self._updates[vm_of(member.node)] = (member, 0)

    def updates(self, count: int = MAX_UPDATES) -> tuple[Member, ...]:
        """Return the entries for one message, those sent least often first."""
        chosen = sorted(self._updates.items(), key=lambda item: item[1][1])[:count]
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._slots) + 2))
        for vm_id, (member, sent) in chosen:
            if sent + 1 >= limit:
                del self._updates[vm_id]
            else:
                self._updates[vm_id] = (member, sent + 1)
        return tuple(member for _, (member, _) in chosen)
