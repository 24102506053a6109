"""Tests of splitting event streams into events."""

import unittest

from chervilwall.errors import OversizedError
from chervilwall.event_stream import MAX_EVENT_BYTES, EventSplitter
from hypothesis import given
from hypothesis import strategies as st

BODY = b"".join(b"id: %d\ndata: x%d\n\n" % (i, i) for i in range(1, 9))


class EventSplitterTest(unittest.TestCase):
    def test_events_have_their_ids(self):
        events = EventSplitter().feed(BODY)
        self.assertEqual([e.id for e in events], list(range(1, 9)))
        self.assertEqual(b"".join(e.raw for e in events), BODY)

    def test_a_torn_event_is_kept_back(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: x"), [])
        self.assertEqual(splitter.pending, b"id: 1\ndata: x")

    def test_carriage_returns_and_leading_fields_are_understood(self):
        raw = b"weight-versions: 3\r\nid: 7\r\ndata: a\r\n\r\n"
        (event,) = EventSplitter().feed(raw)
        self.assertEqual((event.id, event.raw), (7, raw))

    def test_an_event_without_end_is_refused_in_linear_time(self):
        splitter = EventSplitter()
        with self.assertRaises(OversizedError):
            for _ in range(MAX_EVENT_BYTES // 1000 + 2):
                splitter.feed(b"x" * 1000)

    def test_an_id_of_thousands_of_digits_is_none(self):
        (event,) = EventSplitter().feed(b"id: " + b"9" * 5000 + b"\n\n")
        self.assertEqual(event.id, 0)

    def test_an_id_inside_data_is_not_the_events_id(self):
        (event,) = EventSplitter().feed(b"data: id: 5\n\n")
        self.assertEqual(event.id, 0)

    @given(st.lists(st.integers(1, len(BODY) - 1), max_size=12))
    def test_it_does_not_matter_how_bytes_arrive(self, cuts):
        splitter = EventSplitter()
        start, events = 0, []
        for cut in [*sorted(cuts), len(BODY)]:
            events += splitter.feed(BODY[start:cut])
            start = cut
        self.assertEqual([e.id for e in events], list(range(1, 9)))
        self.assertEqual(b"".join(e.raw for e in events), BODY)
