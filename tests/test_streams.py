"""Streams through a forwarding daemon: order, disconnects, migrations and checkpoints."""

import asyncio
import re
from math import isfinite
from unittest import mock

from standins.replica import Engine

from lovageway.forwarding import streamproof
from lovageway.forwarding.migration import LeavingRun
from lovageway.forwarding.streams import HANDOVER_WAIT_S
from tests.relayworld import BOUNDS, RelayCase, engine_service, route

STREAM = route(
    route_kind="streaming", service="llm", timeout_ms=20000, sticky_sessions=True, max_attempts=1
)
RESUMABLE = {**STREAM, "stream_resume": True, "max_attempts": 2}
NO_COPIES = [engine_service(backups=False)]
LONG = {"Token_Usage": "100,2000", "Length_Hint": "2000", "Model": "m"}
SHORT = {"Token_Usage": "100,20", "Length_Hint": "16", "Model": "m"}


def ids(body):
    return [int(found) for found in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)]


async def leave_while_running(case, engine, other):
    """Let `engine` leave while it runs a long generation and `other` starts; return the reply."""
    client = await case.client()
    await client.send(method="POST", body=b"p", **LONG)
    await case.until(lambda: engine.generated_events.get("id-1", 0) > 3)
    await case.start_server(other)
    case.store.put("servers", engine.name, engine.entry(state="draining"))
    return await client.reply()


class Streams(RelayCase):
    async def test_events_arrive_once_and_in_order_until_the_end(self):
        # Guards against missing or duplicated events, and against an end that is not forwarded.
        engine = Engine(events=20)
        await self.serve(engine, routes=[STREAM])
        reply = await self.ask(method="POST", body=b"p", **SHORT)
        self.assertTrue(reply.complete)
        self.assertEqual(ids(reply.body), list(range(1, 21)))

    async def test_a_broken_stream_never_looks_complete(self):
        # Guards against a truncated generation that a caller accepts as complete.
        engine, other = Engine("i-1"), Engine("i-2", zone="z2")
        engine.reset_after_events = 2
        await self.serve(engine, other, routes=[STREAM])
        reply = await self.ask(method="POST", body=b"p", **SHORT)
        self.assertFalse(reply.complete)
        self.assertEqual(ids(reply.body), [1, 2])
        self.assertEqual(other.executions, [])

    async def test_a_resumable_stream_goes_on_at_another_engine(self):
        # Guards against duplicated events and partial events from the broken engine.
        engine, other = Engine("i-1"), Engine("i-2", zone="z2")
        engine.reset_after_events = 2
        await self.serve(engine, other, routes=[RESUMABLE])
        reply = await self.ask(method="POST", body=b"p", **SHORT)
        self.assertTrue(reply.complete)
        self.assertEqual(ids(reply.body), [1, 2, 3, 4, 5])
        self.assertEqual(other.requests[0].headers["last-event-id"], "2")

    async def test_events_that_a_resumed_stream_repeats_are_dropped(self):
        # Guards against tokens that are delivered to the caller twice.
        engine, other = Engine("i-1"), Engine("i-2", zone="z2")
        engine.reset_after_events, other.replayed_events = 3, 2
        await self.serve(engine, other, routes=[RESUMABLE])
        reply = await self.ask(method="POST", body=b"p", **SHORT)
        self.assertEqual(ids(reply.body), [1, 2, 3, 4, 5])

    async def test_an_engine_that_ran_nothing_is_replaced(self):
        # Guards against a refusal although another engine has capacity.
        engine, other = Engine("i-1"), Engine("i-2", zone="z2")
        engine.behaviour = "shed"
        await self.serve(engine, other, routes=[STREAM])
        reply = await self.ask(method="POST", body=b"p", **SHORT)
        self.assertTrue(reply.complete)

    async def test_a_generation_that_broke_before_its_first_event_is_not_run_again(self):
        # Guards against a second run of a generation that may already have run.
        engine, other = Engine("i-1"), Engine("i-2", zone="z2")
        engine.behaviour = "reset"
        await self.serve(engine, other, routes=[STREAM])
        reply = await self.ask(method="POST", body=b"p", **SHORT)
        self.assertEqual((reply.status, other.executions), (502, []))

    async def test_a_leaving_engines_generation_is_migrated_without_a_gap(self):
        # Guards against generations that are lost with their engine.
        engine, other = Engine("i-1", events=60, event_interval_s=0.01), Engine("i-2", events=60)
        await self.serve(engine, routes=[STREAM], services=NO_COPIES)
        reply = await leave_while_running(self, engine, other)
        self.assertTrue(reply.complete)
        self.assertEqual(ids(reply.body), list(range(1, 61)))
        self.assertEqual([bool(move.get("last")) for move in engine.migrations], [False, True])
        source = other.requests[-1].headers["kv-from"]
        self.assertEqual(source, f"{engine.address}/h-id-1")

    async def test_a_migrated_stream_without_framing_does_not_end_where_its_source_stopped(self):
        # Guards against a truncated generation that looks complete: the source stops at this
        # daemon's request and closes the connection, as at the end of a stream without framing.
        reply, other = await self._migrate_unframed(migration_s=0.2)
        self.assertTrue(reply.complete)
        self.assertEqual(ids(reply.body), list(range(1, 61)))
        self.assertEqual(len(other.continuations), 1)

    async def test_a_stream_without_framing_that_ended_before_its_stop_is_complete(self):
        # Guards against a whole generation that is broken off because the request to stop it
        # arrived after its end.
        reply, other = await self._migrate_unframed(migration_s=0.05, stop_outcome="ended")
        self.assertTrue(reply.complete)
        self.assertEqual(other.continuations, [])

    async def test_a_stopped_stream_without_framing_is_broken_off_if_its_copy_is_unknown(self):
        # Guards against a truncated generation that looks complete because the request to stop it
        # got no answer.
        reply, _ = await self._migrate_unframed(stop_outcome="lost")
        self.assertFalse(reply.complete)
        self.assertEqual(ids(reply.body), list(range(1, len(ids(reply.body)) + 1)))

    async def _migrate_unframed(self, migration_s=0.0, stop_outcome=""):
        """Let the engine of a stream without framing leave; return the reply and the other engine.

        See `Engine` for the parameters.
        """
        engine = Engine("i-1", events=60, event_interval_s=0.01)
        other = Engine("i-2", events=60, event_interval_s=0.01)
        engine.behaviour = other.behaviour = "unframed"
        engine.migration_s, engine.stop_outcome = migration_s, stop_outcome
        await self.serve(engine, routes=[STREAM], services=NO_COPIES)
        return await leave_while_running(self, engine, other), other

    async def test_a_refused_migration_leaves_the_generation_running(self):
        # Guards against a failed migration that ends a generation which could have continued.
        engine, other = Engine("i-1", events=60, event_interval_s=0.01), Engine("i-2", events=60)
        engine.migration_status = 503
        await self.serve(engine, other, routes=[STREAM], services=NO_COPIES)
        client = await self.client()
        await client.send(method="POST", body=b"p", **LONG)
        await self.until(
            lambda: engine.generated_events.get("id-1") or other.generated_events.get("id-1")
        )
        used = engine if engine.generated_events else other
        used.migration_status = 503
        self.store.put("servers", used.name, used.entry(state="draining"))
        reply = await client.reply()
        self.assertTrue(reply.complete)
        self.assertEqual(ids(reply.body), list(range(1, 61)))

    async def test_a_long_generation_continues_from_its_checkpoint_after_a_crash(self):
        # Guards against long generations that are lost with an engine that crashes.
        first = Engine("i-1", events=60, event_interval_s=0.01)
        second = Engine("i-2", events=60, event_interval_s=0.01)
        first.reset_after_events = second.reset_after_events = 30
        await self.serve(first, second, routes=[STREAM])
        reply = await self.ask(method="POST", body=b"p", **LONG)
        self.assertTrue(reply.complete)
        self.assertEqual(ids(reply.body), list(range(1, 61)))
        self.assertEqual(len(first.executions) + len(second.executions), 2)

    async def test_a_break_does_not_wait_for_a_migration_that_cannot_happen(self):
        # Guards against a pause of seconds before a generation continues from its checkpoint,
        # because the daemon first waits for a migration that waits for its turn or its source.
        first = Engine("i-1", events=20, event_interval_s=0.01)
        second = Engine("i-2", events=20, event_interval_s=0.01)
        await self.serve(first, second, routes=[STREAM])
        client = await self.client()
        await client.send(method="POST", body=b"p", **LONG)
        await self.until(
            lambda: "id-1" in first.generated_events or "id-1" in second.generated_events
        )
        used = first if first.generated_events else second
        state = self.relays[0].state
        state.migration_schedule.on_runs(
            used.name, [LeavingRun("before", 9000, 10**9)], state.clock()
        )
        self.store.put("servers", used.name, used.entry(state="draining"))
        await self.until(lambda: state.replicas.get(used.name).leaving)
        used.reset_after_events = 5
        began = state.clock()
        reply = await client.reply()
        self.assertLess(state.clock() - began, HANDOVER_WAIT_S)
        self.assertTrue(reply.complete)
        self.assertEqual(ids(reply.body), list(range(1, 21)))
        self.assertEqual(used.migrations, [])

    async def test_a_generation_does_not_continue_in_an_evacuated_zone(self):
        # Guards against work in an evacuated zone, where its checkpoint was made before the
        # evacuation. Found by a randomized run: jarback-llm, scale-1, seed 223075277586, rule EVAC.
        first = Engine("i-1", events=60, event_interval_s=0.02)
        second = Engine("i-2", zone="z2", events=60, event_interval_s=0.02)
        await self.serve(first, second, routes=[STREAM])
        client = await self.client()
        await client.send(method="POST", body=b"p", **LONG)
        await self.until(
            lambda: "id-1" in first.generated_events or "id-1" in second.generated_events
        )
        used, copy = (first, second) if first.generated_events else (second, first)
        self.store.put("op", f"evacuate/{copy.zone}", {})
        row = f"evacuate/{copy.zone}"
        await self.until(lambda: self.relays[0].state.mirror.get("op", row) is not None)
        used.reset_after_events = 3
        reply = await client.reply()
        self.assertFalse(reply.complete)
        self.assertEqual(copy.requests, [])

    async def test_a_missing_checkpoint_ends_the_stream_without_a_second_run(self):
        # Guards against a new generation whose events are appended to those of another one.
        first, second = Engine("i-1"), Engine("i-2")
        first.reset_after_events = second.reset_after_events = 2
        await self.serve(first, second, routes=[STREAM])
        for engine in (first, second):
            engine.kv_caches = _DiscardingDict()
        reply = await self.ask(method="POST", body=b"p", **LONG)
        self.assertFalse(reply.complete)
        self.assertEqual(ids(reply.body), [1, 2])


class TimeUsedUp(RelayCase):
    """Guards against streams that are still open, or sent again, when their time is used up."""

    TIMEOUT_S = 1.0
    BRIEF = {**STREAM, "timeout_ms": 1000}

    async def timed_ask(self, **fields):
        """Return the reply to a long generation, and how long it took in seconds."""
        began = asyncio.get_running_loop().time()
        reply = await self.ask(method="POST", body=b"p", **LONG, **fields)
        return reply, asyncio.get_running_loop().time() - began

    async def assert_ends_once(self, route_fields, **fields):
        engines = [Engine(f"i-{n}", events=2000, event_interval_s=0.01) for n in (1, 2)]
        await self.serve(*engines, routes=[route_fields])
        reply, seconds = await self.timed_ask(**fields)
        self.assertFalse(reply.complete)
        self.assertLess(seconds, self.TIMEOUT_S + 0.5)
        self.assertGreater(seconds, self.TIMEOUT_S - 0.2)
        await asyncio.sleep(0.1)
        self.assertEqual(sum(len(engine.requests) for engine in engines), 1)
        self.assertEqual([engine.disconnects for engine in engines], [[], []])
        failures = [e.failures(0.0) for e in self.relays[0].state.replicas.all()]
        self.assertEqual(failures, [0.0, 0.0])

    async def test_a_stream_with_a_checkpoint_ends_at_the_time_out_of_its_route(self):
        # Guards against an endless loop of sends to the engines that keep a checkpoint.
        await self.assert_ends_once(self.BRIEF)

    async def test_a_stream_with_a_checkpoint_ends_at_the_deadline_of_its_client(self):
        # Guards against the same loop in the last moments before a client's deadline.
        await self.assert_ends_once(STREAM, Deadline_Ms="1000")

    async def test_a_resumable_stream_is_not_sent_again_when_its_time_is_used_up(self):
        # Guards against a second run that has no time left.
        await self.assert_ends_once({**RESUMABLE, "timeout_ms": 1000})

    async def test_a_stream_whose_events_are_always_ready_ends_at_its_time_out(self):
        # Guards against a time-out that only a pause of the engine lets expire.
        engine = Engine(events=10**6)
        await self.serve(engine, routes=[self.BRIEF], services=NO_COPIES)
        reply, seconds = await self.timed_ask()
        self.assertFalse(reply.complete)
        self.assertLess(seconds, self.TIMEOUT_S + 0.5)

    async def test_a_stream_to_a_client_that_does_not_read_ends_at_its_time_out(self):
        # Guards against a stream that stays open, and its engine at work, while its client's
        # buffers are full.
        engine = Engine(events=10**6)
        engine.event = lambda attempt, number: b"id: %d\ndata: %b\n\n" % (number, b"x" * 20000)
        await self.serve(engine, routes=[self.BRIEF], services=NO_COPIES)
        client = await self.client()
        client.writer.transport.pause_reading()
        await client.send(method="POST", body=b"p", **LONG)
        state = self.relays[0].state
        await self.until(lambda: state.streams)
        began = state.clock()
        await self.until(lambda: not state.streams)
        self.assertLess(state.clock() - began, self.TIMEOUT_S + 0.5)

    async def test_a_migration_that_ends_after_the_time_out_is_not_used(self):
        # Guards against a generation that goes on elsewhere after its time is used up, and against
        # a copy that then occupies memory.
        engine = Engine("i-1", events=2000, event_interval_s=0.01)
        other = Engine("i-2", events=2000, event_interval_s=0.01)
        await self.serve(engine, routes=[self.BRIEF], services=NO_COPIES)
        client = await self.client()
        await client.send(method="POST", body=b"p", **LONG)
        await self.until(lambda: engine.generated_events.get("id-1", 0) > 3)
        engine.migration_s = 0.7
        await self.start_server(other)
        began = asyncio.get_running_loop().time()
        self.store.put("servers", "i-1", engine.entry(state="draining"))
        reply = await client.reply()
        self.assertFalse(reply.complete)
        self.assertLess(asyncio.get_running_loop().time() - began, self.TIMEOUT_S + 0.5)
        self.assertEqual(other.requests, [])


class BudgetOfSends(RelayCase):
    """Guards against arrivals beyond the first of each request that nothing bounds."""

    async def test_continuations_from_checkpoints_stay_within_the_retry_budget(self):
        # Guards against engines that break off what they run and get all of it again from copies,
        # beside the budget: the operator bounds all arrivals, whatever they are for.
        # One event is proof here that a request crashes no engine, so only the budget ends them.
        for name in ("PROOF_S", "PROOF_EVENTS"):
            self.enterContext(mock.patch.object(streamproof, name, 0))
        engines = [Engine(f"i-{n}", events=60, event_interval_s=0.005) for n in (1, 2)]
        for engine in engines:
            engine.reset_after_events = 1
        await self.serve(*engines, routes=[STREAM])
        asks = [self.ask(method="POST", body=b"p", attempt=f"id-{n}", **LONG) for n in range(4)]
        replies = await asyncio.gather(*asks)
        arrivals = sum(len(engine.requests) for engine in engines)
        self.assertLessEqual(arrivals - 4, 0.2 * 4 + BOUNDS.retry_extra)
        self.assertGreater(arrivals - 4, 10)
        self.assertEqual([reply.complete for reply in replies], [False] * 4)
        why = {line["why"] for line in self.relays[0].log.of("not_sent_again")}
        self.assertEqual(why, {"no_budget"})

    async def test_a_generation_is_not_stopped_for_a_migration_that_the_budget_forbids(self):
        # Guards against a generation that is stopped at its source and may then not go on.
        engine = Engine("i-1", events=60, event_interval_s=0.01)
        other = Engine("i-2", events=60, event_interval_s=0.01)
        await self.serve(engine, routes=[STREAM], services=NO_COPIES)
        state = self.relays[0].state
        while state.budget("llm").take(1, state.clock()):
            pass
        reply = await leave_while_running(self, engine, other)
        self.assertTrue(reply.complete)
        self.assertEqual((engine.migrations, other.requests), ([], []))

    async def test_a_daemon_knows_that_it_was_restarted(self):
        # Guards against a bound that starts anew with each process: the earlier one may have used
        # its part of the budget in the same window.
        server = Engine()
        await self.serve(server, routes=[STREAM])
        service = self.relays[0].state.routes.cfg.services["llm"]
        await self.until(lambda: not self.relays[0].state.sharing(service).restarted)
        await self.relays[0].close()
        again = await self.start_relay()
        await self.until(lambda: again.state.configured.is_set())
        state = again.state
        await self.until(lambda: isfinite(state.members.count_sharers(state.clock())))
        self.assertTrue(again.state.sharing(service).restarted)


class _DiscardingDict(dict):
    def __setitem__(self, key, value):
        pass


class MovesOfSeveralDaemons(RelayCase):
    daemons = 2

    async def test_two_daemons_take_turns_on_the_link_of_a_leaving_engine(self):
        # Guards against migrations that overlap, so that none completes before the engine is gone.
        engine = Engine("i-1", events=100, event_interval_s=0.01)
        other = Engine("i-2", events=100)
        await self.serve(
            engine,
            routes=[STREAM],
            services=NO_COPIES,
        )
        clients = [await self.client(number) for number in range(2)]
        for number, client in enumerate(clients):
            await client.send(method="POST", body=b"p", attempt=f"id-{number}", **LONG)
        await self.until(lambda: len(engine.generated_events) == 2)
        await self.until(
            lambda: all(len(r.state.members.alive(r.state.clock())) for r in self.relays)
        )
        await self.start_server(other)
        await self.until(lambda: all(r.state.replicas.get("i-2") for r in self.relays))
        self.store.put("servers", "i-1", engine.entry(state="draining"))
        for client in clients:
            reply = await client.reply()
            self.assertTrue(reply.complete)
            self.assertEqual(ids(reply.body), list(range(1, 101)))
        order = [move["id"] for move in engine.migrations]
        self.assertEqual(order, ["id-0", "id-0", "id-1", "id-1"])

    async def test_a_daemon_that_learns_late_of_a_leaving_engine_waits_for_the_link(self):
        # Guards against migrations that overlap because the second daemon receives the engine's
        # entry after the first one has started: its generation comes first in the common order.
        engine = Engine("i-1", events=150, event_interval_s=0.01)
        engine.migration_s = 0.1
        await self.serve(engine, routes=[STREAM], services=NO_COPIES)
        clients = [await self.client(number) for number in range(2)]
        for number, client in enumerate(clients):
            await client.send(method="POST", body=b"p", attempt=f"id-{1 - number}", **LONG)
        await self.until(lambda: len(engine.generated_events) == 2)
        await self.until(
            lambda: all(len(r.state.members.alive(r.state.clock())) for r in self.relays)
        )
        await self.start_server(Engine("i-2", events=150))
        await self.until(lambda: all(r.state.replicas.get("i-2") for r in self.relays))
        handler = self.relays[1]._peers._row_handler
        on_leaving = handler.on_server_leaving
        loop = asyncio.get_running_loop()
        handler.on_server_leaving = lambda change: loop.call_later(0.08, on_leaving, change)
        self.store.put("servers", "i-1", engine.entry(state="draining"))
        for client in clients:
            self.assertTrue((await client.reply()).complete)
        order = [move["id"] for move in engine.migrations]
        self.assertEqual(order, ["id-1", "id-1", "id-0", "id-0"])
