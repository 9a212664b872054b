"""Signed tokens with which a caller resumes a stream at any daemon."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from typing import NamedTuple

import msgpack  # type: ignore[import-untyped]
import msgspec
from expression import Error, Ok, Result

from lovageway.codes import Code, Refusal

MAX_TOKEN_CHARS = 2048
_MAC_BYTES = 16


class ResumeToken(NamedTuple):
    """Identifies a generation, where it runs and the account it belongs to."""

    account: str
    service: str
    node: str  # of the daemon that started the generation
    server_id: str
    start_id: str
    generation: str
    chat: bool


def sign(key: bytes, token: ResumeToken) -> str:
    """Return the token as URL-safe text."""
    body = msgpack.packb(list(token))
    return base64.urlsafe_b64encode(_mac(key, body) + body).decode().rstrip("=")


def verify(keys: Sequence[bytes], text: str) -> Result[ResumeToken, Refusal]:
    """Return the token in `text`, or a refusal if none of the keys signed it."""
    try:
        data = base64.urlsafe_b64decode(text[:MAX_TOKEN_CHARS] + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        return Error(Refusal(Code.BAD_RESUME_TOKEN))
    tag, body = data[:_MAC_BYTES], data[_MAC_BYTES:]
    if not any(hmac.compare_digest(tag, _mac(key, body)) for key in keys):
        return Error(Refusal(Code.BAD_RESUME_TOKEN))
    return Ok(msgspec.convert(msgpack.unpackb(body), ResumeToken))


def _mac(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, b"resume" + body, hashlib.sha256)[:_MAC_BYTES]
