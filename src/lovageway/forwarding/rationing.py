"""Sends datagrams to other daemons within a limit of bytes."""

from collections.abc import Sequence
from random import Random

from lovageway.forwarding.gossip import Gossip
from lovageway.forwarding.tokenbucket import TokenBucket


class RationedSender:
    """Sends datagrams to as many daemons as the limit allows; a random sample if not to all.

    Parameters
    ----------
    bytes_per_s
        Limit of the bytes that are sent to all daemons together.
    burst_bytes
        Bytes that may be sent at once after a time without datagrams.
    """

    def __init__(
        self, sockets: Gossip, port: int, rng: Random, bytes_per_s: float, burst_bytes: float
    ) -> None:
        self._gossip = sockets
        self._port = port
        self._rng = rng
        self._tokens = TokenBucket(bytes_per_s, burst_bytes)

    def send(self, data: bytes, ips: Sequence[str], now: float) -> None:
        """Send one datagram to some daemons."""
        allowed = max(0, int(self._tokens.at(now) / len(data)))
        if len(ips) > allowed:
            ips = self._rng.sample(list(ips), allowed)
        self._tokens.take(len(ips) * len(data))
        self._gossip.send(data, list(ips), self._port)
