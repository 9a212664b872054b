"""Requests that wait for a server."""

import asyncio
import unittest

from lovageway.forwarding.admissionqueue import QUEUE_MOST, AdmissionQueue, Need, Rank

ANY = Need("call", 0)


class Waiting(unittest.IsolatedAsyncioTestCase):
    async def test_on_time_and_urgent_requests_go_first(self):
        # Load: places come free one by one while late, urgent and ordinary requests wait.
        room, served, free = AdmissionQueue(), [], [0]

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
            asyncio.ensure_future(room.wait(rank, ANY, attempt(name), 5.0))
            for name, rank in ranks.items()
        ]
        await asyncio.sleep(0)
        for _ in ranks:
            free[0] = 1
            room.pump(2.0)
        await asyncio.gather(*tasks)
        self.assertEqual(served, ["urgent", "earlier", "ordinary", "late"])

    async def test_who_cannot_be_served_is_told_in_time(self):
        # Guards against requests that are held until their deadline.
        room = AdmissionQueue()
        self.assertIsNone(await room.wait(Rank(1, 0.0, 1.0), ANY, lambda: None, 0.01))
        self.assertEqual(len(room), 0)

    async def test_a_cancelled_request_takes_no_place(self):
        # Guards against places that are given to clients who have left.
        room = AdmissionQueue()
        task = asyncio.ensure_future(room.wait(Rank(1, 0.0, 1.0), ANY, lambda: None, 5.0))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        room.pump(0.0)
        self.assertEqual(len(room), 0)

    async def test_the_queue_is_bounded(self):
        # Guards against memory that grows with a burst.
        room = AdmissionQueue()
        tasks = [
            asyncio.ensure_future(room.wait(Rank(1, 0.0, 1.0), ANY, lambda: None, 5.0))
            for _ in range(QUEUE_MOST)
        ]
        await asyncio.sleep(0)
        self.assertTrue(room.is_full)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_a_place_is_looked_for_once_for_each_kind_that_finds_none(self):
        # Load: a full queue while one short answer after another ends; each end would look through
        # all servers for all who wait.
        room, asked = AdmissionQueue(), []

        def attempt(kind, size):
            def take():
                asked.append((kind, size))
                return kind if kind == "free" and size < 9 else None

            return take

        needs = [Need("full", n % 5) for n in range(100)] + [Need("free", n) for n in range(12)]
        tasks = [
            asyncio.ensure_future(room.wait(Rank(1, 0.0, 1.0), need, attempt(*need), 5.0))
            for need in needs
        ]
        await asyncio.sleep(0)
        room.pump(0.0)
        self.assertEqual([kind for kind, _ in asked].count("full"), 1)
        self.assertEqual(sorted(size for kind, size in asked if kind == "free"), [*range(10)])
        self.assertEqual(len(room), 103)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_a_smaller_request_is_tried_after_a_larger_one_found_no_place(self):
        # Guards against short generations that wait behind a long one for memory that they
        # do not need.
        room, asked = AdmissionQueue(), []
        sizes = {0.0: 900, 0.1: 500, 0.2: 700, 0.3: 100}
        tasks = [
            asyncio.ensure_future(
                room.wait(
                    Rank(1, at, 9.0), Need("llm", size), lambda size=size: asked.append(size), 5.0
                )
            )
            for at, size in sizes.items()
        ]
        await asyncio.sleep(0)
        room.pump(0.5)
        self.assertEqual(asked, [900, 500, 100])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
