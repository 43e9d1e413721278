"""Verdicts, the decision to retry, and the retry budget."""

import random
import unittest
from datetime import timedelta
from itertools import product

from sparloom.retry import MAY_HAVE_RUN, NOT_RUN, RAN, GiveUp, Retry, RetryBudget, RetryContext, judge_head, next_step
from sparloom.retry.verdict import ResponseHead

S = timedelta(seconds=1)


class Verdicts(unittest.TestCase):
    def test_only_not_run_and_421_prove_it(self):
        for status in (400, 408, 429, 500, 502, 503, 504):
            self.assertIs(judge_head(ResponseHead(status, True, False, True, True))[0], NOT_RUN)
            self.assertIsNot(judge_head(ResponseHead(status, False, False, True, True))[0], NOT_RUN)
        self.assertIs(judge_head(ResponseHead(421, False, False, True, True))[0], NOT_RUN)

    def test_no_refusal_of_another_request_proves_anything(self):
        for status, not_run, sealed, framed in product(range(200, 600), *3 * [(True, False)]):
            self.assertEqual(judge_head(ResponseHead(status, not_run, sealed, False, framed)), (MAY_HAVE_RUN, False))

    def test_only_a_400_for_a_request_without_an_id_may_lack_it(self):
        for status in (400, 421, 429, 500, 503):
            verdict, good = judge_head(ResponseHead(status, True, False, False, True, without_attempt_id=True))
            self.assertEqual((verdict is NOT_RUN, good), (status == 400, False))
        self.assertIs(
            judge_head(ResponseHead(400, False, False, False, True, without_attempt_id=True))[0], MAY_HAVE_RUN
        )

    def test_a_success_without_seal_or_with_anothers_id_is_not_passed_on(self):
        for sealed, fits, framed in product((True, False), repeat=3):
            verdict, good = judge_head(ResponseHead(200, False, sealed, fits, framed))
            self.assertEqual(good, sealed and fits and framed)
            self.assertIsNot(verdict, NOT_RUN)

    def test_a_success_is_never_taken_for_not_run(self):
        self.assertIsNot(judge_head(ResponseHead(200, True, True, True, True))[0], NOT_RUN)

    def test_a_promise_that_the_runner_did_not_make_is_not_passed_on(self):
        for status in (408, 429, 503):
            self.assertEqual(judge_head(ResponseHead(status, False, False, True, True)), (MAY_HAVE_RUN, False))


class Decisions(unittest.TestCase):
    def contexts(self):
        for values in product(
            (True, False),
            (1, 2, 3),
            (0, 1, 2, 3),
            (NOT_RUN, MAY_HAVE_RUN, RAN),
            (True, False),
            (0 * S, S),
            (True, False),
            (True, False),
        ):
            yield RetryContext(*values)

    def test_a_request_that_is_not_idempotent_and_may_have_run_is_never_retried(self):
        for context in self.contexts():
            if not context.idempotent and context.verdict is not NOT_RUN:
                step = next_step(context)
                self.assertNotIsInstance(step, Retry)
                self.assertNotIn(step.status, (408, 421, 429, 503))

    def test_caps_hold(self):
        for context in self.contexts():
            if isinstance(next_step(context), Retry):
                self.assertTrue(
                    context.attempts < context.max_attempts and context.within_budget and context.time_left > 0 * S
                )

    def test_a_started_response_is_truncated_not_ended(self):
        for context in self.contexts():
            step = next_step(context)
            if context.response_started and isinstance(step, GiveUp):
                self.assertTrue(step.truncate)


class Fleet(unittest.TestCase):
    """Sums over routers that come and go, checked in every sliding window."""

    def worst(self, seed):
        rng = random.Random(seed)
        ratio, slack, win = 0.2, 52, 10 * S
        born = dict.fromkeys(range(6), 0 * S)
        routers = {i: RetryBudget(win, ratio, slack, 0 * S) for i in born}
        asks, spends, now = [], [], 0 * S
        while now < 60 * S:
            now += timedelta(milliseconds=rng.randrange(5, 30))
            i = rng.choice(list(routers))
            if rng.random() < 0.004:
                routers[i] = RetryBudget(win, ratio, slack, now)
            routers[i].on_request(now)
            asks.append(now)
            for _ in range(rng.randrange(0, 3)):
                if routers[i].allows(now, len(routers)):
                    routers[i].spend(now)
                    spends.append(now)
        over = []
        for t in spends:
            used = sum(t - win < s <= t for s in spends)
            took = max(sum(t - win - d < a <= t - d for a in asks) for d in (0 * S, win / 2, win))
            over.append(used - ratio * took - slack)
        return max(over)

    def test_the_fleet_stays_within(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertLessEqual(self.worst(seed), 0)

    def test_successive_instances_do_not_add_up(self):
        """All are killed together at seconds 20, and again as told; each life spends all it may at its end."""
        for ends in ((20, 29.9), (20, 24, 29.9), (20, 22, 23, 25, 28, 29.9)):
            spent, born = 0, 0 * S
            for end in ends:
                for b in [RetryBudget(10 * S, 0.2, 56, born) for _ in range(8)]:
                    while b.allows(end * S, 8):
                        b.spend(end * S)
                        spent += 1
                born = end * S
            self.assertLessEqual(spent, 56, ends)

    def test_a_new_instance_starts_without_slack(self):
        self.assertFalse(RetryBudget(10 * S, 0.2, 52, 5 * S).allows(5 * S, 1))
