"""Commands for requests and parts of prompts that are held back because they crash servers."""

import asyncio
import json
import time
from pathlib import Path
from typing import Annotated

import typer

from lovageway import dump
from lovageway.forwarding.inputturns import InputTurns
from lovageway.forwarding.model import Address
from lovageway.forwarding.poisonspread import SUSPECTS_TABLE
from lovageway.forwarding.storewatch import StoreClient, StoreError
from lovageway.platform import heads
from lovageway.platform import settings as platform_settings

EXIT_NOT_FOUND = 1

app = typer.Typer(
    no_args_is_help=True,
    help="Inspect and release requests and prompt parts that are held back as they crash servers.",
)


@app.command("list")
def list_suspects(
    address: Annotated[str, typer.Argument(help="IP:PORT of a daemon's metrics.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON value.")] = False,
) -> None:
    """Show what a daemon holds back, with its evidence."""
    suspects = dump.read(address, "suspects")
    if as_json:
        typer.echo(json.dumps(suspects))
        return
    typer.echo(f"{'mark':<16}  {'crashes':>7}  {'first s ago':>11}  {'last s ago':>10}  suspect")
    for held in suspects:
        typer.echo(
            f"{held['mark']:<16}  {held['crashes']:>7}  {held['first_crash_s']:>11}  "
            f"{held['last_crash_s']:>10}  {held['label']}"
        )
        if held["with_marks"]:
            typer.echo(f"{'':<16}  only in requests that also have {' '.join(held['with_marks'])}")


@app.command()
def release(
    mark: str,
    settings_file: Annotated[
        Path, typer.Option("--settings", help="Settings file of a daemon, for the store's address.")
    ],
) -> None:
    """Return a suspect to service on all daemons, within half a minute."""
    loaded = platform_settings.load(settings_file)
    if loaded.is_error():
        raise typer.BadParameter(loaded.error)
    try:
        found = asyncio.run(_remove_row(loaded.ok.store.address, mark))
    except (StoreError, ValueError) as exc:
        typer.echo(f"the store did not remove the row: {exc}; try again", err=True)
        raise typer.Exit(dump.EXIT_UNREACHABLE) from exc
    if not found:
        typer.echo(f"no suspect has the mark {mark}; `suspects list` shows the marks", err=True)
        raise typer.Exit(EXIT_NOT_FOUND)
    typer.echo(f"{mark} is released; the daemons read this within half a minute")


async def _remove_row(address: Address, mark: str) -> bool:
    """Remove the row of a suspect; return False if there is none."""
    client = StoreClient(address, heads.answer, time.monotonic, InputTurns(time.monotonic))
    page = await client.read(SUSPECTS_TABLE)
    if not any(row.key == mark for row in page.rows):
        return False
    await client.remove(SUSPECTS_TABLE, mark)
    return True
