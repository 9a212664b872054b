"""Decodes the platform's settings file."""

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from lovageway.forwarding.model import Address, Bounds, DaemonSettings, StoreLimits
from lovageway.platform import names

MS = 0.001


def path_from_environment() -> Path | None:
    """Return the path of the settings file, or None if the platform names none."""
    value = os.environ.get(names.SETTINGS_VARIABLE)
    return Path(value) if value else None


def address(text: str) -> Address:
    """Decode "IP:PORT"."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def load(path: Path) -> Result[DaemonSettings, str]:
    """Read a settings file.

    Returns
    -------
    Result
        The settings, or one line that names the field to correct. Unknown fields are ignored.
    """
    try:
        return Ok(_decode(_parse(path.read_text())))
    except KeyError as exc:
        return Error(f"{path}: add the field {exc.args[0]!r}")
    except (OSError, TypeError, ValueError, AttributeError) as exc:
        return Error(f"{path}: {exc}")


def _parse(text: str) -> Mapping[str, Any]:
    """Return the fields of JSON, which the deploy file asks for, or of YAML."""
    try:
        fields = json.loads(text)
    except ValueError:
        # Loaded here since most starts do not need it.
        import yaml

        loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        try:
            fields = yaml.load(text, Loader=loader)
        except yaml.YAMLError as exc:
            raise ValueError(str(exc)) from exc
    if not isinstance(fields, dict):
        raise ValueError("write the settings as one table of fields")
    return fields


def _decode(fields: Mapping[str, Any]) -> DaemonSettings:
    listen = fields["listen"]
    first, last = fields["internal_port_range"]
    zone = str(fields["zone"])
    zones = {str(name): str(region) for name, region in (fields.get("zones") or {}).items()}
    control = listen.get("control_plane")
    return DaemonSettings(
        name=str(fields["node_name"]),
        ip=str(fields["ip"]),
        zone=zone,
        region=str(fields.get("region") or zones.get(zone, zone)),
        regions_of_zones=zones,
        listen=address(listen["frontend"]),
        ready_listen=address(listen["ready"]),
        control_listen=address(control) if control else None,
        directory_listen=address(listen["directory_service"]),
        metrics_listen=Address(str(fields["ip"]), names.METRICS_PORT),
        internal_ports=(int(first), int(last)),
        seeds=tuple(address(seed).host for seed in fields.get("seed_nodes") or ()),
        memory_mb=int(fields.get("limits", {}).get("memory_mb") or 0),
        open_files=int(fields.get("limits", {}).get("file_descriptors") or 0),
        heartbeat_s=float(fields.get("heartbeat_interval_ms") or 1200) * MS,
        bounds=_bounds(fields.get("bounds") or {}),
        store=_store(fields["platform"]),
    )


def _bounds(fields: Mapping[str, Any]) -> Bounds:
    return Bounds(
        drain_s=float(fields.get("drain_ms", 2500)) * MS,
        grace_s=float(fields.get("grace_period_s", 8)),
        contact_s=float(fields.get("contact_ms", 3000)) * MS,
        config_apply_s=float(fields.get("config_apply_ms", 2500)) * MS,
        retry_ratio=float(fields.get("retry_budget_ratio", 0.2)),
        retry_window_s=float(fields.get("budget_window_s", 10)),
        retry_extra=float(fields.get("retry_budget_extra", 0)),
        cold_overshoot=float(fields.get("cold_overshoot", 1.0)),
        cold_tolerance=float(fields.get("cold_tolerance", 0)),
        directory_ttl_max_s=float(fields.get("ttl_max_s", 5)),
    )


def _store(fields: Mapping[str, Any]) -> StoreLimits:
    return StoreLimits(
        address=address(fields["address"]),
        writes_per_s=float(fields.get("writes_per_s", 100)),
        reads_per_s=float(fields.get("reads_per_s", 100)),
    )
