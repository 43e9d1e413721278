"""Tests timeout buckets against the examples of the source (Faraday), and in-flight counts of a fleet."""

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

SECOND = timedelta(seconds=1)
# The buckets of the example in the source.
EXAMPLE_BUCKETS = [Bucket(8 * SECOND, 5), Bucket(SECOND, 10), Bucket(SECOND / 2, 20)]


class Buckets(unittest.TestCase):
    def timeout_s(self, count, buckets=EXAMPLE_BUCKETS):
        grant = pick(buckets, count)
        return grant and grant.timeout / SECOND

    def test_the_example_of_the_source(self):
        self.assertEqual([self.timeout_s(count) for count in (0, 4, 5, 9, 10, 19, 20)], [8, 8, 1, 1, 0.5, 0.5, None])

    def test_the_order_of_buckets_does_not_matter(self):
        for seed in range(6):
            buckets = random.Random(seed).sample(EXAMPLE_BUCKETS, 3)
            self.assertEqual([self.timeout_s(count, buckets) for count in (0, 7, 15, 25)], [8, 1, 0.5, None])

    def test_a_negative_limit_is_unlimited(self):
        buckets = [*EXAMPLE_BUCKETS, Bucket(SECOND / 5, -1)]
        self.assertEqual((self.timeout_s(10**6, buckets), self.timeout_s(0, buckets)), (0.2, 8))

    def test_buckets_from_a_function_are_evaluated_for_each_request(self):
        limit = [1]

        def buckets():
            return [Bucket(SECOND, limit[0])]

        self.assertIsNone(pick(buckets, 1))
        limit[0] = 2
        self.assertEqual(pick(buckets, 1).count, 2)

    def test_limits_from_the_capacity_of_the_callers(self):
        capacities = [
            Capacity(8 * SECOND, 0.05, 3),
            Capacity(SECOND, 0.05),
            Capacity(SECOND / 2, 0.10),
            Capacity(SECOND / 5, 1.0),
        ]
        self.assertEqual([bucket.limit for bucket in capacity_buckets(capacities, 4, 5)], [3, 1, 2, -1])
        self.assertEqual([bucket.limit for bucket in capacity_buckets(capacities, 4, 100)], [20, 20, 40, -1])
        self.assertEqual([bucket.limit for bucket in capacity_buckets(capacities, 4, 16)], [4, 4, 7, -1])


class FleetCounts(unittest.TestCase):
    def setUp(self):
        self.calls = []
        self.counts = InFlightCounts(3 * SECOND, self.calls.append)
        self.names = {7: "r", 8: "q"}

    def receive(self, at_s, calls, instance_id=1, sequence=1):
        self.counts.on_update(
            InFlightUpdate("p", instance_id, sequence, 1, [InFlightReport(7, calls, 100, 0, 0, 0, 0)], []),
            at_s * SECOND,
            self.names,
        )

    def test_a_request_takes_a_slot_in_every_bucket_and_releases_it_once(self):
        slots = [self.counts.acquire("r", EXAMPLE_BUCKETS, 0 * SECOND) for _ in range(6)]
        self.assertEqual([slot.grant.timeout / SECOND for slot in slots], [8, 8, 8, 8, 8, 1])
        slots[0].release(SECOND)
        slots[0].release(SECOND)
        self.assertEqual(self.counts.count("r", SECOND), 5)
        self.assertEqual(self.counts.acquire("r", EXAMPLE_BUCKETS, SECOND).grant.timeout, SECOND)
        for slot in slots:
            slot.release(2 * SECOND)
        self.assertEqual(self.counts.count("r", 2 * SECOND), 1)

    def test_requests_of_peers_count(self):
        self.receive(0, 20)
        self.assertIsNone(self.counts.acquire("r", EXAMPLE_BUCKETS, 0 * SECOND))
        self.assertIsNotNone(self.counts.acquire("q", EXAMPLE_BUCKETS, 0 * SECOND))

    def test_resources_are_counted_separately(self):
        self.receive(0, 4)
        self.assertEqual((self.counts.count("r", 0 * SECOND), self.counts.count("q", 0 * SECOND)), (4, 0))

    def test_the_slots_of_a_dropped_node_are_released(self):
        self.receive(0, 20)
        self.counts.drop_node("p")
        self.assertEqual(self.counts.count("r", 0 * SECOND), 0)

    def test_a_new_instance_releases_the_slots_of_the_previous_one(self):
        self.receive(0, 20, instance_id=1, sequence=9)
        self.counts.drop_node("p", instance_id=2)
        self.assertEqual(self.counts.count("r", 0 * SECOND), 0)
        self.receive(1, 3, instance_id=2, sequence=1)
        self.counts.drop_node("p", instance_id=2)
        self.assertEqual(self.counts.count("r", SECOND), 3)

    def test_counts_apply_until_they_are_stale(self):
        self.receive(0, 20)
        self.assertEqual(self.counts.count("r", 3 * SECOND), 20)
        self.assertEqual(self.counts.count("r", 3.1 * SECOND), 0)

    def test_an_older_update_is_ignored(self):
        self.receive(0, 3, sequence=2)
        self.receive(0, 9, sequence=1)
        self.assertEqual(self.counts.count("r", 0 * SECOND), 3)

    def test_the_callback_is_called_for_throttled_and_finished_requests(self):
        self.counts.acquire("r", [Bucket(SECOND, 0)], 0 * SECOND)
        slot = self.counts.acquire("r", EXAMPLE_BUCKETS, SECOND)
        slot.timed_out = True
        slot.release(3 * SECOND)
        self.assertEqual(
            [(call.count, call.duration / SECOND, call.throttled, call.timed_out) for call in self.calls],
            [(0, 0, True, False), (1, 2, False, True)],
        )

    def test_prompt_tokens_count_until_their_prefill_ends(self):
        slot = self.counts.acquire("r", EXAMPLE_BUCKETS, 0 * SECOND, 500)
        self.receive(0, 1)
        self.assertEqual(self.counts.prefill_tokens("r", 0 * SECOND), 600)
        slot.on_prefilled(500)
        slot.release(SECOND)
        self.assertEqual(self.counts.prefill_tokens("r", SECOND), 100)

    def test_processes_count_for_a_minute_after_their_last_update(self):
        self.receive(0, 1)
        self.assertEqual(self.counts.processes(59 * SECOND), 2)
        self.assertEqual(self.counts.processes(61 * SECOND), 1)


class RouteBuckets(unittest.TestCase):
    def test_timeouts_decrease_with_load_until_the_last_bucket_is_full(self):
        route = Route("r", "h", "/", "streaming", (), 10 * SECOND, SECOND, SECOND)
        buckets = buckets_for(route, 64)
        grants = [pick(buckets, count) for count in (0, 40, 100, 128)]
        self.assertEqual([grant and grant.timeout / SECOND for grant in grants], [2, 1.5, 1, None])
