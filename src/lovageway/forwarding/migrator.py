"""Migrates one running generation to another engine."""

import asyncio
from typing import NamedTuple, Protocol

from lovageway.forwarding import migration
from lovageway.forwarding.attempt import connection_key, next_part
from lovageway.forwarding.exchange import Exchange
from lovageway.forwarding.model import Address, MigrationResult
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.request import Request
from lovageway.forwarding.resend import Kind
from lovageway.platform import engines

CALL_TIMEOUT_S = 4.0  # for each call, and for all attempts to migrate together
MAX_CALL_ANSWER_BYTES = 16 * 1024
RETRY_PAUSE_S = 0.05  # before engines that refused a migration are tried again
POLL_INTERVAL_S = 0.01
MAX_POLL_DELAY_S = 0.02  # a longer one means that the event loop stood still


class CopiedGeneration(NamedTuple):
    """A copy of a generation, and the engine on which the generation continues from it."""

    entry: Entry
    source: Address  # the engine that has the copy's handle
    handle: str
    counted: bool  # whether the load at the destination is already added


class MigratableRun(Protocol):
    """A running generation that can migrate."""

    @property
    def started(self) -> bool:
        """Return whether its first event has arrived."""

    def progress(self) -> migration.RunState:
        """Return the progress of the generation."""


class Migrator:
    """Migrates one generation off a leaving engine."""

    def __init__(self, request: Request, run: MigratableRun) -> None:
        self._request = request
        self._run = run
        self._state = request.state
        self.stopping = False  # whether the source was asked to stop the generation
        self.ended_before_stop = False  # whether it answered that the generation had ended
        self._stop_s = 0.0  # duration of that call

    def destination(
        self, source: Entry, run: migration.RunState, refused: frozenset[str] = frozenset()
    ) -> Entry | None:
        """Return the engine that the generation can migrate to in time, or None."""
        state, request = self._state, self._request
        usable = [
            entry
            for entry in state.usable_like(source, request.service, request.regions)
            if entry.id not in refused
        ]
        now = state.clock()
        left = migration.LEAVE_NOTICE_S - state.migration_schedule.notice_age_s(source.id, now)
        return migration.destination(
            request.service, source, run, usable, state.load_tracker, left, now
        )

    async def run(self, source: Entry) -> CopiedGeneration | None:
        """Migrate the generation once the schedule allows it.

        Return None if it stays on the source, or if its copy failed.
        """
        state, attempt_id = self._state, self._request.head.attempt_id
        started_at = state.clock()
        try:
            await self._wait_for_turn(source, attempt_id)
            if not self._request.may_resend(Kind.MIGRATION):
                return None
            state.announce_migration_started(source.id, attempt_id)
            copied, taken_at = None, self._request.resends.last_at
            try:
                copied = await self._migrate(source, started_at)
            finally:
                if copied is None:
                    state.budget(self._request.service.name).give_back(taken_at)
            return copied
        finally:
            state.announce_migration_done(source.id, attempt_id)

    async def _wait_for_turn(self, source: Entry, attempt_id: str) -> None:
        """Wait until the schedule allows the migration.

        Time in which the event loop stood still does not count: messages of other daemons that
        arrived in it are not read yet.
        """
        state, stood_still_s = self._state, 0.0
        while not state.migration_schedule.may_start(
            source.id, attempt_id, state.clock() - stood_still_s
        ):
            polled_at = state.clock()
            await asyncio.sleep(POLL_INTERVAL_S)
            stood_still_s += max(0.0, state.clock() - polled_at - MAX_POLL_DELAY_S)

    async def _migrate(self, source: Entry, started_at: float) -> CopiedGeneration | None:
        state = self._state
        refused: set[str] = set()
        while state.clock() - started_at < CALL_TIMEOUT_S:
            run = self._run.progress()
            if not self._run.started:
                await asyncio.sleep(POLL_INTERVAL_S)  # an engine copies only after the first event
                continue
            left = migration.LEAVE_NOTICE_S - state.migration_schedule.notice_age_s(
                source.id, state.clock()
            )
            if migration.ends_in_time(run, left):
                return None
            to = self.destination(source, run, frozenset(refused))
            if to is None and refused:
                # An engine refuses a third copy while two are in progress.
                refused.clear()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if to is None:
                self._log_result(source, to, MigrationResult(0, None, 0), started_at)
                return None
            result = await self._copy_and_stop(source, to)
            self._log_result(source, to, result, started_at)
            if result.status == 200 and result.handle is not None:
                return CopiedGeneration(to, source.replica.address, result.handle, counted=True)
            if result.handle is not None:
                # The engine that holds the generation is asked even if its limit allows no more.
                state.replicas.on_send(source, state.clock())
                return CopiedGeneration(
                    source, source.replica.address, result.handle, counted=False
                )
            if result.status in (0, 404):
                return None
            refused.add(to.id)
        return None

    async def _copy_and_stop(self, source: Entry, to: Entry) -> MigrationResult:
        """Copy the generation while it runs, then stop it and copy the rest.

        The load at the destination stays counted after a success and, if the outcome is unknown,
        for as long as an engine keeps an unused copy.
        """
        state = self._state
        state.load_tracker.add(to.id, self._request.tokens)
        state.replicas.on_send(to, state.clock())
        result = MigrationResult(0, None, 0)
        try:
            result = await self._copy(source, to, last=False)
            if result.status == 200:
                stopped_at = state.clock()
                self.stopping = True
                result = await self._copy(source, to, last=True)
                self.ended_before_stop = result.status == 404
                if result.status == 409:
                    self.stopping = False  # the call was refused, the generation goes on
                self._stop_s = state.clock() - stopped_at
                state.telemetry.observe("move_seconds", self._stop_s)
        finally:
            if result.status == 0:
                engine = self._request.service.engine
                keep_s = engine.copy_ttl_s if engine is not None else 0.0
                loop = asyncio.get_running_loop()
                loop.call_later(keep_s, state.load_tracker.remove, to.id, self._request.tokens)
            elif result.status != 200 or result.handle is None:
                state.load_tracker.remove(to.id, self._request.tokens)
        return result

    def _log_result(
        self, source: Entry, to: Entry | None, result: MigrationResult, started_at: float
    ) -> None:
        self._state.telemetry.add("generation_moves", str(result.status))
        self._state.log(
            "move",
            id=self._request.head.attempt_id,
            source=source.id,
            to=to.id if to is not None else None,
            status=result.status,
            events=result.events_made,
            ms=round((self._state.clock() - started_at) * 1000),
            stop_ms=round(self._stop_s * 1000),
        )

    async def free(self, copied: CopiedGeneration) -> None:
        """Free an unused copy on both engines, and remove its load at the destination."""
        self._state.load_tracker.remove(copied.entry.id, self._request.tokens)
        try:
            status, _ = await self._call(
                str(copied.source), copied.source, engines.free_kv_cache(copied.handle)
            )
            cause = None if status else "no answer"
        except OSError as exc:
            cause = str(exc)
        if cause is not None:
            self._state.log("copy_not_freed", id=self._request.head.attempt_id, cause=cause)

    async def _copy(self, source: Entry, to: Entry, *, last: bool) -> MigrationResult:
        """Request a copy from the source; the result has status 0 if the outcome is unknown."""
        call = engines.migrate(self._request.head.attempt_id, to.replica.address, last=last)
        try:
            status, body = await self._call(connection_key(source), source.replica.address, call)
        except OSError:
            return MigrationResult(0, None, 0)
        return engines.migration_result(status, body)

    async def _call(self, key: str, address: Address, call: bytes) -> tuple[int, bytes]:
        """Return status and body of an engine's answer; status 0 if it was not complete in time.

        Raises
        ------
        OSError
            The connection could not be opened.
        """
        conn = await self._state.pool.acquire(key, address)
        exchange = Exchange(None, max_bytes=MAX_CALL_ANSWER_BYTES)
        conn.begin(exchange, call)
        status, body = 0, b""
        until = self._state.clock() + CALL_TIMEOUT_S
        try:
            while True:
                part = await next_part(exchange, until - self._state.clock())
                if part is None:
                    return 0, b""
                status = part.head.status if part.head is not None else status
                body += part.data
                if part.end:
                    return (status if part.complete else 0), body
        finally:
            if exchange.ended:
                self._state.pool.release(key, conn)
            else:
                conn.close()
