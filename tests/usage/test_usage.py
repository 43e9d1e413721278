"""Counts of usage from routers to collectors: lost, repeated and late messages, other collectors, and the true time."""

import random
import unittest
from collections import Counter
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from sparloom.usage import FleetClock, RouterClock, UsageCollector, UsageCounter, UsageReport, window_number
from sparloom.usage.clock import microseconds

SECOND = timedelta(seconds=1)
WINDOW = 5 * SECOND
START_US = 1_700_000_000_000_000


def collector(id=1, now=0 * SECOND):
    return UsageCollector(id, FleetClock(now, START_US))


class Router:
    """A counter with its messages."""

    def __init__(self, node="r:1", instance=1):
        self.node, self.instance, self.counter = node, instance, UsageCounter()

    def report(self, now=0 * SECOND, wall_us=START_US, complete=0):
        sequence, entries = self.counter.next_report()
        return UsageReport(
            self.node,
            self.instance,
            self.counter.collector_id,
            sequence,
            self.counter.base,
            microseconds(now),
            wall_us,
            0,
            complete,
            entries,
            [],
        )

    def reply(self, reply):
        self.counter.on_reply(reply.collector_id, reply.sequence, reply.decided_through)

    def exchange(self, collector, now=0 * SECOND):
        self.reply(collector.on_report(now, self.report(now)))


class Counts(unittest.TestCase):
    def test_each_request_counts_once_over_many_exchanges(self):
        router, primary = Router(), collector()
        for _ in range(5):
            router.counter.add(1, "a")
            router.exchange(primary)
        self.assertEqual(primary.counts(1), {"a": 5})

    def test_a_lost_reply_and_a_repeated_report_count_nothing_twice(self):
        router, primary = Router(), collector()
        router.exchange(primary)
        router.counter.add(1, "a")
        report = router.report()
        primary.on_report(SECOND, report)
        primary.on_report(SECOND, report)
        router.counter.add(1, "a")
        router.exchange(primary)
        self.assertEqual(primary.counts(1), {"a": 2})

    def test_another_collector_is_told_all_that_is_not_decided(self):
        router, first, second = Router(), collector(1), collector(2)
        for window in (1, 2):
            router.counter.add(window, "a")
        router.exchange(first)
        router.exchange(first)
        first.decide(1)
        router.exchange(first)
        for _ in range(3):
            router.exchange(second)
        self.assertEqual((second.counts(1), second.counts(2)), ({}, {"a": 1}))

    def test_a_decided_window_changes_no_more(self):
        router, primary = Router(), collector()
        router.counter.add(1, "a")
        router.exchange(primary)
        primary.decide(1)
        router.exchange(primary)
        router.counter.add(1, "a")
        router.exchange(primary)
        self.assertEqual((primary.counts(1), router.counter.late), ({}, 1))

    def test_a_router_that_was_killed_keeps_its_counts_in_the_sum(self):
        router, primary = Router(), collector()
        router.counter.add(1, "a")
        router.exchange(primary)
        primary.keep_only([], 60 * SECOND)
        self.assertEqual(primary.counts(1), {"a": 1})

    def test_a_window_is_complete_once_each_router_has_told_past_its_end(self):
        first, second, primary = Router("r:1"), Router("r:2"), collector()
        alive = [("r:1", 1), ("r:2", 1)]
        primary.on_report(SECOND, first.report(complete=10))
        self.assertFalse(primary.is_complete(10, alive))
        primary.on_report(SECOND, second.report(complete=9))
        self.assertFalse(primary.is_complete(10, alive))
        primary.on_report(SECOND, second.report(complete=11))
        self.assertTrue(primary.is_complete(10, alive))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.integers(min_value=0, max_value=10**9))
    def test_with_losses_repeats_and_late_messages_the_sums_are_the_counts(self, seed):
        """Two routers; collectors take turns; messages are lost, repeated and late."""
        luck = random.Random(seed)
        routers = [Router(f"r:{number}", number) for number in (1, 2)]
        primary, truth, next_id = collector(1), Counter(), 2
        to_primary, to_routers = [], []
        for _ in range(luck.randint(5, 60)):
            router = luck.choice(routers)
            move = luck.random()
            if move < 0.4:
                tenant = luck.choice("ab")
                router.counter.add(1, tenant)
                truth[tenant] += 1
            elif move < 0.6:
                to_primary.append(router.report())
            elif move < 0.8 and to_primary:
                report = to_primary.pop(luck.randrange(len(to_primary)))
                for _ in range(luck.choice((0, 1, 1, 2))):
                    to_routers.append((router_of(routers, report), primary.on_report(SECOND, report)))
            elif move < 0.95 and to_routers:
                index = luck.randrange(len(to_routers))
                receiver, reply = to_routers.pop(index) if luck.random() < 0.8 else to_routers[index]
                receiver.reply(reply)
            elif move >= 0.98:
                # A new epoch has a collector of its own; messages of the last one may still come.
                primary, next_id = collector(next_id), next_id + 1
        for _ in range(4):
            for router in routers:
                router.exchange(primary)
        self.assertEqual(primary.counts(1), dict(truth))


def router_of(routers, report):
    return next(router for router in routers if router.node == report.node)


class Clocks(unittest.TestCase):
    def test_windows_begin_at_multiples_of_their_length(self):
        self.assertEqual(window_number(START_US, WINDOW), START_US // 5_000_000)

    def test_jumps_on_fewer_than_half_of_the_machines_move_nothing(self):
        clock = FleetClock(0 * SECOND, START_US - 2_000_000)
        for number in range(10):
            wall_us = START_US + 1_000_000 + (2_000_000 if number < 3 else 0)
            clock.on_report(f"r:{number}", SECOND, wall_us, 0)
        self.assertEqual(clock.true_us(SECOND), START_US + 1_000_000)

    def test_a_router_takes_the_time_of_the_quickest_exchange(self):
        clock = RouterClock(0 * SECOND, START_US + 2_000_000)
        clock.on_exchange(SECOND, 1.002 * SECOND, START_US + 1_001_000)
        clock.on_exchange(2 * SECOND, 2.9 * SECOND, START_US + 2_001_000)
        self.assertEqual(clock.true_us(3 * SECOND), START_US + 3_000_000)

    def test_a_wall_clock_that_jumps_after_the_start_changes_nothing(self):
        """The router reads its wall clock once; what it tells later is judged by the primary's median."""
        clock = RouterClock(0 * SECOND, START_US)
        self.assertEqual(clock.true_us(7 * SECOND), START_US + 7_000_000)
