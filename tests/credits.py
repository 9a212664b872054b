"""Servers with credit for tests of admission and routing, without daemons or a clock."""

from lovageway.chain import Chain, Context
from lovageway.controllers.backends import ServerView
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.lengths import Lengths
from lovageway.events import Request
from lovageway.filters.admission import Admission
from lovageway.filters.routing import Routing
from lovageway.model import Contract, Service, Snapshot, Vm, Zone
from lovageway.policies import LeastMemory

ENGINE = Service("crock-llm", "engine")
CONTRACT = Contract("clerks", (), ("crock-llm",), 100.0, 100, 1e6, max_wait_s=10.0)


class Credits:
    """Replacement of `Backends` with fixed grants; asserts that nothing is taken beyond them.

    `beyond` is the memory by which one call of `take` may exceed the grant.
    """

    def __init__(
        self, servers=3, slots=100, memory=10000, zones=("khangai",), fresh=True, beyond=0
    ):
        self.beyond = beyond
        self.slots, self.memory, self.fresh = slots, memory, fresh
        self.names = [f"crock-{number}" for number in range(servers)]
        self.zones = {name: zones[n % len(zones)] for n, name in enumerate(self.names)}
        self.start_ids = dict.fromkeys(self.names, "a")
        self.held = {name: [0, 0] for name in self.names}
        self.committed = dict.fromkeys(self.names, 0)
        self.wanted = []

    def credits(self, service, now):
        return [self.view(name) for name in self.names]

    def view(self, name):
        slots, memory = self.held[name]
        vm = Vm(name, "backend", "crock-llm", self.zones[name], "127.0.0.1:1")
        shown = self.committed[name] + (memory if self.fresh else 0)
        return ServerView(
            vm,
            self.start_ids[name],
            self.slots - slots,
            self.memory - memory,
            shown,
            self.memory,
            slots,
            self.slots,
        )

    def has_other(self, service, tried):
        return any(name not in tried for name in self.names)

    def request_credit(self, service, request_id, memory, now):
        self.wanted.append(request_id)

    def take(self, name, slots, memory):
        view = self.view(name)
        assert view.slots_free >= slots, "more slots taken than granted"
        # Interactive requests that use the headroom take no further credit.
        free = max(view.memory_free, 0) if self.beyond else view.memory_free
        assert not memory or free + self.beyond >= memory, "more memory taken than granted"
        self.charge_memory(name, memory)
        self.held[name][0] += slots

    def charge_memory(self, name, memory):
        self.held[name][1] += memory

    def release(self, name, slots, memory):
        self.held[name][0] -= slots
        self.held[name][1] -= memory
        assert min(self.held[name]) >= 0, "more given back than taken"


def snapshot():
    zones = {name: Zone(name, name) for name in ("khangai", "gobi", "selenge")}
    return Snapshot(1, {}, {"crock-llm": ENGINE}, zones, {})


class Bench:
    """Chain of admission and routing over `Credits` that collects the effects."""

    def __init__(self, rng, policy=None, **servers):
        self.credits = Credits(**servers)
        self.configuration = Configuration()
        self.configuration.snapshot = snapshot()
        self.lengths = Lengths()
        policy = policy or LeastMemory()
        self.routing = Routing(
            self.credits, self.configuration, self.lengths, "khangai", policy, rng
        )
        self.admission = Admission(self.credits, self.lengths, self.routing, policy.uses_memory)
        self.chain = Chain([self.admission, self.routing])
        self.effects = []
        self.count = 0

    def emit(self, effect):
        self.effects.append(effect)

    def arrive(self, now, request_class="batch", prefix="", max_tokens=600, **contract):
        """Start a request and return its id."""
        self.count += 1
        name = f"r{self.count}"
        req = Request(name, "", "crock-llm", "completions", "", 100, max_tokens, prefix)
        row = CONTRACT._replace(**contract)
        ctx = Context(req, now, row, ENGINE, request_class)
        self.chain.enter(ctx, now, self.emit)
        return name

    def server(self, name):
        """Return the server of a request, "" while it waits, or None when it has ended."""
        ctx = self.chain.get(name)
        return ctx and ctx.server_id

    def refusals(self):
        """Return the refusals so far by request id."""
        return {e.request_id: e.refusal for e in self.effects if hasattr(e, "refusal")}

    def deliver(self, name, total, now):
        ctx = self.chain.get(name)
        self.chain.delivered(name, total - ctx.delivered, total, now, self.emit)

    def end(self, name, now):
        """Finish a request whose answer is complete."""
        self.chain.replace(self.chain.get(name)._replace(finished=True))
        self.chain.finish(name, now, self.emit)
