"""Holder side of one shared resource: what this daemon may use, uses and needs."""

import math
from collections.abc import Sequence
from typing import NamedTuple

from lovageway._amounts import round_for_wire
from lovageway.controllers.ledger import BURST_S, Kind
from lovageway.controllers.ownership import GRANT_S
from lovageway.messages import SAME_START, GrantLine, HeldGrant, ShareLine

UNMET_S = 0.5  # a request that found no share counts as need for this time
MAX_UNMET = 1000
ACTIVE_S = 1.0  # a peak of use counts as need for this time
UNUSED_S = 5.0
MIN_ASK_INTERVAL_S = 0.025
RETRY_ASK_S = 0.25  # between asks after the owner had nothing more to give
RATE_SMOOTHING = 0.5
ROUNDING = 1e-9  # of sums of floats; nine tenths and one tenth must make one request


class Shortage(NamedTuple):
    """Why a request cannot take its share now."""

    part: int
    pending: bool  # the owner has not yet answered for this need
    retry_after_s: float


class _Sent(NamedTuple):
    owner: str
    at: float
    wanted: tuple[float, ...]
    burst: tuple[float, ...]
    start_id: str


class _Unmet(NamedTuple):
    amounts: tuple[float, ...]
    first: float
    at: float


class Holding:
    """One holder's part of one resource.

    Parameters
    ----------
    kinds
        Kind of each part of the resource.
    """

    def __init__(self, kinds: Sequence[Kind], now: float) -> None:
        self.kinds = tuple(kinds)
        zero = (0.0,) * len(self.kinds)
        self._zero = zero
        self.amounts: tuple[float, ...] = zero
        self.limits: tuple[float, ...] = zero
        self.committed: tuple[float, ...] = zero
        self.start_id = ""
        self.in_use = zero
        self.expires = float("-inf")
        self.used_at = now
        self.urgent = False
        self._short: tuple[bool, ...] = (False,) * len(self.kinds)
        self._owner = ""
        self._order = (0, 0)
        self._sent: dict[int, _Sent] = {}
        self._asked_at = float("-inf")
        self._levels = list(zero)
        self._filled_at = now
        self._unmet: dict[str, _Unmet] = {}
        self._peak = zero
        self._peak_at = now
        self._spent = list(zero)
        self._rates = list(zero)
        self._rated_at = now

    def free(self, part: int, now: float) -> float:
        """Return what may still be taken of a held part, or the level of a rate's bucket."""
        if now >= self.expires:
            return 0.0
        if self.kinds[part] == "rate":
            self._fill(now)
            return self._levels[part]
        return self.amounts[part] - self.in_use[part]

    def short(self, now: float) -> bool:
        """Tell whether the owner's last answer left a need unmet."""
        return now < self.expires and any(self._short)

    def try_take(self, key: str, amounts: tuple[float, ...], now: float) -> Shortage | None:
        """Take the amounts for the request `key`, or note its need and say what is missing."""
        self.used_at = now
        for part, amount in enumerate(amounts):
            if now >= self.expires or self.free(part, now) + ROUNDING < amount:
                return self._miss(key, part, amounts, now)
        self._unmet.pop(key, None)
        self.take(amounts, now)
        return None

    def note_need(self, key: str, amounts: tuple[float, ...], now: float) -> None:
        """Count the need of a request that waits; call it again at each try."""
        known = self._unmet.pop(key, None)
        if len(self._unmet) < MAX_UNMET:
            self._unmet[key] = _Unmet(amounts, known.first if known else now, now)
        self.used_at = now
        self.urgent = self.urgent or known is None

    def take(self, amounts: tuple[float, ...], now: float) -> None:
        """Take amounts without a check; what is in use may exceed the share."""
        self.used_at = now
        self.in_use = tuple(
            used + (amount if kind == "held" else 0.0)
            for used, amount, kind in zip(self.in_use, amounts, self.kinds, strict=True)
        )
        for part, kind in enumerate(self.kinds):
            if kind == "rate" and amounts[part]:
                self._levels[part] -= amounts[part]
                self._spent[part] += amounts[part]
        self._note_peak(now)

    def release(self, amounts: tuple[float, ...]) -> None:
        """Give back the held parts of `amounts`."""
        self.in_use = tuple(
            used - (amount if kind == "held" else 0.0)
            for used, amount, kind in zip(self.in_use, amounts, self.kinds, strict=True)
        )

    def void(self) -> None:
        """Use nothing more until the owner has answered a request that is sent from now on."""
        self.expires = float("-inf")
        self._sent.clear()
        self._short = (False,) * len(self.kinds)
        self.urgent = True

    def fence(self, owner: str, now: float) -> HeldGrant | None:
        """Take no more grants of any daemon but `owner`; returns what is held from others."""
        self._sent = {seq: sent for seq, sent in self._sent.items() if sent.owner == owner}
        if self._owner == owner:
            return None
        if now >= self.expires:
            return HeldGrant("", self.in_use, GRANT_S) if any(self.in_use) else None
        held = tuple(
            max(used, amount) if kind == "held" else amount
            for used, amount, kind in zip(self.in_use, self.amounts, self.kinds, strict=True)
        )
        return HeldGrant("", held, self.expires - now)

    def unused(self, now: float) -> bool:
        """Tell whether the resource was not used for a while."""
        return now - self.used_at > UNUSED_S and not any(self.in_use) and min(self._levels) >= 0

    def may_ask(self, now: float) -> bool:
        """Tell whether an urgent request may be sent."""
        wait = RETRY_ASK_S if any(self._short) else MIN_ASK_INTERVAL_S
        return now - self._asked_at >= wait

    def line(self, resource: str, seq: int, owner: str, start_age: int, now: float) -> ShareLine:
        """Return the request to send now; its answer counts from this moment."""
        self._update_rates(now)
        unmet = self._live_unmet(now)
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
        self._sent = {key: sent for key, sent in self._sent.items() if now - sent.at < GRANT_S}
        self._sent[seq] = _Sent(owner, now, wanted, burst, self.start_id)
        self._asked_at = now
        self.urgent = False
        confirmed = self._order[1] if self._owner == owner else 0
        return ShareLine(
            resource, seq, self.in_use, wanted, confirmed, burst, self.start_id, start_age
        )

    def accept(self, sender: str, line: GrantLine, now: float) -> bool:
        """Put a grant in force; returns False for one that is late, repeated or not asked for."""
        sent = self._sent.get(line.seq)
        order = (line.seq, line.number)
        if sent is None or sent.owner != sender or order <= self._order:
            return False
        expires = sent.at + GRANT_S
        columns = [line.amounts, line.burst or self._zero]
        columns += [column for column in (line.limits, line.committed) if column]
        if expires <= now or any(len(column) != len(self.kinds) for column in columns):
            return False
        self._fill(now)
        if any(new < old for new, old in zip(line.amounts, self.amounts, strict=True)):
            self.urgent = True  # the owner gives the difference away once this is confirmed
        burst = line.burst or self._zero
        self._levels = [
            level + extra if kind == "rate" else 0.0
            for level, extra, kind in zip(self._levels, burst, self.kinds, strict=True)
        ]
        # A push answers the same request again and carries no burst.
        asked = sent.burst if sent.burst and line.seq != self._order[0] else self._zero
        self._short = tuple(
            amount < 0.95 * wanted or extra < need
            for amount, wanted, extra, need in zip(
                line.amounts, sent.wanted, burst, asked, strict=True
            )
        )
        self._owner, self._order, self.expires = sender, order, expires
        self.amounts = line.amounts
        self.limits, self.committed = line.limits or self._zero, line.committed or self._zero
        self.start_id = sent.start_id if line.start_id == SAME_START else line.start_id
        return True

    def dump(self, now: float) -> dict[str, object]:
        """Return the share and its use."""
        return {
            "amounts": self.amounts if now < self.expires else self._zero,
            "in_use": self.in_use,
            "levels": self._levels,
            "expires_in_s": max(0.0, self.expires - now),
            "limits": self.limits,
            "owner": self._owner,
            "unmet": len(self._unmet),
        }

    def _miss(self, key: str, part: int, amounts: tuple[float, ...], now: float) -> Shortage:
        known = self._unmet.get(key)
        self.note_need(key, amounts, now)
        expired = now >= self.expires
        asked = known is not None and known.first <= self._answered_at()
        pending = expired or not (self._short[part] or (asked and self.kinds[part] == "rate"))
        self.urgent = True
        return Shortage(part, pending, self._retry_after(part, key))

    def _answered_at(self) -> float:
        sent = self._sent.get(self._order[0])
        return sent.at if sent else float("-inf")

    def _retry_after(self, part: int, key: str) -> float:
        """Return the time until the bucket holds enough for the key and for those before it."""
        if self.kinds[part] != "rate" or self.amounts[part] <= 0 or key not in self._unmet:
            return 1.0
        first = self._unmet[key].first
        due = sum(item.amounts[part] for item in self._unmet.values() if item.first <= first)
        return min(60.0, max(0.05, (due - self._levels[part]) / self.amounts[part]))

    def _need(self, part: int, kind: Kind, unmet: float, now: float) -> float:
        if kind == "held":
            # A peak counts only while something runs: a running request notices that its server
            # has started anew, so credit for the earlier run is not used after it.
            active = any(self.in_use) and now - self._peak_at <= ACTIVE_S
            recent = self._peak[part] if active else 0.0
            return max(self.in_use[part], recent) + unmet
        debt = max(0.0, -self._levels[part])
        return self._rates[part] + unmet / UNMET_S + debt

    def _live_unmet(self, now: float) -> list[float]:
        for key in [key for key, item in self._unmet.items() if now - item.at > UNMET_S]:
            del self._unmet[key]
        columns = zip(self._zero, *(item.amounts for item in self._unmet.values()), strict=True)
        return [sum(column) for column in columns]

    def _note_peak(self, now: float) -> None:
        if now - self._peak_at > ACTIVE_S:
            self._peak, self._peak_at = self.in_use, now
        elif any(used > peak for used, peak in zip(self.in_use, self._peak, strict=True)):
            self._peak = tuple(max(pair) for pair in zip(self.in_use, self._peak, strict=True))
            self._peak_at = now

    def _update_rates(self, now: float) -> None:
        elapsed = now - self._rated_at
        if elapsed < 0.2:
            return  # too short to tell a rate from one request
        for part, spent in enumerate(self._spent):
            rate = spent / elapsed
            kept = RATE_SMOOTHING * self._rates[part]
            self._rates[part] = max(rate, kept + (1 - RATE_SMOOTHING) * rate)
            self._spent[part] = 0.0
        self._rated_at = now

    def _fill(self, now: float) -> None:
        # A share that expires within the step refills the bucket up to that moment only.
        elapsed = max(0.0, min(now, self.expires) - self._filled_at)
        for part, kind in enumerate(self.kinds):
            if kind == "rate":
                level, rate = self._levels[part], self.amounts[part]
                cap = max(rate * BURST_S, 1.0)
                level = min(cap, level + rate * elapsed) if level < cap else cap
                self._levels[part] = level if now < self.expires else min(level, 0.0)
        self._filled_at = now
