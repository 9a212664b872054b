"""Whether the configuration in force is current: freshness, majority contact, peer answers."""

from collections import deque
from typing import NamedTuple

from lovageway.codes import Code, Refusal
from lovageway.controllers._spread import Spread
from lovageway.events import Emit

POLL_INTERVAL_S = 0.5
MAX_POLL_ANSWER_AGE_S = 3.0  # of answers that count towards more than half of the VMs
RETRY_AFTER_S = 1.0
MAX_MISSING_VERSIONS = 64  # recorded separately; beyond that, the last one is replaced
NEVER = float("-inf")


class Policy(NamedTuple):
    """Options of the configuration; only benchmarks change the last three from their defaults."""

    minority_max_age_s: float = 3.0
    push: bool = True  # False: changes are read from the table service only
    relay: bool = True  # False: peers' freshness is not used
    head_interval_s: float = 1.0


class MissingVersions:
    """Reported versions that are not yet in the local store, with the time of the first report."""

    def __init__(self) -> None:
        self._versions: deque[tuple[int, float]] = deque()

    def record(self, version: int, now: float) -> bool:
        """Record a reported version; return whether no version was missing before."""
        first = not self._versions
        if version > self.newest():
            if len(self._versions) == MAX_MISSING_VERSIONS:
                self._versions.pop()
            self._versions.append((version, now))
        return first

    def remove_up_to(self, version: int) -> None:
        """Remove the versions up to `version`, which is in the local store now."""
        while self._versions and self._versions[0][0] <= version:
            self._versions.popleft()

    def newest(self) -> int:
        """Return the highest missing version, 0 when none is missing."""
        return self._versions[-1][0] if self._versions else 0

    def since(self) -> float | None:
        """Return when the lowest missing version was first reported, None when none is missing."""
        return self._versions[0][1] if self._versions else None


class FreshnessTracker:
    """Decides whether requests may be served under the version in force on this daemon.

    Parameters
    ----------
    spread
        Versions and addresses of the peers.
    policy
        Limits.

    Attributes
    ----------
    started
        Whether the daemon has caught up with the fleet once since its process started: at some
        later moment it had the version of the table service, or the highest version among more
        than half of the VMs. A freshness from before the start does not suffice, because this VM
        may have had a higher version in its previous run and have counted towards its majority.
    confirmed
        Whether it had the highest version at some moment since it last lost majority contact.
    """

    def __init__(self, spread: Spread, policy: Policy) -> None:
        self.started = False
        self.confirmed = False
        self._spread = spread
        self._policy = policy
        self._head: tuple[int, float] | None = None  # version, time at which its read was sent
        self._fresh_at = NEVER
        self._started_at: float | None = None  # time at which this process started
        self._answers: dict[str, tuple[int, float]] = {}  # by VM: version, time of the query
        self._majority = False
        self._updated_at = self._next_poll = NEVER
        self._no_majority_at = NEVER  # last time without majority contact

    def record_start(self, now: float) -> None:
        """Record the time at which the daemon started; later calls change nothing."""
        if self._started_at is None:
            self._started_at = now

    def age(self, now: float) -> float:
        """Return the seconds since the table service was last known to have no newer version."""
        return now - self._fresh_at

    def record_head(self, version: int, sent_at: float, own_version: int) -> None:
        """Record the version of the head from a read that was sent at `sent_at`."""
        self._head = (version, sent_at)
        self.record_own_version(own_version)

    def record_own_version(self, own_version: int) -> None:
        """Record the own version; once it reaches the last head read, that read shows freshness."""
        if self._head is not None and own_version >= self._head[0] > 0:
            self._refresh(self._head[1])

    def apply_relayed(
        self, version: int, freshness_s: float, queried_at: float | None, own_version: int
    ) -> None:
        """Apply the freshness that a peer reported.

        It is counted from the time of the query, so that a delay on the way does not hide its age.

        Parameters
        ----------
        version
            Version in force at the peer.
        freshness_s
            Age of the peer's configuration, -1 if unknown.
        queried_at
            When the answered query was sent, None if unknown.
        own_version
            Own version.
        """
        usable = self._policy.relay and queried_at is not None and freshness_s >= 0
        if usable and version <= own_version:
            assert queried_at is not None
            self._refresh(queried_at - freshness_s)

    def _refresh(self, at: float) -> None:
        self._fresh_at = max(self._fresh_at, at)
        if self._started_at is not None and at >= self._started_at:
            self.started = True

    def record_answer(self, vm_id: str, version: int, queried_at: float) -> None:
        """Record the version that a VM reported in answer to a query sent at `queried_at`."""
        self._answers[vm_id] = (version, queried_at)

    def may_serve(self, version: int, missing_since: float | None, now: float) -> Refusal | None:
        """Return why new requests must be refused, None when they may be served.

        Parameters
        ----------
        version
            Version in force on this daemon.
        missing_since
            When the lowest missing version was first reported, None when none is missing.
        now
            Time in seconds.
        """
        if version == 0 or not self.started:
            return Refusal(Code.STARTING, retry_after_s=RETRY_AFTER_S)
        limit = self._policy.minority_max_age_s
        if self.age(now) <= limit:
            return None
        # After a pause of this process, its knowledge of the fleet is out of date.
        is_current = now - self._updated_at <= limit
        is_lagging = missing_since is not None and now - missing_since > limit
        if self.confirmed and self._majority and is_current and not is_lagging:
            return None
        return Refusal(Code.CONFIG_STALE, retry_after_s=RETRY_AFTER_S)

    def update_confirmation(self, version: int, now: float) -> None:
        """Update `confirmed` from freshness and majority contact."""
        self._majority = self._spread.has_majority()
        paused = now - self._updated_at > self._policy.minority_max_age_s
        self._updated_at = now
        if paused or not self._majority:
            self.confirmed = False
            self._no_majority_at = now
        elif version > 0 and self.started and self._fresh_at > self._no_majority_at:
            self.confirmed = True

    def poll_peers(self, version: int, is_behind: bool, now: float, emit: Emit) -> None:
        """Confirm the version by querying peers while the table service is down.

        The version is confirmed when it is the highest among more than half of the VMs. A daemon
        that has just started does not count itself: it has no state from its previous run, which
        may have been part of the majority that accepted a higher version.
        """
        if self.confirmed or now < self._next_poll:
            return
        self._next_poll = now + POLL_INTERVAL_S
        listed, own_vm_id = self._spread.listed_addresses(), self._spread.own_vm_id()
        self._answers = {
            vm_id: (reported, queried_at)
            for vm_id, (reported, queried_at) in self._answers.items()
            if queried_at > max(self._no_majority_at, now - MAX_POLL_ANSWER_AGE_S)
            and vm_id in listed
        }
        counted = set(self._answers) | ({own_vm_id} if self.started else set())
        highest = max((reported for reported, _ in self._answers.values()), default=0)
        is_majority = 2 * len(counted) > len(set(listed) | {own_vm_id}) and bool(listed)
        if is_majority and not is_behind and version >= max(highest, 1):
            self.confirmed = self.started = True
            return
        for vm_id, address in listed.items():
            if vm_id != own_vm_id:
                self._spread.query(address, now, emit)
