"""Configuration changes by operator commands: read rows from a file, apply those that differ."""

import json
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import typer

from lovageway import _client
from lovageway._client import Client, CommandError

WAIT_S = 30.0  # how long `--wait` waits until a version is in force on each live VM
POLL_INTERVAL_S = 0.1
TABLES = {
    "contract": "account",
    "service": "name",
    "zone": "name",
    "server": "server_id",
    "order": "server_id",
}
"""Tables by name; the value is the field that repeats NAME of the row's key "TABLE/NAME"."""


class Session(NamedTuple):
    """Client and output format of one command."""

    client: Client
    as_json: bool

    def show(self, value: object, text: str) -> None:
        """Print the value as JSON, or the text if JSON was not requested."""
        typer.echo(json.dumps(value, indent=1) if self.as_json else text)


def apply_changes(
    session: Session,
    wanted: Mapping[str, dict[str, Any] | None],
    current: dict[str, Any],
    base_version: int | None,
    wait: bool,
    dry_run: bool = False,
) -> None:
    """Apply the rows that differ from those in force, and print the difference.

    Parameters
    ----------
    session
        Client and output format.
    wanted
        Rows by key; None deletes a row.
    current
        Configuration in force, as the daemon returned it.
    base_version
        Version that must be in force for the change to be accepted.
    wait
        Whether to wait until the change is in force on all live VMs.
    dry_run
        Whether to print the difference only.
    """
    rows = current["rows"]
    changed = {key: value for key, value in wanted.items() if rows.get(key) != value}
    changes = [{"key": key, "value": value} for key, value in changed.items()]
    difference = [_describe_difference(key, rows.get(key), value) for key, value in changed.items()]
    if not changes or dry_run:
        version = current["version"]
        text = "\n".join(difference) or f"Nothing to change in version {version}."
        session.show({"version": version, "accepted": False, "changes": changes}, text)
        return
    version = session.client.apply(changes, base_version)
    result = {"version": version, "accepted": True, "changes": changes}
    if not session.as_json:
        typer.echo("\n".join([*difference, f"Accepted as version {version}."]))
    if wait:
        result["spread"] = _wait_in_force(session, version)
    if session.as_json:
        typer.echo(json.dumps(result, indent=1))


def _describe_difference(key: str, old: dict[str, Any] | None, new: dict[str, Any] | None) -> str:
    if new is None:
        return f"- {key}"
    if old is None:
        return f"+ {key} = {json.dumps(new)}"
    fields = [
        f"{name}: {json.dumps(old.get(name))} -> {json.dumps(new.get(name))}"
        for name in sorted({*old, *new})
        if old.get(name) != new.get(name)
    ]
    return f"~ {key}: " + ", ".join(fields)


def _wait_in_force(session: Session, version: int) -> dict[str, Any]:
    """Wait until the version is in force on each live VM; print progress to standard error."""
    deadline, printed = time.monotonic() + WAIT_S, ""
    while True:
        spread: dict[str, Any] = session.client.get(f"/admin/config/spread?version={version}")
        missing = [f"{item['vm_id']} (version {item['version']})" for item in spread["missing"]]
        in_force = len(spread["in_force"])
        text = f"In force on {in_force} of {in_force + len(missing)} live VMs."
        text += f" Missing: {', '.join(missing)}." if missing else ""
        if spread["not_live"]:
            text += f" Listed but not live: {', '.join(spread['not_live'])}."
        if text != printed:
            typer.echo(text, err=True)
            printed = text
        if not missing:
            return spread
        if time.monotonic() >= deadline:
            raise CommandError(
                _client.NOT_EVERYWHERE,
                f"Version {version} is accepted, but after {WAIT_S:.0f} s it is missing on: "
                + ", ".join(missing),
                {"version": version, "accepted": True, "spread": spread},
            )
        time.sleep(POLL_INTERVAL_S)


def read_file(path: Path) -> dict[str, dict[str, Any] | None]:
    """Return the rows in a TOML or JSON file by key; None deletes a row."""
    try:
        text = path.read_text()
        found = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as exc:
        raise CommandError(_client.USAGE, f"{path}: {exc}") from exc
    problems: list[str] = []
    wanted: dict[str, dict[str, Any] | None] = {}
    for table, rows in found.items() if isinstance(found, dict) else ():
        if table == "delete" and isinstance(rows, list):
            wanted |= {str(key): None for key in rows}
        elif table not in TABLES or not isinstance(rows, dict):
            problems.append(f"{table}: expected a table for one of {', '.join(TABLES)}, or delete")
        else:
            for name, row in rows.items():
                if isinstance(row, dict):
                    wanted[f"{table}/{name}"] = {TABLES[table]: name, **row}
                else:
                    problems.append(f"{table}.{name}: expected a table of fields")
    if problems or not wanted:
        raise CommandError(_client.USAGE, f"{path}: " + ("; ".join(problems) or "no rows"))
    return wanted
