"""Choice of a server: credit, headroom, growth, spreading, affinity and baseline policies."""

import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.filters import routing
from lovageway.policies import LeastRequests, RoundRobin, TwoChoices
from tests.credits import Bench

STEPS = st.lists(
    st.tuples(st.sampled_from(["batch", "interactive", "deliver", "end", "leave"]), st.integers()),
    max_size=80,
)


def random_run(bench, steps):
    """Apply random arrivals, deliveries and ends; `Credits` checks each charge."""
    open_ids, now = [], 0.0
    for action, number in steps:
        now += 0.1
        open_ids = [name for name in open_ids if bench.chain.get(name)]
        if action in ("batch", "interactive"):
            name = bench.arrive(now, action, max_tokens=number % 3000 + 1)
            open_ids.append(name)
            if bench.server(name):
                usage = bench.routing._usage[bench.server(name)]
                assert usage.batch + usage.interactive <= bench.credits.memory, "charged too much"
        elif open_ids:
            name = open_ids[number % len(open_ids)]
            if action == "leave":
                bench.chain.finish(name, now, bench.emit)
            elif bench.server(name) and action == "end":
                bench.end(name, now)
            elif bench.server(name):
                bench.deliver(name, bench.chain.get(name).delivered + number % 400 + 1, now)
        bench.chain.retry_waiting(now, bench.emit)
    return [name for name in open_ids if bench.chain.get(name)], now


class Credit(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(STEPS, st.integers(0, 1000))
    def test_charges_exceed_grants_only_by_growth_and_are_released(self, steps, seed):
        # Guards against starting a request without credit and against leaked credit.
        bench = Bench(random.Random(seed), servers=2, slots=20, memory=700)
        open_ids, now = random_run(bench, steps)
        for name in open_ids:
            bench.chain.finish(name, now, bench.emit)
        self.assertEqual(set(map(tuple, bench.credits.held.values())), {(0, 0)})

    def test_batch_leaves_headroom_to_interactive(self):
        # Guards against batch requests that take the last slot or memory from interactive ones.
        sizes = [{"memory": memory} for memory in range(5000, 7000, 100)]
        for limits in ({"slots": 8, "memory": 100000}, *sizes):
            bench = Bench(random.Random(1), servers=1, **limits)
            batch = [bench.arrive(0.0) for _ in range(60)]
            self.assertIn("", map(bench.server, batch))
            self.assertTrue(bench.server(bench.arrive(0.1, "interactive", max_tokens=32)))

    def test_grown_batch_charges_leave_the_headroom_usable(self):
        # Guards against interactive requests that wait although the headroom is free, as they did
        # when batch charges plus the headroom had grown beyond the grant.
        bench = Bench(random.Random(1), servers=1, memory=2000)
        name = bench.arrive(0.0, max_tokens=5000)
        bench.deliver(name, 1500, 1.0)
        usage = bench.routing._usage["crock-0"]
        self.assertTrue(usage.batch < 1850 < 2000 < usage.required_credit(), usage)
        self.assertTrue(bench.server(bench.arrive(2.0, "interactive", max_tokens=32)))

    def test_one_small_interactive_request_starts_beyond_the_credit(self):
        # Guards against small interactive requests that wait for a grant of a full server, and
        # against more or larger ones than fit into its ungranted memory.
        bench = Bench(random.Random(1), servers=2, memory=2000, beyond=200)
        for _ in range(500):
            bench.lengths.observe("clerks", "crock-llm", "interactive", 2000, False)
        for _ in range(2):
            bench.deliver(bench.arrive(0.0, max_tokens=5000), 2500, 1.0)
        large = bench.arrive(2.0, "interactive", max_tokens=5000)
        self.assertEqual(bench.server(large), "")
        bench.chain.finish(large, 2.0, bench.emit)
        checks = [bench.arrive(2.0, "interactive", max_tokens=32) for _ in range(3)]
        self.assertEqual({bench.server(name) for name in checks[:2]}, {"crock-0", "crock-1"})
        self.assertEqual(bench.server(checks[2]), "")
        self.assertEqual(bench.server(bench.arrive(2.1)), "")
        bench.end(checks[0], 3.0)
        bench.chain.retry_waiting(3.0, bench.emit)
        self.assertTrue(bench.server(checks[2]))

    def test_credit_comes_before_a_start_beyond_it(self):
        # Guards against small requests on a full server while another one has credit.
        bench = Bench(random.Random(1), servers=2, memory=2000)
        first = bench.arrive(0.0, max_tokens=5000)
        bench.deliver(first, 2500, 1.0)
        checks = [bench.arrive(2.0, "interactive", max_tokens=32) for _ in range(4)]
        self.assertNotIn(bench.server(first), map(bench.server, checks))

    def test_a_server_with_one_slot_serves_batch(self):
        # Guards against batch requests that a cold server never serves.
        bench = Bench(random.Random(1), servers=1, slots=1)
        self.assertTrue(bench.server(bench.arrive(0.0)))

    def test_the_charge_grows_with_the_output(self):
        # Guards against a long generation that is only charged as an average one.
        bench = Bench(random.Random(1), servers=1)
        for _ in range(200):
            bench.lengths.observe("clerks", "crock-llm", "batch", 100, False)
        name = bench.arrive(0.0, max_tokens=5000)
        before = bench.credits.held["crock-0"][1]
        self.assertLess(before, 350)
        bench.deliver(name, 2000, 1.0)
        self.assertGreater(bench.credits.held["crock-0"][1], 2100)
        bench.end(name, 2.0)
        self.assertEqual(bench.credits.held["crock-0"], [0, 0])


class Choice(unittest.TestCase):
    def test_daemons_with_equal_lagging_views_spread_their_requests(self):
        # Guards against herding: all daemons choose the server that the last reports favour.
        chosen = Counter()
        for seed in range(60):
            bench = Bench(random.Random(seed), servers=6, fresh=False)
            chosen[bench.server(bench.arrive(0.0))] += 1
        self.assertEqual(len(chosen), 6)
        self.assertLess(max(chosen.values()), 60 * 0.4)

    def test_own_requests_count_before_the_next_report(self):
        # Guards against a burst at one daemon that goes to a single server until the next report.
        bench = Bench(random.Random(2), servers=6, memory=20000, fresh=False)
        chosen = Counter(bench.server(bench.arrive(0.005 * n)) for n in range(60))
        self.assertEqual(len(chosen), 6)
        self.assertLessEqual(max(chosen.values()), 12)

    def test_affinity_holds_up_to_its_bound(self):
        # Guards against not using the prefix cache and against overloading one server for it.
        bench = Bench(random.Random(3), servers=4, memory=100000)
        first = bench.server(bench.arrive(0.0, prefix="p"))
        bench.credits.committed[first] = 4000
        self.assertEqual(bench.server(bench.arrive(1.0, prefix="p")), first)
        bench.credits.committed[first] = 25000
        self.assertNotEqual(bench.server(bench.arrive(2.0, prefix="p")), first)

    def test_a_restarted_server_has_no_affinity(self):
        # Guards against preferring a server for a cache that it lost in a restart.
        bench = Bench(random.Random(3), servers=4, memory=100000)
        first = bench.server(bench.arrive(0.0, prefix="p"))
        bench.credits.start_ids[first] = "b"
        bench.credits.committed[first] = 8000
        self.assertNotEqual(bench.server(bench.arrive(1.0, prefix="p")), first)

    def test_remembered_prefixes_are_bounded(self):
        # Guards against memory use that grows with every prompt.
        bench = Bench(random.Random(3), servers=1, slots=10**6, memory=10**9)
        for number in range(routing.MAX_PREFIXES + 50):
            bench.end(bench.arrive(0.0, prefix=f"p{number}"), 0.0)
        self.assertEqual(len(bench.routing._prefixes), routing.MAX_PREFIXES)

    def test_the_own_zone_is_preferred_at_equal_load(self):
        # Guards against the cost of traffic between regions while the own region has capacity.
        zones = ("khangai", "gobi", "selenge")
        bench = Bench(random.Random(4), servers=3, memory=100000, zones=zones)
        chosen = {bench.server(bench.arrive(float(n))) for n in range(5)}
        self.assertEqual(chosen, {"crock-0"})

    def test_the_emptier_server_is_preferred(self):
        # Guards against choosing by number of requests although their memory differs.
        bench = Bench(random.Random(5), servers=2)
        bench.credits.committed.update({"crock-0": 6000, "crock-1": 2000})
        self.assertEqual(bench.server(bench.arrive(0.0)), "crock-1")


class Baselines(unittest.TestCase):
    def test_baselines_charge_no_memory(self):
        # Guards against a baseline that benefits from admission by memory.
        for policy in (RoundRobin(), LeastRequests(), TwoChoices()):
            bench = Bench(random.Random(6), policy, servers=3, memory=10)
            names = [bench.arrive(0.0) for _ in range(30)]
            self.assertTrue(all(map(bench.server, names)))
            self.assertEqual({held[1] for held in bench.credits.held.values()}, {0})

    def test_round_robin_and_least_requests_are_even(self):
        # Guards against a baseline that is weaker than the algorithm it is named after.
        for policy in (RoundRobin(), LeastRequests()):
            bench = Bench(random.Random(7), policy, servers=3)
            chosen = Counter(bench.server(bench.arrive(0.0)) for _ in range(30))
            self.assertEqual(set(chosen.values()), {10})

    def test_two_choices_avoid_the_longest_queue(self):
        # Guards against a random choice instead of the better of two.
        bench = Bench(random.Random(8), TwoChoices(), servers=2)
        bench.credits.held["crock-0"][0] = 50
        self.assertEqual({bench.server(bench.arrive(0.0)) for _ in range(20)}, {"crock-1"})
