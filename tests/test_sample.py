"""A daemon notices in time that it is on the smaller side of a partition, and only then."""

import unittest

from lovageway.controllers._sample import AGAIN_S, SAMPLE_S, ContactSample
from lovageway.controllers._swim import SUSPICION_S
from lovageway.controllers.membership import PROBE_TIMEOUT_S
from lovageway.controllers.ownership import DETECTION_SPREAD_S
from tests.test_membership import Net, identity

# The larger side finds nobody dead earlier than this after the cut, and its new owners wait as if
# the others noticed the cut at most DETECTION_SPREAD_S later.
NOTICED_S = PROBE_TIMEOUT_S + SUSPICION_S + DETECTION_SPREAD_S


class Partition(unittest.TestCase):
    def cut(self, net, size):
        """Cut off the first `size` daemons and return the controllers of both sides."""
        sides = ([], [])
        for number in range(len(net.nodes)):
            sides[number >= size].append(identity(number).peer_address)
        net.cut |= {(one, other) for one in sides[0] for other in sides[1]}
        return [[net.nodes[address] for address in side] for side in sides]

    def settled(self, count, shift):
        net = Net(count)
        net.run_until(net.whole, 30)
        net.run(2.0 + shift)
        return net

    def test_the_smaller_side_loses_majority_contact_in_time(self):
        # Guards against two owners of one limit, and against service on an old configuration: with
        # one probe a second alone, 2 daemons of 40 took 16 s to count no majority any more.
        for count, size, runs in ((5, 2, 12), (7, 3, 8), (16, 4, 3), (40, 2, 1), (40, 18, 1)):
            for run in range(runs):
                with self.subTest(count=count, size=size, run=run):
                    net = self.settled(count, 0.3 * run)
                    small, large = self.cut(net, size)
                    net.run(NOTICED_S)
                    self.assertFalse(any(node.has_majority() for node in small))
                    self.assertTrue(all(node.has_majority() for node in large))

    def test_a_daemon_whose_messages_are_lost_on_the_way_out_loses_contact(self):
        # Guards against an owner that hears others while they find it dead.
        net = self.settled(5, 0.0)
        silent = identity(0).peer_address
        net.is_cut = lambda source, target: source == silent
        net.run(NOTICED_S)
        self.assertFalse(net.nodes[silent].has_majority())
        others = [node for address, node in net.nodes.items() if address != silent]
        self.assertTrue(all(node.has_majority() for node in others))

    def test_both_sides_regain_contact_when_the_partition_ends(self):
        # Guards against a daemon that stays cut off although its peers answer again.
        net = self.settled(7, 0.0)
        self.cut(net, 3)
        net.run(20.0)
        net.cut.clear()
        net.run_until(lambda: all(node.has_majority() for node in net.running()), 30)
        net.run_until(net.whole, 30)

    def test_a_dead_daemon_costs_nobody_majority_contact(self):
        # Guards against owners that stop for each VM that fails.
        for count in (3, 8):
            for run in range(10):
                net = self.settled(count, 0.3 * run)
                net.down.add(identity(0).peer_address)
                for _ in range(100):
                    net.step()
                    self.assertTrue(all(node.has_majority() for node in net.running()))


class Sample(unittest.TestCase):
    def setUp(self):
        self.sample = ContactSample()
        self.sample.begin(["a", "b", "c", "d"], 4, 0.0)
        for seq, vm_id in enumerate("abcd"):
            self.sample.asked(seq, vm_id)

    def test_it_ends_as_soon_as_a_majority_has_answered(self):
        # Guards against seconds without contact after a partition has ended.
        self.sample.answered(0)
        self.assertFalse(self.sample.conclude(5, 0.1))
        self.assertTrue(self.sample.running)
        self.sample.answered(1)
        self.sample.conclude(5, 0.2)
        self.assertEqual((self.sample.running, self.sample.cut_off), (False, False))

    def test_silent_peers_are_pinged_once_more(self):
        # Guards against a lost message that is taken for a partition.
        self.sample.answered(0)
        self.assertEqual(self.sample.to_repeat(AGAIN_S), ["b", "c", "d"])
        self.assertEqual(self.sample.to_repeat(AGAIN_S), [])

    def test_half_of_the_vms_is_no_majority(self):
        # Guards against two sides of an even split that both go on.
        self.sample.answered(0)
        self.assertTrue(self.sample.conclude(4, SAMPLE_S))
        self.assertTrue(self.sample.cut_off)

    def test_a_pause_of_this_process_is_not_taken_for_silence(self):
        # Guards against a daemon that gives up contact before it has read the answers.
        self.sample.postpone(10.0)
        self.assertFalse(self.sample.conclude(5, 10.0 + SAMPLE_S / 2))
        self.assertFalse(self.sample.cut_off)

    def test_an_answer_to_an_earlier_sample_does_not_count(self):
        # Guards against a late answer from before the cut.
        self.sample.begin(["a", "b", "c", "d"], 4, 5.0)
        for seq in range(4):
            self.sample.answered(seq)
        self.sample.conclude(5, 5.0 + SAMPLE_S)
        self.assertTrue(self.sample.cut_off)


if __name__ == "__main__":
    unittest.main()
