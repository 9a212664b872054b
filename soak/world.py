"""The deployment that a soak runs: a store, servers and daemons, each daemon its own process."""

import asyncio
import contextlib
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import yaml
from standins.caller import HOST, KEY, free_ports
from standins.proxy import Proxy
from standins.store import Store

from soak.servers import EngineServer, PlainServer

ROOT = Path(__file__).resolve().parent.parent
DAEMONS = 4
ZONES = ("z1", "z2", "z3")
GRACE_PERIOD_S = 4.0
WRITE_AGAIN_S = 1.0  # until all is written again that the store lost, on average
ENGINE_RESTART_S = 0.5  # after a request ended an engine
RETRY_BUDGET = (0.2, 40, 10.0)  # ratio to the requests, fixed allowance, window in seconds
EXPOSURE = (0.1, 30)  # share and number of the requests that a bad version may get
BOUNDS = {
    "drain_ms": 1500,
    "grace_period_s": GRACE_PERIOD_S,
    "contact_ms": 2000,
    "ttl_max_s": 2,
    "retry_budget_ratio": RETRY_BUDGET[0],
    "retry_budget_extra": RETRY_BUDGET[1],
    "budget_window_s": RETRY_BUDGET[2],
    "exposure_share": EXPOSURE[0],
    "exposure_tolerance": EXPOSURE[1],
}
READY_TIMEOUT_S = 20.0  # for the start of a daemon, on a busy machine
_PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")
LIMITS = {"max_header_bytes": 4096, "max_body_bytes": 100000}


def route(name, kind, service, **fields):
    """Return a route of the configuration, with some fields replaced or added."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        "stream_resume": False,
        "target_gap_ms": 180,
        "allowed_regions": [],
        **fields,
    }


class Daemon:
    """A daemon: its process, its settings file and the proxy between it and the store."""

    def __init__(self, number, host, ports, seeds, store, folder):
        self.name = f"d{number}"
        self.host = host
        self.ports = ports
        self.store_link = Proxy(store)
        self.log = folder / f"{self.name}.log"
        self.path = folder / f"{self.name}.yaml"
        zone = ZONES[number % len(ZONES)]
        addresses = [f"{host}:{port}" for port in ports]
        names = ("frontend", "ready", "control_plane", "directory_service")
        self.settings = {
            "node_name": self.name,
            "ip": host,
            "zone": zone,
            "region": f"r-{zone}",
            "zones": {item: f"r-{item}" for item in ZONES},
            "listen": dict(zip(names, addresses, strict=False)),
            "internal_port_range": [ports[4], ports[5]],
            "seed_nodes": [f"{seed}:{ports[2]}" for seed in seeds],
            "limits": {"memory_mb": 150, "file_descriptors": 1000},
            "bounds": BOUNDS,
            "platform": {"address": self.store_link.address},
        }
        self.process = None
        self.exit_expected = False  # the soak has sent a signal that ends the process
        self.unexpected_exit_codes = []  # of processes that ended without such a signal
        self.peak_mb = 0.0

    def start(self):
        """Write the settings file and start the process."""
        self.path.write_text(yaml.safe_dump(self.settings))
        env = {**os.environ, "LOVAGEWAY_NODE_FILE": str(self.path)}
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "relay.py")], env=env, stdout=out, stderr=out
            )
        self.exit_expected = False

    def check(self):
        """Record the peak memory of the process; record an unexpected exit and restart it."""
        with contextlib.suppress(OSError):
            found = _PEAK_MEMORY.search(Path(f"/proc/{self.process.pid}/status").read_text())
            self.peak_mb = max(self.peak_mb, int(found.group(1)) / 1000 if found else 0.0)
        if self.process.poll() is not None and not self.exit_expected:
            self.unexpected_exit_codes.append(self.process.returncode)
            self.start()

    def signal(self, number):
        """Send a signal to the process if it is still running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self, number, wait_s):
        """End the process with a signal; return its exit code, or None if it had to be killed."""
        self.exit_expected = True
        self.signal(signal.SIGCONT)
        self.signal(number)
        try:
            async with asyncio.timeout(wait_s):
                while self.process.poll() is None:
                    await asyncio.sleep(0.02)
            return self.process.returncode
        except TimeoutError:
            self.process.kill()
            self.process.wait()
            return None


class World:
    """Everything that one seed of the soak runs."""

    def __init__(self, rng):
        self.rng = rng
        self._folder = tempfile.TemporaryDirectory(prefix="soak-")
        self.store = Store()
        self.plain = [PlainServer(f"i-{n}", zone=ZONES[n % 3]) for n in range(3)]
        self.engines = [EngineServer(f"e-{n}", zone=ZONES[n // 2 % 3]) for n in range(6)]
        self.removed_servers = []  # servers that shut down or crashed
        self.daemons = []
        self.version = 0
        self.extra_route = False
        self.next_server = 100
        self.crashing_part = None  # part of prompts with which requests end engines
        self.crash_after_events = 0

    @property
    def servers(self):
        """Return the servers that are listed in the store."""
        return [*self.plain, *self.engines]

    async def start(self):
        """Start everything and wait until the daemons are ready."""
        await self.store.start()
        for server in self.servers:
            await server.start()
            self.list_server(server)
        self.configure()
        folder = Path(self._folder.name)
        net = f"127.0.{16 + os.getpid() % 200}"
        hosts = [f"{net}.{n + 1}" for n in range(DAEMONS)]
        ports = free_ports(hosts, 6)
        for number, host in enumerate(hosts):
            daemon = Daemon(number, host, ports, hosts[:2], self.store.address, folder)
            self.daemons.append(daemon)
            daemon.start()
        for daemon in self.daemons:
            await self.wait_ready(daemon)

    async def stop(self):
        """End all processes and close all sockets of the soak."""
        for daemon in self.daemons:
            await daemon.end(signal.SIGKILL, 10.0)
            daemon.process.wait()
            daemon.store_link.listener.close()
            daemon.store_link.set_mode("cut")
        for server in [*self.servers, *self.removed_servers]:
            await server.stop()
        await self.store.stop()
        self._folder.cleanup()

    def configure(self):
        """Write a new version of the configuration."""
        self.version += 3
        routes = [
            route("safe", "idempotent", "svc"),
            route("once", "non_idempotent", "svc"),
            route("stream", "streaming", "llm", timeout_ms=10000, sticky_sessions=True),
        ]
        if self.extra_route:
            routes.append(route("extra", "idempotent", "svc"))
        engine = {"slots": 24, "kv_cache_tokens": 30000, "kv_token_bytes": 1000}
        engine |= {"link_mbps": 47000.0, "moves": True, "backups": True, "kv_ttl_s": 5.0}
        fields = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "svc", "health_path": "/health", "max_connections": 200},
                {"name": "llm", "health_path": "/health", "engine": {**engine, "stride": 4}},
            ],
            "limits": LIMITS,
            "tenants": [{"name": "acc", "api_keys": [KEY], "priority": 2}],
        }
        self.store.put("op", "config", json.dumps(fields))

    def list_server(self, server, **fields):
        """Write the entry of a server to the store."""
        self.store.put("servers", server.name, server.entry(**fields))

    async def return_store(self, copied):
        """Let the store return to a copy; the operator and the servers write again what it lost.

        That includes removals: the operator takes back once more what it took back since the copy,
        and the entries of servers that are gone expire.
        """
        before = dict(self.store.rows)
        self.store.restore(copied)
        shown = dict(self.store.rows)
        lost = [
            (place, value)
            for place, (version, value) in before.items()
            if place[0] in ("op", "servers") and version > copied[1]
        ]
        self.rng.shuffle(lost)
        for place, value in lost:
            await asyncio.sleep(self.rng.uniform(0.0, 2 * WRITE_AGAIN_S / len(lost)))
            if self.store.rows.get(place) == shown.get(place):
                self.store.put(*place, value)

    async def start_version(self, version, is_bad):
        """Start servers of another version of the plain service beside those that are listed."""
        found = []
        for old in list(self.plain):
            server = PlainServer(f"n-{self.next_server}", zone=old.zone)
            self.next_server += 1
            server.version, server.is_bad = version, is_bad
            await server.start()
            self.list_server(server, cold_remaining_ms=300)
            found.append(server)
        self.plain += found
        return found

    def rollout_state(self, to):
        """Return how the roll-out to a version ended; None if it has not."""
        _, value = self.store.rows.get(("status", "rollout/svc"), (0, None))
        fields = json.loads(value) if value else {}
        state = fields.get("state")
        return state if fields.get("to") == to and state != "in_progress" else None

    async def retire(self, servers, drain_s, state):
        """Stop servers after the end of a roll-out; those of a completed one stop at once."""
        if state != "completed":
            for server in servers:
                self.list_server(server, state="draining")
            await asyncio.sleep(drain_s)
        for server in servers:
            self.store.put("servers", server.name, None)
            if server in self.plain:
                self.plain.remove(server)
                self.removed_servers.append(server)
                await server.stop()

    async def restart_crashed(self):
        """Start the engines again that a request ended."""
        for engine in self.engines:
            engine.crashing_parts = {self.crashing_part} - {None}
            engine.crash_after_events = self.crash_after_events
            if engine.crashed_at and time.monotonic() - engine.crashed_at > ENGINE_RESTART_S:
                await engine.restart()
                self.list_server(engine)

    async def wait_ready(self, daemon):
        """Wait until a daemon reports readiness."""
        address = daemon.settings["listen"]["ready"].split(":")
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _is_ready(*address):
                await asyncio.sleep(0.05)

    async def wait_ready_or_log(self, daemon):
        """Wait until a daemon is ready, and print a line if it is not.

        A restarted daemon may be unready for long while other faults are active.
        """
        try:
            await self.wait_ready(daemon)
        except TimeoutError:
            print(f"{daemon.name} is not ready {READY_TIMEOUT_S} s after its start", flush=True)


async def _is_ready(host, port):
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    try:
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(1.0):
            return b" 200 " in await reader.readline()
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
