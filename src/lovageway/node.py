"""The state machine of one daemon: maps an event and the time to effects."""

import random
from collections import OrderedDict
from functools import singledispatchmethod
from typing import NamedTuple

from expression import Error, Ok, Result

from lovageway.chain import Chain, Context
from lovageway.codes import Code, Refusal
from lovageway.controllers._freshness import Policy
from lovageway.controllers.backends import Backends
from lovageway.controllers.base import Controller
from lovageway.controllers.budgets import Budgets
from lovageway.controllers.claims import Claims
from lovageway.controllers.cleaning import Cleaning
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.discovery import Discovery
from lovageway.controllers.drain import Drain
from lovageway.controllers.lengths import Lengths
from lovageway.controllers.membership import Membership
from lovageway.controllers.orders import Orders
from lovageway.controllers.poison import Poison
from lovageway.controllers.shares import Shares
from lovageway.controllers.streams import Streams
from lovageway.events import (
    ApplyRequested,
    AttemptFailed,
    AttemptFinished,
    AttemptStarted,
    CallerGone,
    CancelGeneration,
    Count,
    Effect,
    Event,
    LoadRead,
    OrderAnswered,
    PeerMessage,
    Refuse,
    RequestArrived,
    StartAttempt,
    StopRequested,
    StreamCancelled,
    TableAnswered,
    Tick,
    TokensDelivered,
    VmListRead,
)
from lovageway.filters.admission import Admission
from lovageway.filters.attempt import Attempt
from lovageway.filters.authenticate import Authenticate
from lovageway.filters.idempotency import Claim, Lookup
from lovageway.filters.limits import AccountLimits, Limits
from lovageway.filters.poison import Quarantine
from lovageway.filters.readiness import Readiness
from lovageway.filters.resumption import Resumption
from lovageway.filters.routing import Routing
from lovageway.model import Identity, address_of, generation_name
from lovageway.policies import POLICIES, PolicyName

MAX_HISTORY_REQUESTS = 1000


class Options(NamedTuple):
    """The part of the settings that a node uses."""

    # Selects the server of a request; all but "memory" are baselines for benchmarks.
    policy: PolicyName = "memory"
    weight_loads_per_s: float = 1.0  # loads of model weights that the weight store allows
    configuration: Policy = Policy()
    seeds: tuple[str, ...] = ()  # peer addresses to contact besides those of the VM list


DEFAULT_OPTIONS = Options()


class Node:
    """Connects the controllers and filters of one daemon.

    Parameters
    ----------
    identity
        Identity of this daemon.
    rng
        Only source of randomness.
    options
        Options from the settings.
    """

    def __init__(
        self, identity: Identity, rng: random.Random, options: Options = DEFAULT_OPTIONS
    ) -> None:
        self.configuration = Configuration(rng, options.configuration)
        self.membership = Membership(identity, rng, self.configuration.status, options.seeds)
        self.configuration.connect(self.membership)
        self.shares = Shares(self.membership)
        self.backends = Backends(self.membership, self.configuration, self.shares)
        self.shares.register("account", AccountLimits(self.configuration))
        self.shares.register("server", self.backends)
        self.lengths = Lengths()
        self.discovery = Discovery(self.membership, self.configuration)
        self.drain = Drain(self.membership)
        self.claims = Claims(
            self.membership.node, lambda: {member.node for member in self.membership.live()}
        )
        self.budgets = Budgets()
        self.poison = Poison(self.membership, rng)
        self.streams = Streams(self.membership)
        self.orders = Orders(
            self.membership,
            lambda: self.configuration.snapshot.orders,
            self.backends.start_id,
            options.weight_loads_per_s,
        )
        self._controllers: dict[str, Controller] = {
            "membership": self.membership,
            "configuration": self.configuration,
            "backends": self.backends,
            "shares": self.shares,
            "lengths": self.lengths,
            "drain": self.drain,
            "claims": self.claims,
            "cleaning": Cleaning(self.membership, rng),
            "budgets": self.budgets,
            "poison": self.poison,
            "streams": self.streams,
            "orders": self.orders,
        }
        self._attempt = Attempt(self.budgets)
        self.authenticate = Authenticate(self.configuration)
        readiness = Readiness(self.configuration, self.drain, self.discovery)
        self._resume_chain = Chain(
            [readiness, self.authenticate, Resumption(self.membership, self.streams)]
        )
        self.chain = self._build_chain(readiness, identity.zone, rng, options.policy)
        self._history: OrderedDict[str, list[dict[str, object]]] = OrderedDict()
        self._effects: list[Effect] = []

    def _build_chain(
        self, readiness: Readiness, zone: str, rng: random.Random, policy: PolicyName
    ) -> Chain:
        """Return the filters in the order in which a request passes them."""
        chosen = POLICIES[policy]()
        routing = Routing(self.backends, self.configuration, self.lengths, zone, chosen, rng)
        return Chain(
            [
                readiness,
                self.authenticate,
                Limits(self.shares),
                Lookup(self.claims),
                Admission(self.backends, self.lengths, routing, chosen.uses_memory),
                Quarantine(self.poison, self.backends, routing, self.membership),
                routing,
                Claim(self.claims),
                self._attempt,
            ]
        )

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process an event at the time `now` (seconds, monotonic) and return its effects."""
        self._effects = []
        self._dispatch(event, now)
        # The result is true if a grant has arrived, with which waiting requests may pass.
        if self.shares.flush(now, self._emit):
            self.chain.retry_waiting(now, self._emit)
        for effect in self._effects:
            self._record_step(effect, now)
            self.configuration.on_send(effect, now)
        return self._effects

    def dump(self, now: float) -> dict[str, object]:
        """Return the state of every controller and the numbers of open and waiting requests."""
        state: dict[str, object] = {
            name: item.dump(now) for name, item in self._controllers.items()
        }
        state["requests"] = {"open": len(self.chain), "waiting": self.chain.waiting()}
        return state

    def explain(self, request_id: str) -> list[dict[str, object]]:
        """Return the decisions about a recent request, oldest first."""
        return list(self._history.get(request_id, ()))

    def account_of(self, request_id: str) -> str:
        """Return the client account of an open request, or "" if it is unknown."""
        ctx = self.chain.get(request_id) or self._resume_chain.get(request_id)
        return ctx.contract.account if ctx is not None and ctx.contract is not None else ""

    def discover(
        self, api_key: str, service: str, zone: str, caller: str, now: float
    ) -> Result[tuple[str, ...], Refusal]:
        """Return the daemon addresses that the API key's account should use for a service."""
        refusal = self.configuration.may_serve(now)
        if refusal is not None:
            return Error(refusal)
        contract = self.authenticate.contract(api_key)
        if contract is None:
            return Error(Refusal(Code.UNKNOWN_KEY))
        if service not in contract.services:
            return Error(Refusal(Code.UNKNOWN_MODEL, f"Service: {service[:80]!r}."))
        return Ok(self.discovery.addresses(contract, caller, zone))

    def _emit(self, effect: Effect) -> None:
        self._effects.append(effect)

    def _record_step(self, effect: Effect, now: float) -> None:
        if not isinstance(effect, StartAttempt | Refuse):
            return
        steps = self._history.setdefault(effect.request_id, [])
        steps.append({"at_s": now, "step": type(effect).__name__, **effect._asdict()})
        while len(self._history) > MAX_HISTORY_REQUESTS:
            self._history.popitem(last=False)

    @singledispatchmethod
    def _dispatch(self, event: Event, now: float) -> None:
        raise TypeError(f"no handler for {type(event).__name__}")

    @_dispatch.register
    def _(self, event: Tick, now: float) -> None:
        for item in self._controllers.values():
            item.tick(now, self._emit)
        self.chain.retry_waiting(now, self._emit)
        self._release_ended(now)
        running = len(self.chain) + len(self._resume_chain) + self.claims.busy(now)
        self.drain.finish(running, now, self._emit)

    @_dispatch.register
    def _(self, event: RequestArrived, now: float) -> None:
        known = event.req.service in self.configuration.snapshot.services
        # Labels chosen by callers could otherwise grow the metrics without bound.
        self._emit(Count("requests", (event.req.service if known else "unknown",)))
        chain = self._resume_chain if event.req.resume else self.chain
        chain.enter(Context(event.req, arrived=now), now, self._emit)
        self._release_ended(now)

    @_dispatch.register
    def _(self, event: AttemptStarted, now: float) -> None:
        ctx = self.chain.get(event.request_id)
        if ctx is not None and ctx.attempt == event.attempt:
            self.chain.replace(ctx._replace(start_id=event.start_id))
            self.backends.attempt_started(ctx.server_id, event.start_id, now, self._emit)

    @_dispatch.register
    def _(self, event: TokensDelivered, now: float) -> None:
        self.chain.delivered(event.request_id, event.tokens, event.total, now, self._emit)

    @_dispatch.register
    def _(self, event: AttemptFailed, now: float) -> None:
        if self._resume_chain.get(event.request_id):
            code = Code.GENERATION_LOST if event.failure == "gone" else Code.STREAM_LOST
            self._resume_chain.refuse(event.request_id, Refusal(code), now, self._emit)
        ctx = self.chain.get(event.request_id)
        if ctx is not None and ctx.attempt != event.attempt:
            return
        self._emit(Count("attempts_failed", (event.failure,)))
        # The outcome is recorded even if the caller has disconnected and no context is left.
        self.claims.failed(event.request_id, event.failure, now, self._emit)
        if ctx is None:
            return
        self.backends.attempt_failed(ctx.server_id, event, now, self._emit)
        self.poison.failed(ctx, event, now, self._emit)
        outcome = self._attempt.failed(ctx, event)
        if outcome.is_ok():
            self._cancel(ctx)
            self.chain.retry(outcome.ok, Quarantine, now, self._emit)
        else:
            refusal: Refusal = outcome.error
            if ctx.contract is not None and (ctx.contract.delivery == "whole" or ctx.req.whole):
                self._cancel(ctx)  # nothing was delivered, so the generation cannot be resumed
            self.chain.refuse(event.request_id, refusal, now, self._emit)

    @_dispatch.register
    def _(self, event: AttemptFinished, now: float) -> None:
        self._resume_chain.finish(event.request_id, now, self._emit)
        self.claims.finished(event.request_id, event.answer, now, self._emit)
        ctx = self.chain.get(event.request_id)
        if ctx is not None and ctx.attempt == event.attempt:
            assert ctx.contract is not None
            self.budgets.earn(ctx.contract.account, ctx.req.service)
            self.poison.finished(ctx, now, self._emit)
            self.chain.replace(ctx._replace(finished=True))
            self.chain.finish(event.request_id, now, self._emit)
            self.chain.retry_waiting(now, self._emit)

    @_dispatch.register
    def _(self, event: CallerGone, now: float) -> None:
        self._emit(Count("callers_gone"))
        ctx = self.chain.get(event.request_id) or self._resume_chain.get(event.request_id)
        self._resume_chain.finish(event.request_id, now, self._emit)
        if ctx is not None and event.generation:
            self.streams.park(event.generation, event.request_id, ctx.server_id, ctx.address, now)
        else:
            if ctx is not None and ctx.req.resume is None:
                self._cancel(ctx)
            self.chain.finish(event.request_id, now, self._emit)

    def _cancel(self, ctx: Context) -> None:
        """Cancel the generation of the current attempt, if one may have been sent."""
        if ctx.address and ctx.service is not None and ctx.service.kind == "engine":
            name = generation_name(ctx.req.request_id, ctx.attempt)
            self._emit(CancelGeneration(ctx.server_id, ctx.address, name))

    @_dispatch.register
    def _(self, event: StreamCancelled, now: float) -> None:
        token = event.token
        address = address_of(self.membership.vms, token.server_id)
        if address is not None:
            self._emit(CancelGeneration(token.server_id, address, token.generation))
            self._emit(Count("generations_cancelled"))
        self.streams.resumed(token.generation, token.node, now, self._emit)
        self._release_ended(now)

    def _release_ended(self, now: float) -> None:
        for request_id in self.streams.pop_ended():
            self.chain.finish(request_id, now, self._emit)

    @_dispatch.register
    def _(self, event: PeerMessage, now: float) -> None:
        for item in self._controllers.values():
            item.on_message(event.sender, event.sender_address, event.message, now, self._emit)
        self._release_ended(now)

    @_dispatch.register
    def _(self, event: VmListRead, now: float) -> None:
        self.membership.on_vm_list(event.vms, now)

    @_dispatch.register
    def _(self, event: LoadRead, now: float) -> None:
        self.backends.on_load(event.server_id, event.report, now)
        start_id = event.report.start_id if event.report else None
        self.poison.on_load(event.server_id, start_id, now, self._emit)

    @_dispatch.register
    def _(self, event: TableAnswered, now: float) -> None:
        for item in self._controllers.values():
            item.on_table(event, now, self._emit)
        for request_id in self.claims.pop_ready():
            self.chain.wake(request_id, now, self._emit)

    @_dispatch.register
    def _(self, event: OrderAnswered, now: float) -> None:
        self.orders.on_answer(event, now, self._emit)

    @_dispatch.register
    def _(self, event: ApplyRequested, now: float) -> None:
        self.configuration.on_apply(event, now, self._emit)

    @_dispatch.register
    def _(self, event: StopRequested, now: float) -> None:
        self.drain.begin(now, self._emit)
        self.orders.resign(now, self._emit)
