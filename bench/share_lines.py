"""Counts the lines and bytes of share messages at the target fleet size, without sockets.

    python -m bench.share_lines [DAEMONS [SECONDS]]

Each daemon is a real `Shares` object; all of them share one simulated clock. Callers start at the
daemons to which the real `Discovery` directs them. The network is not modelled: a message arrives
at the next step of 0.1 s. Sizes are those of the frames. Subsets of servers follow `Backends`,
whose load reports are replaced by fixed limits. The numbers of accounts and servers are
proportional to that of the daemons.

Assumptions: the use of accounts is log-normal (sigma 1.5) and half of the contract; a request runs
for 11 s on average; each daemon runs 720 of them, spread evenly over all open servers.
"""

import random
import sys
import time
from collections import Counter

from lovageway.adapters.peers import LENGTH_BYTES, MAC_BYTES
from lovageway.controllers.backends import (
    MAX_SUBSET,
    MIN_OPEN_SERVERS,
    REQUESTS_PER_OPEN_SERVER,
)
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.discovery import Discovery, homes_needed
from lovageway.controllers.ledger import Limit
from lovageway.controllers.membership import Membership, rendezvous_weight
from lovageway.controllers.ownership import NEW_OWNER_WAIT_S
from lovageway.controllers.shares import MAX_BATCH_INTERVAL_S, Shares, Source
from lovageway.events import SendPeer
from lovageway.messages import Member, Members, ShareGrant, ShareRequest, encode
from lovageway.model import Contract, Identity, Snapshot, Vm, Zone

SEED = 5
STEP_S = 0.1
SETTLE_S = 8.0  # the contracts' rates let all requests begin within about 6 s
STREAMS_PER_DAEMON, MEAN_REQUEST_S = 720, 11.0
MODELS, ZONES = 5, 10
TARGET_DAEMONS = 390


class FleetMembership:
    """Membership in which all daemons are live and in contact with each other."""

    def __init__(self, node, live, vms):
        self.node, self.vms, self._live = node, vms, live

    def live(self):
        """Return all daemons."""
        return self._live

    def has_majority(self):
        """Return True: each daemon is in contact with a majority."""
        return True


class Accounts(Source):
    """Source of account limits, which follow from the contracts."""

    kinds = ("held", "rate", "rate")

    def __init__(self):
        self.contracts = {}

    def limit(self, name, now):
        """Return the limit as of now."""
        found = self.contracts[name]
        return Limit((float(found.concurrency), found.requests_per_s, found.tokens_per_s))


class Servers(Source):
    """Source of server limits, which are the same for every server."""

    kinds = ("held", "held")
    sends_limits = True

    def limit(self, name, now):
        """Return the limit as of now."""
        return Limit((96.0, 400000.0), "5f3a9c01", (54.0, 200000.0))

    def age(self, name, start_id, now):
        """Return a fixed age in seconds, the same for every start identity."""
        return 5000


class Daemon:
    """The shares of one daemon and the requests that it runs."""

    def __init__(self, world, member):
        self.world, self.member, self.rng = world, member, random.Random(member.node)
        self.shares = Shares(FleetMembership(member.node, world.members, world.vms))
        self.shares.register("account", world.accounts)
        self.shares.register("server", world.servers)
        self.caller_weights = []  # (account, weight)
        self.servers = [f"server:{name}" for name in self.open_servers()]
        self.running = []
        self.starts_at = 0.0

    def open_servers(self):
        """Yield the servers of which this daemon holds shares."""
        vm_id = self.member.node.partition("/")[0]
        count = max(MIN_OPEN_SERVERS, STREAMS_PER_DAEMON // MODELS // REQUESTS_PER_OPEN_SERVER)
        for model in range(MODELS):
            names = self.world.backends[model]
            ordered = sorted(
                names,
                key=lambda item: (item[1] != self.member.zone, rendezvous_weight(vm_id, item[0])),
            )
            yield from (name for name, _ in ordered[: min(count, MAX_SUBSET)])

    def run_requests(self, now):
        """Release the shares of requests that end and begin new ones."""
        for _, account, server in [item for item in self.running if item[0] <= now]:
            self.shares.release(account, (1.0, 0.0, 0.0))
            self.shares.release(server, (1.0, 3000.0))
        self.running = [item for item in self.running if item[0] > now]
        names, weights = zip(*self.caller_weights, strict=True)
        missing = min(
            STREAMS_PER_DAEMON - len(self.running),
            round(3 * STREAMS_PER_DAEMON / MEAN_REQUEST_S * STEP_S),
        )
        for account in self.rng.choices(names, weights, k=max(0, missing)):
            self.begin_request(account, now)
        for server in self.servers:
            self.shares.get_or_create_holding(server, now).used_at = now

    def choose_server(self, now):
        """Return a server with a free slot among a few random ones, else any of these."""
        found = self.rng.sample(self.servers, 6)
        free = [
            name for name in found if self.shares.get_or_create_holding(name, now).free(0, now) >= 1
        ]
        return (free or found)[0]

    def begin_request(self, account, now):
        """Begin a request, unless the share of its account or server is used up."""
        self.world.requests += 1
        key, server = str(self.world.requests), self.choose_server(now)
        if self.shares.try_take(account, key, (1.0, 1.0, 0.0), now) is not None:
            return
        if self.shares.try_take(server, key, (1.0, 3000.0), now) is not None:
            self.shares.release(account, (1.0, 0.0, 0.0))
            return
        self.shares.take(account, (0.0, 0.0, 200.0), now)
        self.running.append((now + self.rng.uniform(0, 2 * MEAN_REQUEST_S), account, server))


class World:
    """All daemons of the fleet and the messages in transit between them."""

    def __init__(self, count):
        rng = random.Random(SEED)
        self.requests, self.in_transit, self.sent = 0, [], Counter()
        self.members = [
            Member(
                f"e-{n}/{n:08x}",
                f"10.0.{n // 250}.{n % 250}:80",
                f"p{n}",
                f"z{n % ZONES}",
                0,
                "live",
            )
            for n in range(count)
        ]
        self.vms = tuple(
            Vm(m.node.partition("/")[0], "entry", "", m.zone, m.address) for m in self.members
        )
        self.backends = [
            [
                (f"model-{model}-{n}", f"z{n % ZONES}")
                for n in range(5200 * count // TARGET_DAEMONS // MODELS)
            ]
            for model in range(MODELS)
        ]
        self.accounts, self.servers = Accounts(), Servers()
        self.daemons = {m.peer_address: Daemon(self, m) for m in self.members}
        self.place_callers(rng, count)

    def place_callers(self, rng, count):
        """Assign the callers of each account to the daemons that discovery returns first."""
        discovery = self.discovery()
        by_address = {item.member.address: item for item in self.daemons.values()}
        weights = [rng.lognormvariate(0, 1.5) for _ in range(7700 * count // TARGET_DAEMONS)]
        for number, weight in enumerate(weights):
            streams = weight / sum(weights) * STREAMS_PER_DAEMON * count
            name = f"customer-{number}"
            row = (2 * streams / MEAN_REQUEST_S, max(1, round(2 * streams)), 2 * streams * 20)
            contract = self.accounts.contracts[name] = Contract(name, (), (), *row)
            callers = 4 * homes_needed(contract)
            for caller in range(callers):
                first = discovery.addresses(contract, f"c{caller}")[0]
                by_address[first].caller_weights.append((f"account:{name}", streams / callers))

    def discovery(self):
        """Return the real `Discovery` of one daemon that has all members in its list."""
        own, *others = self.members
        ident = Identity(*own.node.split("/"), own.zone, own.address, own.peer_address)
        membership = Membership(ident, random.Random(SEED), lambda now: (1, 0.0))
        for start in range(0, len(others), 50):
            rows = [m._replace(peer_address=f"10.1.0.1:{n + 1000}") for n, m in enumerate(others)]
            page = Members(tuple(rows[start : start + 50]))
            membership.on_message("x/y", "10.1.0.1:1", page, 0.0, lambda effect: None)
        assert len(membership.live()) == len(self.members)
        configuration = Configuration()
        zones = {f"z{n}": Zone(f"z{n}", f"r{n % 3}") for n in range(ZONES)}
        configuration.snapshot = Snapshot(1, {}, {}, zones, {})
        return Discovery(membership, configuration)

    def step(self, now):
        """Deliver the messages of the last step and run one step of every daemon."""
        in_transit, self.in_transit = self.in_transit, []
        for source, address, msg in in_transit:
            item = self.daemons[address]
            self.call(
                item,
                item.shares.on_message,
                now,
                source.member.node,
                source.member.peer_address,
                msg,
            )
        for item in self.daemons.values():
            item.shares.ownership.record_contact(now)
            item.shares.ownership.refresh(now)
            if now < item.starts_at:  # real daemons do not send their batches in step
                continue
            item.run_requests(now)
            self.call(item, item.shares.tick, now)

    def call(self, item, method, now, *args):
        """Call a method of a daemon's shares and queue the messages that it sends."""
        effects = []
        method(*args, now, effects.append)
        item.shares.flush(now, effects.append)
        for effect in effects:
            if isinstance(effect, SendPeer):
                self.in_transit.append((item, effect.address, effect.message))
                self.count_message(effect.message)

    def count_message(self, msg):
        """Count a sent message, its bytes and its lines."""
        self.sent["frames"] += 1
        self.sent["bytes"] += len(encode(msg)) + LENGTH_BYTES + MAC_BYTES
        if isinstance(msg, ShareRequest):
            for line in msg.lines:
                self.sent[f"{line.resource.partition(':')[0]} lines"] += 1
        elif isinstance(msg, ShareGrant):
            self.sent["grants"] += len(msg.lines)


def main():
    count = int(sys.argv[1]) if len(sys.argv) > 1 else TARGET_DAEMONS
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 4.5
    began, world, now = time.monotonic(), World(count), 100.0
    while now < 100.0 + NEW_OWNER_WAIT_S + 1.0:
        for item in world.daemons.values():
            item.shares.ownership.record_contact(now)
            item.shares.ownership.refresh(now)
        now += 1.0
    for item in world.daemons.values():
        item.starts_at = now + item.rng.uniform(0, MAX_BATCH_INTERVAL_S)
    settled_at = now + SETTLE_S
    while now < settled_at:
        world.step(now)
        now += STEP_S
    world.sent.clear()
    end = now + seconds
    while now < end:
        world.step(now)
        now += STEP_S
    pairs = Counter()
    for item in world.daemons.values():
        for name in item.shares._holdings:
            owner_kind = "own" if item.shares.ownership.owns(name) else "remote"
            pairs[f"{owner_kind} {name.partition(':')[0]}"] += 1
    print(f"{count} daemons, seed {SEED}; {time.monotonic() - began:.0f} s of computing")
    print(
        "resources in use by a daemon:", {k: round(v / count, 1) for k, v in sorted(pairs.items())}
    )
    print("running:", round(sum(len(item.running) for item in world.daemons.values()) / count))
    rates = {name: round(value / seconds / count, 1) for name, value in sorted(world.sent.items())}
    lines = sum(v for k, v in world.sent.items() if "lines" in k or k == "grants")
    print(
        "a second and daemon, sent:", rates, f"{world.sent['bytes'] / max(1, lines):.0f} B a line"
    )


if __name__ == "__main__":
    main()
