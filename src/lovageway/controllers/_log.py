"""Local store of raw configuration rows and the last log entries, and their stored form."""

import json
from collections import deque
from collections.abc import Mapping

import msgspec

from lovageway.controllers._rows import HEAD_KEY, LOG_PREFIX, OPERATION_PREFIX, ROW_PREFIX
from lovageway.events import Row
from lovageway.messages import ConfigSnapshot, LogEntry

MAX_TAIL_ENTRIES = (
    256  # last log entries, kept for peers that are behind; peers further behind need a snapshot
)
MAX_TAIL_BYTES = 1 << 20
MAX_BATCH_BYTES = 1 << 18  # of log entries in one message
MAX_PAGE_BYTES = 1 << 18  # of a snapshot in one message; no row is larger than this


class Store:
    """Rows of one version and the last changes that led to it.

    Attributes
    ----------
    version
        Version of `rows`; it never decreases.
    rows
        Values as stored in the table service, by key without the prefix.
    """

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[str, dict[str, object]] = {}
        self._tail: deque[tuple[LogEntry, int]] = deque()
        self._tail_bytes = 0

    def apply(self, entry: LogEntry) -> bool:
        """Apply a change if it is the next version; return whether it was applied."""
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
        while len(self._tail) > MAX_TAIL_ENTRIES or self._tail_bytes > MAX_TAIL_BYTES:
            self._tail_bytes -= self._tail.popleft()[1]
        return True

    def replace(self, version: int, rows: Mapping[str, dict[str, object]]) -> bool:
        """Replace all rows if the version is higher; return whether they were replaced."""
        if version <= self.version:
            return False
        self.rows, self.version = dict(rows), version
        self._tail.clear()
        self._tail_bytes = 0
        return True

    def entries(self) -> list[LogEntry]:
        """Return the last log entries, oldest first."""
        return [entry for entry, _ in self._tail]

    def entries_after(self, version: int) -> tuple[LogEntry, ...] | None:
        """Return the changes after `version` that fit one message, None if they are not kept."""
        if version >= self.version:
            return ()
        if not self._tail or self._tail[0][0].version > version + 1:
            return None
        batch: list[LogEntry] = []
        remaining_bytes = MAX_BATCH_BYTES
        for entry, size in self._tail:
            if entry.version <= version:
                continue
            remaining_bytes -= size
            if batch and remaining_bytes < 0:
                break
            batch.append(entry)
        return tuple(batch)

    def snapshot_pages(self) -> list[ConfigSnapshot]:
        """Return all rows, divided into messages that each stay below the size limit."""
        pages: list[dict[str, dict[str, object]]] = [{}]
        remaining_bytes = MAX_PAGE_BYTES
        for key, value in self.rows.items():
            size = _size([key, value])
            if pages[-1] and size > remaining_bytes:
                pages.append({})
                remaining_bytes = MAX_PAGE_BYTES
            pages[-1][key] = value
            remaining_bytes -= size
        return [
            ConfigSnapshot(self.version, rows, number, len(pages))
            for number, rows in enumerate(pages)
        ]


class SnapshotAssembler:
    """Assembles the pages of one snapshot from one sender."""

    def __init__(self) -> None:
        self._source: tuple[str, int, int] = ("", 0, 0)
        self._pages: dict[int, dict[str, dict[str, object]]] = {}

    def add(self, sender: str, page: ConfigSnapshot) -> dict[str, dict[str, object]] | None:
        """Return all rows when the page completes the snapshot."""
        source = (sender, page.version, page.pages)
        if source != self._source:
            # Pages of different senders or versions are not combined: one of them may be older.
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


# ---- rows in the table service ------------------------------------------------------------------


def log_key(version: int) -> str:
    """Return the key of a log row."""
    return f"{LOG_PREFIX}{version}"


def read_head(rows: Mapping[str, Row]) -> tuple[int, int] | None:
    """Return version and revision of the head row; (0, 0) if absent, None if malformed."""
    row = rows.get(HEAD_KEY)
    if row is None:
        return 0, 0
    version = row.value.get("version") if isinstance(row.value, dict) else None
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        return None
    return version, row.revision


def read_entry(rows: Mapping[str, Row], version: int) -> LogEntry | None:
    """Return the log entry of a version, None if it is missing or malformed."""
    row = rows.get(log_key(version))
    try:
        entry = msgspec.convert(row.value, _StoredEntry) if row else None
    except msgspec.ValidationError:
        return None
    if entry is None or entry.version != version:
        return None
    return LogEntry(entry.version, entry.op_id, entry.changes)


def log_row(entry: LogEntry) -> dict[str, object]:
    """Return the value of an entry's log row."""
    changes = [list(change) for change in entry.changes]
    return {"version": entry.version, "op_id": entry.op_id, "changes": changes}


def read_rows(rows: Mapping[str, Row]) -> dict[str, dict[str, object]]:
    """Return the configuration rows among the rows under ``config/``, by key without the prefix."""
    other_prefixes = (LOG_PREFIX, OPERATION_PREFIX)
    return {
        key.removeprefix(ROW_PREFIX): row.value
        for key, row in rows.items()
        if key != HEAD_KEY and key.startswith(ROW_PREFIX) and not key.startswith(other_prefixes)
    }


class _StoredEntry(msgspec.Struct):
    version: int
    op_id: str
    changes: tuple[tuple[str, dict[str, object] | None], ...]
