"""Tests that server-sent events are split at any chunk boundary and forwarded in order without duplicates."""

import random
import unittest

from sparloom.event_stream import EventSplitter, ResumableStream, event_id


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
