"""Tests of the event splitter."""

import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from berylshift.request import event_splitter
from berylshift.request.event_splitter import (
    EVENT_END,
    MAX_EVENT_BYTES,
    MAX_EVENT_PIECES,
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


class IdleBytesTest(unittest.TestCase):
    """Guards against bytes that are no event, and against their cost."""

    def test_comments_and_blank_lines_are_no_events(self):
        """Guards against comments that count as a stream's next event."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b": one\n\n\n\n\r\n\r\n: two\n: three\n\n"), [])
        self.assertEqual(splitter.buffered, b"")
        (event,) = splitter.feed(b"id: 7\n\n: four\n\n")
        self.assertEqual(event.id, b"7")
        self.assertTrue(event.data.startswith(b": one"))
        self.assertTrue(event.data.endswith(b": three\n\nid: 7\n\n"))
        self.assertEqual(splitter.take_idle(), b": four\n\n")
        self.assertEqual(splitter.take_idle(), b"")

    @EXPLORE
    @given(
        st.lists(
            st.sampled_from([*EVENTS, b": c\n\n", b"\n\n", b"\r\n\r\n", b"d\n\n"])
        ),
        st.lists(st.integers(1, 5), max_size=60),
    )
    def test_no_byte_is_lost(self, blocks, cuts):
        """Guards against lost, repeated or reordered bytes between events."""
        splitter, data, found = EventSplitter(), b"".join(blocks), []
        for size in cuts:
            found += splitter.feed(data[:size])
            data = data[size:]
        found += splitter.feed(data)
        sent = b"".join(event.data for event in found)
        self.assertEqual(sent + splitter.take_idle(), b"".join(blocks))
        self.assertEqual(splitter.buffered, b"")
        fields = [block for block in blocks if block.strip()[:1] not in (b"", b":")]
        self.assertEqual(len(found), len(fields))

    def test_idle_bytes_are_limited(self):
        """Guards against comments without end that fill the memory."""
        for block in (b": c\n\n", b"\n\n"):
            splitter = EventSplitter()
            with self.assertRaises(EventTooLongError):
                for _ in range(MAX_EVENT_BYTES // 4096 + 1):
                    splitter.feed(block * (4096 // len(block) + 1))

    def test_pieces_of_an_event_are_limited(self):
        """Guards against an event in so many pieces that it stops the event loop."""
        splitter = EventSplitter()
        for _ in range(MAX_EVENT_PIECES):
            splitter.feed(b"x")
        with self.assertRaises(EventTooLongError):
            splitter.feed(b"x")

    def test_each_byte_is_searched_once(self):
        """Guards against a search of the whole event for each of its pieces."""
        searched = []

        class Recorder:
            def search(self, buffer, begin):
                searched.append(len(buffer) - begin)
                return EVENT_END.search(buffer, begin)

        with mock.patch.object(event_splitter, "EVENT_END", Recorder()):
            splitter = EventSplitter()
            for _ in range(4096):
                splitter.feed(b"x")
        self.assertLessEqual(sum(searched), 3 * 4096)
