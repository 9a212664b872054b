"""Serves one client request: checks it, sends it to servers and passes the answer back."""

import asyncio
import json
from functools import partial

from lovageway.codes import INFO, Code
from lovageway.forwarding import placement
from lovageway.forwarding.attempt import Attempt, Outcome, attempt_call, passable
from lovageway.forwarding.connections import ClientConnection, Inbound
from lovageway.forwarding.model import Repeat
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.request import MARGIN_S, Refusal, Request, check, place
from lovageway.forwarding.state import State
from lovageway.forwarding.streams import StreamRun
from lovageway.platform import heads

SILENCE_FACTOR = 4.0  # times the usual latency after which a repeatable call is tried elsewhere
SILENCE_LEAST_S = 0.25
STARTING_WAIT_S = 1.5  # for the configuration, in a daemon that has just started
STARTING_SHARE = 0.4  # of the client's time


class Forwarder:
    """Serves the requests of one connection after another."""

    def __init__(self, state: State, conn: ClientConnection, inbound: Inbound) -> None:
        self.state = state
        self.conn = conn
        self.inbound = inbound
        self.request: Request | None = None
        self.status = 0
        self.outcome = "gone"
        self.attempt_id: str | None = None

    async def run(self) -> None:
        """Serve the request; every way out leaves one log line."""
        try:
            await self._run()
        except asyncio.CancelledError:
            self.outcome = "client_gone"
            raise
        except Exception as exc:  # an unexpected fault ends this request only
            self.state.log("fault", id=self.attempt_id, cause=repr(exc))
            self.outcome = "fault"
            self.conn.abort()
        finally:
            if self.request is not None:
                self.request.answer.release()
            self._note()

    async def _run(self) -> None:
        try:
            head = heads.request(self.inbound.method, self.inbound.target, self.inbound.headers)
        except heads.BadHeadError as exc:
            self.refuse(Refusal(Code.MALFORMED, str(exc)))
            return
        self.attempt_id = head.attempt_id
        if not self.state.configured.is_set():
            left = head.deadline_s if head.deadline_s is not None else STARTING_WAIT_S
            await self.state.await_configuration(min(STARTING_WAIT_S, STARTING_SHARE * left))
        checked = check(self.state, self.inbound, head)
        if checked.is_error():
            self.refuse(checked.error)
            return
        self.request = request = checked.ok
        if request.route.repeat is Repeat.STREAM:
            await StreamRun(self, request).serve()
        else:
            await self._call(request)

    async def _call(self, request: Request) -> None:
        """Serve a call whose answer is passed on as a whole."""
        state = self.state
        last: Attempt | None = None
        while True:
            choose = partial(state.choose, request.work(), request.regions)
            placed = await place(request, choose)
            if placed.is_error():
                self._end_call(request, last, placed.error)
                return
            last = await attempt_call(request, placed.ok, self._limit_s(request, placed.ok))
            state.telemetry.add("forward_attempts", last.outcome.value)
            request.ends.append(last.outcome.value)
            if last.outcome is Outcome.ANSWERED:
                self.answer(last)
                await self.conn.drained()  # the answer's memory is held until then
                return
            if last.outcome in (Outcome.FAILED, Outcome.BROKEN, Outcome.SILENT):
                request.runs += 1
            if self._is_final(request, last) or not self.may_repeat(request, last.outcome):
                self._end_call(request, last, None)
                return

    def _is_final(self, request: Request, last: Attempt) -> bool:
        """Return whether a server's failure is passed on at once.

        A third of such failures do not come again from another server. A repeat takes no place
        that a first request needs: it is sent only where a server is idle enough.
        """
        if last.outcome is not Outcome.FAILED or not passable(last.head):
            return False
        entries = self.state.usable(request.service, request.regions)
        others = [entry for entry in entries if entry.id not in request.tried]
        return not placement.has_free_slot(others, self.state.load_tracker, self.state.clock())

    def _limit_s(self, request: Request, entry: Entry) -> float:
        """Return for how long an answer is awaited before another server is tried."""
        left = request.left_s() - MARGIN_S
        if not request.idempotent or request.runs + 1 >= request.route.max_attempts:
            return left
        return min(left, max(SILENCE_LEAST_S, SILENCE_FACTOR * entry.latency_s))

    def may_repeat(self, request: Request, outcome: Outcome) -> bool:
        """Return whether a request may be sent again, and take that from the budget."""
        if request.left_s() <= 2 * MARGIN_S:
            return False
        if outcome is Outcome.NOT_SENT:
            return True
        if outcome is not Outcome.NOT_RUN and (
            not request.idempotent or request.runs >= request.route.max_attempts
        ):
            return False
        return self.state.take_repeat(request.service.name)

    def _end_call(self, request: Request, last: Attempt | None, refusal: Refusal | None) -> None:
        """Give the final answer after the last attempt."""
        if request.runs == 0:
            self.refuse(refusal or Refusal(Code.WAITED_TOO_LONG, retry_after_s=0.2))
        elif last is not None and last.outcome is Outcome.FAILED and passable(last.head):
            self.answer(last)
        elif request.left_s() <= 2 * MARGIN_S:
            self.refuse(Refusal(Code.TIMED_OUT))
        else:
            self.refuse(Refusal(Code.OUTCOME_UNKNOWN_NOW))

    # Answers to the client.

    def answer(self, attempt: Attempt) -> None:
        """Pass on a server's whole answer."""
        head = attempt.head
        assert head is not None
        self.status, self.outcome = head.status, "answered"
        if self.request is not None:
            seconds = self.state.clock() - self.inbound.arrived_at
            kind = self.request.route.repeat.value
            self.state.telemetry.observe("answer_seconds", seconds, kind)
        self.conn.respond(head.status, list(head.headers), attempt.body, head.reason)

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a numbered refusal."""
        info = INFO[refusal.code]
        self.status, self.outcome = info.status, refusal.code.name.lower()
        self.state.telemetry.add("forward_refusals", str(int(refusal.code)))
        error = {
            "code": int(refusal.code),
            "name": refusal.code.name,
            "message": refusal.detail or info.meaning,
            "ran": info.ran,
            "retry_after_s": refusal.retry_after_s,
        }
        headers = heads.own_headers(self.attempt_id, refusal.retry_after_s)
        self.conn.respond(self.status, headers, json.dumps({"error": error}).encode())

    def _note(self) -> None:
        """Write the request's log line."""
        request, now = self.request, self.state.clock()
        kind = request.route.repeat.value if request is not None else "none"
        self.state.telemetry.add("forwarded", kind, self.outcome)
        fields: dict[str, object] = {"id": self.attempt_id, "outcome": self.outcome}
        fields["status"] = self.status
        fields["ms"] = round((now - self.inbound.arrived_at) * 1000)
        if request is not None:
            fields["route"] = request.route.name
            fields["servers"] = request.servers
            fields["ends"] = request.ends
            if request.timing is not None:
                fields.update(request.timing.describe(self.inbound.arrived_at))
            if request.waited_s:
                fields["waited_ms"] = round(request.waited_s * 1000)
                self.state.telemetry.observe("wait_seconds", request.waited_s, kind)
        self.state.log("request", **fields)
