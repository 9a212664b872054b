"""One attempt of a request at a server: sends it, collects the answer and judges it."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum
from typing import NamedTuple

from lovageway.forwarding.exchange import ANSWER_MOST, Exchange, Part
from lovageway.forwarding.model import Address, AnswerHead
from lovageway.forwarding.replicas import Entry
from lovageway.forwarding.request import Request
from lovageway.platform import heads

SILENCE_FAILURE = 0.7  # weight of silence beside an outright failure


class Outcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"  # a whole answer that tells a failure of the server
    BROKEN = "broken"  # no whole answer; it may have run
    SILENT = "silent"


class Attempt(NamedTuple):
    """Result of one attempt."""

    outcome: Outcome
    head: AnswerHead | None
    body: bytes


class Sending(NamedTuple):
    """What differs between the attempts of a request."""

    last_event: str | None = None
    copy: tuple[Address, str] | None = None
    backup: Address | None = None


class NotSentError(Exception):
    """A request that no server has seen."""


@asynccontextmanager
async def sent(
    request: Request,
    entry: Entry,
    sending: Sending,
    *,
    counted: bool = False,
    body_most: int | None = ANSWER_MOST,
) -> AsyncIterator[Exchange]:
    """Send a request and give back what it took when its answer has ended.

    Parameters
    ----------
    counted
        The load of the attempt was already added, as for a move's destination.
    body_most
        Bytes that the answer's body may have; None for a stream of events.

    Raises
    ------
    NotSentError
        The server cannot be reached.
    """
    state = request.state
    if not counted:
        state.load_tracker.add(entry.id, request.tokens)
    attempt_id = request.head.attempt_id
    no_body = request.inbound.method == "HEAD"
    exchange = Exchange(attempt_id, no_body=no_body, body_most=body_most)
    conn = None
    try:
        try:
            conn = await state.pool.acquire(
                connection_key(entry), entry.replica.address, attempt_id
            )
        except OSError as exc:
            entry.on_unreachable(state.clock())
            request.tried.add(entry.id)
            state.log("server_unreachable", id=attempt_id, server=entry.id)
            raise NotSentError from exc
        added = heads.Forwarded(
            deadline_s=request.left_s(),
            server_id=entry.id,
            account=request.account_name,
            priority=request.priority if request.head.generation is not None else None,
            last_event=sending.last_event,
            copy=sending.copy,
            backup=sending.backup,
        )
        entry.on_sent(state.clock())
        request.sends += 1
        request.servers.append(entry.id)
        request.tried.add(entry.id)
        conn.begin(exchange, heads.forwarded(request.head, added, request.inbound.body))
        yield exchange
    finally:
        if exchange.fault is not None:
            state.telemetry.add("answers_rejected", exchange.fault)
            state.log("answer_rejected", id=attempt_id, server=entry.id, fault=exchange.fault)
        if conn is not None:
            if exchange.ended:
                state.pool.release(connection_key(entry), conn)
            else:
                conn.close()
        state.load_tracker.remove(entry.id, request.tokens)
        state.pump()


def connection_key(entry: Entry) -> str:
    """Return what identifies a server among the pooled connections."""
    return f"{entry.id}@{entry.replica.address}"


async def next_part(exchange: Exchange, limit_s: float) -> Part | None:
    """Return the next part of an answer, None if none came in time."""
    try:
        async with asyncio.timeout(max(0.0, limit_s)):
            return await exchange.get()
    except TimeoutError:
        return None


def genuine(head: AnswerHead) -> bool:
    """Return whether a success is the server's own unencoded answer."""
    return head.signed and not head.encoded


async def attempt_call(request: Request, entry: Entry, limit_s: float) -> Attempt:
    """Send a request and collect the whole answer."""
    state = request.state
    began = state.clock()
    head: AnswerHead | None = None
    body = bytearray()
    request.answer.release()
    try:
        async with sent(request, entry, Sending(request.head.last_event)) as exchange:
            while True:
                part = await next_part(exchange, began + limit_s - state.clock())
                if part is None:
                    entry.on_failure(state.clock(), SILENCE_FAILURE)
                    return Attempt(Outcome.SILENT, head, b"")
                if part.head is not None:
                    head = part.head
                if not request.answer.reserve(len(part.data)):
                    exchange.fault = "memory"
                    entry.on_failure(state.clock())
                    return Attempt(Outcome.BROKEN, head, b"")
                body += part.data
                if part.end:
                    break
    except NotSentError:
        return Attempt(Outcome.NOT_SENT, None, b"")
    complete = part.complete
    crashed = not complete and exchange.fault is None
    return _judge(request, entry, head, bytes(body), began, complete=complete, crashed=crashed)


def not_run(entry: Entry, head: AnswerHead, body: bytes, now: float) -> Attempt:
    """Return the result of an attempt that the server says it did not run.

    Another server at the address (421) means that the entry is out of date.
    """
    if head.status == 421:
        entry.on_unreachable(now)
    return Attempt(Outcome.NOT_RUN, head, body)


def _judge(
    request: Request,
    entry: Entry,
    head: AnswerHead | None,
    body: bytes,
    began: float,
    *,
    complete: bool,
    crashed: bool,
) -> Attempt:
    """Decide what a collected answer means.

    Parameters
    ----------
    crashed
        The server broke off by itself.
    """
    now = request.state.clock()
    if head is not None and head.not_run:
        return not_run(entry, head, body, now)
    if head is None or not complete:
        entry.on_failure(now)
        if crashed:
            request.state.poison.on_disconnect(request.mark, entry.token, now)
        return Attempt(Outcome.BROKEN, head, b"")
    request.state.poison.on_answer(request.mark, now)
    request.state.poison.on_server_answer(entry.token, now)
    if head.status >= 500 or (head.status < 300 and not genuine(head)):
        entry.on_failure(now)
        return Attempt(Outcome.FAILED, head, body)
    entry.on_answer(now - began, now)
    return Attempt(Outcome.ANSWERED, head, body)


def passable(head: AnswerHead | None) -> bool:
    """Return whether a server's failure may be passed on unchanged.

    Statuses that promise that nothing ran are the server's to give only with its own mark for it.
    """
    if head is None or not head.signed or head.encoded:
        return False
    return head.status >= 300 and head.status not in (408, 421, 429, 503)
