"""Data types of the forwarding path: configuration, backend servers, requests and answers."""

from collections.abc import Hashable
from enum import Enum, IntEnum
from typing import NamedTuple


class Repeat(Enum):
    """How often a request may be sent to a server, as its route configures it."""

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
    """Limits that the operator sets; times in seconds."""

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
    exposure_share: float = 0.1  # of a service's requests that an unproved version may get
    exposure_tolerance: float = 0.0  # requests beyond that share
    rollback_s: float = 5.0  # after the verdict, until a bad version gets nothing


class StoreLimits(NamedTuple):
    """The address of the store and the request rates that all daemons together may use."""

    address: Address
    writes_per_s: float
    reads_per_s: float


class DaemonSettings(NamedTuple):
    """The settings of a daemon, as read from its settings file."""

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
    heartbeat_s: float  # interval at which a backend server writes its entry
    bounds: Bounds
    store: StoreLimits


class Route(NamedTuple):
    """One route of the configuration."""

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_s: float
    target_s: float  # target time to the answer, or to the first event of a stream
    gap_s: float  # target for the longest pause between events; 0 if none is set
    priority: int  # 0 is the most urgent
    services: tuple[tuple[str, float], ...]  # (service, weight)
    max_attempts: int
    public: bool
    resumable: bool  # a new run on another server may continue a stream
    generates: bool  # requests carry prompts for model engines
    regions: frozenset[str]  # regions that it is bound to; empty if it is unbound


class Engine(NamedTuple):
    """Properties of the model engines of a service."""

    slots: int
    memory_tokens: int  # size of an engine's KV cache
    token_bytes: float  # size of one token's KV cache
    link_mbps: float  # bandwidth of an engine's network link, in megabits per second
    supports_migration: bool  # whether a running generation can migrate to another engine
    backups: bool  # whether an engine can keep checkpoints of generations on other engines
    copy_ttl_s: float  # time that an engine keeps an unused copy of a KV cache
    tokens_per_event: int  # in each event of a stream


class Service(NamedTuple):
    """A service and the common properties of its backend servers."""

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_per_s: float
    engine: Engine | None


class Account(NamedTuple):
    """A client account."""

    name: str
    priority: int | None  # overrides the route's priority
    regions: frozenset[str]


class RequestLimits(NamedTuple):
    """Limits on the size of a client's request and on the times of its connection."""

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
    cold_s: float  # remaining cold time when the entry was written
    started_at_ms: int
    version: str = ""  # of its software


class Generation(NamedTuple):
    """The generation that a request asks for; sizes in tokens."""

    prompt: int
    output_limit: int
    output_hint: int  # 0 if the client gave none
    parts: tuple[tuple[str, int], ...]  # (id, tokens) of the prompt's parts, in order


class RequestHead(NamedTuple):
    """The decoded head of a client's request."""

    method: str
    target: str
    host: str
    attempt_id: str
    key: str | None  # API key
    deadline_s: float | None
    last_event: str | None
    generation: Generation | None
    headers: tuple[tuple[str, str], ...]  # those that are forwarded


class Statement(NamedTuple):
    """What a backend server says of itself in an answer.

    Attributes
    ----------
    limit_per_s
        Requests a second that the server takes from all daemons together; None if it names no
        limit, or one that cannot be read.
    readable
        False if the server names a limit that cannot be read: then nothing is known of its limit.
    leaving
        Whether the server says that it leaves.
    """

    limit_per_s: float | None = None
    readable: bool = True
    leaving: bool = False


class ServerLoad(NamedTuple):
    """The load that a server reports in an answer.

    Attributes
    ----------
    running, waiting, slots
        Numbers of requests, and of those that it processes at once.
    slowness
        How long work takes on its machine now, as a multiple of the usual time; None if the server
        does not say so, or says what cannot be.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class AnswerHead(NamedTuple):
    """The decoded head of a backend server's answer."""

    status: int
    reason: str
    attempt_id: str | None
    signed: bool
    encoded: bool  # the body has a content coding
    not_run: bool
    server_id: str | None
    load: ServerLoad | None
    load_unreadable: bool  # whether a figure of the load could not be read
    statement: Statement
    retry_after_s: float | None
    keep_alive_s: float | None
    headers: tuple[tuple[str, str], ...]  # those that are forwarded


class Revision(NamedTuple):
    """A version of the store. Numbers are comparable within one era; a later era is newer."""

    era: int
    number: int


class RolloutPhase(IntEnum):
    """RolloutPhase of a roll-out. The numbers are sent between daemons."""

    CANARY = 1  # a small share of the requests goes to the new version
    SHIFT = 2  # so do requests that would still run when the old servers stop
    SWITCH = 3  # all requests go to the new version
    HALTED = 4  # rolled back: the new version gets nothing
    COMPLETED = 5  # the old servers are stopped

    @property
    def is_final(self) -> bool:
        """Return whether no other phase follows, apart from a race that another daemon won."""
        return self in (RolloutPhase.HALTED, RolloutPhase.COMPLETED)


class RolloutOrder(NamedTuple):
    """The operator's order to move a service to another version."""

    service: str
    to: str  # version
    duration_s: float
    revision: Revision  # of the row

    def has_same_terms(self, other: "RolloutOrder") -> bool:
        """Return whether another order asks for the same."""
        return (self.to, self.duration_s) == (other.to, other.duration_s)


class RolloutStatus(NamedTuple):
    """The status of a roll-out as the store holds it."""

    phase: RolloutPhase  # CANARY while it is in progress
    order: RolloutOrder
    began_ms: int  # time of the store


class Row(NamedTuple):
    """A row of the store; `value` is None when the row was removed."""

    table: str
    key: str
    value: bytes | None
    version: int
    era: int = 0  # in which the version was given out

    @property
    def revision(self) -> Revision:
        """Return the revision at which the row was written."""
        return Revision(self.era, self.version)


class Content(NamedTuple):
    """What a row means, apart from when it was written."""

    order: int | None  # by which its writer counts what it writes; None if it does not
    body: Hashable  # equal for rows that mean the same


class Page(NamedTuple):
    """An answer of the store with rows."""

    rows: tuple[Row, ...]
    version: int  # newest version of the store
    has_more: bool
    era: int | None = None  # versions are comparable within one; None if the store names none
    now_ms: int = 0  # time of the store's steady clock


class MigrationResult(NamedTuple):
    """The answer to a call that copies a running generation to another engine."""

    status: int
    handle: str | None
    events_made: int
