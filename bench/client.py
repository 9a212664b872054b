"""Open-loop client process: sends planned requests at their times and records what came back.

Reads a plan as JSON from standard input, writes results as JSON to standard output. Latency counts
from the intended time, so a client or server that falls behind shows up in the figures.
"""

import asyncio
import contextlib
import json
import re
import sys
import time

CLASSES = {"long": "batch", "short": "interactive", "call": "interactive"}
_EVENT_ID = re.compile(rb"^id: (\d+)\ndata: \{", re.MULTILINE)


def request_bytes(plan, item):
    """Return the HTTP request of an arrival."""
    if item["kind"] == "call":
        path, body = f"/v1/services/{plan['plain']}/history", {"jar": 1}
    else:
        path = "/v1/completions"
        body = {"model": plan["engine"], "prompt": item["prompt"], "stream": True}
        body["max_tokens"] = item["max_tokens"]
    data = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n"
        f"Authorization: Bearer {item['account']}-key\r\n"
        f"X-Request-Class: {CLASSES[item['kind']]}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


async def send(plan, item, start, results):
    """Send one request at its time and read the answer to its end."""
    due = start + item["at"]
    await asyncio.sleep(max(0.0, due - time.monotonic()))
    result = {"kind": item["kind"], "at": item["at"], "outcome": "unfinished", "gaps": []}
    result |= {"tokens": 0, "first_s": None, "total_s": None}
    result["lag_s"] = time.monotonic() - due
    results.append(result)
    host, _, port = plan["daemons"][item["daemon"]].rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        with contextlib.closing(writer):
            writer.write(request_bytes(plan, item))
            head = await reader.readuntil(b"\r\n\r\n")
            if head.split(b" ", 2)[1] != b"200":
                result["outcome"] = refusal_name(await reader.read())
            elif item["kind"] == "call":
                await reader.read()
                result["outcome"] = "done"
            else:
                await read_stream(reader, due, result)
    except (OSError, asyncio.IncompleteReadError) as exc:
        result["outcome"] = type(exc).__name__
    if result["outcome"] != "unfinished":
        result["total_s"] = time.monotonic() - due


async def read_stream(reader, due, result):
    """Read the chunks of an event stream; each chunk is one event."""
    last = None
    while size := int(await reader.readline(), 16):
        chunk = await reader.readexactly(size + 2)
        if found := _EVENT_ID.search(chunk):
            now = time.monotonic()
            if last is None:
                result["first_s"] = now - due
            else:
                result["gaps"].append(round(now - last, 5))
            last, result["tokens"] = now, int(found[1]) + 1
        elif chunk.startswith(b"event: error"):
            result["outcome"] = refusal_name(chunk.split(b"data: ", 1)[1])
        elif chunk.startswith(b"data: [DONE]"):
            result["outcome"] = "done"
    if result["outcome"] == "unfinished":
        result["outcome"] = "cut"


def refusal_name(data):
    """Return the name of the refusal in an error body."""
    try:
        return json.loads(data)["error"]["name"]
    except (ValueError, KeyError, TypeError):
        return "unknown"


async def run(plan):
    """Send everything and return the results after the last deadline."""
    results = []
    start = plan["start"]
    tasks = [asyncio.create_task(send(plan, item, start, results)) for item in plan["arrivals"]]
    timeout = max(0.0, start + plan["end_s"] - time.monotonic())
    if tasks:
        await asyncio.wait(tasks, timeout=timeout)
    for task in tasks:
        task.cancel()
    return results


if __name__ == "__main__":
    json.dump(asyncio.run(run(json.load(sys.stdin))), sys.stdout)
