"""Tests of the operators' commands on suspects, against a daemon and a stand-in store."""

import asyncio
import json

from typer.testing import CliRunner

from lovageway import dump, suspectcommands
from lovageway.cli import app
from lovageway.forwarding.crashrecord import MIN_CRASHES
from lovageway.forwarding.poisonspread import SUSPECTS_TABLE, encode_row
from lovageway.forwarding.traits import part_traits
from tests.relayworld import RelayCase


class Commands(RelayCase):
    async def run_command(self, *args):
        return await asyncio.to_thread(CliRunner().invoke, app, ["suspects", *args])

    async def test_the_evidence_of_each_suspect_is_listed(self):
        # Guards against operators who see that requests are held back but not why.
        relay = await self.start_relay()
        traits = part_traits("llm", ["crashing"])
        for number in range(MIN_CRASHES):
            relay.state.poison.on_crash(traits, bytes([number]), relay.state.clock() - number)
        address = str(relay.cfg.metrics_listen)
        shown = await self.run_command("list", address)
        self.assertEqual(shown.exit_code, 0, shown.output)
        self.assertIn("part crashing of llm", shown.output)
        (held,) = json.loads((await self.run_command("list", address, "--json")).output)
        self.assertEqual((held["mark"], held["crashes"]), (traits[0].mark.hex(), MIN_CRASHES))

    async def test_an_address_without_a_daemon_is_reported(self):
        shown = await self.run_command("list", "127.0.0.1:9")
        self.assertEqual(shown.exit_code, dump.EXIT_UNREACHABLE)

    async def test_a_released_suspect_loses_its_row(self):
        # Guards against a release that a restart of the daemons undoes.
        detector = (await self.start_relay()).state.poison
        (trait,) = part_traits("llm", ["crashing"])
        for number in range(MIN_CRASHES):
            detector.on_crash((trait,), bytes([number]), float(number))
        ((_, suspect),) = detector.to_store(5.0)
        key = trait.mark.hex()
        self.store.put(SUSPECTS_TABLE, key, encode_row(suspect))
        address = suspectcommands.Address(self.store.host, self.store.port)
        self.assertTrue(await suspectcommands._remove_row(address, key))
        self.assertFalse(await suspectcommands._remove_row(address, key))
        self.assertIsNone(self.store.rows[(SUSPECTS_TABLE, key)][1])
