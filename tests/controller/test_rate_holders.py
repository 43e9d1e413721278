"""Tests that the routers' shares of a cold runner's rate limit never exceed the limit, whatever each router sees.

Regression, found by analysis: a router computed its share from its rank, at first among the routers that it saw, later
among all that its membership table still contained. Two halves of a fleet that were partitioned for longer than dead
members stay in that table were granted 50 of 29. So was the rest of a fleet in which some routers had already removed
a lost zone from the table. Now the primary decides which routers have a share.
"""

import random
import unittest
from datetime import timedelta

from attrs import define

from sparloom.configuration.rate_holders import RATE_WINDOW, RateHolders
from sparloom.controller.rate_planner import REMOVAL_CONTACT_BOUNDS, RatePlanner

SECOND = timedelta(seconds=1)
STEP = timedelta(milliseconds=500)
# The contact bound is short so that a partition of minutes exceeds every duration measured in contact bounds.
CONTACT_BOUND = 1 * SECOND
LIMIT = 29
SALTS = (0, 7, 61)


@define(slots=True, eq=False)
class Router:
    """A router process with its table and the time at which that was last known to be the newest."""

    started_at: timedelta
    table: RateHolders
    confirmed_at: timedelta
    running: bool = True
    reachable: bool = True


class Fleet:
    """Simulates routers and successive primaries in steps of half a second."""

    def __init__(self, rng, size):
        self.rng, self.now = rng, 0 * SECOND
        self.committed, self.tables_in_use, self.share_cache = RateHolders(), {}, {}
        # The table that a partitioned controller sends to routers that start in its partition.
        self.partition_table, self.partitioned_at = RateHolders(), 0 * SECOND
        self.routers, self.created_count = {}, 0
        for _ in range(size):
            self.add_router()
        self.replace_primary()

    def add_router(self, reachable=True):
        """Adds a router at an unused address."""
        self.created_count += 1
        self.routers[f"10.0.0.{self.created_count}:1"] = self.new_process(reachable)

    def new_process(self, reachable):
        table, confirmed_at = (self.committed, self.now) if reachable else (self.partition_table, self.partitioned_at)
        return Router(self.now, table, confirmed_at, reachable=reachable)

    def restart_router(self, address):
        """Replaces the router at an address with a new process."""
        self.routers[address] = self.new_process(self.routers[address].reachable)

    def replace_primary(self):
        self.planner = RatePlanner(CONTACT_BOUND, self.now)

    def partition(self, addresses):
        """Partitions some routers off, together with a controller that has the current table."""
        self.partition_table, self.partitioned_at = self.committed, self.now
        for address in addresses:
            self.routers[address].reachable = False

    def heal_partition(self):
        for router in self.routers.values():
            router.reachable = True

    def step(self):
        self.now += STEP
        for router in self.routers.values():
            if router.running and router.reachable and self.rng.random() < 0.8:
                # A heartbeat confirms the table that was the newest when the primary sent it.
                router.table, router.confirmed_at = self.committed, self.now - self.rng.random() * SECOND / 2
        live_routers = frozenset(
            address
            for address, router in self.routers.items()
            if router.running and router.reachable and self.rng.random() < 0.98
        )
        after = self.planner.next_table(self.now, self.committed, live_routers)
        if after is not None and self.rng.random() < 0.9:
            self.committed = after
        self.record_tables_in_use()

    def record_tables_in_use(self):
        for address, router in self.routers.items():
            age, uptime = self.now - router.confirmed_at, self.now - router.started_at
            if router.running and router.table.is_usable(age, uptime, CONTACT_BOUND):
                self.tables_in_use.setdefault(address, []).append((self.now, router.table))

    def total(self, salt):
        """The number of requests that may have been sent in the last second, including by stopped processes."""
        total = 0
        for address, entries in list(self.tables_in_use.items()):
            self.tables_in_use[address] = [entry for entry in entries if self.now - entry[0] <= RATE_WINDOW]
            tables = {id(table): table for _, table in self.tables_in_use[address]}
            total += max((self.share(table, address, salt) for table in tables.values()), default=0)
        return total

    def share(self, table, address, salt):
        key = (id(table), address, salt)
        if key not in self.share_cache:
            self.share_cache[key] = table, table.quota(address, LIMIT, salt)
        return self.share_cache[key][1]

    def run(self, steps):
        """Runs the simulation for a number of steps and returns the maximum total."""
        maximum_total = 0
        for _ in range(steps):
            self.step()
            maximum_total = max(maximum_total, *map(self.total, SALTS))
        return maximum_total


class RateShareTest(unittest.TestCase):
    def test_all_shares_sum_to_seven_eighths_of_the_limit(self):
        for count in (1, 2, 25, 29, 63, 73, 200):
            routers = frozenset(map(str, range(count)))
            for salt in SALTS:
                total = sum(RateHolders(routers, routers).quota(router, LIMIT, salt) for router in routers)
                self.assertEqual(total, int(LIMIT * 7 / 8))

    def test_shares_of_two_consecutive_tables_do_not_exceed_the_limit(self):
        rng = random.Random(1)
        for _ in range(100):
            before, present, after = (frozenset(rng.sample(range(90), rng.randint(1, 90))) for _ in range(3))
            names = [frozenset(map(str, routers)) for routers in (before, present, after)]
            older, newer = RateHolders(names[1], names[0]), RateHolders(names[2], names[1])
            for salt in SALTS:
                total = sum(rng.choice((older, newer)).quota(str(router), LIMIT, salt) for router in range(90))
                self.assertLessEqual(total, LIMIT)

    def test_a_joining_router_hardly_reduces_the_total_while_both_tables_are_in_use(self):
        before = frozenset(map(str, range(73)))
        table = RateHolders(before | {"new"}, before)
        for salt in SALTS:
            self.assertGreaterEqual(sum(table.quota(router, LIMIT, salt) for router in table.routers), 24)


class SimulatedFleetTest(unittest.TestCase):
    def stable_fleet(self, rng, size):
        fleet = Fleet(rng, size)
        fleet.run(30)
        self.assertGreater(min(map(fleet.total, SALTS)), 0.7 * LIMIT)
        return fleet

    def test_the_limit_holds_during_and_after_a_long_partition(self):
        for seed in range(6):
            rng = random.Random(seed)
            fleet = self.stable_fleet(rng, rng.choice((30, 73)))
            fleet.partition(rng.sample(sorted(fleet.routers), len(fleet.routers) // 2))
            self.assertLessEqual(fleet.run(int((REMOVAL_CONTACT_BOUNDS + 60) * CONTACT_BOUND / STEP)), LIMIT)
            fleet.heal_partition()
            self.assertLessEqual(fleet.run(120), LIMIT)
            self.assertGreater(min(map(fleet.total, SALTS)), 0.7 * LIMIT)

    def test_a_replacement_zone_with_new_addresses_takes_over_the_shares(self):
        rng = random.Random(2)
        fleet = self.stable_fleet(rng, 73)
        for address in sorted(fleet.routers)[:24]:
            fleet.routers[address].running = False
        for _ in range(24):
            fleet.add_router()
        self.assertLessEqual(fleet.run(int((REMOVAL_CONTACT_BOUNDS + 60) * CONTACT_BOUND / STEP)), LIMIT)
        self.assertGreater(min(map(fleet.total, SALTS)), 0.7 * LIMIT)
        self.assertEqual(len(fleet.committed.routers), 73)

    def test_restarting_a_partitioned_half_of_the_fleet_grants_no_extra_share(self):
        rng = random.Random(3)
        fleet = self.stable_fleet(rng, 63)
        partitioned = rng.sample(sorted(fleet.routers), 31)
        fleet.partition(partitioned)
        maximum_total = fleet.run(200)
        for address in partitioned:
            fleet.restart_router(address)
        self.assertLessEqual(max(maximum_total, fleet.run(200)), LIMIT)

    def test_a_router_restarted_at_the_same_address_retains_its_share(self):
        fleet = self.stable_fleet(random.Random(4), 30)
        table = fleet.committed
        for address in sorted(fleet.routers)[:9]:
            fleet.restart_router(address)
        self.assertLessEqual(fleet.run(20), LIMIT)
        self.assertEqual(fleet.committed, table)
        self.assertGreater(min(map(fleet.total, SALTS)), 0.7 * LIMIT)

    def test_the_limit_holds_under_random_faults(self):
        for seed in range(10):
            rng = random.Random(f"storm {seed}")
            fleet = Fleet(rng, rng.choice((8, 30, 63)))
            events = (
                fleet.replace_primary,
                fleet.heal_partition,
                fleet.add_router,
                self.partition,
                self.restart_router,
                self.stop_router,
                self.stop_router,
            )
            for _ in range(40):
                event = rng.choice(events)
                event(fleet) if event in (self.partition, self.restart_router, self.stop_router) else event()
                self.assertLessEqual(fleet.run(rng.choice((1, 3, 10, 60))), LIMIT, seed)
            fleet.heal_partition()
            fleet.run(500)
            self.assertGreater(min(map(fleet.total, SALTS)), 0.7 * LIMIT, seed)

    def partition(self, fleet):
        fleet.partition(fleet.rng.sample(sorted(fleet.routers), len(fleet.routers) // fleet.rng.randint(2, 5)))

    def restart_router(self, fleet):
        for address in fleet.rng.sample(sorted(fleet.routers), len(fleet.routers) // 3):
            fleet.restart_router(address)

    def stop_router(self, fleet):
        running = [address for address, router in fleet.routers.items() if router.running]
        if len(running) > 6:
            fleet.routers[fleet.rng.choice(running)].running = False


if __name__ == "__main__":
    unittest.main()
