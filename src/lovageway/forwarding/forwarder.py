"""Serves one client request: checks it, forwards it to servers and returns the answer."""

import asyncio
import json
from functools import partial

from lovageway.codes import INFO, Code
from lovageway.forwarding import placement
from lovageway.forwarding.attempt import AttemptResult, Outcome, attempt_call, can_pass_on
from lovageway.forwarding.connections import ClientConnection, Inbound
from lovageway.forwarding.model import Repeat
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.request import Refusal, Request, admit, place, risks_server
from lovageway.forwarding.resend import Kind
from lovageway.forwarding.state import State
from lovageway.forwarding.streams import StreamRun
from lovageway.platform import heads

# An idempotent call is retried on another server after this multiple of the usual latency.
ANSWER_TIMEOUT_FACTOR = 4.0
MIN_ANSWER_TIMEOUT_S = 0.25
STARTING_WAIT_S = 1.5  # maximum wait for the configuration in a daemon that has just started
STARTING_WAIT_SHARE = 0.4  # of the client's deadline, limits the same wait


class Forwarder:
    """Serves one request of a client connection."""

    def __init__(self, state: State, conn: ClientConnection, inbound: Inbound) -> None:
        self.state = state
        self.conn = conn
        self.inbound = inbound
        self.request: Request | None = None
        self.status = 0
        self.outcome = "gone"
        self.attempt_id: str | None = None
        self._given_up = False
        self._retry_reserved = False  # for the attempt that was given up without an answer

    async def run(self) -> None:
        """Serve the request and write exactly one log line for it."""
        try:
            await self._run()
        except asyncio.CancelledError:
            if not self._given_up:
                self.outcome = "client_gone"
                raise
            sent = self.request is not None and self.request.sends > 0
            code = Code.OUTCOME_UNKNOWN_NOW if sent else Code.LEAVING
            self.refuse(Refusal(code, retry_after_s=None if sent else 0.0))
        except Exception as exc:  # an unexpected error ends only this request
            self.state.log("fault", id=self.attempt_id, cause=repr(exc))
            self.outcome = "fault"
            self.conn.abort()
        finally:
            if self.request is not None:
                self.request.reserved.release()
            self._log_request()

    def give_up(self, task: asyncio.Task[None]) -> None:
        """End a request whose answer has not begun, and send its final answer.

        Parameters
        ----------
        task
            The task of `run`.
        """
        if not self.status:
            self._given_up = True
            task.cancel()

    async def _run(self) -> None:
        try:
            head = heads.request(self.inbound.method, self.inbound.target, self.inbound.headers)
        except heads.BadHeadError as exc:
            self.refuse(Refusal(Code.MALFORMED, str(exc)))
            return
        self.attempt_id = head.attempt_id
        if not self.state.configured.is_set():
            left = head.deadline_s if head.deadline_s is not None else STARTING_WAIT_S
            await self.state.await_configuration(min(STARTING_WAIT_S, STARTING_WAIT_SHARE * left))
        admitted = admit(self.state, self.inbound, head)
        if admitted.is_error():
            self.refuse(admitted.error)
            return
        self.request = request = admitted.ok
        if request.route.repeat is Repeat.STREAM:
            await StreamRun(self, request).serve()
        else:
            await self._call(request)

    async def _call(self, request: Request) -> None:
        """Serve a call, whose answer is passed on once it is complete."""
        state = self.state
        last: AttemptResult | None = None
        while True:
            self._retry_reserved = False
            choose = partial(state.choose, request.work(), request.regions)
            placed = await place(request, choose)
            if placed.is_error():
                self._end_call(request, last, placed.error)
                return
            limit_s = self._attempt_timeout_s(request, placed.ok)
            last = await attempt_call(
                request, placed.ok, limit_s, partial(self._may_give_up, request)
            )
            state.telemetry.add("forward_attempts", last.outcome.value)
            request.outcomes.append(last.outcome.value)
            if last.outcome is Outcome.ANSWERED:
                self.answer(last)
                await self.conn.wait_until_writable()  # the memory stays reserved until then
                return
            if last.outcome in (Outcome.FAILED, Outcome.BROKEN, Outcome.SILENT):
                request.possible_runs += 1
            if self._retry_reserved:
                continue
            if self._is_final(request, last) or not self.reserve_retry(request, last.outcome):
                self._end_call(request, last, None)
                return

    def _is_final(self, request: Request, last: AttemptResult) -> bool:
        """Return whether a server's failure is passed on without another attempt.

        A third of such failures do not recur on another server. A retry must not take capacity
        from first attempts, so it is made only if another server has free capacity.
        """
        if last.outcome is not Outcome.FAILED or not can_pass_on(last.head):
            return False
        others = self._untried(request)
        return not placement.has_free_slot(others, self.state.load_tracker, self.state.clock())

    def _may_give_up(self, request: Request) -> bool:
        """Reserve a retry on another server for an attempt without an answer, if there is one."""
        self._retry_reserved = bool(self._untried(request)) and self.reserve_retry(
            request, Outcome.SILENT
        )
        return self._retry_reserved

    def _untried(self, request: Request) -> list[Entry]:
        """Return the usable servers to which a request has not been sent."""
        entries = self.state.usable(request.service, request.regions)
        return [entry for entry in entries if entry.id not in request.tried]

    def _attempt_timeout_s(self, request: Request, entry: Entry) -> float:
        """Return how long to wait for an answer before trying another server, in seconds."""
        left = request.answer_time_s()
        if not request.idempotent or request.possible_runs + 1 >= request.route.max_attempts:
            return left
        return min(left, max(MIN_ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_FACTOR * entry.latency_s))

    def reserve_retry(self, request: Request, outcome: Outcome) -> bool:
        """Return whether a request may run again, charging the retry budget if it was sent."""
        if outcome is Outcome.NOT_SENT:
            return request.may_resend(Kind.UNSENT)
        if outcome is Outcome.BROKEN and risks_server(request):
            return False
        if outcome is not Outcome.NOT_RUN and (
            not request.idempotent or request.possible_runs >= request.route.max_attempts
        ):
            return False
        return request.may_resend(Kind.RETRY)

    def _end_call(
        self, request: Request, last: AttemptResult | None, refusal: Refusal | None
    ) -> None:
        """Send the final answer after the last attempt."""
        if request.possible_runs == 0:
            self.refuse(refusal or Refusal(Code.WAITED_TOO_LONG, retry_after_s=0.2))
        elif last is not None and last.outcome is Outcome.FAILED and can_pass_on(last.head):
            self.answer(last)
        elif refusal is not None and refusal.code is Code.SERVER_CRASHED:
            self.refuse(refusal)
        elif not request.has_time():
            self.refuse(Refusal(Code.TIMED_OUT))
        else:
            self.refuse(Refusal(Code.OUTCOME_UNKNOWN_NOW))

    # Answers to the client.

    def answer(self, attempt: AttemptResult) -> None:
        """Pass on a server's complete answer."""
        head = attempt.head
        assert head is not None
        self.status, self.outcome = head.status, "answered"
        if self.request is not None:
            seconds = self.state.clock() - self.inbound.arrived_at
            kind = self.request.route.repeat.value
            self.state.telemetry.observe("answer_seconds", seconds, kind)
        self.conn.respond(head.status, list(head.headers), attempt.body, head.reason)

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a result code."""
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

    def _log_request(self) -> None:
        """Write the request's log line and update the metrics."""
        request, now = self.request, self.state.clock()
        kind = request.route.repeat.value if request is not None else "none"
        self.state.telemetry.add("forwarded", kind, self.outcome)
        fields: dict[str, object] = {"id": self.attempt_id, "outcome": self.outcome}
        fields["status"] = self.status
        fields["ms"] = round((now - self.inbound.arrived_at) * 1000)
        if request is not None:
            fields["route"] = request.route.name
            fields["servers"] = request.servers
            fields["ends"] = request.outcomes
            if request.event_timing is not None:
                fields.update(request.event_timing.describe(self.inbound.arrived_at))
            if request.waited_s:
                fields["waited_ms"] = round(request.waited_s * 1000)
                self.state.telemetry.observe("wait_seconds", request.waited_s, kind)
        self.state.log("request", **fields)
