"""Availability zones and backend servers leave and return under load, with real processes."""

import itertools
import threading
import time
import unittest

from standins.fleet import Fleet, post, wait_for
from standins.streams import Stream

from tests.builders import JAR_ZONES, jar_returns_rows

GRACE_S = 3.0
LEAVING_GRACE_S = 5.0  # the VM list is read every 2 s, load reports every 0.5 s
WATCH_S = 3.0
LONG_TOKENS = 700
ZONE = JAR_ZONES[0]


class Zones(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.engines = {}
        options = ("--step-ms", "15", "--cold-slots", "2", "--slots", "16")
        for number in range(6):
            zone = JAR_ZONES[number % 3]
            engine = self.fleet.backend(f"crock-{number}", "crock-llm", zone, "engine", *options)
            self.engines.setdefault(zone, []).append(engine)
        for number, zone in enumerate(JAR_ZONES):
            self.fleet.daemon(f"entry-{number}", zone)
        self.fleet.begin(jar_returns_rows())
        self.daemons = list(self.fleet.daemons.values())
        self.stopped = threading.Event()
        self.numbers = itertools.count()
        self.short = []

    def ask(self, daemon, tokens):
        # Equal beginnings would draw every request to the servers that have computed them.
        prompt = f"{next(self.numbers)} len={tokens}"
        body = {"model": "crock-llm", "prompt": prompt, "stream": True}
        return Stream(daemon.address, "/v1/completions", body)

    def keep_asking(self, daemon):
        while not self.stopped.is_set():
            self.short.append(self.ask(daemon, 5).read())

    def starts(self):
        return sum(map(self.starts_at, self.engines[ZONE]))

    def starts_at(self, engine):
        return post(engine.address, "/control", {})["starts"]

    def load(self):
        """Keep every daemon busy with short streams until the test ends."""
        threads = [
            threading.Thread(target=self.keep_asking, args=[daemon])
            for daemon in self.daemons
            for _ in range(3)
        ]
        for thread in threads:
            thread.start()
        self.addCleanup(self.stopped.set)
        return threads

    def start_long(self):
        """Start streams that outlast the change and return them once each has begun."""
        long = [self.ask(daemon, LONG_TOKENS) for daemon in self.daemons for _ in range(4)]
        return [stream.read(5) for stream in long]

    def assert_nothing_was_cut(self, long, threads):
        for stream in long:
            stream.read()
            self.assertIsNone(stream.error)
            self.assertEqual(stream.offsets(), list(range(LONG_TOKENS)))
        self.stopped.set()
        for thread in threads:
            thread.join()
        self.assertEqual([stream.error for stream in self.short if stream.error], [])

    def set_zone(self, enabled):
        value = {"name": ZONE, "region": f"{ZONE}-region", "enabled": enabled}
        status, answer = self.fleet.apply(
            self.daemons[1], f"zone-{enabled}", {f"zone/{ZONE}": value}
        )
        self.assertEqual(status, 200, answer)
        return time.monotonic()

    def test_a_zone_leaves_without_new_work_or_a_cut_and_returns_without_a_fall(self):
        # Guards against work for a zone that was taken out, against streams cut by it, and against
        # a return that gives servers more than a newly started one can take.
        threads = self.load()
        wait_for(lambda: self.starts() > 5, "work in the zone")
        long = self.start_long()
        accepted = self.set_zone(False)
        wait_for(lambda: time.monotonic() > accepted + GRACE_S, "the end of the grace time")
        before = self.starts()
        wait_for(lambda: time.monotonic() > accepted + GRACE_S + WATCH_S, "the observation")
        self.assertEqual(self.starts(), before)
        served = len(self.short)
        wait_for(lambda: len(self.short) > served + 20, "service by the other zones")
        self.set_zone(True)
        wait_for(lambda: self.starts() > before + 20, "work after the return")
        self.assert_nothing_was_cut(long, threads)
        self.assertTrue(
            all(item.popen.poll() is None for engines in self.engines.values() for item in engines)
        )

    def test_leaving_servers_get_no_new_work_and_keep_their_streams(self):
        # Guards against work for a server that the VM list or the server itself says is leaving.
        listed, own = self.engines[ZONE]
        threads = self.load()
        wait_for(lambda: min(self.starts_at(listed), self.starts_at(own)) > 3, "work at both")
        long = self.start_long()
        name = next(n for n, vm in self.fleet.vms.items() if vm["address"] == listed.address)
        self.fleet.vms[name]["state"] = "leaving"
        self.fleet.publish_vms()
        post(own.address, "/control", {"state": "leaving"})
        told = time.monotonic()
        wait_for(lambda: time.monotonic() > told + LEAVING_GRACE_S, "the end of the grace time")
        before = [self.starts_at(listed), self.starts_at(own)]
        wait_for(lambda: time.monotonic() > told + LEAVING_GRACE_S + WATCH_S, "the observation")
        self.assertEqual([self.starts_at(listed), self.starts_at(own)], before)
        self.assert_nothing_was_cut(long, threads)
