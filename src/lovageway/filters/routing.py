"""Chooses the backend server of an attempt and keeps its charge up to date while it runs."""

import random
from collections import OrderedDict
from math import ceil
from typing import NamedTuple

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, Wait, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.backends import MEMORY_PART, Backends, ServerView
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.lengths import Lengths
from lovageway.events import Emit
from lovageway.model import BATCH
from lovageway.policies import (
    AFFINITY,
    OTHER_REGION_COST,
    OTHER_ZONE_COST,
    Candidate,
    Policy,
    home_affinity,
)

NO_SERVER_RETRY_S = 2.0
BATCH_PART = 0.85  # of a grant; the rest is headroom for interactive requests
MAX_PREFIXES = 4096
PREFIX_AGE_S = 15.0  # crowded engines drop cached blocks within seconds
SERVERS_PER_PREFIX = 4
# Load reports and grants are renewed every 0.5 s; a newer commitment may not show in them yet.
PENDING_S = 0.6
# Of the expected remainder, charged ahead of time. While one generation grows, others end: charging
# the 80 % quantile of the length filled engines to about half, and parts of 0.25 and 0.5 refused
# more at the same load; see docs/measurements/routing.md.
REMAINDER_PART = 0.1
GROWTH_CHECK = 1.15  # the charge is looked at again when the output has grown by this factor


class _Held(NamedTuple):
    server_id: str
    memory: int
    batch: bool
    check_at: int  # output tokens at which the charge is looked at again


class _Own(NamedTuple):
    """What this daemon's requests hold at one server."""

    batch_slots: int = 0
    batch: int = 0  # tokens charged to batch requests
    interactive: int = 0

    def plus(self, slots: int, memory: int, batch: bool) -> "_Own":
        if batch:
            return _Own(self.batch_slots + slots, self.batch + memory, self.interactive)
        return self._replace(interactive=self.interactive + memory)

    def credit(self) -> int:
        """Return the memory credit to hold.

        Batch requests hold credit for a headroom as well, which interactive requests use free of
        charge. Kept at the holder, the headroom needs no answer of the server's owner, and the sum
        over all daemons keeps batch within its part of the server.
        """
        return max(ceil(self.batch / BATCH_PART), self.batch + self.interactive)


_NOTHING = _Own()


class Routing(Filter):
    """Sends each attempt to the server that the policy prefers among those with credit.

    Parameters
    ----------
    backends, configuration, lengths
        Credits, zones and predictions.
    zone
        Availability zone of this daemon.
    policy
        How to choose among servers.
    rng
        Spreads equal choices.
    """

    def __init__(
        self,
        backends: Backends,
        configuration: Configuration,
        lengths: Lengths,
        zone: str,
        policy: Policy,
        rng: random.Random,
    ) -> None:
        self._backends = backends
        self._configuration = configuration
        self._lengths = lengths
        self._zone = zone
        self._policy = policy
        self._rng = rng
        self._held: dict[str, _Held] = {}
        self._own: dict[str, _Own] = {}
        self._pending: dict[str, list[tuple[float, int]]] = {}
        self._prefixes: OrderedDict[tuple[str, str], dict[str, tuple[str, float]]] = OrderedDict()

    def options(self, ctx: Context, memory: int, now: float) -> list[ServerView]:
        """Return the servers that have credit for the request.

        When none has, an interactive request may use servers where this daemon has no other one.
        """
        batch = ctx.request_class == BATCH
        owns = [
            (view, self._own.get(view.vm.vm_id, _NOTHING))
            for view in self._backends.credits(ctx.req.service, now)
            if ctx.required_server in ("", view.vm.vm_id)
        ]
        views = [view for view, own in owns if fits(view, memory, batch, own)]
        if not views and not batch:
            views = [view for view, own in owns if fits_beyond_credit(view, memory, own)]
        untried = [view for view in views if view.vm.vm_id not in ctx.tried]
        if untried or self._backends.has_other(ctx.req.service, ctx.tried):
            return untried
        return views  # every server has failed once; each may have come back

    def want(self, ctx: Context, memory: int, now: float) -> None:
        """Note the need of a request that found no credit."""
        own = _NOTHING.plus(1, memory, ctx.request_class == BATCH)
        self._backends.want(ctx.req.service, ctx.req.request_id, own.credit(), now)

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Add server, address and start identity to the context."""
        assert ctx.contract is not None
        views = self.options(ctx, ctx.memory, now)
        if not views:
            self.want(ctx, ctx.memory, now)
            refusal = Refusal(Code.NO_SERVER, retry_after_s=NO_SERVER_RETRY_S)
            return stop(Wait(refusal, ctx.arrived + ctx.contract.max_wait_s))
        names = [view.vm.vm_id for view in views]
        home = home_affinity(ctx.req.prefix, names) if ctx.req.prefix else {}
        candidates = [self._candidate(view, ctx, home, now) for view in views]
        view = self._policy.choose(ctx.req.service, candidates, self._rng).view
        self._take(ctx, view, now)
        vm = view.vm
        return Ok(ctx._replace(server_id=vm.vm_id, address=vm.address, start_id=view.start_id))

    def delivered(self, ctx: Context, count: int, now: float, emit: Emit) -> None:
        """Let the charge grow to the current length and the expected remainder."""
        held = self._held.get(ctx.req.request_id)
        if held is None or ctx.delivered < held.check_at:
            return
        assert ctx.contract is not None
        check_at = max(ctx.delivered + 8, int(ctx.delivered * GROWTH_CHECK))
        curve = self._lengths.curve(ctx.contract.account, ctx.req.service, ctx.request_class)
        rest = curve.remainder(ctx.delivered, ctx.req.max_tokens)
        wanted = ctx.req.prompt_tokens + ctx.delivered + round(REMAINDER_PART * rest)
        more = max(0, wanted - held.memory)
        self._held[ctx.req.request_id] = held._replace(memory=held.memory + more, check_at=check_at)
        if more:
            self._backends.grow(held.server_id, self._add(held, 0, more))

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Give the request's slot and memory back."""
        held = self._held.pop(ctx.req.request_id)
        self._backends.release(held.server_id, 1, -self._add(held, -1, -held.memory))

    def _take(self, ctx: Context, view: ServerView, now: float) -> None:
        server_id, batch = view.vm.vm_id, ctx.request_class == BATCH
        # Without a charge (plain services, baselines) nothing grows.
        check_at = 1 if ctx.memory else ctx.req.max_tokens + 1
        held = _Held(server_id, ctx.memory, batch, check_at)
        self._held[ctx.req.request_id] = held
        self._backends.take(server_id, 1, self._add(held, 1, ctx.memory))
        if ctx.memory:
            self._pending.setdefault(server_id, []).append((now, ctx.memory))
        if ctx.req.prefix:
            self._remember_prefix(ctx, view, now)

    def _add(self, held: _Held, slots: int, memory: int) -> int:
        """Add to what is held at a server; returns the change of the credit to hold."""
        old = self._own.get(held.server_id, _NOTHING)
        new = old.plus(slots, memory, held.batch)
        if new == _NOTHING:
            self._own.pop(held.server_id, None)
        else:
            self._own[held.server_id] = new
        return new.credit() - old.credit()

    def _remember_prefix(self, ctx: Context, view: ServerView, now: float) -> None:
        key = (ctx.req.service, ctx.req.prefix)
        servers = self._prefixes.setdefault(key, {})
        self._prefixes.move_to_end(key)
        servers.pop(view.vm.vm_id, None)
        servers[view.vm.vm_id] = (view.start_id, now)
        while len(servers) > SERVERS_PER_PREFIX:
            del servers[next(iter(servers))]
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def _candidate(
        self, view: ServerView, ctx: Context, home: dict[str, float], now: float
    ) -> Candidate:
        server_id = view.vm.vm_id
        recent = [item for item in self._pending.get(server_id, ()) if item[0] > now - PENDING_S]
        if recent:
            self._pending[server_id] = recent
        else:
            self._pending.pop(server_id, None)
        pending = sum(memory for _, memory in recent)
        affinity = self._affinity(view, ctx, home, now)
        return Candidate(view, pending, affinity, self._distance(view.vm.zone))

    def _affinity(
        self, view: ServerView, ctx: Context, home: dict[str, float], now: float
    ) -> float:
        known = self._prefixes.get((ctx.req.service, ctx.req.prefix), {}).get(view.vm.vm_id)
        if known and known[0] == view.start_id and now - known[1] <= PREFIX_AGE_S:
            return AFFINITY
        return home.get(view.vm.vm_id, 0.0)

    def _distance(self, zone: str) -> float:
        if zone == self._zone:
            return 0.0
        zones = self._configuration.snapshot.zones
        here, there = zones.get(self._zone), zones.get(zone)
        near = here is not None and there is not None and here.region == there.region
        return OTHER_ZONE_COST if near else OTHER_REGION_COST


def fits_beyond_credit(view: ServerView, memory: int, own: _Own) -> bool:
    """Tell whether an interactive request may start although memory credit is lacking.

    Each daemon may have one such request at a server, no larger than the part of the memory that is
    never granted. An engine that is full lets it join before any batch request as soon as one ends,
    whereas the owner of a full server has nothing to grant before its next load report.
    """
    most = (1 - MEMORY_PART) * view.memory_capacity
    return view.slots_free >= 1 and not own.interactive and memory <= most


def fits(view: ServerView, memory: int, batch: bool, own: _Own) -> bool:
    """Tell whether a server has credit for a request that is charged `memory`.

    Batch requests leave a part of the slots and of the memory to interactive ones. One slot is
    always open to both, so that a server that has just started serves both.
    """
    if view.slots_free < 1:
        return False
    slots = view.slots_free + view.in_flight
    if batch and own.batch_slots + 1 > max(1, int(slots * BATCH_PART)):
        return False
    if not view.memory_capacity or not memory:
        return True
    grant, new = view.memory_free + own.credit(), own.plus(1, memory, batch)
    # The credit held for the headroom must not keep out those for whom it is held, also when batch
    # charges have grown beyond their part.
    return (new.credit() if batch else new.batch + new.interactive) <= grant
