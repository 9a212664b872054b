"""Tests of the calls of a migration that the tests of complete streams do not reach."""

from types import SimpleNamespace

from standins.replica import Engine

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
