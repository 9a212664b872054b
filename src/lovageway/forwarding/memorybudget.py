"""Bounds the memory that a daemon keeps for bodies of requests and of answers."""

BODY_SHARE = 1 / 3  # of the machine's memory for bodies of requests that have not ended
ANSWER_SHARE = 1 / 8  # of the machine's memory for answers that are collected or not yet read
DEFAULT_MEMORY_MB = 128  # where the settings name no limit


def budget_bytes(memory_mb: int, share: float) -> int:
    """Return a part of the machine's memory, in bytes."""
    return int(share * (memory_mb or DEFAULT_MEMORY_MB) * 1e6)


class MemoryBudget:
    """Bytes that are kept, of those that may be."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.held = 0

    def reserve(self, size: int) -> bool:
        """Count bytes that are kept; False, without counting them, if there is no room."""
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Count bytes that are kept no more."""
        self.held -= size


class MemoryReservation:
    """What one request holds of a budget; given back at once."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    def reserve(self, size: int) -> bool:
        """Count more bytes; False if there is no room for them."""
        if not self._budget.reserve(size):
            return False
        self.size += size
        return True

    def release(self) -> None:
        """Give everything back."""
        self._budget.release(self.size)
        self.size = 0
