"""Statuses of servers that must not reach a client, and those that must."""

import json

from standins.replica import Engine, Replica

from tests.relayworld import RelayCase, route
from tests.test_server_faults import STREAM

NO_STATUSES = ("000", "001", "099", "600", "700", "999", "42", "2000", "0200", "+200", "-20", "2x0")
FINAL = ["299", "599"]
PROMISES = (408, 421, 429, 503)  # to a client: not run, and never will be
HEADERS = "Attempt-Id: {}\r\nReplica-Signature: 3e1b.07\r\nContent-Length: 2\r\n"
RETRY_AFTER = "Retry-After: 0.01\r\n"


class Stating(Replica):
    """Answers each request with the status that its path names."""

    async def run(self, request, attempt, writer):
        status = request.path.rpartition("/")[2]
        head = f"HTTP/1.1 {status} Odd\r\n{HEADERS.format(attempt)}{RETRY_AFTER}\r\n"
        writer.write(head.encode() + b"no")
        return True


class StatingEngine(Engine):
    """Answers each generation with the status that its path names."""

    run = Stating.run


class FalsePromises(RelayCase):
    """Guards against clients that repeat a payout that has run. review/6.

    A server ran a request and answers, signed, with a status that promises the contrary.
    """

    async def test_a_call_that_ran_is_not_said_not_to_have_run(self):
        server = Stating()
        once = route(route_kind="non_idempotent", max_attempts=1)
        await self.serve(server, routes=[once])
        for number, status in enumerate(PROMISES, start=1):
            with self.subTest(status=status):
                fields = {"method": "POST", "body": b"pay", "target": f"/a/{status}"}
                reply = await self.ask(attempt=f"id-{status}", **fields)
                self.assertEqual(reply.status, 502)
                self.assertNotIn("retry-after", reply.headers)
                self.assertEqual(json.loads(reply.body)["error"]["ran"], "unknown")
                self.assertEqual(len(server.executions), number)

    async def test_a_generation_that_ran_is_not_said_not_to_have_run(self):
        engines = [StatingEngine("i-1"), StatingEngine("i-2", "127.0.0.2")]
        await self.serve(*engines, routes=[STREAM])
        fields = {"method": "POST", "body": b"p", "Token_Usage": "90,50"}
        for number, status in enumerate(PROMISES, start=1):
            with self.subTest(status=status):
                reply = await self.ask(target=f"/s/{status}", attempt=f"id-{status}", **fields)
                self.assertEqual(reply.status, 502)
                self.assertNotIn("retry-after", reply.headers)
                self.assertEqual(sum(len(engine.executions) for engine in engines), number)

    async def test_a_call_that_may_be_repeated_goes_to_another_server(self):
        faulty, sound = Stating("i-1"), Replica("i-2", "127.0.0.2")
        await self.serve(faulty, sound)
        for status in PROMISES:
            for number in range(3):
                reply = await self.ask(target=f"/a/{status}", attempt=f"id-{status}-{number}")
                self.assertEqual((reply.status, reply.body), (200, b"the server's bytes"))
        self.assertTrue(faulty.executions)

    async def test_a_call_that_ran_on_every_server_is_not_said_not_to_have_run(self):
        await self.serve(Stating("i-1"), Stating("i-2", "127.0.0.2"))
        for status in PROMISES:
            reply = await self.ask(target=f"/a/{status}", attempt=f"id-{status}")
            self.assertEqual(reply.status, 502)


class Statuses(RelayCase):
    """Guards against a client that gets such an answer, or waits for another until its deadline."""

    async def test_a_call_fails_at_once(self):
        await self.serve(Stating(), routes=[route(max_attempts=1)])
        for status in NO_STATUSES:
            with self.subTest(status=status):
                reply = await self.ask(target=f"/a/{status}", attempt=f"id-{status}")
                self.assertEqual(reply.status, 502)

    async def test_a_generation_fails_at_once(self):
        await self.serve(StatingEngine(), routes=[STREAM])
        fields = {"method": "POST", "body": b"p", "Token_Usage": "90,50"}
        for status in NO_STATUSES:
            with self.subTest(status=status):
                reply = await self.ask(target=f"/s/{status}", attempt=f"id-{status}", **fields)
                self.assertEqual(reply.status, 502)

    async def test_a_call_that_may_be_repeated_is_answered_by_another_server(self):
        await self.serve(Stating("i-1"), Replica("i-2", "127.0.0.2"))
        for number in range(6):
            reply = await self.ask(target="/a/000", attempt=f"id-{number}")
            self.assertEqual((reply.status, reply.body), (200, b"the server's bytes"))

    async def test_every_final_status_of_the_protocol_is_passed_on(self):
        # Guards against a check that rejects statuses without a name.
        await self.serve(Stating(), routes=[route(max_attempts=1)])
        for status in FINAL:
            reply = await self.ask(target=f"/a/{status}", attempt=f"id-{status}")
            self.assertEqual(reply.status, int(status))

    async def test_the_store_counts_as_away(self):
        # Guards against rows that are taken from such an answer, and a watch that hangs on it.
        await self.serve(Replica())
        answered = self.store.serve_request

        async def serve_request(request, writer):
            writer.write(b"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}")
            return True

        self.store.serve_request = serve_request
        log = self.relays[0].log
        self.relays[0]._peers.on_pause()
        await self.until(lambda: log.of("store_lost"))
        self.store.serve_request = answered
        await self.until(lambda: log.of("store_regained"))
