"""The bounded model checker finds no violation in the state machine, and a violation in each mutation of it."""

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

_store_copy, _confirm, _on_copy_ack = Replica.store_copy, Leadership._confirm, Leadership.on_copy_ack


def _promise_before_save(self, request):
    self.promise(request.epoch)
    return Send(request.candidate, self.promise_answer(request.epoch, True, self.register))


def _acknowledge_copy_before_save(self, record):
    return _store_copy(self, record).followups[0]


def _confirm_uncommitted(self):
    return [ReadConfirmed(action.id, self.consensus.data) for action in _confirm(self)]


def _read_without_heartbeat(self, read_id):
    return [ReadConfirmed(read_id, self.committed_data)] if self.serving else None


def _commit_with_one_copy(self, record):
    if record.epoch == self.epoch:
        self.stored = dict.fromkeys(self.view.holders, self.consensus.data.number)
    return _on_copy_ack(self, record)


MUTATIONS = {
    "a promise is sent before it is saved": (Replica, "grant_promise", _promise_before_save),
    "a copy is acknowledged before it is saved": (Replica, "store_copy", _acknowledge_copy_before_save),
    "one member activates a view": (leadership, "quorum", lambda ids, rosters: bool(ids)),
    "one promise elects a primary": (election, "quorum", lambda ids, rosters: bool(ids)),
    "learners vote in an election": (election, "quorum", lambda ids, rosters: 2 * len(ids) > len(rosters[0])),
    "a member without the newest data may lead": (Election, "_holds", staticmethod(lambda basis, promise: True)),
    "one copy commits a change": (Leadership, "on_copy_ack", _commit_with_one_copy),
    "a read returns uncommitted data": (Leadership, "_confirm", _confirm_uncommitted),
    "a read needs no heartbeat": (Leadership, "begin_read", _read_without_heartbeat),
}


def explore(scope, starts, bounds, walks, steps):
    """Search and walk from some starts; return the first report with a violation, or None."""
    for name in starts:
        state = STARTS[name](scope)
        report = search(state, bounds)
        for seed in range(walks):
            if report.found:
                return report
            report = walk(state, seed, steps)
        if report.found:
            return report
    return None


class StateMachine(unittest.TestCase):
    def check_no_violation(self, scope, starts, bounds, walks=20, steps=200):
        report = explore(scope, starts, bounds, walks, steps)
        if report:
            shrink(report, 500)
            self.fail(f"{report.found}\n{timeline(report.start, report.trace)}")

    def test_three_members(self):
        self.check_no_violation(Scope(), STARTS, Bounds(depth=7, deviations=2, settle_every=60, most_states=1200))

    def test_all_interleavings_after_primary_loss(self):
        self.check_no_violation(
            Scope(joins=0), ["primary-lost"], Bounds(depth=4, deviations=4, most_states=4000), walks=0
        )

    def test_four_and_five_members(self):
        bounds = Bounds(depth=5, deviations=1, settle_every=60, most_states=300)
        self.check_no_violation(Scope("abcd", 1), ["ready", "replaced"], bounds, walks=15)
        self.check_no_violation(Scope("abcde", 2), ["ready", "exchanged"], bounds, walks=15)


class Mutations(unittest.TestCase):
    def found(self):
        """Return the violation found in the current state machine within these bounds, or None."""
        bounds = Bounds(depth=5, deviations=1, most_states=200)
        try:
            report = explore(Scope(), ["ready", "deposed", "replaced"], bounds, 12, 150)
            report = report or explore(Scope("abcd", 1), ["ready", "deposed"], bounds, 40, 150)
        except Violation as violation:
            return violation
        return report and report.found

    def found_in(self, mutation):
        """Return the violation found in a mutated state machine, or None."""
        with mock.patch.object(*MUTATIONS[mutation]):
            return self.found()

    def test_no_violation_without_mutation(self):
        self.assertIsNone(self.found())

    def test_each_mutation_is_found(self):
        for mutation in MUTATIONS:
            with self.subTest(mutation):
                self.assertIsNotNone(self.found_in(mutation))

    def test_electing_member_without_newest_data_loses_acknowledged_change(self):
        self.assertEqual(
            kind(self.found_in("a member without the newest data may lead")),
            "acknowledged change is not in the new primary",
        )

    def test_read_without_heartbeat_returns_older_state(self):
        self.assertEqual(kind(self.found_in("a read needs no heartbeat")), "a confirmed read went back from to")


class Reports(unittest.TestCase):
    def test_walk_is_deterministic_for_a_seed(self):
        first, second = (walk(ready(Scope()), 5, 150) for _ in range(2))
        self.assertEqual([repr(move) for move in first.trace], [repr(move) for move in second.trace])
        self.assertEqual(first.kinds, second.kinds)

    def test_shrink_shortens_counterexample(self):
        with mock.patch.object(*MUTATIONS["a read needs no heartbeat"]):
            state = STARTS["deposed"](Scope())
            report = next(report for report in (walk(state, seed, 150) for seed in range(60)) if report.found)
            original_length = len(report.trace)
            shrink(report)
            self.assertLess(len(report.trace), min(original_length, 12))
            self.assertIn("write", timeline(report.start, report.trace))

    def test_timeline_merges_events_at_the_same_time(self):
        state = ready(Scope())
        text = timeline(state, [At("kill", "b"), Pass(), At("boot", "b"), At("timeout", "c")])
        self.assertEqual(
            [line.split() for line in text.splitlines()][1:],
            [
                ["0", ".", "kill", "."],
                ["100", ".", "boot", "timeout"],
            ],
        )


if __name__ == "__main__":
    unittest.main()
