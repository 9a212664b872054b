"""Limits and ramps hold across several real daemons.

The engine stand-in detects violations: it exits when it gets more requests than it can run.
"""

import contextlib
import itertools
import json
import threading
import time
import unittest

from standins.fleet import Fleet, http, wait_for
from standins.proxy import Proxy

from tests.builders import contract_row, jar_returns_rows

DAEMONS = 4
RETRY_S = 0.05


def complete(address, account, length):
    body = {"model": "crock-llm", "prompt": f"len={length}", "max_tokens": length}
    headers = {"Authorization": f"Bearer {account}-key"}
    url = f"http://{address}/v1/completions"
    resp = http.request("POST", url, json=body, headers=headers, timeout=60.0)
    return resp.status, json.loads(resp.data)


class Callers:
    """Threads that send requests until each has received its number of complete answers."""

    def __init__(self, addresses, account, callers, answers, length):
        self.account, self.length = account, length
        self.errors = []
        self.refusals = {}
        self.left = [answers] * callers
        self.give_up = time.monotonic() + 60
        self.threads = [
            threading.Thread(target=self._call, args=(number, address), daemon=True)
            for number, address in zip(range(callers), itertools.cycle(addresses), strict=False)
        ]
        for thread in self.threads:
            thread.start()

    def _call(self, number, address):
        while self.left[number] and time.monotonic() < self.give_up:
            try:
                status, answer = complete(address, self.account, self.length)
            except Exception as exc:
                self.errors.append(exc)
                return
            if status == 200:
                self.left[number] -= 1
                continue
            code = answer["error"]["code"]
            self.refusals[code] = self.refusals.get(code, 0) + 1
            time.sleep(RETRY_S)

    def join(self):
        for thread in self.threads:
            thread.join(90)
        return self

    def open(self):
        return sum(self.left)


def restart(fleet, engine, proxy, options):
    """Kill the engine and start a cold one behind the same proxy address."""
    engine.kill()
    engine = fleet.standin("engine", *options)
    host, _, port = engine.address.rpartition(":")
    proxy.target = (host, int(port))
    return engine


def start(fleet, engine_options, service, contracts, stack=None):
    engine = fleet.backend("crock-0", "crock-llm", "gobi", "engine", *engine_options)
    proxy = stack.enter_context(Proxy(engine.address)) if stack else None
    if proxy:
        fleet.vms["crock-0"]["address"] = proxy.address
    for number in range(DAEMONS):
        fleet.daemon(f"entry-{number}", ("khangai", "gobi", "selenge")[number % 3])
    rows = jar_returns_rows()
    rows["service/crock-llm"].update(service)
    for row in contracts:
        rows[f"contract/{row['account']}"] = row
    fleet.begin(rows)
    return (engine, proxy) if proxy else engine


def load(engine):
    return json.loads(http.request("GET", f"http://{engine.address}/load").data)


class Concurrency(unittest.TestCase):
    def test_the_limit_holds_with_callers_at_all_daemons_and_at_one(self):
        # Guards against a limit that each daemon applies separately. The engine can run 12
        # requests, as many as the contract allows; the service is configured with far more slots.
        with Fleet() as fleet:
            options = ("--slots", "6", "--cold-slots", "6", "--step-ms", "5")
            service = {"cold_slots": 200, "full_slots": 200}
            engine = start(fleet, options, service, [contract_row("clerks", concurrency=12)])
            addresses = [daemon.address for daemon in fleet.daemons.values()]
            spread = Callers(addresses, "clerks", 48, 2, 30).join()
            self.assertEqual((spread.open(), spread.errors), (0, []))
            self.assertIn(4202, spread.refusals)
            # All callers now use one daemon, which must get at least 90 % of the limit.
            single = Callers(addresses[:1], "clerks", 18, 1, 400)

            def running():
                found = load(engine)
                return found["running"] + found["waiting"] >= 11

            wait_for(running, "nine tenths of the limit at one daemon")
            single.join()
            self.assertEqual((single.open(), single.errors), (0, []))
            self.assertIsNone(engine.popen.poll())


class ColdEngine(unittest.TestCase):
    def test_a_cold_engine_survives_bursts_after_start_restart_and_bring_back(self):
        # Guards against several daemons that together send too much to a cold server.
        with contextlib.ExitStack() as stack:
            fleet = stack.enter_context(Fleet())
            options = ("--cold-slots", "2", "--slots", "16", "--ramp", "5", "--step-ms", "5")
            service = {"cold_slots": 1, "full_slots": 16, "ramp_s": 8.0}
            contract = contract_row("clerks", max_wait_s=30.0)
            engine, proxy = start(fleet, options, service, [contract], stack)
            addresses = [daemon.address for daemon in fleet.daemons.values()]
            burst = Callers(addresses, "clerks", 40, 2, 40)
            burst.join()
            self.assertEqual((burst.open(), burst.errors), (0, []))
            self.assertIsNone(engine.popen.poll(), "the first burst was too much")

            # The engine is killed under load and restarts cold while callers continue.
            burst = Callers(addresses, "clerks", 40, 4, 40)
            wait_for(lambda: load(engine)["running"] >= 4, "load before the kill")
            engine = restart(fleet, engine, proxy, options)
            burst.join()
            self.assertEqual((burst.open(), burst.errors), (0, []))
            self.assertIsNone(engine.popen.poll(), "the burst after the restart was too much")

            # Its zone is disabled, it restarts meanwhile, and the zone is enabled again under load.
            zone = {"name": "gobi", "region": "gobi-region", "enabled": False}
            fleet.change_configuration(2, {"zone/gobi": zone})
            for daemon in fleet.daemons.values():
                wait_for(lambda daemon=daemon: self.version(fleet, daemon) == 2, "version 2")
            burst = Callers(addresses, "clerks", 40, 2, 40)
            engine = restart(fleet, engine, proxy, options)
            self.assertEqual(load(engine)["running"], 0)
            fleet.change_configuration(3, {"zone/gobi": {**zone, "enabled": True}})
            burst.join()
            self.assertEqual((burst.open(), burst.errors), (0, []))
            self.assertIsNone(engine.popen.poll(), "the burst after the bring-back was too much")

    @staticmethod
    def version(fleet, daemon):
        return fleet.admin(daemon, "/admin/dump")["configuration"]["version"]
