"""Carries one request on its own thread: carries out the node's effects and reports back."""

from collections.abc import Iterator
from functools import singledispatchmethod
from typing import NamedTuple

from lovageway.adapters.engines import EngineError, Engines, TokenStream
from lovageway.adapters.services import PlainServices
from lovageway.codes import Refusal
from lovageway.events import (
    AttemptFailed,
    AttemptFinished,
    AttemptStarted,
    CallerGone,
    Event,
    Finish,
    Refuse,
    Replay,
    Request,
    RequestArrived,
    RequestEffect,
    StartAttempt,
    TokensDelivered,
)
from lovageway.runtime import Runtime

MAX_RESUMES = 3  # consecutive reconnects of a stream that bring no token
PRIORITIES = {"interactive": 0, "batch": 10}


class Opened(NamedTuple):
    """The engine accepted the generation."""

    generation: str
    server_id: str
    start_id: str


class Tokens(NamedTuple):
    """Output that arrived together; `offset` is that of its first token."""

    offset: int
    texts: tuple[str, ...]
    finish_reason: str | None


class Idle(NamedTuple):
    """Nothing came for a while; gives the caller's side a chance to see a closed connection."""


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
    """

    def __init__(
        self,
        runtime: Runtime,
        engines: Engines,
        services: PlainServices,
        req: Request,
        body: dict[str, object] | bytes,
    ) -> None:
        self._runtime = runtime
        self._engines = engines
        self._services = services
        self._req = req
        self._body = body
        self._delivered = 0
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
            if self._open:
                self._report(CallerGone(self._req.request_id))
            self._runtime.close(self._req.request_id)

    def _report(self, event: Event) -> None:
        self._runtime.submit(event)

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
        yield Answer(effect.answer.encode())

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
            failed = AttemptFailed(
                effect.request_id, effect.attempt, exc.failure, self._delivered, exc.start_id
            )
            self._report(failed)

    def _call(self, effect: StartAttempt, body: bytes) -> Iterator[Part]:
        answer = self._services.call(
            effect.address,
            self._req.method,
            body,
            effect.request_id,
            self._req.idempotency_key or "",
            effect.timeout_s,
        )
        self._report(AttemptStarted(effect.request_id, effect.attempt, answer.start_id))
        text = answer.body.decode(errors="replace")
        self._report(AttemptFinished(effect.request_id, effect.attempt, 0, text))
        yield Answer(answer.body)

    def _generate(self, effect: StartAttempt, body: dict[str, object]) -> Iterator[Part]:
        generation = f"{effect.request_id}-{effect.attempt}"
        fields = {**body, "stream": True, "priority": PRIORITIES[effect.request_class]}
        stream = self._engines.start(effect.address, generation, fields)
        self._report(AttemptStarted(effect.request_id, effect.attempt, stream.start_id))
        yield Opened(generation, effect.server_id, stream.start_id)
        held: list[Part] = []
        finished = False
        try:
            for part in self._follow(effect, generation, stream):
                if effect.whole and isinstance(part, Tokens):
                    held.append(part)
                else:
                    yield part
            finished = True
        finally:
            if not finished:
                self._engines.cancel(effect.address, generation)
        yield from held
        self._report(AttemptFinished(effect.request_id, effect.attempt, self._delivered))
        yield Ended(self._delivered)

    def _follow(self, effect: StartAttempt, generation: str, stream: TokenStream) -> Iterator[Part]:
        """Yield each token once and in order, resuming the generation when the link fails."""
        start_id, failures, position = stream.start_id, 0, 0
        while True:
            try:
                for batch in stream:
                    fresh = [token for token in batch if token.offset >= position]
                    if not fresh:
                        continue
                    if fresh[0].offset != position:
                        raise EngineError("lost", "gap in the stream", start_id)
                    position = fresh[-1].offset + 1
                    failures = 0
                    reason = fresh[-1].finish_reason
                    yield Tokens(fresh[0].offset, tuple(token.text for token in fresh), reason)
                    if not effect.whole:
                        self._delivered = position
                    self._report(TokensDelivered(effect.request_id, len(fresh), position))
                    if reason is not None:
                        stream.close()
                        return
                raise EngineError("lost", "stream ended early", start_id)
            except EngineError as exc:
                failures += 1
                if exc.failure in ("gone", "error") or failures > MAX_RESUMES:
                    raise
                yield Idle()
                stream = self._reconnect(effect, generation, position, start_id)

    def _reconnect(
        self, effect: StartAttempt, generation: str, position: int, start_id: str
    ) -> TokenStream:
        error = EngineError("lost", "no try", start_id)
        for _ in range(MAX_RESUMES):
            try:
                stream = self._engines.resume(effect.address, generation, position)
            except EngineError as exc:
                error = exc
                if exc.failure == "gone":
                    raise
                continue
            if stream.start_id != start_id:
                stream.close()
                raise EngineError("gone", "the engine has started anew", stream.start_id)
            return stream
        raise error
