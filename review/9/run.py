"""A client's absurd prompt size ends a daemon's periodic work; its planned stop then loses requests."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import fleet as lib  # noqa: E402
from fleet import BOUNDS, DISRUPTED, KEY, SIGNATURE, Server, answer, main, new_id  # noqa: E402

GRACE_S = BOUNDS["grace_period_s"]
ODD_SIZE = 2**64 - 1  # a count of -1 tokens, printed as an unsigned number
ODD_REQUESTS = 6
SLOTS = 24  # of each of two engines
WAITING = 6  # streams that wait for a place when the stop begins
EVENTS, EVENT_S, TOKENS_PER_EVENT = 450, 0.04, 4
FIRST_EVENT_S = 0.2
PROMPT = 300


class Engine(Server):
    """A model engine that streams every generation to its end."""

    service = "crock-llm"
    slots = SLOTS

    def __init__(self, name, zone, fleet):
        super().__init__(name, zone)
        self.fleet = fleet

    async def run(self, request, attempt, writer):
        self.ran.append((time.monotonic(), attempt))
        self.fleet.record("ran", server=self.name, attempt=attempt)
        await asyncio.sleep(FIRST_EVENT_S)
        headers = [("Attempt-Id", attempt), SIGNATURE, ("Content-Type", "text/event-stream")]
        headers.append(("Transfer-Encoding", "chunked"))
        writer.write(answer(200, b"", headers, length=False))
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: %b %d\n\n" % (number, attempt.encode(), number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True


class Client:
    """A client of streams."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ends = []  # (kind, attempt, time sent, time ended, end)

    async def ask(self, kind, daemon, prompt=PROMPT):
        """Ask for a generation and read its stream."""
        attempt, tokens = new_id(), EVENTS * TOKENS_PER_EVENT
        headers = {"Attempt-Id": attempt, "Model": "m", "Token-Usage": f"{prompt},{tokens}"}
        headers |= {"Prompt-Prefix": f"{attempt[:8]}:{prompt}", "Length-Hint": tokens}
        headers |= {"Deadline-Ms": 39000, "Authorization": f"Bearer {KEY}"}
        self.fleet.record("sent", kind=kind, daemon=daemon.name, attempt=attempt, prompt=prompt)
        sent, end = time.monotonic(), "cut off"
        try:
            async with asyncio.timeout(39.0):
                reader, writer = await asyncio.open_connection(*daemon.frontend)
                try:
                    writer.write(lib.encode("POST", f"/digest/{attempt}", headers, b"x" * 600))
                    sent = time.monotonic()
                    status, _ = await lib.read_head(reader)
                    end = "cut off" if status == 200 else str(status)
                    while status == 200 and (size := int(await reader.readline() or b"x", 16)):
                        await reader.readexactly(size + 2)
                    end = "whole" if status == 200 else end
                finally:
                    writer.close()
        except (OSError, EOFError, ValueError):
            pass
        except TimeoutError:
            end = "timed out"
        self.ends.append((kind, attempt, sent, time.monotonic(), end))
        self.fleet.record("ended", kind=kind, attempt=attempt, end=end)


async def script(fleet):
    zones = ["khangai-a", "khangai-a", "gobi-a"]
    engines = [Engine(f"i-{n:08x}", zones[1 + n], fleet) for n in range(2)]
    digest = lib.route("digest", "streaming", "crock-llm", timeout_ms=39000, target_gap_ms=180)
    digest["target_latency_ms"] = 1800
    engine = {**lib.ENGINE, "moves": False, "backups": False}
    await fleet.start(zones, engines, [digest], [lib.service("crock-llm", engine=engine)])
    client, tasks = Client(fleet), []
    stopped, others = fleet.daemons[0], fleet.daemons[1:]

    if DISRUPTED:
        for _ in range(ODD_REQUESTS):
            await client.ask("odd", stopped, ODD_SIZE)
    for number in range(2 * SLOTS):  # all places of the engines are taken
        tasks.append(fleet.spawn(client.ask("running", others[number % 2])))
        await asyncio.sleep(0.04)
    await asyncio.sleep(1.5)
    for _ in range(WAITING):
        tasks.append(fleet.spawn(client.ask("waiting", stopped)))
    await asyncio.sleep(0.5)

    term_at = time.monotonic()
    fleet.record("SIGTERM", daemon=stopped.name)
    stopped.signal(signal.SIGTERM)
    while stopped.process.poll() is None and time.monotonic() < term_at + GRACE_S:
        await asyncio.sleep(0.02)
    ended_by_itself = stopped.process.poll() is not None
    ended_s = time.monotonic() - term_at
    if not ended_by_itself:
        fleet.record("SIGKILL", daemon=stopped.name)
        stopped.signal(signal.SIGKILL)
    await asyncio.sleep(0.5)

    ran = {attempt for item in engines for _, attempt in item.ran}
    waiting = [item for item in client.ends if item[0] == "waiting"]
    lost = []
    for _, attempt, sent, ended, end in waiting:
        is_late = ended - sent > BOUNDS["loss_slack_ms"] / 1000
        if end == "cut off" and attempt not in ran and is_late:
            fleet.record("BROKEN", attempt=attempt)
            lost.append(round(ended - term_at, 2))
    odd = [end for kind, _, _, _, end in client.ends if kind == "odd"]
    print(f"odd requests: {odd}")
    print(f"the process ended by itself: {ended_by_itself}, {ended_s:.1f} s after the SIGTERM")
    print(f"streams that waited for a place: {[item[4] for item in waiting]}")
    print(f"LOST: {len(lost)} of them were read and never answered; cut off at (s)", lost)
    if len(waiting) < WAITING or any(item[1] in ran for item in waiting):
        raise RuntimeError("the engines were not full")
    return bool(lost)


main(script, FOLDER)
