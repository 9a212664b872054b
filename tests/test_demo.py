"""Tests of the demo, the first command in the documentation."""

import contextlib
import io
import unittest

from standins import demo


class Demo(unittest.TestCase):
    def test_a_summary_and_a_refund_are_served_and_every_daemon_stops_cleanly(self):
        # Guards against a failure anywhere between client and backend server.
        with contextlib.redirect_stdout(io.StringIO()) as shown:
            demo.main()
        self.assertIn("refund: 200", shown.getvalue())
