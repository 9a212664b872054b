"""Clients that read nothing of their answers; held: no rule is broken, no memory is exceeded."""

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from world import (
    ENGINE,
    HOST,
    TROUBLE,
    World,
    call,
    new_id,
    request_bytes,
    route,
    run,
    service,
)  # noqa: E402, E501, I001

from standins.replica import Engine, Replica, answer  # noqa: E402

KEY = "key-1"
STREAMS = 280  # whose clients read nothing
CALLS = 840  # the same, each with an answer of ANSWER_BYTES
ANSWER_BYTES = 3_000_000
PIECE_BYTES = 1400
MEMORY_MB = 150
STEPS = 40  # of half a second; the clients come in the first half


class BigEvents(Engine):
    """Engine whose events are large."""

    def event(self, attempt, number):
        return b"id: %d\ndata: %b\n\n" % (number, b"x" * PIECE_BYTES)


class BigAnswers(Replica):
    """Plain server with a large answer on one path."""

    service = "app"

    async def run(self, request, attempt, writer):
        if not request.path.endswith("big"):
            return await super().run(request, attempt, writer)
        writer.write(answer(200, b"y" * ANSWER_BYTES, [("Attempt-Id", attempt)]))
        await writer.drain()
        return True


def peak_mb(pid):
    """Return the peak of a process's memory in megabytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1000


async def main():
    async with World(__file__) as world:
        loop = asyncio.get_running_loop()
        for number in range(12):
            engine = BigEvents(f"e-{number}", zone="z1", events=400, event_interval_s=0.03)
            await world.add_server(engine)
        for number in range(3):
            await world.add_server(BigAnswers(f"a-{number}"))
        digests = {"timeout_ms": 39000, "target_latency_ms": 1800, "sticky_sessions": True}
        world.put_config(
            {
                "version": 10,
                "routes": [
                    route("digests", "streaming", "llm", **digests),
                    route("lookups", "idempotent", "app"),
                ],
                "services": [
                    service("llm", cold_start_s=1.0, cold_per_s=26.0, engine=ENGINE),
                    service("app"),
                ],
                "tenants": [{"name": "acc", "api_keys": [KEY], "priority": 1}],
            }
        )
        await world.add_daemons(1)
        daemon, served, kept = world.daemons[0], [0, 0], []

        def headers(deadline_ms, **fields):
            return {
                "Attempt-Id": new_id(),
                "Deadline-Ms": str(deadline_ms),
                "Authorization": f"Bearer {KEY}",
                **{name.replace("_", "-"): value for name, value in fields.items()},
            }

        async def send(request):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            kept.append(sock)
            await loop.sock_connect(sock, (daemon.host, daemon.port))
            await loop.sock_sendall(sock, request)

        async def lookup():
            reply = await call(daemon.host, daemon.port, "GET", "/lookups/1", headers(2000))
            served[0] += 1
            served[1] += reply.status == 200

        for step in range(STEPS):
            if TROUBLE and step < STEPS // 2:
                for _ in range(STREAMS * 2 // STEPS):
                    part = f"{new_id()[:8]}:900"
                    sizes = {"Model": "m", "Token_Usage": "900,450", "Prompt_Prefix": part}
                    fields = headers(39000, **sizes)
                    await send(request_bytes("POST", "/digests/1", fields, b"abc"))
                for _ in range(CALLS * 2 // STEPS):
                    await send(request_bytes("GET", "/lookups/big", headers(2000)))
            for _ in range(4):
                world.spawn(lookup())
            await asyncio.sleep(0.5)
        await asyncio.sleep(5.0)
        ended, peak = daemon.process.poll(), 0.0
        if ended is None:
            peak = peak_mb(daemon.process.pid)
        world.rec.say(f"calls, served: {served}; peak {peak:.0f} MB; ended: {ended}")
        for sock in kept:
            sock.close()
        return ended is not None or peak > MEMORY_MB or served[1] < served[0] / 2


run(main)
