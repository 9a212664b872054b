"""Observes one attempt for a roll-out: whether its answer failed, or came late or slowly."""

from lovageway.forwarding.model import Route
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.rollout.rollouts import Rollouts
from lovageway.forwarding.telemetry import Telemetry


class Observation:
    """One attempt at a server; it counts as one answer, and as bad at most once."""

    def __init__(
        self,
        rollouts: Rollouts,
        telemetry: Telemetry,
        entry: Entry,
        route: Route,
        sent_at: float,
    ) -> None:
        self._rollouts = rollouts
        self._telemetry = telemetry
        self._entry = entry
        self._route = route
        self._sent_at = sent_at
        self._counted = self._bad = False

    def on_answer(self, now: float) -> None:
        """Record that the answer arrived, or the first event of a stream."""
        rollout = self._rollouts.watched(self._entry)
        if rollout is None or self._counted:
            return
        self._counted = True
        self._bad = rollout.answers.on_answer(self._entry, self._route, now - self._sent_at, now)
        self._add_to_metrics(is_new=rollout.answers.is_new(self._entry))

    def on_pace(self, gap_s: float, now: float) -> None:
        """Record the mean gap between the events of a stream that ended."""
        rollout = self._rollouts.watched(self._entry)
        if rollout is not None and rollout.answers.is_pace_slow(
            self._entry, self._route, gap_s, now
        ):
            self.on_failure()

    def on_failure(self) -> None:
        """Record that the answer failed, broke off, did not come in time or came slowly."""
        rollout = self._rollouts.watched(self._entry)
        if rollout is None or self._bad:
            return
        rollout.answers.on_failure(self._entry, self._route, counted=self._counted)
        self._counted = self._bad = True
        self._add_to_metrics(is_new=rollout.answers.is_new(self._entry))

    def _add_to_metrics(self, *, is_new: bool) -> None:
        version, bad = "new" if is_new else "old", "yes" if self._bad else "no"
        self._telemetry.add("rollout_answers", self._entry.replica.service, version, bad)
