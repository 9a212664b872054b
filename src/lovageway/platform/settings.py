"""Decodes the platform's settings file."""

import json
import os
from collections.abc import Mapping, Sequence
from math import inf
from pathlib import Path
from typing import Any, cast

from expression import Error, Ok, Result

from lovageway.forwarding.model import Address, Bounds, DaemonSettings, StoreLimits
from lovageway.platform import names

MS = 0.001


def path_from_environment() -> Path | None:
    """Return the path of the settings file, or None if the environment variable is not set."""
    value = os.environ.get(names.SETTINGS_VARIABLE)
    return Path(value) if value else None


def address(text: str) -> Address:
    """Decode "IP:PORT".

    Raises
    ------
    ValueError
        The port is not an integer from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"{text!r}: the port must be from 1 to 65535")
    return Address(host, number)


def load(path: Path) -> Result[DaemonSettings, str]:
    """Read a settings file.

    Returns
    -------
    Result
        The settings, or a one-line error that names the field to correct. Unknown fields are
        ignored.
    """
    try:
        return Ok(_decode(_parse(path.read_text())))
    except (OSError, ValueError, RecursionError) as exc:
        return Error(f"{path}: {exc}")


def _parse(text: str) -> Mapping[str, Any]:
    """Parse the settings as JSON, or as YAML if they are not valid JSON.

    Raises
    ------
    ValueError
        The text is neither JSON nor YAML.
    """
    try:
        fields = json.loads(text)
    except ValueError:
        # Imported only here, since most starts do not need it.
        import yaml

        loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        try:
            fields = yaml.load(text, Loader=loader)
        except yaml.YAMLError as exc:
            raise ValueError(str(exc)) from exc
    return cast(Mapping[str, Any], fields)


class _Fields:
    """Typed access to the fields of one mapping of the settings.

    A missing required field or an unusable value raises ValueError with the field's full name.
    """

    def __init__(self, fields: object, name: str = "") -> None:
        if not isinstance(fields, Mapping):
            raise ValueError(
                f"{name or 'the settings'}: must be a mapping of field names to values"
            )
        self._fields = fields
        self._name = name

    def path(self, name: str) -> str:
        """Return the full name of a field, such as "listen.frontend"."""
        return f"{self._name}.{name}" if self._name else name

    def get(self, name: str) -> object:
        """Return the value of a field without a check of its type, or None if it is missing."""
        return self._fields.get(name)

    def mapping(self, name: str, *, required: bool = False) -> "_Fields":
        """Return a nested mapping; an optional one that is missing is returned empty."""
        found = self._required(name) if required else self._fields.get(name) or {}
        return _Fields(found, self.path(name))

    def string(self, name: str) -> str:
        """Return the value of a required field that must be a non-empty string.

        Raises
        ------
        ValueError
            The field is missing, empty or not a string.
        """
        value = self._required(name)
        if not isinstance(value, str) or not value:
            raise ValueError(f"{self.path(name)}: must be a non-empty string, not {value!r}")
        return value

    def address(self, name: str) -> Address:
        """Return the value of a required field that must be an address, "IP:PORT"."""
        try:
            return address(self.string(name))
        except ValueError as exc:
            raise ValueError(f"{self.path(name)}: must be IP:PORT") from exc

    def number(self, name: str, default: float) -> float:
        """Return the value of a field that must be a finite number of 0 or more.

        Return the default if the field is missing.
        """
        value = self._fields.get(name)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < inf:
            raise ValueError(f"{self.path(name)}: must be a number of 0 or more, not {value!r}")
        return float(value)

    def _required(self, name: str) -> object:
        value = self._fields.get(name)
        if value is None:
            raise ValueError(f"missing field {self.path(name)!r}")
        return value


def _decode(raw: Mapping[str, Any]) -> DaemonSettings:
    fields = _Fields(raw)
    listen, limits = fields.mapping("listen", required=True), fields.mapping("limits")
    zone = fields.string("zone")
    zones = _regions(fields.get("zones"))
    ip = fields.string("ip")
    return DaemonSettings(
        name=fields.string("node_name"),
        ip=ip,
        zone=zone,
        region=str(fields.get("region") or zones.get(zone, zone)),
        regions_of_zones=zones,
        listen=listen.address("frontend"),
        ready_listen=listen.address("ready"),
        control_listen=listen.address("control_plane") if listen.get("control_plane") else None,
        directory_listen=listen.address("directory_service"),
        metrics_listen=Address(ip, names.METRICS_PORT),
        internal_ports=_ports(fields.get("internal_port_range")),
        seeds=_seeds(fields.get("seed_nodes") or ()),
        memory_mb=int(limits.number("memory_mb", 0)),
        open_files=int(limits.number("file_descriptors", 0)),
        heartbeat_s=fields.number("heartbeat_interval_ms", 1200) * MS,
        bounds=_bounds(fields.mapping("bounds")),
        store=_store(fields.mapping("platform", required=True)),
    )


def _regions(zones: object) -> dict[str, str]:
    if not isinstance(zones, Mapping | None):
        raise ValueError("zones: must be a mapping of zones to regions")
    return {str(name): str(region) for name, region in (zones or {}).items()}


def _ports(value: object) -> tuple[int, int]:
    match value:
        case [int(first), int(last)] if 0 < first <= last < 65536:
            return first, last
    raise ValueError("internal_port_range: must be a list of the first and the last port")


def _seeds(value: object) -> tuple[str, ...]:
    try:
        assert isinstance(value, Sequence) and not isinstance(value, str)
        return tuple(address(seed).host for seed in value)
    except (AssertionError, AttributeError, ValueError) as exc:
        raise ValueError("seed_nodes: must be a list of IP:PORT") from exc


def _bounds(fields: _Fields) -> Bounds:
    return Bounds(
        drain_s=fields.number("drain_ms", 2500) * MS,
        grace_s=fields.number("grace_period_s", 8),
        contact_s=fields.number("contact_ms", 3000) * MS,
        config_apply_s=fields.number("config_apply_ms", 2500) * MS,
        retry_ratio=fields.number("retry_budget_ratio", 0.2),
        retry_window_s=fields.number("budget_window_s", 10),
        retry_extra=fields.number("retry_budget_extra", 0),
        cold_overshoot=fields.number("cold_overshoot", 1.0),
        cold_tolerance=fields.number("cold_tolerance", 0),
        directory_ttl_max_s=fields.number("ttl_max_s", 5),
        exposure_share=fields.number("exposure_share", 0.1),
        exposure_tolerance=fields.number("exposure_tolerance", 0),
        rollback_s=fields.number("rollback_ms", 5000) * MS,
    )


def _store(fields: _Fields) -> StoreLimits:
    return StoreLimits(
        address=fields.address("address"),
        writes_per_s=fields.number("writes_per_s", 100),
        reads_per_s=fields.number("reads_per_s", 100),
    )
