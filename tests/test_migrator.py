"""Tests of the calls of a migration that the tests of complete streams do not reach."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from standins.rawhttp import answer
from standins.replica import KIB, Engine

from lovageway.forwarding import migrator as migrator_module
from lovageway.forwarding.load import Load
from lovageway.forwarding.migrator import CopiedGeneration, Migrator
from lovageway.forwarding.model import Address
from tests.relayworld import RelayCase


class Freeing(RelayCase):
    async def test_an_unused_copy_is_freed_with_the_memory_counted_for_it(self):
        # Guards against engines that stay full of copies for clients that disconnected.
        source, target = Engine("i-1"), Engine("i-2")
        await self.serve(source, target)
        state = self.relays[0].state
        entry = state.replicas.get("i-2")
        state.load_tracker.add("i-2", 100)
        request = SimpleNamespace(state=state, tokens=100, head=SimpleNamespace(attempt_id="a"))
        address = Address(source.host, source.port)
        await Migrator(request, None).free(CopiedGeneration(entry, address, "h-a", counted=True))
        self.assertEqual(source.freed_paths, ["/kv-handle/h-a"])
        self.assertEqual(state.load_tracker.own_at("i-2"), Load(0, 0))

    async def test_a_copy_on_an_engine_that_is_gone_is_logged_as_not_freed(self):
        await self.serve(Engine("i-2"))
        state = self.relays[0].state
        request = SimpleNamespace(state=state, tokens=100, head=SimpleNamespace(attempt_id="a"))
        entry = state.replicas.get("i-2")
        state.load_tracker.add("i-2", 100)
        await Migrator(request, None).free(
            CopiedGeneration(entry, Address("127.0.0.1", 1), "h", counted=True)
        )
        self.assertTrue(self.relays[0].log.of("copy_not_freed"))


class FaultyEngines(RelayCase):
    """Guards against engines whose answers to the daemon's own calls never end."""

    async def calls(self, serve):
        """Return the migrator and the copy of a daemon with one engine that answers by `serve`."""
        engine = Engine("i-1")
        await self.serve(engine, Engine("i-2"))
        engine.serve_request = serve
        state = self.relays[0].state
        head = SimpleNamespace(attempt_id="a")
        service = state.routes.cfg.services["llm"]
        request = SimpleNamespace(state=state, tokens=100, head=head, service=service)
        address = Address(engine.host, engine.port)
        copied = CopiedGeneration(state.replicas.get("i-2"), address, "h-a", counted=True)
        return state, Migrator(request, None), copied

    async def test_the_answer_to_a_call_is_limited(self):
        # Guards against memory for answers without end: each may have as much as a client's.
        sent = 0

        async def serve(request, writer):
            nonlocal sent
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while sent < 64 << 20:
                writer.write(KIB)
                await writer.drain()
                sent += len(KIB)

        state, migrator, copied = await self.calls(serve)
        await migrator.free(copied)
        self.assertLess(sent, 8 << 20)
        self.assertEqual(self.relays[0].log.of("copy_not_freed")[0]["cause"], "no answer")

    async def test_a_connection_without_an_answer_is_not_used_again(self):
        # Guards against a call that fails since the connection still waits for an earlier answer,
        # and against an answer that comes byte by byte and holds the call for ever.
        answered = []

        async def serve(request, writer):
            if answered:
                writer.write(answer(200, b"{}"))
                return True
            answered.append(request)
            while True:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"[len(answered) - 1 :][:1]
                )
                answered.append(request)
                await asyncio.sleep(0.02)

        with mock.patch.object(migrator_module, "CALL_TIMEOUT_S", 0.3):
            state, migrator, copied = await self.calls(serve)
            async with asyncio.timeout(3.0):
                await migrator.free(copied)
                await migrator.free(copied)
        self.assertEqual(len(self.relays[0].log.of("copy_not_freed")), 1)
