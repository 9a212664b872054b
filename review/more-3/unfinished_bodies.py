"""Clients without a key hold unfinished bodies; ordinary callers are refused."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from world import TROUBLE, World, call, new_id, request_bytes, route, run, service  # noqa: E402

from standins.replica import Replica  # noqa: E402

KEY = "key-1"
LARGE, SMALLEST = 4_194_304, 65_536  # bytes of an unfinished body
SPARE = 300  # of these, the bytes that follow one by one
COMING_AGAIN = {12_000: 8, 3_000: 12, 900: 16, 300: 16}  # sizes of the last ones, and how many
AGAIN_S = 0.05  # after it was turned away or cut off, such a client comes again
WATCHED_S = 40.0


class Holder:
    """A client that sends a body slowly: all but its last bytes, then a byte every 2 s."""

    def __init__(self, world, daemon, held):
        self.world = world
        self.task = world.spawn(self._run(daemon, held))
        self.sent = 0

    async def _run(self, daemon, held):
        reader, writer = await asyncio.open_connection(daemon.host, daemon.port)
        head = request_bytes("POST", "/orders/1", {"Attempt-Id": new_id()})
        head = head.replace(b"Content-Length: 0", b"Content-Length: %d" % (held + 300))
        writer.write(head)
        body = b"x" * held
        try:
            for at in range(0, held, 65536):
                writer.write(body[at : at + 65536])
                await writer.drain()
                self.sent += len(body[at : at + 65536])
            gone = asyncio.get_running_loop().create_task(reader.read(1))
            while not gone.done():
                await asyncio.wait({gone}, timeout=2.0)
                writer.write(b"x")
                await writer.drain()
        except OSError as exc:
            self.world.rec.line("holder_error", daemon=daemon.name, bytes=held, cause=repr(exc))
        finally:
            if held > 60000:
                self.world.rec.line("holder_ends", daemon=daemon.name, bytes=held, sent=self.sent)
            writer.close()


async def attack(world, daemon):
    """Open holders of ever smaller bodies until each further one is turned away."""
    size, kept = LARGE, []
    while size >= SMALLEST:
        holder = Holder(world, daemon, size - SPARE)
        done, _ = await asyncio.wait({holder.task}, timeout=0.4)
        if done:
            size //= 4
        else:
            kept.append(size)
    world.rec.line("holders", daemon=daemon.name, bytes=kept)
    for size, number in COMING_AGAIN.items():
        for _ in range(number):
            world.spawn(come_again(world, daemon, size))


async def come_again(world, daemon, size):
    """Hold a small body; come again when it is turned away or cut off."""
    while True:
        holder = Holder(world, daemon, size)
        await asyncio.wait({holder.task})
        await asyncio.sleep(AGAIN_S)


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
        counts = {}
        watching = False

        async def one(daemon, kind):
            attempt = new_id()
            headers = {
                "Attempt-Id": attempt,
                "Deadline-Ms": "2000",
                "Authorization": f"Bearer {KEY}",
            }
            method, body = ("POST", b"o" * 800) if kind == "orders" else ("GET", b"")
            counted = watching
            reply = await call(daemon.host, daemon.port, method, f"/{kind}/1", headers, body)
            rec.line(
                "answer",
                id=attempt,
                daemon=daemon.name,
                kind=kind,
                status=reply.status,
                watched=counted,
                text=reply.body[:70] if reply.status != 200 else "",
            )
            if counted:
                asked, served = counts.get(kind, (0, 0))
                counts[kind] = asked + 1, served + (reply.status == 200)

        async def traffic(daemon, kind):
            while True:
                world.spawn(one(daemon, kind))
                await asyncio.sleep(0.25)

        for daemon in world.daemons:
            for kind in ("orders", "lookups"):
                world.spawn(traffic(daemon, kind))
        await asyncio.sleep(4.0)
        if TROUBLE:
            await asyncio.gather(*(attack(world, daemon) for daemon in world.daemons))
            await asyncio.sleep(2.0)
        watching = True
        await asyncio.sleep(WATCHED_S)
        watching = False
        await asyncio.sleep(2.5)
        share = {kind: served / asked for kind, (asked, served) in counts.items()}
        asked, served = (sum(part) for part in zip(*counts.values(), strict=True))
        rec.say(f"asked and served in {WATCHED_S:.0f} s: {counts}; all: {served} of {asked}")
        return any(part < 0.25 * served / asked for part in share.values())


run(main)
