"""Runs a request that was at a server's death alone, and refuses one that was at two."""

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

MAX_MARKS = 2
CHECK_RETRY_S = 4.0  # by then a suspected death is decided
NO_SERVER_RETRY_S = 2.0
# A marked request that has run this long with output no longer keeps others off its server;
# otherwise the long generations of one dead server would queue for hours.
PROBATION_S = 10.0
SETTLE_MARGIN_S = 1.0  # for the tick that ends the wait for marks of other copies


class _Alone(NamedTuple):
    request_id: str
    fingerprint: str
    since: float


class Quarantine(Filter):
    """Keeps marked requests apart; placed right before Routing, so that a retry passes it again.

    A marked request may share its server with unmarked ones: a server for each of the dozens that
    one death marks would cost more than the second mark that it could spare them.
    """

    def __init__(
        self, poison: Poison, backends: Backends, routing: Routing, membership: Membership
    ) -> None:
        self._poison = poison
        self._backends = backends
        self._routing = routing
        self._membership = membership
        self._alone: dict[str, _Alone] = {}

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Let unmarked requests pass, choose the server of marked ones, refuse poison."""
        name = fingerprint(ctx)
        dead, suspect = self._poison.marks(name, now)
        if dead >= MAX_MARKS:
            # A call under a key of its own has not run, whatever an equal body did before.
            return stop(Refusal(Code.POISON, ran="no" if needs_claim(ctx) else "yes"))
        if dead + suspect >= MAX_MARKS:
            detail = "Two servers were lost while they ran this request and are being checked."
            ran: Ran = "no" if needs_claim(ctx) else "unknown"
            return stop(Refusal(Code.ATTEMPT_FAILED, detail, CHECK_RETRY_S, ran))
        if not dead + suspect:
            return Ok(ctx._replace(required_server=""))
        assert ctx.contract is not None
        until = ctx.arrived + ctx.contract.max_wait_s
        settled_at = self._poison.settled_at(name)
        if now < settled_at:
            # A long generation that has lost its server may be older than its contract's wait.
            refusal = Refusal(Code.NO_SERVER, retry_after_s=NO_SERVER_RETRY_S)
            return stop(Wait(refusal, max(until, settled_at + SETTLE_MARGIN_S)))
        free = self._free(ctx._replace(required_server=""), now)
        if not free or any(item.fingerprint == name for item in self._alone.values()):
            refusal = Refusal(Code.NO_SERVER, "A marked request runs alone.", NO_SERVER_RETRY_S)
            return stop(Wait(refusal, until))
        chosen = min(free, key=lambda view: (view.in_flight, view.vm.vm_id)).vm.vm_id
        self._alone[chosen] = _Alone(ctx.req.request_id, name, now)
        return Ok(ctx._replace(required_server=chosen))

    def delivered(self, ctx: Context, count: int, now: float, emit: Emit) -> None:
        """End the probation of a request that has run for a while."""
        found = self._alone.get(ctx.server_id)
        if found and found.request_id == ctx.req.request_id and now >= found.since + PROBATION_S:
            del self._alone[ctx.server_id]

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Free the server for the next marked request."""
        for server, item in list(self._alone.items()):
            if item.request_id == ctx.req.request_id:
                del self._alone[server]

    def _free(self, ctx: Context, now: float) -> list[ServerView]:
        """Return the servers on which no other marked request of any daemon runs.

        The living servers of the service are dealt out to the daemons, so that two daemons choose
        different ones. A daemon that has none in use may choose any.
        """
        known = {view.vm.vm_id for view in self._backends.credits(ctx.req.service, now)}
        known -= set(ctx.tried)
        own = known & self._dealt(ctx.req.service)
        allowed = (own or known) - self._alone.keys()
        views = self._routing.options(ctx, ctx.memory, now)
        if not views:
            self._routing.want(ctx, ctx.memory, now)
        return [view for view in views if view.vm.vm_id in allowed]

    def _dealt(self, service: str) -> set[str]:
        """Return this daemon's part; every daemon that knows of the same deaths deals alike."""
        me, nodes = self._membership.node, [member.node for member in self._membership.live()]
        if me not in nodes:
            return set()  # a leaving daemon still serves, with any server
        lost = {
            server for server, run in self._poison.runs() if run == self._backends.start_id(server)
        }
        servers = sorted(vm.vm_id for vm in self._membership.vms if vm.service == service)
        left = [server for server in servers if server not in lost]
        return set(left[nodes.index(me) :: len(nodes)])
