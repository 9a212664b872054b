"""Shares of limits: this daemon as owner of some resources and as holder of others."""

import hashlib
from collections.abc import Sequence

from lovageway.controllers.base import Controller
from lovageway.controllers.handover import Handovers
from lovageway.controllers.holding import Holding, Shortage
from lovageway.controllers.ledger import Kind, Ledger, Limit
from lovageway.controllers.membership import Membership
from lovageway.controllers.ownership import GRANT_S, Ownership
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

INTERVAL_S = 0.5
LINES_PER_S = 64  # each line costs about 0.1 KB/s with its frame; see docs/measurements/limits.md
MAX_INTERVAL_S = 0.75 * GRANT_S  # a longer interval would let shares in use expire
REBALANCE_INTERVAL_S = 0.1
MAX_LINES = 500  # in one message
FORGET_OWNERS_S = 10.0  # a walk over the owners of 5,200 servers takes 2 ms


class Source:
    """Knows the limits of one kind of resource ("PREFIX:NAME")."""

    kinds: tuple[Kind, ...] = ()
    sends_limits = False  # to holders, with what is committed of them
    has_priority = False  # urgent lines go before others and may overdraw the budget

    def limit(self, name: str, now: float) -> Limit | None:
        """Return the limit as of now, None when nothing may be granted."""
        raise NotImplementedError

    def age(self, name: str, start_id: str, now: float) -> int:
        """Return for how many seconds this daemon has known the start identity."""
        return 0

    def merge_age(self, name: str, start_id: str, age_s: int, now: float) -> None:
        """Learn for how long a holder has known a start identity."""


class Shares(Controller):
    """Grants made as owner and grants held as holder.

    Parameters
    ----------
    membership
        Live daemons.
    """

    def __init__(self, membership: Membership) -> None:
        self.ownership = Ownership(membership)
        self._sources: dict[str, Source] = {}
        self._ledgers: dict[str, Ledger] = {}
        self._holdings: dict[str, Holding] = {}
        self._handovers = Handovers(self.ownership, self._ledgers, self._holdings)
        self._epoch = float("inf")
        self._urgent: set[str] = set()
        self._seq = first_seq(membership.node)
        self._asked: dict[int, tuple[str, float]] = {}  # seq -> resource, time
        self._next_batch = 0.0
        self._next_rebalance = 0.0
        self._next_forget = 0.0
        self._budget = float(LINES_PER_S)
        self._budget_at = 0.0
        self._improved = False

    def register(self, prefix: str, source: Source) -> None:
        """Add the limits of the resources whose names begin with ``prefix:``."""
        self._sources[prefix] = source

    # ---- for filters and other controllers ------------------------------------------------------

    def holding(self, resource: str, now: float) -> Holding:
        """Return this daemon's share of a resource, which then counts as in use for a while."""
        found = self._holdings.get(resource)
        if found is None:
            found = self._holdings[resource] = Holding(self._source(resource).kinds, now)
        return found

    def find_holding(self, resource: str) -> Holding | None:
        """Return this daemon's share of a resource, None when it was not used lately."""
        return self._holdings.get(resource)

    def try_take(
        self, resource: str, key: str, amounts: tuple[float, ...], now: float
    ) -> Shortage | None:
        """Take amounts of every part for the request `key`, or say which part is short.

        A shortage is noted as need under the key; ask again when a grant has arrived.
        """
        found = self.holding(resource, now)
        shortage = found.try_take(key, amounts, now)
        if found.urgent:
            self._urgent.add(resource)
        return shortage

    def note_need(self, resource: str, key: str, amounts: tuple[float, ...], now: float) -> None:
        """Note the need of a waiting request without taking anything."""
        found = self.holding(resource, now)
        found.note_need(key, amounts, now)
        if found.urgent:
            self._urgent.add(resource)

    def total(self, resource: str, now: float) -> tuple[float, ...]:
        """Return what all holders of an owned resource may use, empty when it is not in use."""
        ledger = self._ledgers.get(resource)
        return ledger.total(now) if ledger else ()

    def take(self, resource: str, amounts: tuple[float, ...], now: float) -> None:
        """Take amounts without a check; rates go into debt."""
        self.holding(resource, now).take(amounts, now)

    def release(self, resource: str, amounts: tuple[float, ...]) -> None:
        """Give back the held parts of what was taken."""
        found = self._holdings.get(resource)
        if found is not None:
            found.release(amounts)

    def void(self, resource: str) -> None:
        """Use nothing more of a share until the owner grants it anew."""
        found = self._holdings.get(resource)
        if found is not None:
            found.void()
            self._urgent.add(resource)

    def flush(self, now: float, emit: Emit) -> bool:
        """Send urgent requests; tells whether waiting requests should be tried again."""
        if self._urgent:
            self._sync(now, emit)
            self._refill_budget(now)
            allowed = self._allowed(now)
            self._urgent.difference_update(allowed)
            self._send([name for name in allowed if name in self._holdings], now, emit)
        improved, self._improved = self._improved, False
        return improved

    def _allowed(self, now: float) -> list[str]:
        """Return the urgent resources to ask for now.

        Without its account's share a request is refused, while there are other servers to choose.
        A batch spends the budget of up to 1.5 s at once, so lines of accounts may overdraw it.
        """
        allowed, budget = [], self._budget
        names = sorted(self._urgent, key=lambda name: (not self._source(name).has_priority, name))
        for resource in names:
            holding = self._holdings.get(resource)
            if holding is not None and not holding.may_ask(now):
                continue
            if holding is not None and self.ownership.owner(resource) != self.ownership.node:
                if budget < (1 - LINES_PER_S if self._source(resource).has_priority else 1):
                    continue
                budget -= 1
            allowed.append(resource)
        return allowed

    # ---- events ---------------------------------------------------------------------------------

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Serve requests for shares and for handovers, take grants."""
        self.ownership.record_contact(now)
        match msg:
            case ShareRequest(lines):
                self._sync(now, emit)
                granted = self._serve(sender, lines, now)
                if granted:
                    emit(Count("grant_lines", amount=len(granted)))
                    emit(SendPeer(address, self._short(granted)))
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
                    self._told_age(line.resource, line.start_id, line.age_s, now)
                self._rebalance(now, emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Send the batch of requests, divide anew and drop what is unused."""
        self._sync(now, emit)
        if now >= self._next_rebalance:
            self._next_rebalance = now + REBALANCE_INTERVAL_S
            self._handovers.ask(now, emit)
            self._rebalance(now, emit)
        if now >= self._next_batch:
            self._drop_unused(now)
            own = self.ownership.node
            lines = sum(self.ownership.owner(name) != own for name in self._holdings)
            interval = min(MAX_INTERVAL_S, max(INTERVAL_S, lines / LINES_PER_S))
            self._next_batch = now + interval
            self._urgent.clear()
            self._refill_budget(now)
            self._send(list(self._holdings), now, emit)

    def dump(self, now: float) -> dict[str, object]:
        """Return grants made and held."""
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
            self._told_age(line.resource, line.start_id, line.age_s, now)
            ledger = self._ledger(line.resource, source, now)
            fresh = ledger.request(node, line, now)
            if fresh and ledger.ready:
                granted += self._grant(line.resource, [node], now)
        return granted

    def _ledger(self, resource: str, source: Source, now: float) -> Ledger:
        found = self._ledgers.get(resource)
        if found is None:
            found = self._ledgers[resource] = Ledger(source.kinds)
            found.ready = self.ownership.waited(resource, now)
            if not found.ready:
                found.start_empty_pool(now)
            self._next_rebalance = min(self._next_rebalance, now)
        return found

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
        """Push grants that change before their holders ask again."""
        pushed: dict[str, list[GrantLine]] = {}
        for resource, ledger in self._ledgers.items():
            if not self.ownership.owns(resource):
                continue
            if not ledger.ready:
                ledger.ready = self.ownership.waited(resource, now)
                if not ledger.ready:
                    continue
            limit = self._limit(resource, now)
            if limit is None or not ledger.off(limit):
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
                emit(SendPeer(address, self._short(lines)))

    def _short(self, lines: Sequence[GrantLine]) -> ShareGrant:
        """Return a message without what the holder knows or does not use."""
        short = []
        for line in lines:
            told = self._source(line.resource).sends_limits
            bare = line if told else line._replace(limits=(), committed=())
            short.append(bare._replace(resource=""))
        return ShareGrant(tuple(short))

    def _told_age(self, resource: str, start_id: str, age_s: int, now: float) -> None:
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
        """Take the membership; what was owned before a pause or a gap has to be taken over anew."""
        if self.ownership.fresh(now):
            return
        owned = {name for name in self._ledgers if self.ownership.owns(name)}
        changed = self.ownership.refresh(now)
        epoch = self.ownership.epoch()
        if epoch != self._epoch:
            self._epoch = epoch
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
            self._asked[self._seq] = (resource, now)
            line = holding.line(resource, self._seq, owner, age, now)
            by_owner.setdefault(owner, []).append(line)
        for owner, lines in by_owner.items():
            if owner == self.ownership.node:
                self._accept(owner, self._serve(owner, lines, now), now)
                continue
            self._budget -= len(lines)
            address = self.ownership.address(owner)
            if not address:
                continue
            emit(Count("share_lines", amount=len(lines)))
            for start in range(0, len(lines), MAX_LINES):
                emit(SendPeer(address, ShareRequest(tuple(lines[start : start + MAX_LINES]))))

    def _accept(self, sender: str, lines: Sequence[GrantLine], now: float) -> None:
        for line in lines:
            asked = self._asked.get(line.seq)
            if asked is None or line.resource not in ("", asked[0]):
                continue
            holding = self._holdings.get(asked[0])
            if holding is not None and holding.accept(sender, line, now):
                self._improved = True
                if holding.urgent:
                    self._urgent.add(asked[0])

    def _drop_unused(self, now: float) -> None:
        self._asked = {seq: item for seq, item in self._asked.items() if now - item[1] < GRANT_S}
        for resource, holding in list(self._holdings.items()):
            if holding.unused(now):
                del self._holdings[resource]
        for resource, ledger in list(self._ledgers.items()):
            ledger.total(now)
            if not len(ledger):
                del self._ledgers[resource]
        if now < self._next_forget:
            return
        self._next_forget = now + FORGET_OWNERS_S
        for resource in self.ownership.known() - self._holdings.keys() - self._ledgers.keys():
            if not resource.startswith("server:"):  # servers are looked up all the time
                self.ownership.forget(resource)

    def _refill_budget(self, now: float) -> None:
        level = self._budget + (now - self._budget_at) * LINES_PER_S
        self._budget, self._budget_at = min(float(LINES_PER_S), level), now

    def _source(self, resource: str) -> Source:
        return self._sources[resource.partition(":")[0]]

    def _find_source(self, resource: str) -> Source | None:
        return self._sources.get(resource.partition(":")[0])


def first_seq(node: str) -> int:
    """Return where the sequence numbers of a daemon's lines begin.

    Grants name no resource. A daemon that was restarted at the same address must not take a late
    grant to its predecessor for an answer to one of its own lines.
    """
    return int.from_bytes(hashlib.blake2b(node.encode(), digest_size=4).digest()) >> 1
