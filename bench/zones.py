"""Service while an availability zone is disabled and enabled: ``python -m bench.zones --help``.

Runs real daemons under seeded open-loop arrivals. The zone is disabled and enabled again by
configuration changes through one daemon. The baseline is the time before, in the same run.
"""

import argparse
import os
import time

from standins.fleet import Fleet, post

from bench.routing import collect_results, start_clients
from bench.workload import DEPLOYMENTS, arrivals, start_fleet

START_DELAY_S = 2.0
GRACE_S = 3.0  # after acceptance; from then on the zone's servers must receive no new work
DRAIN_S = 15.0


def count_starts(fleet, zone):
    """Return the number of generations that the engines of a zone have started."""
    addresses = [
        vm["address"]
        for vm in fleet.vms.values()
        if vm["zone"] == zone and vm["service"] in ("crock-llm", "gatesense-lm")
    ]
    return sum(post(address, "/control", {})["starts"] for address in addresses)


def set_zone(fleet, zone, enabled):
    """Enable or disable a zone and return the seconds until the change was accepted."""
    began = time.monotonic()
    value = {"name": zone, "region": zone, "enabled": enabled}
    daemon = next(iter(fleet.daemons.values()))
    status, answer = fleet.apply(daemon, f"zone-{enabled}", {f"zone/{zone}": value})
    if status != 200:
        raise RuntimeError(answer)
    return time.monotonic() - began


def wait_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def percentile(values, part):
    """Return the percentile at `part` (0 to 1) of times in s, in ms; nan if there are none."""
    values = sorted(values)
    return values[int(len(values) * part)] * 1000 if values else float("nan")


def print_table(results, phases):
    """Print the figures of each phase by kind of request; gaps and first tokens are in ms."""
    print("| phase | kind | offered | done | refused | other | tok/s | gap p50 | gap p99 |", end="")
    print(" first p99 |\n|---|---|---|---|---|---|---|---|---|---|")
    for name, (begin, end) in phases.items():
        for kind in ("long", "short", "call"):
            found = [r for r in results if r["kind"] == kind and begin <= r["at"] < end]
            done = [r for r in found if r["outcome"] == "done"]
            refused = [r for r in found if r["outcome"].isupper()]
            gaps = [gap for r in found for gap in r["gaps"]]
            first = [r["first_s"] for r in found if r["first_s"] is not None]
            tokens = sum(r["tokens"] for r in found) / (end - begin)
            print(
                f"| {name} | {kind} | {len(found)} | {len(done)} | {len(refused)} |"
                f" {len(found) - len(done) - len(refused)} | {tokens:.0f} |"
                f" {percentile(gaps, 0.5):.1f} | {percentile(gaps, 0.99):.1f} |"
                f" {percentile(first, 0.99):.1f} |"
            )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="gate")
    parser.add_argument("--scale", type=float, default=0.6)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    dep = DEPLOYMENTS[args.deployment]
    zone = dep.zones[0]
    phases = {"before": (8.0, 22.0), "zone out": (22.0, 36.0), "zone back": (36.0, 50.0)}
    plan = arrivals(dep, 50.0, 3, args.seed, args.scale)
    print(f"{vars(args)}, zone {zone}, phases {phases}, load average {os.getloadavg()[0]:.1f}")
    with Fleet() as fleet:
        start_fleet(fleet, dep, 3, "memory")
        begin = time.monotonic() + START_DELAY_S
        clients = start_clients(fleet, dep, plan, begin, 50.0 + DRAIN_S)
        wait_until(begin + phases["zone out"][0])
        accepted_s = set_zone(fleet, zone, False)
        wait_until(time.monotonic() + GRACE_S)
        late_starts = count_starts(fleet, zone)
        wait_until(begin + phases["zone back"][0])
        late_starts = count_starts(fleet, zone) - late_starts
        set_zone(fleet, zone, True)
        starts_before_return = count_starts(fleet, zone)
        results = collect_results(clients)
        starts_after_return = count_starts(fleet, zone) - starts_before_return
    print_table(results, phases)
    print(f"accepted in {accepted_s * 1000:.0f} ms; starts in the zone from {GRACE_S} s after")
    print(
        f"acceptance until its return: {late_starts} (at most 0 allowed); "
        f"after its return: {starts_after_return}"
    )


if __name__ == "__main__":
    main()
