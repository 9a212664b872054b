"""Builders of test data for the decision modules of the forwarding path."""

from lovageway.forwarding.model import (
    Address,
    Bounds,
    Engine,
    Generation,
    Repeat,
    Replica,
    RequestLimits,
    Route,
    RoutingConfig,
    Row,
    Service,
)

BOUNDS = Bounds(2.5, 8.0, 3.0, 2.5, 0.2, 10.0, 54.0, 1.5, 5.0, 5.0)


def engine(**fields):
    return Engine(24, 34000, 327680.0, 47000.0, True, True, 5.0, 4)._replace(**fields)


def service(name="llm", with_engine=True, **fields):
    known = Service(name, "/health", 100, 0.0, 0.0, engine() if with_engine else None)
    return known._replace(**fields)


def replica(name="i-1", zone="z1", **fields):
    number = int(name.rpartition("-")[2])
    known = Replica(
        id=name,
        service="llm",
        address=Address(f"10.0.0.{number}", 80),
        zone=zone,
        region=f"r-{zone}",
        slots=6,
        leaving=False,
        cold_s=0.0,
        started_at_ms=1,
    )
    return known._replace(**fields)


def generation(prompt=3000, limit=1000, hint=900):
    return Generation(prompt, limit, hint, ())


def route(prefix="/a/", host="h", **fields):
    known = Route(
        name=f"{host}{prefix}",
        host=host,
        prefix=prefix,
        repeat=Repeat.IDEMPOTENT,
        timeout_s=1.0,
        target_s=0.3,
        gap_s=0.0,
        priority=1,
        services=(("svc", 1.0),),
        max_attempts=2,
        public=False,
        resumable=False,
        generates=False,
        regions=frozenset(),
    )
    return known._replace(**fields)


def routing_config(*routes, version=1):
    limits = RequestLimits(1000, 1000, 1.0, 1.0)
    return RoutingConfig(version, tuple(routes), {}, {}, False, limits)


def row(key, version, value=b"{}", table="op", era=0):
    return Row(table, key, value, version, era)
