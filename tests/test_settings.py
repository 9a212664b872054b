"""Checking settings reports every problem at once, with its key and the allowed values."""

import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from lovageway import settings
from lovageway.cli import app

GOOD = """
[daemon]
vm_id = "entry-1"
zone = "khangai"
[platform]
table_url = "http://127.0.0.1:1"
vm_list_url = "http://127.0.0.1:1/v1/vms"
[keys]
peer_key_files = ["peer.key"]
resume_key_files = ["resume.key"]
operator_key_files = ["operator.key"]
"""
BAD = GOOD.replace('zone = "khangai"', "zone = 5\nlisten = 'x'\ncolour = 'red'").replace(
    "[platform]", "[platform]\nweight_loads_per_s = 0"
)


class Settings(unittest.TestCase):
    def setUp(self):
        self.dir = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def write(self, text):
        path = self.dir / "settings.toml"
        path.write_text(text)
        return path

    def test_a_good_file_is_loaded_with_defaults(self):
        # Guards against a default value that its own check rejects.
        loaded = settings.load(self.write(GOOD))
        self.assertTrue(loaded.is_ok())
        self.assertEqual(loaded.ok.log.form, "json")

    def test_every_problem_is_named_at_once_with_its_key(self):
        # Guards against an operator who has to start the daemon once for each mistake.
        problems = settings.load(self.write(BAD)).error
        keys = {problem.key for problem in problems}
        wanted = {"daemon.zone", "daemon.listen", "daemon.colour", "platform.weight_loads_per_s"}
        self.assertEqual(keys, wanted)

    def test_files_that_are_missing_or_not_toml_are_problems_too(self):
        # Guards against a traceback instead of a message.
        for path in (self.dir / "none", self.write("[daemon"), self.write("x = 1")):
            with self.subTest(path=path):
                self.assertTrue(settings.load(path).is_error())

    def test_the_check_command_exits_with_2_and_prints_every_problem(self):
        # Guards against a wrong exit code, which scripts depend on.
        runner = CliRunner()
        good = runner.invoke(app, ["check-config", str(self.write(GOOD))])
        self.assertEqual(good.exit_code, 0, good.output)
        bad = runner.invoke(app, ["check-config", str(self.write(BAD))])
        self.assertEqual(bad.exit_code, 2)
        self.assertIn("daemon.colour = 'red'", bad.output)

    def test_serving_without_readable_secrets_is_refused_with_the_key_of_each(self):
        # Guards against a traceback, or a daemon that starts without peer authentication.
        done = CliRunner().invoke(app, ["serve", "--config", str(self.write(GOOD))])
        self.assertEqual(done.exit_code, 2)
        for key in ("peer_key_files", "resume_key_files", "operator_key_files"):
            self.assertIn(f"keys.{key}", done.output)

    def test_a_short_secret_is_refused_without_being_shown(self):
        # Guards against weak keys, and against secrets printed in error messages.
        path = self.write("hunter2")
        with self.assertRaises(ValueError) as caught:
            settings.read_secret(path)
        self.assertNotIn("hunter2", str(caught.exception))
