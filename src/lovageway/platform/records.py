"""Decodes the rows that the operator and the backend servers write to the store."""

import json
from collections.abc import Mapping
from hashlib import blake2b
from ipaddress import IPv4Address
from typing import Any

from lovageway.forwarding.model import (
    Account,
    Address,
    Content,
    Engine,
    Repeat,
    Replica,
    RequestLimits,
    Revision,
    RolloutOrder,
    RolloutPhase,
    RolloutStatus,
    Route,
    RoutingConfig,
    Row,
    Service,
)
from lovageway.platform import names
from lovageway.platform.settings import MS, address

_REPEATS = {
    "idempotent": Repeat.IDEMPOTENT,
    "non_idempotent": Repeat.ONCE,
    "streaming": Repeat.STREAM,
}
# RecursionError comes from deeply nested values, OverflowError from infinite numbers.
_UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)
MAX_SLOTS = 1_000_000
MAX_TIME_MS = 1 << 53  # Unix time; a larger number is not exact as a fraction
MAX_VERSION_CHARS = 200
DAY_MS = 86_400_000  # no server stays cold for longer
_STEADY_FIELDS = ("service", "address", "zone", "version", "slots", "state", "born")
STATES = {"ready": False, "draining": True}  # for each state of a server: whether it is leaving


class UnreadableRowError(ValueError):
    """Raised for a malformed row."""


def is_config(row: Row) -> bool:
    """Return whether the row holds the configuration."""
    return row.table == names.OPERATOR_TABLE and row.key == names.CONFIG_KEY


def content(row: Row) -> Content:
    """Return what a row means; a server counts its starts, the operator its configurations.

    The entry of a server may change in some fields without a new version.
    """
    digest = blake2b(row.value or b"", digest_size=16).digest()
    if not (is_config(row) or row.table == names.SERVERS_TABLE):
        return Content(None, digest)
    try:
        fields = json.loads(row.value or b"")
        if is_config(row):
            return Content(int(fields["version"]), digest)
        steady = {name: fields.get(name) for name in _STEADY_FIELDS}
        return Content(int(fields.get("born", 0)), json.dumps(steady, sort_keys=True))
    except _UNREADABLE:
        return Content(None, digest)


def evacuated_zone(row: Row) -> str | None:
    """Return the zone that a row evacuates, or None if it is not an evacuation row."""
    if row.table != names.OPERATOR_TABLE or not row.key.startswith(names.EVACUATE_PREFIX):
        return None
    return row.key.removeprefix(names.EVACUATE_PREFIX)


def rollout_service(row: Row) -> str | None:
    """Return the service whose roll-out a row orders, or None if it is no such row."""
    if row.table != names.OPERATOR_TABLE or not row.key.startswith(names.ROLLOUT_PREFIX):
        return None
    return row.key.removeprefix(names.ROLLOUT_PREFIX)


def rollout_order(row: Row) -> RolloutOrder:
    """Decode the order of a roll-out.

    Raises
    ------
    UnreadableRowError
        The row is malformed; the message says which field has to be changed.
    """
    try:
        fields = json.loads(row.value or b"")
        service, to, duration_s = fields["service"], fields["to"], fields["duration_s"]
    except _UNREADABLE as exc:
        raise UnreadableRowError(f"{row.table}/{row.key}: {exc!r}") from exc
    if service != row.key.removeprefix(names.ROLLOUT_PREFIX):
        raise UnreadableRowError(f"{row.table}/{row.key}: service must be the one in the key")
    if isinstance(to, int) and not isinstance(to, bool):
        to = str(to)
    if not isinstance(to, str) or not 0 < len(to) <= MAX_VERSION_CHARS:
        raise UnreadableRowError(f"{row.table}/{row.key}: to must be a version")
    is_number = isinstance(duration_s, int | float) and not isinstance(duration_s, bool)
    if not is_number or not 0 < duration_s <= DAY_MS * MS:
        raise UnreadableRowError(
            f"{row.table}/{row.key}: duration_s must be more than 0 and at most a day"
        )
    return RolloutOrder(service, to, float(duration_s), row.revision)


_STATES = {
    RolloutPhase.CANARY: "in_progress",
    RolloutPhase.SHIFT: "in_progress",
    RolloutPhase.SWITCH: "in_progress",
    RolloutPhase.HALTED: "rolled_back",
    RolloutPhase.COMPLETED: "completed",
}
_PHASES = {
    "in_progress": RolloutPhase.CANARY,
    "rolled_back": RolloutPhase.HALTED,
    "completed": RolloutPhase.COMPLETED,
}


def rollout_status_key(service: str) -> str:
    """Return the key of the row that holds the status of a service's roll-out."""
    return names.ROLLOUT_PREFIX + service


def encode_rollout_status(status: RolloutStatus) -> bytes:
    """Encode the status of a roll-out."""
    order = status.order
    fields = {
        "service": order.service,
        "to": order.to,
        "state": _STATES[status.phase],
        "duration_s": order.duration_s,
        "began_ms": status.began_ms,
        "order": list(order.revision),
    }
    return json.dumps(fields).encode()


def rollout_status(row: Row) -> RolloutStatus | None:
    """Decode the status of a roll-out; None if it was not written by a daemon of this system."""
    try:
        fields = json.loads(row.value or b"")
        era, number = fields["order"]
        order = RolloutOrder(
            str(fields["service"]),
            str(fields["to"]),
            float(fields["duration_s"]),
            Revision(int(era), int(number)),
        )
        return RolloutStatus(_PHASES[fields["state"]], order, int(fields["began_ms"]))
    except _UNREADABLE:
        return None


def config(row: Row) -> RoutingConfig:
    """Decode the configuration.

    Raises
    ------
    UnreadableRowError
        The row is malformed.
    """
    try:
        fields = json.loads(row.value or b"")
        account_list = fields.get("tenants")
        accounts = {}
        for item in account_list or ():
            account = _account(item)
            accounts.update({str(key): account for key in item.get("api_keys") or ()})
        return RoutingConfig(
            version=int(fields["version"]),
            routes=tuple(_route(item) for item in fields["routes"]),
            services={item["name"]: _service(item) for item in fields["services"]},
            accounts=accounts,
            has_accounts=bool(account_list),
            limits=_limits(fields.get("limits") or {}),
        )
    except _UNREADABLE as exc:
        raise UnreadableRowError(f"{row.table}/{row.key}: {exc!r}") from exc


def _account(fields: Mapping[str, Any]) -> Account:
    priority = fields.get("priority")
    regions = frozenset(fields.get("allowed_regions") or ())
    return Account(str(fields["name"]), None if priority is None else int(priority), regions)


def _route(fields: Mapping[str, Any]) -> Route:
    split = fields.get("traffic_split")
    services = (
        tuple((str(part["service"]), float(part["weight"])) for part in split)
        if split
        else ((str(fields["service"]), 1.0),)
    )
    return Route(
        name=str(fields["name"]),
        host=str(fields["hostname"]).lower(),
        prefix=str(fields["prefix"]),
        repeat=_REPEATS[fields["route_kind"]],
        timeout_s=float(fields["timeout_ms"]) * MS,
        target_s=float(fields.get("target_latency_ms") or fields["timeout_ms"]) * MS,
        gap_s=float(fields.get("target_gap_ms") or 0) * MS,
        priority=int(fields.get("priority") or 0),
        services=services,
        max_attempts=max(1, int(fields.get("max_attempts") or 1)),
        public=bool(fields.get("public")),
        resumable=bool(fields.get("stream_resume")),
        generates=bool(fields.get("sticky_sessions")),
        regions=frozenset(fields.get("allowed_regions") or ()),
    )


def _service(fields: Mapping[str, Any]) -> Service:
    engine = fields.get("engine")
    return Service(
        name=str(fields["name"]),
        health_path=str(fields.get("health_path") or "/"),
        max_connections=int(fields.get("max_connections") or 0),
        cold_s=float(fields.get("cold_start_s") or 0),
        cold_per_s=float(fields.get("cold_per_s") or 0),
        engine=_engine(engine) if engine else None,
    )


def _engine(fields: Mapping[str, Any]) -> Engine:
    return Engine(
        slots=int(fields["slots"]),
        memory_tokens=int(fields["kv_cache_tokens"]),
        token_bytes=float(fields.get("kv_token_bytes") or 0),
        link_mbps=float(fields.get("link_mbps") or 0),
        supports_migration=bool(fields.get("moves")),
        backups=bool(fields.get("backups")),
        copy_ttl_s=float(fields.get("kv_ttl_s") or 0),
        tokens_per_event=int(fields.get("stride") or 1),
    )


def _limits(fields: Mapping[str, Any]) -> RequestLimits:
    return RequestLimits(
        header_bytes=int(fields.get("max_header_bytes") or 16384),
        body_bytes=int(fields.get("max_body_bytes") or 1 << 20),
        header_timeout_s=float(fields.get("header_timeout_ms") or 5000) * MS,
        idle_timeout_s=float(fields.get("idle_timeout_ms") or 15000) * MS,
    )


def _server_address(text: str) -> Address:
    """Decode the address of a server, which is not looked up by name.

    Raises
    ------
    ValueError
        It is no IPv4 address with a port.
    """
    found = address(text)
    return found._replace(host=str(IPv4Address(found.host)))


def replica(row: Row, regions_of_zones: Mapping[str, str]) -> Replica:
    """Decode a backend server's entry.

    Raises
    ------
    UnreadableRowError
        The entry is malformed, so the server cannot be used.
    """
    try:
        fields = json.loads(row.value or b"")
        zone, service, state = fields["zone"], fields["service"], fields["state"]
        slots, cold_ms, born = fields["slots"], fields["cold_remaining_ms"], fields.get("born", 0)
        if any(isinstance(value, bool) for value in (slots, cold_ms, born)):
            raise UnreadableRowError(f"{row.table}/{row.key}: a number has another type")
        if not isinstance(born, int) or not (0 <= born <= MAX_TIME_MS and 0 <= cold_ms <= DAY_MS):
            raise UnreadableRowError(
                f"{row.table}/{row.key}: a time is out of range or not an integer"
            )
        texts = (zone, service, state, fields["address"])
        if not all(isinstance(text, str) for text in texts) or state not in STATES:
            raise UnreadableRowError(f"{row.table}/{row.key}: a field has the wrong type or state")
        if not isinstance(slots, int) or not 1 <= slots <= MAX_SLOTS:
            raise UnreadableRowError(f"{row.table}/{row.key}: slots is not from 1 to {MAX_SLOTS}")
        return Replica(
            id=row.key,
            service=service,
            address=_server_address(fields["address"]),
            zone=zone,
            region=regions_of_zones.get(zone, zone),
            slots=slots,
            leaving=STATES[state],
            cold_s=float(cold_ms) * MS,
            started_at_ms=int(born),
            version=str(fields.get("version", ""))[:MAX_VERSION_CHARS],
        )
    except _UNREADABLE as exc:
        raise UnreadableRowError(f"{row.table}/{row.key}: {exc!r}") from exc
