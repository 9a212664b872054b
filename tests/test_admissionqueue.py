"""Tests of the queue of requests that wait for a server."""

import asyncio
import unittest

from lovageway.forwarding.admissionqueue import MAX_QUEUED_REQUESTS, AdmissionQueue, Need, Rank

ANY = Need("call", 0)


class Waiting(unittest.IsolatedAsyncioTestCase):
    async def test_on_time_and_urgent_requests_go_first(self):
        # Servers become free one by one while late, urgent and ordinary requests wait.
        queue, served, free = AdmissionQueue(), [], [0]

        def attempt(name):
            def take():
                if free[0] <= 0:
                    return None
                free[0] -= 1
                served.append(name)
                return name

            return take

        ranks = {
            "late": Rank(0, 0.0, 1.0),
            "ordinary": Rank(2, 0.1, 9.0),
            "urgent": Rank(1, 0.5, 9.0),
            "earlier": Rank(2, 0.0, 9.0),
        }
        tasks = [
            asyncio.ensure_future(queue.wait(rank, ANY, attempt(name), 5.0))
            for name, rank in ranks.items()
        ]
        await asyncio.sleep(0)
        for _ in ranks:
            free[0] = 1
            queue.pump(2.0)
        await asyncio.gather(*tasks)
        self.assertEqual(served, ["urgent", "earlier", "ordinary", "late"])

    async def test_a_request_that_finds_no_server_is_rejected_in_time(self):
        # Guards against requests that are held until their deadline.
        queue = AdmissionQueue()
        self.assertIsNone(await queue.wait(Rank(1, 0.0, 1.0), ANY, lambda: None, 0.01))
        self.assertEqual(len(queue), 0)

    async def test_a_cancelled_request_gets_no_server(self):
        # Guards against servers that are assigned to clients that have disconnected.
        queue = AdmissionQueue()
        task = asyncio.ensure_future(queue.wait(Rank(1, 0.0, 1.0), ANY, lambda: None, 5.0))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        queue.pump(0.0)
        self.assertEqual(len(queue), 0)

    async def test_the_queue_is_bounded(self):
        # Guards against memory that grows with a burst.
        queue = AdmissionQueue()
        tasks = [
            asyncio.ensure_future(queue.wait(Rank(1, 0.0, 1.0), ANY, lambda: None, 5.0))
            for _ in range(MAX_QUEUED_REQUESTS)
        ]
        await asyncio.sleep(0)
        self.assertTrue(queue.is_full)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_a_server_is_searched_once_for_each_kind_that_finds_none(self):
        # The queue is full while one short answer after another ends. Without the rule, each end
        # would search all servers for every waiting request.
        queue, asked = AdmissionQueue(), []

        def attempt(kind, size):
            def take():
                asked.append((kind, size))
                return kind if kind == "free" and size < 9 else None

            return take

        needs = [Need("full", n % 5) for n in range(100)] + [Need("free", n) for n in range(12)]
        tasks = [
            asyncio.ensure_future(queue.wait(Rank(1, 0.0, 1.0), need, attempt(*need), 5.0))
            for need in needs
        ]
        await asyncio.sleep(0)
        queue.pump(0.0)
        self.assertEqual([kind for kind, _ in asked].count("full"), 1)
        self.assertEqual(sorted(size for kind, size in asked if kind == "free"), [*range(10)])
        self.assertEqual(len(queue), 103)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_a_smaller_request_is_tried_after_a_larger_one_found_no_server(self):
        # Guards against short generations that wait behind a long one for memory that they
        # do not need.
        queue, asked = AdmissionQueue(), []
        sizes = {0.0: 900, 0.1: 500, 0.2: 700, 0.3: 100}
        tasks = [
            asyncio.ensure_future(
                queue.wait(
                    Rank(1, at, 9.0), Need("llm", size), lambda size=size: asked.append(size), 5.0
                )
            )
            for at, size in sizes.items()
        ]
        await asyncio.sleep(0)
        queue.pump(0.5)
        self.assertEqual(asked, [900, 500, 100])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Backlog(unittest.IsolatedAsyncioTestCase):
    """Load pattern: servers become free now and then, and far more requests wait."""

    def setUp(self):
        self.queue = AdmissionQueue()

    async def serve(self, count, interval_s, waiting=0):
        """Place requests one after another; leave some that wait."""
        free = asyncio.Event()
        tasks = [
            asyncio.ensure_future(
                self.queue.wait(Rank(1, n, 99.0), ANY, lambda: free.is_set() or None, 60.0)
            )
            for n in range(count + waiting)
        ]
        self.addCleanup(lambda: [task.cancel() for task in tasks])
        await asyncio.sleep(0)
        for number in range(count):
            waiter = min(self.queue._waiters, key=lambda item: item.rank.key(0.0))
            waiter.attempt = lambda: "server"
            self.queue.pump((number + 1) * interval_s)
        return count * interval_s

    async def test_the_expected_wait_follows_the_pace_and_those_before(self):
        # Guards against a time to come back that is the same for one and for fifty before it.
        now = await self.serve(10, 0.2, waiting=7)
        last, first = Rank(1, 999.0, 9999.0), Rank(0, 0.0, 9999.0)
        self.assertAlmostEqual(
            self.queue.expected_wait_s(last, lambda kind: True, now), 8 * 0.18, delta=0.05
        )
        self.assertAlmostEqual(
            self.queue.expected_wait_s(first, lambda kind: True, now), 0.18, delta=0.02
        )

    async def test_without_placements_nothing_is_foretold(self):
        # Guards against requests that are rejected by a guess, after a pause or at a start.
        rank = Rank(1, 0.0, 9.0)
        self.assertIsNone(self.queue.expected_wait_s(rank, lambda kind: True, 0.0))
        now = await self.serve(10, 0.2)
        self.assertIsNone(self.queue.expected_wait_s(rank, lambda kind: True, now + 60.0))
        self.assertIsNone(self.queue.expected_wait_s(rank, lambda kind: False, now))
