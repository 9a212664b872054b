"""Limits that servers name in their answers, through daemons, servers and a store on loopback."""

import asyncio

from standins.replica import Replica

from tests.relayworld import RelayCase

# The rule of the platform's users: in some 4 s, no more than one and a half times what the limit
# allows, and five requests.
WINDOW_S = 4.0
FACTOR, SLACK = 1.5, 5


def most_in_window(times, window_s=WINDOW_S):
    """Return the highest number of times within any window."""
    return max((sum(at <= other < at + window_s for other in times) for at in times), default=0)


class SumOverDaemons(RelayCase):
    daemons = 3
    LIMIT = 2.0

    async def start_fleet(self):
        self.limited, self.free = Replica("i-1", zone="z1"), Replica("i-2", zone="z2")
        self.limited.limit = self.LIMIT
        await self.serve(self.limited, self.free)
        for relay in self.relays:
            state = relay.state
            await self.until(lambda state=state: state.members.count(state.clock()) == self.daemons)

    async def ask_for(self, seconds, per_s):
        """Send requests through all daemons in turn; return the statuses."""
        loop = asyncio.get_running_loop()
        until, tasks = loop.time() + seconds, []
        while loop.time() < until:
            number = len(tasks)
            tasks.append(
                asyncio.create_task(self.ask(number % self.daemons, attempt=f"id-{number}"))
            )
            await asyncio.sleep(1 / per_s)
        return [reply.status for reply in await asyncio.gather(*tasks)]

    async def test_daemons_together_send_no_more_than_a_server_takes(self):
        # Guards against servers in need that get as many requests as before they named a limit.
        await self.start_fleet()
        await self.ask_for(0.5, per_s=20)
        began = asyncio.get_running_loop().time()
        statuses = await self.ask_for(WINDOW_S + 1.0, per_s=20)
        late = [at for at in self.limited.arrivals if at >= began + 0.5]
        self.assertLessEqual(most_in_window(late), FACTOR * WINDOW_S * self.LIMIT + SLACK)
        self.assertEqual(set(statuses), {200})
