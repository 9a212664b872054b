"""Starts a daemon from a settings file."""

import sys
from pathlib import Path

from lovageway.platform import settings

EXIT_USAGE = 2


def run(path: Path | None) -> int:
    """Run the daemon until its drain is complete.

    Parameters
    ----------
    path
        Settings file; None to read its path from the environment variable
        `names.SETTINGS_VARIABLE`.

    Returns
    -------
    int
        0, or EXIT_USAGE after an error in the settings, which is printed to standard error.
    """
    path = path or settings.path_from_environment()
    if path is None:
        print(
            "no settings file: pass its path or set its variable in the environment",
            file=sys.stderr,
        )
        return EXIT_USAGE
    loaded = settings.load(path)
    if loaded.is_error():
        print(loaded.error, file=sys.stderr)
        return EXIT_USAGE
    from lovageway.forwarding import relay

    relay.serve(path, loaded.ok)
    return 0
