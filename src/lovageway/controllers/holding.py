"""Holder side of one shared resource: the share of this daemon, its use and its need.

See `controllers.shares` for the terms.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from lovageway._amounts import round_for_wire
from lovageway.controllers.ledger import BURST_S, Kind
from lovageway.controllers.ownership import GRANT_TTL_S
from lovageway.messages import SAME_START, GrantLine, HeldGrant, ShareLine

UNMET_TTL_S = 0.5  # a request that found no share counts as need for this time
MAX_UNMET_NEEDS = 1000
PEAK_TTL_S = 1.0  # a peak of use counts as need for this time
UNUSED_S = 5.0  # a share without use for this time is dropped
MIN_REQUEST_INTERVAL_S = 0.025
RETRY_INTERVAL_S = 0.25  # between requests while the owner cannot grant the complete need
# Weight of the earlier estimate when the use of a rate falls; a rise is followed at once.
RATE_SMOOTHING = 0.5
# Tolerance for rounding errors: nine tenths and one tenth must add up to one request.
ROUNDING_TOLERANCE = 1e-9


class Shortage(NamedTuple):
    """Reason why a request cannot take its share now."""

    part: int  # index of the part that is short
    pending: bool  # whether the owner has yet to answer for this need
    retry_after_s: float


class _SentRequest(NamedTuple):
    owner: str
    at: float
    wanted: tuple[float, ...]
    burst: tuple[float, ...]
    start_id: str


class _UnmetNeed(NamedTuple):
    amounts: tuple[float, ...]
    first_at: float
    last_at: float


class Holding:
    """One holder's share of one resource.

    Parameters
    ----------
    kinds
        Kind of each part of the resource.
    """

    def __init__(self, kinds: Sequence[Kind], now: float) -> None:
        self.kinds = tuple(kinds)
        zero = (0.0,) * len(self.kinds)
        self._zero = zero
        self.amounts: tuple[float, ...] = zero  # the share, by the last grant
        self.limits: tuple[float, ...] = zero  # of all holders, by the last grant
        self.committed: tuple[float, ...] = zero  # granted to all holders, by the last grant
        self.start_id = ""  # run of the backend server that the last grant applies to
        self.in_use = zero  # taken and not released, of the parts of kind "held"
        self.expires = float("-inf")  # time at which the share expires
        self.used_at = now
        self.urgent = False  # whether to request a grant before the next batch
        # Parts of which the last grant left a need unmet.
        self._short_parts: tuple[bool, ...] = (False,) * len(self.kinds)
        self._owner = ""  # sender of the last grant
        self._last_grant = (0, 0)  # sequence number of the answered request, number of the grant
        self._sent: dict[int, _SentRequest] = {}  # by sequence number
        self._requested_at = float("-inf")
        self._levels = list(zero)  # of the token buckets of the parts of kind "rate"
        self._levels_at = now
        self._unmet: dict[str, _UnmetNeed] = {}  # by request
        self._peak = zero  # highest recent `in_use`
        self._peak_at = now
        self._spent = list(zero)  # taken of the parts of kind "rate" since `_rates_at`
        self._rates = list(zero)  # estimated use per second of these parts
        self._rates_at = now

    def free(self, part: int, now: float) -> float:
        """Return the free amount of a part: the unused share, or the level of a rate's bucket."""
        if now >= self.expires:
            return 0.0
        if self.kinds[part] == "rate":
            self._refill(now)
            return self._levels[part]
        return self.amounts[part] - self.in_use[part]

    def is_short(self, now: float) -> bool:
        """Return whether the owner's last grant left a need unmet."""
        return now < self.expires and any(self._short_parts)

    def try_take(self, key: str, amounts: tuple[float, ...], now: float) -> Shortage | None:
        """Take the amounts for the request `key`, or record its need and return the shortage."""
        self.used_at = now
        for part, amount in enumerate(amounts):
            if now >= self.expires or self.free(part, now) + ROUNDING_TOLERANCE < amount:
                return self._record_shortage(key, part, amounts, now)
        self._unmet.pop(key, None)
        self.take(amounts, now)
        return None

    def record_need(self, key: str, amounts: tuple[float, ...], now: float) -> None:
        """Record the need of a waiting request; it expires unless recorded again at each try."""
        known = self._unmet.pop(key, None)
        if len(self._unmet) < MAX_UNMET_NEEDS:
            self._unmet[key] = _UnmetNeed(amounts, known.first_at if known else now, now)
        self.used_at = now
        self.urgent = self.urgent or known is None

    def take(self, amounts: tuple[float, ...], now: float) -> None:
        """Take amounts without a check, so that the use may exceed the share."""
        self.used_at = now
        self.in_use = tuple(
            used + (amount if kind == "held" else 0.0)
            for used, amount, kind in zip(self.in_use, amounts, self.kinds, strict=True)
        )
        for part, kind in enumerate(self.kinds):
            if kind == "rate" and amounts[part]:
                self._levels[part] -= amounts[part]
                self._spent[part] += amounts[part]
        self._update_peak(now)

    def release(self, amounts: tuple[float, ...]) -> None:
        """Release the parts of `amounts` of kind "held"."""
        self.in_use = tuple(
            used - (amount if kind == "held" else 0.0)
            for used, amount, kind in zip(self.in_use, amounts, self.kinds, strict=True)
        )

    def invalidate(self) -> None:
        """Treat the share as expired until the owner answers a request sent after this call."""
        self.expires = float("-inf")
        self._sent.clear()
        self._short_parts = (False,) * len(self.kinds)
        self.urgent = True

    def fence(self, owner: str, now: float) -> HeldGrant | None:
        """Reject later grants of all daemons but `owner` and return the grant of an earlier owner.

        Amounts in use are included even beyond the grant. Return None if the last grant is of
        `owner` itself, or if it has expired and nothing is in use.
        """
        self._sent = {seq: sent for seq, sent in self._sent.items() if sent.owner == owner}
        if self._owner == owner:
            return None
        if now >= self.expires:
            return HeldGrant("", self.in_use, GRANT_TTL_S) if any(self.in_use) else None
        held = tuple(
            max(used, amount) if kind == "held" else amount
            for used, amount, kind in zip(self.in_use, self.amounts, self.kinds, strict=True)
        )
        return HeldGrant("", held, self.expires - now)

    def is_unused(self, now: float) -> bool:
        """Return whether the resource was not used for UNUSED_S."""
        return now - self.used_at > UNUSED_S and not any(self.in_use) and min(self._levels) >= 0

    def can_request(self, now: float) -> bool:
        """Return whether an urgent request may be sent."""
        wait = RETRY_INTERVAL_S if any(self._short_parts) else MIN_REQUEST_INTERVAL_S
        return now - self._requested_at >= wait

    def request_line(
        self, resource: str, seq: int, owner: str, start_age: int, now: float
    ) -> ShareLine:
        """Return the request to send now; a grant that answers it expires GRANT_TTL_S from now."""
        self._update_rates(now)
        unmet = self._current_unmet(now)
        wanted = tuple(
            round_for_wire(self._need(part, kind, unmet[part], now), math.ceil)
            for part, kind in enumerate(self.kinds)
        )
        burst = tuple(
            (
                round_for_wire(max(0.0, unmet[part] - max(0.0, self._levels[part])), math.ceil)
                if kind == "rate"
                else 0.0
            )
            for part, kind in enumerate(self.kinds)
        )
        burst = burst if any(burst) else ()
        self._sent = {key: sent for key, sent in self._sent.items() if now - sent.at < GRANT_TTL_S}
        self._sent[seq] = _SentRequest(owner, now, wanted, burst, self.start_id)
        self._requested_at = now
        self.urgent = False
        confirmed = self._last_grant[1] if self._owner == owner else 0
        return ShareLine(
            resource, seq, self.in_use, wanted, confirmed, burst, self.start_id, start_age
        )

    def accept(self, sender: str, line: GrantLine, now: float) -> bool:
        """Apply a grant; return False for one that is late, repeated or unrequested."""
        sent = self._sent.get(line.seq)
        order = (line.seq, line.number)
        if sent is None or sent.owner != sender or order <= self._last_grant:
            return False
        expires = sent.at + GRANT_TTL_S
        columns = [line.amounts, line.burst or self._zero]
        columns += [column for column in (line.limits, line.committed) if column]
        if expires <= now or any(len(column) != len(self.kinds) for column in columns):
            return False
        self._refill(now)
        if any(new < old for new, old in zip(line.amounts, self.amounts, strict=True)):
            # The owner can grant the difference to others once this grant is confirmed.
            self.urgent = True
        burst = line.burst or self._zero
        self._levels = [
            level + extra if kind == "rate" else 0.0
            for level, extra, kind in zip(self._levels, burst, self.kinds, strict=True)
        ]
        # A pushed grant answers the same request again and carries no burst.
        wanted_burst = sent.burst if sent.burst and line.seq != self._last_grant[0] else self._zero
        self._short_parts = tuple(
            amount < 0.95 * wanted or extra < need
            for amount, wanted, extra, need in zip(
                line.amounts, sent.wanted, burst, wanted_burst, strict=True
            )
        )
        self._owner, self._last_grant, self.expires = sender, order, expires
        self.amounts = line.amounts
        self.limits, self.committed = line.limits or self._zero, line.committed or self._zero
        self.start_id = sent.start_id if line.start_id == SAME_START else line.start_id
        return True

    def dump(self, now: float) -> dict[str, object]:
        """Return state for diagnostics: the share and its use.

        The limits, owner and levels of an expired share are the last known ones.
        """
        return {
            "amounts": self.amounts if now < self.expires else self._zero,
            "in_use": self.in_use,
            "levels": self._levels,
            "expires_in_s": max(0.0, self.expires - now),
            "limits": self.limits,
            "owner": self._owner,
            "unmet": len(self._unmet),
        }

    def _record_shortage(
        self, key: str, part: int, amounts: tuple[float, ...], now: float
    ) -> Shortage:
        known = self._unmet.get(key)
        self.record_need(key, amounts, now)
        expired = now >= self.expires
        answered = known is not None and known.first_at <= self._answered_at()
        pending = expired or not (
            self._short_parts[part] or (answered and self.kinds[part] == "rate")
        )
        self.urgent = True
        return Shortage(part, pending, self._retry_after(part, key))

    def _answered_at(self) -> float:
        """Return the time at which the last answered request was sent."""
        sent = self._sent.get(self._last_grant[0])
        return sent.at if sent else float("-inf")

    def _retry_after(self, part: int, key: str) -> float:
        """Return the time until the bucket suffices for the request `key` and earlier ones."""
        if self.kinds[part] != "rate" or self.amounts[part] <= 0 or key not in self._unmet:
            return 1.0
        first_at = self._unmet[key].first_at
        needed = sum(
            item.amounts[part] for item in self._unmet.values() if item.first_at <= first_at
        )
        return min(60.0, max(0.05, (needed - self._levels[part]) / self.amounts[part]))

    def _need(self, part: int, kind: Kind, unmet: float, now: float) -> float:
        if kind == "held":
            # A peak counts only while a request runs. A running request detects a restart of its
            # server, so credit for the earlier run is not used after the restart.
            active = any(self.in_use) and now - self._peak_at <= PEAK_TTL_S
            recent = self._peak[part] if active else 0.0
            return max(self.in_use[part], recent) + unmet
        debt = max(0.0, -self._levels[part])
        return self._rates[part] + unmet / UNMET_TTL_S + debt

    def _current_unmet(self, now: float) -> list[float]:
        for key in [key for key, item in self._unmet.items() if now - item.last_at > UNMET_TTL_S]:
            del self._unmet[key]
        columns = zip(self._zero, *(item.amounts for item in self._unmet.values()), strict=True)
        return [sum(column) for column in columns]

    def _update_peak(self, now: float) -> None:
        if now - self._peak_at > PEAK_TTL_S:
            self._peak, self._peak_at = self.in_use, now
        elif any(used > peak for used, peak in zip(self.in_use, self._peak, strict=True)):
            self._peak = tuple(max(pair) for pair in zip(self.in_use, self._peak, strict=True))
            self._peak_at = now

    def _update_rates(self, now: float) -> None:
        elapsed = now - self._rates_at
        if elapsed < 0.2:
            return  # the time is too short to distinguish a rate from a single request
        for part, spent in enumerate(self._spent):
            rate = spent / elapsed
            kept = RATE_SMOOTHING * self._rates[part]
            self._rates[part] = max(rate, kept + (1 - RATE_SMOOTHING) * rate)
            self._spent[part] = 0.0
        self._rates_at = now

    def _refill(self, now: float) -> None:
        # A share that has expired since the last call refills the bucket up to that moment only.
        elapsed = max(0.0, min(now, self.expires) - self._levels_at)
        for part, kind in enumerate(self.kinds):
            if kind == "rate":
                level, rate = self._levels[part], self.amounts[part]
                cap = max(rate * BURST_S, 1.0)
                level = min(cap, level + rate * elapsed) if level < cap else cap
                self._levels[part] = level if now < self.expires else min(level, 0.0)
        self._levels_at = now
