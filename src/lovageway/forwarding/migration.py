"""Decides which running generations are carried to another engine, in which order and where to.

Load pattern: an engine announces that it leaves about two seconds ahead while generations that
need several seconds more run there, each owned by another daemon. Copies of one engine share its
link one after another and take twice as long between zones: a full engine takes longer to copy
than the notice lasts. Copies that overlap all end late; so they run one at a time, the most worth
for the time on the link first, and generations that end in time stay.
"""

from typing import NamedTuple

from lovageway.forwarding.load import LoadTracker
from lovageway.forwarding.model import Engine, Service
from lovageway.forwarding.placement import TOKEN_S, has_room
from lovageway.forwarding.replicas import Entry

LEAVE_NOTICE_S = 1.8  # from the announcement until the engine may be gone
SETUP_S = 0.02  # for the two calls of a move beside the transfer
OTHER_ZONE_FACTOR = 2.0  # copies between zones of a region take so much longer
OTHER_REGION_FACTOR = 9.5  # and between regions
COPY_SECOND_COST = 4.0  # in requests for each second that a copy takes
BACKUP_LEAST_S = 3.0  # generations expected to be shorter get no copy ahead
BACKUP_ROOM = 0.85  # of an engine's memory that work and copies ahead may fill together
CHECKPOINT_LAG_S = 0.5  # after its first copy, a copy ahead is nearly up to date
ENDS_WEIGHT = 0.4  # of the worth of a generation that may end before its engine is gone
FAILURE_COST = 4.0  # in requests for each recent failure
OUTPUT_WEIGHT = 10  # an output token is worth as much as so many prompt tokens
WORTH_BASE = 5000  # tokens of worth that every generation has whatever its size


class RunState(NamedTuple):
    """What is known of a running generation; sizes in tokens."""

    prompt: int
    generated: int
    expected: int  # whole output
    limit: int
    token_s: float  # observed time for a token; 0 if none


class LeavingRun(NamedTuple):
    """A generation on an engine that leaves, as its daemon tells the others."""

    id: str
    copy_ms: int  # expected time on the link
    worth: int


def remaining_s(run: RunState) -> float:
    """Return how long a generation is expected to go on.

    One that is past its expected end may go on to its limit; half of the way is assumed.
    """
    left = run.expected - run.generated
    if left <= 0:
        left = max(0, run.limit - run.generated) // 2
    return left * (run.token_s or TOKEN_S)


def ends_in_time(run: RunState, left_s: float) -> bool:
    """Return whether a generation ends for certain before its engine is gone."""
    return (run.limit - run.generated) * (run.token_s or TOKEN_S) < left_s


def tokens_to_hold(run: RunState) -> int:
    """Return the memory that the generation will come to hold."""
    return run.prompt + run.generated + max(0, run.expected - run.generated) // 2


def describe(
    attempt_id: str, run: RunState, engine: Engine, source: Entry, to: Entry | None
) -> LeavingRun:
    """Return what the other daemons need to know of a generation."""
    output = max(run.expected, run.generated)
    worth = WORTH_BASE + run.prompt + OUTPUT_WEIGHT * output
    if remaining_s(run) < LEAVE_NOTICE_S:
        worth = int(ENDS_WEIGHT * worth)
    seconds = copy_s(engine, run, source, to) if to is not None else 0.0
    return LeavingRun(attempt_id, int(seconds * 1000), worth)


def copy_s(engine: Engine, run: RunState, source: Entry, to: Entry) -> float:
    """Return how long a copy takes on a free link."""
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
    """Return the engine that takes a generation over, or None if none has room.

    Parameters
    ----------
    left_s
        Time until the source may be gone; a copy that takes longer is not begun.
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
    """Return the engine that keeps a growing copy of a generation, or None.

    Only long generations get one, and only while memory is plentiful: a copy takes the room of
    another generation. The copy stays in the region: a copy to another region takes two seconds of
    the links on which moves of leaving engines wait.
    """
    engine = service.engine
    if engine is None or not engine.backups or remaining_s(run) < BACKUP_LEAST_S:
        return None
    room = BACKUP_ROOM * engine.memory_tokens - tokens_to_hold(run)
    best, best_cost = None, float("inf")
    for entry in entries:
        if entry.id == first.id or entry.replica.region != first.replica.region:
            continue
        load = load_tracker.at(entry.id, now)
        cost = load.tokens / engine.memory_tokens + entry.failures(now)
        if load.tokens <= room and cost < best_cost:
            best, best_cost = entry, cost
    return best


class _Notice:
    def __init__(self, at: float) -> None:
        self.at = at
        self.runs: dict[str, LeavingRun] = {}
        self.done: set[str] = set()
        self.daemons: set[str] = set()  # addresses of those whose generations run there
        self.ordered: list[LeavingRun] | None = None  # by turn; None after a change


class MigrationSchedule:
    """Whose turn it is to use the link of each engine that leaves.

    Every daemon tells the others of its generations there and of each move that ended, so all
    order them alike. A move that is not heard of again holds up the next one only for the time
    that it should take.
    """

    GATHER_S = 0.05  # for the lists of all daemons to arrive; regions are 8 ms apart
    PATIENCE = 1.3  # times the expected duration of an unheard move
    CALLS_S = 0.15  # for the two calls and the message of an unheard move, on busy machines
    KEEP_S = 10.0

    def __init__(self) -> None:
        self._notices: dict[str, _Notice] = {}

    def on_notice(self, server: str, now: float) -> None:
        """Note that an engine leaves."""
        self._notices.setdefault(server, _Notice(now))

    def notice_age_s(self, server: str, now: float) -> float:
        """Return how long ago an engine announced its leaving."""
        notice = self._notices.get(server)
        return now - notice.at if notice is not None else 0.0

    def on_runs(
        self, server: str, runs: list[LeavingRun], now: float, daemon: str | None = None
    ) -> None:
        """Take generations on an engine that leaves.

        Parameters
        ----------
        daemon
            Address of the daemon whose generations they are; None for this one's.
        """
        self.on_notice(server, now)
        notice = self._notices[server]
        notice.runs.update({run.id: run for run in runs})
        notice.ordered = None
        if daemon is not None:
            notice.daemons.add(daemon)

    def daemons(self, server: str) -> set[str]:
        """Return the addresses of the other daemons whose generations run on an engine."""
        notice = self._notices.get(server)
        return notice.daemons if notice is not None else set()

    def on_finished(self, server: str, run: str) -> None:
        """Note that a generation needs the link no more."""
        if server in self._notices:
            self._notices[server].done.add(run)

    def due(self, server: str, run: str, now: float) -> bool:
        """Return whether a generation may use the link."""
        notice = self._notices.get(server)
        if notice is None:
            return True
        waited = now - notice.at - self.GATHER_S
        if waited < 0:
            return False
        if notice.ordered is None:
            notice.ordered = sorted(
                notice.runs.values(), key=lambda r: (r.copy_ms / max(1, r.worth), r.id)
            )
        ahead = 0.0
        pending = False
        for other in notice.ordered:
            if other.id == run:
                break
            ahead += self.PATIENCE * other.copy_ms / 1000 + self.CALLS_S
            pending = pending or other.id not in notice.done
        return not pending or waited >= ahead

    def tick(self, now: float) -> None:
        """Forget engines that are gone."""
        old = [key for key, notice in self._notices.items() if now - notice.at > self.KEEP_S]
        for key in old:
            del self._notices[key]
