"""Quorums, backups and rosters of views."""

import unittest

from sparloom.consensus.records import Member, Roster, View
from sparloom.consensus.views import Basis, ReadyLearner, RosterState, choose_backups, next_roster, next_view, quorum


class ViewFunctions(unittest.TestCase):
    def make_view(self, ids, previous=()):
        members = {i: Member(i, "h", i, "z", "") for i in range(1, 10)}
        rosters = [Roster([members[i] for i in previous_ids]) for previous_ids in previous]
        return View(1, ids[0], [], [members[i] for i in ids], rosters)

    def test_uncommitted_view_also_requires_its_previous_roster(self):
        view = self.make_view([1, 2, 4], [[1, 2, 3]])
        self.assertFalse(quorum({1, 4}, Basis(view, False).rosters))
        self.assertTrue(quorum({1, 4}, Basis(view, True).rosters))
        self.assertTrue(quorum({1, 2}, Basis(view, False).rosters))

    def test_next_view_also_requires_uncommitted_rosters(self):
        view = self.make_view([1, 2, 4], [[1, 2, 3]])
        members = [Member(i, "h", i, "z", "") for i in (1, 2, 5)]
        self.assertEqual(next_view(9, 1, [2], members, Basis(view, False)).rosters, ((1, 2, 5), (1, 2, 3), (1, 2, 4)))
        self.assertEqual(next_view(9, 1, [2], members, Basis(view, True)).rosters, ((1, 2, 5), (1, 2, 4)))

    def test_backups_in_other_zones_are_preferred(self):
        roster = [Member(1, "h", 1, "x", ""), Member(2, "h", 2, "x", ""), Member(3, "h", 3, "y", "")]
        self.assertEqual(choose_backups(1, roster, {1, 2, 3}, (), 1), [3])
        self.assertIsNone(choose_backups(1, roster, {1}, (), 1))

    def next_ids(self, learners, dead=(), leaving=(), all_reachable=True, ids=(1, 2, 3)):
        ready = [ReadyLearner(*learner) for learner in learners]
        state = RosterState(self.make_view(list(ids)), ready, frozenset(dead), frozenset(leaving), all_reachable)
        next_members = next_roster(state)
        return next_members and [member.id for member in next_members]

    def test_wiped_member_gets_its_own_seat(self):
        self.assertEqual(self.next_ids([(Member(9, "h", 2, "z", ""), False)]), [1, 9, 3])

    def test_newcomer_takes_a_free_seat_or_waits(self):
        learners = [(Member(9, "new", 1, "z", ""), False)]
        self.assertIsNone(self.next_ids(learners))
        self.assertEqual(self.next_ids(learners, dead=[2]), [1, 9, 3])
        self.assertEqual(self.next_ids(learners, leaving=[3]), [1, 2, 9])
        self.assertEqual(self.next_ids(learners, dead=[1], leaving=[3]), [9, 2, 3])

    def test_roster_grows_by_machines_of_the_first_start_while_all_voters_are_reachable(self):
        learners = [(Member(8, "new", 1, "z", ""), True), (Member(9, "newer", 1, "z", ""), True)]
        self.assertEqual(self.next_ids(learners), [1, 2, 3, 8, 9])
        self.assertIsNone(self.next_ids(learners, all_reachable=False))
        self.assertEqual(self.next_ids(learners, dead=[2]), [1, 8, 3])

    def test_even_roster_drops_a_dead_voter(self):
        self.assertEqual(self.next_ids([], dead=[4], ids=(1, 2, 3, 4)), [1, 2, 3])
        self.assertIsNone(self.next_ids([], dead=[3]))


if __name__ == "__main__":
    unittest.main()
