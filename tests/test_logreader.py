"""Reading the logs of several daemons."""

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from lovageway import logreader
from lovageway.cli import app


def line(at, event, daemon="d1", **fields):
    return json.dumps({"timestamp": at, "event": event, "daemon": daemon, **fields})


LOG = [
    "   1.25 d1 " + line("t2", "request", id="a", outcome="broken_off", servers=["i-1"], route="r"),
    line("t1", "placed", id="a", server="i-1"),
    line("t1", "placed", id="b", server="i-2"),
    line("t1", "server", server="i-1", leaving=True),
    line("t1", "server", server="i-9", leaving=True),
    line("t1", "store_lost", daemon="d2"),
    line("t9", "store_lost"),
    line("t3", "request", id="b", outcome="answered"),
    "not json {",
    "{}",
]


class Reading(unittest.TestCase):
    def test_a_requests_lines_come_with_what_its_daemon_and_server_met(self):
        # Guards against an explanation that omits the notice that the request's engine is leaving.
        found = logreader.explain(logreader.parse(LOG), "a")
        self.assertEqual([item.event for item in found], ["placed", "server", "request"])

    def test_refusals_are_counted_by_cause(self):
        # Guards against refusals counted under a wrong route or outcome, and answered requests
        # counted as refusals.
        self.assertEqual(dict(logreader.refusals(logreader.parse(LOG))), {("r", "broken_off"): 1})

    def losses(self, *texts):
        counts = logreader.losses(logreader.parse(texts), first_s=1.5, pause_s=0.18)
        return {(loss.cause, loss.size, loss.window): count for loss, count in counts.items()}

    def test_losses_are_counted_by_cause_size_and_window(self):
        # Guards against a table that shows where requests are lost under a wrong cause.
        at = "2026-03-07T20:29:{:02}Z".format
        stream = {"outcome": "answered", "status": 200, "first_ms": 300, "longest_pause_ms": 90}
        found = self.losses(
            line(at(0), "start"),
            line(at(1), "placed", id="gone"),
            line(at(1), "request", id="a", events=9, **{**stream, "first_ms": 1600}),
            line(at(2), "request", id="b", events=99, **{**stream, "longest_pause_ms": 200}),
            line(at(2), "request", id="c", events=300, **stream),
            line(at(3), "request", id="d", events=300, outcome="broken_off"),
            line(at(4), "leaving"),
            line(at(5), "request", id="e", events=300, outcome="broken_off"),
            line(at(5), "request", id="f", outcome="queue_full", status=503),
            line(at(5), "request", id="g", outcome="answered", status=500, ms=20),
        )
        expected = {
            ("lost with its daemon", "unknown", 0): 1,
            ("first event late", "short", 0): 1,
            ("pause too long", "medium", 1): 1,
            ("lost with its engine", "long", 1): 1,
            ("lost in a planned stop", "long", 2): 1,
            ("refused: queue_full", "call", 2): 1,
            ("server failure", "call", 2): 1,
        }
        self.assertEqual(found, expected)

    def test_lines_with_odd_values_are_counted_without_an_error(self):
        # Guards against a table that one damaged line prevents.
        text = line("soon", "request", id=7, outcome="answered", status="x", first_ms=None, ms=[1])
        self.assertEqual(self.losses(text), {})
        self.assertEqual(self.losses(), {})

    def test_the_commands_print_tables_and_json(self):
        # Guards against commands that omit lines, or exit with 0 for an unknown request or file.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("\n".join(LOG))
            run = CliRunner().invoke
            self.assertIn("broken_off", run(app, ["logs", "explain", "a", str(path)]).output)
            self.assertIn("broken_off", run(app, ["logs", "refusals", str(path)]).output)
            targets = ["--first-s", "1.5", "--pause-s", "0.18"]
            table = run(app, ["logs", "losses", str(path), *targets]).output
            self.assertIn("lost with its engine", table)
            rows = json.loads(run(app, ["logs", "losses", str(path), *targets, "--json"]).output)
            self.assertEqual(rows[0]["requests"], 1)
            shown = run(app, ["logs", "explain", "a", str(path), "--json"]).output
            self.assertEqual(len(json.loads(shown)), 3)
            self.assertEqual(run(app, ["logs", "explain", "zz", str(path)]).exit_code, 1)
            self.assertEqual(run(app, ["logs", "refusals", "/nonexistent"]).exit_code, 2)
