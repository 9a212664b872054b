"""Coordinates roll-outs: announces phases, collects evidence and writes the status to the store."""

from collections.abc import Awaitable, Callable
from functools import partial

from lovageway.forwarding import gossip
from lovageway.forwarding.model import RolloutOrder, RolloutPhase, RolloutStatus, Row
from lovageway.forwarding.newssender import NewsLimits, NewsSender
from lovageway.forwarding.rollout import schedule
from lovageway.forwarding.rollout.answers import describe_evidence
from lovageway.forwarding.rollout.model import Report, Run
from lovageway.forwarding.rollout.rollouts import Change, Rollout
from lovageway.forwarding.state import State
from lovageway.forwarding.storewatch import StoreClient, StoreError
from lovageway.platform import names, records

LIMITS = NewsLimits(bytes_per_s=4000.0, burst_bytes=32_000.0, repeats_per_s=2.0)
REPORT_INTERVAL_S = 1.5  # a bad answer of the new version is reported with the next tick
COORDINATORS = 3  # daemons that receive the evidence; the first one decides
SYNC_INTERVAL_S = 1.0  # between reads of the status while a roll-out is in progress
FINAL_SYNC_INTERVAL_S = 10.0  # after it ended, as long as FINAL_SYNC_S
FINAL_SYNC_S = 60.0
LONG_AGO_S = 3600.0  # assumed age of an end that was found at the start of this daemon
RETRY_S = 0.3  # after a failed call


class _Duty:
    """What the coordinator keeps for one service."""

    def __init__(self) -> None:
        self.synced_at = float("-inf")  # when the status was last read
        self.next_at = 0.0
        self.busy = False
        self.ignored: RolloutOrder | None = None  # the order that was reported as ignored
        self.saved: RolloutPhase | None = None  # the final phase that the store has
        self.saved_in = 0  # era of the store in which it had it


class RolloutSpread:
    """Takes part in all roll-outs, and coordinates those of which this daemon comes first."""

    def __init__(
        self, state: State, client: StoreClient, sockets: gossip.Gossip, port: int
    ) -> None:
        self._state = state
        self._client = client
        self._gossip = sockets
        self._port = port
        self._sender = NewsSender(state, sockets, port, LIMITS, self._encode)
        self.send_to = self._sender.send_to
        self.close = self._sender.close
        self._duties: dict[str, _Duty] = {}
        self._reported: dict[str, tuple[float, int]] = {}  # by service: when, and bad answers

    # Orders and messages.

    def on_row(self, service: str, row: Row) -> None:
        """Apply the operator's row of a roll-out.

        Raises
        ------
        UnreadableRowError
            The row is malformed.
        """
        state, now = self._state, self._state.clock()
        order = None if row.value is None else records.rollout_order(row)
        state.log(
            "rollout_order",
            service=service,
            to=order.to if order is not None else None,
            duration_s=order.duration_s if order is not None else None,
            row=row.revision,
        )
        self._report(state.rollouts.on_order(service, order, now), "withdrawn")

    def on_announcements(self, message: gossip.Rollouts) -> None:
        """Take what another daemon heard; an aggregator passes a change on at once."""
        state, now = self._state, self._state.clock()
        found = [state.rollouts.on_announcement(item, now) for item in message.announcements]
        changes = [change for change in found if change is not None]
        for change in changes:
            self._log(change, f"announced by {message.ip}")
        if changes:
            state.pump()
            if not state.members.is_large(now) or state.cfg.ip in state.members.aggregators(now):
                self._sender.send_urgent()

    def on_report(self, report: Report) -> None:
        """Take the evidence of another daemon."""
        self._state.rollouts.on_report(report)

    def _encode(self, now: float, repeat: bool) -> bytes | None:
        found = self._state.rollouts.announcements(now, repeat=repeat)
        return gossip.encode(gossip.Rollouts(self._state.cfg.ip, found)) if found else None

    def _report(self, change: Change | None, reason: str) -> None:
        """Log a change that this daemon made, and tell the others."""
        if change is not None:
            self._log(change, reason)
            self._sender.send_urgent()
            self._state.pump()

    def _log(self, change: Change, reason: str) -> None:
        rollout, state = change.rollout, self._state
        phase = rollout.phase.name.lower() if rollout.phase is not None else None
        state.telemetry.add("rollout_phases", rollout.service, str(phase))
        exposure = rollout.exposure
        state.log(
            "rollout",
            service=rollout.service,
            to=rollout.to,
            phase=phase,
            before=change.before.name.lower() if change.before is not None else None,
            reason=reason,
            began_ms=rollout.run.began_ms if rollout.run is not None else None,
            left_s=round(rollout.deadline_at - state.clock(), 1),
            sent=exposure.sent if exposure is not None else 0,
            sent_new=exposure.sent_new if exposure is not None else 0,
            answers=describe_evidence(rollout.answers.total()),
        )

    # Periodic work.

    def tick(self, now: float) -> None:
        """Report evidence, and coordinate the roll-outs of which this daemon comes first."""
        state = self._state
        for rollout in state.rollouts.all():
            service = rollout.service
            leaders = state.members.leaders(names.ROLLOUT_PREFIX + service, COORDINATORS, now)
            if rollout.in_progress and self._is_report_due(service, rollout, now):
                self._send_report(rollout, [ip for ip in leaders if ip != state.cfg.ip])
            if leaders[:1] == [state.cfg.ip]:
                self._coordinate(service, rollout, now)

    def _is_report_due(self, service: str, rollout: Rollout, now: float) -> bool:
        bad = sum(counts.new.bad for counts in rollout.answers.own.routes.values())
        reported_at, reported_bad = self._reported.get(service, (float("-inf"), 0))
        if bad == reported_bad and now - reported_at < REPORT_INTERVAL_S:
            return False
        self._reported[service] = (now, bad)
        return True

    def _send_report(self, rollout: Rollout, ips: list[str]) -> None:
        if rollout.run is None or not rollout.answers.own.routes or not ips:
            return
        own = self._state.members.own
        report = Report(own.ip, own.incarnation, rollout.run, rollout.answers.own)
        self._gossip.send(gossip.encode(report), ips, self._port)

    def _coordinate(self, service: str, rollout: Rollout, now: float) -> None:
        duty = self._duties.setdefault(service, _Duty())
        if not self._is_served(service, rollout, duty):
            return
        if rollout.in_progress and rollout.order is not None:
            self._advance(service, rollout, duty, now)
        if not duty.busy and now >= duty.next_at and self._needs_sync(rollout, duty, now):
            duty.busy = True
            self._state.spawn(self._sync(service, rollout, duty))

    def _is_served(self, service: str, rollout: Rollout, duty: _Duty) -> bool:
        """Return whether the configuration has the service; log once if it has not."""
        state = self._state
        if state.routes is not None and service in state.routes.cfg.services:
            return True
        if rollout.order is not None and duty.ignored != rollout.order:
            duty.ignored = rollout.order
            state.telemetry.add("rollouts_ignored")
            state.log("rollout_ignored", service=service, to=rollout.to, cause="unknown service")
        return False

    def _needs_sync(self, rollout: Rollout, duty: _Duty, now: float) -> bool:
        if rollout.order is None and not rollout.withdrawn:
            return False
        if rollout.phase is None or not rollout.phase.is_final:
            return True
        is_saved = duty.saved is rollout.phase and duty.saved_in == self._era()
        return not is_saved or now - rollout.phase_since < FINAL_SYNC_S

    def _era(self) -> int:
        """Return the era of the store: in a later one it may have lost the status."""
        return self._state.mirror.position(names.OPERATOR_TABLE).era

    def _advance(self, service: str, rollout: Rollout, duty: _Duty, now: float) -> None:
        """Begin the phase that follows from the evidence, and announce the present one."""
        state = self._state
        assert rollout.order is not None and rollout.phase is not None
        decision = schedule.decide(self._facts(service, rollout, duty, now))
        rollout.heard_at = now
        share = schedule.canary_share(rollout.answers.total(), state.cfg.bounds.exposure_share)
        rollout.share = share
        began_at = rollout.deadline_at - rollout.order.duration_s
        rollout.switch_at = began_at + schedule.switch_at_s(rollout.order.duration_s)
        if decision.phase is RolloutPhase.COMPLETED:
            duty.next_at = min(duty.next_at, now)  # it has to be written first
            return
        change = state.rollouts.set_phase(rollout, decision.phase, now)
        if change is not None:
            duty.next_at = min(duty.next_at, now)
            self._report(change, decision.reason)

    def _facts(self, service: str, rollout: Rollout, duty: _Duty, now: float) -> schedule.Facts:
        assert rollout.order is not None and rollout.phase is not None
        new, old = 0, 0
        for entry in self._state.replicas.accepting(service):
            if entry.replica.version == rollout.to:
                new += entry.replica.slots
            else:
                old += entry.replica.slots
        duration_s = rollout.order.duration_s
        return schedule.Facts(
            duration_s=duration_s,
            elapsed_s=duration_s - (rollout.deadline_at - now),
            phase=rollout.phase,
            in_phase_s=now - rollout.phase_since,
            evidence=rollout.answers.total(),
            new_slots=new,
            old_slots=old,
            store_silent_s=now - duty.synced_at,
        )

    # The status in the store.

    async def _sync(self, service: str, rollout: Rollout, duty: _Duty) -> None:
        """Read the status, take what it says, and write it if it is behind."""
        state = self._state
        try:
            await self._sync_once(service, rollout, duty)
            is_final = rollout.phase is not None and rollout.phase.is_final
            interval_s = FINAL_SYNC_INTERVAL_S if is_final else SYNC_INTERVAL_S
            duty.next_at = state.clock() + interval_s
        except (StoreError, ValueError) as exc:
            state.log("rollout_not_synced", service=service, cause=str(exc))
            duty.next_at = state.clock() + RETRY_S
        finally:
            duty.busy = False

    async def _sync_once(self, service: str, rollout: Rollout, duty: _Duty) -> None:
        state = self._state
        page = await self._client.read(names.STATUS_TABLE)
        now = state.clock()
        if state.rollouts.get(service) is not rollout:
            return  # another order replaced it during the call
        duty.synced_at = now
        key = records.rollout_status_key(service)
        row = next((item for item in page.rows if item.key == key), None)
        version = row.version if row is not None else 0
        status = records.rollout_status(row) if row is not None else None
        write = partial(self._write, service, version)
        is_own = status is not None and _run(status) == rollout.run
        if rollout.run is None or (is_own and self._is_repeated(rollout, status)):
            await self._begin(service, rollout, status, page.now_ms, write)
            return
        if is_own and status is not None and status.phase.is_final:
            duty.saved, duty.saved_in = status.phase, self._era()
            self._report(state.rollouts.set_phase(rollout, status.phase, now), "status")
            return
        order = rollout.order
        if order is None or (status is not None and status.began_ms > rollout.run.began_ms):
            return  # a later order is not known here yet
        phase = RolloutPhase.CANARY if rollout.phase is None else rollout.phase
        if phase is RolloutPhase.SWITCH:
            decided = schedule.decide(self._facts(service, rollout, duty, now))
            phase = decided.phase
        if is_own and not phase.is_final:
            return
        await write(RolloutStatus(phase, order, rollout.run.began_ms))
        if phase.is_final:
            duty.saved, duty.saved_in = phase, self._era()
            change = state.rollouts.set_phase(rollout, phase, state.clock())
            self._report(change, "status written")

    @staticmethod
    def _is_repeated(rollout: Rollout, status: RolloutStatus | None) -> bool:
        """Return whether the order was given again after the run that this daemon knows."""
        order = rollout.order
        if status is None or order is None or rollout.withdrawn:
            return False
        return status.phase.is_final and not _continues(status, order)

    async def _begin(
        self,
        service: str,
        rollout: Rollout,
        status: RolloutStatus | None,
        now_ms: int,
        write: Callable[[RolloutStatus], Awaitable[None]],
    ) -> None:
        """Continue the run that the status describes, or begin a new one."""
        state, order = self._state, rollout.order
        if order is None:
            return
        is_found = status is not None and _continues(status, order)
        if status is None or not is_found:
            phase = RolloutPhase.HALTED if rollout.withdrawn else RolloutPhase.CANARY
            status = RolloutStatus(phase, order, now_ms)
            await write(status)
        if state.rollouts.get(service) is not rollout:
            return  # another order replaced it during the call
        left_s = order.duration_s - (now_ms - status.began_ms) / 1000
        run = Run(service, order.to, status.began_ms)
        if rollout.run == run:
            return  # another daemon announced it during the call
        change = state.rollouts.begin(rollout, run, status.phase, left_s, state.clock())
        if is_found and status.phase.is_final:
            # It ended before this daemon started, so the old servers are gone.
            rollout.phase_since -= LONG_AGO_S
        self._report(change, "status" if is_found else "order")

    async def _write(self, service: str, version: int, status: RolloutStatus) -> None:
        """Write the status.

        Raises
        ------
        StoreError
            The store did not answer, or another daemon has written the row since it was read.
        """
        value = records.encode_rollout_status(status)
        key = records.rollout_status_key(service)
        written = await self._client.put_if(names.STATUS_TABLE, key, value, version)
        self._state.log(
            "rollout_status",
            service=service,
            to=status.order.to,
            phase=status.phase.name.lower(),
            written=written,
        )
        if not written:
            raise StoreError(0, "another daemon wrote the status")


def _run(status: RolloutStatus) -> Run:
    return Run(status.order.service, status.order.to, status.began_ms)


def _continues(status: RolloutStatus, order: RolloutOrder) -> bool:
    """Return whether a status belongs to an order, which may have been written again since."""
    if not status.order.has_same_terms(order):
        return False
    written, ordered = status.order.revision, order.revision
    return written == ordered or written.era != ordered.era or not status.phase.is_final
