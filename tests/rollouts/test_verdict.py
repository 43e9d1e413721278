"""The vote: seeded fleets of watchers, good and bad versions, and the rates of wrong verdicts both ways."""

import random
import unittest
from datetime import timedelta

from sparloom.rollouts.evidence import WINDOW, CellKey, Counts, Evidence, VoteCollector, difference
from sparloom.rollouts.records import AnswerTally, RolloutVote
from sparloom.rollouts.verdict import Ruling, judge

RUNNERS = 6


def seconds(count):
    return timedelta(seconds=count)


WATCHERS = 20


def tally(route, trial, answers, failed=0, paced=0, slow=0, runner=1, loaded=False):
    return AnswerTally(route, trial, loaded, runner if trial else 0, answers, failed, paced, slow)


def vote(node, sequence, *tallies, number=1, step=0, base_in_flight=0):
    return RolloutVote(node, 1, number, 1, step, sequence, 0, 0, 0, base_in_flight, list(tallies))


def drawn_evidence(luck, base_rate, new_rate, answers, grey=0, liars=0):
    """Evidence of a fleet: each watcher has had ``answers`` of the new version, ten times as many of the old one.

    ``grey``: runners that fail half of the time; ``liars``: watchers that call every answer bad.
    """
    total = {}
    for watcher in range(WATCHERS):
        cells = {CellKey("r", False, False, 0): Counts(10 * answers, _hits(luck, 10 * answers, base_rate))}
        for _ in range(answers):
            runner = luck.randrange(1, RUNNERS + 1)
            rate = 1.0 if watcher < liars else 0.5 if runner <= grey else new_rate
            key = CellKey("r", True, False, runner)
            cells[key] = cells.get(key, Counts()) + Counts(1, _hits(luck, 1, rate))
        total[str(watcher)] = cells
    return Evidence(total, total)


def _hits(luck, tries, rate):
    return sum(luck.random() < rate for _ in range(tries))


def rulings(count, **options):
    found = [judge(drawn_evidence(random.Random(f"vote {seed}"), **options), RUNNERS).ruling for seed in range(count)]
    return {ruling: found.count(ruling) for ruling in Ruling}


class Sums(unittest.TestCase):
    def test_what_has_not_changed_is_no_difference(self):
        cells = {CellKey("r", True, False, 1): Counts(3, 1), CellKey("r", False, False, 0): Counts(9, 0)}
        newer = cells | {CellKey("r", True, False, 1): Counts(5, 1)}
        self.assertEqual(difference(newer, cells), {CellKey("r", True, False, 1): Counts(2, 0)})

    def test_a_collector_remembers_votes_of_the_window_and_one_before(self):
        collector = VoteCollector(1)
        for second in range(100):
            collector.on_vote(seconds(second), vote("a", second + 1, tally("r", True, second)))
        (watcher,) = collector._watchers.values()
        self.assertEqual(len(watcher.history), WINDOW // seconds(1) + 1)


class Rates(unittest.TestCase):
    def test_good_versions_are_not_rejected_at_any_rate_of_the_old_one(self):
        for rate in (0.0, 0.02, 0.1, 0.25):
            with self.subTest(rate):
                found = rulings(300, base_rate=rate, new_rate=rate, answers=3)
                self.assertLessEqual(found[Ruling.REJECTED], 1, found)

    def test_good_versions_are_accepted_on_few_answers_of_each_watcher(self):
        self.assertGreaterEqual(rulings(300, base_rate=0.01, new_rate=0.01, answers=3)[Ruling.ACCEPTED], 290)

    def test_bad_versions_are_rejected_and_never_accepted(self):
        for rate in (0.3, 0.4, 0.6):
            with self.subTest(rate):
                found = rulings(300, base_rate=0.01, new_rate=rate, answers=3)
                self.assertEqual(found[Ruling.ACCEPTED], 0, found)
                self.assertGreaterEqual(found[Ruling.REJECTED], 270, found)

    def test_one_sick_runner_is_no_bad_version(self):
        found = rulings(300, base_rate=0.01, new_rate=0.01, answers=4, grey=1)
        self.assertLessEqual(found[Ruling.REJECTED], 3, found)
        self.assertGreaterEqual(found[Ruling.ACCEPTED], 250, found)

    def test_one_watcher_that_calls_everything_bad_decides_nothing(self):
        found = rulings(300, base_rate=0.01, new_rate=0.01, answers=4, liars=1)
        self.assertEqual(found[Ruling.REJECTED], 0, found)


class Bounds(unittest.TestCase):
    def judged(self, *votes, runners=RUNNERS):
        collector = VoteCollector(1)
        for cast in votes:
            collector.on_vote(seconds(1), cast)
        return judge(collector.evidence(seconds(1)), runners)

    def test_a_single_watcher_of_several_can_t_reject(self):
        bad = [tally("r", True, 5, 5, runner=runner) for runner in (1, 2, 3)]
        quiet = vote("b", 1, tally("r", False, 100))
        self.assertIs(self.judged(vote("a", 1, *bad), quiet).ruling, Ruling.UNDECIDED)
        self.assertIs(self.judged(vote("a", 1, *bad), vote("b", 1, *bad)).ruling, Ruling.REJECTED)

    def test_the_only_watcher_of_a_fleet_of_one_can(self):
        bad = [tally("r", True, 5, 5, runner=runner) for runner in (1, 2)]
        self.assertIs(self.judged(vote("a", 1, *bad)).ruling, Ruling.REJECTED)

    def test_a_single_runner_of_several_is_not_enough_and_the_only_one_is(self):
        votes = [vote(name, 1, tally("r", True, 6, 6)) for name in "abc"]
        self.assertIs(self.judged(*votes).ruling, Ruling.UNDECIDED)
        self.assertIs(self.judged(*votes, runners=1).ruling, Ruling.REJECTED)

    def test_one_route_is_enough(self):
        votes = [
            vote(name, 1, tally("r", True, 60), tally("q", True, 4, 3, runner=runner), tally("q", False, 30))
            for runner, name in enumerate("abc", 1)
        ]
        self.assertEqual(self.judged(*votes).reason, "answers fail on route q")

    def test_slow_answers_are_faults_of_their_own(self):
        votes = [
            vote(name, 1, tally("r", True, 6, 0, 6, 5, runner=runner), tally("r", False, 60, 0, 60, 2))
            for runner, name in enumerate("abc", 1)
        ]
        self.assertEqual(self.judged(*votes).reason, "answers are slow on route r")


class Collected(unittest.TestCase):
    def test_a_version_that_turns_bad_late_is_judged_by_the_last_seconds(self):
        collector, names = VoteCollector(1), "abcdef"
        for name in names:
            good = [tally("r", True, 40, runner=runner) for runner in (1, 2)]
            collector.on_vote(seconds(1), vote(name, 1, *good, tally("r", False, 400)))
        for name in names:
            worse = [tally("r", True, 43, 3, runner=runner) for runner in (1, 2)]
            collector.on_vote(seconds(6), vote(name, 2, *worse, tally("r", False, 440)))
        self.assertIs(judge(collector.evidence(seconds(6)), RUNNERS).ruling, Ruling.REJECTED)

    def test_votes_of_another_roll_out_and_older_ones_change_nothing(self):
        collector = VoteCollector(1)
        collector.on_vote(seconds(1), vote("a", 2, tally("r", True, 5)))
        collector.on_vote(seconds(2), vote("a", 1, tally("r", True, 3, 3)))
        collector.on_vote(seconds(2), vote("a", 9, tally("r", True, 9, 9), number=7))
        self.assertEqual([cast.sequence for cast in collector.votes()], [2])

    def test_a_majority_is_one_of_all_routers_and_not_of_those_heard(self):
        collector, routers = VoteCollector(1), [(name, 1) for name in "abcd"]
        for name in "ab":
            collector.on_vote(seconds(1), vote(name, 1))
        self.assertFalse(collector.has_majority(seconds(1), routers))
        collector.on_vote(seconds(1), vote("c", 1))
        self.assertTrue(collector.has_majority(seconds(1), routers))
        self.assertFalse(collector.has_majority(seconds(9), routers))

    def test_the_old_version_is_empty_once_each_router_says_so_at_the_last_step(self):
        collector, routers = VoteCollector(1), [("a", 1), ("b", 1)]
        collector.on_vote(seconds(1), vote("a", 1, step=3))
        for said in (vote("b", 1, step=2), vote("b", 2, step=3, base_in_flight=1)):
            collector.on_vote(seconds(1), said)
            self.assertFalse(collector.base_is_empty(seconds(1), 3, routers))
        collector.on_vote(seconds(1), vote("b", 3, step=3))
        self.assertTrue(collector.base_is_empty(seconds(1), 3, routers))
        self.assertFalse(collector.base_is_empty(seconds(1), 3, [*routers, ("c", 1)]))


if __name__ == "__main__":
    unittest.main()
