"""Tests of the messages and rows on crashes: their bytes in fleets of any size, and bad rows."""

import unittest
from random import Random
from types import SimpleNamespace

from lovageway.forwarding import gossip
from lovageway.forwarding.members import READY, MemberFacts, Members
from lovageway.forwarding.poison import PoisonDetector
from lovageway.forwarding.poisonspread import (
    LIMITS,
    PoisonSpread,
    decode_row,
    encode_row,
)
from lovageway.forwarding.telemetry import Telemetry
from lovageway.forwarding.traits import part_traits, server_token

# Receivers of a daemon's messages by size of the fleet, three regions: all others up to 17 daemons,
# else the aggregators of its region, or for an aggregator its region and some of each other one.
RECEIVERS = {7: 6, 64: 21 + 6, 195: 64 + 6, 390: 129 + 6}
CONTROL_BYTES_PER_S = 4096  # limit of all control messages that a daemon sends


class CountedSocket:
    def __init__(self):
        self.bytes = 0

    def send(self, data, ips, port):
        self.bytes += len(data) * len(ips)
        return True


def spread(detector):
    """Return a spread of the detector's records and the socket that counts its bytes."""
    sockets = CountedSocket()
    cfg = SimpleNamespace(ip="10.0.0.1")
    state = SimpleNamespace(poison=detector, cfg=cfg, rng=Random(1), announce_crash=None)
    return PoisonSpread(state, None, sockets, 7200), sockets


def bytes_per_s(receivers, suspects, began=60.0, seconds=60):
    """Return the bytes that a daemon sends each second, long after the crashes."""
    detector = PoisonDetector()
    for number in range(suspects):
        for start in range(3):
            token = server_token("i", 10 * number + start)
            detector.on_crash(part_traits("service", [f"part-{number:012}"]), token, start * 1.0)
    sender, sockets = spread(detector)
    ips = [f"10.0.{n // 250}.{n % 250}" for n in range(receivers)]
    for tick in range(4 * seconds):
        sender.send_to(ips, began + tick / 4)
    return sockets.bytes / seconds


class Bytes(unittest.TestCase):
    def test_nothing_is_sent_while_nothing_crashes(self):
        self.assertEqual(bytes_per_s(135, 0), 0)

    def test_suspects_cost_a_part_of_the_control_bytes_in_a_fleet_of_any_size(self):
        # Guards against heartbeats that grow with what is held back, for as long as it is.
        for daemons, receivers in RECEIVERS.items():
            for suspects in (1, 3, 50):
                with self.subTest(daemons=daemons, suspects=suspects):
                    self.assertLess(bytes_per_s(receivers, suspects), CONTROL_BYTES_PER_S / 2)

    def test_crashes_of_many_different_requests_stay_within_the_limit(self):
        # Guards against a link that is full of such messages after a network reset connections.
        detector = PoisonDetector()
        sender, sockets = spread(detector)
        seconds = 30
        for tick in range(4 * seconds):
            now = tick / 4
            for number in range(20):
                parts = [f"{tick}-{number}-{part}" for part in range(10)]
                detector.on_crash(part_traits("service", parts), server_token("i", tick), now)
            sender.send_to([f"10.0.0.{n}" for n in range(135)], now)
        self.assertLess(sockets.bytes, LIMITS.burst_bytes + LIMITS.bytes_per_s * seconds)


class Urgent(unittest.TestCase):
    """Guards against more crashes in a large fleet while reports wait for heartbeats."""

    def hops(self, daemons):
        """Return after how many messages in a row all daemons hold back a part."""
        fleet = {}
        facts = [
            MemberFacts(f"10.{n % 3}.0.{n}", 1, 1, READY, f"z{n % 3}", f"r{n % 3}")
            for n in range(daemons)
        ]
        for own in facts:
            members = Members(own, ())
            for other in facts:
                members.on_heartbeat(other, 10.0)
            state = SimpleNamespace(
                poison=PoisonDetector(),
                cfg=SimpleNamespace(ip=own.ip),
                rng=Random(1),
                members=members,
                clock=lambda: 10.0,
                telemetry=Telemetry(),
                log=lambda *args, **fields: None,
                admission_queue=SimpleNamespace(withdraw=lambda: None),
            )
            sender = PoisonSpread(state, None, SimpleNamespace(send=self.deliver), 7200)
            fleet[own.ip] = (state.poison, sender)
        self.queue, crashing = [], part_traits("llm", ["crashing"])
        for number in range(3):
            detector, sender = fleet[facts[-1 - number].ip]
            detector.on_crash(crashing, server_token("i", number), 9.0 + number / 4)
            sender.send_urgent()
        hops = 0
        while self.queue:
            hops += 1
            sent, self.queue = self.queue, []
            for data, ips in sent:
                for ip in ips:
                    fleet[ip][1].on_peer(gossip.decode(data).news)
        self.assertTrue(all(detector.blocking(crashing, 10.0) for detector, _ in fleet.values()))
        return hops

    def deliver(self, data, ips, port):
        self.queue.append((data, ips))
        return True

    def test_all_daemons_hold_back_a_part_after_few_messages(self):
        for daemons in RECEIVERS:
            with self.subTest(daemons=daemons):
                self.assertLessEqual(self.hops(daemons), 4)


class Rows(unittest.TestCase):
    def test_a_suspect_comes_back_as_it_was(self):
        detector = PoisonDetector()
        (trait,) = part_traits("llm", ["a"])
        for number in range(3):
            detector.on_crash((trait,), server_token("i", number), float(number))
        ((_, suspect),) = detector.to_store(5.0)
        label, servers = decode_row(encode_row(suspect))
        self.assertEqual((label, servers), (trait.label, [server for server, _ in suspect.crashes]))

    def test_unreadable_rows_are_reported(self):
        # Guards against a row of another writer that stops a daemon from starting.
        for value in (
            b"",
            b"\xc1",
            b"\x01",
            b"\x92\xa1a\x01",
            b"\x92\xa1a\x91\x05",
            b"\x91" * 3000,
        ):
            with self.subTest(value=value), self.assertRaises(ValueError):
                decode_row(value)
