"""CPU, memory and gaps between tokens of streamed completions, for a daemon and a bare relay.

Runs a real daemon (aiohttp towards callers and engines) and a minimal asyncio relay that does the
same parsing, with the same engines and streams. The relay is the lower bound for an event loop.

    python -m bench.streams --streams 50 100 200 --seconds 10
"""

import argparse
import asyncio
import json
import os
import re
import sys
import time

from standins.fleet import Fleet
from tests.builders import contract_row, jar_returns_rows

from bench.process import cpu_s, rss_mb

ENGINES = 6
EVENT_ID = re.compile(rb"^id: (\d+)\n", re.MULTILINE)
STEP_MS = 25.0  # of an empty engine; a full batch lengthens a step to about 50 ms


async def read_stream(address, number, tokens, gaps, refusals):
    """Read one stream, record the gaps between its events in ms, and return its token count."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    body = json.dumps({"model": "crock-llm", "prompt": f"{number} len={tokens}", "stream": True})
    head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer clerks-key\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
    received, last, tail = 0, None, b""
    while data := await reader.read(65536):
        now = time.perf_counter()
        data = tail + data
        # The daemon merges tokens that arrive together into one event with the id of the last one.
        if ids := EVENT_ID.findall(data):
            received = int(ids[-1]) + 1
            if last is not None:
                gaps.append((now - last) * 1000)
            last = now
        if b'"error"' in data:
            refusals.append(json.loads(data[data.index(b'{"error"') :].split(b"\r\n")[0]))
            break
        if b"[DONE]" in data:
            break
        tail = data[data.rfind(b"\n") + 1 :]
    writer.close()
    return received


async def forward_stream(reader, writer, engines, counter):
    """Forward one stream by means of asyncio only."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    body = await reader.readexactly(length)
    counter[0] += 1
    name, address = f"g{counter[0]}", engines[counter[0] % len(engines)]
    host, _, port = address.rpartition(":")
    up_reader, up_writer = await asyncio.open_connection(host, int(port))
    up_body = json.dumps({**json.loads(body), "max_tokens": 100000}).encode()
    request = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Generation-Id: {name}\r\n"
    up_writer.write(f"{request}Content-Length: {len(up_body)}\r\n\r\n".encode() + up_body)
    await up_reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while size := int(await up_reader.readline(), 16):
        chunk = await up_reader.readexactly(size + 2)
        out = b""
        for event in chunk[:-2].split(b"\n\n"):
            if event.startswith(b"id: "):
                offset, _, data = event.partition(b"\ndata: ")
                choice = json.loads(data)["choices"][0]
                out += offset + b"\ndata: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"
            elif event:
                out += event + b"\n\n"
        writer.write(f"{len(out):x}\r\n".encode() + out + b"\r\n")
        await writer.drain()
    up_writer.close()
    writer.close()


def run_relay(engines):
    """Print the bare relay's address and serve until the process is ended."""

    async def main():
        counter = [0]
        server = await asyncio.start_server(
            lambda reader, writer: forward_stream(reader, writer, engines, counter), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        print(json.dumps({"listen": f"{host}:{port}"}), flush=True)
        await server.serve_forever()

    asyncio.run(main())


async def run_streams(address, streams, tokens, start_window_s):
    """Read all streams; return the number of tokens and the sorted gaps in ms."""
    gaps, refusals = [], []

    async def read(number):
        # Starting all streams at once would overflow the admission queue of their class.
        await asyncio.sleep(start_window_s * number / streams)
        return await read_stream(address, number, tokens, gaps, refusals)

    reads = [read(number) for number in range(streams)]
    received = sum(await asyncio.gather(*reads))
    gaps.sort()
    for refusal in refusals[:3]:
        print(refusal)
    return received, gaps


def measure(name, process, streams, tokens, start_window_s):
    """Run streams through one process and print a row of its costs and gaps."""
    pid, before, started = process.popen.pid, cpu_s(process.popen.pid), time.perf_counter()
    received, gaps = asyncio.run(run_streams(process.address, streams, tokens, start_window_s))
    used, wall = cpu_s(pid) - before, time.perf_counter() - started
    p50, p99 = (gaps[int(len(gaps) * part)] if gaps else 0.0 for part in (0.5, 0.99))
    print(
        f"| {name} | {streams} | {received} of {streams * tokens} | {received / wall:.0f} |"
        f" {used / max(received, 1) * 1e6:.0f} | {received / max(used, 0.01):.0f} |"
        f" {rss_mb(pid):.0f} | {p50:.0f} | {p99:.0f} |",
        flush=True,
    )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", type=int, nargs="+", default=[50, 100, 200])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--spread", type=float, default=0.0, help="seconds in which streams begin")
    parser.add_argument("--relay", nargs="+", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.relay:
        return run_relay(args.relay)
    max_streams = max(args.streams)
    print(f"{ENGINES} engines, step {STEP_MS} ms, load average {os.getloadavg()[0]:.1f} at start")
    print(
        "| server | streams | tokens | tokens/s | CPU us/token | tokens/s a core | RSS MB |", end=""
    )
    print(" gap p50 ms | gap p99 ms |\n|---|---|---|---|---|---|---|---|---|")
    with Fleet() as fleet:
        slots = str(max_streams // ENGINES + 8)
        options = ["--step-ms", str(STEP_MS), "--slots", slots, "--memory", "10000000"]
        engines = [
            fleet.backend(f"crock-{n}", "crock-llm", "khangai", "engine", *options)
            for n in range(ENGINES)
        ]
        daemon = fleet.daemon("entry-0", "khangai", max_open_requests=max_streams + 20)
        rows = jar_returns_rows()
        rows["contract/clerks"] = contract_row("clerks", concurrency=2000, tokens_per_s=1e6)
        rows["service/crock-llm"].update(full_slots=int(slots), cold_slots=int(slots))
        fleet.begin(rows)
        addresses = [engine.address for engine in engines]
        loop = fleet._start([sys.executable, "-m", "bench.streams", "--relay", *addresses])
        for streams in args.streams:
            tokens = int(args.seconds * 20)
            measure("bare relay", loop, streams, tokens, args.spread)
            measure("daemon", daemon, streams, tokens, args.spread)
    return None


if __name__ == "__main__":
    main()
