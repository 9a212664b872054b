"""Model engines: OpenAI-compatible streaming with resumable generations, over urllib3.

A generation's events carry ``id: OFFSET`` (its number, from 0). The engine names its start identity
in the header X-Start-Id and the generation in X-Generation-Id of every answer.
"""

import json
from collections.abc import Iterator
from typing import NamedTuple

import urllib3
from urllib3.exceptions import HTTPError, ReadTimeoutError

from lovageway.events import Failure
from lovageway.model import LoadReport

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 2.0  # a silent link is probed by resuming on a new connection
READ_BYTES = 65536
MAX_EVENT_BYTES = 1 << 20


class Token(NamedTuple):
    """One output event of a generation."""

    offset: int
    text: str
    finish_reason: str | None


class EngineError(Exception):
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


class TokenStream:
    """Tokens of one connection to one generation, in batches as they arrive."""

    def __init__(self, resp: urllib3.BaseHTTPResponse, generation: str) -> None:
        self._resp = resp
        self.start_id = resp.headers.get("X-Start-Id", "")
        if resp.headers.get("X-Generation-Id") != generation:
            resp.close()
            raise EngineError("gone", "answer of another generation", self.start_id)

    def __iter__(self) -> Iterator[tuple[Token, ...]]:
        """Yield the tokens of each read; tokens that arrived together come together.

        Raises
        ------
        EngineError
            "stalled" when nothing came for IDLE_TIMEOUT_S, "lost" when the link broke.
        """
        buffer = b""
        try:
            while data := self._resp.read1(READ_BYTES):
                *events, buffer = (buffer + data).split(b"\n\n")
                if len(buffer) > MAX_EVENT_BYTES:
                    raise EngineError("error", "event too long", self.start_id)
                yield tuple(token for event in events if (token := parse_event(event)))
        except ReadTimeoutError as exc:
            raise EngineError("stalled", str(exc), self.start_id) from exc
        except (HTTPError, OSError) as exc:
            raise EngineError("lost", str(exc), self.start_id) from exc
        except (ValueError, KeyError, IndexError, TypeError) as exc:
            raise EngineError("error", f"malformed event: {exc}", self.start_id) from exc
        finally:
            self._resp.close()

    def close(self) -> None:
        """Close the connection; the engine keeps the generation for a while."""
        self._resp.close()


class Engines:
    """Client of every model engine."""

    def __init__(self) -> None:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=IDLE_TIMEOUT_S)
        self._pool = urllib3.PoolManager(num_pools=256, maxsize=32, timeout=timeout, retries=False)

    def start(self, address: str, generation: str, body: dict[str, object]) -> TokenStream:
        """Start a generation.

        Raises
        ------
        EngineError
            "connect" or "refused" when it did not run.
        """
        resp = self._request("POST", f"http://{address}/v1/completions", generation, body)
        return TokenStream(resp, generation)

    def resume(self, address: str, generation: str, offset: int) -> TokenStream:
        """Read a running generation from `offset` on."""
        url = f"http://{address}/v1/generations/{generation}?offset={offset}"
        return TokenStream(self._request("GET", url, generation, None), generation)

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

    def load(self, address: str) -> LoadReport | None:
        """Return the server's load report, None when it cannot be read."""
        try:
            resp = self._pool.request("GET", f"http://{address}/load")
            return LoadReport(**json.loads(resp.data)) if resp.status == 200 else None
        except (HTTPError, OSError, ValueError, TypeError):
            return None

    def _request(
        self, method: str, url: str, generation: str, body: dict[str, object] | None
    ) -> urllib3.BaseHTTPResponse:
        data = None if body is None else json.dumps(body).encode()
        headers = {"X-Generation-Id": generation, "Content-Type": "application/json"}
        try:
            resp = self._pool.request(
                method, url, body=data, headers=headers, preload_content=False
            )
        except (
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.NewConnectionError,
        ) as exc:
            raise EngineError("connect", str(exc)) from exc
        except ReadTimeoutError as exc:
            raise EngineError("stalled", str(exc)) from exc
        except (HTTPError, OSError) as exc:
            raise EngineError("lost", str(exc)) from exc
        if resp.status == 200:
            return resp
        start_id = resp.headers.get("X-Start-Id")
        resp.close()
        failures: dict[int, Failure] = {404: "gone", 429: "refused", 503: "refused"}
        raise EngineError(failures.get(resp.status, "error"), f"HTTP {resp.status}", start_id)


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
    choice = json.loads(data)["choices"][0]
    return Token(offset, choice["text"], choice.get("finish_reason"))
