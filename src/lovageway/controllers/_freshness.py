"""Whether this daemon is in step with the fleet: freshness, majority and what peers answered."""

from collections import deque
from typing import NamedTuple

from lovageway.codes import Code, Refusal
from lovageway.controllers._spread import Spread
from lovageway.events import Emit

POLL_S = 0.5
POLL_ANSWERS_S = 3.0  # for which an answer counts towards more than half of the VMs
RETRY_AFTER_S = 1.0
MAX_MISSING = 64  # noted one by one; beyond that only the newest
NEVER = float("-inf")


class Policy(NamedTuple):
    """What may be set; the last three differ from the defaults in measurements only."""

    minority_max_age_s: float = 3.0
    push: bool = True  # False: changes are learned from the table service alone
    relay: bool = True  # False: peers' freshness is not used
    head_interval_s: float = 1.0


class Missing:
    """Versions that were heard of and are not here yet, with the time when they first were."""

    def __init__(self) -> None:
        self._heard: deque[tuple[int, float]] = deque()

    def hear(self, version: int, now: float) -> bool:
        """Note a version; return whether it is the first that is missing."""
        first = not self._heard
        if version > self.newest():
            if len(self._heard) == MAX_MISSING:
                self._heard.pop()
            self._heard.append((version, now))
        return first

    def moved(self, version: int) -> None:
        """Note that `version` is here."""
        while self._heard and self._heard[0][0] <= version:
            self._heard.popleft()

    def newest(self) -> int:
        """Return the highest missing version, 0 when none is missing."""
        return self._heard[-1][0] if self._heard else 0

    def since(self) -> float | None:
        """Return when the first missing version was heard of, None when none is missing."""
        return self._heard[0][1] if self._heard else None


class Standing:
    """Decides whether requests may be served under the version that is in force here.

    Parameters
    ----------
    spread
        What is known of the peers.
    policy
        Limits.

    Attributes
    ----------
    started
        The daemon has taken over the state of the fleet once since its process began: it had what
        the table service had at some moment after that, or the highest version of more than half of
        the VMs. A freshness from before the start is not enough, because this VM may have held a
        higher version in its previous run and been counted for it.
    confirmed
        It had the highest version at some moment since it last lost majority contact.
    """

    def __init__(self, spread: Spread, policy: Policy) -> None:
        self.started = False
        self.confirmed = False
        self._spread = spread
        self._policy = policy
        self._head: tuple[int, float] | None = None  # version, and when its read was sent
        self._fresh_at = NEVER
        self._born: float | None = None  # when this run of the daemon began
        self._answers: dict[str, tuple[int, float]] = {}  # by VM: version, when it was asked
        self._majority = False
        self._reviewed = self._next_poll = NEVER
        self._lost_at = NEVER  # when majority contact was last missing

    def begin(self, now: float) -> None:
        """Note the time at which the daemon began; later calls change nothing."""
        if self._born is None:
            self._born = now

    def age(self, now: float) -> float:
        """Return the seconds since the table service was last known to have nothing newer."""
        return now - self._fresh_at

    def note_head(self, version: int, sent: float, mine: int) -> None:
        """Take a head read that was sent at `sent`."""
        self._head = (version, sent)
        self.moved(mine)

    def moved(self, mine: int) -> None:
        """Note that version `mine` is here: the last head read may now prove freshness."""
        if self._head is not None and mine >= self._head[0] > 0:
            self._refresh(self._head[1])

    def relay(self, version: int, freshness_s: float, asked: float | None, mine: int) -> None:
        """Take over a peer's freshness; counted from the question, so no delay hides age."""
        known = self._policy.relay and asked is not None and freshness_s >= 0
        if known and version <= mine:
            assert asked is not None
            self._refresh(asked - freshness_s)

    def _refresh(self, at: float) -> None:
        self._fresh_at = max(self._fresh_at, at)
        if self._born is not None and at >= self._born:
            self.started = True

    def answered(self, vm_id: str, version: int, asked: float) -> None:
        """Note the version that a VM answered to a question of the time `asked`."""
        self._answers[vm_id] = (version, asked)

    def may_serve(self, version: int, behind_since: float | None, now: float) -> Refusal | None:
        """Return why new requests must be refused, None when they may be served.

        Parameters
        ----------
        version
            In force here.
        behind_since
            When the next higher version was first heard of, None when there is none.
        now
            Time in seconds.
        """
        if version == 0 or not self.started:
            return Refusal(Code.STARTING, retry_after_s=RETRY_AFTER_S)
        limit = self._policy.minority_max_age_s
        if self.age(now) <= limit:
            return None
        # A process that was paused knows nothing of the time in between.
        current = now - self._reviewed <= limit
        lagging = behind_since is not None and now - behind_since > limit
        if self.confirmed and self._majority and current and not lagging:
            return None
        return Refusal(Code.CONFIG_STALE, retry_after_s=RETRY_AFTER_S)

    def review(self, version: int, now: float) -> None:
        """Keep or drop the confirmation, according to freshness and majority."""
        self._majority = self._spread.majority()
        paused = now - self._reviewed > self._policy.minority_max_age_s
        self._reviewed = now
        if paused or not self._majority:
            self.confirmed = False
            self._lost_at = now
        elif version > 0 and self.started and self._fresh_at > self._lost_at:
            self.confirmed = True

    def poll(self, version: int, behind: bool, now: float, emit: Emit) -> None:
        """Without the table service: have the highest version of more than half of the VMs.

        A daemon that has just started does not count itself: it has no memory, and the version that
        more than half of the VMs took may be one that only its own predecessor took.
        """
        if self.confirmed or now < self._next_poll:
            return
        self._next_poll = now + POLL_S
        listed, mine = self._spread.listed(), self._spread.vm_id()
        self._answers = {
            vm_id: (told, asked)
            for vm_id, (told, asked) in self._answers.items()
            if asked > max(self._lost_at, now - POLL_ANSWERS_S) and vm_id in listed
        }
        counted = set(self._answers) | ({mine} if self.started else set())
        highest = max((told for told, _ in self._answers.values()), default=0)
        enough = 2 * len(counted) > len(set(listed) | {mine}) and bool(listed)
        if enough and not behind and version >= max(highest, 1):
            self.confirmed = self.started = True
            return
        for vm_id, address in listed.items():
            if vm_id != mine:
                self._spread.query(address, now, emit)
