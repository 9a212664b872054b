"""Generations whose caller has gone: kept for a while for its return, then cancelled.

The daemon that started a generation keeps its credits until the generation has ended. A caller may
come back through another daemon, which then tells the first one not to cancel.
"""

from typing import NamedTuple

from lovageway.controllers.base import Controller
from lovageway.controllers.membership import Membership
from lovageway.events import CancelGeneration, Count, Emit, SendPeer
from lovageway.messages import Message, StreamResumed

RESUME_GRACE_S = 5.0  # an abandoned generation holds engine memory for this long
NOTICE_INTERVAL_S = 0.5  # repeats cover a lost message; a repeated notice changes nothing


class Parked(NamedTuple):
    """A generation without a caller."""

    request_id: str
    server_id: str
    address: str
    until: float


class _Notice(NamedTuple):
    node: str
    until: float
    next_at: float


class Streams(Controller):
    """Owner of parked generations and of notices about resumed ones."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._parked: dict[str, Parked] = {}
        self._notices: dict[str, _Notice] = {}
        self._ended: list[str] = []

    def park(
        self, generation: str, request_id: str, server_id: str, address: str, now: float
    ) -> None:
        """Keep a generation for its caller's return."""
        until = now + RESUME_GRACE_S
        self._parked[generation] = Parked(request_id, server_id, address, until)

    def resumed(self, generation: str, node: str, now: float, emit: Emit) -> None:
        """Note that a caller reads the generation from here; `node` started it."""
        if node == self._membership.node:
            self._release(generation)
        else:
            self._notices[generation] = _Notice(node, now + RESUME_GRACE_S, now)
            self._notify(now, emit)

    def pop_ended(self) -> list[str]:
        """Return the ids of requests whose credits can be released, once each."""
        ended, self._ended = self._ended, []
        return ended

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Stop keeping a generation that another daemon carries on."""
        if isinstance(msg, StreamResumed):
            self._release(msg.generation)

    def tick(self, now: float, emit: Emit) -> None:
        """Cancel generations whose caller did not come back and repeat notices."""
        for generation, parked in list(self._parked.items()):
            if now >= parked.until:
                emit(CancelGeneration(parked.server_id, parked.address, generation))
                emit(Count("generations_cancelled"))
                self._release(generation)
        self._notify(now, emit)

    def dump(self, now: float) -> dict[str, object]:
        """Return parked generations."""
        return {"parked": {name: item._asdict() for name, item in self._parked.items()}}

    def _release(self, generation: str) -> None:
        parked = self._parked.pop(generation, None)
        if parked is not None:
            self._ended.append(parked.request_id)

    def _notify(self, now: float, emit: Emit) -> None:
        for generation, notice in list(self._notices.items()):
            if now >= notice.until:
                del self._notices[generation]
                continue
            address = self._membership.peer_address(notice.node)
            if now >= notice.next_at and address is not None:
                emit(SendPeer(address, StreamResumed(generation)))
                later = notice._replace(next_at=now + NOTICE_INTERVAL_S)
                self._notices[generation] = later
