"""Simulated fleet of `Shares` controllers on one clock, with a message queue that has faults."""

import random

from lovageway.controllers.ledger import Limit
from lovageway.controllers.shares import Shares, Source
from lovageway.events import SendPeer
from lovageway.messages import Member, decode, encode
from lovageway.model import Identity, Vm

STEP_S = 0.05
RESOURCE = "account:clerks"


class FixedLimit(Source):
    kinds = ("held", "rate")

    def __init__(self):
        self.amounts = (20.0, 50.0)

    def limit(self, name, now):
        return Limit(self.amounts)


class View:
    """Membership as seen by one daemon; has the interface of `Membership`."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.identity = Identity(*node.split("/"), "zone", node, node)
        self.lost = {}  # node -> when contact ended
        self.believed = {node}
        self.limits = {}

    @property
    def vms(self):
        names = sorted({node.partition("/")[0] for node in self.fleet.listed})
        return tuple(Vm(name, "entry", "", "zone", name) for name in names)

    def update(self, now):
        if now < self.fleet.daemons[self.node].paused_until:
            self.lost.clear()  # a paused daemon detects nothing
            return
        for other in sorted(self.believed | self.fleet.daemons.keys()):
            if other == self.node:
                continue
            if self.fleet.contact(self.node, other):
                self.lost.pop(other, None)
                if other not in self.believed and self.fleet.rng.random() < 0.1:
                    self.believed.add(other)
            elif other in self.believed:
                since, spread = self.lost.setdefault(other, (now, self.fleet.detection()))
                if now - since > spread:
                    self.believed.discard(other)

    def live(self):
        return [
            Member(
                node,
                node,
                node,
                "zone",
                0,
                "leaving" if node in self.fleet.leaving else "live",
            )
            for node in sorted(self.believed)
        ]

    def has_majority(self):
        listed = {vm.vm_id for vm in self.vms}
        return 2 * len(listed & {node.partition("/")[0] for node in self.believed}) > len(listed)


class Daemon:
    def __init__(self, fleet, node, speed, offset):
        self.view = View(fleet, node)
        self.node = node
        self.shares = Shares(self.view)
        self.shares.register("account", fleet.limit)
        self.speed, self.offset = speed, offset
        self.running = {}  # request -> (end, whether it runs without a valid share)
        self.paused_until = 0.0
        self.cut_until = 0.0
        self.demand = 0
        self.taken = []  # times of requests that were let through

    def clock(self, now):
        return now * self.speed + self.offset


class Fleet:
    """Daemons d0, d1, ... that share `RESOURCE`."""

    def __init__(self, seed, count=4, loss=0.0, delay_s=0.0, repeat=0.0, spread_s=1.5):
        self.rng = random.Random(seed)
        self.loss, self.delay_s, self.repeat, self.spread_s = loss, delay_s, repeat, spread_s
        self.limit = FixedLimit()
        self.now = 1000.0
        self.daemons = {}
        self.listed, self.leaving = set(), set()
        self.messages = []  # (deliver at, source, destination, message)
        self.requests = 0
        self.sent = 0
        for number in range(count):
            self.start(f"d{number}")

    def start(self, vm):
        node = f"{vm}/{self.rng.randrange(10**6)}"
        speed = self.rng.choice((1.0, 1.004, 0.996))
        self.daemons[node] = Daemon(self, node, speed, self.rng.uniform(0, 500))
        self.listed = {name for name in self.listed if name.partition("/")[0] != vm} | {node}
        return self.daemons[node]

    def contact(self, one, two):
        ends = [self.daemons.get(one), self.daemons.get(two)]
        if not all(item and self.now >= item.paused_until for item in ends):
            return False
        # Daemons that are cut off at the same time can reach each other.
        return len({self.now < item.cut_until for item in ends}) == 1

    def detection(self):
        return self.rng.uniform(2.0, 2.0 + self.spread_s)

    def crash(self, node):
        del self.daemons[node]

    def owner(self):
        """Return the daemon that most daemons regard as the owner."""
        owners = [item.shares.ownership.owner(RESOURCE) for item in self.daemons.values()]
        return max(sorted(set(owners)), key=owners.count)

    def run(self, seconds, check=None):
        for _ in range(round(seconds / STEP_S)):
            self.step()
            if check:
                check(self)

    def step(self):
        self.now += STEP_S
        for item in self.daemons.values():
            item.view.update(self.now)
            if self.usable(item) is None:
                item.running = {key: (end, True) for key, (end, _) in item.running.items()}
        self.deliver()
        for item in list(self.daemons.values()):
            if self.now >= item.paused_until:
                self.run_daemon(item)

    def deliver(self):
        due = [message for message in self.messages if message[0] <= self.now]
        self.messages = [message for message in self.messages if message[0] > self.now]
        self.rng.shuffle(due)
        for message in due:
            _, source, destination, msg = message
            item = self.daemons.get(destination)
            if item is None:
                continue
            if self.now < item.paused_until:
                self.messages.append(message)
                continue
            self.invoke(item, item.shares.on_message, source, source, msg)

    def invoke(self, item, method, *args):
        effects = []
        clock = item.clock(self.now)
        method(*args, clock, effects.append)
        item.shares.flush(clock, effects.append)
        for effect in effects:
            if isinstance(effect, SendPeer):
                self.send(item.node, effect.address, effect.message)

    def send(self, source, destination, msg):
        self.sent += 1
        if self.rng.random() < self.loss or not self.contact(source, destination):
            return
        for _ in range(1 + (self.rng.random() < self.repeat)):
            self.messages.append(
                (
                    self.now + self.rng.uniform(0, self.delay_s),
                    source,
                    destination,
                    decode(encode(msg)),
                )
            )

    def run_daemon(self, item):
        clock = item.clock(self.now)
        if any(self.contact(item.node, other) for other in self.daemons if other != item.node):
            item.shares.ownership.record_contact(clock)  # pings
        for key, (end, _) in list(item.running.items()):
            if end <= self.now:
                del item.running[key]
                item.shares.release(RESOURCE, (1.0, 0.0))
        while len(item.running) < item.demand:
            self.requests += 1
            key = f"{item.node}-{self.requests}"
            if item.shares.try_take(RESOURCE, key, (1.0, 0.0), clock) is not None:
                break
            item.running[key] = (self.now + self.rng.uniform(0.1, 2.0), False)
        self.invoke(item, item.shares.tick)

    def usable(self, item):
        """Return what a daemon may use now, or None when it has no valid grant."""
        held = item.shares.find_holding(RESOURCE)
        if held is None or item.clock(self.now) >= held.expires:
            return None
        return held.amounts

    def total_usable(self, part):
        found = [
            self.usable(item) for item in self.daemons.values() if self.now >= item.paused_until
        ]
        return sum(amounts[part] for amounts in found if amounts)

    def in_use(self, orphans=False):
        return sum(
            orphans or not orphan
            for item in self.daemons.values()
            for _, orphan in item.running.values()
        )
