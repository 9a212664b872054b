"""Builds a daemon from its settings, runs it and stops it."""

import asyncio
import contextlib
import json
import random
import secrets
import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatchmethod
from typing import Literal

import structlog

from lovageway.adapters._http import build_server
from lovageway.adapters._listener import Listener
from lovageway.adapters.callers import CallerApp
from lovageway.adapters.engines import EngineClient
from lovageway.adapters.generations import GenerationClient
from lovageway.adapters.loads import LoadReader
from lovageway.adapters.operators import MAX_DRAIN_BYTES, OperatorApp
from lovageway.adapters.peers import PeerTransport
from lovageway.adapters.services import PlainServiceClient
from lovageway.adapters.table import TableClient
from lovageway.adapters.vmlist import VmListClient
from lovageway.codes import Code
from lovageway.controllers._standing import Policy
from lovageway.events import (
    CancelGeneration,
    Count,
    Effect,
    LoadRead,
    OrderAnswered,
    PeerMessage,
    ReadLoad,
    ReadRows,
    ReadVmList,
    SendOrder,
    SendPeer,
    StateChanged,
    Stopped,
    StopRequested,
    TableAnswered,
    Tick,
    Transact,
    VmListRead,
)
from lovageway.exchange import BackendClients
from lovageway.messages import Message
from lovageway.metrics import Metrics
from lovageway.model import Identity
from lovageway.node import Node, Options
from lovageway.runtime import Runtime
from lovageway.settings import Settings, read_secret

TICK_S = 0.05
IO_THREADS = 8
LOAD_THREADS = 16  # a daemon owns about 13 servers at the target size
TABLE_THREADS = 32
CALL_THREADS = 128  # plain calls; further ones wait for a thread
OPERATOR_THREADS = 8

log = structlog.get_logger()


class Daemon:
    """One entry daemon.

    Parameters
    ----------
    cfg
        Checked settings.
    policy
        Limits of the configuration; given in measurements only, otherwise taken from `cfg`.
    """

    def __init__(self, cfg: Settings, policy: Policy | None = None) -> None:
        self._cfg = cfg
        self._policy = policy or Policy(cfg.configuration.minority_max_age_s)
        self._metrics = Metrics()
        self._table = TableClient(cfg.platform.table_url)
        self._vm_list = VmListClient(cfg.platform.vm_list_url)
        self._engines = EngineClient()
        self._load_reports = LoadReader()
        self._pool = ThreadPoolExecutor(IO_THREADS, thread_name_prefix="io")
        # Threads of their own, so that silent servers delay no other server's report for long.
        self._load_pool = ThreadPoolExecutor(LOAD_THREADS, thread_name_prefix="load")
        self._call_pool = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="call")
        self._loads: set[str] = set()
        self._messages_sent = self._bytes_sent = 0  # to other daemons
        # Threads of its own, so that a slow table service delays no load report.
        self._table_pool = ThreadPoolExecutor(TABLE_THREADS, thread_name_prefix="table")
        self._table_slots = threading.BoundedSemaphore(TABLE_THREADS)

    def run(self) -> None:
        """Serve until a planned stop is complete."""
        asyncio.run(self._run())

    async def _run(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopped = asyncio.Event()
        keys = [read_secret(path) for path in self._cfg.keys.peer_key_files]
        start_id = secrets.token_hex(4)
        node_id = f"{self._cfg.daemon.vm_id}/{start_id}"
        self._peers = PeerTransport(
            node_id, keys, self._receive, self._peer_error, self._peer_traffic
        )
        await self._peers.listen(*_host_port(self._cfg.daemon.peer_listen))
        self._peer_listen = self._peers.address
        self._peers.address = self._cfg.daemon.peer_advertise or self._peers.address
        await self._listen(start_id)
        for sig in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(sig, lambda: self._runtime.submit(StopRequested()))
        self._tick()
        await self._stopped.wait()
        # Requests that arrive from here on are still answered, with a refusal.
        await self._listener.stop()
        await self._callers.wait_for_calls()
        await self._generations.close()
        await asyncio.to_thread(self._operators.stop)
        self._next_tick.cancel()
        self._load_pool.shutdown(wait=False, cancel_futures=True)
        # Writes to the table service that were handed over before are carried out.
        await asyncio.to_thread(self._call_pool.shutdown)
        await asyncio.to_thread(self._table_pool.shutdown)
        await asyncio.to_thread(self._pool.shutdown)
        await self._peers.close()

    async def _listen(self, start_id: str) -> None:
        """Bind the listeners, build the node and print the addresses as one line of JSON."""
        daemon = self._cfg.daemon
        self._listener = Listener(daemon.max_open_requests, self._count_refusal)
        address = await self._listener.bind(*_host_port(daemon.listen))
        self._operators = build_server(
            *_host_port(daemon.operator_listen), OPERATOR_THREADS, self._count_refusal
        )
        self._operators.prepare()
        ident = Identity(daemon.vm_id, start_id, daemon.zone, address, self._peers.address)
        self._runtime = Runtime(
            Node(ident, random.Random(), self._options()), time.monotonic, self._perform
        )
        self._generations = GenerationClient()
        backends = BackendClients(self._generations, PlainServiceClient(), self._call_pool)
        operator_keys = [read_secret(path) for path in self._cfg.keys.operator_key_files]
        resume_keys = [read_secret(path) for path in self._cfg.keys.resume_key_files]
        self._callers = CallerApp(
            self._runtime, backends, self._metrics.timing, resume_keys, self._count_refusal
        )
        self._operators.max_request_body_size = MAX_DRAIN_BYTES
        self._operators.wsgi_app = OperatorApp(
            self._runtime, operator_keys, self._metrics.registry, self._traffic
        )
        threading.Thread(target=self._operators.serve, daemon=True).start()
        await self._listener.start(self._callers.serve)
        ready = {
            "listen": address,
            "peer_listen": self._peer_listen,
            "operator_listen": _bound(self._operators),
        }
        print(json.dumps(ready), flush=True)
        log.info("serving", vm_id=daemon.vm_id, start_id=start_id, **ready)

    def _options(self) -> Options:
        cfg = self._cfg
        return Options(
            cfg.routing.policy, cfg.platform.weight_loads_per_s, self._policy, cfg.daemon.seeds
        )

    def _tick(self) -> None:
        # A timer alone takes one round of the loop; a sleeping task takes two.
        self._next_tick = self._loop.call_later(TICK_S, self._tick)
        self._runtime.submit(Tick())

    def _receive(self, sender: str, address: str, message: Message) -> None:
        self._runtime.submit(PeerMessage(sender, address, message))

    def _count_refusal(self, code: Code) -> None:
        self._metrics.add(Count("refusals", (str(int(code)),)))

    def _peer_error(self, reason: str) -> None:
        self._metrics.add(Count("peer_errors", (reason,)))

    def _traffic(self) -> dict[str, int]:
        return {"bytes": self._bytes_sent, "messages": self._messages_sent}

    def _peer_traffic(self, direction: str, size: int) -> None:
        if direction != "received":
            self._messages_sent += 1
            self._bytes_sent += size
        self._metrics.add(Count("peer_messages", (direction,)))
        self._metrics.add(Count("peer_bytes", (direction,), size))

    def _background(self, call: Callable[..., object], *args: object) -> None:
        def run() -> None:
            try:
                call(*args)
            except Exception:
                # A future nobody waits for would hide the error.
                log.exception("background_call_failed")

        # While the daemon stops, the pool takes nothing new.
        with contextlib.suppress(RuntimeError):
            self._pool.submit(run)

    def _ask_table(
        self, op_id: str, on_error: Literal["down", "unknown"], call: Callable[[], TableAnswered]
    ) -> None:
        """Call the table service; nothing queues behind a slow one, and an answer always comes."""

        def run() -> None:
            answer = TableAnswered(op_id, on_error, {})
            try:
                answer = call()
            except Exception:
                log.exception("table_call_failed")
            finally:
                self._table_slots.release()
            self._runtime.submit(answer)

        if self._stopped.is_set():
            return
        if self._table_slots.acquire(blocking=False):
            self._table_pool.submit(run)
        else:
            # An effect is performed under the runtime's lock, so the answer goes through the loop.
            self._metrics.add(Count("table_shed"))
            shed = TableAnswered(op_id, "down", {})
            self._loop.call_soon_threadsafe(self._runtime.submit, shed)

    @singledispatchmethod
    def _perform(self, effect: Effect) -> None:
        raise TypeError(f"no handler for {type(effect).__name__}")

    @_perform.register
    def _(self, effect: Count) -> None:
        self._metrics.add(effect)

    @_perform.register
    def _(self, effect: StateChanged) -> None:
        log.info(effect.name, vm_id=self._cfg.daemon.vm_id, **effect.fields)

    @_perform.register
    def _(self, effect: SendPeer) -> None:
        self._loop.call_soon_threadsafe(self._peers.send, effect.address, effect.message)

    @_perform.register
    def _(self, effect: ReadRows) -> None:
        self._ask_table(effect.op_id, "down", lambda: self._table.read(effect))

    @_perform.register
    def _(self, effect: Transact) -> None:
        self._ask_table(effect.op_id, "unknown", lambda: self._table.transact(effect))

    @_perform.register
    def _(self, effect: ReadVmList) -> None:
        def read() -> None:
            vms = self._vm_list.read()
            if vms is not None:
                self._runtime.submit(VmListRead(vms))

        self._background(read)

    @_perform.register
    def _(self, effect: ReadLoad) -> None:
        if effect.server_id in self._loads:
            return  # a silent server would otherwise take one thread after another
        self._loads.add(effect.server_id)

        def read() -> None:
            try:
                report = self._load_reports.read(effect.address)
            finally:
                self._loads.discard(effect.server_id)
            self._runtime.submit(LoadRead(effect.server_id, report))

        self._load_pool.submit(read)

    @_perform.register
    def _(self, effect: CancelGeneration) -> None:
        self._background(self._engines.cancel, effect.address, effect.generation)

    @_perform.register
    def _(self, effect: SendOrder) -> None:
        def send() -> None:
            accepted = self._engines.order(effect.address, effect.order)
            self._runtime.submit(OrderAnswered(effect.server_id, effect.fencing, accepted))

        self._background(send)

    @_perform.register
    def _(self, effect: Stopped) -> None:
        self._loop.call_soon_threadsafe(self._stopped.set)


def _host_port(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def _bound(server: object) -> str:
    host, port = server.bind_addr[:2]  # type: ignore[attr-defined]
    return f"{host}:{port}"
