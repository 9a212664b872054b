"""Commands for roll-outs of services to other versions."""

import json
from typing import Annotated

import typer

from lovageway import dump

app = typer.Typer(no_args_is_help=True, help="Inspect roll-outs of services to other versions.")


@app.callback()
def rollouts() -> None:
    """Keep `list` a command of its own."""


@app.command("list")
def list_rollouts(
    address: Annotated[str, typer.Argument(help="IP:PORT of a daemon's metrics.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON value.")] = False,
) -> None:
    """Show the roll-outs as a daemon knows them, with the answers of both versions."""
    found = dump.read(address, "rollouts")
    if as_json:
        typer.echo(json.dumps(found))
        return
    typer.echo(
        f"{'service':<20}  {'to':<12}  {'phase':<10}  {'share':>6}  {'left s':>7}  {'heard s':>7}  "
        f"{'sent':>6}  {'new':>5}  answers of the new version (bad), of the old one (bad)"
    )
    for item in found:
        answers = [sum(counts) for counts in zip(*item["evidence"].values(), strict=True)]
        new, new_bad, old, old_bad = answers or [0, 0, 0, 0]
        typer.echo(
            f"{item['service']:<20}  {item['to']:<12}  {item['phase'] or 'unknown':<10}  "
            f"{item['share']:>6.3f}  {item['left_s']:>7}  {item['heard_s']:>7}  "
            f"{item['sent']:>6}  {item['sent_new']:>5}  {new} ({new_bad}), {old} ({old_bad})"
        )
