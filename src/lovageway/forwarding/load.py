"""What runs at each backend server: own requests and those that other daemons told of."""

from typing import NamedTuple

PEER_LOAD_MAX_AGE_S = 1.3  # older counts of a peer are not used; two ticks of a large fleet
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
        return Load(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))


ZERO = Load(0, 0)


class LoadBook:
    """Load by server id."""

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._peers: dict[str, tuple[float, dict[str, Load]]] = {}
        self._regions: dict[str, tuple[float, dict[str, Load]]] = {}

    def add(self, server: str, tokens: int) -> None:
        """Count a request that is sent to a server."""
        self._change(server, Load(1, tokens))

    def wait_for(self, server: str, prompt: int) -> None:
        """Count a prompt that a server has to read; a negative amount when it has begun."""
        self._change(server, Load(0, 0, prompt))

    def hold(self, server: str, tokens: int) -> None:
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

    def on_peer(self, peer: str, loads: dict[str, Load], now: float) -> None:
        """Take a peer's own load."""
        self._peers[peer] = (now, loads)

    def on_peer_added(self, peer: str, loads: dict[str, Load], now: float) -> None:
        """Take load that a peer added after its last news, and that its next news will contain."""
        heard_at, known = self._peers.get(peer, (now, {}))
        sums = dict(known)
        for server, load in loads.items():
            sums[server] = sums.get(server, ZERO) + load
        self._peers[peer] = (heard_at, sums)

    def on_region(self, region: str, loads: dict[str, Load], now: float) -> None:
        """Take the sum of the loads of another region's daemons."""
        self._regions[region] = (now, loads)

    def total(self, now: float) -> dict[str, Load]:
        """Return the sum of this daemon's load and its peers', without other regions."""
        found = dict(self._own)
        for heard_at, loads in self._peers.values():
            if now - heard_at > PEER_LOAD_MAX_AGE_S:
                continue
            for server, load in loads.items():
                found[server] = found.get(server, ZERO) + load
        return found

    def own(self) -> dict[str, Load]:
        """Return this daemon's load."""
        return dict(self._own)

    def own_at(self, server: str) -> Load:
        """Return this daemon's load at a server."""
        return self._own.get(server, ZERO)

    def at(self, server: str, now: float) -> Load:
        """Return the load of all daemons at a server."""
        found = self._own.get(server, ZERO)
        for told, max_age in (
            (self._peers, PEER_LOAD_MAX_AGE_S),
            (self._regions, REGION_LOAD_MAX_AGE_S),
        ):
            for heard_at, loads in told.values():
                if server in loads and now - heard_at <= max_age:
                    found += loads[server]
        return found

    def forget(self, now: float) -> None:
        """Drop peers whose counts are too old to use."""
        old = [p for p, (at, _) in self._peers.items() if now - at > PEER_LOAD_MAX_AGE_S]
        for peer in old:
            del self._peers[peer]
