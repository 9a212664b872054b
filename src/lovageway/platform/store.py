"""Encodes calls to the platform's store and decodes its answers."""

import base64
import json
from collections.abc import Iterable, Sequence
from typing import Any
from urllib.parse import urlencode

from lovageway.forwarding.model import Page, Row
from lovageway.platform import names

MAX_ERA_DIGITS = 18
MAX_VERSION = (1 << 63) - 1
MAX_PAGE_VALUES = 100_000  # a page of the store has at most 500 rows of five values


class UnreadableAnswerError(ValueError):
    """Raised for a malformed answer of the store."""


HISTORY_LOST = 410
CONFLICT = 412


def read(table: str, first_key: str = "") -> bytes:
    """Encode the call that reads a page of a table's rows, ordered by key."""
    query = {"table": table, "part": "", "limit": "500"}
    if first_key:
        query["from"] = first_key
    return _get(f"/rows-get?{urlencode(query)}")


def watch(table: str, after: int, wait_s: float) -> bytes:
    """Encode the call that waits for rows newer than a version."""
    query = {"table": table, "after_revision": str(after), "wait_ms": str(int(wait_s * 1000))}
    return _get(f"/rows-feed?{urlencode(query)}")


def put(table: str, key: str, value: bytes) -> bytes:
    """Encode the call that writes one row unconditionally."""
    row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode()}
    return _transaction([row], [])


def put_if(table: str, key: str, value: bytes, version: int) -> bytes:
    """Encode the call that writes a row if it has a version; 0 means that it does not exist."""
    row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode()}
    return _transaction(
        [row], [], [{"table": table, "part": "", "key": key, "row_version": version}]
    )


def remove(table: str, key: str) -> bytes:
    """Encode the call that removes one row unconditionally."""
    return _transaction([], [{"table": table, "part": "", "key": key}])


def _transaction(
    write: list[dict[str, str]],
    removed: list[dict[str, str]],
    expected: Sequence[dict[str, str | int]] = (),
) -> bytes:
    fields = {"expected_revision": list(expected), "write": write, "remove": removed}
    body = json.dumps(fields).encode()
    head = "POST /rows-tx HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def _get(target: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: store\r\n\r\n".encode()


def era(headers: Iterable[tuple[str, str]]) -> int | None:
    """Return the era that an answer of the store belongs to, None if it names none."""
    for name, value in headers:
        text = value.strip()
        if name.lower() == names.STORE_ERA and text.isascii() and text.isdigit():
            return int(text) if len(text) <= MAX_ERA_DIGITS else None
    return None


def page(body: bytes, era: int | None = None) -> Page:
    """Decode an answer with rows.

    Raises
    ------
    UnreadableAnswerError
        The answer is malformed.
    """
    # Small values take up to 30 times the memory of their text once they are decoded.
    if sum(body.count(separator) for separator in (b",", b"[", b"{")) > MAX_PAGE_VALUES:
        raise UnreadableAnswerError(f"an answer has more than {MAX_PAGE_VALUES} values")
    try:
        fields = json.loads(body)
        rows = tuple(_row(item) for item in fields["rows"])
        now_ms = max(0, int(fields.get("now_ms") or 0))
        return Page(rows, _version(fields), bool(fields.get("has_more")), era, now_ms)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError) as exc:
        raise UnreadableAnswerError(repr(exc)) from exc


def _row(fields: dict[str, Any]) -> Row:
    is_deleted = bool(fields.get("deleted"))
    value = None if is_deleted else _value(fields.get("value"))
    return Row(str(fields["table"]), str(fields["key"]), value, _version(fields))


def _version(fields: dict[str, Any]) -> int:
    version = int(fields["row_version"])
    if not 0 <= version <= MAX_VERSION:
        raise ValueError(f"version {version:.3e} is out of range")
    return version


def _value(text: object) -> bytes:
    """Decode a value; one that is not base64 becomes empty, which is reported as unreadable."""
    try:
        return base64.b64decode(text, validate=True) if isinstance(text, str) else b""
    except ValueError:
        return b""
