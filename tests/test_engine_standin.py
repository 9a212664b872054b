"""Tests of the engine stand-in: step time, prefix cache, preemption by priority, report lag."""

import argparse
import time
import unittest

from standins.engine import Engine, PrefixCache, Sequence
from standins.fleet import wait_for

DEFAULTS = {
    "slots": 16,
    "cold_slots": 16,
    "ramp": 0.0,
    "memory": 1000,
    "step_ms": 1.0,
    "check_fencing": False,
    "prefill_per_s": 1e6,
    "chunk": 2048,
    "cache": 1 << 30,
    "load_lag": 0.0,
    "keep_s": 60.0,
}


def engine(**changes):
    return Engine(argparse.Namespace(**{**DEFAULTS, **changes}))


def body(tokens, prompt="", priority=0):
    text = f"len={tokens} {prompt}"
    return {"prompt": text, "max_tokens": tokens, "priority": priority}


class Decoding(unittest.TestCase):
    def test_full_memory_preempts_batch_and_every_token_still_comes(self):
        # Guards against a stand-in on which overcommitted memory costs nothing, and against tokens
        # that preemption loses or duplicates.
        standin = engine(memory=600)
        for number in range(4):
            standin.start(f"b{number}", body(250, priority=10), [])
        standin.start("i", body(100), [])
        sequences = list(standin.sequences.values())
        wait_for(lambda: all(seq.decoded == seq.target_tokens for seq in sequences), "all tokens")
        stats = standin.stats()
        self.assertGreater(stats["preemptions"][10], 0)
        self.assertEqual(stats["preemptions"][0], 0)
        self.assertGreater(stats["stall_s"][10], 0)
        self.assertEqual(standin.load()["preemptions"], stats["preemptions"][10])
        self.assert_gaps_add_up(standin, sequences, stats["preemptions"][10])

    def assert_gaps_add_up(self, standin, sequences, preemptions):
        # Guards against measurements that attribute a gap to the wrong component of a step.
        self.assertEqual(len(standin.gaps), sum(seq.target_tokens - 1 for seq in sequences))
        resumed = [gap for gap in standin.gaps if gap.preempted]
        self.assertTrue(0 < len(resumed) <= preemptions)
        self.assertTrue(all(gap.again_s > 0 for gap in resumed))
        for gap in standin.gaps:
            parts = gap.decode_s + gap.prompt_s + gap.again_s + gap.late_s
            self.assertTrue(parts <= gap.gap_s + 1e-9, gap)

    def test_steps_get_longer_with_memory_and_prompts(self):
        # Guards against an engine on which overload costs nothing.
        standin = engine(prefill_per_s=1000.0)
        idle = sum(standin.step_parts(0, 0))
        self.assertAlmostEqual(sum(standin.step_parts(60, 40)) - idle, 0.1)
        with standin.cond:
            standin.running = [Sequence("s", body(10, "x" * 3200), time.monotonic())]
            self.assertGreater(sum(standin.step_parts(0, 0)), 1.4 * idle)
            standin.running = []

    def test_a_load_report_lags(self):
        # Guards against measurements with load reports that are fresher than those of the platform.
        standin = engine(load_lag=30.0)
        standin.start("s", body(400), [])
        wait_for(lambda: standin.report()["running"] == 1, "a running sequence")
        self.assertEqual(standin.load()["running"], 0)


class Cache(unittest.TestCase):
    def test_a_cached_prefix_is_not_computed_again(self):
        # Guards against a cache without hits, or with hits for prompts that differ.
        cache = PrefixCache()
        first = Sequence("a", body(1, "p" * 1024), 0.0)
        same = Sequence("b", body(1, "p" * 2048), 0.0)
        other = Sequence("c", body(1, "q" * 2048), 0.0)
        self.assertEqual([cache.join(seq) for seq in (first, same, other)], [0, 256, 0])

    def test_blocks_of_ended_sequences_are_evicted_first_when_memory_fills(self):
        # Guards against a cache that never evicts blocks.
        cache = PrefixCache()
        first, second = (Sequence(name, body(1, name * 1024), 0.0) for name in "ab")
        cache.join(first)
        cache.join(second)
        cache.leave(first)
        cache.trim(0)
        self.assertEqual((cache.join(first), cache.join(second)), (0, 256))


if __name__ == "__main__":
    unittest.main()
