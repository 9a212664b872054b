"""Splits a stream of server-sent events into whole events."""

import re
from typing import NamedTuple

EVENT_MOST = 256 * 1024  # bytes of one event; an engine's events have some hundred
_END = re.compile(rb"\r?\n\r?\n")
_END_MOST = 4  # bytes of the longest end of an event
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


class Event(NamedTuple):
    """One event as it was sent."""

    data: bytes
    id: int | None


class EventTooLargeError(ValueError):
    """An event that does not end within EVENT_MOST."""


class EventSplitter:
    """Collects parts of events; the partial event of a broken stream is never passed on.

    Each byte is searched once, however the bytes arrive.
    """

    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now.

        Raises
        ------
        EventTooLargeError
            What follows the last whole event is too large for one.
        """
        searched = max(0, len(self._rest) - _END_MOST + 1)
        self._rest += data
        events = []
        start = 0
        for match in _END.finditer(self._rest, searched):
            block = bytes(self._rest[start : match.end()])
            found = _ID.search(block)
            events.append(Event(block, int(found.group(1)) if found else None))
            start = match.end()
        del self._rest[:start]
        if len(self._rest) > EVENT_MOST:
            raise EventTooLargeError(f"an event exceeds {EVENT_MOST} bytes")
        return events

    @property
    def rest(self) -> bytes:
        """Return what follows the last whole event."""
        return bytes(self._rest)
