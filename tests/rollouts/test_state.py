"""Tests of the durable state of rollouts: orders, steps, verdicts, the routers' view of it, and serialization."""

import itertools
import unittest

from sparloom.controller.control_state import State
from sparloom.controller.rollout_updates import evaluate_rollout_update, pool_of, rollouts_addition
from sparloom.discovery import pool_name
from sparloom.rollouts import RolloutsState, Status, Step
from sparloom.rollouts.updates import (
    AdvanceRollout,
    ClaimRollouts,
    EndRollout,
    OrderRollout,
    RecordFirstVersions,
    Refusal,
)

BASE_STATE = RolloutsState().record_first_versions({"s": ("v1",)})
ORDER = OrderRollout("s", "v2", 12000)
ORDERED = ORDER.apply(BASE_STATE)


def apply_all(state, *updates):
    for update in updates:
        state = update.apply(state)
    return state


def at_full_step(state=ORDERED, number=1):
    return apply_all(state, AdvanceRollout(number, Step.PROBE, Step.FULL, 1.0))


class OrderTests(unittest.TestCase):
    def test_a_repeated_order_changes_nothing_in_any_state(self):
        ended = apply_all(ORDERED, EndRollout(1, Status.ROLLED_BACK, "bad"))
        completed = apply_all(at_full_step(), EndRollout(1, Status.COMPLETED, "good"))
        for state in (ORDERED, ended, completed):
            self.assertIs(OrderRollout("s", "v2", 12000, 99).apply(state), state)

    def test_an_order_with_another_version_or_duration_is_refused_while_one_is_in_progress(self):
        for other in (OrderRollout("s", "v3", 12000), OrderRollout("s", "v2", 13000)):
            self.assertIsInstance(other.apply(ORDERED), Refusal)

    def test_another_version_can_be_ordered_after_the_verdict(self):
        ended = apply_all(ORDERED, EndRollout(1, Status.ROLLED_BACK, "bad"), OrderRollout("s", "v3", 12000))
        self.assertEqual((ended.newest["s"].number, ended.newest["s"].base), (2, ("v1",)))

    def test_the_first_version_can_be_ordered_again_after_a_completed_rollout(self):
        state = apply_all(at_full_step(), EndRollout(1, Status.COMPLETED, "good"), OrderRollout("s", "v1", 12000))
        self.assertEqual(state.serving_versions("s"), ("v2",))
        state = apply_all(at_full_step(state, 2), EndRollout(2, Status.COMPLETED, "good"))
        self.assertEqual(state.serving_versions("s"), ("v1",))

    def test_services_are_rolled_out_independently(self):
        state = apply_all(ORDERED, OrderRollout("t", "v9", 12000))
        self.assertEqual([rollout.service for rollout in state.active_rollouts()], ["s", "t"])

    def test_orders_are_checked_against_the_configuration(self):
        configured = State({"revision": 1, "services": [{"name": "s"}]})
        self.assertEqual(evaluate_rollout_update(State({}), ORDER).verdict.name, "POSSIBLY_COMMITTED")
        self.assertEqual(evaluate_rollout_update(configured, ORDER).verdict.name, "NEW")
        self.assertEqual(evaluate_rollout_update(configured, OrderRollout("t", "v2", 1)).verdict.name, "UNKNOWN_NAME")


class VerdictTests(unittest.TestCase):
    def test_a_verdict_is_final(self):
        ended = apply_all(ORDERED, EndRollout(1, Status.ROLLED_BACK, "bad"))
        for late in (EndRollout(1, Status.COMPLETED, ""), AdvanceRollout(1, Step.PROBE, Step.GROW, 0.5)):
            self.assertIsInstance(late.apply(ended), Refusal)

    def test_a_verdict_does_not_apply_to_a_later_rollout_of_the_same_version(self):
        reordered = apply_all(ORDERED, EndRollout(1, Status.ROLLED_BACK, "bad"), OrderRollout("s", "v2", 15000))
        self.assertIsInstance(EndRollout(1, Status.ROLLED_BACK, "bad").apply(reordered), Refusal)

    def test_only_a_rollout_at_the_last_step_can_be_completed(self):
        self.assertIsInstance(EndRollout(1, Status.COMPLETED, "good").apply(ORDERED), Refusal)

    def test_an_update_from_an_earlier_step_is_refused(self):
        self.assertIsInstance(AdvanceRollout(1, Step.PROBE, Step.LOAD, 0.1).apply(at_full_step()), Refusal)


class UpdateSequenceTests(unittest.TestCase):
    UPDATES = (
        ORDER,
        OrderRollout("s", "v3", 12000),
        AdvanceRollout(1, Step.PROBE, Step.LOAD, 0.1),
        AdvanceRollout(1, Step.PROBE, Step.FULL, 1.0),
        EndRollout(1, Status.ROLLED_BACK, "bad"),
        EndRollout(1, Status.COMPLETED, "good"),
        ClaimRollouts("other:1"),
    )

    def test_no_sequence_of_updates_reverses_a_verdict_or_a_step(self):
        for updates in itertools.product(self.UPDATES, repeat=5):
            state = BASE_STATE
            for update in updates:
                result = update.apply(state)
                if not isinstance(result, Refusal):
                    self.check_transition(state, result)
                    state = result

    def check_transition(self, before, result):
        old, new = before.newest.get("s"), result.newest.get("s")
        if old is None:
            return
        self.assertIsNotNone(new, "the order is missing")
        if old.number != new.number:
            self.assertFalse(old.is_serving, "an order replaced a rollout in progress")
            return
        self.assertGreaterEqual(new.step, old.step)
        if not old.is_serving:
            self.assertEqual(new, old)
        if new.status is Status.COMPLETED:
            self.assertIs(new.step, Step.FULL)


class PoolTests(unittest.TestCase):
    def test_the_published_entry_at_each_step(self):
        trial = pool_name("s", "v2")
        [entry] = rollouts_addition(ORDERED)
        self.assertEqual((entry["pools"], entry["trial"], entry["share"]), (["s"], trial, 0.0))
        [entry] = rollouts_addition(at_full_step())
        self.assertEqual((entry["pools"], entry["base"]), ([trial], ["s"]))
        [entry] = rollouts_addition(apply_all(at_full_step(), EndRollout(1, Status.COMPLETED, "good")))
        self.assertEqual((entry["pools"], "trial" in entry), ([trial], False))
        [entry] = rollouts_addition(apply_all(ORDERED, EndRollout(1, Status.ROLLED_BACK, "bad")))
        self.assertEqual((entry["pools"], "trial" in entry), (["s"], False))

    def test_a_version_without_a_rollout_has_an_unused_pool_of_its_own(self):
        self.assertEqual(pool_of(BASE_STATE, "s", "v7"), pool_name("s", "v7"))
        self.assertEqual(rollouts_addition(BASE_STATE), [])

    def test_a_version_ordered_before_the_first_list_has_its_own_pool(self):
        early = apply_all(RolloutsState(), ORDER)
        self.assertEqual((pool_of(early, "s", "v1"), pool_of(early, "s", "v2")), ("s", pool_name("s", "v2")))
        later = apply_all(early, RecordFirstVersions({"s": ("v1",)}))
        self.assertEqual(rollouts_addition(later)[0]["pools"], ["s"])

    def test_several_first_versions_serve_together(self):
        [entry] = rollouts_addition(RolloutsState().record_first_versions({"s": ("v1", "v2")}))
        self.assertEqual(entry["pools"], ["s", pool_name("s", "v2")])


class SerializationTests(unittest.TestCase):
    def test_a_state_with_rollouts_and_without_duties_can_be_unpacked(self):
        for rollouts in (BASE_STATE, ORDERED, at_full_step()):
            state = State({"revision": 1}).with_rollouts(rollouts)
            self.assertEqual(State.unpack(state.pack()), state)

    def test_a_configuration_change_keeps_the_rollouts(self):
        state = State({"revision": 1}).with_rollouts(ORDERED)
        self.assertEqual(state.with_change({"revision": 2}, b"m" * 12).rollouts, ORDERED)


if __name__ == "__main__":
    unittest.main()
