"""Budget of repeats: arrivals at a service beyond the first of each request.

Load pattern: servers fail or refuse much of their work, and every daemon would send it again. The
operator bounds the sum over all daemons in a sliding window; each daemon keeps to its own requests'
share and an equal part of the fixed allowance, so the sum holds without messages.
"""

from collections import deque

SAFETY = 0.8  # part of the bound that is used; daemons may disagree on how many are alive
SLICE_S = 0.5  # width of the slices in which events are counted


class _Window:
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
        """Drop old slices; `early` when any of a slice's events is too old, else when all are."""
        margin = 0.0 if early else SLICE_S
        while self._slices and now - self._slices[0][0] > self._span + margin:
            self.total -= self._slices.popleft()[1]


class RetryBudget:
    """Repeats that this daemon may send to one service."""

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._requests = _Window(window_s)
        self._repeats = _Window(window_s)

    def on_request(self, now: float) -> None:
        """Count a client's request."""
        self._requests.add(now)

    def take(self, daemons: float, now: float) -> bool:
        """Take one repeat; False if the budget is spent.

        Parameters
        ----------
        daemons
            How many daemons share the fixed allowance; infinite if that is not known yet.
        """
        self._requests.expire(now, early=True)
        self._repeats.expire(now, early=False)
        allowed = self._ratio * self._requests.total + self._extra / max(1.0, daemons)
        if self._repeats.total + 1 > SAFETY * allowed:
            return False
        self._repeats.add(now)
        return True
