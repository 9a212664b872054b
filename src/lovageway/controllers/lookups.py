"""Reads of claim rows, which show whether the idempotency key of a request has been used."""

from typing import NamedTuple

from lovageway.claimrows import EPOCH_KEY
from lovageway.events import Emit, ReadRows, TableAnswered

TABLE_WAIT_S = 2.0  # longest wait of a caller for the lookup, and again for the claim


class Reading(NamedTuple):
    """A lookup that has been started, with its answer once it has arrived."""

    until: float
    answer: TableAnswered | None


class Lookups:
    """Lookups in progress, keyed by request id."""

    def __init__(self) -> None:
        self._readings: dict[str, Reading] = {}

    def __len__(self) -> int:
        return len(self._readings)

    def look_up(self, request_id: str, row_key: str, now: float, emit: Emit) -> Reading:
        """Return the state of the request's lookup, which is started if necessary."""
        if request_id not in self._readings:
            self._readings[request_id] = Reading(now + TABLE_WAIT_S, None)
            emit(ReadRows(f"lookup|{request_id}", (row_key, EPOCH_KEY)))
        return self._readings[request_id]

    def end(self, request_id: str) -> None:
        """Remove a lookup."""
        self._readings.pop(request_id, None)

    def answered(self, request_id: str, event: TableAnswered) -> bool:
        """Record an answer; return False when no request waits for it."""
        if request_id not in self._readings:
            return False
        self._readings[request_id] = self._readings[request_id]._replace(answer=event)
        return True

    def tick(self, now: float) -> None:
        """Remove lookups that were never ended."""
        for request_id, reading in list(self._readings.items()):
            if now > reading.until + TABLE_WAIT_S:
                del self._readings[request_id]
