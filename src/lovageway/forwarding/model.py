"""Data of the forwarding path: configuration, backend servers, requests and answers."""

from enum import Enum
from typing import NamedTuple


class Repeat(Enum):
    """What may happen to a request more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Address(NamedTuple):
    """An IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Bounds(NamedTuple):
    """Figures of the operator's rules; times in seconds."""

    drain_s: float
    grace_s: float
    contact_s: float
    config_apply_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    cold_overshoot: float
    cold_tolerance: float
    directory_ttl_max_s: float


class StoreLimits(NamedTuple):
    """Where the store is and what all daemons together may ask of it."""

    address: Address
    writes_per_s: float
    reads_per_s: float


class DaemonSettings(NamedTuple):
    """What a daemon learns from its settings file."""

    name: str
    ip: str
    zone: str
    region: str
    regions_of_zones: dict[str, str]
    listen: Address
    ready_listen: Address
    control_listen: Address | None
    directory_listen: Address
    metrics_listen: Address
    internal_ports: tuple[int, int]  # first and last, both usable
    seeds: tuple[str, ...]  # IP addresses
    memory_mb: int
    open_files: int
    heartbeat_s: float  # between two entries that a backend server writes
    bounds: Bounds
    store: StoreLimits


class Route(NamedTuple):
    """One route of the configuration."""

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_s: float
    target_s: float  # until the answer, or until the first event of a stream
    gap_s: float  # longest pause between events that is still on time; 0 if none is set
    priority: int  # 0 is the most urgent
    services: tuple[tuple[str, float], ...]  # (service, weight)
    max_attempts: int
    public: bool
    resumable: bool  # a stream may go on at another server by a new run
    generates: bool  # requests carry prompts for model engines
    regions: frozenset[str]  # empty: anywhere


class Engine(NamedTuple):
    """Properties of the model engines of a service."""

    slots: int
    memory_tokens: int
    token_bytes: float
    link_mbps: float
    moves: bool
    backups: bool
    copy_ttl_s: float
    stride: int  # tokens in one event of a stream


class Service(NamedTuple):
    """A service and what its backend servers have in common."""

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_per_s: float
    engine: Engine | None


class Account(NamedTuple):
    """A client account."""

    name: str
    priority: int | None  # goes before the route's priority
    regions: frozenset[str]


class RequestLimits(NamedTuple):
    """What a client may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RoutingConfig(NamedTuple):
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: dict[str, Account]  # by API key
    has_accounts: bool
    limits: RequestLimits


class Replica(NamedTuple):
    """A backend server as its entry in the store describes it."""

    id: str
    service: str
    address: Address
    zone: str
    region: str
    slots: int
    leaving: bool
    cold_s: float  # how much longer it stays cold, at the moment its entry was written
    started_at_ms: int


class Generation(NamedTuple):
    """What a request says of the generation that it asks for; sizes in tokens."""

    prompt: int
    output_limit: int
    output_hint: int  # 0 if the client gave none
    parts: tuple[tuple[str, int], ...]  # (id, tokens) of the prompt's parts in order


class RequestHead(NamedTuple):
    """The decoded head of a client's request."""

    method: str
    target: str
    host: str
    attempt_id: str
    key: str | None
    deadline_s: float | None
    last_event: str | None
    generation: Generation | None
    headers: tuple[tuple[str, str], ...]  # those that are passed on


class AnswerHead(NamedTuple):
    """The decoded head of a backend server's answer."""

    status: int
    reason: str
    attempt_id: str | None
    signed: bool
    encoded: bool  # a content coding was applied
    not_run: bool
    server_id: str | None
    load: tuple[int, int, int] | None  # running, waiting, slots
    retry_after_s: float | None
    keep_alive_s: float | None
    headers: tuple[tuple[str, str], ...]  # those that are passed on


class Row(NamedTuple):
    """A row of the store; `value` is None when the row was removed."""

    table: str
    key: str
    value: bytes | None
    version: int


class Page(NamedTuple):
    """An answer of the store about rows."""

    rows: tuple[Row, ...]
    version: int  # the store's newest
    has_more: bool


class MigrationResult(NamedTuple):
    """Answer to a call that copies a running generation."""

    status: int
    handle: str | None
    events_made: int
