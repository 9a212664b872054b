"""Histograms of the benchmarks."""

import unittest
from xml.etree import ElementTree

from bench import plot

SAMPLES = {"least_requests": [1.0] * 99 + [500.0], "memory <ours>": [1.0] * 100}


class Plot(unittest.TestCase):
    def test_values_on_an_edge_fall_into_the_bucket_that_begins_there(self):
        # Guards against a rounding error that shifts a value on an edge to the bucket below.
        for number in range(-5, 30):
            self.assertEqual(plot.bucket(plot.lower_edge(number)), number)
        self.assertEqual(plot.bucket(0.0), plot.bucket(plot.FLOOR_MS))

    def test_one_slow_value_in_a_hundred_is_visible_beside_a_policy_without_it(self):
        # Guards against a plot that hides rare slow values, and against swapped columns.
        head, first, *rest = plot.render_text(SAMPLES).splitlines()
        self.assertLess(head.index("least_requests"), head.index("memory"))
        self.assertIn(" 99.00 ", first)
        self.assertIn("100.00 ", first)
        self.assertEqual(rest[-1].split(), ["398.1", "1.00", "#"])

    def test_the_picture_is_well_formed_with_one_line_a_policy(self):
        # Guards against unescaped names, which make the file invalid, and a failure on no values.
        for samples in (SAMPLES, {"none": []}):
            tree = ElementTree.fromstring(plot.render_svg("a & b", samples))
            lines = tree.findall("{http://www.w3.org/2000/svg}polyline")
            self.assertEqual(len(lines), len(samples))
        self.assertIn("ms", plot.render_text({"none": []}))
