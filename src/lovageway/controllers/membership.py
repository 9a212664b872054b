"""Which daemons are live: SWIM probing, seeded by the platform's VM list and by addresses.

Other controllers rely on `live`, `has_majority`, `owner`, `peer_address`, `vms` and `epoch`. All of
them answer from caches that are dropped when an entry changes, so they may be called for each
request.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from lovageway.controllers._contacts import CONTACT_INTERVAL_S, Contacts
from lovageway.controllers._sample import SAMPLE_S, ContactSample
from lovageway.controllers._swim import (
    DEAD,
    LEAVING,
    LIVE,
    SUSPECT,
    MemberTable,
    order,
    well_formed,
)
from lovageway.controllers._view import View, rendezvous_weight
from lovageway.controllers.base import Controller
from lovageway.events import Count, Emit, ReadVmList, SendPeer, StateChanged
from lovageway.messages import Ack, Leaving, Member, MemberPull, Members, Message, Ping, PingRequest
from lovageway.model import Identity, Vm, vm_of

__all__ = ["Membership", "rendezvous_weight"]

PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 0.5  # then others are asked to ping
PROBE_TIMEOUT_S = 1.0  # then the peer is suspect
INDIRECT_PEERS = 2
# A refutation races against the suspicion, so it does not wait for the next regular pings.
REFUTE_PEERS = 4
REFUTE_INTERVAL_S = 0.5
# A daemon that hears nobody for 2 s stops granting shares. Two consecutive pings that go to one
# dead daemon leave 3 s without an answer, so a daemon in a quiet spell pings others as well.
QUIET_S = 1.2  # longer than the interval of pings that are answered
QUIET_PING_INTERVAL_S = 0.2
QUIET_PEERS = 2  # with one, a zone outage still left some of the other zones' daemons in silence
SUSPECTS_TO_SAMPLE = 3  # at the same time; one or two are more probably dead than out of reach
VM_LIST_MIN_INTERVAL_S = 2.0
VM_LIST_READS_PER_S = 20.0  # of the whole fleet
PULL_MIN_INTERVAL_S = 30.0
PULL_RETRY_S = 1.0
PAGE = 64  # entries of a message that are looked at; pages of a full answer have as many
MAX_MEMBERS = 4096  # ten times the target size; bounds what a faulty peer can make us store
MAX_RELAYS = 64
FORGET_INTERVAL_S = 10.0
# A restarted daemon meets the entry of its earlier start within seconds. A daemon older than this
# that meets a live successor was itself paused and replaced.
YOUNG_S = 60.0
# Ticks come every 0.05 s. After a longer gap this process was paused, and answers and refutations
# that arrived meanwhile have not been read yet.
PAUSE_S = 0.5


class _Probe(NamedTuple):
    seq: int
    vm_id: str
    node: str
    sent_at: float
    indirect: bool = False


class _Relay(NamedTuple):
    address: str
    seq: int
    until: float


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
    seeds
        Peer addresses to contact while the VM list does not help.
    """

    def __init__(
        self,
        identity: Identity,
        rng: random.Random,
        status: Callable[[float], tuple[int, float]],
        seeds: Sequence[str] = (),
    ) -> None:
        self.identity = identity
        self.node = f"{identity.vm_id}/{identity.start_id}"
        self.vms: tuple[Vm, ...] = ()
        self._listed: dict[str, Vm] = {}
        self._list_read_at: float | None = None
        self._me = Member(
            self.node, identity.address, identity.peer_address, identity.zone, 0, LIVE
        )
        self._superseded = False
        self._table = MemberTable()
        self._rng = rng
        self._status = status
        self._contacts = Contacts(seeds, rng)
        self._started: float | None = None
        self._last_tick = 0.0
        self._heard_at = 0.0
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._sample = ContactSample(self._ping_vm, rng)
        self._relays: dict[int, _Relay] = {}
        self._synced = False
        self._seq = 0
        self._next = dict.fromkeys(
            ("list", "ping", "contact", "pull", "forget", "refute", "quiet", "sample"), 0.0
        )
        self._own_epoch = 0
        self._viewed_epoch = -1
        self._view = View(self._me, (), ())

    # ---- what other controllers ask --------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """Number that rises whenever an entry, the VM list or this daemon's own state changes."""
        return self._table.epoch + self._own_epoch

    def me(self) -> Member:
        """Return this daemon's own entry."""
        return self._me

    def live(self) -> list[Member]:
        """Return the daemons not known to be dead, this one included, ordered by node id.

        Suspect and leaving ones are among them; `Member.state` tells.
        """
        return list(self._current().live)

    def has_majority(self) -> bool:
        """Tell whether more than half of the listed entry VMs are live and can be reached."""
        cut_off = self._superseded or self._sample.cut_off
        return not cut_off and self._current().majority

    def owner(self, resource: str) -> str:
        """Return the node id of the daemon that owns a shared resource; a leaving one owns none."""
        return self._current().owner(resource)

    def peer_address(self, node: str) -> str | None:
        """Return the peer address of a live daemon, None when it is not live."""
        if node == self.node:
            return self._me.peer_address
        member = self._table.get(vm_of(node))
        alive = member is not None and member.node == node and member.state != DEAD
        return member.peer_address if member is not None and alive else None

    def listed_leaving(self, node: str) -> bool:
        """Tell whether the VM list marks the daemon's VM as leaving."""
        vm = self._listed.get(vm_of(node))
        return vm is not None and vm.state == LEAVING

    def dump(self, now: float) -> dict[str, object]:
        """Return live daemons, dead ones that are still remembered and the VM list."""
        age = None if self._list_read_at is None else now - self._list_read_at
        return {
            "node": self.node,
            "incarnation": self._me.incarnation,
            "state": self._me.state,
            "superseded": self._superseded,
            "majority": self.has_majority(),
            "cut_off": self._sample.cut_off,
            "live": [member._asdict() for member in self.live()],
            "dead": sorted(member.node for member in self._table if member.state == DEAD),
            "vm_list_age_s": age,
            "vms": [vm._asdict() for vm in self.vms],
        }

    def _current(self) -> View:
        if self._viewed_epoch != self.epoch:
            self._viewed_epoch = self.epoch
            self._view = View(self._me, self._table, self._listed)
        return self._view

    # ---- events ----------------------------------------------------------------------------------

    def on_vm_list(self, vms: tuple[Vm, ...], now: float = 0.0) -> None:
        """Take the VM list as read."""
        self._list_read_at = now
        if vms == self.vms:
            return
        self.vms = vms
        self._listed = {vm.vm_id: vm for vm in vms if vm.role == "entry"}
        self._contacts.set_listed({vm_id: vm.peer_address for vm_id, vm in self._listed.items()})
        self._own_epoch += 1

    def leave(self, now: float, emit: Emit) -> None:
        """Tell every peer that this daemon's planned stop has begun."""
        self._bump(self._me.incarnation, LEAVING)
        emit(StateChanged("leaving", {"node": self.node}))
        for member in self._live_peers():
            emit(SendPeer(member.peer_address, Leaving(self._me)))

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Take over what the sender knows and answer it."""
        self._heard_at = now
        match msg:
            case Ping(seq, _, _, members):
                self._merge_all(members, now, emit)
                emit(SendPeer(address, Ack(seq, *self._status(now), self._news(sender))))
            case Ack(seq, _, _, members):
                self._merge_all(members, now, emit)
                self._on_ack(sender, address, seq, now, emit)
            case PingRequest(seq, target):
                self._on_request(address, seq, target, now, emit)
            case Leaving(member) if member.node == sender and member.state == LEAVING:
                self._merge_all((member,), now, emit)
            case MemberPull():
                self._answer_pull(address, emit)
            case Members(members):
                self._synced = True
                self._merge_all(members, now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Read the VM list, probe, contact and forget when due."""
        if self._started is None:
            self._started = self._last_tick = now
        self._notice_pause(now)
        if self._due("list", now, self._list_interval()):
            emit(ReadVmList())
        self._conclude_probe(now, emit)
        self._sample.tick(self._current(), now, emit)
        # Its own pings may all have gone to its own side of a partition.
        if self._table.suspicions() >= SUSPECTS_TO_SAMPLE and self._due("sample", now, SAMPLE_S):
            self._sample.begin(self._current(), now, emit)
        for member in self._table.expire(now):
            self._changed(member, emit)
        if self._due("ping", now, PING_INTERVAL_S):
            self._start_probe(now, emit)
        elif now - self._heard_at >= QUIET_S and self._due("quiet", now, QUIET_PING_INTERVAL_S):
            self._break_silence(now, emit)
        if self._due("contact", now, CONTACT_INTERVAL_S):
            self._contact(now, emit)
        if self._synced and self._due("pull", now, self._pull_interval()):
            self._pull(emit)
        if self._due("forget", now, FORGET_INTERVAL_S):
            self._table.forget(self._listed, now)
            self._relays = {seq: item for seq, item in self._relays.items() if now < item.until}

    def _due(self, name: str, now: float, interval_s: float) -> bool:
        if now < self._next[name]:
            return False
        self._next[name] = now + interval_s
        return True

    def _list_interval(self) -> float:
        interval = max(VM_LIST_MIN_INTERVAL_S, len(self._listed) / VM_LIST_READS_PER_S)
        return interval * self._rng.uniform(0.9, 1.1)

    def _pull_interval(self) -> float:
        # A full answer has about 75 B for each member, so this is at most 150 B/s at any size.
        return max(PULL_MIN_INTERVAL_S, len(self._table) / 2) * self._rng.uniform(0.9, 1.1)

    def _notice_pause(self, now: float) -> None:
        pause = now - self._last_tick
        self._last_tick = now
        if pause > PAUSE_S:
            self._table.postpone(pause)
            self._sample.postpone(pause)
            if self._probe is not None:
                self._probe = self._probe._replace(sent_at=self._probe.sent_at + pause)

    # ---- entries ---------------------------------------------------------------------------------

    def _merge_all(self, members: Sequence[Member], now: float, emit: Emit) -> None:
        for member in members[:PAGE]:
            if not well_formed(member):
                emit(Count("member_entries_rejected"))
            elif vm_of(member.node) == self.identity.vm_id:
                self._on_own(member, now, emit)
            elif self._table.get(vm_of(member.node)) is None and len(self._table) >= MAX_MEMBERS:
                emit(Count("member_entries_rejected"))
            else:
                replaced = self._table.merge(member, now)
                if replaced is not None and (
                    replaced is member
                    or (replaced.node, replaced.state) != (member.node, member.state)
                ):
                    self._changed(member, emit)
        if len(members) > PAGE:
            emit(Count("member_entries_rejected", (), len(members) - PAGE))

    def _on_own(self, member: Member, now: float, emit: Emit) -> None:
        """Refute a wrong entry of this VM, or yield to the process that has replaced this one."""
        if member == self._me or member.incarnation < self._me.incarnation:
            return
        if member.node != self.node:
            if order(member) < order(self._me):
                return
            young = self._started is None or now - self._started < YOUNG_S
            if member.state != DEAD and not young:
                if not self._superseded:
                    self._superseded = True
                    self._own_epoch += 1
                    emit(StateChanged("superseded", {"by": member.node}))
                return
            self._superseded = False
        emit(Count("refutations"))
        self._bump(member.incarnation, self._me.state)
        if self._due("refute", now, REFUTE_INTERVAL_S):
            peers = self._live_peers()
            for peer in self._rng.sample(peers, min(REFUTE_PEERS, len(peers))):
                self._ping(peer.peer_address, peer.node, now, emit)

    def _bump(self, incarnation: int, state: str) -> None:
        self._me = self._me._replace(incarnation=incarnation + 1, state=state)
        self._own_epoch += 1

    def _changed(self, member: Member, emit: Emit) -> None:
        emit(Count("member_changes", (member.state,)))
        if member.state != "suspect":
            emit(StateChanged(f"member_{member.state}", {"node": member.node}))

    def _news(self, about: str) -> tuple[Member, ...]:
        """Return the entries for a message: own, the receiver's if it is not live, updates."""
        held = self._table.get(vm_of(about)) if about else None
        doubted = (held,) if held is not None and (held.node, held.state) != (about, LIVE) else ()
        return (self._me, *doubted, *self._table.updates())

    # ---- probing ---------------------------------------------------------------------------------

    def _live_peers(self) -> list[Member]:
        return [member for member in self._current().live if member.node != self.node]

    def _ping(self, address: str, about: str, now: float, emit: Emit) -> int:
        self._seq += 1
        emit(SendPeer(address, Ping(self._seq, *self._status(now), self._news(about))))
        return self._seq

    def _start_probe(self, now: float, emit: Emit) -> None:
        target = self._next_target()
        if target is not None:
            seq = self._ping(target.peer_address, target.node, now, emit)
            self._probe = _Probe(seq, vm_of(target.node), target.node, now)

    def _break_silence(self, now: float, emit: Emit) -> None:
        """Ping more peers, so that silence means that this daemon is cut off."""
        probed = self._probe.node if self._probe is not None else ""
        others = [item for item in self._live_peers() if item.node != probed]
        trusted = [item for item in others if item.state != SUSPECT] or others
        for target in self._rng.sample(trusted, min(QUIET_PEERS, len(trusted))):
            self._ping(target.peer_address, target.node, now, emit)

    def _next_target(self) -> Member | None:
        """Return the next peer of a shuffled round, so that each is probed once a round."""
        for _ in range(2):
            while self._round:
                member = self._table.get(self._round.pop())
                if member is not None and member.state != DEAD:
                    return member
            self._round = [vm_of(member.node) for member in self._live_peers()]
            self._rng.shuffle(self._round)
        return None

    def _conclude_probe(self, now: float, emit: Emit) -> None:
        probe = self._probe
        if probe is None:
            return
        if now - probe.sent_at >= PROBE_TIMEOUT_S:
            self._probe = None
            self._fail(probe, now, emit)
        elif not probe.indirect and now - probe.sent_at >= PING_TIMEOUT_S:
            self._probe = probe._replace(indirect=True)
            self._sample.begin(self._current(), now, emit)
            target = self.peer_address(probe.node)
            helpers = [item for item in self._live_peers() if item.node != probe.node]
            if target is not None:
                for helper in self._rng.sample(helpers, min(INDIRECT_PEERS, len(helpers))):
                    emit(SendPeer(helper.peer_address, PingRequest(probe.seq, target)))

    def _ping_vm(self, vm_id: str, now: float, emit: Emit) -> int | None:
        member = self._table.get(vm_id)
        return self._ping(member.peer_address, member.node, now, emit) if member else None

    def _fail(self, probe: _Probe, now: float, emit: Emit) -> None:
        member = self._table.get(probe.vm_id)
        if member is not None and member.node == probe.node:
            self._table.suspect(probe.vm_id, now)
            suspected = self._table.get(probe.vm_id)
            if suspected is not None and suspected.state != member.state:
                self._changed(suspected, emit)
            # The suspect learns of it first, so that a process that only stalled refutes in time.
            self._ping(member.peer_address, member.node, now, emit)

    def _on_request(self, address: str, seq: int, target: str, now: float, emit: Emit) -> None:
        found = next((item for item in self._live_peers() if item.peer_address == target), None)
        if found is None or len(self._relays) >= MAX_RELAYS:
            return
        own = self._ping(target, found.node, now, emit)
        self._relays[own] = _Relay(address, seq, now + PROBE_TIMEOUT_S)

    def _on_ack(self, sender: str, address: str, seq: int, now: float, emit: Emit) -> None:
        self._sample.answered(seq)
        relay = self._relays.pop(seq, None)
        if relay is not None and now < relay.until:
            news = self._news(sender)
            emit(SendPeer(relay.address, Ack(relay.seq, *self._status(now), news)))
        if self._probe is not None and self._probe.seq == seq:
            self._table.answered(self._probe.vm_id)
            self._probe = None
        if not self._synced and self._due("pull", now, PULL_RETRY_S):
            emit(SendPeer(address, MemberPull()))

    # ---- joining ---------------------------------------------------------------------------------

    def _contact(self, now: float, emit: Emit) -> None:
        """Ping listed VMs and seeds that are not live, so that partitioned regions rejoin."""
        live = {member.peer_address for member in self._current().live}
        for address, vm_id in self._contacts.due(live, now):
            held = self._table.get(vm_id)
            self._ping(address, held.node if held else "", now, emit)

    def _pull(self, emit: Emit) -> None:
        peers = self._live_peers()
        if peers:
            emit(SendPeer(self._rng.choice(peers).peer_address, MemberPull()))

    def _answer_pull(self, address: str, emit: Emit) -> None:
        # Dead entries stay out: after a partition each side would otherwise declare the other's
        # members dead to those members' own neighbours.
        live = self._current().live
        for start in range(0, len(live), PAGE):
            emit(SendPeer(address, Members(live[start : start + PAGE])))
