"""Decides which running generations migrate to another engine, in which order and where to.

Load pattern: an engine announces about two seconds ahead that it leaves, while generations that
need several more seconds run there, each owned by a different daemon. The copies off one engine
share its network link and take twice as long between zones, so that copying a full engine takes
longer than the notice lasts. Copies that overlap would all end late; so they run one at a time,
those with the most value for their time on the link first, and generations that end in time stay.

A checkpoint on another engine saves a generation whose engine crashes without an announcement, but
it occupies the memory and a slot of another generation. In the busiest seconds, checkpoints would
take the room that new generations and those of a leaving engine need; so they are made only while
engines are far from full.
"""

from typing import NamedTuple

from lovageway.forwarding.load import LoadTracker
from lovageway.forwarding.model import Engine, Service
from lovageway.forwarding.placement import TOKEN_S, has_room
from lovageway.forwarding.replicas import Entry

LEAVE_NOTICE_S = 1.8  # from the announcement until the engine may be gone
SETUP_S = 0.02  # time for the two calls of a migration in addition to the transfer
OTHER_ZONE_FACTOR = 2.0  # by which copies between zones of a region take longer
OTHER_REGION_FACTOR = 9.5  # by which copies between regions take longer
COPY_SECOND_COST = 4.0  # in requests, for each second that a copy takes
MIN_REMAINING_S = 3.0  # expected; a generation with less gets no checkpoint
# Share of an engine's memory that requests and checkpoints together may fill.
MAX_CHECKPOINT_SHARE = 0.4
# A checkpoint is nearly up to date from this time after its first copy.
CHECKPOINT_LAG_S = 0.5
# Factor on the value of a generation that may end before its engine is gone.
ENDING_SOON_WEIGHT = 0.4
FAILURE_COST = 4.0  # in requests, for each recent failure
OUTPUT_TOKEN_WEIGHT = 10  # value of an output token, in prompt tokens
BASE_VALUE = 5000  # value of a generation of any size, in prompt tokens


class RunState(NamedTuple):
    """The progress of a running generation; sizes in tokens."""

    prompt: int
    generated: int
    expected: int  # expected length of the complete output
    limit: int  # maximum length of the output
    seconds_per_token: float  # observed average; 0 before the second event


class LeavingRun(NamedTuple):
    """A generation on a leaving engine, as its daemon reports it to the others."""

    id: str
    transfer_ms: int  # expected time on the link, in milliseconds
    value: int


def remaining_s(run: RunState) -> float:
    """Return the expected time until a generation ends.

    A generation beyond its expected length may continue to its limit; half the rest is assumed.
    """
    left = run.expected - run.generated
    if left <= 0:
        left = max(0, run.limit - run.generated) // 2
    return left * (run.seconds_per_token or TOKEN_S)


def ends_in_time(run: RunState, left_s: float) -> bool:
    """Return whether a generation reaches its limit before its engine is gone."""
    return (run.limit - run.generated) * (run.seconds_per_token or TOKEN_S) < left_s


def tokens_to_hold(run: RunState) -> int:
    """Return the KV cache that the generation is expected to occupy, in tokens."""
    return run.prompt + run.generated + max(0, run.expected - run.generated) // 2


def describe(
    attempt_id: str, run: RunState, engine: Engine, source: Entry, to: Entry | None
) -> LeavingRun:
    """Return the report of a generation for the other daemons."""
    output = max(run.expected, run.generated)
    value = BASE_VALUE + run.prompt + OUTPUT_TOKEN_WEIGHT * output
    if remaining_s(run) < LEAVE_NOTICE_S:
        value = int(ENDING_SOON_WEIGHT * value)
    seconds = copy_s(engine, run, source, to) if to is not None else 0.0
    return LeavingRun(attempt_id, int(seconds * 1000), value)


def copy_s(engine: Engine, run: RunState, source: Entry, to: Entry) -> float:
    """Return the duration of a copy on an idle link, in seconds."""
    if engine.link_mbps <= 0:
        return SETUP_S
    factor = 1.0
    if to.replica.region != source.replica.region:
        factor = OTHER_REGION_FACTOR
    elif to.replica.zone != source.replica.zone:
        factor = OTHER_ZONE_FACTOR
    seconds = (run.prompt + run.generated) * engine.token_bytes * 8 / (engine.link_mbps * 1e6)
    return SETUP_S + seconds * factor


def destination(
    service: Service,
    source: Entry,
    run: RunState,
    entries: list[Entry],
    load_tracker: LoadTracker,
    left_s: float,
    now: float,
) -> Entry | None:
    """Return the engine that a generation should migrate to, or None if none has room in time.

    Parameters
    ----------
    left_s
        Time until the source may be gone; a copy that takes longer is not started.
    """
    best, best_cost = None, float("inf")
    for entry in entries:
        if entry.id == source.id or service.engine is None:
            continue
        load = load_tracker.at(entry.id, now)
        if not has_room(service, tokens_to_hold(run), load):
            continue
        seconds = copy_s(service.engine, run, source, entry)
        if seconds > left_s:
            continue
        cost = load.requests + FAILURE_COST * entry.failures(now)
        cost += COPY_SECOND_COST * seconds
        if cost < best_cost:
            best, best_cost = entry, cost
    return best


def backup(
    service: Service,
    first: Entry,
    run: RunState,
    entries: list[Entry],
    load_tracker: LoadTracker,
    now: float,
) -> Entry | None:
    """Return the engine that should keep a checkpoint of a generation, or None.

    Only long generations get one, and only while memory is plentiful: a checkpoint uses the memory
    of another generation. The checkpoint stays in the region: a copy to another region occupies for
    two seconds the links on which migrations off leaving engines wait.
    """
    engine = service.engine
    if engine is None or not engine.backups or remaining_s(run) < MIN_REMAINING_S:
        return None
    room = MAX_CHECKPOINT_SHARE * engine.memory_tokens - tokens_to_hold(run)
    best, best_cost = None, float("inf")
    for entry in entries:
        if entry.id == first.id or entry.replica.region != first.replica.region:
            continue
        load = load_tracker.at(entry.id, now)
        cost = load.tokens / engine.memory_tokens + entry.failures(now)
        if load.tokens <= room and cost < best_cost:
            best, best_cost = entry, cost
    return best


class _LeaveNotice:
    """A leaving engine and the generations that were reported there."""

    def __init__(self, at: float) -> None:
        self.at = at
        self.runs: dict[str, LeavingRun] = {}
        self.reported_at: dict[str, float] = {}  # by run
        self.own: set[str] = set()  # runs of this daemon
        self.started_at: dict[str, float] = {}  # by run
        self.finished: set[str] = set()
        self.daemons: set[str] = set()  # addresses of the other daemons with generations there
        self.ordered: list[LeavingRun] | None = None  # in order of migration; None after a change


class MigrationSchedule:
    """Orders the migrations that use the link of each leaving engine.

    Every daemon reports its generations there and the start and end of each migration to the
    others, so that all daemons compute the same order. Daemons learn at different times that the
    engine leaves: a migration that has started stays first in the order, and one that is reported
    later waits until the owners of started ones had the time to answer its report. A migration
    whose end is not reported delays the next one only by its expected duration.
    """

    COLLECT_S = 0.05  # wait after a report for those of all daemons; regions are 8 ms apart
    OVERRUN_FACTOR = 1.3  # on the expected duration of a migration whose end is not reported
    # Allowance for the two calls and the message of such a migration on busy machines.
    CALL_OVERHEAD_S = 0.15
    RETENTION_S = 10.0
    MAX_NOTICES = 256  # engines of which other daemons report generations
    MAX_RUNS = 1024  # on one engine

    def __init__(self) -> None:
        self._notices: dict[str, _LeaveNotice] = {}

    def on_notice(self, server: str, now: float) -> None:
        """Record that an engine announced its shutdown."""
        self._notices.setdefault(server, _LeaveNotice(now))

    def notice_age_s(self, server: str, now: float) -> float:
        """Return the seconds since an engine announced its shutdown; 0 if it did not."""
        notice = self._notices.get(server)
        return now - notice.at if notice is not None else 0.0

    def on_runs(
        self, server: str, runs: list[LeavingRun], now: float, daemon: str | None = None
    ) -> None:
        """Record generations on a leaving engine.

        Parameters
        ----------
        daemon
            Address of the daemon that owns them; None for this one.
        """
        is_new = daemon is not None and server not in self._notices
        if is_new and len(self._notices) >= self.MAX_NOTICES:
            return
        self.on_notice(server, now)
        notice = self._notices[server]
        if daemon is not None:
            runs = runs[: max(0, self.MAX_RUNS - len(notice.runs))]
        for run in runs:
            notice.runs[run.id] = run
            notice.reported_at.setdefault(run.id, now)
        notice.ordered = None
        if daemon is None:
            notice.own.update(run.id for run in runs)
        else:
            notice.daemons.add(daemon)

    def daemons(self, server: str) -> set[str]:
        """Return the addresses of the other daemons whose generations run on an engine."""
        notice = self._notices.get(server)
        return notice.daemons if notice is not None else set()

    def on_started(self, server: str, run: str, now: float) -> None:
        """Record that a migration off an engine has started."""
        notice = self._notices.get(server)
        if notice is not None and len(notice.started_at) < self.MAX_RUNS:
            notice.started_at.setdefault(run, now)
            notice.ordered = None

    def own_started(self, server: str) -> list[str]:
        """Return this daemon's migrations off an engine that have started and not finished."""
        notice = self._notices.get(server)
        if notice is None:
            return []
        return sorted(notice.own & notice.started_at.keys() - notice.finished)

    def on_finished(self, server: str, run: str) -> None:
        """Record that a generation no longer needs the engine's network link."""
        notice = self._notices.get(server)
        if notice is not None and len(notice.finished) < self.MAX_RUNS:
            notice.finished.add(run)

    def may_start(self, server: str, run: str, now: float) -> bool:
        """Return whether a generation may use the link now.

        It may once all generations ahead of it have finished or used up their expected time.
        """
        notice = self._notices.get(server)
        if notice is None:
            return True
        # The earliest time at which the link is free, if no end of a migration is reported.
        free_at = notice.reported_at.get(run, notice.at) + self.COLLECT_S
        # Rounded to microseconds, so that the sum of two times equals the time that it stands for.
        if now < round(free_at, 6):
            return False
        if notice.ordered is None:
            notice.ordered = sorted(
                notice.runs.values(),
                key=lambda r: (
                    r.id not in notice.started_at,
                    r.transfer_ms / max(1, r.value),
                    r.id,
                ),
            )
        pending = False
        for other in notice.ordered:
            if other.id == run:
                break
            free_at = max(free_at, notice.started_at.get(other.id, free_at))
            free_at += self.OVERRUN_FACTOR * other.transfer_ms / 1000 + self.CALL_OVERHEAD_S
            pending = pending or other.id not in notice.finished
        return not pending or now >= round(free_at, 6)

    def tick(self, now: float) -> None:
        """Drop engines that announced their shutdown more than RETENTION_S ago."""
        old = [key for key, notice in self._notices.items() if now - notice.at > self.RETENTION_S]
        for key in old:
            del self._notices[key]
