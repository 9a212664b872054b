"""Tests of roll-outs with daemons on sockets, a store and servers of two versions."""

import asyncio
import json
import time
from uuid import uuid4

from standins.replica import Engine, Replica
from typer.testing import CliRunner

from lovageway.cli import app
from lovageway.forwarding.model import RolloutPhase
from tests.relayworld import BOUNDS, RelayCase, route
from tests.test_streams import STREAM

CALLS_PER_S = 60
WORK_S = 0.01  # of a request
DURATION_S = 12.0
ORDER = {"service": "svc", "to": "v2"}


def _never(server, request):
    return False


class Versioned(Replica):
    """A plain service with a version; a bad one fails the requests that `is_bad` picks."""

    work_s = WORK_S

    def __init__(self, name, version, is_bad):
        super().__init__(name)
        self.version = version
        self.is_bad = is_bad
        self.running = 0
        self.times = []

    async def run(self, request, attempt, writer):
        self.times.append(time.monotonic())
        self.running += 1
        self.behaviour = "fail" if self.is_bad(self, request) else "ok"
        try:
            await asyncio.sleep(self.work_s)
            return await super().run(request, attempt, writer)
        finally:
            self.running -= 1


class VersionedEngine(Engine):
    """A model engine with a version; a bad one fails each generation."""

    def __init__(self, name, version, is_bad):
        super().__init__(name, events=3)
        self.version = version
        self.is_bad = is_bad
        self.times = []

    async def run(self, request, attempt, writer):
        self.times.append(time.monotonic())
        self.behaviour = "fail" if self.is_bad(self, request) else "ok"
        return await super().run(request, attempt, writer)


class RolloutCase(RelayCase):
    daemons = 3
    kind, service = Versioned, "svc"
    fields = {}  # of the requests

    def settings(self, number):
        bounds = BOUNDS._replace(exposure_share=0.1, exposure_tolerance=50.0, rollback_s=5.0)
        return super().settings(number)._replace(bounds=bounds)

    async def start(self, is_bad=_never, routes=None):
        self.old = [self.kind(f"i-{n}", "v1", _never) for n in (1, 2, 3)]
        self.new = [self.kind(f"i-{n}", "v2", is_bad) for n in (4, 5, 6)]
        await self.serve(*self.old, routes=routes or [route()])
        self.has_two = routes is not None
        self.statuses = []
        self.calling = asyncio.create_task(self.call_forever())
        self.addAsyncCleanup(self.stop_calls)

    async def stop_calls(self):
        self.calling.cancel()
        await asyncio.gather(self.calling, return_exceptions=True)

    async def call_forever(self):
        tasks, number = set(), 0
        while True:
            number += 1
            relay = self.relays[number % len(self.relays)]
            if not relay.stopped.is_set():
                path = "/b/x" if self.has_two and number % 5 == 0 else "/a/x"
                tasks.add(asyncio.create_task(self.call(number % len(self.relays), path)))
            tasks = {task for task in tasks if not task.done()}
            await asyncio.sleep(1 / CALLS_PER_S)

    async def call(self, number, path):
        try:
            reply = await self.ask(number, target=path, attempt=str(uuid4()), **self.fields)
            status = reply.status
        except (OSError, EOFError):
            return
        self.statuses.append(status)

    async def order(self, to="v2", duration_s=DURATION_S, **fields):
        known = {**ORDER, "service": self.service, "to": to, "duration_s": duration_s}
        self.ordered_at = time.monotonic()
        self.store.put("op", f"rollout/{self.service}", {**known, **fields})
        for server in self.new:
            await self.start_server(server)

    def status(self):
        _, value = self.store.rows.get(("status", f"rollout/{self.service}"), (0, None))
        return json.loads(value) if value else {}

    async def ends(self, state):
        async with asyncio.timeout(3 * DURATION_S):
            while self.status().get("state") not in ("completed", "rolled_back"):
                await asyncio.sleep(0.02)
        self.ended_at = time.monotonic()
        if self.status()["state"] != state:
            self.fail([line for relay in self.relays for line in relay.log.of("rollout")])
        self.assertEqual((self.status()["state"], self.status()["to"]), (state, "v2"))

    def count(self, servers):
        return sum(len(server.executions) for server in servers)

    def check_exposure(self):
        new = sum(1 for s in self.new for at in s.times if at <= self.ended_at)
        total = new + self.count(self.old)
        self.assertGreater(new, 0)
        self.assertLessEqual(new, 0.1 * total + 50)

    def reasons(self):
        """Return the reasons that the daemons logged for the phases."""
        return [line["reason"] for relay in self.relays for line in relay.log.of("rollout")]

    def coordinator(self):
        leader = self.relays[0].state.members.leaders(
            "rollout/svc", 1, self.relays[0].state.clock()
        )[0]
        return next(r for r in self.relays if r.cfg.ip == leader)


class Ends(RolloutCase):
    async def test_a_good_version_is_completed_in_time(self):
        # Guards against an order that gets no status, and old servers that get requests after
        # the roll-out was completed.
        await self.start()
        await self.order()
        await self.ends("completed")
        self.assertLess(self.ended_at - self.ordered_at, DURATION_S)
        self.check_exposure()
        await asyncio.sleep(0.1)
        before = self.count(self.old)
        await asyncio.sleep(0.5)
        self.assertEqual(self.count(self.old), before)
        self.assertGreater(self.count(self.new), 10)

    async def check_bad(self, is_bad, routes=None):
        await self.start(is_bad, routes)
        await self.order()
        await self.ends("rolled_back")
        self.check_exposure()
        self.assertIn("bad answers", self.reasons())
        await asyncio.sleep(0.3)
        before = self.count(self.new)
        await asyncio.sleep(1.0)
        self.assertEqual(self.count(self.new), before)

    async def test_a_version_that_fails_at_once_is_rolled_back(self):
        # Guards against a bad version that gets its full share of the traffic.
        await self.check_bad(lambda server, request: len(server.times) % 2 == 0)

    async def test_a_version_that_fails_on_one_route_is_rolled_back(self):
        # Guards against a fault that the answers of the other routes hide.
        routes = [route(), route(name="b", prefix="/b/")]
        await self.check_bad(lambda server, request: request.path.startswith("/b/"), routes)

    async def test_a_version_that_fails_under_load_only_is_rolled_back(self):
        # Guards against a version that is completed because few requests at a time do it no harm.
        Versioned.work_s = 0.3
        self.addCleanup(setattr, Versioned, "work_s", WORK_S)
        await self.check_bad(lambda server, request: server.running > 3)

    async def test_a_version_that_turns_bad_late_is_rolled_back(self):
        # Guards against a version that is completed for its first good answers.
        await self.check_bad(lambda server, request: len(server.times) > 8)


class Generations(RolloutCase):
    kind, service = VersionedEngine, "llm"
    fields = {"method": "POST", "body": b"p", "Token_Usage": "90,12"}

    async def test_a_version_of_engines_that_fails_is_rolled_back(self):
        # Guards against generations whose failures count for no version.
        await self.start(lambda server, request: True, [STREAM])
        await self.order()
        await self.ends("rolled_back")
        self.check_exposure()
        self.assertIn("bad answers", self.reasons())

    async def test_a_good_version_of_engines_is_completed(self):
        # Guards against engines whose answers prove nothing.
        await self.start(routes=[STREAM])
        await self.order()
        await self.ends("completed")
        self.check_exposure()


class Failures(RolloutCase):
    async def kill_coordinator(self, phase):
        """Close the coordinator once it announced a phase."""
        async with asyncio.timeout(3 * DURATION_S):
            while True:
                rollout = self.coordinator().state.rollouts.get("svc")
                if rollout is not None and rollout.phase is phase:
                    break
                await asyncio.sleep(0.01)
        relay = self.coordinator()
        relay.stopped.set()
        await relay.close()
        return relay

    async def check_takeover(self, phase):
        await self.start()
        await self.order()
        await self.kill_coordinator(phase)
        await self.ends("completed")
        self.check_exposure()

    async def test_a_coordinator_killed_at_the_first_phase_is_replaced(self):
        # Guards against a roll-out that ends with the daemon that began it.
        await self.check_takeover(RolloutPhase.CANARY)

    async def test_a_coordinator_killed_before_the_end_is_replaced(self):
        # Guards against a roll-out whose old servers have no work and are never stopped.
        await self.check_takeover(RolloutPhase.SWITCH)

    async def test_a_roll_out_goes_on_after_the_store_was_away(self):
        # Guards against an order that is forgotten, or ended blindly, in an outage of 4 s.
        await self.start()
        await self.order(duration_s=15.0)
        await self.until(lambda: self.status().get("state") == "in_progress")
        self.store.mode = "busy"
        await asyncio.sleep(4.0)
        self.assertEqual(self.status()["state"], "in_progress")
        self.store.mode = "ok"
        await self.ends("completed")
        self.check_exposure()

    async def test_a_coordinator_that_wakes_takes_the_outcome_that_another_one_wrote(self):
        # Guards against two coordinators of which one overwrites what the other ended.
        await self.start()
        await self.order()
        await self.until(lambda: self.status().get("state") == "in_progress")
        ended = {**self.status(), "state": "rolled_back"}
        self.store.put("status", "rollout/svc", ended)
        for relay in self.relays:
            rollout = relay.state.rollouts.get("svc")
            await self.until(lambda rollout=rollout: rollout.phase is RolloutPhase.HALTED)
        self.assertEqual(self.status(), ended)

    async def test_a_daemon_that_starts_after_the_end_uses_the_new_version(self):
        # Guards against a daemon that begins the roll-out anew, or sends no more heartbeats, when
        # all of them have restarted since its end.
        await self.start()
        await self.order()
        await self.ends("completed")
        await self.stop_calls()
        for server in self.old:  # which the platform stops then
            self.store.put("servers", server.name, None)
        for relay in self.relays:
            await relay.close()
        self.relays.clear()
        relay = await self.start_relay(0)
        await self.until(
            lambda: (rollout := relay.state.rollouts.get("svc")) is not None
            and rollout.phase is RolloutPhase.COMPLETED
        )
        relay._peers._rollout_spread.send_to(["127.0.1.9"], relay.state.clock(), repeat=True)
        relay._peers.send_heartbeats()
        self.assertEqual(relay.log.of("fault"), [])
        self.assertEqual(self.status()["state"], "completed")
        before = self.count(self.new)
        for number in range(5):
            self.assertEqual((await self.ask(attempt=f"after-{number}")).status, 200)
        self.assertEqual(self.count(self.new) - before, 5)

    async def test_a_status_that_the_store_lost_is_written_again(self):
        # Guards against servers of a bad version that stay since the store lost the verdict.
        await self.start(lambda server, request: True)
        await self.order()
        await self.until(lambda: self.status().get("state") == "in_progress")
        copied = self.store.copy()
        await self.ends("rolled_back")
        self.store.restore(copied)
        self.assertEqual(self.status()["state"], "in_progress")
        await self.ends("rolled_back")


class Orders(RolloutCase):
    async def test_an_order_that_is_given_again_after_its_end_begins_anew(self):
        # Guards against a second attempt with the same version that ends with the first one's
        # status, at daemons that know it and at one that has started since.
        await self.start(lambda server, request: True)
        await self.order()
        await self.ends("rolled_back")
        first = self.status()["began_ms"]
        relay = self.coordinator()
        number = self.relays.index(relay)
        await relay.close()
        self.relays[number] = await self.start_relay(number)
        self.relays.pop()
        self.store.put("op", "rollout/svc", {**ORDER, "duration_s": DURATION_S})
        await self.until(lambda: self.status()["began_ms"] > first)
        await self.ends("rolled_back")

    async def test_malformed_orders_are_reported_and_ignored(self):
        # Guards against an order that stops a daemon, or one that is taken for another.
        await self.start()
        log = self.relays[0].log
        for value in (0, -1, 1e9, "soon", None, True, [5]):
            self.store.put("op", "rollout/svc", {"service": "svc", "to": "v2", "duration_s": value})
            seen = len(log.of("row_unreadable"))
            await self.until(lambda seen=seen: len(log.of("row_unreadable")) > seen)
        self.assertIsNone(self.relays[0].state.rollouts.get("svc"))
        self.assertEqual(self.status(), {})

    async def test_an_order_for_an_unknown_service_is_reported_once(self):
        # Guards against an order that fails without a trace.
        await self.start()
        self.store.put("op", "rollout/x", {"service": "x", "to": "v2", "duration_s": 9})

        def ignored():
            return [line for relay in self.relays for line in relay.log.of("rollout_ignored")]

        await self.until(ignored)
        self.assertEqual(len(ignored()), 1)

    async def test_a_roll_out_is_listed_for_operators(self):
        # Guards against operators who cannot see what a daemon believes of a roll-out.
        await self.start()
        await self.order()
        await self.until(lambda: self.relays[1].state.rollouts.get("svc").phase is not None)
        address = str(self.relays[1].cfg.metrics_listen)
        shown = await asyncio.to_thread(CliRunner().invoke, app, ["rollouts", "list", address])
        self.assertEqual(shown.exit_code, 0, shown.output)
        self.assertRegex(shown.output, r"svc +v2 +canary")

    async def test_a_withdrawn_order_is_rolled_back(self):
        # Guards against new servers that stay in use after the operator took the order back.
        await self.start()
        await self.order()
        await self.until(lambda: self.status().get("state") == "in_progress")
        self.store.put("op", "rollout/svc", None)
        await self.ends("rolled_back")
