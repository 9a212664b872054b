"""Serves one streamed generation: passes events on, resumes it or migrates it to another engine."""

import asyncio
from functools import partial
from typing import Protocol

from lovageway.codes import Code
from lovageway.forwarding import migration, streamend
from lovageway.forwarding.attempt import (
    AttemptOptions,
    AttemptResult,
    NotSentError,
    Outcome,
    can_pass_on,
    is_authentic,
    next_part,
    not_run_result,
    record_crash,
    record_end,
    record_statement,
    send,
)
from lovageway.forwarding.connections import ClientConnection, Inbound
from lovageway.forwarding.events import EventSplitter, EventTooLargeError
from lovageway.forwarding.exchange import MAX_ANSWER_BYTES, Exchange
from lovageway.forwarding.inputturns import SLICE_BYTES
from lovageway.forwarding.load import Load
from lovageway.forwarding.migrator import CopiedGeneration, Migrator
from lovageway.forwarding.model import AnswerHead
from lovageway.forwarding.placement import expected_output
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.request import (
    Refusal,
    Request,
    hold_back,
    longest_output_s,
    place,
    risks_server,
)
from lovageway.forwarding.resend import Kind
from lovageway.forwarding.rollout.observation import Observation
from lovageway.forwarding.streamproof import StreamProof
from lovageway.forwarding.streamtiming import StreamTiming
from lovageway.forwarding.tokenpace import MIN_EVENTS
from lovageway.forwarding.traits import MAX_LABEL

# After its first event, a stream has stalled if no event arrives for the longest of these three
# times: the attempt at the engine then ends, and the generation may be resumed on another one. A
# client that follows the platform's protocol closes the stream after the same time, so waiting
# longer would be of no use. Before the first event only the request's deadline limits the wait.
MIN_STALL_S = 2.0
STALL_TARGETS = 4.0  # multiple of the route's target time to the first event
STALL_GAPS = 8.0  # multiple of the route's target for the longest gap between events
MAX_LOGGED_PARTS = 16
HANDOVER_WAIT_S = 3.0  # for the result of a migration after the source ended its stream


class Client(Protocol):
    """The client's connection, and the operations that end its request."""

    conn: ClientConnection
    inbound: Inbound
    status: int
    outcome: str

    def answer(self, attempt: AttemptResult) -> None:
        """Pass on an engine's complete answer."""

    def refuse(self, refusal: Refusal) -> None:
        """Answer the request with a result code of this daemon."""

    def reserve_retry(self, request: Request, outcome: Outcome) -> bool:
        """Return whether a request may be sent again, charging the retry budget if it was sent."""


class StreamRun:
    """One streamed request and its generation, on all engines that run it one after another."""

    def __init__(self, client: Client, request: Request) -> None:
        self.client = client
        self.request = request
        self.state = request.state
        self.conn = client.conn
        self.entry: Entry | None = None
        self.event_timing = request.event_timing = StreamTiming()
        self.last_id: int | None = None  # id of the last event passed to the client
        self.sent_at = 0.0
        self.observation: Observation | None = None  # of the current attempt
        self.begun = False  # whether an event arrived in the current attempt
        self._proof = StreamProof()
        self._pending_prompt = 0  # prompt tokens that the engine has yet to process
        self.migrator: Migrator | None = None
        self.task: asyncio.Task[CopiedGeneration | None] | None = None  # of the migration
        self.checkpoint: Entry | None = None  # engine that keeps the checkpoint
        # Until when to wait for the result of a migration, if the source's stream has ended.
        self._handover_by: float | None = None

    @property
    def started(self) -> bool:
        """Return whether an event was passed to the client."""
        return self.event_timing.started

    async def serve(self) -> None:
        """Serve the request until its stream ends for the client."""
        self.state.streams.add(self)
        try:
            await self._serve()
        finally:
            self.state.streams.discard(self)
            self._drop_migration()

    async def _serve(self) -> None:
        request, state = self.request, self.state
        last = AttemptResult(Outcome.NOT_SENT, None, b"")
        handover: CopiedGeneration | None = None
        while True:
            if handover is not None:
                blocked = None if request.is_proven else hold_back(request)
                if blocked is not None:
                    if handover.counted:
                        state.spawn(Migrator(request, self).free(handover))
                    self._end_failed(last, blocked)
                    return
                entry = handover.entry
            else:
                choose = partial(state.choose, request.work(), request.regions)
                placed = await place(request, choose)
                if placed.is_error():
                    self._end_failed(last, placed.error)
                    return
                entry = placed.ok
            last = await self._attempt(entry, handover)
            state.telemetry.add("forward_attempts", last.outcome.value)
            request.outcomes.append(last.outcome.value)
            if last.outcome is Outcome.ANSWERED:
                return
            handover = await self._next_handover(last.outcome)
            if handover is not None:
                continue
            if last.outcome in (Outcome.FAILED, Outcome.BROKEN, Outcome.SILENT):
                request.possible_runs += 1
            can_run_again = not self.started or request.route.resumable
            if not can_run_again or not self.client.reserve_retry(request, last.outcome):
                self._end_failed(last, None)
                return

    async def _next_handover(self, outcome: Outcome) -> CopiedGeneration | None:
        """Return the copy from which the generation continues, or None if it can't or has no time.

        A copy that comes too late is freed.
        """
        if not self.request.has_time():
            return None
        handover = await self._migration_handover() or self._checkpoint_handover(outcome)
        if handover is None or self.request.has_time():
            return handover
        if handover.counted:
            self.state.spawn(Migrator(self.request, self).free(handover))
        return None

    async def _migration_handover(self) -> CopiedGeneration | None:
        """Return the copy to continue from if a migration ended the engine's stream, else None.

        A migration that has not yet requested the source to stop did not end it, and is cancelled.
        """
        task, self.task = self.task, None
        if task is None:
            return None
        if not task.done() and self.migrator is not None and not self.migrator.stopping:
            task.cancel()
            return None
        by, self._handover_by = self._handover_by, None
        try:
            async with asyncio.timeout_at(by or self._handover_limit()):
                return await task
        except TimeoutError:
            return None

    def _handover_limit(self) -> float:
        """Return until when to wait for the result of a migration."""
        return self.state.clock() + min(HANDOVER_WAIT_S, self.request.answer_time_s())

    async def _attempt(self, entry: Entry, handover: CopiedGeneration | None) -> AttemptResult:
        """Send the request to one engine, which continues from `handover` if it is given."""
        request, state = self.request, self.state
        kv_source = (handover.source, handover.handle) if handover is not None else None
        last_event = str(self.last_id) if self.last_id is not None else request.head.last_event
        counted = handover is not None and handover.counted
        self.entry = entry
        self.sent_at = self.state.clock()
        self.begun = False
        self._proof = StreamProof()
        self.observation = Observation(
            state.rollouts, state.telemetry, entry, request.route, self.sent_at
        )
        self._choose_checkpoint(entry)
        self._log_placed(entry)
        self._pending_prompt = self._prompt_tokens() if handover is None else 0
        state.load_tracker.add_unread(entry.id, self._pending_prompt)
        if not counted:
            state.announce_load(self._added_load(entry), entry.replica.region)
        kv_backup = self.checkpoint.replica.address if self.checkpoint is not None else None
        options = AttemptOptions(last_event, kv_source, kv_backup)
        try:
            async with send(request, entry, options, counted=counted, max_bytes=None) as exchange:
                return await self._pass_on(exchange, entry)
        except NotSentError:
            return AttemptResult(Outcome.NOT_SENT, None, b"")
        finally:
            self._on_prompt_processed(entry)
            self.entry = None
            if self.checkpoint is not None:
                state.load_tracker.add_checkpoint(self.checkpoint.id, -request.tokens)

    def _added_load(self, entry: Entry) -> dict[str, Load]:
        """Return the load that an attempt adds to its engine and to that of the checkpoint."""
        tokens = self.request.tokens
        added = {entry.id: Load(1, tokens, self._pending_prompt)}
        if self.checkpoint is not None:
            added[self.checkpoint.id] = Load(0, tokens, copies=tokens)
        return added

    def _prompt_tokens(self) -> int:
        generation = self.request.head.generation
        return generation.prompt if generation is not None else 0

    def _on_prompt_processed(self, entry: Entry) -> None:
        """Remove the prompt from the unread load when the answer begins or the attempt ends."""
        if self._pending_prompt:
            self.state.load_tracker.add_unread(entry.id, -self._pending_prompt)
            self._pending_prompt = 0

    def _choose_checkpoint(self, entry: Entry) -> None:
        """Choose the engine that keeps a checkpoint of the generation while it runs."""
        request, state = self.request, self.state
        self.checkpoint = None
        if request.service.engine is None or request.head.generation is None:
            return
        usable = state.usable_like(entry, request.service, request.regions)
        now = state.clock()
        self.checkpoint = migration.backup(
            request.service, entry, self.progress(), usable, state.load_tracker, now
        )
        if self.checkpoint is not None:
            state.load_tracker.add_checkpoint(self.checkpoint.id, request.tokens)

    def _log_placed(self, entry: Entry) -> None:
        state, now = self.state, self.state.clock()
        state.log(
            "placed",
            id=self.request.head.attempt_id,
            server=entry.id,
            zone=entry.replica.zone,
            load=list(state.load_tracker.at(entry.id, now)),
            tokens=self.request.tokens,
            copy_on=self.checkpoint.id if self.checkpoint is not None else None,
            copy_zone=self.checkpoint.replica.zone if self.checkpoint is not None else None,
            waited_ms=round(self.request.waited_s * 1000),
        )

    def _is_checkpoint_ready(self, entry: Entry, run: migration.RunState) -> bool:
        """Return whether a checkpoint can be used and is expected to be complete by now."""
        engine = self.request.service.engine
        if self.checkpoint is None or not self.started or engine is None:
            return False
        if not self.state.replicas.accepts_work(self.checkpoint):
            return False
        age = self.state.clock() - self.sent_at
        return (
            age > migration.copy_s(engine, run, entry, self.checkpoint) + migration.CHECKPOINT_LAG_S
        )

    def _checkpoint_handover(self, outcome: Outcome) -> CopiedGeneration | None:
        """Return the checkpoint from which to continue an interrupted generation, or None."""
        entry, self.checkpoint = self.checkpoint, None
        engine = self.request.service.engine
        if entry is None or engine is None or not self.started:
            return None
        if risks_server(self.request):
            return None
        if outcome not in (Outcome.BROKEN, Outcome.SILENT):
            return None
        if not self.state.replicas.accepts_work(entry) or not self.state.is_within_limit(entry):
            return None
        if not self.state.rollouts.permits(entry, self.state.clock()):
            return None
        if not self.request.may_resend(Kind.CHECKPOINT):
            return None
        self.state.replicas.on_send(entry, self.state.clock())
        self.state.log("resume_from_copy", id=self.request.head.attempt_id, server=entry.id)
        attempt_id = self.request.head.attempt_id
        return CopiedGeneration(entry, entry.replica.address, attempt_id, counted=False)

    async def _pass_on(self, exchange: Exchange, entry: Entry) -> AttemptResult:
        """Pass the events of an engine's answer to the client until the answer ends or stalls."""
        state = self.state
        splitter = EventSplitter()
        head: AnswerHead | None = None
        body = bytearray()
        self.request.reserved.release()
        until = state.clock() + self._stall_timeout_s()
        while True:
            part = await next_part(exchange, until - state.clock())
            if part is None:
                # An engine whose events came until the time was used up did not fail.
                if not self.begun or self.request.has_time():
                    self._on_failure(entry)
                return AttemptResult(Outcome.SILENT, head, b"")
            if part.head is not None:
                head = part.head
                record_statement(self.request, entry, head, self.sent_at)
            if part.end:
                crashed = exchange.fault is None
                complete = part.complete
                if head is not None and _is_stream(head):
                    complete = await self._is_whole(
                        self._end_facts(part.complete, splitter, exchange)
                    )
                return self._classify(
                    entry, head, bytes(body), splitter, complete, crashed, exchange.ended_by_close
                )
            if head is None:
                continue
            if head.status != 200 or not is_authentic(head):
                body += part.data
                if len(body) > MAX_ANSWER_BYTES or not self.request.reserved.reserve(
                    len(part.data)
                ):
                    exchange.fault = "body"
                    return self._classify(entry, head, b"", splitter, False, False)
                continue
            self._on_prompt_processed(entry)
            try:
                has_events = await self._pass_events(head, splitter, part.data)
            except EventTooLargeError:
                exchange.fault = "event"
                return self._classify(entry, head, b"", splitter, False, False)
            if not self.request.reserved.resize(splitter.pending):
                exchange.fault = "memory"
                return self._classify(entry, head, b"", splitter, False, False)
            limit = None if exchange.ended else self.request.answer_time_s()
            if not await self.conn.wait_until_writable(limit):
                return AttemptResult(Outcome.SILENT, head, b"")
            if has_events:
                until = state.clock() + self._stall_timeout_s()

    async def _pass_events(self, head: AnswerHead, splitter: EventSplitter, data: bytes) -> bool:
        """Pass on the events that are complete with these bytes; return whether there are any.

        Raises
        ------
        EventTooLargeError
            See `EventSplitter.feed`.
        """
        turn, has_events = self.state.turns.begin(), False
        for start in range(0, len(data), SLICE_BYTES):
            piece = data[start : start + SLICE_BYTES]
            for event in splitter.feed(piece):
                self._pass_event(head, event.data, event.id)
                has_events = True
            if turn.is_over(len(piece)) and start + SLICE_BYTES < len(data):
                turn = await self.state.turns.next()
        return has_events

    def _end_facts(
        self, arrived_whole: bool, splitter: EventSplitter, exchange: Exchange
    ) -> streamend.EndFacts:
        return streamend.EndFacts(
            arrived_whole=arrived_whole,
            ended_by_close=exchange.ended_by_close,
            has_partial_event=bool(splitter.rest.strip()),
            begun=self.begun,
            started=self.started,
            stop_requested=(
                self.task is not None and self.migrator is not None and self.migrator.stopping
            ),
            deadline_passed=self.request.left_s() <= 0,
        )

    async def _is_whole(self, facts: streamend.EndFacts) -> bool:
        """Return whether a stream that ended is whole."""
        end = streamend.judge(facts)
        if end is streamend.StreamEnd.WHOLE:
            return True
        pending = end is streamend.StreamEnd.STOP_PENDING
        whole = pending and await self._ended_before_stop()
        if facts.ended_by_close:
            self.state.log(
                "stream_end",
                id=self.request.head.attempt_id,
                server=self.entry.id if self.entry is not None else None,
                end=end.value,
                whole=whole,
                events=self.event_timing.events,
                deadline_passed=facts.deadline_passed,
            )
        return whole

    async def _ended_before_stop(self) -> bool:
        """Return whether the server answers the request to stop that the run had already ended."""
        task, migrator = self.task, self.migrator
        assert task is not None and migrator is not None
        self._handover_by = self._handover_limit()
        await asyncio.wait({task}, timeout=max(0.0, self._handover_by - self.state.clock()))
        return task.done() and migrator.ended_before_stop

    def _stall_timeout_s(self) -> float:
        """Return the time to wait for the next event; the first one may take until the deadline.

        A stream that was accepted during a stop and has not begun is given up when the rest of it
        may no longer end in time.
        """
        request, state = self.request, self.state
        left, route = request.answer_time_s(), request.route
        if not self.started and state.lifecycle.is_during_stop(request.inbound.arrived_at):
            left = min(left, state.lifecycle.serving_left_s(state.clock()))
            return left - longest_output_s(request)
        if not self.started:
            return left
        stall = max(MIN_STALL_S, STALL_TARGETS * route.target_s, STALL_GAPS * route.gap_s)
        return min(left, stall)

    def _pass_event(self, head: AnswerHead, data: bytes, event_id: int | None) -> None:
        """Pass an event on unless the client has already received it."""
        now = self.state.clock()
        if not self.begun:
            self._on_begun(now)
        if self._proof.on_event(now):
            self._on_proven(now)
        if event_id is not None and self.last_id is not None and event_id <= self.last_id:
            return
        if not self.started:
            seconds = now - self.client.inbound.arrived_at
            self.state.telemetry.observe("answer_seconds", seconds, "stream")
            self.client.status = head.status
            self.conn.start(head.status, list(head.headers), head.reason)
        self.event_timing.on_event(now)
        if self.event_timing.events % MIN_EVENTS == 0:
            self.state.token_pace.on_events(
                self.request.service.name,
                self.event_timing.events,
                self.event_timing.mean_gap_s / self._tokens_per_event(),
                now,
            )
        self.request.resends.on_progress()
        if event_id is not None:
            self.last_id = event_id
        self.conn.send(data)

    def _on_begun(self, now: float) -> None:
        """Record that an engine answers the request."""
        self.begun = True
        if self.observation is not None:
            self.observation.on_answer(now)
        if self.entry is not None:
            self.state.poison.on_server_answer(self.entry.token, self.sent_at, now)

    def _on_proven(self, now: float) -> None:
        """Record that the request does not crash the engines that answer it."""
        self.request.is_proven = True
        self.state.poison.on_answer(self.request.traits, now)

    def _classify(
        self,
        entry: Entry,
        head: AnswerHead | None,
        body: bytes,
        splitter: EventSplitter,
        complete: bool,
        crashed: bool,
        ended_by_close: bool = False,
    ) -> AttemptResult:
        """Return and record the result of an engine's answer; on success, complete the client's.

        Parameters
        ----------
        crashed
            Whether the engine, rather than this daemon, ended an incomplete answer.
        ended_by_close
            Whether only the end of the connection ended a complete answer.
        """
        now = self.state.clock()
        if head is not None and head.not_run:
            return not_run_result(entry, head, body, now)
        if head is None or not complete:
            if self.task is None:
                self._on_failure(entry)
            if crashed:
                self._log_broken(entry)
            if self.task is None and crashed and not (self.request.is_proven or entry.leaving):
                record_crash(self.request, entry)
            return AttemptResult(Outcome.BROKEN, head, b"")
        if head.status != 200 or not is_authentic(head):
            self._on_failure(entry)
            return AttemptResult(Outcome.FAILED, head, body)
        if self.observation is not None:
            self.observation.on_pace(self.event_timing.mean_gap_s, now)
        self.state.poison.on_server_answer(entry.token, self.sent_at, now)
        if self.begun:
            record_end(self.request, entry, now, ended_by_close=ended_by_close)
        entry.on_answer(now - self.request.started_at, now)
        if not self.started:
            self.client.answer(AttemptResult(Outcome.ANSWERED, head, splitter.rest))
            return AttemptResult(Outcome.ANSWERED, head, b"")
        if splitter.rest:
            self.conn.send(splitter.rest)
        self.client.outcome = "answered"
        self.conn.end()
        return AttemptResult(Outcome.ANSWERED, head, b"")

    def _on_failure(self, entry: Entry) -> None:
        """Record an answer that failed, broke off or stalled, for the engine and its version."""
        entry.on_failure(self.state.clock())
        if self.observation is not None and not entry.leaving:
            self.observation.on_failure()

    def _log_broken(self, entry: Entry) -> None:
        """Write a line on an answer that the engine ended early, with the parts of the prompt."""
        request, state = self.request, self.state
        state.telemetry.add("broken_attempts", "yes" if self.begun else "no")
        age_s = self._proof.age_s(state.clock())
        state.log(
            "attempt_broken",
            id=request.head.attempt_id,
            server=entry.id,
            leaving=entry.leaving,
            begun=self.begun,
            since_first_ms=None if age_s is None else round(age_s * 1000),
            proven=request.is_proven,
            ms=round((state.clock() - self.sent_at) * 1000),
            parts=[part[:MAX_LABEL] for part in request.part_ids()[:MAX_LOGGED_PARTS]],
        )

    def _end_failed(self, last: AttemptResult, refusal: Refusal | None) -> None:
        """Abort a started stream that cannot be completed, or send the final answer."""
        request = self.request
        if self.started:
            self.client.outcome = "broken_off"
            self.conn.abort()
        elif request.possible_runs == 0:
            self.client.refuse(refusal or Refusal(Code.WAITED_TOO_LONG, retry_after_s=0.2))
        elif last.outcome is Outcome.FAILED and can_pass_on(last.head):
            self.client.answer(last)
        elif refusal is not None and refusal.code is Code.SERVER_CRASHED:
            self.client.refuse(refusal)
        elif not request.has_time():
            self.client.refuse(Refusal(Code.TIMED_OUT))
        else:
            self.client.refuse(Refusal(Code.GENERATION_LOST))

    # Migration.

    def _drop_migration(self) -> None:
        """Cancel a migration that is no longer needed, or free its copy on the target."""
        task, self.task = self.task, None
        if task is None or task.cancel() or task.cancelled():
            return
        if (fault := task.exception()) is not None:
            self.state.log("fault", id=self.request.head.attempt_id, cause=repr(fault))
            return
        handover = task.result()
        if handover is not None and handover.counted:
            self.state.spawn(Migrator(self.request, self).free(handover))

    def on_engine_shutdown(self, entry: Entry) -> migration.LeavingRun | None:
        """Start to migrate a generation off an engine that is shutting down.

        Return its report for the other daemons, or None if no migration is started: the generation
        may end in time even at its maximum length, for example, or have a complete checkpoint.
        """
        engine = self.request.service.engine
        if (
            self.entry is not entry
            or engine is None
            or not engine.supports_migration
            or self.task is not None
        ):
            return None
        run = self.progress()
        stays = self.started and migration.ends_in_time(run, migration.LEAVE_NOTICE_S)
        copied = self._is_checkpoint_ready(entry, run)
        self.state.log(
            "server_leaves_run",
            id=self.request.head.attempt_id,
            server=entry.id,
            events=self.event_timing.events,
            left_s=round(migration.remaining_s(run), 2),
            stays=stays,
            copied=copied,
        )
        if stays or copied:
            return None
        self.migrator = Migrator(self.request, self)
        self.task = asyncio.get_running_loop().create_task(self.migrator.run(entry))
        to = self.migrator.destination(entry, run)
        return migration.describe(self.request.head.attempt_id, run, engine, entry, to)

    def _tokens_per_event(self) -> int:
        """Return the configured tokens per event; a negative value counts as 1."""
        engine = self.request.service.engine
        return max(1, engine.tokens_per_event) if engine is not None else 1

    def progress(self) -> migration.RunState:
        """Return the token counts and the speed of the generation.

        The count of generated tokens is an estimate: events times configured tokens per event.
        """
        generation = self.request.head.generation
        assert generation is not None
        tokens_per_event = self._tokens_per_event()
        return migration.RunState(
            prompt=generation.prompt,
            generated=self.event_timing.events * tokens_per_event,
            expected=expected_output(generation),
            limit=generation.output_limit,
            seconds_per_token=self.event_timing.mean_gap_s / tokens_per_event,
        )


def _is_stream(head: AnswerHead) -> bool:
    """Return whether an answer is a stream of events of the server that ran the request."""
    return head.status == 200 and not head.not_run and is_authentic(head)
