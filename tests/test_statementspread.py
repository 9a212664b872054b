"""Tests of the messages on servers' limits: their bytes and their way in fleets of any size."""

import unittest
from random import Random
from types import SimpleNamespace

import msgpack

from lovageway.forwarding import gossip
from lovageway.forwarding.members import READY, MemberFacts, Members
from lovageway.forwarding.model import Statement
from lovageway.forwarding.statements import NEWS_S, Statements
from lovageway.forwarding.statementspread import LIMITS, StatementSpread
from tests.test_poisonspread import CONTROL_BYTES_PER_S, RECEIVERS, CountedSocket

SERVERS = 5200  # at the target size


def token(number):
    return number.to_bytes(4, "big")


def spread(said, sockets=None, members=None, ip="10.0.0.1", now=10.0):
    state = SimpleNamespace(
        statements=said,
        cfg=SimpleNamespace(ip=ip),
        rng=Random(1),
        members=members,
        clock=lambda: now,
        log=lambda *args, **fields: None,
        replicas=SimpleNamespace(all=list),
        pump=lambda: None,
        announce_statement=None,
    )
    return StatementSpread(state, sockets or CountedSocket(), 7200)


def bytes_per_s(receivers, limits, seconds=60):
    """Return the bytes that a daemon sends each second long after the limits were named."""
    said, sockets = Statements(), CountedSocket()
    for number in range(limits):
        said.on_answer(token(number), Statement(3.7), 0.0, 0.0)
    sender, ips = spread(said, sockets), [f"10.0.{n // 250}.{n % 250}" for n in range(receivers)]
    began = 10 * NEWS_S
    for tick in range(4 * seconds):
        sender.send_to(ips, began + tick / 4)
    return sockets.bytes / seconds


class Bytes(unittest.TestCase):
    def test_nothing_is_sent_while_no_server_names_a_limit(self):
        self.assertEqual(bytes_per_s(135, 0), 0)

    def test_limits_cost_a_part_of_the_control_bytes_in_a_fleet_of_any_size(self):
        # Guards against messages that grow with the limits in force, for as long as they are.
        for daemons, receivers in RECEIVERS.items():
            for limits in (1, 30):
                with self.subTest(daemons=daemons, limits=limits):
                    self.assertLess(bytes_per_s(receivers, limits), CONTROL_BYTES_PER_S / 2)

    def test_limits_of_all_servers_stay_within_the_limit_of_bytes(self):
        # Guards against a link that is full of such messages when a whole service is in need.
        seconds = 60
        sent = bytes_per_s(RECEIVERS[390], SERVERS, seconds) * seconds
        self.assertLess(sent, LIMITS.burst_bytes + LIMITS.bytes_per_s * seconds)


class Fleet(unittest.TestCase):
    """Guards against daemons that hear of a limit only by their own answers."""

    def hops(self, daemons):
        """Return after how many messages in a row all daemons know a limit."""
        facts = [
            MemberFacts(f"10.{n % 3}.0.{n}", 1, 1, READY, f"z{n % 3}", f"r{n % 3}")
            for n in range(daemons)
        ]
        fleet, queue = {}, []
        for own in facts:
            members = Members(own, ())
            for other in facts:
                members.on_heartbeat(other, 10.0)
            sockets = SimpleNamespace(send=lambda data, ips, port: queue.append((data, ips)))
            said = Statements()
            fleet[own.ip] = (said, spread(said, sockets, members, own.ip))
        said, sender = fleet[facts[-1].ip]
        said.on_answer(token(1), Statement(3.7), 10.0, 10.0)
        sender.send_urgent()
        hops = 0
        while queue:
            hops += 1
            sent, queue[:] = list(queue), []
            for data, ips in sent:
                for ip in ips:
                    fleet[ip][1].on_peer(gossip.decode(data))
        self.assertEqual({said.limit(token(1)) for said, _ in fleet.values()}, {3.7})
        return hops

    def test_all_daemons_know_a_limit_after_few_messages(self):
        for daemons in RECEIVERS:
            with self.subTest(daemons=daemons):
                self.assertLessEqual(self.hops(daemons), 4)


class OddReports(unittest.TestCase):
    def test_a_report_that_is_no_limit_is_rejected(self):
        # Guards against a limit that no answer of a server could name.
        for limit in (-1.0, float("nan"), float("inf"), "3", [], 10**400):
            with self.subTest(limit=str(limit)[:9]):
                try:
                    data = msgpack.packb([gossip.STATEMENTS, "10.0.0.1", [[token(1), limit, 0]]])
                except OverflowError:
                    continue  # such a number does not fit a message
                self.assertIsNone(gossip.decode(data))
