"""Clients that send more than they read: heads, requests ahead, bodies and idle connections."""

import asyncio
import contextlib
import select
import socket

from standins.caller import HOST as NAME
from standins.caller import KEY

TURN_BYTES = 16384  # of a connection, before the next one has its turn
QUIET_S = 1.0  # without room on any connection, after which the daemon reads no more
USUAL_LINES = f"Host: {NAME}\r\nAttempt-Id: i\r\nAuthorization: Bearer {KEY}\r\n"
MAX_RECEIVED_BYTES = 4096  # in the kernel of a client that reads nothing
POLL_S = 0.05
CONNECT_TIMEOUT_S = 2.0


def short_lines(head_bytes, start=f"GET /a/x HTTP/1.1\r\n{USUAL_LINES}"):
    """Return a request of almost `head_bytes` whose head consists of very many short lines."""
    room = head_bytes - len(start) - 200
    return (start + "a:b\r\n" * (room // 8) + "\r\n").encode()


def odd_lines(head_bytes, start=f"GET /a/x HTTP/1.1\r\n{USUAL_LINES}"):
    """Return a request whose head has many different names and no values."""
    room = head_bytes - len(start) - 200
    lines = "".join(f"x{number:x}:\r\n" for number in range(room // 12))
    return (start + lines + "\r\n").encode()


def expecting_lines(head_bytes):
    """Return a request that asks very many times whether its body may come."""
    start = f"GET /a/x HTTP/1.1\r\n{USUAL_LINES}"
    line = "Expect: 100-continue\r\n"
    return (start + line * ((head_bytes - len(start) - 200) // 24) + "\r\n").encode()


def connect(host, port):
    """Return a socket that keeps little of what it receives, or None if it is not accepted."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_RECEIVED_BYTES)
    sock.settimeout(CONNECT_TIMEOUT_S)
    try:
        sock.connect((host, port))
    except OSError:
        sock.close()
        return None
    sock.setblocking(False)
    return sock


def connect_all(host, port, count):
    """Return `count` open connections, less those that are not accepted."""
    found = (connect(host, port) for _ in range(count))
    return [sock for sock in found if sock is not None]


def send_ahead(data, host, port, connections):
    """Send `data` on all connections in turn, as long as the daemon reads; read no answer.

    Returns
    -------
    list of socket.socket
        The connections, which stay open.
    """
    socks = connect_all(host, port, connections)
    left = dict.fromkeys(socks, data)
    while left:
        _, writable, _ = select.select([], list(left), [], QUIET_S)
        if not writable:
            break  # the daemon reads no more
        for sock in writable:
            try:
                left[sock] = left[sock][sock.send(left[sock][:TURN_BYTES]) :]
            except BlockingIOError:
                continue
            except OSError:
                left[sock] = b""  # the daemon closed the connection
            if not left[sock]:
                del left[sock]
    return socks


def repeated(request, total_bytes):
    """Return copies of a request, of `total_bytes` together."""
    return request * (total_bytes // len(request))


async def wait_until(condition, timeout_s):
    """Wait until the coroutine function `condition` returns True."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(POLL_S)


async def answer(host, port, request, timeout_s):
    """Return the status line with which one request is answered, or "" if it gets no answer."""
    with contextlib.suppress(OSError, TimeoutError, EOFError):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(request)
            async with asyncio.timeout(timeout_s):
                return (await reader.readline()).decode("latin-1")
        finally:
            writer.transport.abort()
    return ""
