"""`serve` runs without the libraries of the command line."""

import subprocess
import sys
import unittest
from pathlib import Path

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "entry.toml"


class Serving(unittest.TestCase):
    def test_serving_loads_neither_typer_nor_rich(self):
        # Guards against 5 MB of memory in every daemon for libraries that only the operators'
        # commands use.
        args = [sys.executable, "-X", "importtime", "-m", "lovageway", "serve"]
        done = subprocess.run(
            [*args, "--config", str(EXAMPLE)], capture_output=True, text=True, timeout=60
        )
        self.assertEqual(done.returncode, 2, "the example's key files do not exist")
        loaded = {line.rpartition("|")[2].strip() for line in done.stderr.splitlines()}
        self.assertIn("lovageway.daemon", loaded)
        # importtime also lists "rich" itself when its import is blocked.
        self.assertFalse(loaded & {"typer", "rich.console", "rich.pretty"})
        self.assertIn("keys.peer_key_files = ", done.stderr)

    def test_other_spellings_of_the_command_serve_too(self):
        # Guards against an entry point that accepts only one form of the option.
        args = [sys.executable, "-m", "lovageway", "serve", f"--config={EXAMPLE}"]
        done = subprocess.run(args, capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, 2)
        self.assertIn("keys.peer_key_files = ", done.stderr)
