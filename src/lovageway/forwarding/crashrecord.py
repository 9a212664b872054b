"""Evidence on one trait: which servers crashed with it, its last answer and its trials."""

MIN_CRASHES = 3
# An answer in the past makes it less likely that the trait caused the crashes since.
MIN_CRASHES_ANSWERED = 5
# Crashes of several servers within this time count as one: power, a network or a host failed.
SAME_INCIDENT_S = 0.1
# From the last crash until one request may try whether a suspect still crashes servers.
TRIAL_DELAY_S = 60.0
TRIAL_DELAY_ANSWERED_S = 5.0  # for a suspect that was answered before its crashes
TRIAL_DELAY_DISPUTED_S = 1.0  # for a request without another suspect of the same crashes
TRIAL_DELAY_FACTOR = 4.0  # the delay grows by this factor with each trial
MAX_TRIAL_DELAY_S = 3600.0
MAX_CRASHES_PER_RECORD = 32


class CrashRecord:
    """Crashes of servers that ran a request with one trait, and its last answer."""

    def __init__(self, label: str, now: float) -> None:
        self.label = label
        self.crashes: dict[bytes, float] = {}  # when each server crashed
        self.answered_at = float("-inf")
        self.trials = 0
        self.trial_at = float("-inf")
        # Set once there were enough incidents. Daemons may count them differently, as ages are
        # rounded, but agree on the number of crashes.
        self.confirmed = False
        self.stored_at: float | None = None  # since when the store is known to have a row of it
        self.changed_at = now
        self.published_at = float("-inf")  # when the other daemons were last sent it
        self.is_part = False  # of prompts, as far as this daemon knows

    @property
    def last_crash_at(self) -> float:
        """Return when the last server crashed; minus infinity if none did."""
        return max(self.crashes.values(), default=float("-inf"))

    @property
    def newest(self) -> float:
        """Return the time of the last crash or answer."""
        return max(self.last_crash_at, self.answered_at)

    def add(self, server: bytes, at: float, now: float) -> bool:
        """Add a crash; of several reports on one server, the earliest counts."""
        known = self.crashes.get(server)
        if at <= self.answered_at or (known is not None and known <= at):
            return False
        self.crashes[server] = at
        if len(self.crashes) > MAX_CRASHES_PER_RECORD:
            del self.crashes[min(self.crashes, key=self.crashes.__getitem__)]
        if known is None:
            self.changed_at = now
        return known is None

    def answer(self, at: float, now: float) -> bool:
        """Record an answer, which removes earlier crashes; return whether it removed any."""
        self.answered_at = max(self.answered_at, at)
        left = {server: crashed for server, crashed in self.crashes.items() if crashed > at}
        changed = len(left) < len(self.crashes)
        self.crashes = left
        if changed:
            self.confirmed = False
            self.trials = 0
            self.changed_at = now
        return changed

    def incidents(self) -> list[tuple[bytes, float]]:
        """Return the first crash of each incident, in order of time."""
        found: list[tuple[bytes, float]] = []
        for server, at in sorted(self.crashes.items(), key=lambda item: (item[1], item[0])):
            if not found or at - found[-1][1] >= SAME_INCIDENT_S:
                found.append((server, at))
        return found

    def confirm(self) -> bool:
        """Return whether the trait is a suspect; it stays one while it has as many crashes."""
        answered = self.answered_at > float("-inf")
        needed = MIN_CRASHES_ANSWERED if answered else MIN_CRASHES
        if len(self.crashes) < needed:
            self.confirmed = False
        elif not self.confirmed:
            self.confirmed = len(self.incidents()) >= needed
        return self.confirmed

    def trial_due_at(self, *, is_disputed: bool = False) -> float:
        """Return from when one request may try the trait.

        Parameters
        ----------
        is_disputed
            Whether the crashes may have another cause, which the request does not have.
        """
        answered = self.answered_at > float("-inf")
        delay = TRIAL_DELAY_ANSWERED_S if answered else TRIAL_DELAY_S
        delay = TRIAL_DELAY_DISPUTED_S if is_disputed else delay
        delay = min(MAX_TRIAL_DELAY_S, delay * TRIAL_DELAY_FACTOR**self.trials)
        return max(self.last_crash_at, self.trial_at) + delay
