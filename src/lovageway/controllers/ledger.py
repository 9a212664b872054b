"""Owner side of one shared resource: which holder may use how much of the limit, until when."""

import math
from collections.abc import Sequence
from typing import Literal, NamedTuple

from lovageway._amounts import round_for_wire
from lovageway.controllers.ownership import CLOCK_DRIFT, GRANT_TTL_S
from lovageway.messages import SAME_START, GrantLine, HeldGrant, ShareLine

Kind = Literal["held", "rate"]
"""held: integral amounts that are taken and released; rate: amounts per second."""

# Granted beyond a holder's need, as a fraction of that need, so that it can start requests without
# a request to the owner.
SPARE_FRACTION = 0.25
# Least spare amount of holders that need little at the moment, as a fraction of the limit.
MIN_SPARE_FRACTION = 1 / 16
# Fraction of the unneeded amount that stays with the owner for the next request.
RESERVE_FRACTION = 0.5
# Least time between divisions with many holders, because a division costs O(holders).
MIN_DIVISION_INTERVAL_S = 0.25
MAX_UNTHROTTLED_HOLDERS = 16  # up to this number of holders every request may cause a division
# The sequence number of a silent holder is kept for this time to detect late duplicates.
FORGET_HOLDER_S = 10.0
BURST_S = 1.0  # unused amounts of a rate accumulate for at most this time


class Limit(NamedTuple):
    """What all holders of a resource together may use."""

    amounts: tuple[float, ...]
    start_id: str = ""  # start identity of the backend server that the amounts apply to
    committed: tuple[float, ...] = ()  # lower bound of the amounts in use, from a load report
    idle_spare: float = math.inf  # spare of the first part for all holders without use together


class _Grant(NamedTuple):
    number: int
    amounts: tuple[float, ...]
    expires: float


class _Entry(NamedTuple):
    seq: int
    received_at: float
    in_use: tuple[float, ...]
    wanted: tuple[float, ...]
    burst: tuple[float, ...]  # wanted at once for waiting requests, of the parts of kind "rate"
    grants: tuple[_Grant, ...]  # grants that the holder may use now or later, newest last
    committed: tuple[float, ...]  # what the holder may use, by its grants and reported use
    start_id: str = ""  # as last reported by the holder


class Ledger:
    """Grants of one resource.

    The sum of what holders may use never exceeds the limit, with two exceptions: after the limit
    was lowered, and for amounts that holders report in use beyond their grants.

    Parameters
    ----------
    kinds
        Kind of each part of the resource.
    """

    def __init__(self, kinds: Sequence[Kind]) -> None:
        self.kinds = tuple(kinds)
        self.ready = False  # whether all grants of earlier owners are known or have expired
        self._zero = (0.0,) * len(self.kinds)
        self._entries: dict[str, _Entry] = {}  # by holder
        self._total = list(self._zero)  # sum of `_Entry.committed`
        self._targets: dict[str, tuple[float, ...]] = {}  # last division, by holder
        self._divided_at = float("-inf")
        self._divided_for: tuple[float, ...] = ()  # limit that was divided last
        self._dirty = True  # whether needs or grants have changed since the last division
        self._number = 0  # of the last grant
        self._pool: list[float] | None = None  # unspent burst; None before the first grant
        self._pool_at = 0.0
        self.start_id = ""  # start identity that the last grants apply to
        self.short_holders: set[str] = set()  # holders whose last grant is below their need

    def __len__(self) -> int:
        return len(self._entries)

    def request(self, node: str, line: ShareLine, now: float) -> bool:
        """Apply a holder's request; return False for a late or repeated one."""
        old = self._entries.get(node)
        if old is not None and line.seq <= old.seq:
            return False
        grants = tuple(
            grant
            for grant in (old.grants if old else ())
            if grant.number >= line.confirmed and grant.expires > now
        )
        entry = _Entry(
            line.seq,
            now,
            line.in_use,
            line.wanted,
            line.burst,
            grants,
            self._zero,
            line.start_id,
        )
        self._set_entry(node, entry, now)
        self.short_holders.add(node)  # until a grant meets its need
        self._dirty = True
        return True

    def grant(self, node: str, limit: Limit, now: float) -> GrantLine:
        """Return the answer to the holder's last request."""
        if (
            len(self._entries) <= MAX_UNTHROTTLED_HOLDERS
            or now - self._divided_at >= MIN_DIVISION_INTERVAL_S
        ):
            self._expire(now)
        entry = self._entries[node]
        self._refill(limit, now)
        self._divide(limit, now)
        target = self._targets.get(node, entry.wanted)
        if self._dirty:
            # The division is up to MIN_DIVISION_INTERVAL_S old. A need that has grown since then is
            # met from the free amount, because a holder that is granted less refuses callers.
            target = tuple(map(max, target, entry.wanted))
        amounts = []
        for part, kind in enumerate(self.kinds):
            others = self._total[part] - entry.committed[part]
            free = max(0.0, limit.amounts[part] - others)
            # The amount may be less than what the holder uses, because after a loss of contact the
            # rest may be in use elsewhere. The holder then starts no request until enough of its
            # requests have ended.
            amount = min(target[part], free)
            amounts.append(float(math.floor(amount)) if kind == "held" else round_for_wire(amount))
        if any(a < 0.95 * w for a, w in zip(amounts, entry.wanted, strict=True)):
            self.short_holders.add(node)
        else:
            self.short_holders.discard(node)
        burst = self._draw_burst(entry.burst)
        self._number += 1
        expires = entry.received_at + GRANT_TTL_S * CLOCK_DRIFT
        granted = _Grant(self._number, tuple(amounts), expires)
        self._set_entry(
            node, entry._replace(grants=(*entry.grants, granted), burst=self._zero), now
        )
        committed = [*self._total]
        for part, reported in enumerate(limit.committed):
            committed[part] = max(committed[part], reported)
        return GrantLine(
            "",
            entry.seq,
            self._number,
            granted.amounts,
            limit.amounts,
            tuple(committed),
            burst,
            SAME_START if limit.start_id and limit.start_id == entry.start_id else limit.start_id,
        )

    def rebalance(self, limit: Limit, now: float) -> list[str]:
        """Return the holders whose grant should change before their next request."""
        self._expire(now)
        if limit.start_id != self.start_id:
            self.start_id = limit.start_id
            return [node for node, entry in self._entries.items() if entry.grants]
        if now - self._divided_at >= MIN_DIVISION_INTERVAL_S:
            self._dirty = True
        self._divide(limit, now)
        return [
            node
            for node, entry in self._entries.items()
            if entry.received_at + GRANT_TTL_S > now and self._should_push(node, entry, limit)
        ]

    def needs_rebalance(self, limit: Limit) -> bool:
        """Return whether `rebalance` may find a grant to change."""
        lowered = any(
            amount < total for amount, total in zip(limit.amounts, self._total, strict=True)
        )
        return bool(self.short_holders) or lowered or limit.start_id != self.start_id

    def holders(self, now: float) -> tuple[HeldGrant, ...]:
        """Return what every holder may use, for a handover to a new owner."""
        self._expire(now)
        return tuple(
            HeldGrant(node, entry.committed, _last_expiry(entry) - now)
            for node, entry in self._entries.items()
            if any(entry.committed)
        )

    def pool(self) -> tuple[float, ...]:
        """Return the unspent burst, or () when no grant was made yet."""
        return tuple(self._pool) if self._pool is not None else ()

    def inherit(self, held: Sequence[HeldGrant], pool: tuple[float, ...], now: float) -> bool:
        """Count grants of an earlier owner until they expire or a new grant replaces them.

        Return False when the number of parts differs from that of this resource.
        """
        parts = len(self.kinds)
        if any(len(item.amounts) != parts for item in held) or len(pool) not in (0, parts):
            return False
        for item in held:
            old = self._entries.get(item.node)
            entry = old or _Entry(0, now, self._zero, self._zero, self._zero, (), self._zero)
            # A confirmation of any grant of this owner, which has a higher number, removes it.
            grant = _Grant(0, item.amounts, now + item.remaining_s * CLOCK_DRIFT)
            self._set_entry(item.node, entry._replace(grants=(grant, *entry.grants)), now)
        if pool:
            current = self._pool or list(pool)
            self._pool = [min(*both) for both in zip(current, pool, strict=True)]
            self._pool_at = now
        self._dirty = True
        return True

    def empty_pool(self, now: float) -> None:
        """Reset the unspent burst, because an earlier owner may have granted it already."""
        self._pool, self._pool_at = list(self._zero), now

    def total(self, now: float) -> tuple[float, ...]:
        """Return what all holders together may use."""
        self._expire(now)
        return tuple(self._total)

    def dump(self, now: float) -> dict[str, object]:
        """Return the holders and what they may use."""
        return {
            "ready": self.ready,
            "total": self.total(now),
            "holders": {
                node: {"in_use": entry.in_use, "wanted": entry.wanted, "may_use": entry.committed}
                for node, entry in self._entries.items()
            },
        }

    def _set_entry(self, node: str, entry: _Entry, now: float) -> None:
        live = [grant.amounts for grant in entry.grants if grant.expires > now]
        # Beyond its grants a holder can only keep amounts that it has reported in use.
        reported = (
            entry.in_use if entry.received_at + GRANT_TTL_S * CLOCK_DRIFT > now else self._zero
        )
        committed = tuple(
            max(column) if kind == "held" else max(column[1:], default=0.0)
            for kind, column in zip(self.kinds, zip(reported, *live, strict=True), strict=True)
        )
        old = self._entries.get(node)
        before = old.committed if old else self._zero
        self._total = [
            total - was + will
            for total, was, will in zip(self._total, before, committed, strict=True)
        ]
        self._entries[node] = entry._replace(committed=committed)

    def _expire(self, now: float) -> None:
        for node, entry in list(self._entries.items()):
            grants = tuple(grant for grant in entry.grants if grant.expires > now)
            silent = entry.received_at + GRANT_TTL_S * CLOCK_DRIFT <= now
            if grants != entry.grants or (silent and any(entry.committed)):
                wanted = self._zero if silent else entry.wanted
                self._set_entry(node, entry._replace(grants=grants, wanted=wanted), now)
                self._dirty = True
            if entry.received_at + FORGET_HOLDER_S <= now and not grants:
                del self._entries[node]
                self._targets.pop(node, None)
            if silent:
                self.short_holders.discard(node)
        # Recomputing the total removes rounding errors, so that an empty ledger is exactly zero.
        columns = zip(
            self._zero, *(entry.committed for entry in self._entries.values()), strict=True
        )
        self._total = [sum(column) for column in columns]

    def _divide(self, limit: Limit, now: float) -> None:
        throttled = len(self._entries) > MAX_UNTHROTTLED_HOLDERS
        changed = self._dirty or limit.amounts != self._divided_for
        if not changed or (throttled and now - self._divided_at < MIN_DIVISION_INTERVAL_S):
            return
        self._divided_at, self._dirty, self._divided_for = now, False, limit.amounts
        nodes = [
            node for node, item in self._entries.items() if item.received_at + GRANT_TTL_S > now
        ]
        columns = [
            _divide_part(
                kind,
                [self._entries[node].in_use[part] for node in nodes],
                [self._entries[node].wanted[part] for node in nodes],
                limit.amounts[part],
                math.inf if part else limit.idle_spare,
            )
            for part, kind in enumerate(self.kinds)
        ]
        self._targets = dict(zip(nodes, zip(*columns, strict=True), strict=True))

    def _should_push(self, node: str, entry: _Entry, limit: Limit) -> bool:
        """Return whether the last grant is above the target, or below it and could grow."""
        last = entry.grants[-1].amounts if entry.grants else self._zero
        target = self._targets.get(node, entry.wanted)
        for part, amount in enumerate(last):
            if amount > target[part] * 1.01:
                return True
            others = self._total[part] - entry.committed[part]
            step = 1.0 if self.kinds[part] == "held" else 0.05 * target[part]
            possible = min(target[part], limit.amounts[part] - others)
            if node in self.short_holders and possible >= amount + step > amount:
                return True
        return False

    def _refill(self, limit: Limit, now: float) -> None:
        caps = [
            max(0.0, amount - total) * BURST_S if kind == "rate" else 0.0
            for kind, amount, total in zip(self.kinds, limit.amounts, self._total, strict=True)
        ]
        if self._pool is None:
            # One complete request must be possible at once, even under a limit below 1/s.
            self._pool = [
                max(cap, 1.0) if kind == "rate" else 0.0
                for kind, cap in zip(self.kinds, caps, strict=True)
            ]
        else:
            elapsed = now - self._pool_at
            self._pool = [
                max(min(level, 1.0), min(cap, level + cap / BURST_S * elapsed))
                for level, cap in zip(self._pool, caps, strict=True)
            ]
        self._pool_at = now

    def _draw_burst(self, wanted: tuple[float, ...]) -> tuple[float, ...]:
        if not any(wanted) or self._pool is None:
            return ()
        drawn = tuple(min(level, want) for level, want in zip(self._pool, wanted, strict=True))
        self._pool = [level - amount for level, amount in zip(self._pool, drawn, strict=True)]
        return drawn


def _last_expiry(entry: _Entry) -> float:
    return max(
        [entry.received_at + GRANT_TTL_S * CLOCK_DRIFT, *(grant.expires for grant in entry.grants)]
    )


def _divide_part(
    kind: Kind, in_use: list[float], wanted: list[float], limit: float, idle_spare: float
) -> list[float]:
    """Return each holder's amount: what is in use, then needs evenly, then a spare amount."""
    floors = [min(*both) for both in zip(in_use, wanted, strict=True)]
    used, needed = sum(floors), sum(wanted)
    integral = kind == "held"
    if used > limit:
        scale = limit / used
        return [math.floor(floor * scale) if integral else floor * scale for floor in floors]
    if needed > limit:
        return _fill_evenly(floors, wanted, limit, integral)
    spare = (limit - needed) * RESERVE_FRACTION / max(len(wanted), 1)
    min_spare = max(limit * MIN_SPARE_FRACTION, 1.0 if integral else 0.0)
    divided = []
    for used, want in zip(in_use, wanted, strict=True):
        extra = min(spare, max(min_spare, want * SPARE_FRACTION))
        if not used:
            extra = min(math.floor(extra) if integral else extra, idle_spare)
            idle_spare -= extra
        divided.append(want + extra)
    return divided


def _fill_evenly(
    floors: list[float], wanted: list[float], limit: float, integral: bool
) -> list[float]:
    """Raise every holder to a common level, bounded by its need, until the limit is reached.

    Parameters
    ----------
    integral
        Whether the amounts have to be integral numbers.
    """
    low, high = 0.0, max(wanted)
    for _ in range(40):
        level = (low + high) / 2
        if sum(max(f, min(w, level)) for f, w in zip(floors, wanted, strict=True)) > limit:
            high = level
        else:
            low = level
    level = float(math.floor(low)) if integral else low
    filled = [max(f, min(w, level)) for f, w in zip(floors, wanted, strict=True)]
    if integral:
        left = int(limit - sum(filled))
        for number, want in enumerate(wanted):
            if left > 0 and filled[number] == level and want > level:
                filled[number] += 1
                left -= 1
    return filled
