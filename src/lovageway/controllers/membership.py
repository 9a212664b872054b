"""Membership of the fleet: SWIM probing, seeded by the platform's VM list and by seed addresses.

Other controllers use `live`, `has_majority`, `owner`, `peer_address`, `vms` and `epoch`. Their
results are cached until an entry changes, so they may be called for each request.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from lovageway.controllers._join_targets import JOIN_INTERVAL_S, JoinTargets
from lovageway.controllers._partition_check import CHECK_TIMEOUT_S, PartitionCheck
from lovageway.controllers._swim import (
    DEAD,
    LEAVING,
    LIVE,
    SUSPECT,
    MemberTable,
    is_well_formed,
    precedence,
)
from lovageway.controllers._view import View, rendezvous_weight
from lovageway.controllers.base import Controller
from lovageway.events import Count, Emit, ReadVmList, SendPeer, StateChanged
from lovageway.messages import Ack, Leaving, Member, MemberPull, Members, Message, Ping, PingRequest
from lovageway.model import Identity, Vm, vm_of

__all__ = ["Membership", "rendezvous_weight"]

PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 0.5  # until other peers are requested to ping the target
PROBE_TIMEOUT_S = 1.0  # until the target is suspected
INDIRECT_PEERS = 2  # peers requested to ping the target
# A refutation has to arrive before the suspicion expires, so it does not wait for regular pings.
REFUTE_PEERS = 4
REFUTE_INTERVAL_S = 0.5
# A daemon that receives no message for 2 s stops granting shares. Two consecutive pings to a dead
# daemon leave 3 s without an answer, so after this silence a daemon pings additional peers.
MAX_SILENCE_S = 1.2  # longer than the interval between answered pings
SILENCE_PING_INTERVAL_S = 0.2
# With one additional peer, a zone outage still left some daemons of other zones without messages.
SILENCE_PING_PEERS = 2
# Simultaneous suspects that start a partition check; one or two are more probably dead than
# unreachable.
MIN_SUSPECTS_TO_CHECK = 3
MIN_VM_LIST_INTERVAL_S = 2.0
VM_LIST_READS_PER_S = 20.0  # by the entire fleet
MIN_PULL_INTERVAL_S = 30.0
PULL_RETRY_S = 1.0
MAX_ENTRIES = 64  # accepted from one message, and sent in each page of a full answer
MAX_MEMBERS = 4096  # ten times the target size; bounds the entries a faulty peer can add
MAX_RELAYS = 64
FORGET_INTERVAL_S = 10.0
# A restarted daemon receives the entry of its previous start within seconds. A daemon that has run
# for longer than this and meets a live successor on its VM was itself paused and replaced.
MIN_SUPERSEDED_AGE_S = 60.0
# Ticks come every 0.05 s. A longer gap means that this process was paused and has not yet read the
# answers and refutations that arrived during the pause.
MIN_PAUSE_S = 0.5


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
    """Live daemons and VMs, from the point of view of this daemon.

    Parameters
    ----------
    identity
        Identity of this daemon.
    rng
        Chooses the peers to ping and adds jitter to intervals.
    status
        Returns version and freshness (seconds, -1: unknown) of the configuration at a time; both
        are sent with each ping and its answer.
    seeds
        Peer addresses to contact in addition to those in the VM list.
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
        self._own_entry = Member(
            self.node, identity.address, identity.peer_address, identity.zone, 0, LIVE
        )
        self._superseded = False
        self._table = MemberTable()
        self._rng = rng
        self._status = status
        self._join_targets = JoinTargets(seeds, rng)
        self._started_at: float | None = None
        self._last_tick = 0.0
        self._received_at = 0.0
        self._probe_round: list[str] = []
        self._probe: _Probe | None = None
        self._partition_check = PartitionCheck(self._ping_vm, rng)
        self._relays: dict[int, _Relay] = {}
        self._synced = False
        self._seq = 0
        self._next_run_at = dict.fromkeys(
            ("list", "ping", "contact", "pull", "forget", "refute", "quiet", "sample"), 0.0
        )
        self._own_epoch = 0
        self._view_epoch = -1
        self._view = View(self._own_entry, (), ())

    # ---- queries of other controllers ------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """Number that rises whenever an entry, the VM list or this daemon's own state changes."""
        return self._table.epoch + self._own_epoch

    def own_entry(self) -> Member:
        """Return this daemon's own entry."""
        return self._own_entry

    def live(self) -> list[Member]:
        """Return the daemons not known to be dead, including this one, ordered by node id.

        Suspected and leaving daemons are included, with the respective `Member.state`.
        """
        return list(self._current_view().live)

    def has_majority(self) -> bool:
        """Return whether more than half of the listed entry VMs are live and reachable."""
        cut_off = self._superseded or self._partition_check.cut_off
        return not cut_off and self._current_view().majority

    def owner(self, resource: str) -> str:
        """Return the node id of the owner of a shared resource; leaving daemons own none."""
        return self._current_view().owner(resource)

    def peer_address(self, node: str) -> str | None:
        """Return the peer address of a live daemon, None when it is not live."""
        if node == self.node:
            return self._own_entry.peer_address
        member = self._table.get(vm_of(node))
        alive = member is not None and member.node == node and member.state != DEAD
        return member.peer_address if member is not None and alive else None

    def is_listed_as_leaving(self, node: str) -> bool:
        """Return whether the VM list marks the daemon's VM as leaving."""
        vm = self._listed.get(vm_of(node))
        return vm is not None and vm.state == LEAVING

    def dump(self, now: float) -> dict[str, object]:
        """Return live daemons, dead ones not yet removed and the VM list."""
        age = None if self._list_read_at is None else now - self._list_read_at
        return {
            "node": self.node,
            "incarnation": self._own_entry.incarnation,
            "state": self._own_entry.state,
            "superseded": self._superseded,
            "majority": self.has_majority(),
            "cut_off": self._partition_check.cut_off,
            "live": [member._asdict() for member in self.live()],
            "dead": sorted(member.node for member in self._table if member.state == DEAD),
            "vm_list_age_s": age,
            "vms": [vm._asdict() for vm in self.vms],
        }

    def _current_view(self) -> View:
        if self._view_epoch != self.epoch:
            self._view_epoch = self.epoch
            self._view = View(self._own_entry, self._table, self._listed)
        return self._view

    # ---- events ----------------------------------------------------------------------------------

    def on_vm_list(self, vms: tuple[Vm, ...], now: float = 0.0) -> None:
        """Process a new reading of the VM list."""
        self._list_read_at = now
        if vms == self.vms:
            return
        self.vms = vms
        self._listed = {vm.vm_id: vm for vm in vms if vm.role == "entry"}
        self._join_targets.set_listed_addresses(
            {vm_id: vm.peer_address for vm_id, vm in self._listed.items()}
        )
        self._own_epoch += 1

    def leave(self, now: float, emit: Emit) -> None:
        """Announce the start of this daemon's drain to all peers."""
        self._raise_incarnation(self._own_entry.incarnation, LEAVING)
        emit(StateChanged("leaving", {"node": self.node}))
        for member in self._live_peers():
            emit(SendPeer(member.peer_address, Leaving(self._own_entry)))

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Merge the entries of a message and answer it."""
        self._received_at = now
        match msg:
            case Ping(seq, _, _, members):
                self._merge_all(members, now, emit)
                emit(SendPeer(address, Ack(seq, *self._status(now), self._entries_for(sender))))
            case Ack(seq, _, _, members):
                self._merge_all(members, now, emit)
                self._on_ack(sender, address, seq, now, emit)
            case PingRequest(seq, target):
                self._on_ping_request(address, seq, target, now, emit)
            case Leaving(member) if member.node == sender and member.state == LEAVING:
                self._merge_all((member,), now, emit)
            case MemberPull():
                self._send_members(address, emit)
            case Members(members):
                self._synced = True
                self._merge_all(members, now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Run the periodic tasks that are due."""
        if self._started_at is None:
            self._started_at = self._last_tick = now
        self._handle_pause(now)
        if self._start_if_due("list", now, self._list_interval_s()):
            emit(ReadVmList())
        self._check_probe(now, emit)
        self._partition_check.tick(self._current_view(), now, emit)
        # All probes of this daemon may have gone to its own side of a partition, so suspicions that
        # others gossip start a check as well.
        if self._table.suspicion_count() >= MIN_SUSPECTS_TO_CHECK and self._start_if_due(
            "sample", now, CHECK_TIMEOUT_S
        ):
            self._partition_check.start(self._current_view(), now, emit)
        for member in self._table.expire(now):
            self._emit_change(member, emit)
        if self._start_if_due("ping", now, PING_INTERVAL_S):
            self._start_probe(now, emit)
        elif now - self._received_at >= MAX_SILENCE_S and self._start_if_due(
            "quiet", now, SILENCE_PING_INTERVAL_S
        ):
            self._ping_more_peers(now, emit)
        if self._start_if_due("contact", now, JOIN_INTERVAL_S):
            self._join(now, emit)
        if self._synced and self._start_if_due("pull", now, self._pull_interval_s()):
            self._request_members(emit)
        if self._start_if_due("forget", now, FORGET_INTERVAL_S):
            self._table.forget(self._listed, now)
            self._relays = {seq: item for seq, item in self._relays.items() if now < item.until}

    def _start_if_due(self, name: str, now: float, interval_s: float) -> bool:
        """Return whether a task is due; if it is, schedule its next run."""
        if now < self._next_run_at[name]:
            return False
        self._next_run_at[name] = now + interval_s
        return True

    def _list_interval_s(self) -> float:
        interval = max(MIN_VM_LIST_INTERVAL_S, len(self._listed) / VM_LIST_READS_PER_S)
        return interval * self._rng.uniform(0.9, 1.1)

    def _pull_interval_s(self) -> float:
        # A full answer has about 75 B for each member, so this is at most 150 B/s at any size.
        return max(MIN_PULL_INTERVAL_S, len(self._table) / 2) * self._rng.uniform(0.9, 1.1)

    def _handle_pause(self, now: float) -> None:
        pause_s = now - self._last_tick
        self._last_tick = now
        if pause_s > MIN_PAUSE_S:
            self._table.extend_deadlines(pause_s)
            self._partition_check.extend_timeout(pause_s)
            if self._probe is not None:
                self._probe = self._probe._replace(sent_at=self._probe.sent_at + pause_s)

    # ---- entries ---------------------------------------------------------------------------------

    def _merge_all(self, members: Sequence[Member], now: float, emit: Emit) -> None:
        for member in members[:MAX_ENTRIES]:
            if not is_well_formed(member):
                emit(Count("member_entries_rejected"))
            elif vm_of(member.node) == self.identity.vm_id:
                self._on_own_entry(member, now, emit)
            elif self._table.get(vm_of(member.node)) is None and len(self._table) >= MAX_MEMBERS:
                emit(Count("member_entries_rejected"))
            else:
                replaced = self._table.merge(member, now)
                if replaced is not None and (
                    replaced is member
                    or (replaced.node, replaced.state) != (member.node, member.state)
                ):
                    self._emit_change(member, emit)
        if len(members) > MAX_ENTRIES:
            emit(Count("member_entries_rejected", (), len(members) - MAX_ENTRIES))

    def _on_own_entry(self, member: Member, now: float, emit: Emit) -> None:
        """Refute a wrong entry of this VM, or record that another process has replaced this one."""
        if member == self._own_entry or member.incarnation < self._own_entry.incarnation:
            return
        if member.node != self.node:
            if precedence(member) < precedence(self._own_entry):
                return
            is_new = self._started_at is None or now - self._started_at < MIN_SUPERSEDED_AGE_S
            if member.state != DEAD and not is_new:
                if not self._superseded:
                    self._superseded = True
                    self._own_epoch += 1
                    emit(StateChanged("superseded", {"by": member.node}))
                return
            self._superseded = False
        emit(Count("refutations"))
        self._raise_incarnation(member.incarnation, self._own_entry.state)
        if self._start_if_due("refute", now, REFUTE_INTERVAL_S):
            peers = self._live_peers()
            for peer in self._rng.sample(peers, min(REFUTE_PEERS, len(peers))):
                self._ping(peer.peer_address, peer.node, now, emit)

    def _raise_incarnation(self, incarnation: int, state: str) -> None:
        self._own_entry = self._own_entry._replace(incarnation=incarnation + 1, state=state)
        self._own_epoch += 1

    def _emit_change(self, member: Member, emit: Emit) -> None:
        emit(Count("member_changes", (member.state,)))
        if member.state != "suspect":
            emit(StateChanged(f"member_{member.state}", {"node": member.node}))

    def _entries_for(self, receiver: str) -> tuple[Member, ...]:
        """Return the entries to send: own, the receiver's if it is not live, and updates."""
        known = self._table.get(vm_of(receiver)) if receiver else None
        differing = (
            (known,) if known is not None and (known.node, known.state) != (receiver, LIVE) else ()
        )
        return (self._own_entry, *differing, *self._table.updates())

    # ---- probing ---------------------------------------------------------------------------------

    def _live_peers(self) -> list[Member]:
        return [member for member in self._current_view().live if member.node != self.node]

    def _ping(self, address: str, receiver: str, now: float, emit: Emit) -> int:
        self._seq += 1
        emit(SendPeer(address, Ping(self._seq, *self._status(now), self._entries_for(receiver))))
        return self._seq

    def _start_probe(self, now: float, emit: Emit) -> None:
        target = self._next_target()
        if target is not None:
            seq = self._ping(target.peer_address, target.node, now, emit)
            self._probe = _Probe(seq, vm_of(target.node), target.node, now)

    def _ping_more_peers(self, now: float, emit: Emit) -> None:
        """Ping additional peers; if they are silent too, this daemon is probably cut off."""
        probed = self._probe.node if self._probe is not None else ""
        others = [item for item in self._live_peers() if item.node != probed]
        trusted = [item for item in others if item.state != SUSPECT] or others
        for target in self._rng.sample(trusted, min(SILENCE_PING_PEERS, len(trusted))):
            self._ping(target.peer_address, target.node, now, emit)

    def _next_target(self) -> Member | None:
        """Return the next peer of a shuffled round; each peer is probed once per round."""
        for _ in range(2):
            while self._probe_round:
                member = self._table.get(self._probe_round.pop())
                if member is not None and member.state != DEAD:
                    return member
            self._probe_round = [vm_of(member.node) for member in self._live_peers()]
            self._rng.shuffle(self._probe_round)
        return None

    def _check_probe(self, now: float, emit: Emit) -> None:
        probe = self._probe
        if probe is None:
            return
        if now - probe.sent_at >= PROBE_TIMEOUT_S:
            self._probe = None
            self._suspect(probe, now, emit)
        elif not probe.indirect and now - probe.sent_at >= PING_TIMEOUT_S:
            self._probe = probe._replace(indirect=True)
            self._partition_check.start(self._current_view(), now, emit)
            target = self.peer_address(probe.node)
            helpers = [item for item in self._live_peers() if item.node != probe.node]
            if target is not None:
                for helper in self._rng.sample(helpers, min(INDIRECT_PEERS, len(helpers))):
                    emit(SendPeer(helper.peer_address, PingRequest(probe.seq, target)))

    def _ping_vm(self, vm_id: str, now: float, emit: Emit) -> int | None:
        member = self._table.get(vm_id)
        return self._ping(member.peer_address, member.node, now, emit) if member else None

    def _suspect(self, probe: _Probe, now: float, emit: Emit) -> None:
        member = self._table.get(probe.vm_id)
        if member is not None and member.node == probe.node:
            self._table.suspect(probe.vm_id, now)
            suspected = self._table.get(probe.vm_id)
            if suspected is not None and suspected.state != member.state:
                self._emit_change(suspected, emit)
            # Notify the suspect directly, so that a process that only stalled can refute in time.
            self._ping(member.peer_address, member.node, now, emit)

    def _on_ping_request(self, address: str, seq: int, target: str, now: float, emit: Emit) -> None:
        found = next((item for item in self._live_peers() if item.peer_address == target), None)
        if found is None or len(self._relays) >= MAX_RELAYS:
            return
        own = self._ping(target, found.node, now, emit)
        self._relays[own] = _Relay(address, seq, now + PROBE_TIMEOUT_S)

    def _on_ack(self, sender: str, address: str, seq: int, now: float, emit: Emit) -> None:
        self._partition_check.record_answer(seq)
        relay = self._relays.pop(seq, None)
        if relay is not None and now < relay.until:
            entries = self._entries_for(sender)
            emit(SendPeer(relay.address, Ack(relay.seq, *self._status(now), entries)))
        if self._probe is not None and self._probe.seq == seq:
            self._table.record_answer(self._probe.vm_id)
            self._probe = None
        if not self._synced and self._start_if_due("pull", now, PULL_RETRY_S):
            emit(SendPeer(address, MemberPull()))

    # ---- joining ---------------------------------------------------------------------------------

    def _join(self, now: float, emit: Emit) -> None:
        """Ping listed VMs and seeds that are not live, so that partitioned regions rejoin."""
        live = {member.peer_address for member in self._current_view().live}
        for address, vm_id in self._join_targets.next_targets(live, now):
            known = self._table.get(vm_id)
            self._ping(address, known.node if known else "", now, emit)

    def _request_members(self, emit: Emit) -> None:
        peers = self._live_peers()
        if peers:
            emit(SendPeer(self._rng.choice(peers).peer_address, MemberPull()))

    def _send_members(self, address: str, emit: Emit) -> None:
        # Dead entries are left out. After a partition, each side would otherwise report the members
        # of the other side as dead to that side's own daemons.
        live = self._current_view().live
        for start in range(0, len(live), MAX_ENTRIES):
            emit(SendPeer(address, Members(live[start : start + MAX_ENTRIES])))
