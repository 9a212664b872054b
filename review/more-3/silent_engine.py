"""The open connection to an engine goes silent; its generation goes on elsewhere while it works."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from world import ENGINE, HOST, TROUBLE, Link, World, new_id, route, run, service  # noqa: E402

from standins.replica import Engine  # noqa: E402

KEY = "key-1"
TARGET_S, GAP_S = 1.8, 0.18
# PROTOCOL.md: clients abandon a stream after a gap of the longest of these three.
ABANDON_S = max(2.0, 4 * TARGET_S, 8 * GAP_S)
STREAMS = 6
WORKS_ON_S = 0.4


class WatchedEngine(Engine):
    """Engine that notes when it makes each event, and which requests reach it."""

    def __init__(self, name, world):
        super().__init__(name, zone="z1", events=900, event_interval_s=0.03)
        self.world = world
        self.made_at = {}  # attempt: time of its last event here
        self.arrivals = []
        self.link = None

    def entry(self, **fields):
        return super().entry(**{"address": self.link.address, **fields})

    async def serve_request(self, request, writer):
        attempt = request.headers.get("attempt-id")
        source = request.headers.get("kv-from", "")
        self.world.rec.line(
            "at_engine",
            engine=self.name,
            id=attempt,
            kv_from=source,
            last=request.headers.get("last-event-id", ""),
        )
        if attempt is not None:
            self.arrivals.append((time.monotonic(), attempt, source))
        return await super().serve_request(request, writer)

    def event(self, attempt, number):
        self.made_at.setdefault(attempt, []).append(time.monotonic())
        return super().event(attempt, number)


async def stream(world, daemon):
    """Read one generation; abandon it after the gap that the page names."""
    attempt = new_id()
    headers = {
        "Attempt-Id": attempt,
        "Deadline-Ms": "39000",
        "Authorization": f"Bearer {KEY}",
        "Model": "m",
        "Token-Usage": "3000,4000",
        "Prompt-Prefix": f"5c1e07a2:800,{attempt}:2200",
    }
    lines = ["POST /digests/1 HTTP/1.1", f"Host: {HOST}", "Content-Length: 3"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    reader, writer = await asyncio.open_connection(daemon.host, daemon.port)
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\nabc")
    events, end = 0, "closed"
    try:
        while line := await asyncio.wait_for(reader.readline(), ABANDON_S):
            events += line.startswith(b"id:")
            if line == b"0\r\n":
                end = "whole"
                break
    except TimeoutError:
        end = "abandoned"
    except OSError:
        end = "reset"
    writer.close()
    world.rec.line("stream", id=attempt, events=events, end=end)


async def main():
    async with World(__file__) as world:
        rec = world.rec
        engines = [WatchedEngine(f"e-{number}", world) for number in (1, 2, 3)]
        for engine in engines:
            await engine.start()
            engine.link = await Link(engine.address).start()
            world.links.append(engine.link)
            Engine.fleet[engine.link.address] = engine
            world.servers.append(engine)
            engine.listed = {}
            world.spawn(world._write_entries(engine))
        world.put_config(
            {
                "version": 10,
                "routes": [
                    route(
                        "digests",
                        "streaming",
                        "llm",
                        timeout_ms=39000,
                        target_latency_ms=int(1000 * TARGET_S),
                        target_gap_ms=int(1000 * GAP_S),
                        sticky_sessions=True,
                    )
                ],
                "services": [service("llm", cold_start_s=1.0, cold_per_s=26.0, engine=ENGINE)],
                "tenants": [{"name": "acc", "api_keys": [KEY], "priority": 1}],
            }
        )
        await world.add_daemons(2)
        for number in range(STREAMS):
            world.spawn(stream(world, world.daemons[number % 2]))
            await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)
        silenced_at = time.monotonic()
        if TROUBLE:
            rec.line("silenced", engine="e-1", connections=engines[0].link.silence_open())
        await asyncio.sleep(15.0)
        twice = 0
        for engine in engines[1:]:
            for at, attempt, source in engine.arrivals:
                if at <= silenced_at or not source:
                    continue
                made = [t for t in engines[0].made_at.get(attempt, []) if t > at + WORKS_ON_S]
                rec.line(
                    "goes_on",
                    id=attempt,
                    engine=engine.name,
                    after_silence_s=round(at - silenced_at, 2),
                    events_made_before_s=len(made),
                )
                twice += bool(made)
        rec.say(
            f"requests that went on at another engine while the one before still worked on "
            f"them {WORKS_ON_S} s later: {twice}"
        )
        return twice > 0


run(main)
