"""Generates reference pages from the code: result codes, settings and metrics.

``python -m tools.pages`` writes them to docs/. A test compares the committed pages with the code.
"""

import sys
from pathlib import Path

from pydantic_core import PydanticUndefined

from lovageway import codes, metrics, settings, timing
from lovageway.forwarding import telemetry

DOCS = Path(__file__).resolve().parent.parent / "docs"
NOTE = "Generated from {source} by `python -m tools.pages`; change that file and run it again."


def codes_page() -> str:
    """Return the page with the table of result codes."""
    lines = [
        "# Result codes",
        "",
        NOTE.format(source="`codes.py`"),
        "",
        "`ran` is whether this request took effect. A refusal may override the column where the",
        "daemon has better information; its `retry_after_s` is the time to wait before a retry.",
        "",
        "| code | name | HTTP | ran | meaning | what to do |",
        "|---|---|---|---|---|---|",
    ]
    for code, info in codes.INFO.items():
        row = (int(code), code.name, info.status, info.ran, info.meaning, info.remedy)
        lines.append(f"| {' | '.join(map(str, row))} |")
    return "\n".join(lines) + "\n"


def settings_page() -> str:
    """Return the reference page of the settings file."""
    lines = ["# Settings", "", NOTE.format(source="`settings.py`"), ""]
    lines += [
        "Unknown keys are rejected. `lovageway check-config FILE` reports all problems at once."
    ]
    for section, field in settings.Settings.model_fields.items():
        model = field.annotation
        assert model is not None
        lines += ["", f"## [{section}]", "", model.__doc__ or "", ""]
        lines += ["| key | type | default | meaning |", "|---|---|---|---|"]
        for name, item in model.model_fields.items():
            required = item.default is PydanticUndefined
            default = "required" if required else f"`{item.default!r}`"
            type_name = getattr(item.annotation, "__name__", str(item.annotation))
            lines.append(f"| `{name}` | {type_name} | {default} | {item.description} |")
    return "\n".join(lines) + "\n"


def metrics_page() -> str:
    """Return the page that lists the metrics."""
    lines = ["# Metrics", "", NOTE.format(source="`metrics.py` and `timing.py`"), ""]
    lines += ["| metric | labels | meaning |", "|---|---|---|"]
    for name, (meaning, names) in metrics.COUNTERS.items():
        lines.append(f"| `lovageway_{name}_total` | {', '.join(names)} | {meaning} |")
    for name, (kind, meaning) in timing.METRICS.items():
        labels = ", ".join(timing.LABELS)
        lines.append(f"| `lovageway_{name}` ({kind}) | {labels} | {meaning} |")
    lines += ["", "## lovageway relay", "", "From `forwarding/telemetry.py`.", ""]
    lines += ["| metric | labels | meaning |", "|---|---|---|"]
    for name, (meaning, names) in telemetry.COUNTERS.items():
        lines.append(f"| `lovageway_{name}_total` | {', '.join(names)} | {meaning} |")
    for name, meaning in telemetry.GAUGES.items():
        lines.append(f"| `lovageway_{name}` (gauge) | | {meaning} |")
    for name, (meaning, names, _) in telemetry.HISTOGRAMS.items():
        lines.append(f"| `lovageway_{name}` (histogram) | {', '.join(names)} | {meaning} |")
    return "\n".join(lines) + "\n"


PAGES = {"codes.md": codes_page, "settings.md": settings_page, "metrics.md": metrics_page}


def main() -> int:
    """Write all pages."""
    for name, render in PAGES.items():
        (DOCS / name).write_text(render())
    return 0


if __name__ == "__main__":
    sys.exit(main())
