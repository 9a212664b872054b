"""Clients without a key send bodies in chunks of one byte; others are not answered in time.

N sets their number at each daemon.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from world import HOST, TROUBLE, World, call, new_id, route, run, service  # noqa: E402

from standins.replica import Replica  # noqa: E402

KEY = "key-1"
CLIENTS = int(os.environ.get("N", "200"))
WATCHED_S = 20.0
TIMEOUT_S, LATE_S, DEADLINE_S = 2.0, 0.5, 6.0


async def chunks(world, daemon):
    """Send a body in chunks of one byte, again and again."""
    block = b"1\r\nx\r\n" * 1300
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(daemon.host, daemon.port)
            head = f"POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {new_id()}\r\n"
            writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
            for _ in range(20):
                writer.write(block)
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await asyncio.wait_for(reader.read(1000), 10)
        except (OSError, EOFError, TimeoutError):
            await asyncio.sleep(0.1)
        finally:
            if writer is not None:
                writer.close()


async def main():
    async with World(__file__) as world:
        rec = world.rec
        for name in ("a-1", "a-2", "a-3"):
            server = Replica(name)
            server.service = "app"
            await world.add_server(server)
        world.put_config(
            {
                "version": 10,
                "routes": [
                    route("orders", "non_idempotent", "app"),
                    route("lookups", "idempotent", "app"),
                ],
                "services": [service("app")],
                "tenants": [{"name": "acc", "api_keys": [KEY], "priority": 1}],
            }
        )
        await world.add_daemons(2)
        found = []  # seconds until the answer, None for none until the deadline

        async def one(daemon, kind):
            attempt, began = new_id(), time.monotonic()
            counted = watching
            headers = {
                "Attempt-Id": attempt,
                "Deadline-Ms": str(int(1000 * DEADLINE_S)),
                "Authorization": f"Bearer {KEY}",
            }
            method, body = ("POST", b"o" * 600) if kind == "orders" else ("GET", b"")
            reply = await call(
                daemon.host, daemon.port, method, f"/{kind}/1", headers, body, DEADLINE_S
            )
            took = time.monotonic() - began if reply.status else None
            rec.line(
                "answer",
                id=attempt,
                daemon=daemon.name,
                kind=kind,
                status=reply.status,
                s=None if took is None else round(took, 3),
                watched=counted,
            )
            if counted:
                found.append((took, reply.status))

        async def ready(daemon):
            while True:
                began = time.monotonic()
                rec.line(
                    "ready",
                    daemon=daemon.name,
                    ready=await daemon.is_ready(),
                    ms=round(1000 * (time.monotonic() - began)),
                )
                await asyncio.sleep(1.0)

        async def traffic(daemon, kind):
            while True:
                world.spawn(one(daemon, kind))
                await asyncio.sleep(0.25)

        watching = False
        for daemon in world.daemons:
            world.spawn(ready(daemon))
            for kind in ("orders", "lookups"):
                world.spawn(traffic(daemon, kind))
        await asyncio.sleep(4.0)
        if TROUBLE:
            for daemon in world.daemons:
                for _ in range(CLIENTS):
                    world.spawn(chunks(world, daemon))
        await asyncio.sleep(3.0)
        watching = True
        await asyncio.sleep(WATCHED_S)
        watching = False
        await asyncio.sleep(DEADLINE_S + 1.0)
        late = [took for took, _ in found if took is None or took > TIMEOUT_S]
        unanswered = [took for took in late if took is None or took > TIMEOUT_S + LATE_S]
        served = sum(status == 200 for _, status in found)
        rec.say(
            f"{len(found)} requests, {served} served; unanswered at the route's timeout: "
            f"{len(late)}, of these without an answer {LATE_S} s later: {len(unanswered)}"
        )
        return len(unanswered) >= 8 and 2 * len(unanswered) > len(late)


run(main)
