"""Tests of splitting a stream of bytes into events."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.forwarding.events import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\nda"


class Splitting(unittest.TestCase):
    @settings(derandomize=True)
    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_events_do_not_depend_on_how_the_bytes_arrive(self, cuts):
        # Guards against events that are split or joined at packet boundaries.
        splitter, found, start = EventSplitter(), [], 0
        for end in [*sorted(cuts), len(STREAM)]:
            found += splitter.feed(STREAM[start:end])
            start = max(start, end)
        self.assertEqual([event.id for event in found], [1, 2, None])
        self.assertEqual(b"".join(event.data for event in found) + splitter.rest, STREAM)
        self.assertEqual(splitter.rest, b"id: 3\nda")
