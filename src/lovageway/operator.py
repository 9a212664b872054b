"""Operator commands.

`status`, `dump`, `explain` and `account` show the state of a daemon, the decisions about a request
and the limits of a client account. `config`, `contract`, `zone` and `server` show and change the
configuration.
"""

import hashlib
import inspect
import json
import secrets
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Annotated, Any, NamedTuple, ParamSpec

import typer

from lovageway import _client
from lovageway._changes import TABLES, Session, apply_changes, read_file
from lovageway._client import Client, CommandError

P = ParamSpec("P")

config_app = typer.Typer(no_args_is_help=True, help="Show and change the configuration.")
contract_app = typer.Typer(no_args_is_help=True, help="Create, change and remove contracts.")
zone_app = typer.Typer(
    no_args_is_help=True, help="Take availability zones out of service and bring them back."
)
server_app = typer.Typer(
    no_args_is_help=True, help="Take backend servers out of service and bring them back."
)

Addresses = Annotated[
    list[str],
    typer.Option(
        "--address",
        envvar="LOVAGEWAY_ADDRESSES",
        help="IP:PORT of a daemon's operator listener. May be repeated; the next is tried if one "
        "fails.",
    ),
]
KeyFile = Annotated[
    Path, typer.Option("--key-file", envvar="LOVAGEWAY_KEY_FILE", help="File with an operator key.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON value.")]
Timeout = Annotated[
    float, typer.Option(help="How long to retry a change whose outcome is unknown, in seconds.")
]
Wait = Annotated[
    bool, typer.Option("--wait", help="Wait until the change is in force on each live VM.")
]
DryRun = Annotated[bool, typer.Option("--dry-run", help="Show the difference, change nothing.")]


def _command(function: Callable[P, None]) -> Callable[P, None]:
    """Wrap a command so that a CommandError is printed as text or JSON and sets the exit code."""

    @wraps(function)
    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        try:
            function(*args, **kwargs)
        except CommandError as exc:
            if kwargs.get("as_json"):
                typer.echo(json.dumps({**exc.body, "exit_code": exc.exit_code}, indent=1))
            else:
                typer.echo(str(exc), err=True)
            raise typer.Exit(exc.exit_code) from None

    return run


# ---- reading ------------------------------------------------------------------------------------


@_command
def status(address: Addresses, key_file: KeyFile, as_json: AsJson = False) -> None:
    """Show the daemon that answers, the live daemons with their versions and the servers."""
    session = Session(Client(address, key_file, 0.0), as_json)
    found = session.client.get("/admin/status")
    session.show(found, _status_text(found))


def _status_text(found: dict[str, Any]) -> str:
    serving = "serving" if found["serving"] else f"refusing with {found['refuses']}"
    reachable = {True: "answers", False: "does not answer", None: "not asked yet"}
    age = found["freshness_s"]
    lines = [
        f"{found['vm_id']} in {found['zone']}: {serving}, version {found['version']}, "
        f"checked {'never' if age is None else f'{age:.1f} s ago'}, "
        f"{'majority' if found['majority'] else 'no majority'} contact",
        f"table service: {reachable[found['table']['reachable']]}",
    ]
    for item in found["daemons"]:
        lines.append(
            f"daemon {item['vm_id']} in {item['zone']}: {item['state']}, version {item['version']}"
        )
    lines += [f"daemon {vm_id}: listed, not live" for vm_id in found["listed_not_live"]]
    for item in found["servers"]:
        state = item["state"] if item["server_enabled"] else "taken out"
        zone = item["zone"] if item["zone_enabled"] else f"{item['zone']} (taken out)"
        lines.append(f"server {item['server_id']} of {item['service']} in {zone}: {state}")
    return "\n".join(lines)


@config_app.command("show")
@_command
def config_show(address: Addresses, key_file: KeyFile, as_json: AsJson = False) -> None:
    """Show the stored configuration rows and the latest changes."""
    session = Session(Client(address, key_file, 0.0), as_json)
    found = session.client.get("/admin/config")
    lines = [f"version {found['version']}"]
    lines += [f"{key} = {json.dumps(value)}" for key, value in sorted(found["rows"].items())]
    for entry in found["history"]:
        keys = ", ".join(entry["keys"])
        lines.append(f"change {entry['version']} by operation {entry['op_id']}: {keys}")
    session.show(found, "\n".join(lines))


@_command
def dump(address: Addresses, key_file: KeyFile, as_json: AsJson = True) -> None:
    """Print the complete state of the daemon that answers as JSON."""
    found = Client(address, key_file, 0.0).get("/admin/dump")
    typer.echo(json.dumps(found, indent=1))


@_command
def explain(
    request_id: str, address: Addresses, key_file: KeyFile, as_json: AsJson = False
) -> None:
    """Show the decisions about a recent request. Use the address of the daemon that received it."""
    session = Session(Client(address, key_file, 0.0), as_json)
    steps = session.client.get(f"/admin/explain/{request_id}")
    if not steps:
        raise CommandError(_client.NOT_FOUND, f"This daemon has recorded no request {request_id}.")
    lines = []
    for step in steps:
        rest = {key: value for key, value in step.items() if key not in ("at_s", "step")}
        lines.append(f"{step['at_s']:.3f} {step['step']} {json.dumps(rest)}")
    session.show(steps, "\n".join(lines))


@_command
def account(name: str, address: Addresses, key_file: KeyFile, as_json: AsJson = False) -> None:
    """Show the contract of a client account and its usage on the daemon that answers."""
    session = Session(Client(address, key_file, 0.0), as_json)
    found = session.client.get(f"/admin/accounts/{name}")
    lines = [f"{key} = {json.dumps(value)}" for key, value in found["contract"].items()]
    lines.append(f"owner of the limits: {found['owner']}")
    share = found["share_here"]
    use = "no share here"
    if share:
        parts = zip(found["parts"], share["amounts"], share["in_use"], strict=True)
        use = "; ".join(
            f"{part}: share {amount:g}, in use {used:g}" for part, amount, used in parts
        )
    lines.append(f"this daemon: {use}")
    session.show(found, "\n".join(lines))


# ---- changing -----------------------------------------------------------------------------------


@config_app.command("apply")
@_command
def config_apply(
    file: Path,
    address: Addresses,
    key_file: KeyFile,
    as_json: AsJson = False,
    dry_run: DryRun = False,
    wait: Wait = False,
    base_version: Annotated[
        int | None, typer.Option(help="Fail if another version is in force.")
    ] = None,
    timeout_s: Timeout = 30.0,
) -> None:
    """Apply the rows in a TOML or JSON file; rows that are not in the file stay unchanged."""
    session = Session(Client(address, key_file, timeout_s), as_json)
    wanted = read_file(file)
    current = session.client.get("/admin/config")
    # By default the base version is the one that the difference was computed from, so either that
    # difference is applied or the change is refused.
    base = current["version"] if base_version is None else base_version
    if dry_run and base != current["version"]:
        raise CommandError(
            _client.CONFLICT, f"--base-version {base}: version {current['version']} is in force."
        )
    apply_changes(session, wanted, current, base, wait, dry_run)


class _Limits(NamedTuple):
    """Fields of a contract that a command can set, with their options."""

    services: Annotated[list[str] | None, typer.Option("--service", help="May be repeated.")] = None
    requests_per_s: Annotated[float | None, typer.Option("--requests-per-s")] = None
    concurrency: Annotated[
        int | None, typer.Option("--concurrency", help="Maximum number of concurrent requests.")
    ] = None
    tokens_per_s: Annotated[
        float | None, typer.Option("--tokens-per-s", help="Output tokens per second.")
    ] = None
    request_class: Annotated[str | None, typer.Option("--class", help="interactive or batch")] = (
        None
    )
    delivery: Annotated[str | None, typer.Option("--delivery", help="stream or whole")] = None
    max_wait_s: Annotated[float | None, typer.Option("--max-wait-s")] = None
    key_hashes: Annotated[
        list[str] | None,
        typer.Option("--key-hash", help="SHA-256 of a key in hexadecimal. May be repeated."),
    ] = None

    def row(self) -> dict[str, Any]:
        return {name: value for name, value in self._asdict().items() if value}


def _limit_options(function: Callable[..., None]) -> Callable[..., None]:
    """Give a command the options of `_Limits` in place of its parameter `limits`."""

    @wraps(function)
    def run(**values: Any) -> None:
        limits = _Limits(**{name: values.pop(name) for name in _Limits._fields})
        function(limits=limits, **values)

    options = list(inspect.signature(_Limits).parameters.values())
    parameters: list[inspect.Parameter] = []
    for item in inspect.signature(function).parameters.values():
        parameters += options if item.name == "limits" else [item]
    run.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]  # for typer
    return run


@contract_app.command("create")
@_command
@_limit_options
def contract_create(
    name: str,
    address: Addresses,
    key_file: KeyFile,
    limits: _Limits,
    as_json: AsJson = False,
    wait: Wait = False,
    timeout_s: Timeout = 30.0,
) -> None:
    """Create a contract; without --key-hash a key is generated and printed once."""
    session = Session(Client(address, key_file, timeout_s), as_json)
    current = session.client.get("/admin/config")
    if f"contract/{name}" in current["rows"]:
        raise CommandError(_client.CONFLICT, f"There is a contract {name}; use contract change.")
    if not limits.key_hashes:
        key = secrets.token_urlsafe(24)
        limits = limits._replace(key_hashes=[hashlib.sha256(key.encode()).hexdigest()])
        # The key goes to standard error, because standard output may hold JSON.
        typer.echo(f"Key of {name}, shown only here: {key}", err=True)
    row = {"account": name, **limits.row()}
    apply_changes(session, {f"contract/{name}": row}, current, current["version"], wait)


@contract_app.command("change")
@_command
@_limit_options
def contract_change(
    name: str,
    address: Addresses,
    key_file: KeyFile,
    limits: _Limits,
    as_json: AsJson = False,
    wait: Wait = False,
    timeout_s: Timeout = 30.0,
) -> None:
    """Change the given fields of a contract; the other fields stay unchanged."""
    session = Session(Client(address, key_file, timeout_s), as_json)
    current = session.client.get("/admin/config")
    row = _existing_row(current, f"contract/{name}")
    row = {**row, **limits.row()}
    apply_changes(session, {f"contract/{name}": row}, current, current["version"], wait)


def _existing_row(current: dict[str, Any], key: str) -> dict[str, Any]:
    row: dict[str, Any] | None = current["rows"].get(key)
    if row is None:
        raise CommandError(_client.NOT_FOUND, f"There is no {key} in version {current['version']}.")
    return row


@contract_app.command("remove")
@_command
def contract_remove(
    name: str,
    address: Addresses,
    key_file: KeyFile,
    as_json: AsJson = False,
    wait: Wait = False,
    timeout_s: Timeout = 30.0,
) -> None:
    """Remove a contract; its keys stop working."""
    session = Session(Client(address, key_file, timeout_s), as_json)
    current = session.client.get("/admin/config")
    _existing_row(current, f"contract/{name}")
    apply_changes(session, {f"contract/{name}": None}, current, current["version"], wait)


def _set_enabled(session: Session, key: str, enabled: bool, wait: bool) -> None:
    current = session.client.get("/admin/config")
    table, _, name = key.partition("/")
    # A zone must have a row; a server has none until it is first taken out of service.
    row = (
        _existing_row(current, key)
        if table == "zone"
        else current["rows"].get(key, {TABLES[table]: name})
    )
    is_unchanged = row.get("enabled", True) == enabled
    wanted = {} if is_unchanged else {key: {**row, "enabled": enabled}}
    apply_changes(session, wanted, current, current["version"], wait)


def _add_enable_commands(app: typer.Typer, table: str, what: str) -> None:
    def add(command: str, enabled: bool, text: str) -> None:
        @app.command(command, help=text)
        @_command
        def set_enabled(
            name: str,
            address: Addresses,
            key_file: KeyFile,
            as_json: AsJson = False,
            wait: Wait = False,
            timeout_s: Timeout = 30.0,
        ) -> None:
            session = Session(Client(address, key_file, timeout_s), as_json)
            _set_enabled(session, f"{table}/{name}", enabled, wait)

    add(
        "take-out",
        False,
        f"Take {what} out of service: it gets no new requests, and running requests finish.",
    )
    add(
        "bring-back",
        True,
        f"Bring {what} back into service: it gets new requests again, at first few and then more "
        "over the ramp time of the service.",
    )


_add_enable_commands(zone_app, "zone", "an availability zone")
_add_enable_commands(server_app, "server", "a backend server")


def register(app: typer.Typer) -> None:
    """Add the operator commands to the command line."""
    for function in (status, dump, explain, account):
        app.command()(function)
    app.add_typer(config_app, name="config")
    app.add_typer(contract_app, name="contract")
    app.add_typer(zone_app, name="zone")
    app.add_typer(server_app, name="server")
