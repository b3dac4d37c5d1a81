"""Tests of the event splitter."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylshift.request.event_splitter import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
)
from berylshift.tests.support import EXPLORE

EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\r\ndata: b\r\n\r\n", b"data: c\n\n"]


class SplitTest(unittest.TestCase):
    """Events are the same however their bytes arrive."""

    def test_ids(self):
        found = EventSplitter().feed(b"".join(EVENTS))
        self.assertEqual([event.id for event in found], [b"1", b"2", None])
        self.assertEqual([event.data for event in found], EVENTS)

    @EXPLORE
    @given(st.lists(st.integers(1, 7), max_size=40))
    def test_any_split_gives_the_same_events(self, cuts):
        splitter, data, found = EventSplitter(), b"".join(EVENTS), []
        for size in cuts:
            found += splitter.feed(data[:size])
            data = data[size:]
        found += splitter.feed(data)
        self.assertEqual([event.data for event in found], EVENTS)
        self.assertEqual(splitter.buffered, b"")

    def test_partial_event_is_buffered(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata:"), [])
        self.assertEqual(splitter.buffered, b"id: 1\ndata:")

    def test_unterminated_event_is_limited(self):
        with self.assertRaises(EventTooLongError):
            EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))
