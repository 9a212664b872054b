"""The end of a stream: whether it is whole, for every framing and every way to end it."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.streamend import EndFacts, StreamEnd, judge

FACTS = st.builds(EndFacts, *[st.booleans()] * len(EndFacts._fields))


class End(unittest.TestCase):
    def test_a_stop_that_this_daemon_requested_is_not_the_end_of_a_stream_without_framing(self):
        # Guards against a migrated generation that ends early and looks complete.
        facts = EndFacts(True, True, False, True, True, True, False)
        self.assertIs(judge(facts), StreamEnd.STOP_PENDING)
        self.assertIs(judge(facts._replace(stop_requested=False)), StreamEnd.WHOLE)

    def test_a_stop_at_the_deadline_is_not_the_end_of_a_stream_without_framing(self):
        # Guards against a generation that its server stops at the deadline and that looks complete.
        facts = EndFacts(True, True, False, True, True, False, True)
        self.assertIs(judge(facts), StreamEnd.CUT_OFF)

    @settings(derandomize=True)
    @given(FACTS)
    def test_only_a_confirmed_end_makes_a_stream_whole(self, facts):
        # Guards against any other combination that takes a closed connection for a whole stream.
        end = judge(facts)
        if not facts.arrived_whole:
            self.assertIs(end, StreamEnd.CUT_OFF)
        if facts.ended_by_close and end is StreamEnd.WHOLE:
            self.assertTrue(facts.begun)
            self.assertFalse(
                facts.has_partial_event or facts.stop_requested or facts.deadline_passed
            )

    @settings(derandomize=True)
    @given(FACTS)
    def test_framing_confirms_the_end_whatever_else_is_known(self, facts):
        # Guards against whole generations that are broken off because they end during a migration.
        framed = facts._replace(arrived_whole=True, ended_by_close=False, has_partial_event=False)
        self.assertIs(judge(framed), StreamEnd.WHOLE)
