"""How many runners are ordered: what is needed, for how long, within the limits."""

import unittest
from datetime import timedelta

from sparloom.controller.scaled_services import scaled_services
from sparloom.discovery import Endpoint
from sparloom.duties.scaling import STABILISATION, ScaledService, ScalePolicy, needed_per_zone

SECOND = timedelta(seconds=1)


def service(runners=None, minimum=2, maximum=9):
    return ScaledService("s", minimum, maximum, 10, {"a": 3, "b": 3} if runners is None else runners)


class Policy(unittest.TestCase):
    def play(self, demands, present=3):
        """What is ordered for zone a in each second; an order is in force at once."""
        policy, ordered, seen = ScalePolicy(), {"a": present, "b": present}, []
        for second, demand in enumerate(demands):
            ordered |= policy.wanted(service(), demand, second * SECOND, ordered)
            seen.append(ordered["a"])
        return seen

    def test_fewer_are_ordered_after_a_long_time_in_which_they_sufficed(self):
        self.assertEqual(self.play([1] * 32), [3] * 30 + [2] * 2)

    def test_fewer_are_ordered_sooner_where_there_is_no_request_at_all(self):
        self.assertEqual(self.play([0] * 8), [3] * 6 + [2] * 2)

    def test_a_burst_that_is_over_before_a_runner_would_serve_orders_none(self):
        self.assertEqual(self.play([18, 18, 80, 80, 18, 18, 18, 18]), [3] * 8)

    def test_a_lasting_need_orders_what_it_needs_at_least(self):
        self.assertEqual(self.play([50, 60, 70, 55])[-1], 6)

    def test_a_lasting_need_after_a_quiet_time_orders_what_it_needs(self):
        self.assertEqual(self.play([1] * 10 + [50] * 5), [3] * 13 + [6] * 2)

    def test_no_more_is_remembered_than_what_is_looked_at(self):
        policy = ScalePolicy()
        for second in range(200):
            policy.wanted(service(), 1, second * SECOND, {})
        self.assertEqual(len(policy._seen), STABILISATION // SECOND + 1)

    def test_a_need_that_returns_within_the_time_takes_nothing_away(self):
        self.assertEqual(self.play([27, 0, 0, 0, 27, 0, 0, 0, 27]), [3] * 9)
        self.assertEqual(self.play([27] + [9] * 20 + [27] + [9] * 20), [3] * 42)

    def test_numbers_stay_within_the_limits(self):
        self.assertEqual(self.play([9000] * 4)[-1], 9)
        self.assertEqual(needed_per_zone(service(), 0), 2)

    def test_a_zone_without_an_order_counts_as_it_is_listed(self):
        policy = ScalePolicy()
        for second in range(7):
            wanted = policy.wanted(service({"a": 5, "b": 2}), 0, second * SECOND, {})
        self.assertEqual(wanted, {"a": 2})


class Services(unittest.TestCase):
    def test_runners_that_drain_are_not_counted_but_their_zone_is(self):
        runners = [Endpoint("i", "s", "h:1", "a", 8, False, 0), Endpoint("j", "s", "h:2", "b", 8, True, 0)]
        (found,) = scaled_services([{"name": "s", "scaling": {"minimum": 1, "maximum": 2}}], runners)
        self.assertEqual(found.runners, {"a": 1, "b": 0})

    def test_services_without_limits_or_runners_are_left_alone(self):
        runners = [Endpoint("i", "s", "h:1", "a", 8, False, 0)]
        limits = {"minimum": 1, "maximum": 2}
        self.assertEqual(scaled_services([{"name": "s"}, {"name": "t", "scaling": limits}], runners), [])
