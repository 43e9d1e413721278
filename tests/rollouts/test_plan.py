"""The way from step to step: when the primary commits the next one, and when it gives the verdict."""

import unittest
from datetime import timedelta

from attrs import evolve

from sparloom.rollouts import Rollout, Status, Step
from sparloom.rollouts.plan import GROW_SHARE, Exposure, Progress, load_share, next_update
from sparloom.rollouts.updates import AdvanceRollout, EndRollout
from sparloom.rollouts.verdict import Judgement, Ruling

EXPOSURE = Exposure(0.1, 50)
PROBE = 0.08
GOOD, GOOD_UNDER_LOAD = Judgement(Ruling.ACCEPTED), Judgement(Ruling.ACCEPTED, accepted_under_load=True)
UNKNOWN, BAD = Judgement(Ruling.UNDECIDED, reason="nothing"), Judgement(Ruling.REJECTED, reason="answers fail")
PROGRESS = Progress(
    elapsed=timedelta(seconds=6),
    step_age=timedelta(seconds=3),
    runners=4,
    slots=16,
    sent=4000,
    exposed=200,
    sent_per_s=400,
    in_flight=140,
    watched=True,
    base_is_empty=False,
    judgement=GOOD,
)


def rollout(step=Step.PROBE, share=PROBE):
    return Rollout(7, "s", "v2", 14000, 0, ("v1",), step=step, share=share)


def following(step, share, **known):
    return next_update(rollout(step, share), evolve(PROGRESS, **known), EXPOSURE)


def at(seconds):
    return timedelta(seconds=seconds)


class Steps(unittest.TestCase):
    def test_nothing_is_exposed_before_the_new_runners_are_listed(self):
        self.assertIsNone(following(Step.PROBE, 0.0, runners=0, judgement=UNKNOWN))
        first = following(Step.PROBE, 0.0, judgement=UNKNOWN)
        self.assertEqual((first.step, round(first.share, 3)), (Step.PROBE, PROBE))

    def test_a_version_is_not_taken_for_good_before_it_could_turn_bad(self):
        self.assertIsNone(following(Step.PROBE, PROBE, elapsed=at(5), judgement=GOOD_UNDER_LOAD))
        self.assertEqual(following(Step.PROBE, PROBE, judgement=GOOD_UNDER_LOAD).step, Step.GROW)

    def test_a_busy_runner_is_seen_before_it_grows(self):
        self.assertEqual(following(Step.PROBE, PROBE).step, Step.LOAD)
        self.assertIsNone(following(Step.LOAD, 0.1, step_age=at(1), judgement=GOOD_UNDER_LOAD))
        self.assertIsNone(following(Step.LOAD, 0.1, step_age=at(2)))
        self.assertEqual(following(Step.LOAD, 0.1, step_age=at(2.6), judgement=GOOD_UNDER_LOAD).share, GROW_SHARE)

    def test_load_ends_by_itself(self):
        back = following(Step.LOAD, 0.5, step_age=at(3.6), judgement=UNKNOWN)
        self.assertEqual((back.step, round(back.share, 3)), (Step.LOAD, PROBE))

    def test_without_a_majority_of_the_watchers_nothing_grows(self):
        for step, share in ((Step.PROBE, PROBE), (Step.LOAD, PROBE), (Step.GROW, GROW_SHARE)):
            self.assertIsNone(following(step, share, watched=False, judgement=GOOD_UNDER_LOAD))

    def test_all_requests_follow_after_a_part_of_them(self):
        self.assertIsNone(following(Step.GROW, GROW_SHARE, step_age=at(0.5)))
        self.assertEqual(following(Step.GROW, GROW_SHARE), AdvanceRollout(7, Step.GROW, Step.FULL, 1.0))


class Verdicts(unittest.TestCase):
    def test_a_rejected_version_is_rolled_back_at_every_step(self):
        for step in Step:
            update = following(step, 0.1, judgement=BAD)
            self.assertEqual(update, EndRollout(7, Status.ROLLED_BACK, "answers fail"))

    def test_it_is_completed_once_the_old_version_is_empty_however_late(self):
        self.assertIsNone(following(Step.FULL, 1.0, elapsed=at(20)))
        self.assertIs(following(Step.FULL, 1.0, elapsed=at(20), base_is_empty=True).status, Status.COMPLETED)

    def test_one_that_was_not_shown_good_in_time_is_rolled_back_before_the_term(self):
        for step in (Step.PROBE, Step.LOAD, Step.GROW):
            self.assertIsNone(following(step, PROBE, elapsed=at(12), judgement=UNKNOWN))
            self.assertIs(following(step, PROBE, elapsed=at(12.5), judgement=UNKNOWN).status, Status.ROLLED_BACK)


class Loads(unittest.TestCase):
    def test_the_share_that_fills_one_runner(self):
        self.assertAlmostEqual(load_share(evolve(PROGRESS, in_flight=40, sent=9000), EXPOSURE), 0.36, places=2)
        self.assertAlmostEqual(load_share(PROGRESS, EXPOSURE), 0.103, places=3)

    def test_a_share_that_would_expose_too_much_is_not_taken(self):
        self.assertEqual(load_share(evolve(PROGRESS, in_flight=10, exposed=390), EXPOSURE), 0.0)
        self.assertIsNone(following(Step.PROBE, PROBE, in_flight=10, exposed=390))


if __name__ == "__main__":
    unittest.main()
