"""Checks at-most-once calls and ascending configuration versions while daemons are killed.

``python -m bench.invariants [--daemons 48] [--seconds 60] [--seed 1]``

Calls carry idempotency keys; each is sent up to 1 + RESENDS times through random daemons. The
answers are compared with the ledgers of the plain stand-ins. The exit code is 1 if a key was
executed twice, an answer contradicts the ledgers, accepted versions do not ascend, or the last one
does not come into force. A daemon takes about 55 MB of memory.
"""

import argparse
import json
import os
import random
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from standins.fleet import Fleet, http, post, wait_for
from tests.builders import JAR_ZONES, contract_row, jar_returns_rows
from urllib3.exceptions import HTTPError

CALLERS = 8
RESENDS = 4
MAX_PAUSE_S = 0.5
CALL_DURATION_S = 0.3  # with immediate answers, no call was in progress when its daemon was killed
KILL_INTERVAL_S = 3.0
CHANGE_INTERVAL_S = 1.0


class Calls:
    """Sends calls with idempotency keys and records the answers by key."""

    def __init__(self, fleet, seed):
        self.fleet, self.seed = fleet, seed
        self.answers_by_key = {}  # key -> list of (status, body or None)
        self.stopped = threading.Event()

    def run(self, number):
        """Call with one key after another until `stopped` is set."""
        rng, turn = random.Random(f"{self.seed}/{number}"), 0
        while not self.stopped.is_set():
            key, turn = f"key-{number}-{turn}", turn + 1
            answers = self.answers_by_key[key] = []
            for _ in range(1 + RESENDS):
                answers.append(self.send(rng.choice(list(self.fleet.daemons.values())), key))
                if answers[-1][0] == 200 and rng.random() < 0.8:
                    break
                time.sleep(rng.uniform(0.0, MAX_PAUSE_S))

    def send(self, daemon, key):
        """Return the status and the body of the answer, 0 and None if no valid one arrived."""
        headers = {"Authorization": "Bearer clerks-key", "Idempotency-Key": key}
        url = f"http://{daemon.address}/v1/services/counter-app/refund"
        try:
            resp = http.request("POST", url, json={"jar": 1}, headers=headers)
            return resp.status, json.loads(resp.data)
        except (HTTPError, ValueError):
            return 0, None

    def violations(self, effects):
        """Return a description of each answer or effect that breaks at-most-once execution."""
        violations = []
        for key, answers in self.answers_by_key.items():
            receipts = {body["receipt"] for status, body in answers if status == 200}
            all_denied = all(
                status and status != 200 and reported_effect(body) == "no"
                for status, body in answers
            )
            if effects[key] > 1:
                violations.append(f"{key} ran {effects[key]} times")
            if len(receipts) > 1 or (receipts and not effects[key]):
                violations.append(f"{key}: answers {receipts}, {effects[key]} effects")
            if all_denied and effects[key]:
                violations.append(f"{key} ran, but every answer reported that it did not")
        return violations


def reported_effect(body):
    """Return whether the request took effect, as the refusal in `body` reports it."""
    return body["error"]["ran"]


def start_fleet(size):
    """Start plain services and daemons; return the fleet and the plain services."""
    fleet = Fleet()
    plain = [
        fleet.backend(f"counter-{number}", "counter-app", JAR_ZONES[number], "plain")
        for number in range(3)
    ]
    for process in plain:
        post(process.address, "/control", {"delay_s": CALL_DURATION_S})
    for number in range(size):
        fleet.daemon(f"entry-{number}", JAR_ZONES[number % 3])
    fleet.begin(jar_returns_rows())
    return fleet, plain


def kill_daemons(fleet, rng, until):
    """Kill random daemons, start replacements until `until`, and return the number of kills."""
    kills = 0
    while time.monotonic() < until:
        time.sleep(KILL_INTERVAL_S)
        name = rng.choice(list(fleet.daemons))
        fleet.daemons[name].kill()
        fleet.daemon(name, fleet.vms[name]["zone"])
        fleet.publish_vms()
        kills += 1
    return kills


def apply_changes(fleet, rng, until):
    """Apply changes through random daemons and return the versions in order of acceptance."""
    versions = []
    while time.monotonic() < until:
        time.sleep(CHANGE_INTERVAL_S)
        number = len(versions)
        row = contract_row("counter", concurrency=100 + number)
        daemon = rng.choice(list(fleet.daemons.values()))
        try:
            status, answer = fleet.apply(
                daemon, f"bench-{rng.getrandbits(64):x}", {"contract/counter": row}
            )
        except (HTTPError, ValueError):
            continue  # the daemon was killed
        if status == 200:
            versions.append(answer["version"])
    return versions


def count_effects(plain):
    """Return the number of effects by key, from the ledgers of the plain services."""
    effects = Counter()
    for process in plain:
        found = json.loads(http.request("GET", f"http://{process.address}/ledger").data)
        effects.update(effect["key"] for effect in found["effects"])
    return effects


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--daemons", type=int, default=48)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    load = " ".join(f"{value:.1f}" for value in os.getloadavg())
    print(
        f"seed {args.seed}, {args.daemons} daemons, {args.seconds:.0f} s, load {load}", flush=True
    )
    fleet, plain = start_fleet(args.daemons)
    with fleet, ThreadPoolExecutor(CALLERS + 2) as pool:
        calls, until = Calls(fleet, args.seed), time.monotonic() + args.seconds
        callers = [pool.submit(calls.run, number) for number in range(CALLERS)]
        changes = pool.submit(apply_changes, fleet, random.Random(args.seed + 1), until)
        try:
            kills = kill_daemons(fleet, random.Random(args.seed), until)
            versions = changes.result()
        finally:
            calls.stopped.set()
        for caller in callers:
            caller.result()
        violations = calls.violations(count_effects(plain))
        if not versions or versions != sorted(set(versions)):
            violations.append(f"accepted versions do not ascend: {versions}")
        began = time.monotonic()
        last = max(versions, default=1)
        wait_for(lambda: min(fleet.versions()) >= last, "the last version everywhere")
        elapsed_s = time.monotonic() - began
    answers = [item for found in calls.answers_by_key.values() for item in found]
    codes = Counter(b["error"]["code"] if b and "error" in b else s for s, b in answers)
    print(f"{len(calls.answers_by_key)} keys, {len(answers)} submissions, answers {dict(codes)}")
    print(f"{kills} daemons killed, {len(versions)} changes, last in force after {elapsed_s:.2f} s")
    print("\n".join(violations) or "no fault")
    sys.exit(bool(violations))


if __name__ == "__main__":
    main()
