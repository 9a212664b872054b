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

    def test_the_commands_print_tables_and_json(self):
        # Guards against commands that omit lines, or exit with 0 for an unknown request or file.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("\n".join(LOG))
            run = CliRunner().invoke
            self.assertIn("broken_off", run(app, ["logs", "explain", "a", str(path)]).output)
            self.assertIn("broken_off", run(app, ["logs", "refusals", str(path)]).output)
            shown = run(app, ["logs", "explain", "a", str(path), "--json"]).output
            self.assertEqual(len(json.loads(shown)), 3)
            self.assertEqual(run(app, ["logs", "explain", "zz", str(path)]).exit_code, 1)
            self.assertEqual(run(app, ["logs", "refusals", "/nonexistent"]).exit_code, 2)
