"""Decides whether a request is sent to a server once more: the one place for all kinds of sending.

Load pattern: servers break off, refuse or leave with much of their work at once, and every daemon
would send that work elsewhere. The operator bounds all arrivals beyond the first of each request,
whatever they are for. When the budget is short, retries give way first: a client that is refused
is told when to come back and loses nothing, while a generation that is broken off has lost what
its client already received. So retries to engines leave a part of the budget to the continuations
of generations.
"""

from enum import Enum
from typing import NamedTuple

from lovageway.forwarding.retries import RetryBudget

# Sends of one request without a new event in between, beyond the first. A generation that makes
# progress may continue as often as the budget allows.
MAX_WITHOUT_PROGRESS = 12
CONTINUATION_SHARE = 0.25  # of the budget of a service of engines, kept for continuations


class Kind(Enum):
    """What a request is sent again for."""

    UNSENT = "unsent"  # it did not reach the server before
    RETRY = "retry"  # another run, also of a stream that may be resumed
    CHECKPOINT = "checkpoint"  # its generation continues from a checkpoint
    MIGRATION = "migration"  # its generation continues from the copy of a migration


class Verdict(Enum):
    """Whether a request is sent again, or why not."""

    ALLOWED = "yes"
    NO_TIME = "no_time"
    TOO_OFTEN = "too_often"
    NO_BUDGET = "no_budget"


class ResendLog:
    """How often one request was sent again."""

    def __init__(self) -> None:
        self.total = 0
        self.without_progress = 0
        self.last_at = 0.0

    def add(self, now: float) -> None:
        """Count a further send."""
        self.last_at = now
        self.total += 1
        self.without_progress += 1

    def on_progress(self) -> None:
        """Record that the client received another event."""
        self.without_progress = 0


class Sharing(NamedTuple):
    """A service's budget, and how it is shared.

    Attributes
    ----------
    daemons
        How many daemons share the fixed allowance; infinite while that is unknown.
    restarted
        Whether an earlier process of this daemon may have used the budget of the same window.
    has_continuations
        Whether generations of the service can continue from copies.
    """

    budget: RetryBudget
    daemons: float
    restarted: bool
    has_continuations: bool


def decide(kind: Kind, log: ResendLog, sharing: Sharing, now: float, *, has_time: bool) -> Verdict:
    """Return whether a request may be sent again, and count it if so."""
    if not has_time:
        return Verdict.NO_TIME
    if log.without_progress >= MAX_WITHOUT_PROGRESS:
        return Verdict.TOO_OFTEN
    if kind is not Kind.UNSENT:
        kept = CONTINUATION_SHARE if kind is Kind.RETRY and sharing.has_continuations else 0.0
        if not sharing.budget.take(sharing.daemons, now, kept=kept, restarted=sharing.restarted):
            return Verdict.NO_BUDGET
    log.add(now)
    return Verdict.ALLOWED
