"""Handover of shared resources from earlier owners without waiting for grants to expire.

A new owner must not grant before every grant of earlier owners is known or has expired. Waiting for
the expiry takes several seconds, and 1,700 daemons restart on an ordinary day. So the new owner
requests the grants. One answer of the former owner is sufficient when that daemon agrees that it is
no longer the owner; in small fleets the answers of all daemons are sufficient as well.
"""

from typing import NamedTuple

from lovageway.controllers.holding import Holding
from lovageway.controllers.ledger import Ledger
from lovageway.controllers.ownership import Ownership
from lovageway.events import Emit, SendPeer
from lovageway.messages import Handover, HandoverLine, HandoverRequest

REQUEST_INTERVAL_S = 0.25
# Shorter than the time in which a daemon that answered could declare this one dead, wait and grant.
MAX_ANSWER_AGE_S = 1.0


class _Request(NamedTuple):
    sent_at: float
    answered: dict[str, float]  # node -> time of the answer


class Handovers:
    """Handover requests to former owners and answers to new ones.

    Parameters
    ----------
    ownership
        Owners of the resources.
    ledgers, holdings
        State of the shares, keyed by resource; grants of former owners are added to the ledgers.
    """

    def __init__(
        self, ownership: Ownership, ledgers: dict[str, Ledger], holdings: dict[str, Holding]
    ) -> None:
        self._ownership = ownership
        self._ledgers = ledgers
        self._holdings = holdings
        self._requests: dict[str, _Request] = {}
        self._nonce_times: dict[int, float] = {}
        self._nonce = 0
        self._handed_to: dict[str, str] = {}  # resource -> daemon that it was handed over to

    def request_missing(self, now: float, emit: Emit) -> None:
        """Send handover requests for every owned resource that is in use and not ready."""
        resources_by_node: dict[str, list[str]] = {}
        for resource, ledger in self._ledgers.items():
            if ledger.ready or not self._ownership.owns(resource):
                self._requests.pop(resource, None)
                continue
            request = self._requests.get(resource)
            if request is not None and now - request.sent_at < REQUEST_INTERVAL_S:
                continue
            self._requests[resource] = _Request(now, request.answered if request else {})
            self._inherit_own(resource, ledger, now)
            for node in self._ownership.handover_peers(resource):
                resources_by_node.setdefault(node, []).append(resource)
            if self._is_covered(resource, now):
                ledger.ready = True
        if resources_by_node:
            self._nonce_times = {
                n: at for n, at in self._nonce_times.items() if now - at < MAX_ANSWER_AGE_S
            }
            self._nonce += 1
            self._nonce_times[self._nonce] = now
        for node, resources in resources_by_node.items():
            address = self._ownership.address(node)
            if address:
                emit(SendPeer(address, HandoverRequest(self._nonce, tuple(resources))))

    def answer(self, sender: str, msg: HandoverRequest, now: float) -> Handover:
        """Return the state of the requested resources that the sender now owns.

        Resources are omitted when the sender is not their owner in this daemon's view.
        """
        lines = []
        for resource in msg.resources:
            if self._ownership.owner(resource) == sender:
                lines.append(self._line(sender, resource, now))
        return Handover(msg.nonce, tuple(lines))

    def accept(self, sender: str, msg: Handover, now: float) -> None:
        """Apply an answer; a late one is ignored."""
        requested_at = self._nonce_times.get(msg.nonce)
        if requested_at is None or now - requested_at > MAX_ANSWER_AGE_S:
            return
        for line in msg.lines:
            ledger, request = self._ledgers.get(line.resource), self._requests.get(line.resource)
            if ledger is None or request is None or ledger.ready:
                continue
            if not self._ownership.owns(line.resource):
                continue
            if not ledger.inherit(line.holders, line.pool, now):
                continue
            request.answered[sender] = now
            if line.complete or self._is_covered(line.resource, now):
                ledger.ready = True

    def _line(self, sender: str, resource: str, now: float) -> HandoverLine:
        ledger = self._ledgers.get(resource)
        was_owner = self._ownership.was_owner_before(sender, resource, now)
        is_ready = ledger.ready if ledger else self._ownership.earlier_grants_expired(resource, now)
        # A draining daemon does not learn what its first successor grants, so only that successor
        # receives a complete answer.
        successor = (
            self._handed_to.setdefault(resource, sender) if self._ownership.is_leaving() else sender
        )
        complete = was_owner and is_ready and successor == sender and self._ownership.in_contact()
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

    def _is_covered(self, resource: str, now: float) -> bool:
        answered = self._requests[resource].answered
        recent = {node for node, at in answered.items() if now - at <= MAX_ANSWER_AGE_S}
        return self._ownership.is_covered(resource, recent, now)
