"""Odd entries of another writer among those of the servers, through a daemon and a store."""

import json
from unittest import mock

from standins.replica import Replica

from lovageway.forwarding.rowhandler import RowHandler
from tests.relayworld import RelayCase

HUGE = 10**300


def deep(depth):
    return b'{"address":' * depth + b"1" + b"}" * depth


class OddEntries(RelayCase):
    """Guards against one entry that stops a daemon, or keeps it from following the others."""

    def odd_entries(self):
        server = Replica("odd")
        fields = [
            *({"address": f"127.0.0.1:{port}"} for port in (70000, 0, -1, HUGE)),
            *({"address": text} for text in ("127.0.0.1\0:80", ":80", "x y:80", "[::1", "")),
            *({"slots": value} for value in (HUGE, -HUGE, 0)),
            *({"born": value} for value in (HUGE, -1)),
            *({"cold_remaining_ms": value} for value in (1e308, HUGE)),
            {"zone": "z" * 100_000},
        ]
        server.port = 1
        values = [json.dumps(server.entry(**odd)).encode() for odd in fields]
        return [*values, deep(500), deep(100_000), b'{"born":' + b"9" * 5000 + b"}"]

    async def test_the_sound_servers_are_used_and_followed(self):
        good = Replica("i-1")
        await self.serve(good)
        for number, value in enumerate(self.odd_entries()):
            self.store.put("servers", f"odd-{number}", value)
        self.store.put("servers", "odd-seen", good.entry(state="draining"))
        state, log = self.relays[0].state, self.relays[0].log
        await self.until(lambda: state.replicas.get("odd-seen"))
        statuses = [(await self.ask(attempt=f"id-{n}")).status for n in range(40)]
        self.assertEqual(set(statuses), {200})
        self.assertEqual(log.of("fault"), [])
        self.store.put("servers", "i-1", good.entry(state="draining"))
        await self.until(lambda: state.replicas.get("i-1").leaving)

    async def test_a_row_that_no_check_foresees_is_reported_and_the_table_is_followed(self):
        # Guards against a task that ends by an error and then follows its table no more.
        good = Replica("i-1")
        await self.serve(good)
        relay = self.relays[0]
        applied = RowHandler._apply_server

        def apply(handler, row, *args):
            if row.key == "odd":
                raise OverflowError("an error that no check foresees")
            applied(handler, row, *args)

        with mock.patch.object(RowHandler, "_apply_server", apply):
            self.store.put("servers", "odd", b"{}")
            self.store.put("servers", "i-1", good.entry(state="draining"))
            await self.until(lambda: relay.state.replicas.get("i-1").leaving)
        self.assertEqual([line["key"] for line in relay.log.of("row_unreadable")], ["odd"])

    async def test_a_watch_goes_on_after_an_error_that_no_check_foresees(self):
        await self.serve(Replica("i-1"))
        relay = self.relays[0]
        watch = relay._peers._watches["servers"]
        with mock.patch.object(watch, "_fetch", side_effect=RecursionError("an error")):
            watch.restart()
            await self.until(lambda: relay.log.of("watch_failed"))
        self.store.put("servers", "i-2", Replica("i-2").entry(address="127.0.0.1:1"))
        await self.until(lambda: relay.state.replicas.get("i-2"))
