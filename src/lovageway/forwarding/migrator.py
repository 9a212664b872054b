"""Carries one running generation to another engine."""

import asyncio
from typing import NamedTuple, Protocol

from lovageway.forwarding import migration
from lovageway.forwarding.attempt import connection_key, next_part
from lovageway.forwarding.exchange import Exchange
from lovageway.forwarding.model import Address, MigrationResult
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.request import Request
from lovageway.platform import engines

MOVE_TIMEOUT_S = 4.0
MOVE_PAUSE_S = 0.05  # before engines that refused a move are asked again
TURN_CHECK_S = 0.01


class CopiedGeneration(NamedTuple):
    """Where a generation goes on."""

    entry: Entry
    source: Address  # the engine that has the copy's handle
    handle: str
    counted: bool  # the load at the destination is already added


class MovableRun(Protocol):
    """A running generation."""

    @property
    def started(self) -> bool:
        """Return whether it has made an event."""

    def progress(self) -> migration.RunState:
        """Return what is known of the generation."""


class Migrator:
    """Moves one generation off an engine that leaves."""

    def __init__(self, request: Request, run: MovableRun) -> None:
        self._request = request
        self._run = run
        self._state = request.state
        self.stopping = False  # the source was asked to stop the generation
        self._stop_s = 0.0  # from that question to its answer

    def destination(
        self, source: Entry, run: migration.RunState, refused: frozenset[str] = frozenset()
    ) -> Entry | None:
        """Return the engine that takes the generation over in time, or None."""
        state, request = self._state, self._request
        usable = [
            entry
            for entry in state.usable(request.service, request.regions)
            if entry.id not in refused
        ]
        now = state.clock()
        left = migration.LEAVE_NOTICE_S - state.migration_schedule.notice_age_s(source.id, now)
        return migration.destination(
            request.service, source, run, usable, state.load_tracker, left, now
        )

    async def run(self, source: Entry) -> CopiedGeneration | None:
        """Carry the generation over in its turn."""
        state, attempt_id = self._state, self._request.head.attempt_id
        began = state.clock()
        try:
            while not state.migration_schedule.due(source.id, attempt_id, state.clock()):
                await asyncio.sleep(TURN_CHECK_S)
            return await self._move_now(source, began)
        finally:
            state.migration_done(source.id, attempt_id)

    async def _move_now(self, source: Entry, began: float) -> CopiedGeneration | None:
        state = self._state
        refused: set[str] = set()
        while state.clock() - began < MOVE_TIMEOUT_S:
            run = self._run.progress()
            if not self._run.started:
                await asyncio.sleep(TURN_CHECK_S)  # the engine knows the run from its first token
                continue
            left = migration.LEAVE_NOTICE_S - state.migration_schedule.notice_age_s(
                source.id, state.clock()
            )
            if migration.ends_in_time(run, left):
                return None
            to = self.destination(source, run, frozenset(refused))
            if to is None and refused:
                # A third copy from one engine is refused while two are under way.
                refused.clear()
                await asyncio.sleep(MOVE_PAUSE_S)
                continue
            if to is None:
                self._log_move(source, to, MigrationResult(0, None, 0), began)
                return None
            result = await self._move_to(source, to)
            self._log_move(source, to, result, began)
            if result.status == 200 and result.handle is not None:
                return CopiedGeneration(to, source.replica.address, result.handle, counted=True)
            if result.handle is not None:
                return CopiedGeneration(
                    source, source.replica.address, result.handle, counted=False
                )
            if result.status in (0, 404):
                return None
            refused.add(to.id)
        return None

    async def _move_to(self, source: Entry, to: Entry) -> MigrationResult:
        """Copy while the generation runs, then copy the rest and stop it.

        The load at the destination stays counted after a success, and for as long as an engine
        keeps a copy whose fate is not known.
        """
        state = self._state
        state.load_tracker.add(to.id, self._request.tokens)
        result = MigrationResult(0, None, 0)
        try:
            result = await self._copy(source, to, last=False)
            if result.status == 200:
                stopped_at = state.clock()
                self.stopping = True
                result = await self._copy(source, to, last=True)
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

    def _log_move(
        self, source: Entry, to: Entry | None, result: MigrationResult, began: float
    ) -> None:
        self._state.telemetry.add("generation_moves", str(result.status))
        self._state.log(
            "move",
            id=self._request.head.attempt_id,
            source=source.id,
            to=to.id if to is not None else None,
            status=result.status,
            events=result.events_made,
            ms=round((self._state.clock() - began) * 1000),
            stop_ms=round(self._stop_s * 1000),
        )

    async def free(self, handover: CopiedGeneration) -> None:
        """Free a copy that nobody will use."""
        self._state.load_tracker.remove(handover.entry.id, self._request.tokens)
        key = str(handover.source)
        try:
            conn = await self._state.pool.acquire(key, handover.source)
        except OSError as exc:
            self._state.log("copy_not_freed", id=self._request.head.attempt_id, cause=str(exc))
            return
        exchange = Exchange(None)
        conn.begin(exchange, engines.free_copy(handover.handle))
        while (part := await next_part(exchange, MOVE_TIMEOUT_S)) is not None and not part.end:
            continue
        self._state.pool.release(key, conn)

    async def _copy(self, source: Entry, to: Entry, *, last: bool) -> MigrationResult:
        """Ask the source to copy the generation; status 0 if it did not answer."""
        call = engines.move(self._request.head.attempt_id, to.replica.address, last=last)
        key = connection_key(source)
        exchange = Exchange(None)
        status, body = 0, b""
        try:
            conn = await self._state.pool.acquire(key, source.replica.address)
        except OSError:
            return MigrationResult(0, None, 0)
        conn.begin(exchange, call)
        try:
            while True:
                part = await next_part(exchange, MOVE_TIMEOUT_S)
                if part is None:
                    return MigrationResult(0, None, 0)
                status = part.head.status if part.head is not None else status
                body += part.data
                if part.end:
                    return engines.move_result(status if part.complete else 0, body)
        finally:
            if exchange.ended:
                self._state.pool.release(key, conn)
            else:
                conn.close()
