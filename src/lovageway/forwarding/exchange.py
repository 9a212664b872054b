"""Queue of answer parts between the connection that reads an answer and its consumer."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from lovageway.forwarding.model import AnswerHead

MAX_ANSWER_BYTES = 4 << 20  # body of a buffered answer; answers of the store have up to 1 MB
MAX_BUFFERED_BYTES = 64 * 1024  # unconsumed bytes of an answer above which reading pauses


class Part(NamedTuple):
    """Part of an answer: its head, a piece of the body or the end."""

    head: AnswerHead | None
    data: bytes
    end: bool
    complete: bool  # with `end`: whether the answer arrived completely


class BadAnswerError(Exception):
    """The answer is rejected; the message names the limit that it exceeds, or the fault."""


class Exchange:
    """One request on a connection and the parts of its answer.

    Parameters
    ----------
    attempt_id
        Id that the answer must carry; None for calls without one.
    no_body
        Whether the answer has no body whatever its headers say, as after a HEAD request.
    max_bytes
        Limit of the body in bytes; None for a stream, whose events have a limit of their own.
    """

    def __init__(
        self,
        attempt_id: str | None,
        *,
        no_body: bool = False,
        max_bytes: int | None = MAX_ANSWER_BYTES,
    ) -> None:
        self.attempt_id = attempt_id
        self.no_body = no_body
        self.max_bytes = max_bytes
        self.fault: str | None = None  # why the answer was rejected
        self.ended_by_close = False  # whether only the end of the connection ended the answer
        self.on_reading_paused: Callable[[bool], None] = lambda paused: None
        self._received_bytes = 0
        self._head: Part | None = None
        self._data: list[bytes] = []  # taken together, however many chunks they came in
        self._end: Part | None = None
        self._buffered_bytes = 0
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        self.ended = False

    def check_size(self, size: int) -> None:
        """Check the size of the body after `size` more bytes.

        Raises
        ------
        BadAnswerError
            The body would exceed its limit.
        """
        if self.max_bytes is not None and self._received_bytes + size > self.max_bytes:
            raise BadAnswerError("body")

    def put(self, part: Part) -> None:
        """Append a part; parts after the end are ignored.

        Raises
        ------
        BadAnswerError
            The body exceeds its limit.
        """
        if self.ended:
            return
        self.check_size(len(part.data))
        self._received_bytes += len(part.data)
        self.ended = part.end
        if part.end:
            self._end = part
        elif part.head is not None:
            self._head = part
        else:
            self._data.append(part.data)
        self._buffered_bytes += len(part.data)
        self._set_paused(self._buffered_bytes > MAX_BUFFERED_BYTES)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def get(self) -> Part:
        """Return the next part, waiting for it if necessary."""
        while (part := self._take()) is None:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self._buffered_bytes -= len(part.data)
        self._set_paused(self._buffered_bytes > MAX_BUFFERED_BYTES)
        return part

    def _take(self) -> Part | None:
        if self._head is not None:
            head, self._head = self._head, None
            return head
        if self._data:
            data, self._data = b"".join(self._data), []
            return Part(None, data, False, False)
        end, self._end = self._end, None
        return end

    def _set_paused(self, paused: bool) -> None:
        if paused != self._paused:
            self._paused = paused
            self.on_reading_paused(paused)
