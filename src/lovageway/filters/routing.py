"""Chooses the backend server of an attempt."""

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, Wait, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.backends import Backends
from lovageway.events import Emit

NO_SERVER_RETRY_S = 2.0


class Routing(Filter):
    """Sends each attempt to the ready server with the fewest of this daemon's requests."""

    def __init__(self, backends: Backends) -> None:
        self._backends = backends

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Add server, address and start identity to the context."""
        servers = [
            vm
            for vm in self._backends.candidates(ctx.req.service, now)
            if vm.vm_id not in ctx.tried
        ]
        if not servers:
            assert ctx.contract is not None
            refusal = Refusal(Code.NO_SERVER, retry_after_s=NO_SERVER_RETRY_S)
            return stop(Wait(refusal, ctx.arrived + ctx.contract.max_wait_s))
        vm = min(servers, key=lambda vm: (self._backends.in_flight(vm.vm_id), vm.vm_id))
        self._backends.start(vm.vm_id)
        start_id = self._backends.start_id(vm.vm_id)
        return Ok(ctx._replace(server_id=vm.vm_id, address=vm.address, start_id=start_id))

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Count the request out of the server."""
        self._backends.end(ctx.server_id)
