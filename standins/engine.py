"""Stand-in for a model engine: continuous batching, KV memory, prefix cache, preemption, resume.

The prompt controls the generation: ``len=N`` sets the number of output tokens, and ``poison`` makes
the process exit when the sequence joins the batch.
A new process survives `--cold-slots` requests, rising to `--slots` over `--ramp` seconds; after
that, `--slots` more may wait. A request beyond the limit makes the process exit.

In each step, every sequence whose prompt is computed gets one token. The step takes `--step-ms`
(reading the weights), up to a quarter more for the batch size and up to three quarters more for
reading KV memory, plus the computation of at most `--chunk` tokens of waiting prompts.
When memory is full during decoding, the least urgent and then latest sequence is preempted: its
memory is freed, and all its tokens except a cached prefix are computed again later.
``GET /stats`` counts preemptions and stall time (from preemption to the next token) by priority.
``GET /gaps`` returns the times between tokens with their components (`Gap`), and the times to first
tokens (`FirstToken`).
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
WATERMARK = 0.99  # of the memory; a sequence that would exceed it stays waiting
REPORT_INTERVAL_S = 0.02  # between the load reports kept for --load-lag
MAX_GAPS = 200_000  # about 40 MB; a bench run records 15,000 in each engine


class Step(NamedTuple):
    """Start and planned duration of the current step, by component."""

    began: float  # monotonic
    decode_s: float  # reading weights and KV memory, batch size
    prompt_s: float  # computation of new prompts
    again_s: float  # recomputation of preempted sequences


class Gap(NamedTuple):
    """Time between two tokens of a sequence, with the components of the step that ended it."""

    at: float  # monotonic
    priority: int
    gap_s: float
    preempted: bool  # this sequence was preempted between the two tokens
    decode_s: float
    prompt_s: float
    again_s: float
    late_s: float  # excess over the planned duration, caused by the machine


class FirstToken(NamedTuple):
    """Time from the arrival of a sequence to its first token."""

    at: float  # monotonic
    priority: int
    first_s: float
    waited_s: float  # from the arrival until the sequence joined the batch


class Sequence:
    """A generation and its progress."""

    def __init__(self, name, body, arrived):
        prompt = body["prompt"]
        found = re.search(r"len=(\d+)", prompt)
        length = int(found[1]) if found else 16 + len(prompt) % 16
        self.name = name
        self.target_tokens = min(length, body["max_tokens"])
        self.prompt_tokens = len(prompt) // CHARS_PER_TOKEN + 1
        full_blocks = len(prompt) // BLOCK_CHARS
        self.blocks = [hash(prompt[: (n + 1) * BLOCK_CHARS]) for n in range(full_blocks)]
        self.priority = body.get("priority", 0)
        self.poison = "poison" in prompt
        self.arrived = arrived
        self.decoded = 0  # tokens
        self.uncomputed = 0  # tokens to compute before the next token can be decoded
        self.read_at = arrived  # when a client last read the stream
        self.cancelled = False
        self.preempted_at = None
        self.joined_at = None
        self.token_at = None  # when the latest token was decoded

    def memory_tokens(self):
        return self.prompt_tokens + self.decoded


class PrefixCache:
    """Cached blocks of prompts: pinned in use by running sequences, otherwise evictable."""

    def __init__(self):
        self.pinned = Counter()  # block -> number of running sequences that use it
        self.free = OrderedDict()  # unpinned blocks, the least recently used first

    def join(self, seq):
        """Pin the blocks of a sequence and return how many of its tokens were cached."""
        cached = [key in self.free or self.pinned[key] > 0 for key in seq.blocks]
        hit = cached.index(False) if False in cached else len(cached)
        self.pinned.update(seq.blocks)
        for key in seq.blocks:
            self.free.pop(key, None)
        return hit * BLOCK_TOKENS

    def leave(self, seq):
        """Unpin the blocks of a sequence, so that they can be evicted."""
        self.pinned.subtract(seq.blocks)
        self.pinned += Counter()  # removes keys with a count of zero
        for key in seq.blocks:
            self.free[key] = True
            self.free.move_to_end(key)

    def trim(self, tokens):
        """Evict the least recently used blocks that exceed `tokens` of free memory."""
        while self.free and len(self.free) * BLOCK_TOKENS > tokens:
            self.free.popitem(last=False)


class Engine:
    """An engine: one thread runs the steps, request handlers use `cond` to access the state."""

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
        self.stall_s = Counter()  # by priority
        self.totals = Counter()
        self.gaps = deque(maxlen=MAX_GAPS)
        self.firsts = deque(maxlen=MAX_GAPS)
        self.orders = []
        self.fencing = 0
        self.state = "ready"
        self.reports = deque([(0.0, self.report())])  # (monotonic time, load report)
        self.rejects_new = False  # answer 503 to new generations, whatever the load report says
        self.start_requests = 0
        self.step = Step(0.0, 0.0, 0.0, 0.0)
        threading.Thread(target=self.run_steps, daemon=True).start()

    def capacity(self):
        """Return how many requests the process survives during its ramp."""
        fraction = min(1.0, (time.monotonic() - self.started) / max(self.args.ramp, 0.001))
        return max(self.args.cold_slots, int(self.args.slots * fraction))

    def used_tokens(self):
        return sum(seq.memory_tokens() for seq in self.running)

    def run_steps(self):
        """Run steps forever; the thread sleeps for the duration of each one."""
        while True:
            with self.cond:
                self.admit()
                self.record_report()
                if not self.running:
                    self.cond.wait(0.05)
                    self.drop_unread()
                    continue
                self.step = Step(time.monotonic(), *self.step_parts(*self.compute_prompts()))
            time.sleep(sum(self.step[1:]))
            with self.cond:
                self.finish_step()
                self.drop_unread()
                self.cond.notify_all()

    def step_parts(self, new, recomputed):
        """Return the seconds that a step takes for decoding, new prompts and recomputation."""
        batch = len(self.running) / self.args.slots
        memory = min(1.0, self.used_tokens() / self.args.memory)
        decode = self.args.step_ms / 1000 * (1 + 0.25 * batch + 0.75 * memory)
        self.totals["steps"] += 1
        self.totals["prompt_tokens_computed"] += new + recomputed
        self.totals["preempted_tokens_computed"] += recomputed
        return decode, new / self.args.prefill_per_s, recomputed / self.args.prefill_per_s

    def admit(self):
        """Move waiting sequences into the batch, the most urgent and then the oldest first."""
        self.waiting.sort(key=lambda seq: (seq.priority, seq.arrived))
        used = self.used_tokens()
        while self.waiting and len(self.running) < self.args.slots:
            seq = self.waiting[0]
            if used + seq.memory_tokens() > self.args.memory * WATERMARK and self.running:
                break
            self.waiting.pop(0)
            if seq.poison:
                os._exit(1)
            self.running.append(seq)
            seq.joined_at = seq.joined_at or time.monotonic()
            used += seq.memory_tokens()
            hit = self.cache.join(seq)
            seq.uncomputed = max(1, seq.memory_tokens() - hit)
            self.totals["prompt_tokens_cached"] += hit

    def compute_prompts(self):
        """Compute up to a chunk of tokens and return the counts for new and preempted sequences."""
        remaining, counts = self.args.chunk, [0, 0]
        for seq in self.running:
            tokens = min(remaining, seq.uncomputed)
            seq.uncomputed -= tokens
            remaining -= tokens
            counts[seq.preempted_at is not None] += tokens
        return counts

    def finish_step(self):
        """Decode one token of each computed sequence and preempt while memory is exceeded."""
        now = time.monotonic()
        for seq in list(self.running):
            if seq.uncomputed:
                continue
            seq.decoded += 1
            self.record_token(seq, now)
            if seq.preempted_at is not None:
                self.stall_s[seq.priority] += now - seq.preempted_at
                seq.preempted_at = None
            if seq.decoded >= seq.target_tokens or seq.cancelled:
                self.remove_from_batch(seq)
        while self.used_tokens() > self.args.memory and len(self.running) > 1:
            seq = max(self.running, key=lambda seq: (seq.priority, seq.arrived))
            self.remove_from_batch(seq)
            seq.preempted_at = seq.preempted_at or now
            self.waiting.append(seq)
            self.preemptions[seq.priority] += 1
        self.cache.trim(min(self.args.cache, self.args.memory - self.used_tokens()))

    def record_token(self, seq, now):
        """Record the time since the previous token of a sequence, or since its arrival."""
        if seq.token_at is not None:
            step, preempted = self.step, seq.preempted_at is not None
            late = now - step.began - sum(step[1:])
            gap = now - seq.token_at
            self.gaps.append(Gap(now, seq.priority, gap, preempted, *step[1:], late))
        else:
            waited = seq.joined_at - seq.arrived
            self.firsts.append(FirstToken(now, seq.priority, now - seq.arrived, waited))
        seq.token_at = now

    def remove_from_batch(self, seq):
        self.running.remove(seq)
        self.cache.leave(seq)

    def drop_unread(self):
        """Drop generations that no client has read for `--keep-s`."""
        oldest_read = time.monotonic() - self.args.keep_s
        for name in [name for name, seq in self.sequences.items() if seq.read_at < oldest_read]:
            self.drop(name)

    def drop(self, name):
        seq = self.sequences.pop(name, None)
        if seq is not None:
            seq.cancelled = True
            self.waiting = [other for other in self.waiting if other is not seq]
            if seq in self.running:
                self.remove_from_batch(seq)

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
                fields = json.loads(data)
                self.state = fields.get("state", self.state)
                self.rejects_new = fields.get("refuse", self.rejects_new)
                return Reply(200, {"orders": self.orders, "starts": self.start_requests}, headers)
            case "POST", ["orders"]:
                return self.apply_order(json.loads(data), headers)
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
            "memory_used": self.used_tokens(),
            "memory_capacity": self.args.memory,
            "state": self.state,
            "preemptions": self.preemptions.total(),
            "stall_ms": self.stall_s.total() * 1000,
        }

    def record_report(self):
        """Record the load report, and discard those older than needed for `--load-lag`."""
        now = time.monotonic()
        if self.args.load_lag and now - self.reports[-1][0] >= REPORT_INTERVAL_S:
            self.reports.append((now, self.report()))
            while len(self.reports) > 1 and self.reports[1][0] <= now - self.args.load_lag:
                self.reports.popleft()

    def load(self):
        with self.cond:
            if not self.args.load_lag:
                return self.report()
            self.record_report()
            return {**self.reports[0][1], "state": self.state}

    def stats(self):
        with self.cond:
            now, stall = time.monotonic(), Counter(self.stall_s)
            for seq in self.waiting + self.running:
                if seq.preempted_at is not None:
                    stall[seq.priority] += now - seq.preempted_at
            return {"preemptions": self.preemptions, "stall_s": stall, **self.totals}

    def apply_order(self, order, headers):
        with self.cond:
            if self.args.check_fencing and order["fencing"] < self.fencing:
                return Reply(409, {"fencing": self.fencing}, headers)
            self.fencing = max(self.fencing, order["fencing"])
            self.orders.append({**order, "at": time.monotonic()})
        return Reply(200, {}, headers)

    def start(self, name, body, headers):
        with self.cond:
            self.start_requests += 1
            if self.rejects_new:
                return Reply(503, {"error": "overloaded"}, headers)
            if name in self.sequences:
                return Reply(409, {"error": "generation exists"}, headers)
            if len(self.running) + len(self.waiting) + 1 > self.capacity() + self.args.slots * (
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
        while offset < seq.target_tokens and not seq.cancelled:
            with self.cond:
                self.cond.wait_for(lambda at=offset: seq.decoded > at or seq.cancelled, 1.0)
                ready = range(offset, seq.decoded)
            seq.read_at = time.monotonic()
            # The SSE comment proves that the connection is alive while the sequence waits.
            yield b"".join(self.event(seq, number) for number in ready) or b": waiting\n\n"
            offset = max(offset, ready.stop)
        yield b"data: [DONE]\n\n"

    @staticmethod
    def event(seq, number):
        reason = "stop" if number == seq.target_tokens - 1 else None
        choice = {"index": 0, "text": f"{seq.name}:{number} ", "finish_reason": reason}
        return f"id: {number}\ndata: {json.dumps({'choices': [choice]})}\n\n".encode()


if __name__ == "__main__":
    options = parser()
    options.add_argument("--slots", type=int, default=16)
    options.add_argument("--cold-slots", type=int, default=2)
    options.add_argument("--ramp", type=float, default=0.0)
    options.add_argument("--memory", type=int, default=16000, help="tokens of KV memory")
    options.add_argument("--step-ms", type=float, default=10.0)
    # A generation that no client reads is dropped after this time.
    options.add_argument("--keep-s", type=float, default=60.0)
    options.add_argument("--check-fencing", action="store_true")
    options.add_argument("--prefill-per-s", type=float, default=20000.0)
    options.add_argument("--chunk", type=int, default=2048)
    options.add_argument("--cache", type=int, default=1 << 30, help="limit of cached prompt tokens")
    options.add_argument("--load-lag", type=float, default=0.0)
    args = options.parse_args()
    serve(Engine(args).handle, args.listen, threads=300)
