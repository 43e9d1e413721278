"""The durable state of the duties: which updates are valid, and its encoding within the control state."""

import unittest

from sparloom.controller.control_state import VERSION, VERSION_WITH_DUTIES, VERSION_WITH_EVACUATIONS, State
from sparloom.controller.duty_updates import evaluate_duty_update
from sparloom.duties import DecidedWindow, DutyState, DutyUpdate, ScaleOrder

CONFIGURATION = {"revision": 3, "routes": [], "services": []}
CLAIMED = DutyState().claim("a", 7).decide((DecidedWindow(7, {"t": 2}),)).order((ScaleOrder("s", "z", 4),))


class Fences(unittest.TestCase):
    def test_each_claim_and_each_order_gets_a_unique_fence(self):
        reclaimed = CLAIMED.claim("b", 99)
        self.assertEqual((CLAIMED.usage_fence, CLAIMED.orders[0].fence), (1, 2))
        self.assertEqual((reclaimed.usage_fence, reclaimed.orders[0].fence, reclaimed.fence), (3, 4, 4))
        self.assertEqual((reclaimed.next_window, reclaimed.previous_holder), (8, "a"))

    def test_a_newer_order_replaces_only_the_older_order_of_its_zone(self):
        state = CLAIMED.order((ScaleOrder("s", "y", 1),)).order((ScaleOrder("s", "z", 5),))
        self.assertEqual(
            [(order.zone, order.desired, order.fence) for order in state.orders], [("y", 1, 3), ("z", 5, 4)]
        )


class Updates(unittest.TestCase):
    def apply(self, **fields):
        return DutyUpdate("a", usage_fence=1, **fields).apply(CLAIMED)

    def test_windows_must_be_consecutive(self):
        self.assertEqual(self.apply(windows=(DecidedWindow(8), DecidedWindow(9))).next_window, 10)
        for numbers in ((9,), (7,), (8, 10)):
            self.assertIsNone(self.apply(windows=tuple(map(DecidedWindow, numbers))))

    def test_an_update_of_an_earlier_claim_is_rejected(self):
        self.assertIsNone(DutyUpdate("a", usage_fence=1).apply(CLAIMED.claim("b", 0)))
        self.assertIsNone(DutyUpdate("a", usage_fence=1).apply(CLAIMED.claim("a", 0)))

    def test_only_acknowledged_windows_are_removed(self):
        two_windows = CLAIMED.decide((DecidedWindow(8, {}),))
        self.assertEqual([window.number for window in two_windows.acknowledge(7).windows], [8])

    def test_an_update_without_a_change_is_not_written(self):
        state = State(CONFIGURATION, duties=CLAIMED)
        self.assertEqual(evaluate_duty_update(state, DutyUpdate("a", usage_fence=1)).verdict.name, "ALREADY_COMMITTED")


class Retries(unittest.TestCase):
    def test_an_update_is_a_retry_only_of_itself(self):
        update = DutyUpdate("a", claim=True)
        self.assertTrue(update.is_retry_of(update))
        self.assertFalse(update.is_retry_of(DutyUpdate("a", claim=True)))


class Encoding(unittest.TestCase):
    def test_the_encoding_round_trips_with_and_without_evacuated_zones(self):
        for state in (State(CONFIGURATION, duties=CLAIMED), State(CONFIGURATION, duties=CLAIMED).evacuate("z")):
            self.assertEqual(State.unpack(state.pack()), state)

    def test_a_state_without_duties_keeps_the_version_that_earlier_programs_read(self):
        state = State(CONFIGURATION)
        self.assertEqual(state.pack()[0], VERSION)
        self.assertEqual(state.evacuate("z").pack()[0], VERSION_WITH_EVACUATIONS)
        self.assertEqual(state.with_duties(CLAIMED).pack()[0], VERSION_WITH_DUTIES)

    def test_a_configuration_change_preserves_the_duties(self):
        state = State(CONFIGURATION, duties=CLAIMED).with_change({**CONFIGURATION, "revision": 4}, b"m" * 12)
        self.assertEqual(state.duties, CLAIMED)
