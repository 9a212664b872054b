"""Replicas whose streams have neither length nor chunks, one of which leaves as planned."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib import world as deployment  # noqa: E402
from lib.peers import Client, Engine  # noqa: E402

STREAMS = 24
TOKENS, HINT = 600, 250  # the output, and the client's estimate of it


def config():
    """Return the configuration."""
    gen = deployment.route(
        "gen", "streaming", "crock-llm", timeout_ms=39_000, target_latency_ms=1800
    )
    return deployment.config(3, [gen])


async def script(world):
    Engine.framed = bool(os.environ.get("FRAMED"))  # FRAMED=1: with chunks, to compare
    engines = [
        Engine(world, f"i-{zone}-{n}", zone) for zone in deployment.ZONES for n in range(2)
    ]
    await world.start(config(), engines, list(deployment.ZONES))
    tasks = []
    for number in range(STREAMS):
        client = Client(world, world.daemons[number % 3])
        tasks.append(asyncio.create_task(client.request(
            f"g{number}", "/gen/1", deadline_ms=20_000, patience_s=7.2, Model="m",
            Token_Usage=f"1000,{TOKENS}", Length_Hint=str(HINT),
            Prompt_Prefix=f"aa:79,b{number}:921",
        )))  # fmt: skip
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.5)
    if deployment.TROUBLE:
        world.list(engines[0], state="draining")
        # It serves for drain_ms and a little longer; here it never breaks off what it runs.
    return judge(world, await asyncio.gather(*tasks))


def judge(world, replies):
    """Apply the rule ORDER."""
    short, wrong = [], []
    for number, (status, body, how) in enumerate(replies):
        ids = [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]
        if ids != list(range(1, len(ids) + 1)):
            wrong.append(number)
        if status == 200 and how == "complete" and len(ids) < TOKENS // 4:
            short.append(len(ids))
    moved = len(world.found("stops"))
    return bool(short or wrong), (
        f"{len(replies)} streams of {TOKENS // 4} events, {moved} stopped by `last`;"
        f" {len(short)} end as complete before their last event, after {short} events;"
        f" {len(wrong)} with a missing or repeated event"
    )


deployment.main(script, FOLDER)
