"""Writes the parts of an answer as an HTTP response: one body or server-sent events."""

import asyncio
import json
import time
from collections.abc import Callable

from aiohttp import web

from lovageway.adapters._http import SOCKET_TIMEOUT_S
from lovageway.adapters._listener import OnRefusal, refusal_response
from lovageway.codes import Refusal
from lovageway.exchange import Answer, Ended, Opened, Part, Reconnecting, Refused, Tokens

SMALL_WRITE_BYTES = 16384  # fits into the transport's write buffer, so the write does not block

# Stands for the text of an event that is encoded in advance. No model name contains it, because
# names in the configuration have only letters, digits and punctuation.
_TEXT_PLACEHOLDER = "\0\0text\0\0"

Sign = Callable[[Opened], str]


class CompletionFormat:
    """Formats output as OpenAI completions or chat completions.

    Parameters
    ----------
    request_id
        Id of the request, sent as the id of the completion.
    model
        Name of the model.
    chat
        Whether to use the form of chat completions.
    """

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self.request_id = request_id
        self._base = {"id": request_id, "created": int(time.time()), "model": model}
        self._chat = chat
        self._chunk_parts: tuple[str, ...] = ()

    def chunk(self, text: str, finish_reason: str | None) -> dict[str, object]:
        """Return one event of a stream."""
        choice: dict[str, object] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        return {**self._base, "object": kind, "choices": [choice]}

    def encode(self, text: str, finish_reason: str | None) -> str:
        """Return one event of a stream as JSON.

        The JSON around the text is encoded once; most tokens need only their text encoded.
        """
        if finish_reason is not None:
            return json.dumps(self.chunk(text, finish_reason))
        if not self._chunk_parts:
            before, _, after = json.dumps(self.chunk(_TEXT_PLACEHOLDER, None)).partition(
                json.dumps(_TEXT_PLACEHOLDER)
            )
            self._chunk_parts = (before, after)
        return json.dumps(text).join(self._chunk_parts)

    def completion(
        self, text: str, finish_reason: str | None, prompt_tokens: int, output_tokens: int
    ) -> dict[str, object]:
        """Return the body of a response that is not streamed."""
        choice: dict[str, object] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._chat else "text_completion"
        usage = {"prompt_tokens": prompt_tokens, "completion_tokens": output_tokens}
        usage["total_tokens"] = prompt_tokens + output_tokens
        return {**self._base, "object": kind, "choices": [choice], "usage": usage}


class EventWriter:
    """Writes the parts of an answer as server-sent events.

    The HTTP status is sent with the first part, so that a refusal can still set it.

    Parameters
    ----------
    request
        The caller's HTTP request.
    completion_format
        Format of the events.
    sign
        Returns the resume token of an opened stream.
    on_refusal
        Called with the code of each refusal.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        completion_format: CompletionFormat,
        sign: Sign,
        on_refusal: OnRefusal,
    ) -> None:
        self._request = request
        self._format = completion_format
        self._sign = sign
        self._on_refusal = on_refusal
        self._stream: web.StreamResponse | None = None
        self.response: web.StreamResponse | None = None

    async def send(self, part: Part) -> None:
        """Write one part."""
        if self._stream is None:
            if isinstance(part, Refused):
                refusal = part.refusal
                self.response = refusal_response(refusal, self._on_refusal, self._format.request_id)
                return
            await self._begin()
        assert self._stream is not None
        await write(self._request, self._stream, self._event(part))

    async def _begin(self) -> None:
        headers = {
            "X-Request-Id": self._format.request_id,
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
        }
        self._stream = self.response = web.StreamResponse(headers=headers)
        await self._stream.prepare(self._request)

    def _event(self, part: Part) -> bytes:
        match part:
            case Tokens(offset, texts, finish_reason):
                # Tokens that arrived together share one event, which saves writes and JSON.
                data = self._format.encode("".join(texts), finish_reason)
                return f"id: {offset + len(texts) - 1}\ndata: {data}\n\n".encode()
            case Opened():
                fields = {**self._format.chunk("", None), "resume_token": self._sign(part)}
                return f"data: {json.dumps(fields)}\n\n".encode()
            case Refused(refusal):
                self._on_refusal(refusal.code)
                return f"data: {json.dumps(refusal.to_json())}\n\n".encode()
            case Ended():
                return b"data: [DONE]\n\n"
            case Reconnecting() | Answer():
                # Clients ignore this comment. Writing it detects a caller that has disconnected.
                return b": waiting\n\n"


class BodyCollector:
    """Collects the parts of an answer that is sent as one body."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.texts: list[str] = []
        self.finish_reason: str | None = None
        self.answer = b""

    async def send(self, part: Part) -> None:
        """Add one part."""
        match part:
            case Refused(refusal):
                self.refusal = refusal
            case Tokens(_, texts, finish_reason):
                self.texts += texts
                self.finish_reason = finish_reason
            case Answer(body):
                self.answer = body


async def write(request: web.BaseRequest, stream: web.StreamResponse, data: bytes) -> None:
    """Write to a caller's stream.

    Raises
    ------
    ConnectionError
        If the caller has disconnected or reads nothing for SOCKET_TIMEOUT_S.
    """
    transport = request.transport
    if transport is None:
        raise ConnectionResetError("the caller has disconnected")
    if transport.get_write_buffer_size() == 0 and len(data) < SMALL_WRITE_BYTES:
        # Such a write does not block; a timer for each token would cost more than the write.
        await stream.write(data)
        return
    try:
        async with asyncio.timeout(SOCKET_TIMEOUT_S):
            await stream.write(data)
    except TimeoutError as exc:
        transport.abort()
        raise ConnectionResetError("the caller does not read") from exc
