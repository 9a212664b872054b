"""Measures how well limits hold over several daemons, and what the shares cost.

    python -m bench.limits [DAEMONS ...]

The engine's own count of running and waiting requests, read 20 times a second, is compared with the
limit. Callers offer about twice the limit. The baseline in the same run is a static division: each
daemon has an account of its own, whose limit is the shared one divided by the number of daemons (at
least 1). The shared limit and the static division are measured on separate engines.
"""

import json
import random
import sys
import threading
import time

import urllib3
from standins.fleet import Fleet, http, wait_for
from tests.builders import contract_row, jar_returns_rows

SEED = 11
LIMIT = 24
RATE_PER_S = 40.0
GENERATION_TOKENS = 150
STEP_MS = 10
# The design page bounds the adjustment of shares by 2 s; one generation must end in addition.
SETTLE_S = 3.0
MEASURE_S = 6.0


class LoadGenerator:
    """Callers in threads, each of which sends one request after another to its target daemon."""

    def __init__(self, targets, path, body, gap_s=0.0):
        self.stop = False
        self.path, self.body, self.gap_s = path, body, gap_s
        self.done = []
        self.resets = 0
        self.refusals = {}
        self.threads = [
            threading.Thread(target=self.run, args=(random.Random(SEED + n), *target), daemon=True)
            for n, target in enumerate(targets)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, rng, address, account):
        """Send requests until `stop` is set."""
        headers = {"Authorization": f"Bearer {account}-key"}
        while not self.stop:
            url = f"http://{address}{self.path}"
            sent = time.monotonic()
            try:
                resp = http.request("POST", url, json=self.body, headers=headers)
            except urllib3.exceptions.HTTPError:
                # The daemon closed the idle connection while the request was sent.
                self.resets += 1
                continue
            if resp.status == 200:
                self.done.append(time.monotonic())
                pause_s = self.gap_s - (time.monotonic() - sent)
                time.sleep(max(0.0, pause_s))
            else:
                code = json.loads(resp.data)["error"]["code"]
                self.refusals[code] = self.refusals.get(code, 0) + 1
                time.sleep(rng.uniform(0.05, 0.15))

    def end(self):
        """Stop the callers and wait until their requests in flight have ended."""
        self.stop = True
        for thread in self.threads:
            thread.join(30)


def start_fleet(fleet, count):
    """Start engines, a plain service and daemons, and wait until all of them are ready."""
    for name in ("shared", "static"):
        options = ("--slots", "100", "--step-ms", str(STEP_MS), "--memory", "10000000")
        fleet.backend(name, f"{name}-llm", "gobi", "engine", *options)
    fleet.backend("counter-0", "counter-app", "gobi", "plain")
    for number in range(count):
        zone = ("khangai", "gobi", "selenge")[number % 3]
        fleet.daemon(f"entry-{number}", zone, max_open_requests=60)
    rows = jar_returns_rows()
    services = ["shared-llm", "static-llm", "counter-app"]
    for name in ("shared-llm", "static-llm"):
        rows[f"service/{name}"] = {"name": name, "kind": "engine", "full_slots": 400}
        rows[f"service/{name}"]["cold_slots"] = 400
    rows["service/counter-app"].update(cold_slots=400, full_slots=400)
    static_limit = max(1, LIMIT // count)
    accounts = {"shared": (LIMIT, 1000.0), "rated": (1000, RATE_PER_S)}
    accounts |= {f"static-{n}": (static_limit, 1000.0) for n in range(count)}
    for name, (concurrency, rate) in accounts.items():
        row = contract_row(name, concurrency=concurrency, requests_per_s=rate, services=services)
        rows[f"contract/{name}"] = {**row, "tokens_per_s": 1e6}
    fleet.write_configuration(rows)
    fleet.publish_vms()
    wait_for(lambda: all_live(fleet, count), "live daemons", 90)
    fleet.wait_ready()


def all_live(fleet, count):
    """Return whether each daemon lists `count` live members."""
    dumps = [fleet.admin(item, "/admin/dump") for item in fleet.daemons.values()]
    return all(len(dump["membership"]["live"]) == count for dump in dumps)


def read_counters(fleet):
    """Return the peer traffic and share counters, summed over all daemons."""
    totals = {}
    for process in fleet.daemons.values():
        for line in fleet.page(process, "/metrics").splitlines():
            name, _, value = line.partition(" ")
            if 'direction="received"' in name:
                continue
            name = name.partition("{")[0]
            if name in ("lovageway_peer_bytes_total", "lovageway_share_lines_total"):
                totals[name] = totals.get(name, 0.0) + float(value)
            if name in ("lovageway_peer_messages_total", "lovageway_grant_lines_total"):
                totals[name] = totals.get(name, 0.0) + float(value)
    return totals


def daemon_rates(fleet, before, seconds, count):
    """Return the increase of each counter per second and daemon."""
    after = read_counters(fleet)
    names = ("peer_bytes", "peer_messages", "share_lines", "grant_lines")
    return {
        name: (after.get(f"lovageway_{name}_total", 0) - before.get(f"lovageway_{name}_total", 0))
        / seconds
        / count
        for name in names
    }


def measure_concurrency(fleet, label, server, targets, limit, idle):
    """Print how closely the engine's requests keep to a concurrency limit; return the costs."""
    address = fleet.vms[server]["address"]
    body = {
        "model": f"{server}-llm",
        "prompt": f"len={GENERATION_TOKENS}",
        "max_tokens": GENERATION_TOKENS,
    }
    load = LoadGenerator(targets, "/v1/completions", body)
    time.sleep(SETTLE_S)
    before, samples, end = read_counters(fleet), [], time.monotonic() + MEASURE_S
    while time.monotonic() < end:
        found = json.loads(http.request("GET", f"http://{address}/load").data)
        samples.append(found["running"] + found["waiting"])
        time.sleep(0.05)
    cost = daemon_rates(fleet, before, MEASURE_S, len(fleet.daemons))
    load.end()
    mean = sum(samples) / len(samples)
    over, under = max(0, max(samples) - limit), 100 * (1 - mean / limit)
    print(
        f"{label:34} limit {limit:3}  max {max(samples):3}  over {over:2}  mean {mean:5.1f}"
        f"  under {under:5.1f} %  | per daemon: {cost['share_lines']:5.2f} + "
        f"{cost['grant_lines']:5.2f} lines/s, {(cost['peer_bytes'] - idle['peer_bytes']):6.0f} B/s"
        f" over idle ({idle['peer_bytes']:.0f} B/s); resets {load.resets}"
        f", refusals {load.refusals}",
        flush=True,
    )
    return cost


def measure_rate(label, targets):
    """Print how closely served calls keep to the limit on requests per second."""
    load = LoadGenerator(
        targets, "/v1/services/counter-app/history", {}, gap_s=len(targets) / (2 * RATE_PER_S)
    )
    time.sleep(SETTLE_S)
    began = time.monotonic()
    time.sleep(MEASURE_S)
    ended = time.monotonic()
    load.end()
    times = sorted(load.done)
    counted = sum(began <= at < ended for at in times)
    window = max(sum(at <= other < at + 1 for other in times) for at in times)
    under = 100 * (1 - counted / RATE_PER_S / (ended - began))
    print(
        f"{label:34} limit {RATE_PER_S:.0f}/s  served {counted / (ended - began):5.1f}/s"
        f" resets {load.resets}"
        f"  under {under:5.1f} %  most in any second {window} (bound {2 * RATE_PER_S:.0f})",
        flush=True,
    )


def measure(count):
    """Measure shares and the static division with `count` daemons."""
    print(f"-- {count} daemons", flush=True)
    with Fleet() as fleet:
        start_fleet(fleet, count)
        time.sleep(7)  # unused shares from the start are dropped by then
        before = read_counters(fleet)
        time.sleep(4)
        idle = daemon_rates(fleet, before, 4, count)
        addresses = [process.address for process in fleet.daemons.values()]
        callers = 2 * LIMIT
        even = [addresses[n % count] for n in range(callers)]
        one = [addresses[0]] * callers
        cost = measure_concurrency(
            fleet, "shares, even", "shared", [(at, "shared") for at in even], LIMIT, idle
        )
        measure_concurrency(
            fleet, "shares, one daemon", "shared", [(a, "shared") for a in one], LIMIT, idle
        )
        static = [(at, f"static-{n % count}") for n, at in enumerate(even)]
        measure_concurrency(fleet, "static division, even", "static", static, LIMIT, idle)
        static = [(at, "static-0") for at in one]
        measure_concurrency(fleet, "static division, one daemon", "static", static, LIMIT, idle)
        measure_rate("shares, requests/s, even", [(at, "rated") for at in even])
        measure_rate("shares, requests/s, one daemon", [(at, "rated") for at in one])
        lines = cost["share_lines"] + cost["grant_lines"]
        if lines:
            each = (cost["peer_bytes"] - idle["peer_bytes"]) / lines
            print(
                f"{each:.0f} B for each line sent; bench.share_lines counts lines at target size",
                flush=True,
            )


def main():
    counts = [int(text) for text in sys.argv[1:]] or [1, 8, 32]
    print(
        f"seed {SEED}, limit {LIMIT} concurrent, {RATE_PER_S:.0f} requests/s, {2 * LIMIT} callers, "
        f"generations of {GENERATION_TOKENS} tokens at {STEP_MS} ms and more, "
        f"measured for {MEASURE_S} s after {SETTLE_S} s"
    )
    for count in counts:
        measure(count)


if __name__ == "__main__":
    main()
