"""Measures what the choice of a server costs a request, with 60 engines and a fleet of daemons.

``python -m bench.choice [--daemons 300] [--servers 60] [--requests 3000]`` prints microseconds for
each request: usable servers and choice, without and with a roll-out of the service in progress. The
target is 200 us at 300 daemons and 60 servers.
"""

import argparse
import time
from random import Random

from lovageway.forwarding.load import Load, LoadTracker
from lovageway.forwarding.model import (
    Address,
    Bounds,
    Engine,
    Generation,
    Replica,
    RolloutPhase,
    Service,
)
from lovageway.forwarding.placement import Work, choose
from lovageway.forwarding.replicas import Replicas
from lovageway.forwarding.rollout.model import Announcement, Run
from lovageway.forwarding.rollout.rollouts import Rollouts

BOUNDS = Bounds(2.5, 8.0, 3.0, 2.5, 0.2, 10.0, 54.0, 1.5, 5.0, 5.0, 0.1, 50.0, 5.0)
LLM = Service(
    "llm", "/health", 500, 0.0, 0.0, Engine(24, 26900, 327680.0, 47000.0, True, True, 5.0, 4)
)
PROMPT = Generation(3000, 750, 700, ())


def build(servers: int, daemons: int) -> tuple[Replicas, LoadTracker]:
    """Return the servers, half of them of a second version, and the load that peers reported."""
    replicas, tracker = Replicas(BOUNDS), LoadTracker()
    for number in range(servers):
        region = f"r{number % 3}"
        version = "v2" if number % 2 else "v1"
        address = Address(f"10.0.0.{number + 1}", 80)
        replicas.on_entry(
            Replica(f"i-{number}", "llm", address, region, region, 24, False, 0.0, 1, version), 0.0
        )
    for peer in range(daemons):
        loads = {f"i-{(peer + n) % servers}": Load(1, 1500, 0) for n in range(2)}
        tracker.on_peer(f"10.1.0.{peer}", loads, 10.0)
    return replicas, tracker


def measure(servers: int, daemons: int, requests: int, *, rolled_out: bool) -> float:
    """Return the mean time of a request's choice, in microseconds."""
    replicas, tracker = build(servers, daemons)
    rng = Random(1)
    rollouts = Rollouts(BOUNDS, rng, replicas.accepting, lambda now: float(daemons))
    if rolled_out:
        run = Run("llm", "v2", 1)
        rollouts.on_announcement(Announcement(run, RolloutPhase.CANARY, 0.05, 20, 10, 0.0), 10.0)
    work = Work(LLM, PROMPT, "r1", "r1", frozenset(), route="r")
    began = time.perf_counter()
    for _ in range(requests):
        entries = replicas.usable(LLM, frozenset(), daemons, 10.1, lambda server: 0)
        entries = rollouts.permitted("llm", entries, 10.1)
        for group in rollouts.preferences(work, entries, 10.1):
            entry = choose(work, group, tracker, 10.1, rng)
            if entry is not None:
                replicas.on_send(entry, 10.1)
                rollouts.on_send(entry)
                rollouts.on_chosen(work, entry)
                break
    return 1e6 * (time.perf_counter() - began) / requests


def main() -> None:
    """Print the cost of a choice."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=300)
    parser.add_argument("--servers", type=int, default=60)
    parser.add_argument("--requests", type=int, default=3000)
    args = parser.parse_args()
    print(f"{args.daemons} daemons, {args.servers} servers, {args.requests} requests")
    for rolled_out in (False, True):
        cost = measure(args.servers, args.daemons, args.requests, rolled_out=rolled_out)
        print(f"{'with' if rolled_out else 'without'} a roll-out: {cost:.0f} us a request")


if __name__ == "__main__":
    main()
