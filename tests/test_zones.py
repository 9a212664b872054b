"""Tests with real processes: zones and servers leave and return under load."""

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
LONG_STREAM_TOKENS = 700
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
        self.short_streams = []

    def open_stream(self, daemon, tokens):
        # Equal prompt prefixes would route every request to the servers that have them cached.
        prompt = f"{next(self.numbers)} len={tokens}"
        body = {"model": "crock-llm", "prompt": prompt, "stream": True}
        return Stream(daemon.address, "/v1/completions", body)

    def run_short_streams(self, daemon):
        while not self.stopped.is_set():
            self.short_streams.append(self.open_stream(daemon, 5).read())

    def count_starts(self):
        return sum(map(self.count_starts_at, self.engines[ZONE]))

    def count_starts_at(self, engine):
        return post(engine.address, "/control", {})["starts"]

    def start_load(self):
        """Keep every daemon busy with short streams until the test ends."""
        threads = [
            threading.Thread(target=self.run_short_streams, args=[daemon])
            for daemon in self.daemons
            for _ in range(3)
        ]
        for thread in threads:
            thread.start()
        self.addCleanup(self.stopped.set)
        return threads

    def start_long(self):
        """Start streams that outlast the change; return them once each has delivered tokens."""
        long = [
            self.open_stream(daemon, LONG_STREAM_TOKENS)
            for daemon in self.daemons
            for _ in range(4)
        ]
        return [stream.read(5) for stream in long]

    def assert_streams_complete(self, long, threads):
        for stream in long:
            stream.read()
            self.assertIsNone(stream.error)
            self.assertEqual(stream.offsets(), list(range(LONG_STREAM_TOKENS)))
        self.stopped.set()
        for thread in threads:
            thread.join()
        self.assertEqual([stream.error for stream in self.short_streams if stream.error], [])

    def set_zone(self, enabled):
        value = {"name": ZONE, "region": f"{ZONE}-region", "enabled": enabled}
        status, answer = self.fleet.apply(
            self.daemons[1], f"zone-{enabled}", {f"zone/{ZONE}": value}
        )
        self.assertEqual(status, 200, answer)
        return time.monotonic()

    def test_a_disabled_zone_gets_no_new_work_keeps_its_streams_and_returns(self):
        # Guards against new work for a disabled zone, against streams that are cut when it is
        # disabled, and against sending its servers more work than newly started ones can handle
        # when it is enabled again.
        threads = self.start_load()
        wait_for(lambda: self.count_starts() > 5, "work in the zone")
        long = self.start_long()
        accepted = self.set_zone(False)
        wait_for(lambda: time.monotonic() > accepted + GRACE_S, "the end of the grace period")
        before = self.count_starts()
        wait_for(
            lambda: time.monotonic() > accepted + GRACE_S + WATCH_S, "the end of the observation"
        )
        self.assertEqual(self.count_starts(), before)
        served = len(self.short_streams)
        wait_for(lambda: len(self.short_streams) > served + 20, "service by the other zones")
        self.set_zone(True)
        wait_for(lambda: self.count_starts() > before + 20, "work after the return")
        self.assert_streams_complete(long, threads)
        self.assertTrue(
            all(item.popen.poll() is None for engines in self.engines.values() for item in engines)
        )

    def test_leaving_servers_get_no_new_work_and_keep_their_streams(self):
        # Guards against new work for a server that the VM list or its load report marks as leaving.
        listed, own = self.engines[ZONE]
        threads = self.start_load()
        wait_for(
            lambda: min(self.count_starts_at(listed), self.count_starts_at(own)) > 3, "work at both"
        )
        long = self.start_long()
        name = next(n for n, vm in self.fleet.vms.items() if vm["address"] == listed.address)
        self.fleet.vms[name]["state"] = "leaving"
        self.fleet.publish_vms()
        post(own.address, "/control", {"state": "leaving"})
        reported = time.monotonic()
        wait_for(
            lambda: time.monotonic() > reported + LEAVING_GRACE_S, "the end of the grace period"
        )
        before = [self.count_starts_at(listed), self.count_starts_at(own)]
        wait_for(
            lambda: time.monotonic() > reported + LEAVING_GRACE_S + WATCH_S,
            "the end of the observation",
        )
        self.assertEqual([self.count_starts_at(listed), self.count_starts_at(own)], before)
        self.assert_streams_complete(long, threads)
