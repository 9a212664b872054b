"""Orders to engines, sent by the one daemon that holds a lease in the table service.

The lease is safe without synchronized clocks, because each daemon measures durations by its own
clock. The holder counts from when it sent its last confirmed renewal and stops after
HOLDER_LIMIT_S. A successor counts from when it first saw the row's current revision and waits
LEASE_S, which is longer. Orders are desired states, so a repeated order changes nothing. Each one
carries the holder's fencing number for engines that check it.
"""

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from lovageway.controllers.base import Controller
from lovageway.controllers.membership import Membership, rendezvous_weight
from lovageway.events import (
    Count,
    Emit,
    OrderAnswered,
    ReadRows,
    Row,
    SendOrder,
    StateChanged,
    TableAnswered,
    Transact,
)
from lovageway.model import Order

LEASE_KEY = "lease/orders"
LEASE_S = 10.0
HOLDER_LIMIT_S = 6.0
RENEW_INTERVAL_S = 2.0
# To see whether it is a candidate, a daemon ranks all live daemons. With 390 daemons, ranking at
# each tick took 0.6 % of a core.
LEASE_CHECK_INTERVAL_S = 0.5
MAX_CANDIDATES = 3  # daemons that poll the row; 390 of them would read it 195 times a second
REFRESH_INTERVAL_S = 30.0  # restores an order that an engine accepted and then lost
RETRY_INTERVAL_S = 5.0  # of an order that has not been accepted
# A check of the desired state of 5,200 engines takes about 2 ms.
IDLE_ORDER_CHECK_INTERVAL_S = 0.5


class _SentOrder(NamedTuple):
    order: Order
    start_id: str
    at: float
    accepted: bool


class Orders(Controller):
    """The lease as last seen by this daemon, and the orders that it has sent.

    Parameters
    ----------
    membership
        Provides the live daemons and the addresses of servers.
    desired
        Returns the desired state by server id.
    start_id
        Returns a server's start identity, "" when unknown.
    loads_per_s
        Number of model loads per second that the weight store allows.
    """

    def __init__(
        self,
        membership: Membership,
        desired: Callable[[], Mapping[str, Order]],
        start_id: Callable[[str], str],
        loads_per_s: float,
    ) -> None:
        self._membership = membership
        self._desired = desired
        self._start_id = start_id
        self._loads_per_s = loads_per_s
        self._row = Row({}, -1)  # revision -1: the row has not been read yet
        self._row_seen_at = 0.0
        self._confirmed_at: float | None = None
        self._fencing = 0
        self._requested_at = -math.inf
        self._next_lease_check = -math.inf
        self._operation = 0
        self._resigned = False
        self._sent: dict[str, _SentOrder] = {}
        self._load_tokens = 0.0
        self._load_tokens_at = 0.0
        self._next_order_check = -math.inf

    def holds_lease(self, now: float) -> bool:
        """Return whether this daemon may send orders at this moment."""
        return self._confirmed_at is not None and now < self._confirmed_at + HOLDER_LIMIT_S

    def resign(self, now: float, emit: Emit) -> None:
        """Give up the lease at a planned stop, so that a successor need not wait for its expiry."""
        self._resigned = True
        if self.holds_lease(now):
            self._write_lease("", self._fencing, now, emit)
        self._lose_lease("resigned", emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Renew, poll or acquire the lease, and send the next order while it is held."""
        if self._confirmed_at is not None and not self.holds_lease(now):
            self._lose_lease("not renewed in time", emit)
        next_check = max(self._requested_at + RENEW_INTERVAL_S, self._next_lease_check)
        if now >= next_check and not self._resigned:
            self._next_lease_check = now + LEASE_CHECK_INTERVAL_S
            if self._is_candidate():
                self._request_lease(now, emit)
        if self.holds_lease(now):
            self._send_next_order(now, emit)

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Process the answer to a read or to a write of the lease row."""
        prefix, _, number = event.op_id.partition(":")
        if prefix not in ("orders-read", "orders-write") or event.status in ("unknown", "down"):
            return
        row = event.rows.get(LEASE_KEY, Row({}, 0))
        if row.revision < self._row.revision:
            return
        if row.revision != self._row.revision:
            self._row, self._row_seen_at = row, now
        is_holder = row.value.get("holder") == self._membership.node
        if prefix == "orders-write" and event.status == "ok" and is_holder:
            self._confirm_lease(float(number), row, now, emit)
        elif not is_holder:
            self._lose_lease("another daemon holds it", emit)

    def on_answer(self, event: OrderAnswered, now: float, emit: Emit) -> None:
        """Process an engine's answer to an order."""
        sent = self._sent.get(event.server_id)
        if sent is None or event.fencing != self._fencing:
            return
        if event.accepted:
            self._sent[event.server_id] = sent._replace(accepted=True)
        elif event.accepted is False:
            emit(Count("orders_refused"))
            self._lose_lease("an engine has seen a higher fencing number", emit)

    def dump(self, now: float) -> dict[str, object]:
        """Return the lease and the orders that were sent."""
        return {
            "holds": self.holds_lease(now),
            "fencing": self._fencing,
            "lease": {**self._row.value, "revision": self._row.revision},
            "sent": {
                server: {**item.order._asdict(), "accepted": item.accepted}
                for server, item in self._sent.items()
            },
        }

    def _is_candidate(self) -> bool:
        nodes = [member.node for member in self._membership.live() if member.state == "live"]
        nodes.sort(key=lambda node: rendezvous_weight(node, LEASE_KEY), reverse=True)
        return self._membership.node in nodes[:MAX_CANDIDATES] or self._confirmed_at is not None

    def _request_lease(self, now: float, emit: Emit) -> None:
        self._requested_at = now
        node, holder = self._membership.node, self._row.value.get("holder")
        if self._row.revision < 0 or (holder and holder != node):
            lease_expired = now - self._row_seen_at >= LEASE_S
            if self._row.revision < 0 or not lease_expired:
                emit(ReadRows(f"orders-read:{now}", (LEASE_KEY,)))
                return
        fencing = self._row.value.get("fencing", 0)
        assert isinstance(fencing, int)
        renewal = holder == node and self._confirmed_at is not None
        self._write_lease(node, fencing if renewal else fencing + 1, now, emit)

    def _write_lease(self, holder: str, fencing: int, now: float, emit: Emit) -> None:
        # The operation id contains the time of sending, from which the holder counts its lease.
        self._operation += 1
        value: dict[str, object] = {"holder": holder, "fencing": fencing, "op": self._operation}
        conditions = ((LEASE_KEY, self._row.revision),)
        emit(Transact(f"orders-write:{now}", conditions, ((LEASE_KEY, value),)))

    def _confirm_lease(self, sent_at: float, row: Row, now: float, emit: Emit) -> None:
        fencing = row.value["fencing"]
        assert isinstance(fencing, int)
        if self._confirmed_at is None or fencing != self._fencing:
            self._sent.clear()
            # Starting with an empty bucket keeps two successive holders within the weight store's
            # rate.
            self._load_tokens, self._load_tokens_at = 0.0, now
            emit(StateChanged("orders_lease_taken", {"fencing": fencing}))
        self._confirmed_at, self._fencing = sent_at, fencing

    def _lose_lease(self, reason: str, emit: Emit) -> None:
        if self._confirmed_at is not None:
            self._confirmed_at = None
            emit(StateChanged("orders_lease_lost", {"reason": reason}))

    def _send_next_order(self, now: float, emit: Emit) -> None:
        # The bucket holds at most one load, so that a pause is not followed by a burst.
        self._load_tokens = min(
            1.0, self._load_tokens + self._loads_per_s * (now - self._load_tokens_at)
        )
        self._load_tokens_at = now
        if self._load_tokens < 1.0 or now < self._next_order_check:
            return
        addresses = self._addresses()
        server_id = self._select_due_server(addresses, now)
        if server_id is None:
            self._next_order_check = now + IDLE_ORDER_CHECK_INTERVAL_S
            return
        self._load_tokens -= 1.0
        order = self._desired()[server_id]
        self._sent[server_id] = _SentOrder(order, self._start_id(server_id), now, False)
        body = {**order._asdict(), "fencing": self._fencing}
        emit(SendOrder(server_id, addresses[server_id], self._fencing, body))

    def _select_due_server(self, addresses: Mapping[str, str], now: float) -> str | None:
        """Return the server whose due order was sent longest ago, None when no order is due.

        An order that was never sent in its present form comes first. With any fixed sequence of
        servers, refreshes of the first ones would use up the rate and the last ones would never
        get their first order.
        """
        due_orders = [
            (self._last_sent_at(server_id, order), server_id)
            for server_id, order in self._desired().items()
            if server_id in addresses and self._is_due(server_id, order, now)
        ]
        return min(due_orders)[1] if due_orders else None

    def _addresses(self) -> dict[str, str]:
        return {vm.vm_id: vm.address for vm in self._membership.vms if vm.state == "live"}

    def _last_sent_at(self, server_id: str, order: Order) -> float:
        sent = self._sent.get(server_id)
        if sent is None or sent.order != order or sent.start_id != self._start_id(server_id):
            return -math.inf
        return sent.at

    def _is_due(self, server_id: str, order: Order, now: float) -> bool:
        sent_at = self._last_sent_at(server_id, order)
        if sent_at == -math.inf:
            return True
        return now - sent_at >= (
            REFRESH_INTERVAL_S if self._sent[server_id].accepted else RETRY_INTERVAL_S
        )
