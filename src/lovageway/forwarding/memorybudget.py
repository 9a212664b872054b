"""Bounds the memory that a daemon uses for the bodies of requests and answers."""

# Shares of the machine's memory.
BODY_SHARE = 1 / 3  # for the bodies of requests that have not ended
ANSWER_SHARE = 1 / 8  # for answers that are being collected or that clients have not yet read
DEFAULT_MEMORY_MB = 128  # used if the settings name no limit


def budget_bytes(memory_mb: int, share: float) -> int:
    """Return a share of the machine's memory, in bytes."""
    return int(share * (memory_mb or DEFAULT_MEMORY_MB) * 1e6)


class MemoryBudget:
    """Counts reserved bytes up to a maximum."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False, and reserve nothing, if they exceed the maximum."""
        if self.reserved + size > self.max_bytes:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes to the budget."""
        self.reserved -= size


class MemoryReservation:
    """The bytes of a budget that one request has reserved; they are released together."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    def reserve(self, size: int) -> bool:
        """Reserve more bytes; return False, and reserve nothing, if the budget has no room."""
        if not self._budget.reserve(size):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Return all reserved bytes to the budget."""
        self._budget.release(self.size)
        self.size = 0
