"""Calls to model engines beside the requests themselves."""

import json

from lovageway.forwarding.model import Address, MigrationResult
from lovageway.platform import names


def move(attempt_id: str, to: Address, *, last: bool) -> bytes:
    """Encode the call that copies a running generation to another server.

    With `last`, the generation stops first and its stream is closed.
    """
    fields: dict[str, object] = {"id": attempt_id, "to": str(to)}
    if last:
        fields["last"] = True
    body = json.dumps(fields).encode()
    head = f"POST {names.MOVE_PATH} HTTP/1.1\r\nHost: engine\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def move_result(status: int, body: bytes) -> MigrationResult:
    """Decode the answer to a copy; an unreadable body counts as one without a handle."""
    try:
        fields = json.loads(body) if body else {}
        handle = fields.get("kv_handle")
        # `created` counts the events that were generated so far, not a time.
        made = int(fields.get("created") or 0)
    except (ValueError, AttributeError, TypeError, OverflowError, RecursionError):
        return MigrationResult(status, None, 0)
    return MigrationResult(status, None if handle is None else str(handle), made)


def free_copy(handle: str) -> bytes:
    """Encode the call that frees a copy at both ends."""
    return f"DELETE {names.HANDLE_PATH}{handle} HTTP/1.1\r\nHost: engine\r\n\r\n".encode()
