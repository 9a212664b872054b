"""Command that checks a configuration of the forwarding path before it is sent."""

import json
from pathlib import Path
from typing import Annotated

import typer

from lovageway import routecheck, serving
from lovageway.forwarding.model import RoutingConfig, Row
from lovageway.platform import names, records

EXIT_PROBLEMS = 1


def check_routes(
    path: Annotated[Path, typer.Argument(help="The new configuration (JSON).")],
    in_force: Annotated[
        Path | None, typer.Option(help="The one in force, to show what changes.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON value.")] = False,
) -> None:
    """Check a configuration: errors, entries without effect, contradictions, and differences.

    The exit code is 0 without problems, 1 with some, and 2 if a file cannot be read.
    """
    cfg = _read(path)
    findings = routecheck.check(cfg)
    differences = []
    if in_force is not None:
        old = _read(in_force)
        differences = routecheck.compare(old, cfg)
        if cfg.version <= old.version and differences:
            text = f"version {cfg.version} must be higher than {old.version}, or nothing changes"
            findings.append(routecheck.Finding("error", "version", text))
    if as_json:
        fields = {
            "version": cfg.version,
            "findings": [item._asdict() for item in findings],
            "differences": [item._asdict() for item in differences],
        }
        typer.echo(json.dumps(fields))
    else:
        for finding in findings:
            typer.echo(f"{finding.kind}: {finding.place}: {finding.text}", err=True)
        for item in differences:
            fields_text = f" ({', '.join(item.fields)})" if item.fields else ""
            typer.echo(f"{item.change}: {item.place}{fields_text}")
        if not findings:
            typer.echo(f"{path}: no problems")
    if findings:
        raise typer.Exit(EXIT_PROBLEMS)


def _read(path: Path) -> RoutingConfig:
    try:
        row = Row(names.OPERATOR_TABLE, names.CONFIG_KEY, path.read_bytes(), 0)
        return records.config(row)
    except OSError as exc:
        typer.echo(f"{path}: {exc.strerror}", err=True)
    except records.UnreadableRowError as exc:
        typer.echo(
            f"{path}: cannot be read, so daemons would keep the one in force: {exc}", err=True
        )
    raise typer.Exit(serving.EXIT_USAGE)
