"""The phases of a daemon."""

import unittest

from lovageway.forwarding.lifecycle import Lifecycle
from lovageway.forwarding.members import LEAVING, READY, STARTING
from tests.replicabuilders import BOUNDS


class Phases(unittest.TestCase):
    def test_a_daemon_is_ready_once_it_knows_its_configuration(self):
        cycle = Lifecycle(BOUNDS)
        self.assertEqual(cycle.state, STARTING)
        self.assertTrue(cycle.on_configured())
        self.assertFalse(cycle.on_configured())
        self.assertEqual(cycle.state, READY)

    def test_a_stop_goes_through_listening_and_draining(self):
        # Guards against a listener that closes while clients still hold its address.
        cycle = Lifecycle(BOUNDS)
        cycle.on_configured()
        self.assertTrue(cycle.on_stop(10.0))
        self.assertFalse(cycle.on_stop(11.0))
        self.assertEqual(cycle.state, LEAVING)
        self.assertTrue(cycle.accepts_connections(13.0))
        self.assertFalse(cycle.accepts_connections(15.0))

    def test_a_stopping_daemon_takes_only_what_it_can_finish(self):
        # Guards against generations that are cut by the end of the grace period.
        cycle = Lifecycle(BOUNDS)
        cycle.on_configured()
        self.assertTrue(cycle.can_finish(60.0, 10.0))
        cycle.on_stop(10.0)
        self.assertTrue(cycle.can_finish(1.0, 11.0))
        self.assertFalse(cycle.can_finish(9.0, 11.0))
