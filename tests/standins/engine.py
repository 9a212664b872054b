"""Stand-in for a model engine: continuous batching, memory for each token, preemption, resume.

The prompt decides what happens: ``len=N`` gives the number of output tokens, ``poison``
ends the process.
A process that has just started bears `--cold-slots` requests, rising to `--slots` over `--ramp`
seconds; one request more ends it.
"""

import json
import os
import re
import secrets
import threading
import time

from tests.standins.web import Reply, parser, serve

PREFILL_TOKENS_PER_S = 20000


class Sequence:
    def __init__(self, name, body, arrived):
        prompt = body["prompt"]
        found = re.search(r"len=(\d+)", prompt)
        wanted = int(found[1]) if found else 16 + len(prompt) % 16
        self.name = name
        self.wanted = min(wanted, body["max_tokens"])
        self.prompt_tokens = len(prompt) // 4 + 1
        self.priority = body.get("priority", 0)
        self.poison = "poison" in prompt
        self.arrived = arrived
        self.done = 0  # tokens decoded
        self.seen = arrived  # when a reader last took a token
        self.cancelled = False
        self.preempted_at = None

    def memory(self):
        return self.prompt_tokens + self.done


class Engine:
    def __init__(self, args):
        self.args = args
        self.start_id = secrets.token_hex(4)
        self.started = time.monotonic()
        self.cond = threading.Condition()
        self.sequences = {}
        self.running = []
        self.waiting = []
        self.preemptions = 0
        self.stall_s = 0.0
        self.orders = []
        self.fencing = 0
        self.state = "ready"
        threading.Thread(target=self.decode, daemon=True).start()

    def bears(self):
        part = min(1.0, (time.monotonic() - self.started) / max(self.args.ramp, 0.001))
        return max(self.args.cold_slots, int(self.args.slots * part))

    def decode(self):
        """Run one step after another; each running sequence gets one token a step."""
        while True:
            with self.cond:
                prefill = self.admit()
                busy = len(self.running)
                if not busy:
                    self.cond.wait(0.05)
                    self.expire()
                    continue
            step = self.args.step_ms * (1 + busy / self.args.slots) / 1000
            time.sleep(step + prefill / PREFILL_TOKENS_PER_S)
            with self.cond:
                self.step()
                self.expire()
                self.cond.notify_all()

    def admit(self):
        """Move waiting sequences into the batch; returns the prompt tokens to compute."""
        prefill = 0
        self.waiting.sort(key=lambda seq: (seq.priority, seq.arrived))
        used = sum(seq.memory() for seq in self.running)
        while self.waiting and len(self.running) < self.args.slots:
            seq = self.waiting[0]
            if used + seq.memory() > self.args.memory and self.running:
                break
            self.waiting.pop(0)
            if seq.preempted_at is not None:
                self.stall_s += time.monotonic() - seq.preempted_at
                seq.preempted_at = None
            if seq.poison:
                os._exit(1)
            self.running.append(seq)
            used += seq.memory()
            prefill += seq.memory()
        return prefill

    def step(self):
        for seq in list(self.running):
            seq.done += 1
            if seq.done >= seq.wanted or seq.cancelled:
                self.running.remove(seq)
        while (
            sum(seq.memory() for seq in self.running) > self.args.memory and len(self.running) > 1
        ):
            seq = max(self.running, key=lambda seq: (seq.priority, seq.arrived))
            self.running.remove(seq)
            seq.preempted_at = time.monotonic()
            self.waiting.append(seq)
            self.preemptions += 1

    def expire(self):
        old = time.monotonic() - self.args.keep_s
        for name in [name for name, seq in self.sequences.items() if seq.seen < old]:
            self.drop(name)

    def drop(self, name):
        seq = self.sequences.pop(name, None)
        if seq is not None:
            seq.cancelled = True
            self.waiting = [other for other in self.waiting if other is not seq]
            self.running = [other for other in self.running if other is not seq]

    def handle(self, method, parts, query, data, environ):
        headers = [("X-Start-Id", self.start_id)]
        match method, parts:
            case "GET", ["load"]:
                return Reply(200, self.load(), headers)
            case "POST", ["control"]:
                self.state = json.loads(data).get("state", self.state)
                return Reply(200, {"orders": self.orders}, headers)
            case "POST", ["orders"]:
                return self.order(json.loads(data), headers)
            case "POST", ["v1", "completions"]:
                return self.start(environ["HTTP_X_GENERATION_ID"], json.loads(data), headers)
            case "GET", ["v1", "generations", name]:
                return self.stream(name, int(query.get("offset", 0)), headers)
            case "DELETE", ["v1", "generations", name]:
                with self.cond:
                    self.drop(name)
                    self.cond.notify_all()
                return Reply(200, {}, headers)
        return Reply(404, {}, headers)

    def load(self):
        with self.cond:
            return {
                "start_id": self.start_id,
                "running": len(self.running),
                "waiting": len(self.waiting),
                "memory_used": sum(seq.memory() for seq in self.running),
                "memory_capacity": self.args.memory,
                "state": self.state,
                "preemptions": self.preemptions,
                "stall_ms": self.stall_s * 1000,
            }

    def order(self, order, headers):
        with self.cond:
            if self.args.check_fencing and order["fencing"] < self.fencing:
                return Reply(409, {"fencing": self.fencing}, headers)
            self.fencing = max(self.fencing, order["fencing"])
            self.orders.append({**order, "at": time.monotonic()})
        return Reply(200, {}, headers)

    def start(self, name, body, headers):
        with self.cond:
            if name in self.sequences:
                return Reply(409, {"error": "generation exists"}, headers)
            if len(self.running) + len(self.waiting) + 1 > self.bears() + self.args.slots * (
                time.monotonic() - self.started > self.args.ramp
            ):
                os._exit(2)
            self.sequences[name] = seq = Sequence(name, body, time.monotonic())
            self.waiting.append(seq)
            self.cond.notify_all()
        return self.stream(name, 0, headers)

    def stream(self, name, offset, headers):
        with self.cond:
            seq = self.sequences.get(name)
        if seq is None:
            return Reply(404, {}, headers)
        headers = [*headers, ("X-Generation-Id", name), ("Content-Type", "text/event-stream")]
        return Reply(200, headers=headers, body=self.events(seq, offset))

    def events(self, seq, offset):
        yield b": accepted\n\n"
        while offset < seq.wanted and not seq.cancelled:
            with self.cond:
                while seq.done <= offset and not seq.cancelled:
                    self.cond.wait(1.0)
                    seq.seen = time.monotonic()
                ready = range(offset, seq.done)
            lines = [self.event(seq, number) for number in ready]
            offset = ready.stop
            seq.seen = time.monotonic()
            yield b"".join(lines)
        yield b"data: [DONE]\n\n"

    @staticmethod
    def event(seq, number):
        reason = "stop" if number == seq.wanted - 1 else None
        choice = {"index": 0, "text": f"{seq.name}:{number} ", "finish_reason": reason}
        return f"id: {number}\ndata: {json.dumps({'choices': [choice]})}\n\n".encode()


if __name__ == "__main__":
    options = parser()
    options.add_argument("--slots", type=int, default=16)
    options.add_argument("--cold-slots", type=int, default=2)
    options.add_argument("--ramp", type=float, default=0.0)
    options.add_argument("--memory", type=int, default=16000)
    options.add_argument("--step-ms", type=float, default=10.0)
    # A generation without a reader is dropped after this time.
    options.add_argument("--keep-s", type=float, default=60.0)
    options.add_argument("--check-fencing", action="store_true")
    args = options.parse_args()
    serve(Engine(args).handle, args.listen, threads=300)
