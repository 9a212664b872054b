"""Attempts per request in an outage, by retry rule: ``python -m bench.retries``.

The baseline is the rule "fixed", which allows three attempts. With "on answers", the rule in use,
an account earns retries by successful answers; with "on arrival", which the design page described
first, by requests that arrive. The simulation is deterministic: it uses no sockets and no clock.
"""

import argparse
import random

from lovageway.controllers.budgets import EARNED, MAX_BALANCE, Budgets
from lovageway.filters.attempt import MAX_ATTEMPTS


def attempts_per_request(rule, requests, failure_rate, rng):
    """Return the attempts per request in an outage that begins with a full retry budget."""
    budgets, sent = Budgets(), 0
    for _ in range(1000):
        budgets.earn("a", "s")
    for _ in range(requests):
        if rule == "on arrival":
            budgets.earn("a", "s")
        for attempt in range(MAX_ATTEMPTS):
            sent += 1
            if rng.random() >= failure_rate:
                if rule == "on answers":
                    budgets.earn("a", "s")
                break
            last = attempt + 1 == MAX_ATTEMPTS
            if last or (rule != "fixed" and not budgets.spend("a", "s")):
                break
    return sent / requests


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(f"seed={args.seed} earned={EARNED} reserve={MAX_BALANCE} max_attempts={MAX_ATTEMPTS}")
    print("| requests | attempts that fail | fixed (baseline) | on arrival | on answers |")
    print("|---|---|---|---|---|")
    for requests in (101, 400, 2000, 20000):
        for failure_rate in (1.0, 0.5, 0.05):
            ratios = [
                attempts_per_request(rule, requests, failure_rate, random.Random(args.seed))
                for rule in ("fixed", "on arrival", "on answers")
            ]
            cells = " | ".join(f"{value:.3f}" for value in ratios)
            print(f"| {requests} | {failure_rate:.0%} | {cells} |")


if __name__ == "__main__":
    main()
