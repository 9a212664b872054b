"""Requests through a daemon: what servers receive and what clients get back."""

import asyncio
import unittest

from standins.replica import Engine, Replica

from lovageway.forwarding.forwarder import MIN_ANSWER_TIMEOUT_S
from lovageway.forwarding.mirror import FIRST
from tests.relayworld import KEY, RelayCase, engine_service, route

ONCE = [route(route_kind="non_idempotent", max_attempts=1)]


class Calls(RelayCase):
    async def test_a_call_reaches_its_server_unchanged_and_its_answer_comes_back(self):
        # Guards against changes of method, path, query or body, and against lost headers.
        server = Replica()
        await self.serve(server)
        reply = await self.ask(
            method="POST", target="/a/x?q=1", body=b"hello", X_Own="kept", Deadline_Ms="2000"
        )
        self.assertEqual((reply.status, reply.body), (200, server.body))
        self.assertEqual(reply.headers["replica-signature"], "3e1b.07")
        asked = server.requests[0]
        self.assertEqual((asked.method, asked.target, asked.body), ("POST", "/a/x?q=1", b"hello"))
        self.assertEqual(asked.headers["x-own"], "kept")
        self.assertEqual(asked.headers["tenant"], "acc")
        self.assertEqual(asked.headers["expected-replica"], server.name)
        self.assertLessEqual(int(asked.headers["deadline-ms"]), 2000)

    async def test_headers_that_only_the_system_sets_are_dropped(self):
        # Guards against clients that choose an account or reserve memory by forged headers, and
        # against API keys that reach servers.
        server = Replica()
        await self.serve(server)
        forged = {"Tenant": "other", "Kv_From": "1.1.1.1:1/x", "Kv_Backup": "1.1.1.1:1"}
        await self.ask(Pin_Ms="4000", Cache_Hold="h", Expected_Replica="i-9", **forged)
        headers = server.requests[0].headers
        self.assertEqual(headers["tenant"], "acc")
        for name in ("authorization", "kv-from", "kv-backup", "pin-ms", "cache-hold"):
            self.assertNotIn(name, headers)

    async def test_a_chunked_body_arrives_completely(self):
        # Guards against chunked bodies that are truncated or forwarded with their framing.
        server = Replica()
        await self.serve(server)
        client = await self.client()
        head = (
            f"POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nAuthorization: Bearer {KEY}"
        )
        client.writer.write(f"{head}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        client.writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual((await client.reply()).status, 200)
        self.assertEqual(server.requests[0].body, b"abcde")

    async def test_unknown_keys_and_routes_are_refused(self):
        # Guards against requests that run without a valid key or a route.
        server = Replica()
        await self.serve(server)
        self.assertEqual((await self.ask(Authorization="Bearer nobody")).status, 401)
        self.assertEqual((await self.ask(target="/b/x")).status, 404)
        self.assertEqual(server.executions, [])

    async def test_an_idempotent_call_is_retried_elsewhere_after_a_truncated_answer(self):
        # Guards against a truncated answer that is passed on as complete.
        first, second = Replica("i-1"), Replica("i-2", zone="z2")
        first.behaviour = "cut"
        await self.serve(first, second)
        reply = await self.ask()
        self.assertEqual((reply.status, reply.body), (200, second.body))

    async def test_a_call_that_may_have_run_is_never_sent_again(self):
        # Guards against a call that is executed twice, and against an answer that reports a call as
        # not executed although it was.
        for behaviour in ("cut", "reset", "garbage", "unsigned", "coded", "busy"):
            with self.subTest(behaviour=behaviour):
                await self.asyncTearDown()
                first, second = Replica("i-1"), Replica("i-2", zone="z2")
                first.behaviour = behaviour
                await self.asyncSetUp()
                await self.serve(first, second, routes=ONCE)
                reply = await self.ask(method="POST", body=b"pay")
                self.assertEqual(reply.status, 502)
                self.assertEqual((len(first.executions), len(second.executions)), (1, 0))

    async def test_a_call_that_was_not_executed_is_sent_to_another_server(self):
        # Guards against rejecting a call although another server has free capacity.
        first, second = Replica("i-1"), Replica("i-2", zone="z2")
        first.behaviour = "shed"
        await self.serve(first, second, routes=ONCE)
        reply = await self.ask(method="POST", body=b"pay")
        self.assertEqual(reply.status, 200)
        self.assertEqual((len(first.executions), len(second.executions)), (0, 1))

    async def test_the_servers_failure_is_passed_on_with_its_signature(self):
        # Guards against a changed status or a missing signature on a server's failure.
        server = Replica()
        server.behaviour = "fail"
        await self.serve(server, routes=ONCE)
        reply = await self.ask(method="POST", body=b"pay")
        self.assertEqual((reply.status, reply.body), (500, b"no"))
        self.assertIn("replica-signature", reply.headers)

    async def test_an_idempotent_call_that_failed_is_answered_by_another_server(self):
        # Load: servers fail a seventh of their calls, and a third of those succeed elsewhere.
        first, second = Replica("i-1"), Replica("i-2", zone="z2")
        first.behaviour = "fail"
        await self.serve(first, second)
        reply = await self.ask()
        self.assertEqual((reply.status, reply.body), (200, second.body))

    async def test_a_failure_of_both_servers_is_passed_on_after_two_attempts(self):
        # Guards against calls that are retried on every server, and against a changed status.
        servers = [Replica(f"i-{n}", zone=f"z{n}") for n in (1, 2, 3)]
        for server in servers:
            server.behaviour = "fail"
        await self.serve(*servers)
        reply = await self.ask()
        self.assertEqual((reply.status, reply.body), (500, b"no"))
        self.assertIn("replica-signature", reply.headers)
        self.assertEqual(sum(len(server.executions) for server in servers), 2)

    async def test_a_failed_call_is_not_retried_on_a_busy_server(self):
        # Load: servers fail calls while all are at capacity; retries would double the load.
        first, second = Replica("i-1"), Replica("i-2", zone="z2")
        first.behaviour = "fail"
        await self.serve(first, second)
        load_tracker = self.relays[0].state.load_tracker
        for _ in range(8):
            load_tracker.add("i-2", 0)
        reply = await self.ask()
        self.assertEqual((reply.status, second.executions), (500, []))

    async def test_an_answer_without_a_length_is_complete_when_the_server_closes(self):
        # Guards against rejecting answers that are delimited by the end of the connection.
        server = Replica()
        server.behaviour = "no_length"
        await self.serve(server)
        self.assertEqual((await self.ask()).body, server.body)

    async def test_surplus_and_late_answers_are_not_passed_on(self):
        # Guards against passing on an answer to another request that comes before or after the
        # right one.
        for behaviour in ("extra", "late_other"):
            with self.subTest(behaviour=behaviour):
                await self.asyncTearDown()
                server = Replica()
                server.behaviour = behaviour
                await self.asyncSetUp()
                await self.serve(server)
                for number in range(3):
                    reply = await self.ask(attempt=f"id-{number}")
                    self.assertEqual((reply.status, reply.body), (200, server.body))
                    self.assertEqual(reply.headers["attempt-id"], f"id-{number}")

    async def test_a_server_that_took_over_an_address_is_not_used(self):
        # Guards against requests that are executed by a server of another service.
        server = Replica("i-new")
        await self.serve()
        await self.start_server(server)
        self.store.put("servers", "i-old", server.entry())
        self.store.put("servers", "i-new", None)
        await self.until(lambda: self.relays[0].state.replicas.get("i-old") is not None)
        reply = await self.ask()
        self.assertEqual(reply.status, 503)
        self.assertEqual(server.executions, [])

    async def test_the_final_answer_comes_at_the_timeout_of_the_route(self):
        # Guards against calls that last longer than the configured timeout.
        server = Replica()
        server.behaviour = "hang"
        await self.serve(server, routes=[route(route_kind="non_idempotent", timeout_ms=300)])
        reply = await self.ask(method="POST", body=b"pay")
        self.assertEqual(reply.status, 504)

    async def test_a_call_without_an_answer_is_retried_on_another_server(self):
        # Guards against idempotent calls that wait for a hanging server until their deadline.
        first, second = Replica("i-1"), Replica("i-2", zone="z2")
        first.behaviour = "hang"
        await self.serve(first, second)
        reply = await self.ask(Deadline_Ms="4000")
        self.assertEqual((reply.status, len(second.executions)), (200, 1))

    async def assert_slow_answer_is_waited_for(self, *servers):
        for server in servers:
            server.behaviour = "hold"
        task = asyncio.create_task(self.ask())
        await asyncio.sleep(3 * MIN_ANSWER_TIMEOUT_S)
        for server in servers:
            server.released.set()
        self.assertEqual((await task).status, 200)
        self.assertEqual(sum(len(server.requests) for server in servers), 1)

    async def test_a_slow_answer_is_waited_for_if_there_is_no_other_server(self):
        # Guards against a second run on the same server of a call that it still works on.
        server = Replica()
        await self.serve(server, routes=[route(max_attempts=3)])
        await self.assert_slow_answer_is_waited_for(server)

    async def test_a_slow_answer_is_waited_for_if_the_budget_allows_no_retry(self):
        # Guards against a call that is cut off after a fraction of its time for a retry that is
        # then held back: its answer would still have come.
        servers = [Replica("i-1"), Replica("i-2", zone="z2")]
        await self.serve(*servers, routes=[route(max_attempts=3)])
        state = self.relays[0].state
        while state.budget("svc").take(1, state.clock()):
            pass
        await self.assert_slow_answer_is_waited_for(*servers)

    async def test_the_request_of_a_disconnected_client_is_cancelled(self):
        # Guards against server capacity that stays in use after the client disconnected.
        server = Replica()
        server.behaviour = "hold"
        await self.serve(server)
        client = await self.client()
        await client.send()
        await self.until(lambda: server.executions)
        client.close()
        await self.until(lambda: not self.relays[0].state.load_tracker.own())

    async def test_a_draining_server_gets_no_new_work(self):
        # Guards against requests that are sent to a server after it announced its shutdown.
        first, second = Replica("i-1"), Replica("i-2", zone="z2")
        await self.serve(first, second)
        self.store.put("servers", "i-1", first.entry(state="draining"))
        await self.until(lambda: self.relays[0].state.replicas.get("i-1").leaving)
        for number in range(5):
            await self.ask(attempt=f"id-{number}")
        self.assertEqual((len(first.executions), len(second.executions)), (0, 5))

    async def test_an_evacuated_zone_gets_no_new_work_until_it_is_reopened(self):
        # Guards against new work in a zone that the operator has evacuated.
        first, second = Replica("i-1"), Replica("i-2", zone="z2")
        await self.serve(first, second)
        self.store.put("op", "evacuate/z1", {})
        await self.until(lambda: len(self.relays[0].state.mirror.since("op", FIRST)[1]) == 2)
        await self.ask()
        self.assertEqual((len(first.executions), len(second.executions)), (0, 1))
        self.store.put("op", "evacuate/z1", None)
        await self.until(lambda: self.relays[0].state.mirror.get("op", "evacuate/z1") is None)
        self.store.put("servers", "i-2", second.entry(state="draining"))
        await self.until(lambda: self.relays[0].state.replicas.get("i-2").leaving)
        await self.ask(attempt="id-2")
        self.assertEqual(len(first.executions), 1)

    async def test_a_request_stays_in_the_regions_of_its_route_and_account(self):
        # Guards against data that leaves the allowed regions.
        home, away = Replica("i-1", zone="z1"), Replica("i-2", zone="z2")
        await self.serve(home, away, routes=[route(allowed_regions=["r2"])])
        await self.ask()
        self.assertEqual((len(home.executions), len(away.executions)), (0, 1))

    async def test_a_new_configuration_applies_at_once_and_an_older_one_never(self):
        # Guards against a return to an older version of the configuration.
        server = Replica()
        await self.serve(server)
        self.store.put("op", "config", {"version": 9, "routes": [], "services": []})
        await self.until(lambda: self.relays[0].state.routes.cfg.version == 9)
        self.assertEqual((await self.ask()).status, 404)
        self.store.put("op", "config", {"version": 8, "routes": [route()], "services": []})
        self.store.put("op", "evacuate/z9", {})
        await self.until(lambda: self.relays[0].state.mirror.get("op", "evacuate/z9") is not None)
        self.assertEqual(self.relays[0].state.routes.cfg.version, 9)

    async def test_rows_that_cannot_be_read_change_nothing(self):
        # Guards against malformed rows that stop the daemon or register a server.
        server = Replica()
        await self.serve(server)
        for number, value in enumerate((b"\xff", "[]", {"state": "x"}, {"address": 7})):
            self.store.put("servers", f"odd-{number}", value)
        self.store.put("op", "config", b"not a configuration")
        await self.until(
            lambda: self.relays[0].state.mirror.get("op", "config").value[:3] == b"not"
        )
        self.assertEqual((await self.ask()).status, 200)

    async def test_a_daemon_without_a_configuration_answers_with_503(self):
        # Guards against 401 or 404 from a daemon that has not yet read the configuration.
        self.store.mode = "busy"
        await self.start_relay()
        reply = await self.ask(Deadline_Ms="200")
        self.assertEqual(reply.status, 503)
        self.assertIn("retry-after", reply.headers)


class Limits(RelayCase):
    async def raw(self, data):
        client = await self.client()
        client.writer.write(data)
        return await client.read_until_closed()

    async def test_a_body_counts_with_its_copies(self):
        # Guards against a memory budget for bodies that their copies for the servers exceed.
        server = Replica()
        server.behaviour = "hold"
        await self.serve(server)
        task = asyncio.create_task(self.ask(method="POST", body=b"x" * 50_000))
        await self.until(lambda: server.requests)
        self.assertGreaterEqual(self.relays[0].state.body_budget.reserved, 2 * 50_000)
        server.released.set()
        self.assertEqual((await task).status, 200)
        self.assertEqual(self.relays[0].state.body_budget.reserved, 0)

    async def test_malformed_requests_get_a_clear_answer_and_the_daemon_goes_on(self):
        # Guards against request smuggling and against a daemon that crashes on malformed input.
        server = Replica()
        await self.serve(server)
        head = b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\n"
        cases = {
            b"\x16\x03\x01\x02\x00\r\n\r\n": b" 400 ",
            b"GET /a/x HTTP/1.1\r\nHost : h\r\n\r\n": b" 400 ",
            head + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab": b" 400 ",
            head + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": b" 400 ",
            head + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n": b" 501 ",
            head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n": b" 400 ",
            head + b"Content-Length: 200000\r\n\r\n": b" 413 ",
            head + b"X: " + b"y" * 9000 + b"\r\n\r\n": b" 431 ",
        }
        for data, expected in cases.items():
            with self.subTest(data=data[:60]):
                self.assertIn(expected, (await self.raw(data)).partition(b"\r\n")[0] + b" ")
        self.assertEqual(server.executions, [])
        self.assertEqual((await self.ask()).status, 200)

    async def test_a_head_without_the_required_headers_is_refused(self):
        # Guards against requests that servers could not distinguish.
        await self.serve(Replica())
        reply = await self.ask(attempt="")
        self.assertEqual(reply.status, 400)
        reply = await self.ask(Deadline_Ms="soon")
        self.assertEqual(reply.status, 400)

    async def test_a_slow_head_is_answered_and_closed(self):
        # Guards against connections that are kept open by incomplete heads.
        await self.serve(Replica())
        self.assertIn(b" 408 ", await self.raw(b"GET /a/x HTTP/1.1\r\nHos"))

    async def test_several_requests_on_one_connection_are_answered_in_order(self):
        # Guards against answers in the wrong order on a persistent connection.
        server = Replica()
        await self.serve(server)
        client = await self.client()
        for number in range(3):
            await client.send(attempt=f"id-{number}")
        for number in range(3):
            reply = await client.reply()
            self.assertEqual(reply.headers["attempt-id"], f"id-{number}")


BRIEF_STREAM = route(
    route_kind="streaming", service="llm", timeout_ms=39000, sticky_sessions=True, max_attempts=2
)


class Stops(RelayCase):
    async def test_a_drain_interrupts_no_request_and_answers_new_ones(self):
        # Guards against calls that are lost during the drain of a daemon.
        server = Replica()
        server.behaviour = "hold"
        await self.serve(server)
        kept, running = await self.client(), await self.client()
        await running.send()
        await self.until(lambda: server.executions)
        self.relays[0].stop()
        await kept.send(attempt="id-2")
        await self.until(lambda: len(server.executions) == 2)
        server.released.set()
        for client in (running, kept):
            reply = await client.reply()
            self.assertEqual((reply.status, reply.headers["connection"]), (200, "close"))
        async with asyncio.timeout(20):
            await self.relays[0].stopped.wait()

    async def test_a_call_that_may_not_finish_in_the_grace_is_refused_unless_it_may_be_repeated(
        self,
    ):
        # Guards against calls that are taken late in the grace and cut by the end of the process.
        server = Replica()
        routes = [
            route(timeout_ms=20000),
            route(
                name="o",
                prefix="/o/",
                route_kind="non_idempotent",
                timeout_ms=20000,
                max_attempts=1,
            ),
        ]
        await self.serve(server, routes=routes)
        self.relays[0].stop()
        once = await self.ask(method="POST", target="/o/x", body=b"pay", attempt="id-o")
        self.assertEqual((once.status, server.executions), (503, []))
        short = await self.ask(
            method="POST", target="/o/x", body=b"pay", attempt="id-s", Deadline_Ms="1000"
        )
        self.assertEqual((short.status, server.executions), (200, ["id-s"]))
        self.assertEqual((await self.ask(attempt="id-r")).status, 200)

    async def test_a_generation_is_taken_during_a_stop_only_if_its_longest_output_fits(self):
        # Guards against streams that are cut by the end of the process, since their output is
        # longer than their client expects. Found on halvorsen-quotes, all daemons stopped in turn.
        engine = Engine(events=2)
        stream = route(
            route_kind="streaming", service="llm", timeout_ms=39000, sticky_sessions=True
        )
        await self.serve(engine, routes=[{**stream, "max_attempts": 1}])
        self.relays[0].stop()
        statuses = [
            (
                await self.ask(attempt=f"id-{limit}", Token_Usage=f"30,{limit}", Length_Hint="20")
            ).status
            for limit in (2000, 100)
        ]
        self.assertEqual((statuses, engine.executions), ([503, 200], ["id-100"]))

    async def test_a_short_length_hint_does_not_get_a_stream_accepted_during_a_stop(self):
        # Guards against streams that are cut by the end of the process, since the output of a
        # route whose streams may be resumed counted as long as the client's estimate. review/8.
        engine = Engine(events=2)
        stream = route(
            route_kind="streaming", service="llm", timeout_ms=39000, sticky_sessions=True
        )
        await self.serve(engine, routes=[{**stream, "stream_resume": True}])
        self.relays[0].stop()
        statuses = [
            (await self.ask(attempt=f"id-{name}", **fields)).status
            for name, fields in {
                "long": {"Token_Usage": "30,2000", "Length_Hint": "20"},
                "unknown": {},  # nothing is said of the output
                "short": {"Token_Usage": "30,100", "Length_Hint": "20"},
            }.items()
        ]
        self.assertEqual((statuses, engine.executions), ([503, 503, 200], ["id-short"]))

    async def test_a_stream_that_an_engine_refused_is_not_sent_again_late_in_a_stop(self):
        # Guards against streams that full engines refused: they were sent again, late in the grace
        # period, and cut by the end of the process. review/10.
        engines = [Engine("i-1"), Engine("i-2")]
        await self.serve(*engines, routes=[BRIEF_STREAM])
        relay = self.relays[0]
        for engine in engines:
            engine.behaviour = "shed"
            engine.on_refusal = lambda: setattr(
                relay.state.lifecycle, "_leaving_at", relay._loop.time() - 6.0
            )
        relay.stop()
        reply = await self.ask(Token_Usage="30,100")
        self.assertEqual((reply.status, reply.headers["retry-after"]), (503, "0.000"))
        self.assertEqual(sum(len(engine.requests) for engine in engines), 1)

    async def test_a_waiting_stream_that_a_stop_would_cut_is_refused_at_once(self):
        # Guards against clients that learn seconds after the start of a stop that they have to
        # use another address.
        engine = Engine()
        engine.behaviour = "hold"
        await self.serve(engine, routes=[BRIEF_STREAM], services=[engine_service(slots=1)])
        running = await self.client()
        await running.send(attempt="id-r", Token_Usage="30,2000")
        await self.until(lambda: engine.executions)
        waiting = await self.client()
        await waiting.send(attempt="id-w", Token_Usage="30,2000")
        relay = self.relays[0]
        await self.until(lambda: len(relay.state.admission_queue))
        began = relay._loop.time()
        relay.stop()
        self.assertEqual((await waiting.reply()).status, 503)
        self.assertLess(relay._loop.time() - began, 1.0)
        engine.released.set()
        self.assertTrue((await running.reply()).complete)

    async def test_a_stream_that_begins_too_late_in_a_stop_is_answered_before_it_is_cut(self):
        # Guards against streams that wait in an engine's own queue, begin late in the grace period
        # and are cut by the end of the process. review/10.
        engine = Engine(events=2)
        engine.behaviour = "hang"
        await self.serve(engine, routes=[BRIEF_STREAM])
        relay = self.relays[0]
        relay.stop()
        relay.state.lifecycle._leaving_at -= 3.1
        began = relay._loop.time()
        reply = await self.ask(Token_Usage="30,50")  # takes 2.25 s at most, once it has begun
        self.assertEqual(reply.status, 502)
        # 0.8 * 8 s of the grace period are for requests.
        self.assertLess(relay._loop.time() - began, 6.4 - 3.1 - 2.25 + 0.5)
        self.assertEqual(engine.executions, ["id-1"])

    async def test_a_generation_is_refused_during_a_stop_if_it_is_too_slow_to_end(self):
        # Guards against streams that are cut by the end of the process, since their engine is
        # slower than a fixed time for a token: 250 tokens at 20 ms take 5 s.
        engine = Engine(events=2)
        stream = route(
            route_kind="streaming", service="llm", timeout_ms=39000, sticky_sessions=True
        )
        await self.serve(engine, routes=[{**stream, "max_attempts": 1}])
        state = self.relays[0].state
        self.relays[0].stop()
        state.lifecycle._leaving_at -= 3.1
        fields = {"Token_Usage": "1000,250"}
        unknown = await self.ask(attempt="id-unknown", **fields)
        state.token_pace.on_events("llm", 50, 0.007, state.clock())
        fast = await self.ask(attempt="id-fast", **fields)
        state.token_pace.on_events("llm", 50, 0.020, state.clock())
        slow = await self.ask(attempt="id-slow", **fields)
        self.assertEqual((unknown.status, fast.status, slow.status), (503, 200, 503))
        self.assertEqual(engine.executions, ["id-fast"])

    async def test_what_runs_at_the_end_of_the_grace_is_answered(self):
        # Guards against a connection that ends without an answer when the process is killed.
        server = Replica()
        server.behaviour = "hang"
        await self.serve(server, routes=[route(timeout_ms=60000, max_attempts=1)])
        relay = self.relays[0]
        before, during = await self.client(), await self.client()
        await before.send(attempt="id-b")
        await self.until(lambda: server.executions)
        began = relay._loop.time()
        relay.stop()
        await during.send(attempt="id-d")
        for client in (before, during):
            reply = await client.reply()
            self.assertIn(reply.status, (502, 504))
        self.assertLess(relay._loop.time() - began, relay.cfg.bounds.grace_s)
        async with asyncio.timeout(5):
            await relay.stopped.wait()

    async def test_a_daemon_ends_a_tick_after_its_listener(self):
        # Guards against cutting off a connection that was accepted in the loop iteration in which
        # the listener closes: it is registered one iteration later.
        await self.serve(Replica())
        relay = self.relays[0]
        relay.stop()
        late = relay._loop.time() + relay.cfg.bounds.grace_s
        relay._check_stopped(late)
        self.assertFalse(relay.stopped.is_set())
        relay._check_stopped(late)
        self.assertTrue(relay.stopped.is_set())


if __name__ == "__main__":
    unittest.main()
