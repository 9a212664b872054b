"""Stand-ins of backend servers on the platform: a plain service and a model engine.

Each takes one behaviour for the requests to come, by name. Everything that arrives is kept in
`requests`, and what was run in `executions`, so that tests see what callers cannot.
"""

import asyncio
import json

from standins.rawhttp import Listener, answer

SIGNATURE = ("Replica-Signature", "3e1b.07")


GOOD_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nReplica-Signature: 3e1b.07\r\n"
CHUNKED = GOOD_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nReplica-Signature: 3e1b.07\r\n"
KIB = b"x" * 1024
# What a server in trouble begins with, and what it repeats until its caller closes.
ENDLESS = {
    "endless_headers": (GOOD_HEAD, b"X-Pad: y\r\n" * 100),
    "endless_header": (GOOD_HEAD + b"X-Pad: ", KIB),
    "endless_reason": (b"HTTP/1.1 200 ", KIB),
    "endless_interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 30),
    "endless_length": (GOOD_HEAD + b"Content-Length: 999999999999\r\n\r\n", KIB),
    "endless_chunks": (CHUNKED, b"400\r\n" + KIB + b"\r\n"),
    "endless_extension": (CHUNKED + b"5;", KIB),
    "endless_trailer": (CHUNKED + b"5\r\nhello\r\n0\r\n", b"X-Pad: y\r\n" * 100),
    "endless_without_length": (GOOD_HEAD + b"\r\n", KIB),
    "endless_other": (OTHER + b"Transfer-Encoding: chunked\r\n\r\n", b"400\r\n" + KIB + b"\r\n"),
    "endless_others": (b"", OTHER + b"Content-Length: 1024\r\n\r\n" + KIB),
}


class Replica(Listener):
    """A plain service.

    Behaviours: ok, fail (500), shed (503, not run), busy (503 without the mark), unsigned, coded,
    cut, garbage, no_length, extra, late_other, late_copy, early, hang, reset, hold (until
    `released`), and those of ENDLESS, which send until the caller closes, or `endless_most` bytes.
    """

    service = "svc"

    def __init__(self, name="i-1", host="127.0.0.1", zone="z1"):
        super().__init__(host)
        self.name = name
        self.zone = zone
        self.behaviour = "ok"
        self.requests = []
        self.executions = []
        self.went_on = []  # requests that went on from a copy: no new runs
        self.disconnects = []
        self.released = asyncio.Event()
        self.body = b"the server's bytes"
        self.endless_most = 32 << 20
        self.endless_sent = 0  # bytes that the caller, or the network, took

    def entry(self, **fields):
        """Return the entry that the server writes to the store."""
        known = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1700000000000,
        }
        return {**known, **fields}

    async def serve_request(self, asked, writer):
        self.requests.append(asked)
        attempt = asked.headers.get("attempt-id", "")
        expected = asked.headers.get("expected-replica")
        if expected is not None and expected != self.name:
            writer.write(answer(421, b"", [("Replica-Id", self.name), ("Attempt-Id", attempt)]))
            return True
        if self.behaviour == "shed":
            writer.write(answer(503, b"", [("Not-Executed", "1"), ("Attempt-Id", attempt)]))
            return True
        self.executions.append(attempt)
        return await self.run(asked, attempt, writer)

    async def run(self, asked, attempt, writer):
        headers = [("Attempt-Id", attempt), SIGNATURE, ("Replica-Load", "1,0,8")]
        good = answer(200, self.body, headers)
        if self.behaviour in ENDLESS:
            await self.send_without_end(*ENDLESS[self.behaviour], attempt, writer)
            return False
        match self.behaviour:
            case "hang":
                await asyncio.Event().wait()
            case "hold":
                await self.released.wait()
                writer.write(good)
            case "reset":
                writer.transport.abort()
            case "fail":
                writer.write(answer(500, b"no", headers))
            case "busy":
                writer.write(answer(503, b"no", headers))
            case "unsigned":
                writer.write(answer(200, self.body, headers[:1]))
            case "coded":
                writer.write(answer(200, self.body, [*headers, ("Content-Encoding", "gzip")]))
            case "cut":
                writer.write(good[:-5])
                await writer.drain()
                return False
            case "garbage":
                writer.write(b"\x00\x01 not an answer\r\n\r\n")
            case "no_length":
                writer.write(answer(200, self.body, headers, length=False))
                await writer.drain()
                return False
            case "extra":
                writer.write(good + good)
            case "late_other":
                other = answer(200, b"another's", [("Attempt-Id", "other"), SIGNATURE])
                writer.write(other + good)
            case "late_copy":
                writer.write(answer(200, b"another's", [SIGNATURE]) + good)
            case _:
                writer.write(good)
        return self.behaviour != "reset"

    async def send_without_end(self, begin, repeated, attempt, writer):
        """Send until the caller closes."""
        self.endless_sent = 0
        writer.write(begin.replace(b"%b", attempt.encode()))
        block = repeated * (1 + 65536 // len(repeated))
        try:
            while self.endless_sent < self.endless_most:
                writer.write(block)
                await writer.drain()
                self.endless_sent += len(block)
        except ConnectionError:
            self.disconnects.append(attempt)


class Engine(Replica):
    """A model engine: streams `events` events; `made` by generation survives a move.

    `event_interval_s` is the time between two events. With `reset_after_events`, the connection is
    reset after this many events of a run, in the middle of the next one.
    """

    service = "llm"
    fleet: dict[str, "Engine"] = {}

    def __init__(self, name="i-1", host="127.0.0.1", zone="z1", events=5, event_interval_s=0.0):
        super().__init__(name, host, zone)
        self.events = events
        self.event_interval_s = event_interval_s
        self.reset_after_events = None
        self.moved = {}
        self.stopped = set()
        self.kv_caches = {}
        self.migration_status = 200
        self.migrations = []
        self.freed_paths = []
        self.replayed_events = 0  # events before the asked one that a resumed stream begins with
        self.generated_events = {}

    def event(self, attempt, number):
        """Return one event of a stream."""
        return b"id: %d\ndata: token %d\n\n" % (number, number)

    async def start(self, port=0):
        await super().start(port)
        Engine.fleet[self.address] = self
        return self

    async def serve_request(self, asked, writer):
        if asked.path == "/kv-move":
            return self._move(json.loads(asked.body), writer)
        if asked.method == "DELETE":
            self.freed_paths.append(asked.path)
            writer.write(answer(200, b"{}"))
            return True
        return await super().serve_request(asked, writer)

    def _move(self, fields, writer):
        self.migrations.append(fields)
        attempt = fields["id"]
        if self.migration_status != 200 or attempt not in self.generated_events:
            writer.write(
                answer(self.migration_status if self.migration_status != 200 else 404, b"{}")
            )
            return True
        handle = f"h-{attempt}"
        if fields.get("last"):
            self.stopped.add(attempt)
        Engine.fleet[fields["to"]].kv_caches[f"{self.address}/{handle}"] = self.generated_events[
            attempt
        ]
        body = {"kv_handle": handle, "created": self.generated_events[attempt]}
        writer.write(answer(200, json.dumps(body).encode()))
        return True

    async def run(self, asked, attempt, writer):
        source = asked.headers.get("kv-from")
        if source is not None and source not in self.kv_caches:
            self.executions.pop()
            writer.write(answer(503, b"", [("Not-Executed", "1"), ("Attempt-Id", attempt)]))
            return True
        if source is not None:
            self.went_on.append(attempt)
        if self.behaviour == "endless_event":
            begin = CHUNKED + b"c\r\nid: 1\ndata: \r\n"
            await self.send_without_end(begin, b"400\r\n" + KIB + b"\r\n", attempt, writer)
            return False
        if self.behaviour not in ("ok", "hold"):
            return await super().run(asked, attempt, writer)
        backup = asked.headers.get("kv-backup")
        first = max(0, int(asked.headers.get("last-event-id", 0)) - self.replayed_events)
        headers = [("Attempt-Id", attempt), SIGNATURE, ("Content-Type", "text/event-stream")]
        writer.write(answer(200, b"", [*headers, ("Transfer-Encoding", "chunked")], length=False))
        for number in range(first + 1, self.events + 1):
            if self.behaviour == "hold" and number > 1:
                await self.released.wait()
            if attempt in self.stopped:
                await writer.drain()
                return False
            if self.reset_after_events is not None and number - first > self.reset_after_events:
                writer.write(b"8\r\nid: 9\nda\r\n")
                await writer.drain()
                return False
            self.generated_events[attempt] = number
            if backup in Engine.fleet:
                Engine.fleet[backup].kv_caches[f"{backup}/{attempt}"] = number
            event = self.event(attempt, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_interval_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
