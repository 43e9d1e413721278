"""The feed: a follower's place, steps and snapshots, and when it moves on. Columns: primary, router."""

import random
import unittest
from datetime import timedelta

from sparloom.feed import CONFIGURATION, ENDPOINTS, UNCONFIRMED, SourceTracker, VersionedStore

S = timedelta(seconds=1)


class Following(unittest.TestCase):
    def test_a_follower_is_brought_up_from_any_place(self):
        for seed in range(30):
            rng, src, dst = random.Random(seed), VersionedStore(), {}
            text, epoch = "", 1
            for n in range(1, 40):
                epoch += rng.random() < 0.1
                text += chr(97 + n % 26)
                src.put(CONFIGURATION, (epoch, n), text.encode(), text[-1].encode() if rng.random() < 0.8 else None)
                if rng.random() < 0.4:
                    for c in src.changes_after({CONFIGURATION: dst.get("at", (0, 0))}):
                        if c.base == (0, 0):
                            dst["text"] = c.payload.decode()
                        else:
                            self.assertEqual(c.base, dst["at"])
                            dst["text"] += c.payload.decode()
                        self.assertGreater(c.version, dst.get("at", (0, 0)))
                        dst["at"] = c.version
                    self.assertEqual(dst["text"], text)

    def test_it_never_goes_back_a_stamp(self):
        s = VersionedStore()
        self.assertTrue(s.put(CONFIGURATION, (2, 5), b"new"))
        for old in ((1, 9), (2, 5), (2, 4)):
            self.assertFalse(s.put(CONFIGURATION, old, b"old"))
        self.assertEqual(s.items[CONFIGURATION].payload, b"new")

    def test_topics_are_apart(self):
        s = VersionedStore()
        s.put(CONFIGURATION, (1, 1), b"p")
        s.put(ENDPOINTS, (3, 7), b"r")
        self.assertEqual([c.topic for c in s.changes_after({CONFIGURATION: (1, 1)})], [ENDPOINTS])


class MovingOn(unittest.TestCase):
    def follow(self, story):
        """Each line: seconds, what came, whether the follower then moves on."""
        t = SourceTracker(S, S)
        t.start(0 * S)
        for line in story.strip().splitlines():
            at, what, moves = line.split()
            now = float(at) * S
            if what.startswith("pulse"):
                t.on_heartbeat(now, UNCONFIRMED if what == "pulse?" else int(what[5:]))
            elif what == "change":
                t.on_change(now)
            self.assertEqual(t.should_move(now), moves == "moves", line)

    def test_silence(self):
        self.follow("""
            0.3  pulse10  stays
            1.2  .        stays
            1.4  .        moves
        """)

    def test_a_controller_cut_from_the_primary(self):
        self.follow("""
            0.3  pulse100   stays
            0.9  pulse700   stays
            1.2  pulse1000  stays
            1.5  pulse1300  moves
        """)

    def test_a_controller_that_knows_no_primary_gets_a_moment(self):
        self.follow("""
            0.3  pulse?  stays
            0.9  pulse?  stays
            1.2  pulse?  moves
        """)
