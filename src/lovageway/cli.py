"""Command line: the daemon and the operators' commands."""

from pathlib import Path
from typing import Annotated

import typer

from lovageway import operator, serving, settings

app = typer.Typer(no_args_is_help=True, help="Serves generations of unknown length.")
operator.register(app)


@app.command()
def serve(config: Annotated[Path, typer.Option(help="Settings file (TOML).")]) -> None:
    """Run the entry daemon."""
    raise typer.Exit(serving.run(config))


@app.command("check-config")
def check_config(config: Path) -> None:
    """Check a settings file and name every problem in it."""
    loaded = settings.load(config)
    if loaded.is_ok():
        typer.echo(f"{config}: no problems")
        return
    for problem in loaded.error:
        typer.echo(str(problem), err=True)
    raise typer.Exit(serving.EXIT_USAGE)
