"""The model of the duties: nothing is found in it as it is, and each fault that is put in is."""

import unittest
from unittest import mock

from attrs import evolve

from simulator.check import duties
from simulator.check.duties import search_duties
from sparloom.duties.state import DutyState

CLAIM, ORDER = DutyState.claim, DutyState.order


def claim_without_a_new_fence(state, holder, first_window):
    kept = max(state.fence, 1)
    return evolve(CLAIM(state, holder, first_window), fence=kept, usage_fence=max(state.usage_fence, 1))


def claim_that_keeps_the_fences_of_orders(state, holder, first_window):
    return evolve(CLAIM(state, holder, first_window), orders=state.orders)


def claim_that_decides_again(state, holder, first_window):
    claimed = CLAIM(state, holder, first_window)
    return evolve(claimed, windows=(), next_window=claimed.next_window - len(state.windows))


def orders_under_one_fence(state, wanted):
    ordered = ORDER(state, wanted)
    return evolve(ordered, orders=tuple(evolve(order, fence=1) for order in ordered.orders), fence=state.fence)


class Model(unittest.TestCase):
    def found(self, maximum_states=25_000):
        return search_duties(8, maximum_states).found

    def test_the_duties_as_they_are_break_nothing(self):
        report = search_duties(8, 25_000)
        self.assertEqual((report.found, report.states), ("", 25_000))

    def test_a_holder_that_does_not_wait_for_the_lease_is_found(self):
        with mock.patch.object(duties, "earliest_action", lambda node, previous, own, now, wait: now):
            self.assertIn("within the lease", self.found())

    def test_a_second_claim_that_forgets_the_wait_of_the_first_is_found(self):
        def forgetful(node, previous, own, now, wait):
            return now if previous in ("", node) else now + wait

        with mock.patch.object(duties, "earliest_action", forgetful):
            self.assertIn("within the lease", self.found(100_000))

    def test_fences_that_are_not_new_are_found(self):
        for name, changed in (
            ("claim", claim_without_a_new_fence),
            ("claim", claim_that_keeps_the_fences_of_orders),
            ("order", orders_under_one_fence),
        ):
            with self.subTest(changed.__name__), mock.patch.object(DutyState, name, changed):
                self.assertIn("fence", self.found())

    def test_windows_that_are_decided_again_are_found(self):
        with mock.patch.object(DutyState, "claim", claim_that_decides_again):
            self.assertIn("two counts", self.found())
