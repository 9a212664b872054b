"""Command line of the daemons and of the operators' commands."""

from pathlib import Path
from typing import Annotated

import typer

from lovageway import logcommands, operator, serving, settings
from lovageway.platform import launch
from lovageway.platform import settings as platform_settings

app = typer.Typer(no_args_is_help=True, help="Serves generations of unknown length.")
operator.register(app)
app.add_typer(logcommands.app, name="logs")


@app.command()
def serve(config: Annotated[Path, typer.Option(help="Settings file (TOML).")]) -> None:
    """Run the entry daemon."""
    raise typer.Exit(serving.run(config))


@app.command("check-config")
def check_config(config: Path) -> None:
    """Check a settings file and print every problem in it."""
    loaded = settings.load(config)
    if loaded.is_ok():
        typer.echo(f"{config}: no problems")
        return
    for problem in loaded.error:
        typer.echo(str(problem), err=True)
    raise typer.Exit(serving.EXIT_USAGE)


@app.command()
def relay(
    settings_file: Annotated[
        Path | None,
        typer.Option(
            "--settings", help="Settings file. Default: the file that the platform names."
        ),
    ] = None,
) -> None:
    """Run the daemon that forwards requests on the users' platform."""
    raise typer.Exit(launch.run(settings_file))


@app.command("check-settings")
def check_settings(path: Path) -> None:
    """Check a settings file of the platform."""
    loaded = platform_settings.load(path)
    if loaded.is_error():
        typer.echo(loaded.error, err=True)
        raise typer.Exit(serving.EXIT_USAGE)
    typer.echo(f"{path}: no problems")
