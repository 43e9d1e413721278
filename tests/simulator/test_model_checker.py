"""The model checker in bounds: the machine holds, and the checker catches mutations of it."""

import unittest
from unittest import mock

from simulator.check import Bounds, Scope, Violation, search, timeline, walk
from simulator.check.shrink import kind, shrink
from simulator.check.starts import STARTS, ready
from simulator.check.transitions import At, Pass
from sparloom.consensus import ReadConfirmed, Send, election, leadership
from sparloom.consensus.election import Election
from sparloom.consensus.leadership import Leadership
from sparloom.consensus.replica import Replica

_copy, _confirm, _on_copy_ack = Replica.store_copy, Leadership._confirm, Leadership.on_copy_ack


def _promise_at_once(self, seek):
    self.promise(seek.epoch)
    return Send(seek.candidate, self.promise_answer(seek.epoch, True, self.register))


def _answer_copy_at_once(self, record):
    return _copy(self, record).followups[0]


def _confirm_the_newest(self):
    return [ReadConfirmed(action.id, self.consensus.data) for action in _confirm(self)]


def _read_at_once(self, read):
    return [ReadConfirmed(read, self.committed_data)] if self.serving else None


def _decide_with_one_copy(self, record):
    if record.epoch == self.epoch:
        self.stored = dict.fromkeys(self.view.holders, self.consensus.data.number)
    return _on_copy_ack(self, record)


MUTATIONS = {
    "a promise is sent before it is on disk": (Replica, "grant_promise", _promise_at_once),
    "a copy is answered before it is on disk": (Replica, "store_copy", _answer_copy_at_once),
    "one mark activates a view": (leadership, "quorum", lambda ids, rosters: bool(ids)),
    "one promise elects": (election, "quorum", lambda ids, rosters: bool(ids)),
    "learners count in an election": (election, "quorum", lambda ids, rosters: 2 * len(ids) > len(rosters[0])),
    "who lacks the data may lead": (Election, "_holds", staticmethod(lambda basis, promise: True)),
    "one copy decides": (Leadership, "on_copy_ack", _decide_with_one_copy),
    "a read shows the newest data": (Leadership, "_confirm", _confirm_the_newest),
    "a read needs no heartbeat": (Leadership, "begin_read", _read_at_once),
}


def explore(scope, names, bounds, walks, steps):
    """Searches and walks from some starts; gives the first report with a fault, or None."""
    for name in names:
        world = STARTS[name](scope)
        report = search(world, bounds)
        for seed in range(walks):
            if report.found:
                return report
            report = walk(world, seed, steps)
        if report.found:
            return report
    return None


class TheMachineHolds(unittest.TestCase):
    def holds(self, scope, names, bounds, walks=20, steps=200):
        report = explore(scope, names, bounds, walks, steps)
        if report:
            shrink(report, 500)
            self.fail(f"{report.found}\n{timeline(report.start, report.trace)}")

    def test_three_members(self):
        self.holds(Scope(), STARTS, Bounds(depth=7, deviations=2, settle_every=60, most_states=1200))

    def test_all_interleavings_of_a_lost_primary(self):
        self.holds(Scope(joins=0), ["primary-lost"], Bounds(depth=4, deviations=4, most_states=4000), walks=0)

    def test_more_members(self):
        few = Bounds(depth=5, deviations=1, settle_every=60, most_states=300)
        self.holds(Scope("abcd", 1), ["ready", "replaced"], few, walks=15)
        self.holds(Scope("abcde", 2), ["ready", "exchanged"], few, walks=15)


class MutationsAreCaught(unittest.TestCase):
    def found(self):
        """The fault that these bounds find in the machine as it stands now, or None."""
        few = Bounds(depth=5, deviations=1, most_states=200)
        try:
            report = explore(Scope(), ["ready", "deposed", "replaced"], few, 12, 150)
            report = report or explore(Scope("abcd", 1), ["ready", "deposed"], few, 40, 150)
        except Violation as fault:
            return fault
        return report and report.found

    def caught(self, mutation):
        """The fault that they find in a mutated machine, or None."""
        with mock.patch.object(*MUTATIONS[mutation]):
            return self.found()

    def test_the_same_bounds_find_nothing_without_a_mutation(self):
        self.assertIsNone(self.found())

    def test_mutations(self):
        for mutation in MUTATIONS:
            with self.subTest(mutation):
                self.assertIsNotNone(self.caught(mutation))

    def test_a_member_that_lacks_the_data_loses_what_was_acknowledged(self):
        self.assertEqual(
            kind(self.caught("who lacks the data may lead")), "acknowledged change is not in the new primary"
        )

    def test_a_read_without_a_heartbeat_goes_back(self):
        self.assertEqual(kind(self.caught("a read needs no heartbeat")), "a confirmed read went back from to")


class Reports(unittest.TestCase):
    def test_the_same_seed_walks_the_same_way(self):
        first, second = (walk(ready(Scope()), 5, 150) for _ in range(2))
        self.assertEqual([repr(move) for move in first.trace], [repr(move) for move in second.trace])
        self.assertEqual(first.kinds, second.kinds)

    def test_a_counterexample_is_shortened(self):
        with mock.patch.object(*MUTATIONS["a read needs no heartbeat"]):
            world = STARTS["deposed"](Scope())
            report = next(r for r in (walk(world, seed, 150) for seed in range(60)) if r.found)
            long = len(report.trace)
            shrink(report)
            self.assertLess(len(report.trace), min(long, 12))
            self.assertIn("write", timeline(report.start, report.trace))

    def test_rows_of_a_timeline(self):
        world = ready(Scope())
        text = timeline(world, [At("kill", "b"), Pass(), At("boot", "b"), At("timeout", "c")])
        self.assertEqual(
            [line.split() for line in text.splitlines()][1:],
            [
                ["0", ".", "kill", "."],
                ["100", ".", "boot", "timeout"],
            ],
        )


if __name__ == "__main__":
    unittest.main()
