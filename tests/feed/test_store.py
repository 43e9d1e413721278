"""The feed without I/O: the changes that a follower lacks, decoding of payloads, and the change of source."""

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
    def catch_up(self, follower, store):
        """Applies the changes that the follower lacks; each must match its version and increase it."""
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
                    self.catch_up(follower, store)
                    self.assertEqual(follower.text, text)

    def test_an_older_version_is_not_stored(self):
        store = VersionedStore()
        self.assertTrue(store.put(CONFIGURATION, (2, 5), b"new"))
        for old_version in ((1, 9), (2, 5), (2, 4)):
            self.assertFalse(store.put(CONFIGURATION, old_version, b"old"))
        self.assertEqual(store.items[CONFIGURATION].payload, b"new")

    def test_topics_are_independent(self):
        store = VersionedStore()
        store.put(CONFIGURATION, (1, 1), b"p")
        store.put(ENDPOINTS, (3, 7), b"r")
        changes = store.changes_after({CONFIGURATION: (1, 1)})
        self.assertEqual([change.topic for change in changes], [ENDPOINTS])

    def test_a_resync_requests_a_snapshot_of_that_topic_only(self):
        store = VersionedStore()
        for topic in TOPICS:
            store.put(topic, (1, 2), b"x")
        versions = store.subscription("router-1", {ENDPOINTS}).versions
        self.assertEqual(versions, {CONFIGURATION: (1, 2), ENDPOINTS: NO_VERSION})


class Payloads(unittest.TestCase):
    def test_a_change_that_does_not_apply_is_rejected_with_the_reason(self):
        old = {"revision": 1, "routes": [], "services": []}
        list_payload = encode_state(CONFIGURATION, [])
        for change, state, reason in (
            (Change(CONFIGURATION, 1, 2, 0, 0, list_payload), None, "found list, expected a snapshot (dict)"),
            (Change(CONFIGURATION, 1, 2, 1, 1, list_payload), old, "the patch does not apply to revision 1"),
            (Change(CONFIGURATION, 1, 2, 1, 1, list_payload), None, "found a delta before the first snapshot"),
            (Change(CONFIGURATION, 1, 2, 0, 0, b"torn"), None, "incorrect header check"),
        ):
            with self.subTest(reason), self.assertRaises(PayloadError) as caught:
                apply_change(change, state)
            self.assertIn(reason, str(caught.exception))


class SourceChange(unittest.TestCase):
    def play(self, timeline):
        """Plays a timeline; each line has the time in seconds, the message, and the follower's expected decision."""
        tracker = SourceTracker(SECOND, SECOND)
        tracker.start(0 * SECOND)
        for row in timeline.strip().splitlines():
            seconds, event, decision = row.split()
            now = float(seconds) * SECOND
            if event.startswith("heartbeat"):
                age = event.removeprefix("heartbeat")
                tracker.on_heartbeat(now, UNCONFIRMED if age == "?" else int(age))
            elif event == "change":
                tracker.on_change(now)
            self.assertEqual(tracker.should_move(now), decision == "moves", row)

    def test_an_unresponsive_source_is_left(self):
        self.play("""
            0.3  heartbeat10  stays
            1.2  .            stays
            1.4  .            moves
        """)

    def test_a_controller_partitioned_from_the_primary_is_left(self):
        self.play("""
            0.3  heartbeat100   stays
            0.9  heartbeat700   stays
            1.2  heartbeat1000  stays
            1.5  heartbeat1300  moves
        """)

    def test_a_controller_without_a_primary_is_left_only_after_the_maximum_age(self):
        self.play("""
            0.3  heartbeat?  stays
            0.9  heartbeat?  stays
            1.2  heartbeat?  moves
        """)
