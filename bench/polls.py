"""CPU of one idle daemon that owns 4, 8 and 16 backend servers: ``python -m bench.polls``.

The owner reads each server's load report twice a second, and once a second when the server has been
stable for half a minute; ``--settle 45`` measures the latter. The baseline in the same run is a
daemon without servers.
"""

import argparse
import os
import time

from standins.fleet import Fleet
from tests.builders import jar_returns_rows

from bench.process import cpu_s, rss_mb


def measure(servers, settle, seconds):
    """Return CPU percent and RSS in MB of an idle daemon that owns `servers` servers."""
    with Fleet() as fleet:
        for number in range(servers):
            fleet.backend(f"counter-{number}", "counter-app", "khangai", "plain")
        daemon = fleet.daemon("entry-0", "khangai")
        fleet.begin(jar_returns_rows())
        time.sleep(settle)
        before = cpu_s(daemon.popen.pid)
        time.sleep(seconds)
        used = cpu_s(daemon.popen.pid) - before
        return 100 * used / seconds, rss_mb(daemon.popen.pid)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--settle", type=float, default=3.0, help="Seconds before measuring.")
    parser.add_argument("--servers", type=int, nargs="+", default=[0, 4, 8, 16])
    args = parser.parse_args()
    print(f"{vars(args)}, load average {os.getloadavg()[0]:.1f}")
    print("| servers owned | CPU % of a core | RSS MB |\n|---|---|---|")
    for servers in args.servers:
        cpu, rss = measure(servers, args.settle, args.seconds)
        print(f"| {servers} | {cpu:.2f} | {rss:.1f} |", flush=True)


if __name__ == "__main__":
    main()
