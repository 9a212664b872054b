"""Chooses the server for a request.

Load pattern of engines: long and short generations share a memory that fills while they run. A
request is placed only where the memory that it will come to hold is free, counting what every
daemon has sent there; least requests alone fills one engine's memory and preempts its generations.

An engine may announce at any moment that it leaves within two seconds. Its generations can be
carried in that time to engines of its own region only, so a region should hold no more than its
engines without any one of them have memory for. Generations beyond that, and those on the only
engine of a region, are lost with it; they go where they are not, if there is such a place.

In a large fleet the load of other regions is known seconds late. Whatever engine looks idle there
looks so to all daemons, and their prompts would wait for one another at it; so work stays in its
region until the difference is large.

A prompt that waits to be read delays the first token of the next by its length, much more than a
running generation does; so a burst is spread over the engines, also over one that has just come.

Load pattern of plain services: short calls on few slots, some servers slow or failing part of
their work while their health check is good. A call goes to the server with the least expected
time, which near servers, free slots and recent answers decide.
"""

from random import Random
from typing import NamedTuple

from lovageway.forwarding.load import Load, Loads, LoadTracker
from lovageway.forwarding.model import Generation, Service
from lovageway.forwarding.replicas import Entry

MEMORY_USED = 0.93  # of an engine's memory; the rest is headroom for outputs longer than expected
OUTPUT_SHARE = 0.6  # of the output limit that is expected without a hint
OUTPUT_HELD = 0.5  # of the expected output that counts: generations end at different times
OTHER_ZONE_S = 0.004
OTHER_REGION_S = 0.030  # time on the way and the price of traffic between regions
FAILURE_S = 0.15  # expected time lost by one recent failure
DEFAULT_LATENCY_S = 0.08
ENGINE_OTHER_REGION = 0.5  # in requests
ENGINE_OLD_LOAD = 3.0  # in requests, where load is old and many daemons see the same idle engine
ENGINE_FAILURE = 4.0  # in requests
STRANDED_COST = 6.0  # in requests, for a long generation that could not be carried off its engine
LONG_S = 4.0  # generations expected to last so long or longer count as long
TOKEN_S = 0.010  # time for a token where none was observed
UNREAD_COST = 1 / 700  # in requests, for each prompt token that an engine has yet to read
FULL_SLOTS = 1.0  # requests for each slot above which a plain server gets no more


class Work(NamedTuple):
    """What placement needs to know of a request."""

    service: Service
    generation: Generation | None
    zone: str
    region: str
    avoid: frozenset[str]  # servers that were tried
    resumable: bool = False  # a generation may begin anew elsewhere if its engine leaves
    remote_loads_stale: bool = False  # the load of other regions is known seconds late


def expected_output(generation: Generation) -> int:
    """Return the output that is expected, in tokens."""
    if generation.output_hint > 0:
        return min(generation.output_limit, generation.output_hint)
    return int(OUTPUT_SHARE * generation.output_limit)


def expected_memory(generation: Generation | None) -> int:
    """Return the memory that a request will come to hold, in tokens."""
    if generation is None:
        return 0
    return generation.prompt + int(OUTPUT_HELD * expected_output(generation))


def choose(
    work: Work, entries: list[Entry], load_tracker: LoadTracker, now: float, rng: Random
) -> Entry | None:
    """Return the server for a request, or None if none has room."""
    open_entries = [entry for entry in entries if entry.id not in work.avoid] or entries
    loads = {entry.id: load_tracker.at(entry.id, now) for entry in entries}
    cost = _engine_cost if work.service.engine is not None else _plain_cost
    exposure = _exposure(work)
    safe = _safe_regions(work, entries, loads) if exposure > 0 else set()
    best, best_cost = None, float("inf")
    for entry in open_entries:
        value = cost(work, entry, loads[entry.id], now)
        if value is None:
            continue
        if entry.replica.region not in safe:
            value += STRANDED_COST * exposure
        value += rng.random() * 1e-3
        if value < best_cost:
            best, best_cost = entry, value
    return best


def has_room(service: Service, tokens: int, load: Load) -> bool:
    """Return whether an engine with a load has a slot and memory for a generation."""
    engine = service.engine
    if engine is None:
        return True
    fits = load.tokens + tokens <= MEMORY_USED * engine.memory_tokens or load.requests == 0
    return fits and load.requests < engine.slots


def _exposure(work: Work) -> float:
    """Return how much is lost with an engine that leaves, from 0 to 1 for a long generation."""
    if work.generation is None or work.service.engine is None or work.resumable:
        return 0.0
    return min(1.0, expected_output(work.generation) * TOKEN_S / LONG_S)


def _safe_regions(work: Work, entries: list[Entry], loads: Loads) -> set[str]:
    """Return the regions that could carry their generations and this one without any one engine."""
    assert work.service.engine is not None
    room = MEMORY_USED * work.service.engine.memory_tokens
    wanted = expected_memory(work.generation)
    engines: dict[str, int] = {}
    tokens: dict[str, int] = {}
    for entry in entries:
        load, region = loads[entry.id], entry.replica.region
        engines[region] = engines.get(region, 0) + 1
        tokens[region] = tokens.get(region, wanted) + load.tokens - load.copies
    return {region for region, count in engines.items() if tokens[region] <= room * (count - 1)}


def _engine_cost(work: Work, entry: Entry, load: Load, now: float) -> float | None:
    assert work.service.engine is not None
    if not has_room(work.service, expected_memory(work.generation), load):
        return None
    memory = load.tokens / work.service.engine.memory_tokens
    far = 0.0
    if entry.replica.region != work.region:
        far = ENGINE_OLD_LOAD if work.remote_loads_stale else ENGINE_OTHER_REGION
    wait = UNREAD_COST * load.unread
    return load.requests + 4.0 * memory + wait + far + ENGINE_FAILURE * entry.failures(now)


def has_free_slot(entries: list[Entry], load_tracker: LoadTracker, now: float) -> bool:
    """Return whether a plain server has a free slot."""
    return any(load_tracker.at(entry.id, now).requests < entry.replica.slots for entry in entries)


def _plain_cost(work: Work, entry: Entry, load: Load, now: float) -> float | None:
    slots = max(1, entry.replica.slots)
    if load.requests >= FULL_SLOTS * slots + 2:
        return None
    latency = entry.latency_s or DEFAULT_LATENCY_S
    queue = max(0, load.requests + 1 - slots) / slots
    way = 0.0
    if entry.replica.zone != work.zone:
        way = OTHER_ZONE_S if entry.replica.region == work.region else OTHER_REGION_S
    busy = 0.3 * load.requests / slots
    return latency * (1 + queue + busy) + way + FAILURE_S * entry.failures(now)
