"""Budget of retries: sends of a request to a service beyond its first.

Load pattern: servers fail or refuse much of their work, and every daemon would send it again. The
operator bounds the sum over all daemons in a sliding window. Each daemon uses the share that its
own requests allow and an equal part of the fixed allowance, so that the sum stays within the bound
without messages between daemons.
"""

from collections import deque

from lovageway.forwarding import fleetshare

SAFETY_FACTOR = 0.8  # used part of the bound: daemons may count different numbers of live ones
SLICE_S = 0.5  # width of the slices in which events are counted


class _Window:
    """Counts events in a sliding window."""

    def __init__(self, span_s: float) -> None:
        self._span = span_s
        self._slices: deque[list[float]] = deque()  # [start, count]
        self.total = 0.0

    def add(self, now: float) -> None:
        if not self._slices or now - self._slices[-1][0] >= SLICE_S:
            self._slices.append([now, 0.0])
        self._slices[-1][1] += 1
        self.total += 1

    def expire(self, now: float, *, early: bool) -> None:
        """Drop a slice once all its events are too old, or with `early` once any of them is."""
        margin = 0.0 if early else SLICE_S
        while self._slices and now - self._slices[0][0] > self._span + margin:
            self.total -= self._slices.popleft()[1]


class RetryBudget:
    """Limits the retries that this daemon sends to one service."""

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._requests = _Window(window_s)
        self._retries = _Window(window_s)

    def on_request(self, now: float) -> None:
        """Count a client's request."""
        self._requests.add(now)

    def take(self, daemons: float, now: float) -> bool:
        """Consume one retry from the budget; return False if the budget is used up.

        Parameters
        ----------
        daemons
            How many daemons share the fixed allowance; infinite while that is unknown.
        """
        self._requests.expire(now, early=True)
        self._retries.expire(now, early=False)
        allowed = self._ratio * self._requests.total + fleetshare.part(self._extra, daemons)
        if self._retries.total + 1 > SAFETY_FACTOR * allowed:
            return False
        self._retries.add(now)
        return True
