"""Runs a daemon with a configuration policy that its settings file cannot express.

``python -m bench.variant_daemon '{"push": false}' serve --config FILE``
"""

import json
import sys
from pathlib import Path

from lovageway import logs, settings
from lovageway.controllers._freshness import Policy
from lovageway.daemon import Daemon

if __name__ == "__main__":
    policy = Policy(**json.loads(sys.argv[1]))
    cfg = settings.load(Path(sys.argv[4])).ok
    logs.configure(cfg.log.form)
    Daemon(cfg, policy).run()
