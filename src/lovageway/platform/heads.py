"""Decodes the heads of clients' requests and servers' answers, and encodes forwarded requests.

A head is the start line and the headers of an HTTP message. The headers of the daemon's own answers
and the messages of the directory are encoded and decoded here too.
"""

import json
import re
from collections.abc import Iterable, Sequence
from typing import NamedTuple
from urllib.parse import parse_qs

from lovageway.forwarding.model import (
    Address,
    AnswerHead,
    Generation,
    RequestHead,
    ServerLoad,
    Statement,
)
from lovageway.platform import names
from lovageway.platform.settings import MS

Headers = Sequence[tuple[str, str]]
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_COUNT = re.compile(r"[0-9]{1,9}")
MAX_SHOWN = 80  # characters of a malformed value in an error
MAX_DEADLINE_MS = 10**9  # a later deadline has no effect: the time limits of routes are shorter
# A server that works outside this range of its usual speed would not answer any more.
MIN_SLOWNESS_PERCENT, MAX_SLOWNESS_PERCENT = 1.0, 10_000.0


class BadHeadError(ValueError):
    """Raised for a malformed request head; the message tells the client what to change."""


def _single_value(headers: Headers, name: str) -> str | None:
    """Return the value of a header, or None if it is absent.

    Parameters
    ----------
    name
        Name of the header in lower case.

    Raises
    ------
    BadHeadError
        The header is repeated.
    """
    values = [value for key, value in headers if key.lower() == name]
    if len(values) > 1:
        raise BadHeadError(f"send the header {name} once")
    return values[0].strip() if values else None


def _end_to_end(headers: Headers, dropped: frozenset[str]) -> tuple[tuple[str, str], ...]:
    """Return the headers to pass on: all but the dropped ones and those listed in Connection.

    A header listed in Connection is hop-by-hop. The headers that the receiver needs to handle the
    request are passed on even if they are listed.

    Parameters
    ----------
    dropped
        Names in lower case.
    """
    listed = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for token in value.split(",")
    }
    removed = dropped | (
        listed - {names.ATTEMPT_ID, names.GENERATION_SIZES, names.PROMPT_PARTS, "model", "host"}
    )
    return tuple((key, value) for key, value in headers if key.lower() not in removed)


_DROPPED_REQUEST_HEADERS = (
    names.HOP_BY_HOP
    | names.RESERVED
    | {names.DEADLINE, "authorization", names.LAST_EVENT, names.SIGNATURE}
)
_DROPPED_ANSWER_HEADERS = names.HOP_BY_HOP | {names.SERVER_LOAD, names.SERVER_ID, names.NOT_RUN}


def request(method: str, target: str, headers: Headers) -> RequestHead:
    """Decode the head of a client's request.

    Raises
    ------
    BadHeadError
        A header is missing, repeated or malformed.
    """
    host = _single_value(headers, "host")
    attempt_id = _single_value(headers, names.ATTEMPT_ID)
    if not host or not attempt_id:
        raise BadHeadError("send the headers Host and Attempt-Id")
    return RequestHead(
        method=method,
        target=target,
        host=host.lower().rpartition(":")[0] if ":" in host else host.lower(),
        attempt_id=attempt_id,
        key=_key(_single_value(headers, "authorization")),
        deadline_s=_deadline(_single_value(headers, names.DEADLINE)),
        last_event=_single_value(headers, names.LAST_EVENT),
        generation=_generation(headers),
        headers=_end_to_end(headers, _DROPPED_REQUEST_HEADERS),
    )


def _key(value: str | None) -> str | None:
    """Return the API key of an Authorization header; None if it is absent or not a bearer token."""
    scheme, _, key = (value or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def _deadline(value: str | None) -> float | None:
    """Return the time left for a request, in seconds; None if the client sent no deadline.

    Raises
    ------
    BadHeadError
        The value is not an integer.
    """
    if value is None:
        return None
    try:
        return min(max(0, int(value)), MAX_DEADLINE_MS) * MS
    except ValueError as exc:
        raise BadHeadError("Deadline-Ms is a whole number of milliseconds") from exc


def _generation(headers: Headers) -> Generation | None:
    """Return the sizes of the requested generation; None if the request starts no generation.

    Raises
    ------
    BadHeadError
        A header of the generation is repeated or malformed.
    """
    tokens = _single_value(headers, names.GENERATION_SIZES)
    if tokens is None:
        return None
    try:
        prompt, limit = (_count(part) for part in tokens.split(","))
        hint = _count(_single_value(headers, names.LENGTH_HINT) or "0")
        parts = tuple(
            _part(text)
            for text in (_single_value(headers, names.PROMPT_PARTS) or "").split(",")
            if text
        )
    except ValueError as exc:
        raise BadHeadError(
            "sizes and parts of a prompt are whole numbers of tokens, of at most nine digits"
        ) from exc
    return Generation(prompt, limit, hint, parts)


def _part(text: str) -> tuple[str, int]:
    """Decode "NAME:TOKENS", a part of a prompt and its size."""
    part, _, size = text.strip().rpartition(":")
    return part, _count(size)


def _count(text: str) -> int:
    """Decode a number of tokens.

    Raises
    ------
    ValueError
        It is not a number, or too large for the messages that report sums of such numbers.
    """
    if not _COUNT.fullmatch(text.strip()):
        raise ValueError(f"{text[:MAX_SHOWN]!r} is no number of tokens")
    return int(text)


class Forwarded(NamedTuple):
    """Headers that the daemon adds to a request that it forwards."""

    deadline_s: float
    server_id: str
    account: str | None
    priority: int | None
    last_event: str | None
    copy: tuple[Address, str] | None  # engine and handle of the KV cache to continue from
    backup: Address | None  # engine that keeps a checkpoint


def forwarded(head: RequestHead, added: Forwarded, body_size: int) -> bytes:
    """Encode the head of a request for a backend server."""
    lines = [f"{head.method} {head.target} HTTP/1.1"]
    lines += [f"{key}: {value}" for key, value in head.headers]
    lines.append(f"Deadline-Ms: {max(1, int(added.deadline_s / MS))}")
    lines.append(f"Expected-Replica: {added.server_id}")
    if added.account is not None:
        lines.append(f"Tenant: {added.account}")
    if added.priority is not None:
        lines.append(f"Request-Priority: {added.priority}")
    if added.last_event is not None:
        lines.append(f"Last-Event-Id: {added.last_event}")
    if added.copy is not None:
        lines.append(f"Kv-From: {added.copy[0]}/{added.copy[1]}")
    if added.backup is not None:
        lines.append(f"Kv-Backup: {added.backup}")
    if body_size or head.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {body_size}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def answer(status: int, reason: str, headers: Headers) -> AnswerHead:
    """Decode the head of a backend server's answer; malformed optional headers count as absent."""
    values = {key.lower(): value.strip() for key, value in headers}
    load, load_unreadable = _load(values.get(names.SERVER_LOAD))
    signed = names.SIGNATURE in values
    # Another server at the address sends 421 unsigned; a signed 421 may come from a run.
    is_another_server = status == 421 and not signed
    keep_alive = dict(part.strip().partition("=")[::2] for part in _keep_alive(values))
    return AnswerHead(
        status=status,
        reason=reason,
        attempt_id=values.get(names.ATTEMPT_ID),
        signed=signed,
        encoded=values.get("content-encoding", "identity").lower() != "identity",
        not_run=names.NOT_RUN in values or is_another_server,
        server_id=values.get(names.SERVER_ID),
        load=load,
        load_unreadable=load_unreadable,
        statement=_statement(headers),
        retry_after_s=_number(values.get(names.RETRY_AFTER)),
        keep_alive_s=_number(keep_alive.get("timeout")),
        headers=_end_to_end(headers, _DROPPED_ANSWER_HEADERS),
    )


def _statement(headers: Headers) -> Statement:
    """Return what a server says of itself; of several limits in one answer, the lowest holds."""
    values = [value.strip() for key, value in headers if key.lower() == names.SERVER_LIMIT]
    leaving = any(
        key.lower() == names.SERVER_LEAVING and value.strip() == "1" for key, value in headers
    )
    if not all(_DECIMAL.fullmatch(value) for value in values):
        return Statement(readable=False, leaving=leaving)
    return Statement(min((float(value) for value in values), default=None), leaving=leaving)


def _keep_alive(values: dict[str, str]) -> list[str]:
    return values.get("keep-alive", "").split(",")


def _load(text: str | None) -> tuple[ServerLoad | None, bool]:
    """Return the load that a server reports, and whether a part of it could not be read.

    Of a fourth figure that cannot be, only this figure is dropped.
    """
    if text is None:
        return None, False
    counts, slowness = text.split(",")[:3], text.split(",")[3:]
    if len(counts) != 3 or not all(_COUNT.fullmatch(part.strip()) for part in counts):
        return None, True
    load = ServerLoad(*(int(part) for part in counts))
    if not slowness:
        return load, False
    if len(slowness) > 1 or not _DECIMAL.fullmatch(slowness[0].strip()):
        return load, True
    percent = float(slowness[0])
    if not MIN_SLOWNESS_PERCENT <= percent <= MAX_SLOWNESS_PERCENT:
        return load, True
    return load._replace(slowness=percent / 100), False


def _number(text: str | None) -> float | None:
    """Decode a decimal number; None if there is none, or if it is malformed or too large."""
    return float(text) if text is not None and _DECIMAL.fullmatch(text.strip()) else None


def own_headers(attempt_id: str | None, retry_after_s: float | None) -> list[tuple[str, str]]:
    """Return the headers of an answer that the daemon itself generates."""
    headers = [("Content-Type", "application/json")]
    if attempt_id is not None:
        headers.append(("Attempt-Id", attempt_id))
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    return headers


def directory_query(target: str) -> tuple[str, str, str] | None:
    """Decode the host, region and zone of a directory query; return None for another path."""
    path, _, query = target.partition("?")
    if path != names.DIRECTORY_PATH:
        return None
    fields = parse_qs(query)
    host, region, zone = (fields.get(name, [""])[0] for name in ("name", "region", "zone"))
    return host.lower(), region, zone


def directory_body(addresses: Iterable[Address], ttl_s: float) -> bytes:
    """Encode an answer of the directory."""
    return json.dumps({"addresses": [str(item) for item in addresses], "ttl_s": ttl_s}).encode()


def is_readiness_path(target: str) -> bool:
    """Return whether a request target is the readiness path."""
    return target.partition("?")[0] == names.READY_PATH
