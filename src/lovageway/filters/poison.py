"""Runs requests with one mark on separate servers and refuses those with two.

A mark records that a server died while it ran the request, see `controllers.poison`.
"""

from typing import NamedTuple

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, Wait, stop
from lovageway.codes import Code, Ran, Refusal
from lovageway.controllers.backends import Backends, ServerView
from lovageway.controllers.membership import Membership
from lovageway.controllers.poison import Poison, fingerprint
from lovageway.events import Emit
from lovageway.filters.idempotency import needs_claim
from lovageway.filters.routing import Routing

POISON_THRESHOLD = 2
CHECK_RETRY_S = 4.0  # by then a suspected death is confirmed or withdrawn
NO_SERVER_RETRY_S = 2.0
# A marked request that delivers output after this time no longer keeps other marked requests off
# its server; otherwise the long generations of one dead server would queue for hours.
PROBATION_S = 10.0
PROPAGATION_MARGIN_S = 1.0  # covers the tick that ends the wait for marks of other copies


class _Probation(NamedTuple):
    request_id: str
    fingerprint: str
    since: float


class Quarantine(Filter):
    """Keeps marked requests on separate servers and refuses poison requests.

    It stands directly before Routing, so that a retry passes it again. A marked request may share
    its server with unmarked ones: one death marks dozens of requests, and a server for each would
    cost more than the second marks that it could prevent.
    """

    def __init__(
        self, poison: Poison, backends: Backends, routing: Routing, membership: Membership
    ) -> None:
        self._poison = poison
        self._backends = backends
        self._routing = routing
        self._membership = membership
        self._on_probation: dict[str, _Probation] = {}

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Pass unmarked requests, choose a server for marked ones and refuse poison requests."""
        name = fingerprint(ctx)
        dead, suspect = self._poison.count_marks(name, now)
        if dead >= POISON_THRESHOLD:
            # A call with its own idempotency key has not run, even if one with the same body has.
            return stop(Refusal(Code.POISON, ran="no" if needs_claim(ctx) else "yes"))
        if dead + suspect >= POISON_THRESHOLD:
            detail = "Two servers were lost while they ran this request and are being checked."
            ran: Ran = "no" if needs_claim(ctx) else "unknown"
            return stop(Refusal(Code.ATTEMPT_FAILED, detail, CHECK_RETRY_S, ran))
        if not dead + suspect:
            return Ok(ctx._replace(required_server=""))
        assert ctx.contract is not None
        until = ctx.arrived + ctx.contract.max_wait_s
        retry_allowed_at = self._poison.retry_allowed_at(name)
        if now < retry_allowed_at:
            # A long generation that has lost its server may be past its contract's wait limit.
            refusal = Refusal(Code.NO_SERVER, retry_after_s=NO_SERVER_RETRY_S)
            return stop(Wait(refusal, max(until, retry_allowed_at + PROPAGATION_MARGIN_S)))
        free = self._free_servers(ctx._replace(required_server=""), now)
        if not free or any(item.fingerprint == name for item in self._on_probation.values()):
            refusal = Refusal(Code.NO_SERVER, "A marked request runs alone.", NO_SERVER_RETRY_S)
            return stop(Wait(refusal, until))
        chosen = min(free, key=lambda view: (view.in_flight, view.vm.vm_id)).vm.vm_id
        self._on_probation[chosen] = _Probation(ctx.req.request_id, name, now)
        return Ok(ctx._replace(required_server=chosen))

    def delivered(self, ctx: Context, count: int, now: float, emit: Emit) -> None:
        """End the probation of a request that has run for PROBATION_S."""
        found = self._on_probation.get(ctx.server_id)
        if found and found.request_id == ctx.req.request_id and now >= found.since + PROBATION_S:
            del self._on_probation[ctx.server_id]

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Make the server available to the next marked request."""
        for server, item in list(self._on_probation.items()):
            if item.request_id == ctx.req.request_id:
                del self._on_probation[server]

    def _free_servers(self, ctx: Context, now: float) -> list[ServerView]:
        """Return the servers on which this daemon may run a marked request.

        No other marked request of this daemon is on probation there. The live servers of the
        service are divided among the daemons, so that two daemons choose different ones. A daemon
        whose part holds no usable server may choose any.
        """
        known = {view.vm.vm_id for view in self._backends.credits(ctx.req.service, now)}
        known -= set(ctx.tried)
        own = known & self._assigned_servers(ctx.req.service)
        allowed = (own or known) - self._on_probation.keys()
        views = self._routing.eligible_servers(ctx, ctx.memory, now)
        if not views:
            self._routing.request_credit(ctx, ctx.memory, now)
        return [view for view in views if view.vm.vm_id in allowed]

    def _assigned_servers(self, service: str) -> set[str]:
        """Return this daemon's part of the servers.

        Daemons with the same marks and members compute the same division.
        """
        me, nodes = self._membership.node, [member.node for member in self._membership.live()]
        if me not in nodes:
            return set()  # a leaving daemon still serves and may use any server
        lost = {
            server
            for server, run in self._poison.ended_runs()
            if run == self._backends.start_id(server)
        }
        servers = sorted(vm.vm_id for vm in self._membership.vms if vm.service == service)
        live = [server for server in servers if server not in lost]
        return set(live[nodes.index(me) :: len(nodes)])
