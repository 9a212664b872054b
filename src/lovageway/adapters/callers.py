"""Callers' interface: HTTP by cheroot, completions in the OpenAI form."""

import hashlib
import json
import secrets
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from cheroot import wsgi

from lovageway.adapters.engines import Engines
from lovageway.adapters.services import PlainServices
from lovageway.codes import INFO, Code, Refusal
from lovageway.events import Request
from lovageway.exchange import Answer, Ended, Exchange, Idle, Opened, Part, Refused, Tokens
from lovageway.runtime import Runtime

MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 1 << 14
PREFIX_CHARS = 256
CHARS_PER_TOKEN = 4  # estimate for prompts; the engine alone knows its tokenizer
DEFAULT_MAX_TOKENS = 16384

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class BadRequestError(Exception):
    """A request that cannot be served as sent."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class Callers:
    """WSGI application of the callers' listener."""

    def __init__(self, runtime: Runtime, engines: Engines, services: PlainServices) -> None:
        self._runtime = runtime
        self._engines = engines
        self._services = services

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one HTTP request."""
        request_id = secrets.token_hex(12)
        respond = _Responder(start_response, request_id)
        try:
            return self._route(environ, request_id, respond)
        except BadRequestError as exc:
            return respond.refuse(exc.refusal)

    def _route(self, environ: Environ, request_id: str, respond: "_Responder") -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        parts = path.strip("/").split("/")
        match method, parts:
            case "POST", ["v1", "completions"]:
                return self._complete(environ, request_id, respond, chat=False)
            case "POST", ["v1", "chat", "completions"]:
                return self._complete(environ, request_id, respond, chat=True)
            case "POST", ["v1", "services", service, name]:
                return self._call(environ, request_id, respond, service, name)
        raise BadRequestError(Refusal(Code.UNKNOWN_METHOD, f"{method} {path[:80]}."))

    def _complete(
        self, environ: Environ, request_id: str, respond: "_Responder", chat: bool
    ) -> Iterable[bytes]:
        body = _json_body(environ)
        prompt = _chat_prompt(body) if chat else _text(body, "prompt")
        max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
        if not isinstance(max_tokens, int) or isinstance(max_tokens, bool) or max_tokens < 1:
            raise BadRequestError(Refusal(Code.MALFORMED, "max_tokens must be a positive integer."))
        model = _text(body, "model")
        fields: dict[str, object] = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
        req = Request(
            request_id,
            _api_key(environ),
            model,
            "completions",
            _digest(model, "completions", prompt.encode()),
            len(prompt) // CHARS_PER_TOKEN + 1,
            max_tokens,
            _digest(prompt[:PREFIX_CHARS]),
            environ.get("HTTP_X_REQUEST_CLASS"),
        )
        parts = Exchange(self._runtime, self._engines, self._services, req, fields).parts()
        shape = _Shape(request_id, model, chat)
        if body.get("stream"):
            return respond.stream(parts, shape)
        return respond.whole(parts, shape)

    def _call(
        self, environ: Environ, request_id: str, respond: "_Responder", service: str, name: str
    ) -> Iterable[bytes]:
        body = _read_body(environ)
        req = Request(
            request_id,
            _api_key(environ),
            service,
            name,
            _digest(service, name, body),
            0,
            0,
            request_class=environ.get("HTTP_X_REQUEST_CLASS"),
            idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY"),
        )
        parts = Exchange(self._runtime, self._engines, self._services, req, body).parts()
        return respond.plain(parts)


class _Shape:
    """Puts output into the OpenAI form of completions or chat completions."""

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self._base = {"id": request_id, "created": int(time.time()), "model": model}
        self._chat = chat

    def chunk(self, text: str, reason: str | None) -> dict[str, object]:
        """Return one event of a stream."""
        if self._chat:
            choice: dict[str, object] = {
                "index": 0,
                "delta": {"role": "assistant", "content": text},
            }
        else:
            choice = {"index": 0, "text": text}
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        return {**self._base, "object": kind, "choices": [{**choice, "finish_reason": reason}]}

    def whole(self, text: str, reason: str | None, tokens: int) -> dict[str, object]:
        """Return the body of an answer that is not streamed."""
        choice: dict[str, object] = {"index": 0, "finish_reason": reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._chat else "text_completion"
        usage = {"prompt_tokens": 0, "completion_tokens": tokens, "total_tokens": tokens}
        return {**self._base, "object": kind, "choices": [choice], "usage": usage}


class _Responder:
    """Writes one HTTP response."""

    def __init__(self, start_response: StartResponse, request_id: str) -> None:
        self._start_response = start_response
        self._request_id = request_id

    def refuse(self, refusal: Refusal) -> list[bytes]:
        """Answer with a refusal."""
        headers = []
        if refusal.retry_after_s is not None:
            headers.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
        return self._json(INFO[refusal.code].status, refusal.to_json(), headers)

    def stream(self, parts: Iterator[Part], shape: _Shape) -> Iterable[bytes]:
        """Answer with server-sent events; the status waits for the first part."""
        first = next(parts)
        if isinstance(first, Refused):
            parts.close()  # type: ignore[attr-defined]
            return self.refuse(first.refusal)
        self._head(200, [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")])
        return self._events(first, parts, shape)

    def _events(self, first: Part, parts: Iterator[Part], shape: _Shape) -> Iterator[bytes]:
        try:
            yield _event(first, shape)
            for part in parts:
                yield _event(part, shape)
        finally:
            parts.close()  # type: ignore[attr-defined]

    def whole(self, parts: Iterator[Part], shape: _Shape) -> list[bytes]:
        """Answer with one JSON body."""
        texts: list[str] = []
        reason = None
        for part in parts:
            if isinstance(part, Refused):
                return self.refuse(part.refusal)
            if isinstance(part, Tokens):
                texts += part.texts
                reason = part.finish_reason
        return self._json(200, shape.whole("".join(texts), reason, len(texts)), [])

    def plain(self, parts: Iterator[Part]) -> list[bytes]:
        """Answer with the bytes of a plain service."""
        body = b""
        for part in parts:
            if isinstance(part, Refused):
                return self.refuse(part.refusal)
            if isinstance(part, Answer):
                body = part.body
        self._head(200, [("Content-Type", "application/json"), ("Content-Length", str(len(body)))])
        return [body]

    def _json(self, status: int, value: object, headers: list[tuple[str, str]]) -> list[bytes]:
        body = json.dumps(value).encode()
        sizes = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        self._head(status, sizes + headers)
        return [body]

    def _head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._start_response(
            f"{status} {_REASONS[status]}", [("X-Request-Id", self._request_id), *headers]
        )


def _event(part: Part, shape: _Shape) -> bytes:
    match part:
        case Tokens(offset, texts, reason):
            last = offset + len(texts) - 1
            # One event for tokens that arrived together: one write, one JSON body.
            data = json.dumps(shape.chunk("".join(texts), reason))
            return f"id: {last}\ndata: {data}\n\n".encode()
        case Refused(refusal):
            return f"event: error\ndata: {json.dumps(refusal.to_json())}\n\n".encode()
        case Ended():
            return b"data: [DONE]\n\n"
        case Opened() | Idle() | Answer():
            return b": waiting\n\n"


def _json_body(environ: Environ) -> dict[str, Any]:
    try:
        body = json.loads(_read_body(environ))
    except (ValueError, RecursionError) as exc:
        raise BadRequestError(Refusal(Code.MALFORMED, f"Body is not JSON: {exc}.")) from exc
    if not isinstance(body, dict):
        raise BadRequestError(Refusal(Code.MALFORMED, "Body must be a JSON object."))
    return body


def _read_body(environ: Environ) -> bytes:
    data: bytes = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    if len(data) > MAX_BODY_BYTES:
        raise BadRequestError(Refusal(Code.TOO_LARGE, f"At most {MAX_BODY_BYTES} bytes."))
    return data


def _text(body: dict[str, Any], name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str):
        raise BadRequestError(Refusal(Code.MALFORMED, f"{name} must be a string."))
    return value


def _chat_prompt(body: dict[str, Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadRequestError(Refusal(Code.MALFORMED, "messages must be a list that is not empty."))
    lines = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("content"), str):
            raise BadRequestError(Refusal(Code.MALFORMED, "Each message needs a text content."))
        lines.append(f"{message.get('role')}: {message['content']}")
    return "\n".join(lines)


def _api_key(environ: Environ) -> str:
    header: str = environ.get("HTTP_AUTHORIZATION", "")
    scheme, _, key = header.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _digest(*parts: str | bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode(errors="replace") if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()


_REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    413: "Payload Too Large",
    422: "Unprocessable Entity",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


def build_server(app: Any, host: str, port: int, threads: int) -> wsgi.Server:
    """Return a cheroot server for a WSGI application, bound by `prepare()`."""
    # cheroot never adds threads by itself: with fewer at the start, further requests would wait in
    # its own queue, where neither class nor deadline counts.
    server = wsgi.Server((host, port), app, numthreads=threads, max=threads)
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = MAX_BODY_BYTES
    server.shutdown_timeout = 5
    return server
