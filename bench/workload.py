"""Seeded open-loop arrivals of the two deployments, and fleets to serve them."""

import random
from typing import NamedTuple

from tests.builders import key_hash

CHARS_PER_TOKEN = 4
SYSTEM_PROMPT_TOKENS = 128  # the same for all requests of one account and kind
MAX_TOKENS = 2000  # requested for long generations; far above their usual length


class Deployment(NamedTuple):
    """Parameters of one deployment, scaled down so that a run needs at most 4 cores."""

    engine: str
    engines: int
    plain: str
    zones: tuple[str, ...]
    step_ms: float
    memory: int  # tokens of KV memory of each engine
    slots: int
    long_per_s: float  # summaries or reports
    short_per_s: float  # classifications or readiness checks
    calls_per_s: float  # of the plain service
    short_tokens: tuple[int, int]


DEPLOYMENTS = {
    "jar": Deployment(
        "crock-llm", 6, "counter-app", ("khangai", "gobi", "selenge"),
        15.0, 4000, 32, 6.2, 8.0, 10.0, (4, 24),
    ),
    "gate": Deployment(
        "gatesense-lm", 9, "sluicebook", ("chikugo", "oita", "kuma"),
        18.0, 4000, 32, 8.0, 10.0, 10.0, (1, 3),
    ),
}  # fmt: skip

ACCOUNTS = tuple(f"account-{number}" for number in range(10))
ACCOUNT_WEIGHTS = (30, 20, 12, 8, 8, 6, 5, 4, 4, 3)  # a few large accounts


class Arrival(NamedTuple):
    """A request and the time at which it is sent."""

    at: float  # seconds after the start
    kind: str  # "long", "short" or "call"
    account: str
    daemon: int
    prompt: str
    max_tokens: int


def arrivals(dep, seconds, daemons, seed, scale=1.0):
    """Return Poisson arrivals of all kinds of requests, ordered by time."""
    rng = random.Random(seed)
    planned = []
    rates = (("long", dep.long_per_s), ("short", dep.short_per_s), ("call", dep.calls_per_s))
    for kind, rate in rates:
        at = rng.expovariate(rate * scale)
        while at < seconds:
            account = rng.choices(ACCOUNTS, ACCOUNT_WEIGHTS)[0]
            prompt, limit = _prompt(kind, account, dep, rng)
            planned.append(Arrival(at, kind, account, rng.randrange(daemons), prompt, limit))
            at += rng.expovariate(rate * scale)
    return sorted(planned)


def _prompt(kind, account, dep, rng):
    if kind == "call":
        return "", 0
    system = f"{account} {kind} ".ljust(SYSTEM_PROMPT_TOKENS * CHARS_PER_TOKEN, "s")
    if kind == "short":
        own_tokens, limit, output_tokens = rng.randint(20, 80), 32, rng.randint(*dep.short_tokens)
    else:
        # Each account has a typical length of its own; the distribution is heavy-tailed.
        typical_tokens = 150 + 40 * ACCOUNTS.index(account) % 280
        own_tokens, limit = rng.randint(20, 200), MAX_TOKENS
        output_tokens = max(20, min(900, int(rng.lognormvariate(0, 0.8) * typical_tokens)))
    text = f"{rng.random()} len={output_tokens} ".ljust(own_tokens * CHARS_PER_TOKEN, "p")
    return system + text, limit


def configuration(dep):
    """Return the configuration rows of a deployment."""
    rows = {f"zone/{zone}": {"name": zone, "region": zone} for zone in dep.zones}
    rows[f"service/{dep.engine}"] = {
        "name": dep.engine,
        "kind": "engine",
        "cold_slots": 4,
        "full_slots": dep.slots,
        "ramp_s": 1.0,
    }
    rows[f"service/{dep.plain}"] = {
        "name": dep.plain,
        "kind": "plain",
        "methods": ["history"],
        "idempotent_methods": ["history"],
        "full_slots": 64,
        "ramp_s": 1.0,
    }
    for account in ACCOUNTS:
        rows[f"contract/{account}"] = {
            "account": account,
            "key_hashes": [key_hash(f"{account}-key")],
            "services": [dep.engine, dep.plain],
            "requests_per_s": 1000.0,
            "concurrency": 1000,
            "tokens_per_s": 1e6,
            "max_wait_s": 10.0,
        }
    return rows


def start_fleet(fleet, dep, daemons, policy):
    """Start engines, plain services and daemons, and wait until all are ready."""
    zones = dep.zones
    options = ("--step-ms", dep.step_ms, "--memory", dep.memory, "--slots", dep.slots)
    options += ("--cold-slots", 4, "--ramp", 1.0, "--prefill-per-s", 10000, "--chunk", 2048)
    options += ("--load-lag", 0.2)
    for number in range(dep.engines):
        name = f"{dep.engine}-{number}"
        fleet.backend(name, dep.engine, zones[number % 3], "engine", *map(str, options))
    for number, zone in enumerate(zones):
        fleet.backend(f"{dep.plain}-{number}", dep.plain, zone, "plain")
    for number in range(daemons):
        lines = ("[routing]", f'policy = "{policy}"')
        fleet.daemon(f"entry-{number}", zones[number % 3], lines, max_open_requests=400)
    fleet.begin(configuration(dep))
