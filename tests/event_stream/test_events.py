"""Tests that server-sent events are split at any chunk boundary and forwarded in order without duplicates."""

import random
import unittest

from sparloom.event_stream import EventSplitter, EventTooLargeError, ResumableStream, event_id
from sparloom.event_stream.events import MAXIMUM_EVENT_BYTES


def stream(start, stop):
    return [b"id: %d\ndata: x%d\n\n" % (number, number) for number in range(start, stop)]


class Events(unittest.TestCase):
    def test_any_chunking_of_the_bytes_yields_the_same_events(self):
        events = stream(1, 20)
        raw = b"".join(events)
        for seed in range(50):
            rng, splitter, received, start = random.Random(seed), EventSplitter(), [], 0
            while start < len(raw):
                size = rng.randrange(1, 30)
                received += splitter.feed(raw[start : start + size])
                start += size
            self.assertEqual((received, splitter.rest), (events, b""))

    def test_an_event_without_end_is_an_error_once_it_has_the_largest_size(self):
        splitter = EventSplitter()
        for _ in range(16):
            self.assertEqual(splitter.feed(b"x" * (MAXIMUM_EVENT_BYTES // 16)), [])
        with self.assertRaises(EventTooLargeError):
            splitter.feed(b"x")

    def test_an_end_of_an_event_is_found_across_any_boundary_behind_a_long_event(self):
        for end in (b"\n\n", b"\r\r", b"\r\n\r\n"):
            for first in range(len(end)):
                splitter = EventSplitter()
                self.assertEqual(splitter.feed(b"x" * 5000 + end[:first]), [])
                self.assertEqual(splitter.feed(end[first:] + b"id:"), [b"x" * 5000 + end])
                self.assertEqual(splitter.rest, b"id:")

    def test_crlf_and_lf_line_endings(self):
        self.assertEqual(EventSplitter().feed(b"id:1\r\n\r\nid:2\n\n"), [b"id:1\r\n\r\n", b"id:2\n\n"])
        self.assertEqual(event_id(b"event: a\r\nid:9\r\n\r\n"), "9")

    def test_a_resumed_stream_has_no_gap_and_no_duplicate(self):
        resumable = ResumableStream()
        first = [event for event in stream(1, 6) if resumable.accept(event)]
        again = [event for event in stream(4, 11) if resumable.accept(event)]
        self.assertEqual(first + again, stream(1, 11))
        self.assertFalse(resumable.has_gap)

    def test_a_missing_event_is_a_gap(self):
        resumable = ResumableStream()
        [resumable.accept(event) for event in stream(1, 4)]
        resumable.accept(stream(6, 7)[0])
        self.assertTrue(resumable.has_gap)
        self.assertEqual(resumable.last_event_id, "3")
