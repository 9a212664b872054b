"""Member table of SWIM: one entry per VM, merged so that all daemons converge on the same table.

Entries are ordered by incarnation, start id and state, and the highest wins. An entry that is
stale, replayed or received twice therefore changes nothing, and the order of arrival does not
matter. A restarted VM takes a higher incarnation than its earlier start ids and so replaces them.
"""

import math
import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lovageway.messages import Member
from lovageway.model import vm_of

LIVE, SUSPECT, LEAVING, DEAD = "live", "suspect", "leaving", "dead"
MAX_UPDATES = 12  # entries in one message; bounds a ping to about 1 KB
SUSPICION_S = 1.5  # for a suspected member to refute before it is declared dead
RETRANSMIT_FACTOR = 3  # times log2 of the member count: number of messages that carry an update
# A gossiped entry circulates for less than a minute. Dead entries are kept longer than that, so
# that delayed copies of earlier states are not mistaken for a new member.
FORGET_DEAD_S = 120.0
MAX_INCARNATION = 1 << 53
MAX_NAME_LENGTH = 128

_RANKS = {LIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}
_HOST_PORT = re.compile(r"[0-9A-Fa-f.:\[\]]{2,45}:\d{1,5}")


class Precedence(NamedTuple):
    """Precedence of an entry among those of the same VM; the highest wins."""

    incarnation: int
    start_id: str
    rank: int


def precedence(member: Member) -> Precedence:
    """Return the precedence of an entry."""
    return Precedence(member.incarnation, member.node.partition("/")[2], _RANKS[member.state])


def is_well_formed(member: Member) -> bool:
    """Return whether an entry received from another daemon is valid."""
    vm_id, _, start_id = member.node.partition("/")
    return bool(
        vm_id
        and start_id
        and len(member.node) <= MAX_NAME_LENGTH
        and 0 < len(member.zone) <= MAX_NAME_LENGTH
        and member.state in _RANKS
        and 0 <= member.incarnation < MAX_INCARNATION
        and _HOST_PORT.fullmatch(member.address)
        and _HOST_PORT.fullmatch(member.peer_address)
    )


class _Entry(NamedTuple):
    member: Member
    since: float  # time at which this entry was merged


class MemberTable:
    """Entries of the other daemons, suspicion deadlines and updates still to be gossiped.

    Attributes
    ----------
    epoch
        Rises whenever an entry changes.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._deadlines: dict[str, float] = {}  # by VM: end of its suspicion
        self._updates: dict[str, tuple[Member, int]] = {}  # by VM: entry, times sent
        self.epoch = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Member]:
        return (entry.member for entry in self._entries.values())

    def get(self, vm_id: str) -> Member | None:
        """Return the entry of a VM."""
        entry = self._entries.get(vm_id)
        return entry.member if entry else None

    def since(self, vm_id: str) -> float:
        """Return the time at which the present entry of a VM was merged."""
        return self._entries[vm_id].since

    def merge(self, member: Member, now: float) -> Member | None:
        """Merge an entry if it has precedence over the known one.

        Returns
        -------
        Member | None
            The replaced entry, the entry itself when the VM was unknown, None when nothing
            changed.
        """
        vm_id = vm_of(member.node)
        known = self.get(vm_id)
        if known is None and member.state == DEAD:
            return None
        if known is not None and precedence(member) <= precedence(known):
            return None
        self._entries[vm_id] = _Entry(member, now)
        self.epoch += 1
        self.announce(member)
        if member.state != SUSPECT:
            self._deadlines.pop(vm_id, None)
        else:
            self._deadlines.setdefault(vm_id, now + SUSPICION_S)
        return known or member

    def suspect(self, vm_id: str, now: float) -> None:
        """Start the suspicion of a member that did not answer; a leaving one keeps that state."""
        member = self.get(vm_id)
        if member is None or member.state == DEAD:
            return
        self._deadlines.setdefault(vm_id, now + SUSPICION_S)
        if member.state == LIVE:
            self.merge(member._replace(state=SUSPECT), now)

    def suspicion_count(self) -> int:
        """Return the number of suspected members."""
        return len(self._deadlines)

    def record_answer(self, vm_id: str) -> None:
        """End the suspicion of a leaving member that answered.

        A live member has to refute its suspicion with a higher incarnation instead.
        """
        member = self.get(vm_id)
        if member is not None and member.state == LEAVING:
            self._deadlines.pop(vm_id, None)

    def expire(self, now: float) -> list[Member]:
        """Declare members dead whose suspicion has expired and return their entries."""
        expired = []
        for vm_id in [vm_id for vm_id, end in self._deadlines.items() if now >= end]:
            del self._deadlines[vm_id]
            dead = self._entries[vm_id].member._replace(state=DEAD)
            self.merge(dead, now)
            expired.append(dead)
        return expired

    def forget(self, listed: Iterable[str], now: float) -> None:
        """Remove old dead entries of VMs that are no longer in the VM list."""
        keep = set(listed)
        for vm_id, entry in list(self._entries.items()):
            old = now - entry.since > FORGET_DEAD_S
            if entry.member.state == DEAD and old and vm_id not in keep:
                del self._entries[vm_id]
                self._updates.pop(vm_id, None)
                self.epoch += 1

    def extend_deadlines(self, pause_s: float) -> None:
        """Extend suspicion deadlines by a pause of this process: it could not read refutations."""
        self._deadlines = {vm_id: end + pause_s for vm_id, end in self._deadlines.items()}

    def announce(self, member: Member) -> None:
        """Gossip an entry with the next messages."""
        self._updates[vm_of(member.node)] = (member, 0)

    def updates(self, count: int = MAX_UPDATES) -> tuple[Member, ...]:
        """Return the updates for one message, least often sent first, and count them as sent."""
        chosen = sorted(self._updates.items(), key=lambda item: item[1][1])[:count]
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._entries) + 2))
        for vm_id, (member, sent) in chosen:
            if sent + 1 >= limit:
                del self._updates[vm_id]
            else:
                self._updates[vm_id] = (member, sent + 1)
        return tuple(member for _, (member, _) in chosen)
