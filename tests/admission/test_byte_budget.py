"""The account of the bytes kept for peers: timelines of single cases, and the bounds under any sequence of calls."""

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from sparloom.admission.byte_budget import LARGE_FRACTION, SMALL_HOLDING_BYTES, ByteBudget, HoldingKind

MEBIBYTE = 1 << 20
CAPACITY = 40 * MEBIBYTE
LARGE_CAPACITY = int(CAPACITY * LARGE_FRACTION)


def at(seconds):
    return timedelta(seconds=seconds)


class ByteBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = ByteBudget(CAPACITY)
        self.evicted = []

    def hold(self, size, second=0.0, evictable=True, kind=HoldingKind.REQUEST_BODIES):
        """Opens a holding and asks for bytes; returns it and whether they were granted."""
        holding = self.budget.open(kind, "peer", at(second))
        holding.evict = (lambda: self.evicted.append(holding)) if evictable else None
        return holding, self.budget.resize(holding, size, at(second))

    def test_large_holdings_leave_a_quarter_for_small_ones(self):
        granted = [self.hold(4 * MEBIBYTE)[1] for _ in range(20)]
        self.assertEqual(sum(granted), LARGE_CAPACITY // (4 * MEBIBYTE))
        self.assertTrue(all(self.hold(SMALL_HOLDING_BYTES)[1] for _ in range(100)))

    def test_a_single_holding_is_granted_whatever_its_size(self):
        holding, granted = self.hold(2 * CAPACITY)
        self.assertTrue(granted)
        self.assertFalse(self.hold(1)[1])
        self.budget.close(holding)
        self.assertTrue(self.hold(1)[1])

    def test_senders_that_stall_are_evicted_for_a_new_one(self):
        stalled = [self.hold(4 * MEBIBYTE)[0] for _ in range(7)]
        self.assertFalse(self.hold(4 * MEBIBYTE, 0.5)[1])
        self.assertTrue(self.hold(4 * MEBIBYTE, 1.1)[1])
        self.assertEqual(len(self.evicted), 1)
        self.assertIn(self.evicted[0], stalled)
        self.assertEqual((self.evicted[0].size, self.budget.evictions), (0, 1))

    def test_the_slowest_sender_is_evicted_first(self):
        first, second, third = (self.hold(10 * MEBIBYTE)[0] for _ in range(3))
        for holding, count in ((first, 9000), (second, 3000), (third, 6000)):
            holding.record_progress(count, at(2))
        self.assertTrue(self.hold(9 * MEBIBYTE, 2.1)[1])
        self.assertEqual(self.evicted, [second])

    def test_a_sender_that_moves_and_one_that_is_done_are_never_evicted(self):
        moving, _ = self.hold(15 * MEBIBYTE)
        moving.record_progress(10 * MEBIBYTE, at(9.5))
        self.hold(15 * MEBIBYTE, evictable=False)
        self.assertFalse(self.hold(4 * MEBIBYTE, 10)[1])
        self.assertEqual(self.evicted, [])

    def test_none_is_evicted_if_that_would_not_be_enough(self):
        self.hold(1 * MEBIBYTE)
        self.hold(29 * MEBIBYTE, evictable=False)
        self.assertFalse(self.hold(4 * MEBIBYTE, 5)[1])
        self.assertEqual(self.evicted, [])

    def test_an_evicted_holding_gets_no_more_bytes_and_is_returned_once(self):
        holding, _ = self.hold(30 * MEBIBYTE)
        other, _ = self.hold(30 * MEBIBYTE, 2)
        self.assertFalse(self.budget.resize(holding, 1, at(3)))
        self.budget.close(holding)
        self.assertEqual(self.budget.held, other.size)

    def test_figures_name_the_bytes_by_kind(self):
        self.hold(5)
        self.hold(7, kind=HoldingKind.ANSWERS)
        figures = self.budget.figures()
        self.assertEqual((figures["requestBodies"], figures["answers"], figures["held"]), (5, 7, 12))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("open", "resize", "progress", "finish", "close")),
        st.integers(0, 9),
        st.integers(0, 12 * MEBIBYTE),
        st.floats(0, 2),
    ),
    max_size=60,
)


class ByteBudgetPropertyTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(STEPS)
    def test_grants_never_exceed_the_capacity_and_are_all_returned(self, steps):
        budget, holdings, now = ByteBudget(CAPACITY), [], timedelta(0)
        for action, index, size, pause in steps:
            now += timedelta(seconds=pause)
            if action == "open" or not holdings:
                holdings.append(budget.open(HoldingKind.FRAMES, str(index), now, lambda: None))
                continue
            holding = holdings[index % len(holdings)]
            if action == "resize":
                budget.resize(holding, size, now)
            elif action == "progress":
                holding.record_progress(size, now)
            elif action == "finish":
                holding.evict = None
            else:
                budget.close(holding)
            self.assertEqual(budget.held, sum(holding.size for holding in holdings))
            # Each is below the capacity here, so that one alone may not go over it either.
            self.assertLessEqual(budget.held, CAPACITY)
            if all(holding.size > SMALL_HOLDING_BYTES or not holding.size for holding in holdings):
                self.assertLessEqual(budget.held, LARGE_CAPACITY)
        for holding in holdings:
            budget.close(holding)
        self.assertEqual(budget.held, 0)


if __name__ == "__main__":
    unittest.main()
