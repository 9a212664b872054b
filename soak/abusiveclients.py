"""Clients of the soak that send what is never served, and read nothing.

Nothing of it may reach a server, so no promise to an ordinary caller depends on it.
"""

import asyncio
import contextlib

import msgpack
from standins.caller import HOST, KEY

PAUSE_S = 0.2  # between two kinds of input
HOLD_S = 1.5  # for which the connections of one kind stay open
CONNECTIONS = 25
AHEAD_BYTES = 200_000
HUGE = ("18446744073709551615", "1" + 400 * "0", "-9223372036854775809")
START = f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"


def inputs(rng, ports):
    """Return a port of a daemon and what is sent there on each connection, chosen at random."""
    frontend, ready, _, directory, internal, _ = ports
    number = rng.choice(HUGE)
    rows = msgpack.packb(["op", 0, 0])
    ahead = b"GET /readiness HTTP/1.1\r\n\r\n"
    return rng.choice(
        [
            (frontend, b""),
            (frontend, b"GET /safe/x HTTP/1.1\r\n\r\n" * (AHEAD_BYTES // 24)),
            (frontend, (START + "a:b\r\n" * 600).encode()),
            (frontend, f"{START}Attempt-Id: unserved\r\nToken-Usage: {number},1\r\n\r\n".encode()),
            (frontend, f"{START}Attempt-Id: unserved\r\nContent-Length: 99000\r\n\r\n".encode()),
            (frontend, b"\0\1\2"),
            (ready, ahead * (AHEAD_BYTES // len(ahead))),
            (directory, b"GET /resolution?name=x HTTP/1.1\r\n\r\n" * 5000),
            (internal, len(rows).to_bytes(4, "big") + rows),
            (internal, b"\xff" * AHEAD_BYTES),
        ]
    )


async def run_abusive_client(world, rng):
    """Send one kind of input after another to daemons until cancelled."""
    while True:
        daemon = rng.choice(world.daemons)
        port, data = inputs(rng, daemon.ports)
        streams = []  # a connection ends with its stream objects
        for _ in range(CONNECTIONS):
            with contextlib.suppress(OSError):
                streams.append(await asyncio.open_connection(daemon.host, port, limit=1024))
                streams[-1][1].write(data)
        try:
            await asyncio.sleep(HOLD_S)
        finally:
            for _, writer in streams:
                writer.transport.abort()
        await asyncio.sleep(PAUSE_S)
