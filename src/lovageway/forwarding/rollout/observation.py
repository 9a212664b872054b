"""Observes one answer for a roll-out: whether it failed, or came late or slowly."""

from lovageway.forwarding.model import Route
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.rollout.rollouts import Rollouts


class Observation:
    """One attempt at a server; it counts as one answer, and as bad at most once."""

    def __init__(self, rollouts: Rollouts, entry: Entry, route: Route, sent_at: float) -> None:
        self._rollouts = rollouts
        self._entry = entry
        self._route = route
        self._sent_at = sent_at
        self._counted = self._bad = False

    def on_answer(self, now: float) -> None:
        """Record that the answer arrived, or the first event of a stream."""
        if not self._counted:
            self._counted = True
            latency_s = now - self._sent_at
            self._bad = self._rollouts.on_answer(self._entry, self._route, latency_s, now)

    def on_pace(self, gap_s: float, now: float) -> None:
        """Record the mean gap between the events of a stream that ended."""
        slow = self._rollouts.is_pace_slow(self._entry, self._route, gap_s, now)
        if slow and not self._bad:
            self._fail()

    def on_failure(self) -> None:
        """Record that the answer failed, broke off or did not come in time."""
        if not self._bad:
            self._fail()

    def _fail(self) -> None:
        self._rollouts.on_failure(self._entry, self._route, counted=self._counted)
        self._counted = self._bad = True
