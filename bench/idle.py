"""Memory, threads and CPU of one idle daemon: ``python -m bench.idle``.

The daemon owns no backend server. CPU use is measured over a window that begins after the
configuration is in force; memory and threads are read at the end of that window.
"""

import argparse
import os
import re
import time
from pathlib import Path

from standins.fleet import Fleet
from tests.builders import jar_returns_rows

from bench.process import cpu_s

SETTLE_S = 3.0


def memory_and_threads(pid):
    """Return resident and private memory in MB, and the number of threads."""
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
    sizes = dict(re.findall(r"^(\w+):\s+(\d+) kB$", rollup, re.MULTILINE))
    private = int(sizes["Private_Clean"]) + int(sizes["Private_Dirty"])
    return int(sizes["Rss"]) / 1024, private / 1024, len(os.listdir(f"/proc/{pid}/task"))


def measure(seconds):
    """Return RSS and private memory in MB, threads and CPU percent of an idle daemon."""
    with Fleet() as fleet:
        daemon = fleet.daemon("entry-0", "khangai")
        fleet.begin(jar_returns_rows())
        time.sleep(SETTLE_S)
        pid = daemon.popen.pid
        before = cpu_s(pid)
        time.sleep(seconds)
        return *memory_and_threads(pid), 100 * (cpu_s(pid) - before) / seconds


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--runs", type=int, default=3)
    args = parser.parse_args()
    print(f"{vars(args)}, load average {os.getloadavg()[0]:.1f}")
    print("| RSS MB | private MB | threads | CPU % of a core |\n|---|---|---|---|")
    for _ in range(args.runs):
        rss, private, threads, cpu = measure(args.seconds)
        print(f"| {rss:.1f} | {private:.1f} | {threads} | {cpu:.2f} |", flush=True)


if __name__ == "__main__":
    main()
