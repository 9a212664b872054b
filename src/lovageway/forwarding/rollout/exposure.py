"""Keeps what one daemon sends to an unproved version within its part of the fleet's bound.

Load pattern: any number of daemons share a service, with very different numbers of requests, and
they start, end and lose contact at any time. Each one may send the new version a share of what it
sent to the service itself, so the sum stays within the bound without a message. Fractions are
rounded at random: 300 daemons with two requests each would otherwise send nothing, or 300 requests.
"""

from math import floor, sqrt
from random import Random

SAFETY_FACTOR = 0.8  # used part of the bound's share
TOLERANCE_FACTOR = 0.5  # used part of the bound's tolerance
# Expected part of the requests that are still to come, if they came as often as before. Less than
# one, as traffic may end.
FUTURE_FACTOR = 0.3
MAX_ROUTE_SHARE = 0.25  # of a rare route, for the new version
MAX_CREDIT = 2.0  # requests of a route that may follow each other after a pause


class Exposure:
    """Requests of one daemon for a service with a roll-out.

    Parameters
    ----------
    share, tolerance
        The bound of the fleet: this share of all requests, and this many beyond it.
    has_history
        Whether an earlier process of this daemon may have sent requests: then this one has no part
        of the tolerance, and none of requests that are still to come.
    """

    def __init__(
        self, share: float, tolerance: float, rng: Random, *, has_history: bool, now: float
    ) -> None:
        self._share = SAFETY_FACTOR * share
        self._tolerance = 0.0 if has_history else TOLERANCE_FACTOR * tolerance
        self._future = 0.0 if has_history else FUTURE_FACTOR
        self._rng = rng
        self._round = rng.random()
        self._began_at = now
        self._credits: dict[str, float] = {}  # by route
        self._chosen: dict[str, int] = {}  # requests by route
        self._total = 0  # of them
        self._root_sum = 0.0  # of the square roots of their numbers
        self.sent = 0  # to the service
        self.sent_new = 0  # to its new version

    def on_send(self, *, is_new: bool) -> None:
        """Count a request that is sent to the service."""
        self.sent += 1
        self.sent_new += is_new

    def allowed(self, daemons: float, left_s: float, now: float) -> int:
        """Return how many requests this daemon may have sent to the new version by now.

        Parameters
        ----------
        daemons
            How many daemons share the tolerance; infinite while that is unknown.
        left_s
            Time until the order's deadline, in seconds.
        """
        elapsed_s = max(1.0, now - self._began_at)
        coming = self._future * self.sent * max(0.0, left_s) / elapsed_s
        parts = self._tolerance / max(1.0, daemons)
        return floor(self._share * (self.sent + coming) + parts + self._round)

    def has_room(self, daemons: float, left_s: float, now: float) -> bool:
        """Return whether another request may go to the new version."""
        return self.sent_new < self.allowed(daemons, left_s, now)

    def is_due(self, route: str) -> bool:
        """Return whether the next request of a route is one for the new version.

        Each route has its own sequence, so that all routes are observed.
        """
        return self._credits.get(route, 0.0) >= 1.0

    def on_chosen(self, route: str, share: float, *, is_new: bool) -> None:
        """Count a request of a route.

        Parameters
        ----------
        share
            Part of all requests that is for the new version. Rare routes get more than this
            share, frequent ones less, so that the answers on a rare one prove something, too.
        """
        count = self._chosen.get(route, 0) + 1
        self._chosen[route] = count
        self._total += 1
        self._root_sum += sqrt(count) - sqrt(count - 1)
        part = min(MAX_ROUTE_SHARE, share * self._total / (sqrt(count) * self._root_sum))
        credit = self._credits.get(route)
        if credit is None:
            credit = self._rng.random()
        self._credits[route] = min(MAX_CREDIT, credit + part) - is_new
