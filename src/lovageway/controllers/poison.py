"""Requests that were running when a backend server died, and how they may run again.

An attempt that loses its server marks the request's fingerprint with that run of the server. The
mark counts at once as "suspect" and every peer is told. It becomes "dead" when the server shows
another start identity, or when neither this daemon nor a peer has seen the server for
UNREACHABLE_S. It is withdrawn when the server is seen under the same start identity: then only the
link was cut.
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

MARK_S = 600.0
SUSPECT_S = 8.0  # a peer's suspicion lapses unless the peer confirms it
UNREACHABLE_S = 3.0
# A marked request waits this long before it runs again: copies that died at the same moment must
# know of each other first. Marks cross regions in 8 ms.
SETTLE_S = 0.1
PROBE_INTERVAL_S = 0.5
# A report that was under way when the server died can arrive until this much later.
STALE_REPORT_S = 1.0
WITHDRAW_S = 60.0  # how long an unreachable server is still probed
PROBED_PEERS = 2
REPEATS_S = (1.0, 3.0, 7.0)  # each mark is sent again then, for peers that lost a message
SWEEP_S = 0.5
MAX_FINGERPRINTS = 4096  # about 2 MB
MAX_SUSPECTS = 1024  # runs of servers
MAX_REPEATS = 1024
MAX_NEWCOMER_MARKS = 200  # a peer's send queue holds 256 messages
MAX_ASKED = 256

Run = tuple[str, str]  # server id and start identity


class Mark(NamedTuple):
    """One death, or suspected death, of a server that ran a request."""

    dead: bool
    until: float
    since: float


class Suspect(NamedTuple):
    """A run of a server that may have ended; probed by this daemon."""

    since: float
    next_probe: float
    fingerprints: tuple[str, ...]
    dead: bool = False  # by not being reachable


class Poison(Controller):
    """Owner of the marks.

    Parameters
    ----------
    membership
        Live peers and addresses of servers.
    rng
        Chooses the peers that are asked about a server.
    """

    def __init__(self, membership: Membership, rng: random.Random) -> None:
        self._membership = membership
        self._rng = rng
        self._marks: OrderedDict[str, dict[Run, Mark]] = OrderedDict()
        self._suspects: OrderedDict[Run, Suspect] = OrderedDict()
        self._repeats: list[tuple[float, PoisonMark]] = []
        self._asked: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._peers: set[str] = set()
        self._next_sweep = 0.0

    def marks(self, fingerprint: str, now: float) -> tuple[int, int]:
        """Return the number of deaths and of suspected deaths under the fingerprint."""
        found = [mark for mark in self._marks.get(fingerprint, {}).values() if now < mark.until]
        dead = sum(mark.dead for mark in found)
        return dead, len(found) - dead

    def settled_at(self, fingerprint: str) -> float:
        """Return when the marks of other copies that died with the last one must be known."""
        marks = self._marks.get(fingerprint, {}).values()
        return max((mark.since for mark in marks), default=0.0) + SETTLE_S

    def runs(self) -> set[Run]:
        """Return the runs of servers that have ended, or may have."""
        return {run for marks in self._marks.values() for run in marks}

    def failed(self, ctx: Context, event: AttemptFailed, now: float, emit: Emit) -> None:
        """Mark the request when its server may have died."""
        if event.failure not in ("lost", "gone", "stalled"):
            return
        shown = event.start_id or ""
        if event.failure == "gone" and shown == ctx.start_id:
            return  # the server itself answered: it lives and has dropped the generation
        run, name = (ctx.server_id, ctx.start_id), fingerprint(ctx)
        if shown and shown != ctx.start_id:
            self._mark(name, run, True, now, emit)
        else:
            self._suspect(name, run, now, emit)

    def finished(self, ctx: Context, now: float, emit: Emit) -> None:
        """Withdraw the marks of a request that has run to its end: it does not kill servers."""
        name = fingerprint(ctx)
        for run in self._marks.pop(name, {}):
            self._tell(PoisonMark(name, *run, "alive"), now, emit)

    def on_load(self, server_id: str, start_id: str | None, now: float, emit: Emit) -> None:
        """Take a server's start identity from a load report, None when none could be read."""
        if start_id is None:
            return
        self._seen(server_id, start_id, now, emit)
        for address, asked in [key for key in self._asked if key[1] == server_id]:
            del self._asked[address, asked]
            emit(SendPeer(address, ServerSeen(server_id, start_id)))

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Take a peer's mark, its question about a server or its answer."""
        match msg:
            case PoisonMark(name, server_id, start_id, state):
                self._heard(name, (server_id, start_id), state, now)
            case ServerProbe(server_id):
                self._asked[address, server_id] = now
                self._asked.move_to_end((address, server_id))
                if len(self._asked) > MAX_ASKED:
                    self._asked.popitem(last=False)
                self._probe(server_id, emit)
            case ServerSeen(server_id, start_id):
                self._seen(server_id, start_id, now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Probe suspects, repeat marks, tell newcomers and drop what has lapsed."""
        for run, suspect in list(self._suspects.items()):
            self._check(run, suspect, now, emit)
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_S
        due = [msg for at, msg in self._repeats if at <= now]
        self._repeats = [item for item in self._repeats if item[0] > now]
        for msg in due:
            self._broadcast(msg, emit)
        self._tell_newcomers(now, emit)
        self._sweep(now)

    def dump(self, now: float) -> dict[str, object]:
        """Return the marks by fingerprint and the servers that are suspected."""
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

    def _suspect(self, name: str, run: Run, now: float, emit: Emit) -> None:
        found = self._suspects.get(run, Suspect(now, now + STALE_REPORT_S, ()))
        names = tuple(dict.fromkeys((*found.fingerprints, name)))
        self._suspects[run] = found._replace(fingerprints=names)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        self._mark(name, run, found.dead, now, emit)

    def _check(self, run: Run, suspect: Suspect, now: float, emit: Emit) -> None:
        """Probe the run; a server that nobody can reach counts as dead until it is seen again."""
        if not suspect.dead and now >= suspect.since + UNREACHABLE_S:
            suspect = suspect._replace(dead=True)
            for name in suspect.fingerprints:
                self._mark(name, run, True, now, emit)
        if now >= suspect.since + WITHDRAW_S:
            del self._suspects[run]
            return
        if now >= suspect.next_probe:
            interval = 10 * PROBE_INTERVAL_S if suspect.dead else PROBE_INTERVAL_S
            suspect = suspect._replace(next_probe=now + interval)
            self._probe(run[0], emit)
            peers = self._peer_addresses()
            for address in self._rng.sample(peers, min(PROBED_PEERS, len(peers))):
                emit(SendPeer(address, ServerProbe(run[0])))
        self._suspects[run] = suspect

    def _seen(self, server_id: str, start_id: str, now: float, emit: Emit) -> None:
        """Decide the suspicions about a server that has shown its start identity."""
        for run in [run for run in self._suspects if run[0] == server_id]:
            suspect = self._suspects[run]
            if start_id == run[1] and now < suspect.since + STALE_REPORT_S:
                continue
            del self._suspects[run]
            for name in suspect.fingerprints:
                if start_id == run[1] or not run[1]:
                    self._forget(name, run)
                    self._tell(PoisonMark(name, *run, "alive"), now, emit)
                else:
                    self._mark(name, run, True, now, emit)

    def _probe(self, server_id: str, emit: Emit) -> None:
        address = address_of(self._membership.vms, server_id)
        if address is not None:
            emit(ReadLoad(server_id, address))

    # ---- marks ----------------------------------------------------------------------------------

    def _mark(self, name: str, run: Run, dead: bool, now: float, emit: Emit) -> None:
        before = self._marks.get(name, {}).get(run)
        if before is not None and (before.dead or not dead):
            return
        self._set(name, run, Mark(dead, now + MARK_S, before.since if before else now))
        if dead:
            emit(Count("poison_marks"))
            if self.marks(name, now)[0] == 2:
                emit(StateChanged("request_is_poison", {"fingerprint": name, "server": run[0]}))
        self._tell(PoisonMark(name, *run, "dead" if dead else "suspect"), now, emit)

    def _heard(self, name: str, run: Run, state: str, now: float) -> None:
        before = self._marks.get(name, {}).get(run)
        if state == "alive":
            self._forget(name, run)
        elif state == "dead" and not (before and before.dead):
            self._set(name, run, Mark(True, now + MARK_S, before.since if before else now))
        elif state == "suspect" and before is None:
            self._set(name, run, Mark(False, now + SUSPECT_S, now))

    def _set(self, name: str, run: Run, mark: Mark) -> None:
        self._marks.setdefault(name, {})[run] = mark
        self._marks.move_to_end(name)
        # Two deaths decide; more marks of one fingerprint would only take memory.
        while len(self._marks[name]) > 4:
            del self._marks[name][next(iter(self._marks[name]))]
        while len(self._marks) > MAX_FINGERPRINTS:
            self._marks.popitem(last=False)

    def _forget(self, name: str, run: Run) -> None:
        marks = self._marks.get(name, {})
        marks.pop(run, None)
        if not marks:
            self._marks.pop(name, None)

    def _sweep(self, now: float) -> None:
        for name, marks in list(self._marks.items()):
            for run in [run for run, mark in marks.items() if now >= mark.until]:
                self._forget(name, run)
        for key in [key for key, at in self._asked.items() if now > at + SUSPECT_S]:
            del self._asked[key]

    # ---- peers ----------------------------------------------------------------------------------

    def _tell(self, msg: PoisonMark, now: float, emit: Emit) -> None:
        # A later word on the same run replaces the one that still waits to be repeated.
        self._repeats = [item for item in self._repeats if item[1][:3] != msg[:3]]
        self._repeats += [(now + delay, msg) for delay in REPEATS_S]
        del self._repeats[:-MAX_REPEATS]
        self._broadcast(msg, emit)

    def _broadcast(self, msg: PoisonMark, emit: Emit) -> None:
        for address in self._peer_addresses():
            emit(SendPeer(address, msg))

    def _tell_newcomers(self, now: float, emit: Emit) -> None:
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
            for msg in dead[-MAX_NEWCOMER_MARKS:]:
                emit(SendPeer(member.peer_address, msg))

    def _peer_addresses(self) -> list[str]:
        me = self._membership.node
        return [item.peer_address for item in self._membership.live() if item.node != me]


def fingerprint(ctx: Context) -> str:
    """Return the name under which a request is marked; accounts do not share marks."""
    account = ctx.contract.account if ctx.contract else ""
    data = f"{len(account)}|{account}|{ctx.req.fingerprint}".encode()
    return hashlib.blake2b(data, digest_size=16).hexdigest()
