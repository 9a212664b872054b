"""What runs at each backend server: own requests and those that other daemons told of.

The sums change with each message, so that asking for the load at a server costs the same in a fleet
of any size. In a small fleet each daemon hears every other one. In a large one it hears the sum of
its region from collectors, and the sums of other regions through them.
"""

from typing import NamedTuple

PEER_LOAD_MAX_AGE_S = 1.3  # older counts are not used; two ticks of a large fleet
REGION_LOAD_MAX_AGE_S = 2.5  # older sums of another region are not used


class Load(NamedTuple):
    """Requests at a server and the memory that they will come to hold."""

    requests: int
    tokens: int
    unread: int = 0  # prompt tokens of requests that have not begun to answer
    copies: int = 0  # part of the tokens: copies of generations that run elsewhere

    def __add__(self, other: object) -> "Load":
        if not isinstance(other, Load):
            return NotImplemented
        return Load(
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.unread + other.unread,
            self.copies + other.copies,
        )

    def __sub__(self, other: "Load") -> "Load":
        return Load(
            self.requests - other.requests,
            self.tokens - other.tokens,
            self.unread - other.unread,
            self.copies - other.copies,
        )


ZERO = Load(0, 0)
Loads = dict[str, Load]  # by server


class Told(NamedTuple):
    """Load that was told of, and when."""

    at: float
    loads: Loads
    daemons: int = 1  # whose whole load it is; 0 if it is a part of one's


def _sum(*parts: Loads) -> Loads:
    found: Loads = {}
    for loads in parts:
        for server, load in loads.items():
            found[server] = found.get(server, ZERO) + load
    return found


class LoadTracker:
    """Load by server id."""

    def __init__(self) -> None:
        self._own: Loads = {}
        self._peers: dict[str, Told] = {}  # own loads of daemons that report to this one
        self._peer_sum: Loads = {}
        self._reporters = 0  # peers that told their whole load
        self._sums: dict[str, Told] = {}  # by collector: the region's load without this daemon's
        self._regions: dict[str, Told] = {}  # sums of other regions
        self._due = float("inf")  # when the oldest of what was told becomes too old
        self._used: Loads | None = None  # sum of what is used of it; None after a message

    # Own load.

    def add(self, server: str, tokens: int) -> None:
        """Count a request that is sent to a server."""
        self._change(server, Load(1, tokens))

    def add_unread(self, server: str, prompt: int) -> None:
        """Count a prompt that a server has to read; a negative amount when it has begun."""
        self._change(server, Load(0, 0, prompt))

    def add_checkpoint(self, server: str, tokens: int) -> None:
        """Count the memory of a copy; a negative amount gives it back."""
        self._change(server, Load(0, tokens, copies=tokens))

    def remove(self, server: str, tokens: int) -> None:
        """Count a request that ended at a server."""
        self._change(server, Load(-1, -tokens))

    def _change(self, server: str, change: Load) -> None:
        left = self._own.get(server, ZERO) + change
        if any(part > 0 for part in left):
            self._own[server] = left
        else:
            self._own.pop(server, None)

    def own(self) -> Loads:
        """Return this daemon's load."""
        return dict(self._own)

    def own_at(self, server: str) -> Load:
        """Return this daemon's load at a server."""
        return self._own.get(server, ZERO)

    # What others told.

    def on_peer(self, peer: str, loads: Loads, now: float) -> None:
        """Take a peer's own load."""
        self._set_peer(peer, Told(now, loads))
        self._on_told(now + PEER_LOAD_MAX_AGE_S)

    def on_peer_added(self, peer: str, loads: Loads, now: float) -> None:
        """Take load that a peer added after its last news, and that its next news will contain."""
        known = self._peers.get(peer, Told(now, {}, 0))
        self._set_peer(peer, known._replace(loads=_sum(known.loads, loads)))
        for collector, told in self._sums.items():
            self._sums[collector] = told._replace(loads=_sum(told.loads, loads))
        self._on_told(known.at + PEER_LOAD_MAX_AGE_S)

    def on_region_sum(self, collector: str, loads: Loads, daemons: int, now: float) -> None:
        """Take the load of the region's other daemons, as a collector adds it up.

        Parameters
        ----------
        daemons
            How many daemons the collector heard.
        """
        self._sums[collector] = Told(now, loads, daemons)
        self._on_told(now + PEER_LOAD_MAX_AGE_S)

    def on_other_region(self, region: str, loads: Loads, now: float) -> None:
        """Take the sum of the loads of another region's daemons."""
        old = self._regions.get(region)
        if old is None or old.at <= now:
            self._regions[region] = Told(now, loads)
            self._on_told(now + REGION_LOAD_MAX_AGE_S)

    def _set_peer(self, peer: str, told: Told | None) -> None:
        """Replace what a peer told, and correct the sum by the difference."""
        old = self._peers.pop(peer, None)
        if old is not None:
            self._reporters -= old.daemons
            for server, load in old.loads.items():
                left = self._peer_sum.get(server, ZERO) - load
                if left == ZERO:
                    self._peer_sum.pop(server, None)
                else:
                    self._peer_sum[server] = left
        if told is not None:
            self._peers[peer] = told
            self._reporters += told.daemons
            for server, load in told.loads.items():
                self._peer_sum[server] = self._peer_sum.get(server, ZERO) + load

    def _on_told(self, due: float) -> None:
        self._used = None
        self._due = min(self._due, due)

    def _sum_used(self) -> Loads:
        """Add up what is used of what was told: of the region, whoever knows the most daemons."""
        best = max(self._sums.values(), key=lambda told: (told.daemons, told.at), default=None)
        near = self._peer_sum
        if best is not None and best.daemons > self._reporters:
            near = best.loads
        return _sum(near, *(told.loads for told in self._regions.values()))

    # Questions.

    def at(self, server: str, now: float) -> Load:
        """Return the load of all daemons at a server."""
        if now > self._due:
            self.forget(now)
        if self._used is None:
            self._used = self._sum_used()
        own, told = self._own.get(server), self._used.get(server)
        if own is None:
            return told or ZERO
        return own if told is None else own + told

    def total(self, now: float) -> Loads:
        """Return the sum of this daemon's load and its peers', without other regions."""
        self.forget(now)
        return _sum(self._own, self._peer_sum)

    def total_without(self, peer: str, total: Loads) -> Loads:
        """Return a sum without the part of one of the peers in it."""
        told = self._peers.get(peer)
        if told is None or not told.loads:
            return total
        own_part = told.loads.items()
        return {**total, **{server: total.get(server, ZERO) - load for server, load in own_part}}

    def daemons(self) -> int:
        """Return how many daemons the total is the sum of."""
        return 1 + self._reporters

    def regions(self, now: float) -> dict[str, tuple[float, Loads]]:
        """Return the sums of other regions that may be used, with their age."""
        self.forget(now)
        return {region: (now - told.at, told.loads) for region, told in self._regions.items()}

    def forget(self, now: float) -> None:
        """Drop what is too old to use."""
        for peer in _old(self._peers, now, PEER_LOAD_MAX_AGE_S):
            self._set_peer(peer, None)
        for told, age in (
            (self._sums, PEER_LOAD_MAX_AGE_S),
            (self._regions, REGION_LOAD_MAX_AGE_S),
        ):
            for key in _old(told, now, age):
                del told[key]
        near = [told.at for told in (*self._peers.values(), *self._sums.values())]
        far = [told.at for told in self._regions.values()]
        self._due = min(
            min(near, default=float("inf")) + PEER_LOAD_MAX_AGE_S,
            min(far, default=float("inf")) + REGION_LOAD_MAX_AGE_S,
        )
        self._used = None


def _old(told: dict[str, Told], now: float, max_age_s: float) -> list[str]:
    return [key for key, item in told.items() if now - item.at > max_age_s]
