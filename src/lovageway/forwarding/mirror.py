"""Holds a daemon's local copy of the store's rows, received from the store or from peers.

A row replaces only an older version of itself, so rows may arrive in any order and from any source
without reverting a newer one.

The store may return from an older copy: what was written since is lost, and its versions are given
out again. Its era rises then, and versions are comparable only within one era. A row that the copy
shows instead of one that this daemon had is kept out until it is written again, and what the copy
lacks is kept: writers were told that it is stored, and they write it again. Rows of tables whose
writers renew them are the exception: what is missing there is removed.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from lovageway.forwarding.model import Content, Revision, Row

MAX_TOMBSTONES = 2000  # removed rows kept for each table, to send them to peers
MAX_KNOWN = 16  # earlier contents that are remembered of each row
FIRST = Revision(0, 0)  # older than any row
_REMOVED = Content(None, None)


class KeptRow(NamedTuple):
    """A row that holds although the store showed an older state after its return."""

    row: Row
    shown_version: int | None  # of the row that the store showed instead; None if it had none


class _Known(NamedTuple):
    version: int
    content: Content


def _plain_content(row: Row) -> Content:
    return Content(None, row.value)


class Mirror:
    """Rows of several tables by key, and the newest revision received of each table.

    Parameters
    ----------
    content
        Returns what a row means, to recognize one that this daemon had before.
    renewed
        Tables whose writers write their rows again and again, as long as they live.
    """

    def __init__(
        self,
        content: Callable[[Row], Content] = _plain_content,
        renewed: frozenset[str] = frozenset(),
    ) -> None:
        self._content = content
        self._renewed = renewed
        self._tables: dict[str, dict[str, Row]] = {}
        self._complete: set[str] = set()
        self._forgotten_up_to: dict[str, Revision] = {}  # revision of the newest such tombstone
        self._positions: dict[str, Revision] = {}
        self._kept: dict[str, dict[str, int | None]] = {}  # by table and key: the version shown
        self._known: dict[tuple[str, str], deque[_Known]] = {}  # earlier contents of a row
        self._followed_from: dict[str, int] = {}  # version of the first complete read
        self._since_era: dict[str, int] = {}  # the first era whose rows the table continues

    def position(self, table: str) -> Revision:
        """Return the newest revision received of a table, FIRST if none is known."""
        return self._positions.get(table, FIRST)

    def is_complete(self, table: str) -> bool:
        """Return whether the complete table has been received once."""
        return table in self._complete

    def tables(self) -> list[str]:
        """Return the tables of which rows are known."""
        return list(self._tables)

    def get(self, table: str, key: str) -> Row | None:
        """Return a row that has a value."""
        row = self._tables.get(table, {}).get(key)
        return row if row is not None and row.value is not None else None

    def kept(self, table: str) -> list[KeptRow]:
        """Return the rows that hold although the store showed an older state."""
        held = self._tables.get(table, {})
        return [KeptRow(held[key], version) for key, version in self._kept.get(table, {}).items()]

    # Changes.

    def apply(self, rows: Iterable[Row]) -> list[Row]:
        """Apply rows that are newer than those held.

        Returns
        -------
        list of Row
            The rows applied, oldest first.
        """
        applied = []
        for row in sorted(rows, key=lambda item: item.revision):
            old = self._held(row)
            if old is None or (row.revision > old.revision and not self._is_repeated(row, old)):
                self._put(row)
                applied.append(row)
        for table in {row.table for row in applied if row.value is None}:
            self._forget_tombstones(table)
        return applied

    def replace(
        self,
        table: str,
        rows: Iterable[Row],
        revision: Revision,
        removals: Iterable[Row] = (),
        *,
        settled: bool = False,
    ) -> list[Row]:
        """Apply a complete table as of a revision; held rows that it lacks become tombstones.

        Parameters
        ----------
        removals
            Tombstones of the table in the store that are newer than what the copy had.
        settled
            Whether the writers have had the time to write again: then no row is kept any more.

        Returns
        -------
        list of Row
            The rows that changed, including tombstones.
        """
        listed = {row.key: row for row in rows}
        held, before = self._tables.setdefault(table, {}), self.position(table)
        has_risen = revision.era > before.era and bool(held)
        if has_risen:
            self._since_era.setdefault(table, before.era)
        undecided = self._kept.pop(table, {}) if settled else {}
        newer = [row for row in listed.values() if row.key in undecided or self._is_newer(row)]
        lost = {key for key, shown in self._kept.get(table, {}).items() if shown is None}
        if has_risen and table not in self._renewed:
            taken_back = {row.key for row in removals if self._is_taken_back(row)}
            for key in self._missing(table, listed) - taken_back:
                self._keep(table, key, None)
                lost.add(key)
        removed = [
            Row(table, key, None, revision.number, revision.era)
            for key, row in held.items()
            if key not in listed
            and key not in lost
            and row.value is not None
            and row.revision < revision
        ]
        for key in [k for k in self._kept.get(table, {}) if k not in listed and k not in lost]:
            del self._kept[table][key]
        self._followed_from.setdefault(table, revision.number)
        self._complete.add(table)
        applied = self.apply([*newer, *removed])
        newest = max((row.version for row in listed.values()), default=0)
        self.advance(table, Revision(revision.era, newest))
        return applied

    def lacks_rows(self, table: str, rows: Iterable[Row], era: int) -> bool:
        """Return whether a complete read of a later era lacks rows that would be kept for it."""
        if self.position(table).era >= era or table in self._renewed:
            return False
        return bool(self._missing(table, {row.key: row for row in rows}))

    def newest_copied(self, rows: Iterable[Row]) -> int:
        """Return the newest version among rows that the copy had, 0 if there is none.

        Those are the rows of a later era that this daemon had before. What was written after them
        and removed after the return has a tombstone in the store that is newer than this version.
        """
        versions = [
            row.version
            for row in rows
            if (old := self._held(row)) is not None
            and old.era < row.era
            and self._known_as(row) == self._known_as(old)
        ]
        return max(versions, default=0)

    def _missing(self, table: str, listed: Mapping[str, Row]) -> set[str]:
        """Return the keys of the rows that are held and not listed."""
        held = self._tables.get(table, {})
        return {key for key, row in held.items() if row.value is not None and key not in listed}

    def _is_taken_back(self, removal: Row) -> bool:
        """Return whether a tombstone was written after the store returned."""
        old = self._held(removal)
        if old is None or removal.value is not None:
            return False
        known = self._known.get((removal.table, removal.key), ())
        return self._followed(removal) and self._known_as(removal) not in known

    def merge_kept(self, table: str, kept: Iterable[KeptRow], era: int) -> list[Row]:
        """Take over rows that another daemon keeps, unless they were written again since.

        Parameters
        ----------
        era
            The era in which the other daemon keeps them.

        Returns
        -------
        list of Row
            The rows that changed.
        """
        if era != self.position(table).era:
            return []
        taken = []
        for row, shown in kept:
            old = self._held(row)
            if old is not None and old.era == era:
                if shown is None or old.version != shown:
                    continue  # written again
            elif old is None and shown is not None:
                continue  # the row that the store showed is gone
            elif old is not None and old.revision >= row.revision:
                self._keep(table, row.key, shown)
                continue
            self._put(row)
            self._keep(table, row.key, shown)
            taken.append(row)
        return taken

    def advance(self, table: str, revision: Revision) -> None:
        """Record that all rows up to a revision have been received."""
        self._positions[table] = max(self.position(table), revision)

    def _known_as(self, row: Row) -> _Known:
        return _Known(row.version, _REMOVED if row.value is None else self._content(row))

    def _held(self, row: Row) -> Row | None:
        return self._tables.setdefault(row.table, {}).get(row.key)

    def _put(self, row: Row) -> None:
        old = self._held(row)
        if old is not None:
            known = self._known.setdefault((row.table, row.key), deque(maxlen=MAX_KNOWN))
            known.append(self._known_as(old))
        self._tables[row.table][row.key] = row
        self._kept.get(row.table, {}).pop(row.key, None)
        self.advance(row.table, row.revision)

    def _keep(self, table: str, key: str, shown_version: int | None) -> None:
        self._kept.setdefault(table, {})[key] = shown_version

    # Rows of a later era.

    def _is_newer(self, row: Row) -> bool:
        """Return whether a row of a complete read replaces the one held; if not, keep that one."""
        old = self._held(row)
        if old is None or row.era <= old.era:
            return old is None or row.revision > old.revision
        kept = self._kept.get(row.table, {})
        if row.key in kept and kept[row.key] == row.version:
            return False
        content = self._content(row)
        if old.value is not None and self._content(old) == content:
            kept.pop(row.key, None)
            return row.value != old.value
        if self._is_written_again(row, content, old):
            return True
        self._keep(row.table, row.key, row.version)
        return False

    def _is_written_again(self, row: Row, content: Content, old: Row) -> bool:
        """Return whether a row that the store shows after its return was written after it.

        If not, it is an earlier state from the copy. It was written after the return if its writer
        counts it as later than what is held. Where the writer does not count, or the counts are
        equal, it is an earlier state if this daemon had it before, or if its version is from before
        this daemon followed the table.
        """
        known: list[_Known] = [*self._known.get((row.table, row.key), ()), self._known_as(old)]
        orders = [order for item in known if (order := item.content.order) is not None]
        if orders and content.order is not None and content.order != orders[-1]:
            return content.order > orders[-1]
        if _Known(row.version, content) in known:
            return False
        return self._followed(row)

    def _followed(self, row: Row) -> bool:
        """Return whether this daemon would have had a row if it had been written before."""
        return row.version > self._followed_from.get(row.table, 0)

    def _is_repeated(self, row: Row, old: Row) -> bool:
        """Return whether a writer that counts its writes wrote an earlier one again."""
        if row.era == old.era or row.value is None or old.value is None:
            return False
        content, newest = self._content(row), self._content(old)
        if content.order is None or newest.order is None or content.order >= newest.order:
            return False
        known = self._known.get((row.table, row.key), ())
        if all(item.content != content for item in known):
            return False
        self._keep(row.table, row.key, row.version)
        return True

    # Peers.

    def since(self, table: str, after: Revision) -> tuple[bool, list[Row]]:
        """Return the rows newer than a revision, for a peer.

        All rows are returned if tombstones after that revision have been forgotten, or if this
        daemon has not followed the table since that era.

        Returns
        -------
        bool
            Whether the rows are the complete table.
        list of Row
            The rows, including tombstones.
        """
        first_era = self._since_era.get(table, self.position(table).era)
        is_full_table = (
            after == FIRST
            or after.era < first_era
            or after < self._forgotten_up_to.get(table, FIRST)
        )
        held = self._tables.get(table, {}).values()
        return is_full_table, [row for row in held if is_full_table or row.revision > after]

    def _forget_tombstones(self, table: str) -> None:
        held = self._tables[table]
        tombstones = sorted((r for r in held.values() if r.value is None), key=lambda r: r.revision)
        for row in tombstones[: max(0, len(tombstones) - MAX_TOMBSTONES)]:
            del held[row.key]
            self._known.pop((table, row.key), None)
            self._kept.get(table, {}).pop(row.key, None)
            newest = max(self._forgotten_up_to.get(table, FIRST), row.revision)
            self._forgotten_up_to[table] = newest
