"""Command of the fault soak: ``python -m soak --seeds 50 --seconds 15 [--first SEED]``."""

import argparse
import asyncio
import sys
import time

from soak.run import run


def main():
    """Run the seeds one after another; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="how many seeds")
    parser.add_argument("--first", type=int, default=time.time_ns() % 10**9, help="first seed")
    parser.add_argument("--seconds", type=float, default=15.0, help="time in which faults begin")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        result = asyncio.run(run(seed, options.seconds))
        print(
            f"seed {seed}: {result.requests} requests, {result.answered} answered, "
            f"{len(result.faults)} faults, {len(result.broken)} promises broken, "
            f"peak {result.peak_mb:.0f} MB",
            flush=True,
        )
        for line in result.broken:
            print(f"  {line}")
        failed += bool(result.broken)
    print(f"{options.seeds} seeds, {failed} with a broken promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
