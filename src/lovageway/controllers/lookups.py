"""Reads of claim rows by which requests learn whether their key has been used."""

from typing import NamedTuple

from lovageway.claimrows import EPOCH_KEY
from lovageway.events import Emit, ReadRows, TableAnswered

TABLE_WAIT_S = 2.0  # a caller waits no longer than this for the lookup, and for the claim


class Reading(NamedTuple):
    """A lookup under way."""

    until: float
    answer: TableAnswered | None


class Lookups:
    """Lookups under way, by request."""

    def __init__(self) -> None:
        self._readings: dict[str, Reading] = {}

    def __len__(self) -> int:
        return len(self._readings)

    def look_up(self, request_id: str, row_key: str, now: float, emit: Emit) -> Reading:
        """Return the state of the lookup and start it when there is none."""
        if request_id not in self._readings:
            self._readings[request_id] = Reading(now + TABLE_WAIT_S, None)
            emit(ReadRows(f"lookup|{request_id}", (row_key, EPOCH_KEY)))
        return self._readings[request_id]

    def end(self, request_id: str) -> None:
        """Forget a lookup."""
        self._readings.pop(request_id, None)

    def answered(self, request_id: str, event: TableAnswered) -> bool:
        """Take an answer; False when nobody waits for it."""
        if request_id not in self._readings:
            return False
        self._readings[request_id] = self._readings[request_id]._replace(answer=event)
        return True

    def tick(self, now: float) -> None:
        """Drop readings that were left behind."""
        for request_id, reading in list(self._readings.items()):
            if now > reading.until + TABLE_WAIT_S:
                del self._readings[request_id]
