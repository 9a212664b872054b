"""Propagation time and cost of configuration changes, and the freshness that daemons report.

``python -m bench.configuration [--sizes 3 8 16] [--changes 20] [--seed 1]``

Times are differences between log timestamps of the daemons, which share a machine and its clock:
from the entry of the first daemon that applied a change, which is the one that accepted it, to the
entry of the last. In the baseline the same daemons learn of changes from the table service only.
"""

import argparse
import json
import os
import random
import statistics
import sys
import time
from datetime import datetime

from standins.fleet import Fleet, wait_for
from tests.builders import JAR_ZONES, contract_row, jar_returns_rows

IDLE_S = 8.0  # shorter than the 10 s after which a daemon's listener closes an idle connection
SAMPLES = 60
SAMPLE_INTERVAL_S = 0.25


def start_fleet(size, policy):
    """Start daemons with a configuration policy and wait until each lists all of them."""
    fleet = Fleet()
    fleet.command = [sys.executable, "-m", "bench.variant_daemon", json.dumps(policy)]
    for number in range(size):
        fleet.daemon(f"entry-{number}", JAR_ZONES[number % 3])
    fleet.begin(jar_returns_rows())
    for process in fleet.daemons.values():
        wait_for(
            lambda process=process: len(fleet.admin(process, "/admin/status")["daemons"]) == size,
            "a daemon that lists all daemons",
        )
    return fleet


def counters(fleet):
    """Return time, peer bytes and messages of all daemons, and reads of the table service."""
    traffic = [
        fleet.admin(process, "/admin/status")["peer_traffic"] for process in fleet.daemons.values()
    ]
    return (
        time.monotonic(),
        sum(item["bytes"] for item in traffic),
        sum(item["messages"] for item in traffic),
        fleet.control()["reads"],
    )


def rates(before, after):
    """Return the increase of each counter per second."""
    seconds = after[0] - before[0]
    return [(new - old) / seconds for old, new in zip(before[1:], after[1:], strict=True)]


def make_changes(fleet, rng, count):
    """Apply changes, each one in force everywhere before the next, and return their versions."""
    daemons, versions = list(fleet.daemons.values()), []
    for number in range(count):
        time.sleep(rng.random())  # avoids a fixed phase relative to the daemons' polls
        row = contract_row("clerks", concurrency=100 + number)
        process = rng.choice(daemons)
        op_id = f"bench-{number}-operation"
        status, answer = fleet.apply(process, op_id, {"contract/clerks": row})
        if status != 200:
            raise RuntimeError(f"not accepted: {answer}")
        versions.append(answer["version"])
        wait_for(
            lambda: set(fleet.versions()) == {versions[-1]}, f"version {versions[-1]} everywhere"
        )
    return versions


def log_entries(text):
    """Yield log entries; daemons share one file, so that a line may hold more than one entry."""
    decoder, position = json.JSONDecoder(), 0
    while (position := text.find("{", position)) >= 0:
        try:
            entry, position = decoder.raw_decode(text, position)
            yield entry
        except ValueError:
            position += 1


def propagation_times(fleet, versions):
    """Return, for each version, the seconds from its first to its last application by a daemon."""
    applied_at = {}
    for entry in log_entries((fleet.dir / "log").read_text()):
        if entry.get("event") == "config_in_force":
            at = datetime.fromisoformat(entry["timestamp"]).timestamp()
            applied_at.setdefault(entry["version"], {}).setdefault(entry["vm_id"], at)
    return [
        max(applied_at[version].values()) - min(applied_at[version].values())
        for version in versions
    ]


def print_propagation_row(size, name, policy, count, seed):
    """Measure the propagation of changes at one fleet size and print a table row."""
    with start_fleet(size, policy) as fleet:
        before = counters(fleet)
        time.sleep(IDLE_S)
        idle_bytes, idle_messages, idle_reads = rates(before, counters(fleet))
        before = counters(fleet)
        versions = make_changes(fleet, random.Random(seed), count)
        after = counters(fleet)
        seconds = after[0] - before[0]
        busy_reads = rates(before, after)[2]
        daemon_changes = count * size
        cost_bytes = (after[1] - before[1] - idle_bytes * seconds) / daemon_changes
        cost_messages = (after[2] - before[2] - idle_messages * seconds) / daemon_changes
        times = sorted(propagation_times(fleet, versions))
    print(
        f"| {size} | {name} | {statistics.median(times):.3f} | {times[-1]:.3f} "
        f"| {cost_bytes:.0f} | {cost_messages:.2f} | {idle_reads:.1f} | {busy_reads:.1f} |",
        flush=True,
    )


def print_freshness_row(size, interval_s, relay):
    """Measure the age of the configuration that daemons report and print a table row."""
    with start_fleet(size, {"head_interval_s": interval_s, "relay": relay}) as fleet:
        time.sleep(2 * interval_s)
        before, ages = counters(fleet), []
        for _ in range(SAMPLES):
            for process in fleet.daemons.values():
                ages.append(fleet.admin(process, "/admin/status")["freshness_s"])
            time.sleep(SAMPLE_INTERVAL_S)
        reads = rates(before, counters(fleet))[2]
    ages.sort()
    stale_fraction = sum(age > 3.0 for age in ages) / len(ages)
    print(
        f"| {size} | {interval_s:.0f} | {'relay' if relay else 'polling alone'} "
        f"| {statistics.fmean(ages):.2f} | {ages[len(ages) // 2]:.2f} "
        f"| {ages[int(len(ages) * 0.99)]:.2f} | {stale_fraction:.0%} | {reads:.1f} |",
        flush=True,
    )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 8, 16])
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--intervals", type=float, nargs="+", default=[1.0, 5.0])
    args = parser.parse_args()
    load = " ".join(f"{value:.1f}" for value in os.getloadavg())
    print(f"seed {args.seed}, {args.changes} changes for each line, load average {load}\n")
    print("| daemons | learned by | median s | worst s | B | messages | idle reads/s | reads/s |")
    print("|---|---|---|---|---|---|---|---|")
    for size in args.sizes:
        print_propagation_row(size, "push", {}, args.changes, args.seed)
        print_propagation_row(size, "polling alone", {"push": False}, args.changes, args.seed)
    print("\n| daemons | head read every s | | mean age s | p50 | p99 | over 3 s | reads/s |")
    print("|---|---|---|---|---|---|---|---|")
    for interval_s in args.intervals:
        for relay in (True, False):
            print_freshness_row(args.sizes[-1], interval_s, relay)


if __name__ == "__main__":
    main()
