"""A store that comes back from an older copy, with daemons and servers on loopback."""

from standins.replica import Replica

from tests.relayworld import KEY, RelayCase, config, route

ADDED = route(name="added", prefix="/added/")


class Restored(RelayCase):
    """Configurations 2 and 3 are confirmed and then lost by the store."""

    daemons = 2

    async def lose_two_configurations(self):
        self.server = Replica()
        await self.serve(self.server)
        self.copied = self.store.copy()
        for version in (2, 3):
            self.store.put("op", "config", config(version))
            await self.until_in_force(version)
        self.store.restore(self.copied)

    async def until_in_force(self, version):
        for relay in self.relays:
            state = relay.state
            await self.until(lambda state=state: state.routes.cfg.version == version)

    async def test_a_change_after_the_return_is_in_force(self):
        # Guards against daemons that drop a change whose row version was given out before.
        await self.lose_two_configurations()
        self.store.put("op", "config", config(4, routes=[route(), ADDED]))
        await self.until_in_force(4)
        for number in range(self.daemons):
            self.assertEqual((await self.ask(number, target="/added/x")).status, 200)

    async def test_a_withdrawn_key_and_a_removed_route_do_not_come_back(self):
        # Guards against requests that run with what a confirmed configuration had taken away.
        self.server = Replica()
        await self.serve(self.server, routes=[route(), ADDED])
        copied = self.store.copy()
        keys = [{"name": "acc", "api_keys": ["other"], "priority": 2, "allowed_regions": []}]
        self.store.put("op", "config", config(2, tenants=keys))
        await self.until_in_force(2)
        self.store.restore(copied)
        for relay in self.relays:
            watch = relay._peers._watches["op"]
            await self.until(lambda watch=watch: watch.era == 2)
        number = await self.start_third()
        for daemon in (0, 1, number):
            reply = await self.ask(daemon, Authorization=f"Bearer {KEY}")
            self.assertEqual(reply.status, 401)
            reply = await self.ask(daemon, target="/added/x", Authorization="Bearer other")
            self.assertEqual(reply.status, 404)

    async def start_third(self):
        """Start a daemon after the return; return its number once it had a heartbeat of another."""
        self.hosts.append("127.0.1.9")
        relay = await self.start_relay(self.daemons)
        await self.until(lambda: relay.state.routes is not None)
        await self.until(lambda: relay.state.routes.cfg.version == 2)
        return self.daemons

    async def test_the_rows_that_the_store_lost_are_named_to_operators(self):
        await self.lose_two_configurations()
        state = self.relays[0].state
        await self.until(lambda: state.mirror.kept("op"))
        (line,) = [line for line in self.relays[0].log.of("store_era") if line["table"] == "op"]
        self.assertEqual((line["era"], line["kept"]), (2, ["config"]))
