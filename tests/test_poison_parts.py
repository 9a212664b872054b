"""Parts of prompts that crash engines, through daemons, engines and a store on loopback."""

import asyncio
import json

from standins.replica import Engine

from tests.relayworld import RelayCase, route

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

    async def start_fleet(self, **fields):
        self.engines = [Engine(f"i-{n}", f"127.0.0.{n + 1}", f"z{n + 1}") for n in range(ENGINES)]
        for engine in self.engines:
            engine.crashing_parts = {CRASHING}
        self.sent = 0
        await self.serve(*self.engines, routes=[{**STREAM, **fields}])
        for relay in self.relays:
            state = relay.state
            await self.until(lambda state=state: state.members.count(state.clock()) == self.daemons)

    async def ask_with(self, *parts):
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
            Token_Usage="300,20",
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

    def crashes(self):
        return sum(len(engine.crashes) for engine in self.engines)

    async def test_requests_with_a_part_that_crashes_engines_stop_reaching_them(self):
        # Guards against one prompt part that crashes engine after engine, in requests that are all
        # different and come through all daemons.
        await self.start_fleet()
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
