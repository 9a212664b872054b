"""Takes shared resources over from earlier owners without waiting for their grants to expire.

A new owner must not grant before every grant of earlier owners is known or has expired. Waiting
takes several seconds, and 1,700 daemons restart on an ordinary day. So the new owner asks: one
answer of the former owner is enough when that daemon agrees that it no longer is the owner; in
small fleets the answers of all daemons are enough as well.
"""

from typing import NamedTuple

from lovageway.controllers.holding import Holding
from lovageway.controllers.ledger import Ledger
from lovageway.controllers.ownership import Ownership
from lovageway.events import Emit, SendPeer
from lovageway.messages import Handover, HandoverLine, HandoverRequest

ASK_INTERVAL_S = 0.25
# Less than it takes a daemon that answered to find this one dead, wait and grant.
ANSWER_MAX_AGE_S = 1.0


class _Asked(NamedTuple):
    at: float
    answered: dict[str, float]  # node -> time of the answer


class Handovers:
    """Asks former owners and answers new ones.

    Parameters
    ----------
    ownership
        Who owns what.
    ledgers, holdings
        State of the shares, keyed by resource; ledgers get what former owners tell.
    """

    def __init__(
        self, ownership: Ownership, ledgers: dict[str, Ledger], holdings: dict[str, Holding]
    ) -> None:
        self._ownership = ownership
        self._ledgers = ledgers
        self._holdings = holdings
        self._asked: dict[str, _Asked] = {}
        self._nonces: dict[int, float] = {}
        self._nonce = 0
        self._given: dict[str, str] = {}  # resource -> daemon it was handed to

    def ask(self, now: float, emit: Emit) -> None:
        """Ask for every resource of this daemon that is in use and not ready."""
        wanted: dict[str, list[str]] = {}
        for resource, ledger in self._ledgers.items():
            if ledger.ready or not self._ownership.owns(resource):
                self._asked.pop(resource, None)
                continue
            asked = self._asked.get(resource)
            if asked is not None and now - asked.at < ASK_INTERVAL_S:
                continue
            self._asked[resource] = _Asked(now, asked.answered if asked else {})
            self._inherit_own(resource, ledger, now)
            for node in self._ownership.to_ask(resource):
                wanted.setdefault(node, []).append(resource)
            if self._covered(resource, now):
                ledger.ready = True
        if wanted:
            self._nonces = {n: at for n, at in self._nonces.items() if now - at < ANSWER_MAX_AGE_S}
            self._nonce += 1
            self._nonces[self._nonce] = now
        for node, resources in wanted.items():
            address = self._ownership.address(node)
            if address:
                emit(SendPeer(address, HandoverRequest(self._nonce, tuple(resources))))

    def answer(self, sender: str, msg: HandoverRequest, now: float) -> Handover:
        """Return what this daemon hands over; resources that it does not agree on are left out."""
        lines = []
        for resource in msg.resources:
            if self._ownership.owner(resource) == sender:
                lines.append(self._line(sender, resource, now))
        return Handover(msg.nonce, tuple(lines))

    def accept(self, sender: str, msg: Handover, now: float) -> None:
        """Take an answer; a late one changes nothing."""
        asked_at = self._nonces.get(msg.nonce)
        if asked_at is None or now - asked_at > ANSWER_MAX_AGE_S:
            return
        for line in msg.lines:
            ledger, asked = self._ledgers.get(line.resource), self._asked.get(line.resource)
            if ledger is None or asked is None or ledger.ready:
                continue
            if not self._ownership.owns(line.resource):
                continue
            if not ledger.inherit(line.holders, line.pool, now):
                continue
            asked.answered[sender] = now
            if line.complete or self._covered(line.resource, now):
                ledger.ready = True

    def _line(self, sender: str, resource: str, now: float) -> HandoverLine:
        ledger = self._ledgers.get(resource)
        mine = self._ownership.was_owner_before(sender, resource, now)
        done = ledger.ready if ledger else self._ownership.waited(resource, now)
        # A leaving daemon is not told what its first successor grants, so it answers only one.
        given = self._given.setdefault(resource, sender) if self._ownership.leaving() else sender
        complete = mine and done and given == sender and self._ownership.in_contact()
        holders = list(ledger.holders(now)) if ledger else []
        holding = self._holdings.get(resource)
        held = holding.fence(sender, now) if holding else None
        if held is not None:
            holders.append(held._replace(node=self._ownership.node))
        pool = ledger.pool() if ledger and complete else ()
        return HandoverLine(resource, complete, tuple(holders), pool)

    def _inherit_own(self, resource: str, ledger: Ledger, now: float) -> None:
        holding = self._holdings.get(resource)
        held = holding.fence(self._ownership.node, now) if holding else None
        if held is not None:
            ledger.inherit((held._replace(node=self._ownership.node),), (), now)

    def _covered(self, resource: str, now: float) -> bool:
        answered = self._asked[resource].answered
        recent = {node for node, at in answered.items() if now - at <= ANSWER_MAX_AGE_S}
        return self._ownership.covered(resource, recent, now)
