"""Backend servers of the soak: stand-ins behind proxies whose answers name their request."""

import asyncio
import json
import time

from standins.proxy import Proxy
from standins.replica import SIGNATURE, Engine, Replica
from standins.wire import answer

EVENTS = 40
PACE_S = 0.02


def expected_body(attempt):
    """Return the only right answer to a call."""
    return b"answer to " + attempt.encode()


def event(attempt, number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


class _Proxied:
    """A server that is reached through its proxy only."""

    proxy = None

    async def start(self, port=0):
        await super().start(port)
        self.proxy = Proxy(f"{self.host}:{self.port}")
        Engine.fleet[self.address] = self
        self.arrivals = []
        return self

    @property
    def address(self):
        return self.proxy.address if self.proxy else f"{self.host}:{self.port}"

    async def serve_one(self, asked, writer):
        if "attempt-id" in asked.headers:
            self.arrivals.append((time.monotonic(), asked.headers["attempt-id"], asked.path))
        return await super().serve_one(asked, writer)

    async def stop(self):
        self.proxy.listener.close()
        self.proxy.set_mode("cut")
        await super().stop()


class PlainServer(_Proxied, Replica):
    """A plain service."""

    async def run(self, asked, attempt, writer):
        self.body = expected_body(attempt)
        return await super().run(asked, attempt, writer)


class EngineServer(_Proxied, Engine):
    """A model engine."""

    def __init__(self, name, host="127.0.0.1", zone="z1"):
        super().__init__(name, host, zone, EVENTS, PACE_S)

    async def run(self, asked, attempt, writer):
        if self.behaviour != "ok":
            return await super().run(asked, attempt, writer)
        source = asked.headers.get("kv-from")
        if source is not None and source not in self.copies:
            self.ran.pop()
            writer.write(answer(503, b"", [("Not-Executed", "1"), ("Attempt-Id", attempt)]))
            return True
        if source is not None:
            self.ran.pop()  # the same run goes on
        backup = asked.headers.get("kv-backup")
        headers = [("Attempt-Id", attempt), SIGNATURE, ("Transfer-Encoding", "chunked")]
        writer.write(answer(200, b"", headers, length=False))
        for number in range(int(asked.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            if attempt in self.stopped:
                await writer.drain()
                return False
            self.runs[attempt] = number
            if backup in Engine.fleet:
                Engine.fleet[backup].copies[f"{backup}/{attempt}"] = number
            data = event(attempt, number)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(PACE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def entry(server, **fields):
    """Return what a server writes to the store, as JSON."""
    return json.dumps(server.entry(**fields))
