"""The Faraday timeouts: the source's own examples, and what they must hold on the ordinary path."""

import random
import unittest
from datetime import timedelta

from sparloom.configuration import Route
from sparloom.dynamic_timeout import (
    Bucket,
    Capacity,
    InFlightCounts,
    InFlightReport,
    InFlightUpdate,
    capacity_buckets,
    pick,
)
from sparloom.router.timeout_buckets import buckets_for

S = timedelta(seconds=1)
SOURCE = [Bucket(8 * S, 5), Bucket(S, 10), Bucket(S / 2, 20)]


class Buckets(unittest.TestCase):
    def span(self, n, bs=SOURCE):
        g = pick(bs, n)
        return g and g.timeout / S

    def test_the_sources_example(self):
        self.assertEqual([self.span(n) for n in (0, 4, 5, 9, 10, 19, 20)], [8, 8, 1, 1, 0.5, 0.5, None])

    def test_order_does_not_matter(self):
        for seed in range(6):
            bs = random.Random(seed).sample(SOURCE, 3)
            self.assertEqual([self.span(n, bs) for n in (0, 7, 15, 25)], [8, 1, 0.5, None])

    def test_a_limit_below_zero_is_unlimited(self):
        bs = [*SOURCE, Bucket(S / 5, -1)]
        self.assertEqual((self.span(10**6, bs), self.span(0, bs)), (0.2, 8))

    def test_limits_computed_at_run_time(self):
        room = [1]
        bs = lambda: [Bucket(S, room[0])]
        self.assertIsNone(pick(bs, 1))
        room[0] = 2
        self.assertEqual(pick(bs, 1).count, 2)

    def test_the_capacity_variant(self):
        caps = [Capacity(8 * S, 0.05, 3), Capacity(S, 0.05), Capacity(S / 2, 0.10), Capacity(S / 5, 1.0)]
        self.assertEqual([b.limit for b in capacity_buckets(caps, 4, 5)], [3, 1, 2, -1])
        self.assertEqual([b.limit for b in capacity_buckets(caps, 4, 100)], [20, 20, 40, -1])
        self.assertEqual([b.limit for b in capacity_buckets(caps, 4, 16)], [4, 4, 7, -1])


class Shared(unittest.TestCase):
    def setUp(self):
        self.calls = []
        self.c = InFlightCounts(3 * S, self.calls.append)
        self.names = {7: "r", 8: "q"}

    def hear(self, at, n, key="p", life=1, seq=1, res=7):
        self.c.on_update(
            InFlightUpdate(key, life, seq, 1, [InFlightReport(res, n, 100, 0, 0, 0, 0)], []), at * S, self.names
        )

    def test_a_call_takes_a_slot_in_every_bucket_and_gives_it_back_once(self):
        slots = [self.c.acquire("r", SOURCE, 0 * S) for _ in range(6)]
        self.assertEqual([s.grant.timeout / S for s in slots], [8, 8, 8, 8, 8, 1])
        slots[0].release(S)
        slots[0].release(S)
        self.assertEqual(self.c.count("r", S), 5)
        self.assertEqual(self.c.acquire("r", SOURCE, S).grant.timeout, S)
        for s in slots:
            s.release(2 * S)
        self.assertEqual(self.c.count("r", 2 * S), 1)

    def test_peers_count_too(self):
        self.hear(0, 20)
        self.assertIsNone(self.c.acquire("r", SOURCE, 0 * S))
        self.assertIsNotNone(self.c.acquire("q", SOURCE, 0 * S))

    def test_resources_have_counts_of_their_own(self):
        self.hear(0, 4)
        self.assertEqual((self.c.count("r", 0 * S), self.c.count("q", 0 * S)), (4, 0))

    def test_a_gone_holders_slots_are_free(self):
        self.hear(0, 20)
        self.c.drop_node("p")
        self.assertEqual(self.c.count("r", 0 * S), 0)

    def test_a_new_life_drops_the_old_ones_slots(self):
        self.hear(0, 20, life=1, seq=9)
        self.c.drop_node("p", instance_id=2)
        self.assertEqual(self.c.count("r", 0 * S), 0)
        self.hear(1, 3, life=2, seq=1)
        self.c.drop_node("p", instance_id=2)
        self.assertEqual(self.c.count("r", S), 3)

    def test_late_counts_stand_until_they_are_stale(self):
        self.hear(0, 20)
        self.assertEqual(self.c.count("r", 3 * S), 20)
        self.assertEqual(self.c.count("r", 3.1 * S), 0)

    def test_an_older_word_does_not_replace_a_newer_one(self):
        self.hear(0, 3, seq=2)
        self.hear(0, 9, seq=1)
        self.assertEqual(self.c.count("r", 0 * S), 3)

    def test_the_hook_hears_of_each_call(self):
        self.c.acquire("r", [Bucket(S, 0)], 0 * S)
        s = self.c.acquire("r", SOURCE, S)
        s.timed_out = True
        s.release(3 * S)
        self.assertEqual(
            [(c.count, c.duration / S, c.throttled, c.timed_out) for c in self.calls],
            [(0, 0, True, False), (1, 2, False, True)],
        )

    def test_tokens_wait_until_they_are_read(self):
        s = self.c.acquire("r", SOURCE, 0 * S, 500)
        self.hear(0, 1)
        self.assertEqual(self.c.prefill_tokens("r", 0 * S), 600)
        s.on_prefilled(500)
        s.release(S)
        self.assertEqual(self.c.prefill_tokens("r", S), 100)

    def test_callers_are_remembered_for_a_minute(self):
        self.hear(0, 1)
        self.assertEqual(self.c.processes(59 * S), 2)
        self.assertEqual(self.c.processes(61 * S), 1)


class Tiers(unittest.TestCase):
    def test_busier_means_shorter_and_the_last_bucket_refuses(self):
        r = Route("r", "h", "/", "streaming", (), 10 * S, S, S)
        bs = buckets_for(r, 64)
        spans = [pick(bs, n) for n in (0, 40, 100, 128)]
        self.assertEqual([g and g.timeout / S for g in spans], [2, 1.5, 1, None])
