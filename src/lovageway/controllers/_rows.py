"""Configuration rows: keys, types and validation of changes."""

import json
import math
import re
from collections.abc import Iterable, Iterator, Mapping
from functools import singledispatch

from pydantic import TypeAdapter, ValidationError

from lovageway.model import (
    BATCH,
    INTERACTIVE,
    Change,
    Contract,
    Order,
    ServerRule,
    Service,
    Snapshot,
    Zone,
)

ROW_PREFIX = "config/"
HEAD_KEY = "config/head"
LOG_PREFIX = "config/log/"
OPERATION_PREFIX = "config/op/"

MAX_CHANGE_BYTES = 1 << 18  # as JSON; stays below the message limit of 1 MiB when encoded
MAX_ROWS_PER_CHANGE = 1000
MAX_REPORTED_ERRORS = 50  # in one refusal

_TYPES: dict[str, TypeAdapter[object]] = {
    "contract": TypeAdapter(Contract),
    "service": TypeAdapter(Service),
    "zone": TypeAdapter(Zone),
    "server": TypeAdapter(ServerRule),
    "order": TypeAdapter(Order),
}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")

PlainRows = Mapping[str, dict[str, object]]
"""Rows as stored in the table service, by key without the prefix: ``contract/ACCOUNT``."""

Tables = dict[str, dict[str, object]]
"""Parsed rows by table and name."""


class BadRowError(ValueError):
    """Raised for a stored row that does not conform to its type."""


def tables_of(snapshot: Snapshot) -> Tables:
    """Return copies of the snapshot's mappings, by table."""
    return {name: dict(getattr(snapshot, f"{name}s")) for name in _TYPES}


def snapshot_of(version: int, tables: Tables) -> Snapshot:
    """Return the snapshot of parsed rows."""
    return Snapshot(version, *(tables[name] for name in _TYPES))  # type: ignore[arg-type]


def dump_snapshot(snapshot: Snapshot) -> dict[str, dict[str, object]]:
    """Return the rows of a snapshot as plain values that can be written as JSON."""
    return {
        name: {key: row._asdict() for key, row in getattr(snapshot, f"{name}s").items()}
        for name in _TYPES
    }


def parse_rows(version: int, rows: PlainRows) -> Snapshot:
    """Return the snapshot that the rows describe; keys of unknown tables are ignored.

    Raises
    ------
    BadRowError
        If a row does not fit its type.
    """
    tables: Tables = {name: {} for name in _TYPES}
    for key, value in rows.items():
        table, _, name = key.partition("/")
        if table in _TYPES:
            tables[table][name] = _parse(key, value)
    return snapshot_of(version, tables)


def parse_changes(
    snapshot: Snapshot, version: int, changes: Iterable[tuple[str, dict[str, object] | None]]
) -> Snapshot:
    """Apply accepted changes to a snapshot; only the changed rows are parsed.

    Raises
    ------
    BadRowError
        If a row does not fit its type.
    """
    tables = tables_of(snapshot)
    for key, value in changes:
        table, _, name = key.partition("/")
        if table not in _TYPES:
            continue
        if value is None:
            tables[table].pop(name, None)
        else:
            tables[table][name] = _parse(key, value)
    return snapshot_of(version, tables)


def _parse(key: str, value: object) -> object:
    table = key.partition("/")[0]
    try:
        row = _TYPES[table].validate_python(value)
    except ValidationError as exc:
        raise BadRowError("; ".join(_messages(key, exc))) from exc
    if _name_of(row) != key.partition("/")[2]:
        raise BadRowError(f"{key}: the row names {_name_of(row)!r}")
    return row


def _name_of(row: object) -> object:
    """Return the name of a row, which is the first field of each type."""
    assert isinstance(row, tuple)
    return row[0]


def _messages(key: str, exc: ValidationError) -> list[str]:
    return [
        f"{key}: {'.'.join(map(str, err['loc'])) or 'row'}: {err['msg']}" for err in exc.errors()
    ]


# ---- validation of a change ---------------------------------------------------------------------


def validate(snapshot: Snapshot | None, rows: PlainRows, changes: Iterable[Change]) -> list[str]:
    """Return all errors of the changes when applied to `rows`.

    Parameters
    ----------
    snapshot
        Parsed form of `rows`, None when they cannot be parsed. In that case, a change is valid only
        if it also replaces or deletes the broken rows.
    rows
        Rows as stored in the table service.
    changes
        Changes that the operator requested.
    """
    changes = tuple(changes)
    errors = _shape_errors(changes)
    changed = {change.key for change in changes}
    if snapshot is not None:
        tables = tables_of(snapshot)
    else:
        tables = {name: {} for name in _TYPES}
        errors += _stored_row_errors(tables, rows, changed)
    for change in changes:
        if not _key_errors(change.key):
            errors += _change_errors(tables, rows, change)
    return (errors or _reference_errors(tables, changed))[:MAX_REPORTED_ERRORS]


def _stored_row_errors(tables: Tables, rows: PlainRows, changed: set[str]) -> list[str]:
    errors = []
    for key, value in rows.items():
        table, _, name = key.partition("/")
        if key in changed or table not in _TYPES:
            continue
        try:
            tables[table][name] = _parse(key, value)
        except BadRowError as exc:
            errors.append(f"a stored row is broken, replace or delete it as well: {exc}")
    return errors


def _shape_errors(changes: tuple[Change, ...]) -> list[str]:
    if not changes:
        return ["there is no change"]
    errors = []
    if len(changes) > MAX_ROWS_PER_CHANGE:
        errors.append(
            f"{len(changes)} rows, at most {MAX_ROWS_PER_CHANGE} are allowed in one change"
        )
    size = len(json.dumps([list(change) for change in changes]))
    if size > MAX_CHANGE_BYTES:
        errors.append(f"{size} bytes, at most {MAX_CHANGE_BYTES} are allowed in one change")
    seen: set[str] = set()
    for change in changes:
        errors += _key_errors(change.key)
        if change.key in seen:
            errors.append(f"{change.key}: named twice in one change")
        seen.add(change.key)
    return errors


def _key_errors(key: str) -> list[str]:
    table, _, name = key.partition("/")
    if table not in _TYPES:
        known = ", ".join(f"{name}/NAME" for name in _TYPES)
        return [f"{key[:80]!r}: the key must be one of {known}"]
    if not _NAME.fullmatch(name):
        return [f"{key[:160]!r}: a name has 1 to 128 letters, digits or . _ : @ -"]
    return []


def _change_errors(tables: Tables, rows: PlainRows, change: Change) -> list[str]:
    table, _, name = change.key.partition("/")
    if change.value is not None:
        return _put_errors(tables, change.key, change.value)
    if change.key not in rows:
        return [f"{change.key}: there is no such row to delete"]
    tables[table].pop(name, None)
    return []


def _put_errors(tables: Tables, key: str, value: object) -> list[str]:
    table, _, name = key.partition("/")
    try:
        # Strict JSON mode rejects "5" and true for numbers, but accepts lists for tuples.
        row = _TYPES[table].validate_json(json.dumps(value), strict=True)
    except ValidationError as exc:
        return _messages(key, exc)
    tables[table][name] = row
    if _name_of(row) != name:
        return [f"{key}: the row names {_name_of(row)!r}, the key {name!r}"]
    return [f"{key}: {text}" for text in _value_errors(row)]


@singledispatch
def _value_errors(row: object) -> Iterator[str]:
    raise TypeError(f"no checks for {type(row).__name__}")


@_value_errors.register
def _(row: Contract) -> Iterator[str]:
    for name in ("requests_per_s", "tokens_per_s"):
        value = getattr(row, name)
        if not (math.isfinite(value) and value > 0):
            yield f"{name} must be a finite number above 0, not {value}"
    if row.concurrency < 1:
        yield f"concurrency must be at least 1, not {row.concurrency}"
    if not 0 <= row.max_wait_s <= 600:
        yield f"max_wait_s must be 0 to 600, not {row.max_wait_s}"
    if row.request_class not in (INTERACTIVE, BATCH):
        yield f"request_class must be {INTERACTIVE} or {BATCH}, not {row.request_class[:40]!r}"
    if row.delivery not in ("stream", "whole"):
        yield f"delivery must be stream or whole, not {row.delivery[:40]!r}"
    if not row.key_hashes:
        yield "key_hashes must hold at least one key"
    for key_hash in row.key_hashes:
        if not _KEY_HASH.fullmatch(key_hash):
            yield f"key_hashes: {key_hash[:16]!r} is not a SHA-256 in 64 hexadecimal digits"


@_value_errors.register
def _(row: Service) -> Iterator[str]:
    if row.kind not in ("engine", "plain"):
        yield f"kind must be engine or plain, not {row.kind[:40]!r}"
    for method in sorted(set(row.idempotent_methods) - set(row.methods)):
        yield f"idempotent_methods: {method[:40]!r} is not in methods"
    if not 1 <= row.cold_slots <= row.full_slots:
        yield f"cold_slots must be 1 to full_slots ({row.full_slots}), not {row.cold_slots}"
    if not 0 <= row.ramp_s <= 3600:
        yield f"ramp_s must be 0 to 3600, not {row.ramp_s}"
    if not 0 < row.timeout_s <= 86400:
        yield f"timeout_s must be above 0 and at most 86400, not {row.timeout_s}"


@_value_errors.register
def _(row: Zone) -> Iterator[str]:
    if not row.region:
        yield "region must not be empty"


@_value_errors.register
def _(row: ServerRule) -> Iterator[str]:
    yield from ()


@_value_errors.register
def _(row: Order) -> Iterator[str]:
    for name in ("model", "version", "role"):
        if not getattr(row, name):
            yield f"{name} must not be empty"


def _reference_errors(tables: Tables, changed: set[str]) -> list[str]:
    """Return errors between rows: unknown services, and keys that belong to two accounts.

    Only errors that involve a changed row are returned.
    """
    errors = []
    owners: dict[str, str] = {}
    for account, contract in tables["contract"].items():
        assert isinstance(contract, Contract)
        for service in contract.services:
            involved = changed & {f"contract/{account}", f"service/{service}"}
            if involved and service not in tables["service"]:
                errors.append(f"contract/{account}: there is no service {service[:80]!r}")
        for key_hash in contract.key_hashes:
            owner = owners.setdefault(key_hash, account)
            if owner != account and changed & {f"contract/{account}", f"contract/{owner}"}:
                errors.append(f"contract/{account}: key {key_hash[:12]}... belongs to {owner}")
    return errors
