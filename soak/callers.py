"""Callers of the soak, which reuse a connection until the daemon closes it or it fails."""

import asyncio
import time

from standins.caller import Client

from soak.promises import ObservedRequest

PAUSE_S = 0.03  # between two requests of a caller
TIMEOUT_S = 12.0  # longer than the timeout of every route
CRASHING_SHARE = 0.3  # of the streams, while a part of prompts crashes engines
HEADERS = {"stream": {"Token_Usage": "100,400", "Length_Hint": "400", "Model": "m"}}
METHODS = {"safe": "GET", "once": "POST", "stream": "POST"}


class Caller:
    """A caller that sends one request after another.

    Its observations are appended to `observed`, a list that all callers share.
    """

    def __init__(self, number, world, observed):
        self.number = number
        self.world = world
        self.observed = observed
        self.stopping = False
        self._client = None
        self._daemon = None
        self._count = 0

    async def run(self):
        """Send requests until `stopping` is set."""
        kinds = ("safe", "once", "once", "stream")
        while not self.stopping:
            await self.send_request(kinds[(self._count + self.number) % len(kinds)])
            await asyncio.sleep(PAUSE_S)
        self.close()

    async def send_request(self, kind, daemon=None, path=""):
        """Send one request, record its result and return it; without `daemon`, to any daemon."""
        self._count += 1
        attempt = f"c{self.number}-{self._count}"
        begin = time.monotonic()
        sent, reply = False, None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self._connect(daemon)
                await self._client.send(
                    method=METHODS[kind],
                    target=path or f"/{kind}/x",
                    body=b"" if kind == "safe" else b"body of " + attempt.encode(),
                    attempt=attempt,
                    Deadline_Ms="8000",
                    **HEADERS.get(kind, {}),
                    Prompt_Prefix=self._prompt_parts(kind, attempt),
                )
                sent = True
                reply = await self._client.reply()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
        result = self._record(attempt, kind, begin, sent, reply)
        if reply is not None and reply.headers.get("connection") == "close":
            self.close()
        if not result.complete:
            self.close()
        return result

    def _prompt_parts(self, kind, attempt):
        if kind != "stream":
            return ""
        parts = ["first", f"caller{self.number % 3}"]
        if self.world.crashing_part and self.world.rng.random() < CRASHING_SHARE:
            parts.append(self.world.crashing_part)
        return ",".join(f"{part}:25" for part in (*parts, attempt))

    async def _connect(self, daemon):
        if daemon is not None and daemon is not self._daemon:
            self.close()
        if self._client is None:
            self._daemon = daemon or self.world.rng.choice(self.world.daemons)
            host, port = self._daemon.settings["listen"]["frontend"].split(":")
            self._client = Client(*await asyncio.open_connection(host, int(port)))

    def _record(self, attempt, kind, begin, sent, reply):
        result = ObservedRequest(
            id=attempt,
            kind=kind,
            daemon=self._daemon.name if self._daemon else "",
            begin=begin,
            end=time.monotonic(),
            sent=sent,
            status=reply.status if reply else 0,
            signed=bool(reply) and "replica-signature" in reply.headers,
            body=reply.body if reply else b"",
            complete=bool(reply) and reply.complete,
        )
        self.observed.append(result)
        return result

    def close(self):
        """Close the connection; the next request opens another one."""
        if self._client is not None:
            self._client.close()
        self._client = None
