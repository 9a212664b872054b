"""Which daemons a caller should use, in order of preference."""

import hashlib
import math
from collections.abc import Sequence

from lovageway.controllers._view import rendezvous_weight
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.membership import Membership
from lovageway.messages import Member
from lovageway.model import Contract

TTL_S = 5  # callers keep an answer for this long
MAX_ADDRESSES = 32  # an answer with all 390 daemons would have 8 KB
MAX_HOMES_KEPT = 30000  # 7,700 accounts in 3 regions
# What one daemon carries of one account before it needs a further home daemon; requests
# and tokens are the load of one daemon at the target size; streams are kept far below
# `max_open_requests`, so that an account is spread over several daemons.
REQUESTS_PER_HOME = 64.0
STREAMS_PER_HOME = 100
TOKENS_PER_HOME = 14000.0
# All callers of an account that needs less than this part of a daemon begin at its owner, where
# its limits cost no messages. Larger ones spread, so that no daemon gets a whole one on top.
SMALL_NEED = 0.5


class Discovery:
    """Answers callers from the member list and the configuration; keeps no state of its own."""

    def __init__(self, membership: Membership, configuration: Configuration) -> None:
        self._membership = membership
        self._configuration = configuration
        self._seen = (-1, -1)
        self._usable: tuple[Member, ...] = ()
        self._homes: dict[tuple[str, str], tuple[Member, ...]] = {}
        self._groups: dict[str, list[list[Member]]] = {}

    def addresses(self, contract: Contract | None, caller: str, zone: str = "") -> tuple[str, ...]:
        """Return the callers' addresses of the daemons to use.

        Parameters
        ----------
        contract
            The account's; its home daemons come first. None: no account is known.
        caller
            Any text that differs between callers; the order is rotated by its hash.
        zone
            Where the caller is; its region's daemons then come first, because traffic between
            regions is slow and billed by volume. "": unknown, taken as near this daemon.
        """
        self._refresh()
        homes = self._home(contract, self._region(zone)) if contract else ()
        rotation = _hash(f"{contract.account if contract else ''}|{caller}")
        small = contract is not None and _need(contract) <= SMALL_NEED
        chosen = list(homes) if small else _rotate(homes, rotation)
        for group in self._by_distance(zone or self._membership.identity.zone):
            chosen += _rotate([item for item in group if item not in homes], rotation)
        return tuple(member.address for member in chosen[:MAX_ADDRESSES])

    def _refresh(self) -> None:
        snapshot = self._configuration.snapshot
        seen = (self._membership.epoch, snapshot.version)
        if seen == self._seen:
            return
        self._seen = seen
        self._homes.clear()
        self._groups.clear()
        closed = {zone.name for zone in snapshot.zones.values() if not zone.enabled}
        self._usable = tuple(
            member
            for member in self._membership.live()
            if member.state != "leaving"
            and member.zone not in closed
            and not self._membership.is_listed_as_leaving(member.node)
        )

    def _home(self, contract: Contract, region: str) -> tuple[Member, ...]:
        """Return the home daemons of an account for callers of a region, "" for any."""
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
                by_weight.sort(key=lambda member: self._region(member.zone) != region)
            found = tuple(by_weight[: homes_needed(contract)])
            if len(self._homes) >= MAX_HOMES_KEPT:
                self._homes.clear()
            self._homes[key] = found
        return found

    def _region(self, zone: str) -> str:
        found = self._configuration.snapshot.zones.get(zone)
        return found.region if found else ""

    def _by_distance(self, zone: str) -> list[list[Member]]:
        """Return the usable daemons of the zone, of its region and of the rest."""
        if zone in self._groups:
            return self._groups[zone]
        region = self._region(zone)
        groups: list[list[Member]] = [[], [], []]
        for member in self._usable:
            same_region = region != "" and self._region(member.zone) == region
            groups[0 if member.zone == zone else 1 if same_region else 2].append(member)
        if region:  # names from callers are unbounded
            self._groups[zone] = groups
        return groups


def homes_needed(contract: Contract) -> int:
    """Return the number of home daemons of an account: what its limits need, and one to spare."""
    return math.ceil(min(_need(contract), MAX_ADDRESSES)) + 1


def _need(contract: Contract) -> float:
    return max(
        contract.requests_per_s / REQUESTS_PER_HOME,
        contract.concurrency / STREAMS_PER_HOME,
        contract.tokens_per_s / TOKENS_PER_HOME,
    )


def _rotate(members: Sequence[Member], by: int) -> list[Member]:
    start = by % len(members) if members else 0
    return [*members[start:], *members[:start]]


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(errors="replace"), digest_size=8).digest())
