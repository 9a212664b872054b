"""Spreads what a daemon knows of crashes: to the other daemons, and suspects to the store.

Suspects are rows of the store, so that they outlive a stop of all daemons at once. Operators remove
a row to return its suspect to service.
"""

import msgpack  # type: ignore[import-untyped]

from lovageway.forwarding import gossip
from lovageway.forwarding.model import Row
from lovageway.forwarding.newssender import NewsLimits, NewsSender
from lovageway.forwarding.poison import News, Suspect
from lovageway.forwarding.state import State
from lovageway.forwarding.storewatch import StoreClient, StoreError
from lovageway.forwarding.traits import MAX_LABEL

SUSPECTS_TABLE = "suspects"
MAX_ROWS = 256
LIMITS = NewsLimits(bytes_per_s=8000.0, burst_bytes=128_000.0, repeats_per_s=8.0)
# The first daemon in an order that differs by suspect writes its row, the next ones if it does not.
WRITE_WAIT_S = 2.0
MAX_REWRITE_RANK = 10  # bounds the wait for rows that the store lost
REMOVERS = 2  # this many daemons remove the row of a suspect that was answered
RETRY_S = 1.0  # after a failed write
STALE_READ_S = 10.0  # a row that is younger may be missing in an answer of the store


def encode_row(suspect: Suspect) -> bytes:
    """Encode a suspect for the store."""
    return bytes(msgpack.packb([suspect.label, [server for server, _ in suspect.crashes]]))


def decode_row(value: bytes) -> tuple[str, list[bytes]]:
    """Decode the label of a suspect and the servers that crashed.

    Raises
    ------
    ValueError
        The row is malformed.
    """
    try:
        label, servers = msgpack.unpackb(value)
        if not all(isinstance(server, bytes) for server in servers):
            raise ValueError(f"servers are not bytes: {servers!r}")
        return str(label)[:MAX_LABEL], list(servers)
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        raise ValueError(f"unreadable suspect: {exc!r}") from exc


class PoisonSpread:
    """Sends the records of the detector and keeps the rows of suspects."""

    def __init__(
        self, state: State, client: StoreClient, sockets: gossip.Gossip, port: int
    ) -> None:
        self._state = state
        self._client = client
        self._sender = NewsSender(state, sockets, port, LIMITS, self._encode, self._report_changes)
        self.send_to = self._sender.send_to
        self.send_urgent = self._sender.send_urgent
        self.close = self._sender.close
        state.announce_crash = self._sender.announce
        self._writing = False
        self._write_at = 0.0
        self._loaded = False
        self._era = 0  # of the store, as the last read showed it
        self._returned_at = float("-inf")  # when the store was found to have returned from a copy
        self._lost: set[bytes] = set()  # suspects whose rows were lost then and are not back

    def on_peer(self, news: News) -> None:
        """Take the records of another daemon; pass them on at once if they make a suspect."""
        now = self._state.clock()
        self._state.poison.on_peer(news, now)
        if self._report_changes(now):
            self.send_urgent()

    def tick(self, now: float) -> None:
        """Report changed suspects and update the store."""
        self._report_changes(now)
        poison = self._state.poison
        poison.forget(now)
        is_due = not self._writing and now >= self._write_at
        if is_due and (poison.to_store(now) or poison.to_remove()):
            self._writing = True
            self._state.spawn(self._write_due(now))

    def _report_changes(self, now: float) -> bool:
        """Log changed suspects and end the wait of requests with them; return if one is new."""
        state, is_any_new = self._state, False
        for held, is_new in state.poison.take_changes(now):
            change = "suspect" if is_new else "suspect_cleared"
            state.telemetry.add("suspects_changed", "found" if is_new else "cleared")
            state.log(change, **held._asdict())
            state.admission_queue.withdraw()
            is_any_new |= is_new
        return is_any_new

    def _encode(self, now: float, repeat: bool) -> bytes | None:
        news = self._state.poison.news(now, repeat=repeat)
        if news is None:
            return None
        return gossip.encode(gossip.Poison(self._state.cfg.ip, news))

    # The store.

    async def read_store(self) -> None:
        """Take the suspects from the store; release those whose rows were removed.

        Raises
        ------
        StoreError
            The store did not answer.
        ValueError
            Its answer is malformed.
        """
        state = self._state
        page = await self._client.read(SUSPECTS_TABLE)
        now = state.clock()
        era = self._era if page.era is None else page.era
        if era < self._era:
            return  # The call hung while the store returned from a copy.
        if not self._loaded:
            self._loaded = True
            for row in page.rows[:MAX_ROWS]:
                self._load(row, now)
        elif era > self._era:
            self._on_returned({row.key for row in page.rows}, now)
        self._era = era
        rows = {row.key for row in page.rows}
        for mark in state.poison.stored_for(STALE_READ_S, now):
            if mark.hex() not in rows and mark not in self._lost:
                state.poison.release(mark, now)
                state.log("suspect_released", mark=mark.hex())
        self._lost = {mark for mark in self._lost if mark.hex() not in rows}
        for mark in self._lost:
            state.poison.set_stored(mark, None)  # others may not know yet that the row is lost

    def _on_returned(self, rows: set[str], now: float) -> None:
        """Note what the store lost by its return from a copy, and what came back with it.

        A row that it lacks was not removed by an operator, and one that is back was released.
        """
        state = self._state
        self._returned_at = now
        lost = [mark for mark in state.poison.stored_for(0.0, now) if mark.hex() not in rows]
        self._lost.update(lost)
        back = state.poison.cleared(rows)
        for mark in back:
            state.poison.set_stored(mark, now)
        state.log("suspects_lost", lost=[mark.hex() for mark in lost], back=[m.hex() for m in back])

    def _load(self, row: Row, now: float) -> None:
        """Take a suspect that was found before this daemon started."""
        state = self._state
        try:
            label, servers = decode_row(row.value or b"")
            state.poison.on_stored(bytes.fromhex(row.key), label, servers, now)
        except ValueError as exc:
            state.telemetry.add("rows_unreadable", SUSPECTS_TABLE)
            state.log("row_unreadable", table=SUSPECTS_TABLE, key=row.key, cause=str(exc))

    async def _write_due(self, now: float) -> None:
        """Write the rows of new suspects and remove those of former ones."""
        state = self._state
        try:
            for mark, suspect in state.poison.to_store(now)[:MAX_ROWS]:
                rank = state.members.rank(mark.hex())
                since_return_s = now - self._returned_at
                if (
                    now - state.poison.last_crash_at(mark) >= rank * WRITE_WAIT_S
                    and since_return_s >= min(rank, MAX_REWRITE_RANK) * WRITE_WAIT_S
                ):
                    await self._client.put(SUSPECTS_TABLE, mark.hex(), encode_row(suspect))
                    self._lost.discard(mark)
                    state.poison.set_stored(mark, state.clock())
            for mark in state.poison.to_remove():
                if state.members.rank(mark.hex()) < REMOVERS:
                    await self._client.remove(SUSPECTS_TABLE, mark.hex())
                state.poison.set_stored(mark, None)
        except StoreError as exc:
            state.log("suspects_not_stored", cause=str(exc))
            self._write_at = state.clock() + RETRY_S
        finally:
            self._writing = False
