"""Queue of requests that no server has room for.

Load pattern: for seconds at a time, more work arrives than the servers' slots and memory can hold.
Requests that can still meet their target go before those that cannot, urgent ones before others,
and among equals the one that arrived first. A request that finds no server within its waiting time
is rejected then, not at its deadline; one that certainly will not, by the pace at which requests
before it were placed, is rejected at once. Both are told when to come back, by the same pace.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Hashable
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")
MAX_QUEUED_REQUESTS = 256  # a further request is rejected at once
PACE_WINDOW_S = 3.0  # in which placements are counted
MIN_PLACED = 4  # in the window; fewer tell no pace
MAX_PLACED = 512  # that are remembered


class Rank(NamedTuple):
    """The properties that order waiting requests."""

    priority: int  # 0 is the most urgent
    arrived_at: float
    target_at: float  # the latest time at which the answer is still on time

    def key(self, now: float) -> tuple[bool, int, float]:
        """Return the sort key: late requests go last, then by priority and arrival."""
        return (now > self.target_at, self.priority, self.arrived_at)


class Need(NamedTuple):
    """The server that a waiting request needs."""

    kind: Hashable  # requests of the same kind fit the same servers, except for their size
    size: int  # if a request finds no server, no larger one of its kind finds one either


class _Waiter(Generic[T]):
    def __init__(
        self,
        rank: Rank,
        need: "Need",
        attempt: Callable[[], T | None],
        is_withdrawn: Callable[[], bool],
    ) -> None:
        self.rank = rank
        self.need = need
        self.attempt = attempt
        self.is_withdrawn = is_withdrawn
        self.fut: asyncio.Future[T | None] = asyncio.get_running_loop().create_future()


class AdmissionQueue(Generic[T]):
    """Holds the requests that wait for a server, and serves them by rank."""

    def __init__(self) -> None:
        self._waiters: list[_Waiter[T]] = []
        # When requests that waited were placed, and of which kind they were.
        self._placed: deque[tuple[float, Hashable]] = deque(maxlen=MAX_PLACED)

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def is_full(self) -> bool:
        """Return whether no further request may wait."""
        return len(self._waiters) >= MAX_QUEUED_REQUESTS

    def count_before(self, rank: Rank, competes: Callable[[Hashable], bool], now: float) -> int:
        """Return how many waiting requests go before one of a rank.

        Parameters
        ----------
        competes
            Returns whether requests of a kind want the same servers.
        """
        key = rank.key(now)
        return sum(
            waiter.rank.key(now) <= key and competes(waiter.need.kind) for waiter in self._waiters
        )

    def expected_wait_s(
        self, rank: Rank, competes: Callable[[Hashable], bool], now: float
    ) -> float | None:
        """Return how long a request of a rank would wait; None if that is not known.

        Parameters
        ----------
        competes
            Returns whether requests of a kind want the same servers.
        """
        times = [at for at, kind in self._placed if at > now - PACE_WINDOW_S and competes(kind)]
        if len(times) < MIN_PLACED:
            return None
        interval_s = (now - times[0]) / len(times)
        return interval_s * (self.count_before(rank, competes, now) + 1)

    async def wait(
        self,
        rank: Rank,
        need: Need,
        attempt: Callable[[], T | None],
        limit_s: float,
        is_withdrawn: Callable[[], bool] = lambda: False,
    ) -> T | None:
        """Wait until `attempt` returns a server, and return it; return None after the limit.

        Parameters
        ----------
        is_withdrawn
            Whether the request must not be served any more; `withdraw` then ends its wait.
        """
        waiter = _Waiter(rank, need, attempt, is_withdrawn)
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(limit_s):
                return await waiter.fut
        except TimeoutError:
            return waiter.fut.result() if _has_result(waiter.fut) else None
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def withdraw(self) -> None:
        """End the wait of the requests that must not be served any more."""
        for waiter in list(self._waiters):
            if not waiter.fut.done() and waiter.is_withdrawn():
                waiter.fut.set_result(None)
                self._waiters.remove(waiter)

    def pump(self, now: float) -> None:
        """Assign free servers to waiting requests in their order.

        After a request found no server, `attempt` is called only for smaller ones of its kind, so
        that the cost does not grow with the number of requests that wait.
        """
        refused: dict[Hashable, int] = {}
        for waiter in sorted(self._waiters, key=lambda item: item.rank.key(now)):
            kind, size = waiter.need
            if waiter.fut.done() or size >= refused.get(kind, size + 1):
                continue
            server = waiter.attempt()
            if server is None:
                refused[kind] = size
                continue
            waiter.fut.set_result(server)
            self._waiters.remove(waiter)
            self._placed.append((now, kind))


def _has_result(fut: asyncio.Future[T | None]) -> bool:
    return fut.done() and not fut.cancelled()
