"""The simulated fleet runs real routers, and the fitted slopes are those of known laws."""

import unittest

from simulator.growth import play
from simulator.slopes import fit, rows


class Slopes(unittest.TestCase):
    def test_known_laws(self):
        for power in (0, 0.5, 1, 2):
            s = fit([(n, 7 * n**power) for n in (6, 18, 37, 73)])
            self.assertAlmostEqual(s.power, power)
            self.assertAlmostEqual(s.scale, 7)
            self.assertAlmostEqual(s.off, 0)

    def test_a_point_off_the_law_shows(self):
        self.assertGreater(fit([(1, 1), (2, 3), (4, 4)]).off, 0.1)

    def test_one_size_has_no_slope(self):
        self.assertIsNone(fit([(6, 1.0), (6, 2.0)]))


class Fleet(unittest.TestCase):
    def test_a_small_fleet_is_fed_and_all_see_all(self):
        got = play(6, seconds=2.0, settle=8.0)
        self.assertLess(got["ready_s"], 4.0)
        self.assertIn(1.0, got["seen_s"])
        self.assertGreater(got["followers"], 0)
        names = {n for n, _, _ in rows([got, {**got, "routers": 12}])}
        self.assertLessEqual({"router datagrams out", "router frame in FeedHeartbeat", "followers"}, names)
        self.assertGreater(got["router"]["datagram out Ping"][0], 0.5)

    def test_the_same_seed_counts_the_same(self):
        self.assertEqual(play(4, seconds=1.0, settle=3.0, seed=5), play(4, seconds=1.0, settle=3.0, seed=5))
