"""A part of prompts crashes each engine that begins to write an answer on it: at its first event."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import fleet as lib  # noqa: E402
from fleet import BOUNDS, DISRUPTED, KEY, SIGNATURE, Server, answer, main, new_id  # noqa: E402

TAINTED_EVERY_S = 1.5
TAINTED = 20  # requests with the part
SOUND_EVERY_S = 0.4
BACK_AFTER_S = 2.0  # a server that crashed
EVENTS, EVENT_S = 40, 0.05
FIRST_EVENT_S = 0.2  # the prompt is read
DEADLY, SHARED = "deadbeef", "5c1e07a2"
MAX_LATE = 3
# For comparison only: "head" crashes a server before its first event.
CRASH_AT = os.environ.get("CRASH_AT", "event")


class Engine(Server):
    """A model engine. It crashes when it begins to write an answer on the deadly part."""

    service = "crock-llm"
    slots = 24

    def __init__(self, name, zone, fleet):
        super().__init__(name, zone)
        self.fleet = fleet
        self.crashes = []
        self.tainted = []  # arrivals

    async def run(self, request, attempt, writer):
        is_tainted = DEADLY in request.headers.get("prompt-prefix", "")
        if is_tainted:
            self.tainted.append(time.monotonic())
        self.ran.append((time.monotonic(), attempt))
        self.fleet.record("ran", server=self.name, attempt=attempt, tainted=is_tainted)
        await asyncio.sleep(FIRST_EVENT_S)
        headers = [("Attempt-Id", attempt), SIGNATURE, ("Content-Type", "text/event-stream")]
        headers.append(("Transfer-Encoding", "chunked"))
        writer.write(answer(200, b"", headers, length=False))
        for number in range(1, EVENTS + 1):
            if is_tainted and DISRUPTED and CRASH_AT == "head":
                return await self._crash(attempt)
            event = b"id: %d\ndata: %b %d\n\n" % (number, attempt.encode(), number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if is_tainted and DISRUPTED:
                return await self._crash(attempt)
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True

    async def _crash(self, attempt):
        """End as a process does that crashes: all connections end, and nobody listens."""
        self.crashes.append(time.monotonic())
        self.fleet.record("crashed", server=self.name, attempt=attempt)
        self.is_down = True
        self._server.close()
        for other in list(self._writers):
            other.transport.abort()
        self.fleet.spawn(self._come_back())
        return False

    async def _come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        self.born = round(time.time() * 1000)
        self.sequence = 0
        await self.start(self.port)
        self.is_down = False
        self.fleet.write_entry(self)
        self.fleet.record("back", server=self.name)

    def entry(self):
        return super().entry() | {"stage": "combined", "models": [{"name": "m", "version": 1}]}


class Client:
    """A client of streams."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ends = {"sound": [], "tainted": []}

    async def ask(self, kind, daemon, parts):
        """Ask for a generation and read its stream."""
        attempt = new_id()
        headers = {"Attempt-Id": attempt, "Model": "m", "Token-Usage": "3079,160"}
        headers |= {"Prompt-Prefix": parts, "Deadline-Ms": 39000, "Authorization": f"Bearer {KEY}"}
        self.fleet.record("sent", kind=kind, daemon=daemon.name, attempt=attempt)
        end = await self._read(
            daemon, lib.encode("POST", f"/digest/{attempt}", headers, b"x" * 600)
        )
        self.ends[kind].append(end)
        self.fleet.record("ended", kind=kind, attempt=attempt, end=end)

    async def _read(self, daemon, data):
        try:
            async with asyncio.timeout(20.0):
                reader, writer = await asyncio.open_connection(*daemon.frontend)
                try:
                    writer.write(data)
                    status, found = await lib.read_head(reader)
                    if status != 200:
                        return str(status)
                    while size := int(await reader.readline(), 16):
                        await reader.readexactly(size + 2)
                    return "whole"
                finally:
                    writer.close()
        except (OSError, EOFError, ValueError, TimeoutError):
            return "cut off"


async def script(fleet):
    zones = ["khangai-a", "gobi-a", "selenge-a"]
    engines = [Engine(f"i-{n:08x}", zones[n % 3], fleet) for n in range(6)]
    digest = lib.route("digest", "streaming", "crock-llm", timeout_ms=39000, target_gap_ms=180)
    digest["target_latency_ms"] = 1800
    engine = {**lib.ENGINE, "moves": False, "backups": False}
    await fleet.start(zones, engines, [digest], [lib.service("crock-llm", engine=engine)])
    client, tasks = Client(fleet), []
    began = time.monotonic()
    tainted_sent = sound_sent = 0
    while tainted_sent < TAINTED:
        at = time.monotonic() - began
        if at >= sound_sent * SOUND_EVERY_S:
            daemon = fleet.daemons[sound_sent % 3]
            parts = f"{SHARED}:79,{new_id()[:8]}:3000"
            tasks.append(fleet.spawn(client.ask("sound", daemon, parts)))
            sound_sent += 1
        if at >= (tainted_sent + 1) * TAINTED_EVERY_S:
            daemon = fleet.daemons[tainted_sent % 3]
            parts = f"{SHARED}:79,{DEADLY}:200,{new_id()[:8]}:2800"
            tasks.append(fleet.spawn(client.ask("tainted", daemon, parts)))
            tainted_sent += 1
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)

    crashes = sorted(at for item in engines for at in item.crashes)
    arrivals = [at for item in engines for at in item.tainted]
    fifth = crashes[4] if len(crashes) >= 5 else float("inf")
    late = [at for at in arrivals if at > fifth + BOUNDS["contact_ms"] / 1000]
    counts = {
        kind: {end: ends.count(end) for end in sorted(set(ends))}
        for kind, ends in client.ends.items()
    }
    print(f"{len(arrivals)} requests with the part reached engines, {len(crashes)} crashes")
    print(
        f"BUDGET: {len(late)} of them later than contact_ms after the fifth crash ({MAX_LATE} may)"
    )
    print(f"ends of sound streams: {counts['sound']}; of those with the part: {counts['tainted']}")
    fleet.record("result", arrivals=len(arrivals), crashes=len(crashes), late=len(late))
    if not DISRUPTED and counts["sound"] != {"whole": sound_sent}:
        raise RuntimeError("the undisturbed run is not sound")
    return len(late) > MAX_LATE


main(script, FOLDER)
