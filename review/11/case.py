"""A part of prompts crashes the engines that answer it; the prompts have more than 64 parts."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from world import BOUNDS, ENGINE, HOST, TROUBLE, World, new_id, route, run, service  # noqa: E402

from standins.replica import Engine  # noqa: E402

KEY = "key-1"
# Shared parts of each prompt before the one that crashes engines. A prompt of a few parts
# (PARTS=5) is the control: the rule holds then.
PARTS = int(os.environ.get("PARTS", "70"))
TAINTED = "badc0de5"
CONTACT_S = BOUNDS["contact_ms"] / 1000
BACK_S = 2.0  # after a crash an engine is back
LENGTH_S = 40.0


class CrashingEngine(Engine):
    """Engine that notes what reaches it, and when a request ends it."""

    def __init__(self, name, world):
        super().__init__(name, zone="z1", events=20, event_interval_s=0.03)
        self.world = world
        self.crashing_parts = {TAINTED}

    async def serve_request(self, request, writer):
        attempt = request.headers.get("attempt-id")
        if attempt is not None:
            tainted = TAINTED in request.headers.get("prompt-prefix", "")
            self.world.arrivals.append((time.monotonic(), attempt, tainted))
            self.world.rec.line("at_engine", engine=self.name, id=attempt, tainted=tainted)
        return await super().serve_request(request, writer)

    def crash(self):
        self.world.crashes.append(time.monotonic())
        self.world.rec.line("crash", engine=self.name)
        super().crash()
        self.world.spawn(self._come_back())

    async def _come_back(self):
        await asyncio.sleep(BACK_S)
        await self.restart()
        self.world.rec.line("back", engine=self.name)


async def stream(world, daemon, tainted):
    """Send one generation and read its answer."""
    attempt = new_id()
    parts = [f"{number:08x}:20" for number in range(PARTS)]
    parts += [f"{TAINTED}:20"] if tainted else []
    parts.append(f"{attempt[:8]}:200")
    headers = {
        "Attempt-Id": attempt,
        "Deadline-Ms": "6000",
        "Authorization": f"Bearer {KEY}",
        "Model": "m",
        "Token-Usage": f"{20 * PARTS + 220},80",
        "Prompt-Prefix": ",".join(parts),
    }
    lines = ["POST /tags/1 HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(attempt)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    status, whole = 0, False
    writer = None
    try:
        async with asyncio.timeout(6.0):
            reader, writer = await asyncio.open_connection(daemon.host, daemon.port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + attempt.encode())
            status = int((await reader.readline()).split(b" ")[1])
            while status == 200 and (line := await reader.readline()):
                if line == b"0\r\n":
                    whole = True
                    break
    except (OSError, TimeoutError, IndexError):
        pass
    finally:
        if writer is not None:
            writer.close()
    world.rec.line("stream", id=attempt, tainted=tainted, status=status, whole=whole)
    if not tainted:
        world.sound.append(whole)


async def main():
    async with World(__file__) as world:
        rec = world.rec
        world.arrivals, world.crashes, world.sound = [], [], []
        for number in range(1, 5):
            await world.add_server(CrashingEngine(f"e-{number}", world))
        world.put_config(
            {
                "version": 10,
                "routes": [
                    route(
                        "tags",
                        "streaming",
                        "llm",
                        timeout_ms=6000,
                        target_latency_ms=1500,
                        sticky_sessions=True,
                        stream_resume=True,
                        max_attempts=2,
                    )
                ],
                "services": [service("llm", cold_start_s=1.0, cold_per_s=26.0, engine=ENGINE)],
                "tenants": [{"name": "acc", "api_keys": [KEY], "priority": 1}],
            }
        )
        await world.add_daemons(2)

        async def traffic(daemon, tainted, pause_s):
            while True:
                world.spawn(stream(world, daemon, tainted))
                await asyncio.sleep(pause_s)

        for daemon in world.daemons:
            world.spawn(traffic(daemon, False, 0.3))
        await asyncio.sleep(4.0)
        if TROUBLE:
            for daemon in world.daemons:
                world.spawn(traffic(daemon, True, 2.0))
        await asyncio.sleep(LENGTH_S)
        crashes = sorted(world.crashes)
        late = []
        if len(crashes) >= 5:
            since = crashes[4] + CONTACT_S
            late = [at for at, _, tainted in world.arrivals if tainted and at > since]
        rec.say(
            f"{len(crashes)} crashes; requests with the part that reached engines later than "
            f"{CONTACT_S} s after the fifth: {len(late)}; sound generations: "
            f"{sum(world.sound)} whole of {len(world.sound)}"
        )
        return len(late) > 3


run(main)
