"""Writes the parts of an answer as HTTP: JSON, server-sent events, refusals."""

import json
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from lovageway import resume
from lovageway.codes import INFO, Code, Refusal
from lovageway.exchange import Answer, Ended, Idle, Opened, Part, Refused, Tokens

StartResponse = Callable[..., Any]
Sign = Callable[[Opened], str]


class Shape:
    """Puts output into the OpenAI form of completions or chat completions."""

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self._base = {"id": request_id, "created": int(time.time()), "model": model}
        self._chat = chat

    def chunk(self, text: str, reason: str | None) -> dict[str, object]:
        """Return one event of a stream."""
        choice: dict[str, object] = {"index": 0, "finish_reason": reason}
        if self._chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        return {**self._base, "object": kind, "choices": [choice]}

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


class Responder:
    """Writes one HTTP response.

    Parameters
    ----------
    start_response
        Of WSGI.
    request_id
        Sent as X-Request-Id.
    on_refusal
        Called with the code of each refusal.
    """

    def __init__(
        self,
        start_response: StartResponse,
        request_id: str,
        on_refusal: Callable[[Code], None],
    ) -> None:
        self._start_response = start_response
        self._request_id = request_id
        self._on_refusal = on_refusal

    def refuse(self, refusal: Refusal) -> list[bytes]:
        """Answer with a refusal."""
        self._on_refusal(refusal.code)
        headers = []
        if refusal.retry_after_s is not None:
            headers.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
        return self.json(INFO[refusal.code].status, refusal.to_json(), headers)

    def stream(self, parts: Iterator[Part], shape: Shape, sign: Sign) -> Iterable[bytes]:
        """Answer with server-sent events; the status waits for the first part."""
        first = next(parts)
        if isinstance(first, Refused):
            _close(parts)
            return self.refuse(first.refusal)
        self._head(200, [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")])
        return self._events(first, parts, shape, sign)

    def _events(
        self, first: Part, parts: Iterator[Part], shape: Shape, sign: Sign
    ) -> Iterator[bytes]:
        try:
            yield self._event(first, shape, sign)
            for part in parts:
                yield self._event(part, shape, sign)
        finally:
            _close(parts)

    def _event(self, part: Part, shape: Shape, sign: Sign) -> bytes:
        match part:
            case Opened():
                fields = {**shape.chunk("", None), "resume_token": sign(part)}
                return f"data: {json.dumps(fields)}\n\n".encode()
            case Tokens(offset, texts, reason):
                # One event for tokens that arrived together: one write, one JSON body.
                data = json.dumps(shape.chunk("".join(texts), reason))
                return f"id: {offset + len(texts) - 1}\ndata: {data}\n\n".encode()
            case Refused(refusal):
                self._on_refusal(refusal.code)
                return f"data: {json.dumps(refusal.to_json())}\n\n".encode()
            case Ended():
                return b"data: [DONE]\n\n"
            case Idle() | Answer():
                return b": waiting\n\n"

    def whole(self, parts: Iterator[Part], shape: Shape, prompt_tokens: int) -> list[bytes]:
        """Answer with one JSON body."""
        texts: list[str] = []
        reason = None
        for part in parts:
            if isinstance(part, Refused):
                return self.refuse(part.refusal)
            if isinstance(part, Tokens):
                texts += part.texts
                reason = part.finish_reason
        body = shape.whole("".join(texts), reason, prompt_tokens, len(texts))
        return self.json(200, body, [])

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

    def json(self, status: int, value: object, headers: list[tuple[str, str]]) -> list[bytes]:
        """Answer with a JSON body."""
        body = json.dumps(value).encode()
        sizes = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        self._head(status, sizes + headers)
        return [body]

    def _head(self, status: int, headers: list[tuple[str, str]]) -> None:
        status_line = f"{status} {_REASONS[status]}"
        self._start_response(status_line, [("X-Request-Id", self._request_id), *headers])


def signer(key: bytes, account: str, service: str, node: str, chat: bool) -> Sign:
    """Return the function that makes the resume token of an opened stream."""

    def sign(part: Opened) -> str:
        token = resume.ResumeToken(
            account, service, node, part.server_id, part.start_id, part.generation, chat
        )
        return resume.sign(key, token)

    return sign


def _close(parts: Iterator[Part]) -> None:
    parts.close()  # type: ignore[attr-defined]


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
