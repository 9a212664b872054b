"""Demo: starts a local deployment, requests a summary and a refund, prints its state, stops it."""

import json
import signal
import sys

from tests.builders import JAR_ZONES, jar_returns_rows

from standins.fleet import Fleet, http

KEY = {"Authorization": "Bearer clerks-key"}


def start(fleet):
    for number in range(6):
        zone = JAR_ZONES[number % 3]
        fleet.backend(f"crock-{number}", "crock-llm", zone, "engine", "--step-ms", "20")
    for number, zone in enumerate(JAR_ZONES):
        fleet.backend(f"counter-{number}", "counter-app", zone, "plain")
        fleet.daemon(f"entry-{number}", zone)
    fleet.begin(jar_returns_rows())


def discover(address, service):
    """Query a daemon for the addresses of a service and return the first one."""
    url = f"http://{address}/v1/discovery?service={service}"
    answer = json.loads(http.request("GET", url, headers=KEY).data)
    print(f"discovery for {service}: {answer}")
    return answer["addresses"][0]


def summary(address):
    """Return the words of a summary."""
    return request_summary(address)[0]


def request_summary(address):
    """Return the words of a streamed summary, and its status with all other lines of the stream."""
    body = {"model": "crock-llm", "prompt": "Route summary, len=40", "stream": True}
    url = f"http://{address}/v1/completions"
    resp = http.request("POST", url, json=body, headers=KEY, preload_content=False)
    texts, other_lines = [], []
    for line in resp:
        event = json.loads(line[6:]) if line.startswith(b"data: {") else {}
        if "choices" in event:
            texts.append(event["choices"][0]["text"])
            print(texts[-1], end="", flush=True)
        elif line.strip():
            other_lines.append(line.decode(errors="replace").strip())
    print()
    return "".join(texts).split(), f"{resp.status}, besides tokens {other_lines}"


def refund(address):
    url = f"http://{address}/v1/services/counter-app/refund"
    headers = {**KEY, "Idempotency-Key": "demo-refund-1"}
    resp = http.request("POST", url, json={"jar": 17, "amount": 500}, headers=headers)
    return resp.status, json.loads(resp.data)


def main():
    with Fleet() as fleet:
        start(fleet)
        first = next(iter(fleet.daemons.values()))
        words, details = request_summary(discover(first.address, "crock-llm"))
        if [int(word.rpartition(":")[2]) for word in words] != list(range(40)):
            sys.exit(f"the summary is not whole and in order: {words}, status {details}")
        status, answer = refund(discover(first.address, "counter-app"))
        print("refund:", status, answer)
        if status != 200:
            sys.exit("the refund was refused")
        for name, daemon in fleet.daemons.items():
            dump = fleet.admin(daemon, "/admin/dump")
            live = [member["node"] for member in dump["membership"]["live"]]
            version = dump["configuration"]["version"]
            print(f"{name}: configuration {version}, live daemons {live}")
        for daemon in fleet.daemons.values():
            daemon.signal(signal.SIGTERM)
        codes = {name: daemon.popen.wait(30) for name, daemon in fleet.daemons.items()}
        print("exit codes:", codes)
        if any(codes.values()):
            sys.exit("a daemon did not stop gracefully")


if __name__ == "__main__":
    main()
