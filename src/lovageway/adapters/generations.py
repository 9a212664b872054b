"""Client for token streams of model engines, on the event loop with aiohttp."""

import asyncio
import json

import aiohttp
import msgspec

from lovageway.adapters.engines import (
    CONNECT_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_EVENT_BYTES,
    BackendError,
    Token,
    parse_event,
)
from lovageway.events import Failure

# Kind of failure for each HTTP status; any other status is an "error".
_FAILURES: dict[int, Failure] = {404: "gone", 429: "refused", 503: "refused"}


class TokenStream:
    """Reads the tokens of one generation from one connection, in batches as they arrive.

    Parameters
    ----------
    resp
        Response of the engine.
    generation
        Name of the requested generation.

    Raises
    ------
    BackendError
        "gone" if the engine answered with another generation.
    """

    def __init__(self, resp: aiohttp.ClientResponse, generation: str) -> None:
        self._resp = resp
        self._buffer = b""
        self._loop = asyncio.get_running_loop()
        self._reading_since: float | None = None
        self._is_stalled = False
        self.start_id = resp.headers.get("X-Start-Id", "")
        if resp.headers.get("X-Generation-Id") != generation:
            resp.close()
            raise BackendError("gone", "response of another generation", self.start_id)
        if resp.connection is not None and resp.connection.protocol is not None:
            # Otherwise aiohttp cancels and creates a timer for each read.
            resp.connection.protocol.read_timeout = None
        self._idle_timer: asyncio.TimerHandle | None = self._loop.call_later(
            IDLE_TIMEOUT_S, self._check_idle
        )

    async def read(self) -> tuple[Token, ...] | None:
        """Return the tokens that have arrived since the last call, None at the end.

        Raises
        ------
        BackendError
            "stalled" if nothing arrived for IDLE_TIMEOUT_S, "lost" if the connection broke,
            "error" if an event is malformed or too long.
        """
        try:
            self._reading_since = self._loop.time()
            data = await self._resp.content.readany()
            self._reading_since = None
            if not data:
                return None
            *events, self._buffer = (self._buffer + data).split(b"\n\n")
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise BackendError("error", "event too long", self.start_id)
            return tuple(token for event in events if (token := parse_event(event)))
        except TimeoutError as exc:
            raise BackendError("stalled", str(exc), self.start_id) from exc
        except (aiohttp.ClientError, OSError) as exc:
            failure: Failure = "stalled" if self._is_stalled else "lost"
            raise BackendError(failure, str(exc), self.start_id) from exc
        except (ValueError, IndexError, msgspec.MsgspecError) as exc:
            raise BackendError("error", f"malformed event: {exc}", self.start_id) from exc

    def close(self) -> None:
        """Close the connection; the engine keeps the generation for a while for resumption."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        self._resp.close()

    def _check_idle(self) -> None:
        """Close the connection if nothing arrived for IDLE_TIMEOUT_S.

        One timer runs for each IDLE_TIMEOUT_S, because one for each token would be expensive.
        """
        now = self._loop.time()
        since = now if self._reading_since is None else self._reading_since
        if now - since >= IDLE_TIMEOUT_S:
            self._is_stalled = True
            self._resp.close()
            return
        self._idle_timer = self._loop.call_at(since + IDLE_TIMEOUT_S, self._check_idle)


class GenerationClient:
    """Starts and resumes generations; must be created on a running event loop.

    There is one connection for each open request, and the callers' listener limits those. A
    connection is used once: one whose stream was not read to the end cannot be reused, and if the
    engine closed a kept-alive connection just as it was reused, the generation would look lost.
    """

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=IDLE_TIMEOUT_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def start(self, address: str, generation: str, body: dict[str, object]) -> TokenStream:
        """Start a generation.

        Raises
        ------
        BackendError
            "connect" or "refused" if the generation did not run; otherwise it may have run.
        """
        return await self._request("POST", f"http://{address}/v1/completions", generation, body)

    async def resume(self, address: str, generation: str, offset: int) -> TokenStream:
        """Read a running generation from token `offset` on.

        Raises
        ------
        BackendError
            "gone" if the engine no longer has the generation.
        """
        url = f"http://{address}/v1/generations/{generation}?offset={offset}"
        return await self._request("GET", url, generation, None)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _request(
        self, method: str, url: str, generation: str, body: dict[str, object] | None
    ) -> TokenStream:
        data = None if body is None else json.dumps(body).encode()
        headers = {"X-Generation-Id": generation, "Content-Type": "application/json"}
        try:
            resp = await self._session.request(
                method, url, data=data, headers=headers, allow_redirects=False
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise BackendError("connect", str(exc)) from exc
        except TimeoutError as exc:
            raise BackendError("stalled", str(exc)) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise BackendError("lost", str(exc)) from exc
        if resp.status == 200:
            return TokenStream(resp, generation)
        resp.close()
        failure = _FAILURES.get(resp.status, "error")
        raise BackendError(failure, f"HTTP {resp.status}", resp.headers.get("X-Start-Id"))
