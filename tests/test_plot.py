"""Histograms of the benches."""

import unittest
from xml.etree import ElementTree

from bench import plot

SAMPLES = {"least_requests": [1.0] * 99 + [500.0], "memory <ours>": [1.0] * 100}


class Plot(unittest.TestCase):
    def test_values_on_an_edge_fall_into_the_bucket_that_begins_there(self):
        # Guards against buckets that are off by one through rounding.
        for number in range(-5, 30):
            self.assertEqual(plot.bucket(plot.edge(number)), number)
        self.assertEqual(plot.bucket(0.0), plot.bucket(plot.FLOOR_MS))

    def test_one_slow_value_in_a_hundred_is_visible_beside_a_policy_without_it(self):
        # Guards against a plot that hides the tail, and against swapped columns.
        head, first, *rest = plot.text(SAMPLES).splitlines()
        self.assertLess(head.index("least_requests"), head.index("memory"))
        self.assertIn(" 99.00 ", first)
        self.assertIn("100.00 ", first)
        self.assertEqual(rest[-1].split(), ["398.1", "1.00", "#"])

    def test_the_picture_is_well_formed_with_one_line_a_policy(self):
        # Guards against names that break the file, and against empty samples.
        for samples in (SAMPLES, {"none": []}):
            tree = ElementTree.fromstring(plot.svg("a & b", samples))
            lines = tree.findall("{http://www.w3.org/2000/svg}polyline")
            self.assertEqual(len(lines), len(samples))
        self.assertIn("ms", plot.text({"none": []}))
