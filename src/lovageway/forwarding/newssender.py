"""Sends what a daemon learned to the other daemons, within a limit of bytes.

A change is sent at once to the daemons that pass it on, then with the heartbeats of the next
seconds. What does not change is repeated now and then, for daemons that missed it.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from lovageway.forwarding.gossip import Gossip
from lovageway.forwarding.state import State
from lovageway.forwarding.tokenbucket import TokenBucket

ANNOUNCE_DELAY_S = 0.02
NEWS_REUSE_S = 0.1  # one message serves the groups of receivers of a round


class NewsLimits(NamedTuple):
    """Limits of what is sent to all other daemons together."""

    bytes_per_s: float
    burst_bytes: float  # sent at once after a time without news
    repeats_per_s: float  # datagrams with what did not change


class NewsSender:
    """Sends one kind of news.

    Parameters
    ----------
    encode
        Returns a datagram with what changed lately, and if asked with some of what did not; None
        if there is nothing to send.
    after_urgent
        Called after a change was sent at once.
    """

    def __init__(
        self,
        state: State,
        sockets: Gossip,
        port: int,
        limits: NewsLimits,
        encode: Callable[[float, bool], bytes | None],
        after_urgent: Callable[[float], object] = lambda now: None,
    ) -> None:
        self._state = state
        self._gossip = sockets
        self._port = port
        self._tokens = TokenBucket(limits.bytes_per_s, limits.burst_bytes)
        self._repeats_per_s = limits.repeats_per_s
        self._encode = encode
        self._after_urgent = after_urgent
        self._repeat_at = 0.0
        self._news: bytes | None = None
        self._news_until = 0.0
        self._announcement: asyncio.TimerHandle | None = None

    def announce(self) -> None:
        """Send a change soon; changes of the same moment share a message."""
        if self._announcement is None:
            loop = asyncio.get_running_loop()
            self._announcement = loop.call_later(ANNOUNCE_DELAY_S, self.send_urgent)

    def close(self) -> None:
        """Cancel an announcement that was not sent yet."""
        if self._announcement is not None:
            self._announcement.cancel()
            self._announcement = None

    def send_urgent(self) -> None:
        """Send what changed to the daemons that pass it on."""
        self.close()
        now = self._state.clock()
        self._news_until = now  # the message is to have this change
        self.send_to(self._state.members.urgent_targets(now), now)
        self._after_urgent(now)

    def send_to(self, ips: Sequence[str], now: float, *, repeat: bool = False) -> None:
        """Send what changed to some daemons, and now and then what did not.

        A random sample of them receives it if the limit of bytes does not allow all.
        """
        if not ips:
            return
        if repeat or now >= self._repeat_at:
            data = self._encode(now, True)
            if not repeat:
                self._repeat_at = now + len(ips) / self._repeats_per_s
        else:
            if now >= self._news_until:
                self._news, self._news_until = self._encode(now, False), now + NEWS_REUSE_S
            data = self._news
        if data is None:
            return
        allowed = max(0, int(self._tokens.at(now) / len(data)))
        if len(ips) > allowed:
            ips = self._state.rng.sample(list(ips), allowed)
        self._tokens.take(len(ips) * len(data))
        self._gossip.send(data, list(ips), self._port)
