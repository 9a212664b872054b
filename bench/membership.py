"""Cost of control work and time to detect a failure, with real daemons and no back ends.

For each size, starts N `lovageway serve` processes on loopback, waits until each lists all others,
and measures one idle window: messages and bytes from the daemons' own counters, CPU time and memory
from the kernel. Then it starts a new daemon and kills an old one, and after each of these reads
every member list until all daemons agree. The figure at the target size is extrapolated linearly
from the measured sizes.

Bytes are those of frames and handshakes, without the headers of TCP and IP. CPU time is that of
the whole process: ticks, VM list, table reads and peer traffic.
"""

import argparse
import json
import os
import random
import re
import time
from concurrent.futures import ThreadPoolExecutor

import urllib3
from standins.fleet import Fleet
from tests.builders import JAR_ZONES, jar_returns_rows

from bench.process import cpu_s
from lovageway.adapters.peers import IDLE_TIMEOUT_S
from lovageway.controllers.membership import Membership
from lovageway.events import SendPeer
from lovageway.messages import Ack, Member, Members, Ping, decode, encode
from lovageway.model import Identity, Vm

TARGET_DAEMONS = 390
SEED = 1
TARGET_COSTS = {"bytes_s": 4096.0, "cpu_percent": 1.4, "rss_mb": 32.0}
POOL = urllib3.PoolManager(num_pools=64, maxsize=8, retries=2, timeout=urllib3.Timeout(30.0))


def parse_args():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 16, 32])
    parser.add_argument("--window", type=float, default=20.0, help="Idle window in seconds.")
    parser.add_argument("--limit", type=float, default=60.0, help="Longest wait for agreement.")
    return parser.parse_args()


def fetch(fleet, process, path):
    """Return a page of the operators' interface; the pool retries on an expired connection."""
    headers = {"Authorization": f"Bearer {fleet.operator_key}"}
    return POOL.request(
        "GET", f"http://{process.addresses['operator_listen']}{path}", headers=headers
    ).data


def peer_counters(fleet, process):
    """Return the peer counters of a daemon by name and direction."""
    text = fetch(fleet, process, "/metrics").decode()
    pattern = r'^lovageway_peer_(\w+)_total\{direction="(\w+)"\} (\S+)$'
    return {(name, way): float(n) for name, way, n in re.findall(pattern, text, re.MULTILINE)}


def rss_mb(process):
    """Return the resident and the private memory of a process in MB."""
    with open(f"/proc/{process.popen.pid}/smaps_rollup") as file:
        sizes = dict(re.findall(r"^(\w+):\s+(\d+) kB$", file.read(), re.MULTILINE))
    private = int(sizes["Private_Clean"]) + int(sizes["Private_Dirty"])
    return int(sizes["Rss"]) / 1024, private / 1024


def count_sockets(process):
    """Return the number of open sockets of a process."""
    names = os.listdir(f"/proc/{process.popen.pid}/fd")
    links = []
    for name in names:
        try:
            links.append(os.readlink(f"/proc/{process.popen.pid}/fd/{name}"))
        except OSError:
            continue
    return sum(link.startswith("socket:") for link in links)


def fetch_live_sets(fleet, names):
    """Return the ids of live VMs that each named daemon lists."""

    def fetch_live(name):
        dump = json.loads(fetch(fleet, fleet.daemons[name], "/admin/dump"))
        return {member["node"].partition("/")[0] for member in dump["membership"]["live"]}

    with ThreadPoolExecutor(8) as pool:
        return list(pool.map(fetch_live, names))


def time_until_all(fleet, names, condition, limit_s):
    """Return the seconds until `condition(live)` holds on all named daemons, None if never."""
    begun = time.monotonic()
    while time.monotonic() - begun < limit_s:
        if all(condition(live) for live in fetch_live_sets(fleet, names)):
            return time.monotonic() - begun
        time.sleep(0.05)
    return None


def idle_window(fleet, window_s):
    """Return the costs of each daemon over a window in which no requests arrive."""
    before = {
        name: (peer_counters(fleet, p), cpu_s(p.popen.pid)) for name, p in fleet.daemons.items()
    }
    begun = time.monotonic()
    time.sleep(window_s)
    took = time.monotonic() - begun
    costs = []
    for name, process in fleet.daemons.items():
        spent = cpu_s(process.popen.pid) - before[name][1]
        now, old = peer_counters(fleet, process), before[name][0]
        used = {key: (now[key] - old.get(key, 0.0)) / took for key in now}
        sent = used.get(("bytes", "sent"), 0.0) + used.get(("bytes", "handshake"), 0.0)
        rss, private = rss_mb(process)
        costs.append(
            {
                "messages_s": used.get(("messages", "sent"), 0.0),
                "handshakes_s": used.get(("messages", "handshake"), 0.0),
                "bytes_s": sent,
                "handshake_b": now[("bytes", "handshake")] / now[("messages", "handshake")],
                "cpu_percent": 100 * spent / took,
                "rss_mb": rss,
                "private_mb": private,
                "sockets": float(count_sockets(process)),
            }
        )
    return costs


def measure(count, args):
    """Return mean and largest costs in a fleet of `count`, and the times until all lists agree."""
    with Fleet() as fleet:
        for number in range(count):
            fleet.daemon(f"entry-{number}", JAR_ZONES[number % 3])
        fleet.write_configuration(jar_returns_rows())
        fleet.publish_vms()
        names = list(fleet.daemons)
        joined = time_until_all(fleet, names, lambda live: live == set(names), args.limit)
        # Initial gossip ends and each pair exchanges a ping within one and a half rounds of pings.
        time.sleep(max(10.0, 1.5 * count))
        costs = idle_window(fleet, args.window)
        # The VM list lags, so it does not contain the new daemon yet.
        seeds = [fleet.daemons[names[0]].addresses["peer_listen"]]
        fleet.daemon("entry-new", JAR_ZONES[0], seeds=seeds)
        new = time_until_all(
            fleet, [*names, "entry-new"], lambda live: len(live) > count, args.limit
        )
        fleet.daemons[names[-1]].popen.kill()
        survivors = [*names[:-1], "entry-new"]
        dead = time_until_all(fleet, survivors, lambda live: names[-1] not in live, args.limit)
    mean = {key: sum(cost[key] for cost in costs) / count for key in costs[0]}
    largest = {key: max(cost[key] for cost in costs) for key in costs[0]}
    return mean, largest, {"joined_s": joined, "new_s": new, "dead_s": dead}


def controller_cost(members, seconds):
    """Return the CPU percentage and the bytes sent per second of one membership controller.

    Its table holds `members` daemons. Peers answer at once, one further ping a second arrives, and
    one member in a hundred restarts each minute, which is more than six times the target's churn.
    Messages are encoded and decoded.
    """
    rng = random.Random(SEED)
    vms = [Vm(f"e-{n}", "entry", "", "z", f"10.0.0.1:{n}", f"10.0.1.1:{n}") for n in range(members)]
    ident = Identity("e-0", "a", "z", vms[0].address, vms[0].peer_address)
    node = Membership(ident, rng, lambda now: (1, 0.5))
    node.on_vm_list(tuple(vms), 0.0)
    starts = dict.fromkeys(range(1, members), 0)
    effects, sizes, used = [], 0, 0.0

    def member_entry(n):
        vm = vms[n]
        name = f"{vm.vm_id}/{starts[n]:08x}"
        return Member(name, vm.address, vm.peer_address, "z", starts[n], "live")

    def deliver(n, message, now):
        begun = time.process_time()
        sender, address = member_entry(n).node, vms[n].peer_address
        node.on_message(sender, address, decode(message), now, effects.append)
        return time.process_time() - begun

    for first in range(1, members, 50):
        page = Members(tuple(member_entry(n) for n in range(first, min(first + 50, members))))
        deliver(1, encode(page), 0.0)
    for tick in range(seconds * 20):
        now = tick / 20
        effects.clear()
        begun = time.process_time()
        node.tick(now, effects.append)
        sent = [encode(e.message) for e in effects if isinstance(e, SendPeer)]
        used += time.process_time() - begun
        sizes += sum(map(len, sent))
        for effect in [e for e in effects if isinstance(e, SendPeer)]:
            n = int(effect.address.rpartition(":")[2])
            if isinstance(effect.message, Ping):
                used += deliver(n, encode(Ack(effect.message.seq, 1, 0.5, (member_entry(n),))), now)
        if tick % 20 == 0:
            n = rng.randrange(1, members)
            if rng.random() < members / 100 / 60:
                starts[n] += 1
            before = len(effects)
            used += deliver(n, encode(Ping(tick, 1, 0.5, (member_entry(n),))), now)
            sizes += sum(len(encode(e.message)) for e in effects[before:] if hasattr(e, "message"))
    return 100 * used / seconds, sizes / seconds


def fit_line(sizes, values):
    """Return intercept and slope of the least squares line through the points."""
    mean_x, mean_y = sum(sizes) / len(sizes), sum(values) / len(values)
    spread = sum((x - mean_x) ** 2 for x in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


def main():
    args = parse_args()
    print(f"sizes {args.sizes}, window {args.window} s, {os.cpu_count()} cores, no back ends")
    print("random numbers: seeded by the kernel, so that runs differ")
    means = []
    for count in args.sizes:
        load = os.getloadavg()[0]
        mean, largest, times = measure(count, args)
        means.append(mean)
        print(f"\n{count} daemons (load average before {load:.1f})")
        for key in mean:
            print(f"  {key:13} mean {mean[key]:10.2f}   largest {largest[key]:10.2f}")
        for key, value in times.items():
            print(f"  {key:13} {'not within the limit' if value is None else f'{value:.2f}'}")
    print(f"\n{'':13} {'base':>10} {'per daemon':>12} {f'at {TARGET_DAEMONS}':>10} {'target':>10}")
    for key in means[0]:
        base, slope = fit_line(args.sizes, [mean[key] for mean in means])
        target = TARGET_COSTS.get(key)
        shown = "" if target is None else f"{target:10.1f}"
        print(f"{key:13} {base:10.2f} {slope:12.4f} {base + slope * TARGET_DAEMONS:10.2f} {shown}")
    handshake = sum(mean["handshake_b"] for mean in means) / len(means)
    alone = sum(mean["bytes_s"] for mean in means) / len(means)
    print(f"above {IDLE_TIMEOUT_S:.0f} daemons connections are idle for too long and are closed;")
    rate = sum(mean["messages_s"] for mean in means) / len(means)
    print(f"with a handshake for each message: {alone + 2 * rate * handshake:.0f} B/s")
    for members in (8, TARGET_DAEMONS):
        cpu, size = controller_cost(members, 300)
        print(
            f"controller alone with {members} members, seed {SEED}: {cpu:.3f} % CPU, {size:.0f} B/s"
        )
    print("baseline: all-to-all heartbeats at the same frame size and 1 s interval would send")
    frame = sum(m["bytes_s"] / max(m["messages_s"], 0.01) for m in means) / len(means)
    print(f"{frame * (TARGET_DAEMONS - 1):.0f} B/s from each of {TARGET_DAEMONS} daemons")


if __name__ == "__main__":
    main()
