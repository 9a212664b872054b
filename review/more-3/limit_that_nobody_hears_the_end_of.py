"""Servers name a limit of 0 for a while; afterwards their services stay refused.

Only one daemon of three gets requests, as where all callers of a service are in one region.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))
from world import TROUBLE, World, call, new_id, route, run, service
from standins.replica import Replica

KEY = "key-1"
N = 6


async def main():
    async with World(__file__) as world:
        rec = world.rec
        servers = []
        for k in range(N):
            s = Replica(f"i-{k}{new_id()[:4]}")
            s.service = f"app{k}"
            servers.append(await world.add_server(s))
        free = Replica("free")
        free.service = "free"
        await world.add_server(free)
        world.put_config(
            {
                "version": 10,
                "routes": [route(f"r{k}", "idempotent", f"app{k}") for k in range(N)]
                + [route("free", "idempotent", "free")],
                "services": [service(f"app{k}") for k in range(N)] + [service("free")],
                "tenants": [{"name": "acc", "api_keys": [KEY], "priority": 1}],
            }
        )
        await world.add_daemons(3)
        d = world.daemons[0]
        counts = {}
        watching = False

        async def one(name):
            h = {"Attempt-Id": new_id(), "Deadline-Ms": "2000", "Authorization": f"Bearer {KEY}"}
            w = watching
            r = await call(d.host, d.port, "GET", f"/{name}/1", h)
            rec.line("answer", route=name, status=r.status, retry=r.headers.get("retry-after"))
            if w:
                a = counts.setdefault(name, [0, 0])
                a[0] += 1
                a[1] += r.status == 200

        async def traffic(name):
            while True:
                world.spawn(one(name))
                await asyncio.sleep(0.5)

        for k in range(N):
            world.spawn(traffic(f"r{k}"))
        world.spawn(traffic("free"))
        await asyncio.sleep(3)
        if TROUBLE:
            for s in servers:
                s.limit = "0"
        await asyncio.sleep(3)
        for s in servers:
            s.limit = None
        await asyncio.sleep(20)
        watching = True
        await asyncio.sleep(40)
        watching = False
        await asyncio.sleep(3)
        rec.say(f"from 20 s to 60 s after the last limit: {counts}")
        asked = sum(v[0] for v in counts.values())
        served = sum(v[1] for v in counts.values())
        return any(v[1] / v[0] < 0.25 * served / asked for v in counts.values())


run(main)
