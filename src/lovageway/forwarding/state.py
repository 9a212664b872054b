"""Holds the controllers of one daemon, and the queries of the request path that span several."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Protocol

from lovageway import memorybudget
from lovageway.forwarding import fleetshare, placement, resend, statements
from lovageway.forwarding.admissionqueue import AdmissionQueue
from lovageway.forwarding.connectionmemory import ConnectionMemory
from lovageway.forwarding.eventlog import EventLog
from lovageway.forwarding.inputturns import InputTurns
from lovageway.forwarding.lifecycle import Lifecycle
from lovageway.forwarding.load import Load, LoadTracker
from lovageway.forwarding.members import STARTING, MemberFacts, Members
from lovageway.forwarding.migration import LeavingRun, MigrationSchedule
from lovageway.forwarding.mirror import Mirror
from lovageway.forwarding.model import DaemonSettings, RoutingConfig, Service
from lovageway.forwarding.outbound import Pool
from lovageway.forwarding.poison import PoisonDetector
from lovageway.forwarding.replicas import Entry, Replicas
from lovageway.forwarding.retries import RetryBudget
from lovageway.forwarding.rollout.rollouts import Rollouts
from lovageway.forwarding.routes import RouteTable
from lovageway.forwarding.statements import Change as StatementChange
from lovageway.forwarding.statements import Statements
from lovageway.forwarding.telemetry import Telemetry
from lovageway.forwarding.tokenpace import TokenPace
from lovageway.memorybudget import MemoryBudget
from lovageway.platform import heads, names, records

LOADS_KNOWN_S = 4.0  # after the start, until the others have reported their load
RENEWED_TABLES = frozenset({names.SERVERS_TABLE})  # whose writers write as long as they live


class MigratableStream(Protocol):
    """A running stream whose generation can migrate to another server."""

    def on_engine_shutdown(self, entry: Entry) -> LeavingRun | None:
        """Start to migrate the generation if it runs on an engine that is shutting down.

        Returns
        -------
        LeavingRun or None
            The report of the generation for the other daemons, or None if no migration is started.
        """


class State:
    """State of one daemon that its controllers and requests share."""

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
        self.mirror = Mirror(records.content, RENEWED_TABLES)
        self.statements = Statements()
        self.replicas = Replicas(cfg.bounds, self.statements)
        self.rollouts = Rollouts(
            cfg.bounds, rng, self.replicas.accepting, self.members.count_sharers
        )
        self.replicas.on_sent = self.rollouts.on_send
        self.load_tracker = LoadTracker()
        self.token_pace = TokenPace()
        self.poison = PoisonDetector()
        self.migration_schedule = MigrationSchedule()
        self.announce_migration_started: Callable[[str, str], None] = (
            lambda server, run: self.migration_schedule.on_started(server, run, clock())
        )
        self.announce_migration_done: Callable[[str, str], None] = (
            self.migration_schedule.on_finished
        )
        self.announce_crash: Callable[[], None] = lambda: None
        self.announce_statement: Callable[[Entry, StatementChange], None] = (
            lambda entry, change: None
        )
        self.announce_leaving: Callable[[Entry], None] = lambda entry: None
        self.announce_load: Callable[[dict[str, Load], str], None] = lambda loads, region: None
        self.admission_queue: AdmissionQueue[Entry] = AdmissionQueue()
        self.body_budget = MemoryBudget(
            memorybudget.budget_bytes(cfg.memory_mb, memorybudget.BODY_SHARE)
        )
        self.answer_budget = MemoryBudget(
            memorybudget.budget_bytes(cfg.memory_mb, memorybudget.ANSWER_SHARE)
        )
        self.connection_memory = ConnectionMemory(cfg.memory_mb, cfg.open_files)
        self.turns = InputTurns(clock)
        self.pool = Pool(heads.answer, clock, self.turns)
        self.routes: RouteTable | None = None
        self._config_era = 0  # of the row that holds the configuration
        self.configured = asyncio.Event()
        self.streams: set[MigratableStream] = set()
        # Until then an earlier process of this daemon may have used the budgets of the window.
        self._restarted_until = clock() + cfg.bounds.retry_window_s
        self._loads_known_at = clock() + LOADS_KNOWN_S
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def configure(self, cfg: RoutingConfig, era: int = 0) -> bool:
        """Apply a configuration unless its version is not newer; return whether it was applied.

        Parameters
        ----------
        era
            The era of the store in which it was written: in a later one the versions of
            configurations may have been given out before, too.
        """
        if self.routes is not None:
            is_later_era = era > self._config_era and cfg != self.routes.cfg
            if cfg.version <= self.routes.cfg.version and not is_later_era:
                return False
        self.routes = RouteTable(cfg)
        self._config_era = era
        return True

    async def await_configuration(self, limit_s: float) -> None:
        """Wait up to `limit_s` until the routes and servers have been received."""
        try:
            async with asyncio.timeout(limit_s):
                await self.configured.wait()
        except TimeoutError:
            return

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        found = self._retry_budgets.get(service)
        if found is None:
            bounds = self.cfg.bounds
            found = self._retry_budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
            )
        return found

    def on_first_start(self) -> None:
        """Record that no earlier process of this daemon can have used the retry budgets."""
        self._restarted_until = self.clock()
        self.rollouts.has_history = False

    def sharing(self, service: Service) -> resend.Sharing:
        """Return the retry budget of a service, and how it is shared now."""
        now, engine = self.clock(), service.engine
        return resend.Sharing(
            self.budget(service.name),
            self.members.count_sharers(now),
            now < self._restarted_until,
            engine is not None and (engine.supports_migration or engine.backups),
        )

    def usable(self, service: Service, regions: frozenset[str]) -> list[Entry]:
        """Return the servers to which a request of a service may be sent now."""
        now = self.clock()
        members = self.members
        sharers = members.count_sharers(now)
        entries = self.replicas.usable(service, regions, sharers, now, members.rank)
        return self.rollouts.permitted(service.name, entries, now)

    def usable_like(self, source: Entry, service: Service, regions: frozenset[str]) -> list[Entry]:
        """Return the servers to which a generation of a server may migrate now."""
        return self.rollouts.like(source, self.usable(service, regions))

    def choose(self, work: placement.Work, regions: frozenset[str]) -> Entry | None:
        """Return the server for a request, or None if none has capacity.

        The request counts against the bounds on the server from now on.
        """
        entries, now = self.usable(work.service, regions), self.clock()
        work = work._replace(remote_loads_stale=self.members.is_large(now))
        if now < self._loads_known_at:
            work = work._replace(position=self.members.position())
        for group in self.rollouts.preferences(work, entries, now):
            entry = placement.choose(work, group, self.load_tracker, now, self.rng)
            if entry is not None:
                self.replicas.on_send(entry, now)
                self.rollouts.on_chosen(work, entry)
                return entry
        return None

    def is_within_limit(self, entry: Entry) -> bool:
        """Return whether the limit that a server named leaves this daemon room for a request."""
        now, members = self.clock(), self.members
        return self.replicas.is_within_limit(entry, members.count_sharers(now), now, members.rank)

    def limited_slots(
        self, service: Service, regions: frozenset[str], count: int
    ) -> list[float] | None:
        """Return when servers that named limits take the next requests from this daemon.

        See `Replicas.limited_slots`.
        """
        now, members = self.clock(), self.members
        sharers = members.count_sharers(now)
        return self.replicas.limited_slots(service, regions, sharers, now, count, members.rank)

    def regions_without_load(self, now: float) -> set[str]:
        """Return the other regions whose load is not known; empty in a small fleet.

        In a small fleet the daemons of other regions report their load themselves.
        """
        if not self.members.is_large(now):
            return set()
        others = set(self.cfg.regions_of_zones.values()) - {self.cfg.region}
        return others - self.load_tracker.regions(now).keys()

    def on_server_lost(self, server: bytes) -> None:
        """Record that a server ended; tell the other daemons if it did so within answers."""
        if self.poison.on_server_lost(server, self.clock()):
            self.announce_crash()

    def pump(self) -> None:
        """Retry the placement of waiting requests after capacity became free."""
        if len(self.admission_queue):
            self.admission_queue.pump(self.clock())

    def _describe_limit(self, entry: Entry, now: float) -> dict[str, object] | None:
        """Return the limit that a server named and this daemon's share, for operators."""
        record = self.statements.record(entry.token)
        if record is None or record.limit_per_s is None:
            return None
        bound = statements.bound(record.limit_per_s)
        sharers = self.members.count_sharers(now)
        return {
            "per_s": record.limit_per_s,
            "source": record.source,
            "age_s": round(now - record.said_at, 1),
            "share": fleetshare.share(bound.requests, sharers, self.members.rank(entry.id)),
            "window_s": round(bound.window_s, 3),
            "sent": entry.sends.count(bound.window_s, now),
            "held_off": entry.held_off,
        }

    def dump(self, now: float) -> dict[str, object]:
        """Return the daemon's state for operators."""
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
                    "limit": self._describe_limit(entry, now),
                    "load": self.load_tracker.at(entry.id, now)._asdict(),
                }
                for entry in self.replicas.all()
            ],
            "rollouts": self.rollouts.describe(now),
            "suspects": [held._asdict() for held in self.poison.held(now)],
            "waiting": len(self.admission_queue),
            "connections": self.connection_memory.describe(),
            "streams": len(self.streams),
        }
