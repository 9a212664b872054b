"""The roll-outs that this daemon knows, and which servers a request may go to while one runs.

Load pattern: a service is spread over many daemons, and its new version may turn bad at any moment.
Each daemon acts on the newest announcement of the coordinator; one that has not heard of it lately
sends the new version nothing, so that no daemon outlasts a verdict that does not reach it.
"""

from collections.abc import Callable
from math import ceil
from random import Random
from typing import NamedTuple

from lovageway.forwarding.members import sort_key
from lovageway.forwarding.model import Bounds, RolloutOrder, RolloutPhase
from lovageway.forwarding.placement import Work
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.rollout.answers import Answers, describe_evidence
from lovageway.forwarding.rollout.exposure import Exposure
from lovageway.forwarding.rollout.model import (
    Announcement,
    Report,
    Run,
)

# Share of the bound on the time after a verdict for which an announcement holds.
ANNOUNCEMENT_SHARE = 0.7
ROTATION_S = 4.0  # after which the next servers of the new version get its requests
# Entries of servers that stopped at the end of a roll-out may stay in the table for this long.
STOPPED_S = 20.0


class Rollout:
    """What this daemon knows of one service's roll-out."""

    def __init__(self, order: RolloutOrder | None, to: str) -> None:
        self.order = order
        self.to = to
        self.run: Run | None = None
        self.after_ms = -1  # when an earlier run to the same version began, which has ended
        self.phase: RolloutPhase | None = None  # None until it is announced
        self.share = 0.0
        self.phase_since = 0.0
        self.heard_at = 0.0  # when the coordinator sent the newest announcement
        self.deadline_at = 0.0
        self.switch_at = 0.0
        self.withdrawn = False
        self.stopped: frozenset[str] = frozenset()  # ids of the old servers when it was completed
        self.exposure: Exposure | None = None
        self.answers = Answers(to)

    @property
    def service(self) -> str:
        """Return the name of the service."""
        if self.run is not None:
            return self.run.service
        return self.order.service if self.order is not None else ""

    @property
    def in_progress(self) -> bool:
        """Return whether it was announced and has not ended."""
        return self.phase is not None and not self.phase.is_final


class Change(NamedTuple):
    """A phase that began, for the log."""

    rollout: Rollout
    before: RolloutPhase | None


class Rollouts:
    """The roll-outs of all services.

    Parameters
    ----------
    accepting
        Returns the servers of a service that accept work, even if they are suspended now.
    count_sharers
        Returns how many daemons share the bounds of the fleet.
    """

    def __init__(
        self,
        bounds: Bounds,
        rng: Random,
        accepting: Callable[[str], list[Entry]],
        count_sharers: Callable[[float], float],
    ) -> None:
        self.bounds = bounds
        self._rng = rng
        self._accepting = accepting
        self._count_sharers = count_sharers
        self._services: dict[str, Rollout] = {}
        self._barred: dict[str, set[str]] = {}  # by service: versions that are not proved
        self.has_history = True  # whether an earlier process of this daemon may have sent requests

    def get(self, service: str) -> Rollout | None:
        """Return what is known of a service's roll-out."""
        return self._services.get(service)

    def all(self) -> list[Rollout]:
        """Return the roll-outs that are known, also those that ended."""
        return list(self._services.values())

    # Orders and announcements.

    def on_order(self, service: str, order: RolloutOrder | None, now: float) -> Change | None:
        """Apply the operator's order, or its withdrawal."""
        known = self._services.get(service)
        if order is None:
            return self._withdraw(known, now) if known is not None else None
        if known is not None and known.order is not None:
            same = known.order.has_same_terms(order)
            rewritten = known.order.revision.era != order.revision.era
            is_open = not known.withdrawn and not _has_ended(known)
            if same and (rewritten or is_open):
                known.order = order
                return None
        if known is not None and known.order is None and known.to == order.to:
            known.order = order  # its announcement came first
            return None
        self._replace(service, Rollout(order, order.to))
        return None

    def _replace(self, service: str, rollout: Rollout) -> None:
        known = self._services.get(service)
        barred = self._barred.setdefault(service, set())
        if known is not None and known.phase is not RolloutPhase.COMPLETED:
            barred.add(known.to)
        if known is not None and known.run is not None and known.to == rollout.to:
            rollout.after_ms = known.run.began_ms
        barred.discard(rollout.to)
        self._services[service] = rollout

    def _withdraw(self, rollout: Rollout, now: float) -> Change | None:
        rollout.withdrawn = True
        if rollout.phase is not None and rollout.phase.is_final:
            return None
        return self.set_phase(rollout, RolloutPhase.HALTED, now)

    def begin(
        self, rollout: Rollout, run: Run, phase: RolloutPhase, left_s: float, now: float
    ) -> Change:
        """Start to take part in a run."""
        rollout.run = run
        rollout.answers = Answers(rollout.to)
        rollout.deadline_at = now + left_s
        rollout.exposure = Exposure(
            self.bounds.exposure_share,
            self.bounds.exposure_tolerance,
            self._rng,
            has_history=self.has_history,
            now=now,
        )
        rollout.phase = None
        rollout.heard_at = now
        change = self.set_phase(rollout, phase, now)
        assert change is not None
        return change

    def on_announcement(self, heard: Announcement, now: float) -> Change | None:
        """Apply what the coordinator announced; return the change of phase that it causes."""
        run, service = heard.run, heard.run.service
        rollout = self._services.get(service)
        if rollout is None:
            rollout = Rollout(None, run.to)
            self._services[service] = rollout
        is_newer = rollout.run is None or run.began_ms > rollout.run.began_ms
        if rollout.to != run.to:
            if not is_newer or rollout.order is not None:
                # The order of this run, or its successor, is not known here yet.
                if heard.phase is not RolloutPhase.COMPLETED and is_newer:
                    self._barred.setdefault(service, set()).add(run.to)
                return None
            rollout = Rollout(None, run.to)
            self._replace(service, rollout)
        elif (not is_newer and run != rollout.run) or run.began_ms <= rollout.after_ms:
            return None  # an earlier run, which has ended
        sent_at = now - heard.age_s
        if rollout.run != run:
            change = self.begin(rollout, run, heard.phase, heard.left_s, now)
            self._take_terms(rollout, heard, sent_at, now)
            return change
        if rollout.phase is not None and rollout.phase.is_final:
            if heard.phase is RolloutPhase.COMPLETED:
                return self.set_phase(rollout, heard.phase, sent_at)
            return None
        if not heard.phase.is_final and sent_at <= rollout.heard_at:
            return None
        self._take_terms(rollout, heard, sent_at, now)
        return self.set_phase(rollout, heard.phase, now)

    def _take_terms(
        self, rollout: Rollout, heard: Announcement, sent_at: float, now: float
    ) -> None:
        rollout.heard_at = sent_at
        rollout.share = heard.share
        rollout.deadline_at = now + heard.left_s
        rollout.switch_at = now + heard.switch_in_s
        if heard.phase.is_final:
            rollout.phase_since = sent_at

    def set_phase(self, rollout: Rollout, phase: RolloutPhase, now: float) -> Change | None:
        """Begin a phase unless it is the present one."""
        before = rollout.phase
        if before is phase:
            return None
        rollout.phase, rollout.phase_since = phase, now
        if phase is RolloutPhase.COMPLETED:
            rollout.stopped = frozenset(
                entry.id
                for entry in self._accepting(rollout.service)
                if entry.replica.version != rollout.to
            )
        return Change(rollout, before)

    def announcements(self, now: float, *, repeat: bool) -> list[Announcement]:
        """Return what the other daemons should know.

        Parameters
        ----------
        repeat
            Whether roll-outs that ended some time ago are included.
        """
        found = []
        for rollout in self._services.values():
            if rollout.run is None or rollout.phase is None:
                continue
            is_recent = now - rollout.phase_since < STOPPED_S
            if not (rollout.in_progress or is_recent or repeat):
                continue
            since = rollout.phase_since if rollout.phase.is_final else rollout.heard_at
            found.append(
                Announcement(
                    rollout.run,
                    rollout.phase,
                    rollout.share,
                    rollout.deadline_at - now,
                    rollout.switch_at - now,
                    max(0.0, now - since),
                )
            )
        return found

    # Requests.

    def is_active(self, service: str) -> bool:
        """Return whether a roll-out of the service is known."""
        return service in self._services

    def permitted(self, service: str, entries: list[Entry], now: float) -> list[Entry]:
        """Return the servers to which any request of a service may go."""
        if service not in self._services:
            return entries
        rollout, barred = self._services[service], self._barred.get(service, set())
        barred = barred | self._unproved(rollout, now)
        stopped = rollout.stopped if now - rollout.phase_since < STOPPED_S else frozenset()
        return [e for e in entries if e.replica.version not in barred and e.id not in stopped]

    def permits(self, entry: Entry, now: float) -> bool:
        """Return whether any request may go to a server."""
        return bool(self.permitted(entry.replica.service, [entry], now))

    def like(self, entry: Entry, entries: list[Entry]) -> list[Entry]:
        """Return the servers that may continue a generation of a server.

        While a roll-out of its service is known, these are the ones of its version.
        """
        if entry.replica.service not in self._services:
            return entries
        return [other for other in entries if other.replica.version == entry.replica.version]

    def _unproved(self, rollout: Rollout, now: float) -> set[str]:
        """Return the new version if it must get nothing now."""
        if rollout.phase is RolloutPhase.COMPLETED:
            return set()
        if rollout.phase is RolloutPhase.HALTED:
            return {rollout.to}
        if rollout.in_progress and not self._is_stale(rollout, now):
            return set()
        # Nothing is known of the roll-out; without other servers the service would stop.
        return {rollout.to} if self._others(rollout) else set()

    def _others(self, rollout: Rollout) -> list[Entry]:
        """Return the servers of other versions that accept work."""
        service = rollout.service
        barred = self._barred.get(service, set())
        return [
            entry
            for entry in self._accepting(service)
            if entry.replica.version != rollout.to and entry.replica.version not in barred
        ]

    def _is_stale(self, rollout: Rollout, now: float) -> bool:
        return now - rollout.heard_at > ANNOUNCEMENT_SHARE * self.bounds.rollback_s

    def preferences(self, work: Work, entries: list[Entry], now: float) -> list[list[Entry]]:
        """Return the groups of servers to choose from, the preferred one first.

        Parameters
        ----------
        entries
            The permitted servers that are usable now.
        """
        rollout = self._services.get(work.service.name)
        if rollout is None or not rollout.in_progress or self._is_stale(rollout, now):
            return [entries]
        new = [entry for entry in entries if entry.replica.version == rollout.to]
        old = [entry for entry in entries if entry.replica.version != rollout.to]
        if not new or rollout.exposure is None:
            return [old]
        left_s = rollout.deadline_at - now
        if not rollout.exposure.has_room(self._count_sharers(now), left_s, now):
            return [old]
        if not old:
            return [new]
        if work.avoid:
            return [old, new]
        if rollout.phase is RolloutPhase.SWITCH:
            return [new, old]
        if rollout.phase is RolloutPhase.SHIFT and now + work.expected_s > rollout.switch_at:
            return [new, old]
        if rollout.exposure.is_due(work.route):
            return [self._observed(rollout, new, left_s), old]
        return [old]

    def _observed(self, rollout: Rollout, new: list[Entry], left_s: float) -> list[Entry]:
        """Return the few servers of the new version that get its requests at this time.

        Together they get as much as old servers do, so that faults under load show.
        """
        count = max(1, ceil(rollout.share * len(new)))
        new.sort(key=lambda entry: sort_key(entry.id))
        first = int(max(0.0, left_s) / ROTATION_S) * count
        return [new[(first + index) % len(new)] for index in range(min(count, len(new)))]

    def on_chosen(self, work: Work, entry: Entry) -> None:
        """Count a request for which a server was chosen."""
        rollout = self._services.get(work.service.name)
        if rollout is not None and rollout.in_progress and rollout.exposure is not None:
            is_new = entry.replica.version == rollout.to
            rollout.exposure.on_chosen(work.route, rollout.share, is_new=is_new)

    def on_send(self, entry: Entry) -> None:
        """Count a request that is about to be sent, also one that continues a generation."""
        rollout = self._services.get(entry.replica.service)
        if rollout is not None and rollout.in_progress and rollout.exposure is not None:
            rollout.exposure.on_send(is_new=entry.replica.version == rollout.to)

    # Evidence.

    def watched(self, entry: Entry) -> Rollout | None:
        """Return the roll-out in progress for which answers of a server count."""
        rollout = self._services.get(entry.replica.service)
        return rollout if rollout is not None and rollout.in_progress else None

    def on_report(self, report: Report) -> None:
        """Take the evidence of another daemon, unless it is of another run."""
        rollout = self._services.get(report.run.service)
        if rollout is not None and rollout.run == report.run:
            rollout.answers.on_report(report)

    def describe(self, now: float) -> list[dict[str, object]]:
        """Return the roll-outs for operators."""
        return [
            {
                "service": service,
                "to": rollout.to,
                "phase": rollout.phase.name.lower() if rollout.phase is not None else None,
                "withdrawn": rollout.withdrawn,
                "share": round(rollout.share, 4),
                "left_s": round(rollout.deadline_at - now, 1),
                "heard_s": round(now - rollout.heard_at, 1),
                "sent": rollout.exposure.sent if rollout.exposure is not None else 0,
                "sent_new": rollout.exposure.sent_new if rollout.exposure is not None else 0,
                "barred": sorted(self._barred.get(service, set())),
                "evidence": describe_evidence(rollout.answers.total()),
            }
            for service, rollout in self._services.items()
        ]


def _has_ended(rollout: Rollout) -> bool:
    return rollout.phase is not None and rollout.phase.is_final
