"""Tests of the phases of a daemon."""

import unittest

from lovageway.forwarding.lifecycle import Lifecycle
from lovageway.forwarding.members import LEAVING, READY, STARTING
from tests.replicabuilders import BOUNDS


class Phases(unittest.TestCase):
    def test_a_daemon_is_ready_once_it_is_configured(self):
        lifecycle = Lifecycle(BOUNDS)
        self.assertEqual(lifecycle.state, STARTING)
        self.assertTrue(lifecycle.on_configured())
        self.assertFalse(lifecycle.on_configured())
        self.assertEqual(lifecycle.state, READY)

    def test_a_stop_goes_through_listening_and_draining(self):
        # Guards against a listener that closes while clients still use its address.
        lifecycle = Lifecycle(BOUNDS)
        lifecycle.on_configured()
        self.assertTrue(lifecycle.on_stop(10.0))
        self.assertFalse(lifecycle.on_stop(11.0))
        self.assertEqual(lifecycle.state, LEAVING)
        self.assertTrue(lifecycle.accepts_connections(13.0))
        self.assertFalse(lifecycle.accepts_connections(15.0))

    def test_a_stopping_daemon_accepts_only_requests_that_it_can_finish(self):
        # Guards against generations that are aborted by the end of the grace period.
        lifecycle = Lifecycle(BOUNDS)
        lifecycle.on_configured()
        self.assertTrue(lifecycle.can_finish(60.0, 10.0))
        lifecycle.on_stop(10.0)
        self.assertTrue(lifecycle.can_finish(1.0, 11.0))
        self.assertFalse(lifecycle.can_finish(9.0, 11.0))
        self.assertLess(11.0, lifecycle.answer_by)
        self.assertLess(lifecycle.answer_by, 10.0 + BOUNDS.grace_s)
