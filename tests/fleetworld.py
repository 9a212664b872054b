"""Simulates a fleet's row and membership controllers in virtual time, without sockets or processes.

Each daemon has a real `Peers` object; the network between daemons, the store and the clock are
simulated. Tests partition, mute or slow single daemons and check the state of the others over time.
"""

import asyncio
import contextlib
import json
import selectors
from random import Random
from unittest import mock

from standins.replica import Replica

from lovageway.forwarding import gossip
from lovageway.forwarding.model import Address, DaemonSettings, Page, Row, StoreLimits
from lovageway.forwarding.peers import Peers
from lovageway.forwarding.poisonspread import SUSPECTS_TABLE
from lovageway.forwarding.relay import TICK_S
from lovageway.forwarding.state import State
from lovageway.forwarding.storewatch import ANSWER_TIMEOUT_S, WATCH_TIMEOUT_S, StoreError
from lovageway.platform.store import HISTORY_LOST
from tests.relayworld import BOUNDS, RecordedLog, config

NEAR_S, FAR_S, STORE_S = 0.0014, 0.008, 0.005  # one-way latency, and the store's
HANG_S = WATCH_TIMEOUT_S + ANSWER_TIMEOUT_S  # time after which a call without an answer fails
TABLES = ("op", "servers")


class _VirtualSelector(selectors.SelectSelector):
    loop: "VirtualLoop"

    def select(self, timeout=None):
        if timeout is not None and timeout > 0:
            self.loop.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only when all tasks wait."""

    def __init__(self):
        selector = _VirtualSelector()
        selector.loop = self
        self.now = 0.0
        super().__init__(selector)

    def time(self):
        return self.now


class SimulatedStore:
    """The platform's store as seen by one daemon."""

    def __init__(self, world, ip):
        self.world = world
        self.ip = ip
        self.calls = 0  # read by metrics

    async def read(self, table):
        await self._answer()
        rows = tuple(self.world.rows[table].values())
        return Page(rows, self.world.version, False, self.world.era)

    async def watch(self, table, after, wait_s):
        until = self.world.loop.time() + wait_s
        while True:
            await self._answer()
            if after > self.world.version:
                raise StoreError(HISTORY_LOST, "no such version")
            rows = [row for row in self.world.history if row.table == table and row.version > after]
            left_s = until - self.world.loop.time()
            if rows or left_s <= 0:
                return Page(tuple(rows), self.world.version, False, self.world.era)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.world.changed.wait(), left_s)

    async def put(self, table, key, value):
        await self._answer()
        self.world.rows[table][key] = Row(table, key, value, 0)

    async def remove(self, table, key):
        await self._answer()
        self.world.rows[table].pop(key, None)

    async def _answer(self):
        self.world.calls += 1
        await asyncio.sleep(STORE_S)
        if self.ip in self.world.silent | self.world.store_hangs:
            await asyncio.sleep(HANG_S)
            raise StoreError(0, "no answer")
        if self.ip in self.world.store_refuses:
            raise StoreError(503, "refused")


class Link:
    """The outgoing network link of a daemon, which drops what its full queue cannot take.

    Parameters
    ----------
    bytes_per_s
        Bandwidth.
    queue_bytes
        Size of the queue.
    """

    def __init__(self, bytes_per_s, queue_bytes):
        self.bytes_per_s = bytes_per_s
        self.queue_bytes = queue_bytes
        self.free_at = 0.0  # when the queue will be empty
        self.dropped = 0

    def queue(self, size, now):
        """Return the delay after which a datagram has left, or None if it is dropped."""
        delay = max(0.0, self.free_at - now)
        if delay * self.bytes_per_s + size > self.queue_bytes:
            self.dropped += 1
            return None
        self.free_at = now + delay + size / self.bytes_per_s
        return self.free_at - now


async def started(worlds, daemons, seed=1, links=None):
    """Return a fleet that is ready, with one server and version 1 of the configuration.

    `links` holds the bandwidth of each daemon's link and the size of its queue, in bytes.
    """
    world = FleetWorld(daemons, seed=seed)
    worlds.append(world)
    if links is not None:
        world.links = {ip: Link(*links) for ip in world.ips}
    world.put("op", "config", json.dumps(config(1)).encode())
    world.put("servers", "i-1", json.dumps(Replica().entry()).encode())
    for ip in world.ips:
        world.start(ip)
    await asyncio.sleep(4.0)
    return world


class FleetWorld:
    """Daemons in three regions.

    Attributes
    ----------
    silent
        Daemons that neither send nor receive anything; their store calls get no answer.
    mute
        Daemons that receive datagrams but whose own are lost.
    store_hangs, store_refuses
        Daemons whose calls the store does not answer, or answers with 503.
    links
        The network link of each daemon that has a limited one.
    """

    def __init__(self, daemons, regions=3, seed=1):
        self.loop = asyncio.get_running_loop()
        self.rng = Random(seed)
        self.version = 1
        self.era = 1
        self.calls = 0  # made to the store by all daemons
        self.rows = {table: {} for table in (*TABLES, "daemons", SUSPECTS_TABLE)}
        self.history = []
        self.changed = asyncio.Event()
        self.silent, self.mute, self.store_hangs, self.store_refuses = set(), set(), set(), set()
        self.ips = [f"10.{n % regions}.0.{n}" for n in range(daemons)]
        self.region = {ip: f"r{n % regions}" for n, ip in enumerate(self.ips)}
        self.peers, self.tasks = {}, {}
        self.messages = []  # heartbeats, one entry for each destination
        self.links = {}  # by address

    def put(self, table, key, value):
        """Write a row, or remove one."""
        self.version += 1
        row = Row(table, key, value, self.version)
        self.history.append(row)
        if value is None:
            self.rows[table].pop(key, None)
        else:
            self.rows[table][key] = row
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        """Return a copy of the store, to which `restore` returns."""
        rows = {table: dict(known) for table, known in self.rows.items()}
        return self.version, rows, list(self.history)

    def restore(self, copied):
        """Let the store return to a copy: its era rises and versions are given out again."""
        self.version, rows, history = copied
        self.rows = {table: dict(known) for table, known in rows.items()}
        self.history = list(history)
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def settings(self, ip):
        address, region = Address(ip, 80), self.region[ip]
        return DaemonSettings(
            name=ip,
            ip=ip,
            zone=region,
            region=region,
            regions_of_zones={zone: zone for zone in self.region.values()},
            listen=address,
            ready_listen=address,
            control_listen=None,
            directory_listen=address,
            metrics_listen=address,
            internal_ports=(7200, 7201),
            seeds=tuple(self.ips[:3]),
            memory_mb=128,
            open_files=1000,
            heartbeat_s=1.2,
            bounds=BOUNDS,
            store=StoreLimits(address, 400, 2000),
        )

    def start(self, ip):
        """Start a daemon with empty state."""
        state = State(self.settings(ip), self.loop.time, Random(ip), RecordedLog())
        peers = Peers(state, Random(ip))
        client = SimulatedStore(self, ip)
        peers._client = peers._poison_spread._client = client
        for watch in peers._watches.values():
            watch._client = client
            watch.start()
        peers._gossip.send = lambda data, ips, port: self._send(ip, data, ips)
        self.peers[ip] = peers
        self.tasks[ip] = [
            self.loop.create_task(self._tick_forever(peers)),
            self.loop.create_task(peers.announce()),
        ]

    def stop(self, ip):
        """Stop a daemon abruptly."""
        self.peers.pop(ip).close()
        for task in self.tasks.pop(ip):
            task.cancel()

    async def _tick_forever(self, peers):
        ticks = self.rng.randrange(2)
        await asyncio.sleep(self.rng.random() * TICK_S)
        while True:
            now = self.loop.time()
            peers.tick(now)
            peers._state.members.tick(now)
            peers._state.load_tracker.forget(now)
            ticks += 1
            if ticks % 2 or not peers._state.members.is_large(now):
                peers.send_heartbeats()
            await asyncio.sleep(TICK_S)

    def _send(self, sender, data, ips):
        if len(data) > gossip.MAX_DATAGRAM_BYTES:
            return False
        if isinstance(message := gossip.decode(data), gossip.Heartbeat):
            self.messages += [message] * len(ips)
        for ip in ips:
            queued = 0.0
            if sender in self.links:
                queued = self.links[sender].queue(len(data), self.loop.time())
            if sender not in self.silent | self.mute and queued is not None:
                same = self.region[ip] == self.region[sender]
                delay = queued + (NEAR_S if same else FAR_S)
                self.loop.call_later(delay, self._deliver, sender, data, ip)
        return True

    def _deliver(self, sender, data, ip):
        if ip in self.peers and ip not in self.silent:
            self.peers[ip]._gossip.datagram_received(data, (sender, 7200))

    async def pull_rows(self, ip, port, table, after):
        """Stand in for `gossip.pull_rows`."""
        await asyncio.sleep(2 * FAR_S)
        if ip not in self.peers or ip in self.silent:
            raise OSError(f"{ip} sent no rows")
        mirror = self.peers[ip]._state.mirror
        is_full, rows = mirror.since(table, after)
        return gossip.PulledRows(
            is_full and mirror.is_complete(table),
            self.peers[ip].removals_may_be_expired(),
            rows,
            mirror.position(table),
            mirror.kept(table),
        )

    def state(self, ip):
        return self.peers[ip]._state

    def versions(self):
        """Return the version of the applied configuration by daemon, 0 without one."""
        return {
            ip: peers._state.routes.cfg.version if peers._state.routes is not None else 0
            for ip, peers in self.peers.items()
        }

    def watchers(self):
        """Return the daemons that watch the store."""
        return [ip for ip, peers in self.peers.items() if peers._watches["op"].is_running]


def run(scenario):
    """Run a scenario in virtual time; it must append the world that it builds to its argument."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(_with_pulls(scenario))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)


async def _with_pulls(scenario):
    worlds = []

    async def pull_rows(*request):
        return await worlds[0].pull_rows(*request)

    with mock.patch("lovageway.forwarding.gossip.pull_rows", pull_rows):
        await scenario(worlds)
