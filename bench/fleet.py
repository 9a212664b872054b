"""What one daemon's decisions cost by the size of the fleet: ``python -m bench.fleet --help``.

Drives the decision objects of the forwarding path without sockets, in one process: a fleet in three
regions that all know each other, with every engine half full. The smallest size is the baseline.
Times are processor time, the least of several rounds.
"""

import argparse
import statistics
import time
from collections.abc import Callable
from random import Random

from tests.replicabuilders import BOUNDS, generation, replica, service

from lovageway.forwarding import gossip, placement
from lovageway.forwarding.load import Load, LoadTracker
from lovageway.forwarding.members import READY, MemberFacts, Members
from lovageway.forwarding.placement import Work
from lovageway.forwarding.replicas import Replicas

SIZES = (7, 91, 195, 300, 390)
REGIONS = 3
TICKS_PER_S = 2  # messages of a large fleet
ROUNDS = 5


def members(number: int, daemons: int) -> Members:
    """Return what one daemon knows of a fleet."""
    facts = [
        MemberFacts(f"10.{n % REGIONS}.0.{n}", 1, 1, READY, f"z{n % REGIONS}", f"r{n % REGIONS}")
        for n in range(daemons)
    ]
    found = Members(facts[number], ())
    for item in facts:
        found.on_heartbeat(item, 0.0)
    return found


def fill(load_tracker: LoadTracker, daemons: int, engines: int) -> None:
    """Let every other daemon of the region report two requests."""
    for peer in range(1, max(2, daemons // REGIONS)):
        loads = {f"i-{(peer * 2 + n) % engines + 1}": Load(1, 1500) for n in range(2)}
        load_tracker.on_peer(f"peer-{peer}", loads, 0.0)
    for region in range(1, REGIONS):
        load_tracker.on_other_region(
            f"r{region}", {f"i-{n + 1}": Load(3, 9000) for n in range(engines)}, 0.0
        )


def cost_us(action: Callable[[], object], repeats: int) -> float:
    """Return the processor time of an action, in microseconds."""
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(repeats):
            action()
        best = min(best, (time.process_time() - began) / repeats)
    return best * 1e6


def measure(daemons: int, engines: int, rng: Random) -> dict[str, float]:
    """Return the costs at one size."""
    known, load_tracker, servers = members(0, daemons), LoadTracker(), Replicas(BOUNDS)
    fill(load_tracker, daemons, engines)
    for number in range(engines):
        servers.on_entry(replica(f"i-{number + 1}", zone=f"z{number % REGIONS}"), 0.0)
    work = Work(service(), generation(), "z0", "r-z0", frozenset())
    wanted = service()

    def choose() -> None:
        usable = servers.usable(wanted, frozenset(), known.count_sharers(0.1), 0.1, known.rank)
        placement.choose(work, usable, load_tracker, 0.1, rng)

    total = load_tracker.total(0.1)
    regions = tuple(gossip.RegionLoad(f"r{n}", 100, total) for n in range(1, REGIONS))
    sums = gossip.Heartbeat(
        known.own, {"op": 1, "servers": 2}, total, [], known.relayed(0.1, aggregator=True), False,
        daemons, regions,
    )  # fmt: skip
    report = gossip.Heartbeat(
        known.own, {"op": 1, "servers": 2}, {"i-1": Load(1, 1500)}, [],
        known.relayed(0.1), False,
    )  # fmt: skip
    sums_data, report_data = gossip.encode(sums), gossip.encode(report)
    return {
        "choice_us": cost_us(choose, 50),
        "count_us": cost_us(lambda: known.count(0.1), 1000),
        "load_us": cost_us(lambda: load_tracker.at("i-1", 0.1), 1000),
        "targets_us": cost_us(lambda: known.targets(0.1, rng), 50),
        "take_report_us": cost_us(lambda: gossip.decode(report_data), 100),
        "take_sums_us": cost_us(lambda: gossip.decode(sums_data), 100),
        "sums_bytes": len(sums_data),
        **datagrams(daemons, rng),
    }


def datagrams(daemons: int, rng: Random) -> dict[str, float]:
    """Return the datagrams that a daemon sends in a second, in the mean and at most."""
    per_tick = TICKS_PER_S if known_large(daemons) else 2 * TICKS_PER_S
    sent = []
    for number in range(daemons):
        to = members(number, daemons).targets(0.1, rng)
        sent.append(per_tick * (len(to.reports) + len(to.region) + len(to.other_regions)))
    return {"sent_per_s_mean": statistics.mean(sent), "sent_per_s_most": max(sent)}


def known_large(daemons: int) -> bool:
    """Return whether a fleet is one in which collectors add up the load."""
    return members(0, daemons).is_large(0.1)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=62)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    args = parser.parse_args()
    print(f"seed {args.seed}, {args.engines} engines, {REGIONS} regions")
    rows = {size: measure(size, args.engines, Random(args.seed)) for size in args.sizes}
    names = list(rows[args.sizes[0]])
    print("daemons".rjust(8), *(name.rjust(16) for name in names))
    for size, row in rows.items():
        print(str(size).rjust(8), *(f"{row[name]:16.1f}" for name in names))


if __name__ == "__main__":
    main()
