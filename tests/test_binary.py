"""The single-file executable serves from the process that was started."""

import contextlib
import io
import subprocess
import unittest
from pathlib import Path

from standins import demo
from standins.fleet import Fleet

from tests.builders import jar_returns_rows

ROOT = Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "lovageway"


class Binary(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        command = ["make", "--silent", "binary"]
        built = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=600)
        if built.returncode:
            raise RuntimeError(built.stderr)

    def test_the_started_process_serves_and_has_no_children(self):
        # Guards against a packaging tool that runs the program as a child process of a launcher,
        # which would not receive the signals sent to the started process.
        with Fleet(binary=str(BINARY)) as fleet:
            fleet.backend("crock-0", "crock-llm", "khangai", "engine")
            fleet.backend("counter-0", "counter-app", "khangai", "plain")
            daemon = fleet.daemon("entry-0", "khangai")
            fleet.begin(jar_returns_rows())
            with contextlib.redirect_stdout(io.StringIO()):
                self.assertEqual(len(demo.summary(daemon.address)), 40)
            pid = daemon.popen.pid
            children = Path(f"/proc/{pid}/task/{pid}/children").read_text()
            self.assertEqual(children, "")
            listening = {port for _, _, port in [daemon.address.rpartition(":")]}
            self.assertTrue(listening <= _listening_ports(pid))
            self.assertEqual(daemon.stop(), 0)

    def test_the_help_names_the_commands(self):
        # Guards against an executable that lacks a module.
        done = subprocess.run([BINARY, "--help"], capture_output=True, text=True, timeout=120)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("serve", done.stdout)


def _listening_ports(pid):
    """Return the ports that the process itself listens on."""
    inodes = set()
    for link in Path(f"/proc/{pid}/fd").iterdir():
        target = str(link.readlink())
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return {str(int(row[1].split(":")[1], 16)) for row in rows if row[9] in inodes}
