"""The operator takes away the last tenant; requests with a key that was never valid run."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from world import BOUNDS, TROUBLE, World, call, new_id, route, run, service  # noqa: E402

from standins.replica import Replica  # noqa: E402

APPLY_S = BOUNDS["config_apply_ms"] / 1000
KEYS = {"removed": "key-of-the-tenant", "never valid": "key-of-nobody", "none": None}


def config(version, tenants):
    return {
        "version": version,
        "routes": [route("orders", "non_idempotent", "app")],
        "services": [service("app")],
        "tenants": tenants,
    }


async def main():
    async with World(__file__) as world:
        rec = world.rec
        for name in ("a-1", "a-2", "a-3"):
            server = Replica(name)
            server.service = "app"
            await world.add_server(server)
        tenant = {"name": "acc", "api_keys": [KEYS["removed"]], "priority": 1}
        world.put_config(config(10, [tenant]))
        await world.add_daemons(2)
        sent = {}

        async def order(daemon, kind):
            attempt = new_id()
            sent[attempt] = (time.monotonic(), kind)
            headers = {"Attempt-Id": attempt, "Deadline-Ms": "2000"}
            if KEYS[kind] is not None:
                headers["Authorization"] = f"Bearer {KEYS[kind]}"
            reply = await call(daemon.host, daemon.port, "POST", "/orders/1", headers, b"x" * 600)
            rec.line("answer", id=attempt, daemon=daemon.name, key=kind, status=reply.status)

        async def traffic(daemon):
            while True:
                for kind in KEYS:
                    world.spawn(order(daemon, kind))
                await asyncio.sleep(0.25)

        for daemon in world.daemons:
            world.spawn(traffic(daemon))
        await asyncio.sleep(4.0)
        if TROUBLE:
            acked_at = world.put_config(config(11, []))
        else:
            acked_at = world.put_config(config(11, [{**tenant, "api_keys": []}]))
        await asyncio.sleep(10.0)
        found = dict.fromkeys(KEYS, 0)
        for server in world.servers:
            for attempt in server.executions:
                at, kind = sent[attempt]
                rec.line(
                    "run", id=attempt, server=server.name, key=kind, after=round(at - acked_at, 3)
                )
                found[kind] += at > acked_at + APPLY_S
        rec.say(f"run of requests sent over {APPLY_S} s after the acknowledgement, by key: {found}")
        return found["never valid"] > 0 or found["removed"] > 0


run(main)
