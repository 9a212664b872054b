"""Checks a configuration of the forwarding path before it is sent, and compares two of them.

What cannot be read is rejected by the daemons, which keep the configuration in force. What can be
read but never has an effect, or contradicts itself, is accepted by them and found here.
"""

from collections.abc import Iterator
from typing import NamedTuple

from lovageway.forwarding.model import Repeat, Route, RoutingConfig


class Finding(NamedTuple):
    """One problem of a configuration."""

    kind: str  # "error", "unused" or "contradiction"
    place: str  # such as "route NAME"
    text: str  # what is wrong, and what to change


class Difference(NamedTuple):
    """What a new configuration changes."""

    change: str  # "added", "removed" or "changed"
    place: str
    fields: tuple[str, ...] = ()  # that changed


def check(cfg: RoutingConfig) -> list[Finding]:
    """Return the problems of a configuration."""
    return [*_check_routes(cfg), *_check_services(cfg), *_check_accounts(cfg), *_check_limits(cfg)]


def _check_routes(cfg: RoutingConfig) -> Iterator[Finding]:
    seen: dict[tuple[str, str], str] = {}
    for route in cfg.routes:
        place = f"route {route.name}"
        other = seen.setdefault((route.host, route.prefix), route.name)
        if other != route.name:
            yield Finding(
                "unused", f"route {other}", f"route {route.name} has the same host and prefix"
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield Finding("unused", place, f"prefix {route.prefix!r} must begin and end with /")
        for name, weight in route.services:
            if name not in cfg.services:
                yield Finding("error", place, f"service {name} is not among the services")
            if weight < 0:
                yield Finding("error", place, f"weight {weight:g} of {name} must be 0 or more")
        if sum(weight for _, weight in route.services) <= 0:
            yield Finding("contradiction", place, "all weights are 0; give one service a weight")
        yield from _check_times(route, place)


def _check_times(route: Route, place: str) -> Iterator[Finding]:
    if route.timeout_s <= 0:
        yield Finding("error", place, "the time-out must be more than 0")
    elif route.target_s > route.timeout_s:
        yield Finding(
            "contradiction",
            place,
            f"the target of {route.target_s:g} s is later than the time-out of "
            f"{route.timeout_s:g} s; no answer can be late",
        )
    if route.resumable and route.repeat is not Repeat.STREAM:
        yield Finding("unused", place, "resuming needs a streaming route")


def _check_services(cfg: RoutingConfig) -> Iterator[Finding]:
    used = {name for route in cfg.routes for name, _ in route.services}
    for name, service in cfg.services.items():
        if name not in used:
            yield Finding("unused", f"service {name}", "no route leads to it")
        generates = any(route.generates for route in cfg.routes if name in dict(route.services))
        if generates and service.engine is None:
            yield Finding(
                "contradiction", f"service {name}", "routes with prompts lead to it, no engine"
            )
        if service.cold_s > 0 and service.cold_per_s <= 0:
            yield Finding(
                "contradiction", f"service {name}", "cold servers have a time and no rate"
            )


def _check_accounts(cfg: RoutingConfig) -> Iterator[Finding]:
    by_route = [(route, route.regions) for route in cfg.routes if route.regions]
    for account in dict.fromkeys(cfg.accounts.values()):
        for route, regions in by_route:
            if account.regions and not route.public and not account.regions & regions:
                yield Finding(
                    "contradiction",
                    f"account {account.name}",
                    f"route {route.name} allows none of its regions; its requests are refused",
                )
    if cfg.has_accounts and not cfg.accounts:
        yield Finding("contradiction", "accounts", "no account has a key; every one is refused")


def _check_limits(cfg: RoutingConfig) -> Iterator[Finding]:
    for name, value in cfg.limits._asdict().items():
        if value <= 0:
            yield Finding("error", "limits", f"{name} must be more than 0")


def compare(old: RoutingConfig, new: RoutingConfig) -> list[Difference]:
    """Return what a new configuration changes, by routes, services, accounts and limits.

    API keys are not named; a change of them shows as changed keys of the account.
    """
    found: list[Difference] = []
    tables: list[tuple[str, dict[str, object], dict[str, object]]] = [
        ("route", {r.name: r for r in old.routes}, {r.name: r for r in new.routes}),
        ("service", dict(old.services), dict(new.services)),
        ("account", _accounts(old), _accounts(new)),
        ("limits", {"": old.limits}, {"": new.limits}),
    ]
    for kind, before, after in tables:
        for name in sorted(before.keys() | after.keys()):
            place = f"{kind} {name}".strip()
            if name not in after:
                found.append(Difference("removed", place))
            elif name not in before:
                found.append(Difference("added", place))
            elif before[name] != after[name]:
                found.append(Difference("changed", place, _changed(before[name], after[name])))
    return found


class _AccountKeys(NamedTuple):
    priority: int | None
    regions: frozenset[str]
    keys: frozenset[str]


def _accounts(cfg: RoutingConfig) -> dict[str, object]:
    keys: dict[str, set[str]] = {}
    for key, account in cfg.accounts.items():
        keys.setdefault(account.name, set()).add(key)
    return {
        account.name: _AccountKeys(account.priority, account.regions, frozenset(keys[account.name]))
        for account in cfg.accounts.values()
    }


def _changed(old: object, new: object) -> tuple[str, ...]:
    before, after = old._asdict(), new._asdict()  # type: ignore[attr-defined]
    return tuple(name for name in before if before[name] != after[name])
