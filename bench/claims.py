"""Load that claims and their cleaning put on the table service: ``python -m bench.claims``.

Counts the operations that the decision code sends to an in-memory table. The baseline is a call
without protection against duplicates, which needs no operations.
"""

import argparse
import json
import random

from tests.claimworld import World

from lovageway.claimrows import EPOCH_KEY
from lovageway.controllers.cleaning import BATCH, EPOCH_S, RETAIN_EPOCHS, Cleaning
from lovageway.events import ReadRows, Row, TableAnswered, Transact


class SingleDaemon:
    """Membership of a fleet that has one daemon only."""

    node = "d0"

    def live(self):
        """Return the only daemon."""
        return [self]


class CountingWorld(World):
    """World whose table counts its reads and writes and the size of its largest answer."""

    def __init__(self):
        super().__init__(1)
        self.reads = self.writes = self.largest_read_bytes = 0

    def apply(self, effect):
        """Apply one table operation and count it."""
        done, found_rows = super().apply(effect)
        if isinstance(effect, ReadRows):
            self.reads += 1
            size = len(json.dumps({key: row.value for key, row in found_rows.items()}))
            self.largest_read_bytes = max(self.largest_read_bytes, size)
        else:
            self.writes += 1
        return done, found_rows


def clean_one_epoch(world, rng):
    """Delete the claims of one epoch and return the simulated seconds that it took."""
    cleaning, now = Cleaning(SingleDaemon(), rng), 0.0
    world.rows[EPOCH_KEY] = Row({"epoch": RETAIN_EPOCHS, "cleaned": -1, "node": "d0"}, 1)
    world.reads = world.writes = world.largest_read_bytes = 0
    while cleaning.dump(now)["cleaned"] < 0:
        now += 0.1
        effects = []
        cleaning.tick(now, effects.append)
        for effect in effects:
            if isinstance(effect, ReadRows | Transact):
                done, found_rows = world.apply(effect)
                answer = TableAnswered(effect.op_id, "ok" if done else "conflict", found_rows)
                cleaning.on_table(answer, now, effects.append)
    assert not [key for key in world.rows if key.startswith("claim")]
    return now


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calls-per-s", type=float, default=150.0)
    args = parser.parse_args()
    count = int(args.calls_per_s * EPOCH_S)
    print(f"seed={args.seed} calls_per_s={args.calls_per_s} epoch_s={EPOCH_S} batch={BATCH}")
    world = CountingWorld()
    for number in range(count):
        world.submit(0, f"key-{number}")
        while steps := world.steps():
            steps[0]("none")
    print(f"calls without protection (baseline): 0 reads, 0 writes; runs: {len(world.runs)}")
    print(f"for each call: {world.reads / count:.2f} reads, {world.writes / count:.2f} writes")
    seconds = clean_one_epoch(world, random.Random(args.seed))
    reads, writes = world.reads, world.writes
    print(f"cleaning one epoch of {count} claims: {reads} reads, {writes} writes, {seconds:.0f} s")
    print(f"that is {reads / EPOCH_S:.2f} reads/s and {writes / EPOCH_S:.2f} writes/s")
    print(f"longest answer to a read of cleaning: {world.largest_read_bytes} bytes")


if __name__ == "__main__":
    main()
