"""Bounds and formats that all HTTP listeners of a daemon have in common."""

import json

from lovageway.codes import Refusal

MAX_BODY_BYTES = 1 << 20
BACKLOG = 256  # with a short queue, connections that arrive together are reset
SOCKET_TIMEOUT_S = 10  # also ends callers that send byte by byte or do not read their response


def encode_refusal(status_line: str, refusal: Refusal) -> bytes:
    """Return the bytes of a refusal that is written without a handler and ends the connection."""
    body = json.dumps(refusal.to_json())
    head = (
        f"{status_line}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return (head + body).encode("latin-1", errors="replace")
