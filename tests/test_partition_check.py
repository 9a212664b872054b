"""Detection of the minority side of a partition: in time, and without false alarms."""

import random
import unittest

from lovageway.controllers._partition_check import CHECK_TIMEOUT_S, REPEAT_AFTER_S, PartitionCheck
from lovageway.controllers._swim import SUSPICION_S
from lovageway.controllers._view import View
from lovageway.controllers.membership import PROBE_TIMEOUT_S
from lovageway.controllers.ownership import DETECTION_SPREAD_S
from lovageway.messages import Member
from tests.test_membership import Net, identity

# The majority side declares no member dead before the probe timeout and the suspicion have passed.
# Its new owners wait as if the minority side detected the cut at most DETECTION_SPREAD_S later.
DETECTED_WITHIN_S = PROBE_TIMEOUT_S + SUSPICION_S + DETECTION_SPREAD_S


class Detection(unittest.TestCase):
    def cut(self, net, size):
        """Cut off the first `size` daemons and return the controllers of both sides."""
        sides = ([], [])
        for number in range(len(net.nodes)):
            sides[number >= size].append(identity(number).peer_address)
        net.cut |= {(one, other) for one in sides[0] for other in sides[1]}
        return [[net.nodes[address] for address in side] for side in sides]

    def converged_net(self, count, shift):
        net = Net(count)
        net.run_until(net.is_converged, 30)
        net.run(2.0 + shift)
        return net

    def test_the_smaller_side_loses_majority_contact_in_time(self):
        # Guards against two owners of one limit, and against service under an old configuration.
        # With one probe per second alone, 2 daemons cut off from a fleet of 40 took 16 s to lose
        # majority contact.
        for count, size, runs in ((5, 2, 12), (7, 3, 8), (16, 4, 3), (40, 2, 1), (40, 18, 1)):
            for run in range(runs):
                with self.subTest(count=count, size=size, run=run):
                    net = self.converged_net(count, 0.3 * run)
                    small, large = self.cut(net, size)
                    net.run(DETECTED_WITHIN_S)
                    self.assertFalse(any(node.has_majority() for node in small))
                    self.assertTrue(all(node.has_majority() for node in large))

    def test_a_daemon_whose_messages_are_lost_on_the_way_out_loses_contact(self):
        # Guards against an owner that still receives messages while the others consider it dead.
        net = self.converged_net(5, 0.0)
        silent = identity(0).peer_address
        net.is_cut = lambda source, target: source == silent
        net.run(DETECTED_WITHIN_S)
        self.assertFalse(net.nodes[silent].has_majority())
        others = [node for address, node in net.nodes.items() if address != silent]
        self.assertTrue(all(node.has_majority() for node in others))

    def test_both_sides_regain_contact_when_the_partition_ends(self):
        # Guards against a daemon that stays cut off although its peers answer again.
        net = self.converged_net(7, 0.0)
        self.cut(net, 3)
        net.run(20.0)
        net.cut.clear()
        net.run_until(lambda: all(node.has_majority() for node in net.running()), 30)
        net.run_until(net.is_converged, 30)

    def test_a_dead_daemon_costs_nobody_majority_contact(self):
        # Guards against owners that stop whenever one VM fails.
        for count in (3, 8):
            for run in range(10):
                net = self.converged_net(count, 0.3 * run)
                net.down.add(identity(0).peer_address)
                for _ in range(100):
                    net.step()
                    self.assertTrue(all(node.has_majority() for node in net.running()))


class Check(unittest.TestCase):
    def setUp(self):
        self.pings, self.effects = [], []
        self.check = PartitionCheck(self.ping, random.Random(1))
        self.view = self.view_of(5)
        self.check.start(self.view, 0.0, self.effects.append)

    def ping(self, vm_id, now, emit):
        self.pings.append(vm_id)
        return len(self.pings)

    def view_of(self, counted):
        nodes = [Member(f"{name}/1", "", "", "", 0, "live") for name in "mabcd"]
        return View(nodes[0], nodes[1:], "mabcd"[:counted])

    def answer(self, *vm_ids):
        for vm_id in vm_ids:
            self.check.record_answer(self.pings.index(vm_id) + 1)

    def tick(self, now):
        self.check.tick(self.view, now, self.effects.append)
        return self.check.cut_off

    def test_the_check_ends_as_soon_as_a_majority_has_answered(self):
        # Guards against a check that waits for its timeout after a partition has ended.
        self.answer("a")
        self.assertFalse(self.tick(0.1))
        self.assertTrue(self.check.is_running)
        self.answer("b")
        self.assertFalse(self.tick(0.2))
        self.assertFalse(self.check.is_running)

    def test_silent_peers_are_pinged_once_more(self):
        # Guards against a lost message that is mistaken for a partition.
        self.answer("a")
        self.tick(REPEAT_AFTER_S)
        self.tick(REPEAT_AFTER_S + 0.1)
        self.assertEqual(self.pings[4:], ["b", "c", "d"])

    def test_half_of_the_vms_is_no_majority(self):
        # Guards against two equal halves that both keep majority contact.
        self.view = self.view_of(4)  # "d" is not listed
        self.check = PartitionCheck(self.ping, random.Random(1))
        self.check.start(self.view, 0.0, self.effects.append)
        self.check.record_answer(len(self.pings))
        self.assertTrue(self.tick(CHECK_TIMEOUT_S))

    def test_a_daemon_that_is_cut_off_samples_until_a_majority_answers(self):
        # Guards against a daemon that never serves again after a partition.
        self.assertTrue(self.tick(CHECK_TIMEOUT_S))
        self.assertTrue(self.check.is_running)
        for seq in range(5, 9):
            self.check.record_answer(seq)
        self.assertTrue(self.tick(CHECK_TIMEOUT_S + 0.1), "these answer the first sample")
        for seq in range(9, len(self.pings) + 1):
            self.check.record_answer(seq)
        self.assertFalse(self.tick(CHECK_TIMEOUT_S + 0.2))

    def test_a_pause_of_this_process_is_not_taken_for_silence(self):
        # Guards against a daemon that loses majority contact after a pause, before it has read the
        # answers that arrived during it.
        self.check.extend_timeout(10.0)
        self.assertFalse(self.tick(10.0 + CHECK_TIMEOUT_S / 2))

    def test_an_answer_to_an_earlier_sample_does_not_count(self):
        # Guards against late answers that were sent before the cut.
        self.assertTrue(self.tick(CHECK_TIMEOUT_S))
        self.answer("a", "b", "c", "d")
        self.assertTrue(self.tick(CHECK_TIMEOUT_S + 0.1))


if __name__ == "__main__":
    unittest.main()
