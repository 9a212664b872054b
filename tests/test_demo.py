"""The documented first command works."""

import contextlib
import io
import unittest

from standins import demo


class Demo(unittest.TestCase):
    def test_a_summary_and_a_refund_are_served_and_every_daemon_stops_cleanly(self):
        # Guards against a broken whole path from caller to back end.
        with contextlib.redirect_stdout(io.StringIO()) as shown:
            demo.main()
        self.assertIn("refund: 200", shown.getvalue())
