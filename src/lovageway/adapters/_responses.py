"""Writes the parts of an answer as HTTP: one body or server-sent events."""

import asyncio
import json
import time
from collections.abc import Callable

from aiohttp import web

from lovageway.adapters._http import SOCKET_TIMEOUT_S
from lovageway.adapters._listener import OnRefusal, refused
from lovageway.codes import Refusal
from lovageway.exchange import Answer, Ended, Opened, Part, Reconnecting, Refused, Tokens

SMALL_WRITE_BYTES = 16384  # fits into the transport's buffer without a wait

_MARK = "\0\0text\0\0"  # a name of a model cannot hold it: names come from the configuration

Sign = Callable[[Opened], str]


class Shape:
    """Puts output into the OpenAI form of completions or chat completions."""

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self.request_id = request_id
        self._base = {"id": request_id, "created": int(time.time()), "model": model}
        self._chat = chat
        self._around: tuple[str, ...] = ()

    def chunk(self, text: str, reason: str | None) -> dict[str, object]:
        """Return one event of a stream."""
        choice: dict[str, object] = {"index": 0, "finish_reason": reason}
        if self._chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        return {**self._base, "object": kind, "choices": [choice]}

    def encode(self, text: str, reason: str | None) -> str:
        """Return one event of a stream as JSON; only the text is encoded for most tokens."""
        if reason is not None:
            return json.dumps(self.chunk(text, reason))
        if not self._around:
            before, _, after = json.dumps(self.chunk(_MARK, None)).partition(json.dumps(_MARK))
            self._around = (before, after)
        return json.dumps(text).join(self._around)

    def whole(self, text: str, reason: str | None, prompt: int, output: int) -> dict[str, object]:
        """Return the body of an answer that is not streamed."""
        choice: dict[str, object] = {"index": 0, "finish_reason": reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._chat else "text_completion"
        usage = {"prompt_tokens": prompt, "completion_tokens": output}
        usage["total_tokens"] = prompt + output
        return {**self._base, "object": kind, "choices": [choice], "usage": usage}


class Events:
    """Writes the parts of an answer as server-sent events; the status waits for the first part.

    Parameters
    ----------
    request
        The caller's HTTP request.
    shape
        Form of an event.
    sign
        Makes the resume token of an opened stream.
    on_refusal
        Called with the code of each refusal.
    """

    def __init__(
        self, request: web.BaseRequest, shape: Shape, sign: Sign, on_refusal: OnRefusal
    ) -> None:
        self._request = request
        self._shape = shape
        self._sign = sign
        self._on_refusal = on_refusal
        self._stream: web.StreamResponse | None = None
        self.response: web.StreamResponse | None = None

    async def send(self, part: Part) -> None:
        """Write one part."""
        if self._stream is None:
            if isinstance(part, Refused):
                refusal = part.refusal
                self.response = refused(refusal, self._on_refusal, self._shape.request_id)
                return
            await self._begin()
        assert self._stream is not None
        await write(self._request, self._stream, self._event(part))

    async def _begin(self) -> None:
        headers = {
            "X-Request-Id": self._shape.request_id,
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
        }
        self._stream = self.response = web.StreamResponse(headers=headers)
        await self._stream.prepare(self._request)

    def _event(self, part: Part) -> bytes:
        match part:
            case Tokens(offset, texts, reason):
                # One event for tokens that arrived together: one write, one JSON body.
                data = self._shape.encode("".join(texts), reason)
                return f"id: {offset + len(texts) - 1}\ndata: {data}\n\n".encode()
            case Opened():
                fields = {**self._shape.chunk("", None), "resume_token": self._sign(part)}
                return f"data: {json.dumps(fields)}\n\n".encode()
            case Refused(refusal):
                self._on_refusal(refusal.code)
                return f"data: {json.dumps(refusal.to_json())}\n\n".encode()
            case Ended():
                return b"data: [DONE]\n\n"
            case Reconnecting() | Answer():
                return b": waiting\n\n"


class Body:
    """Collects the parts of an answer that has one body."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.texts: list[str] = []
        self.reason: str | None = None
        self.answer = b""

    async def send(self, part: Part) -> None:
        """Take one part."""
        match part:
            case Refused(refusal):
                self.refusal = refusal
            case Tokens(_, texts, reason):
                self.texts += texts
                self.reason = reason
            case Answer(body):
                self.answer = body


async def write(request: web.BaseRequest, stream: web.StreamResponse, data: bytes) -> None:
    """Write to a caller.

    Raises
    ------
    ConnectionError
        If the caller has gone, or takes nothing for SOCKET_TIMEOUT_S.
    """
    transport = request.transport
    if transport is None:
        raise ConnectionResetError("the caller has gone")
    if transport.get_write_buffer_size() == 0 and len(data) < SMALL_WRITE_BYTES:
        # A timer for each token would cost more than the write's bookkeeping.
        await stream.write(data)
        return
    try:
        async with asyncio.timeout(SOCKET_TIMEOUT_S):
            await stream.write(data)
    except TimeoutError as exc:
        transport.abort()
        raise ConnectionResetError("the caller does not read") from exc
