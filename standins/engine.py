"""Stand-in for a model engine: continuous batching, KV memory, prefix cache, preemption, resume.

The prompt decides what happens: ``len=N`` gives the number of output tokens, ``poison``
ends the process.
A process that has just started bears `--cold-slots` requests, rising to `--slots` over `--ramp`
seconds; one request more ends it.

The model of a step: every sequence whose prompt is computed gets one token. The step takes
`--step-ms` (reading the weights), up to a quarter more for the batch size and up to three quarters
more for reading KV memory, plus the computation of waiting prompts, at most `--chunk` tokens.
When memory is full in the middle of decoding, the least urgent and then latest sequence is
preempted: its memory is dropped and all its tokens but a cached prefix are computed again later.
``GET /stats`` counts preemptions and stall time (preempted until the next token) by priority.
``GET /gaps`` returns the times between tokens with what they consist of (`Gap`), and
first tokens (`First`).
"""

import json
import os
import re
import secrets
import threading
import time
from collections import Counter, OrderedDict, deque
from typing import NamedTuple

from standins.wsgiserver import Reply, parser, serve

CHARS_PER_TOKEN = 4
BLOCK_TOKENS = 64  # unit of the prefix cache
BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
WATERMARK = 0.99  # a sequence joins the batch only below this part of the memory
HISTORY_S = 0.02  # distance of the load reports kept for --load-lag
MAX_GAPS = 200_000  # about 40 MB; a bench run records 15,000 in each engine


class Step(NamedTuple):
    """What the present step consists of, in seconds."""

    began: float
    decode_s: float  # for batch and memory
    prompt_s: float  # computation of new prompts
    again_s: float  # computation of sequences that were preempted


class Gap(NamedTuple):
    """Time between two tokens of a sequence; the parts are those of the step that ended it."""

    at: float  # monotonic
    priority: int
    gap_s: float
    preempted: bool  # the sequence itself was preempted in between
    decode_s: float
    prompt_s: float
    again_s: float
    late_s: float  # by which the step took longer than planned (the machine's delay)


class FirstToken(NamedTuple):
    """Time from the arrival of a sequence to its first token."""

    at: float  # monotonic
    priority: int
    first_s: float
    waited_s: float  # until the sequence joined the batch


class Sequence:
    def __init__(self, name, body, arrived):
        prompt = body["prompt"]
        found = re.search(r"len=(\d+)", prompt)
        wanted = int(found[1]) if found else 16 + len(prompt) % 16
        self.name = name
        self.wanted = min(wanted, body["max_tokens"])
        self.prompt_tokens = len(prompt) // CHARS_PER_TOKEN + 1
        whole = len(prompt) // BLOCK_CHARS
        self.blocks = [hash(prompt[: (n + 1) * BLOCK_CHARS]) for n in range(whole)]
        self.priority = body.get("priority", 0)
        self.poison = "poison" in prompt
        self.arrived = arrived
        self.done = 0  # tokens decoded
        self.left = 0  # tokens to compute before the next one is decoded
        self.seen = arrived  # when a reader last took a token
        self.cancelled = False
        self.preempted_at = None
        self.joined_at = None
        self.token_at = None  # when the last token was decoded

    def memory(self):
        return self.prompt_tokens + self.done


class PrefixCache:
    """Blocks of prompts: those of running sequences, and in free memory the latest others."""

    def __init__(self):
        self.pinned = Counter()
        self.free = OrderedDict()

    def join(self, seq):
        """Keep the blocks of a sequence; returns its tokens that need no computation."""
        known = [key in self.free or self.pinned[key] > 0 for key in seq.blocks]
        hit = known.index(False) if False in known else len(known)
        self.pinned.update(seq.blocks)
        for key in seq.blocks:
            self.free.pop(key, None)
        return hit * BLOCK_TOKENS

    def leave(self, seq):
        """Let the blocks of a sequence be dropped when memory is needed."""
        self.pinned.subtract(seq.blocks)
        self.pinned += Counter()  # drops keys that are at zero
        for key in seq.blocks:
            self.free[key] = True
            self.free.move_to_end(key)

    def trim(self, tokens):
        """Drop the oldest blocks beyond the free memory."""
        while self.free and len(self.free) * BLOCK_TOKENS > tokens:
            self.free.popitem(last=False)


class Engine:
    def __init__(self, args):
        self.args = args
        self.start_id = secrets.token_hex(4)
        self.started = time.monotonic()
        self.cond = threading.Condition()
        self.sequences = {}
        self.running = []
        self.waiting = []
        self.cache = PrefixCache()
        self.preemptions = Counter()  # by priority
        self.stall_s = Counter()
        self.totals = Counter()
        self.gaps = deque(maxlen=MAX_GAPS)
        self.firsts = deque(maxlen=MAX_GAPS)
        self.orders = []
        self.fencing = 0
        self.state = "ready"
        self.reports = deque([(0.0, self.report())])
        self.refuse = False  # answer 503 to new generations, though the load report says "ready"
        self.starts = 0
        self.now = Step(0.0, 0.0, 0.0, 0.0)
        threading.Thread(target=self.decode, daemon=True).start()

    def bears(self):
        part = min(1.0, (time.monotonic() - self.started) / max(self.args.ramp, 0.001))
        return max(self.args.cold_slots, int(self.args.slots * part))

    def used(self):
        return sum(seq.memory() for seq in self.running)

    def decode(self):
        """Run one step after another."""
        while True:
            with self.cond:
                self.admit()
                self.remember()
                if not self.running:
                    self.cond.wait(0.05)
                    self.expire()
                    continue
                self.now = Step(time.monotonic(), *self.step_parts(*self.compute_prompts()))
            time.sleep(sum(self.now[1:]))
            with self.cond:
                self.step()
                self.expire()
                self.cond.notify_all()

    def step_parts(self, new, again):
        """Return the seconds of a step for decoding, new prompts and preempted sequences."""
        batch = len(self.running) / self.args.slots
        memory = min(1.0, self.used() / self.args.memory)
        decode = self.args.step_ms / 1000 * (1 + 0.25 * batch + 0.75 * memory)
        self.totals["steps"] += 1
        self.totals["prompt_tokens_computed"] += new + again
        self.totals["preempted_tokens_computed"] += again
        return decode, new / self.args.prefill_per_s, again / self.args.prefill_per_s

    def admit(self):
        """Move waiting sequences into the batch."""
        self.waiting.sort(key=lambda seq: (seq.priority, seq.arrived))
        used = self.used()
        while self.waiting and len(self.running) < self.args.slots:
            seq = self.waiting[0]
            if used + seq.memory() > self.args.memory * WATERMARK and self.running:
                break
            self.waiting.pop(0)
            if seq.poison:
                os._exit(1)
            self.running.append(seq)
            seq.joined_at = seq.joined_at or time.monotonic()
            used += seq.memory()
            hit = self.cache.join(seq)
            seq.left = max(1, seq.memory() - hit)
            self.totals["prompt_tokens_cached"] += hit

    def compute_prompts(self):
        """Compute up to a chunk of prompt tokens; returns those of new and of preempted ones."""
        room, parts = self.args.chunk, [0, 0]
        for seq in self.running:
            part = min(room, seq.left)
            seq.left -= part
            room -= part
            parts[seq.preempted_at is not None] += part
        return parts

    def step(self):
        now = time.monotonic()
        for seq in list(self.running):
            if seq.left:
                continue
            seq.done += 1
            self.record(seq, now)
            if seq.preempted_at is not None:
                self.stall_s[seq.priority] += now - seq.preempted_at
                seq.preempted_at = None
            if seq.done >= seq.wanted or seq.cancelled:
                self.stop(seq)
        while self.used() > self.args.memory and len(self.running) > 1:
            seq = max(self.running, key=lambda seq: (seq.priority, seq.arrived))
            self.stop(seq)
            seq.preempted_at = seq.preempted_at or now
            self.waiting.append(seq)
            self.preemptions[seq.priority] += 1
        self.cache.trim(min(self.args.cache, self.args.memory - self.used()))

    def record(self, seq, now):
        """Note what the time since the sequence's last token consists of."""
        if seq.token_at is not None:
            step, preempted = self.now, seq.preempted_at is not None
            late = now - step.began - sum(step[1:])
            gap = now - seq.token_at
            self.gaps.append(Gap(now, seq.priority, gap, preempted, *step[1:], late))
        else:
            waited = seq.joined_at - seq.arrived
            self.firsts.append(FirstToken(now, seq.priority, now - seq.arrived, waited))
        seq.token_at = now

    def stop(self, seq):
        self.running.remove(seq)
        self.cache.leave(seq)

    def expire(self):
        old = time.monotonic() - self.args.keep_s
        for name in [name for name, seq in self.sequences.items() if seq.seen < old]:
            self.drop(name)

    def drop(self, name):
        seq = self.sequences.pop(name, None)
        if seq is not None:
            seq.cancelled = True
            self.waiting = [other for other in self.waiting if other is not seq]
            if seq in self.running:
                self.stop(seq)

    def handle(self, method, parts, query, data, environ):
        headers = [("X-Start-Id", self.start_id)]
        match method, parts:
            case "GET", ["load"]:
                return Reply(200, self.load(), headers)
            case "GET", ["stats"]:
                return Reply(200, self.stats(), headers)
            case "GET", ["gaps"]:
                with self.cond:
                    return Reply(200, [list(self.gaps), list(self.firsts)], headers)
            case "POST", ["control"]:
                wanted = json.loads(data)
                self.state = wanted.get("state", self.state)
                self.refuse = wanted.get("refuse", self.refuse)
                return Reply(200, {"orders": self.orders, "starts": self.starts}, headers)
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

    def report(self):
        return {
            "start_id": self.start_id,
            "running": len(self.running),
            "waiting": len(self.waiting),
            "memory_used": self.used(),
            "memory_capacity": self.args.memory,
            "state": self.state,
            "preemptions": self.preemptions.total(),
            "stall_ms": self.stall_s.total() * 1000,
        }

    def remember(self):
        """Keep reports for as long as the lag lasts."""
        now = time.monotonic()
        if self.args.load_lag and now - self.reports[-1][0] >= HISTORY_S:
            self.reports.append((now, self.report()))
            while len(self.reports) > 1 and self.reports[1][0] <= now - self.args.load_lag:
                self.reports.popleft()

    def load(self):
        with self.cond:
            if not self.args.load_lag:
                return self.report()
            self.remember()
            return {**self.reports[0][1], "state": self.state}

    def stats(self):
        with self.cond:
            now, stall = time.monotonic(), Counter(self.stall_s)
            for seq in self.waiting + self.running:
                if seq.preempted_at is not None:
                    stall[seq.priority] += now - seq.preempted_at
            return {"preemptions": self.preemptions, "stall_s": stall, **self.totals}

    def order(self, order, headers):
        with self.cond:
            if self.args.check_fencing and order["fencing"] < self.fencing:
                return Reply(409, {"fencing": self.fencing}, headers)
            self.fencing = max(self.fencing, order["fencing"])
            self.orders.append({**order, "at": time.monotonic()})
        return Reply(200, {}, headers)

    def start(self, name, body, headers):
        with self.cond:
            self.starts += 1
            if self.refuse:
                return Reply(503, {"error": "overloaded"}, headers)
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
                self.cond.wait_for(lambda at=offset: seq.done > at or seq.cancelled, 1.0)
                ready = range(offset, seq.done)
            seq.seen = time.monotonic()
            # The comment shows that the link is alive while the sequence waits.
            yield b"".join(self.event(seq, number) for number in ready) or b": waiting\n\n"
            offset = max(offset, ready.stop)
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
    options.add_argument("--memory", type=int, default=16000, help="tokens of KV memory")
    options.add_argument("--step-ms", type=float, default=10.0)
    # A generation without a reader is dropped after this time.
    options.add_argument("--keep-s", type=float, default=60.0)
    options.add_argument("--check-fencing", action="store_true")
    options.add_argument("--prefill-per-s", type=float, default=20000.0)
    options.add_argument("--chunk", type=int, default=2048)
    options.add_argument("--cache", type=int, default=1 << 30, help="most tokens of cached prompts")
    options.add_argument("--load-lag", type=float, default=0.0)
    args = options.parse_args()
    serve(Engine(args).handle, args.listen, threads=300)
