"""Tests of peer streams over real sockets: hostile input, reconnects, key rotation and limits."""

import asyncio
import secrets
import tracemalloc
import unittest
from unittest import mock

import msgpack

from lovageway.adapters import peers
from lovageway.adapters.peers import PeerTransport, _Hello, key_id, mac, pack, seal, session_key
from lovageway.messages import Leaving, Member, Members, Ping, PingRequest, encode

KEY, NEW_KEY = b"k" * 32, b"n" * 32
DEADLINE_S = 20.0
MEMBER = Member("e-1/a", "10.0.0.1:80", "10.0.0.1:70", "z", 0, "live")
PING = Ping(1, 1, 0.5, (MEMBER,))


class PeersCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)  # debugging keeps a traceback of each task
        self.opened = []

    async def asyncTearDown(self):
        for item in self.opened:
            await item.close()

    async def peers(self, node, keys=(KEY,), receive=None):
        """Return a listening Peers, the queue of received messages and the queue of errors."""
        got, errors = asyncio.Queue(), asyncio.Queue()
        on_message = receive or (lambda *message: got.put_nowait(message))
        found = PeerTransport(node, keys, on_message, errors.put_nowait)
        await found.listen("127.0.0.1", 0)
        self.opened.append(found)
        return found, got, errors

    async def next(self, queue):
        return await asyncio.wait_for(queue.get(), DEADLINE_S)

    async def until(self, condition):
        async with asyncio.timeout(DEADLINE_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def connect(self, listener, key=KEY, prove=None, named="127.0.0.1:9", **changes):
        """Do the handshake manually; `changes` alter the hello frame after it was signed."""
        host, _, port = listener.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        hello = _Hello("evil/a", named, key_id(key), secrets.token_bytes(16))
        writer.write(pack({**hello._asdict(), **changes}))
        answer = await asyncio.wait_for(reader.read(4096), DEADLINE_S)
        nonce = msgpack.unpackb(answer[4:])["nonce"] if answer else b""
        session = session_key(key, hello, nonce)
        writer.write(pack(prove or mac(session, b"dialler")))
        return reader, writer, session


class HostileInput(PeersCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.target, self.got, self.errors = await self.peers("victim/a")

    async def assert_dropped(self, reader, reason="bad_message", messages=0):
        """Assert that the connection is closed and counted and other peers can still send."""
        try:
            while await asyncio.wait_for(reader.read(65536), DEADLINE_S):
                pass
        except ConnectionError:
            pass
        self.assertEqual(await self.next(self.errors), reason)
        self.assertEqual(self.got.qsize(), messages)
        while not self.got.empty():
            self.got.get_nowait()
        friend, _, _ = await self.peers("friend/a")
        friend.send(self.target.address, PING)
        self.assertEqual(await self.next(self.got), ("friend/a", friend.address, PING))

    async def after_handshake(self, make_frames, messages=0):
        reader, writer, session = await self.connect(self.target.address)
        for frame in make_frames(session):
            writer.write(frame)
        if writer.can_write_eof() and messages is None:
            writer.write_eof()
        await self.assert_dropped(reader, messages=messages or 0)
        writer.close()

    async def test_a_truncated_frame(self):
        # Guards against a partial frame that is handled as a message or waits forever.
        await self.after_handshake(lambda s: [seal(s, 0, encode(PING))[:-5]], messages=None)

    async def test_a_handshake_that_is_not_msgpack(self):
        # Guards against decoder errors that end the listener.
        host, _, port = self.target.address.rpartition(":")
        for body in (
            b"\xc1",
            b"",
            pack(7)[4:],
            pack({"node": 3})[4:],
            b"\xdd\x7f\xff\xff\xff" * 200,
        ):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(len(body).to_bytes(4, "big") + body)
            await self.assert_dropped(reader)
            writer.close()

    async def test_a_signed_body_that_is_not_a_message(self):
        # Guards against malformed fields that reach a controller.
        for body in (b"\xc1", b"", msgpack.packb(7), msgpack.packb([0, "x"]), msgpack.packb([99])):
            await self.after_handshake(lambda s, body=body: [seal(s, 0, body)])

    async def test_an_oversized_frame(self):
        # Guards against a peer that makes the daemon buffer more than the largest message.
        claimed = (peers.MAX_FRAME_BYTES + 1).to_bytes(4, "big")
        await self.after_handshake(lambda s: [claimed])

    async def test_a_large_frame_before_the_key_is_proved(self):
        # Guards against unauthenticated senders that make the daemon buffer a megabyte for each
        # connection.
        host, _, port = self.target.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((peers.MAX_HANDSHAKE_FRAME_BYTES + 1).to_bytes(4, "big"))
        await self.assert_dropped(reader)
        writer.close()

    async def test_a_wrong_key(self):
        # Guards against accepting senders without the peer key.
        reader, writer, _ = await self.connect(self.target.address, key=b"x" * 32)
        await self.assert_dropped(reader)
        writer.close()

    async def test_a_right_key_id_without_the_key(self):
        # Guards against accepting an initiator that has only the public id of the key.
        reader, writer, _ = await self.connect(self.target.address, prove=bytes(32))
        await self.assert_dropped(reader)
        writer.close()

    async def test_a_name_altered_in_transit(self):
        # Guards against frames of one daemon that are accepted as another's.
        for change in ({"node": "other/b"}, {"address": "10.9.9.9:1"}):
            reader, writer, _ = await self.connect(self.target.address, **change)
            await self.assert_dropped(reader)
            writer.close()

    async def test_a_value_that_is_not_an_address(self):
        # Guards against logging or connecting to a value that is not an address.
        reader, writer, _ = await self.connect(self.target.address, named="x" * 20)
        await self.assert_dropped(reader)
        writer.close()

    async def test_a_replayed_frame(self):
        # Guards against a message that is handled twice.
        def frames(session):
            return [seal(session, 0, encode(PING))] * 2

        await self.after_handshake(frames, messages=1)

    async def test_a_replayed_connection(self):
        # Guards against replaying a recorded connection to the listener.
        host, _, port = self.target.address.rpartition(":")
        hello = _Hello("evil/a", "127.0.0.1:9", key_id(KEY), secrets.token_bytes(16))
        session = session_key(KEY, hello, secrets.token_bytes(16))
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(pack(hello._asdict()) + pack(mac(session, b"dialler")))
        writer.write(seal(session, 0, encode(PING)))
        await self.assert_dropped(reader)
        writer.close()

    async def test_a_frame_out_of_sequence(self):
        # Guards against frames dropped or reordered in transit.
        await self.after_handshake(lambda s: [seal(s, 1, encode(PING))])

    async def test_an_altered_frame(self):
        # Guards against bits changed in transit.
        def frames(session):
            frame = bytearray(seal(session, 0, encode(PING)))
            frame[50] ^= 1
            return [bytes(frame)]

        await self.after_handshake(frames)

    async def test_numbers_that_are_nan_infinite_or_negative(self):
        # Guards against NaN, which makes every comparison false, and against negative counters.
        wrong = (
            PING._replace(freshness_s=float("nan")),
            PING._replace(freshness_s=float("inf")),
            PING._replace(freshness_s=-3.0),
            PING._replace(version=-1),
            PING._replace(seq=-1),
            PingRequest(-1, "10.0.0.1:70"),
            Leaving(MEMBER._replace(incarnation=-1)),
        )
        for message in wrong:
            await self.after_handshake(lambda s, m=message: [seal(s, 0, encode(m))])

    async def test_a_handshake_that_stalls(self):
        # Guards against connections that stay open without an authenticated peer.
        host, _, port = self.target.address.rpartition(":")
        for start in (b"", b"\x00\x00"):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(start)
            await self.assert_dropped(reader, reason="connection_lost")
            writer.close()

    async def test_more_unfinished_handshakes_than_allowed(self):
        # Guards against unauthenticated senders that exhaust memory before their key is checked.
        host, _, port = self.target.address.rpartition(":")
        limit = peers.MAX_HANDSHAKES + 1
        pairs = [await asyncio.open_connection(host, int(port)) for _ in range(limit)]
        self.assertEqual(await self.next(self.errors), "bad_message")
        for _, writer in pairs:
            writer.close()
        await self.until(lambda: self.errors.qsize() == peers.MAX_HANDSHAKES)
        while not self.errors.empty():
            self.errors.get_nowait()
        reader, writer, _ = await self.connect(self.target.address, key=b"x" * 32)
        await self.assert_dropped(reader)
        writer.close()


class Sending(PeersCase):
    async def test_a_restarted_peer_at_the_same_address_is_reached_again(self):
        # Guards against a sender that keeps writing to a connection its peer has closed.
        sender, _, errors = await self.peers("s/a")
        connect, readers = sender._connect, []

        async def keep_reader(address):
            connection = await connect(address)
            readers.append(connection[0])
            return connection

        sender._connect = keep_reader
        first, got, _ = await self.peers("r/a")
        sender.send(first.address, PING)
        await self.next(got)
        await first.close()
        second, got = (
            PeerTransport("r/b", (KEY,), lambda *m: got.put_nowait(m), print),
            asyncio.Queue(),
        )
        await second.listen(*first.address.split(":"))
        self.opened.append(second)
        await self.until(lambda: readers[0].at_eof())
        sender.send(first.address, PING)
        self.assertEqual((await self.next(got))[2], PING)
        self.assertTrue(errors.empty())

    async def test_a_peer_that_stalls_the_handshake_leaves_no_open_socket(self):
        # Guards against one leaked socket for each attempt to reach a frozen peer.
        closed = asyncio.Event()

        async def stall(reader, writer):
            await reader.read(4096)
            await reader.read(1)
            closed.set()
            writer.close()

        server = await asyncio.start_server(stall, "127.0.0.1", 0)
        sender, _, errors = await self.peers("s/a")
        host, port = server.sockets[0].getsockname()
        sender.send(f"{host}:{port}", PING)
        self.assertEqual(await self.next(errors), "send_failed")
        await asyncio.wait_for(closed.wait(), DEADLINE_S)
        server.close()

    async def test_an_idle_connection_is_closed_without_an_error_and_opened_again(self):
        # Guards against counting idle peers as failures and against open sockets that accumulate.
        self.addCleanup(setattr, peers, "IDLE_TIMEOUT_S", peers.IDLE_TIMEOUT_S)
        peers.IDLE_TIMEOUT_S = 0.1
        sender, _, errors = await self.peers("s/a")
        target, got, target_errors = await self.peers("r/a")
        for _ in range(2):
            sender.send(target.address, PING)
            await self.next(got)
            await self.until(lambda: not sender._tasks and not target._accepted_writers)
        self.assertTrue(errors.empty() and target_errors.empty())

    async def test_the_queue_of_a_silent_peer_is_bounded_in_number_and_bytes(self):
        # Guards against memory that grows with each message to a frozen peer.
        sender, _, errors = await self.peers("s/a")
        for number in range(peers.MAX_QUEUE_MESSAGES + 10):
            sender.send("127.0.0.1:9", PING._replace(seq=number))
        box = sender._outboxes["127.0.0.1:9"]
        self.assertEqual(len(box.waiting), peers.MAX_QUEUE_MESSAGES)
        self.assertEqual(errors.qsize(), 10)
        large = Members((MEMBER._replace(zone="z" * 100_000),) * 9)
        for port in range(10, 40):
            for _ in range(3):
                sender.send(f"127.0.0.1:{port}", large)
        sizes = [box.size for box in sender._outboxes.values()]
        self.assertLessEqual(max(sizes), peers.MAX_QUEUE_BYTES)
        self.assertLessEqual(sum(sizes), peers.MAX_ALL_QUEUES_BYTES)
        sender.send("127.0.0.1:40", PING)
        self.assertEqual(len(sender._outboxes["127.0.0.1:40"].waiting), 1)

    async def test_the_largest_message_passes_with_others_behind_it(self):
        # Guards against a valid frame that is rejected because the next one arrived with it.
        sender, _, errors = await self.peers("s/a")
        target, got, target_errors = await self.peers("r/a")
        body = 1_000_000
        large = Members((MEMBER._replace(zone="z" * body),))
        sender.send(target.address, PING)
        await self.next(got)
        for _ in range(3):
            sender.send(target.address, large)
            for _ in range(50):
                sender.send(target.address, PING)
            for _ in range(51):
                await self.next(got)
        self.assertTrue(errors.empty() and target_errors.empty())

    async def test_keys_rotate_without_a_lost_message(self):
        # Guards against daemons that refuse each other while the peer key is replaced.
        steps = ((KEY,), (KEY, NEW_KEY), (NEW_KEY, KEY), (NEW_KEY,))
        for before, after in zip(steps, steps[1:], strict=False):
            old, old_got, old_errors = await self.peers("old/a", before)
            new, new_got, new_errors = await self.peers("new/a", after)
            old.send(new.address, PING)
            new.send(old.address, PING)
            self.assertEqual((await self.next(new_got))[0], "old/a")
            self.assertEqual((await self.next(old_got))[0], "new/a")
            self.assertTrue(old_errors.empty() and new_errors.empty())

    async def test_an_error_in_a_controller_is_counted_and_the_listener_continues(self):
        # Guards against one bad message that stops all peer traffic.
        def fail(*message):
            raise KeyError("fault")

        self.enterContext(mock.patch.object(peers, "log"))
        sender, _, _ = await self.peers("s/a")
        target, _, errors = await self.peers("r/a", receive=fail)
        for _ in range(2):
            sender.send(target.address, PING)
            self.assertEqual(await self.next(errors), "internal_error")
            await self.until(lambda: not target._accepted_writers)

    async def test_memory_of_a_connection_is_bounded(self):
        # Guards against read buffers of 16 KB and more for each of 390 peers in both directions.
        target, got, _ = await self.peers("r/a")
        tracemalloc.start()
        try:
            senders = [(await self.peers(f"s-{n}/a"))[0] for n in range(50)]
            before = tracemalloc.get_traced_memory()[0]
            for sender in senders:
                sender.send(target.address, PING)
            for _ in senders:
                await self.next(got)
            used = tracemalloc.get_traced_memory()[0] - before
        finally:
            tracemalloc.stop()
        self.assertLess(used / len(senders), 25_000, "both ends of one connection")


if __name__ == "__main__":
    unittest.main()
