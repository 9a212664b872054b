"""Serves one streamed generation: passes events on, resumes it or carries it to another engine."""

import asyncio
from functools import partial
from typing import Protocol

from lovageway.codes import Code
from lovageway.forwarding import migration
from lovageway.forwarding.attempt import (
    Attempt,
    NotSentError,
    Outcome,
    Sending,
    genuine,
    next_part,
    not_run,
    passable,
    sent,
)
from lovageway.forwarding.connections import ClientConnection, Inbound
from lovageway.forwarding.events import EventSplitter, EventTooLargeError
from lovageway.forwarding.exchange import ANSWER_MOST, Exchange
from lovageway.forwarding.load import Load
from lovageway.forwarding.migrator import CopiedGeneration, Migrator
from lovageway.forwarding.model import AnswerHead
from lovageway.forwarding.placement import expected_output
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.request import MARGIN_S, Refusal, Request, place
from lovageway.forwarding.streamtiming import StreamTiming

# A client gives a stream up after the longest of these times without an event (PROTOCOL, Requests).
STALL_LEAST_S = 2.0
STALL_TARGETS = 4.0  # times the route's target for the first event
STALL_PAUSES = 8.0  # times the longest pause that the route allows
HANDOVER_WAIT_S = 3.0  # for the outcome of a move after the stream has ended


class Client(Protocol):
    """The client's side of a request."""

    conn: ClientConnection
    inbound: Inbound
    status: int
    outcome: str

    def answer(self, attempt: Attempt) -> None:
        """Pass on a whole answer."""

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a numbered refusal."""

    def may_repeat(self, request: Request, outcome: Outcome) -> bool:
        """Return whether a request may be sent again."""


class StreamRun:
    """One streamed request and the generation that serves it."""

    def __init__(self, client: Client, request: Request) -> None:
        self.client = client
        self.request = request
        self.state = request.state
        self.conn = client.conn
        self.entry: Entry | None = None
        self.timing = request.timing = StreamTiming()
        self.last_id: int | None = None
        self.sent_at = 0.0
        self._unread = 0
        self.move: Migrator | None = None
        self.mover: asyncio.Task[CopiedGeneration | None] | None = None
        self.backup: Entry | None = None

    @property
    def started(self) -> bool:
        """Return whether the client has an event."""
        return self.timing.started

    async def serve(self) -> None:
        """Serve until the stream has ended for the client."""
        self.state.streams.add(self)
        try:
            await self._serve()
        finally:
            self.state.streams.discard(self)
            self._drop_move()

    async def _serve(self) -> None:
        request, state = self.request, self.state
        last = Attempt(Outcome.NOT_SENT, None, b"")
        handover: CopiedGeneration | None = None
        while True:
            if handover is not None:
                entry = handover.entry
            else:
                choose = partial(state.choose, request.work(), request.regions)
                placed = await place(request, choose)
                if placed.is_error():
                    self._end(last, placed.error)
                    return
                entry = placed.ok
            last = await self._attempt(entry, handover)
            state.telemetry.add("forward_attempts", last.outcome.value)
            request.ends.append(last.outcome.value)
            if last.outcome is Outcome.ANSWERED:
                return
            handover = await self._handover() or self._from_backup(last.outcome)
            if handover is not None:
                continue
            if last.outcome in (Outcome.FAILED, Outcome.BROKEN, Outcome.SILENT):
                request.runs += 1
            if not self.client.may_repeat(request, last.outcome):
                self._end(last, None)
                return
            if self.started and not request.route.resumable:
                self._end(last, None)
                return

    async def _handover(self) -> CopiedGeneration | None:
        """Return where a move carries the generation to, if it was the move that ended the stream.

        A move that had not come so far ends with its source.
        """
        mover, self.mover = self.mover, None
        if mover is None:
            return None
        if not mover.done() and self.move is not None and not self.move.stopping:
            mover.cancel()
            return None
        try:
            async with asyncio.timeout(HANDOVER_WAIT_S):
                return await mover
        except TimeoutError:
            return None

    async def _attempt(self, entry: Entry, handover: CopiedGeneration | None) -> Attempt:
        """Send the request to one engine and pass its events on."""
        request, state = self.request, self.state
        copy = (handover.source, handover.handle) if handover is not None else None
        last_event = str(self.last_id) if self.last_id is not None else request.head.last_event
        counted = handover is not None and handover.counted
        self.entry = entry
        self.sent_at = self.state.clock()
        self._choose_backup(entry)
        self._log_placed(entry)
        self._unread = self._prompt() if handover is None else 0
        state.load_tracker.add_unread(entry.id, self._unread)
        if not counted:
            state.load_added(self._added_load(entry), entry.replica.region)
        to = self.backup.replica.address if self.backup is not None else None
        sending = Sending(last_event, copy, to)
        try:
            async with sent(request, entry, sending, counted=counted, body_most=None) as exchange:
                return await self._pass_on(exchange, entry)
        except NotSentError:
            return Attempt(Outcome.NOT_SENT, None, b"")
        finally:
            self._has_read(entry)
            self.entry = None
            if self.backup is not None:
                state.load_tracker.add_checkpoint(self.backup.id, -request.tokens)

    def _added_load(self, entry: Entry) -> dict[str, Load]:
        """Return what an attempt adds to the load of its engine and of the copy's engine."""
        tokens = self.request.tokens
        added = {entry.id: Load(1, tokens, self._unread)}
        if self.backup is not None:
            added[self.backup.id] = Load(0, tokens, copies=tokens)
        return added

    def _prompt(self) -> int:
        generation = self.request.head.generation
        return generation.prompt if generation is not None else 0

    def _has_read(self, entry: Entry) -> None:
        """Note that the engine has read the prompt, or never will."""
        if self._unread:
            self.state.load_tracker.add_unread(entry.id, -self._unread)
            self._unread = 0

    def _choose_backup(self, entry: Entry) -> None:
        """Choose the engine that keeps a copy of the generation while it grows."""
        request, state = self.request, self.state
        self.backup = None
        if request.service.engine is None or request.head.generation is None:
            return
        usable = state.usable(request.service, request.regions)
        now = state.clock()
        self.backup = migration.backup(
            request.service, entry, self.progress(), usable, state.load_tracker, now
        )
        if self.backup is not None:
            state.load_tracker.add_checkpoint(self.backup.id, request.tokens)

    def _log_placed(self, entry: Entry) -> None:
        state, now = self.state, self.state.clock()
        state.log(
            "placed",
            id=self.request.head.attempt_id,
            server=entry.id,
            zone=entry.replica.zone,
            load=list(state.load_tracker.at(entry.id, now)),
            tokens=self.request.tokens,
            copy_on=self.backup.id if self.backup is not None else None,
            copy_zone=self.backup.replica.zone if self.backup is not None else None,
            waited_ms=round(self.request.waited_s * 1000),
        )

    def _copied(self, entry: Entry, run: migration.RunState) -> bool:
        """Return whether the copy ahead has had the time to arrive."""
        engine = self.request.service.engine
        if self.backup is None or not self.started or engine is None:
            return False
        if not self.state.replicas.accepts_work(self.backup):
            return False
        age = self.state.clock() - self.sent_at
        return age > migration.copy_s(engine, run, entry, self.backup) + migration.CHECKPOINT_LAG_S

    def _from_backup(self, outcome: Outcome) -> CopiedGeneration | None:
        """Return the engine that has a copy of a generation that broke off."""
        backup, self.backup = self.backup, None
        engine = self.request.service.engine
        if backup is None or engine is None or not self.started:
            return None
        if outcome not in (Outcome.BROKEN, Outcome.SILENT):
            return None
        if not self.state.replicas.accepts_work(backup):
            return None
        self.state.log("resume_from_copy", id=self.request.head.attempt_id, server=backup.id)
        attempt_id = self.request.head.attempt_id
        return CopiedGeneration(backup, backup.replica.address, attempt_id, counted=False)

    async def _pass_on(self, exchange: Exchange, entry: Entry) -> Attempt:
        state = self.state
        splitter = EventSplitter()
        head: AnswerHead | None = None
        body = bytearray()
        self.request.answer.release()
        until = state.clock() + self._patience_s()
        while True:
            part = await next_part(exchange, until - state.clock())
            if part is None:
                entry.on_failure(state.clock())
                return Attempt(Outcome.SILENT, head, b"")
            if part.head is not None:
                head = part.head
            if part.end:
                crashed = exchange.fault is None
                return self._ended(entry, head, bytes(body), splitter, part.complete, crashed)
            if head is None:
                continue
            if head.status != 200 or not genuine(head):
                body += part.data
                if len(body) > ANSWER_MOST or not self.request.answer.reserve(len(part.data)):
                    exchange.fault = "body"
                    return self._ended(entry, head, b"", splitter, False, False)
                continue
            self._has_read(entry)
            try:
                events = splitter.feed(part.data)
            except EventTooLargeError:
                exchange.fault = "event"
                return self._ended(entry, head, b"", splitter, False, False)
            for event in events:
                self._event(head, event.data, event.id)
            await self.conn.drained()
            if events:
                until = state.clock() + self._patience_s()

    def _patience_s(self) -> float:
        """Return for how long the next whole event is awaited.

        A stream without one for longer than its client waits has nobody who reads it. Before the
        first event, the daemon leaves it to the client to give up.
        """
        left = self.request.left_s() - MARGIN_S
        if not self.started:
            return left
        route = self.request.route
        stall = max(STALL_LEAST_S, STALL_TARGETS * route.target_s, STALL_PAUSES * route.gap_s)
        return min(left, stall)

    def _event(self, head: AnswerHead, data: bytes, event_id: int | None) -> None:
        """Pass one event on unless the client has it."""
        now = self.state.clock()
        if event_id is not None and self.last_id is not None and event_id <= self.last_id:
            return
        if not self.started:
            seconds = now - self.client.inbound.arrived_at
            self.state.telemetry.observe("answer_seconds", seconds, "stream")
            self.client.status = head.status
            self.conn.start(head.status, list(head.headers), head.reason)
        self.timing.on_event(now)
        if event_id is not None:
            self.last_id = event_id
        self.conn.send(data)

    def _ended(
        self,
        entry: Entry,
        head: AnswerHead | None,
        body: bytes,
        splitter: EventSplitter,
        complete: bool,
        crashed: bool,
    ) -> Attempt:
        """Decide what the end of an engine's answer means.

        Parameters
        ----------
        crashed
            If the answer is not complete: the engine broke off by itself.
        """
        now = self.state.clock()
        if head is not None and head.not_run:
            return not_run(entry, head, body, now)
        if head is None or not complete:
            if self.mover is None:
                entry.on_failure(now)
            if self.mover is None and crashed:
                self.state.poison.on_disconnect(self.request.mark, entry.token, now)
            return Attempt(Outcome.BROKEN, head, b"")
        if head.status != 200 or not genuine(head):
            entry.on_failure(now)
            return Attempt(Outcome.FAILED, head, body)
        self.state.poison.on_answer(self.request.mark, now)
        self.state.poison.on_server_answer(entry.token, now)
        entry.on_answer(now - self.request.started_at, now)
        if not self.started:
            self.client.answer(Attempt(Outcome.ANSWERED, head, splitter.rest))
            return Attempt(Outcome.ANSWERED, head, b"")
        if splitter.rest:
            self.conn.send(splitter.rest)
        self.client.outcome = "answered"
        self.conn.end()
        return Attempt(Outcome.ANSWERED, head, b"")

    def _end(self, last: Attempt, refusal: Refusal | None) -> None:
        """Give the final answer of a stream that cannot be completed."""
        request = self.request
        if self.started:
            self.client.outcome = "broken_off"
            self.conn.abort()
        elif request.runs == 0:
            self.client.refuse(refusal or Refusal(Code.WAITED_TOO_LONG, retry_after_s=0.2))
        elif last.outcome is Outcome.FAILED and passable(last.head):
            self.client.answer(last)
        elif request.left_s() <= 2 * MARGIN_S:
            self.client.refuse(Refusal(Code.TIMED_OUT))
        else:
            self.client.refuse(Refusal(Code.GENERATION_LOST))

    # Moves.

    def _drop_move(self) -> None:
        """Cancel a move whose outcome nobody needs, or free its copy."""
        mover, self.mover = self.mover, None
        if mover is None or mover.cancel() or mover.cancelled():
            return
        if (fault := mover.exception()) is not None:
            self.state.log("fault", id=self.request.head.attempt_id, cause=repr(fault))
            return
        handover = mover.result()
        if handover is not None and handover.counted:
            self.state.spawn(Migrator(self.request, self).free(handover))

    def on_leaving(self, entry: Entry) -> migration.LeavingRun | None:
        """Begin to carry the generation over if it runs on an engine that leaves."""
        engine = self.request.service.engine
        if self.entry is not entry or engine is None or not engine.moves or self.mover is not None:
            return None
        run = self.progress()
        stays = self.started and migration.ends_in_time(run, migration.LEAVE_NOTICE_S)
        copied = self._copied(entry, run)
        self.state.log(
            "server_leaves_run",
            id=self.request.head.attempt_id,
            server=entry.id,
            events=self.timing.events,
            left_s=round(migration.remaining_s(run), 2),
            stays=stays,
            copied=copied,
        )
        if stays or copied:
            return None
        self.move = Migrator(self.request, self)
        self.mover = asyncio.get_running_loop().create_task(self.move.run(entry))
        to = self.move.destination(entry, run)
        return migration.describe(self.request.head.attempt_id, run, engine, entry, to)

    def progress(self) -> migration.RunState:
        """Return what is known of the generation."""
        generation = self.request.head.generation
        engine = self.request.service.engine
        assert generation is not None and engine is not None
        stride = max(1, engine.stride)
        return migration.RunState(
            prompt=generation.prompt,
            generated=self.timing.events * stride,
            expected=expected_output(generation),
            limit=generation.output_limit,
            token_s=self.timing.mean_gap_s / stride,
        )
