"""Finds the running generation that a resume token names."""

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.membership import Membership
from lovageway.controllers.streams import Streams
from lovageway.events import Emit, ResumeAttempt
from lovageway.model import address_of


class Resumption(Filter):
    """Last filter of the chain for resumed streams.

    It charges no capacity, because the running generation still holds its own.
    """

    def __init__(self, membership: Membership, streams: Streams) -> None:
        self._membership = membership
        self._streams = streams

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Start to read the generation, or refuse when its server is no longer listed."""
        token = ctx.req.resume
        assert token is not None
        assert ctx.contract is not None
        assert ctx.service is not None
        if token.account != ctx.contract.account:
            return stop(Refusal(Code.BAD_RESUME_TOKEN))
        address = address_of(self._membership.vms, token.server_id)
        if address is None:
            return stop(Refusal(Code.GENERATION_LOST, f"Server {token.server_id} has left."))
        self._streams.resumed(token.generation, token.node, now, emit)
        emit(
            ResumeAttempt(
                ctx.req.request_id,
                ctx.attempt,
                token.server_id,
                address,
                token.start_id,
                token.generation,
                ctx.service.timeout_s,
                ctx.service.name,
                ctx.request_class,
            )
        )
        return Ok(ctx._replace(server_id=token.server_id, address=address, start_id=token.start_id))
