"""Checks the settings and runs the daemon without importing the command line's libraries.

An imported module stays in memory, so `serve` does not import typer and rich, which together take
about 5 MB. ``python -m bench.idle`` measures it.
"""

import sys
from pathlib import Path

EXIT_USAGE = 2


def run(path: Path) -> int:
    """Serve until a planned stop is complete.

    Returns
    -------
    int
        0, or EXIT_USAGE after printing every problem of the settings to standard error.
    """
    _import_structlog()
    from lovageway import logs, settings
    from lovageway.daemon import Daemon

    loaded = settings.load(path)
    problems = settings.secret_problems(loaded.ok) if loaded.is_ok() else loaded.error
    for problem in problems:
        print(problem, file=sys.stderr)
    if problems:
        return EXIT_USAGE
    logs.configure(loaded.ok.log.form)
    Daemon(loaded.ok).run()
    return 0


def _import_structlog() -> None:
    """Import structlog without rich.

    structlog imports rich if it is installed, only to print tracebacks in colour. Log lines of the
    daemon carry tracebacks as plain text in both forms.
    """
    if "structlog" in sys.modules or "rich" in sys.modules:
        return
    sys.modules["rich"] = None  # type: ignore[assignment]
    try:
        import structlog  # noqa: F401
    finally:
        del sys.modules["rich"]
