"""HTTP interface for callers: OpenAI completions, plain calls, resumed streams and discovery."""

import asyncio
import hashlib
import json
import secrets
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from aiohttp import web

from lovageway import resume
from lovageway.adapters._listener import (
    BadRequestError,
    OnRefusal,
    json_response,
    read_body,
    refusal_response,
)
from lovageway.adapters._responses import BodyCollector, CompletionFormat, EventWriter
from lovageway.codes import Code, Refusal
from lovageway.controllers.discovery import TTL_S
from lovageway.events import Request, StreamCancelled
from lovageway.exchange import BackendClients, Exchange, Opened
from lovageway.memorybudget import MemoryBudget, MemoryReservation
from lovageway.model import Contract
from lovageway.runtime import Runtime
from lovageway.timing import Timing

PREFIX_CHARS = 256  # start of a prompt by which routing finds engines with its cached prefix
CHARS_PER_TOKEN = 4  # estimate for prompts; only the engine has the tokenizer
DEFAULT_MAX_TOKENS = 16384  # for requests without max_tokens
MAX_KEY_CHARS = 128  # of an Idempotency-Key header
MAX_OFFSET = 1 << 31  # largest token offset at which a stream can be resumed


class CallerApp:
    """Serves the requests of the callers' listener.

    Parameters
    ----------
    runtime
        Runtime of the daemon's node.
    backends
        Clients of the backend servers.
    timing
        Metrics of the times between tokens.
    resume_keys
        Keys of resume tokens. The first signs new tokens, all are accepted.
    on_refusal
        Called with the code of each refusal.
    memory
        Budget for the bodies of requests.
    """

    def __init__(
        self,
        runtime: Runtime,
        backends: BackendClients,
        timing: Timing,
        resume_keys: Sequence[bytes],
        on_refusal: OnRefusal,
        memory: MemoryBudget,
    ) -> None:
        self._runtime = runtime
        self._backends = backends
        self._timing = timing
        self._resume_keys = tuple(resume_keys)
        self._on_refusal = on_refusal
        self._memory = memory
        self._calls: set[asyncio.Task[None]] = set()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request."""
        request_id = secrets.token_hex(12)
        memory = MemoryReservation(self._memory)
        try:
            return await self._route(request, request_id, memory)
        except BadRequestError as exc:
            refusal = exc.refusal
            if "Idempotency-Key" in request.headers:
                # No row was looked up, so an earlier call with the key may have run.
                refusal = refusal._replace(earlier="unknown")
            return refusal_response(refusal, self._on_refusal, request_id)
        finally:
            memory.release()

    async def wait_for_calls(self) -> None:
        """Wait for the plain calls that are still running after their caller disconnected."""
        if self._calls:
            await asyncio.wait(self._calls)

    async def _route(
        self, request: web.BaseRequest, request_id: str, memory: MemoryReservation
    ) -> web.StreamResponse:
        match request.method, request.path.strip("/").split("/"):
            case "POST", ["v1", "completions"]:
                return await self._complete(request, request_id, memory, chat=False)
            case "POST", ["v1", "chat", "completions"]:
                return await self._complete(request, request_id, memory, chat=True)
            case "POST", ["v1", "streams", "resume"]:
                return await self._resume(request, request_id, memory)
            case "DELETE", ["v1", "streams"]:
                return await self._cancel(request, request_id, memory)
            case "POST", ["v1", "services", service, name]:
                return await self._call(request, request_id, memory, service, name)
            case "GET", ["v1", "models"]:
                return self._list_models(request, request_id)
            case "GET", ["v1", "discovery"]:
                return self._discover(request, request_id)
        raise BadRequestError(
            Refusal(Code.UNKNOWN_METHOD, f"{request.method} {request.path[:80]}.")
        )

    def _require_contract(self, request: web.BaseRequest) -> Contract:
        key = _api_key(request)
        contract = self._runtime.read(lambda node, now: node.authenticate.contract(key))
        if contract is None:
            raise BadRequestError(Refusal(Code.UNKNOWN_KEY))
        return contract

    def _discover(self, request: web.BaseRequest, request_id: str) -> web.StreamResponse:
        query = parse_qs(request.query_string)
        service, zone = (query.get(name, [""])[-1] for name in ("service", "zone"))
        if not service:
            raise BadRequestError(Refusal(Code.MALFORMED, "Name a service: ?service=S."))
        peer = request.transport.get_extra_info("peername") if request.transport else None
        caller = f"{peer[0]}:{peer[1]}" if peer else ""
        key = _api_key(request)
        found = self._runtime.read(lambda node, now: node.discover(key, service, zone, caller, now))
        if found.is_error():
            return refusal_response(found.error, self._on_refusal, request_id)
        return json_response({"addresses": found.ok, "ttl_s": TTL_S}, _id_header(request_id))

    def _list_models(self, request: web.BaseRequest, request_id: str) -> web.StreamResponse:
        contract = self._require_contract(request)
        services = self._runtime.read(lambda node, now: node.configuration.snapshot.services)
        names = [name for name in contract.services if name in services]
        # Only engines generate completions; plain services are called by method instead.
        models = [
            # The OpenAI format requires "created"; 0 is a placeholder.
            {"id": name, "object": "model", "created": 0, "owned_by": "lovageway"}
            for name in names
            if services[name].kind == "engine"
        ]
        return json_response({"object": "list", "data": models}, _id_header(request_id))

    async def _complete(
        self, request: web.BaseRequest, request_id: str, memory: MemoryReservation, chat: bool
    ) -> web.StreamResponse:
        model, prompt, max_tokens, stream = await _read_completion(request, memory, chat)
        req = Request(
            request_id,
            _api_key(request),
            model,
            "completions",
            _digest(model, "completions", prompt),
            len(prompt) // CHARS_PER_TOKEN + 1,
            max_tokens,
            _digest(prompt[:PREFIX_CHARS]),
            request.headers.get("X-Request-Class"),
            whole=not stream,
        )
        fields: dict[str, object] = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
        exchange = self._new_exchange(req, fields)
        completion_format = CompletionFormat(request_id, model, chat)
        if stream:
            return await self._stream(request, exchange, completion_format, model, chat)
        collector = BodyCollector()
        await exchange.run(collector.send)
        if collector.refusal is not None:
            return refusal_response(collector.refusal, self._on_refusal, request_id)
        text = "".join(collector.texts)
        completion = completion_format.completion(
            text, collector.finish_reason, req.prompt_tokens, len(collector.texts)
        )
        return json_response(completion, _id_header(request_id))

    def _new_exchange(
        self, req: Request, body: dict[str, object] | bytes = b"", position: int = 0
    ) -> Exchange:
        return Exchange(self._runtime, self._backends, self._timing, req, body, position)

    async def _stream(
        self,
        request: web.BaseRequest,
        exchange: Exchange,
        completion_format: CompletionFormat,
        model: str,
        chat: bool,
    ) -> web.StreamResponse:
        def sign(part: Opened) -> str:
            account, node = self._runtime.read(
                lambda node, now: (
                    node.account_of(completion_format.request_id),
                    node.membership.node,
                )
            )
            token = resume.ResumeToken(
                account, model, node, part.server_id, part.start_id, part.generation, chat
            )
            return resume.sign(self._resume_keys[0], token)

        events = EventWriter(request, completion_format, sign, self._on_refusal)
        await exchange.run(events.send)
        assert events.response is not None
        return events.response

    async def _verify_token(
        self, request: web.BaseRequest, memory: MemoryReservation
    ) -> resume.ResumeToken:
        text = _required_string(await _json_body(request, memory), "resume_token")
        verified = resume.verify(self._resume_keys, text)
        if verified.is_error():
            raise BadRequestError(verified.error)
        return verified.ok

    async def _resume(
        self, request: web.BaseRequest, request_id: str, memory: MemoryReservation
    ) -> web.StreamResponse:
        token = await self._verify_token(request, memory)
        req = Request(
            request_id, _api_key(request), token.service, "completions", "", 0, 0, resume=token
        )
        exchange = self._new_exchange(req, position=_resume_offset(request))
        completion_format = CompletionFormat(request_id, token.service, token.chat)
        return await self._stream(request, exchange, completion_format, token.service, token.chat)

    async def _cancel(
        self, request: web.BaseRequest, request_id: str, memory: MemoryReservation
    ) -> web.StreamResponse:
        token = await self._verify_token(request, memory)
        if self._require_contract(request).account != token.account:
            raise BadRequestError(Refusal(Code.BAD_RESUME_TOKEN))
        self._runtime.submit(StreamCancelled(token))
        return json_response({"cancelled": True}, _id_header(request_id))

    async def _call(
        self,
        request: web.BaseRequest,
        request_id: str,
        memory: MemoryReservation,
        service: str,
        name: str,
    ) -> web.StreamResponse:
        body, key = await read_body(request, memory), request.headers.get("Idempotency-Key")
        if key is not None and not (0 < len(key) <= MAX_KEY_CHARS and key.isprintable()):
            detail = f"Idempotency-Key needs 1 to {MAX_KEY_CHARS} printable characters."
            raise BadRequestError(Refusal(Code.MALFORMED, detail))
        req = Request(
            request_id,
            _api_key(request),
            service,
            name,
            _digest(service, name, body),
            0,
            0,
            request_class=request.headers.get("X-Request-Class"),
            idempotency_key=key,
        )
        collector = BodyCollector()
        # The call may have been sent already, and its answer is stored for retries with the same
        # key, so it continues when its caller disconnects.
        call = asyncio.create_task(self._new_exchange(req, body).run(collector.send))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        kept = memory.transfer()
        call.add_done_callback(lambda _: kept.release())
        await asyncio.shield(call)
        if collector.refusal is not None:
            return refusal_response(collector.refusal, self._on_refusal, request_id)
        headers = {**_id_header(request_id), "Content-Type": "application/json"}
        return web.Response(body=collector.answer, headers=headers)


def _id_header(request_id: str) -> dict[str, str]:
    return {"X-Request-Id": request_id}


class _Completion(NamedTuple):
    """What is kept of a request for a completion."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool


async def _read_completion(
    request: web.BaseRequest, memory: MemoryReservation, chat: bool
) -> _Completion:
    """Read a request for a completion; other fields of its body are not kept."""
    body = await _json_body(request, memory)
    prompt = _chat_prompt(body) if chat else _required_string(body, "prompt")
    max_tokens = body.get("max_tokens", body.get("max_completion_tokens", DEFAULT_MAX_TOKENS))
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool) or max_tokens < 1:
        raise BadRequestError(Refusal(Code.MALFORMED, "max_tokens must be a positive integer."))
    model = _required_string(body, "model")
    return _Completion(model, prompt, max_tokens, bool(body.get("stream")))


async def _json_body(request: web.BaseRequest, memory: MemoryReservation) -> dict[str, Any]:
    try:
        body = json.loads(await read_body(request, memory))
    except (ValueError, RecursionError) as exc:
        raise BadRequestError(Refusal(Code.MALFORMED, f"Body is not JSON: {exc}.")) from exc
    if not isinstance(body, dict):
        raise BadRequestError(Refusal(Code.MALFORMED, "Body must be a JSON object."))
    return body


def _required_string(body: dict[str, Any], name: str) -> str:
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


def _resume_offset(request: web.BaseRequest) -> int:
    """Return the offset of the first token that the caller has not received.

    The id of an event, which the caller returns in Last-Event-ID, is the offset of its last token.
    """
    text = request.headers.get("Last-Event-ID", "-1")
    try:
        position = int(text) + 1
    except ValueError:
        position = -1
    if not 0 <= position <= MAX_OFFSET:
        raise BadRequestError(Refusal(Code.MALFORMED, "Last-Event-ID must be an event's id."))
    return position


def _api_key(request: web.BaseRequest) -> str:
    header = request.headers.get("Authorization", "")
    scheme, _, key = header.partition(" ")
    # Bytes that are not UTF-8 are decoded to surrogates, which cannot be encoded for hashing.
    key = key.encode(errors="replace").decode()
    return key.strip() if scheme.lower() == "bearer" else ""


def _digest(*parts: str | bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode(errors="replace") if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()
