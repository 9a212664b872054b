"""Controller of the store's rows that a daemon holds; rows come from the store or from peers.

A row replaces only an older version of itself. Whatever order rows arrive in, and from whomever,
no row ever goes back.
"""

from collections.abc import Iterable

from lovageway.forwarding.model import Row

REMOVED_KEPT = 2000  # removed rows remembered for each table, to pass them on to peers


class Mirror:
    """Rows of several tables by key, with the newest version seen of each table."""

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, Row]] = {}
        self._complete: set[str] = set()
        self._floor: dict[str, int] = {}
        self._newest: dict[str, int] = {}

    def version(self, table: str) -> int:
        """Return the version of the newest row of a table, 0 if none is known."""
        return self._newest.get(table, 0)

    def complete(self, table: str) -> bool:
        """Return whether the whole table was read once."""
        return table in self._complete

    def get(self, table: str, key: str) -> Row | None:
        """Return a row that has a value."""
        row = self._tables.get(table, {}).get(key)
        return row if row is not None and row.value is not None else None

    def apply(self, rows: Iterable[Row]) -> list[Row]:
        """Take rows that are newer than those held.

        Returns
        -------
        list of Row
            The rows taken, oldest first.
        """
        taken = []
        for row in sorted(rows, key=lambda item: item.version):
            held = self._tables.setdefault(row.table, {})
            old = held.get(row.key)
            if old is None or row.version > old.version:
                held[row.key] = row
                self._newest[row.table] = max(self._newest.get(row.table, 0), row.version)
                taken.append(row)
        for table in {row.table for row in taken if row.value is None}:
            self._forget_removed(table)
        return taken

    def replace(self, table: str, rows: Iterable[Row], version: int) -> list[Row]:
        """Take a whole table as of a version; rows that it lacks were removed since.

        Returns
        -------
        list of Row
            The rows that changed, removed ones included.
        """
        listed = list(rows)
        present = {row.key for row in listed}
        removed = [
            Row(table, key, None, version)
            for key, row in self._tables.get(table, {}).items()
            if key not in present and row.value is not None and row.version < version
        ]
        self._complete.add(table)
        return self.apply([*listed, *removed])

    def since(self, table: str, version: int) -> tuple[bool, list[Row]]:
        """Return the rows newer than a version, for a peer.

        Returns
        -------
        bool
            Whether the rows are the whole table.
        list of Row
            The rows, removed ones included.
        """
        whole = version < self._floor.get(table, 0) or version == 0
        held = self._tables.get(table, {}).values()
        return whole, [row for row in held if whole or row.version > version]

    def _forget_removed(self, table: str) -> None:
        held = self._tables[table]
        removed = sorted((r for r in held.values() if r.value is None), key=lambda r: r.version)
        for row in removed[: max(0, len(removed) - REMOVED_KEPT)]:
            del held[row.key]
            self._floor[table] = max(self._floor.get(table, 0), row.version)
