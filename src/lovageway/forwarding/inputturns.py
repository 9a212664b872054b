"""Shares the event loop between connections with much pending input.

Load pattern: a faulty server, or a client, sends input whose parsing takes far longer than its
size suggests, such as chunks of one byte, on several connections at once. Each connection parses a
slice of its input at a time. One whose slices took longer than a turn waits until the others that
wait had theirs; one turn is given for each pass of the event loop, so that all other work goes on.
"""

import asyncio
from collections import deque
from collections.abc import Callable

SLICE_BYTES = 4096
# Read from a client at once. A connection whose requests wait keeps as much unparsed.
READ_BYTES = 8192
TURN_S = 0.002
MAX_TURN_BYTES = 64 * 1024  # also where the clock does not advance while the process works


class InputTurns:
    """Queue of connections and requests that wait for their next turn."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.read_buffer = bytearray(READ_BYTES)  # shared: it is emptied as soon as it is filled
        self._waiting: deque[Callable[[], None]] = deque()
        self._scheduled = False

    def begin(self) -> "Turn":
        """Return a turn that begins now."""
        return Turn(self._clock)

    def wait(self, resume: Callable[[], None]) -> None:
        """Call `resume` at its turn, in a later pass of the event loop."""
        self._waiting.append(resume)
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._resume_next)

    async def next(self) -> "Turn":
        """Wait for the next turn and return it."""
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.wait(lambda: None if fut.done() else fut.set_result(None))
        await fut
        return self.begin()

    def _resume_next(self) -> None:
        resume = self._waiting.popleft()
        self._scheduled = bool(self._waiting)
        if self._scheduled:
            asyncio.get_running_loop().call_soon(self._resume_next)
        resume()


class Turn:
    """The work of one connection in one pass of the event loop."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._began_at = clock()
        self._bytes = 0

    def is_over(self, size: int) -> bool:
        """Count `size` bytes as processed, and return whether the turn is over."""
        self._bytes += size
        return self._bytes >= MAX_TURN_BYTES or self._clock() - self._began_at >= TURN_S


def set_reading(transport: asyncio.Transport | None, reading: bool) -> None:
    """Pause or resume reading from a transport, unless its connection is closed."""
    if transport is None or transport.is_closing():
        return
    if reading:
        transport.resume_reading()
    else:
        transport.pause_reading()


class SlicedInput:
    """Input of one connection, parsed in slices; reading pauses while parsed input is pending.

    Parameters
    ----------
    feed
        Parses a slice; returns False if the rest of the input is of no use.
    set_reading
        Pauses or resumes reading from the transport.
    """

    def __init__(
        self,
        turns: InputTurns,
        feed: Callable[[bytes], bool],
        set_reading: Callable[[bool], None],
    ) -> None:
        self._turns = turns
        self._feed = feed
        self._set_reading = set_reading
        self._pending = b""
        self._held = False  # whether the consumer of the parsed input asked to pause
        self._waiting = False  # for a turn
        self._reading = True

    @property
    def pending(self) -> int:
        """Return the number of bytes that are received and not parsed."""
        return len(self._pending)

    def receive(self, data: bytes) -> None:
        """Parse input, or keep it if earlier input is pending."""
        if self._pending or self._held:
            self._pending += data
            self._update()
        else:
            self._parse(data)

    def hold(self, held: bool) -> None:
        """Pause parsing and reading, or resume both."""
        self._held = held
        self._resume()

    def discard(self) -> None:
        """Drop pending input."""
        self._pending, self._held = b"", False
        self._update()

    def _resume(self) -> None:
        if self._pending and not self._held and not self._waiting:
            self._waiting = True
            self._turns.wait(self._take_turn)
        self._update()

    def _take_turn(self) -> None:
        self._waiting = False
        if self._pending and not self._held:
            data, self._pending = self._pending, b""
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        turn = self._turns.begin()
        at = 0
        while at < len(data):
            piece = data[at : at + SLICE_BYTES]
            at += len(piece)
            if not self._feed(piece):
                at = len(data)
            if self._held or turn.is_over(len(piece)):
                break
        self._pending = data[at:]
        self._resume()

    def _update(self) -> None:
        """Read from the transport only while nothing is pending."""
        reading = not self._held and not self._pending
        if reading != self._reading:
            self._reading = reading
            self._set_reading(reading)
