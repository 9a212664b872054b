"""Reports for operators, read from the node's state under the lock of the runtime."""

from lovageway.messages import Member
from lovageway.model import Vm, vm_of
from lovageway.node import Node

MAX_HISTORY_CHANGES = 20


def status(node: Node, now: float) -> dict[str, object]:
    """Return the state of this daemon, the live daemons, the table service and the servers."""
    configuration, membership = node.configuration, node.membership
    refusal = configuration.may_serve(now)
    version, freshness = configuration.status(now)
    live = membership.live()
    live_vms = {vm_of(member.node) for member in live}
    return {
        **membership.identity._asdict(),
        "version": version,
        "stored_version": configuration.store.version,
        "freshness_s": None if freshness < 0 else round(freshness, 3),
        "serving": refusal is None,
        "refuses": refusal.code.name if refusal else None,
        "majority": configuration.has_majority(),
        "table": configuration.table_state(now),
        "daemons": [_daemon(node, member, version) for member in live],
        "listed_not_live": sorted(
            vm.vm_id for vm in membership.vms if vm.role == "entry" and vm.vm_id not in live_vms
        ),
        "servers": [_server(node, vm) for vm in membership.vms if vm.role == "backend"],
    }


def _daemon(node: Node, member: Member, version: int) -> dict[str, object]:
    is_self = member.node == node.membership.node
    return {
        "vm_id": vm_of(member.node),
        "zone": member.zone,
        "address": member.address,
        "state": member.state,
        "version": version if is_self else node.configuration.peer_version(member.node),
    }


def _server(node: Node, vm: Vm) -> dict[str, object]:
    snapshot = node.configuration.snapshot
    zone, rule = snapshot.zones.get(vm.zone), snapshot.servers.get(vm.vm_id)
    return {
        "server_id": vm.vm_id,
        "service": vm.service,
        "zone": vm.zone,
        "state": vm.state,
        "zone_enabled": zone is None or zone.enabled,
        "server_enabled": rule is None or rule.enabled,
    }


def rows(node: Node, now: float) -> dict[str, object]:
    """Return the stored configuration rows and the latest changes."""
    store = node.configuration.store
    return {
        "version": store.version,
        "in_force": node.configuration.snapshot.version,
        "rows": store.rows,
        "history": [
            {
                "version": entry.version,
                "op_id": entry.op_id,
                "keys": [key for key, _ in entry.changes],
            }
            for entry in store.entries()[-MAX_HISTORY_CHANGES:]
        ],
    }


def account(node: Node, name: str, now: float) -> dict[str, object] | None:
    """Return a client account's contract and its use of the limits, None if it has no contract.

    The share is that of this daemon; only the owner of the limits reports the total of the fleet.
    """
    contract = node.configuration.snapshot.contracts.get(name)
    if contract is None:
        return None
    resource = f"account:{name}"
    holding = node.shares.find_holding(resource)
    return {
        "account": name,
        "version": node.configuration.snapshot.version,
        "contract": contract._asdict(),
        "parts": ["concurrency", "requests_per_s", "tokens_per_s"],
        "owner": node.shares.ownership.owner(resource),
        "share_here": holding.dump(now) if holding else None,
        "fleet": node.shares.total(resource, now) or None,
    }
