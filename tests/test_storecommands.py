"""Tests of the operators' command on the store, against a daemon and a stand-in store."""

import asyncio
import json

from standins.replica import Replica
from typer.testing import CliRunner

from lovageway import dump
from lovageway.cli import app
from tests.relayworld import RelayCase, config


class Commands(RelayCase):
    async def run_command(self, *args):
        return await asyncio.to_thread(CliRunner().invoke, app, ["store", "show", *args])

    async def test_the_era_and_the_rows_that_the_store_lost_are_shown(self):
        # Guards against operators who do not know which of their changes to write again.
        await self.serve(Replica())
        copied, state = self.store.copy(), self.relays[0].state
        self.store.put("op", "config", config(2))
        self.store.put("op", "evacuate/z9", {})
        await self.until(lambda: state.mirror.get("op", "evacuate/z9"))
        self.store.restore(copied)
        await self.until(lambda: len(state.mirror.kept("op")) == 2)
        address = str(self.relays[0].cfg.metrics_listen)
        shown = await self.run_command(address)
        self.assertEqual(shown.exit_code, 0, shown.output)
        self.assertIn("op: era 2, risen", shown.output)
        self.assertIn("kept  evacuate/z9", shown.output)
        tables = json.loads((await self.run_command(address, "--json")).output)
        keys = {row["key"] for row in tables["op"]["kept"]}
        self.assertEqual(keys, {"config", "evacuate/z9"})
        self.store.put("op", "config", config(2))
        self.store.put("op", "evacuate/z9", {})
        await self.until(lambda: not state.mirror.kept("op"))

    async def test_an_address_without_a_daemon_is_reported(self):
        shown = await self.run_command("127.0.0.1:9")
        self.assertEqual(shown.exit_code, dump.EXIT_UNREACHABLE)
