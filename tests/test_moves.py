"""Calls of moves that no whole stream shows."""

from types import SimpleNamespace

from standins.replica import Engine

from lovageway.forwarding.load import Load
from lovageway.forwarding.model import Address
from lovageway.forwarding.moves import Handover, Mover
from tests.relayworld import RelayCase


class Freeing(RelayCase):
    async def test_a_copy_that_nobody_uses_is_freed_with_the_memory_counted_for_it(self):
        # Guards against engines that stay full of copies for clients who left.
        source, target = Engine("i-1"), Engine("i-2")
        await self.serve(source, target)
        state = self.relays[0].state
        entry = state.replicas.get("i-2")
        state.book.add("i-2", 100)
        request = SimpleNamespace(state=state, tokens=100, head=SimpleNamespace(attempt_id="a"))
        address = Address(source.host, source.port)
        await Mover(request, None).free(Handover(entry, address, "h-a", counted=True))
        self.assertEqual(source.freed_paths, ["/kv-handle/h-a"])
        self.assertEqual(state.book.own_at("i-2"), Load(0, 0))

    async def test_an_engine_that_is_gone_frees_nothing_and_harms_nothing(self):
        await self.serve(Engine("i-2"))
        state = self.relays[0].state
        request = SimpleNamespace(state=state, tokens=100, head=SimpleNamespace(attempt_id="a"))
        entry = state.replicas.get("i-2")
        state.book.add("i-2", 100)
        await Mover(request, None).free(Handover(entry, Address("127.0.0.1", 1), "h", counted=True))
        self.assertTrue(self.relays[0].log.of("copy_not_freed"))
