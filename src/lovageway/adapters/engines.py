"""Client of model engines for orders and cancellations, and the parser of token events.

Each event of a generation carries ``id: OFFSET``, the number of the token counted from 0. Every
response of an engine carries its start id in the header X-Start-Id and the generation in
X-Generation-Id.
"""

from typing import NamedTuple

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from lovageway.events import Failure

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 2.0  # without data for this long, a stream is resumed on a new connection
MAX_EVENT_BYTES = 1 << 20


class Token(NamedTuple):
    """One output event of a generation."""

    offset: int
    text: str
    finish_reason: str | None


class _Choice(msgspec.Struct):
    text: str
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice]


_decode = msgspec.json.Decoder(_Event).decode  # takes a third of json.loads' time


class BackendError(Exception):
    """A call to a backend server failed.

    Parameters
    ----------
    failure
        Kind of failure, as in the event `AttemptFailed`.
    detail
        Text for the exception's message.
    start_id
        Start id that the server sent, None when it did not answer.
    """

    def __init__(self, failure: Failure, detail: str = "", start_id: str | None = None) -> None:
        super().__init__(f"{failure}: {detail}")
        self.failure = failure
        self.start_id = start_id


class EngineClient:
    """Blocking client of all model engines."""

    def __init__(self) -> None:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=IDLE_TIMEOUT_S)
        self._pool = urllib3.PoolManager(num_pools=256, maxsize=32, timeout=timeout, retries=False)

    def cancel(self, address: str, generation: str) -> None:
        """Cancel a generation.

        Errors are ignored, because the engine drops an unread generation itself after a while.
        """
        try:
            self._pool.request("DELETE", f"http://{address}/v1/generations/{generation}")
        except (HTTPError, OSError):
            return

    def order(self, address: str, order: dict[str, object]) -> bool | None:
        """Send an order with the desired state.

        Returns
        -------
        bool or None
            True if the engine accepted it, False if it has already accepted a higher fencing
            number, None if there was no valid response.
        """
        try:
            resp = self._pool.request("POST", f"http://{address}/orders", json=order)
        except (HTTPError, OSError):
            return None
        return {200: True, 409: False}.get(resp.status)


def parse_event(event: bytes) -> Token | None:
    """Return the token of a server-sent event, None for comments and the end marker."""
    offset, data = -1, b""
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            offset = int(value)
        elif name == b"data":
            data = value.strip()
    if not data or data == b"[DONE]":
        return None
    choice = _decode(data).choices[0]
    return Token(offset, choice.text, choice.finish_reason)
