"""Requests that crash the servers that run them, recognised by all daemons together."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.poison import (
    KEEP_S,
    KNOWN_MOST,
    LIMIT,
    MAX_SUSPECTS_PER_MESSAGE,
    PoisonDetector,
    Suspect,
    fingerprint,
    server_token,
)

MARK = fingerprint("acc", "POST", "/a", b"body")
SERVERS = [server_token(f"i-{number}", 1) for number in range(LIMIT)]


def broken(*servers, at=0.0):
    poison = PoisonDetector()
    for server in servers:
        poison.on_disconnect(MARK, server, at)
    return poison


class Marks(unittest.TestCase):
    def test_breaks_that_other_daemons_saw_count(self):
        # Guards against a request that crashes a server through each daemon in turn.
        poison = broken(SERVERS[0])
        poison.on_peer(broken(*SERVERS[1:]).suspects_to_send(0.1), 0.1)
        self.assertTrue(poison.is_suspect(MARK, 1.0))

    def test_a_server_that_starts_again_under_its_id_counts_again(self):
        # Guards against one server that a request crashes for ever.
        poison = broken(*(server_token("i-1", born) for born in range(LIMIT)))
        self.assertTrue(poison.is_suspect(MARK, 1.0))

    def test_one_faulty_server_makes_no_request_suspect_however_many_daemons_see_it(self):
        # Guards against a request that everybody sends and all daemons refuse for a minute, since
        # one server breaks off part of its answers. Found by the soak, seed 3003.
        poison = broken(*[SERVERS[0]] * 20)
        for number in range(20):
            poison.on_peer(broken(SERVERS[0], at=number / 10).suspects_to_send(2.0), 2.0)
        self.assertFalse(poison.is_suspect(MARK, 2.0))

    def test_an_answer_clears_the_mark_at_every_daemon(self):
        # Guards against refusing a sound request that was on a server when that one crashed.
        poison, other = broken(*SERVERS), broken(*SERVERS)
        poison.on_answer(MARK, 1.0)
        self.assertFalse(poison.is_suspect(MARK, 1.0))
        other.on_peer(poison.suspects_to_send(1.1), 1.1)
        self.assertFalse(other.is_suspect(MARK, 1.1))
        poison.on_peer(
            broken(*SERVERS).suspects_to_send(1.2), 1.2
        )  # a daemon that has not heard of it
        self.assertFalse(poison.is_suspect(MARK, 1.2))
        other.on_peer(broken(*SERVERS, at=2.0).suspects_to_send(2.1), 2.1)
        self.assertTrue(other.is_suspect(MARK, 2.1))

    def test_servers_that_answer_something_else_afterwards_did_not_crash(self):
        # Guards against a request that everybody sends and all daemons refuse for a minute, since
        # the connections to all servers were reset at once. Found by the soak, seed 6022.
        poison = broken(*SERVERS)
        self.assertTrue(poison.is_suspect(MARK, 0.1))
        told = poison.suspects_to_send(0.2)
        poison.on_server_answer(SERVERS[0], 0.5)
        self.assertFalse(poison.is_suspect(MARK, 0.5))
        poison.on_peer(told, 0.6)  # from a daemon that has had no answer of it
        self.assertFalse(poison.is_suspect(MARK, 0.6))
        poison.on_disconnect(MARK, SERVERS[0], 1.0)
        self.assertTrue(poison.is_suspect(MARK, 1.0))

    def test_what_was_told_is_told_on_and_ages_on_its_way(self):
        # Guards against a fleet whose collectors keep to themselves what one daemon saw, and
        # against daemons that keep a mark alive by telling each other of it.
        chain = [broken(*SERVERS), PoisonDetector(), PoisonDetector()]
        for step, (sender, receiver) in enumerate(zip(chain, chain[1:], strict=False), start=1):
            receiver.on_peer(sender.suspects_to_send(float(step)), float(step))
        self.assertTrue(chain[-1].is_suspect(MARK, 3.0))
        for now in range(3, 90):
            chain[0].on_peer(chain[2].suspects_to_send(now), now)
            chain[2].on_peer(chain[0].suspects_to_send(now), now)
        self.assertFalse(chain[2].is_suspect(MARK, KEEP_S + 1))
        self.assertEqual(chain[2].suspects_to_send(90.0), [])

    @settings(derandomize=True)
    @given(st.permutations(range(4)), st.lists(st.integers(0, 3), max_size=4))
    def test_the_order_and_number_of_messages_change_nothing(self, order, again):
        # Guards against daemons that judge a request differently after the same news.
        told = [
            broken(SERVERS[0], at=1.0).suspects_to_send(5.0),
            broken(SERVERS[1], SERVERS[2], at=2.0).suspects_to_send(5.0),
            [Suspect(MARK, (), 3500)],
            broken(SERVERS[1], at=4.0).suspects_to_send(5.0),
        ]
        poison = PoisonDetector()
        for number in (*order, *again):
            poison.on_peer(told[number], 5.0)
        ((_, breaks, cleared_ms),) = poison.suspects_to_send(5.0)
        self.assertEqual({server for server, _ in breaks}, {SERVERS[1], SERVERS[2]})
        self.assertEqual(cleared_ms, 3500)

    def test_marks_are_forgotten_and_bounded(self):
        # Guards against memory that grows with every broken request.
        poison = PoisonDetector()
        for number in range(100):
            poison.on_disconnect(number.to_bytes(8, "big"), SERVERS[0], 0.0)
        self.assertLessEqual(len(poison.suspects_to_send(1.0)), MAX_SUSPECTS_PER_MESSAGE)
        self.assertEqual(poison.suspects_to_send(KEEP_S + 1), [])
        for number in range(KNOWN_MOST + 10):
            poison.on_peer([Suspect(number.to_bytes(8, "big"), ((SERVERS[0], 0),), None)], 100.0)
        self.assertEqual(len(poison._known), KNOWN_MOST)

    def test_the_fingerprint_keeps_the_parts_apart(self):
        # Guards against two requests that share a fingerprint because their parts are joined.
        self.assertNotEqual(fingerprint("a", "b", "cd", b""), fingerprint("a", "bc", "d", b""))
