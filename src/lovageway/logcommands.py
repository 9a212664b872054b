"""Commands that read the logs of daemons."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from lovageway import logreader

EXIT_NOT_FOUND = 1

app = typer.Typer(no_args_is_help=True, help="Read the logs of daemons.")

Files = Annotated[list[Path], typer.Argument(help="Log files of one or more daemons.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON value.")]


def _lines(files: list[Path]) -> Iterator[logreader.Line]:
    for path in files:
        try:
            with path.open(errors="replace") as text:
                yield from logreader.parse(text)
        except OSError as exc:
            raise typer.BadParameter(f"{path}: {exc.strerror}") from exc


@app.command()
def explain(attempt_id: str, files: Files, as_json: AsJson = False) -> None:
    """Show the log lines of one request on all daemons, with the events that affected it."""
    found = logreader.explain(_lines(files), attempt_id)
    if as_json:
        typer.echo(json.dumps([line._asdict() for line in found]))
    for line in () if as_json else found:
        fields = " ".join(f"{key}={value}" for key, value in line.fields.items() if key != "id")
        typer.echo(f"{line.at} {line.daemon:<20} {line.event:<18} {fields}")
    if not found:
        typer.echo(f"no line names the request {attempt_id}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND)


@app.command()
def refusals(files: Files, as_json: AsJson = False) -> None:
    """Count the requests without an answer from a server, by route and cause."""
    counts = logreader.refusals(_lines(files))
    if as_json:
        rows = [{"route": r, "outcome": o, "requests": n} for (r, o), n in counts.most_common()]
        typer.echo(json.dumps(rows))
        return
    typer.echo(f"{'requests':>8}  {'outcome':<22} route")
    for (route, outcome), count in counts.most_common():
        typer.echo(f"{count:>8}  {outcome:<22} {route}")


@app.command()
def losses(
    files: Files,
    first_s: Annotated[float, typer.Option(help="Target time to the first event or answer.")],
    pause_s: Annotated[float, typer.Option(help="Target for the longest pause in a stream.")],
    as_json: AsJson = False,
) -> None:
    """Count the requests that were lost or late, by cause, route, size and window of 2 s."""
    counts = logreader.losses(_lines(files), first_s, pause_s)
    if as_json:
        rows = [{**loss._asdict(), "requests": count} for loss, count in counts.most_common()]
        typer.echo(json.dumps(rows))
        return
    typer.echo(f"{'requests':>8}  {'window':>6}  {'size':<8} {'cause':<28} route")
    for loss, count in sorted(counts.items()):
        typer.echo(f"{count:>8}  {loss.window:>6}  {loss.size:<8} {loss.cause:<28} {loss.route}")
