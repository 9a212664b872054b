"""Callers' interface: completions in the OpenAI form, plain calls, resumption."""

import hashlib
import json
import secrets
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any
from urllib.parse import parse_qs

from lovageway import resume
from lovageway.adapters._http import MAX_BODY_BYTES
from lovageway.adapters._responses import Responder, Shape, StartResponse, signer
from lovageway.adapters.engines import Engines
from lovageway.adapters.services import PlainServices
from lovageway.codes import Code, Refusal
from lovageway.controllers.discovery import TTL_S
from lovageway.events import Request
from lovageway.exchange import Exchange, Part
from lovageway.model import Contract
from lovageway.runtime import Runtime

PREFIX_CHARS = 256
CHARS_PER_TOKEN = 4  # estimate for prompts; the engine alone knows its tokenizer
DEFAULT_MAX_TOKENS = 16384
MAX_KEY_CHARS = 128
MAX_OFFSET = 1 << 31

Environ = dict[str, Any]


class BadRequestError(Exception):
    """A request that cannot be served as sent."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class Callers:
    """WSGI application of the callers' listener.

    Parameters
    ----------
    runtime
        The daemon.
    engines, services
        Clients of the backend servers.
    resume_keys
        Keys of resume tokens; the first signs, all are accepted.
    on_refusal
        Called with the code of each refusal.
    """

    def __init__(
        self,
        runtime: Runtime,
        engines: Engines,
        services: PlainServices,
        resume_keys: Sequence[bytes],
        on_refusal: Callable[[Code], None],
    ) -> None:
        self._runtime = runtime
        self._engines = engines
        self._services = services
        self._resume_keys = tuple(resume_keys)
        self._on_refusal = on_refusal

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one HTTP request."""
        request_id = secrets.token_hex(12)
        respond = Responder(start_response, request_id, self._on_refusal)
        try:
            return self._route(environ, request_id, respond)
        except BadRequestError as exc:
            return respond.refuse(exc.refusal)

    def _route(self, environ: Environ, request_id: str, respond: Responder) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match method, path.strip("/").split("/"):
            case "POST", ["v1", "completions"]:
                return self._complete(environ, request_id, respond, chat=False)
            case "POST", ["v1", "chat", "completions"]:
                return self._complete(environ, request_id, respond, chat=True)
            case "POST", ["v1", "streams", "resume"]:
                return self._resume(environ, request_id, respond)
            case "POST", ["v1", "services", service, name]:
                return self._call(environ, request_id, respond, service, name)
            case "GET", ["v1", "models"]:
                return self._models(environ, respond)
            case "GET", ["v1", "discovery"]:
                return self._discover(environ, respond)
        raise BadRequestError(Refusal(Code.UNKNOWN_METHOD, f"{method} {path[:80]}."))

    def _contract(self, environ: Environ) -> Contract:
        key = _api_key(environ)
        contract = self._runtime.read(lambda node, now: node.authenticate.contract(key))
        if contract is None:
            raise BadRequestError(Refusal(Code.UNKNOWN_KEY))
        return contract

    def _discover(self, environ: Environ, respond: Responder) -> Iterable[bytes]:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        service, zone = (query.get(name, [""])[-1] for name in ("service", "zone"))
        if not service:
            raise BadRequestError(Refusal(Code.MALFORMED, "Name a service: ?service=S."))
        caller = f"{environ.get('REMOTE_ADDR')}:{environ.get('REMOTE_PORT')}"
        key = _api_key(environ)
        found = self._runtime.read(lambda node, now: node.discover(key, service, zone, caller))
        if found.is_error():
            return respond.refuse(found.error)
        return respond.json(200, {"addresses": found.ok, "ttl_s": TTL_S}, [])

    def _models(self, environ: Environ, respond: Responder) -> Iterable[bytes]:
        contract = self._contract(environ)
        services = self._runtime.read(lambda node, now: node.configuration.snapshot.services)
        names = [name for name in contract.services if name in services]
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "lovageway"}
            for name in names
            if services[name].kind == "engine"
        ]
        return respond.json(200, {"object": "list", "data": models}, [])

    def _complete(
        self, environ: Environ, request_id: str, respond: Responder, chat: bool
    ) -> Iterable[bytes]:
        body = _json_body(environ)
        prompt = _chat_prompt(body) if chat else _text(body, "prompt")
        limit = body.get("max_tokens", body.get("max_completion_tokens", DEFAULT_MAX_TOKENS))
        if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
            raise BadRequestError(Refusal(Code.MALFORMED, "max_tokens must be a positive integer."))
        model, stream = _text(body, "model"), bool(body.get("stream"))
        req = Request(
            request_id,
            _api_key(environ),
            model,
            "completions",
            _digest(model, "completions", prompt),
            len(prompt) // CHARS_PER_TOKEN + 1,
            limit,
            _digest(prompt[:PREFIX_CHARS]),
            environ.get("HTTP_X_REQUEST_CLASS"),
            whole=not stream,
        )
        fields: dict[str, object] = {"model": model, "prompt": prompt, "max_tokens": limit}
        parts = Exchange(self._runtime, self._engines, self._services, req, fields).parts()
        shape = Shape(request_id, model, chat)
        if stream:
            return self._stream(environ, respond, parts, shape, model, chat)
        return respond.whole(parts, shape, req.prompt_tokens)

    def _stream(
        self,
        environ: Environ,
        respond: Responder,
        parts: Iterator[Part],
        shape: Shape,
        model: str,
        chat: bool,
    ) -> Iterable[bytes]:
        key = _api_key(environ)
        contract, node = self._runtime.read(
            lambda node, now: (node.authenticate.contract(key), node.membership.node)
        )
        account = contract.account if contract else ""
        return respond.stream(
            parts, shape, signer(self._resume_keys[0], account, model, node, chat)
        )

    def _resume(self, environ: Environ, request_id: str, respond: Responder) -> Iterable[bytes]:
        verified = resume.verify(self._resume_keys, _text(_json_body(environ), "resume_token"))
        if verified.is_error():
            raise BadRequestError(verified.error)
        token = verified.ok
        req = Request(
            request_id, _api_key(environ), token.service, "completions", "", 0, 0, resume=token
        )
        exchange = Exchange(
            self._runtime, self._engines, self._services, req, position=_position(environ)
        )
        shape = Shape(request_id, token.service, token.chat)
        return self._stream(environ, respond, exchange.parts(), shape, token.service, token.chat)

    def _call(
        self, environ: Environ, request_id: str, respond: Responder, service: str, name: str
    ) -> Iterable[bytes]:
        body, key = _read_body(environ), environ.get("HTTP_IDEMPOTENCY_KEY")
        if key is not None and not (0 < len(key) <= MAX_KEY_CHARS and key.isprintable()):
            detail = f"Idempotency-Key needs 1 to {MAX_KEY_CHARS} printable characters."
            raise BadRequestError(Refusal(Code.MALFORMED, detail))
        req = Request(
            request_id,
            _api_key(environ),
            service,
            name,
            _digest(service, name, body),
            0,
            0,
            request_class=environ.get("HTTP_X_REQUEST_CLASS"),
            idempotency_key=key,
        )
        parts = Exchange(self._runtime, self._engines, self._services, req, body).parts()
        return respond.plain(parts)


def _json_body(environ: Environ) -> dict[str, Any]:
    try:
        body = json.loads(_read_body(environ))
    except (ValueError, RecursionError) as exc:
        raise BadRequestError(Refusal(Code.MALFORMED, f"Body is not JSON: {exc}.")) from exc
    if not isinstance(body, dict):
        raise BadRequestError(Refusal(Code.MALFORMED, "Body must be a JSON object."))
    return body


def _read_body(environ: Environ) -> bytes:
    try:
        data: bytes = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    except ValueError as exc:
        raise BadRequestError(Refusal(Code.MALFORMED, f"Body cannot be read: {exc}.")) from exc
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


def _position(environ: Environ) -> int:
    """Return the offset after the last event that the caller has."""
    text = environ.get("HTTP_LAST_EVENT_ID", "-1")
    try:
        position = int(text) + 1
    except ValueError:
        position = -1
    if not 0 <= position <= MAX_OFFSET:
        raise BadRequestError(Refusal(Code.MALFORMED, "Last-Event-ID must be an event's id."))
    return position


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
