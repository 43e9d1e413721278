"""Tests of the votes on versions: random fleets of watchers, and the rates of wrong verdicts of both kinds."""

import random
import unittest
from datetime import timedelta

from sparloom.rollouts.evidence import RECENT_WINDOW, Counts, Evidence, TallyKey, VoteCollector, subtract_counts
from sparloom.rollouts.records import AnswerTally, RolloutVote
from sparloom.rollouts.verdict import Ruling, evaluate_votes

RUNNERS = 6


def seconds(count):
    return timedelta(seconds=count)


WATCHERS = 20


def tally(route, trial, answers, failed=0, paced=0, slow=0, runner=1, loaded=False):
    return AnswerTally(route, trial, loaded, runner if trial else 0, answers, failed, paced, slow)


def vote(node, sequence, *tallies, number=1, step=0, base_in_flight=0):
    return RolloutVote(node, 1, number, 1, step, sequence, 0, 0, 0, base_in_flight, list(tallies))


def random_evidence(rng, base_rate, new_rate, answers, unhealthy_runners=0, false_watchers=0):
    """Evidence of a fleet in which each watcher has ``answers`` of the new version and ten times as many of the old.

    ``unhealthy_runners`` fail half of their requests; ``false_watchers`` report every answer as failed.
    """
    total = {}
    for watcher in range(WATCHERS):
        counts_by_key = {
            TallyKey("r", False, False, 0): Counts(10 * answers, _count_hits(rng, 10 * answers, base_rate))
        }
        for _ in range(answers):
            runner = rng.randrange(1, RUNNERS + 1)
            rate = 1.0 if watcher < false_watchers else 0.5 if runner <= unhealthy_runners else new_rate
            key = TallyKey("r", True, False, runner)
            counts_by_key[key] = counts_by_key.get(key, Counts()) + Counts(1, _count_hits(rng, 1, rate))
        total[str(watcher)] = counts_by_key
    return Evidence(total, total)


def _count_hits(rng, tries, rate):
    return sum(rng.random() < rate for _ in range(tries))


def count_rulings(count, **options):
    found = [
        evaluate_votes(random_evidence(random.Random(f"vote {seed}"), **options), RUNNERS).ruling
        for seed in range(count)
    ]
    return {ruling: found.count(ruling) for ruling in Ruling}


class CollectionTests(unittest.TestCase):
    def test_unchanged_counts_are_not_part_of_a_difference(self):
        counts_by_key = {TallyKey("r", True, False, 1): Counts(3, 1), TallyKey("r", False, False, 0): Counts(9, 0)}
        newer = counts_by_key | {TallyKey("r", True, False, 1): Counts(5, 1)}
        self.assertEqual(subtract_counts(newer, counts_by_key), {TallyKey("r", True, False, 1): Counts(2, 0)})

    def test_a_collector_keeps_the_counts_of_the_window_and_one_before_it(self):
        collector = VoteCollector(1)
        for second in range(100):
            collector.on_vote(seconds(second), vote("a", second + 1, tally("r", True, second)))
        (watcher,) = collector._watchers.values()
        self.assertEqual(len(watcher.history), RECENT_WINDOW // seconds(1) + 1)


class ErrorRateTests(unittest.TestCase):
    def test_good_versions_are_not_rejected_at_any_failure_rate_of_the_old_version(self):
        for rate in (0.0, 0.02, 0.1, 0.25):
            with self.subTest(rate):
                found = count_rulings(300, base_rate=rate, new_rate=rate, answers=3)
                self.assertLessEqual(found[Ruling.REJECTED], 1, found)

    def test_good_versions_are_accepted_after_few_answers_per_watcher(self):
        self.assertGreaterEqual(count_rulings(300, base_rate=0.01, new_rate=0.01, answers=3)[Ruling.ACCEPTED], 290)

    def test_bad_versions_are_rejected_and_never_accepted(self):
        for rate in (0.3, 0.4, 0.6):
            with self.subTest(rate):
                found = count_rulings(300, base_rate=0.01, new_rate=rate, answers=3)
                self.assertEqual(found[Ruling.ACCEPTED], 0, found)
                self.assertGreaterEqual(found[Ruling.REJECTED], 270, found)

    def test_one_unhealthy_runner_does_not_make_a_version_bad(self):
        found = count_rulings(300, base_rate=0.01, new_rate=0.01, answers=4, unhealthy_runners=1)
        self.assertLessEqual(found[Ruling.REJECTED], 3, found)
        self.assertGreaterEqual(found[Ruling.ACCEPTED], 250, found)

    def test_one_false_watcher_does_not_cause_a_rejection(self):
        found = count_rulings(300, base_rate=0.01, new_rate=0.01, answers=4, false_watchers=1)
        self.assertEqual(found[Ruling.REJECTED], 0, found)


class BoundTests(unittest.TestCase):
    def evaluate(self, *votes, runners=RUNNERS):
        collector = VoteCollector(1)
        for ballot in votes:
            collector.on_vote(seconds(1), ballot)
        return evaluate_votes(collector.evidence(seconds(1)), runners)

    def test_one_of_several_watchers_cannot_reject_alone(self):
        bad = [tally("r", True, 5, 5, runner=runner) for runner in (1, 2, 3)]
        without_new_answers = vote("b", 1, tally("r", False, 100))
        self.assertIs(self.evaluate(vote("a", 1, *bad), without_new_answers).ruling, Ruling.UNDECIDED)
        self.assertIs(self.evaluate(vote("a", 1, *bad), vote("b", 1, *bad)).ruling, Ruling.REJECTED)

    def test_the_only_watcher_of_a_fleet_can_reject(self):
        bad = [tally("r", True, 5, 5, runner=runner) for runner in (1, 2)]
        self.assertIs(self.evaluate(vote("a", 1, *bad)).ruling, Ruling.REJECTED)

    def test_failures_of_one_runner_are_enough_only_if_it_is_the_only_one(self):
        votes = [vote(name, 1, tally("r", True, 6, 6)) for name in "abc"]
        self.assertIs(self.evaluate(*votes).ruling, Ruling.UNDECIDED)
        self.assertIs(self.evaluate(*votes, runners=1).ruling, Ruling.REJECTED)

    def test_failures_on_one_route_are_enough(self):
        votes = [
            vote(name, 1, tally("r", True, 60), tally("q", True, 4, 3, runner=runner), tally("q", False, 30))
            for runner, name in enumerate("abc", 1)
        ]
        self.assertEqual(self.evaluate(*votes).reason, "answers fail on route q")

    def test_slow_answers_are_a_fault(self):
        votes = [
            vote(name, 1, tally("r", True, 6, 0, 6, 5, runner=runner), tally("r", False, 60, 0, 60, 2))
            for runner, name in enumerate("abc", 1)
        ]
        self.assertEqual(self.evaluate(*votes).reason, "answers are slow on route r")


class VoteCollectorTests(unittest.TestCase):
    def test_a_version_that_fails_late_is_rejected_by_the_recent_window(self):
        collector, names = VoteCollector(1), "abcdef"
        for name in names:
            good = [tally("r", True, 40, runner=runner) for runner in (1, 2)]
            collector.on_vote(seconds(1), vote(name, 1, *good, tally("r", False, 400)))
        for name in names:
            worse = [tally("r", True, 43, 3, runner=runner) for runner in (1, 2)]
            collector.on_vote(seconds(6), vote(name, 2, *worse, tally("r", False, 440)))
        self.assertIs(evaluate_votes(collector.evidence(seconds(6)), RUNNERS).ruling, Ruling.REJECTED)

    def test_votes_on_another_rollout_and_older_votes_are_ignored(self):
        collector = VoteCollector(1)
        collector.on_vote(seconds(1), vote("a", 2, tally("r", True, 5)))
        collector.on_vote(seconds(2), vote("a", 1, tally("r", True, 3, 3)))
        collector.on_vote(seconds(2), vote("a", 9, tally("r", True, 9, 9), number=7))
        self.assertEqual([ballot.sequence for ballot in collector.votes()], [2])

    def test_a_quorum_is_a_majority_of_all_routers(self):
        collector, routers = VoteCollector(1), [(name, 1) for name in "abcd"]
        for name in "ab":
            collector.on_vote(seconds(1), vote(name, 1))
        self.assertFalse(collector.has_quorum(seconds(1), routers))
        collector.on_vote(seconds(1), vote("c", 1))
        self.assertTrue(collector.has_quorum(seconds(1), routers))
        self.assertFalse(collector.has_quorum(seconds(9), routers))

    def test_the_old_version_is_drained_when_each_router_reports_it_at_the_last_step(self):
        collector, routers = VoteCollector(1), [("a", 1), ("b", 1)]
        collector.on_vote(seconds(1), vote("a", 1, step=3))
        for ballot in (vote("b", 1, step=2), vote("b", 2, step=3, base_in_flight=1)):
            collector.on_vote(seconds(1), ballot)
            self.assertFalse(collector.is_base_drained(seconds(1), 3, routers))
        collector.on_vote(seconds(1), vote("b", 3, step=3))
        self.assertTrue(collector.is_base_drained(seconds(1), 3, routers))
        self.assertFalse(collector.is_base_drained(seconds(1), 3, [*routers, ("c", 1)]))


if __name__ == "__main__":
    unittest.main()
