"""Decides the phase of a roll-out from the evidence, the time and the state of the fleet.

Load pattern: a version may turn bad at any moment, so the old one is kept as long as the deadline
allows. Its servers stop at once when the roll-out is completed; requests that would still run
then, such as long generations, go to the new version ahead of that moment.
"""

from typing import NamedTuple

from lovageway.forwarding.model import RolloutPhase
from lovageway.forwarding.rollout.model import Evidence
from lovageway.forwarding.rollout.verdict import Verdict, judge

# Times as shares of the order's duration.
SWITCH_SHARE = 0.8
MAX_SHIFT_SHARE = 0.25
GIVE_UP_SHARE = 0.96  # an undecided version is rolled back
MAX_SHIFT_S = 12.0  # longer than nearly all generations take
SWITCH_S = 1.5  # for the announcement to reach all daemons, and for short calls to end
# The store must have answered this lately for a phase in which the old servers get less work.
MAX_STORE_SILENCE_S = 2.0
# Slots of the new version's servers that accept work, as a share of the old version's.
MIN_CAPACITY_SHARE = 0.6
# Steps of the new version's share: answers that were needed, and the share of the exposure bound.
STEPS = ((0, 0.4), (12, 0.5), (40, 0.6))


class Facts(NamedTuple):
    """What the coordinator knows.

    Attributes
    ----------
    elapsed_s
        Time since the roll-out began, by the clock of the store.
    in_phase_s
        Time since the present phase began, in seconds.
    new_slots, old_slots
        Slots of the servers of both versions that accept work.
    store_silent_s
        Time since the store last answered, in seconds.
    halted
        Why the roll-out has to end, if something other than the evidence says so.
    """

    duration_s: float
    elapsed_s: float
    phase: RolloutPhase
    in_phase_s: float
    evidence: Evidence
    new_slots: int
    old_slots: int
    store_silent_s: float
    halted: str | None = None


class Decision(NamedTuple):
    """The phase that follows, and why."""

    phase: RolloutPhase
    reason: str


def switch_at_s(duration_s: float) -> float:
    """Return when the old servers lose all work, in seconds after the roll-out began."""
    return max(0.5 * duration_s, SWITCH_SHARE * duration_s - SWITCH_S)


def shift_at_s(duration_s: float) -> float:
    """Return when long requests begin to go to the new version."""
    return switch_at_s(duration_s) - min(MAX_SHIFT_S, MAX_SHIFT_SHARE * duration_s)


def canary_share(evidence: Evidence, exposure_share: float) -> float:
    """Return the share of requests for the new version, which grows with its good answers."""
    good = sum(c.new.answers - c.new.bad for c in evidence.routes.values())
    return exposure_share * max(part for needed, part in STEPS if good >= needed)


def decide(facts: Facts) -> Decision:
    """Return the phase that follows from the facts; COMPLETED still has to be written."""
    phase = facts.phase
    if phase.is_final:
        return Decision(phase, "final")
    if facts.halted is not None:
        return Decision(RolloutPhase.HALTED, facts.halted)
    verdict = judge(facts.evidence)
    if verdict is Verdict.BAD:
        return Decision(RolloutPhase.HALTED, "bad answers")
    if facts.store_silent_s > MAX_STORE_SILENCE_S:
        return Decision(RolloutPhase.CANARY, "store away")
    has_capacity = facts.new_slots >= MIN_CAPACITY_SHARE * facts.old_slots
    if verdict is not Verdict.GOOD or not has_capacity:
        if facts.elapsed_s >= GIVE_UP_SHARE * facts.duration_s:
            reason = f"evidence {verdict.value}" if has_capacity else "too few servers"
            return Decision(RolloutPhase.HALTED, reason)
        return Decision(RolloutPhase.CANARY, f"evidence {verdict.value}")
    if phase is RolloutPhase.SWITCH:
        is_over = facts.in_phase_s >= SWITCH_S
        return Decision(RolloutPhase.COMPLETED if is_over else phase, "evidence good")
    if facts.elapsed_s >= switch_at_s(facts.duration_s):
        return Decision(RolloutPhase.SWITCH, "evidence good")
    if facts.elapsed_s >= shift_at_s(facts.duration_s):
        return Decision(RolloutPhase.SHIFT, "evidence good")
    return Decision(RolloutPhase.CANARY, "time to observe")
