"""Remembers how slowly the engines of each service produced tokens lately.

Load pattern: a daemon that stops has to know how long a new generation may take. The more requests
an engine runs, the more slowly each token comes, so a fixed time for a token is too short just when
much work is on hand.
"""

PERIOD_S = 10.0  # a pace is remembered for one to two periods
MIN_EVENTS = 5  # of a stream, before its pace counts
HEADROOM = 1.3  # on the observed pace: engines slow down as the other daemons' requests arrive


class TokenPace:
    """The slowest pace of each service's recent streams, in seconds a token."""

    def __init__(self) -> None:
        self._began_at = 0.0
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}

    def on_events(self, service: str, events: int, seconds_per_token: float, now: float) -> None:
        """Record the average pace of a stream so far."""
        self._rotate(now)
        if events >= MIN_EVENTS:
            self._current[service] = max(self._current.get(service, 0.0), seconds_per_token)

    def longest_s(self, service: str, tokens: int, default_s: float, now: float) -> float:
        """Return how long an output may take, in seconds.

        Parameters
        ----------
        default_s
            Time for a token while no stream of the service was observed.
        """
        self._rotate(now)
        observed = max(self._current.get(service, 0.0), self._previous.get(service, 0.0))
        return tokens * (HEADROOM * observed if observed else default_s)

    def _rotate(self, now: float) -> None:
        if now - self._began_at < PERIOD_S:
            return
        recent = now - self._began_at < 2 * PERIOD_S
        self._previous = self._current if recent else {}
        self._current = {}
        self._began_at = now
