"""Runs the daemon of the forwarding path on the platform, from a checkout of the repository."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from lovageway.platform import launch  # noqa: E402

sys.exit(launch.run(None))
