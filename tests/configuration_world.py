"""Configuration controllers, a fake table service and message queues on a simulated clock."""

import copy
import random

from lovageway.controllers._freshness import Policy
from lovageway.controllers.configuration import Configuration
from lovageway.events import (
    ApplyDone,
    ApplyRequested,
    ReadRows,
    Row,
    SendPeer,
    TableAnswered,
    Transact,
)
from lovageway.messages import Ack, Member, Ping, decode, encode
from lovageway.model import Change, Vm
from tests.builders import JAR_ZONES, contract_row, jar_returns_rows

MAX_AGE_S = 3.0


class FakeTable:
    """Rows with revisions; `history` holds the configuration rows of every version."""

    def __init__(self, rows):
        self.rows = {}
        self.revision = 0
        self.history = {0: {}}
        self.committed_at = {0: float("-inf")}  # by version: time of its commit
        self.commits = []  # operation ids, in order of commit
        if rows is not None:
            puts = [("config/head", {"version": 1, "op_id": "seed"})]
            puts += [(f"config/{key}", value) for key, value in rows.items()]
            self.transact(Transact("seed", (("config/head", 0),), tuple(puts)), 0.0)

    def version(self):
        return max(self.history)

    def read(self, effect):
        keys = set(effect.keys)
        if effect.prefix:
            keys |= {key for key in self.rows if key.startswith(effect.prefix)}
        found = {key: copy.deepcopy(self.rows[key]) for key in keys if key in self.rows}
        return TableAnswered(effect.op_id, "ok", found)

    def transact(self, effect, now):
        conflicts = [key for key, rev in effect.conditions if self.revision_of(key) != rev]
        if conflicts:
            return TableAnswered(effect.op_id, "conflict", {})
        self.revision += 1
        for key, value in effect.puts:
            self.rows[key] = Row(copy.deepcopy(value), self.revision)
        for key in effect.deletes:
            self.rows.pop(key, None)
        head = self.rows["config/head"].value
        self.commits.append(head["op_id"])
        self.history[head["version"]] = self.plain_rows()
        self.committed_at[head["version"]] = now
        return TableAnswered(effect.op_id, "ok", {})

    def revision_of(self, key):
        return self.rows[key].revision if key in self.rows else 0

    def plain_rows(self):
        prefixes = ("config/head", "config/log/", "config/op/")
        return {
            key.removeprefix("config/"): copy.deepcopy(row.value)
            for key, row in self.rows.items()
            if not key.startswith(prefixes)
        }


class FakeMembers:
    """Membership of one daemon that always matches the links of the world."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.node = f"vm{number}/{world.epochs[number]}"

    @property
    def vms(self):
        return tuple(
            Vm(f"vm{n}", "entry", "", "gobi", f"a{n}", f"p{n}") for n in range(len(self.world.up))
        )

    def live(self):
        world = self.world
        return [
            Member(f"vm{n}/{world.epochs[n]}", f"a{n}", f"p{n}", "gobi", 0, "live")
            for n in range(len(world.up))
            if n == self.number or world.linked(self.number, n)
        ]

    def has_majority(self):
        return 2 * len(self.live()) > len(self.world.up)


class World:
    """Daemons, links and the table service; each method is a step that a test can select."""

    def __init__(self, size, rows=None, seed=0):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.table = FakeTable(jar_returns_rows() if rows is None else rows)
        self.table_up = True
        self.epochs = [0] * size
        self.up = [True] * size
        self.cut = [False] * size
        self.nodes = [None] * size
        self.messages = []  # (receiver, sender, sender address, bytes)
        self.calls = []  # (daemon, epoch, effect) not yet received by the table service
        self.late_writes = []  # transactions still in transit after the caller timed out
        self.held_answers = []  # answers of the table service that are still in transit
        self.done = []  # ApplyDone effects
        self.effects = []
        self.majority_versions = []  # (time, version) that more than half of the VMs had at once
        for number in range(size):
            self.start(number)

    def start(self, number):
        self.epochs[number] += 1
        self.up[number] = True
        node = Configuration(random.Random(self.rng.random()), Policy(MAX_AGE_S))
        node.connect(FakeMembers(self, number))
        self.nodes[number] = node

    def crash(self, number):
        self.up[number] = False

    def linked(self, one, other):
        return self.up[one] and self.up[other] and not self.cut[one] and not self.cut[other]

    def emit(self, number):
        def emit(effect):
            self.effects.append(effect)
            self.nodes[number].on_send(effect, self.now)
            if isinstance(effect, SendPeer):
                receiver = int(effect.address[1:])
                self.messages.append(
                    (receiver, number, self.epochs[number], encode(effect.message))
                )
            elif isinstance(effect, ReadRows | Transact):
                self.calls.append((number, self.epochs[number], effect))
            elif isinstance(effect, ApplyDone):
                self.done.append(effect)

        return emit

    def tick(self, seconds):
        self.now += seconds
        for number, node in enumerate(self.nodes):
            if self.up[number]:
                node.tick(self.now, self.emit(number))

    def apply(self, number, op_id, changes, base=None):
        if self.up[number]:
            changes = tuple(Change(key, value) for key, value in changes)
            event = ApplyRequested(op_id, changes, base)
            self.nodes[number].on_apply(event, self.now, self.emit(number))

    def ping(self, number, other):
        if self.up[number] and number != other:
            status = self.nodes[number].status(self.now)
            self.emit(number)(SendPeer(f"p{other}", Ping(len(self.effects), *status, ())))

    def deliver(self, index, keep=False):
        receiver, sender, epoch, data = self.messages[index] if keep else self.messages.pop(index)
        if not self.linked(receiver, sender) and not keep:
            return
        if not self.up[receiver] or self.cut[receiver]:
            return
        msg = decode(data)
        node, emit = self.nodes[receiver], self.emit(receiver)
        if isinstance(msg, Ping):
            emit(SendPeer(f"p{sender}", Ack(msg.seq, *node.status(self.now), ())))
        node.on_message(f"vm{sender}/{epoch}", f"p{sender}", msg, self.now, emit)

    def answer(self, index, how="ok"):
        """Process a call of the table service; `how` selects what happens to call and answer."""
        number, epoch, effect = self.calls.pop(index)
        write = isinstance(effect, Transact)
        if not self.table_up or self.cut[number]:
            how = "down"
        if how in ("ok", "hold") or (how == "answer lost" and write):
            found = self.table.transact(effect, self.now) if write else self.table.read(effect)
        if how == "late" and write:
            self.late_writes.append(effect)
        if how == "down" or (how not in ("ok", "hold") and not write):
            found = TableAnswered(effect.op_id, "down", {})
        elif how not in ("ok", "hold"):
            found = TableAnswered(effect.op_id, "unknown", {})
        if how == "hold":
            self.held_answers.append((number, epoch, found))
        else:
            self.deliver_answer(number, epoch, found)

    def deliver_answer(self, number, epoch, found):
        if self.up[number] and self.epochs[number] == epoch:
            self.nodes[number].on_table(found, self.now, self.emit(number))

    def deliver_late(self, index):
        self.table.transact(self.late_writes.pop(index), self.now)

    def run(self, seconds):
        """Run all daemons and deliver all messages; pings are sent in rounds, as by membership."""
        for step in range(round(seconds / 0.05)):
            self.tick(0.05)
            if step % 20 == 0:
                for number in range(len(self.nodes)):
                    self.ping(number, (number + 1 + step // 20) % len(self.nodes))
            for _ in range(3):
                while self.calls:
                    self.answer(0)
                while self.messages:
                    self.deliver(0)

    # ---- invariants -----------------------------------------------------------------------------

    def record_majority(self):
        versions = sorted(
            node.store.version for node, up in zip(self.nodes, self.up, strict=True) if up
        )
        held = versions[-(len(self.nodes) // 2 + 1) :]
        if len(held) > len(self.nodes) // 2:
            self.majority_versions.append((self.now, held[0]))

    def majority_version_before(self, time):
        return max((version for at, version in self.majority_versions if at <= time), default=0)

    def version_at(self, time):
        # Steps at one time of the simulated clock are unordered, so only earlier commits count.
        before = [version for version, at in self.table.committed_at.items() if at < time - 1e-6]
        return max(before, default=0)


def change(number):
    """Return one of a few changes to overlapping rows."""
    zone = JAR_ZONES[number % 3]
    if number % 2:
        return [(f"zone/{zone}", {"name": zone, "region": "r", "enabled": number % 4 == 1})]
    return [("contract/clerks", contract_row(concurrency=number + 1))]


def serving_world(size):
    """Return a world in which all daemons serve requests."""
    world = World(size)
    world.run(3.0)
    assert all(node.may_serve(world.now) is None for node in world.nodes)
    return world
