"""The duties' durable state: what follows on what, and its bytes within the control state."""

import unittest

from sparloom.controller.control_state import VERSION, VERSION_WITH_DUTIES, VERSION_WITH_EVACUATIONS, State
from sparloom.controller.duty_updates import judge_duties
from sparloom.duties import DecidedWindow, DutyState, DutyUpdate, ScaleOrder

CONFIGURATION = {"revision": 3, "routes": [], "services": []}
HELD = DutyState().claim("a", 7).decide((DecidedWindow(7, {"t": 2}),)).order((ScaleOrder("s", "z", 4),))


class Fences(unittest.TestCase):
    def test_each_claim_and_each_order_has_a_fence_of_its_own(self):
        again = HELD.claim("b", 99)
        self.assertEqual((HELD.usage_fence, HELD.orders[0].fence), (1, 2))
        self.assertEqual((again.usage_fence, again.orders[0].fence, again.fence), (3, 4, 4))
        self.assertEqual((again.next_window, again.previous_holder), (8, "a"))

    def test_a_newer_order_takes_the_place_of_the_older_one_of_its_zone_alone(self):
        state = HELD.order((ScaleOrder("s", "y", 1),)).order((ScaleOrder("s", "z", 5),))
        self.assertEqual([(o.zone, o.desired, o.fence) for o in state.orders], [("y", 1, 3), ("z", 5, 4)])


class Updates(unittest.TestCase):
    def apply(self, **fields):
        return DutyUpdate("a", usage_fence=1, **fields).apply(HELD)

    def test_windows_follow_on_each_other(self):
        self.assertEqual(self.apply(windows=(DecidedWindow(8), DecidedWindow(9))).next_window, 10)
        for numbers in ((9,), (7,), (8, 10)):
            self.assertIsNone(self.apply(windows=tuple(map(DecidedWindow, numbers))))

    def test_an_update_of_an_earlier_claim_changes_nothing(self):
        self.assertIsNone(DutyUpdate("a", usage_fence=1).apply(HELD.claim("b", 0)))
        self.assertIsNone(DutyUpdate("a", usage_fence=1).apply(HELD.claim("a", 0)))

    def test_what_the_platform_has_is_forgotten_and_nothing_else(self):
        two = HELD.decide((DecidedWindow(8, {}),))
        self.assertEqual([window.number for window in two.acknowledge(7).windows], [8])

    def test_an_update_that_changes_nothing_is_not_written(self):
        state = State(CONFIGURATION, duties=HELD)
        self.assertEqual(judge_duties(state, DutyUpdate("a", usage_fence=1)).verdict.name, "ALREADY_COMMITTED")


class Retries(unittest.TestCase):
    def test_an_update_is_a_retry_of_itself_and_of_no_other(self):
        update = DutyUpdate("a", claim=True)
        self.assertTrue(update.is_retry_of(update))
        self.assertFalse(update.is_retry_of(DutyUpdate("a", claim=True)))


class Bytes(unittest.TestCase):
    def test_the_state_is_read_back_with_and_without_evacuated_zones(self):
        for state in (State(CONFIGURATION, duties=HELD), State(CONFIGURATION, duties=HELD).evacuate("z")):
            self.assertEqual(State.unpack(state.pack()), state)

    def test_programs_before_can_read_what_has_no_duties(self):
        state = State(CONFIGURATION)
        self.assertEqual(state.pack()[0], VERSION)
        self.assertEqual(state.evacuate("z").pack()[0], VERSION_WITH_EVACUATIONS)
        self.assertEqual(state.with_duties(HELD).pack()[0], VERSION_WITH_DUTIES)

    def test_a_change_of_the_configuration_keeps_the_duties(self):
        state = State(CONFIGURATION, duties=HELD).then({**CONFIGURATION, "revision": 4}, b"m" * 12)
        self.assertEqual(state.duties, HELD)
