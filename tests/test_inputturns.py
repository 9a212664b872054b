"""Input that takes long to parse: one connection at a time, and other work in between."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.inputturns import MAX_TURN_BYTES, SLICE_BYTES, TURN_S, InputTurns
from lovageway.forwarding.inputturns import SlicedInput as Input


class Parser:
    """Parses slices with a simulated clock, at a fixed cost in seconds a byte."""

    def __init__(self, world, cost_s):
        self.world = world
        self.cost_s = cost_s
        self.parsed = b""
        self.reading = True
        self.input = Input(world.turns, self.feed, self.set_reading)

    def feed(self, piece):
        self.parsed += piece
        self.world.now += self.cost_s * len(piece)
        return True

    def set_reading(self, reading):
        self.reading = reading


class Turns(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 0.0
        self.turns = InputTurns(lambda: self.now)

    async def passes(self, parsers):
        """Return the longest time that one pass of the event loop took until all is parsed."""
        longest = 0.0
        while any(parser.input.pending for parser in parsers):
            before = self.now
            await asyncio.sleep(0)
            longest = max(longest, self.now - before)
        return longest

    async def test_one_pass_of_the_loop_parses_for_one_turn_only(self):
        # Guards against one connection that holds the event loop for as long as it has input, and
        # against several that do so one after the other in the same pass.
        slice_s = SLICE_BYTES * 1e-6
        parsers = [Parser(self, 1e-6) for _ in range(6)]
        for parser in parsers:
            before = self.now
            parser.input.receive(b"x" * 256 * 1024)
            self.assertLessEqual(self.now - before, TURN_S + slice_s)
            self.assertFalse(parser.reading)
        self.assertLessEqual(await self.passes(parsers), TURN_S + slice_s)
        self.assertEqual([len(parser.parsed) for parser in parsers], [256 * 1024] * 6)
        self.assertEqual([parser.reading for parser in parsers], [True] * 6)

    async def test_the_work_of_a_turn_is_bounded_where_the_clock_stands_still(self):
        # Guards against a bound that a clock without resolution never reaches.
        parser = Parser(self, 0.0)
        parser.input.receive(b"x" * (MAX_TURN_BYTES + 1))
        self.assertEqual(parser.input.pending, 1)
        await self.passes([parser])
        self.assertEqual(len(parser.parsed), MAX_TURN_BYTES + 1)

    async def test_nothing_is_parsed_for_a_consumer_that_asked_to_pause(self):
        # Guards against buffers that grow beyond their bound by input that was already received.
        parser = Parser(self, 0.0)
        parser.input.hold(True)
        parser.input.receive(b"x" * 10)
        await asyncio.sleep(0)
        self.assertEqual((parser.parsed, parser.reading), (b"", False))
        parser.input.hold(False)
        await self.passes([parser])
        self.assertEqual((parser.parsed, parser.reading), (b"x" * 10, True))

    async def test_the_turns_of_requests_alternate_with_those_of_connections(self):
        # Guards against a request that passes on small events without end.
        order = []
        parser = Parser(self, 1e-6)
        parser.set_reading = lambda reading: None

        async def request():
            for _ in range(4):
                await self.turns.next()
                order.append(len(parser.parsed))

        task = asyncio.create_task(request())
        parser.input.receive(b"x" * 64 * 1024)
        await task
        self.assertEqual(order, sorted(set(order)))


class AnyInput(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.one_of(st.binary(max_size=3 * SLICE_BYTES), st.sampled_from(["hold", "go", "pass"])),
            max_size=12,
        ),
        st.sampled_from([0.0, 1e-7, 1e-6]),
    )
    def test_all_input_is_parsed_once_and_in_order(self, steps, cost_s):
        # Guards against bytes that are lost, doubled or swapped by pauses and turns.
        self.now = 0.0

        async def play():
            self.turns = InputTurns(lambda: self.now)
            parser, sent = Parser(self, cost_s), b""
            for step in steps:
                if step in ("hold", "go"):
                    parser.input.hold(step == "hold")
                elif step == "pass":
                    await asyncio.sleep(0)
                else:
                    sent += step
                    parser.input.receive(step)
                self.assertTrue(sent.startswith(parser.parsed))
            parser.input.hold(False)
            while parser.input.pending:
                await asyncio.sleep(0)
            self.assertEqual(parser.parsed, sent)
            self.assertTrue(parser.reading)

        asyncio.run(play())
