"""Admission: classes, the bounded queue, deadlines, immediate refusals and their retry times."""

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.codes import Code
from lovageway.filters.admission import MAX_CREDIT_REQUESTERS, MAX_WAITING
from tests.credits import Bench

ARRIVALS = st.lists(
    st.tuples(
        st.sampled_from(["batch", "interactive"]),
        st.floats(0.0, 2.0),  # since the previous arrival
        st.floats(0.0, 20.0),  # max_wait_s
        st.floats(0.1, 15.0),  # run time
    ),
    max_size=40,
)


class Simulation:
    """Servers that finish each request after its run time, with a tick every 0.1 s."""

    def __init__(self, bench):
        self.bench = bench
        self.run_times, self.ends, self.started, self.deadlines = {}, {}, {}, {}
        self.now = 0.0

    def arrive(self, request_class, max_wait_s, run_s, **more):
        name = self.bench.arrive(self.now, request_class, max_wait_s=max_wait_s, **more)
        self.run_times[name], self.deadlines[name] = run_s, self.now + max_wait_s
        self.note()
        return name

    def advance(self, until):
        while self.now < until:
            self.now = round(self.now + 0.1, 3)
            for name in [name for name, end in self.ends.items() if end <= self.now]:
                del self.ends[name]
                self.bench.deliver(name, 400, self.now)
                self.bench.end(name, self.now)
            self.bench.chain.retry_waiting(self.now, self.bench.emit)
            self.note()

    def note(self):
        for name in self.run_times:
            if name not in self.started and self.bench.server(name):
                self.started[name] = self.now
                self.ends[name] = self.now + self.run_times[name]


class Queue(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=80)
    @given(ARRIVALS, st.integers(1, 3))
    def test_every_request_gets_a_server_or_a_refusal_by_its_deadline(self, arrivals, slots):
        # Guards against a request that waits forever or is refused after its deadline.
        bench = Bench(random.Random(1), servers=1, slots=slots)
        sim, at = Simulation(bench), 0.0
        for request_class, gap, max_wait_s, run_s in arrivals:
            at += gap
            sim.advance(at)
            sim.arrive(request_class, max_wait_s, run_s)
            late = [name for name, end in sim.deadlines.items() if end + 0.11 < sim.now]
            self.assertTrue(all(name in sim.started or name in bench.refusals() for name in late))
        sim.advance(at + 21.0)
        self.assertEqual(set(sim.started) | set(bench.refusals()), set(sim.run_times))
        self.assertFalse(set(sim.started) & set(bench.refusals()))

    @settings(derandomize=True, deadline=None, max_examples=80)
    @given(ARRIVALS, st.integers(1, 3))
    def test_batch_never_starts_while_interactive_waits(self, arrivals, slots):
        # Guards against batch requests that take each freed slot before interactive ones.
        bench = Bench(random.Random(1), servers=1, slots=slots)
        sim, at, classes = Simulation(bench), 0.0, {}
        for request_class, gap, _, run_s in arrivals:
            at += gap
            while sim.now < at:
                before = set(sim.started)
                sim.advance(sim.now + 0.1)
                if bench.admission.waiting("interactive"):
                    new = set(sim.started) - before
                    self.assertFalse([n for n in new if classes[n] == "batch"])
            classes[sim.arrive(request_class, 60.0, run_s)] = request_class

    def test_small_batch_requests_do_not_pass_a_large_interactive_one(self):
        # Guards against starvation: small batch requests use up each bit of freed memory.
        bench = Bench(random.Random(1), servers=1, memory=450)
        for _ in range(500):
            bench.lengths.observe("clerks", "crock-llm", "interactive", 2000, False)
        first, second = bench.arrive(0.0, "interactive"), bench.arrive(0.0, "interactive")
        large = bench.arrive(0.1, "interactive", max_tokens=3000)
        self.assertTrue(bench.server(first) and bench.server(second))
        self.assertEqual(bench.server(large), "")
        small = bench.arrive(0.2, max_tokens=1)
        self.assertEqual(bench.server(small), "")
        bench.chain.finish(large, 0.3, bench.emit)
        bench.chain.retry_waiting(0.4, bench.emit)
        self.assertTrue(bench.server(small))

    def test_the_cost_of_a_poll_does_not_grow_with_the_queue(self):
        # Guards against a tick that tries every waiting request at every server while it holds the
        # node's lock. With 192 requests and 32 servers this took 20 ms, 20 times a second.
        bench = Bench(random.Random(1), servers=1, slots=1)
        bench.arrive(0.0)
        for number in range(MAX_WAITING["interactive"]):
            bench.arrive(0.01 + number / 1000, "interactive", max_wait_s=60.0)
        for _ in range(MAX_WAITING["batch"]):
            bench.arrive(0.2, "batch", max_wait_s=60.0)
        self.assertEqual(bench.chain.waiting(), sum(MAX_WAITING.values()))
        with mock.patch.object(bench.credits, "credits", wraps=bench.credits.credits) as asked:
            bench.chain.retry_waiting(0.3, bench.emit)
        self.assertLessEqual(asked.call_count, 2 * MAX_CREDIT_REQUESTERS)

    def test_interactive_overtakes_waiting_batch(self):
        # Guards against a single queue for both classes in order of arrival.
        bench = Bench(random.Random(1), servers=1, slots=1)
        first = bench.arrive(0.0)
        batch, check = bench.arrive(0.1), bench.arrive(0.2, "interactive")
        bench.end(first, 1.0)
        bench.chain.retry_waiting(1.0, bench.emit)
        self.assertEqual((bench.server(batch), bench.server(check)), ("", "crock-0"))

    def test_the_queue_is_bounded(self):
        # Guards against waiting requests that occupy every worker thread.
        bench = Bench(random.Random(1), servers=1, slots=1)
        for _ in range(300):
            bench.arrive(0.0, "batch")
            bench.arrive(0.0, "interactive")
        for request_class, most in MAX_WAITING.items():
            self.assertEqual(bench.admission.waiting(request_class), most)
        self.assertEqual({item.code for item in bench.refusals().values()}, {Code.QUEUE_FULL})

    def test_a_caller_that_disconnected_does_not_block_the_queue(self):
        # Guards against a queue whose head is a request that no longer exists.
        bench = Bench(random.Random(1), servers=1, slots=1)
        first, second, third = (bench.arrive(0.0) for _ in range(3))
        bench.chain.finish(second, 0.5, bench.emit)
        bench.end(first, 1.0)
        bench.chain.retry_waiting(1.0, bench.emit)
        self.assertEqual(bench.server(third), "crock-0")

    def test_the_first_waiting_requests_request_credit(self):
        # Guards against demand that is never reported to the owner of a server, and against a
        # message for every waiting request.
        bench = Bench(random.Random(1), servers=1, slots=1)
        names = [bench.arrive(0.0) for _ in range(20)]
        bench.chain.retry_waiting(0.1, bench.emit)
        self.assertEqual(set(bench.credits.wanted), set(names[1 : 1 + MAX_CREDIT_REQUESTERS]))

    def test_a_charge_fits_into_an_empty_server(self):
        # Guards against a request that waits for more credit than any server can grant.
        bench = Bench(random.Random(1), servers=1, memory=150)
        self.assertTrue(bench.server(bench.arrive(0.0, max_tokens=100000)))


class Overload(unittest.TestCase):
    def steady(self):
        """Return a simulation with a backlog that serves one request per second."""
        sim = Simulation(Bench(random.Random(1), servers=1, slots=1))
        for number in range(20):
            sim.arrive("batch", 100.0, 1.0)
            sim.advance(number * 0.5)
        sim.advance(12.0)
        return sim

    def test_a_wait_longer_than_the_contract_allows_is_refused_at_once(self):
        # Guards against a foreseeable refusal that is sent only at the deadline.
        sim = self.steady()
        name = sim.arrive("batch", 3.0, 1.0)
        self.assertEqual(sim.bench.refusals()[name].code, Code.QUEUE_FULL)

    def test_a_wait_that_the_contract_allows_is_not_refused(self):
        # Guards against refusing every request as soon as one waits.
        sim = self.steady()
        name = sim.arrive("batch", 30.0, 1.0)
        sim.advance(45.0)
        self.assertIn(name, sim.started)

    def test_the_retry_time_is_when_capacity_is_free(self):
        # Guards against a constant retry time, after which callers retry too early or too late.
        sim = self.steady()
        name = sim.arrive("batch", 1.0, 1.0)
        retry_after_s = sim.bench.refusals()[name].retry_after_s
        waiting = sim.bench.admission.waiting("batch")
        self.assertAlmostEqual(retry_after_s / (waiting + 1), 1.0, delta=0.35)
        sim.advance(sim.now + retry_after_s * 1.2)
        again = sim.arrive("batch", 2.0, 1.0)
        sim.advance(sim.now + 2.5)
        self.assertIn(again, sim.started)


class Learning(unittest.TestCase):
    def test_finished_and_cut_generations_are_learned_as_such(self):
        # Guards against learning a disconnect, or max_tokens, as the natural end of the output.
        bench = Bench(random.Random(1), servers=1)
        seen = []
        bench.lengths.observe = lambda *args: seen.append(args[3:])
        whole, left, limited, silent = (bench.arrive(0.0, max_tokens=200) for _ in range(4))
        for name, total in ((whole, 50), (left, 60), (limited, 200)):
            bench.deliver(name, total, 1.0)
        bench.end(whole, 2.0)
        bench.chain.finish(left, 2.0, bench.emit)
        bench.end(limited, 2.0)
        bench.chain.finish(silent, 2.0, bench.emit)
        self.assertEqual(seen, [(50, False), (60, True), (200, True)])
