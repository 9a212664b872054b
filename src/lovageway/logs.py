"""Logging: one line on standard error for each change of state."""

import logging
import sys

import structlog


def configure(form: str) -> None:
    """Set up structlog for the whole process.

    Parameters
    ----------
    form
        "json" for one JSON object per line, "console" for readable text.
    """
    console = form == "console"
    renderer = structlog.dev.ConsoleRenderer() if console else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
