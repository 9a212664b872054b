"""A store that comes back from an older copy, with daemons and servers on loopback."""

from standins.replica import Replica

from tests.relayworld import RelayCase, config, route

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
