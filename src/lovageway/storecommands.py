"""Commands for what a daemon knows of the platform's store."""

import json
from typing import Annotated

import typer

from lovageway import dump

app = typer.Typer(
    no_args_is_help=True, help="Inspect what a daemon knows of the store and what the store lost."
)


@app.callback()
def store() -> None:
    """Keep `show` a command of its own."""


@app.command()
def show(
    address: Annotated[str, typer.Argument(help="IP:PORT of a daemon's metrics.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON value.")] = False,
) -> None:
    """Show the era of the store and the rows that hold although the store lost them."""
    tables = dump.read(address, "store")
    if as_json:
        typer.echo(json.dumps(tables))
        return
    for name, table in tables.items():
        risen = "" if table["risen_s"] is None else f", risen {table['risen_s']} s ago"
        typer.echo(
            f"{name}: era {table['era']}{risen}, version {table['version']}, "
            f"{table['kept_rows']} rows kept"
        )
        for row in table["kept"]:
            state = "removed" if row["removed"] else "kept"
            typer.echo(
                f"  {state}  {row['key']}  written in era {row['row'][0]} as {row['row'][1]}"
            )
