"""Generations whose caller has disconnected: kept for a grace period, then cancelled.

The daemon that started a generation keeps its credits until the generation has ended. A caller may
resume it through another daemon, which then notifies the first one not to cancel it.
"""

from typing import NamedTuple

from lovageway.controllers.base import Controller
from lovageway.controllers.membership import Membership
from lovageway.events import CancelGeneration, Count, Emit, SendPeer
from lovageway.messages import Message, StreamResumed

RESUME_GRACE_S = 5.0  # a generation without a caller holds engine memory for this long
NOTICE_INTERVAL_S = 0.5  # notices are idempotent and repeated in case a message is lost


class Parked(NamedTuple):
    """A generation that is kept although its caller has disconnected."""

    request_id: str
    server_id: str
    address: str
    until: float


class _Notice(NamedTuple):
    node: str
    until: float
    next_at: float


class Streams(Controller):
    """Parked generations and the notices to other daemons about resumed ones."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._parked: dict[str, Parked] = {}
        self._notices: dict[str, _Notice] = {}
        self._ended: list[str] = []

    def park(
        self, generation: str, request_id: str, server_id: str, address: str, now: float
    ) -> None:
        """Keep a generation so that its caller can resume it."""
        until = now + RESUME_GRACE_S
        self._parked[generation] = Parked(request_id, server_id, address, until)

    def resumed(self, generation: str, node: str, now: float, emit: Emit) -> None:
        """Record that a caller reads the generation through this daemon; `node` started it."""
        if node == self._membership.node:
            self._release(generation)
        else:
            self._notices[generation] = _Notice(node, now + RESUME_GRACE_S, now)
            self._notify(now, emit)

    def pop_ended(self) -> list[str]:
        """Return and forget the ids of requests whose credits can be released."""
        ended, self._ended = self._ended, []
        return ended

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Release a parked generation that was resumed through another daemon."""
        if isinstance(msg, StreamResumed):
            self._release(msg.generation)

    def tick(self, now: float, emit: Emit) -> None:
        """Cancel generations that were not resumed in time and repeat notices."""
        for generation, parked in list(self._parked.items()):
            if now >= parked.until:
                emit(CancelGeneration(parked.server_id, parked.address, generation))
                emit(Count("generations_cancelled"))
                self._release(generation)
        self._notify(now, emit)

    def dump(self, now: float) -> dict[str, object]:
        """Return the parked generations."""
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
