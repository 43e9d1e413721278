"""The model checker finds no violation in the duties, and a violation in each mutation of them."""

import unittest
from unittest import mock

from attrs import evolve

from simulator.check import duties
from simulator.check.duties import search_duties
from sparloom.duties.state import DutyState

CLAIM, ORDER = DutyState.claim, DutyState.order


def claim_without_new_fence(state, holder, first_window):
    fence = max(state.fence, 1)
    return evolve(CLAIM(state, holder, first_window), fence=fence, usage_fence=max(state.usage_fence, 1))


def claim_that_keeps_order_fences(state, holder, first_window):
    return evolve(CLAIM(state, holder, first_window), orders=state.orders)


def claim_that_reopens_windows(state, holder, first_window):
    claimed = CLAIM(state, holder, first_window)
    return evolve(claimed, windows=(), next_window=claimed.next_window - len(state.windows))


def orders_with_one_fence(state, scale_order):
    ordered = ORDER(state, scale_order)
    return evolve(ordered, orders=tuple(evolve(order, fence=1) for order in ordered.orders), fence=state.fence)


class DutyModel(unittest.TestCase):
    def found(self, maximum_states=25_000):
        return search_duties(8, maximum_states).found

    def test_no_violation_without_mutation(self):
        report = search_duties(8, 25_000)
        self.assertEqual((report.found, report.states), ("", 25_000))

    def test_holder_that_does_not_wait_for_lease_is_found(self):
        with mock.patch.object(duties, "earliest_action", lambda node, previous, own, now, wait: now):
            self.assertIn("within the lease", self.found())

    def test_second_claim_that_drops_wait_of_first_is_found(self):
        def first_act_without_own_wait(node, previous, own, now, wait):
            return now if previous in ("", node) else now + wait

        with mock.patch.object(duties, "earliest_action", first_act_without_own_wait):
            self.assertIn("within the lease", self.found(100_000))

    def test_reused_fences_are_found(self):
        for name, mutated in (
            ("claim", claim_without_new_fence),
            ("claim", claim_that_keeps_order_fences),
            ("order", orders_with_one_fence),
        ):
            with self.subTest(mutated.__name__), mock.patch.object(DutyState, name, mutated):
                self.assertIn("fence", self.found())

    def test_windows_decided_twice_are_found(self):
        with mock.patch.object(DutyState, "claim", claim_that_reopens_windows):
            self.assertIn("two counts", self.found())
