"""Command line: runs the two kinds of daemon, checks their settings and holds operator commands.

`serve` runs a daemon of lovageway's own interface: it accepts OpenAI completions and calls of
plain services, and chooses a backend server for each. `relay` runs a daemon that forwards arbitrary
HTTP requests by the route table of the platform in `lovageway.platform`. Their settings files have
different formats: `check-config` checks those of `serve`, `check-settings` those of `relay`,
and `check-routes` a route table before it is sent.
"""

from pathlib import Path
from typing import Annotated

import typer

from lovageway import (
    limitcommands,
    logcommands,
    operator,
    rolloutcommands,
    routecommands,
    serving,
    settings,
    storecommands,
    suspectcommands,
)
from lovageway.platform import launch, names
from lovageway.platform import settings as platform_settings

app = typer.Typer(
    no_args_is_help=True,
    help="Runs daemons that route requests to inference engines and HTTP services, and commands "
    "to inspect and configure them.",
)
operator.register(app)
app.add_typer(logcommands.app, name="logs")
app.add_typer(suspectcommands.app, name="suspects")
app.add_typer(limitcommands.app, name="limits")
app.add_typer(storecommands.app, name="store")
app.add_typer(rolloutcommands.app, name="rollouts")
app.command("check-routes")(routecommands.check_routes)


@app.command()
def serve(config: Annotated[Path, typer.Option(help="Settings file (TOML).")]) -> None:
    """Run a daemon that serves OpenAI completions and calls of plain services."""
    raise typer.Exit(serving.run(config))


@app.command("check-config")
def check_config(config: Path) -> None:
    """Check a settings file of `serve` and print every problem in it."""
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
            "--settings",
            help="Settings file (JSON or YAML). "
            f"Default: the path in the environment variable {names.SETTINGS_VARIABLE}.",
        ),
    ] = None,
) -> None:
    """Run a daemon that forwards arbitrary HTTP requests according to a route table."""
    raise typer.Exit(launch.run(settings_file))


@app.command("check-settings")
def check_settings(path: Path) -> None:
    """Check a settings file of `relay` and print the first problem in it."""
    loaded = platform_settings.load(path)
    if loaded.is_error():
        typer.echo(loaded.error, err=True)
        raise typer.Exit(serving.EXIT_USAGE)
    typer.echo(f"{path}: no problems")
