"""Owners and holders together keep every limit under faults of messages and daemons."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.controllers.ownership import GRANT_TTL_S
from lovageway.events import SendPeer
from tests.sharing import RESOURCE, FixedLimit, Fleet

FAULTS = ("pause", "cut", "crash", "restart", "join", "leave", "demand")
script = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(0, 9), st.floats(0.1, 12.0)),
    min_size=2,
    max_size=5,
)


def check(fleet):
    for part, limit in enumerate(fleet.limit.amounts):
        assert fleet.total_usable(part) <= limit + 1e-6, (fleet.now, part)
    # Requests still running on holders that lost contact are excepted, as on the design page.
    assert fleet.in_use() <= fleet.limit.amounts[0], fleet.now


def inject(fleet, fault, number, seconds):
    nodes = sorted(fleet.daemons)
    # Half of the faults hit the owner.
    node = fleet.owner() if number % 2 else nodes[number % len(nodes)]
    item = fleet.daemons.get(node) or fleet.daemons[nodes[0]]
    vm = item.node.partition("/")[0]
    match fault:
        case "pause":
            item.paused_until = fleet.now + seconds
        case "cut":
            item.cut_until = fleet.now + seconds
        case "crash" if len(nodes) > 3:
            fleet.crash(item.node)
        case "restart":
            fleet.crash(item.node)
            fleet.start(vm).demand = number
        case "join" if len(nodes) < 7:
            fleet.start(f"j{fleet.requests}").demand = number
        case "leave" if len(nodes) > 3:
            fleet.leaving.add(item.node)
        case "demand":
            for other, name in enumerate(nodes):
                fleet.daemons[name].demand = (number * (other + 1)) % 25


class Safety(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(seed=st.integers(0, 10**6), faults=script, mail=st.sampled_from((0.0, 0.1, 0.3)))
    def test_the_sum_of_what_holders_may_use_never_exceeds_the_limit(self, seed, faults, mail):
        # Guards against two daemons using the same part of a limit, because of grants that outlive
        # their owner, two owners, late or repeated messages, pauses or restarts.
        fleet = Fleet(seed, 5, loss=mail, repeat=mail, delay_s=5 * mail)
        for number, item in enumerate(fleet.daemons.values()):
            item.demand = 3 + 6 * number
        fleet.run(4.0, check)
        for fault, number, seconds in faults:
            inject(fleet, fault, number, seconds)
            fleet.run(min(seconds, 8.0), check)
        fleet.run(8.0, check)

    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(seed=st.integers(0, 10**6), lower=st.integers(1, 15))
    def test_a_lowered_limit_holds_once_the_old_grants_have_expired(self, seed, lower):
        # Guards against holders that renew amounts in use above the new limit indefinitely.
        fleet = Fleet(seed, loss=0.1, delay_s=0.2)
        for item in fleet.daemons.values():
            item.demand = 10
        fleet.run(6.0, check)
        fleet.limit.amounts = (float(lower), 5.0)
        fleet.run(2 * GRANT_TTL_S)  # requests that run at that moment last up to 2 s
        fleet.run(3.0, check)


class Progress(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(seed=st.integers(0, 10**6), count=st.sampled_from((1, 2, 4, 8)))
    def test_demand_at_one_daemon_gets_nine_tenths_of_the_limit_in_two_seconds(self, seed, count):
        # Guards against parts of a limit staying granted to holders that do not need them.
        fleet = Fleet(seed, count, delay_s=0.05)
        fleet.run(3.0)
        daemons = list(fleet.daemons.values())
        for item in daemons:
            item.demand = 20
        fleet.run(3.0, check)
        for item in daemons[1:]:
            item.demand = 0
        fleet.run(2.0 + 2.0, check)  # the others' requests run for up to 2 s
        self.assertGreaterEqual(fleet.usable(daemons[0])[0], 18)

    def test_a_join_and_a_planned_stop_of_the_owner_do_not_stop_grants(self):
        # Guards against an outage of several seconds at each of 1,700 restarts a day.
        for seed in range(20):
            served = []
            fleet = Fleet(seed, 4, delay_s=0.02)
            for item in fleet.daemons.values():
                item.demand = 8
            fleet.run(4.0, check)
            fleet.start("late").demand = 8
            for _ in range(60):
                fleet.step()
                served.append(fleet.total_usable(0))
            fleet.leaving.add(fleet.owner())
            for _ in range(60):
                fleet.step()
                served.append(fleet.total_usable(0))
            self.assertGreaterEqual(min(served), 15, seed)

    def test_after_a_crash_of_the_owner_grants_return(self):
        # Guards against a resource without owner; grants have to return within 10 s.
        for seed in range(20):
            fleet = Fleet(seed, 4)
            for item in fleet.daemons.values():
                item.demand = 8
            fleet.run(4.0, check)
            fleet.crash(fleet.owner())
            fleet.run(10.0, check)
            self.assertGreaterEqual(fleet.total_usable(0), 18, seed)

    def test_an_owner_without_majority_stops_granting(self):
        # Guards against an owner on the minority side that grants while the others choose another.
        fleet = Fleet(7, 4)
        for item in fleet.daemons.values():
            item.demand = 8
        fleet.run(4.0, check)
        owner = fleet.daemons[fleet.owner()]
        owner.cut_until = fleet.now + 20
        fleet.run(10.0, check)
        self.assertIsNone(fleet.usable(owner))
        self.assertGreaterEqual(fleet.total_usable(0), 18)


class Budget(unittest.TestCase):
    def test_lines_of_accounts_go_before_those_of_servers(self):
        # Guards against refusals of an account (4205) because a batch of lines of servers has
        # spent the line budget of the next second.
        fleet = Fleet(5, 2)
        item, other = fleet.daemons.values()
        accounts = FixedLimit()
        accounts.has_priority = True
        item.shares.register("server", FixedLimit())
        item.shares.register("account", accounts)
        fleet.run(8.0)
        now, effects = item.clock(fleet.now), []
        for prefix in ("server", "account"):
            names = [f"{prefix}:{number}" for number in range(40)]
            names = [name for name in names if item.shares.ownership.owner(name) == other.node]
            item.shares.try_take(names[0], "request", (1.0, 0.0), now)
        item.shares._line_budget, item.shares._budget_updated_at = -10.0, now
        item.shares.flush(now, effects.append)
        sent = [effect.message for effect in effects if isinstance(effect, SendPeer)]
        kinds = [line.resource.partition(":")[0] for message in sent for line in message.lines]
        self.assertEqual(kinds, ["account"])

    def test_lines_to_itself_are_not_held_back(self):
        # Guards against a locally owned account that waits for the line budget, although its lines
        # are not sent over the network.
        fleet = Fleet(5, 1)
        item = next(iter(fleet.daemons.values()))
        fleet.run(8.0)
        now = item.clock(fleet.now)
        item.shares._line_budget = -1000.0
        item.shares._budget_updated_at = now
        item.shares.try_take(RESOURCE, "request", (1.0, 0.0), now)
        item.shares.flush(now, lambda effect: None)
        self.assertIsNone(item.shares.try_take(RESOURCE, "request", (1.0, 0.0), now))


class Cost(unittest.TestCase):
    def test_a_resource_that_is_not_used_costs_nothing(self):
        # Guards against traffic and memory that grow with the number of accounts ever used.
        fleet = Fleet(3, 4)
        for item in fleet.daemons.values():
            item.demand = 2
        fleet.run(4.0)
        for item in fleet.daemons.values():
            item.demand = 0
        fleet.run(22.0)
        before = fleet.sent
        fleet.run(3.0)
        self.assertEqual(fleet.sent, before)
        for item in fleet.daemons.values():
            dump = item.shares.dump(item.clock(fleet.now))
            self.assertNotIn(RESOURCE, dump["owned"])
            self.assertNotIn(RESOURCE, dump["held"])
