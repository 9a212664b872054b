"""Runs one seed of the soak: a phase with faults, then a check that all daemons have recovered."""

import asyncio
import time
from random import Random
from typing import NamedTuple

from soak.abusiveclients import run_abusive_client
from soak.callers import Caller
from soak.faults import Faults
from soak.promises import check, check_budget, check_crashes, check_limits, check_rollouts
from soak.servers import EngineServer
from soak.world import EXPOSURE, RETRY_BUDGET, World

CALLERS = 12
# Within this time after the last fault, pending polls time out and suspensions of servers end.
SETTLE_S = 5.0
# A configuration, a shutdown of a server and an evacuation take effect within this time.
PROPAGATION_S = 2.5
RECOVERY_REQUESTS = 24  # to each daemon, without faults
MAX_PEAK_MB = 64.0  # of a daemon, regardless of what its servers send


class Result(NamedTuple):
    """Result of one seed."""

    seed: int
    requests: int
    answered: int
    faults: list
    broken: list  # lines on broken promises, with the log lines of their requests
    peak_mb: float  # highest memory use of any daemon


async def run(seed, seconds):
    """Run one seed and return its result."""
    world = World(Random(seed))
    await world.start()
    faults, observed = Faults(world), []
    callers = [Caller(number, world, observed) for number in range(CALLERS)]
    monitor = asyncio.create_task(_monitor_daemons(world))
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    # Its own generator: the faults of a seed stay as they are.
    abuse = asyncio.create_task(run_abusive_client(world, Random(f"abuse {seed}")))
    try:
        await faults.run(seconds)
        abuse.cancel()
        await asyncio.sleep(SETTLE_S)
        for caller in callers:
            caller.stopping = True
        await asyncio.gather(*tasks)
        broken = await _check_recovery(world, observed)
        servers = [*world.servers, *world.removed_servers]
        broken += check(observed, servers, faults)
        broken += check_limits(observed, servers, faults)
        broken += check_rollouts(faults.rollouts, *EXPOSURE)
        broken += check_budget(observed, servers, *RETRY_BUDGET)
        engines = [server for server in servers if isinstance(server, EngineServer)]
        broken += check_crashes([at for engine in engines for at in engine.crash_times], faults)
        for daemon in world.daemons:
            broken += [
                f"{daemon.name}: ended by itself with {code}"
                for code in daemon.unexpected_exit_codes
            ]
            if daemon.peak_mb > MAX_PEAK_MB:
                broken.append(f"{daemon.name}: peak memory of {daemon.peak_mb:.0f} MB")
        broken += _log_lines(world, broken)
        answered = sum(item.status == 200 and item.complete for item in observed)
        peak_mb = max(daemon.peak_mb for daemon in world.daemons)
        return Result(seed, len(observed), answered, faults.intervals, broken, peak_mb)
    finally:
        for task in [monitor, abuse, *tasks]:
            task.cancel()
        await world.stop()


def _log_lines(world, broken):
    """Return what the daemons logged about the requests with broken promises."""
    ids = {line.partition(":")[0] for line in broken}
    return [
        f"  {daemon.name} {line}"
        for daemon in world.daemons
        for line in daemon.log.read_text(errors="replace").splitlines()
        if any(f'"{attempt}"' in line for attempt in ids)
    ]


async def _monitor_daemons(world):
    while True:
        for daemon in world.daemons:
            daemon.check()
        await world.restart_crashed()
        await asyncio.sleep(0.1)


async def _check_recovery(world, observed):
    """Check that each daemon serves requests and applies changes after the faults.

    The changes are a new configuration, the shutdown of a server and the evacuation of a zone.
    """
    leaving, zone = world.plain[0], world.plain[1].zone
    world.extra_route = not world.extra_route
    world.configure()
    world.list_server(leaving, state="draining")
    world.store.put("op", f"evacuate/{zone}", "{}")
    await asyncio.sleep(PROPAGATION_S)
    began = time.monotonic()
    broken = []
    for number, daemon in enumerate(world.daemons):
        caller = Caller(100 + number, world, observed)
        extra = await caller.send_request("safe", daemon, "/extra/x")
        if (extra.status == 200) != world.extra_route:
            broken.append(f"{daemon.name}: route answered {extra.status}, not as configured")
        for count in range(RECOVERY_REQUESTS):
            kind = "once" if count % 2 else "safe"
            result = await caller.send_request(kind, daemon)
            if result.status != 200:
                broken.append(
                    f"{result.id}: {kind} answered {result.status} at {daemon.name} in calm"
                )
        caller.close()
    for server in world.servers:
        if server is leaving or server.zone == zone:
            late = [attempt for at, attempt, _ in server.arrivals if at > began]
            broken += [f"{attempt}: reached {server.name} after its leaving" for attempt in late]
    return broken
