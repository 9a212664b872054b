"""Reads the state that a daemon of the forwarding path writes out for operators."""

import json
from typing import Any

import typer
import urllib3

from lovageway.forwarding.relay import DUMP_PATH

EXIT_UNREACHABLE = 3
TIMEOUT_S = 5.0


def read(address: str, key: str) -> Any:
    """Return one entry of a daemon's state.

    Parameters
    ----------
    address
        IP:PORT of the daemon's metrics.

    Raises
    ------
    typer.Exit
        No daemon answers at this address; the reason is printed.
    """
    try:
        url = f"http://{address}{DUMP_PATH}"
        reply = urllib3.PoolManager().request("GET", url, timeout=TIMEOUT_S, retries=False)
        return json.loads(reply.data)[key]
    except (urllib3.exceptions.HTTPError, ValueError, KeyError) as exc:
        typer.echo(f"{address}: no state of a daemon: {exc!r}; give the metrics address", err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from exc
