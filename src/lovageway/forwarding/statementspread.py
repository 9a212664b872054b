"""Spreads what servers say of themselves to the other daemons.

A change is sent at once to the daemons that pass it on, then with the heartbeats of the next
seconds. What does not change is repeated now and then, for daemons that missed it.
"""

import asyncio
from collections.abc import Sequence

from lovageway.forwarding import gossip
from lovageway.forwarding.rationing import RationedSender
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.state import State
from lovageway.forwarding.statements import Change

BYTES_PER_S = 1500.0  # sent to other daemons, in all
BURST_BYTES = 32_000.0
ANNOUNCE_DELAY_S = 0.02
NEWS_REUSE_S = 0.1  # one message serves the groups of receivers of a round
REPEATS_PER_S = 2.0  # datagrams with records that did not change


class StatementSpread:
    """Sends the records of this daemon and takes those of others."""

    def __init__(self, state: State, sockets: gossip.Gossip, port: int) -> None:
        self._state = state
        self._sender = RationedSender(sockets, port, state.rng, BYTES_PER_S, BURST_BYTES)
        self._news: bytes | None = None
        self._news_until = 0.0
        self._repeat_at = 0.0
        self._announcement: asyncio.TimerHandle | None = None
        state.announce_statement = self.announce

    def announce(self, entry: Entry, change: Change) -> None:
        """Report what a server said to this daemon; changes of the same moment share a message."""
        self._log(change, entry)
        if self._announcement is None:
            loop = asyncio.get_running_loop()
            self._announcement = loop.call_later(ANNOUNCE_DELAY_S, self.send_urgent)

    def close(self) -> None:
        """Cancel a report that was not sent yet."""
        if self._announcement is not None:
            self._announcement.cancel()

    def send_urgent(self) -> None:
        """Send what changed to the daemons that pass it on."""
        self.close()
        self._announcement = None
        now = self._state.clock()
        self._news_until = now  # the message is to have this change
        self.send_to(self._state.members.urgent_targets(now), now)

    def on_peer(self, message: gossip.Statements) -> None:
        """Take the records of another daemon; an aggregator passes on at once what changed."""
        state, now = self._state, self._state.clock()
        changes = [
            change
            for report in message.reports
            if (change := state.statements.on_report(report, message.ip, now)) is not None
        ]
        if not changes:
            return
        entries = {entry.token: entry for entry in state.replicas.all()}
        for change in changes:
            self._log(change, entries.get(change.server))
        state.pump()
        if state.members.is_large(now) and state.cfg.ip in state.members.aggregators(now):
            self.send_urgent()

    def _log(self, change: Change, entry: Entry | None) -> None:
        self._state.log(
            "server_limit",
            server=entry.id if entry is not None else None,
            token=change.server.hex(),
            per_s=change.record.limit_per_s,
            before=change.before,
            source=change.record.source,
        )

    def send_to(self, ips: Sequence[str], now: float, *, repeat: bool = False) -> None:
        """Send what changed to some daemons, and now and then what did not."""
        if not ips or not self._state.statements.has_records:
            return
        if repeat:
            data = self._encode(now, repeat=True)
        elif now >= self._repeat_at:
            data = self._encode(now, repeat=True)
            # The random part keeps the repeats from meeting the same receivers in every round.
            wait_s = len(ips) / REPEATS_PER_S
            self._repeat_at = now + wait_s * (0.5 + self._state.rng.random())
        else:
            if now >= self._news_until:
                self._news, self._news_until = self._encode(now, repeat=False), now + NEWS_REUSE_S
            data = self._news
        if data is not None:
            self._sender.send(data, ips, now)

    def _encode(self, now: float, *, repeat: bool) -> bytes | None:
        reports = self._state.statements.reports(now, repeat=repeat)
        return gossip.encode(gossip.Statements(self._state.cfg.ip, reports)) if reports else None
