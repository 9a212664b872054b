"""Streams between daemons: TCP, one msgpack stream in each direction, keyed frames.

The dialling side sends ``{"node", "address", "key", "nonce"}``, where "key" identifies the peer key
it uses; the listening side answers ``{"nonce", "proof"}``; the dialling side proves the key too.
Each further frame is ``[sequence, body, mac]`` where `mac` is an HMAC-SHA256 under the session key,
which both sides derive from the peer key and both nonces. A replayed, altered or reordered frame
ends the connection.
"""

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import Callable, Coroutine, Sequence
from typing import TypeVar

import msgpack  # type: ignore[import-untyped]

from lovageway.messages import BadMessageError, Message, decode, encode

MAX_FRAME_BYTES = (1 << 20) + 256
QUEUE_LENGTH = 256
HANDSHAKE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 60.0

_T = TypeVar("_T")
Receive = Callable[[str, str, Message], None]
OnError = Callable[[str], None]


class Peers:
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
        Called with the reason whenever a connection is dropped.
    """

    def __init__(
        self, node: str, keys: Sequence[bytes], receive: Receive, on_error: OnError
    ) -> None:
        self._node = node
        self._keys = tuple(keys)
        self._receive = receive
        self._on_error = on_error
        self._queues: dict[str, asyncio.Queue[Message]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepted: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.bytes_sent = 0
        self.messages_sent = 0

    async def listen(self, host: str, port: int) -> None:
        """Open the listener; `address` names it afterwards."""
        self._server = await asyncio.start_server(self._accept, host, port, limit=MAX_FRAME_BYTES)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        # asyncio of Python 3.11 logs an error for each accepted connection whose task is cancelled.
        for writer in self._accepted:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send(self, address: str, message: Message) -> None:
        """Queue a message; the oldest one is dropped when a peer does not keep up."""
        found = self._queues.get(address)
        if found is None:
            found = self._queues[address] = asyncio.Queue(QUEUE_LENGTH)
            self._spawn(self._write(address, found))
        if found.full():
            found.get_nowait()
            self._on_error("queue_full")
        found.put_nowait(message)

    def _spawn(self, coro: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, address: str, waiting: "asyncio.Queue[Message]") -> None:
        opened: asyncio.StreamWriter | None = None
        try:
            reader, writer, session = await asyncio.wait_for(
                self._dial(address), HANDSHAKE_TIMEOUT_S
            )
            opened = writer
            seq = 0
            while True:
                message = await asyncio.wait_for(waiting.get(), IDLE_TIMEOUT_S)
                if reader.at_eof():
                    waiting.put_nowait(message)
                    break
                frame = seal(session, seq, encode(message))
                seq += 1
                self.bytes_sent += len(frame)
                self.messages_sent += 1
                writer.write(frame)
                await asyncio.wait_for(writer.drain(), HANDSHAKE_TIMEOUT_S)
        except (OSError, TimeoutError, BadMessageError, ValueError):
            self._on_error("send_failed")
        finally:
            if self._queues.get(address) is waiting:
                del self._queues[address]
            if opened is not None:
                opened.close()

    async def _dial(self, address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, bytes]:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        key, nonce = self._keys[0], secrets.token_bytes(16)
        hello = {"node": self._node, "address": self.address, "key": key_id(key), "nonce": nonce}
        writer.write(msgpack.packb(hello))
        answer = await _read_value(reader, msgpack.Unpacker(max_buffer_size=4096))
        session = session_key(key, nonce, _field(answer, "nonce", bytes))
        if not hmac.compare_digest(_field(answer, "proof", bytes), mac(session, b"listener")):
            writer.close()
            raise BadMessageError("peer does not know the peer key")
        writer.write(msgpack.packb(mac(session, b"dialler")))
        return reader, writer, session

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._accepted.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, TimeoutError, BadMessageError, ValueError) as exc:
            self._on_error("bad_message" if isinstance(exc, BadMessageError) else "connection_lost")
        finally:
            self._accepted.discard(writer)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        hello = await asyncio.wait_for(_read_value(reader, unpacker), HANDSHAKE_TIMEOUT_S)
        node, address = _field(hello, "node", str), _field(hello, "address", str)
        wanted, nonce = _field(hello, "key", str), secrets.token_bytes(16)
        key = next((key for key in self._keys if key_id(key) == wanted), None)
        if key is None:
            raise BadMessageError("peer uses a key that is not in peer_key_files")
        session = session_key(key, _field(hello, "nonce", bytes), nonce)
        writer.write(msgpack.packb({"nonce": nonce, "proof": mac(session, b"listener")}))
        proof = await asyncio.wait_for(_read_value(reader, unpacker), HANDSHAKE_TIMEOUT_S)
        if not isinstance(proof, bytes) or not hmac.compare_digest(proof, mac(session, b"dialler")):
            raise BadMessageError("peer does not know the peer key")
        seq = 0
        while True:
            frame = await asyncio.wait_for(_read_value(reader, unpacker), 2 * IDLE_TIMEOUT_S)
            message = decode(unseal(session, seq, frame))
            seq += 1
            self._receive(node, address, message)


async def _read_value(reader: asyncio.StreamReader, unpacker: msgpack.Unpacker) -> object:
    while True:
        try:
            return unpacker.unpack()
        except msgpack.OutOfData:
            data = await reader.read(65536)
            if not data:
                raise ConnectionResetError("peer closed the connection") from None
            try:
                unpacker.feed(data)
            except msgpack.BufferFull as exc:
                raise BadMessageError("frame too long") from exc
        except Exception as exc:  # msgpack raises many kinds of errors on hostile input
            raise BadMessageError(f"malformed frame: {exc}") from exc


def _field(value: object, name: str, kind: type[_T]) -> _T:
    found = value.get(name) if isinstance(value, dict) else None
    if not isinstance(found, kind):
        raise BadMessageError(f"handshake lacks {name}")
    return found


def key_id(key: bytes) -> str:
    """Return a public name of a peer key."""
    return hashlib.sha256(b"id" + key).hexdigest()[:16]


def session_key(key: bytes, dialler_nonce: bytes, listener_nonce: bytes) -> bytes:
    """Return the key of one connection."""
    return hmac.digest(key, b"session" + dialler_nonce + listener_nonce, hashlib.sha256)


def mac(key: bytes, data: bytes) -> bytes:
    """Return the HMAC-SHA256 of `data`."""
    return hmac.digest(key, data, hashlib.sha256)


def seal(session: bytes, seq: int, body: bytes) -> bytes:
    """Return the frame with number `seq` on a connection."""
    data: bytes = msgpack.packb([seq, body, mac(session, seq.to_bytes(8, "big") + body)])
    return data


def unseal(session: bytes, seq: int, frame: object) -> bytes:
    """Return the body of the frame that must have number `seq`.

    Raises
    ------
    BadMessageError
        If the frame is malformed, out of sequence or not signed with the session key.
    """
    match frame:
        case [int(number), bytes(body), bytes(tag)]:
            expected = mac(session, seq.to_bytes(8, "big") + body)
            if number == seq and hmac.compare_digest(tag, expected):
                return body
    raise BadMessageError("frame out of sequence or not signed by a peer")
