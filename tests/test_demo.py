"""The documented first command works."""

import unittest

from tests import demo


class Demo(unittest.TestCase):
    def test_a_summary_and_a_refund_are_served_and_every_daemon_stops_cleanly(self):
        # Guards against a broken whole path from caller to back end.
        demo.main()
