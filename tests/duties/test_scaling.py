"""Scaling decisions: the required number of runners, the stabilisation periods and the limits."""

import unittest
from datetime import timedelta

from sparloom.controller.scaled_services import scaled_services
from sparloom.discovery import Endpoint
from sparloom.duties.scaling import SCALE_DOWN_STABILISATION, ScaledService, ScalePolicy, required_per_zone

SECOND = timedelta(seconds=1)


def service(runners=None, minimum=2, maximum=9):
    return ScaledService("s", minimum, maximum, 10, {"a": 3, "b": 3} if runners is None else runners)


class ScalePolicyTest(unittest.TestCase):
    def simulate(self, demands, initial=3):
        """Return the number ordered for zone a after each second; an order takes effect immediately."""
        policy, ordered, ordered_counts = ScalePolicy(), {"a": initial, "b": initial}, []
        for second, demand in enumerate(demands):
            ordered |= policy.desired_changes(service(), demand, second * SECOND, ordered)
            ordered_counts.append(ordered["a"])
        return ordered_counts

    def test_scales_down_after_the_stabilisation_period(self):
        self.assertEqual(self.simulate([1] * 32), [3] * 30 + [2] * 2)

    def test_scales_down_sooner_without_requests(self):
        self.assertEqual(self.simulate([0] * 8), [3] * 6 + [2] * 2)

    def test_a_short_burst_does_not_scale_up(self):
        self.assertEqual(self.simulate([18, 18, 80, 80, 18, 18, 18, 18]), [3] * 8)

    def test_sustained_demand_scales_up_to_the_lowest_recent_requirement(self):
        self.assertEqual(self.simulate([50, 60, 70, 55])[-1], 6)

    def test_sustained_demand_after_low_demand_scales_up(self):
        self.assertEqual(self.simulate([1] * 10 + [50] * 5), [3] * 13 + [6] * 2)

    def test_observations_older_than_the_stabilisation_period_are_dropped(self):
        policy = ScalePolicy()
        for second in range(200):
            policy.desired_changes(service(), 1, second * SECOND, {})
        self.assertEqual(len(policy._observations), SCALE_DOWN_STABILISATION // SECOND + 1)

    def test_demand_that_returns_within_the_stabilisation_period_prevents_scaling_down(self):
        self.assertEqual(self.simulate([27, 0, 0, 0, 27, 0, 0, 0, 27]), [3] * 9)
        self.assertEqual(self.simulate([27] + [9] * 20 + [27] + [9] * 20), [3] * 42)

    def test_the_number_of_runners_stays_within_the_limits(self):
        self.assertEqual(self.simulate([9000] * 4)[-1], 9)
        self.assertEqual(required_per_zone(service(), 0), 2)

    def test_a_zone_without_an_order_uses_its_listed_runners(self):
        policy = ScalePolicy()
        for second in range(7):
            changes = policy.desired_changes(service({"a": 5, "b": 2}), 0, second * SECOND, {})
        self.assertEqual(changes, {"a": 2})


class ScaledServices(unittest.TestCase):
    def test_draining_runners_are_not_counted_but_their_zone_is_included(self):
        runners = [Endpoint("i", "s", "h:1", "a", 8, False, 0), Endpoint("j", "s", "h:2", "b", 8, True, 0)]
        (found,) = scaled_services([{"name": "s", "scaling": {"minimum": 1, "maximum": 2}}], runners)
        self.assertEqual(found.runners, {"a": 1, "b": 0})

    def test_services_without_limits_or_runners_are_not_scaled(self):
        runners = [Endpoint("i", "s", "h:1", "a", 8, False, 0)]
        limits = {"minimum": 1, "maximum": 2}
        self.assertEqual(scaled_services([{"name": "s"}, {"name": "t", "scaling": limits}], runners), [])
