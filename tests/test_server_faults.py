"""Servers that send what is no answer: the daemon's memory and work stay bounded."""

import asyncio

from standins.replica import ENDLESS, SIGNATURE, Engine, Replica
from standins.wire import answer

from tests.relayworld import RelayCase, route

TAKEN_MOST = 12 << 20  # bytes: the largest bound of an answer, and what the sockets' buffers hold
STREAM = route(name="s", prefix="/s/", route_kind="streaming", service="llm", sticky_sessions=True)


class WithoutEnd(RelayCase):
    """Guards against one broken server that takes a daemon down with its memory or its work."""

    async def ask_faulty(self, behaviour, server, **fields):
        """Return the status of a request to a server without end, after the daemon closed."""
        server.behaviour = behaviour
        server.endless_sent = 0
        left = len(server.left)
        reply = await self.ask(**fields)
        await self.until(lambda: len(server.left) > left)
        self.assertLess(server.endless_sent, TAKEN_MOST)
        return reply.status

    async def test_the_answer_of_a_call_is_bounded_in_each_part(self):
        server = Replica()
        await self.serve(server, routes=[route(max_attempts=1)])
        state = self.relays[0].state
        for behaviour in ENDLESS:
            with self.subTest(behaviour=behaviour):
                # Another target each time: the same one would be suspected of crashing servers.
                status = await self.ask_faulty(behaviour, server, target=f"/a/{behaviour}")
                self.assertEqual(status, 502)
                self.assertEqual(state.load_tracker.own(), {})
        rejected = [line["fault"] for line in self.relays[0].log.of("answer_rejected")]
        self.assertEqual(len(rejected), len(ENDLESS))
        self.assertLessEqual({"head", "body", "interim answers", "skipped"}, {*rejected})
        self.assertEqual(state.answers.reserved, 0)
        server.behaviour = "ok"
        self.assertEqual((await self.ask()).status, 200)

    async def test_an_event_and_the_head_of_a_stream_are_bounded(self):
        engine = Engine()
        await self.serve(engine, routes=[STREAM])
        fields = {"method": "POST", "body": b"p", "Token_Usage": "90,50"}
        for behaviour in ("endless_event", "endless_headers", "endless_extension"):
            with self.subTest(behaviour=behaviour):
                target = f"/s/{behaviour}"
                status = await self.ask_faulty(behaviour, engine, target=target, **fields)
                self.assertEqual(status, 502)
        rejected = [line["fault"] for line in self.relays[0].log.of("answer_rejected")]
        self.assertEqual(rejected, ["event", "head", "head"])

    async def test_a_fast_engine_waits_for_a_slow_client(self):
        # Guards against a generation that is kept whole in memory for a client that reads nothing.
        engine = Engine(events=400)
        engine.event = lambda attempt, number: b"id: %d\ndata: %b\n\n" % (number, b"y" * 50_000)
        await self.serve(engine, routes=[{**STREAM, "timeout_ms": 60000}])
        client = await self.client()
        await client.send(
            method="POST", target="/s/x", body=b"p", Token_Usage="90,50", Deadline_Ms="60000"
        )
        await self.until(lambda: engine.runs)
        attempt = next(iter(engine.runs))
        made = -1
        while engine.runs[attempt] != made:
            made = engine.runs[attempt]
            await asyncio.sleep(0.5)
        self.assertLess(made * 50_000, TAKEN_MOST)
        (conn,) = self.relays[0]._frontend.conns
        self.assertLess(conn._transport.get_write_buffer_size(), 1 << 20)
        reply = await client.reply()
        self.assertTrue(reply.complete)
        self.assertEqual(reply.body.count(b"id: "), 400)

    async def test_answers_beyond_the_memory_for_them_are_given_up(self):
        # Guards against many answers, each within its bound, that fill a small machine together.
        server = Replica()
        server.body = b"z" * 3_000_000
        await self.serve(server, routes=[route(max_attempts=1)])
        state = self.relays[0].state
        state.answers.max_bytes = 2_000_000
        self.assertEqual((await self.ask()).status, 502)
        self.assertEqual(state.answers.reserved, 0)
        self.assertEqual(self.relays[0].log.of("answer_rejected")[0]["fault"], "memory")
        state.answers.max_bytes = 4_000_000
        self.assertEqual((await self.ask()).body, server.body)
        await self.until(lambda: state.answers.reserved == 0)


class Progress(RelayCase):
    async def test_a_slow_but_sound_stream_is_not_cut(self):
        # Guards against resuming elsewhere what comes within its client's patience of 6 s.
        engines = [Engine("i-1", "127.0.0.1"), Engine("i-2", "127.0.0.2")]
        for engine in engines:
            engine.events, engine.pace_s = 2, 4.5
        routes = [{**STREAM, "target_latency_ms": 1500, "stream_resume": True}]
        await self.serve(*engines, routes=[{**routes[0], "timeout_ms": 20000}])
        reply = await self.ask(
            method="POST", target="/s/x", body=b"p", Token_Usage="90,50", Deadline_Ms="20000"
        )
        self.assertTrue(reply.complete)
        self.assertEqual(sum(len(engine.ran) for engine in engines), 1)

    async def test_bytes_that_complete_no_event_do_not_keep_a_stream(self):
        # Guards against a stalled stream that sends a byte now and then and never ends.
        engine = Engine(events=1)
        engine.event = lambda attempt, number: b"id: %d\ndata: t\n\n" % number
        stalled = asyncio.Event()

        async def drip(asked, attempt, writer):
            writer.write(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nReplica-Signature: s\r\n"
                b"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: t\n\n\r\n" % attempt.encode()
            )
            try:
                for _ in range(400):
                    writer.write(b"1\r\n:\r\n")
                    await writer.drain()
                    await asyncio.sleep(0.05)
            except ConnectionError:
                stalled.set()
            return False

        engine.run = drip
        fields = {"target_latency_ms": 100, "target_gap_ms": 100, "timeout_ms": 20000}
        await self.serve(engine, routes=[{**STREAM, **fields}])
        began = asyncio.get_running_loop().time()
        reply = await self.ask(
            method="POST", target="/s/x", body=b"p", Token_Usage="90,50", Deadline_Ms="20000"
        )
        self.assertFalse(reply.complete)
        self.assertLess(asyncio.get_running_loop().time() - began, 10.0)
        await asyncio.wait_for(stalled.wait(), 5.0)


class Duplicates(RelayCase):
    """Guards against a caller that gets an answer which is not its own."""

    async def test_a_second_copy_without_an_id_is_no_answer_to_the_next_request(self):
        server = Replica()
        await self.serve(server, routes=[route(max_attempts=1)])

        async def run(asked, attempt, writer):
            if len(server.ran) == 2:
                writer.write(answer(200, b"first", [SIGNATURE]))
            writer.write(answer(200, attempt.encode(), [SIGNATURE, ("Attempt-Id", attempt)]))
            return True

        server.run = run
        client = await self.client()
        await client.send(attempt="first")
        self.assertEqual((await client.reply()).body, b"first")
        await client.send(attempt="second")
        reply = await client.reply()
        self.assertEqual(reply.status, 502)
        await client.send(attempt="third")
        self.assertEqual((await client.reply()).body, b"third")

    async def test_a_second_copy_of_not_run_does_not_answer_for_the_same_request_sent_again(self):
        # Guards against a call that runs twice: the copy says that the second sending did not run.
        server = Replica()
        once = route(route_kind="non_idempotent", max_attempts=1)
        await self.serve(server, routes=[once])
        writers = []

        async def serve_one(asked, writer):
            attempt = asked.headers["attempt-id"]
            not_run = answer(503, b"", [("Not-Executed", "1"), ("Attempt-Id", attempt)])
            writers.append(writer)
            if len(writers) == 1 or writer in writers[:-1]:
                writer.write(not_run)
                if len(writers) == 1:
                    return True
            server.ran.append(attempt)
            writer.write(answer(200, b"done", [SIGNATURE, ("Attempt-Id", attempt)]))
            return True

        server.serve_one = serve_one
        client = await self.client()
        await client.send()
        reply = await client.reply()
        self.assertEqual((reply.status, reply.body), (200, b"done"))
        self.assertEqual(server.ran, ["id-1"])

    async def test_the_start_of_a_second_copy_ends_the_use_of_its_connection(self):
        # Guards against a copy whose first bytes came with the answer, and the rest with the next.
        server = Replica()
        await self.serve(server, routes=[route(max_attempts=1)])
        used = []

        async def run(asked, attempt, writer):
            used.append(writer)
            own = answer(200, b"own", [SIGNATURE, ("Attempt-Id", attempt)])
            writer.write(own + own[:20])
            return True

        server.run = run
        client = await self.client()
        for _ in range(2):
            await client.send()
            reply = await client.reply()
            self.assertEqual((reply.status, reply.body), (200, b"own"))
        self.assertNotEqual(*used)
