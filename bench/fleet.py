"""Cost of one daemon's decisions by fleet size: ``python -m bench.fleet --help``.

Drives the decision objects of the forwarding path without sockets, in one process. The fleet spans
three regions, each daemon has every other in its member table, and every engine is half full. The
smallest size is the baseline. Times are processor time, the minimum of several rounds.
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
LARGE_FLEET_TICKS_PER_S = 2  # a fleet without aggregators sends twice as often
ROUNDS = 5


def build_members(number: int, daemons: int) -> Members:
    """Return the member table of one daemon, with all daemons of the fleet in it."""
    facts = [
        MemberFacts(f"10.{n % REGIONS}.0.{n}", 1, 1, READY, f"z{n % REGIONS}", f"r{n % REGIONS}")
        for n in range(daemons)
    ]
    membership = Members(facts[number], ())
    for item in facts:
        membership.on_heartbeat(item, 0.0)
    return membership


def report_loads(load_tracker: LoadTracker, daemons: int, engines: int) -> None:
    """Record two requests of each other daemon of the region, and the sums of other regions."""
    for peer in range(1, max(2, daemons // REGIONS)):
        loads = {f"i-{(peer * 2 + n) % engines + 1}": Load(1, 1500) for n in range(2)}
        load_tracker.on_peer(f"peer-{peer}", loads, 0.0)
    for region in range(1, REGIONS):
        load_tracker.on_other_region(
            f"r{region}", {f"i-{n + 1}": Load(3, 9000) for n in range(engines)}, 0.0
        )


def cost_us(action: Callable[[], object], repeats: int) -> float:
    """Return the processor time of one call of `action`, in microseconds."""
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(repeats):
            action()
        best = min(best, (time.process_time() - began) / repeats)
    return best * 1e6


def measure(daemons: int, engines: int, rng: Random) -> dict[str, float]:
    """Return the costs at one fleet size by column name."""
    membership, load_tracker, servers = build_members(0, daemons), LoadTracker(), Replicas(BOUNDS)
    report_loads(load_tracker, daemons, engines)
    for number in range(engines):
        servers.on_entry(replica(f"i-{number + 1}", zone=f"z{number % REGIONS}"), 0.0)
    work = Work(service(), generation(), "z0", "r-z0", frozenset())
    wanted_service = service()

    def choose() -> None:
        usable = servers.usable(
            wanted_service, frozenset(), membership.count_sharers(0.1), 0.1, membership.rank
        )
        placement.choose(work, usable, load_tracker, 0.1, rng)

    total = load_tracker.total(0.1)
    regions = tuple(gossip.RegionLoad(f"r{n}", 100, total) for n in range(1, REGIONS))
    sums = gossip.Heartbeat(
        membership.own, {"op": 1, "servers": 2}, total, [],
        membership.relayed(0.1, aggregator=True), False, daemons, regions,
    )  # fmt: skip
    report = gossip.Heartbeat(
        membership.own, {"op": 1, "servers": 2}, {"i-1": Load(1, 1500)}, [],
        membership.relayed(0.1), False,
    )  # fmt: skip
    sums_data, report_data = gossip.encode(sums), gossip.encode(report)
    return {
        "choice_us": cost_us(choose, 50),
        "count_us": cost_us(lambda: membership.count(0.1), 1000),
        "load_us": cost_us(lambda: load_tracker.at("i-1", 0.1), 1000),
        "targets_us": cost_us(lambda: membership.targets(0.1, rng), 50),
        "take_report_us": cost_us(lambda: gossip.decode(report_data), 100),
        "take_sums_us": cost_us(lambda: gossip.decode(sums_data), 100),
        "sums_bytes": len(sums_data),
        **datagram_rates(daemons, rng),
    }


def datagram_rates(daemons: int, rng: Random) -> dict[str, float]:
    """Return the mean and the largest number of datagrams that a daemon sends per second."""
    ticks_per_s = (
        LARGE_FLEET_TICKS_PER_S if is_large_fleet(daemons) else 2 * LARGE_FLEET_TICKS_PER_S
    )
    sent = []
    for number in range(daemons):
        to = build_members(number, daemons).targets(0.1, rng)
        sent.append(ticks_per_s * (len(to.reports) + len(to.region) + len(to.other_regions)))
    return {"sent_per_s_mean": statistics.mean(sent), "sent_per_s_most": max(sent)}


def is_large_fleet(daemons: int) -> bool:
    """Return whether a fleet is large enough for aggregators to add up its load."""
    return build_members(0, daemons).is_large(0.1)


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
