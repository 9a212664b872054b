"""Daemon of the forwarding path: listeners, periodic work, start and drain."""

import asyncio
import json
import os
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

from lovageway.forwarding import directory
from lovageway.forwarding.connections import ClientConnection
from lovageway.forwarding.eventlog import EventLog
from lovageway.forwarding.listeners import Frontend, Listener, LocalListener
from lovageway.forwarding.loopwatch import LoopWatch
from lovageway.forwarding.members import READY
from lovageway.forwarding.model import DaemonSettings
from lovageway.forwarding.peers import Peers
from lovageway.forwarding.rowhandler import TABLES
from lovageway.forwarding.state import State
from lovageway.platform import heads
from lovageway.platform import settings as platform_settings

TICK_S = 0.25  # interval of the periodic work
SETTINGS_CHECK_S = 1.0  # interval of the check whether the settings file has changed
PAUSE_THRESHOLD_S = 1.0  # a longer interval between ticks means that the process was suspended
MAX_CAUSE = 300  # characters of an error in a line of the log
DUMP_PATH = "/dump"  # on the listener of the metrics


class Relay:
    """Daemon with its listeners and periodic work."""

    def __init__(self, cfg: DaemonSettings, path: Path, log: EventLog) -> None:
        self.cfg = cfg
        self._path = path
        self._loop = asyncio.get_running_loop()
        rng = Random(f"{cfg.ip}{time.time_ns()}")
        self.log = log
        self.state = State(cfg, self._loop.time, rng, self.log)
        self._peers = Peers(self.state, rng)
        self._frontend = Frontend(self.state)
        self._listeners: list[Listener] = [self._frontend]
        self._servers: list[asyncio.Server] = []
        self._frontend_server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop_watch = LoopWatch(self._loop, self.state.telemetry, log)
        self.stopped = asyncio.Event()
        self._last_tick_at = self._loop.time()
        self._ticks = 0
        self._settings_mtime = self._read_settings_mtime()

    # Start and stop.

    async def run(self) -> None:
        """Serve until a drain is complete."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        await self.start()
        await self.stopped.wait()
        self.log("stop", reason="planned stop complete")
        self.log.flush()
        await asyncio.sleep(0.02)  # lets the log thread write the last lines

    async def start(self) -> None:
        """Open the listeners and start to exchange state with the store and the other daemons."""
        cfg = self.cfg
        await self._listen()
        await self._peers.start()
        self.log("start", pid=os.getpid(), listen=str(cfg.listen), seeds=list(cfg.seeds))
        self._spawn(self._tick_forever())
        self._loop_watch.start()

    async def close(self) -> None:
        """Close everything at once, as the end of the process would."""
        self._peers.close()
        self._loop_watch.stop()
        for task in [*self._tasks, *self._frontend.tasks.values()]:
            task.cancel()
        for server in (*self._servers, self._frontend_server):
            if server is not None:
                server.close()
        for listener in self._listeners:
            for conn in list(listener.conns):
                conn.abort()
        await asyncio.sleep(0)

    def stop(self) -> None:
        """Start a drain."""
        if self.state.lifecycle.on_stop(self._loop.time()):
            self.log("leaving", running=len(self._frontend.tasks))
            self._peers.send_heartbeats()
            self._peers.send_heartbeat_to_region()

    async def _listen(self) -> None:
        cfg = self.cfg
        self._frontend_server = await self._loop.create_server(
            lambda: self._connection(self._frontend), cfg.listen.host, cfg.listen.port
        )
        answers = [
            (LocalListener(self.state, "ready", self._answer_ready), cfg.ready_listen),
            (LocalListener(self.state, "directory", self._answer_directory), cfg.directory_listen),
        ]
        for listener, address in answers:
            await self._open_local_listener(listener, address.host, address.port)
        metrics = LocalListener(self.state, "metrics", self._answer_metrics)
        await self._open_local_listener(metrics, cfg.metrics_listen.host, cfg.metrics_listen.port)

    async def _open_local_listener(self, listener: LocalListener, host: str, port: int) -> None:
        self._listeners.append(listener)
        server = await self._loop.create_server(lambda: self._connection(listener), host, port)
        self._servers.append(server)

    def _connection(self, listener: Listener) -> ClientConnection:
        return ClientConnection(listener, self._loop.time, self.state.turns)

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Readiness, directory, metrics.

    def _answer_ready(self, target: str) -> tuple[int, str, bytes]:
        if not heads.is_readiness_path(target):
            return 404, "text/plain", b""
        return (200 if self.state.lifecycle.state == READY else 503), "text/plain", b""

    def _answer_directory(self, target: str) -> tuple[int, str, bytes]:
        query = heads.directory_query(target)
        if query is None:
            return 404, "text/plain", b""
        host, region, _ = query
        state, now = self.state, self._loop.time()
        homes = state.routes.regions(host) if state.routes is not None else frozenset()
        own = state.members.own._replace(state=state.lifecycle.state)
        found = directory.addresses([own, *state.members.alive(now)], region, homes)
        if not found:
            return 503, "text/plain", b""
        port = self.cfg.listen.port
        addresses = [self.cfg.listen._replace(host=facts.ip, port=port) for facts in found]
        ttl_s = min(directory.TTL_S, self.cfg.bounds.directory_ttl_max_s)
        return 200, "application/json", heads.directory_body(addresses, ttl_s)

    def _answer_metrics(self, target: str) -> tuple[int, str, bytes]:
        state, now = self.state, self._loop.time()
        if target.partition("?")[0] == DUMP_PATH:
            fields = {**state.dump(now), "store": self._peers.describe_store(now)}
            return 200, "application/json", json.dumps(fields).encode()
        telemetry = state.telemetry
        telemetry.set("store_age_seconds", self._peers.store_age_s(now))
        telemetry.set("config_version", state.routes.cfg.version if state.routes else 0)
        telemetry.set("waiting_requests", len(state.admission_queue))
        telemetry.set("running_requests", len(self._frontend.tasks))
        telemetry.set("client_connections", state.connection_memory.connections)
        telemetry.set("client_connection_bytes", state.connection_memory.reserved)
        telemetry.set("client_memory_refusals", state.connection_memory.refused)
        telemetry.set("client_connections_evicted", state.connection_memory.evicted)
        telemetry.set("store_calls_made", self._peers.store_calls)
        telemetry.set("row_requests_refused", self._peers.row_requests_refused)
        telemetry.set("log_lines_left_out", self.log.left_out_total)
        telemetry.set("suspects", len(state.poison.held(now)))
        mirror = state.mirror
        telemetry.set("store_era", max(mirror.position(table).era for table in TABLES))
        telemetry.set("store_rows_kept", sum(len(mirror.kept(table)) for table in TABLES))
        telemetry.set("server_limits", state.statements.in_force)
        telemetry.set("live_daemons", state.members.count(now))
        telemetry.set("regions_without_load", len(state.regions_without_load(now)))
        ages = [age_s for age_s, _ in state.load_tracker.regions(now).values()]
        telemetry.set("region_load_age_seconds", max(ages, default=0.0))
        return 200, "text/plain; version=0.0.4", telemetry.text()

    # Periodic work.

    async def _tick_forever(self) -> None:
        last_settings = self._loop.time()
        while not self.stopped.is_set():
            now = self._loop.time()
            if now - self._last_tick_at > PAUSE_THRESHOLD_S:
                self._on_pause(now - self._last_tick_at)
            self._last_tick_at = now
            self._tick(now)
            if now - last_settings > SETTINGS_CHECK_S:
                last_settings = now
                if self._read_settings_mtime() != self._settings_mtime:
                    self._reload("file")
            await asyncio.sleep(TICK_S)

    def _tick(self, now: float) -> None:
        """Run all periodic work; a part that fails is repeated by the next tick."""
        self._ticks += 1
        for part, run in self._periodic_work().items():
            try:
                run(now)
            except Exception as exc:
                self.state.telemetry.add("periodic_faults", part)
                self.log("fault", part=part, cause=repr(exc)[:MAX_CAUSE])
        self.log.flush()

    def _periodic_work(self) -> dict[str, Callable[[float], object]]:
        """Return the parts of the periodic work in their order, by name."""
        state = self.state
        return {
            "peers": self._peers.tick,
            "members": state.members.tick,
            "load": state.load_tracker.forget,
            "migrations": state.migration_schedule.tick,
            "pool": lambda _: state.pool.close_expired(),
            "timeouts": self._check_timeouts,
            "heartbeats": self._send_heartbeats,
            "queue": lambda _: state.pump(),
            "stop": self._check_stopped,
        }

    def _check_timeouts(self, now: float) -> None:
        for listener in self._listeners:
            is_frontend = listener is self._frontend
            close_idle = is_frontend and self.state.lifecycle.closes_idle_connections(now)
            for conn in list(listener.conns):
                conn.check_timeouts(now, close_idle=close_idle)

    def _send_heartbeats(self, now: float) -> None:
        if self._ticks % 2 or not self.state.members.is_large(now):
            self._peers.send_heartbeats()

    def _check_stopped(self, now: float) -> None:
        if not self.state.lifecycle.leaving:
            return
        self.state.admission_queue.withdraw()
        if now >= self.state.lifecycle.answer_by:
            self._frontend.give_up_requests()
        if self.state.lifecycle.accepts_connections(now):
            return
        if self._frontend_server is not None:
            # Connections accepted in this loop iteration are registered before the next tick.
            self._frontend_server.close()
            self._frontend_server = None
            return
        if not self._frontend.tasks and not self._frontend.conns:
            self.stopped.set()

    def _on_pause(self, late_s: float) -> None:
        """Read the store again at once, because changes during the suspension were missed."""
        self.state.telemetry.add("pauses")
        self.log("paused", late_s=round(late_s, 2))
        self._peers.on_pause()

    def _read_settings_mtime(self) -> float:
        try:
            return self._path.stat().st_mtime
        except OSError:
            return 0.0

    def _reload(self, cause: str) -> None:
        """Read the settings file again; listening addresses keep their initial values."""
        self._settings_mtime = self._read_settings_mtime()
        loaded = platform_settings.load(self._path)
        if loaded.is_error():
            self.log("reload_failed", cause=cause, problem=loaded.error)
            return
        cfg = loaded.ok
        self.state.members.seeds = cfg.seeds
        self.state.lifecycle.bounds = cfg.bounds
        self.state.replicas.bounds = cfg.bounds
        self.state.rollouts.bounds = cfg.bounds
        self.log("reload", cause=cause, seeds=list(cfg.seeds))


def serve(path: Path, cfg: DaemonSettings) -> None:
    """Run a daemon until its drain is complete."""

    async def main() -> None:
        await Relay(cfg, path, EventLog(daemon=cfg.name)).run()

    asyncio.run(main())
