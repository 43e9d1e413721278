"""Tests of the rollout plan: when the primary commits the next step, and when it commits the verdict."""

import unittest
from datetime import timedelta

from attrs import evolve

from sparloom.rollouts import Rollout, Status, Step
from sparloom.rollouts.plan import GROW_FRACTION, ExposureLimit, Progress, load_fraction, next_update
from sparloom.rollouts.updates import AdvanceRollout, EndRollout
from sparloom.rollouts.verdict import Ruling, VoteResult

EXPOSURE_LIMIT = ExposureLimit(0.1, 50)
PROBE_FRACTION = 0.08
ACCEPTED_RESULT, ACCEPTED_UNDER_LOAD = (
    VoteResult(Ruling.ACCEPTED),
    VoteResult(Ruling.ACCEPTED, accepted_under_load=True),
)
UNDECIDED_RESULT, REJECTED_RESULT = (
    VoteResult(Ruling.UNDECIDED, reason="nothing"),
    VoteResult(Ruling.REJECTED, reason="answers fail"),
)
DEFAULT_PROGRESS = Progress(
    elapsed=timedelta(seconds=6),
    step_age=timedelta(seconds=3),
    runners=4,
    slots=16,
    sent=4000,
    exposed=200,
    sent_per_s=400,
    in_flight=140,
    has_quorum=True,
    base_drained=False,
    vote_result=ACCEPTED_RESULT,
)


def rollout(step=Step.PROBE, traffic_fraction=PROBE_FRACTION):
    return Rollout(7, "s", "v2", 14000, 0, ("v1",), step=step, traffic_fraction=traffic_fraction)


def update_after(step, traffic_fraction, **changes):
    return next_update(rollout(step, traffic_fraction), evolve(DEFAULT_PROGRESS, **changes), EXPOSURE_LIMIT)


def seconds(count):
    return timedelta(seconds=count)


class StepTests(unittest.TestCase):
    def test_nothing_is_exposed_until_runners_of_the_new_version_are_listed(self):
        self.assertIsNone(update_after(Step.PROBE, 0.0, runners=0, vote_result=UNDECIDED_RESULT))
        first = update_after(Step.PROBE, 0.0, vote_result=UNDECIDED_RESULT)
        self.assertEqual((first.step, round(first.traffic_fraction, 3)), (Step.PROBE, PROBE_FRACTION))

    def test_a_version_is_not_accepted_before_the_minimum_watch_time(self):
        self.assertIsNone(update_after(Step.PROBE, PROBE_FRACTION, elapsed=seconds(5), vote_result=ACCEPTED_UNDER_LOAD))
        self.assertEqual(update_after(Step.PROBE, PROBE_FRACTION, vote_result=ACCEPTED_UNDER_LOAD).step, Step.GROW)

    def test_the_load_step_precedes_the_grow_step(self):
        self.assertEqual(update_after(Step.PROBE, PROBE_FRACTION).step, Step.LOAD)
        self.assertIsNone(update_after(Step.LOAD, 0.1, step_age=seconds(1), vote_result=ACCEPTED_UNDER_LOAD))
        self.assertIsNone(update_after(Step.LOAD, 0.1, step_age=seconds(2)))
        self.assertEqual(
            update_after(Step.LOAD, 0.1, step_age=seconds(2.6), vote_result=ACCEPTED_UNDER_LOAD).traffic_fraction,
            GROW_FRACTION,
        )

    def test_the_load_step_falls_back_to_the_probe_share_after_its_maximum_duration(self):
        fallback = update_after(Step.LOAD, 0.5, step_age=seconds(3.6), vote_result=UNDECIDED_RESULT)
        self.assertEqual((fallback.step, round(fallback.traffic_fraction, 3)), (Step.LOAD, PROBE_FRACTION))

    def test_the_step_does_not_advance_without_a_quorum_of_watchers(self):
        for step, traffic_fraction in (
            (Step.PROBE, PROBE_FRACTION),
            (Step.LOAD, PROBE_FRACTION),
            (Step.GROW, GROW_FRACTION),
        ):
            self.assertIsNone(update_after(step, traffic_fraction, has_quorum=False, vote_result=ACCEPTED_UNDER_LOAD))

    def test_the_full_step_follows_the_minimum_duration_of_the_grow_step(self):
        self.assertIsNone(update_after(Step.GROW, GROW_FRACTION, step_age=seconds(0.5)))
        self.assertEqual(update_after(Step.GROW, GROW_FRACTION), AdvanceRollout(7, Step.GROW, Step.FULL, 1.0))


class VerdictTests(unittest.TestCase):
    def test_a_rejected_version_is_rolled_back_at_every_step(self):
        for step in Step:
            update = update_after(step, 0.1, vote_result=REJECTED_RESULT)
            self.assertEqual(update, EndRollout(7, Status.ROLLED_BACK, "answers fail"))

    def test_a_rollout_is_completed_when_the_old_version_is_drained_even_after_the_deadline(self):
        self.assertIsNone(update_after(Step.FULL, 1.0, elapsed=seconds(20)))
        self.assertIs(update_after(Step.FULL, 1.0, elapsed=seconds(20), base_drained=True).status, Status.COMPLETED)

    def test_a_version_not_accepted_in_time_is_rolled_back_before_the_end_of_the_duration(self):
        for step in (Step.PROBE, Step.LOAD, Step.GROW):
            self.assertIsNone(update_after(step, PROBE_FRACTION, elapsed=seconds(12), vote_result=UNDECIDED_RESULT))
            self.assertIs(
                update_after(step, PROBE_FRACTION, elapsed=seconds(12.5), vote_result=UNDECIDED_RESULT).status,
                Status.ROLLED_BACK,
            )


class LoadShareTests(unittest.TestCase):
    def test_the_load_fraction_fills_one_runner(self):
        self.assertAlmostEqual(
            load_fraction(evolve(DEFAULT_PROGRESS, in_flight=40, sent=9000), EXPOSURE_LIMIT), 0.36, places=2
        )
        self.assertAlmostEqual(load_fraction(DEFAULT_PROGRESS, EXPOSURE_LIMIT), 0.103, places=3)

    def test_a_load_fraction_beyond_the_exposure_limit_is_not_used(self):
        self.assertEqual(load_fraction(evolve(DEFAULT_PROGRESS, in_flight=10, exposed=390), EXPOSURE_LIMIT), 0.0)
        self.assertIsNone(update_after(Step.PROBE, PROBE_FRACTION, in_flight=10, exposed=390))


if __name__ == "__main__":
    unittest.main()
