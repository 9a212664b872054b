"""Membership controllers on a simulated clock, connected by an in-memory message queue."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from standins.fleet import Fleet, wait_for

from lovageway.controllers import _swim, membership
from lovageway.controllers.membership import Membership
from lovageway.events import Count, ReadVmList, SendPeer, StateChanged
from lovageway.messages import Ack, Leaving, Member, MemberPull, Members, Ping, decode, encode
from lovageway.model import Identity, Vm
from tests.builders import JAR_ZONES

STEP_S = 0.05
MAX_PING_BYTES = 2048


def identity(number, start_id="a", port=7000):
    vm_id, host = f"entry-{number}", f"10.0.{number // 250}.{number % 250 + 1}"
    return Identity(vm_id, start_id, f"z{number % 3}", f"{host}:8080", f"{host}:{port}")


def entry_vm(ident):
    return Vm(ident.vm_id, "entry", "", ident.zone, ident.address, ident.peer_address)


def member(node="entry-1/a", incarnation=0, state="live", address="10.0.0.2:8080", zone="z1"):
    return Member(node, address, "10.0.0.2:7000", zone, incarnation, state)


class Net:
    """Network that delivers each message one step later, unless a link is cut or a daemon down."""

    def __init__(self, count, listed=True, seeds=()):
        self.now, self.queue, self.down, self.paused, self.cut = 0.0, [], set(), set(), set()
        self.nodes, self.log, self.largest = {}, [], 0
        self.listed, self.seeds = [], seeds
        for number in range(count):
            self.start(identity(number))
        if listed:
            self.publish(identity(number) for number in range(count))

    def start(self, ident):
        rng = random.Random(f"{ident.vm_id}{ident.start_id}")
        node = Membership(ident, rng, lambda now: (1, 0.5), self.seeds)
        self.nodes[ident.peer_address] = node
        self.down.discard(ident.peer_address)
        node.on_vm_list(tuple(self.listed), self.now)
        return node

    def publish(self, idents):
        self.listed = [entry_vm(ident) for ident in idents]
        for node in self.nodes.values():
            node.on_vm_list(tuple(self.listed), self.now)

    def running(self):
        return [node for addr, node in self.nodes.items() if addr not in self.down]

    def emit(self, source):
        def collect(effect):
            if isinstance(effect, SendPeer):
                data = encode(effect.message)
                if isinstance(effect.message, Ping | Ack):
                    self.largest = max(self.largest, len(data))
                self.queue.append((source, effect.address, data))
            elif isinstance(effect, StateChanged):
                self.log.append((source, effect.name, effect.fields))

        return collect

    def step(self):
        self.now += STEP_S
        arriving, self.queue = self.queue, []
        for source, target, data in arriving:
            if target in self.paused:
                self.queue.append((source, target, data))
            elif (
                target in self.nodes and target not in self.down and not self.is_cut(source, target)
            ):
                sender = self.nodes[source].node
                msg = decode(data)
                self.nodes[target].on_message(sender, source, msg, self.now, self.emit(target))
        for addr, node in self.nodes.items():
            if addr not in self.down and addr not in self.paused:
                node.tick(self.now, self.emit(addr))

    def is_cut(self, source, target):
        return (source, target) in self.cut or (target, source) in self.cut

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def run_until(self, condition, limit_s):
        start = self.now
        while not condition():
            if self.now - start > limit_s:
                raise AssertionError(f"not within {limit_s} s")
            self.step()
        return self.now - start

    def is_converged(self):
        nodes = {node.node for node in self.running()}
        return all({m.node for m in node.live()} == nodes for node in self.running())


class Joining(unittest.TestCase):
    def test_listed_daemons_become_live_everywhere(self):
        # Guards against listed VMs that are never contacted.
        net = Net(32)
        net.run_until(net.is_converged, 20)
        self.assertTrue(all(node.has_majority() for node in net.running()))
        self.assertLessEqual(net.largest, MAX_PING_BYTES)

    def test_seeds_suffice_without_the_vm_list(self):
        # Guards against new VMs that cannot join while the VM list is down.
        net = Net(8, listed=False, seeds=(identity(0).peer_address,))
        net.run_until(net.is_converged, 20)

    def test_an_answering_peer_is_live_though_the_list_lags(self):
        # Guards against relying on the VM list alone, which can be minutes out of date.
        net = Net(4)
        net.publish([identity(0)])
        net.start(identity(4))
        net.run_until(net.is_converged, 20)

    def test_reads_of_the_vm_list_are_bounded_for_the_whole_fleet(self):
        # Guards against 390 daemons that each read the list every 2 s.
        for count, longest in ((8, 2.2), (390, 21.5)):
            node = Membership(identity(0), random.Random(1), lambda now: (1, 0.0))
            node.on_vm_list(tuple(entry_vm(identity(n)) for n in range(count)), 0.0)
            effects = []
            for step in range(2000):
                node.tick(step * STEP_S, effects.append)
            reads = sum(isinstance(effect, ReadVmList) for effect in effects)
            self.assertGreaterEqual(reads, int(100 / longest))
            self.assertLessEqual(reads, 100 / longest * 1.25 + 1)


class Failures(unittest.TestCase):
    def test_a_killed_daemon_is_dead_everywhere_within_seconds(self):
        # Guards against a dead daemon that remains the owner of shares.
        net = Net(16)
        net.run_until(net.is_converged, 20)
        net.down.add(identity(5).peer_address)
        net.run_until(net.is_converged, 8)

    def test_a_daemon_that_one_peer_cannot_reach_stays_live(self):
        # Guards against a daemon that is declared dead because of one broken link; indirect pings
        # through other daemons have to reach it.
        net = Net(6)
        net.run_until(net.is_converged, 20)
        net.cut.add((identity(1).peer_address, identity(2).peer_address))
        net.run(60)
        self.assertFalse([entry for entry in net.log if entry[1] == "member_dead"])
        self.assertTrue(net.is_converged())

    def test_a_slow_daemon_refutes_the_suspicion(self):
        # Guards against declaring a daemon dead that only stalled for 2 s.
        net = Net(6)
        net.run_until(net.is_converged, 20)
        for number in (1, 2, 3):
            net.paused.add(identity(number).peer_address)
            net.run(2.0)
            net.paused.clear()
            net.run(4.0)
        self.assertFalse([entry for entry in net.log if entry[1] == "member_dead"])

    def test_a_daemon_that_was_paused_does_not_declare_others_dead(self):
        # Guards against suspicions that expire while a paused process cannot read refutations.
        net = Net(6)
        net.run_until(net.is_converged, 20)
        slow, addr = net.nodes[identity(1).peer_address], identity(1).peer_address
        net.run_until(lambda: slow._probe is not None, 5)
        slow._table.suspect("entry-2", net.now)
        net.paused.add(addr)
        net.run(2.0)
        net.queue = [item for item in net.queue if item[1] != addr]
        net.paused.clear()
        net.run(3.0)
        dead = [entry for entry in net.log if entry[0] == addr and entry[1] == "member_dead"]
        self.assertFalse(dead)

    def test_partitioned_regions_rejoin_by_themselves(self):
        # Guards against two sides that each consider the other dead after the partition has healed.
        net = Net(12)
        net.run_until(net.is_converged, 20)
        left = [identity(number).peer_address for number in range(4)]
        right = [identity(number).peer_address for number in range(4, 12)]
        net.cut = {(a, b) for a in left for b in right}
        net.run(30)
        self.assertFalse(any(net.nodes[addr].has_majority() for addr in left))
        self.assertTrue(all(net.nodes[addr].has_majority() for addr in right))
        net.cut = set()
        net.run_until(net.is_converged, 30)
        # No daemon may declare a member of its own side dead because the other side did.
        names = {net.nodes[addr].node for addr in right}
        for source, name, fields in net.log:
            if source in right and name == "member_dead":
                self.assertNotIn(fields["node"], names)

    def test_a_restarted_vm_is_a_new_member_and_replaces_its_old_start_id(self):
        # Guards against a restarted VM that counts twice, and against the return of its old start
        # id through a stale entry.
        for old, new in (("a", "b"), ("b", "a")):
            net = Net(0)
            net.listed = [entry_vm(identity(number)) for number in range(5)]
            for number in range(4):
                net.start(identity(number))
            net.start(identity(4, old))
            net.run_until(net.is_converged, 20)
            stale = next(m for m in net.running()[0].live() if m.node == f"entry-4/{old}")
            net.down.add(identity(4).peer_address)
            net.start(identity(4, new, port=7001))
            net.run_until(net.is_converged, 15)
            first = net.running()[0]
            first.on_message(
                "entry-1/a",
                identity(1).peer_address,
                Ping(1, 1, 0.0, (stale,)),
                net.now,
                [].append,
            )
            self.assertTrue(net.is_converged())
            net.run(5)
            self.assertTrue(net.is_converged())

    def test_a_process_replaced_while_paused_gives_up_majority_contact(self):
        # Guards against two processes of one VM that raise their incarnations above each other for
        # ever.
        net = Net(4)
        net.run(membership.MIN_SUPERSEDED_AGE_S + 5)
        old = net.nodes[identity(3).peer_address]
        successor = member("entry-3/z", 9, address="10.0.0.4:8080", zone="z0")
        message = Ping(1, 1, 0.0, (successor,))
        old.on_message("entry-1/a", identity(1).peer_address, message, net.now, [].append)
        self.assertFalse(old.has_majority())
        self.assertEqual(old.own_entry().incarnation, 0)


class PlannedStop(unittest.TestCase):
    def test_every_peer_is_informed_at_once_and_a_leaving_daemon_owns_nothing(self):
        # Guards against resources that stay with a daemon that is about to stop.
        net = Net(6)
        net.run_until(net.is_converged, 20)
        leaver = net.nodes[identity(2).peer_address]
        owned = next(r for r in map(str, range(999)) if leaver.owner(r) == leaver.node)
        leaver.leave(net.now, net.emit(leaver.own_entry().peer_address))
        net.step()
        net.step()
        for node in net.running():
            states = {m.node: m.state for m in node.live()}
            self.assertEqual(states[leaver.node], "leaving")
            self.assertNotEqual(node.owner(owned), leaver.node)
        net.run(20)
        states = {m.node: m.state for m in net.running()[0].live()}
        self.assertEqual(states[leaver.node], "leaving")

    def test_a_leaving_message_about_another_daemon_changes_nothing(self):
        # Guards against a daemon that marks another one as leaving.
        net = Net(3)
        net.run_until(net.is_converged, 20)
        node = net.running()[0]
        before = node.live()
        forged = Leaving(member("entry-2/a", 5, "leaving"))
        node.on_message("entry-1/a", "10.0.0.2:7000", forged, net.now, [].append)
        self.assertEqual(node.live(), before)


ENTRIES = st.builds(
    member,
    st.sampled_from(["entry-1/a", "entry-1/b", "entry-2/a"]),
    st.integers(0, 3),
    st.sampled_from(["live", "suspect", "leaving", "dead"]),
)
HOSTILE = st.builds(
    Member,
    st.one_of(st.text(max_size=20), st.sampled_from(["entry-0/a", "entry-0/b", "entry-1/a", "/"])),
    st.one_of(st.text(max_size=20), st.just("10.0.0.9:1")),
    st.one_of(st.text(max_size=20), st.just("10.0.0.9:2")),
    st.text(max_size=5),
    st.one_of(st.integers(0, 5), st.integers(0, 1 << 70)),
    st.one_of(st.text(max_size=5), st.sampled_from(["live", "suspect", "leaving", "dead"])),
)


class Entries(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(ENTRIES, max_size=12), st.randoms(use_true_random=False))
    def test_the_order_and_number_of_arrivals_do_not_matter(self, entries, rng):
        # Guards against stale or replayed entries that change the table.
        first, second = _swim.MemberTable(), _swim.MemberTable()
        known = [member("entry-1/a"), member("entry-2/a")]
        for entry in known + entries:
            first.merge(entry, 0.0)
        shuffled = entries + entries
        rng.shuffle(shuffled)
        for entry in known + shuffled:
            second.merge(entry, 0.0)
        self.assertEqual(sorted(first), sorted(second))

    @settings(derandomize=True, deadline=None)
    @given(st.lists(HOSTILE, max_size=6))
    def test_no_entry_of_others_changes_the_own_entry(self, entries):
        # Guards against wrong entries about this daemon that it accepts from others, and against
        # malformed entries that crash it.
        node = Membership(identity(0), random.Random(1), lambda now: (1, 0.0))
        effects = []
        node.tick(0.0, effects.append)
        node.on_message("entry-1/a", "10.0.0.2:7000", Members(tuple(entries)), 0.1, effects.append)
        node.on_message("entry-1/a", "10.0.0.2:7000", Ping(1, 0, 0.0, ()), 0.2, effects.append)
        answer = effects[-1].message
        own = answer.members[0]
        self.assertEqual((own.node, own.address, own.state), (node.node, "10.0.0.1:8080", "live"))
        for entry in entries:
            if _swim.is_well_formed(entry) and entry.node.startswith("entry-0/"):
                self.assertGreaterEqual(_swim.precedence(own), _swim.precedence(entry))
        self.assertTrue(all(_swim.is_well_formed(entry) for entry in node.live()))

    def test_a_message_with_too_many_entries_is_read_in_part_and_counted(self):
        # Guards against a peer that exhausts memory or blocks the daemon with invented members.
        node = Membership(identity(0), random.Random(1), lambda now: (1, 0.0))
        entries = tuple(member(f"vm-{number}/a") for number in range(1000))
        effects = []
        node.on_message("vm-1/a", "10.0.0.2:7000", Members(entries), 0.0, effects.append)
        self.assertEqual(len(node.live()), membership.MAX_ENTRIES + 1)
        self.assertIn(Count("member_entries_rejected", (), 1000 - membership.MAX_ENTRIES), effects)

    def test_a_full_answer_omits_dead_members(self):
        # Guards against one side of a healed partition that reports members of the other side as
        # dead to that side's own daemons.
        node = Membership(identity(0), random.Random(1), lambda now: (1, 0.0))
        entries = (member("vm-1/a"), member("vm-2/a"), member("vm-1/a", 0, "dead"))
        effects = []
        node.on_message("vm-3/a", "10.0.0.2:7000", Members(entries), 0.0, effects.append)
        node.on_message("vm-3/a", "10.0.0.2:7000", MemberPull(), 0.0, effects.append)
        pages = [effect.message.members for effect in effects if isinstance(effect, SendPeer)]
        self.assertEqual([item.node for page in pages for item in page], ["entry-0/a", "vm-2/a"])

    def test_an_update_is_gossiped_a_bounded_number_of_times(self):
        # Guards against updates that are gossiped without end.
        table = _swim.MemberTable()
        for number in range(30):
            table.merge(member(f"vm-{number}/a"), 0.0)
        sent = []
        while updates := table.updates():
            sent += updates
        self.assertEqual(len(sent), 30 * 3 * 5)

    def test_dead_entries_of_removed_vms_are_dropped(self):
        # Guards against a table that grows with each replaced VM.
        table = _swim.MemberTable()
        for number in range(3):
            table.merge(member(f"vm-{number}/a"), 0.0)
            table.merge(member(f"vm-{number}/a", 0, "dead"), 1.0)
        table.forget(["vm-1"], 200.0)
        self.assertEqual([item.node for item in table], ["vm-1/a"])


class Processes(unittest.TestCase):
    def seen(self, fleet, name):
        members = fleet.admin(fleet.daemons[name], "/admin/dump")["membership"]["live"]
        return {item["node"].partition("/")[0]: item["node"] for item in members}

    def test_a_killed_daemon_dies_on_all_and_its_restart_is_a_new_member(self):
        # Guards against faults that only real processes show: addresses, reconnects, timers.
        with Fleet() as fleet:
            for number in range(4):
                fleet.daemon(f"entry-{number}", JAR_ZONES[number % 3])
            fleet.publish_vms()
            names = list(fleet.daemons)
            wait_for(lambda: all(len(self.seen(fleet, n)) == 4 for n in names), "joining")
            old = self.seen(fleet, "entry-0")["entry-3"]
            fleet.daemons["entry-3"].popen.kill()
            rest = names[:3]
            wait_for(lambda: all(len(self.seen(fleet, n)) == 3 for n in rest), "death on all")
            # The VM list still has the old addresses, so the new process joins by a seed.
            seed = fleet.daemons["entry-0"].addresses["peer_listen"]
            fleet.daemon("entry-3", "khangai", seeds=[seed])
            wait_for(lambda: all(len(self.seen(fleet, n)) == 4 for n in names), "the restart")
            for name in names:
                self.assertNotEqual(self.seen(fleet, name)["entry-3"], old)


if __name__ == "__main__":
    unittest.main()
