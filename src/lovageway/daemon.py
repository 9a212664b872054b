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

from lovageway.adapters._listener import Listener
from lovageway.adapters.callers import CallerApp
from lovageway.adapters.engines import EngineClient
from lovageway.adapters.generations import GenerationClient
from lovageway.adapters.loads import LoadReader
from lovageway.adapters.operators import OperatorApp
from lovageway.adapters.peers import PeerTransport
from lovageway.adapters.services import PlainServiceClient
from lovageway.adapters.table import TableClient
from lovageway.adapters.vmlist import VmListClient
from lovageway.codes import Code
from lovageway.controllers._freshness import Policy
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
from lovageway.memorybudget import MemoryBudget
from lovageway.messages import Message
from lovageway.metrics import Metrics
from lovageway.model import Identity
from lovageway.node import Node, Options
from lovageway.runtime import Runtime
from lovageway.settings import Settings, read_secret

TICK_S = 0.05
IO_THREADS = 8  # for the VM list, orders and cancellations
LOAD_THREADS = 16  # a daemon reads the load of about 13 servers at the target size
TABLE_THREADS = 32
CALL_THREADS = 128  # for plain calls; further calls wait for a thread
OPERATOR_REQUESTS = 64  # open at the same time, most of which wait for a thread
OPERATOR_MEMORY_BYTES = 8_000_000  # for the heads and bodies of operators' requests

log = structlog.get_logger()


class Daemon:
    """One entry daemon.

    Parameters
    ----------
    cfg
        Checked settings.
    policy
        How fresh the configuration must be and how changes spread. Only benchmarks pass it; the
        default is built from `cfg`.
    """

    def __init__(self, cfg: Settings, policy: Policy | None = None) -> None:
        self._cfg = cfg
        self._policy = policy or Policy(cfg.configuration.minority_max_age_s)
        self._metrics = Metrics()
        self._table = TableClient(cfg.platform.table_url)
        self._vm_list = VmListClient(cfg.platform.vm_list_url)
        self._engines = EngineClient()
        self._load_reports = LoadReader()
        self._io_pool = ThreadPoolExecutor(IO_THREADS, thread_name_prefix="io")
        # A separate pool, so that servers that do not respond delay other reports only briefly.
        self._load_pool = ThreadPoolExecutor(LOAD_THREADS, thread_name_prefix="load")
        self._call_pool = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="call")
        self._pending_loads: set[str] = set()
        self._messages_sent = self._bytes_sent = 0  # to other daemons
        # A separate pool, so that a slow table service delays no load report.
        self._table_pool = ThreadPoolExecutor(TABLE_THREADS, thread_name_prefix="table")
        self._table_slots = threading.BoundedSemaphore(TABLE_THREADS)

    def run(self) -> None:
        """Serve until a planned stop is complete.

        SIGTERM and SIGINT start a planned stop.
        """
        asyncio.run(self._run())

    async def _run(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopped = asyncio.Event()
        keys = [read_secret(path) for path in self._cfg.keys.peer_key_files]
        start_id = secrets.token_hex(4)
        node_id = f"{self._cfg.daemon.vm_id}/{start_id}"
        self._peers = PeerTransport(
            node_id, keys, self._receive, self._count_peer_error, self._count_peer_traffic
        )
        await self._peers.listen(*_host_port(self._cfg.daemon.peer_listen))
        self._peer_listen = self._peers.address
        self._peers.address = self._cfg.daemon.peer_advertise or self._peers.address
        await self._start_listeners(start_id)
        for sig in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(sig, lambda: self._runtime.submit(StopRequested()))
        self._tick()
        await self._stopped.wait()
        # Until the listener has stopped, further requests are answered with a refusal.
        await self._listener.stop()
        await self._callers.wait_for_calls()
        await self._generations.close()
        await self._operators.stop()
        self._operator_app.close()
        self._next_tick.cancel()
        self._load_pool.shutdown(wait=False, cancel_futures=True)
        # Submitted writes to the table service are completed.
        await asyncio.to_thread(self._call_pool.shutdown)
        await asyncio.to_thread(self._table_pool.shutdown)
        await asyncio.to_thread(self._io_pool.shutdown)
        await self._peers.close()

    async def _start_listeners(self, start_id: str) -> None:
        """Bind the listeners, create the node and print the addresses as one line of JSON."""
        daemon = self._cfg.daemon
        memory = MemoryBudget(int(daemon.request_memory_mb * 1e6))
        self._listener = Listener(daemon.max_open_requests, self._count_refusal, memory)
        address = await self._listener.bind(*_host_port(daemon.listen))
        operator_memory = MemoryBudget(OPERATOR_MEMORY_BYTES)
        self._operators = Listener(OPERATOR_REQUESTS, self._count_refusal, operator_memory)
        operator_address = await self._operators.bind(*_host_port(daemon.operator_listen))
        ident = Identity(daemon.vm_id, start_id, daemon.zone, address, self._peers.address)
        self._runtime = Runtime(
            Node(ident, random.Random(), self._build_options()), time.monotonic, self._perform
        )
        self._generations = GenerationClient()
        backends = BackendClients(self._generations, PlainServiceClient(), self._call_pool)
        operator_keys = [read_secret(path) for path in self._cfg.keys.operator_key_files]
        resume_keys = [read_secret(path) for path in self._cfg.keys.resume_key_files]
        self._callers = CallerApp(
            self._runtime, backends, self._metrics.timing, resume_keys, self._count_refusal, memory
        )
        self._operator_app = OperatorApp(
            self._runtime,
            operator_keys,
            self._metrics.registry,
            self._sent_traffic,
            operator_memory,
        )
        await self._operators.start(self._operator_app.serve)
        await self._listener.start(self._callers.serve)
        ready = {
            "listen": address,
            "peer_listen": self._peer_listen,
            "operator_listen": operator_address,
        }
        print(json.dumps(ready), flush=True)
        log.info("serving", vm_id=daemon.vm_id, start_id=start_id, **ready)

    def _build_options(self) -> Options:
        cfg = self._cfg
        return Options(
            cfg.routing.policy, cfg.platform.weight_loads_per_s, self._policy, cfg.daemon.seeds
        )

    def _tick(self) -> None:
        # A timer takes one iteration of the event loop, a sleeping task takes two.
        self._next_tick = self._loop.call_later(TICK_S, self._tick)
        self._runtime.submit(Tick())

    def _receive(self, sender: str, address: str, message: Message) -> None:
        self._runtime.submit(PeerMessage(sender, address, message))

    def _count_refusal(self, code: Code) -> None:
        self._metrics.add(Count("refusals", (str(int(code)),)))

    def _count_peer_error(self, reason: str) -> None:
        self._metrics.add(Count("peer_errors", (reason,)))

    def _sent_traffic(self) -> dict[str, int]:
        return {"bytes": self._bytes_sent, "messages": self._messages_sent}

    def _count_peer_traffic(self, direction: str, size: int) -> None:
        if direction != "received":
            self._messages_sent += 1
            self._bytes_sent += size
        self._metrics.add(Count("peer_messages", (direction,)))
        self._metrics.add(Count("peer_bytes", (direction,), size))

    def _run_in_background(self, call: Callable[..., object], *args: object) -> None:
        def run() -> None:
            try:
                call(*args)
            except Exception:
                # Nothing reads the result of the future, so the error would be lost.
                log.exception("background_call_failed")

        # During a stop the pool rejects new calls.
        with contextlib.suppress(RuntimeError):
            self._io_pool.submit(run)

    def _call_table(
        self, op_id: str, on_error: Literal["down", "unknown"], call: Callable[[], TableAnswered]
    ) -> None:
        """Call the table service without queueing, and submit the answer.

        When all threads are busy, the call is rejected, so that no call waits behind a slow one.
        The node receives an answer in every case unless the daemon has stopped.

        Parameters
        ----------
        op_id
            Id of the operation, returned in the answer.
        on_error
            Result to report if the call raises an exception.
        call
            Calls the table service.
        """

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
            # This runs under the runtime's lock, so the answer is submitted by the event loop.
            self._metrics.add(Count("table_shed"))
            rejection = TableAnswered(op_id, "down", {})
            self._loop.call_soon_threadsafe(self._runtime.submit, rejection)

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
        self._call_table(effect.op_id, "down", lambda: self._table.read(effect))

    @_perform.register
    def _(self, effect: Transact) -> None:
        self._call_table(effect.op_id, "unknown", lambda: self._table.transact(effect))

    @_perform.register
    def _(self, effect: ReadVmList) -> None:
        def read() -> None:
            vms = self._vm_list.read()
            if vms is not None:
                self._runtime.submit(VmListRead(vms))

        self._run_in_background(read)

    @_perform.register
    def _(self, effect: ReadLoad) -> None:
        if effect.server_id in self._pending_loads:
            return  # otherwise a server that does not respond would occupy more and more threads
        self._pending_loads.add(effect.server_id)

        def read() -> None:
            try:
                report = self._load_reports.read(effect.address)
            finally:
                self._pending_loads.discard(effect.server_id)
            self._runtime.submit(LoadRead(effect.server_id, report))

        self._load_pool.submit(read)

    @_perform.register
    def _(self, effect: CancelGeneration) -> None:
        self._run_in_background(self._engines.cancel, effect.address, effect.generation)

    @_perform.register
    def _(self, effect: SendOrder) -> None:
        def send() -> None:
            accepted = self._engines.order(effect.address, effect.order)
            self._runtime.submit(OrderAnswered(effect.server_id, effect.fencing, accepted))

        self._run_in_background(send)

    @_perform.register
    def _(self, effect: Stopped) -> None:
        self._loop.call_soon_threadsafe(self._stopped.set)


def _host_port(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
