"""Tests verdicts, the decision to retry, and the retry budget."""

import random
import unittest
from datetime import timedelta
from itertools import product

from sparloom.retry import MAY_HAVE_RUN, NOT_RUN, RAN, GiveUp, Retry, RetryBudget, RetryContext, judge_head, next_step
from sparloom.retry.verdict import ResponseHead

SECOND = timedelta(seconds=1)


class Verdicts(unittest.TestCase):
    def test_only_the_not_run_header_and_421_yield_not_run(self):
        for status in (400, 408, 429, 500, 502, 503, 504):
            self.assertIs(judge_head(ResponseHead(status, True, False, True, True))[0], NOT_RUN)
            self.assertIsNot(judge_head(ResponseHead(status, False, False, True, True))[0], NOT_RUN)
        self.assertIs(judge_head(ResponseHead(421, False, False, True, True))[0], NOT_RUN)

    def test_a_response_to_another_request_yields_may_have_run(self):
        for status, not_run, sealed, framed in product(range(200, 600), *3 * [(True, False)]):
            self.assertEqual(judge_head(ResponseHead(status, not_run, sealed, False, framed)), (MAY_HAVE_RUN, False))

    def test_only_a_400_for_a_request_without_an_attempt_id_may_lack_the_id(self):
        for status in (400, 421, 429, 500, 503):
            verdict, may_be_forwarded = judge_head(
                ResponseHead(status, True, False, False, True, without_attempt_id=True)
            )
            self.assertEqual((verdict is NOT_RUN, may_be_forwarded), (status == 400, False))
        self.assertIs(
            judge_head(ResponseHead(400, False, False, False, True, without_attempt_id=True))[0], MAY_HAVE_RUN
        )

    def test_a_success_without_seal_or_with_another_attempt_id_is_not_forwarded(self):
        for sealed, attempt_id_matches, framed in product((True, False), repeat=3):
            verdict, may_be_forwarded = judge_head(ResponseHead(200, False, sealed, attempt_id_matches, framed))
            self.assertEqual(may_be_forwarded, sealed and attempt_id_matches and framed)
            self.assertIsNot(verdict, NOT_RUN)

    def test_a_success_with_the_not_run_header_does_not_yield_not_run(self):
        self.assertIsNot(judge_head(ResponseHead(200, True, True, True, True))[0], NOT_RUN)

    def test_a_rejection_without_the_not_run_header_is_not_forwarded(self):
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
            (0 * SECOND, SECOND),
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

    def test_a_retry_respects_attempts_budget_and_deadline(self):
        for context in self.contexts():
            if isinstance(next_step(context), Retry):
                self.assertTrue(
                    context.attempts < context.max_attempts and context.within_budget and context.time_left > 0 * SECOND
                )

    def test_a_started_response_is_truncated(self):
        for context in self.contexts():
            step = next_step(context)
            if context.response_started and isinstance(step, GiveUp):
                self.assertTrue(step.truncate)


class FleetBudget(unittest.TestCase):
    """The retries of all routers together stay within the budget in every sliding window, with restarts."""

    def largest_overrun(self, seed):
        rng = random.Random(seed)
        ratio, slack, window = 0.2, 52, 10 * SECOND
        started = dict.fromkeys(range(6), 0 * SECOND)
        budgets = {router: RetryBudget(window, ratio, slack, 0 * SECOND) for router in started}
        requests, retries, now = [], [], 0 * SECOND
        while now < 60 * SECOND:
            now += timedelta(milliseconds=rng.randrange(5, 30))
            router = rng.choice(list(budgets))
            if rng.random() < 0.004:
                budgets[router] = RetryBudget(window, ratio, slack, now)
            budgets[router].on_request(now)
            requests.append(now)
            for _ in range(rng.randrange(0, 3)):
                if budgets[router].allows(now, len(budgets)):
                    budgets[router].spend(now)
                    retries.append(now)
        overruns = []
        for end in retries:
            spent = sum(end - window < retried_at <= end for retried_at in retries)
            received = max(
                sum(end - window - delay < requested_at <= end - delay for requested_at in requests)
                for delay in (0 * SECOND, window / 2, window)
            )
            overruns.append(spent - ratio * received - slack)
        return max(overruns)

    def test_the_fleet_stays_within_the_budget(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertLessEqual(self.largest_overrun(seed), 0)

    def test_retries_of_successive_instances_do_not_exceed_the_slack(self):
        """All routers restart together at the given times; each instance spends all that it may just before."""
        for ends in ((20, 29.9), (20, 24, 29.9), (20, 22, 23, 25, 28, 29.9)):
            spent, started_at = 0, 0 * SECOND
            for end in ends:
                for budget in [RetryBudget(10 * SECOND, 0.2, 56, started_at) for _ in range(8)]:
                    while budget.allows(end * SECOND, 8):
                        budget.spend(end * SECOND)
                        spent += 1
                started_at = end * SECOND
            self.assertLessEqual(spent, 56, ends)

    def test_a_new_instance_starts_without_slack(self):
        self.assertFalse(RetryBudget(10 * SECOND, 0.2, 52, 5 * SECOND).allows(5 * SECOND, 1))
