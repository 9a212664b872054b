"""Answers that end with their connection, and what is seen of their server afterwards."""

import unittest

from lovageway.forwarding.crashrecord import MIN_CRASHES
from lovageway.forwarding.poison import PoisonDetector
from lovageway.forwarding.traits import part_traits, server_token
from lovageway.forwarding.unconfirmedends import (
    MAX_AGE_S,
    MAX_ENDS,
    MAX_ENDS_OF_SERVER,
    UnconfirmedEnds,
)

PART = part_traits("llm", ["crashing"])
SERVERS = [server_token(f"i-{number}", 1) for number in range(MIN_CRASHES)]


class Evidence(unittest.TestCase):
    def setUp(self):
        self.detector = PoisonDetector()
        for number, server in enumerate(SERVERS):
            self.detector.on_unconfirmed_end(PART, server, float(number))

    def test_an_answer_counts_as_a_crash_once_its_server_is_lost(self):
        # Guards against cut off answers that count as whole.
        self.assertIsNone(self.detector.blocking(PART, 5.0))
        self.assertTrue(all(self.detector.on_server_lost(server, 5.0) for server in SERVERS))
        self.assertEqual(self.detector.blocking(PART, 5.0), PART[0])

    def test_an_answer_is_whole_once_its_server_answers_a_later_request(self):
        # Guards against sound requests that are held back since servers end answers by closing.
        for server in SERVERS:
            self.detector.on_server_answer(server, 4.0, 4.5)
            self.assertFalse(self.detector.on_server_lost(server, 5.0))
        self.assertIsNone(self.detector.blocking(PART, 5.0))

    def test_an_answer_to_an_earlier_request_shows_nothing(self):
        # Guards against an answer that was sent before the server ended and read after it.
        self.detector.on_server_answer(SERVERS[2], 1.5, 4.5)
        self.assertTrue(self.detector.on_server_lost(SERVERS[2], 5.0))

    def test_a_server_that_ends_much_later_did_not_cut_the_answer_off(self):
        # Guards against idle servers that are taken away at night and leave suspects behind.
        self.assertFalse(self.detector.on_server_lost(SERVERS[0], MAX_AGE_S + 1.0))


class Bounds(unittest.TestCase):
    def test_answers_are_limited_and_forgotten(self):
        # Guards against memory that grows with the answers of servers that nobody asks again.
        ends = UnconfirmedEnds()
        for number in range(2 * MAX_ENDS_OF_SERVER):
            ends.add(SERVERS[0], PART, number / 100)
        self.assertEqual(len(ends.take_whole(SERVERS[0], 10.0)), MAX_ENDS_OF_SERVER)
        servers = [server_token("i", number) for number in range(MAX_ENDS + 1)]
        for _ in range(3):  # a count that goes wrong would show
            for server in servers:
                ends.add(server, PART, 0.0)
            found = [end for server in servers for end in ends.take_whole(server, 1.0)]
            self.assertEqual(len(found), MAX_ENDS)
        ends.add(SERVERS[0], PART, 0.0)
        ends.forget(MAX_AGE_S + 1.0)
        self.assertEqual(ends.take_cut_off(SERVERS[0], MAX_AGE_S), [])

    def test_an_answer_after_a_later_request_was_sent_stays_unconfirmed(self):
        # Guards against an answer that is taken for whole by one to a request sent before its end.
        ends = UnconfirmedEnds()
        for at in (1.0, 2.0, 3.0):
            ends.add(SERVERS[0], PART, at)
        self.assertEqual([end.at for end in ends.take_whole(SERVERS[0], 2.5)], [1.0, 2.0])
        self.assertEqual([end.at for end in ends.take_cut_off(SERVERS[0], 4.0)], [3.0])
