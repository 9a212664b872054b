"""Metrics of the forwarding path."""

import subprocess
import sys
import unittest

from lovageway.forwarding.telemetry import COUNTERS, GAUGES, HISTOGRAMS, Telemetry


class Text(unittest.TestCase):
    def test_counts_sums_and_buckets_are_exported(self):
        # Guards against exported names or values that change with the way they are stored.
        telemetry = Telemetry()
        telemetry.add("forwarded", "call", "answered")
        telemetry.add("forwarded", "call", "answered", amount=2)
        telemetry.set("live_daemons", 7)
        for seconds in (0.05, 0.06, 99.0):
            telemetry.observe("answer_seconds", seconds, "call")
        text = telemetry.text().decode()
        for line in (
            'lovageway_forwarded_total{kind="call",outcome="answered"} 3.0',
            "lovageway_live_daemons 7.0",
            "lovageway_pauses_total 0.0",
            'lovageway_answer_seconds_bucket{kind="call",le="0.05"} 1.0',
            'lovageway_answer_seconds_bucket{kind="call",le="0.1"} 2.0',
            'lovageway_answer_seconds_bucket{kind="call",le="+Inf"} 3.0',
            'lovageway_answer_seconds_count{kind="call"} 3.0',
        ):
            self.assertIn(line + "\n", text)
        for name in (*COUNTERS, *GAUGES, *HISTOGRAMS):
            self.assertIn(f"# HELP lovageway_{name}", text)

    def test_a_start_loads_neither_the_exporter_nor_yaml(self):
        # Guards against imports that delay the start by a third of a second on each of hundreds of
        # small VMs.
        code = (
            "import sys, lovageway.platform.launch, lovageway.forwarding.relay;"
            "print(sorted({'prometheus_client', 'yaml', 'http.server'} & {*sys.modules}))"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)
