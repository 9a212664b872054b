"""Selects the daemons that a caller should use, in order of preference."""

import hashlib
import math
from collections.abc import Sequence

from lovageway.controllers._view import rendezvous_weight
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.membership import Membership
from lovageway.messages import Member
from lovageway.model import Contract

TTL_S = 5  # callers cache an answer for this time
MAX_ADDRESSES = 32  # in one answer; all 390 daemons would take 8 KB
MAX_CACHED_HOMES = 30000  # more than 7,700 accounts in 3 regions
# Load of one account on one daemon beyond which the account needs a further home daemon. Requests
# and tokens correspond to the load of one daemon at the target size. Streams are kept far below
# `max_open_requests`, so that an account is distributed over several daemons.
REQUESTS_PER_HOME = 64.0
STREAMS_PER_HOME = 100
TOKENS_PER_HOME = 14000.0
# All callers of an account that needs at most this number of daemons start at the owner of its
# shares, where enforcing its limits takes no messages. Callers of larger accounts are distributed,
# so that no daemon receives the complete load of a large account in addition to its own.
MAX_SINGLE_HOME_NEED = 0.5


class Discovery:
    """Answers callers from the membership and the configuration; its only state is caches."""

    def __init__(self, membership: Membership, configuration: Configuration) -> None:
        self._membership = membership
        self._configuration = configuration
        self._cached_for = (-1, -1)
        self._usable: tuple[Member, ...] = ()
        self._homes: dict[tuple[str, str], tuple[Member, ...]] = {}
        self._groups: dict[str, list[list[Member]]] = {}

    def addresses(self, contract: Contract | None, caller: str, zone: str = "") -> tuple[str, ...]:
        """Return the addresses of the daemons to use, for callers.

        Parameters
        ----------
        contract
            Contract of the account, whose home daemons come first; None if the account is unknown.
        caller
            Any text that differs between callers; its hash rotates the order.
        zone
            Zone of the caller. The daemons of its region come first, because traffic between
            regions is slow and billed by volume. "" if unknown; then this daemon's zone is used.
        """
        self._refresh()
        homes = self._home_daemons(contract, self._region_of(zone)) if contract else ()
        rotation = _hash(f"{contract.account if contract else ''}|{caller}")
        is_small = contract is not None and _needed_daemons(contract) <= MAX_SINGLE_HOME_NEED
        chosen = list(homes) if is_small else _rotate(homes, rotation)
        for group in self._group_by_distance(zone or self._membership.identity.zone):
            chosen += _rotate([item for item in group if item not in homes], rotation)
        return tuple(member.address for member in chosen[:MAX_ADDRESSES])

    def _refresh(self) -> None:
        snapshot = self._configuration.snapshot
        versions = (self._membership.epoch, snapshot.version)
        if versions == self._cached_for:
            return
        self._cached_for = versions
        self._homes.clear()
        self._groups.clear()
        disabled_zones = {zone.name for zone in snapshot.zones.values() if not zone.enabled}
        self._usable = tuple(
            member
            for member in self._membership.live()
            if member.state != "leaving"
            and member.zone not in disabled_zones
            and not self._membership.is_listed_as_leaving(member.node)
        )

    def _home_daemons(self, contract: Contract, region: str) -> tuple[Member, ...]:
        """Return the home daemons of an account for callers in a region ("": any region)."""
        key = (contract.account, region)
        found = self._homes.get(key)
        if found is None:
            by_weight = sorted(
                self._usable,
                # The owner of the account's shares has the highest weight.
                key=lambda member: rendezvous_weight(member.node, f"account:{contract.account}"),
                reverse=True,
            )
            if region:
                by_weight.sort(key=lambda member: self._region_of(member.zone) != region)
            found = tuple(by_weight[: homes_needed(contract)])
            if len(self._homes) >= MAX_CACHED_HOMES:
                self._homes.clear()
            self._homes[key] = found
        return found

    def _region_of(self, zone: str) -> str:
        found = self._configuration.snapshot.zones.get(zone)
        return found.region if found else ""

    def _group_by_distance(self, zone: str) -> list[list[Member]]:
        """Return the usable daemons in the zone, in the rest of its region and elsewhere."""
        if zone in self._groups:
            return self._groups[zone]
        region = self._region_of(zone)
        groups: list[list[Member]] = [[], [], []]
        for member in self._usable:
            same_region = region != "" and self._region_of(member.zone) == region
            groups[0 if member.zone == zone else 1 if same_region else 2].append(member)
        if region:  # callers can send any number of unknown zone names, which are not cached
            self._groups[zone] = groups
        return groups


def homes_needed(contract: Contract) -> int:
    """Return the number of home daemons of an account: those its limits need, and one spare."""
    return math.ceil(min(_needed_daemons(contract), MAX_ADDRESSES)) + 1


def _needed_daemons(contract: Contract) -> float:
    return max(
        contract.requests_per_s / REQUESTS_PER_HOME,
        contract.concurrency / STREAMS_PER_HOME,
        contract.tokens_per_s / TOKENS_PER_HOME,
    )


def _rotate(members: Sequence[Member], offset: int) -> list[Member]:
    start = offset % len(members) if members else 0
    return [*members[start:], *members[:start]]


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(errors="replace"), digest_size=8).digest())
