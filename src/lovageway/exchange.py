"""Runs one request on the event loop: performs the node's effects and reports events to it."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor
from functools import singledispatchmethod
from typing import NamedTuple

from lovageway.adapters.engines import BackendError, Token
from lovageway.adapters.generations import GenerationClient, TokenStream
from lovageway.adapters.services import PlainServiceClient
from lovageway.codes import Refusal
from lovageway.events import (
    AttemptFailed,
    AttemptFinished,
    AttemptStarted,
    CallerGone,
    Finish,
    Refuse,
    Replay,
    Request,
    RequestArrived,
    RequestEffect,
    ResumeAttempt,
    StartAttempt,
    TokensDelivered,
)
from lovageway.model import generation_name
from lovageway.runtime import Runtime
from lovageway.timing import StreamTiming, Timing

# Pauses before the connections of a stream that follow each other without a token.
RECONNECT_DELAYS_S = (0.0, 0.1, 0.2, 0.4)
REPORT_TOKENS = 32  # an event per token would acquire the node's lock 14,000 times a second
REPORT_INTERVAL_S = 0.5
PRIORITIES = {"interactive": 0, "batch": 10}


class Opened(NamedTuple):
    """The engine has accepted the generation."""

    server_id: str
    start_id: str
    generation: str


class Tokens(NamedTuple):
    """Output that arrived together; `offset` is that of the first token."""

    offset: int
    texts: tuple[str, ...]
    finish_reason: str | None


class Reconnecting(NamedTuple):
    """The connection to the engine is being replaced; writing this detects a caller that left."""


class Answer(NamedTuple):
    """Complete answer of a plain call."""

    body: bytes


class Refused(NamedTuple):
    """The request ended with a refusal."""

    refusal: Refusal


class Ended(NamedTuple):
    """The generation is complete."""

    output_tokens: int


Part = Opened | Tokens | Reconnecting | Answer | Refused | Ended


Send = Callable[[Part], Awaitable[None]]
"""Writes the next part of an answer; returns when the next one may follow."""


class BackendClients(NamedTuple):
    """Clients of the backend servers, and the threads for blocking calls."""

    generations: GenerationClient
    services: PlainServiceClient
    threads: Executor  # runs plain calls, which block


class _Generation(NamedTuple):
    request_id: str
    attempt: int
    address: str
    name: str
    start_id: str


class Exchange:
    """Handles one request from its arrival to its end.

    Parameters
    ----------
    runtime
        Runtime to submit events to.
    backends
        Clients of the backend servers.
    timing
        Measurements of the times between tokens.
    req
        The request.
    body
        Body for the backend server: the fields of a completion, or the bytes of a plain call.
    position
        Offset of the first token that the caller of a resumed stream has not received.
    """

    def __init__(
        self,
        runtime: Runtime,
        backends: BackendClients,
        timing: Timing,
        req: Request,
        body: dict[str, object] | bytes = b"",
        position: int = 0,
    ) -> None:
        self._runtime = runtime
        self._backends = backends
        self._timing = timing
        self._req = req
        self._body = body
        self._position = position
        self._delivered = position
        self._resumable = ""  # generation that the caller could resume
        self._open = True

    async def run(self, send: Send) -> None:
        """Pass the parts of the answer to `send`; cancelled when the caller has disconnected."""
        loop = asyncio.get_running_loop()
        self._arrived = loop.time()
        effects: asyncio.Queue[RequestEffect] = asyncio.Queue()

        def put(effect: RequestEffect) -> None:
            # Called in any thread that submits an event to the node.
            loop.call_soon_threadsafe(effects.put_nowait, effect)

        self._runtime.subscribe(self._req.request_id, put)
        try:
            self._runtime.submit(RequestArrived(self._req))
            while self._open:
                await self._perform(await effects.get(), send)
        finally:
            self._runtime.close(self._req.request_id)
            if self._open:
                self._runtime.submit(CallerGone(self._req.request_id, self._resumable))

    @singledispatchmethod
    async def _perform(self, effect: RequestEffect, send: Send) -> None:
        raise TypeError(f"no handler for {type(effect).__name__}")

    @_perform.register
    async def _(self, effect: Refuse, send: Send) -> None:
        self._open = False
        await send(Refused(effect.refusal))

    @_perform.register
    async def _(self, effect: Replay, send: Send) -> None:
        self._open = False
        await send(Answer(effect.answer.encode(errors="surrogateescape")))

    @_perform.register
    async def _(self, effect: Finish, send: Send) -> None:
        self._open = False

    @_perform.register
    async def _(self, effect: StartAttempt, send: Send) -> None:
        try:
            if isinstance(self._body, bytes):
                await self._call(effect, self._body, send)
            else:
                await self._generate(effect, self._body, send)
        except BackendError as exc:
            self._fail(effect, exc)

    @_perform.register
    async def _(self, effect: ResumeAttempt, send: Send) -> None:
        generation = _Generation(
            effect.request_id,
            effect.attempt,
            effect.address,
            effect.generation,
            effect.start_id,
        )
        self._resumable = effect.generation
        stream_timing = self._timing.start_stream(effect.service, effect.request_class)
        try:
            await self._deliver(generation, None, stream_timing, send)
        except BackendError as exc:
            self._fail(effect, exc)

    def _fail(self, effect: StartAttempt | ResumeAttempt, exc: BackendError) -> None:
        failed = AttemptFailed(
            effect.request_id, effect.attempt, exc.failure, self._delivered, exc.start_id
        )
        self._runtime.submit(failed)

    async def _call(self, effect: StartAttempt, body: bytes, send: Send) -> None:
        answer = await asyncio.get_running_loop().run_in_executor(
            self._backends.threads,
            self._backends.services.call,
            effect.address,
            self._req.method,
            body,
            effect.request_id,
            self._req.idempotency_key or "",
            effect.timeout_s,
        )
        self._runtime.submit(AttemptStarted(effect.request_id, effect.attempt, answer.start_id))
        text = answer.body.decode(errors="surrogateescape")
        self._runtime.submit(AttemptFinished(effect.request_id, effect.attempt, 0, text))
        await send(Answer(answer.body))

    async def _generate(self, effect: StartAttempt, body: dict[str, object], send: Send) -> None:
        name = generation_name(effect.request_id, effect.attempt)
        fields = {**body, "stream": True, "priority": PRIORITIES[effect.request_class]}
        generation = _Generation(
            effect.request_id, effect.attempt, effect.address, name, effect.start_id
        )
        try:
            stream = await self._backends.generations.start(effect.address, name, fields)
        except BackendError as exc:
            if exc.failure not in ("lost", "stalled"):
                raise
            # The engine may have started the generation before the connection failed.
            stream = await self._reconnect(generation, 0)
        try:
            generation = generation._replace(start_id=stream.start_id)
            started = AttemptStarted(effect.request_id, effect.attempt, stream.start_id)
            self._runtime.submit(started)
            stream_timing = self._timing.start_stream(
                effect.service, effect.request_class, self._arrived
            )
            if effect.whole:
                await self._deliver_whole(generation, stream, stream_timing, send)
                return
            self._resumable = name
            await send(Opened(effect.server_id, stream.start_id, name))
            await self._deliver(generation, stream, stream_timing, send)
        finally:
            stream.close()

    async def _deliver(
        self,
        generation: _Generation,
        stream: TokenStream | None,
        stream_timing: StreamTiming,
        send: Send,
    ) -> None:
        async def deliver(part: Tokens | Reconnecting) -> None:
            if isinstance(part, Tokens):
                # Counted before the write, because a failed write may have reached the caller.
                self._delivered = part.offset + len(part.texts)
            await send(part)

        await self._relay(generation, stream, stream_timing, deliver)
        self._end(generation)
        await send(Ended(self._delivered))

    async def _deliver_whole(
        self, generation: _Generation, stream: TokenStream, stream_timing: StreamTiming, send: Send
    ) -> None:
        buffered: list[Tokens] = []

        async def buffer(part: Tokens | Reconnecting) -> None:
            if isinstance(part, Tokens):
                buffered.append(part)

        # Nothing is delivered before the end, so another attempt can replace a failed one.
        await self._relay(generation, stream, stream_timing, buffer)
        self._delivered = sum(len(part.texts) for part in buffered)
        self._end(generation)
        for part in buffered:
            await send(part)
        await send(Ended(self._delivered))

    def _end(self, generation: _Generation) -> None:
        self._resumable = ""
        finished = AttemptFinished(generation.request_id, generation.attempt, self._delivered)
        self._runtime.submit(finished)

    async def _relay(
        self,
        generation: _Generation,
        stream: TokenStream | None,
        stream_timing: StreamTiming,
        deliver: Callable[[Tokens | Reconnecting], Awaitable[None]],
    ) -> None:
        """Deliver each token once and in order, reconnecting when the connection fails."""
        position, failures = self._position, 0
        reporter = _DeliveryReporter(self._runtime, generation.request_id, position)
        while True:
            try:
                if stream is None:
                    stream = await self._reconnect(generation, position)
                while (batch := await stream.read()) is not None:
                    tokens = _next_tokens(batch, position, generation.start_id)
                    if tokens is None:
                        continue
                    position, failures = tokens.offset + len(tokens.texts), 0
                    await deliver(tokens)
                    now = time.monotonic()
                    stream_timing.record_write(now)
                    reporter.update(position, tokens.finish_reason is not None, now)
                    if tokens.finish_reason is not None:
                        return
                raise BackendError("lost", "stream ended early", generation.start_id)
            except BackendError as exc:
                failures += 1
                if exc.failure in ("gone", "error") or failures > len(RECONNECT_DELAYS_S):
                    raise
            finally:
                if stream is not None:
                    stream.close()
            stream = None
            await deliver(Reconnecting())
            await asyncio.sleep(RECONNECT_DELAYS_S[failures - 1])

    async def _reconnect(self, generation: _Generation, position: int) -> TokenStream:
        try:
            stream = await self._backends.generations.resume(
                generation.address, generation.name, position
            )
        except BackendError as exc:
            if exc.failure not in ("connect", "refused"):
                raise
            # The generation was sent before; a refused resume does not prove that it did not run.
            raise BackendError("lost", str(exc), exc.start_id) from exc
        if generation.start_id and stream.start_id != generation.start_id:
            stream.close()
            raise BackendError("gone", "the engine has restarted", stream.start_id)
        return stream


class _DeliveryReporter:
    """Reports delivered tokens to the node in batches."""

    def __init__(self, runtime: Runtime, request_id: str, position: int) -> None:
        self._runtime = runtime
        self._request_id = request_id
        self._reported = position
        self._reported_at = time.monotonic()

    def update(self, position: int, last: bool, now: float) -> None:
        """Report the position if enough tokens or time have passed since the last report."""
        count = position - self._reported
        if last or count >= REPORT_TOKENS or now - self._reported_at >= REPORT_INTERVAL_S:
            self._runtime.submit(TokensDelivered(self._request_id, count, position))
            self._reported, self._reported_at = position, now


def _next_tokens(batch: tuple[Token, ...], position: int, start_id: str) -> Tokens | None:
    if len(batch) == 1 and batch[0].offset == position:
        _, text, reason = batch[0]
        return Tokens(position, (text,), reason)
    new_tokens = [token for token in batch if token.offset >= position]
    if not new_tokens:
        return None
    if [token.offset for token in new_tokens] != list(range(position, position + len(new_tokens))):
        raise BackendError("lost", "gap in the stream", start_id)
    texts = tuple(token.text for token in new_tokens)
    return Tokens(position, texts, new_tokens[-1].finish_reason)
