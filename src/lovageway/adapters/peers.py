"""Streams between daemons: TCP, keyed frames in one direction.

A frame is its length in 4 bytes, then that many bytes. In the handshake these are msgpack: the
dialling side sends ``{"node", "address", "key", "nonce"}``, where "key" identifies the peer key it
uses; the listening side answers ``{"nonce", "proof"}``; the dialling side proves the key too. Each
further frame is half of an HMAC-SHA256 of the frame's number and the message, then the message. Its
key is derived from the peer key, the dialling side's name and both nonces. A replayed, altered or
reordered frame ends the connection, and so does a name that was altered on the way.
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
# A frame's tag is the first half of its HMAC-SHA256 (RFC 2104, section 5). A frame with a wrong tag
# ends the connection, whose key is then gone: an attacker has one try in 2**128 for each handshake.
MAC_BYTES = 16
MAX_FRAME_BYTES = MAX_MESSAGE_BYTES + MAC_BYTES
READ_BYTES = 65536
MAX_HANDSHAKE_FRAME_BYTES = 1024  # of each handshake frame; node and address are short
NONCE_BYTES = 16
MAX_HANDSHAKES = 128  # each may hold one 256 KB read of asyncio before its sender is known
MAX_QUEUE_MESSAGES = 256
MAX_QUEUE_BYTES = MAX_MESSAGE_BYTES
MAX_ALL_QUEUES_BYTES = 8 << 20  # a quarter of the memory that control work may use
SMALL_BYTES = 4096  # the first small message to a peer is queued whatever waits for others
HANDSHAKE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 60.0
# Without it a link that swallows packets holds messages back for minutes, also after it has healed,
# because TCP waits ever longer between its retransmissions.
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
    """Sends messages to peers and receives theirs; lives on one event loop.

    Parameters
    ----------
    node
        Node id of this daemon.
    keys
        Shared peer keys. The first is used for dialling, any is accepted, so a key is rotated by
        adding the new one everywhere, then putting it first, then dropping the old one.
    receive
        Called with sender, sender's address and message.
    on_error
        Called with the reason whenever a connection is dropped or a message is lost.
    on_traffic
        Called with "sent", "received" or "handshake" (sent as well) and a number of bytes.
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
        self._accepted: set[asyncio.StreamWriter] = set()
        self._handshakes = 0
        self._server: asyncio.Server | None = None
        self.address = ""

    async def listen(self, host: str, port: int) -> None:
        """Open the listener; `address` names it afterwards."""
        self._server = await asyncio.start_server(self._accept, host, port, limit=READ_BYTES)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        # asyncio of Python 3.11 logs an error for each accepted connection whose task is cancelled.
        for writer in self._accepted:
            writer.transport.abort()
        while self._accepted:
            await asyncio.sleep(0.001)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send(self, address: str, message: Message) -> None:
        """Queue a message; the oldest ones are dropped when a peer does not keep up."""
        box = self._outboxes.get(address)
        if box is None:
            box = self._outboxes[address] = _Outbox()
            self._spawn(self._write(address, box))
        body = encode(message)
        room = MAX_QUEUE_BYTES
        if box.waiting or len(body) > SMALL_BYTES:
            others = sum(item.size for item in self._outboxes.values() if item is not box)
            room = min(MAX_QUEUE_BYTES, MAX_ALL_QUEUES_BYTES - others)
        for _ in range(box.put(body, room)):
            self._on_error("queue_full")

    def _spawn(self, coro: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, address: str, box: "_Outbox") -> None:
        """Send what is queued; a connection that the peer closes is replaced when one is needed."""
        try:
            while await self._use_connection(address, box):
                pass
        except (OSError, EOFError, BadMessageError, ValueError):
            self._on_error("send_failed")
        finally:
            if self._outboxes.get(address) is box:
                del self._outboxes[address]

    async def _use_connection(self, address: str, box: "_Outbox") -> bool:
        """Send until the connection is idle or lost; tell whether another one is worth a try."""
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer, session = await self._dial(address)
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
            if writer.transport.get_write_buffer_size():
                writer.transport.abort()
            else:
                writer.close()
        # A peer that closes every connection before it has taken a message is not dialled again.
        return bool(box.waiting) and seq > 0

    async def _dial(self, address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, bytes]:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(
            host.strip("[]"), int(port), limit=READ_BYTES
        )
        try:
            return reader, writer, await self._prove(reader, writer)
        except BaseException:  # a time-out cancels; the socket would stay open
            writer.transport.abort()
            raise

    async def _prove(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        _limit_loss(writer)
        key = self._keys[0]
        hello = _Hello(self._node, self.address, key_id(key), secrets.token_bytes(NONCE_BYTES))
        first = pack(hello._asdict())
        writer.write(first)
        answer = await _read_value(reader)
        session = session_key(key, hello, _field(answer, "nonce", bytes))
        if not hmac.compare_digest(_field(answer, "proof", bytes), mac(session, b"listener")):
            raise BadMessageError("peer does not know the peer key")
        proof = pack(mac(session, b"dialler"))
        writer.write(proof)
        self._on_traffic("handshake", len(first) + len(proof))
        return session

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._accepted.add(writer)
        try:
            await self._serve(reader, writer)
        except BadMessageError:
            self._on_error("bad_message")
        except (OSError, EOFError):
            self._on_error("connection_lost")
        except Exception:
            # A fault in a controller must not pass unseen, and not stop the listener.
            self._on_error("internal_error")
            log.exception("peer_message_failed")
        finally:
            self._accepted.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._handshakes >= MAX_HANDSHAKES:
            raise BadMessageError("too many unfinished handshakes")
        self._handshakes += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                hello, session = await self._check(reader, writer)
        finally:
            self._handshakes -= 1
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

    async def _check(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[_Hello, bytes]:
        """Return the name that the dialling side has proved, and the session key."""
        _limit_loss(writer)
        value = await _read_value(reader)
        hello = _Hello(
            _field(value, "node", str),
            _field(value, "address", str),
            _field(value, "key", str),
            _field(value, "nonce", bytes),
        )
        if not _ADDRESS.fullmatch(hello.address) or len(hello.nonce) != NONCE_BYTES:
            raise BadMessageError("handshake names no usable address or nonce")
        key = next((key for key in self._keys if key_id(key) == hello.key), None)
        if key is None:
            raise BadMessageError("peer uses a key that is not in peer_key_files")
        nonce = secrets.token_bytes(NONCE_BYTES)
        session = session_key(key, hello, nonce)
        answer = pack({"nonce": nonce, "proof": mac(session, b"listener")})
        writer.write(answer)
        self._on_traffic("handshake", len(answer))
        proof = await _read_value(reader)
        if not isinstance(proof, bytes) or not hmac.compare_digest(proof, mac(session, b"dialler")):
            raise BadMessageError("peer does not know the peer key")
        return hello, session


class _Outbox:
    """Encoded messages that wait for one peer."""

    def __init__(self) -> None:
        self.waiting: deque[bytes] = deque()
        self.size = 0
        self._filled = asyncio.Event()

    def put(self, body: bytes, room: int) -> int:
        """Add a message to at most `room` bytes; return how many were dropped, old ones first."""
        dropped = 0
        while self.waiting and (
            len(self.waiting) >= MAX_QUEUE_MESSAGES or self.size + len(body) > room
        ):
            self.pop()
            dropped += 1
        if len(body) > room:
            return dropped + 1
        self.waiting.append(body)
        self.size += len(body)
        self._filled.set()
        return dropped

    def pop(self) -> bytes:
        """Remove the oldest message."""
        body = self.waiting.popleft()
        self.size -= len(body)
        if not self.waiting:
            self._filled.clear()
        return body

    async def ready(self, timeout_s: float) -> bool:
        """Wait for a message; False when none came in time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._filled.wait()
        except TimeoutError:
            return False


def _limit_loss(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


async def _read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    try:
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > limit:
            raise BadMessageError(f"frame of {size} bytes, at most {limit} are allowed")
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as exc:
        if not exc.partial and exc.expected == LENGTH_BYTES:
            raise EOFError("peer closed the connection") from None
        raise BadMessageError("connection ends within a frame") from None


async def _read_value(reader: asyncio.StreamReader) -> object:
    data = await _read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
    try:
        return msgpack.unpackb(data)
    except Exception as exc:  # msgpack raises many kinds of errors on hostile input
        raise BadMessageError(f"malformed handshake: {exc}") from exc


def _field(value: object, name: str, kind: type[_T]) -> _T:
    found = value.get(name) if isinstance(value, dict) else None
    if not isinstance(found, kind):
        raise BadMessageError(f"handshake lacks {name}")
    return found


def key_id(key: bytes) -> str:
    """Return a public name of a peer key."""
    return hashlib.sha256(b"id" + key).hexdigest()[:16]


def session_key(key: bytes, hello: Sequence[object], listener_nonce: bytes) -> bytes:
    """Return the key of one connection; it depends on all that the dialling side said."""
    return hmac.digest(key, b"session" + msgpack.packb([*hello, listener_nonce]), hashlib.sha256)


def mac(key: bytes, data: bytes) -> bytes:
    """Return the HMAC-SHA256 of `data`."""
    return hmac.digest(key, data, hashlib.sha256)


def pack(value: object) -> bytes:
    """Return a frame of the handshake."""
    return _frame(msgpack.packb(value))


def seal(session: bytes, seq: int, body: bytes) -> bytes:
    """Return the frame with number `seq` on a connection."""
    return _frame(_tag(session, seq, body) + body)


def unseal(session: bytes, seq: int, frame: bytes) -> bytes:
    """Return the body of the frame that must have number `seq`.

    Raises
    ------
    BadMessageError
        If the frame is malformed, out of sequence or not signed with the session key.
    """
    tag, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
    if not hmac.compare_digest(tag, _tag(session, seq, body)):
        raise BadMessageError("frame out of sequence or not signed by a peer")
    return body


def _tag(session: bytes, seq: int, body: bytes) -> bytes:
    return mac(session, seq.to_bytes(8, "big") + body)[:MAC_BYTES]


def _frame(data: bytes) -> bytes:
    return len(data).to_bytes(LENGTH_BYTES, "big") + data
