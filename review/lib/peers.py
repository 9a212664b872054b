"""Replicas and clients that behave as PROTOCOL.md says."""

import asyncio
import json

from standins.rawhttp import Listener, answer
from lib.world import HOST, KEY

SIGNATURE = ("Replica-Signature", "3e1b.07")


async def _closed(reader):
    """Wait until the caller closes the connection; it sends nothing before the answer."""
    try:
        return await reader.read(1)
    except ConnectionError:
        return b""


class Replica(Listener):
    """A replica of a plain service that runs a call for `work_s`."""

    service, slots = "counter-app", 6

    def __init__(self, world, name, zone, work_s=0.09):
        super().__init__()
        self.world, self.name, self.zone, self.work_s = world, name, zone, work_s
        self.headers = []  # further headers of each answer
        self.born = 1_700_000_000_000

    def entry(self, **fields):
        """Return the entry that the replica writes to the store."""
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            "born": self.born, **fields,
        }  # fmt: skip

    async def _connection(self, reader, writer):
        """Serve a connection; a request is dropped when its connection closes."""
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.rstrip("\r\n").split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                run = asyncio.create_task(self.handle(method, target, headers, body, writer))
                gone = asyncio.create_task(_closed(reader))
                try:
                    await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
                    if not run.done():  # the caller closed the connection (it sends one at a time)
                        run.cancel()
                        self.world.note("dropped", headers.get("attempt-id", ""), self.name)
                        return
                    if not run.result():
                        return
                finally:
                    run.cancel()
                    if not gone.done():
                        gone.cancel()
                        await asyncio.wait({gone})
                if gone.done() and not gone.cancelled():
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        """Answer one request; return whether the connection stays open."""
        attempt = headers.get("attempt-id", "")
        if "attempt-id" in headers:
            self.world.note("arrives", attempt, self.name, deadline=headers.get("deadline-ms"))
        if headers.get("expected-replica", self.name) != self.name:
            writer.write(answer(421, b"", [("Replica-Id", self.name), ("Attempt-Id", attempt)]))
            return True
        return await self.run(method, target, headers, body, attempt, writer)

    def good(self, attempt):
        """Return the headers of an answer."""
        return [("Attempt-Id", attempt), SIGNATURE, ("Replica-Load", f"1,0,{self.slots}"), *self.headers]

    async def run(self, method, target, headers, body, attempt, writer):
        """Run a call."""
        self.world.note("runs", attempt, self.name)
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, b"answer to " + attempt.encode(), self.good(attempt)))
        self.world.note("ran", attempt, self.name)
        return True


class Engine(Replica):
    """A model replica: streams one event for 4 tokens, keeps copies (`Kv-Backup`), moves runs."""

    service, slots = "crock-llm", 24
    fleet = {}
    framed = True  # whether the answers have chunks; without, a stream ends with its connection

    def __init__(self, world, name, zone, token_s=0.01):
        super().__init__(world, name, zone)
        self.token_s = token_s
        self.copies = {}  # by handle: events that the copy covers
        self.made = {}  # events made, by running request
        self.stopped = set()

    async def start(self, port=0):
        await super().start(port)
        Engine.fleet[self.address] = self
        return self

    async def run(self, method, target, headers, body, attempt, writer):
        if target == "/kv-move":
            return await self.move(json.loads(body), writer)
        if method == "DELETE":
            self.copies.pop(target.rpartition("/")[2], None)
            writer.write(answer(200, b"{}"))
            return True
        began, loop = 0, asyncio.get_running_loop()
        ends_at = loop.time() + int(headers.get("deadline-ms", 600_000)) / 1000
        if "kv-from" in headers:
            source, _, handle = headers["kv-from"].partition("/")
            holder = Engine.fleet.get(source)
            if holder is None or holder.copies.pop(handle, None) is None:
                self.world.note("refused", attempt, self.name, why="no copy")
                refusal = [("Not-Executed", "1"), ("Attempt-Id", attempt), *self.headers]
                writer.write(answer(503, b"", refusal))
                return True
            began = int(headers.get("last-event-id", 0))
        self.world.note("runs", attempt, self.name, after=began)
        prompt, limit = (int(part) for part in headers["token-usage"].split(","))
        await asyncio.sleep(prompt / 14_000 if not began else 0.01)
        framing = [("Content-Type", "text/event-stream")]
        framing += [("Transfer-Encoding", "chunked")] if self.framed else [("Connection", "close")]
        writer.write(answer(200, b"", [*self.good(attempt), *framing], length=False))
        backup = Engine.fleet.get(headers.get("kv-backup"))
        last = limit // 4
        try:
            for number in range(began + 1, last + 1):
                await asyncio.sleep(4 * self.token_s)
                if attempt in self.stopped or loop.time() >= ends_at:
                    self.world.note("breaks off", attempt, self.name, after=number - 1)
                    return False
                self.made[attempt] = number
                if backup is not None:
                    backup.copies[attempt] = number
                event = b"id: %d\ndata: %b %d\n\n" % (number, attempt.encode(), number)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event) if self.framed else event)
                await writer.drain()
            if self.framed:
                writer.write(b"0\r\n\r\n")
            self.world.note("ran", attempt, self.name)
            return self.framed
        finally:
            self.made.pop(attempt, None)

    async def move(self, fields, writer):
        """Copy a run's memory to another replica; with `last` the run stops first."""
        attempt, to = fields["id"], Engine.fleet.get(fields["to"])
        if attempt not in self.made or to is None:
            writer.write(answer(404 if to is not None else 503, b"{}"))
            return True
        made = self.made[attempt]
        if fields.get("last"):
            self.stopped.add(attempt)
            self.world.note("stops", attempt, self.name, after=made)
        await asyncio.sleep(0.05)
        self.copies[f"h-{attempt}"] = made
        body = json.dumps({"kv_handle": f"h-{attempt}", "created": made}).encode()
        writer.write(answer(200, body))
        return True


class Client:
    """A client: one request on a connection that it keeps."""

    def __init__(self, world, daemon):
        self.world, self.daemon = world, daemon
        self.reader = self.writer = None

    async def request(self, attempt, target, method="POST", body=b"x", deadline_ms=2000, patience_s=None,
                      key=KEY, **headers):  # fmt: skip
        """Send a request and return (status, body, whether the answer is complete).

        The client leaves at its deadline, and a stream after a gap of `patience_s`.
        """
        world = self.world
        fields = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms)}
        fields |= {"Authorization": f"Bearer {key}", "Content-Length": str(len(body))}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        status, parts, how, kept = 0, b"", "closed", self.writer is not None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self.writer is None:
                    host, port = self.daemon.host, self.daemon.ports[0]
                    self.reader, self.writer = await asyncio.open_connection(host, port)
                world.note("sent", attempt, self.daemon.name, target=target, key=key, kept=kept)
                self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                async with asyncio.timeout(patience_s):
                    head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                status = int(head.split(" ")[1])
                if "transfer-encoding: chunked" not in head:
                    length = int(head.partition("content-length:")[2].split("\r\n")[0])
                    parts = await self.reader.readexactly(length)
                    how = "complete"
                while how != "complete":
                    async with asyncio.timeout(patience_s):
                        size = int(await self.reader.readuntil(b"\r\n"), 16)
                        parts += (await self.reader.readexactly(size + 2))[:-2]
                    how = "complete" if size == 0 else how
        except TimeoutError:
            how = "left"
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            how = "broken"
        world.note("answered" if how == "complete" else how, attempt, self.daemon.name, status=status,
                   bytes=len(parts))  # fmt: skip
        if how != "complete" or "connection: close" in head:
            self.close()
        return status, parts, how

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None
