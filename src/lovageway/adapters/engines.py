"""Model engines: orders and cancellation over urllib3, and the form of a token.

A generation's events carry ``id: OFFSET`` (its number, from 0). The engine names its start identity
in the header X-Start-Id and the generation in X-Generation-Id of every answer.
"""

from typing import NamedTuple

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from lovageway.events import Failure

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 2.0  # a silent link is probed by resuming on a new connection
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


_decode = msgspec.json.Decoder(_Event).decode  # a third of the time of json.loads for a token


class BackendError(Exception):
    """An engine call failed.

    Parameters
    ----------
    failure
        Why, in the node's terms.
    start_id
        Identity that the engine showed, None when it did not answer.
    """

    def __init__(self, failure: Failure, detail: str = "", start_id: str | None = None) -> None:
        super().__init__(f"{failure}: {detail}")
        self.failure = failure
        self.start_id = start_id


class Engines:
    """Client of every model engine for calls that block."""

    def __init__(self) -> None:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=IDLE_TIMEOUT_S)
        self._pool = urllib3.PoolManager(num_pools=256, maxsize=32, timeout=timeout, retries=False)

    def cancel(self, address: str, generation: str) -> None:
        """Drop a generation; best effort, the engine drops it by itself later."""
        try:
            self._pool.request("DELETE", f"http://{address}/v1/generations/{generation}")
        except (HTTPError, OSError):
            return

    def order(self, address: str, order: dict[str, object]) -> bool | None:
        """Send a desired state; False: refused for its fencing number, None: no answer."""
        try:
            resp = self._pool.request("POST", f"http://{address}/orders", json=order)
        except (HTTPError, OSError):
            return None
        return {200: True, 409: False}.get(resp.status)


def parse_event(event: bytes) -> Token | None:
    """Return the token in a server-sent event, None for comments and the end marker."""
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
