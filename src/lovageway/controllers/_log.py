"""Rows and log tail of one daemon: the raw configuration, advanced strictly in version order."""

import json
from collections import deque
from collections.abc import Mapping

import msgspec

from lovageway.controllers._rows import HEAD_KEY, LOG_PREFIX, OPERATION_PREFIX, ROW_PREFIX
from lovageway.events import Row
from lovageway.messages import ConfigSnapshot, LogEntry

TAIL_ENTRIES = 256  # kept for peers that are behind; older ones take a snapshot
TAIL_BYTES = 1 << 20
MAX_BATCH_BYTES = 1 << 18  # of log entries in one message
PAGE_BYTES = 1 << 18  # of a snapshot in one message; a row is at most as large


class Store:
    """Rows of one version and the changes that led to it.

    Attributes
    ----------
    version
        Version of `rows`; only rises.
    rows
        Values as stored, by key without the prefix.
    """

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[str, dict[str, object]] = {}
        self._tail: deque[tuple[LogEntry, int]] = deque()
        self._tail_bytes = 0

    def apply(self, entry: LogEntry) -> bool:
        """Apply the change exactly on its predecessor; return whether it was the next one."""
        if entry.version != self.version + 1:
            return False
        rows = dict(self.rows)
        for key, value in entry.changes:
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = value
        self.rows, self.version = rows, entry.version
        size = _size(entry.changes)
        self._tail.append((entry, size))
        self._tail_bytes += size
        while len(self._tail) > TAIL_ENTRIES or self._tail_bytes > TAIL_BYTES:
            self._tail_bytes -= self._tail.popleft()[1]
        return True

    def replace(self, version: int, rows: Mapping[str, dict[str, object]]) -> bool:
        """Take all rows of a higher version; return whether it was higher."""
        if version <= self.version:
            return False
        self.rows, self.version = dict(rows), version
        self._tail.clear()
        self._tail_bytes = 0
        return True

    def entries(self) -> list[LogEntry]:
        """Return the log tail, oldest first."""
        return [entry for entry, _ in self._tail]

    def after(self, version: int) -> tuple[LogEntry, ...] | None:
        """Return changes after `version` that fit one message; None when they are not kept."""
        if version >= self.version:
            return ()
        if not self._tail or self._tail[0][0].version > version + 1:
            return None
        found: list[LogEntry] = []
        room = MAX_BATCH_BYTES
        for entry, size in self._tail:
            if entry.version <= version:
                continue
            room -= size
            if found and room < 0:
                break
            found.append(entry)
        return tuple(found)

    def pages(self) -> list[ConfigSnapshot]:
        """Return all rows as messages that each stay under the size limit."""
        pages: list[dict[str, dict[str, object]]] = [{}]
        room = PAGE_BYTES
        for key, value in self.rows.items():
            size = _size([key, value])
            if pages[-1] and size > room:
                pages.append({})
                room = PAGE_BYTES
            pages[-1][key] = value
            room -= size
        return [
            ConfigSnapshot(self.version, rows, number, len(pages))
            for number, rows in enumerate(pages)
        ]


class Assembler:
    """Puts the pages of one snapshot of one sender together."""

    def __init__(self) -> None:
        self._source: tuple[str, int, int] = ("", 0, 0)
        self._pages: dict[int, dict[str, dict[str, object]]] = {}

    def add(self, sender: str, page: ConfigSnapshot) -> dict[str, dict[str, object]] | None:
        """Return all rows when the page completes the snapshot."""
        source = (sender, page.version, page.pages)
        if source != self._source:
            # Pages of different senders or versions never mix: one of them may be older.
            self._source, self._pages = source, {}
        if not 0 <= page.page < page.pages:
            return None
        self._pages[page.page] = page.rows
        if len(self._pages) < page.pages:
            return None
        rows = {key: row for part in self._pages.values() for key, row in part.items()}
        self._source, self._pages = ("", 0, 0), {}
        return rows


def _size(value: object) -> int:
    return len(json.dumps(value))


# ---- form of the rows in the table service ------------------------------------------------------


def log_key(version: int) -> str:
    """Return the key of a log row."""
    return f"{LOG_PREFIX}{version}"


def read_head(rows: Mapping[str, Row]) -> tuple[int, int] | None:
    """Return version and revision of the head; (0, 0) without a head, None if it is malformed."""
    row = rows.get(HEAD_KEY)
    if row is None:
        return 0, 0
    version = row.value.get("version") if isinstance(row.value, dict) else None
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        return None
    return version, row.revision


def read_entry(rows: Mapping[str, Row], version: int) -> LogEntry | None:
    """Return the log entry of a version, None when it is missing or malformed."""
    row = rows.get(log_key(version))
    try:
        entry = msgspec.convert(row.value, _StoredEntry) if row else None
    except msgspec.ValidationError:
        return None
    if entry is None or entry.version != version:
        return None
    return LogEntry(entry.version, entry.op_id, entry.changes)


def write_entry(entry: LogEntry) -> dict[str, object]:
    """Return the log row of an entry."""
    changes = [list(change) for change in entry.changes]
    return {"version": entry.version, "op_id": entry.op_id, "changes": changes}


def read_rows(rows: Mapping[str, Row]) -> dict[str, dict[str, object]]:
    """Return the configuration rows among the rows under ``config/``."""
    skipped = (LOG_PREFIX, OPERATION_PREFIX)
    return {
        key.removeprefix(ROW_PREFIX): row.value
        for key, row in rows.items()
        if key != HEAD_KEY and key.startswith(ROW_PREFIX) and not key.startswith(skipped)
    }


class _StoredEntry(msgspec.Struct):
    version: int
    op_id: str
    changes: tuple[tuple[str, dict[str, object] | None], ...]
