"""Command line: the daemon and the operators' commands."""

from pathlib import Path
from typing import Annotated

import typer

from lovageway import logs, operator, settings
from lovageway.daemon import Daemon

app = typer.Typer(no_args_is_help=True, help="Serves generations of unknown length.")
operator.register(app)


@app.command()
def serve(config: Annotated[Path, typer.Option(help="Settings file (TOML).")]) -> None:
    """Run the entry daemon."""
    cfg = _load(config)
    _refuse(settings.secret_problems(cfg))
    logs.configure(cfg.log.form)
    Daemon(cfg).run()


@app.command("check-config")
def check_config(config: Path) -> None:
    """Check a settings file and name every problem in it."""
    _load(config)
    typer.echo(f"{config}: no problems")


def _load(path: Path) -> settings.Settings:
    loaded = settings.load(path)
    if loaded.is_ok():
        return loaded.ok
    _refuse(loaded.error)
    raise AssertionError("a failed load names at least one problem")


def _refuse(problems: list[settings.Problem]) -> None:
    for problem in problems:
        typer.echo(str(problem), err=True)
    if problems:
        raise typer.Exit(2)


def main() -> None:
    """Run the command line."""
    app()
