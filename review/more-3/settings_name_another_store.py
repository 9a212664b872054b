"""The settings name another address of the store; SIGHUP says so; later the old address closes."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from world import BOUNDS, TROUBLE, Link, World, call, new_id, route, run, service  # noqa: E402

from standins.replica import Replica  # noqa: E402

KEPT, TAKEN = "key-kept", "key-taken"
APPLY_S = BOUNDS["config_apply_ms"] / 1000


def config(version, target, keys):
    return {
        "version": version,
        "routes": [route("orders", "non_idempotent", target)],
        "services": [service("old"), service("new")],
        "tenants": [{"name": "acc", "api_keys": keys, "priority": 1}],
    }


async def main():
    async with World(__file__) as world:
        rec = world.rec
        for name, kind in (("o-1", "old"), ("o-2", "old"), ("n-1", "new"), ("n-2", "new")):
            server = Replica(name)
            server.service = kind
            await world.add_server(server)
        world.put_config(config(10, "old", [KEPT, TAKEN]))
        await world.add_daemons(3, linked=True)
        sent = {}

        async def order(daemon, key):
            attempt = new_id()
            sent[attempt] = (time.monotonic(), daemon.name, key)
            headers = {"Attempt-Id": attempt, "Deadline-Ms": "2000"}
            headers["Authorization"] = f"Bearer {key}"
            reply = await call(daemon.host, daemon.port, "POST", "/orders/1", headers, b"x" * 600)
            rec.line("answer", id=attempt, daemon=daemon.name, key=key, status=reply.status)

        async def traffic(daemon):
            while True:
                for key in (KEPT, TAKEN):
                    world.spawn(order(daemon, key))
                await asyncio.sleep(0.25)

        for daemon in world.daemons:
            world.spawn(traffic(daemon))
        await asyncio.sleep(4.0)
        if TROUBLE:
            old = list(world.links)
            new = await Link(world.store.address).start()
            world.links.append(new)
            for daemon in world.daemons:
                daemon.settings["platform"]["address"] = new.address
                daemon.path.write_text(json.dumps(daemon.settings))
                daemon.process.send_signal(signal.SIGHUP)
            rec.line("settings", store=new.address)
            await asyncio.sleep(10.0)
            for link in old:
                link.stop()
            rec.line("old_address_closed")
        await asyncio.sleep(6.0)
        acked_at = world.put_config(config(12, "new", [KEPT]))
        await asyncio.sleep(12.0)
        wrong = {"run by the old service": 0, "run with a dropped key": 0}
        for server in world.servers:
            for attempt in server.executions:
                at, daemon, key = sent[attempt]
                rec.line(
                    "run",
                    id=attempt,
                    server=server.name,
                    key=key,
                    daemon=daemon,
                    after_ack_s=round(at - acked_at, 3),
                )
                if at > acked_at + APPLY_S:
                    wrong["run by the old service"] += server.service == "old"
                    wrong["run with a dropped key"] += key == TAKEN
        rec.say(f"requests sent over {APPLY_S} s after the acknowledgement: {wrong}")
        return any(wrong.values())


run(main)
