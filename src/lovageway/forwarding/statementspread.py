"""Spreads what servers say of themselves to the other daemons."""

from lovageway.forwarding import gossip
from lovageway.forwarding.newssender import NewsLimits, NewsSender
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.state import State
from lovageway.forwarding.statements import Change

LIMITS = NewsLimits(bytes_per_s=1500.0, burst_bytes=32_000.0, repeats_per_s=2.0)


class StatementSpread:
    """Sends the records of this daemon and takes those of others."""

    def __init__(self, state: State, sockets: gossip.Gossip, port: int) -> None:
        self._state = state
        self._sender = NewsSender(state, sockets, port, LIMITS, self._encode)
        self.send_to = self._sender.send_to
        self.send_urgent = self._sender.send_urgent
        self.close = self._sender.close
        state.announce_statement = self.announce

    def announce(self, entry: Entry, change: Change) -> None:
        """Report what a server said to this daemon."""
        self._log(change, entry)
        self._sender.announce()

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

    def _encode(self, now: float, repeat: bool) -> bytes | None:
        reports = self._state.statements.reports(now, repeat=repeat)
        return gossip.encode(gossip.Statements(self._state.cfg.ip, reports)) if reports else None
