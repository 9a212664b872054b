"""Output-length histograms: predictions, censored generations, decay and memory."""

import random
import tracemalloc
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.controllers.lengths import MAX_KEYS, MAX_LENGTH, Lengths

KEY = ("clerks", "crock-llm", "batch")


def summary_lengths(count, seed=7):
    rng = random.Random(seed)
    return [min(4000, int(rng.lognormvariate(5.5, 0.7)) + 1) for _ in range(count)]


def learned(lengths):
    found = Lengths()
    for length in lengths:
        found.observe(*KEY, length, False)
    return found.curve(*KEY)


class Prediction(unittest.TestCase):
    def test_quantiles_and_remainder_match_the_sample(self):
        # Guards against an estimate that is off by a bucket: charges would be 40 % off.
        lengths = summary_lengths(2000)
        curve = learned(lengths)
        lengths.sort()
        self.assertAlmostEqual(curve.quantile(0.5) / lengths[1000], 1.0, delta=0.12)
        self.assertAlmostEqual(curve.quantile(0.8) / lengths[1600], 1.0, delta=0.12)
        self.assertAlmostEqual(curve.remainder(0) / (sum(lengths) / 2000), 1.0, delta=0.12)
        longer = [length - 400 for length in lengths if length > 400]
        self.assertAlmostEqual(curve.remainder(400) / (sum(longer) / len(longer)), 1, delta=0.25)

    def test_censored_generations_do_not_bias_it_short(self):
        # Guards against counting the length at which a caller left as the complete length.
        rng, found = random.Random(3), Lengths()
        lengths = summary_lengths(4000)
        for length in lengths:
            limit = rng.randint(1, 900)
            found.observe(*KEY, min(length, limit), limit < length)
        curve = found.curve(*KEY)
        lengths.sort()
        self.assertAlmostEqual(curve.quantile(0.5) / lengths[2000], 1.0, delta=0.15)
        self.assertAlmostEqual(curve.quantile(0.8) / lengths[3200], 1.0, delta=0.15)

    def test_new_lengths_replace_old_ones_within_a_few_half_lives(self):
        # Guards against predictions from old lengths after the use of a contract has changed.
        found = Lengths()
        for length in [100] * 5000 + [1000] * 4000:
            found.observe(*KEY, length, False)
        self.assertGreater(found.curve(*KEY).quantile(0.2), 700)

    def test_half_of_the_weight_is_left_after_the_half_life(self):
        # Guards against a decay that is far too fast or too slow.
        found = Lengths()
        for length in [100] * 20000 + [1000] * 1000:
            found.observe(*KEY, length, False)
        curve = found.curve(*KEY)
        self.assertLess(curve.quantile(0.45), 200)
        self.assertGreater(curve.quantile(0.55), 700)

    def test_an_unknown_contract_uses_the_service_and_then_a_fixed_prior(self):
        # Guards against charging a new contract nothing, or the full max_tokens.
        found = Lengths()
        self.assertTrue(100 < found.curve(*KEY).quantile(0.5) < 500)
        for _ in range(300):
            found.observe("other", "crock-llm", "batch", 3000, False)
        self.assertGreater(found.curve(*KEY).quantile(0.5), 2000)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(st.tuples(st.integers(0, 200000), st.booleans()), max_size=60),
        st.integers(0, 200000),
        st.integers(1, 200000),
    )
    def test_predictions_stay_in_their_range(self, seen, length, limit):
        # Guards against negative or infinite predictions from unusual data, such as censored
        # lengths only, or zeros.
        found = Lengths()
        for size, cut in seen:
            found.observe(*KEY, size, cut)
        curve = found.curve(*KEY)
        levels = [curve.quantile(part / 10) for part in range(11)]
        self.assertEqual(levels, sorted(levels))
        self.assertTrue(all(0 <= level <= MAX_LENGTH for level in levels))
        rest = curve.remainder(length, limit)
        self.assertTrue(0 <= rest <= max(0, limit - length) + 1e-6)


class Memory(unittest.TestCase):
    def test_memory_is_bounded_at_the_target_number_of_accounts(self):
        # Guards against memory that grows with the number of accounts and classes ever used.
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        found = Lengths()
        for number in range(7700):
            for request_class in ("interactive", "batch"):
                key = (f"account-{number}", "crock-llm", request_class)
                found.observe(*key, 100, False)
                found.curve(*key)
        used, _ = tracemalloc.get_traced_memory()
        self.assertLessEqual(len(found), MAX_KEYS)
        self.assertLess(used, 12 << 20)
