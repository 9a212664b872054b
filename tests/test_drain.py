"""Drain at a planned stop: decisions with a simulated clock, and real processes on SIGTERM."""

import json
import random
import signal
import threading
import time
import unittest

from standins.fleet import Fleet, http, wait_for

from lovageway.controllers.drain import REFUSAL_DELAY_S, Drain
from lovageway.controllers.membership import Membership
from lovageway.events import Count, Stopped
from lovageway.model import Identity
from tests.builders import JAR_ZONES, jar_returns_rows

KEY = {"Authorization": "Bearer clerks-key"}
STREAMS = 12
TOKENS = 450  # at 20 ms a token the streams outlast the 6 s for which a leaving daemon serves


class Decisions(unittest.TestCase):
    def setUp(self):
        ident = Identity("e-0", "a", "z", "10.0.0.1:80", "10.0.0.1:70")
        self.drain = Drain(Membership(ident, random.Random(1), lambda now: (1, 0.0)))
        self.effects = []

    def test_it_refuses_only_after_discovery_answers_have_expired(self):
        # Guards against refusing callers whose discovery answer still names this daemon.
        self.assertFalse(self.drain.is_refusing(0.0))
        self.drain.begin(10.0, self.effects.append)
        self.assertFalse(self.drain.is_refusing(10.0 + REFUSAL_DELAY_S - 0.01))
        self.assertTrue(self.drain.is_refusing(10.0 + REFUSAL_DELAY_S))

    def test_it_stops_once_and_only_when_no_request_runs(self):
        # Guards against aborting running requests and against stopping while still serving.
        self.drain.begin(0.0, self.effects.append)
        self.drain.finish(0, 1.0, self.effects.append)
        for now in (7.0, 1e6):
            self.drain.finish(1, now, self.effects.append)
        self.assertNotIn(Stopped(), self.effects)
        for _ in range(2):
            self.drain.finish(0, 2e6, self.effects.append)
        self.assertEqual(self.effects.count(Stopped()), 1)

    def test_a_second_request_to_stop_changes_nothing(self):
        # Guards against a second SIGTERM that shortens or restarts the drain.
        self.drain.begin(0.0, self.effects.append)
        self.drain.begin(5.0, self.effects.append)
        self.assertTrue(self.drain.is_refusing(REFUSAL_DELAY_S))
        self.assertEqual(self.effects.count(Count("stops")), 1)


class Stream(threading.Thread):
    """Reads one streamed completion; `first` is set with its first token."""

    def __init__(self, address):
        super().__init__()
        self.address, self.first, self.texts, self.ended = address, threading.Event(), [], False
        self.start()

    def run(self):
        body = {"model": "crock-llm", "prompt": f"len={TOKENS}", "stream": True}
        url = f"http://{self.address}/v1/completions"
        resp = http.request("POST", url, json=body, headers=KEY, preload_content=False)
        for line in resp:
            if line.startswith(b"data: {"):
                self.texts += json.loads(line[6:])["choices"][0]["text"].split()
                self.first.set()
            self.ended |= line.startswith(b"data: [DONE]")
        resp.release_conn()

    def offsets(self):
        return [int(text.rpartition(":")[2]) for text in self.texts]


class Processes(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        options = ("--step-ms", "20", "--slots", "32", "--cold-slots", "32", "--memory", "100000")
        for number in range(2):
            self.fleet.backend(f"crock-{number}", "crock-llm", "khangai", "engine", *options)
        for number, zone in enumerate(JAR_ZONES):
            self.fleet.daemon(f"entry-{number}", zone)
        self.fleet.begin(jar_returns_rows())
        self.leaver, self.other = (self.fleet.daemons[f"entry-{n}"] for n in (0, 1))

    def discover(self, process):
        url = f"http://{process.address}/v1/discovery?service=crock-llm&zone=khangai"
        resp = http.request("GET", url, headers=KEY)
        return resp.status, json.loads(resp.data)

    def complete(self, process):
        body = {"model": "crock-llm", "prompt": "len=2"}
        resp = http.request(
            "POST", f"http://{process.address}/v1/completions", json=body, headers=KEY
        )
        return resp.status, json.loads(resp.data)

    def test_streams_complete_and_new_requests_are_served_while_callers_may_still_come(self):
        # Guards against a planned stop that aborts requests or refuses callers too early.
        wait_for(lambda: len(self.discover(self.other)[1]["addresses"]) == 3, "discovery of all")
        streams = [Stream(self.leaver.address) for _ in range(STREAMS)]
        self.assertTrue(all(stream.first.wait(30) for stream in streams))
        self.assertFalse(any(stream.ended for stream in streams), "they must run side by side")
        begun = time.monotonic()
        self.leaver.signal(signal.SIGTERM)
        wait_for(
            lambda: self.leaver.address not in self.discover(self.other)[1]["addresses"],
            "removal from discovery",
        )
        self.leaver.signal(signal.SIGTERM)
        served = self.request_until_refused(begun)
        self.assertGreater(served, 5)
        for stream in streams:
            stream.join(60)
            self.assertEqual(stream.offsets(), list(range(TOKENS)))
            self.assertTrue(stream.ended)
        self.assertEqual(self.leaver.popen.wait(30), 0)

    def request_until_refused(self, begun):
        """Send requests until one is refused, check the refusal, return how many were served."""
        served = 0
        while True:
            self.assertLess(time.monotonic() - begun, 60)
            status, answer = self.complete(self.leaver)
            elapsed = time.monotonic() - begun
            if status != 200:
                break
            served += 1
        error = answer["error"]
        self.assertEqual((status, error["code"], error["ran"]), (503, 4103, "no"))
        self.assertGreaterEqual(elapsed, REFUSAL_DELAY_S)
        others = {self.fleet.daemons[f"entry-{n}"].address for n in (1, 2)}
        self.assertEqual(set(error["addresses"]), others)
        return served

    def test_discovery_needs_a_known_key_and_a_service_of_the_contract(self):
        # Guards against disclosing the daemons' addresses to callers without a known key.
        url = f"http://{self.other.address}/v1/discovery"
        for query, headers, code in (
            ("?service=crock-llm", {}, 4003),
            ("?service=unknown", KEY, 4002),
            ("", KEY, 4001),
        ):
            resp = http.request("GET", url + query, headers=headers)
            self.assertEqual(json.loads(resp.data)["error"]["code"], code)
        status, answer = self.discover(self.other)
        self.assertEqual((status, answer["ttl_s"]), (200, 5))


if __name__ == "__main__":
    unittest.main()
