"""Recognises requests that crash the servers that run them.

Load pattern: a client sends the same request again and again, through any daemon, and each server
that begins to run it dies. Daemons note under the request's fingerprint which servers broke off,
and tell each other; an answer of any kind, at any daemon, clears the fingerprint.

Load pattern of sound requests: many clients ask the same thing, and a faulty server breaks off part
of its answers, or a network resets the connections to all servers at once. A server that answers
anything after it broke off, in the same start, did not crash. It counts as one server however often
it breaks off. What a daemon rejects of a server that goes on sending is no crash.

What was told is a set of servers with the ages of their breaks. Whoever hears it tells it on, in
whatever order and however often, without making it more or younger.
"""

from hashlib import blake2b
from typing import NamedTuple

LIMIT = 3  # servers, or starts of a server, that broke off without an answer between them
KEEP_S = 60.0
MAX_SUSPECTS_PER_MESSAGE = 16  # fingerprints in one message
KNOWN_MOST = 4096  # fingerprints that are kept of what others tell


def fingerprint(account: str | None, method: str, target: str, body: bytes) -> bytes:
    """Return what identifies a request however often its client sends it."""
    digest = blake2b(digest_size=8)
    for part in ((account or "").encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


class Suspect(NamedTuple):
    """What daemons tell each other of one fingerprint."""

    mark: bytes
    breaks: tuple[tuple[bytes, int], ...]  # servers that broke off, with the age in ms
    cleared_ms: int | None  # age of the last answer, None if there was none


class _Known:
    def __init__(self) -> None:
        self.breaks: dict[bytes, float] = {}  # by server: when it broke off
        self.cleared_at = float("-inf")

    @property
    def newest(self) -> float:
        return max((self.cleared_at, *self.breaks.values()))

    def add(self, server: bytes, at: float) -> None:
        if at > self.cleared_at:
            self.breaks[server] = max(at, self.breaks.get(server, at))

    def clear(self, at: float) -> None:
        self.cleared_at = max(at, self.cleared_at)
        kept = {server: broke for server, broke in self.breaks.items() if broke > self.cleared_at}
        self.breaks = kept

    def expire(self, now: float) -> None:
        self.breaks = {s: at for s, at in self.breaks.items() if now - at < KEEP_S}


def server_token(server: str, started_at_ms: int) -> bytes:
    """Return what stands for one start of a server."""
    return blake2b(f"{server}/{started_at_ms}".encode(), digest_size=4).digest()


class PoisonDetector:
    """Servers that broke off, by fingerprint, as this and other daemons saw them."""

    def __init__(self) -> None:
        self._known: dict[bytes, _Known] = {}
        self._answered_at: dict[bytes, float] = {}  # by server that had broken off

    def on_disconnect(self, mark: bytes, server: bytes, now: float) -> None:
        """Note a server that broke off while it ran the request."""
        self._known.setdefault(mark, _Known()).add(server, now)

    def on_server_answer(self, server: bytes, now: float) -> None:
        """Forget that a server broke off, for whatever request: it lives."""
        for known in self._known.values():
            if known.breaks.pop(server, None) is not None:
                self._answered_at[server] = now
        if server in self._answered_at:
            self._answered_at[server] = now

    def on_answer(self, mark: bytes, now: float) -> None:
        """Forget the breaks of a request that was answered."""
        known = self._known.get(mark)
        if known is not None:
            known.clear(now)

    def on_peer(self, suspects: list[Suspect], now: float) -> None:
        """Take what another daemon knows."""
        for mark, breaks, cleared_ms in suspects:
            if mark not in self._known and len(self._known) >= KNOWN_MOST:
                continue
            known = self._known.setdefault(mark, _Known())
            if cleared_ms is not None:
                known.clear(now - cleared_ms / 1000)
            for server, age_ms in breaks:
                broke_at = now - age_ms / 1000
                if broke_at > self._answered_at.get(server, float("-inf")):
                    known.add(server, broke_at)

    def is_suspect(self, mark: bytes, now: float) -> bool:
        """Return whether the request must not reach another server."""
        known = self._known.get(mark)
        if known is None:
            return False
        return sum(now - at < KEEP_S for at in known.breaks.values()) >= LIMIT

    def suspects_to_send(self, now: float) -> list[Suspect]:
        """Return what is known for the other daemons, newest first; drop what is old."""
        for known in self._known.values():
            known.expire(now)
        self._known = {
            mark: known
            for mark, known in self._known.items()
            if known.breaks or now - known.cleared_at < KEEP_S
        }
        answered = self._answered_at.items()
        self._answered_at = {server: at for server, at in answered if now - at < KEEP_S}
        newest = sorted(self._known.items(), key=lambda item: -item[1].newest)[
            :MAX_SUSPECTS_PER_MESSAGE
        ]
        return [self._suspect(mark, known, now) for mark, known in newest]

    @staticmethod
    def _suspect(mark: bytes, known: _Known, now: float) -> Suspect:
        recent = sorted(known.breaks.items(), key=lambda item: -item[1])[:LIMIT]
        breaks = tuple((server, int(1000 * (now - at))) for server, at in recent)
        answered = now - known.cleared_at < KEEP_S
        return Suspect(mark, breaks, int(1000 * (now - known.cleared_at)) if answered else None)
