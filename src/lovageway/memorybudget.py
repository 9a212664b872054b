"""Limits the memory that a daemon uses for requests and answers."""

# Shares of the daemon's configured memory limit (`limits.memory_mb` of the settings).
BODY_SHARE = 1 / 3  # for the bodies of requests that have not ended
ANSWER_SHARE = 1 / 8  # for answers that are being collected or that clients have not yet read
DEFAULT_MEMORY_MB = 128  # used if the settings set no limit


def budget_bytes(memory_mb: int, share: float) -> int:
    """Return a share of the memory limit, in bytes.

    Parameters
    ----------
    memory_mb
        The limit in megabytes; 0 if the settings set none, which means DEFAULT_MEMORY_MB.
    share
        Part of the limit, between 0 and 1.
    """
    return int(share * (memory_mb or DEFAULT_MEMORY_MB) * 1e6)


class MemoryBudget:
    """Limits the total of reserved bytes."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False, and reserve nothing, if the total would exceed the limit."""
        if self.reserved + size > self.max_bytes:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes, so that they can be reserved again."""
        self.reserved -= size


class MemoryReservation:
    """The bytes that one request has reserved of a budget; they are released together."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    def reserve(self, size: int) -> bool:
        """Reserve more bytes.

        Return False, and reserve nothing, if the budget's total would exceed its limit.
        """
        if not self._budget.reserve(size):
            return False
        self.size += size
        return True

    def resize(self, size: int) -> bool:
        """Change the reservation to `size` bytes; return False, and keep it, if it may not grow."""
        if size > self.size:
            return self.reserve(size - self.size)
        self._budget.release(self.size - size)
        self.size = size
        return True

    def release(self) -> None:
        """Release all bytes of this reservation."""
        self._budget.release(self.size)
        self.size = 0

    def transfer(self) -> "MemoryReservation":
        """Return a reservation that holds all bytes of this one, which then holds none."""
        other = MemoryReservation(self._budget)
        other.size, self.size = self.size, 0
        return other
