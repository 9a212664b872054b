"""Chooses the backend server of an attempt."""

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, Wait, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.backends import Backends, ServerView
from lovageway.events import Emit

NO_SERVER_RETRY_S = 2.0
MAX_ASSUMED_TOKENS = 512  # max_tokens says little: callers leave it at its high default


class Routing(Filter):
    """Sends each attempt to the ready server with the fewest of this daemon's requests."""

    def __init__(self, backends: Backends) -> None:
        self._backends = backends

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Add server, address and start identity to the context."""
        assert ctx.contract is not None
        memory = ctx.req.prompt_tokens + min(ctx.req.max_tokens, MAX_ASSUMED_TOKENS)
        views = [
            view
            for view in self._backends.credits(ctx.req.service, now)
            if view.vm.vm_id not in ctx.tried and _fits(view, memory)
        ]
        if not views:
            self._backends.want(ctx.req.service, ctx.req.request_id, memory, now)
            refusal = Refusal(Code.NO_SERVER, retry_after_s=NO_SERVER_RETRY_S)
            return stop(Wait(refusal, ctx.arrived + ctx.contract.max_wait_s))
        view = min(views, key=lambda view: (view.in_flight, view.vm.vm_id))
        vm = view.vm
        self._backends.take(vm.vm_id, 1, memory)
        return Ok(
            ctx._replace(
                server_id=vm.vm_id, address=vm.address, start_id=view.start_id, memory=memory
            )
        )

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Give the request's slot and memory back."""
        self._backends.release(ctx.server_id, 1, ctx.memory)


def _fits(view: ServerView, memory: int) -> bool:
    return view.slots_free >= 1 and (not view.memory_capacity or view.memory_free >= memory)
