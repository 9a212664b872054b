"""A daemon that stops takes streams late in its grace period because their length hints are short."""

import asyncio
import math
import random
import signal
import sys
import time
from pathlib import Path
from statistics import NormalDist

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import fleet as lib  # noqa: E402
from fleet import BOUNDS, DISRUPTED, KEY, SIGNATURE, Server, answer, main, new_id  # noqa: E402

GRACE_S = BOUNDS["grace_period_s"]
STEADY_EVERY_S = 0.25  # streams before the stop
STEADY_S = 6.0
LATE_CLIENTS = 32  # new connections between the next two times after the SIGTERM
LATE_FROM_S, LATE_TO_S = 3.1, 4.3
EVENTS, EVENT_S, TOKENS_PER_EVENT = 150, 0.04, 4  # 10 ms a token
FIRST_EVENT_S = 0.2  # the prompt is read
HINT_SPREAD = 1.2  # of the logarithm, as the site file of the deployment has it
OLD_ANSWERS_S = 3.0  # an answer of the directory is kept for up to so many times its ttl_s


class Engine(Server):
    """A model engine that streams every generation to its end."""

    service = "crock-llm"
    slots = 24

    def __init__(self, name, zone, fleet):
        super().__init__(name, zone)
        self.fleet = fleet
        self.done = set()

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
        self.done.add(attempt)
        return True


class Client:
    """A client of streams, on a new connection each time."""

    def __init__(self, fleet, engines):
        self.fleet = fleet
        self.engines = engines
        self.ends = []  # (address, attempt, time sent, time ended, events, end)

    async def ask(self, address, hint):
        """Ask for a generation and read its stream."""
        attempt = new_id()
        tokens = EVENTS * TOKENS_PER_EVENT
        headers = {"Attempt-Id": attempt, "Model": "m", "Token-Usage": f"2200,{4 * tokens}"}
        headers |= {"Prompt-Prefix": f"5c1e07a2:210,{attempt[:8]}:1990", "Length-Hint": hint}
        headers |= {"Deadline-Ms": 39000, "Authorization": f"Bearer {KEY}"}
        data = lib.encode("POST", f"/tag/{attempt}", headers, b"x" * 600)
        self.fleet.record("sent", address=address[0], attempt=attempt, hint=hint)
        sent, events, end = time.monotonic(), 0, "cut off"
        try:
            async with asyncio.timeout(20.0):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write(data)
                    sent = time.monotonic()
                    status, found = await lib.read_head(reader)
                    end = "cut off" if status == 200 else str(status)
                    while status == 200 and (size := int(await reader.readline() or b"x", 16)):
                        await reader.readexactly(size + 2)
                        events += 1
                    end = "whole" if status == 200 else end
                finally:
                    writer.close()
        except ConnectionRefusedError:
            end = "no connection"
        except (OSError, EOFError, ValueError):
            pass
        except TimeoutError:
            end = "timed out"
        self.ends.append((address, attempt, sent, time.monotonic(), events, end))
        self.fleet.record("ended", attempt=attempt, events=events, end=end)


async def script(fleet):
    rng = random.Random(46)
    zones = ["khangai-a", "khangai-a", "gobi-a"]
    engines = [Engine(f"i-{n:08x}", zones[n % 3], fleet) for n in range(9)]
    tag = lib.route("tag", "streaming", "crock-llm", timeout_ms=39000, target_gap_ms=180)
    tag |= {"target_latency_ms": 1500, "max_attempts": 2, "stream_resume": True}
    engine = {**lib.ENGINE, "moves": False, "backups": False}
    await fleet.start(zones, engines, [tag], [lib.service("crock-llm", engine=engine)])
    client, tasks = Client(fleet, engines), []
    tokens = EVENTS * TOKENS_PER_EVENT

    def hint():
        return max(1, round(tokens * math.exp(rng.gauss(0.0, HINT_SPREAD))))

    for _ in range(round(STEADY_S / STEADY_EVERY_S)):
        address = rng.choice(fleet.daemons).frontend
        tasks.append(fleet.spawn(client.ask(address, hint())))
        await asyncio.sleep(STEADY_EVERY_S)

    stopped = fleet.daemons[0]
    addresses, ttl_s = await lib.resolve(stopped, "khangai", "khangai-a")
    asked_at = time.monotonic()
    if stopped.frontend not in addresses:
        raise RuntimeError("the directory did not name the daemon before its stop")
    ttl_s = min(ttl_s, BOUNDS["ttl_max_s"])
    term_at = time.monotonic()
    if DISRUPTED:
        fleet.record("SIGTERM", daemon=stopped.name)
        stopped.signal(signal.SIGTERM)

    async def kill():
        await asyncio.sleep(term_at + GRACE_S - time.monotonic())
        if DISRUPTED and stopped.process.poll() is None:
            fleet.record("SIGKILL", daemon=stopped.name)
            stopped.signal(signal.SIGKILL)

    tasks.append(fleet.spawn(kill()))
    # Hints at even steps of their spread: the median is right, many are far off.
    ranks = [(n + 0.5) / LATE_CLIENTS for n in range(LATE_CLIENTS)]
    hints = [tokens * math.exp(HINT_SPREAD * NormalDist().inv_cdf(rank)) for rank in ranks]
    rng.shuffle(hints)
    for number, value in enumerate(hints):
        at = LATE_FROM_S + number * (LATE_TO_S - LATE_FROM_S) / LATE_CLIENTS
        await asyncio.sleep(max(0.0, term_at + at - time.monotonic()))
        if time.monotonic() - asked_at > OLD_ANSWERS_S * ttl_s:
            raise RuntimeError("the clients have kept the directory's answer for too long")
        address = addresses[number % len(addresses)]
        tasks.append(fleet.spawn(client.ask(address, max(1, round(value)))))
    await asyncio.gather(*tasks)

    ran = {attempt for item in engines for _, attempt in item.ran}
    lost = []
    for address, attempt, sent, ended, events, end in client.ends:
        is_late = address == stopped.frontend and term_at + 3.0 < sent
        until = term_at + GRACE_S + 1.0
        if is_late and attempt in ran and end == "cut off" and ended < until:
            fleet.record("BROKEN", attempt=attempt, events=events)
            lost.append((round(sent - term_at, 2), round(ended - term_at, 2), events))
    late = [end for address, _, sent, _, _, end in client.ends if sent > term_at + 3.0]
    counts = {end: late.count(end) for end in sorted(set(late))}
    others = [end for _, _, sent, _, _, end in client.ends if sent < term_at]
    print(f"streams sent later than 3 s after the SIGTERM, to both daemons: {counts}")
    print(f"streams sent before it: { {end: others.count(end) for end in sorted(set(others))} }")
    print(f"LOST: {len(lost)} of the late ones were passed on to a server and cut off")
    print("sent, cut off (s after the SIGTERM), events:", lost)
    if not DISRUPTED and counts != {"whole": LATE_CLIENTS}:
        raise RuntimeError("the undisturbed run is not sound")
    return bool(lost)


main(script, FOLDER)
