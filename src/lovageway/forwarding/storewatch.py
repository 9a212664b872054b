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
from lovageway.forwarding.mirror import Mirror
from lovageway.forwarding.model import Address, AnswerHead, Page, Row
from lovageway.forwarding.outbound import Pool
from lovageway.platform import store

WATCH_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 1.0  # in addition to the time that the store may hold a watch call
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
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
    ) -> None:
        self._address = address
        self._pool = Pool(decode, clock)
        self.calls = 0

    async def read(self, table: str) -> Page:
        """Return all rows of a table, with the version of the first page."""
        rows: list[Row] = []
        version = 0
        first_key = ""
        while True:
            page = store.page(*await self._call(store.read(table, first_key), 0.0))
            rows += page.rows
            version = version or page.version
            if not page.has_more or not page.rows:
                return Page(tuple(rows), version, False, page.era)
            first_key = page.rows[-1].key + "\0"

    async def watch(self, table: str, after: int, wait_s: float) -> Page:
        """Return the rows that changed after a version, waiting for up to `wait_s` for one."""
        return store.page(*await self._call(store.watch(table, after, wait_s), wait_s))

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write one row."""
        await self._call(store.put(table, key, value), 0.0)

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
                status, body = 0, b""
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
        return body, era


class TableWatch:
    """Keeps one table of the mirror up to date from the store."""

    def __init__(
        self,
        table: str,
        client: StoreClient,
        mirror: Mirror,
        on_rows: Callable[[str, list[Row], int, bool], None],
        log: EventLog,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self.table = table
        self._client = client
        self._mirror = mirror
        self._on_rows = on_rows
        self._log = log
        self._clock = clock
        self._rng = rng
        self._cursor: int | None = None
        self._task: asyncio.Task[None] | None = None
        self.answered_at: float | None = None
        self.failing_since: float | None = None
        self.recovered_at = 0.0
        self.era: int | None = None  # of the store's last answer

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
            except (StoreError, ValueError) as exc:
                if isinstance(exc, StoreError) and exc.status == store.HISTORY_LOST:
                    self._log("store_history_lost", table=self.table, after=self._cursor)
                    self._cursor = None
                    continue
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
        if self._cursor is None:
            page = await self._client.read(self.table)
            before = self._mirror.version(self.table)
            rows = self._mirror.replace(self.table, page.rows, page.version)
        else:
            page = await self._client.watch(self.table, self._cursor, wait_s)
            before = self._mirror.version(self.table)
            rows = self._mirror.apply(page.rows)
        self._note_answer(page, before, rows)
        self._cursor = page.version
        if self.failing_since is not None:
            self.recovered_at = self._clock()
        self._on_rows(self.table, rows, before, self.failing_since is not None)

    def _note_answer(self, page: Page, before: int, applied: list[Row]) -> None:
        """Write lines on a new era and on rows that were not applied although they differ."""
        if page.era != self.era:
            self._log(
                "store_era",
                table=self.table,
                era=page.era,
                before=self.era,
                version=page.version,
                cursor=self._cursor,
                known=before,
            )
            self.era = page.era
        for row in set(page.rows) - set(applied):
            held = self._mirror.get(row.table, row.key)
            if held is None or held.value != row.value:
                version = held.version if held is not None else None
                self._log(
                    "row_outdated", table=row.table, key=row.key, row=row.version, held=version
                )

    def _record_failure(self, exc: Exception) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock()
            self._log("store_lost", table=self.table, cause=str(exc), cursor=self._cursor)

    def _record_answer(self) -> None:
        now = self._clock()
        self.answered_at = now
        if self.failing_since is not None:
            away = round(now - self.failing_since, 3)
            self._log("store_regained", table=self.table, away_s=away, cursor=self._cursor)
            self.failing_since = None
