"""Tests of the operators' command on limits, against a daemon and a stand-in store."""

import asyncio
import json

from standins.replica import Replica
from typer.testing import CliRunner

from lovageway import dump
from lovageway.cli import app
from tests.relayworld import RelayCase


class Commands(RelayCase):
    async def run_command(self, *args):
        return await asyncio.to_thread(CliRunner().invoke, app, ["limits", *args])

    async def test_each_limit_is_listed_with_its_source_and_this_daemons_share(self):
        # Guards against operators who cannot tell why a server gets few requests.
        limited, free = Replica("i-1"), Replica("i-2")
        limited.limit = 2.0
        await self.serve(limited, free)
        while not limited.arrival_times:
            await self.ask()
        address = str(self.relays[0].cfg.metrics_listen)
        shown = await self.run_command("list", address)
        self.assertEqual(shown.exit_code, 0, shown.output)
        self.assertIn("i-1", shown.output)
        self.assertNotIn("i-2", shown.output)
        (server,) = json.loads((await self.run_command("list", address, "--json")).output)
        limit = server["limit"]
        self.assertEqual((limit["per_s"], limit["share"], limit["source"]), (2.0, 8, "answer"))

    async def test_an_address_without_a_daemon_is_reported(self):
        shown = await self.run_command("list", "127.0.0.1:9")
        self.assertEqual(shown.exit_code, dump.EXIT_UNREACHABLE)
