"""Memory and time of the configuration in one daemon: ``python -m bench.snapshot``.

Builds the rows of 1,000, 4,000 and 7,700 contracts, parses them, and applies one change.
"""

import time
import tracemalloc

from tests.builders import contract_row

from lovageway.controllers._log import Store
from lovageway.controllers._rows import parse_changes, parse_rows
from lovageway.messages import LogEntry


def measure(contracts):
    """Return MB of memory, ms to parse all rows and ms to apply one change."""
    tracemalloc.start()
    store = Store()
    rows = {f"contract/account-{n}": contract_row(f"account-{n}") for n in range(contracts)}
    store.replace(1, rows)
    snapshot = parse_rows(1, store.rows)
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    began = time.perf_counter()
    parse_rows(1, store.rows)
    parse_all_s = time.perf_counter() - began
    changes = (("contract/account-1", contract_row("account-1", concurrency=5)),)
    began = time.perf_counter()
    store.apply(LogEntry(2, "change", changes))
    parse_changes(snapshot, 2, changes)
    return memory, parse_all_s * 1000, (time.perf_counter() - began) * 1000


def main():
    print("| contracts | memory MB | parse all ms | apply one change ms |\n|---|---|---|---|")
    for contracts in (1000, 4000, 7700):
        memory, parse_all_s, change = measure(contracts)
        print(f"| {contracts} | {memory:.1f} | {parse_all_s:.1f} | {change:.2f} |")


if __name__ == "__main__":
    main()
