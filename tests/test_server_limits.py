"""Limits that servers name in their answers, through daemons, servers and a store on loopback."""

import asyncio
import json

from standins.replica import Engine, Replica

from lovageway.codes import Code
from lovageway.forwarding import statements
from tests.relayworld import RelayCase, route

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
        late = [at for at in self.limited.arrival_times if at >= began + 0.5]
        self.assertLessEqual(most_in_window(late), FACTOR * WINDOW_S * self.LIMIT + SLACK)
        self.assertEqual(set(statuses), {200})

    async def test_a_daemon_keeps_a_limit_that_another_one_heard(self):
        # Guards against a daemon that sends freely until it has an answer of its own.
        await self.start_fleet()
        while not self.limited.arrival_times:
            await self.ask(0)
        token = self.relays[0].state.replicas.get("i-1").token
        for relay in self.relays[1:]:
            said = relay.state.statements
            await self.until(lambda said=said: said.limit(token) == self.LIMIT)
            self.assertEqual(
                relay.state.dump(relay.state.clock())["servers"][0]["limit"]["sent"], 0
            )

    async def test_a_limit_ends_on_all_daemons_when_the_server_stops_naming_it(self):
        # Guards against servers that stay without work after they have recovered.
        await self.start_fleet()
        await self.ask_for(0.5, per_s=20)
        self.limited.limit = None
        for relay in self.relays:
            said = relay.state.statements
            async with asyncio.timeout(2 * statements.WINDOW_S):
                while said.in_force:
                    await self.ask_for(0.2, per_s=20)


class OneDaemon(RelayCase):
    """Requests where every server of the service names a limit."""

    LIMIT = 1.0
    ALLOWED = int(LIMIT * statements.WINDOW_S)  # the share of the only daemon

    async def start_limited(self, server, **fields):
        server.limit = self.LIMIT
        await self.serve(server, **fields)
        self.server = server

    async def ask_many(self, count, **fields):
        asked = [self.ask(attempt=f"id-{n}", **fields) for n in range(count)]
        return await asyncio.gather(*asked)

    async def test_what_cannot_be_served_is_refused_at_once_with_the_time_to_come_back(self):
        # Guards against requests that wait in vain, and against a time at which there is no room.
        await self.start_limited(Replica())
        await self.ask(attempt="first")
        loop, began = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        replies = await self.ask_many(self.ALLOWED + 3, Deadline_Ms="1000")
        self.assertLess(loop.time() - began, 0.5)
        refused = [reply for reply in replies if reply.status == 503]
        self.assertEqual(len(refused), 4)
        for reply in refused:
            error = json.loads(reply.body)["error"]
            self.assertEqual((error["code"], error["ran"]), (Code.SERVERS_LIMITED, "no"))
            self.assertLessEqual(float(reply.headers["retry-after"]), statements.WINDOW_S)
        await asyncio.sleep(max(float(reply.headers["retry-after"]) for reply in refused))
        self.assertEqual((await self.ask(attempt="again", Deadline_Ms="1000")).status, 200)

    async def test_a_request_waits_for_a_share_that_comes_in_time(self):
        # Guards against refusals of what can be served within its deadline.
        await self.start_limited(Replica(), routes=[route(timeout_ms=30000)])
        await self.ask(attempt="first")
        replies = await self.ask_many(self.ALLOWED, Deadline_Ms="20000")
        self.assertEqual({reply.status for reply in replies}, {200})
        known = self.server.arrival_times[1:]  # sent after the first answer had named the limit
        self.assertEqual(len(known), self.ALLOWED)
        self.assertEqual((await self.ask(attempt="last", Deadline_Ms="20000")).status, 200)
        # The first requests open connections, so they arrive later after their choice than others.
        window_s = statements.WINDOW_S - 0.2
        self.assertLessEqual(most_in_window(self.server.arrival_times[1:], window_s), self.ALLOWED)

    async def test_the_head_of_a_stream_names_a_limit_too(self):
        # Guards against generations that do not count, or whose answers are not read for limits.
        stream = route(route_kind="streaming", service="llm", sticky_sessions=True, max_attempts=1)
        await self.start_limited(Engine(events=2), routes=[stream])
        fields = {"Token_Usage": "30,10", "Deadline_Ms": "1000", "method": "POST", "body": b"x"}
        await self.ask(attempt="first", **fields)
        statuses = [reply.status for reply in await self.ask_many(self.ALLOWED + 1, **fields)]
        self.assertEqual((statuses.count(200), statuses.count(503)), (self.ALLOWED - 1, 2))

    async def test_repeats_count_against_a_limit(self):
        # Guards against a limit that holds for first attempts only.
        await self.start_limited(Replica(), routes=[route(max_attempts=3)])
        self.server.behaviour = "fail"
        await self.ask_many(self.ALLOWED + 2, Deadline_Ms="1000")
        self.server.limit = 0.2
        await self.ask_many(self.ALLOWED, Deadline_Ms="1000")
        late = self.server.arrival_times[self.ALLOWED + 2 :]
        self.assertLessEqual(most_in_window(late), self.ALLOWED)
