"""Backend servers of the soak: stand-ins behind proxies.

Their responses contain the id of the request, so that a response to another request is detected.
"""

import time

from standins.proxy import Proxy
from standins.rawhttp import Listener, answer
from standins.replica import SIGNATURE, Engine, Replica

EVENTS = 40  # of each stream
EVENT_INTERVAL_S = 0.02


def expected_body(attempt):
    """Return the only correct body of the response to a call."""
    return b"answer to " + attempt.encode()


def event(attempt, number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


class _ProxiedServer:
    """A server that advertises the address of its proxy, and records the arrivals of requests."""

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

    async def serve_request(self, request, writer):
        if "attempt-id" in request.headers:
            self.arrivals.append((time.monotonic(), request.headers["attempt-id"], request.path))
        return await super().serve_request(request, writer)

    async def stop(self):
        self.proxy.listener.close()
        self.proxy.set_mode("cut")
        await super().stop()


class PlainServer(_ProxiedServer, Replica):
    """A plain service."""

    is_bad = False  # whether its version fails half of the requests
    started = 0

    async def run(self, request, attempt, writer):
        self.body = expected_body(attempt)
        self.started += 1
        if not (self.is_bad and self.started % 2):
            return await super().run(request, attempt, writer)
        writer.write(answer(500, b"no", [("Attempt-Id", attempt), SIGNATURE]))
        return True


class EngineServer(_ProxiedServer, Engine):
    """A model engine."""

    def __init__(self, name, host="127.0.0.1", zone="z1"):
        super().__init__(name, host, zone, EVENTS, EVENT_INTERVAL_S)
        self.crashed_at = None
        self.crash_times = []

    def crash(self):
        self.crashed_at = time.monotonic()
        self.crash_times.append(self.crashed_at)
        super().crash()

    async def restart(self):
        self.crashed_at = None
        self.started_at_ms += 1
        return await Listener.start(self, self.port)

    def event(self, attempt, number):
        return event(attempt, number)
