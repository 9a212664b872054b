"""Orders to engines: one daemon at a time holds the right to send them, by a lease row.

Safety rests on durations that each daemon measures by its own clock. The holder counts from when
it sent its last confirmed renewal and stops after HOLDER_LIMIT_S; a successor counts from when it
first saw the row's revision and waits LEASE_S, which is longer. Orders are desired states, so a
repeated one changes nothing, and they carry the fencing number for engines that check it.
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
# A daemon that is no candidate ranks all daemons to find out. At each tick this took 0.6 % of a
# core with 390 daemons.
LOOK_INTERVAL_S = 0.5
CANDIDATES = 3  # daemons that watch the row; all 390 would read it 195 times a second
REPEAT_S = 30.0  # repairs an engine that lost an order it had accepted
RETRY_S = 5.0
# Looking through the wanted state of 5,200 engines takes about 2 ms.
IDLE_LOOK_S = 0.5


class _Sent(NamedTuple):
    order: Order
    start_id: str
    at: float
    accepted: bool


class Orders(Controller):
    """Owner of this daemon's view of the lease and of the orders that it sent.

    Parameters
    ----------
    membership
        Tells which daemons are live and where servers are.
    desired
        Returns the wanted state by server id.
    start_id
        Returns a server's start identity, "" when unknown.
    loads_per_s
        Loads a second that the weight store allows.
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
        self._row = Row({}, -1)  # revision -1: not read yet
        self._row_since = 0.0
        self._confirmed_at: float | None = None
        self._fencing = 0
        self._asked_at = -math.inf
        self._next_look = -math.inf
        self._operation = 0
        self._resigned = False
        self._sent: dict[str, _Sent] = {}
        self._bucket = 0.0
        self._bucket_at = 0.0
        self._next_order_look = -math.inf

    def holds(self, now: float) -> bool:
        """Tell whether this daemon may send orders at this moment."""
        return self._confirmed_at is not None and now < self._confirmed_at + HOLDER_LIMIT_S

    def resign(self, now: float, emit: Emit) -> None:
        """Give the lease up at a planned stop, so that a successor need not wait."""
        self._resigned = True
        if self.holds(now):
            self._write("", self._fencing, now, emit)
        self._drop("resigned", emit)

    def tick(self, now: float, emit: Emit) -> None:
        """Renew, watch or take the lease, and send what is due."""
        if self._confirmed_at is not None and not self.holds(now):
            self._drop("not renewed in time", emit)
        due = max(self._asked_at + RENEW_INTERVAL_S, self._next_look)
        if now >= due and not self._resigned:
            self._next_look = now + LOOK_INTERVAL_S
            if self._candidate():
                self._ask(now, emit)
        if self.holds(now):
            self._send_due(now, emit)

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Take the answer to a read or to a write of the lease row."""
        prefix, _, number = event.op_id.partition(":")
        if prefix not in ("orders-read", "orders-write") or event.status in ("unknown", "down"):
            return
        row = event.rows.get(LEASE_KEY, Row({}, 0))
        if row.revision < self._row.revision:
            return
        if row.revision != self._row.revision:
            self._row, self._row_since = row, now
        mine = row.value.get("holder") == self._membership.node
        if prefix == "orders-write" and event.status == "ok" and mine:
            self._confirm(float(number), row, now, emit)
        elif not mine:
            self._drop("another daemon holds it", emit)

    def on_answer(self, event: OrderAnswered, now: float, emit: Emit) -> None:
        """Take an engine's answer to an order."""
        sent = self._sent.get(event.server_id)
        if sent is None or event.fencing != self._fencing:
            return
        if event.accepted:
            self._sent[event.server_id] = sent._replace(accepted=True)
        elif event.accepted is False:
            emit(Count("orders_refused"))
            self._drop("an engine has seen a higher fencing number", emit)

    def dump(self, now: float) -> dict[str, object]:
        """Return lease and orders."""
        return {
            "holds": self.holds(now),
            "fencing": self._fencing,
            "lease": {**self._row.value, "revision": self._row.revision},
            "sent": {
                server: {**item.order._asdict(), "accepted": item.accepted}
                for server, item in self._sent.items()
            },
        }

    def _candidate(self) -> bool:
        nodes = [member.node for member in self._membership.live() if member.state == "live"]
        nodes.sort(key=lambda node: rendezvous_weight(node, LEASE_KEY), reverse=True)
        return self._membership.node in nodes[:CANDIDATES] or self._confirmed_at is not None

    def _ask(self, now: float, emit: Emit) -> None:
        self._asked_at = now
        node, holder = self._membership.node, self._row.value.get("holder")
        if self._row.revision < 0 or (holder and holder != node):
            waited = now - self._row_since >= LEASE_S
            if self._row.revision < 0 or not waited:
                emit(ReadRows(f"orders-read:{now}", (LEASE_KEY,)))
                return
        fencing = self._row.value.get("fencing", 0)
        assert isinstance(fencing, int)
        renewal = holder == node and self._confirmed_at is not None
        self._write(node, fencing if renewal else fencing + 1, now, emit)

    def _write(self, holder: str, fencing: int, now: float, emit: Emit) -> None:
        # The time of sending rides in the operation id: the lease counts from it.
        self._operation += 1
        value: dict[str, object] = {"holder": holder, "fencing": fencing, "op": self._operation}
        conditions = ((LEASE_KEY, self._row.revision),)
        emit(Transact(f"orders-write:{now}", conditions, ((LEASE_KEY, value),)))

    def _confirm(self, sent_at: float, row: Row, now: float, emit: Emit) -> None:
        fencing = row.value["fencing"]
        assert isinstance(fencing, int)
        if self._confirmed_at is None or fencing != self._fencing:
            self._sent.clear()
            # An empty bucket keeps two holders in turn within the weight store's rate.
            self._bucket, self._bucket_at = 0.0, now
            emit(StateChanged("orders_lease_taken", {"fencing": fencing}))
        self._confirmed_at, self._fencing = sent_at, fencing

    def _drop(self, reason: str, emit: Emit) -> None:
        if self._confirmed_at is not None:
            self._confirmed_at = None
            emit(StateChanged("orders_lease_lost", {"reason": reason}))

    def _send_due(self, now: float, emit: Emit) -> None:
        # At most one load may be saved up, so that a pause is not followed by a burst.
        self._bucket = min(1.0, self._bucket + self._loads_per_s * (now - self._bucket_at))
        self._bucket_at = now
        if self._bucket < 1.0 or now < self._next_order_look:
            return
        addresses = self._addresses()
        server_id = self._most_urgent(addresses, now)
        if server_id is None:
            self._next_order_look = now + IDLE_LOOK_S
            return
        self._bucket -= 1.0
        order = self._desired()[server_id]
        self._sent[server_id] = _Sent(order, self._start_id(server_id), now, False)
        body = {**order._asdict(), "fencing": self._fencing}
        emit(SendOrder(server_id, addresses[server_id], self._fencing, body))

    def _most_urgent(self, addresses: Mapping[str, str], now: float) -> str | None:
        """Return the server whose due order was sent longest ago, first those never sent as wanted.

        In any fixed order of servers, repeats to the first ones would use up the rate and the last
        ones would never get their first order.
        """
        due = [
            (self._sent_at(server_id, order), server_id)
            for server_id, order in self._desired().items()
            if server_id in addresses and self._due(server_id, order, now)
        ]
        return min(due)[1] if due else None

    def _addresses(self) -> dict[str, str]:
        return {vm.vm_id: vm.address for vm in self._membership.vms if vm.state == "live"}

    def _sent_at(self, server_id: str, order: Order) -> float:
        sent = self._sent.get(server_id)
        if sent is None or sent.order != order or sent.start_id != self._start_id(server_id):
            return -math.inf
        return sent.at

    def _due(self, server_id: str, order: Order, now: float) -> bool:
        sent_at = self._sent_at(server_id, order)
        if sent_at == -math.inf:
            return True
        return now - sent_at >= (REPEAT_S if self._sent[server_id].accepted else RETRY_S)
