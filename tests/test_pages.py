"""The generated pages match the code."""

import unittest

from tools import pages

from lovageway import codes


class Pages(unittest.TestCase):
    def test_every_committed_page_is_what_the_code_generates(self):
        # Guards against generated pages that describe an earlier version of the code.
        for name, build in pages.PAGES.items():
            with self.subTest(page=name):
                self.assertEqual((pages.DOCS / name).read_text(), build())

    def test_every_code_has_an_entry_in_the_table(self):
        # Guards against a refusal that cannot be sent because its HTTP status is missing.
        self.assertEqual(set(codes.INFO), set(codes.Code))
