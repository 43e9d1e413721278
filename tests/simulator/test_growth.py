"""Tests of the growth measurement: a small simulated fleet converges, and known power laws are fitted exactly."""

import unittest

from simulator.growth import play
from simulator.slopes import fit, rows


class PowerLawFit(unittest.TestCase):
    def test_known_power_laws_are_fitted(self):
        for exponent in (0, 0.5, 1, 2):
            slope = fit([(size, 7 * size**exponent) for size in (6, 18, 37, 73)])
            self.assertAlmostEqual(slope.exponent, exponent)
            self.assertAlmostEqual(slope.scale, 7)
            self.assertAlmostEqual(slope.residual, 0)

    def test_a_point_off_the_law_raises_the_residual(self):
        self.assertGreater(fit([(1, 1), (2, 3), (4, 4)]).residual, 0.1)

    def test_one_size_gives_no_fit(self):
        self.assertIsNone(fit([(6, 1.0), (6, 2.0)]))


class Fleet(unittest.TestCase):
    def test_a_small_fleet_gets_the_feed_and_knows_all_routers(self):
        result = play(6, seconds=2.0, warmup=8.0)
        self.assertLess(result["ready_s"], 4.0)
        self.assertIn(1.0, result["seen_s"])
        self.assertGreater(result["followers"], 0)
        names = {name for name, _, _ in rows([result, {**result, "routers": 12}])}
        self.assertLessEqual({"router datagrams out", "router frame in FeedHeartbeat", "followers"}, names)
        self.assertGreater(result["router"]["datagram out Ping"][0], 0.5)

    def test_the_same_seed_gives_the_same_figures(self):
        self.assertEqual(play(4, seconds=1.0, warmup=3.0, seed=5), play(4, seconds=1.0, warmup=3.0, seed=5))
