"""Load of the table service from claims and their cleaning: ``python -m bench.claims``.

Counts operations of the decision code over an in-memory table. The baseline is a call without
protection, which needs none.
"""

import argparse
import json
import random

from tests.claimworld import World

from lovageway.claimrows import EPOCH_KEY
from lovageway.controllers.cleaning import BATCH, EPOCH_S, RETAIN_EPOCHS, Cleaning
from lovageway.events import ReadRows, Row, TableAnswered, Transact


class Alone:
    """A fleet of one daemon."""

    node = "d0"

    def live(self):
        """Return the daemon itself."""
        return [self]


class Counting(World):
    """Counts the operations that the table serves."""

    def __init__(self):
        super().__init__(1)
        self.reads = self.writes = self.longest = 0

    def apply(self, effect):
        """Serve one operation."""
        done, found = super().apply(effect)
        if isinstance(effect, ReadRows):
            self.reads += 1
            size = len(json.dumps({key: row.value for key, row in found.items()}))
            self.longest = max(self.longest, size)
        else:
            self.writes += 1
        return done, found


def clean(world, rng):
    """Let one epoch's claims be cleaned; returns the seconds that it took."""
    cleaning, now = Cleaning(Alone(), rng), 0.0
    world.rows[EPOCH_KEY] = Row({"epoch": RETAIN_EPOCHS, "cleaned": -1, "node": "d0"}, 1)
    world.reads = world.writes = world.longest = 0
    while cleaning.dump(now)["cleaned"] < 0:
        now += 0.1
        waiting = []
        cleaning.tick(now, waiting.append)
        for effect in waiting:
            if isinstance(effect, ReadRows | Transact):
                done, found = world.apply(effect)
                answer = TableAnswered(effect.op_id, "ok" if done else "conflict", found)
                cleaning.on_table(answer, now, waiting.append)
    assert not [key for key in world.rows if key.startswith("claim")]
    return now


def main():
    options = argparse.ArgumentParser()
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--calls-per-s", type=float, default=150.0)
    args = options.parse_args()
    count = int(args.calls_per_s * EPOCH_S)
    print(f"seed={args.seed} calls_per_s={args.calls_per_s} epoch_s={EPOCH_S} batch={BATCH}")
    world = Counting()
    for number in range(count):
        world.submit(0, f"key-{number}")
        while steps := world.steps():
            steps[0]("none")
    print(f"calls without protection (baseline): 0 reads, 0 writes; runs: {len(world.runs)}")
    print(f"for each call: {world.reads / count:.2f} reads, {world.writes / count:.2f} writes")
    seconds = clean(world, random.Random(args.seed))
    reads, writes = world.reads, world.writes
    print(f"cleaning one epoch of {count} claims: {reads} reads, {writes} writes, {seconds:.0f} s")
    print(f"that is {reads / EPOCH_S:.2f} reads/s and {writes / EPOCH_S:.2f} writes/s")
    print(f"longest answer to a read of cleaning: {world.longest} bytes")


if __name__ == "__main__":
    main()
