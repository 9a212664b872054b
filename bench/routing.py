"""Compares routing policies under the same arrivals: ``python -m bench.routing --help``.

Each policy gets a new fleet of daemons and engine stand-ins. The figures for each kind of request
are goodput, refusals, preemptions and stall time at the engines, and the time between tokens and to
the first token at the caller. Requests that arrive during the warm-up are not counted.
"""

import argparse
import contextlib
import json
import os
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

from standins.fleet import Fleet, http

from bench import gaps, plot
from bench.process import cpu_s
from bench.workload import DEPLOYMENTS, arrivals, start_fleet

POLICIES = ("least_requests", "round_robin", "two_choices", "memory")
PRIORITIES = {"short": "0", "long": "10"}
CLIENTS = 2
START_DELAY_S = 2.0


def engine_stats(fleet):
    """Return preemptions and stall seconds by priority over all engines."""
    total = {"preemptions": Counter(), "stall_s": Counter(), "other": Counter()}
    for vm in fleet.vms.values():
        if vm["role"] == "backend":
            resp = http.request("GET", f"http://{vm['address']}/stats")
            if resp.status == 200:
                found = json.loads(resp.data)
                total["preemptions"].update(found.pop("preemptions"))
                total["stall_s"].update(found.pop("stall_s"))
                total["other"].update(found)
    return total


def fleet_cpu_s(fleet):
    """Return the processor seconds that the fleet's processes have used."""
    total = 0.0
    for process in fleet.processes:
        with contextlib.suppress(OSError):  # the process has ended
            total += cpu_s(process.popen.pid)
    return total


def start_clients(fleet, dep, plan, begin, end_s):
    """Start the client processes, each with a part of the arrivals, and return them."""
    shared = {"plain": dep.plain, "engine": dep.engine, "start": begin, "end_s": end_s}
    shared["daemons"] = [item.address for item in fleet.daemons.values()]
    clients = []
    for number in range(CLIENTS):
        part = [item._asdict() for item in plan[number::CLIENTS]]
        command = [sys.executable, "-m", "bench.client"]
        client = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        client.stdin.write(json.dumps({**shared, "arrivals": part}).encode())
        client.stdin.close()
        clients.append(client)
    return clients


def collect_results(clients):
    """Return the results of all clients once they have ended."""
    results = [item for client in clients for item in json.load(client.stdout)]
    for client in clients:
        client.stdout.close()
        client.wait()
    return results


def measure(dep, policy, plan, args):
    """Run one policy on a new fleet and return its results and engine figures."""
    with Fleet() as fleet:
        start_fleet(fleet, dep, args.daemons, policy)
        begin = time.monotonic() + START_DELAY_S
        clients = start_clients(fleet, dep, plan, begin, args.warmup + args.seconds + args.drain)
        time.sleep(max(0.0, begin + args.warmup - time.monotonic()))
        before, cpu_before, began = engine_stats(fleet), fleet_cpu_s(fleet), time.monotonic()
        results = collect_results(clients)
        after = engine_stats(fleet)
        dead = [name for name, item in zip(fleet.vms, fleet.processes[1:], strict=True)
                if item.popen.poll() is not None]  # fmt: skip
        return {
            "results": [item for item in results if item["at"] >= args.warmup],
            "lags": [item["lag_s"] for item in results],
            "preemptions": after["preemptions"] - before["preemptions"],
            "stall_s": after["stall_s"] - before["stall_s"],
            "engine": after["other"] - before["other"],
            "cores": (fleet_cpu_s(fleet) - cpu_before) / (time.monotonic() - began),
            "gaps": gaps.read_gaps(fleet, begin + args.warmup),
            "dead": dead,
        }


def quantile(values, part):
    """Return the quantile at `part` (0 to 1), nan if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else float("nan")


def summarize(run, kind, seconds):
    """Return the figures of one kind of request in one run by column name."""
    found = [item for item in run["results"] if item["kind"] == kind]
    outcomes = Counter(item["outcome"] for item in found)
    between = [gap * 1000 for item in found for gap in item["gaps"]]
    firsts = [item["total_s"] if kind == "call" else item["first_s"] for item in found]
    firsts = [first * 1000 for first in firsts if first is not None]
    done = [item for item in found if item["outcome"] == "done"]
    priority = PRIORITIES.get(kind, "")
    return {
        "offered": len(found),
        "done": len(done),
        "refused": sum(count for name, count in outcomes.items() if name in REFUSAL_NAMES),
        "other": sum(outcomes.values()) - len(done)
        - sum(count for name, count in outcomes.items() if name in REFUSAL_NAMES),
        "tok/s": sum(item["tokens"] for item in done) / seconds,
        "preempt": run["preemptions"][priority],
        "stall s": run["stall_s"][priority],
        "gap p50": quantile(between, 0.5),
        "gap p99": quantile(between, 0.99),
        "gap p99.9": quantile(between, 0.999),
        "first p50": quantile(firsts, 0.5),
        "first p99": quantile(firsts, 0.99),
    }  # fmt: skip


REFUSAL_NAMES = ("QUEUE_FULL", "WAITED_TOO_LONG", "NO_SERVER", "SHARE_UNAVAILABLE", "CONCURRENCY")
RATIOS = (
    "tok/s",
    "preempt",
    "stall s",
    "gap p50",
    "gap p99",
    "gap p99.9",
    "first p50",
    "first p99",
)


def print_table(rows, title):
    """Print the figures by policy and kind, and their ratios to those of least_requests."""
    names = list(next(iter(rows.values())))
    print(f"\n{title}\n")
    print("| policy | kind | " + " | ".join(names) + " |")
    print("|---" * (len(names) + 2) + "|")
    for (policy, kind), figures in rows.items():
        cells = [
            f"{value:.1f}" if isinstance(value, float) else value for value in figures.values()
        ]
        print(f"| {policy} | {kind} | " + " | ".join(map(str, cells)) + " |")
    print("\nRatio to least_requests:\n")
    print("| policy | kind | " + " | ".join(RATIOS) + " |")
    print("|---" * (len(RATIOS) + 2) + "|")
    for (policy, kind), figures in rows.items():
        base = rows.get(("least_requests", kind))
        if policy != "least_requests" and base:
            cells = [f"{figures[n] / base[n]:.2f}" if base[n] else "-" for n in RATIOS]
            print(f"| {policy} | {kind} | " + " | ".join(cells) + " |")


def plot_gaps(name, runs, file):
    """Print histograms of the time between tokens by kind; if `file` is given, write SVGs too."""
    pictures = []
    for kind in ("short", "long"):
        samples = {
            policy: [1000 * gap for run in found for item in run["results"]
                     if item["kind"] == kind for gap in item["gaps"]]
            for policy, found in runs.items()
        }  # fmt: skip
        title = f"{name}, {kind}: time between tokens, % of all, logarithmic buckets"
        print(f"\n{title}\n\n```\n{plot.render_text(samples)}\n```")
        pictures.append(plot.render_svg(title, samples))
    if file:
        for kind, picture in zip(("short", "long"), pictures, strict=True):
            svg_path = file.with_name(f"{file.stem}-{name}-{kind}{file.suffix}")
            svg_path.write_text(picture)
            print(f"written: {svg_path}")


def pool_runs(runs):
    """Return the results of all seeds as those of one run."""
    return {
        "results": [item for run in runs for item in run["results"]],
        "preemptions": sum((run["preemptions"] for run in runs), Counter()),
        "stall_s": sum((run["stall_s"] for run in runs), Counter()),
    }


def pool_gaps(runs):
    """Return the gaps and the first tokens at the engines, over all seeds."""
    return [[item for run in runs for item in run["gaps"][part]] for part in (0, 1)]


def run_deployment(name, args):
    """Run every policy with every seed on one deployment and print tables and histograms."""
    dep = DEPLOYMENTS[name]
    print(f"\n## {name}: {dep}")
    runs = {policy: [] for policy in args.policies}
    for seed in args.seeds:
        plan = arrivals(dep, args.warmup + args.seconds, args.daemons, seed, args.scale)
        for policy in args.policies:
            load = os.getloadavg()[0]
            run = measure(dep, policy, plan, args)
            runs[policy].append(run)
            lag = [quantile(run["lags"], part) * 1000 for part in (0.5, 0.99, 1.0)]
            outcomes = dict(Counter(item["outcome"] for item in run["results"]))
            print(
                f"- seed {seed}, {policy}: {len(run['results'])} counted, {outcomes}; client lag "
                f"p50/p99/max {lag[0]:.1f}/{lag[1]:.1f}/{lag[2]:.1f} ms; fleet used "
                f"{run['cores']:.1f} cores; load average before/after {load:.1f}/"
                f"{os.getloadavg()[0]:.1f}; engines {dict(run['engine'])}; ended: {run['dead']}",
                flush=True,
            )
    seconds = args.seconds * len(args.seeds)
    rows = {
        (policy, kind): summarize(pool_runs(found), kind, seconds)
        for kind in ("long", "short", "call")
        for policy, found in runs.items()
    }
    print_table(rows, f"{name}, seeds {args.seeds}, {args.seconds} s each (times in ms)")
    found = {policy: pool_gaps(items) for policy, items in runs.items()}
    gaps.print_composition(found, f"{name}: what the gaps at the engines consist of (times in ms)")
    plot_gaps(name, runs, args.plot)


def main():
    """Parse the arguments and run every deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployments", nargs="+", default=list(DEPLOYMENTS))
    parser.add_argument("--policies", nargs="+", default=list(POLICIES), choices=POLICIES)
    parser.add_argument("--seeds", nargs="+", type=int, default=[1, 2])
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--warmup", type=float, default=8.0)
    parser.add_argument("--seconds", type=float, default=28.0)
    parser.add_argument("--drain", type=float, default=20.0)
    parser.add_argument("--scale", type=float, default=1.0, help="factor on all arrival rates")
    parser.add_argument("--plot", type=Path, help="SVG file; its name gets deployment and kind")
    args = parser.parse_args()
    print(f"parameters: {vars(args)}, {os.cpu_count()} processors")
    for name in args.deployments:
        run_deployment(name, args)


if __name__ == "__main__":
    main()
