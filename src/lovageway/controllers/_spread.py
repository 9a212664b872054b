"""Which peer has which version, and the messages that spread a change."""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from lovageway.events import Emit, SendPeer
from lovageway.messages import ConfigPush, ConfigQuery, LogEntry, Member, Message, Ping
from lovageway.model import Vm, vm_of

PUSH_PEERS = 4  # told by a daemon that learned a change in another way than from its acceptor
CONFIRM_S = 0.5  # after which the acceptor pushes again to peers that have not confirmed
CONFIRM_TRIES = 4
WATCH_S = 5.0  # for which an operator's question keeps the daemon asking its peers
WATCH_INTERVAL_S = 0.25
ANSWER_MAX_S = 5.0  # an answer to a query that comes later tells nothing
PRUNE_S = 10.0


class MembershipView(Protocol):
    """What the configuration needs to know about other daemons."""

    node: str
    vms: tuple[Vm, ...]

    def live(self) -> list[Member]:
        """Return the live daemons, this one included."""

    def has_majority(self) -> bool:
        """Tell whether more than half of the listed entry VMs are live."""


class _Peer(NamedTuple):
    version: int
    address: str
    heard: float


class _Pending(NamedTuple):
    entry: LogEntry
    tries: int
    due: float


class Spread:
    """Versions of the peers as last told, and what was sent to them.

    Parameters
    ----------
    rng
        Chooses the peers that are told.
    """

    def __init__(self, rng: random.Random) -> None:
        self.members: MembershipView | None = None
        self._rng = rng
        self._peers: dict[str, _Peer] = {}
        self._sent: dict[tuple[type[Message], str, int], float] = {}
        self._seq = 0
        self._pending: _Pending | None = None
        self._watched = 0
        self._watch_until = self._next_watch = self._next_prune = float("-inf")

    def others(self) -> list[Member]:
        """Return the live daemons without this one."""
        view = self.members
        return [item for item in view.live() if item.node != view.node] if view else []

    def majority(self) -> bool:
        """Tell whether this daemon counts more than half of the listed entry VMs as live."""
        # Without a VM list the membership counts itself as the whole fleet, which proves nothing.
        view = self.members
        return bool(view and any(vm.role == "entry" for vm in view.vms) and view.has_majority())

    def listed(self) -> dict[str, str]:
        """Return the peer address of each entry VM in the VM list, by VM."""
        vms = self.members.vms if self.members else ()
        return {vm.vm_id: vm.peer_address for vm in vms if vm.role == "entry"}

    def vm_id(self) -> str:
        """Return this daemon's VM."""
        return vm_of(self.members.node) if self.members else ""

    def heard(self, node: str, address: str, version: int, now: float) -> None:
        """Note the version that a peer told."""
        known = self._peers.get(node)
        if known is None or version >= known.version:  # a late message must not set it back
            self._peers[node] = _Peer(version, address, now)

    def ahead(self, version: int, now: float) -> list[str]:
        """Return the addresses of peers that recently told a higher version."""
        return [
            peer.address
            for peer in self._peers.values()
            if peer.version > version and now - peer.heard <= PRUNE_S
        ]

    def version_of(self, node: str) -> int:
        """Return the version that a peer told last, 0 when it told none."""
        known = self._peers.get(node)
        return known.version if known else 0

    # ---- sending --------------------------------------------------------------------------------

    def query(self, address: str, now: float, emit: Emit) -> None:
        """Ask a peer for its version."""
        self._seq += 1
        emit(SendPeer(address, ConfigQuery(self._seq)))

    def note(self, address: str, msg: Message, now: float) -> None:
        """Remember when a message was sent whose answer tells a freshness."""
        if isinstance(msg, Ping | ConfigQuery) or (isinstance(msg, ConfigPush) and msg.seq):
            kind = Ping if isinstance(msg, Ping) else ConfigQuery
            self._sent[kind, address, msg.seq] = now

    def asked_at(self, kind: type[Message], address: str, seq: int, now: float) -> float | None:
        """Return when the message was sent that this answer belongs to, None if unknown."""
        sent = self._sent.get((kind, address, seq))
        return sent if sent is not None and now - sent <= ANSWER_MAX_S else None

    def push_all(self, entry: LogEntry, now: float, emit: Emit) -> None:
        """Push an accepted change to every live peer and expect confirmations."""
        self._pending = _Pending(entry, 1, now + CONFIRM_S)
        self._push(self.others(), entry, emit)

    def push_some(self, entries: Sequence[LogEntry], sender: str, emit: Emit) -> None:
        """Push changes to a few random peers."""
        peers = [item for item in self.others() if item.node != sender]
        for item in self._rng.sample(peers, min(PUSH_PEERS, len(peers))):
            if self.version_of(item.node) < entries[-1].version:
                emit(SendPeer(item.peer_address, ConfigPush(tuple(entries))))

    def _push(self, members: Sequence[Member], entry: LogEntry, emit: Emit) -> None:
        self._seq += 1
        for item in members:
            emit(SendPeer(item.peer_address, ConfigPush((entry,), self._seq)))

    # ---- what operators wait for ----------------------------------------------------------------

    def watch(self, version: int, now: float) -> None:
        """Keep asking peers that are not known to have the version, for a few seconds."""
        self._watched, self._watch_until = version, now + WATCH_S

    def report(self, version: int, mine: int) -> dict[str, object]:
        """Return where a version is in force, where it is missing and who cannot be asked."""
        view = self.members
        assert view is not None
        in_force, missing = [], []
        for item in view.live():
            known = mine if item.node == view.node else self.version_of(item.node)
            vm_id = vm_of(item.node)
            if known >= version:
                in_force.append(vm_id)
            else:
                missing.append({"vm_id": vm_id, "version": known})
        live = {vm_of(item.node) for item in view.live()}
        listed = {vm.vm_id for vm in view.vms if vm.role == "entry"}
        return {
            "version": version,
            "in_force": in_force,
            "missing": missing,
            "not_live": sorted(listed - live),
        }

    def tick(self, now: float, emit: Emit) -> None:
        """Push again, ask for versions and forget old records when due."""
        pending = self._pending
        if pending is not None and now >= pending.due:
            version = pending.entry.version
            late = [item for item in self.others() if self.version_of(item.node) < version]
            self._push(late, pending.entry, emit)
            again = pending._replace(tries=pending.tries + 1, due=now + CONFIRM_S)
            self._pending = again if late and pending.tries < CONFIRM_TRIES else None
        if self._next_watch <= now <= self._watch_until:
            self._next_watch = now + WATCH_INTERVAL_S
            for item in self.others():
                if self.version_of(item.node) < self._watched:
                    self.query(item.peer_address, now, emit)
        if now >= self._next_prune:
            self._next_prune = now + PRUNE_S
            live = {item.node for item in self.others()}
            self._peers = {
                node: peer
                for node, peer in self._peers.items()
                if node in live or now - peer.heard <= PRUNE_S
            }
            self._sent = {key: at for key, at in self._sent.items() if now - at <= ANSWER_MAX_S}
