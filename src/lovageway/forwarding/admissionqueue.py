"""Queue of requests that no server has room for.

Load pattern: more work arrives than the servers' slots and memory take, for seconds at a time.
Requests that can still meet their target go before those that cannot, urgent ones before others,
and among equals the one that came first. Whoever cannot be served in its time is turned away when
that is known, not at its deadline.
"""

import asyncio
from collections.abc import Callable, Hashable
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")
QUEUE_MOST = 256  # requests; beyond it a new one is turned away at once


class Rank(NamedTuple):
    """What orders waiting requests; smaller goes first."""

    priority: int
    arrived_at: float
    target_at: float  # until when the answer is on time


class Need(NamedTuple):
    """What a waiting request needs of a place."""

    kind: Hashable  # requests of one kind fit the same places but for their size
    size: int  # where one finds no place, no larger one of its kind does


class _Waiter(Generic[T]):
    def __init__(self, rank: Rank, need: "Need", attempt: Callable[[], T | None]) -> None:
        self.rank = rank
        self.need = need
        self.attempt = attempt
        self.fut: asyncio.Future[T] = asyncio.get_running_loop().create_future()

    def key(self, now: float) -> tuple[bool, int, float]:
        return (now > self.rank.target_at, self.rank.priority, self.rank.arrived_at)


class AdmissionQueue(Generic[T]):
    """Requests that wait for a server."""

    def __init__(self) -> None:
        self._waiters: list[_Waiter[T]] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def is_full(self) -> bool:
        """Return whether no more requests may wait."""
        return len(self._waiters) >= QUEUE_MOST

    async def wait(
        self, rank: Rank, need: Need, attempt: Callable[[], T | None], limit_s: float
    ) -> T | None:
        """Wait until `attempt` finds a place; None after the limit."""
        waiter = _Waiter(rank, need, attempt)
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(limit_s):
                return await waiter.fut
        except TimeoutError:
            return waiter.fut.result() if _has_result(waiter.fut) else None
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def pump(self, now: float) -> None:
        """Give free places to the requests that go first.

        A place is looked for once for each kind and size that does not fit, however many wait.
        """
        refused: dict[Hashable, int] = {}
        for waiter in sorted(self._waiters, key=lambda item: item.key(now)):
            kind, size = waiter.need
            if waiter.fut.done() or size >= refused.get(kind, size + 1):
                continue
            place = waiter.attempt()
            if place is None:
                refused[kind] = size
                continue
            waiter.fut.set_result(place)
            self._waiters.remove(waiter)


def _has_result(fut: asyncio.Future[T]) -> bool:
    return fut.done() and not fut.cancelled()
