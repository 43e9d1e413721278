"""Events: whole, in order, once."""

import random
import unittest

from sparloom.event_stream import EventSplitter, ResumableStream, event_id


def stream(a, b):
    return [b"id: %d\ndata: x%d\n\n" % (i, i) for i in range(a, b)]


class Events(unittest.TestCase):
    def test_any_cutting_of_the_bytes_gives_the_same_events(self):
        evs = stream(1, 20)
        raw = b"".join(evs)
        for seed in range(50):
            rng, s, out, at = random.Random(seed), EventSplitter(), [], 0
            while at < len(raw):
                n = rng.randrange(1, 30)
                out += s.feed(raw[at : at + n])
                at += n
            self.assertEqual((out, s.rest), (evs, b""))

    def test_line_ends_of_all_kinds(self):
        self.assertEqual(EventSplitter().feed(b"id:1\r\n\r\nid:2\n\n"), [b"id:1\r\n\r\n", b"id:2\n\n"])
        self.assertEqual(event_id(b"event: a\r\nid:9\r\n\r\n"), "9")

    def test_a_resumed_stream_has_no_gap_and_no_double(self):
        t = ResumableStream()
        first = [e for e in stream(1, 6) if t.accept(e)]
        again = [e for e in stream(4, 11) if t.accept(e)]
        self.assertEqual(first + again, stream(1, 11))
        self.assertFalse(t.has_gap)

    def test_a_missing_event_breaks_the_thread(self):
        t = ResumableStream()
        [t.accept(e) for e in stream(1, 4)]
        t.accept(stream(6, 7)[0])
        self.assertTrue(t.has_gap)
        self.assertEqual(t.last_event_id, "3")
