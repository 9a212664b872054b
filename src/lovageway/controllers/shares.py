"""Shares of limits, by which all daemons together keep to the limits of each resource.

A resource is a client account or a backend server. One daemon, its owner, divides its limits among
the daemons that use it, the holders. It assigns their shares by grants that expire.
"""

import hashlib
from collections.abc import Sequence

from lovageway.controllers.base import Controller
from lovageway.controllers.handover import Handovers
from lovageway.controllers.holding import Holding, Shortage
from lovageway.controllers.ledger import Kind, Ledger, Limit
from lovageway.controllers.membership import Membership
from lovageway.controllers.ownership import GRANT_TTL_S, Ownership
from lovageway.events import Count, Emit, SendPeer, StateChanged
from lovageway.messages import (
    GrantLine,
    Handover,
    HandoverLine,
    HandoverRequest,
    Message,
    ShareGrant,
    ShareLine,
    ShareRequest,
)

MIN_BATCH_INTERVAL_S = 0.5
# A line requests the share of one resource; a message has several. A line per second costs about
# 0.1 KB/s with the framing of its message; see docs/measurements/limits.md.
MAX_LINES_PER_S = 64
MAX_BATCH_INTERVAL_S = 0.75 * GRANT_TTL_S  # a longer interval would let shares in use expire
REBALANCE_INTERVAL_S = 0.1
MAX_LINES = 500  # in one message
FORGET_OWNERS_INTERVAL_S = 10.0  # iterating over the owners of 5,200 servers takes 2 ms


class Source:
    """Limits of one kind of resource, whose names have the form "PREFIX:NAME"."""

    kinds: tuple[Kind, ...] = ()
    sends_limits = False  # whether grants carry the limits and the committed amounts to holders
    has_priority = False  # whether urgent lines go before others and may overdraw the line budget

    def limit(self, name: str, now: float) -> Limit | None:
        """Return the limit as of now, or None when nothing may be granted."""
        raise NotImplementedError

    def age(self, name: str, start_id: str, now: float) -> int:
        """Return how long this daemon has known a server's run `start_id`, in seconds."""
        return 0

    def merge_age(self, name: str, start_id: str, age_s: int, now: float) -> None:
        """Record how long a holder has known a server's run `start_id`, in seconds."""


class Shares(Controller):
    """Grants made as owner and grants held as holder.

    Parameters
    ----------
    membership
        Source of the live daemons, from which owners are chosen.
    """

    def __init__(self, membership: Membership) -> None:
        self.ownership = Ownership(membership)
        self._sources: dict[str, Source] = {}
        self._ledgers: dict[str, Ledger] = {}
        self._holdings: dict[str, Holding] = {}
        self._handovers = Handovers(self.ownership, self._ledgers, self._holdings)
        self._contact_since = float("inf")
        self._urgent: set[str] = set()
        self._seq = first_seq(membership.node)
        self._sent_requests: dict[int, tuple[str, float]] = {}  # seq -> (resource, time)
        self._next_batch_at = 0.0
        self._next_rebalance_at = 0.0
        self._next_forget_at = 0.0
        self._line_budget = float(MAX_LINES_PER_S)
        self._budget_updated_at = 0.0
        self._retry_waiting = False

    def register(self, prefix: str, source: Source) -> None:
        """Add the limits of the resources whose names begin with ``prefix:``."""
        self._sources[prefix] = source

    # ---- interface for filters and other controllers --------------------------------------------

    def get_or_create_holding(self, resource: str, now: float) -> Holding:
        """Return this daemon's holding of a resource; create it if it is new or was dropped."""
        holding = self._holdings.get(resource)
        if holding is None:
            holding = self._holdings[resource] = Holding(self._source(resource).kinds, now)
        return holding

    def find_holding(self, resource: str) -> Holding | None:
        """Return this daemon's holding of a resource, or None when it was not used lately."""
        return self._holdings.get(resource)

    def try_take(
        self, resource: str, key: str, amounts: tuple[float, ...], now: float
    ) -> Shortage | None:
        """Take the amount of each part for the request `key`, or return which part is short.

        On a shortage nothing is taken and the amounts are recorded as the request's need; the
        caller tries again when a grant has arrived.
        """
        holding = self.get_or_create_holding(resource, now)
        shortage = holding.try_take(key, amounts, now)
        if holding.urgent:
            self._urgent.add(resource)
        return shortage

    def record_need(self, resource: str, key: str, amounts: tuple[float, ...], now: float) -> None:
        """Record the need of a waiting request without taking anything."""
        holding = self.get_or_create_holding(resource, now)
        holding.record_need(key, amounts, now)
        if holding.urgent:
            self._urgent.add(resource)

    def total(self, resource: str, now: float) -> tuple[float, ...]:
        """Return what all holders of an owned resource may use, or () when it is not in use."""
        ledger = self._ledgers.get(resource)
        return ledger.total(now) if ledger else ()

    def take(self, resource: str, amounts: tuple[float, ...], now: float) -> None:
        """Take amounts without a check; the levels of rates may become negative."""
        self.get_or_create_holding(resource, now).take(amounts, now)

    def release(self, resource: str, amounts: tuple[float, ...]) -> None:
        """Release the parts of kind "held" that were taken."""
        holding = self._holdings.get(resource)
        if holding is not None:
            holding.release(amounts)

    def invalidate(self, resource: str) -> None:
        """Treat a share as expired until the owner grants it again."""
        holding = self._holdings.get(resource)
        if holding is not None:
            holding.invalidate()
            self._urgent.add(resource)

    def flush(self, now: float, emit: Emit) -> bool:
        """Send urgent lines; return whether a grant arrived, so that requests may be retried."""
        if self._urgent:
            self._sync(now, emit)
            self._refill_budget(now)
            allowed = self._choose_urgent(now)
            self._urgent.difference_update(allowed)
            self._send([name for name in allowed if name in self._holdings], now, emit)
        retry_waiting, self._retry_waiting = self._retry_waiting, False
        return retry_waiting

    def _choose_urgent(self, now: float) -> list[str]:
        """Return the urgent resources to request now.

        Lines of accounts come first, because a request without its account's share is refused,
        while one without a server's share can use another server. They may also overdraw the
        budget, because a batch spends the budget of up to 1.5 s at once.
        """
        allowed, budget = [], self._line_budget
        names = sorted(self._urgent, key=lambda name: (not self._source(name).has_priority, name))
        for resource in names:
            holding = self._holdings.get(resource)
            if holding is not None and not holding.can_request(now):
                continue
            if holding is not None and self.ownership.owner(resource) != self.ownership.node:
                if budget < (1 - MAX_LINES_PER_S if self._source(resource).has_priority else 1):
                    continue
                budget -= 1
            allowed.append(resource)
        return allowed

    # ---- events ---------------------------------------------------------------------------------

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Answer requests for shares and handovers; accept grants and handovers."""
        self.ownership.record_contact(now)
        match msg:
            case ShareRequest(lines):
                self._sync(now, emit)
                granted = self._serve(sender, lines, now)
                if granted:
                    emit(Count("grant_lines", amount=len(granted)))
                    emit(SendPeer(address, self._compact(granted)))
            case ShareGrant(lines):
                self._accept(sender, lines, now)
            case HandoverRequest():
                self._sync(now, emit)
                answer = self._handovers.answer(sender, msg, now)
                aged = tuple(self._with_age(line, now) for line in answer.lines)
                emit(SendPeer(address, Handover(msg.nonce, aged)))
            case Handover():
                self._sync(now, emit)
                self._handovers.accept(sender, msg, now)
                for line in msg.lines:
                    self._merge_age(line.resource, line.start_id, line.age_s, now)
                self._rebalance(now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Send the batch of requests, divide limits again and drop unused shares."""
        self._sync(now, emit)
        if now >= self._next_rebalance_at:
            self._next_rebalance_at = now + REBALANCE_INTERVAL_S
            self._handovers.request_missing(now, emit)
            self._rebalance(now, emit)
        if now >= self._next_batch_at:
            self._drop_unused(now)
            own = self.ownership.node
            lines = sum(self.ownership.owner(name) != own for name in self._holdings)
            interval = min(MAX_BATCH_INTERVAL_S, max(MIN_BATCH_INTERVAL_S, lines / MAX_LINES_PER_S))
            self._next_batch_at = now + interval
            self._urgent.clear()
            self._refill_budget(now)
            self._send(list(self._holdings), now, emit)

    def dump(self, now: float) -> dict[str, object]:
        """Return state for diagnostics: grants made and held."""
        return {
            "in_contact": self.ownership.in_contact(),
            "owned": {name: ledger.dump(now) for name, ledger in self._ledgers.items()},
            "held": {name: item.dump(now) for name, item in self._holdings.items()},
        }

    # ---- owner ----------------------------------------------------------------------------------

    def _serve(self, node: str, lines: Sequence[ShareLine], now: float) -> list[GrantLine]:
        granted = []
        for line in lines:
            source = self._find_source(line.resource)
            if source is None or not self.ownership.owns(line.resource):
                continue
            columns = (line.in_use, line.wanted, line.burst or line.in_use)
            if any(len(column) != len(source.kinds) for column in columns):
                continue
            self._merge_age(line.resource, line.start_id, line.age_s, now)
            ledger = self._ledger(line.resource, source, now)
            fresh = ledger.request(node, line, now)
            if fresh and ledger.ready:
                granted += self._grant(line.resource, [node], now)
        return granted

    def _ledger(self, resource: str, source: Source, now: float) -> Ledger:
        ledger = self._ledgers.get(resource)
        if ledger is None:
            ledger = self._ledgers[resource] = Ledger(source.kinds)
            ledger.ready = self.ownership.earlier_grants_expired(resource, now)
            if not ledger.ready:
                ledger.empty_pool(now)
            self._next_rebalance_at = min(self._next_rebalance_at, now)
        return ledger

    def _grant(self, resource: str, nodes: Sequence[str], now: float) -> list[GrantLine]:
        limit = self._limit(resource, now)
        if limit is None:
            return []
        ledger = self._ledgers[resource]
        return [ledger.grant(node, limit, now)._replace(resource=resource) for node in nodes]

    def _limit(self, resource: str, now: float) -> Limit | None:
        prefix, _, name = resource.partition(":")
        return self._sources[prefix].limit(name, now)

    def _rebalance(self, now: float, emit: Emit) -> None:
        """Push changed grants to holders before their next request."""
        pushed: dict[str, list[GrantLine]] = {}
        for resource, ledger in self._ledgers.items():
            if not self.ownership.owns(resource):
                continue
            if not ledger.ready:
                ledger.ready = self.ownership.earlier_grants_expired(resource, now)
                if not ledger.ready:
                    continue
            limit = self._limit(resource, now)
            if limit is None or not ledger.needs_rebalance(limit):
                continue
            for node in ledger.rebalance(limit, now):
                pushed.setdefault(node, []).extend(self._grant(resource, [node], now))
        for node, lines in pushed.items():
            if node == self.ownership.node:
                self._accept(node, lines, now)
                continue
            address = self.ownership.address(node)
            if address:
                emit(Count("grant_lines", amount=len(lines)))
                emit(SendPeer(address, self._compact(lines)))

    def _compact(self, lines: Sequence[GrantLine]) -> ShareGrant:
        """Return a message without the fields that the holder does not need."""
        compact = []
        for line in lines:
            sends_limits = self._source(line.resource).sends_limits
            kept = line if sends_limits else line._replace(limits=(), committed=())
            compact.append(kept._replace(resource=""))
        return ShareGrant(tuple(compact))

    def _merge_age(self, resource: str, start_id: str, age_s: int, now: float) -> None:
        source = self._find_source(resource)
        if source is not None and start_id:
            source.merge_age(resource.partition(":")[2], start_id, age_s, now)

    def _with_age(self, line: HandoverLine, now: float) -> HandoverLine:
        source = self._find_source(line.resource)
        limit = self._limit(line.resource, now) if source else None
        if source is None or limit is None or not limit.start_id:
            return line
        age = source.age(line.resource.partition(":")[2], limit.start_id, now)
        return line._replace(start_id=limit.start_id, age_s=age)

    def _sync(self, now: float, emit: Emit) -> None:
        """Apply the membership; after a pause or loss of contact resources are taken over again."""
        if self.ownership.is_fresh(now):
            return
        owned = {name for name in self._ledgers if self.ownership.owns(name)}
        changed = self.ownership.refresh(now)
        contact_since = self.ownership.contact_since()
        if contact_since != self._contact_since:
            self._contact_since = contact_since
            for ledger in self._ledgers.values():
                ledger.ready = False
            emit(StateChanged("owner_contact", {"in_contact": self.ownership.in_contact()}))
        elif changed:
            for name, ledger in self._ledgers.items():
                if name not in owned and self.ownership.owns(name):
                    ledger.ready = False

    # ---- holder ---------------------------------------------------------------------------------

    def _send(self, resources: Sequence[str], now: float, emit: Emit) -> None:
        by_owner: dict[str, list[ShareLine]] = {}
        for resource in resources:
            owner = self.ownership.owner(resource)
            source = self._source(resource)
            holding = self._holdings[resource]
            age = source.age(resource.partition(":")[2], holding.start_id, now)
            self._seq += 1
            self._sent_requests[self._seq] = (resource, now)
            line = holding.request_line(resource, self._seq, owner, age, now)
            by_owner.setdefault(owner, []).append(line)
        for owner, lines in by_owner.items():
            if owner == self.ownership.node:
                self._accept(owner, self._serve(owner, lines, now), now)
                continue
            self._line_budget -= len(lines)
            address = self.ownership.address(owner)
            if not address:
                continue
            emit(Count("share_lines", amount=len(lines)))
            for start in range(0, len(lines), MAX_LINES):
                emit(SendPeer(address, ShareRequest(tuple(lines[start : start + MAX_LINES]))))

    def _accept(self, sender: str, lines: Sequence[GrantLine], now: float) -> None:
        for line in lines:
            request = self._sent_requests.get(line.seq)
            if request is None or line.resource not in ("", request[0]):
                continue
            holding = self._holdings.get(request[0])
            if holding is not None and holding.accept(sender, line, now):
                self._retry_waiting = True
                if holding.urgent:
                    self._urgent.add(request[0])

    def _drop_unused(self, now: float) -> None:
        """Drop holdings without use for `holding.UNUSED_S` and ledgers without holders."""
        self._sent_requests = {
            seq: item for seq, item in self._sent_requests.items() if now - item[1] < GRANT_TTL_S
        }
        for resource, holding in list(self._holdings.items()):
            if holding.is_unused(now):
                del self._holdings[resource]
        for resource, ledger in list(self._ledgers.items()):
            ledger.total(now)
            if not len(ledger):
                del self._ledgers[resource]
        if now < self._next_forget_at:
            return
        self._next_forget_at = now + FORGET_OWNERS_INTERVAL_S
        for resource in self.ownership.resources() - self._holdings.keys() - self._ledgers.keys():
            if not resource.startswith("server:"):  # owners of servers are always needed
                self.ownership.forget(resource)

    def _refill_budget(self, now: float) -> None:
        level = self._line_budget + (now - self._budget_updated_at) * MAX_LINES_PER_S
        self._line_budget, self._budget_updated_at = min(float(MAX_LINES_PER_S), level), now

    def _source(self, resource: str) -> Source:
        return self._sources[resource.partition(":")[0]]

    def _find_source(self, resource: str) -> Source | None:
        return self._sources.get(resource.partition(":")[0])


def first_seq(node: str) -> int:
    """Return the first sequence number of a daemon's lines, derived from its node id.

    Grants name no resource, only a sequence number. A daemon restarted at the same address must not
    mistake a late grant to its predecessor for an answer to one of its own lines.
    """
    return int.from_bytes(hashlib.blake2b(node.encode(), digest_size=4).digest()) >> 1
