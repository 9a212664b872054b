"""Runs daemons of the forwarding path in the test's event loop, with a stand-in store."""

import asyncio
import unittest
from pathlib import Path

from standins.caller import HOST, KEY, WAIT_S, Client, free_ports
from standins.store import Store

from lovageway.forwarding.model import Address, Bounds, DaemonSettings, StoreLimits
from lovageway.forwarding.relay import Relay

BOUNDS = Bounds(2.5, 8.0, 3.0, 2.5, 0.2, 10.0, 54.0, 1.5, 5.0, 5.0)


def route(**fields):
    known = {
        "name": "r",
        "hostname": HOST,
        "prefix": "/a/",
        "route_kind": "idempotent",
        "timeout_ms": 5000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "svc",
        "max_attempts": 2,
        "public": False,
        "sticky_sessions": False,
        "stream_resume": False,
        "target_gap_ms": 180,
        "allowed_regions": [],
    }
    return {**known, **fields}


def engine_service(name="llm", **fields):
    engine = {
        "slots": 8,
        "kv_cache_tokens": 30000,
        "kv_token_bytes": 1000,
        "link_mbps": 47000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "kv_ttl_s": 5.0,
    }
    return {"name": name, "health_path": "/health", "engine": {**engine, **fields}}


def config(version, routes=None, **fields):
    known = {
        "version": version,
        "routes": [route()] if routes is None else routes,
        "services": [
            {"name": "svc", "health_path": "/health", "max_connections": 50},
            engine_service(),
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 100000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": "acc", "api_keys": [KEY], "priority": 2, "allowed_regions": []}],
    }
    return {**known, **fields}


class RecordedLog:
    """Records the log events of a daemon."""

    def __init__(self):
        self.lines = []
        self.left_out_total = 0

    def __call__(self, event, **fields):
        self.lines.append({"event": event, **fields})

    def flush(self):
        pass

    def of(self, event):
        return [line for line in self.lines if line["event"] == event]


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with a store and daemons, which are closed after each test."""

    daemons = 1

    async def asyncSetUp(self):
        self.store = await Store().start()
        self.addAsyncCleanup(self.store.stop)
        self.relays = []
        self.hosts = [f"127.0.1.{number + 1}" for number in range(self.daemons)]
        self.ports = free_ports(self.hosts, 7)

    def settings(self, number):
        host, ports = self.hosts[number], self.ports
        zone = f"z{number % 3 + 1}"
        return DaemonSettings(
            name=f"d{number}",
            ip=host,
            zone=zone,
            region=f"r{number % 3 + 1}",
            regions_of_zones={"z1": "r1", "z2": "r2", "z3": "r3", "z1b": "r1"},
            listen=Address(host, ports[0]),
            ready_listen=Address(host, ports[1]),
            control_listen=None,
            directory_listen=Address(host, ports[2]),
            metrics_listen=Address(host, ports[3]),
            internal_ports=(ports[4], ports[6]),
            seeds=(self.hosts[0],),
            memory_mb=150,
            open_files=1000,
            heartbeat_s=1.2,
            bounds=BOUNDS,
            store=StoreLimits(Address(self.store.host, self.store.port), 400, 2000),
        )

    async def start_relay(self, number=0):
        relay = Relay(self.settings(number), Path("/nonexistent"), RecordedLog())
        await relay.start()
        self.relays.append(relay)
        self.addAsyncCleanup(relay.close)
        return relay

    async def serve(self, *servers, **fields):
        """Start the servers, write the configuration and server entries, and start the daemons."""
        for server in servers:
            await self.start_server(server)
        self.store.put("op", "config", config(1, **fields))
        for number in range(self.daemons):
            await self.start_relay(number)
        for relay in self.relays:
            async with asyncio.timeout(WAIT_S):
                await relay.state.configured.wait()

    async def start_server(self, server, **fields):
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.store.put("servers", server.name, server.entry(**fields))

    async def client(self, number=0):
        address = self.relays[number].cfg.listen
        client = Client(*await asyncio.open_connection(address.host, address.port))
        self.addCleanup(client.close)
        return client

    async def ask(self, number=0, wait_s=WAIT_S, **fields):
        client = await self.client(number)
        await client.send(**fields)
        return await client.reply(wait_s)

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)
