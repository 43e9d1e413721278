"""The shares of things that can't be split stay within the bound, whatever the routers see of each other.

Regression by reasoning, not from a day: a router's position was its rank among the routers that it saw alive. In
a fleet cut into halves both halves had the same ranks, and up to twice the bound could reach a cold runner.
"""

import random
import unittest
from datetime import timedelta

from sparloom.admission import FleetSize

SECOND = timedelta(seconds=1)
CONTACT = 4 * SECOND
LIMIT = 29


class Fleet:
    """Routers 0, 1, ... with a view each: whom they remember, and whom they see."""

    def __init__(self, routers):
        self.routers = routers
        self.sizes = {router: FleetSize(CONTACT) for router in range(routers)}
        self.remembered = {router: set(range(routers)) - {router} for router in range(routers)}
        self.recorded = routers

    def update(self, now, groups, restarted=()):
        """Every router looks around; ``groups`` can't see each other, ``restarted`` remember only what they see."""
        for group in groups:
            for router in group:
                seen = set(group) - {router}
                if router in restarted:
                    self.sizes[router], self.remembered[router] = FleetSize(CONTACT), set()
                self.remembered[router] |= seen
                known = self.remembered[router]
                index = sum(other < router for other in known)
                self.sizes[router].update(now, 1 + len(seen), self.recorded, {}, index, 1 + len(known))

    def share(self, router, salt):
        return self.sizes[router].indivisible_share(LIMIT, salt)

    def total(self, salt):
        return sum(self.share(router, salt) for router in self.sizes)


class Positions(unittest.TestCase):
    def halves(self, routers, luck):
        mixed = luck.sample(range(routers), routers)
        return mixed[: routers // 2], mixed[routers // 2 :]

    def test_halves_that_do_not_see_each_other_stay_within_the_bound(self):
        for seed in range(40):
            luck = random.Random(seed)
            fleet = Fleet(luck.choice((8, 31, 63, 73, 200)))
            halves = self.halves(fleet.routers, luck)
            fleet.update(0 * SECOND, [range(fleet.routers)])
            for second in range(1, 60, 3):
                fleet.update(second * SECOND, halves)
                for salt in range(0, 1000, 61):
                    self.assertLessEqual(fleet.total(salt), LIMIT)
                    self.assertGreater(fleet.total(salt), 0.7 * LIMIT)

    def test_routers_that_start_within_a_partition_add_nothing(self):
        for seed in range(40):
            luck = random.Random(seed)
            fleet = Fleet(luck.choice((31, 63, 73, 200)))
            halves = self.halves(fleet.routers, luck)
            fleet.update(0 * SECOND, [range(fleet.routers)])
            restarted = luck.sample(halves[0], luck.randint(1, len(halves[0])))
            fleet.update(1 * SECOND, halves, restarted)
            for second in range(2, 60, 3):
                fleet.update(second * SECOND, halves)
                self.assertLessEqual(max(fleet.total(salt) for salt in range(0, 1000, 61)), LIMIT)

    def test_halves_that_have_forgotten_each_other_stay_within_the_bound(self):
        """Reckoned on paper: after 20 contact bounds each half counted from the start, and both granted 25 of 29."""
        for routers in (30, 73, 200):
            fleet = Fleet(routers)
            halves = (range(routers // 2), range(routers // 2, routers))
            fleet.update(0 * SECOND, [range(routers)])
            fleet.remembered = {router: set() for router in range(routers)}
            for second in (100, 200, 300):
                fleet.update(second * SECOND, halves)
                self.assertLessEqual(max(fleet.total(salt) for salt in range(0, 1000, 61)), LIMIT)

    def test_a_lost_zone_that_some_have_forgotten_and_some_have_not_stays_within_the_bound(self):
        for routers in (63, 73):
            fleet = Fleet(routers)
            zone, others = range(24), range(24, routers)
            fleet.update(0 * SECOND, [range(routers)])
            for router in others:
                if router % 2:
                    fleet.remembered[router] -= set(zone)
            fleet.update(100 * SECOND, [others])
            total = max(sum(fleet.share(router, salt) for router in others) for salt in range(0, 1000, 61))
            self.assertLessEqual(total, LIMIT)

    def test_a_start_of_all_with_a_few_missing_uses_most_of_the_bound(self):
        for routers in (31, 63, 73):
            fleet = Fleet(routers)
            present = range(routers - 3)
            fleet.update(0 * SECOND, [present], restarted=present)
            total = sum(fleet.sizes[router].indivisible_share(LIMIT, 7) for router in present)
            self.assertLessEqual(total, LIMIT)
            self.assertGreater(total, 0.6 * LIMIT)

    def test_a_router_that_has_run_for_long_trusts_what_it_knows(self):
        size = FleetSize(CONTACT)
        size.update(0 * SECOND, 40, 63, {}, 0, 40)
        self.assertEqual(size.indivisible_share(LIMIT), 0)
        size.update(81 * SECOND, 40, 63, {}, 0, 40)
        self.assertEqual(size.indivisible_share(LIMIT), 1)

    def test_replaced_routers_that_are_still_remembered_have_positions_of_their_own(self):
        size = FleetSize(CONTACT)
        size.update(0 * SECOND, 63, 63, {}, 70, 75)
        totals = []
        for salt in range(75):
            totals.append(size.indivisible_share(LIMIT, salt))
        self.assertEqual(sum(totals), int(LIMIT * 7 / 8))


if __name__ == "__main__":
    unittest.main()
