"""At most one daemon holds the lease on orders, even with lost or late answers and pauses."""

import unittest
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.controllers.orders import (
    HOLDER_LIMIT_S,
    LEASE_KEY,
    LEASE_S,
    REFRESH_INTERVAL_S,
    RENEW_INTERVAL_S,
    Orders,
)
from lovageway.events import (
    OrderAnswered,
    ReadRows,
    Row,
    SendOrder,
    TableAnswered,
    Transact,
)
from lovageway.messages import Member
from lovageway.model import Order, Vm

STEP_S = 0.5
ORDER = Order("crock-0", "crock", "v2")


class FakeMembership:
    """The part of Membership that Orders uses."""

    def __init__(self, node, nodes):
        self.node = node
        self.vms = (Vm("crock-0", "backend", "crock-llm", "khangai", "127.0.0.1:1"),)
        self._members = [Member(name, "", "", "", 0, "live") for name in nodes]

    def live(self):
        return self._members


class FakeTable:
    """A table service with one row and its revision."""

    def __init__(self):
        self.row = Row({}, 0)

    def answer(self, effect):
        if isinstance(effect, ReadRows):
            return TableAnswered(effect.op_id, "ok", self.rows())
        if effect.conditions != ((LEASE_KEY, self.row.revision),):
            return TableAnswered(effect.op_id, "conflict", self.rows())
        self.row = Row(effect.puts[0][1], self.row.revision + 1)
        return TableAnswered(effect.op_id, "ok", self.rows())

    def rows(self):
        return {LEASE_KEY: self.row} if self.row.revision else {}


class Holder(NamedTuple):
    orders: Orders
    late: list  # answers that are delivered at the next step with "ok"


def build(count):
    nodes = [f"entry-{number}/a" for number in range(count)]
    return [
        Holder(
            Orders(FakeMembership(node, nodes), lambda: {"crock-0": ORDER}, lambda _: "s1", 1.0),
            [],
        )
        for node in nodes
    ]


def step(table, holder, now, fate):
    """Run one step; `fate` is "ok", "paused", or "lost" or "late" for the table's answers."""
    if fate == "paused":
        return []
    effects = []
    for event in holder.late if fate == "ok" else []:
        holder.orders.on_table(event, now, effects.append)
    if fate == "ok":
        holder.late.clear()
    holder.orders.tick(now, effects.append)
    for effect in list(effects):
        if not isinstance(effect, ReadRows | Transact):
            continue
        answer = table.answer(effect)
        if fate == "ok":
            holder.orders.on_table(answer, now, effects.append)
        elif fate == "late":
            holder.late.append(answer)
        else:
            lost = TableAnswered(effect.op_id, "unknown", {})
            holder.orders.on_table(lost, now, effects.append)
    return [effect for effect in effects if isinstance(effect, SendOrder)]


def acquire(table, holder, now):
    """Let a daemon read the row and acquire the lease, confirmed at `now`."""
    step(table, holder, now - RENEW_INTERVAL_S, "ok")
    step(table, holder, now, "ok")


class OrdersTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(
            st.lists(
                st.sampled_from(["ok", "ok", "ok", "paused", "lost", "late"]),
                min_size=3,
                max_size=3,
            ),
            min_size=20,
            max_size=120,
        )
    )
    def test_never_do_two_daemons_hold_the_lease(self, fates):
        # Guards against two daemons that send orders at the same time after a pause or after a lost
        # or late answer of the table service.
        table, holders, fencing = FakeTable(), build(3), 0
        for number, row in enumerate(fates):
            now = number * STEP_S
            sent = []
            for holder, fate in zip(holders, row, strict=True):
                sent += step(table, holder, now, fate)
            self.assertLessEqual(sum(holder.orders.holds_lease(now) for holder in holders), 1)
            for effect in sent:
                self.assertGreaterEqual(effect.fencing, fencing)
                fencing = effect.fencing

    def test_a_successor_takes_over_after_the_lease_with_a_higher_fencing_number(self):
        # Guards against a lease that stays without a holder after its holder died.
        table, (first, second) = FakeTable(), build(2)
        acquire(table, first, 0.0)
        self.assertTrue(first.orders.holds_lease(0.0))
        taken_at = None
        for number in range(40):
            now = 1.0 + number * STEP_S
            step(table, second, now, "ok")
            if second.orders.holds_lease(now):
                taken_at = now
                break
        self.assertIsNotNone(taken_at)
        self.assertGreaterEqual(taken_at, LEASE_S)
        self.assertEqual(table.row.value["fencing"], 2)

    def test_a_holder_that_was_paused_sends_nothing_after_its_limit(self):
        # Guards against orders from a holder whose lease expired while it was paused.
        table, (first, _) = FakeTable(), build(2)
        acquire(table, first, 0.0)
        sent = step(table, first, HOLDER_LIMIT_S, "lost")
        self.assertEqual(sent, [])
        self.assertFalse(first.orders.holds_lease(HOLDER_LIMIT_S))

    def test_a_late_confirmation_counts_from_when_the_renewal_was_sent(self):
        # Guards against a holder that counts its lease from the arrival of a delayed answer.
        table, (holder,) = FakeTable(), build(1)
        step(table, holder, -RENEW_INTERVAL_S, "ok")
        step(table, holder, 0.0, "late")
        effects = []
        holder.orders.on_table(holder.late[0], HOLDER_LIMIT_S + 1, effects.append)
        self.assertFalse(holder.orders.holds_lease(HOLDER_LIMIT_S + 1))

    def test_a_resigned_lease_is_taken_at_once(self):
        # Guards against ten seconds without orders after each planned stop of the holder.
        table, (first, second) = FakeTable(), build(2)
        acquire(table, first, 0.0)
        effects = []
        first.orders.resign(1.0, effects.append)
        table.answer(next(effect for effect in effects if isinstance(effect, Transact)))
        step(table, second, 1.0, "ok")
        step(table, second, 3.0, "ok")
        self.assertTrue(second.orders.holds_lease(3.0))

    def test_loads_keep_to_the_rate_of_the_weight_store(self):
        # Guards against a burst of model loads after a takeover or a pause.
        table, (holder,) = FakeTable(), build(1)
        wanted = {
            f"crock-{number}": ORDER._replace(server_id=f"crock-{number}") for number in range(50)
        }
        vms = tuple(Vm(name, "backend", "crock-llm", "khangai", "x:1") for name in wanted)
        holder.orders._membership.vms = vms
        holder.orders._desired = lambda: wanted
        times = []
        for number in range(120):
            now = number * STEP_S + (30.0 if number > 60 else 0.0)
            times += [now] * len(step(table, holder, now, "ok"))
        self.assertGreater(len(times), 40)
        for start in times:
            self.assertLessEqual(sum(start <= at < start + 10 for at in times), 11)

    def test_an_order_is_repeated_when_the_engine_has_restarted_or_did_not_answer(self):
        # Guards against an engine that lost its order in a restart and keeps the old model.
        table, (holder,) = FakeTable(), build(1)
        start_ids = ["s1"]
        holder.orders._start_id = lambda _: start_ids[0]
        sent = [step(table, holder, number * STEP_S, "ok") for number in range(10)]
        self.assertEqual(sum(map(len, sent)), 1)
        holder.orders.on_answer(OrderAnswered("crock-0", 1, True), 5.0, lambda _: None)
        start_ids[0] = "s2"
        sent = [step(table, holder, 5.0 + number * STEP_S, "ok") for number in range(10)]
        self.assertEqual(sum(map(len, sent)), 1)

    def test_every_engine_gets_its_order_although_repeats_alone_would_use_up_the_rate(self):
        # Guards against engines that never get their first order because repeated orders to other
        # engines use up the rate.
        table, (holder,) = FakeTable(), build(1)
        # At one order a second, all orders take two refresh intervals.
        count = 2 * int(REFRESH_INTERVAL_S)
        wanted = {f"crock-{n}": ORDER._replace(server_id=f"crock-{n}") for n in range(count)}
        holder.orders._membership.vms = tuple(
            Vm(name, "backend", "crock-llm", "khangai", "x:1") for name in wanted
        )
        holder.orders._desired = lambda: wanted
        ordered = set()
        for number in range(int((count + 15) / STEP_S)):
            now = number * STEP_S
            for effect in step(table, holder, now, "ok"):
                ordered.add(effect.server_id)
                answer = OrderAnswered(effect.server_id, effect.fencing, True)
                holder.orders.on_answer(answer, now, lambda _: None)
        self.assertEqual(ordered, set(wanted))

    def test_a_refused_fencing_number_ends_the_lease(self):
        # Guards against a holder that sends orders although an engine has seen its successor's.
        table, (holder,) = FakeTable(), build(1)
        for number in range(4):
            step(table, holder, number * STEP_S, "ok")
        holder.orders.on_answer(OrderAnswered("crock-0", 1, False), 2.0, lambda _: None)
        self.assertFalse(holder.orders.holds_lease(2.0))
