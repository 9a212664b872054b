"""Versions of the peers, and the messages that propagate a change to them."""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from lovageway.events import Emit, SendPeer
from lovageway.messages import ConfigPush, ConfigQuery, LogEntry, Member, Message, Ping
from lovageway.model import Vm, vm_of

# Peers to which a daemon sends a change that the daemon which accepted it did not push to it.
GOSSIP_PEERS = 4
PUSH_RETRY_S = 0.5  # until a change is pushed again to peers that have not confirmed it
MAX_PUSH_RETRIES = 4
WATCH_DURATION_S = 5.0  # peers are queried for this time after an operator's request
WATCH_INTERVAL_S = 0.25
MAX_ANSWER_DELAY_S = 5.0  # later answers to a query are not used
# Age up to which a reported version makes its peer a source, and up to which versions of peers that
# are not live are kept; also the interval of pruning.
PEER_RECORD_MAX_AGE_S = 10.0


class MembershipView(Protocol):
    """Membership as the configuration uses it."""

    node: str
    vms: tuple[Vm, ...]

    def live(self) -> list[Member]:
        """Return the live daemons, including this one."""

    def has_majority(self) -> bool:
        """Return whether more than half of the listed entry VMs are live."""


class _Peer(NamedTuple):
    version: int
    address: str
    received_at: float


class _Pending(NamedTuple):
    entry: LogEntry
    next_retry: int  # number of the next repetition, from 1
    retry_at: float


class Spread:
    """Versions last reported by the peers, and the messages sent to them.

    Parameters
    ----------
    rng
        Chooses the peers to gossip with.
    """

    def __init__(self, rng: random.Random) -> None:
        self.members: MembershipView | None = None
        self._rng = rng
        self._peers: dict[str, _Peer] = {}
        self._sent: dict[tuple[type[Message], str, int], float] = {}
        self._seq = 0
        self._pending: _Pending | None = None
        self._watched_version = 0
        self._watch_until = self._next_watch = self._next_prune = float("-inf")

    def peers(self) -> list[Member]:
        """Return the live daemons except this one."""
        view = self.members
        return [item for item in view.live() if item.node != view.node] if view else []

    def has_majority(self) -> bool:
        """Return whether this daemon considers more than half of the listed entry VMs live."""
        # Without a VM list, the membership counts this daemon as the entire fleet, which is no
        # evidence of a majority.
        view = self.members
        return bool(view and any(vm.role == "entry" for vm in view.vms) and view.has_majority())

    def listed_addresses(self) -> dict[str, str]:
        """Return the peer address of each entry VM in the VM list, by VM id."""
        vms = self.members.vms if self.members else ()
        return {vm.vm_id: vm.peer_address for vm in vms if vm.role == "entry"}

    def own_vm_id(self) -> str:
        """Return the id of this daemon's VM."""
        return vm_of(self.members.node) if self.members else ""

    def record_version(self, node: str, address: str, version: int, now: float) -> None:
        """Record the version that a peer reported."""
        known = self._peers.get(node)
        if known is None or version >= known.version:  # a delayed message must not lower it
            self._peers[node] = _Peer(version, address, now)

    def addresses_ahead(self, version: int, now: float) -> list[str]:
        """Return the addresses of peers that recently reported a higher version."""
        return [
            peer.address
            for peer in self._peers.values()
            if peer.version > version and now - peer.received_at <= PEER_RECORD_MAX_AGE_S
        ]

    def version_of(self, node: str) -> int:
        """Return the version that a peer last reported, 0 if none."""
        known = self._peers.get(node)
        return known.version if known else 0

    # ---- sending --------------------------------------------------------------------------------

    def query(self, address: str, now: float, emit: Emit) -> None:
        """Query a peer for its version."""
        self._seq += 1
        emit(SendPeer(address, ConfigQuery(self._seq)))

    def record_sent(self, address: str, msg: Message, now: float) -> None:
        """Record when a message was sent, if its answer reports a freshness."""
        if isinstance(msg, Ping | ConfigQuery) or (isinstance(msg, ConfigPush) and msg.seq):
            kind = Ping if isinstance(msg, Ping) else ConfigQuery
            self._sent[kind, address, msg.seq] = now

    def sent_at(self, kind: type[Message], address: str, seq: int, now: float) -> float | None:
        """Return when the message that this answer belongs to was sent, None if unknown."""
        sent = self._sent.get((kind, address, seq))
        return sent if sent is not None and now - sent <= MAX_ANSWER_DELAY_S else None

    def push_all(self, entry: LogEntry, now: float, emit: Emit) -> None:
        """Push an accepted change to every live peer, and again to those that do not confirm it."""
        self._pending = _Pending(entry, 1, now + PUSH_RETRY_S)
        self._push(self.peers(), entry, emit)

    def gossip(self, entries: Sequence[LogEntry], sender: str, emit: Emit) -> None:
        """Push changes to a few random peers that are not known to have them."""
        peers = [item for item in self.peers() if item.node != sender]
        for item in self._rng.sample(peers, min(GOSSIP_PEERS, len(peers))):
            if self.version_of(item.node) < entries[-1].version:
                emit(SendPeer(item.peer_address, ConfigPush(tuple(entries))))

    def _push(self, members: Sequence[Member], entry: LogEntry, emit: Emit) -> None:
        self._seq += 1
        for item in members:
            emit(SendPeer(item.peer_address, ConfigPush((entry,), self._seq)))

    # ---- propagation as operators see it --------------------------------------------------------

    def watch(self, version: int, now: float) -> None:
        """Query peers that are not known to have the version, for `WATCH_DURATION_S`."""
        self._watched_version, self._watch_until = version, now + WATCH_DURATION_S

    def report(self, version: int, own_version: int) -> dict[str, object]:
        """Return where a version is in force, where it is missing and which VMs are not live."""
        view = self.members
        assert view is not None
        in_force, missing = [], []
        for item in view.live():
            known = own_version if item.node == view.node else self.version_of(item.node)
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
        """Push again, query versions and prune old records, as they become due."""
        pending = self._pending
        if pending is not None and now >= pending.retry_at:
            version = pending.entry.version
            unconfirmed = [item for item in self.peers() if self.version_of(item.node) < version]
            self._push(unconfirmed, pending.entry, emit)
            rescheduled = pending._replace(
                next_retry=pending.next_retry + 1, retry_at=now + PUSH_RETRY_S
            )
            self._pending = (
                rescheduled if unconfirmed and pending.next_retry < MAX_PUSH_RETRIES else None
            )
        if self._next_watch <= now <= self._watch_until:
            self._next_watch = now + WATCH_INTERVAL_S
            for item in self.peers():
                if self.version_of(item.node) < self._watched_version:
                    self.query(item.peer_address, now, emit)
        if now >= self._next_prune:
            self._next_prune = now + PEER_RECORD_MAX_AGE_S
            live = {item.node for item in self.peers()}
            self._peers = {
                node: peer
                for node, peer in self._peers.items()
                if node in live or now - peer.received_at <= PEER_RECORD_MAX_AGE_S
            }
            self._sent = {
                key: at for key, at in self._sent.items() if now - at <= MAX_ANSWER_DELAY_S
            }
