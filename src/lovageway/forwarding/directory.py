"""Chooses the daemons that a client may connect to."""

from lovageway.forwarding.members import READY, MemberFacts

MAX_ADDRESSES = 64  # in one answer
TTL_S = 2.0


def addresses(
    members: list[MemberFacts], region: str, bound_regions: frozenset[str]
) -> list[MemberFacts]:
    """Return the ready daemons for a client: those of its own region if there are any.

    Otherwise, return those of the regions that the host's routes are bound to, or else all.

    Parameters
    ----------
    members
        All live daemons, including the answering one.
    region
        The client's region; empty if the request named none.
    bound_regions
        Regions that the host's routes are bound to; empty if any route is unbound.
    """
    ready = [facts for facts in members if facts.state == READY]
    near = [facts for facts in ready if facts.region == region]
    if near:
        return near[:MAX_ADDRESSES]
    allowed = [facts for facts in ready if not bound_regions or facts.region in bound_regions]
    return (allowed or ready)[:MAX_ADDRESSES]
