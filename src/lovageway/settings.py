"""Settings of a daemon, read from a TOML file; all problems are reported at once."""

import tomllib
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from lovageway.policies import PolicyName

HostPort = Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:\d{1,5}$")]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class DaemonSettings(_Section):
    """Identity and listeners of this daemon; port 0 lets the kernel choose."""

    vm_id: str = Field(min_length=1, description="Name of this VM in the platform's VM list.")
    zone: str = Field(min_length=1, description="Availability zone of this VM.")
    listen: HostPort = Field("127.0.0.1:0", description="Callers' listener.")
    peer_listen: HostPort = Field("127.0.0.1:0", description="Listener for other daemons.")
    operator_listen: HostPort = Field("127.0.0.1:0", description="Operators' listener.")
    peer_advertise: HostPort | None = Field(
        None, description="Address at which other daemons reach peer_listen, when it differs."
    )
    seeds: tuple[HostPort, ...] = Field(
        (), max_length=16, description="Peer listeners to contact in addition to the VM list."
    )
    max_open_requests: int = Field(
        1000, ge=4, le=10000, description="Requests served at the same time; more are refused."
    )
    request_memory_mb: int = Field(
        32,
        ge=4,
        le=4096,
        description="Memory in MB for the heads and bodies of open requests; a request beyond it "
        "is refused with QUEUE_FULL.",
    )


class PlatformSettings(_Section):
    """Addresses of the platform's services."""

    table_url: str = Field(pattern=r"^https?://", description="Base URL of the table service.")
    vm_list_url: str = Field(pattern=r"^https?://", description="URL of the VM list.")
    weight_loads_per_s: float = Field(
        1.0, gt=0, description="Loads a second that the weight store allows; the same on all VMs."
    )


class RoutingSettings(_Section):
    """How backend servers are chosen."""

    policy: PolicyName = Field(
        default="memory",
        description="For measurements: the other policies are baselines for bench/routing.py and "
        "ignore KV memory.",
    )


class KeySettings(_Section):
    """Files that hold secrets; each file holds one secret, surrounding white space is dropped."""

    peer_key_files: tuple[Path, ...] = Field(
        min_length=1, max_length=2, description="Keys shared by all daemons; two while rotating."
    )
    resume_key_files: tuple[Path, ...] = Field(
        min_length=1, max_length=2, description="Keys of resume tokens, the same on all daemons."
    )
    operator_key_files: tuple[Path, ...] = Field(
        min_length=1, max_length=2, description="Keys that operators may use."
    )


class LogSettings(_Section):
    """How changes of state are logged on standard error."""

    form: Literal["json", "console"] = Field("json", description='"json" or "console".')


class ConfigurationSettings(_Section):
    """How long a daemon may serve with a configuration that it cannot verify."""

    minority_max_age_s: float = Field(
        default=3.0,
        ge=1.0,
        le=86400.0,
        description=(
            "Age of the configuration up to which a daemon without majority contact serves. "
            "Above 3 s an accepted change may not be in force on every daemon that serves."
        ),
    )


class Settings(_Section):
    """All settings of the file."""

    daemon: DaemonSettings
    platform: PlatformSettings
    keys: KeySettings
    log: LogSettings = Field(default_factory=lambda: LogSettings(form="json"))
    routing: RoutingSettings = RoutingSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()


class Problem(NamedTuple):
    """One problem in a settings file."""

    key: str
    value: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.key} = {self.value}: {self.remedy}"


def load(path: Path) -> Result[Settings, list[Problem]]:
    """Return the checked settings of the file, or all of its problems."""
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        return Error([Problem(str(path), "file", str(exc))])
    try:
        return Ok(Settings(**values))
    except ValidationError as exc:
        return Error(
            [
                Problem(".".join(map(str, err["loc"])), repr(err["input"])[:80], err["msg"])
                for err in exc.errors()
            ]
        )


def secret_problems(cfg: Settings) -> list[Problem]:
    """Return the problems with the files that hold secrets; empty if all can be used."""
    problems = []
    for name in KeySettings.model_fields:
        for path in getattr(cfg.keys, name):
            try:
                read_secret(path)
            except (OSError, ValueError) as exc:
                problems.append(Problem(f"keys.{name}", str(path), str(exc)))
    return problems


def read_secret(path: Path) -> bytes:
    """Return the secret in a file.

    Raises
    ------
    ValueError
        If the secret is shorter than 16 bytes.
    """
    secret = path.read_bytes().strip()
    if len(secret) < 16:
        raise ValueError(f"{path}: a secret needs at least 16 bytes, found {len(secret)}")
    return secret
