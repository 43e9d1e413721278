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
    def seconds(self, count, buckets=SOURCE):
        grant = pick(buckets, count)
        return grant and grant.timeout / S

    def test_the_sources_example(self):
        self.assertEqual([self.seconds(n) for n in (0, 4, 5, 9, 10, 19, 20)], [8, 8, 1, 1, 0.5, 0.5, None])

    def test_order_does_not_matter(self):
        for seed in range(6):
            buckets = random.Random(seed).sample(SOURCE, 3)
            self.assertEqual([self.seconds(n, buckets) for n in (0, 7, 15, 25)], [8, 1, 0.5, None])

    def test_a_limit_below_zero_is_unlimited(self):
        buckets = [*SOURCE, Bucket(S / 5, -1)]
        self.assertEqual((self.seconds(10**6, buckets), self.seconds(0, buckets)), (0.2, 8))

    def test_limits_computed_at_run_time(self):
        limit = [1]

        def buckets():
            return [Bucket(S, limit[0])]

        self.assertIsNone(pick(buckets, 1))
        limit[0] = 2
        self.assertEqual(pick(buckets, 1).count, 2)

    def test_the_capacity_variant(self):
        capacities = [Capacity(8 * S, 0.05, 3), Capacity(S, 0.05), Capacity(S / 2, 0.10), Capacity(S / 5, 1.0)]
        self.assertEqual([b.limit for b in capacity_buckets(capacities, 4, 5)], [3, 1, 2, -1])
        self.assertEqual([b.limit for b in capacity_buckets(capacities, 4, 100)], [20, 20, 40, -1])
        self.assertEqual([b.limit for b in capacity_buckets(capacities, 4, 16)], [4, 4, 7, -1])


class Shared(unittest.TestCase):
    def setUp(self):
        self.calls = []
        self.counts = InFlightCounts(3 * S, self.calls.append)
        self.names = {7: "r", 8: "q"}

    def receive(self, at, calls, instance_id=1, sequence=1):
        self.counts.on_update(
            InFlightUpdate("p", instance_id, sequence, 1, [InFlightReport(7, calls, 100, 0, 0, 0, 0)], []),
            at * S,
            self.names,
        )

    def test_a_call_takes_a_slot_in_every_bucket_and_gives_it_back_once(self):
        slots = [self.counts.acquire("r", SOURCE, 0 * S) for _ in range(6)]
        self.assertEqual([slot.grant.timeout / S for slot in slots], [8, 8, 8, 8, 8, 1])
        slots[0].release(S)
        slots[0].release(S)
        self.assertEqual(self.counts.count("r", S), 5)
        self.assertEqual(self.counts.acquire("r", SOURCE, S).grant.timeout, S)
        for slot in slots:
            slot.release(2 * S)
        self.assertEqual(self.counts.count("r", 2 * S), 1)

    def test_peers_count_too(self):
        self.receive(0, 20)
        self.assertIsNone(self.counts.acquire("r", SOURCE, 0 * S))
        self.assertIsNotNone(self.counts.acquire("q", SOURCE, 0 * S))

    def test_resources_have_counts_of_their_own(self):
        self.receive(0, 4)
        self.assertEqual((self.counts.count("r", 0 * S), self.counts.count("q", 0 * S)), (4, 0))

    def test_a_dropped_nodes_slots_are_released(self):
        self.receive(0, 20)
        self.counts.drop_node("p")
        self.assertEqual(self.counts.count("r", 0 * S), 0)

    def test_a_new_instance_drops_the_old_ones_slots(self):
        self.receive(0, 20, instance_id=1, sequence=9)
        self.counts.drop_node("p", instance_id=2)
        self.assertEqual(self.counts.count("r", 0 * S), 0)
        self.receive(1, 3, instance_id=2, sequence=1)
        self.counts.drop_node("p", instance_id=2)
        self.assertEqual(self.counts.count("r", S), 3)

    def test_late_counts_stand_until_they_are_stale(self):
        self.receive(0, 20)
        self.assertEqual(self.counts.count("r", 3 * S), 20)
        self.assertEqual(self.counts.count("r", 3.1 * S), 0)

    def test_an_older_update_does_not_replace_a_newer_one(self):
        self.receive(0, 3, sequence=2)
        self.receive(0, 9, sequence=1)
        self.assertEqual(self.counts.count("r", 0 * S), 3)

    def test_the_callback_is_called_for_each_request(self):
        self.counts.acquire("r", [Bucket(S, 0)], 0 * S)
        slot = self.counts.acquire("r", SOURCE, S)
        slot.timed_out = True
        slot.release(3 * S)
        self.assertEqual(
            [(call.count, call.duration / S, call.throttled, call.timed_out) for call in self.calls],
            [(0, 0, True, False), (1, 2, False, True)],
        )

    def test_tokens_count_until_their_prefill_ends(self):
        slot = self.counts.acquire("r", SOURCE, 0 * S, 500)
        self.receive(0, 1)
        self.assertEqual(self.counts.prefill_tokens("r", 0 * S), 600)
        slot.on_prefilled(500)
        slot.release(S)
        self.assertEqual(self.counts.prefill_tokens("r", S), 100)

    def test_callers_are_remembered_for_a_minute(self):
        self.receive(0, 1)
        self.assertEqual(self.counts.processes(59 * S), 2)
        self.assertEqual(self.counts.processes(61 * S), 1)


class Tiers(unittest.TestCase):
    def test_busier_means_shorter_and_the_last_bucket_refuses(self):
        r = Route("r", "h", "/", "streaming", (), 10 * S, S, S)
        buckets = buckets_for(r, 64)
        grants = [pick(buckets, count) for count in (0, 40, 100, 128)]
        self.assertEqual([grant and grant.timeout / S for grant in grants], [2, 1.5, 1, None])
