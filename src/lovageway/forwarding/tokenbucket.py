"""Token bucket: bounds how often something happens, with bursts."""


class TokenBucket:
    """Tokens that come back with time.

    Parameters
    ----------
    per_s
        Tokens that come back in a second.
    most
        Tokens that are kept at most.
    """

    def __init__(self, per_s: float, most: float) -> None:
        self._per_s = per_s
        self._most = most
        self._left = most
        self._at: float | None = None

    def at(self, now: float) -> float:
        """Return the tokens that are left at a time."""
        if self._at is not None:
            self._left = min(self._most, self._left + (now - self._at) * self._per_s)
        self._at = now
        return self._left

    def take(self, count: float) -> None:
        """Take tokens, as of the last time asked for."""
        self._left -= count
