"""Quorums, backups and rosters of views."""

import unittest

from sparloom.consensus.records import Member, Roster, View
from sparloom.consensus.views import Basis, ReadyLearner, RosterState, choose_backups, next_roster, next_view, quorum


class Views(unittest.TestCase):
    def view(self, ids, previous=()):
        members = {i: Member(i, "h", i, "z", "") for i in range(1, 10)}
        rosters = [Roster([members[i] for i in old]) for old in previous]
        return View(1, ids[0], [], [members[i] for i in ids], rosters)

    def test_an_uncommitted_view_needs_its_older_roster_too(self):
        view = self.view([1, 2, 4], [[1, 2, 3]])
        self.assertFalse(quorum({1, 4}, Basis(view, False).rosters))
        self.assertTrue(quorum({1, 4}, Basis(view, True).rosters))
        self.assertTrue(quorum({1, 2}, Basis(view, False).rosters))

    def test_uncommitted_rosters_vote_on_the_next_view_too(self):
        view = self.view([1, 2, 4], [[1, 2, 3]])
        members = [Member(i, "h", i, "z", "") for i in (1, 2, 5)]
        self.assertEqual(next_view(9, 1, [2], members, Basis(view, False)).rosters, ((1, 2, 5), (1, 2, 3), (1, 2, 4)))
        self.assertEqual(next_view(9, 1, [2], members, Basis(view, True)).rosters, ((1, 2, 5), (1, 2, 4)))

    def test_backups_lie_in_other_zones_first(self):
        roster = [Member(1, "h", 1, "x", ""), Member(2, "h", 2, "x", ""), Member(3, "h", 3, "y", "")]
        self.assertEqual(choose_backups(1, roster, {1, 2, 3}, (), 1), [3])
        self.assertIsNone(choose_backups(1, roster, {1}, (), 1))

    def roster(self, learners, dead=(), leaving=(), all_reachable=True, ids=(1, 2, 3)):
        ready = [ReadyLearner(*learner) for learner in learners]
        state = RosterState(self.view(list(ids)), ready, frozenset(dead), frozenset(leaving), all_reachable)
        found = next_roster(state)
        return found and [member.id for member in found]

    def test_wiped_member_gets_its_own_seat(self):
        self.assertEqual(self.roster([(Member(9, "h", 2, "z", ""), False)]), [1, 9, 3])

    def test_a_newcomer_takes_a_seat_that_is_free_and_waits_for_one_otherwise(self):
        new = [(Member(9, "new", 1, "z", ""), False)]
        self.assertIsNone(self.roster(new))
        self.assertEqual(self.roster(new, dead=[2]), [1, 9, 3])
        self.assertEqual(self.roster(new, leaving=[3]), [1, 2, 9])
        self.assertEqual(self.roster(new, dead=[1], leaving=[3]), [9, 2, 3])

    def test_only_machines_of_the_first_start_make_the_roster_grow_and_only_while_all_are_near(self):
        new = [(Member(8, "new", 1, "z", ""), True), (Member(9, "newer", 1, "z", ""), True)]
        self.assertEqual(self.roster(new), [1, 2, 3, 8, 9])
        self.assertIsNone(self.roster(new, all_reachable=False))
        self.assertEqual(self.roster(new, dead=[2]), [1, 8, 3])

    def test_an_even_roster_drops_a_dead_member(self):
        self.assertEqual(self.roster([], dead=[4], ids=(1, 2, 3, 4)), [1, 2, 3])
        self.assertIsNone(self.roster([], dead=[3]))


if __name__ == "__main__":
    unittest.main()
