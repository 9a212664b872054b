"""Data types used by all parts: configuration rows, VMs and load reports."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

INTERACTIVE = "interactive"
BATCH = "batch"


class Contract(NamedTuple):
    """Services and limits of one client account; no other row sets limits of the account."""

    account: str
    key_hashes: tuple[str, ...]  # SHA-256 in hexadecimal; two while a key is being rotated
    services: tuple[str, ...]
    requests_per_s: float
    concurrency: int
    tokens_per_s: float  # output tokens
    request_class: str = INTERACTIVE
    delivery: str = "stream"  # or "whole": tokens are kept back until the generation has ended
    max_wait_s: float = 5.0


class Service(NamedTuple):
    """A group of backend servers that answer the same calls."""

    name: str
    kind: str  # "engine" or "plain"
    methods: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = ()
    cold_slots: int = 1
    full_slots: int = 16
    ramp_s: float = 10.0
    timeout_s: float = 600.0


class Zone(NamedTuple):
    """An availability zone and whether it may receive new work."""

    name: str
    region: str
    enabled: bool = True


class ServerRule(NamedTuple):
    """An operator's setting for one backend server."""

    server_id: str
    enabled: bool = True


class Order(NamedTuple):
    """The state that operators have ordered for an engine."""

    server_id: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "serve"


class Vm(NamedTuple):
    """One line of the platform's VM list."""

    vm_id: str
    role: str  # "entry" or "backend"
    service: str  # name of the service for a backend server, "" for an entry VM
    zone: str
    address: str  # "IP:PORT" for requests
    peer_address: str = ""  # "IP:PORT" of an entry VM's peer listener
    state: str = "live"  # or "leaving"


class LoadReport(NamedTuple):
    """A backend server's report of its own load, which may have changed since."""

    start_id: str  # differs after each restart of the process
    running: int
    waiting: int
    memory_used: int  # tokens of KV memory
    memory_capacity: int
    state: str = "ready"  # "loading", "ready" or "leaving"
    preemptions: int = 0
    stall_ms: float = 0.0


class Snapshot(NamedTuple):
    """The configuration at one version; mappings are keyed by name."""

    version: int
    contracts: Mapping[str, Contract]
    services: Mapping[str, Service]
    zones: Mapping[str, Zone]
    servers: Mapping[str, ServerRule]
    orders: Mapping[str, Order] = {}


class Change(NamedTuple):
    """One configuration row to write; a value of None deletes the row."""

    key: str  # "contract/ACCOUNT", "service/NAME", "zone/NAME" or "server/ID"
    value: dict[str, object] | None


class Identity(NamedTuple):
    """Identity of one run of one daemon; `start_id` differs after each restart."""

    vm_id: str
    start_id: str
    zone: str
    address: str  # callers connect here
    peer_address: str


EMPTY_SNAPSHOT = Snapshot(0, {}, {}, {}, {})


def vm_of(node: str) -> str:
    """Return the VM id in a node id, "VM/START_ID"."""
    return node.partition("/")[0]


def address_of(vms: Iterable[Vm], vm_id: str) -> str | None:
    """Return the address of a listed VM, or None if it is not listed."""
    return next((vm.address for vm in vms if vm.vm_id == vm_id), None)


def generation_name(request_id: str, attempt: int) -> str:
    """Return the id of the generation that an attempt starts."""
    return f"{request_id}-{attempt}"
