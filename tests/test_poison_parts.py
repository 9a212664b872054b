"""Parts of prompts that crash engines, through daemons, engines and a store on loopback."""

import asyncio
import json

from standins.replica import Engine

from lovageway.codes import Code
from lovageway.forwarding.crashrecord import MIN_CRASHES, TRIAL_DELAY_S
from lovageway.forwarding.poisonspread import STALE_READ_S, SUSPECTS_TABLE
from lovageway.forwarding.traits import part_traits
from tests.relayworld import RelayCase, engine_service, route

STREAM = route(
    route_kind="streaming", service="llm", timeout_ms=20000, sticky_sessions=True, max_attempts=1
)
FIRST, CALLER, CRASHING = "f1", "c1", "bad"
ENGINES = 3
# The rule of the platform's users: after five crashes, at most three more requests reach engines.
MAX_CRASHES = 5
INTERVAL_S = 0.3  # between requests with the part: the rule leaves daemons 3 s to hear of crashes


class PromptParts(RelayCase):
    daemons = 3

    async def start_fleet(self, crash_after_events=0, zones=("z1", "z2", "z3"), **fields):
        hosts = (f"127.0.0.{number + 1}" for number in range(ENGINES))
        names = (f"i-{number}" for number in range(ENGINES))
        self.engines = [Engine(*place) for place in zip(names, hosts, zones, strict=False)]
        for engine in self.engines:
            engine.crashing_parts = {CRASHING}
            engine.crash_after_events = crash_after_events
        self.sent = 0
        await self.serve(*self.engines, routes=[{**STREAM, **fields}])
        for relay in self.relays:
            state = relay.state
            await self.until(lambda state=state: state.members.count(state.clock()) == self.daemons)

    async def ask_with(self, *parts, output=20):
        """Send a request that differs from all others in its body and its last part."""
        self.sent += 1
        attempt = f"id-{self.sent}"
        prefix = ",".join(f"{part}:100" for part in (*parts, f"own{self.sent}"))
        return await self.ask(
            self.sent % self.daemons,
            method="POST",
            body=attempt.encode(),
            attempt=attempt,
            Prompt_Prefix=prefix,
            Token_Usage=f"300,{output}",
            Model="m",
        )

    async def restart_crashed(self):
        for engine in self.engines:
            if not engine._server.is_serving():
                await engine.restart()
                self.store.put("servers", engine.name, engine.entry())
                for relay in self.relays:
                    await self.until(
                        lambda state=relay.state, engine=engine: state.replicas.get(
                            engine.name
                        ).replica.started_at_ms
                        == engine.started_at_ms
                    )

    async def make_suspect(self):
        """Let as many requests with the part crash engines as it takes to hold it back."""
        for _ in range(MIN_CRASHES):
            await self.ask_with(FIRST, CALLER, CRASHING)
            await self.restart_crashed()
            await asyncio.sleep(INTERVAL_S)

    def stored_marks(self):
        rows = self.store.rows.items()
        return [key for (table, key), (_, value) in rows if table == SUSPECTS_TABLE and value]

    def crashes(self):
        return sum(len(engine.crashes) for engine in self.engines)

    async def test_requests_with_a_part_that_crashes_engines_stop_reaching_them(self):
        # Guards against one prompt part that crashes engine after engine, in requests that are all
        # different and come through all daemons.
        await self.start_fleet()
        await self.assert_held_back()

    async def test_a_part_that_crashes_engines_after_their_first_event_is_held_back(self):
        # Guards against a part whose first event counts as proof that it is sound, so that it
        # crashes engines for ever. review/7.
        await self.start_fleet(crash_after_events=1)
        await self.assert_held_back()

    async def test_a_part_that_crashes_engines_after_some_events_is_held_back(self):
        # Guards against the same one some events later.
        await self.start_fleet(crash_after_events=4)
        await self.assert_held_back()

    async def test_a_part_is_held_back_whose_cut_off_answers_look_whole(self):
        # Guards against a part that crashes engines whose answers have neither a length nor chunks:
        # the end of a process closes its connections as the end of an answer does. See review/7.
        await self.start_fleet(crash_after_events=1)
        for engine in self.engines:
            engine.behaviour = "unframed"
        await self.assert_held_back()

    async def assert_held_back(self):
        for _ in range(12):
            reply = await self.ask_with(FIRST, CALLER, CRASHING)
            await self.restart_crashed()
            sound = await self.ask_with(FIRST, CALLER)
            self.assertEqual(sound.status, 200)
            await asyncio.sleep(INTERVAL_S)
        self.assertLessEqual(self.crashes(), MAX_CRASHES)
        error = json.loads(reply.body)["error"]
        self.assertEqual((reply.status, error["ran"]), (503, "no"))
        self.assertNotIn("retry-after", reply.headers)

    async def test_a_daemon_does_not_send_a_request_again_after_a_second_crash(self):
        # Guards against daemons that multiply the crashes by sending such requests to one engine
        # after another, on routes that allow it.
        await self.start_fleet(stream_resume=True, max_attempts=5)
        self.engines[0].crashing_parts = self.engines[1].crashing_parts = {CRASHING}
        reply = await self.ask_with(FIRST, CALLER, CRASHING)
        self.assertEqual(reply.status, 502)
        self.assertEqual(self.crashes(), 2)

    async def test_streams_on_engines_that_are_killed_are_not_held_back(self):
        # Guards against sound streams that are held back since the engines that ran them, with many
        # others that share their parts, were killed one after another or all at once.
        await self.start_fleet()
        for engine in self.engines:
            engine.events, engine.event_interval_s = 30, 0.02
        running = []

        async def send_for(seconds):
            for _ in range(round(seconds / 0.05)):
                running.append(asyncio.create_task(self.ask_with(FIRST, CALLER)))
                await asyncio.sleep(0.05)

        await send_for(0.6)
        for number in range(16):
            fullest = self.engines[number % ENGINES]
            for engine in self.engines if number % 8 == 7 else [fullest]:
                engine.crash()
            await send_for(0.2)
            await self.restart_crashed()
            await send_for(0.2)
        replies = await asyncio.gather(*running, return_exceptions=True)
        self.assertEqual([relay.log.of("held_back") for relay in self.relays], [[]] * self.daemons)
        cut = sum(isinstance(reply, Exception) or not reply.complete for reply in replies)
        self.assertGreater(cut, 10)
        later = [await self.ask_with(FIRST, CALLER) for _ in range(self.daemons)]
        self.assertTrue(all(reply.complete and reply.status == 200 for reply in later))

    async def test_a_generation_that_crashed_two_engines_does_not_go_on_from_its_checkpoint(self):
        # Guards against a generation that crashes, with one request, each engine that has the
        # checkpoint of the engine before.
        await self.start_fleet(crash_after_events=2, zones=("z1", "z1", "z1"))
        for engine in self.engines:
            engine.events, engine.event_interval_s = 100, 0.05
        reply = await self.ask_with(FIRST, CALLER, CRASHING, output=3000)
        self.assertFalse(reply.complete)
        self.assertLessEqual(self.crashes(), 2)

    async def test_a_repaired_part_returns_to_service_at_every_daemon(self):
        # Guards against a part that stays held back after the engines were repaired: one request
        # tries it, and its answer counts for all daemons.
        await self.start_fleet()
        await self.make_suspect()
        for _ in range(self.daemons):
            reply = await self.ask_with(FIRST, CALLER, CRASHING)
            self.assertEqual(json.loads(reply.body)["error"]["code"], Code.PROMPT_HELD)
        for engine in self.engines:
            engine.crashing_parts = set()
        for relay in self.relays:
            for record in relay.state.poison._records.values():
                record.crashes = {s: at - TRIAL_DELAY_S for s, at in record.crashes.items()}
        replies = [await self.ask_with(FIRST, CALLER, CRASHING) for _ in range(self.daemons)]
        self.assertEqual(sorted(reply.status for reply in replies)[0], 200)
        await self.until(lambda: not any(r.state.poison.held(0.0) for r in self.relays))
        self.assertEqual((await self.ask_with(FIRST, CALLER, CRASHING)).status, 200)

    async def test_a_part_stays_held_back_after_all_daemons_were_killed(self):
        # Guards against crashes that begin again when no daemon remembers them.
        await self.start_fleet()
        await self.make_suspect()
        await self.until(self.stored_marks)
        for relay in self.relays:
            await relay.close()
        self.relays = []
        for number in range(self.daemons):
            relay = await self.start_relay(number)
            await self.until(lambda relay=relay: relay.state.configured.is_set())
            await self.until(lambda relay=relay: relay.state.poison.held(0.0))
        for _ in range(self.daemons):
            self.assertEqual((await self.ask_with(FIRST, CALLER, CRASHING)).status, 503)
        self.assertEqual(self.crashes(), MIN_CRASHES)

    async def test_a_removed_row_releases_a_part(self):
        # Guards against operators who cannot return a part to service.
        await self.start_fleet()
        await self.make_suspect()
        await self.until(lambda: len(self.stored_marks()) == 3)  # all parts are suspects
        spread = self.relays[0]._peers._poison_spread
        await self.until(lambda: len(spread._state.poison.stored_for(0.0, 1e9)) == 3)
        released = part_traits("llm", [CRASHING])[0].mark.hex()
        self.store.put(SUSPECTS_TABLE, released, None)
        await spread.read_store()
        self.assertTrue(self.relays[0].state.poison.held(0.0))  # the answer may be old
        for mark in spread._state.poison.stored_for(0.0, 1e9):
            spread._state.poison.set_stored(mark, spread._state.clock() - STALE_READ_S)
        await spread.read_store()
        await self.until(lambda: not any(r.state.poison.held(0.0) for r in self.relays))
        await self.until(lambda: not self.stored_marks())

    async def test_a_part_that_the_store_lost_is_not_released_and_is_stored_again(self):
        # Guards against crashes that begin again since a row that the store lost by its return from
        # a copy looks like one that an operator removed.
        await self.start_fleet()
        copied = self.store.copy()
        await self.make_suspect()
        await self.until(lambda: len(self.stored_marks()) == 3)
        spreads = [relay._peers._poison_spread for relay in self.relays]
        for spread in spreads:
            await self.until(lambda state=spread._state: len(state.poison.stored_for(0, 1e9)) == 3)
            await spread.read_store()
        self.store.restore(copied)
        for spread in spreads:
            for _ in range(2):
                for mark in spread._state.poison.stored_for(0.0, 1e9):
                    spread._state.poison.set_stored(mark, spread._state.clock() - STALE_READ_S)
                await spread.read_store()
            self.assertTrue(spread._state.poison.held(0.0))
        await self.until(lambda: len(self.stored_marks()) == 3)

    async def test_a_released_part_does_not_come_back_with_a_copy(self):
        # Guards against a release that a return of the store from a copy undoes at daemons that
        # start later.
        await self.start_fleet()
        await self.make_suspect()
        await self.until(lambda: len(self.stored_marks()) == 3)
        spread = self.relays[0]._peers._poison_spread
        await spread.read_store()
        copied, poison = self.store.copy(), spread._state.poison
        for mark in poison.stored_for(0.0, 1e9):
            poison.release(mark, spread._state.clock())
        await self.until(lambda: not self.stored_marks())
        await self.until(lambda: not any(r.state.poison.held(0.0) for r in self.relays))
        self.store.restore(copied)
        self.assertTrue(self.stored_marks())
        for relay in self.relays:
            await relay._peers._poison_spread.read_store()
        await self.until(lambda: not self.stored_marks())

    async def test_a_waiting_request_is_refused_when_its_part_becomes_a_suspect(self):
        # Guards against a request that waits in the queue although it is known not to be served.
        engine = Engine("i-1", "127.0.0.1")
        engine.behaviour = "hold"
        self.daemons = 1
        self.hosts = self.hosts[:1]
        services = [engine_service(slots=1)]
        await self.serve(engine, routes=[STREAM], services=services)
        state = self.relays[0].state
        self.sent = 0
        traits = part_traits("llm", [CRASHING])
        running = asyncio.create_task(self.ask_with(FIRST))
        await self.until(lambda: engine.executions)
        state.choose = lambda work, regions: None
        waiting = asyncio.create_task(self.ask_with(FIRST, CRASHING))
        await self.until(lambda: len(state.admission_queue))
        now = state.clock()
        for number in range(MIN_CRASHES):
            state.poison.on_crash(traits, bytes([number]), now - number)
        reply = await asyncio.wait_for(waiting, 2.0)
        self.assertEqual(json.loads(reply.body)["error"]["code"], Code.PROMPT_HELD)
        engine.released.set()
        await running
