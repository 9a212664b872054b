"""Holds a daemon's local copy of the store's rows, received from the store or from peers.

A row replaces only an older version of itself, so rows may arrive in any order and from any source
without reverting a newer one.
"""

from collections.abc import Iterable

from lovageway.forwarding.model import Row

MAX_TOMBSTONES = 2000  # removed rows kept for each table, to send them to peers


class Mirror:
    """Rows of several tables by key, and the newest version received of each table."""

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, Row]] = {}
        self._complete: set[str] = set()
        self._forgotten_up_to: dict[str, int] = {}  # version of the newest forgotten tombstone
        self._newest: dict[str, int] = {}

    def version(self, table: str) -> int:
        """Return the version of the newest row of a table, 0 if none is known."""
        return self._newest.get(table, 0)

    def is_complete(self, table: str) -> bool:
        """Return whether the complete table has been received once."""
        return table in self._complete

    def get(self, table: str, key: str) -> Row | None:
        """Return a row that has a value."""
        row = self._tables.get(table, {}).get(key)
        return row if row is not None and row.value is not None else None

    def apply(self, rows: Iterable[Row]) -> list[Row]:
        """Apply rows that are newer than those held.

        Returns
        -------
        list of Row
            The rows applied, oldest first.
        """
        applied = []
        for row in sorted(rows, key=lambda item: item.version):
            held = self._tables.setdefault(row.table, {})
            old = held.get(row.key)
            if old is None or row.version > old.version:
                held[row.key] = row
                self._newest[row.table] = max(self._newest.get(row.table, 0), row.version)
                applied.append(row)
        for table in {row.table for row in applied if row.value is None}:
            self._forget_tombstones(table)
        return applied

    def replace(self, table: str, rows: Iterable[Row], version: int) -> list[Row]:
        """Apply a complete table as of a version; held rows that it lacks become tombstones.

        Returns
        -------
        list of Row
            The rows that changed, including tombstones.
        """
        all_rows = list(rows)
        present = {row.key for row in all_rows}
        removed = [
            Row(table, key, None, version)
            for key, row in self._tables.get(table, {}).items()
            if key not in present and row.value is not None and row.version < version
        ]
        self._complete.add(table)
        return self.apply([*all_rows, *removed])

    def since(self, table: str, version: int) -> tuple[bool, list[Row]]:
        """Return the rows newer than a version, for a peer.

        All rows are returned if tombstones after that version have been forgotten.

        Returns
        -------
        bool
            Whether the rows are the complete table.
        list of Row
            The rows, including tombstones.
        """
        is_full_table = version < self._forgotten_up_to.get(table, 0) or version == 0
        held = self._tables.get(table, {}).values()
        return is_full_table, [row for row in held if is_full_table or row.version > version]

    def _forget_tombstones(self, table: str) -> None:
        held = self._tables[table]
        tombstones = sorted((r for r in held.values() if r.value is None), key=lambda r: r.version)
        for row in tombstones[: max(0, len(tombstones) - MAX_TOMBSTONES)]:
            del held[row.key]
            self._forgotten_up_to[table] = max(self._forgotten_up_to.get(table, 0), row.version)
