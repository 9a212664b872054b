"""Commands for the limits on requests that backend servers name."""

import json
from typing import Annotated

import typer

from lovageway import dump

app = typer.Typer(
    no_args_is_help=True,
    help="Inspect the limits on requests that servers name in their answers.",
)


@app.callback()
def limits() -> None:
    """Keep `list` a command of its own."""


@app.command("list")
def list_limits(
    address: Annotated[str, typer.Argument(help="IP:PORT of a daemon's metrics.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON value.")] = False,
) -> None:
    """Show the limits in force as a daemon knows them, with its share of each."""
    servers = [server for server in dump.read(address, "servers") if server["limit"]]
    if as_json:
        typer.echo(json.dumps(servers))
        return
    typer.echo(
        f"{'server':<20}  {'a second':>8}  {'age s':>6}  {'share':>5}  {'window s':>8}  "
        f"{'sent':>4}  {'held off':>8}  {'service':<16}  source"
    )
    for server in servers:
        limit = server["limit"]
        typer.echo(
            f"{server['id']:<20}  {limit['per_s']:>8g}  {limit['age_s']:>6}  {limit['share']:>5}  "
            f"{limit['window_s']:>8g}  {limit['sent']:>4}  {limit['held_off']:>8}  "
            f"{server['service']:<16}  {limit['source']}"
        )
