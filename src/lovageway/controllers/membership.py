"""Which daemons are live: the platform's VM list and the daemons' own pings."""

import hashlib
import random
from collections.abc import Callable

from lovageway.controllers.base import Controller
from lovageway.events import Emit, ReadVmList, SendPeer
from lovageway.messages import Ack, Member, Message, Ping
from lovageway.model import Identity, Vm

VM_LIST_INTERVAL_S = 2.0
PING_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 3.0


class Membership(Controller):
    """Daemons and VMs as this daemon knows them.

    Parameters
    ----------
    identity
        This daemon.
    rng
        Source of the ping order.
    status
        Returns version and freshness (seconds, -1: unknown) of the configuration; rides on pings.
    """

    def __init__(
        self, identity: Identity, rng: random.Random, status: Callable[[float], tuple[int, float]]
    ) -> None:
        self.identity = identity
        self.node = f"{identity.vm_id}/{identity.start_id}"
        self.vms: tuple[Vm, ...] = ()
        self._rng = rng
        self._status = status
        self._heard: dict[str, tuple[Member, float]] = {}
        self._next_list = 0.0
        self._next_ping = 0.0
        self._seq = 0

    def me(self) -> Member:
        """Return this daemon's own entry."""
        ident = self.identity
        return Member(self.node, ident.address, ident.peer_address, ident.zone, 0, "live")

    def live(self) -> list[Member]:
        """Return the live daemons, this one included, ordered by node id."""
        others = [member for member, _ in self._heard.values()]
        return sorted([self.me(), *others])

    def has_majority(self) -> bool:
        """Tell whether more than half of the listed entry VMs are live."""
        listed = {vm.vm_id for vm in self.vms if vm.role == "entry"} | {self.identity.vm_id}
        live = {member.node.partition("/")[0] for member in self.live()}
        return 2 * len(listed & live) > len(listed)

    def owner(self, resource: str) -> str:
        """Return the node id of the daemon that owns a shared resource."""
        nodes = [member.node for member in self.live() if member.state == "live"] or [self.node]
        return max(nodes, key=lambda node: rendezvous_weight(node, resource))

    def peer_address(self, node: str) -> str | None:
        """Return the peer address of a live daemon, None when it is not live."""
        return next((item.peer_address for item in self.live() if item.node == node), None)

    def on_vm_list(self, vms: tuple[Vm, ...]) -> None:
        """Take the VM list as read."""
        self.vms = vms

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Note that the sender is live and answer its pings."""
        if isinstance(msg, Ping | Ack):
            for member in msg.members:
                if member.node == sender:
                    self._heard[sender] = (member, now)
        if isinstance(msg, Ping):
            emit(SendPeer(address, Ack(msg.seq, *self._status(now), (self.me(),))))

    def tick(self, now: float, emit: Emit) -> None:
        """Read the VM list, ping the daemons in it and forget silent ones."""
        if now >= self._next_list:
            self._next_list = now + VM_LIST_INTERVAL_S
            emit(ReadVmList())
        if now >= self._next_ping:
            self._next_ping = now + PING_INTERVAL_S
            self._seq += 1
            for vm in self.vms:
                if vm.role == "entry" and vm.vm_id != self.identity.vm_id:
                    emit(
                        SendPeer(vm.peer_address, Ping(self._seq, *self._status(now), (self.me(),)))
                    )
        silent = [node for node, (_, at) in self._heard.items() if now - at > PEER_TIMEOUT_S]
        for node in silent:
            del self._heard[node]

    def dump(self, now: float) -> dict[str, object]:
        """Return live daemons and the VM list."""
        return {
            "node": self.node,
            "majority": self.has_majority(),
            "live": [member._asdict() for member in self.live()],
            "vms": [vm._asdict() for vm in self.vms],
        }


def rendezvous_weight(node: str, resource: str) -> bytes:
    """Return the weight of a node for a resource; the highest weight owns it."""
    return hashlib.blake2b(f"{node}|{resource}".encode(), digest_size=8).digest()
