"""Structured log with a limited rate of lines; writing never blocks the event loop."""

import json
import sys
import threading
import time
from collections import deque
from typing import Any

import structlog

from lovageway.forwarding.tokenbucket import TokenBucket

LINES_PER_S = 200.0
BURST = 400.0  # lines
MAX_QUEUED_LINES = 2000  # queued while the reader of stdout does not read
MAX_VALUE_CHARS = 1000  # of a text in a line; clients choose the ids of their requests


class _Writer:
    """Writes lines to stdout in a thread of its own."""

    def __init__(self) -> None:
        self._lines: deque[str] = deque()
        self._ready = threading.Event()
        self._thread: threading.Thread | None = None
        self.dropped = 0

    def msg(self, message: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(message)
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="log", daemon=True)
            self._thread.start()

    info = warning = error = debug = msg

    def flush(self) -> None:
        """Wake the writer thread if lines are queued."""
        if self._lines:
            self._ready.set()

    def _run(self) -> None:
        while True:
            self._ready.wait()
            self._ready.clear()
            lines = []
            while self._lines:
                lines.append(self._lines.popleft())
            if lines:
                self._print(lines)

    def _print(self, lines: list[str]) -> None:
        """Write lines; if the reader has closed its end, count them as dropped."""
        try:
            sys.stdout.write("\n".join(lines) + "\n")
            sys.stdout.flush()
        except (OSError, ValueError):
            self.dropped += len(lines)


def _clip(value: object) -> object:
    return value[:MAX_VALUE_CHARS] if isinstance(value, str) else value


class EventLog:
    """Logger of one daemon.

    After a burst, at most LINES_PER_S lines per second are written. Dropped lines are counted, and
    the next line reports their number.
    """

    def __init__(self, **bound: object) -> None:
        self._writer = _Writer()
        self._tokens = TokenBucket(LINES_PER_S, BURST)
        self._left_out = 0
        self.left_out_total = 0
        structlog.configure(
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(serializer=json.dumps, default=str),
            ],
            logger_factory=lambda *_: self._writer,
            cache_logger_on_first_use=False,
        )
        self._logger = structlog.get_logger().bind(**bound)

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line."""
        if self._tokens.at(time.monotonic()) < 1:
            self._left_out += 1
            self.left_out_total += 1
            return
        self._tokens.take(1)
        left_out = self._left_out + self._writer.dropped
        if left_out:
            fields["lines_left_out"] = left_out
            self._left_out = self._writer.dropped = 0
        self._logger.info(event, **{name: _clip(value) for name, value in fields.items()})

    def flush(self) -> None:
        """Write the queued lines soon, in the writer thread."""
        self._writer.flush()
