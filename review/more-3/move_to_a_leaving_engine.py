"""Two engines are emptied one after the other; a generation moves to the second one after that."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from world import BOUNDS, ENGINE, HOST, TROUBLE, World, new_id, route, run, service  # noqa: E402

from standins.replica import Engine  # noqa: E402

KEY = "key-1"
DRAIN_S = BOUNDS["drain_ms"] / 1000
FIRST_COPY_S = 3.0  # behind other moves on both links; the rest is copied at once
STAY_S = 8.0  # after its notice an engine serves for so long, then it ends


class MovingEngine(Engine):
    """Engine whose first copy of a generation waits behind others."""

    def __init__(self, name, zone, world):
        super().__init__(name, zone=zone, events=400, event_interval_s=0.03)
        self.world = world
        self.arrivals = []

    async def serve_request(self, request, writer):
        now = time.monotonic()
        kind = request.headers.get("kv-from", "")
        self.world.rec.line(
            "at_engine",
            engine=self.name,
            call=f"{request.method} {request.path}",
            id=request.headers.get("attempt-id"),
            kv_from=kind,
        )
        if "attempt-id" in request.headers:
            self.arrivals.append((now, request.headers["attempt-id"], kind))
        return await super().serve_request(request, writer)

    async def _migrate(self, fields, writer):
        self.migration_s = 0.05 if fields.get("last") else FIRST_COPY_S
        return await super()._migrate(fields, writer)


async def stream(world, daemon, ids):
    """Read one generation; return the ids of its events and whether it ended as complete."""
    attempt = new_id()
    ids.append(attempt)
    headers = {
        "Attempt-Id": attempt,
        "Deadline-Ms": "39000",
        "Authorization": f"Bearer {KEY}",
        "Model": "m",
        "Token-Usage": "3000,1600",
        "Prompt-Prefix": "5c1e07a2:800,e4402b7d:2200",
    }
    lines = ["POST /digests/1 HTTP/1.1", f"Host: {HOST}", "Content-Length: 3"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    reader, writer = await asyncio.open_connection(daemon.host, daemon.port)
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\nabc")
    events, whole = 0, False
    try:
        while line := await reader.readline():
            events += line.startswith(b"id:")
            if line == b"0\r\n":
                whole = True
                break
    except OSError:
        pass
    writer.close()
    world.rec.line("stream", id=attempt, events=events, whole=whole)
    return whole


async def main():
    async with World(__file__) as world:
        rec = world.rec
        first, second, third = (
            MovingEngine(name, zone, world)
            for name, zone in (("e-1", "z1"), ("e-2", "z1"), ("e-3", "z1"))
        )
        await world.add_server(first)
        world.put_config(
            {
                "version": 10,
                "routes": [
                    route(
                        "digests",
                        "streaming",
                        "llm",
                        timeout_ms=39000,
                        target_latency_ms=1800,
                        sticky_sessions=True,
                    )
                ],
                "services": [service("llm", cold_start_s=1.0, cold_per_s=26.0, engine=ENGINE)],
                "tenants": [{"name": "acc", "api_keys": [KEY], "priority": 1}],
            }
        )
        await world.add_daemons(2)
        ids = []
        task = world.spawn(stream(world, world.daemons[0], ids))
        await asyncio.sleep(1.0)
        await world.add_server(second)
        await asyncio.sleep(2.0)

        def leave(engine):
            engine.listed["state"] = "draining"
            world.store.put("servers", engine.name, engine.entry(sequence=99, state="draining"))
            rec.line("draining", engine=engine.name)
            return time.monotonic()

        leave(first)
        await asyncio.sleep(0.2)
        acked_at = leave(second) if TROUBLE else None
        await world.add_server(third)
        asyncio.get_running_loop().call_later(STAY_S, first.crash)
        if TROUBLE:
            asyncio.get_running_loop().call_later(STAY_S, second.crash)
        whole = await asyncio.wait_for(task, 40.0)
        late = (
            []
            if acked_at is None
            else [
                round(at - acked_at, 2) for at, _, _ in second.arrivals if at > acked_at + DRAIN_S
            ]
        )
        rec.say(
            f"requests that reached e-2 over {DRAIN_S} s after it was acknowledged as draining: "
            f"{late} (s after it); the generation ended whole: {whole}"
        )
        return bool(late)


run(main)
