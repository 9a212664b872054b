"""Transport between daemons: TCP connections that carry authenticated frames in one direction.

A frame is a 4-byte length and a payload of that size. The initiator is the side that opened the
connection. In the handshake, payloads are msgpack: the initiator sends ``{"node", "address", "key",
"nonce"}``, where "key" identifies the peer key that it uses; the listener answers ``{"nonce",
"proof"}``; the initiator then sends its own proof. A proof is an HMAC-SHA256 with the session key,
which is derived from the peer key, the initiator's fields and both nonces. Then only the initiator
sends: each payload is a tag, half of an HMAC-SHA256 of the frame's number and the message, followed
by the message. A replayed, altered or reordered frame or an altered handshake ends the connection.
"""

import asyncio
import hashlib
import hmac
import re
import secrets
import socket
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from typing import NamedTuple, TypeVar

import msgpack  # type: ignore[import-untyped]
import structlog

from lovageway.messages import MAX_MESSAGE_BYTES, BadMessageError, Message, decode, encode

LENGTH_BYTES = 4
# A frame's tag is the first half of its HMAC-SHA256 (RFC 2104, section 5). A wrong tag ends the
# connection and its session key: one guess per connection succeeds with probability 2**-128.
MAC_BYTES = 16
MAX_FRAME_BYTES = MAX_MESSAGE_BYTES + MAC_BYTES
READ_BYTES = 65536  # limit of asyncio's stream buffer
MAX_HANDSHAKE_FRAME_BYTES = 1024  # node and address are short
NONCE_BYTES = 16
INITIATOR_LABEL = b"dialler"  # input of the initiator's proof; part of the protocol
LISTENER_LABEL = b"listener"  # input of the listener's proof
MAX_HANDSHAKES = 128  # each may buffer one 256 KB read of asyncio before its sender is verified
MAX_QUEUE_MESSAGES = 256  # for each peer, as MAX_QUEUE_BYTES
MAX_QUEUE_BYTES = MAX_MESSAGE_BYTES
MAX_ALL_QUEUES_BYTES = 8 << 20  # a quarter of the memory budget for control work
# If a peer's queue is empty, a message up to this size is queued however full other queues are.
SMALL_MESSAGE_BYTES = 4096
HANDSHAKE_TIMEOUT_S = 2.0  # also for each write
IDLE_TIMEOUT_S = 60.0  # after which the initiator closes; the listener waits twice as long
# TCP doubles the time between retransmissions. Without TCP_USER_TIMEOUT, a connection whose packets
# were all lost would therefore delay messages for minutes, even after the network has recovered.
TCP_USER_TIMEOUT_MS = 4000

_T = TypeVar("_T")
_ADDRESS = re.compile(r"[0-9A-Fa-f.:\[\]]{2,45}:\d{1,5}")
Receive = Callable[[str, str, Message], None]
OnError = Callable[[str], None]
OnTraffic = Callable[[str, int], None]

log = structlog.get_logger()


class _Hello(NamedTuple):
    node: str
    address: str
    key: str
    nonce: bytes


class PeerTransport:
    """Sends messages to other daemons and receives theirs; runs on one event loop.

    Parameters
    ----------
    node
        Node id of this daemon.
    keys
        Shared peer keys. The first is used to connect, any is accepted. To rotate a key, add
        the new one on every daemon, then put it first, then remove the old one.
    receive
        Called with the sender's node id, its address and the message.
    on_error
        Called with the reason when a connection is dropped or a message is lost.
    on_traffic
        Called with "sent", "received" or "handshake" (also sent) and the number of bytes.
    """

    def __init__(
        self,
        node: str,
        keys: Sequence[bytes],
        receive: Receive,
        on_error: OnError,
        on_traffic: OnTraffic = lambda direction, size: None,
    ) -> None:
        self._node = node
        self._keys = tuple(keys)
        self._receive = receive
        self._on_error = on_error
        self._on_traffic = on_traffic
        self._outboxes: dict[str, _Outbox] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepted_writers: set[asyncio.StreamWriter] = set()
        self._open_handshakes = 0
        self._server: asyncio.Server | None = None
        self.address = ""

    async def listen(self, host: str, port: int) -> None:
        """Open the listener and set `address` to its address."""
        self._server = await asyncio.start_server(self._on_connection, host, port, limit=READ_BYTES)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        # Cancelling the tasks instead would make asyncio in Python 3.11 log an error for each one.
        for writer in self._accepted_writers:
            writer.transport.abort()
        while self._accepted_writers:
            await asyncio.sleep(0.001)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send(self, address: str, message: Message) -> None:
        """Queue a message; when the queue is full, its oldest messages are dropped."""
        box = self._outboxes.get(address)
        if box is None:
            box = self._outboxes[address] = _Outbox()
            self._spawn(self._run_outbox(address, box))
        body = encode(message)
        max_bytes = MAX_QUEUE_BYTES
        if box.waiting or len(body) > SMALL_MESSAGE_BYTES:
            others = sum(item.size for item in self._outboxes.values() if item is not box)
            max_bytes = min(MAX_QUEUE_BYTES, MAX_ALL_QUEUES_BYTES - others)
        for _ in range(box.put(body, max_bytes)):
            self._on_error("queue_full")

    def _spawn(self, coro: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_outbox(self, address: str, box: "_Outbox") -> None:
        """Send the queued messages; reconnect when the peer has closed the connection."""
        try:
            while await self._send_over_connection(address, box):
                pass
        except (OSError, EOFError, BadMessageError, ValueError):
            self._on_error("send_failed")
        finally:
            if self._outboxes.get(address) is box:
                del self._outboxes[address]

    async def _send_over_connection(self, address: str, box: "_Outbox") -> bool:
        """Send until the connection is idle or lost; return whether to reconnect."""
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer, session = await self._connect(address)
        seq = 0
        try:
            while await box.ready(IDLE_TIMEOUT_S):
                if reader.at_eof():
                    break
                frame = seal(session, seq, box.pop())
                seq += 1
                self._on_traffic("sent", len(frame))
                writer.write(frame)
                async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                    await writer.drain()
        except ConnectionError:
            self._on_error("connection_lost")
        finally:
            # `close` would first wait for the peer to read what is left in the write buffer.
            if writer.transport.get_write_buffer_size():
                writer.transport.abort()
            else:
                writer.close()
        # A peer that closes every connection before a message was sent is not connected to again.
        return bool(box.waiting) and seq > 0

    async def _connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, bytes]:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(
            host.strip("[]"), int(port), limit=READ_BYTES
        )
        try:
            return reader, writer, await self._authenticate(reader, writer)
        except BaseException:  # also on a timeout, which cancels; the socket would stay open
            writer.transport.abort()
            raise

    async def _authenticate(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        _set_user_timeout(writer)
        key = self._keys[0]
        hello = _Hello(self._node, self.address, key_id(key), secrets.token_bytes(NONCE_BYTES))
        first = pack(hello._asdict())
        writer.write(first)
        answer = await _read_value(reader)
        session = session_key(key, hello, _field(answer, "nonce", bytes))
        if not hmac.compare_digest(_field(answer, "proof", bytes), mac(session, LISTENER_LABEL)):
            raise BadMessageError("peer has not proved the peer key")
        proof = pack(mac(session, INITIATOR_LABEL))
        writer.write(proof)
        self._on_traffic("handshake", len(first) + len(proof))
        return session

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted_writers.add(writer)
        try:
            await self._receive_messages(reader, writer)
        except BadMessageError:
            self._on_error("bad_message")
        except (OSError, EOFError):
            self._on_error("connection_lost")
        except Exception:
            # For example an exception of the receive callback. Only this connection is dropped.
            self._on_error("internal_error")
            log.exception("peer_message_failed")
        finally:
            self._accepted_writers.discard(writer)
            # `close` would first wait for the peer to read what is left in the write buffer.
            writer.transport.abort()

    async def _receive_messages(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._open_handshakes >= MAX_HANDSHAKES:
            raise BadMessageError("too many unfinished handshakes")
        self._open_handshakes += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                hello, session = await self._verify_initiator(reader, writer)
        finally:
            self._open_handshakes -= 1
        seq = 0
        while True:
            try:
                async with asyncio.timeout(2 * IDLE_TIMEOUT_S):
                    frame = await _read_frame(reader, MAX_FRAME_BYTES)
            except (EOFError, TimeoutError):
                return
            body = unseal(session, seq, frame)
            seq += 1
            self._on_traffic("received", LENGTH_BYTES + len(frame))
            self._receive(hello.node, hello.address, decode(body))

    async def _verify_initiator(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[_Hello, bytes]:
        """Verify the initiator; return its first frame and the session key."""
        _set_user_timeout(writer)
        value = await _read_value(reader)
        hello = _Hello(
            _field(value, "node", str),
            _field(value, "address", str),
            _field(value, "key", str),
            _field(value, "nonce", bytes),
        )
        if not _ADDRESS.fullmatch(hello.address) or len(hello.nonce) != NONCE_BYTES:
            raise BadMessageError("handshake has no valid address or nonce")
        key = next((key for key in self._keys if key_id(key) == hello.key), None)
        if key is None:
            raise BadMessageError("peer uses a key that is not in peer_key_files")
        nonce = secrets.token_bytes(NONCE_BYTES)
        session = session_key(key, hello, nonce)
        answer = pack({"nonce": nonce, "proof": mac(session, LISTENER_LABEL)})
        writer.write(answer)
        self._on_traffic("handshake", len(answer))
        proof = await _read_value(reader)
        if not isinstance(proof, bytes) or not hmac.compare_digest(
            proof, mac(session, INITIATOR_LABEL)
        ):
            raise BadMessageError("peer has not proved the peer key")
        return hello, session


class _Outbox:
    """Queue of encoded messages for one peer; `size` is their total number of bytes."""

    def __init__(self) -> None:
        self.waiting: deque[bytes] = deque()
        self.size = 0
        self._filled = asyncio.Event()

    def put(self, body: bytes, max_bytes: int) -> int:
        """Add a message; return how many were dropped to keep the queue within `max_bytes`.

        The oldest are dropped first. The new one counts as dropped if it does not fit at all.
        """
        dropped = 0
        while self.waiting and (
            len(self.waiting) >= MAX_QUEUE_MESSAGES or self.size + len(body) > max_bytes
        ):
            self.pop()
            dropped += 1
        if len(body) > max_bytes:
            return dropped + 1
        self.waiting.append(body)
        self.size += len(body)
        self._filled.set()
        return dropped

    def pop(self) -> bytes:
        """Remove and return the oldest message."""
        body = self.waiting.popleft()
        self.size -= len(body)
        if not self.waiting:
            self._filled.clear()
        return body

    async def ready(self, timeout_s: float) -> bool:
        """Wait for a message; return False if none arrived in time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._filled.wait()
        except TimeoutError:
            return False


def _set_user_timeout(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


async def _read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    try:
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > limit:
            raise BadMessageError(f"frame of {size} bytes exceeds the limit of {limit}")
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as exc:
        if not exc.partial and exc.expected == LENGTH_BYTES:
            raise EOFError("peer closed the connection") from None
        raise BadMessageError("connection ends within a frame") from None


async def _read_value(reader: asyncio.StreamReader) -> object:
    data = await _read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
    try:
        return msgpack.unpackb(data)
    except Exception as exc:  # msgpack raises many exception types on malformed input
        raise BadMessageError(f"malformed handshake: {exc}") from exc


def _field(value: object, name: str, kind: type[_T]) -> _T:
    found = value.get(name) if isinstance(value, dict) else None
    if not isinstance(found, kind):
        raise BadMessageError(f"handshake lacks {name}")
    return found


def key_id(key: bytes) -> str:
    """Return the public id of a peer key."""
    return hashlib.sha256(b"id" + key).hexdigest()[:16]


def session_key(key: bytes, hello: Sequence[object], listener_nonce: bytes) -> bytes:
    """Return the key of one connection, derived from all fields that the initiator sent."""
    return hmac.digest(key, b"session" + msgpack.packb([*hello, listener_nonce]), hashlib.sha256)


def mac(key: bytes, data: bytes) -> bytes:
    """Return the HMAC-SHA256 of `data`."""
    return hmac.digest(key, data, hashlib.sha256)


def pack(value: object) -> bytes:
    """Return a frame of the handshake."""
    return _frame(msgpack.packb(value))


def seal(session: bytes, seq: int, body: bytes) -> bytes:
    """Return the authenticated frame with number `seq` on a connection."""
    return _frame(_tag(session, seq, body) + body)


def unseal(session: bytes, seq: int, frame: bytes) -> bytes:
    """Return the body of a frame that must have number `seq`.

    Raises
    ------
    BadMessageError
        If the frame is malformed, out of sequence or not authenticated with the session key.
    """
    tag, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
    if not hmac.compare_digest(tag, _tag(session, seq, body)):
        raise BadMessageError("frame out of sequence or not authenticated by the peer")
    return body


def _tag(session: bytes, seq: int, body: bytes) -> bytes:
    return mac(session, seq.to_bytes(8, "big") + body)[:MAC_BYTES]


def _frame(data: bytes) -> bytes:
    return len(data).to_bytes(LENGTH_BYTES, "big") + data
