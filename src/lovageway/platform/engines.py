"""Encodes the calls that migrate generations between engines, and decodes their answers."""

import json

from lovageway.forwarding.model import Address, MigrationResult
from lovageway.platform import names, records


def migrate(attempt_id: str, to: Address, *, last: bool) -> bytes:
    """Encode the call that copies a running generation's KV cache to another server.

    Parameters
    ----------
    last
        Whether the generation stops before the copy and its stream is closed.
    """
    fields: dict[str, object] = {"id": attempt_id, "to": str(to)}
    if last:
        fields["last"] = True
    body = json.dumps(fields).encode()
    head = f"POST {names.MOVE_PATH} HTTP/1.1\r\nHost: engine\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def migration_result(status: int, body: bytes) -> MigrationResult:
    """Decode the answer to a migration call; an unreadable body counts as one without a handle."""
    try:
        fields = json.loads(body) if body else {}
        handle = fields.get("kv_handle")
        # `created` is the number of events generated so far, not a time.
        events = int(fields.get("created") or 0)
    except (ValueError, AttributeError, TypeError, OverflowError, RecursionError):
        return MigrationResult(status, None, 0)
    return MigrationResult(status, None if handle is None else str(handle), events)


def free_kv_cache(handle: str) -> bytes:
    """Encode the call that frees a copied KV cache on both engines."""
    return f"DELETE {names.KV_HANDLE_PATH}{handle} HTTP/1.1\r\nHost: engine\r\n\r\n".encode()


def report() -> bytes:
    """Encode the question to an engine for its report."""
    return f"GET {names.REPORT_PATH} HTTP/1.1\r\nHost: engine\r\n\r\n".encode()


def says_leaving(body: bytes) -> bool:
    """Return whether an engine's report says that it leaves; False if it cannot be read."""
    try:
        fields = json.loads(body)
        is_leaving = records.STATES.get(fields.get("state"), False)
        return is_leaving or fields.get("leaves_ms") is not None
    except (ValueError, TypeError, AttributeError, RecursionError):
        return False
