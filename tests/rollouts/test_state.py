"""The durable state of roll-outs: orders, steps, verdicts, what is published of it, and its bytes."""

import itertools
import unittest

from sparloom.controller.control_state import State
from sparloom.controller.rollout_updates import judge_rollout, pool_of, rollouts_addition
from sparloom.discovery import pool_name
from sparloom.rollouts import RolloutsState, Status, Step
from sparloom.rollouts.updates import AdvanceRollout, ClaimRollouts, EndRollout, NoteVersions, OrderRollout, Refusal

KNOWN = RolloutsState().note_versions({"s": ("v1",)})
ORDER = OrderRollout("s", "v2", 12000)
ORDERED = ORDER.apply(KNOWN)


def after(state, *updates):
    for update in updates:
        state = update.apply(state)
    return state


def full(state=ORDERED, number=1):
    return after(state, AdvanceRollout(number, Step.PROBE, Step.FULL, 1.0))


class Orders(unittest.TestCase):
    def test_the_same_order_changes_nothing_whatever_has_become_of_it(self):
        ended = after(ORDERED, EndRollout(1, Status.ROLLED_BACK, "bad"))
        completed = after(full(), EndRollout(1, Status.COMPLETED, "good"))
        for state in (ORDERED, ended, completed):
            self.assertIs(OrderRollout("s", "v2", 12000, 99).apply(state), state)

    def test_another_version_or_duration_waits_for_the_one_under_way(self):
        for other in (OrderRollout("s", "v3", 12000), OrderRollout("s", "v2", 13000)):
            self.assertIsInstance(other.apply(ORDERED), Refusal)

    def test_another_version_follows_once_it_is_decided(self):
        ended = after(ORDERED, EndRollout(1, Status.ROLLED_BACK, "bad"), OrderRollout("s", "v3", 12000))
        self.assertEqual((ended.newest["s"].number, ended.newest["s"].base), (2, ("v1",)))

    def test_back_to_the_first_version_after_one_that_was_completed(self):
        state = after(full(), EndRollout(1, Status.COMPLETED, "good"), OrderRollout("s", "v1", 12000))
        self.assertEqual(state.serving_versions("s"), ("v2",))
        state = after(full(state, 2), EndRollout(2, Status.COMPLETED, "good"))
        self.assertEqual(state.serving_versions("s"), ("v1",))

    def test_services_don_t_wait_for_each_other(self):
        state = after(ORDERED, OrderRollout("t", "v9", 12000))
        self.assertEqual([rollout.service for rollout in state.under_way()], ["s", "t"])

    def test_orders_are_judged_on_the_configuration(self):
        configured = State({"revision": 1, "services": [{"name": "s"}]})
        self.assertEqual(judge_rollout(State({}), ORDER).verdict.name, "FORGOTTEN")
        self.assertEqual(judge_rollout(configured, ORDER).verdict.name, "NEW")
        self.assertEqual(judge_rollout(configured, OrderRollout("t", "v2", 1)).verdict.name, "UNKNOWN_NAME")


class Verdicts(unittest.TestCase):
    def test_a_verdict_is_given_once(self):
        ended = after(ORDERED, EndRollout(1, Status.ROLLED_BACK, "bad"))
        for late in (EndRollout(1, Status.COMPLETED, ""), AdvanceRollout(1, Step.PROBE, Step.GROW, 0.5)):
            self.assertIsInstance(late.apply(ended), Refusal)

    def test_a_verdict_on_an_earlier_roll_out_of_the_same_version_is_none_on_this_one(self):
        again = after(ORDERED, EndRollout(1, Status.ROLLED_BACK, "bad"), OrderRollout("s", "v2", 15000))
        self.assertIsInstance(EndRollout(1, Status.ROLLED_BACK, "bad").apply(again), Refusal)

    def test_only_the_last_step_can_be_completed(self):
        self.assertIsInstance(EndRollout(1, Status.COMPLETED, "good").apply(ORDERED), Refusal)

    def test_a_step_that_was_left_is_not_built_on(self):
        self.assertIsInstance(AdvanceRollout(1, Step.PROBE, Step.LOAD, 0.1).apply(full()), Refusal)


class EveryOrderOfUpdates(unittest.TestCase):
    UPDATES = (
        ORDER,
        OrderRollout("s", "v3", 12000),
        AdvanceRollout(1, Step.PROBE, Step.LOAD, 0.1),
        AdvanceRollout(1, Step.PROBE, Step.FULL, 1.0),
        EndRollout(1, Status.ROLLED_BACK, "bad"),
        EndRollout(1, Status.COMPLETED, "good"),
        ClaimRollouts("other:1"),
    )

    def test_to_a_depth_no_verdict_turns_and_no_step_goes_back(self):
        for updates in itertools.product(self.UPDATES, repeat=5):
            state = KNOWN
            for update in updates:
                after_it = update.apply(state)
                if not isinstance(after_it, Refusal):
                    self.follows(state, after_it)
                    state = after_it

    def follows(self, before, after_it):
        old, new = before.newest.get("s"), after_it.newest.get("s")
        if old is None:
            return
        self.assertIsNotNone(new, "an order is gone")
        if old.number != new.number:
            self.assertFalse(old.is_serving, "an order took the place of one under way")
            return
        self.assertGreaterEqual(new.step, old.step)
        if not old.is_serving:
            self.assertEqual(new, old)
        if new.status is Status.COMPLETED:
            self.assertIs(new.step, Step.FULL)


class Pools(unittest.TestCase):
    def test_what_is_published_at_each_step(self):
        trial = pool_name("s", "v2")
        [entry] = rollouts_addition(ORDERED)
        self.assertEqual((entry["pools"], entry["trial"], entry["share"]), (["s"], trial, 0.0))
        [entry] = rollouts_addition(full())
        self.assertEqual((entry["pools"], entry["base"]), ([trial], ["s"]))
        [entry] = rollouts_addition(after(full(), EndRollout(1, Status.COMPLETED, "good")))
        self.assertEqual((entry["pools"], "trial" in entry), ([trial], False))
        [entry] = rollouts_addition(after(ORDERED, EndRollout(1, Status.ROLLED_BACK, "bad")))
        self.assertEqual((entry["pools"], "trial" in entry), (["s"], False))

    def test_a_version_that_no_roll_out_has_named_has_a_pool_that_nobody_uses(self):
        self.assertEqual(pool_of(KNOWN, "s", "v7"), pool_name("s", "v7"))
        self.assertEqual(rollouts_addition(KNOWN), [])

    def test_an_order_before_the_first_list_keeps_its_version_apart(self):
        early = after(RolloutsState(), ORDER)
        self.assertEqual((pool_of(early, "s", "v1"), pool_of(early, "s", "v2")), ("s", pool_name("s", "v2")))
        later = after(early, NoteVersions({"s": ("v1",)}))
        self.assertEqual(rollouts_addition(later)[0]["pools"], ["s"])

    def test_several_first_versions_serve_together(self):
        [entry] = rollouts_addition(RolloutsState().note_versions({"s": ("v1", "v2")}))
        self.assertEqual(entry["pools"], ["s", pool_name("s", "v2")])


class Bytes(unittest.TestCase):
    def test_a_state_with_rollouts_and_without_duties_is_read_back(self):
        for rollouts in (KNOWN, ORDERED, full()):
            state = State({"revision": 1}).with_rollouts(rollouts)
            self.assertEqual(State.unpack(state.pack()), state)

    def test_a_change_of_the_configuration_leaves_them_alone(self):
        state = State({"revision": 1}).with_rollouts(ORDERED)
        self.assertEqual(state.then({"revision": 2}, b"m" * 12).rollouts, ORDERED)


if __name__ == "__main__":
    unittest.main()
