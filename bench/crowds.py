"""What ordinary callers get while a crowd holds idle connections to one daemon.

``python -m bench.crowds [--connections 5000] [--seconds 25]`` prints, for each address of a daemon
of the forwarding path and for the callers' listener of `lovageway serve`, how many of the ordinary
requests were answered with 200, and the peak memory of the process. The idle timeout is longer than
the measurement.
"""

import argparse
import asyncio
import multiprocessing
import re
import signal
import tempfile
import time
from pathlib import Path

from soak.world import Daemon
from standins.caller import WAIT_S, free_ports
from standins.fleet import Fleet
from standins.replica import Replica
from standins.store import Store
from tests import crowd
from tests.builders import jar_returns_rows
from tests.relayworld import config, route

HOST = "127.0.6.1"
INTERVAL_S = 0.1  # between two ordinary requests at an address
FILL_S = 3.0  # for the crowd to connect, before the first ordinary request
IDLE_TIMEOUT_MS = 300_000
FORWARD_LIMITS = {"memory_mb": 150, "file_descriptors": 4100}
CALL = "POST /v1/services/counter-app/history HTTP/1.1\r\nHost: d\r\n"
_PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")


def hold(host, port, connections, seconds):
    """Open idle connections, and keep those that the daemon does not close."""
    until = time.monotonic() + seconds
    socks = crowd.connect_all(host, port, connections)
    time.sleep(max(0.0, until - time.monotonic()))
    for sock in socks:
        sock.close()


async def ask(host, port, request, seconds):
    """Send ordinary requests one after another; return how many were served, and of how many."""
    served = total = 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        line = await crowd.answer(host, port, request.encode(), WAIT_S)
        served, total = served + (" 200 " in line), total + 1
        await asyncio.sleep(INTERVAL_S)
    return served, total


async def measure(name, pid, host, port, doors, args):
    """Run the crowd at one port and print what ordinary requests at all doors got."""
    seconds = FILL_S + args.seconds
    holder = multiprocessing.Process(
        target=hold, args=(host, port, args.connections, seconds), daemon=True
    )
    holder.start()
    await asyncio.sleep(FILL_S)
    found = await asyncio.gather(*(ask(host, p, r, args.seconds) for p, r in doors.values()))
    peak = _PEAK_MEMORY.search(Path(f"/proc/{pid}/status").read_text()).group(1)
    counts = ", ".join(f"{d} {s}/{t}" for d, (s, t) in zip(doors, found, strict=True))
    print(f"{name}: {args.connections} idle connections: {counts}; peak {int(peak) // 1000} MB")
    await asyncio.to_thread(holder.join)


async def measure_forwarding(args):
    """Measure a daemon of the forwarding path."""
    store, server = await Store(HOST).start(), Replica("i-1")
    await server.start()
    store.put("servers", "i-1", server.entry(slots=500))
    limits = {**config(1)["limits"], "idle_timeout_ms": IDLE_TIMEOUT_MS}
    store.put("op", "config", config(1, [route()], limits=limits))
    ports = free_ports([HOST], 6)
    with tempfile.TemporaryDirectory(prefix="crowds-") as folder:
        daemon = Daemon(0, HOST, ports, [HOST], store.address, Path(folder))
        daemon.settings["limits"] = FORWARD_LIMITS
        daemon.start()
        doors = {
            "calls": (ports[0], f"GET /a/x HTTP/1.1\r\n{crowd.USUAL_LINES}\r\n"),
            "readiness": (ports[1], "GET /readiness HTTP/1.1\r\n\r\n"),
            "directory": (ports[3], "GET /resolution?name=h.example HTTP/1.1\r\n\r\n"),
        }
        await crowd.wait_until(lambda: is_served(doors["calls"]), 2 * WAIT_S)
        await measure("relay", daemon.process.pid, HOST, ports[0], doors, args)
        await daemon.end(signal.SIGKILL, WAIT_S)
    await server.stop()
    await store.stop()


async def is_served(door):
    """Return whether an ordinary request is served."""
    return " 200 " in await crowd.answer(HOST, door[0], door[1].encode(), WAIT_S)


async def measure_serving(args):
    """Measure the callers' listener of the product's own interface."""
    with Fleet() as fleet:
        fleet.backend("counter-0", "counter-app", "khangai", "plain")
        daemon = fleet.daemon("entry-0", "khangai")
        fleet.begin(jar_returns_rows())
        port = int(daemon.address.rpartition(":")[2])
        call = f"{CALL}Authorization: Bearer clerks-key\r\nContent-Length: 2\r\n\r\n{{}}"
        doors = {"calls": (port, call)}
        await measure("serve", daemon.popen.pid, "127.0.0.1", port, doors, args)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--connections", type=int, default=5000)
    parser.add_argument("--seconds", type=float, default=25.0)
    args = parser.parse_args()
    asyncio.run(measure_forwarding(args))
    asyncio.run(measure_serving(args))


if __name__ == "__main__":
    main()
