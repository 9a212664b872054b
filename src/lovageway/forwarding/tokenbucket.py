"""Token bucket: bounds how often something happens, with bursts."""


class TokenBucket:
    """A bucket that is refilled at a constant rate; it is full at first.

    Parameters
    ----------
    per_s
        Tokens added in a second.
    capacity
        Maximum number of tokens in the bucket.
    """

    def __init__(self, per_s: float, capacity: float) -> None:
        self._per_s = per_s
        self._capacity = capacity
        self._available = capacity
        self._updated_at: float | None = None

    def at(self, now: float) -> float:
        """Refill the bucket up to a time, and return the tokens that are available."""
        if self._updated_at is not None:
            self._available = min(
                self._capacity, self._available + (now - self._updated_at) * self._per_s
            )
        self._updated_at = now
        return self._available

    def take(self, count: float) -> None:
        """Remove tokens without a refill."""
        self._available -= count
