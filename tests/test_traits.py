"""Tests of the traits of requests."""

import unittest

from lovageway.forwarding.traits import MAX_LABEL, MAX_PARTS, fingerprint, part_traits


class Traits(unittest.TestCase):
    def test_the_fingerprint_keeps_the_parts_apart(self):
        # Guards against two requests that share a fingerprint because their parts are joined.
        self.assertNotEqual(fingerprint("a", "b", "cd", b""), fingerprint("a", "bc", "d", b""))

    def test_many_huge_and_repeated_parts_are_limited(self):
        traits = part_traits("llm", [*["same"] * 50, *(f"{n}" * 3000 for n in range(100))])
        self.assertEqual(len(traits), MAX_PARTS)
        self.assertEqual(len({trait.mark for trait in traits}), MAX_PARTS)
        self.assertLessEqual(max(len(trait.label) for trait in traits), MAX_LABEL)
        self.assertTrue(part_traits("llm", ["\udcff", "", ":", "\x00"]))
