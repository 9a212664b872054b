"""Backend servers of the soak: stand-ins behind proxies whose answers name their request."""

import time

from standins.proxy import Proxy
from standins.replica import Engine, Replica

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

    async def serve_request(self, asked, writer):
        if "attempt-id" in asked.headers:
            self.arrivals.append((time.monotonic(), asked.headers["attempt-id"], asked.path))
        return await super().serve_request(asked, writer)

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

    def event(self, attempt, number):
        return event(attempt, number)
