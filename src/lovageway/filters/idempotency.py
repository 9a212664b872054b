"""Looks up and claims non-idempotent calls, so that each one runs at most once.

The lookup comes before the filters that charge server capacity, the claim directly before the
attempt.
"""

import re

from expression import Ok

from lovageway.chain import MAX_CLAIM_START_DELAY_S, Context, Filter, Verdict, Wait, stop
from lovageway.claimrows import EPOCH_KEY, read_epoch, row_key
from lovageway.codes import Code, Refusal
from lovageway.controllers.claims import DOWN_RETRY_S, Claims
from lovageway.controllers.lookups import TABLE_WAIT_S
from lovageway.events import Emit

_KEY = re.compile(r"[!-~]{1,128}")
_DOWN = Refusal(Code.TABLE_DOWN, retry_after_s=DOWN_RETRY_S)
_UNCONFIRMED = Refusal(Code.CLAIM_UNKNOWN, retry_after_s=DOWN_RETRY_S)


class Lookup(Filter):
    """Replays a stored answer and refuses a resend while the outcome of the first call is open."""

    def __init__(self, claims: Claims) -> None:
        self._claims = claims

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Pass a call that is idempotent, or whose row is absent or "not_run"."""
        if not needs_claim(ctx):
            return Ok(ctx)
        if ctx.req.idempotency_key is None:
            return stop(Refusal(Code.IDEMPOTENCY_KEY_MISSING))
        if not _KEY.fullmatch(ctx.req.idempotency_key):
            detail = "Idempotency-Key needs 1 to 128 printable ASCII characters without spaces."
            return stop(Refusal(Code.MALFORMED, detail))
        key = _row_key(ctx)
        known = self._claims.check_local(key, ctx.req.fingerprint)
        if known is not None:
            self._claims.lookups.end(ctx.req.request_id)
            return stop(known)
        reading = self._claims.lookups.look_up(ctx.req.request_id, key, now, emit)
        if reading.answer is None and now < reading.until:
            return stop(Wait(_DOWN, reading.until))
        self._claims.lookups.end(ctx.req.request_id)
        if reading.answer is None or reading.answer.status != "ok":
            return stop(_DOWN)
        rows = reading.answer.rows
        found = self._claims.check_row(rows.get(key), ctx.req.fingerprint)
        if not isinstance(found, int):
            return stop(found)
        epoch = read_epoch(rows.get(EPOCH_KEY))
        return Ok(ctx._replace(claim_revision=found, claim_epoch=epoch, lookup_done=True))

    def abandon(self, ctx: Context, now: float, emit: Emit) -> None:
        """Forget a lookup whose request has ended."""
        self._claims.lookups.end(ctx.req.request_id)

    def release(self, ctx: Context, now: float, emit: Emit) -> None:
        """Record the end of the request for its claim.

        This filter is released only when the request ends, not before a retry.
        """
        self._claims.closed(ctx.req.request_id, now, emit)


class Claim(Filter):
    """Passes a non-idempotent call only while its claim is confirmed by the table service."""

    def __init__(self, claims: Claims) -> None:
        self._claims = claims

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Insert the claim, wait for its confirmation, then pass the call."""
        if not needs_claim(ctx):
            return Ok(ctx)
        ended = self._claims.pop_stop(ctx.req.request_id)
        if ended is not None:
            return stop(ended)
        claim = self._claims.find_claim(ctx.req.request_id)
        if claim is None:
            assert ctx.contract is not None
            if now > ctx.arrived + ctx.contract.max_wait_s + MAX_CLAIM_START_DELAY_S:
                # Refusals of other submissions have stated that none runs as late as this.
                return stop(_UNCONFIRMED)
            key = _row_key(ctx)
            refusal = self._claims.check_local(key, ctx.req.fingerprint)
            refusal = refusal or self._claims.insert(ctx, key, now, emit)
            return stop(refusal or Wait(_UNCONFIRMED, now + TABLE_WAIT_S))
        if claim.phase == "held":
            self._claims.record_sent(ctx.req.request_id, now)
            return Ok(ctx)
        if claim.phase == "writing":
            return stop(_UNCONFIRMED)
        return stop(Wait(_UNCONFIRMED, claim.until))


def needs_claim(ctx: Context) -> bool:
    """Return whether the request is not idempotent and therefore needs a claim."""
    assert ctx.service is not None
    return ctx.service.kind != "engine" and ctx.req.method not in ctx.service.idempotent_methods


def _row_key(ctx: Context) -> str:
    assert ctx.contract is not None
    assert ctx.req.idempotency_key is not None
    return row_key(ctx.contract.account, ctx.req.idempotency_key)
