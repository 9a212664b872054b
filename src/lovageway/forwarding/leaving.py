"""Spreads which servers say of themselves that they leave, and asks them while the store is away.

Load pattern: an engine leaves two seconds after it has said so, and generations that are not
migrated by then are lost. Its entry in the store says so, too, but while the store is away no entry
changes. Then one daemon of the region asks each engine of the region a few times a second, and
every answer of a server that leaves counts as the notice.
"""

import asyncio
from collections.abc import Callable

from lovageway.forwarding import gossip
from lovageway.forwarding.attempt import connection_key, next_part
from lovageway.forwarding.exchange import Exchange
from lovageway.forwarding.newssender import NewsLimits, NewsSender
from lovageway.forwarding.replicas import Change, Entry
from lovageway.forwarding.state import State
from lovageway.platform import engines

LIMITS = NewsLimits(bytes_per_s=1000.0, burst_bytes=16_000.0, repeats_per_s=1.0)
NEWS_S = 3.0  # a notice is sent for this long
PROBE_INTERVAL_S = 0.4
PROBE_TIMEOUT_S = 1.0
MAX_PROBE_ANSWER_BYTES = 16 * 1024
MAX_PARALLEL_PROBES = 32


class LeavingSpread:
    """Takes notices from answers and from other daemons, and sends them on.

    Parameters
    ----------
    on_leaving
        Called once with each server that leaves.
    """

    def __init__(
        self,
        state: State,
        sockets: gossip.Gossip,
        port: int,
        on_leaving: Callable[[Change], None],
    ) -> None:
        self._state = state
        self._on_leaving = on_leaving
        self._sender = NewsSender(state, sockets, port, LIMITS, self._encode)
        self.send_to = self._sender.send_to
        self.close = self._sender.close
        self._heard: dict[bytes, float] = {}  # token of a server: when it was heard
        self._probe_at: dict[str, float] = {}  # by server
        self._probing = 0
        state.announce_leaving = self.on_answer

    def on_answer(self, entry: Entry) -> None:
        """Take the notice in an answer of a server."""
        if self._take(entry, "answer"):
            self._sender.send_urgent()

    def on_peer(self, message: gossip.Leaving) -> None:
        """Take the notices that another daemon heard; an aggregator passes on new ones at once."""
        state, now = self._state, self._state.clock()
        entries = {entry.token: entry for entry in state.replicas.all()}
        found = [entries[token] for token in message.servers if token in entries]
        new = [entry for entry in found if self._take(entry, message.ip)]
        is_large = state.members.is_large(now)
        if new and is_large and state.cfg.ip in state.members.aggregators(now):
            self._sender.send_urgent()

    def _take(self, entry: Entry, source: str) -> bool:
        """Take a notice; return whether it is new."""
        state, now = self._state, self._state.clock()
        if entry.token in self._heard:
            return False
        self._heard[entry.token] = now
        change = state.replicas.on_said_leaving(entry, now)
        state.telemetry.add("leaving_notices", "answer" if source == "answer" else "daemon")
        state.log("server_says_leaving", server=entry.id, source=source, known=not change.leaves)
        if change.leaves:
            self._on_leaving(change)
        return True

    def _encode(self, now: float, repeat: bool) -> bytes | None:
        fresh = [token for token, at in self._heard.items() if now - at < NEWS_S]
        return gossip.encode(gossip.Leaving(self._state.cfg.ip, fresh)) if fresh else None

    # Questions to the servers.

    def tick(self, now: float, *, store_lost: bool) -> None:
        """Forget old notices; while the store is away, ask the engines of this region."""
        state = self._state
        known = {entry.token for entry in state.replicas.all()}
        self._heard = {token: at for token, at in self._heard.items() if token in known}
        if not store_lost or state.routes is None:
            self._probe_at.clear()
            return
        services = state.routes.cfg.services
        for entry in state.replicas.all():
            service = services.get(entry.replica.service)
            if (
                service is None
                or service.engine is None
                or entry.leaving
                or entry.replica.region != state.cfg.region
                or now < self._probe_at.get(entry.id, 0.0)
                or self._probing >= MAX_PARALLEL_PROBES
                or state.members.first_without_store(entry.id, now) != state.cfg.ip
            ):
                continue
            self._probe_at[entry.id] = now + PROBE_INTERVAL_S
            self._probing += 1
            state.spawn(self._probe(entry))

    async def _probe(self, entry: Entry) -> None:
        """Ask an engine for its report; only a notice in it, or beside it, matters."""
        state = self._state
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                conn = await state.pool.acquire(connection_key(entry), entry.replica.address)
                exchange = Exchange(None, max_bytes=MAX_PROBE_ANSWER_BYTES)
                try:
                    conn.begin(exchange, engines.report())
                    body = b""
                    while (part := await next_part(exchange, PROBE_TIMEOUT_S)) is not None:
                        if part.head is not None and part.head.statement.leaving:
                            self.on_answer(entry)
                        body += part.data
                        if part.end:
                            break
                    if engines.says_leaving(body):
                        self.on_answer(entry)
                finally:
                    if exchange.ended:
                        state.pool.release(connection_key(entry), conn)
                    else:
                        conn.close()
            state.telemetry.add("server_probes", "answered")
        except (OSError, TimeoutError):
            state.telemetry.add("server_probes", "failed")
        finally:
            self._probing -= 1
