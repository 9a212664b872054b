"""Chooses the server for a request.

Load pattern of engines: long and short generations share an engine's KV cache, which fills while
they run. A request is placed only where the memory that it is expected to need is free, counting
what every daemon has sent there. Placing by the least requests alone overfills one engine, which
then preempts its generations.

An engine may announce at any moment that it leaves within two seconds. In that time its generations
can migrate only to engines of its own region, so a region should hold no more than its engines have
memory for when any one of them is missing. Generations beyond that, and those on the only engine of
a region, are lost with their engine; they are placed in another region that can still absorb them,
if there is one.

In a large fleet the load of other regions arrives seconds late. An engine that looks idle there
looks idle to all daemons, and prompts that all of them send to it would queue behind one another;
so work stays in its region until the difference in load is large.

A prompt that waits for its prefill delays the first token of the next one by its length, much more
than a running generation does; so a burst is spread over the engines, including one that has just
joined. To daemons of other regions a new engine looks idle until its load is reported, and all of
them would send there at once; so it costs them as much as several requests. After a restart of
all daemons nobody knows any load; so each daemon begins with another engine of its region.

Load pattern of plain services: short calls on few slots, some servers slow or failing part of
their work while their health check passes. A call goes to the server with the least expected time,
which depends on distance, free slots and recent answers.
"""

from random import Random
from typing import NamedTuple

from lovageway.forwarding.load import Load, Loads, LoadTracker
from lovageway.forwarding.model import Generation, Service
from lovageway.forwarding.replicas import Entry

# Share of an engine's memory; the rest is headroom for outputs longer than expected.
MAX_MEMORY_SHARE = 0.93
EXPECTED_OUTPUT_SHARE = 0.6  # expected output without a hint, as a share of the output limit
# Share of the expected output that counts as memory: generations end at different times.
HELD_OUTPUT_SHARE = 0.5
OTHER_ZONE_COST_S = 0.004
OTHER_REGION_COST_S = 0.030  # network time plus the price of traffic between regions
FAILURE_COST_S = 0.15  # expected time lost for each recent failure
DEFAULT_LATENCY_S = 0.08
# Costs of engines, in requests.
ENGINE_OTHER_REGION_COST = 0.5
ENGINE_STALE_LOAD_COST = 3.0  # another region whose load is stale: many daemons see the same engine
# An engine of another region that joined a moment ago looks idle to all daemons at once, and reads
# the prompts of all of them one after another.
NEW_ENGINE_COST = 8.0
NEW_ENGINE_S = 3.0  # until its load is known in other regions
COLD_PREFILL_FACTOR = 2.0  # an engine that has just started reads prompts this much more slowly
TURN_COST = 0.9  # of the last engine in the order of a daemon; less than one request
ENGINE_FAILURE_COST = 4.0  # for each recent failure
UNMIGRATABLE_COST = 6.0  # a long generation that could not migrate if its engine left
UNREAD_TOKEN_COST = 1 / 700  # for each prompt token that an engine has yet to prefill
LONG_GENERATION_S = 4.0  # expected duration from which the loss of a generation counts fully
TOKEN_S = 0.010  # assumed time for a token where none was observed
MAX_REQUESTS_PER_SLOT = 1.0  # a plain server is full at two requests beyond this many per slot


class Work(NamedTuple):
    """The properties of a request that placement depends on."""

    service: Service
    generation: Generation | None
    zone: str
    region: str
    avoid: frozenset[str]  # ids of servers that were tried
    resumable: bool = False  # the generation may start again elsewhere if its engine leaves
    remote_loads_stale: bool = False  # the load of other regions arrives seconds late
    route: str = ""  # name; used only while a roll-out of the service is known
    expected_s: float = 0.0  # how long the request may take; set only then
    # This daemon's position among all, while it does not know what the others sent; else None.
    position: int | None = None


def expected_output(generation: Generation) -> int:
    """Return the expected length of the output, in tokens."""
    if generation.output_hint > 0:
        return min(generation.output_limit, generation.output_hint)
    return int(EXPECTED_OUTPUT_SHARE * generation.output_limit)


def expected_memory(generation: Generation | None) -> int:
    """Return the KV cache that a request is expected to occupy, in tokens."""
    if generation is None:
        return 0
    return generation.prompt + int(HELD_OUTPUT_SHARE * expected_output(generation))


def choose(
    work: Work, entries: list[Entry], load_tracker: LoadTracker, now: float, rng: Random
) -> Entry | None:
    """Return the server with the least cost for a request, or None if none has room.

    Servers that were tried are considered only if there are no others. A small random amount breaks
    ties between servers of equal cost.
    """
    open_entries = [entry for entry in entries if entry.id not in work.avoid] or entries
    loads = {entry.id: load_tracker.at(entry.id, now) for entry in entries}
    cost = _engine_cost if work.service.engine is not None else _plain_cost
    needed = expected_memory(work.generation)
    loss_weight = _loss_weight(work)
    migratable = _migratable_regions(work, entries, loads) if loss_weight > 0 else set()
    turns = _turns(work, open_entries)
    best, best_cost = None, float("inf")
    for entry in open_entries:
        value = cost(work, entry, loads[entry.id], needed, now)
        if value is None:
            continue
        if entry.replica.region not in migratable:
            value += UNMIGRATABLE_COST * loss_weight
        value += turns.get(entry.id, 0.0) + rng.random() * 1e-3
        if value < best_cost:
            best, best_cost = entry, value
    return best


def _turns(work: Work, entries: list[Entry]) -> dict[str, float]:
    """Return a cost for each engine that differs by daemon, for one that has just started.

    After a restart of all daemons, clients send at once what they held back, and no daemon knows
    what the others sent where. Each begins with another engine of its region.
    """
    if work.position is None or work.service.engine is None:
        return {}
    near = sorted(entry.id for entry in entries if entry.replica.region == work.region)
    return {
        server: TURN_COST * ((index - work.position) % len(near)) / len(near)
        for index, server in enumerate(near)
    }


def has_room(service: Service, tokens: int, load: Load) -> bool:
    """Return whether an engine with this load has a slot and memory for a generation.

    An engine without requests accepts a generation of any size.
    """
    engine = service.engine
    if engine is None:
        return True
    fits = load.tokens + tokens <= MAX_MEMORY_SHARE * engine.memory_tokens or load.requests == 0
    return fits and load.requests < engine.slots


def _loss_weight(work: Work) -> float:
    """Return how much work is lost if the engine leaves, from 0 to 1 for a long generation.

    A resumable generation and a request of a plain service lose nothing.
    """
    if work.generation is None or work.service.engine is None or work.resumable:
        return 0.0
    return min(1.0, expected_output(work.generation) * TOKEN_S / LONG_GENERATION_S)


def _migratable_regions(work: Work, entries: list[Entry], loads: Loads) -> set[str]:
    """Return the regions that keep room for their generations and this one if an engine leaves."""
    assert work.service.engine is not None
    room = MAX_MEMORY_SHARE * work.service.engine.memory_tokens
    needed = expected_memory(work.generation)
    engines: dict[str, int] = {}
    tokens: dict[str, int] = {}
    for entry in entries:
        load, region = loads[entry.id], entry.replica.region
        engines[region] = engines.get(region, 0) + 1
        tokens[region] = tokens.get(region, needed) + load.tokens - load.copies
    return {region for region, count in engines.items() if tokens[region] <= room * (count - 1)}


def _engine_cost(work: Work, entry: Entry, load: Load, needed: int, now: float) -> float | None:
    """Return the cost of an engine in requests, or None if it has no room."""
    assert work.service.engine is not None
    if not has_room(work.service, needed, load):
        return None
    memory = load.tokens / work.service.engine.memory_tokens
    distance = 0.0
    if entry.replica.region != work.region:
        distance = ENGINE_STALE_LOAD_COST if work.remote_loads_stale else ENGINE_OTHER_REGION_COST
        if work.remote_loads_stale and now < entry.known_at + NEW_ENGINE_S:
            distance += NEW_ENGINE_COST
    prefill = UNREAD_TOKEN_COST * load.unread * entry.slowness(now)
    if now < entry.cold_until:
        prefill *= COLD_PREFILL_FACTOR
    return (
        load.requests
        + 4.0 * memory
        + prefill
        + distance
        + ENGINE_FAILURE_COST * entry.failures(now)
    )


def has_free_slot(entries: list[Entry], load_tracker: LoadTracker, now: float) -> bool:
    """Return whether a plain server has a free slot."""
    return any(load_tracker.at(entry.id, now).requests < entry.replica.slots for entry in entries)


def _plain_cost(work: Work, entry: Entry, load: Load, needed: int, now: float) -> float | None:
    """Return the expected time at a plain server in seconds, or None if it is full."""
    slots = max(1, entry.replica.slots)
    if load.requests >= MAX_REQUESTS_PER_SLOT * slots + 2:
        return None
    latency = entry.latency_s or DEFAULT_LATENCY_S
    queue = max(0, load.requests + 1 - slots) / slots
    distance = 0.0
    if entry.replica.zone != work.zone:
        distance = OTHER_ZONE_COST_S if entry.replica.region == work.region else OTHER_REGION_COST_S
    busy = 0.3 * load.requests / slots
    return (
        latency * entry.slowness(now) * (1 + queue + busy)
        + distance
        + FAILURE_COST_S * entry.failures(now)
    )
