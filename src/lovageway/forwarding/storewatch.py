"""Watches the tables of the store with one long poll each, and applies the changes to the mirror.

A table is read completely once, then watched. If the store no longer has the history since the last
version, the table is read completely again. A poll that gets no answer in time is repeated on a new
connection.
"""

import asyncio
from collections.abc import Callable
from random import Random

from lovageway.forwarding.eventlog import EventLog
from lovageway.forwarding.exchange import Exchange
from lovageway.forwarding.inputturns import InputTurns
from lovageway.forwarding.mirror import FIRST, Mirror
from lovageway.forwarding.model import Address, AnswerHead, Page, Revision, Row
from lovageway.forwarding.outbound import Pool
from lovageway.platform import store

WATCH_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 1.0  # in addition to the time that the store may hold a watch call
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_LOGGED_ROWS = 16
MAX_CAUSE = 300  # characters
MAX_STARTUP_BACKOFF_S = 0.25  # until the table has been read once


class StoreError(Exception):
    """Raised when a call to the store fails; the status is 0 if there was no answer."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"{status} {detail}" if status else detail)
        self.status = status


class StoreClient:
    """Calls the store over persistent connections."""

    def __init__(
        self,
        address: Address,
        decode: Callable[[int, str, list[tuple[str, str]]], AnswerHead],
        clock: Callable[[], float],
        turns: InputTurns,
    ) -> None:
        self._address = address
        self._pool = Pool(decode, clock, turns)
        self.calls = 0

    async def read(self, table: str) -> Page:
        """Return all rows of a table, with the version of the first page."""
        rows: list[Row] = []
        version = 0
        era: int | None = None
        first_key = ""
        while True:
            page = store.page(*await self._call(store.read(table, first_key), 0.0))
            if rows and page.era != era:
                raise StoreError(0, "the store returned from a copy between two pages")
            era = page.era
            rows += page.rows
            version = version or page.version
            if not page.has_more or not page.rows:
                return Page(tuple(rows), version, False, era, page.now_ms)
            first_key = page.rows[-1].key + "\0"

    async def watch(self, table: str, after: int, wait_s: float) -> Page:
        """Return the rows that changed after a version, waiting for up to `wait_s` for one."""
        return store.page(*await self._call(store.watch(table, after, wait_s), wait_s))

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write one row."""
        await self._call(store.put(table, key, value), 0.0)

    async def put_if(self, table: str, key: str, value: bytes, version: int) -> bool:
        """Write one row if it still has a version, 0 if there is none; return whether it had."""
        try:
            await self._call(store.put_if(table, key, value, version), 0.0)
        except StoreError as exc:
            if exc.status != store.CONFLICT:
                raise
            return False
        return True

    async def remove(self, table: str, key: str) -> None:
        """Remove one row; it is no error if there is none."""
        await self._call(store.remove(table, key), 0.0)

    async def _call(self, request: bytes, wait_s: float) -> tuple[bytes, int | None]:
        self.calls += 1
        era: int | None = None
        try:
            async with asyncio.timeout(wait_s + ANSWER_TIMEOUT_S):
                conn = await self._pool.acquire("store", self._address)
                exchange = Exchange(None)
                conn.begin(exchange, request)
                status, body = 0, bytearray()
                try:
                    while not (part := await exchange.get()).end:
                        if part.head is not None:
                            status, era = part.head.status, store.era(part.head.headers)
                        body += part.data
                except BaseException:
                    conn.close()
                    raise
                self._pool.release("store", conn)
        except (OSError, TimeoutError) as exc:
            raise StoreError(0, repr(exc)) from exc
        if not part.complete or status != 200:
            raise StoreError(status, "incomplete answer" if not part.complete else "refused")
        return bytes(body), era


class TableWatch:
    """Keeps one table of the mirror up to date from the store.

    Parameters
    ----------
    on_rows
        Called after each answer with the table, the rows that changed, the position of the table
        before, and whether removed rows may be back soon.
    on_era
        Called when the store has returned from a copy, with its era.
    settle_s
        Time after that by which the writers of the table have written again; None if they may
        take any time.
    """

    def __init__(
        self,
        table: str,
        client: StoreClient,
        mirror: Mirror,
        on_rows: Callable[[str, list[Row], Revision, bool], None],
        log: EventLog,
        clock: Callable[[], float],
        rng: Random,
        on_era: Callable[[int], None] = lambda era: None,
        settle_s: float | None = None,
    ) -> None:
        self.table = table
        self._client = client
        self._mirror = mirror
        self._on_rows = on_rows
        self._log = log
        self._clock = clock
        self._rng = rng
        self._on_era = on_era
        self._settle_s = settle_s
        self._settle_at: float | None = None
        self._cursor: int | None = None
        self._cursor_era = 0
        self._task: asyncio.Task[None] | None = None
        self.answered_at: float | None = None
        self.failing_since: float | None = None
        self.recovered_at = 0.0
        self.era: int | None = None  # of the store's last answer
        self.risen_at: float | None = None  # when the store was last seen in a new era

    def start(self) -> None:
        """Start to watch the table."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def restart(self) -> None:
        """Repeat the poll on a new connection without delay, such as after a pause."""
        if self._task is not None:
            self._task.cancel()
            self.start()

    def stop(self) -> None:
        """Stop watching; a later start continues at the cursor."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    @property
    def is_running(self) -> bool:
        """Return whether the table is being watched."""
        return self._task is not None

    async def _run(self) -> None:
        backoff = MIN_BACKOFF_S
        wait_s = 0.0  # the first poll returns the changes since the cursor without waiting
        while True:
            try:
                await self._poll_once(wait_s)
            except Exception as exc:  # a watch that ended would leave the table as it is
                if isinstance(exc, StoreError) and exc.status == store.HISTORY_LOST:
                    self._log("store_history_lost", table=self.table, after=self._cursor)
                    self._cursor = None
                    continue
                if not isinstance(exc, StoreError | ValueError):
                    self._log("watch_failed", table=self.table, cause=repr(exc)[:MAX_CAUSE])
                    self._cursor = None
                self._record_failure(exc)
                await asyncio.sleep(backoff * (0.5 + self._rng.random()))
                limit_s = (
                    MAX_BACKOFF_S if self._mirror.is_complete(self.table) else MAX_STARTUP_BACKOFF_S
                )
                backoff = min(limit_s, 2 * backoff)
                wait_s = 0.0
            else:
                self._record_answer()
                backoff, wait_s = MIN_BACKOFF_S, WATCH_TIMEOUT_S

    async def _poll_once(self, wait_s: float) -> None:
        if self._cursor is not None and self._is_settled():
            self._cursor = None
        page, is_complete = await self._fetch(wait_s)
        before = self._mirror.position(self.table)
        era = before.era if page.era is None else page.era
        if era < before.era:
            # The call hung while the store returned from a copy; other daemons know it by now.
            self._cursor = None
            raise StoreError(0, f"answer of era {era}, which ended")
        rows = [row._replace(era=era) for row in page.rows]
        revision = Revision(era, page.version)
        if is_complete:
            settled = self._is_settled() and era == self.era
            self._settle_at = None if settled else self._settle_at
            removals = await self._fetch_removals(rows, era)
            applied = self._mirror.replace(self.table, rows, revision, removals, settled=settled)
        else:
            applied = self._mirror.apply(rows)
        self._cursor, self._cursor_era = page.version, era
        known_era = self.era if self.era is not None else before.era
        has_risen = before != FIRST and era > known_era
        self.era = era
        if has_risen:
            self._on_risen(known_era, before, revision)
        self._log_outdated(set(rows) - set(applied))
        if self.failing_since is not None or has_risen:
            self.recovered_at = self._clock()
        self._on_rows(self.table, applied, before, self.failing_since is not None or has_risen)

    async def _fetch(self, wait_s: float) -> tuple[Page, bool]:
        """Return the rows after the cursor, or the complete table if there is no valid cursor."""
        if self._cursor is not None:
            page = await self._client.watch(self.table, self._cursor, wait_s)
            if page.era is None or page.era == self._cursor_era:
                return page, False
            self._cursor = None  # versions of another era are not comparable with it
        return await self._client.read(self.table), True

    async def _fetch_removals(self, rows: list[Row], era: int) -> list[Row]:
        """Return the tombstones of rows that were removed after the store returned from a copy.

        They tell a row that was taken back from one that the copy lacks. What the copy had, in any
        table, shows from which version on to look for them.
        """
        if not self._mirror.lacks_rows(self.table, rows, era):
            return []
        listed = list(rows)
        for table in self._mirror.tables():
            if table != self.table:
                page = await self._client.read(table)
                listed += [row._replace(era=era) for row in page.rows if page.era == era]
        copied = self._mirror.newest_copied(listed)
        try:
            page = await self._client.watch(self.table, copied, 0.0)
        except StoreError as exc:
            if exc.status != store.HISTORY_LOST:
                raise
            self._log("store_history_lost", table=self.table, after=copied)
            return []
        return [row._replace(era=era) for row in page.rows if page.era == era]

    def _is_settled(self) -> bool:
        return self._settle_at is not None and self._clock() >= self._settle_at

    def _on_risen(self, known_era: int, before: Revision, revision: Revision) -> None:
        self.risen_at = self._clock()
        self._settle_at = self.risen_at + self._settle_s if self._settle_s is not None else None
        kept = self._mirror.kept(self.table)
        self._log(
            "store_era",
            table=self.table,
            era=revision.era,
            before=known_era,
            version=revision.number,
            known=before.number,
            kept=[row.key for row, _ in kept[:MAX_LOGGED_ROWS]],
            rows_kept=len(kept),
        )
        self._on_era(revision.era)

    def _log_outdated(self, rows: set[Row]) -> None:
        """Write lines on rows that were not applied although they differ from those held."""
        for row in sorted(rows, key=lambda item: item.key)[:MAX_LOGGED_ROWS]:
            held = self._mirror.get(row.table, row.key)
            if held is None or held.value != row.value:
                self._log(
                    "row_outdated",
                    table=row.table,
                    key=row.key,
                    row=row.revision,
                    held=held.revision if held is not None else None,
                )

    def _record_failure(self, exc: Exception) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock()
            self._log(
                "store_lost", table=self.table, cause=str(exc)[:MAX_CAUSE], cursor=self._cursor
            )

    def _record_answer(self) -> None:
        now = self._clock()
        self.answered_at = now
        if self.failing_since is not None:
            away = round(now - self.failing_since, 3)
            self._log("store_regained", table=self.table, away_s=away, cursor=self._cursor)
            self.failing_since = None
