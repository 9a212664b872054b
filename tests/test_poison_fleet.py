"""Poison requests, cut connections and outages of a service, with real processes."""

import json
import re
import socket
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from standins.fleet import Fleet, http, post, wait_for
from standins.proxy import Proxy
from standins.streams import Stream

from lovageway.codes import Code
from tests.builders import JAR_ZONES, contract_row, jar_returns_rows

# Codes after which the caller may simply send the request again.
NOT_YET = {4201, 4202, 4203, 4205, 4301, 4302, 4303}

PEER_DELAY_S = 0.02  # above the 8 ms between regions
POISONS = 4  # prompts, each sent through all daemons at once

# Answers to other requests awaited after each of 30 poison submissions: at least 90 in all.
OTHERS_SERVED = 3


def ask(daemon, prompt):
    """Send a completion and return None, or the error of the refusal."""
    body = {"model": "crock-llm", "prompt": prompt, "max_tokens": 2000}
    headers = {"Authorization": "Bearer clerks-key"}
    url = f"http://{daemon.address}/v1/completions"
    return json.loads(http.request("POST", url, json=body, headers=headers).data).get("error")


def free_address():
    """Return an address with a chosen port, on which a restarted process can listen again.

    A server that lets the system choose its port sets no SO_REUSEADDR, and then connections that
    are being closed prevent the next server from listening there.
    """
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return "{}:{}".format(*sock.getsockname())


def counter(fleet, daemon, name):
    text = fleet.page(daemon, "/metrics")
    found = re.search(rf'^lovageway_{name}_total{{service="crock-llm"}} (\S+)', text, re.MULTILINE)
    return float(found[1]) if found else 0.0


class Poison(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())

    def start(self, engines, daemons, peer_delay_s=0.0, **contract):
        self.engines = [
            self.fleet.backend(
                f"crock-{n}", "crock-llm", JAR_ZONES[n % 3], "engine", "--listen", free_address()
            )
            for n in range(engines)
        ]
        self.daemons = [
            self.fleet.daemon(f"entry-{n}", JAR_ZONES[n % 3], proxied=peer_delay_s > 0)
            for n in range(daemons)
        ]
        for _, to_peer in self.fleet.links.values():
            to_peer.delay_s = peer_delay_s
        rows = jar_returns_rows()
        rows["contract/clerks"] = contract_row("clerks", **contract)
        self.fleet.write_configuration(rows)

    def ready(self):
        self.fleet.publish_vms()
        self.fleet.wait_ready()
        for daemon in self.daemons:
            wait_for(lambda daemon=daemon: ask(daemon, "warm up, len=1") is None, "an answer")

    def dead(self):
        return sum(engine.popen.poll() is not None for engine in self.engines)

    def marks(self, daemon):
        return self.fleet.admin(daemon, "/admin/dump")["poison"]["marks"]

    def test_two_of_six_engines_are_lost_and_other_requests_go_on(self):
        # Guards against a request that crashes one engine after another as its caller resends it.
        self.start(engines=6, daemons=3)
        self.ready()
        stopped, served, failed = threading.Event(), [], []

        def others(number):
            turn = 0
            while not stopped.is_set():
                prompt = f"jar {number} {turn}, len=20"
                error = ask(self.daemons[turn % 3], prompt)
                if error is None:
                    served.append(prompt)
                elif error["code"] not in NOT_YET:
                    failed.append(prompt)
                turn += 1

        with ThreadPoolExecutor(4) as pool:
            for number in range(4):
                pool.submit(others, number)
            try:
                for turn in range(10):
                    for daemon in self.daemons:
                        error = ask(daemon, "poison")
                        self.assertIsNotNone(error)
                        enough = len(served) + OTHERS_SERVED
                        self.assertTrue(turn or error["ran"] != "no" or error["code"] in NOT_YET)
                        wait_for(lambda enough=enough: len(served) >= enough, "other answers")
                for daemon in self.daemons:
                    wait_for(lambda d=daemon: ask(d, "poison")["code"] == Code.POISON, "4605")
            finally:
                stopped.set()
        self.assertEqual(self.dead(), 2)
        for prompt in failed:
            # Guards against refusing requests that only shared a server with the poison request.
            wait_for(lambda prompt=prompt: ask(self.daemons[0], prompt) is None, "an answer")

    def supervise(self, stopped, deaths):
        """Restart engines that have exited at their addresses, as a supervisor does."""
        while not stopped.wait(0.01):
            for number, engine in enumerate(self.engines):
                if engine.popen.poll() is not None:
                    deaths.append(number)
                    self.engines[number] = self.fleet.standin("engine", "--listen", engine.address)

    def test_concurrent_submissions_end_a_bounded_number_of_engines_that_restart_at_once(self):
        # Guards against running copies that retry before each other's marks have arrived, and
        # against lost marks of engines that restart before any daemon has noticed their absence.
        self.start(engines=6, daemons=3, peer_delay_s=PEER_DELAY_S)
        self.ready()
        for daemon in self.daemons:
            self.earn_retries(daemon)
        stopped, deaths = threading.Event(), []
        with ThreadPoolExecutor(4) as pool:
            supervisor = pool.submit(self.supervise, stopped, deaths)
            try:
                for number in range(POISONS):
                    before, prompt = len(deaths), f"poison {number}"
                    start = threading.Barrier(3)

                    def first(daemon, prompt=prompt, start=start):
                        start.wait()
                        return ask(daemon, prompt)

                    errors = list(pool.map(first, self.daemons))
                    self.assertNotIn(None, errors)
                    for daemon in self.daemons * 3:
                        wait_for(
                            lambda d=daemon, p=prompt: ask(d, p)["code"] == Code.POISON, "4605"
                        )
                    wait_for(self.all_running, "every engine back")
                    # Two, and one for each of the two other copies that are running.
                    self.assertLessEqual(len(deaths) - before, 4, deaths)
                    self.assertGreaterEqual(len(deaths) - before, 2)
            finally:
                stopped.set()
            supervisor.result()

    def earn_retries(self, daemon):
        """Complete enough requests for the retries of the test; each earns a tenth of a retry."""
        served = 0
        while served < 10 * POISONS:
            served += ask(daemon, f"history {served}, len=1") is None

    def all_running(self):
        """Return whether every engine runs."""
        return self.dead() == 0

    def test_a_cut_connection_to_a_live_engine_leaves_no_mark(self):
        # Guards against treating a network fault as the death of a server.
        self.start(engines=1, daemons=2)
        proxy = self.enterContext(Proxy(self.engines[0].address))
        self.fleet.vms["crock-0"]["address"] = proxy.address
        self.ready()
        body = {"model": "crock-llm", "prompt": "long len=400", "stream": True}
        stream = Stream(self.daemons[0].address, "/v1/completions", body).read(5)
        proxy.set_mode("cut")
        wait_for(lambda: self.marks(self.daemons[1]), "the suspicion at a peer")
        proxy.set_mode("pass")
        # Tokens were delivered, so no other attempt can replace the one that was cut.
        self.assertEqual(stream.read().error["code"], Code.STREAM_LOST)
        for daemon in self.daemons:
            wait_for(lambda daemon=daemon: not self.marks(daemon), "the mark withdrawn")
        wait_for(lambda: ask(self.daemons[1], "long len=400") is None, "the answer")

    def test_an_outage_costs_under_a_tenth_more_attempts_than_requests(self):
        # Guards against retries that keep a failing service overloaded.
        self.start(engines=2, daemons=1, max_wait_s=0.2)
        self.ready()
        daemon = self.daemons[0]
        served = 0
        while served < 100:
            served += ask(daemon, f"history {served}, len=1") is None
        for fault in ("refusing", "dead"):
            for engine in self.engines:
                if fault == "refusing":
                    post(engine.address, "/control", {"refuse": True})
                else:
                    engine.kill()
            attempts = counter(self.fleet, daemon, "attempts")
            with ThreadPoolExecutor(4) as pool:
                prompts = [f"{fault} {number}, len=1" for number in range(120)]
                errors = list(pool.map(lambda prompt: ask(daemon, prompt), prompts))
            self.assertNotIn(None, errors)
            attempts = counter(self.fleet, daemon, "attempts") - attempts
            self.assertLess(attempts / len(errors), 1.1)
