"""Open-loop client process: sends planned requests on schedule and records the responses.

Reads a plan as JSON from standard input and writes results as JSON to standard output. Latency is
measured from the scheduled time of a request, so that the figures include the delay of a client or
server that falls behind.
"""

import asyncio
import contextlib
import json
import re
import sys
import time

REQUEST_CLASSES = {"long": "batch", "short": "interactive", "call": "interactive"}
_EVENT_ID = re.compile(rb"^id: (\d+)\ndata: \{", re.MULTILINE)


def request_bytes(plan, arrival):
    """Return an arrival as an HTTP request."""
    if arrival["kind"] == "call":
        path, body = f"/v1/services/{plan['plain']}/history", {"jar": 1}
    else:
        path = "/v1/completions"
        body = {"model": plan["engine"], "prompt": arrival["prompt"], "stream": True}
        body["max_tokens"] = arrival["max_tokens"]
    data = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n"
        f"Authorization: Bearer {arrival['account']}-key\r\n"
        f"X-Request-Class: {REQUEST_CLASSES[arrival['kind']]}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


async def send(plan, arrival, start, results):
    """Send one request at its scheduled time and read the whole response."""
    scheduled_at = start + arrival["at"]
    await asyncio.sleep(max(0.0, scheduled_at - time.monotonic()))
    result = {"kind": arrival["kind"], "at": arrival["at"], "outcome": "unfinished", "gaps": []}
    result |= {"tokens": 0, "first_s": None, "total_s": None}
    result["lag_s"] = time.monotonic() - scheduled_at
    results.append(result)
    host, _, port = plan["daemons"][arrival["daemon"]].rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        with contextlib.closing(writer):
            writer.write(request_bytes(plan, arrival))
            head = await reader.readuntil(b"\r\n\r\n")
            if head.split(b" ", 2)[1] != b"200":
                result["outcome"] = error_name(await reader.read())
            elif arrival["kind"] == "call":
                await reader.read()
                result["outcome"] = "done"
            else:
                await read_stream(reader, scheduled_at, result)
    except (OSError, asyncio.IncompleteReadError) as exc:
        result["outcome"] = type(exc).__name__
    if result["outcome"] != "unfinished":
        result["total_s"] = time.monotonic() - scheduled_at


async def read_stream(reader, scheduled_at, result):
    """Read an event stream, each chunk of which holds one event, and record its token times."""
    last = None
    while size := int(await reader.readline(), 16):
        chunk = await reader.readexactly(size + 2)
        if event_id := _EVENT_ID.search(chunk):
            now = time.monotonic()
            if last is None:
                result["first_s"] = now - scheduled_at
            else:
                result["gaps"].append(round(now - last, 5))
            last, result["tokens"] = now, int(event_id[1]) + 1
        elif chunk.startswith(b"event: error"):
            result["outcome"] = error_name(chunk.split(b"data: ", 1)[1])
        elif chunk.startswith(b"data: [DONE]"):
            result["outcome"] = "done"
    if result["outcome"] == "unfinished":
        result["outcome"] = "cut"


def error_name(data):
    """Return the name of the result code in an error body, "unknown" if there is none."""
    try:
        return json.loads(data)["error"]["name"]
    except (ValueError, KeyError, TypeError):
        return "unknown"


async def run(plan):
    """Send all requests; return the results when all have ended or at the plan's end time."""
    results = []
    start = plan["start"]
    tasks = [
        asyncio.create_task(send(plan, arrival, start, results)) for arrival in plan["arrivals"]
    ]
    timeout = max(0.0, start + plan["end_s"] - time.monotonic())
    if tasks:
        await asyncio.wait(tasks, timeout=timeout)
    for task in tasks:
        task.cancel()
    return results


if __name__ == "__main__":
    json.dump(asyncio.run(run(json.load(sys.stdin))), sys.stdout)
