"""Detects poison requests: requests that crash the servers that run them.

Load pattern: a client sends the same request again and again, through any daemon, and each server
that starts to run it crashes. Daemons record under the request's fingerprint (its mark) which
servers disconnected without an answer, and gossip the record; an answer of any kind, at any daemon,
clears it.

Load pattern of sound requests: many clients send the same request, and a faulty server disconnects
during part of its answers, or a network resets the connections to all servers at once. A server
that answers anything after it disconnected, in the same start, did not crash. It counts as one
server however often it disconnects. An answer that a daemon rejects while the server goes on
sending is no crash.

The gossip of a mark is a set of servers with the ages of their disconnects. Each receiver forwards
it; neither the order nor the number of messages adds to it or makes it younger.
"""

from hashlib import blake2b
from typing import NamedTuple

# A request is suspect once this many servers, or starts of one, disconnected and none answered.
MIN_DISCONNECTS = 3
RETENTION_S = 60.0
MAX_SUSPECTS_PER_MESSAGE = 16
MAX_FINGERPRINTS = 4096  # further fingerprints from other daemons are ignored


def fingerprint(account: str | None, method: str, target: str, body: bytes) -> bytes:
    """Return a digest that is the same each time a client sends the same request."""
    digest = blake2b(digest_size=8)
    for part in ((account or "").encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


class Suspect(NamedTuple):
    """The gossip of one fingerprint."""

    mark: bytes
    disconnects: tuple[tuple[bytes, int], ...]  # (server token, age in ms)
    cleared_ms: int | None  # age of the last answer in ms, None if there was none


class _Record:
    def __init__(self) -> None:
        self.disconnects: dict[bytes, float] = {}  # when each server last disconnected
        self.cleared_at = float("-inf")

    @property
    def newest(self) -> float:
        return max((self.cleared_at, *self.disconnects.values()))

    def add(self, server: bytes, at: float) -> None:
        if at > self.cleared_at:
            self.disconnects[server] = max(at, self.disconnects.get(server, at))

    def clear(self, at: float) -> None:
        self.cleared_at = max(at, self.cleared_at)
        remaining = {
            server: disconnected
            for server, disconnected in self.disconnects.items()
            if disconnected > self.cleared_at
        }
        self.disconnects = remaining

    def expire(self, now: float) -> None:
        self.disconnects = {s: at for s, at in self.disconnects.items() if now - at < RETENTION_S}


def server_token(server: str, started_at_ms: int) -> bytes:
    """Return a digest that identifies one start of a server."""
    return blake2b(f"{server}/{started_at_ms}".encode(), digest_size=4).digest()


class PoisonDetector:
    """Records, by fingerprint, the servers that disconnected from this or from other daemons."""

    def __init__(self) -> None:
        self._records: dict[bytes, _Record] = {}
        self._answered_at: dict[bytes, float] = {}  # by server that had disconnected before

    def on_disconnect(self, mark: bytes, server: bytes, now: float) -> None:
        """Record a server that disconnected while it ran the request."""
        self._records.setdefault(mark, _Record()).add(server, now)

    def on_server_answer(self, server: bytes, now: float) -> None:
        """Clear a server's disconnects for all requests: it answered, so it did not crash."""
        for record in self._records.values():
            if record.disconnects.pop(server, None) is not None:
                self._answered_at[server] = now
        if server in self._answered_at:
            self._answered_at[server] = now

    def on_answer(self, mark: bytes, now: float) -> None:
        """Clear the disconnects of a request that was answered."""
        record = self._records.get(mark)
        if record is not None:
            record.clear(now)

    def on_peer(self, suspects: list[Suspect], now: float) -> None:
        """Merge the gossip of another daemon."""
        for mark, disconnects, cleared_ms in suspects:
            if mark not in self._records and len(self._records) >= MAX_FINGERPRINTS:
                continue
            record = self._records.setdefault(mark, _Record())
            if cleared_ms is not None:
                record.clear(now - cleared_ms / 1000)
            for server, age_ms in disconnects:
                disconnected_at = now - age_ms / 1000
                if disconnected_at > self._answered_at.get(server, float("-inf")):
                    record.add(server, disconnected_at)

    def is_suspect(self, mark: bytes, now: float) -> bool:
        """Return whether the request must not be sent to another server."""
        record = self._records.get(mark)
        if record is None:
            return False
        return sum(now - at < RETENTION_S for at in record.disconnects.values()) >= MIN_DISCONNECTS

    def suspects_to_send(self, now: float) -> list[Suspect]:
        """Drop old records, and return the newest ones for the other daemons."""
        for record in self._records.values():
            record.expire(now)
        self._records = {
            mark: record
            for mark, record in self._records.items()
            if record.disconnects or now - record.cleared_at < RETENTION_S
        }
        answered = self._answered_at.items()
        self._answered_at = {server: at for server, at in answered if now - at < RETENTION_S}
        newest = sorted(self._records.items(), key=lambda item: -item[1].newest)[
            :MAX_SUSPECTS_PER_MESSAGE
        ]
        return [self._suspect(mark, record, now) for mark, record in newest]

    @staticmethod
    def _suspect(mark: bytes, record: _Record, now: float) -> Suspect:
        recent = sorted(record.disconnects.items(), key=lambda item: -item[1])[:MIN_DISCONNECTS]
        disconnects = tuple((server, int(1000 * (now - at))) for server, at in recent)
        answered = now - record.cleared_at < RETENTION_S
        return Suspect(
            mark, disconnects, int(1000 * (now - record.cleared_at)) if answered else None
        )
