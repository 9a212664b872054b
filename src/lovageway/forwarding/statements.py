"""Keeps what backend servers say of themselves in their answers: limits on their requests.

Load pattern: servers in need name a limit that holds for all daemons together; each daemon has
answers of a few of them now and then, and hears the rest from the other daemons. The newest word
counts. An answer without a limit ends one, unless its request was sent before the limit was named.

A record belongs to one start of a server, by its token. One of a server that has not been heard for
`RETENTION_S` is dropped: nobody has sent it anything for that long.
"""

from itertools import islice
from math import floor
from typing import NamedTuple

from lovageway.forwarding.fleetshare import Bound
from lovageway.forwarding.model import Statement

WINDOW_S = 4.0  # in which the requests that a limit allows are counted
# A lower limit, such as 0, counts as this one: single requests find out whether it still holds.
MIN_LIMIT_PER_S = 0.1
RETENTION_S = 900.0
ENDED_RETENTION_S = 60.0  # of a record without a limit, which older reports would bring back
NEWS_S = 3.0  # a record is sent to the other daemons for this long after it changed
# Ages grow on their way between daemons: only a report newer by this raises or ends a limit.
AGE_TOLERANCE_S = 0.2
MAX_RECORDS = 8192
MAX_REPORTS = 200  # in one message, in about 3 KB


class Record(NamedTuple):
    """The limit that a server named last."""

    limit_per_s: float | None  # None if its last answer named none
    said_at: float
    changed_at: float  # when this daemon learned it
    source: str  # "answer", or the address of the daemon that reported it


class Report(NamedTuple):
    """A record as daemons send it to each other."""

    server: bytes  # token
    limit_per_s: float | None
    age_ms: int


class Change(NamedTuple):
    """A limit that was named, changed or ended."""

    server: bytes  # token
    before: float | None
    record: Record


def bound(limit_per_s: float) -> Bound:
    """Return how many requests a limit allows in which time."""
    limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
    if limit_per_s * WINDOW_S < 1.0:
        return Bound(1, 1.0 / limit_per_s)
    return Bound(floor(limit_per_s * WINDOW_S), WINDOW_S)


class Statements:
    """The newest word of each server, heard by this daemon or reported by others."""

    def __init__(self) -> None:
        self._records: dict[bytes, Record] = {}
        self._in_force = 0
        self._repeats: list[bytes] = []  # records that are sent again next

    def limit(self, server: bytes) -> float | None:
        """Return the limit that one start of a server named, in requests a second."""
        if not self._in_force:
            return None
        record = self._records.get(server)
        return record.limit_per_s if record is not None else None

    def record(self, server: bytes) -> Record | None:
        """Return the record of one start of a server."""
        return self._records.get(server)

    @property
    def in_force(self) -> int:
        """Return the number of limits in force."""
        return self._in_force

    def on_answer(
        self, server: bytes, statement: Statement, sent_at: float, now: float
    ) -> Change | None:
        """Record what a server says in the answer to a request sent at `sent_at`."""
        if not statement.readable:
            return None
        old = self._records.get(server)
        limit = statement.limit_per_s
        if limit is None and (old is None or sent_at < old.said_at):
            return None
        return self._set(server, limit, now, now, "answer")

    def on_report(self, report: Report, source: str, now: float) -> Change | None:
        """Record what another daemon heard of a server, if it is newer."""
        old = self._records.get(report.server)
        said_at = now - report.age_ms / 1000
        if old is None:
            if report.limit_per_s is None:
                return None
        elif said_at <= old.said_at + (AGE_TOLERANCE_S if _eases(old, report) else 0.0):
            return None
        return self._set(report.server, report.limit_per_s, said_at, now, source)

    def _set(
        self, server: bytes, limit: float | None, said_at: float, now: float, source: str
    ) -> Change | None:
        old = self._records.pop(server, None)
        before = old.limit_per_s if old is not None else None
        if old is not None and before == limit:
            self._records[server] = old._replace(said_at=said_at)
            return None
        if old is None and len(self._records) >= MAX_RECORDS:
            self.drop(next(iter(self._records)))
        record = self._records[server] = Record(limit, said_at, now, source)
        self._in_force += (limit is not None) - (before is not None)
        return Change(server, before, record)

    def drop(self, server: bytes) -> None:
        """Drop the record of a start of a server that has ended."""
        record = self._records.pop(server, None)
        if record is not None:
            self._in_force -= record.limit_per_s is not None

    def forget(self, now: float) -> None:
        """Drop old records."""
        for server, record in list(self._records.items()):
            keep_s = ENDED_RETENTION_S if record.limit_per_s is None else RETENTION_S
            if now - record.said_at > keep_s:
                self.drop(server)

    def reports(self, now: float, *, repeat: bool) -> list[Report]:
        """Return what changed lately, for the other daemons.

        Parameters
        ----------
        repeat
            Whether records that did not change are added, in rotation.
        """
        changed = (s for s, r in reversed(self._records.items()) if now - r.changed_at < NEWS_S)
        chosen = dict.fromkeys(islice(changed, MAX_REPORTS))
        if repeat:
            self._repeats = self._repeats or list(self._records)
            room = MAX_REPORTS - len(chosen)
            chosen.update(dict.fromkeys(self._repeats[:room]))
            del self._repeats[:room]
        return [
            Report(server, record.limit_per_s, int(1000 * (now - record.said_at)))
            for server in chosen
            if (record := self._records.get(server)) is not None
        ]


def _eases(old: Record, report: Report) -> bool:
    """Return whether a report would raise or end a limit."""
    if old.limit_per_s is None:
        return False
    return report.limit_per_s is None or report.limit_per_s > old.limit_per_s
