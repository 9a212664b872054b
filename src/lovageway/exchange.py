"""Carries one request on its own thread: carries out the node's effects and reports back."""

import time
from collections.abc import Iterator
from functools import singledispatchmethod
from typing import NamedTuple

from lovageway.adapters.engines import EngineError, Engines, Token, TokenStream
from lovageway.adapters.services import PlainServices
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

MAX_RESUMES = 3  # consecutive connections of a stream that bring no token
REPORT_TOKENS = 32  # one event for each token would take the node's lock 14,000 times a second
REPORT_INTERVAL_S = 0.5
PRIORITIES = {"interactive": 0, "batch": 10}


class Opened(NamedTuple):
    """The engine accepted the generation."""

    server_id: str
    start_id: str
    generation: str


class Tokens(NamedTuple):
    """Output that arrived together; `offset` is that of its first token."""

    offset: int
    texts: tuple[str, ...]
    finish_reason: str | None


class Idle(NamedTuple):
    """The link to the engine is being replaced; writing this finds a caller that has gone."""


class Answer(NamedTuple):
    """Whole answer of a plain call."""

    body: bytes


class Refused(NamedTuple):
    """The request ended with a refusal."""

    refusal: Refusal


class Ended(NamedTuple):
    """The generation is complete."""

    output_tokens: int


Part = Opened | Tokens | Idle | Answer | Refused | Ended


class _Generation(NamedTuple):
    request_id: str
    attempt: int
    address: str
    name: str
    start_id: str
    whole: bool


class Exchange:
    """One request from arrival to its end.

    Parameters
    ----------
    runtime
        Where events go.
    engines, services
        Clients of the backend servers.
    req
        The request.
    body
        Body for the backend server: a completion's fields, or the bytes of a plain call.
    position
        Offset of the first token that the caller of a resumed stream does not have.
    """

    def __init__(
        self,
        runtime: Runtime,
        engines: Engines,
        services: PlainServices,
        req: Request,
        body: dict[str, object] | bytes = b"",
        position: int = 0,
    ) -> None:
        self._runtime = runtime
        self._engines = engines
        self._services = services
        self._req = req
        self._body = body
        self._position = position
        self._delivered = position
        self._resumable = ""  # generation that the caller could come back to
        self._open = True

    def parts(self) -> Iterator[Part]:
        """Yield the parts of the answer; closing the iterator means that the caller has gone."""
        box = self._runtime.open(self._req.request_id)
        try:
            self._runtime.submit(RequestArrived(self._req))
            while self._open:
                effect = box.get()
                assert not hasattr(effect, "op_id")
                yield from self._perform(effect)
        finally:
            self._runtime.close(self._req.request_id)
            if self._open:
                self._runtime.submit(CallerGone(self._req.request_id, self._resumable))

    @singledispatchmethod
    def _perform(self, effect: RequestEffect) -> Iterator[Part]:
        raise TypeError(f"no handler for {type(effect).__name__}")

    @_perform.register
    def _(self, effect: Refuse) -> Iterator[Part]:
        self._open = False
        yield Refused(effect.refusal)

    @_perform.register
    def _(self, effect: Replay) -> Iterator[Part]:
        self._open = False
        yield Answer(effect.answer.encode(errors="surrogateescape"))

    @_perform.register
    def _(self, effect: Finish) -> Iterator[Part]:
        self._open = False
        yield from ()

    @_perform.register
    def _(self, effect: StartAttempt) -> Iterator[Part]:
        try:
            if isinstance(self._body, bytes):
                yield from self._call(effect, self._body)
            else:
                yield from self._generate(effect, self._body)
        except EngineError as exc:
            self._fail(effect, exc)

    @_perform.register
    def _(self, effect: ResumeAttempt) -> Iterator[Part]:
        generation = _Generation(
            effect.request_id,
            effect.attempt,
            effect.address,
            effect.generation,
            effect.start_id,
            False,
        )
        self._resumable = effect.generation
        try:
            yield from self._deliver(generation, None)
        except EngineError as exc:
            self._fail(effect, exc)

    def _fail(self, effect: StartAttempt | ResumeAttempt, exc: EngineError) -> None:
        failed = AttemptFailed(
            effect.request_id, effect.attempt, exc.failure, self._delivered, exc.start_id
        )
        self._runtime.submit(failed)

    def _call(self, effect: StartAttempt, body: bytes) -> Iterator[Part]:
        answer = self._services.call(
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
        yield Answer(answer.body)

    def _generate(self, effect: StartAttempt, body: dict[str, object]) -> Iterator[Part]:
        name = generation_name(effect.request_id, effect.attempt)
        fields = {**body, "stream": True, "priority": PRIORITIES[effect.request_class]}
        generation = _Generation(
            effect.request_id, effect.attempt, effect.address, name, effect.start_id, effect.whole
        )
        try:
            stream = self._engines.start(effect.address, name, fields)
        except EngineError as exc:
            if exc.failure not in ("lost", "stalled"):
                raise
            # The engine may have started it before the link failed.
            stream = self._reconnect(generation, 0)
        generation = generation._replace(start_id=stream.start_id)
        self._runtime.submit(AttemptStarted(effect.request_id, effect.attempt, stream.start_id))
        if effect.whole:
            yield from self._deliver_whole(generation, stream)
            return
        self._resumable = name
        yield Opened(effect.server_id, stream.start_id, name)
        yield from self._deliver(generation, stream)

    def _deliver(self, generation: _Generation, stream: TokenStream | None) -> Iterator[Part]:
        for part in self._follow(generation, stream):
            if isinstance(part, Tokens):
                self._delivered = part.offset + len(part.texts)
            yield part
        self._end(generation)
        yield Ended(self._delivered)

    def _deliver_whole(self, generation: _Generation, stream: TokenStream) -> Iterator[Part]:
        finished = False
        try:
            # Nothing is delivered before the end, so another attempt can hide a failure.
            held = [part for part in self._follow(generation, stream) if not isinstance(part, Idle)]
            finished = True
        finally:
            if not finished:
                self._engines.cancel(generation.address, generation.name)
        self._delivered = sum(len(part.texts) for part in held if isinstance(part, Tokens))
        self._end(generation)
        yield from held
        yield Ended(self._delivered)

    def _end(self, generation: _Generation) -> None:
        self._resumable = ""
        finished = AttemptFinished(generation.request_id, generation.attempt, self._delivered)
        self._runtime.submit(finished)

    def _follow(self, generation: _Generation, stream: TokenStream | None) -> Iterator[Part]:
        """Yield each token once and in order, resuming the generation when the link fails."""
        position, failures = self._position, 0
        report = _Report(self._runtime, generation.request_id, position)
        while True:
            try:
                if stream is None:
                    stream = self._reconnect(generation, position)
                for batch in stream:
                    tokens = _next_tokens(batch, position, generation.start_id)
                    if tokens is None:
                        continue
                    position, failures = tokens.offset + len(tokens.texts), 0
                    yield tokens
                    report.add(position, tokens.finish_reason is not None)
                    if tokens.finish_reason is not None:
                        stream.close()
                        return
                raise EngineError("lost", "stream ended early", generation.start_id)
            except EngineError as exc:
                failures += 1
                if exc.failure in ("gone", "error") or failures > MAX_RESUMES:
                    raise
                stream = None
                yield Idle()

    def _reconnect(self, generation: _Generation, position: int) -> TokenStream:
        try:
            stream = self._engines.resume(generation.address, generation.name, position)
        except EngineError as exc:
            if exc.failure not in ("connect", "refused"):
                raise
            # The generation was sent before; a refused resume does not prove that it did not run.
            raise EngineError("lost", str(exc), exc.start_id) from exc
        if generation.start_id and stream.start_id != generation.start_id:
            stream.close()
            raise EngineError("gone", "the engine has started anew", stream.start_id)
        return stream


class _Report:
    """Reports delivered tokens to the node in lots."""

    def __init__(self, runtime: Runtime, request_id: str, position: int) -> None:
        self._runtime = runtime
        self._request_id = request_id
        self._reported = position
        self._at = time.monotonic()

    def add(self, position: int, last: bool) -> None:
        """Report when enough tokens or time have passed since the last report."""
        now, count = time.monotonic(), position - self._reported
        if last or count >= REPORT_TOKENS or now - self._at >= REPORT_INTERVAL_S:
            self._runtime.submit(TokensDelivered(self._request_id, count, position))
            self._reported, self._at = position, now


def _next_tokens(batch: tuple[Token, ...], position: int, start_id: str) -> Tokens | None:
    fresh = [token for token in batch if token.offset >= position]
    if not fresh:
        return None
    if [token.offset for token in fresh] != list(range(position, position + len(fresh))):
        raise EngineError("lost", "gap in the stream", start_id)
    texts = tuple(token.text for token in fresh)
    return Tokens(position, texts, fresh[-1].finish_reason)
