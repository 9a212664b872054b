"""Stand-ins for backend servers on the platform: a plain service and a model engine.

Each applies one behaviour, set by name, to the requests that arrive. `requests` keeps every request
and `executions` the attempt id of every execution, so that tests can check what clients cannot see.
"""

import asyncio
import json

from standins.rawhttp import Listener, answer

SIGNATURE = ("Replica-Signature", "3e1b.07")


RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nReplica-Signature: 3e1b.07\r\n"
CHUNKED = RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nReplica-Signature: 3e1b.07\r\n"
KIB = b"x" * 1024
# Malformed or oversized responses: behaviour -> first bytes, and bytes that are then repeated until
# the client closes the connection.
ENDLESS = {
    "endless_headers": (RESPONSE_HEAD, b"X-Pad: y\r\n" * 100),
    "endless_header": (RESPONSE_HEAD + b"X-Pad: ", KIB),
    "endless_reason": (b"HTTP/1.1 200 ", KIB),
    "endless_interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 30),
    "endless_length": (RESPONSE_HEAD + b"Content-Length: 999999999999\r\n\r\n", KIB),
    "endless_chunks": (CHUNKED, b"400\r\n" + KIB + b"\r\n"),
    "endless_extension": (CHUNKED + b"5;", KIB),
    "endless_trailer": (CHUNKED + b"5\r\nhello\r\n0\r\n", b"X-Pad: y\r\n" * 100),
    "endless_without_length": (RESPONSE_HEAD + b"\r\n", KIB),
    "endless_other": (
        OTHER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"400\r\n" + KIB + b"\r\n",
    ),
    "endless_others": (b"", OTHER_HEAD + b"Content-Length: 1024\r\n\r\n" + KIB),
}


# Behaviours of an engine: a stream without a length or chunks, complete or cut within an event.
UNFRAMED = ("unframed", "unframed_cut")


def _copied_refusal(attempt):
    """Return the refusal of an earlier attempt."""
    return answer(503, b"", [("Not-Executed", "1"), ("Attempt-Id", f"earlier than {attempt}")])


class Replica(Listener):
    """A plain service.

    Behaviours:

    - ok
    - fail: 500
    - shed: 503 with the header Not-Executed, without an execution
    - busy: 503 without this header, after an execution
    - unsigned: no Replica-Signature and no Replica-Load
    - coded: an unexpected Content-Encoding
    - cut: the connection is closed before the last bytes of the body
    - garbage: bytes that are not HTTP
    - no_length: no Content-Length; the end of the connection ends the body
    - extra: the response twice
    - late_other: before the response, a signed one with the attempt id of another request
    - late_copy: before the response, a signed one without an attempt id
    - cut_head: the connection is closed within the head of the response
    - copied_refusal: before the response, a refusal of an earlier attempt once more
    - hang: no response
    - reset: the connection is reset
    - hold: the response waits for `released`
    - the keys of ENDLESS: the response does not end until the client closes the connection or
      `max_endless_bytes` bytes are sent
    """

    service = "svc"

    def __init__(self, name="i-1", host="127.0.0.1", zone="z1"):
        super().__init__(host)
        self.name = name
        self.zone = zone
        self.version = "v1"
        self.behaviour = "ok"
        self.requests = []
        self.arrival_times = []  # times at which they arrived, by the clock of the event loop
        self.limit = None  # named in every response: requests a second from all daemons together
        self.says_leaving = False  # in every response
        self.back_off_s = None  # named in refusals of behaviour "shed", in seconds
        self.on_refusal = lambda: None  # called before each refusal of behaviour "shed"
        self.load = "1,0,8"
        self.probes = 0  # requests for its report
        self.executions = []
        # Attempts that continued here from a copied KV cache. `executions` of the engine where they
        # began lists them too, but together these are one execution.
        self.continuations = []
        self.disconnects = []  # attempts whose client closed the connection of an endless response
        self.released = asyncio.Event()
        self.body = b"the server's bytes"
        self.max_endless_bytes = 32 << 20
        self.endless_sent = 0  # bytes accepted by the socket in the latest endless response

    def entry(self, **fields):
        """Return the entry that the server writes to the store, with some fields replaced."""
        defaults = {
            "service": self.service,
            # A server that was not started has no port yet; an entry without one names no server.
            "address": self.address if self.port else f"{self.host}:1",
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1700000000000,
        }
        return {**defaults, **fields}

    def statements(self):
        """Return the headers in which the server speaks of itself."""
        limit = [] if self.limit is None else [("Server-Limit", str(self.limit))]
        return [*limit, ("Server-Leaving", "1")] if self.says_leaving else limit

    async def serve_request(self, request, writer):
        if request.path == "/report":
            self.probes += 1
            fields = {"state": "draining" if self.says_leaving else "ready"}
            writer.write(answer(200, json.dumps(fields).encode()))
            return True
        self.requests.append(request)
        self.arrival_times.append(asyncio.get_running_loop().time())
        attempt = request.headers.get("attempt-id", "")
        expected = request.headers.get("expected-replica")
        if expected is not None and expected != self.name:
            writer.write(answer(421, b"", [("Replica-Id", self.name), ("Attempt-Id", attempt)]))
            return True
        if self.behaviour == "shed":
            self.on_refusal()
            refused = [("Not-Executed", "1"), ("Attempt-Id", attempt), *self.statements()]
            if self.back_off_s is not None:
                refused.append(("Retry-After", str(self.back_off_s)))
            writer.write(answer(503, b"", refused))
            return True
        self.executions.append(attempt)
        return await self.run(request, attempt, writer)

    async def run(self, request, attempt, writer):
        """Respond to an executed request according to the behaviour."""
        headers = [("Attempt-Id", attempt), SIGNATURE, ("Replica-Load", self.load)]
        headers += self.statements()
        good = answer(200, self.body, headers)
        if self.behaviour in ENDLESS:
            await self.send_endlessly(*ENDLESS[self.behaviour], attempt, writer)
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
            case "cut_head":
                writer.write(RESPONSE_HEAD.replace(b"%b", attempt.encode()) + b"Content-Le")
                await writer.drain()
                return False
            case "copied_refusal":
                writer.write(_copied_refusal(attempt) + good)
            case "late_other":
                other = answer(200, b"another's", [("Attempt-Id", "other"), SIGNATURE])
                writer.write(other + good)
            case "late_copy":
                writer.write(answer(200, b"another's", [SIGNATURE]) + good)
            case _:
                writer.write(good)
        return self.behaviour != "reset"

    async def send_endlessly(self, begin, repeated, attempt, writer):
        """Send until the client closes the connection or `max_endless_bytes` are sent."""
        self.endless_sent = 0
        writer.write(begin.replace(b"%b", attempt.encode()))
        block = repeated * (1 + 65536 // len(repeated))
        try:
            while self.endless_sent < self.max_endless_bytes:
                writer.write(block)
                await writer.drain()
                self.endless_sent += len(block)
        except ConnectionError:
            self.disconnects.append(attempt)


class Engine(Replica):
    """A model engine that streams `events` events for each generation.

    `event_interval_s` is the time between two events. With `reset_after_events`, the connection is
    closed after this many events of a run, in the middle of the next one. `generated_events` maps
    generations to the number of their last event, and `kv_caches` does the same for the KV caches
    copied to this engine, by handle. A migration request (`/kv-move`) copies a KV cache to another
    engine of `fleet`, in `migration_s`; `migration_status` other than 200 rejects these requests.

    A request with one of `crashing_parts` in its prompt ends the engine after `crash_after_events`
    events of the response: the listener closes and every connection is reset. `restart` starts it
    again.
    """

    service = "llm"
    fleet: dict[str, "Engine"] = {}

    def __init__(self, name="i-1", host="127.0.0.1", zone="z1", events=5, event_interval_s=0.0):
        super().__init__(name, host, zone)
        self.events = events
        self.event_interval_s = event_interval_s
        self.reset_after_events = None
        self.moved = {}
        self.stopped = set()  # generations that ended here with their migration
        self.kv_caches = {}
        self.migration_status = 200
        self.migration_s = 0.0
        # What becomes of a request to stop a generation (`last`): "" stops it, "ended" finds that
        # the generation has just ended by itself, "lost" stops it and answers nothing.
        self.stop_outcome = ""
        self.migrations = []
        self.freed_paths = []  # paths of requests to free a copied KV cache
        self.replayed_events = 0  # events that a resumed stream sends again before new ones
        self.generated_events = {}
        self.crashing_parts = set()
        self.crash_after_events = 0
        self.crashes = []  # attempts that ended the engine
        self.started_at_ms = 1700000000000

    def entry(self, **fields):
        return super().entry(**{"born": self.started_at_ms, **fields})

    def crash(self):
        """Close the listener and reset every connection."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self):
        """Start again at the same address, as a new start of the engine."""
        self.started_at_ms += 1
        return await self.start(self.port)

    def event(self, attempt, number):
        """Return one event of a stream."""
        return b"id: %d\ndata: token %d\n\n" % (number, number)

    async def start(self, port=0):
        await super().start(port)
        Engine.fleet[self.address] = self
        return self

    async def serve_request(self, request, writer):
        if request.path == "/kv-move":
            return await self._migrate(json.loads(request.body), writer)
        if request.method == "DELETE":
            self.freed_paths.append(request.path)
            writer.write(answer(200, b"{}"))
            return True
        return await super().serve_request(request, writer)

    async def _migrate(self, fields, writer):
        self.migrations.append(fields)
        attempt = fields["id"]
        if fields.get("last") and self.migration_status == 200:
            self.stopped.add(attempt)
        await asyncio.sleep(self.migration_s)
        if fields.get("last") and self.stop_outcome == "lost":
            return False
        ended = fields.get("last") and self.stop_outcome == "ended"
        if self.migration_status != 200 or attempt not in self.generated_events or ended:
            writer.write(
                answer(self.migration_status if self.migration_status != 200 else 404, b"{}")
            )
            return True
        handle = f"h-{attempt}"
        Engine.fleet[fields["to"]].kv_caches[f"{self.address}/{handle}"] = self.generated_events[
            attempt
        ]
        body = {"kv_handle": handle, "created": self.generated_events[attempt]}
        writer.write(answer(200, json.dumps(body).encode()))
        return True

    async def run(self, request, attempt, writer):
        source = request.headers.get("kv-from")
        if source is not None and source not in self.kv_caches:
            self.executions.pop()
            refused = [("Not-Executed", "1"), ("Attempt-Id", attempt), *self.statements()]
            writer.write(answer(503, b"", refused))
            return True
        if source is not None:
            self.continuations.append(attempt)
        parts = request.headers.get("prompt-prefix", "").split(",")
        crashes = bool(self.crashing_parts & {part.partition(":")[0] for part in parts})
        if self.behaviour == "endless_event":
            begin = CHUNKED + b"c\r\nid: 1\ndata: \r\n"
            await self.send_endlessly(begin, b"400\r\n" + KIB + b"\r\n", attempt, writer)
            return False
        if self.behaviour == "copied_refusal":
            writer.write(_copied_refusal(attempt))
        elif self.behaviour not in ("ok", "hold", *UNFRAMED):
            return await super().run(request, attempt, writer)
        backup = request.headers.get("kv-backup")
        first = max(0, int(request.headers.get("last-event-id", 0)) - self.replayed_events)
        headers = [("Attempt-Id", attempt), SIGNATURE, ("Content-Type", "text/event-stream")]
        headers += self.statements()
        if self.behaviour in UNFRAMED:
            return await self._stream_unframed(headers, first, attempt, writer, crashes)
        writer.write(answer(200, b"", [*headers, ("Transfer-Encoding", "chunked")], length=False))
        for number in range(first + 1, self.events + 1):
            if crashes and number - first > self.crash_after_events:
                return await self._crash_in(attempt, writer)
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

    async def _crash_in(self, attempt, writer):
        """End the engine in a response, of which all that was written is sent."""
        await writer.drain()
        self.crashes.append(attempt)
        self.crash()
        return False

    async def _stream_unframed(self, headers, first, attempt, writer, crashes):
        """Send a stream that ends with its connection; with "unframed_cut", within an event."""
        writer.write(answer(200, b"", headers, length=False))
        for number in range(first + 1, self.events + 1):
            if attempt in self.stopped:
                break
            if crashes and number - first > self.crash_after_events:
                return await self._crash_in(attempt, writer)
            event = self.event(attempt, number)
            if self.behaviour == "unframed_cut" and number == first + 3:
                writer.write(event[:-4])
                break
            writer.write(event)
            self.generated_events[attempt] = number
            await writer.drain()
            await asyncio.sleep(self.event_interval_s)
        await writer.drain()
        return False
