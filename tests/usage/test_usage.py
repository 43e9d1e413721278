"""Usage accounting: lost, duplicate and late messages, new collectors, and the estimates of the true time."""

import random
import unittest
from collections import Counter
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from sparloom.usage import (
    FleetClock,
    RouterClock,
    UsageChannel,
    UsageCollector,
    UsageCounter,
    UsageReport,
    window_number,
)
from sparloom.usage.clock import microseconds

SECOND = timedelta(seconds=1)
WINDOW = 5 * SECOND
START_US = 1_700_000_000_000_000


def collector(id=1, now=0 * SECOND):
    return UsageCollector(id, FleetClock(now, START_US))


class Router:
    """A router's counter and its reports to one controller."""

    def __init__(self, node="r:1", instance=1):
        self.node, self.instance, self.counter, self.channel = node, instance, UsageCounter(), UsageChannel()

    def report(self, now=0 * SECOND, wall_us=START_US, complete=0):
        sequence, entries = self.channel.next_report(self.counter)
        channel = self.channel
        self.newest_report = UsageReport(
            self.node,
            self.instance,
            channel.collector_id,
            sequence,
            channel.base,
            microseconds(now),
            wall_us,
            0,
            complete,
            self.counter.decided_through,
            entries,
            [],
        )
        return self.newest_report

    def reply(self, id, sequence, decided=0):
        self.channel.on_reply(id, sequence)
        self.counter.decide(decided)

    def exchange(self, collector, now=0 * SECOND):
        self.reply(collector.id, collector.on_report(now, self.report(now)), collector.decided_through)


class Counts(unittest.TestCase):
    def test_each_request_is_counted_once_over_many_exchanges(self):
        router, primary = Router(), collector()
        for _ in range(5):
            router.counter.add(1, "a")
            router.exchange(primary)
        self.assertEqual(primary.counts(1), {"a": 5})

    def test_a_lost_reply_or_a_duplicate_report_counts_no_request_twice(self):
        router, primary = Router(), collector()
        router.exchange(primary)
        router.counter.add(1, "a")
        report = router.report()
        primary.on_report(SECOND, report)
        primary.on_report(SECOND, report)
        router.counter.add(1, "a")
        router.exchange(primary)
        self.assertEqual(primary.counts(1), {"a": 2})

    def test_a_new_collector_gets_all_undecided_counts(self):
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

    def test_a_decided_window_is_final(self):
        router, primary = Router(), collector()
        router.counter.add(1, "a")
        router.exchange(primary)
        primary.decide(1)
        router.exchange(primary)
        router.counter.add(1, "a")
        router.exchange(primary)
        self.assertEqual((primary.counts(1), router.counter.late), ({}, 1))

    def test_counts_of_a_killed_router_remain_in_the_sums(self):
        router, primary = Router(), collector()
        router.counter.add(1, "a")
        router.exchange(primary)
        primary.remove_departed([], 60 * SECOND)
        self.assertEqual(primary.counts(1), {"a": 1})

    def test_a_removed_router_continues_with_its_unreported_counts(self):
        router, primary = Router(), collector()
        for _ in range(3):
            router.counter.add(1, "a")
            router.exchange(primary)
        primary.remove_departed([], 600 * SECOND)
        router.counter.add(1, "a")
        for _ in range(3):
            router.exchange(primary, 600 * SECOND)
        self.assertEqual(primary.counts(1), {"a": 4})

    def test_a_window_is_complete_once_each_router_has_reported_past_its_end(self):
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
    def test_sums_are_exact_despite_lost_duplicate_and_late_messages(self, seed):
        exchange = UnreliableExchange(random.Random(seed))
        for _ in range(exchange.rng.randint(5, 60)):
            exchange.step()
        for _ in range(4):
            for router in exchange.routers:
                router.exchange(exchange.primary)
        self.assertEqual(exchange.primary.counts(1), dict(exchange.expected_counts))


class UnreliableExchange:
    """Two routers and a controller that may restart; messages may be lost, duplicated and late."""

    def __init__(self, rng):
        self.rng, self.routers = rng, [Router(f"r:{number}", number) for number in (1, 2)]
        self.primary, self.expected_counts, self.to_primary, self.to_routers = collector(1), Counter(), [], []

    def step(self):
        steps, weights = (self.count, self.report, self.deliver, self.answer, self.restart), (40, 20, 20, 15, 3)
        self.rng.choices(steps, weights)[0]()

    def pick(self, messages, keep_probability):
        """Return a random message, which remains for another delivery with ``keep_probability``."""
        index = self.rng.randrange(len(messages))
        return messages[index] if self.rng.random() < keep_probability else messages.pop(index)

    def count(self):
        tenant = self.rng.choice("ab")
        self.rng.choice(self.routers).counter.add(1, tenant)
        self.expected_counts[tenant] += 1

    def report(self):
        router = self.rng.choice(self.routers)
        self.to_primary.append((router, router.report()))

    def deliver(self):
        if self.to_primary and self.rng.random() < 0.8:
            router, report = self.pick(self.to_primary, keep_probability=0.2)
            self.to_routers.append((router, report, self.primary.id, self.primary.on_report(SECOND, report)))

    def answer(self):
        if self.to_routers:
            router, report, id, sequence = self.pick(self.to_routers, keep_probability=0.2)
            # An ended process sends no replies, and routers accept replies to their newest report only.
            if id == self.primary.id and report is router.newest_report:
                router.reply(id, sequence)

    def restart(self):
        """Restart the controller; reports to the previous process may still arrive."""
        self.primary = collector(self.primary.id + 1)


class Clocks(unittest.TestCase):
    def test_windows_begin_at_multiples_of_their_length(self):
        self.assertEqual(window_number(START_US, WINDOW), START_US // 5_000_000)

    def test_clock_jumps_on_fewer_than_half_of_the_machines_have_no_effect(self):
        clock = FleetClock(0 * SECOND, START_US - 2_000_000)
        for number in range(10):
            wall_us = START_US + 1_000_000 + (2_000_000 if number < 3 else 0)
            clock.on_report(f"r:{number}", SECOND, wall_us, 0)
        self.assertEqual(clock.true_us(SECOND), START_US + 1_000_000)

    def test_a_router_uses_the_time_of_the_exchange_with_the_shortest_round_trip(self):
        clock = RouterClock(0 * SECOND, START_US + 2_000_000)
        clock.on_exchange(SECOND, 1.002 * SECOND, START_US + 1_001_000)
        clock.on_exchange(2 * SECOND, 2.9 * SECOND, START_US + 2_001_000)
        self.assertEqual(clock.true_us(3 * SECOND), START_US + 3_000_000)

    def test_a_wall_clock_jump_after_the_start_has_no_effect(self):
        """A router reads its wall clock for its own time only once; later values only go into the primary's median."""
        clock = RouterClock(0 * SECOND, START_US)
        self.assertEqual(clock.true_us(7 * SECOND), START_US + 7_000_000)
