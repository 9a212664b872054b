"""Faults of the soak: kinds, targets, durations and pauses are drawn from the seeded generator."""

import asyncio
import json
import signal
import time
from typing import NamedTuple

from standins.replica import ENDLESS, UNFRAMED

from soak.servers import EngineServer, PlainServer
from soak.world import GRACE_PERIOD_S

BEHAVIOURS = (
    *("fail", "shed", "busy", "unsigned", "coded", "cut", "garbage", "hang", "reset"),
    *("cut_head", "copied_refusal"),
)
# Behaviours that need a complete body, which a stream does not have.
PLAIN_BEHAVIOURS = ("no_length", "extra", "late_other", "late_copy")
STORE_MODES = ("busy", "many", "reset", "silent")
LINK_MODES = ("cut", "freeze", "lose_answers")
# Number of entries of `_misbehave` among the kinds of faults: it covers two dozen behaviours.
MISBEHAVE_WEIGHT = 8
DRAIN_S = 1.5  # a server still serves for this long after announcing its shutdown
RESTART_DELAY_S = 0.4
CRASH_AFTER_EVENTS = (1, 0, 4)  # of a stream with a part that crashes engines, in turn
LIMITS_PER_S = (0, 0.2, 1, 3)  # that servers name
BACK_OFF_S = 1.0  # that refusals ask for
ROLLOUT_S = 8.0  # time that an order allows
ROLLOUT_WAIT_S = 4.0  # beyond it, for the status

LIMITED = "limit "  # begins the kind of the fault, before the limit


class FaultInterval(NamedTuple):
    """A fault and the time during which it was active."""

    kind: str
    target: str
    begin: float
    end: float


class RolloutRecord(NamedTuple):
    """A roll-out that was ordered."""

    to: str
    is_bad: bool
    state: str | None  # of its status at the end
    new: list  # servers of the new version
    old: list
    begin: float
    end: float


class Faults:
    """Begins faults one after another; several may be active at the same time."""

    def __init__(self, world):
        self.world = world
        self.rng = world.rng
        self.intervals = []  # of the faults that ended
        self.rollouts = []  # that ended
        self.failed_stops = []  # (daemon, exit code) of planned stops that did not exit with 0
        self._active_targets = set()  # names of the targets of active faults
        self._copied = world.store.copy()  # to which the store returns
        self._fault_kinds = [
            self._pause,
            self._kill,
            self._planned_stop,
            self._reload,
            self._store_mode,
            self._store_link,
            self._server_link,
            *[self._misbehave] * MISBEHAVE_WEIGHT,
            self._server_leaves,
            self._server_crashes,
            self._crashing_part,
            self._limited,
            self._limited,
            self._says_leaving,
            self._back_off,
            self._rollout,
            self._rollout,
            self._configuration,
            self._evacuation,
            self._compact,
            self._copy,
            self._return,
            self._return,
        ]

    async def run(self, seconds):
        """Begin faults for `seconds`, then wait until all have ended."""
        tasks, end = [], time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.rng.choice(self._fault_kinds)()))
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        await asyncio.gather(*tasks)

    async def _apply_for(self, kind, target, seconds, begin, finish):
        """Apply a fault for `seconds`, unless another fault is active on the same target."""
        if target in self._active_targets:
            return
        self._active_targets.add(target)
        began = time.monotonic()
        try:
            begin()
            await asyncio.sleep(seconds)
            result = finish()
            if asyncio.iscoroutine(result):
                await result
        finally:
            self._active_targets.discard(target)
            self.intervals.append(FaultInterval(kind, target, began, time.monotonic()))

    async def _pause(self):
        daemon = self.rng.choice(self.world.daemons)
        seconds = self.rng.uniform(0.2, 3.0)
        await self._apply_for(
            "pause",
            daemon.name,
            seconds,
            lambda: daemon.signal(signal.SIGSTOP),
            lambda: daemon.signal(signal.SIGCONT),
        )

    async def _kill(self):
        daemon = self.rng.choice(self.world.daemons)

        async def restart():
            daemon.start()
            await self.world.wait_ready_or_log(daemon)

        def kill():
            daemon.exit_expected = True
            daemon.signal(signal.SIGKILL)

        await self._apply_for("kill", daemon.name, RESTART_DELAY_S, kill, restart)

    async def _planned_stop(self):
        daemon = self.rng.choice(self.world.daemons)

        async def stop_and_restart():
            code = await daemon.end(signal.SIGTERM, 2 * GRACE_PERIOD_S)
            if code != 0:
                self.failed_stops.append((daemon.name, code))
            daemon.start()
            await self.world.wait_ready_or_log(daemon)

        await self._apply_for("stop", daemon.name, 0.0, lambda: None, stop_and_restart)

    async def _reload(self):
        daemon = self.rng.choice(self.world.daemons)
        await self._apply_for(
            "reload", daemon.name, 0.1, lambda: daemon.signal(signal.SIGHUP), lambda: None
        )

    async def _store_mode(self):
        store, mode = self.world.store, self.rng.choice(STORE_MODES)

        def set_mode(value):
            store.mode = value
            store.put("op", "wake", "{}")  # completes pending long polls

        seconds = self.rng.uniform(0.5, 4.0)
        await self._apply_for(
            "store", "store", seconds, lambda: set_mode(mode), lambda: set_mode("ok")
        )

    async def _store_link(self):
        daemon = self.rng.choice(self.world.daemons)
        await self._link(daemon.store_link, f"{daemon.name} to store")

    async def _server_link(self):
        server = self.rng.choice(self.world.servers)
        await self._link(server.proxy, server.name)

    async def _link(self, proxy, name):
        seconds, mode = self.rng.uniform(0.2, 2.5), self.rng.choice((*LINK_MODES, "delay", "reset"))

        def begin():
            if mode == "delay":
                proxy.delay_s = 0.05
            elif mode == "reset":
                proxy.drop_connections()
            else:
                proxy.set_mode(mode)

        def finish():
            proxy.delay_s = 0.0
            proxy.set_mode("pass")

        await self._apply_for(f"link {mode}", name, seconds, begin, finish)

    async def _misbehave(self):
        server = self.rng.choice(self.world.servers)
        plain = isinstance(server, PlainServer)
        common = (*BEHAVIOURS, *ENDLESS)
        behaviour = self.rng.choice((*common, *(PLAIN_BEHAVIOURS if plain else UNFRAMED)))

        def set_behaviour(value):
            server.behaviour = value

        seconds = self.rng.uniform(0.5, 2.5)
        await self._apply_for(
            f"server {behaviour}",
            server.name,
            seconds,
            lambda: set_behaviour(behaviour),
            lambda: set_behaviour("ok"),
        )

    async def _limited(self):
        """Let a server name a limit on its requests in all its answers."""
        server, limit = self.rng.choice(self.world.servers), self.rng.choice(LIMITS_PER_S)

        def name(value):
            server.limit = value

        seconds = self.rng.uniform(4.0, 9.0)
        kind = f"{LIMITED}{limit}"
        await self._apply_for(kind, server.name, seconds, lambda: name(limit), lambda: name(None))

    async def _back_off(self):
        """Let a server refuse requests and ask for none for a while."""
        server = self.rng.choice(self.world.plain)

        def refuse(value, seconds):
            server.behaviour, server.back_off_s = value, seconds

        seconds = self.rng.uniform(0.5, 2.5)
        await self._apply_for(
            "back off",
            server.name,
            seconds,
            lambda: refuse("shed", BACK_OFF_S),
            lambda: refuse("ok", None),
        )

    async def _says_leaving(self):
        """Let a server say in its answers only that it leaves."""

        def announce(server):
            server.says_leaving = True

        await self._replace("says leaving", DRAIN_S + 0.3, announce)

    async def _rollout(self):
        """Order a roll-out of the plain service to a good or a bad version."""
        world, is_bad = self.world, self.rng.random() < 0.5
        if "rollout" in self._active_targets:
            return
        self._active_targets.add("rollout")
        old, began = list(world.plain), time.monotonic()
        to = f"v{world.next_server}"
        try:
            new = await world.start_version(to, is_bad)
            order = {"service": "svc", "to": to, "duration_s": ROLLOUT_S}
            world.store.put("op", "rollout/svc", json.dumps(order))
            state = None
            while state is None and time.monotonic() < began + ROLLOUT_S + ROLLOUT_WAIT_S:
                await asyncio.sleep(0.05)
                state = world.rollout_state(to)
            end = time.monotonic()
            if state is None:
                world.store.put("op", "rollout/svc", None)
            await world.retire(old if state == "completed" else new, DRAIN_S, state)
            self.rollouts.append(RolloutRecord(to, is_bad, state, new, old, began, end))
            self.intervals.append(FaultInterval("rollout", to, began, time.monotonic()))
        finally:
            self._active_targets.discard("rollout")

    async def _replace(self, kind, seconds, begin):
        """Apply `begin` to a server, and after `seconds` replace it by a new one in its zone."""
        world = self.world
        group = self.rng.choice((world.plain, world.engines))
        server = self.rng.choice(group)
        if server.name in self._active_targets:
            return

        async def replace():
            world.store.put("servers", server.name, None)
            group.remove(server)
            world.removed_servers.append(server)
            await server.stop()
            kinds = {id(world.plain): PlainServer, id(world.engines): EngineServer}
            new = kinds[id(group)](f"n-{world.next_server}", zone=server.zone)
            world.next_server += 1
            await new.start()
            world.list_server(new, cold_remaining_ms=300)
            group.append(new)

        await self._apply_for(kind, server.name, seconds, lambda: begin(server), replace)

    async def _server_leaves(self):
        def announce(server):
            self.world.list_server(server, state="draining")

        await self._replace("leave", DRAIN_S + 0.3, announce)

    async def _server_crashes(self):
        await self._replace("crash", 1.0, lambda server: server.proxy.set_mode("cut"))

    async def _crashing_part(self):
        """Let callers send requests with a part that ends each engine which answers them."""

        def set_part(part):
            self.world.crashing_part = part

        seconds = self.rng.uniform(3.0, 8.0)
        number = self.world.next_server
        part = f"bad{number}"
        self.world.crash_after_events = CRASH_AFTER_EVENTS[number % len(CRASH_AFTER_EVENTS)]
        await self._apply_for(
            "crashing part", "part", seconds, lambda: set_part(part), lambda: set_part(None)
        )

    async def _configuration(self):
        def change():
            self.world.extra_route = not self.world.extra_route
            self.world.configure()

        await self._apply_for("configuration", "configuration", 0.1, change, lambda: None)

    async def _evacuation(self):
        store, zone = self.world.store, self.rng.choice(("z1", "z2", "z3"))
        row = f"evacuate/{zone}"
        await self._apply_for(
            "evacuation",
            "zone",
            self.rng.uniform(1.0, 3.0),
            lambda: store.put("op", row, "{}"),
            lambda: store.put("op", row, None),
        )

    async def _copy(self):
        self._copied = self.world.store.copy()

    async def _return(self):
        """Let the store be away and come back from the last copy, once or twice in a row."""
        store = self.world.store

        def go_away():
            store.mode = "reset"
            store.put("op", "wake", "{}")  # completes pending long polls

        async def come_back():
            store.mode = "ok"
            await self.world.return_store(self._copied)

        for _ in range(self.rng.choice((1, 1, 2))):
            seconds = self.rng.uniform(0.3, 1.5)
            await self._apply_for("store return", "store", seconds, go_away, come_back)

    async def _compact(self):
        await self._apply_for("compact", "history", 0.0, self.world.store.compact, lambda: None)
