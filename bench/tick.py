"""CPU and memory of one daemon's control work by fleet size: ``python -m bench.tick --help``.

Drives one `Node` with a simulated clock and without sockets: ticks, pings that peers answer at
once, the VM list, the head of the configuration, and load reports of its servers. The state
has the target's proportions of 13.3 servers and 20 accounts for each daemon. The smallest size is
the baseline. The figures exclude the work of adapters (sockets, msgpack, HTTP).
"""

import argparse
import random
import time
import tracemalloc
from collections import Counter, defaultdict

from tests.builders import contract_row, jar_returns_rows

from lovageway.events import (
    LoadRead,
    PeerMessage,
    ReadLoad,
    ReadRows,
    ReadVmList,
    Row,
    SendPeer,
    TableAnswered,
    Tick,
    VmListRead,
)
from lovageway.messages import Ack, Member, Members, Ping
from lovageway.model import Identity, LoadReport, Vm
from lovageway.node import Node

TICK_S = 0.05
SERVERS_PER_DAEMON = 5200 / 390
ACCOUNTS_PER_DAEMON = 7700 / 390
ZONES = 10
MEMBERS_PER_MESSAGE = 64


class World:
    """Answers the effects of one node as a fleet of `daemons` would."""

    def __init__(self, daemons: int) -> None:
        me = Identity("entry-0", "s", "zone-0", "10.0.0.0:1", "10.0.0.0:2")
        self.node = Node(me, random.Random(1))
        self.peers = {
            f"10.0.0.{number}:2": Member(
                f"entry-{number}/s", f"10.0.0.{number}:1", f"10.0.0.{number}:2",
                f"zone-{number % ZONES}", 0, "live",
            )
            for number in range(1, daemons)
        }  # fmt: skip
        entries = [
            Vm(f"entry-{n}", "entry", "", f"zone-{n % ZONES}", f"10.0.0.{n}:1", f"10.0.0.{n}:2")
            for n in range(daemons)
        ]
        servers = [
            Vm(f"crock-{n}", "backend", "crock-llm", f"zone-{n % ZONES}", f"10.1.0.{n}:1")
            for n in range(round(daemons * SERVERS_PER_DAEMON))
        ]
        self.vms = tuple(entries + servers)
        rows = jar_returns_rows()
        for number in range(round(daemons * ACCOUNTS_PER_DAEMON)):
            rows[f"contract/account-{number}"] = contract_row(f"account-{number}")
        self.rows = {f"config/{key}": Row(value, 1) for key, value in rows.items()}
        self.rows["config/head"] = Row({"version": 1, "op_id": "first"}, 1)
        self.effects = Counter()

    def join(self) -> None:
        """Send the node the member entries of all daemons."""
        members = list(self.peers.values())
        for start in range(0, len(members), MEMBERS_PER_MESSAGE):
            page = Members(tuple(members[start : start + MEMBERS_PER_MESSAGE]))
            sender = members[0]
            self.deliver(PeerMessage(sender.node, sender.peer_address, page), 0.0)

    def deliver(self, event: object, now: float) -> None:
        """Pass an event to the node and answer the effects that it emits."""
        for effect in self.node.handle(event, now):
            self.effects[type(effect).__name__] += 1
            answer = self.answer(effect)
            if answer is not None:
                self.deliver(answer, now)

    def answer(self, effect: object) -> object:
        """Return the event that answers an effect, None if it has no answer."""
        match effect:
            case ReadVmList():
                return VmListRead(self.vms)
            case ReadRows(op_id, keys, prefix):
                selected = self.rows if prefix else {key: self.rows.get(key) for key in keys}
                return TableAnswered(op_id, "ok", {k: row for k, row in selected.items() if row})
            case ReadLoad(server_id, _):
                return LoadRead(server_id, LoadReport("a", 4, 0, 4000, 16000))
            case SendPeer(address, Ping(seq, version, _, _)) if address in self.peers:
                piggybacked = tuple(random.Random(seq).sample(list(self.peers.values()), 3))
                ack = Ack(seq, version, 0.5, piggybacked)
                return PeerMessage(self.peers[address].node, address, ack)
        return None


def measure(daemons: int, seconds: float) -> str:
    """Print one row of the table and return the CPU of the controllers with the costliest ticks."""
    tracemalloc.start()
    world = World(daemons)
    before = tracemalloc.get_traced_memory()[0]
    world.join()
    now = 0.0
    while now < 10.0:  # until everything has been read once
        now += TICK_S
        world.deliver(Tick(), now)
    memory = (tracemalloc.get_traced_memory()[0] - before) / 1e6
    tracemalloc.stop()
    spent = instrument_ticks(world.node)
    began, until = time.process_time(), now + seconds
    while now < until:
        now += TICK_S
        world.deliver(Tick(), now)
    cpu = time.process_time() - began
    node = world.node
    owned = sum(node.shares.ownership.owns(f"server:crock-{n}") for n in range(len(world.vms)))
    assert node.configuration.snapshot.version == 1, "the configuration was not read"
    print(
        f"| {daemons} | {len(world.vms) - daemons} | {len(node.configuration.snapshot.contracts)} |"
        f" {owned} | {100 * cpu / seconds:.2f} | {memory:.1f} |"
    )
    shown = sorted(spent.items(), key=lambda item: -item[1])[:5]
    return ", ".join(f"{name} {100 * used / seconds:.2f}" for name, used in shown)


def instrument_ticks(node: Node) -> dict[str, float]:
    """Wrap each controller's tick; return a dictionary to which the wrappers add their seconds."""
    spent: dict[str, float] = defaultdict(float)
    for name, item in node._controllers.items():

        def timed(now, emit, name=name, tick=item.tick):
            began = time.perf_counter()
            tick(now, emit)
            spent[name] += time.perf_counter() - began

        item.tick = timed
    return spent


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--daemons", type=int, nargs="+", default=[8, 98, 195, 390])
    parser.add_argument("--seconds", type=float, default=20.0, help="simulated")
    args = parser.parse_args()
    print(f"{vars(args)}\n")
    print("| daemons | servers | accounts | owned | CPU % of a core | memory MB |")
    print("|---|---|---|---|---|---|")
    notes = [(daemons, measure(daemons, args.seconds)) for daemons in args.daemons]
    print("\nTicks of the controllers, % of a core:\n")
    for daemons, note in notes:
        print(f"- {daemons} daemons: {note}")


if __name__ == "__main__":
    main()
