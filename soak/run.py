"""Runs one seed of the soak: faults, then calm, in which everything must be in force and served."""

import asyncio
import time
from random import Random
from typing import NamedTuple

from soak.callers import Caller
from soak.faults import Faults
from soak.promises import check
from soak.world import World

CALLERS = 12
SETTLE_S = 5.0  # after the last fault: a poll that hears nothing ends, suspensions of servers too
IN_FORCE_S = 2.5  # for a configuration, a leaving server and an evacuation
CALM_REQUESTS = 24
PEAK_MOST_MB = 64.0  # of a daemon, whatever its servers send


class Result(NamedTuple):
    """What one seed showed."""

    seed: int
    requests: int
    answered: int
    faults: list
    broken: list
    peak_mb: float  # of any daemon


async def run(seed, seconds):
    """Run one seed; the daemons' logs are kept in the result only where something broke."""
    world = World(Random(seed))
    await world.start()
    faults, seen = Faults(world), []
    callers = [Caller(number, world, seen) for number in range(CALLERS)]
    watch = asyncio.create_task(_watch(world))
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    try:
        await faults.run(seconds)
        await asyncio.sleep(SETTLE_S)
        for caller in callers:
            caller.stopping = True
        await asyncio.gather(*tasks)
        broken = await _calm(world, seen)
        broken += check(seen, [*world.servers, *world.gone], faults)
        for daemon in world.daemons:
            broken += [f"{daemon.name}: ended by itself with {code}" for code in daemon.own_ends]
            if daemon.peak_mb > PEAK_MOST_MB:
                broken.append(f"{daemon.name}: peak memory of {daemon.peak_mb:.0f} MB")
        broken += _log_lines(world, broken)
        answered = sum(item.status == 200 and item.complete for item in seen)
        peak_mb = max(daemon.peak_mb for daemon in world.daemons)
        return Result(seed, len(seen), answered, faults.done, broken, peak_mb)
    finally:
        watch.cancel()
        for task in tasks:
            task.cancel()
        await world.stop()


def _log_lines(world, broken):
    """Return what the daemons logged of the requests that broke a promise."""
    ids = {line.partition(":")[0] for line in broken}
    return [
        f"  {daemon.name} {line}"
        for daemon in world.daemons
        for line in daemon.log.read_text(errors="replace").splitlines()
        if any(f'"{attempt}"' in line for attempt in ids)
    ]


async def _watch(world):
    while True:
        for daemon in world.daemons:
            daemon.check()
        await asyncio.sleep(0.1)


async def _calm(world, seen):
    """Change everything once more and check that each daemon follows and serves."""
    leaving, zone = world.plain[0], world.plain[1].zone
    world.extra_route = not world.extra_route
    world.configure()
    world.list_server(leaving, state="draining")
    world.store.put("op", f"evacuate/{zone}", "{}")
    await asyncio.sleep(IN_FORCE_S)
    began = time.monotonic()
    broken = []
    for number, daemon in enumerate(world.daemons):
        caller = Caller(100 + number, world, seen)
        extra = await caller.ask("safe", daemon, "/extra/x")
        if (extra.status == 200) != world.extra_route:
            broken.append(f"{daemon.name}: route answered {extra.status}, not as configured")
        for count in range(CALM_REQUESTS):
            kind = "once" if count % 2 else "safe"
            found = await caller.ask(kind, daemon)
            if found.status != 200:
                broken.append(
                    f"{found.id}: {kind} answered {found.status} at {daemon.name} in calm"
                )
        caller.close()
    for server in world.servers:
        if server is leaving or server.zone == zone:
            late = [attempt for at, attempt, _ in server.arrivals if at > began]
            broken += [f"{attempt}: reached {server.name} after its leaving" for attempt in late]
    return broken
