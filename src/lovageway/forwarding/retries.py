"""Budget of further sends: those of a request to a service beyond its first.

Load pattern: servers fail or refuse much of their work, and every daemon would send it again. The
operator bounds the sum over all daemons in a sliding window. Each daemon uses the share that its
own requests allow and an equal part of the fixed allowance, so that the sum stays within the bound
without messages between daemons. What a process used is not known to the next one at its address,
which therefore begins with a small part.
"""

from collections import deque

from lovageway.forwarding import fleetshare

SAFETY_FACTOR = 0.8  # used part of the bound: daemons may count different numbers of live ones
# Used part while an earlier process of this daemon may have used its part in the same window.
RESTART_FACTOR = 0.1
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

    def withdraw(self, at: float) -> None:
        """Remove an event that was added at a time, unless it has expired."""
        for counted in reversed(self._slices):
            if counted[0] <= at:
                counted[1] -= 1
                self.total -= 1
                return

    def expire(self, now: float, *, early: bool) -> None:
        """Drop a slice once all its events are too old, or with `early` once any of them is."""
        margin = 0.0 if early else SLICE_S
        while self._slices and now - self._slices[0][0] > self._span + margin:
            self.total -= self._slices.popleft()[1]


class RetryBudget:
    """Limits the further sends of this daemon to one service."""

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._requests = _Window(window_s)
        self._retries = _Window(window_s)

    def on_request(self, now: float) -> None:
        """Count a client's request."""
        self._requests.add(now)

    def take(
        self, daemons: float, now: float, *, kept: float = 0.0, restarted: bool = False
    ) -> bool:
        """Consume one send from the budget; return False if the budget is used up.

        Parameters
        ----------
        daemons
            How many daemons share the fixed allowance; infinite while that is unknown.
        kept
            Share of the budget that is left for others.
        restarted
            Whether an earlier process of this daemon may have sent retries in the same window.
        """
        self._requests.expire(now, early=True)
        self._retries.expire(now, early=False)
        allowed = self._ratio * self._requests.total + fleetshare.part(self._extra, daemons)
        factor = RESTART_FACTOR if restarted else SAFETY_FACTOR
        if self._retries.total + 1 > factor * (1.0 - kept) * allowed:
            return False
        self._retries.add(now)
        return True

    def give_back(self, taken_at: float) -> None:
        """Return a send that was taken at a time and was not made."""
        self._retries.withdraw(taken_at)

    @property
    def used(self) -> float:
        """Return the number of sends in the window."""
        return self._retries.total
