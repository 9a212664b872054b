"""Claims are deleted after a day, never earlier, without comparing the clocks of machines."""

import random
import unittest

from lovageway.claimrows import EPOCH_KEY, index_key
from lovageway.controllers.cleaning import EPOCH_S, RETAIN_EPOCHS, Cleaning
from lovageway.events import ReadRows, Row, Transact
from tests.claimworld import World


class Peer:
    def __init__(self, node):
        self.node = node

    def live(self):
        return [self]


class Cleaner:
    """Cleaning of one daemon with its own clock and a shared table."""

    def __init__(self, world, node, seed=1):
        self.world, self.now, self.lose, self.inbox = world, 0.0, False, []
        self.cleaning = Cleaning(Peer(node), random.Random(seed))

    def advance(self, seconds, step=5.0):
        for _ in range(int(seconds / step)):
            self.now += step
            waiting = []
            self.cleaning.tick(self.now, waiting.append)
            while waiting:
                effect = waiting.pop(0)
                if isinstance(effect, ReadRows | Transact):
                    self.world.calls.append((self, effect))
                    self.world.serve_table(-1, "lose" if self.lose else "none")
                    self.cleaning.on_table(self.inbox.pop(), self.now, waiting.append)


class Epochs(unittest.TestCase):
    def epoch(self, world):
        return world.rows[EPOCH_KEY].value["epoch"] if EPOCH_KEY in world.rows else 0

    def test_an_epoch_lasts_at_least_its_time_on_the_clock_of_whoever_ends_it(self):
        # Guards against epochs that advance too fast with many daemons, restarts or lost answers.
        world = World()
        cleaners = [Cleaner(world, f"d{number}", number) for number in range(4)]
        for turn in range(60):
            before = self.epoch(world)
            for cleaner in cleaners:
                cleaner.lose = turn % 5 == 3
                cleaner.advance(EPOCH_S)
            self.assertLessEqual(self.epoch(world) - before, 1)
            if turn % 20 == 19:
                cleaners[turn % 4] = Cleaner(world, f"d{turn}", turn)
        self.assertGreater(self.epoch(world), 20)

    def test_a_holder_that_is_gone_is_replaced(self):
        # Guards against claims that are never deleted after their daemon is gone.
        world = World()
        first, second = Cleaner(world, "d0"), Cleaner(world, "d1", 2)
        first.advance(600)
        self.assertEqual(world.rows[EPOCH_KEY].value["node"], "d0")
        second.advance(600)
        self.assertEqual(world.rows[EPOCH_KEY].value["node"], "d1")

    def test_a_holder_that_was_paused_does_not_change_the_epoch(self):
        # Guards against claims that seem a day old because an epoch was counted twice.
        world = World()
        first, second = Cleaner(world, "d0"), Cleaner(world, "d1", 2)
        first.advance(600)
        second.advance(1200)
        epoch = self.epoch(world)
        first.advance(1200, 1200)
        self.assertEqual(self.epoch(world), epoch)

    def test_a_claim_is_deleted_after_its_epochs_and_not_before(self):
        # Guards against a key that runs again within a day, and against rows that stay forever.
        world = World(1)
        for number in range(230):
            world.submit(0, f"old-{number}")
            world.settle()
        cleaner = Cleaner(world, "d0")
        world.rows[EPOCH_KEY] = Row({"epoch": RETAIN_EPOCHS - 1, "cleaned": -1, "node": "d0"}, 1)
        cleaner.advance(EPOCH_S - 10)
        self.assertEqual(len([key for key in world.rows if key.startswith("claim/")]), 230)
        # A claim made again in a later epoch is still named by the index row of the earlier one.
        key, row = next(item for item in world.rows.items() if item[0].startswith("claim/"))
        world.rows[key] = row._replace(value={**row.value, "epoch": 7})
        cleaner.advance(10 * EPOCH_S)
        left = [key for key in world.rows if key.startswith("claim")]
        self.assertEqual(left, [key])
        self.assertGreaterEqual(cleaner.cleaning.dump(0.0)["cleaned"], 0)

    def test_a_claim_has_the_epoch_in_which_it_takes_effect(self):
        # Guards against a claim that is inserted with a stale epoch.
        world = World(1)
        name = world.submit(0, "a")
        while not any(isinstance(effect, Transact) for _, effect in world.calls):
            world.steps()[0]("none")
        world.rows[EPOCH_KEY] = Row({"epoch": 9, "node": "d0"}, 77)
        world.settle()
        self.assertIn(name, world.ran)
        self.assertEqual(world.rows["claim/clerks/a"].value["epoch"], 9)
        self.assertIn(index_key(9, "d0/0#1"), world.rows)
