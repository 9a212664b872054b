"""Streams that are still running when the route's `timeout_ms` is reached."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib import world as deployment  # noqa: E402
from lib.peers import Client, Engine  # noqa: E402

STREAMS = 30
LONG_MS, SHORT_MS = 39_000, 4_000
TOKENS = 800  # 8 s at 10 ms a token


def config(version, timeout_ms):
    """Return the configuration with a time-out of the streaming route."""
    gen = deployment.route(
        "gen", "streaming", "crock-llm", timeout_ms=timeout_ms, target_latency_ms=1800
    )
    return deployment.config(version, [gen])


async def script(world):
    engines = [
        Engine(world, f"i-{zone}-{n}", zone) for zone in deployment.ZONES for n in range(2)
    ]
    await world.start(config(3, LONG_MS), engines, list(deployment.ZONES))
    if deployment.TROUBLE:
        world.configure(config(8, SHORT_MS))
    await asyncio.sleep(4.0)
    tasks = []
    for number in range(STREAMS):
        client = Client(world, world.daemons[number % 3])
        tasks.append(asyncio.create_task(client.request(
            f"g{number}", "/gen/1", deadline_ms=20_000, patience_s=7.2, Model="m",
            Token_Usage=f"400,{TOKENS}", Length_Hint=str(TOKENS), Prompt_Prefix=f"aa:79,b{number}:321",
        )))  # fmt: skip
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    return judge(world)


def judge(world):
    """Apply the rule CONFIG; the arrivals that the rule BUDGET counts are reported beside it."""
    timeout_s = (SHORT_MS if deployment.TROUBLE else LONG_MS) / 1000
    sent = {event["id"]: event["t"] for event in world.found("sent")}
    ended = {
        event["id"]: event["t"]
        for kind in ("answered", "left", "broken")
        for event in world.found(kind)
    }
    longer = [a for a, at in sent.items() if ended[a] - at > timeout_s - 0.1]
    open_still = [a for a in longer if ended[a] - sent[a] > timeout_s + 0.5]
    known, again = set(), []
    for event in world.found("arrives"):
        if event["id"] in known:
            again.append(event["t"])
        known.add(event["id"])
    most = max((sum(t <= at < t + 10.0 for at in again) for t in again[:1]), default=0)
    broken = len(open_still) >= 8 and len(open_still) > len(longer) / 4
    return broken, (
        f"{len(sent)} streams, {len(longer)} last to the time-out, {len(open_still)} of them have"
        f" no final answer 0.5 s after it; in 10 s, {most} arrivals at replicas beyond the first of"
        f" each request, where BUDGET allows {0.2 * len(sent) + 54:.0f}"
    )


deployment.main(script, FOLDER)
