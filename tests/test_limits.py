"""Requests wait for a first share and are refused with the right code above the limit."""

import unittest

from lovageway.chain import Chain, Context
from lovageway.codes import Code
from lovageway.controllers.shares import Shares
from lovageway.events import Refuse, Request
from lovageway.filters.limits import AccountLimits, Limits
from lovageway.messages import Member
from lovageway.model import Contract, Identity, Snapshot, Vm

NODE = "entry/1"


class FakeState:
    """Membership and configuration of one daemon; without contact it owns no resource."""

    def __init__(self, **limits):
        self.node = NODE
        self.identity = Identity("entry", "1", "gobi", "a", "p")
        self.vms = (Vm("entry", "entry", "", "gobi", "a", "p"),)
        self.contact = True
        row = {"requests_per_s": 100.0, "concurrency": 100, "tokens_per_s": 1000.0, **limits}
        self.contract = Contract("clerks", (), (), **row)
        self.snapshot = Snapshot(1, {"clerks": self.contract}, {}, {}, {})

    def live(self):
        return [Member(NODE, "a", "p", "gobi", 0, "live")]

    def has_majority(self):
        return self.contact


class Daemon:
    def __init__(self, contact=True, settle_s=6.0, **limits):
        self.state = FakeState(**limits)
        self.state.contact = contact
        self.shares = Shares(self.state)
        self.shares.register("account", AccountLimits(self.state))
        self.chain = Chain([Limits(self.shares)])
        self.now, self.refusals, self.count = 100.0, {}, 0
        self.run(settle_s)  # after 6 s the owner's initial wait is over and the burst is full

    def emit(self, effect):
        if isinstance(effect, Refuse):
            self.refusals[effect.request_id] = effect.refusal

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.step()

    def step(self):
        self.shares.tick(self.now, self.emit)
        self.shares.flush(self.now, self.emit)
        self.chain.retry_waiting(self.now, self.emit)

    def arrive(self, count=1):
        """Let requests arrive together; return the names of those that passed or wait."""
        names = [f"request-{self.count + n}" for n in range(count)]
        self.count += count
        for name in names:
            req = Request(name, "", "crock-llm", "completions", "", 1, 1)
            ctx = Context(req, self.now, self.state.contract)
            self.chain.enter(ctx, self.now, self.emit)
            if self.shares.flush(self.now, self.emit):
                self.chain.retry_waiting(self.now, self.emit)
        return [name for name in names if self.chain.get(name)]


class LimitsFilter(unittest.TestCase):
    def test_concurrency_is_refused_at_once_and_released(self):
        # Guards against requests above the limit, and against slots that are never released.
        daemon = Daemon(concurrency=5)
        daemon.arrive(8)
        daemon.run(0.5)
        self.assertEqual(len(daemon.chain), 5)
        self.assertEqual({item.code for item in daemon.refusals.values()}, {Code.CONCURRENCY})
        refused = f"request-{daemon.count}"
        daemon.arrive()
        self.assertIn(refused, daemon.refusals, "refused at once")
        for name in [name for name in map("request-{}".format, range(8)) if daemon.chain.get(name)]:
            daemon.chain.finish(name, daemon.now, daemon.emit)
        self.assertEqual(len(daemon.arrive(5)), 5)

    def test_a_rate_is_refused_with_the_time_until_the_next_request(self):
        # Guards against a retry time after which the request is refused again.
        daemon = Daemon(requests_per_s=4.0)
        passed = len(daemon.arrive(20))
        daemon.run(0.1)
        self.assertLessEqual(len(daemon.chain), 8)
        self.assertGreaterEqual(passed, 4)
        refusal = list(daemon.refusals.values())[-1]
        self.assertEqual(refusal.code, Code.REQUEST_RATE)
        daemon.run(refusal.retry_after_s + 0.05)
        self.assertEqual(len(daemon.arrive()), 1)

    def test_callers_that_come_together_under_the_rate_are_served_while_the_burst_fills(self):
        # Guards against a new owner, whose burst is still empty, that refuses requests within the
        # contract's limits.
        limits = {"requests_per_s": 1000.0, "concurrency": 2000, "tokens_per_s": 1e6}
        daemon = Daemon(settle_s=0.0, **limits)
        for _ in range(50):
            daemon.now += 0.001
            daemon.arrive()
        daemon.step()
        daemon.run(1.5)
        self.assertEqual(daemon.refusals, {})
        self.assertEqual((len(daemon.chain), daemon.chain.waiting()), (50, 0))

    def test_output_tokens_in_debt_stop_the_next_request(self):
        # Guards against accounts whose long outputs are never charged.
        daemon = Daemon(tokens_per_s=100.0)
        (name,) = daemon.arrive()
        daemon.run(0.1)
        daemon.chain.delivered(name, 400, 400, daemon.now, daemon.emit)
        daemon.run(0.1)
        daemon.arrive()
        daemon.run(0.6)
        (refusal,) = daemon.refusals.values()
        self.assertEqual(refusal.code, Code.TOKEN_RATE)
        daemon.run(4.0)
        self.assertEqual(len(daemon.arrive()), 1)

    def test_without_owner_a_request_waits_one_second_and_is_refused(self):
        # Guards against a daemon that assumes a share of its own, and against callers that hang.
        daemon = Daemon(contact=False)
        self.assertEqual(len(daemon.arrive()), 1)
        daemon.run(0.9)
        self.assertEqual(daemon.refusals, {})
        daemon.run(0.2)
        (refusal,) = daemon.refusals.values()
        self.assertEqual((refusal.code, refusal.effect), (Code.SHARE_UNAVAILABLE, "no"))
