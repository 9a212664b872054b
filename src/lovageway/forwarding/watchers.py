"""Decides which daemons watch the store for the others.

Load pattern: each change of a row costs one call from every daemon that watches. In a small fleet
all daemons watch, which needs no coordination. In a larger one, two daemons of each region watch
and send the rows to the others. The next daemon replaces a watcher whose heartbeats stop or report
that its calls to the store fail.
"""

from lovageway.forwarding.members import MAX_SILENCE_S, READY, Candidate, MemberFacts, sort_key

MAX_ALL_WATCH_DAEMONS = 12  # in a larger fleet, only WATCHERS per region watch
WATCHERS = 2  # in each region of a larger fleet


def should_watch(own: MemberFacts, store_lost: bool, others: list[Candidate], daemons: int) -> bool:
    """Return whether this daemon watches the store itself.

    Parameters
    ----------
    store_lost
        Whether this daemon's calls to the store fail.
    others
        The other live daemons, of any region.
    daemons
        Number of live daemons.
    """
    if daemons <= MAX_ALL_WATCH_DAEMONS:
        return True
    region_candidates = [
        item
        for item in others
        if item.facts.region == own.region
        and item.facts.state == READY
        and item.silent_s < MAX_SILENCE_S
    ]
    own_key = sort_key(own.ip)
    if store_lost:
        # Limits the retries to the first daemons while the store is unreachable from all of them.
        return sum(sort_key(item.facts.ip) < own_key for item in region_candidates) < WATCHERS
    preceding = sum(
        not item.store_lost and sort_key(item.facts.ip) < own_key for item in region_candidates
    )
    return preceding < WATCHERS
