"""Splits a stream of bytes into server-sent events."""

import re
from typing import NamedTuple

MAX_EVENT_BYTES = 256 * 1024  # an engine's events have a few hundred bytes
_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4  # length of the longest match of _END
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


class Event(NamedTuple):
    """One event with its bytes as received, including the blank line at its end."""

    data: bytes
    id: int | None


class EventTooLargeError(ValueError):
    """An event that does not end within MAX_EVENT_BYTES."""


class EventSplitter:
    """Collects the parts of events; a partial event is never returned.

    Each byte is searched once, however the bytes arrive.
    """

    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete with these bytes.

        Raises
        ------
        EventTooLargeError
            The incomplete event exceeds MAX_EVENT_BYTES.
        """
        searched = max(0, len(self._rest) - _MAX_END_BYTES + 1)
        self._rest += data
        events = []
        start = 0
        for match in _END.finditer(self._rest, searched):
            block = bytes(self._rest[start : match.end()])
            found = _ID.search(block)
            events.append(Event(block, int(found.group(1)) if found else None))
            start = match.end()
        del self._rest[:start]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def pending(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._rest)

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._rest)
