"""An answer on its way from the connection that reads it to whoever takes its parts."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from lovageway.forwarding.model import AnswerHead

ANSWER_MOST = 4 << 20  # bytes of the body of an answer that is collected; the store's have 1 MB
UNTAKEN_MOST = 64 * 1024  # bytes of an answer that wait to be taken before reading pauses


class Part(NamedTuple):
    """A part of an answer."""

    head: AnswerHead | None
    data: bytes
    end: bool
    complete: bool  # with `end`: the whole answer arrived


class BadAnswerError(Exception):
    """An answer that is not taken; the message names the bound that it exceeds, or the fault."""


class Exchange:
    """One request on a connection and the parts of its answer.

    Parameters
    ----------
    attempt_id
        Id that the answer must bear; None for calls without one.
    body_most
        Bytes that the body may have; None for a stream, whose events have their own bound.
    """

    def __init__(
        self,
        attempt_id: str | None,
        *,
        no_body: bool = False,
        body_most: int | None = ANSWER_MOST,
    ) -> None:
        self.attempt_id = attempt_id
        self.no_body = no_body
        self.body_most = body_most
        self.fault: str | None = None  # why the answer was not taken
        self.on_pace: Callable[[bool], None] = lambda paused: None
        self._received = 0
        self._parts: deque[Part] = deque()
        self._untaken = 0
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        self.ended = False

    def expect(self, size: int) -> None:
        """Check the length that a head announces.

        Raises
        ------
        BadAnswerError
            The body will exceed its bound.
        """
        if self.body_most is not None and self._received + size > self.body_most:
            raise BadAnswerError("body")

    def put(self, part: Part) -> None:
        """Add a part; parts after the end are dropped.

        Raises
        ------
        BadAnswerError
            The body exceeds its bound.
        """
        if self.ended:
            return
        self.expect(len(part.data))
        self._received += len(part.data)
        self.ended = part.end
        self._parts.append(part)
        self._untaken += len(part.data)
        self._set_pace(self._untaken > UNTAKEN_MOST)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def get(self) -> Part:
        """Return the next part, in order."""
        while not self._parts:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        part = self._parts.popleft()
        self._untaken -= len(part.data)
        self._set_pace(self._untaken > UNTAKEN_MOST)
        return part

    def _set_pace(self, paused: bool) -> None:
        if paused != self._paused:
            self._paused = paused
            self.on_pace(paused)
