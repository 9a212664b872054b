"""Runs the commands in the operators' guide and in README.md, in the order of the pages."""

import contextlib
import re
import signal
import unittest
from pathlib import Path

from standins.fleet import Fleet, http, wait_for
from typer.testing import CliRunner

from lovageway import _client
from lovageway.cli import app
from tests.builders import JAR_ZONES, jar_returns_rows

ROOT = Path(__file__).resolve().parent.parent
PAGES = ("README.md", "docs/operators.md")
NOT_RUN = {
    "lovageway serve --config entry.toml": "serves until it is stopped; the fleet's daemons run it",
    "lovageway contract create": "names a command whose example stands under Contracts",
}
FILES = {
    "gobi.toml": """
[zone.gobi]
name = "gobi"
region = "south"
[contract.clerks]
account = "clerks"
key_hashes = ["abababababababababababababababababababababababababababababababab"]
services = ["crock-llm", "counter-app"]
requests_per_s = 50.0
concurrency = 20
tokens_per_s = 4000.0
""",
    "bad.toml": '[contract.clerks]\naccount = "clerks"\nconcurrency = "many"\n',
    "conflict.toml": '[zone.gobi]\nname = "gobi"\nregion = "north"\n',
}


def commands(page):
    """Yield each command on a page with its exit code, None if the page shows none."""
    text = (ROOT / page).read_text()
    for number, part in enumerate(re.split(r"^```.*\n", text, flags=re.MULTILINE)):
        if number % 2 == 0:
            for line in re.findall(r"`(lovageway [^`]+)`", part):
                yield " ".join(line.split()), None
            continue
        for line, output in re.findall(
            r"^\$ (lovageway .*)\n((?:(?!\$ ).*\n)*)", part, re.MULTILINE
        ):
            code = re.search(r"^\[exit code (\d+)\]$", output, re.MULTILINE)
            yield line, int(code[1]) if code else None


class Guide(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        for number, zone in enumerate(JAR_ZONES):
            self.fleet.daemon(f"entry-{number}", zone)
        self.fleet.backend("crock-0", "crock-llm", "gobi", "engine")
        self.fleet.backend("counter-0", "counter-app", "khangai", "plain")
        self.fleet.begin(jar_returns_rows())
        self.wait_live(3)
        for name, text in FILES.items():
            (self.fleet.dir / name).write_text(text)
        (self.fleet.dir / "examples").symlink_to(ROOT / "examples")
        self.enterContext(contextlib.chdir(self.fleet.dir))
        daemons = self.fleet.daemons.values()
        self.env = {
            "LOVAGEWAY_ADDRESSES": " ".join(p.addresses["operator_listen"] for p in daemons),
            "LOVAGEWAY_KEY_FILE": str(self.fleet.dir / "operator.key"),
        }
        self.seen = {}

    def wait_live(self, count):
        def live():
            for process in self.fleet.daemons.values():
                status = self.fleet.admin(process, "/admin/status")
                if not status["serving"] or len(status["daemons"]) != count:
                    return False
            return True

        wait_for(live, f"{count} daemons that know each other")

    def refused_request(self):
        """Return the id of a request that the first daemon refused."""
        address = self.fleet.daemons["entry-0"].address
        body = {"model": "crock-llm", "prompt": "x"}
        headers = {"Authorization": "Bearer unknown"}
        resp = http.request("POST", f"http://{address}/v1/completions", json=body, headers=headers)
        return resp.headers["X-Request-Id"]

    def run_line(self, line):
        """Run a command with the faults that the guide describes for it."""
        count = self.seen[line] = self.seen.get(line, 0) + 1
        stopped = self.fleet.daemons["entry-2"]
        env = self.env
        match line, count:
            case "lovageway zone take-out gobi --wait", 2:
                stopped.signal(signal.SIGSTOP)
            case "lovageway zone bring-back gobi", 1:
                self.fleet.control(lose=1, lose_of="config/")
            case "lovageway zone bring-back gobi", 2:
                self.fleet.control(table="down")
            case "lovageway zone bring-back gobi --timeout-s 1", _:
                self.fleet.control(lose=1, lose_of="config/", then="down")
            case "lovageway status", 2:
                env = {**env, "LOVAGEWAY_ADDRESSES": "127.0.0.1:1"}
        words = line.replace("REQUEST_ID", self.request_id).replace("NAME", "counter").split()
        try:
            return CliRunner().invoke(app, words[1:], env=env)
        finally:
            stopped.signal(signal.SIGCONT)
            self.fleet.control(table="up", lose=0, lose_of="", then="")

    def test_every_command_of_the_pages_ends_as_the_page_says(self):
        # Guards against a guide whose commands are mistyped, renamed or exit with another code.
        self.request_id = self.refused_request()
        lines = [found for page in PAGES for found in commands(page)]
        self.assertGreater(len(lines), 25)
        self.assertLessEqual(NOT_RUN.keys(), {line for line, _ in lines}, "no longer on a page")
        for line, code in lines:
            if line in NOT_RUN:
                continue
            before = max(self.fleet.versions())
            with self.subTest(line=line):
                result = self.run_line(line)
                self.assertEqual(result.exit_code, code or 0, result.output)
            if code == _client.UNKNOWN:
                # The write took effect; the daemons read it now that the table service is back.
                wait_for(lambda old=before: min(self.fleet.versions()) > old, "the next version")
