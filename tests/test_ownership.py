"""An owner in contact with others keeps granting; an isolated one stops in time."""

import unittest

from lovageway.controllers.ownership import ISOLATION_S, Ownership
from tests.test_membership import Net, identity


class OwnersNet(Net):
    """Daemons whose ownership records the contact of every received message."""

    def __init__(self, count):
        self.owners = {}
        super().__init__(count)
        self.gaps = []  # (time, daemon) of each loss of contact

    def start(self, ident):
        node = super().start(ident)
        owner = self.owners[ident.peer_address] = Ownership(node)
        receive = node.on_message

        def on_message(*args):
            owner.record_contact(args[3])
            receive(*args)

        node.on_message = on_message
        return node

    def step(self):
        super().step()
        for addr, owner in self.owners.items():
            if addr not in self.down:
                before = owner.in_contact()
                owner.refresh(self.now)
                if before and not owner.in_contact():
                    self.gaps.append((self.now, addr))

    def wait_for_contact(self):
        self.run_until(self.is_converged, 20)
        self.run(3.0)
        assert all(owner.in_contact() for owner in self.owners.values())
        self.gaps.clear()


class Contact(unittest.TestCase):
    def test_owners_stay_in_contact_while_a_daemon_is_found_dead(self):
        # Guards against an owner that loses contact because two of its consecutive pings go to the
        # dead daemon while no other daemon pings it: it would stop granting and have to take its
        # resources over again.
        for count in (3, 4, 8):
            for shift in range(24):
                with self.subTest(count=count, shift=shift):
                    net = OwnersNet(count)
                    net.wait_for_contact()
                    net.run(shift * 0.3)
                    net.down.add(identity(shift % count).peer_address)
                    net.run(6.0)
                    self.assertEqual(net.gaps, [])

    def test_owners_stay_in_contact_when_a_third_of_a_large_fleet_dies(self):
        # Guards against a zone outage that makes the owners of the other zones stop as well.
        for seed in range(4):
            net = OwnersNet(30)
            net.wait_for_contact()
            net.run(seed * 0.3)
            net.down.update(identity(number).peer_address for number in range(seed % 3, 30, 3))
            net.run(6.0)
            self.assertEqual(net.gaps, [])

    def test_one_lost_message_between_two_daemons_does_not_stop_their_owners(self):
        # Guards against an owner in a fleet of two that stops because one message was lost.
        for skipped in range(40):
            net = OwnersNet(2)
            net.wait_for_contact()
            while skipped > 0:
                net.step()
                skipped -= len(net.queue)
            while not net.queue:
                net.step()
            net.queue.pop(0)
            net.run(6.0)
            self.assertEqual(net.gaps, [])

    def test_a_daemon_that_is_cut_off_stops_within_the_isolation_time(self):
        # Guards against a cut-off owner that keeps granting because of the additional pings that a
        # daemon sends when it receives nothing.
        net = OwnersNet(4)
        net.wait_for_contact()
        alone = identity(1).peer_address
        net.cut |= {(alone, identity(number).peer_address) for number in (0, 2, 3)}
        net.run(ISOLATION_S + 0.2)
        self.assertEqual({addr for _, addr in net.gaps}, {alone})

    def test_a_daemon_in_contact_sends_no_further_pings(self):
        # Guards against more than one ping per second, which would cost traffic in every fleet.
        for count in (2, 8):
            net = OwnersNet(count)
            net.wait_for_contact()
            sent = {addr: node._seq for addr, node in net.nodes.items()}
            net.run(20.0)
            max_pings = max(node._seq - sent[addr] for addr, node in net.nodes.items())
            self.assertLessEqual(max_pings, 21)

    def test_the_entry_vms_follow_the_list(self):
        # Guards against a stale cached VM list: the only daemon of a list needs no messages of
        # others to be in contact, while one of two daemons does.
        net = OwnersNet(2)
        net.wait_for_contact()
        net.publish([identity(0)])
        net.down.add(identity(1).peer_address)
        net.run(8.0)
        self.assertTrue(net.owners[identity(0).peer_address].in_contact())
        net.publish([identity(0), identity(1)])
        net.run(0.2)
        self.assertFalse(net.owners[identity(0).peer_address].in_contact())


if __name__ == "__main__":
    unittest.main()
