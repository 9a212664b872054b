"""Callers of the soak: they keep connections until a daemon closes them, or is gone."""

import asyncio
import time

from standins.caller import Client

from soak.promises import Seen

PAUSE_S = 0.03
TIMEOUT_S = 12.0  # beyond every route's time
HEADERS = {"stream": {"Token_Usage": "100,400", "Length_Hint": "400", "Model": "m"}}
METHODS = {"safe": "GET", "once": "POST", "stream": "POST"}


class Caller:
    """One caller that sends one request after another."""

    def __init__(self, number, world, seen):
        self.number = number
        self.world = world
        self.seen = seen
        self.stopping = False
        self._client = None
        self._daemon = None
        self._count = 0

    async def run(self):
        """Send requests until told to stop."""
        kinds = ("safe", "once", "once", "stream")
        while not self.stopping:
            await self.ask(kinds[(self._count + self.number) % len(kinds)])
            await asyncio.sleep(PAUSE_S)
        self.close()

    async def ask(self, kind, daemon=None, path=""):
        """Send one request and note what came of it."""
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
                )
                sent = True
                reply = await self._client.reply()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
        found = self._note(attempt, kind, begin, sent, reply)
        if reply is not None and reply.headers.get("connection") == "close":
            self.close()
        if not found.complete:
            self.close()
        return found

    async def _connect(self, daemon):
        if daemon is not None and daemon is not self._daemon:
            self.close()
        if self._client is None:
            self._daemon = daemon or self.world.rng.choice(self.world.daemons)
            host, port = self._daemon.settings["listen"]["frontend"].split(":")
            self._client = Client(*await asyncio.open_connection(host, int(port)))

    def _note(self, attempt, kind, begin, sent, reply):
        found = Seen(
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
        self.seen.append(found)
        return found

    def close(self):
        """Drop the connection."""
        if self._client is not None:
            self._client.close()
        self._client = None
