"""The controllers of one daemon, and what the request path asks of them together."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Protocol

from lovageway.forwarding import memorybudget, placement
from lovageway.forwarding.admissionqueue import AdmissionQueue
from lovageway.forwarding.eventlog import EventLog
from lovageway.forwarding.lifecycle import Lifecycle
from lovageway.forwarding.load import Load, LoadTracker
from lovageway.forwarding.members import STARTING, MemberFacts, Members
from lovageway.forwarding.memorybudget import MemoryBudget
from lovageway.forwarding.migration import LeavingRun, MigrationSchedule
from lovageway.forwarding.mirror import Mirror
from lovageway.forwarding.model import DaemonSettings, RoutingConfig, Service
from lovageway.forwarding.outbound import Pool
from lovageway.forwarding.poison import PoisonDetector
from lovageway.forwarding.replicas import Entry, Replicas
from lovageway.forwarding.retries import RetryBudget
from lovageway.forwarding.routes import RouteTable
from lovageway.forwarding.telemetry import Telemetry
from lovageway.platform import heads


class RunningStream(Protocol):
    """A running stream as the controllers see it."""

    def on_leaving(self, entry: Entry) -> LeavingRun | None:
        """Take the news that a server leaves; return what runs there, if anything does."""


class State:
    """Everything that a daemon believes."""

    def __init__(
        self, cfg: DaemonSettings, clock: Callable[[], float], rng: Random, log: EventLog
    ) -> None:
        self.cfg = cfg
        self.clock = clock
        self.rng = rng
        self.log = log
        self.telemetry = Telemetry()
        incarnation = time.time_ns() // 1_000_000
        own = MemberFacts(cfg.ip, incarnation, 0, STARTING, cfg.zone, cfg.region)
        self.members = Members(own, cfg.seeds, clock())
        self.lifecycle = Lifecycle(cfg.bounds)
        self.mirror = Mirror()
        self.replicas = Replicas(cfg.bounds)
        self.load_tracker = LoadTracker()
        self.poison = PoisonDetector()
        self.migration_schedule = MigrationSchedule()
        self.migration_done: Callable[[str, str], None] = self.migration_schedule.on_finished
        self.load_added: Callable[[dict[str, Load], str], None] = lambda loads, region: None
        self.admission_queue: AdmissionQueue[Entry] = AdmissionQueue()
        self.bodies = MemoryBudget(
            memorybudget.budget_bytes(cfg.memory_mb, memorybudget.BODY_SHARE)
        )
        self.answers = MemoryBudget(
            memorybudget.budget_bytes(cfg.memory_mb, memorybudget.ANSWER_SHARE)
        )
        self.pool = Pool(heads.answer, clock)
        self.routes: RouteTable | None = None
        self.configured = asyncio.Event()
        self.streams: set[RunningStream] = set()
        self._budgets: dict[str, RetryBudget] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run something beside the request that asked for it."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def configure(self, cfg: RoutingConfig) -> bool:
        """Put a configuration in force unless a newer one is."""
        if self.routes is not None and cfg.version <= self.routes.cfg.version:
            return False
        self.routes = RouteTable(cfg)
        return True

    async def await_configuration(self, limit_s: float) -> None:
        """Wait until the daemon knows routes and servers, for a limited time."""
        try:
            async with asyncio.timeout(limit_s):
                await self.configured.wait()
        except TimeoutError:
            return

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            bounds = self.cfg.bounds
            found = self._budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
            )
        return found

    def take_repeat(self, service: str) -> bool:
        """Take a repeat from the budget of a service."""
        now = self.clock()
        allowed = self.budget(service).take(self.members.sharers(now), now)
        self.telemetry.add("forward_repeats", "yes" if allowed else "no")
        return allowed

    def usable(self, service: Service, regions: frozenset[str]) -> list[Entry]:
        """Return the servers that may get a request of a service now."""
        now = self.clock()
        members = self.members
        return self.replicas.usable(service, regions, members.sharers(now), now, members.rank)

    def choose(self, work: placement.Work, regions: frozenset[str]) -> Entry | None:
        """Return the server for a request, or None if none has room."""
        entries, now = self.usable(work.service, regions), self.clock()
        work = work._replace(remote_loads_stale=self.members.is_large(now))
        return placement.choose(work, entries, self.load_tracker, now, self.rng)

    def pump(self) -> None:
        """Let waiting requests try again after something became free."""
        if len(self.admission_queue):
            self.admission_queue.pump(self.clock())

    def dump(self, now: float) -> dict[str, object]:
        """Return what the daemon believes, for operators."""
        return {
            "phase": self.lifecycle.state,
            "config_version": self.routes.cfg.version if self.routes is not None else None,
            "members": self.members.describe(now),
            "servers": [
                {
                    "id": entry.id,
                    "service": entry.replica.service,
                    "address": str(entry.replica.address),
                    "zone": entry.replica.zone,
                    "accepts_work": self.replicas.accepts_work(entry),
                    "failures": round(entry.failures(now), 2),
                    "load": self.load_tracker.at(entry.id, now)._asdict(),
                }
                for entry in self.replicas.all()
            ],
            "waiting": len(self.admission_queue),
            "streams": len(self.streams),
        }
