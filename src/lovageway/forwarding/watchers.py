"""Decides which daemons watch the store for the others.

Load pattern: each change of a row costs one call of every daemon that watches. In a small fleet
all watch, which needs no agreement. In a larger one, two daemons of each region do and pass rows
on; whoever hears nothing from them, or hears that the store turns them away, takes their place.
"""

from lovageway.forwarding.members import MAX_SILENCE_S, READY, Candidate, MemberFacts, sort_key

ALL_WATCH_MOST = 12  # daemons
WATCHERS = 2  # in each region of a larger fleet


def watches(own: MemberFacts, store_lost: bool, others: list[Candidate], daemons: int) -> bool:
    """Return whether this daemon watches the store itself.

    Parameters
    ----------
    store_lost
        Whether the store turns this daemon away.
    others
        The other live daemons, of any region.
    daemons
        How many daemons live.
    """
    if daemons <= ALL_WATCH_MOST:
        return True
    near = [
        item
        for item in others
        if item.facts.region == own.region
        and item.facts.state == READY
        and item.silent_s < MAX_SILENCE_S
    ]
    mine = sort_key(own.ip)
    if store_lost:
        # While the store is away from all, only the first ones keep asking.
        return sum(sort_key(item.facts.ip) < mine for item in near) < WATCHERS
    ahead = sum(not item.store_lost and sort_key(item.facts.ip) < mine for item in near)
    return ahead < WATCHERS
