"""Runs the test modules in parallel, each in a process of its own, and some of them alone.

``python -m tools.suite [MODULE ...]`` prints the output of the modules in order and, at the end,
the totals over all modules. The exit code is 1 if a module failed or printed no summary line.
"""

import re
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
# Half of the cores plus one, because each test with real daemons starts several processes.
WORKERS = 4
MODULE_TIMEOUT_S = 1500
_SUMMARY = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE)
# Modules with real daemons take minutes; they start first, so that none runs alone at the end.
LONG_FIRST = (
    "test_partition_processes",
    "test_at_most_once",
    "test_limits_processes",
    "test_poison_fleet",
    "test_zones",
    "test_orders_fleet",
    "test_binary",
    "test_operators_guide",
)
# Modules that flood a process with input and bound its memory; they run alone, after the others.
ALONE = ("test_crowd_processes", "test_crowd_serve_processes")


class Result(NamedTuple):
    """Outcome of one module's tests."""

    module: str
    code: int
    counts: tuple[int, int, int] | None  # passed, failed, skipped
    seconds: float
    output: str


def list_modules() -> list[str]:
    """Return the names of all test modules, long ones first."""
    names = sorted(path.stem for path in (ROOT / "tests").glob("test_*.py"))
    return sorted(names, key=lambda n: LONG_FIRST.index(n) if n in LONG_FIRST else 99)


def run_module(module: str) -> Result:
    """Run the tests of one module in a process of its own."""
    began = time.monotonic()
    command = [sys.executable, "-m", "nose2", "-v", f"tests.{module}"]
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=MODULE_TIMEOUT_S,
        )
        code, output = completed.returncode, completed.stdout
    except subprocess.TimeoutExpired as exc:
        code, output = 1, f"{exc}\n{exc.stdout or ''}"
    summaries = _SUMMARY.findall(output)
    counts = tuple(int(part) for part in summaries[-1]) if summaries else None
    return Result(module, code, counts, time.monotonic() - began, output)  # type: ignore[arg-type]


def run_modules(names: list[str]) -> Iterator[Result]:
    """Run modules in parallel, then those of ALONE one after another; yield their results."""
    with ThreadPoolExecutor(WORKERS) as pool:
        yield from pool.map(run_module, [name for name in names if name not in ALONE])
    yield from map(run_module, [name for name in names if name in ALONE])


def main(names: list[str]) -> int:
    """Run the modules, print their output and totals, and return the exit code."""
    totals, failed_modules = [0, 0, 0], []
    for result in run_modules(names or list_modules()):
        print(f"--- {result.module} ({result.seconds:.0f} s)\n{result.output}", flush=True)
        if result.code != 0 or result.counts is None:
            failed_modules.append(result.module)
        for i, count in enumerate(result.counts or (0, 0, 0)):
            totals[i] += count
    if failed_modules:
        print(f"modules that failed: {', '.join(failed_modules)}")
    passed, failed, skipped = totals
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed_modules else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
