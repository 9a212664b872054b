"""Chooses the backend server of an attempt and updates the attempt's charge while it runs."""

import random
from collections import OrderedDict
from math import ceil
from typing import NamedTuple

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, Wait, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.backends import USABLE_MEMORY_FRACTION, Backends, ServerView
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
MAX_BATCH_FRACTION = 0.85  # of a grant; the rest is headroom for interactive requests
MAX_PREFIXES = 4096
MAX_PREFIX_AGE_S = 15.0  # engines under load evict cached blocks within seconds
MAX_SERVERS_PER_PREFIX = 4
# Load reports and grants are renewed every 0.5 s, so they may not include newer charges yet.
PENDING_TTL_S = 0.6
# Part of the expected remaining output that is charged in advance. It is small because some
# generations end while others grow: charging the 80 % quantile of the length filled engines only to
# about half, and fractions of 0.25 and 0.5 refused more requests at the same load; see
# docs/measurements/routing.md.
CHARGED_REMAINDER_FRACTION = 0.1
GROWTH_CHECK_FACTOR = 1.15  # growth of the output after which the charge is updated


class _Charge(NamedTuple):
    """What a running request is charged at its server."""

    server_id: str
    memory: int
    batch: bool
    check_at: int  # output tokens at which the charge is updated next


class _ServerUsage(NamedTuple):
    """What this daemon's requests are charged at one server."""

    batch_slots: int = 0
    batch: int = 0  # tokens charged to batch requests
    interactive: int = 0

    def with_added(self, slots: int, memory: int, batch: bool) -> "_ServerUsage":
        """Return the usage plus a charge, which is negative when it is released."""
        if batch:
            return _ServerUsage(self.batch_slots + slots, self.batch + memory, self.interactive)
        return self._replace(interactive=self.interactive + memory)

    def required_credit(self) -> int:
        """Return the memory credit that this daemon must hold for the charges.

        For batch requests it also holds credit for a headroom, which interactive requests use
        without further credit. As this daemon holds the headroom, its use needs no answer of the
        server's owner, and the sum over all daemons keeps batch within its part of the server.
        """
        return max(ceil(self.batch / MAX_BATCH_FRACTION), self.batch + self.interactive)


_NO_USAGE = _ServerUsage()


class Routing(Filter):
    """Sends each attempt to the server that the policy prefers among those with credit.

    Parameters
    ----------
    backends, configuration, lengths
        Provide credits, zones and predicted output lengths.
    zone
        Availability zone of this daemon.
    policy
        Chooses among servers.
    rng
        Chooses among equally good servers.
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
        self._charges: dict[str, _Charge] = {}
        self._usage: dict[str, _ServerUsage] = {}
        self._pending: dict[str, list[tuple[float, int]]] = {}
        self._prefixes: OrderedDict[tuple[str, str], dict[str, tuple[str, float]]] = OrderedDict()

    def eligible_servers(self, ctx: Context, memory: int, now: float) -> list[ServerView]:
        """Return the servers that have credit for the request.

        When none has, an interactive request may exceed the credit, see `may_exceed_credit`.
        """
        batch = ctx.request_class == BATCH
        usages = [
            (view, self._usage.get(view.vm.vm_id, _NO_USAGE))
            for view in self._backends.credits(ctx.req.service, now)
            if ctx.required_server in ("", view.vm.vm_id)
        ]
        views = [view for view, usage in usages if has_credit(view, memory, batch, usage)]
        if not views and not batch:
            views = [view for view, usage in usages if may_exceed_credit(view, memory, usage)]
        untried = [view for view in views if view.vm.vm_id not in ctx.tried]
        if untried or self._backends.has_other(ctx.req.service, ctx.tried):
            return untried
        return views  # every server has failed once, but each may have recovered

    def request_credit(self, ctx: Context, memory: int, now: float) -> None:
        """Request credit for a request that found none."""
        usage = _NO_USAGE.with_added(1, memory, ctx.request_class == BATCH)
        self._backends.request_credit(
            ctx.req.service, ctx.req.request_id, usage.required_credit(), now
        )

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Choose a server and add its id, address and start identity to the context."""
        assert ctx.contract is not None
        views = self.eligible_servers(ctx, ctx.memory, now)
        if not views:
            self.request_credit(ctx, ctx.memory, now)
            refusal = Refusal(Code.NO_SERVER, retry_after_s=NO_SERVER_RETRY_S)
            return stop(Wait(refusal, ctx.arrived + ctx.contract.max_wait_s))
        names = [view.vm.vm_id for view in views]
        home = home_affinity(ctx.req.prefix, names) if ctx.req.prefix else {}
        candidates = [self._candidate(view, ctx, home, now) for view in views]
        view = self._policy.choose(ctx.req.service, candidates, self._rng).view
        self._charge_server(ctx, view, now)
        vm = view.vm
        return Ok(ctx._replace(server_id=vm.vm_id, address=vm.address, start_id=view.start_id))

    def delivered(self, ctx: Context, count: int, now: float, emit: Emit) -> None:
        """Raise the charge to the current length plus part of the expected remainder."""
        charge = self._charges.get(ctx.req.request_id)
        if charge is None or ctx.delivered < charge.check_at:
            return
        assert ctx.contract is not None
        check_at = max(ctx.delivered + 8, int(ctx.delivered * GROWTH_CHECK_FACTOR))
        curve = self._lengths.curve(ctx.contract.account, ctx.req.service, ctx.request_class)
        expected_remainder = curve.remainder(ctx.delivered, ctx.req.max_tokens)
        wanted = (
            ctx.req.prompt_tokens
            + ctx.delivered
            + round(CHARGED_REMAINDER_FRACTION * expected_remainder)
        )
        growth = max(0, wanted - charge.memory)
        self._charges[ctx.req.request_id] = charge._replace(
            memory=charge.memory + growth, check_at=check_at
        )
        if growth:
            self._backends.charge_memory(charge.server_id, self._add_usage(charge, 0, growth))

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Release the request's slot and memory."""
        charge = self._charges.pop(ctx.req.request_id)
        self._backends.release(charge.server_id, 1, -self._add_usage(charge, -1, -charge.memory))

    def _charge_server(self, ctx: Context, view: ServerView, now: float) -> None:
        server_id, batch = view.vm.vm_id, ctx.request_class == BATCH
        # Requests without a memory charge (plain services, baselines) are never updated.
        check_at = 1 if ctx.memory else ctx.req.max_tokens + 1
        charge = _Charge(server_id, ctx.memory, batch, check_at)
        self._charges[ctx.req.request_id] = charge
        self._backends.take(server_id, 1, self._add_usage(charge, 1, ctx.memory))
        if ctx.memory:
            self._pending.setdefault(server_id, []).append((now, ctx.memory))
        if ctx.req.prefix:
            self._remember_prefix(ctx, view, now)

    def _add_usage(self, charge: _Charge, slots: int, memory: int) -> int:
        """Update the charges at a server; return the change of the credit to hold there."""
        old = self._usage.get(charge.server_id, _NO_USAGE)
        new = old.with_added(slots, memory, charge.batch)
        if new == _NO_USAGE:
            self._usage.pop(charge.server_id, None)
        else:
            self._usage[charge.server_id] = new
        return new.required_credit() - old.required_credit()

    def _remember_prefix(self, ctx: Context, view: ServerView, now: float) -> None:
        key = (ctx.req.service, ctx.req.prefix)
        servers = self._prefixes.setdefault(key, {})
        self._prefixes.move_to_end(key)
        servers.pop(view.vm.vm_id, None)
        servers[view.vm.vm_id] = (view.start_id, now)
        while len(servers) > MAX_SERVERS_PER_PREFIX:
            del servers[next(iter(servers))]
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def _candidate(
        self, view: ServerView, ctx: Context, home: dict[str, float], now: float
    ) -> Candidate:
        server_id = view.vm.vm_id
        recent = [
            item for item in self._pending.get(server_id, ()) if item[0] > now - PENDING_TTL_S
        ]
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
        if known and known[0] == view.start_id and now - known[1] <= MAX_PREFIX_AGE_S:
            return AFFINITY
        return home.get(view.vm.vm_id, 0.0)

    def _distance(self, zone: str) -> float:
        if zone == self._zone:
            return 0.0
        zones = self._configuration.snapshot.zones
        here, there = zones.get(self._zone), zones.get(zone)
        near = here is not None and there is not None and here.region == there.region
        return OTHER_ZONE_COST if near else OTHER_REGION_COST


def may_exceed_credit(view: ServerView, memory: int, usage: _ServerUsage) -> bool:
    """Return whether an interactive request may start without memory credit.

    Each daemon may have one interactive request beyond credit at a server, no larger than the part
    of the memory that is never granted. A full engine runs it before any batch request as soon as
    one ends, whereas the owner of a full server has nothing to grant before its next load report.
    """
    max_memory = (1 - USABLE_MEMORY_FRACTION) * view.memory_capacity
    return view.slots_free >= 1 and not usage.interactive and memory <= max_memory


def has_credit(view: ServerView, memory: int, batch: bool, usage: _ServerUsage) -> bool:
    """Return whether a server has credit for a request that is charged `memory`.

    Batch requests leave part of the slots and of the memory to interactive ones. One slot is always
    open to both classes, so that a server that has just started serves both.
    """
    if view.slots_free < 1:
        return False
    slots = view.slots_free + view.in_flight
    if batch and usage.batch_slots + 1 > max(1, int(slots * MAX_BATCH_FRACTION)):
        return False
    if not view.memory_capacity or not memory:
        return True
    grant, new = view.memory_free + usage.required_credit(), usage.with_added(1, memory, batch)
    # Credit that is held for the headroom must not block the interactive requests for which it is
    # held, not even when batch charges have grown beyond their part.
    return (new.required_credit() if batch else new.batch + new.interactive) <= grant
