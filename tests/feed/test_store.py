"""The feed's decisions: what a follower lacks, and when it changes its source."""

import random
import unittest
from datetime import timedelta

from sparloom.feed import (
    CONFIGURATION,
    ENDPOINTS,
    NO_VERSION,
    TOPICS,
    UNCONFIRMED,
    Change,
    SourceTracker,
    VersionedStore,
)
from sparloom.feed.payload import PayloadError, apply_change, encode_state

SECOND = timedelta(seconds=1)


class Follower:
    """Appends deltas to a text, or replaces it by a snapshot."""

    def __init__(self):
        self.version, self.text = NO_VERSION, ""

    def apply(self, change):
        text = change.payload.decode()
        self.text = text if change.base == NO_VERSION else self.text + text
        self.version = change.version


class Store(unittest.TestCase):
    def follow(self, follower, store):
        """Applies what the follower lacks; each change must fit and lead on."""
        for change in store.changes_after({CONFIGURATION: follower.version}):
            if change.base != NO_VERSION:
                self.assertEqual(change.base, follower.version)
            self.assertGreater(change.version, follower.version)
            follower.apply(change)

    def test_a_follower_catches_up_from_any_version(self):
        for seed in range(30):
            rng, store, follower = random.Random(seed), VersionedStore(), Follower()
            text, epoch = "", 1
            for number in range(1, 40):
                epoch += rng.random() < 0.1
                text += chr(97 + number % 26)
                delta = text[-1].encode() if rng.random() < 0.8 else None
                store.put(CONFIGURATION, (epoch, number), text.encode(), delta)
                if rng.random() < 0.4:
                    self.follow(follower, store)
                    self.assertEqual(follower.text, text)

    def test_its_version_never_goes_back(self):
        store = VersionedStore()
        self.assertTrue(store.put(CONFIGURATION, (2, 5), b"new"))
        for old in ((1, 9), (2, 5), (2, 4)):
            self.assertFalse(store.put(CONFIGURATION, old, b"old"))
        self.assertEqual(store.items[CONFIGURATION].payload, b"new")

    def test_topics_are_independent(self):
        store = VersionedStore()
        store.put(CONFIGURATION, (1, 1), b"p")
        store.put(ENDPOINTS, (3, 7), b"r")
        changes = store.changes_after({CONFIGURATION: (1, 1)})
        self.assertEqual([change.topic for change in changes], [ENDPOINTS])

    def test_a_resync_asks_for_a_snapshot_of_that_topic_only(self):
        store = VersionedStore()
        for topic in TOPICS:
            store.put(topic, (1, 2), b"x")
        versions = store.subscription("router-1", {ENDPOINTS}).versions
        self.assertEqual(versions, {CONFIGURATION: (1, 2), ENDPOINTS: NO_VERSION})


class Payloads(unittest.TestCase):
    def test_a_change_that_does_not_fit_is_refused_with_the_reason(self):
        old = {"revision": 1, "routes": [], "services": []}
        listed = encode_state(CONFIGURATION, [])
        for change, state, reason in (
            (Change(CONFIGURATION, 1, 2, 0, 0, listed), None, "found list, expected a snapshot (dict)"),
            (Change(CONFIGURATION, 1, 2, 1, 1, listed), old, "the patch does not apply to revision 1"),
            (Change(CONFIGURATION, 1, 2, 1, 1, listed), None, "found a delta before the first snapshot"),
            (Change(CONFIGURATION, 1, 2, 0, 0, b"torn"), None, "incorrect header check"),
        ):
            with self.subTest(reason), self.assertRaises(PayloadError) as caught:
                apply_change(change, state)
            self.assertIn(reason, str(caught.exception))


class ChangeOfSource(unittest.TestCase):
    def follow(self, story):
        """Each line: seconds, what arrived, whether the follower then changes its source."""
        tracker = SourceTracker(SECOND, SECOND)
        tracker.start(0 * SECOND)
        for line in story.strip().splitlines():
            seconds, event, decision = line.split()
            now = float(seconds) * SECOND
            if event.startswith("heartbeat"):
                age = event.removeprefix("heartbeat")
                tracker.on_heartbeat(now, UNCONFIRMED if age == "?" else int(age))
            elif event == "change":
                tracker.on_change(now)
            self.assertEqual(tracker.should_move(now), decision == "moves", line)

    def test_a_silent_source_is_left(self):
        self.follow("""
            0.3  heartbeat10  stays
            1.2  .            stays
            1.4  .            moves
        """)

    def test_a_controller_partitioned_from_the_primary_is_left(self):
        self.follow("""
            0.3  heartbeat100   stays
            0.9  heartbeat700   stays
            1.2  heartbeat1000  stays
            1.5  heartbeat1300  moves
        """)

    def test_a_controller_that_knows_no_primary_is_given_time(self):
        self.follow("""
            0.3  heartbeat?  stays
            0.9  heartbeat?  stays
            1.2  heartbeat?  moves
        """)
