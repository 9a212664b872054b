"""Poison requests: which requests were running when a backend server died.

An attempt that loses its server marks the request's fingerprint with that run of the server. The
mark counts at once as "suspect" and is sent to every peer. It becomes "dead" when the server shows
another start identity, or when neither this daemon nor a peer has seen the server for
UNREACHABLE_TIMEOUT_S. It is withdrawn when the server is seen under the same start identity,
because then only the connection was lost.
"""

import hashlib
import random
from collections import OrderedDict
from typing import NamedTuple

from lovageway.chain import Context
from lovageway.controllers.base import Controller
from lovageway.controllers.membership import Membership
from lovageway.events import AttemptFailed, Count, Emit, ReadLoad, SendPeer, StateChanged
from lovageway.messages import Message, PoisonMark, ServerProbe, ServerSeen
from lovageway.model import address_of

MARK_TTL_S = 600.0
SUSPECT_TTL_S = 8.0  # a peer's suspicion expires unless the peer confirms it
UNREACHABLE_TIMEOUT_S = 3.0
# A marked request waits this long before it runs again, so that the marks of copies that lost their
# servers at the same moment have arrived. A mark takes 8 ms between regions.
MARK_PROPAGATION_S = 0.1
PROBE_INTERVAL_S = 0.5
# A load report read before the server died can still arrive this long after its death.
MAX_REPORT_DELAY_S = 1.0
PROBE_DURATION_S = 60.0  # since the suspicion; the server is not probed after that
PEERS_PER_PROBE = 2
RESEND_DELAYS_S = (1.0, 3.0, 7.0)  # each mark is sent again, in case a message was lost
SWEEP_INTERVAL_S = 0.5
MAX_FINGERPRINTS = 4096  # about 2 MB
MAX_SUSPECTS = 1024  # server runs
MAX_RESENDS = 1024
MAX_MARKS_TO_NEW_PEER = 200  # a peer's send queue holds 256 messages
MAX_PENDING_PROBES = 256

ServerRun = tuple[str, str]  # server id and start identity


class Mark(NamedTuple):
    """A death, or suspected death, of a server that ran a request."""

    dead: bool
    until: float
    since: float


class Suspect(NamedTuple):
    """A server run that may have ended and that this daemon probes."""

    since: float
    next_probe: float
    fingerprints: tuple[str, ...]
    dead: bool = False  # unreachable for UNREACHABLE_TIMEOUT_S


class Poison(Controller):
    """Marks on request fingerprints, and the server runs that may have ended.

    Parameters
    ----------
    membership
        Provides the live peers and the addresses of servers.
    rng
        Chooses the peers that are requested to probe a server.
    """

    def __init__(self, membership: Membership, rng: random.Random) -> None:
        self._membership = membership
        self._rng = rng
        self._marks: OrderedDict[str, dict[ServerRun, Mark]] = OrderedDict()
        self._suspects: OrderedDict[ServerRun, Suspect] = OrderedDict()
        self._resends: list[tuple[float, PoisonMark]] = []
        self._pending_probes: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._peers: set[str] = set()
        self._next_sweep = 0.0

    def count_marks(self, fingerprint: str, now: float) -> tuple[int, int]:
        """Return the numbers of deaths and of suspected deaths marked on the fingerprint."""
        found = [mark for mark in self._marks.get(fingerprint, {}).values() if now < mark.until]
        dead = sum(mark.dead for mark in found)
        return dead, len(found) - dead

    def retry_allowed_at(self, fingerprint: str) -> float:
        """Return when the request may run again; marks of concurrent copies arrive before that."""
        marks = self._marks.get(fingerprint, {}).values()
        return max((mark.since for mark in marks), default=0.0) + MARK_PROPAGATION_S

    def ended_runs(self) -> set[ServerRun]:
        """Return the server runs that have ended or may have ended."""
        return {run for marks in self._marks.values() for run in marks}

    def failed(self, ctx: Context, event: AttemptFailed, now: float, emit: Emit) -> None:
        """Mark the request if the failure means that its server may have died."""
        if event.failure not in ("lost", "gone", "stalled"):
            return
        shown = event.start_id or ""
        if event.failure == "gone" and shown == ctx.start_id:
            return  # the server answered that it has dropped the generation, so it is alive
        run, name = (ctx.server_id, ctx.start_id), fingerprint(ctx)
        if shown and shown != ctx.start_id:
            self._record_mark(name, run, True, now, emit)
        else:
            self._add_suspect(name, run, now, emit)

    def finished(self, ctx: Context, now: float, emit: Emit) -> None:
        """Withdraw the marks of a request that ran to completion, as it does not crash servers."""
        name = fingerprint(ctx)
        for run in self._marks.pop(name, {}):
            self._announce(PoisonMark(name, *run, "alive"), now, emit)

    def on_load(self, server_id: str, start_id: str | None, now: float, emit: Emit) -> None:
        """Process the start identity of a load report, None when no report could be read."""
        if start_id is None:
            return
        self._resolve_suspicions(server_id, start_id, now, emit)
        for address, probed in [key for key in self._pending_probes if key[1] == server_id]:
            del self._pending_probes[address, probed]
            emit(SendPeer(address, ServerSeen(server_id, start_id)))

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Process a peer's mark, its request to probe a server or the result of such a probe."""
        match msg:
            case PoisonMark(name, server_id, start_id, state):
                self._apply_mark(name, (server_id, start_id), state, now)
            case ServerProbe(server_id):
                self._pending_probes[address, server_id] = now
                self._pending_probes.move_to_end((address, server_id))
                if len(self._pending_probes) > MAX_PENDING_PROBES:
                    self._pending_probes.popitem(last=False)
                self._probe(server_id, emit)
            case ServerSeen(server_id, start_id):
                self._resolve_suspicions(server_id, start_id, now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Probe suspects, send marks again and to new peers, and drop expired marks."""
        for run, suspect in list(self._suspects.items()):
            self._check_suspect(run, suspect, now, emit)
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_INTERVAL_S
        due_messages = [msg for at, msg in self._resends if at <= now]
        self._resends = [item for item in self._resends if item[0] > now]
        for msg in due_messages:
            self._broadcast(msg, emit)
        self._send_marks_to_new_peers(now, emit)
        self._sweep(now)

    def dump(self, now: float) -> dict[str, object]:
        """Return the marks by fingerprint and the suspected server runs."""
        return {
            "marks": {
                name: [
                    {"server": server, "start_id": start_id, "dead": mark.dead}
                    for (server, start_id), mark in marks.items()
                ]
                for name, marks in self._marks.items()
            },
            "suspects": [
                {"server": server, "start_id": start_id} for server, start_id in self._suspects
            ],
        }

    # ---- deaths ---------------------------------------------------------------------------------

    def _add_suspect(self, name: str, run: ServerRun, now: float, emit: Emit) -> None:
        found = self._suspects.get(run, Suspect(now, now + MAX_REPORT_DELAY_S, ()))
        names = tuple(dict.fromkeys((*found.fingerprints, name)))
        self._suspects[run] = found._replace(fingerprints=names)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        self._record_mark(name, run, found.dead, now, emit)

    def _check_suspect(self, run: ServerRun, suspect: Suspect, now: float, emit: Emit) -> None:
        """Probe the server; one that no daemon can reach counts as dead until it is seen again."""
        if not suspect.dead and now >= suspect.since + UNREACHABLE_TIMEOUT_S:
            suspect = suspect._replace(dead=True)
            for name in suspect.fingerprints:
                self._record_mark(name, run, True, now, emit)
        if now >= suspect.since + PROBE_DURATION_S:
            del self._suspects[run]
            return
        if now >= suspect.next_probe:
            interval = 10 * PROBE_INTERVAL_S if suspect.dead else PROBE_INTERVAL_S
            suspect = suspect._replace(next_probe=now + interval)
            self._probe(run[0], emit)
            peers = self._peer_addresses()
            for address in self._rng.sample(peers, min(PEERS_PER_PROBE, len(peers))):
                emit(SendPeer(address, ServerProbe(run[0])))
        self._suspects[run] = suspect

    def _resolve_suspicions(self, server_id: str, start_id: str, now: float, emit: Emit) -> None:
        """Resolve the suspicions about a server that has shown its start identity."""
        for run in [run for run in self._suspects if run[0] == server_id]:
            suspect = self._suspects[run]
            if start_id == run[1] and now < suspect.since + MAX_REPORT_DELAY_S:
                continue
            del self._suspects[run]
            for name in suspect.fingerprints:
                if start_id == run[1] or not run[1]:
                    self._remove_mark(name, run)
                    self._announce(PoisonMark(name, *run, "alive"), now, emit)
                else:
                    self._record_mark(name, run, True, now, emit)

    def _probe(self, server_id: str, emit: Emit) -> None:
        address = address_of(self._membership.vms, server_id)
        if address is not None:
            emit(ReadLoad(server_id, address))

    # ---- marks ----------------------------------------------------------------------------------

    def _record_mark(self, name: str, run: ServerRun, dead: bool, now: float, emit: Emit) -> None:
        before = self._marks.get(name, {}).get(run)
        if before is not None and (before.dead or not dead):
            return
        self._store_mark(name, run, Mark(dead, now + MARK_TTL_S, before.since if before else now))
        if dead:
            emit(Count("poison_marks"))
            if self.count_marks(name, now)[0] == 2:
                emit(StateChanged("request_is_poison", {"fingerprint": name, "server": run[0]}))
        self._announce(PoisonMark(name, *run, "dead" if dead else "suspect"), now, emit)

    def _apply_mark(self, name: str, run: ServerRun, state: str, now: float) -> None:
        before = self._marks.get(name, {}).get(run)
        if state == "alive":
            self._remove_mark(name, run)
        elif state == "dead" and not (before and before.dead):
            self._store_mark(
                name, run, Mark(True, now + MARK_TTL_S, before.since if before else now)
            )
        elif state == "suspect" and before is None:
            self._store_mark(name, run, Mark(False, now + SUSPECT_TTL_S, now))

    def _store_mark(self, name: str, run: ServerRun, mark: Mark) -> None:
        self._marks.setdefault(name, {})[run] = mark
        self._marks.move_to_end(name)
        # Two deaths suffice for a refusal; further marks on one fingerprint only use memory.
        while len(self._marks[name]) > 4:
            del self._marks[name][next(iter(self._marks[name]))]
        while len(self._marks) > MAX_FINGERPRINTS:
            self._marks.popitem(last=False)

    def _remove_mark(self, name: str, run: ServerRun) -> None:
        marks = self._marks.get(name, {})
        marks.pop(run, None)
        if not marks:
            self._marks.pop(name, None)

    def _sweep(self, now: float) -> None:
        for name, marks in list(self._marks.items()):
            for run in [run for run, mark in marks.items() if now >= mark.until]:
                self._remove_mark(name, run)
        for key in [key for key, at in self._pending_probes.items() if now > at + SUSPECT_TTL_S]:
            del self._pending_probes[key]

    # ---- peers ----------------------------------------------------------------------------------

    def _announce(self, msg: PoisonMark, now: float, emit: Emit) -> None:
        # A newer message about the same fingerprint and run replaces pending repeats of older ones.
        self._resends = [item for item in self._resends if item[1][:3] != msg[:3]]
        self._resends += [(now + delay, msg) for delay in RESEND_DELAYS_S]
        del self._resends[:-MAX_RESENDS]
        self._broadcast(msg, emit)

    def _broadcast(self, msg: PoisonMark, emit: Emit) -> None:
        for address in self._peer_addresses():
            emit(SendPeer(address, msg))

    def _send_marks_to_new_peers(self, now: float, emit: Emit) -> None:
        members = [item for item in self._membership.live() if item.node != self._membership.node]
        new = [member for member in members if member.node not in self._peers]
        self._peers = {member.node for member in members}
        if not new:
            return
        dead = [
            PoisonMark(name, *run, "dead")
            for name, marks in self._marks.items()
            for run, mark in marks.items()
            if mark.dead
        ]
        for member in new:
            for msg in dead[-MAX_MARKS_TO_NEW_PEER:]:
                emit(SendPeer(member.peer_address, msg))

    def _peer_addresses(self) -> list[str]:
        me = self._membership.node
        return [item.peer_address for item in self._membership.live() if item.node != me]


def fingerprint(ctx: Context) -> str:
    """Return the fingerprint under which a request is marked; accounts do not share marks."""
    account = ctx.contract.account if ctx.contract else ""
    data = f"{len(account)}|{account}|{ctx.req.fingerprint}".encode()
    return hashlib.blake2b(data, digest_size=16).hexdigest()
