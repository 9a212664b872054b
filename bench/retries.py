"""Attempts for each request in an outage, by retry rule: ``python -m bench.retries``.

The baseline is the fixed rule of three attempts. The rule "on arrival" is the one that the design
page described first. Deterministic: no sockets, no time.
"""

import argparse
import random

from lovageway.controllers.budgets import EARNED, MAX_BALANCE, Budgets
from lovageway.filters.attempt import MAX_ATTEMPTS


def attempts(rule, requests, failing, rng):
    """Return attempts for each request after a healthy time that filled the budget."""
    budgets, sent = Budgets(), 0
    for _ in range(1000):
        budgets.earn("a", "s")
    for _ in range(requests):
        if rule == "on arrival":
            budgets.earn("a", "s")
        for attempt in range(MAX_ATTEMPTS):
            sent += 1
            if rng.random() >= failing:
                if rule == "on answers":
                    budgets.earn("a", "s")
                break
            last = attempt + 1 == MAX_ATTEMPTS
            if last or (rule != "fixed" and not budgets.spend("a", "s")):
                break
    return sent / requests


def main():
    options = argparse.ArgumentParser()
    options.add_argument("--seed", type=int, default=1)
    args = options.parse_args()
    print(f"seed={args.seed} earned={EARNED} reserve={MAX_BALANCE} max_attempts={MAX_ATTEMPTS}")
    print("| requests | attempts that fail | fixed (baseline) | on arrival | on answers |")
    print("|---|---|---|---|---|")
    for requests in (101, 400, 2000, 20000):
        for failing in (1.0, 0.5, 0.05):
            found = [
                attempts(rule, requests, failing, random.Random(args.seed))
                for rule in ("fixed", "on arrival", "on answers")
            ]
            cells = " | ".join(f"{value:.3f}" for value in found)
            print(f"| {requests} | {failing:.0%} | {cells} |")


if __name__ == "__main__":
    main()
