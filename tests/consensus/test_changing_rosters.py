"""Two halves of the members while a roster is changing: an old one and a new one that share few members.

A member was lost, and an empty machine is about to take its seat. The lost one
comes back, the members part into halves, and each half tries to lead. The
model checker's starts had no such state: three faults of agreement passed it
(a majority of the newest roster alone elects, or lets a view be served).
"""

import itertools
import sys
import unittest
from unittest import mock

from simulator.check import Scope, Violation
from simulator.check.starts import changing_roster
from simulator.check.transitions import At, run_fairly, separate
from sparloom.consensus import election, leadership
from sparloom.consensus.election import Election, PreVoting

QUORUM = election.quorum
ROUNDS = 60
# By then a member that was about to stand when the primary ended does.
STANDS_WITHIN_MS = 4000


def newest_roster_alone(ids, rosters):
    return QUORUM(ids, rosters[:1])


def newest_roster_alone_in(caller):
    """A quorum that goes by the newest roster where one class asks, and by all rosters elsewhere."""

    def newest_roster_alone_there(ids, rosters):
        asking = sys._getframe(1).f_locals.get("self")
        return QUORUM(ids, rosters[:1] if isinstance(asking, caller) else rosters)

    return newest_roster_alone_there


def standing(world):
    """Whether any member has passed its pre-vote, or needed none, and stands for primary."""
    return any(world.nodes[name].ledger.election is not None for name in world.up())


def play(world, lost, half, restarted, cut_amid_election=False):
    """The lost member is back, a half is apart, one process starts anew; all write wherever somebody leads.

    ``cut_amid_election``: the half is apart only once a member stands for primary.
    """
    world = world.copy()
    if restarted is not None and world.nodes[restarted].ledger is not None:
        At("kill", restarted).play(world)
    if world.nodes[lost].ledger is None:
        At("boot", lost).play(world)
    if cut_amid_election:
        run_fairly(world, STANDS_WITHIN_MS, until=standing)
    separate(world, half)
    if restarted is not None:
        At("boot", restarted).play(world)
    for _ in range(ROUNDS):
        run_fairly(world, 100)
        for name in world.up():
            waiting = any(order.node == name for order in world.orders.values())
            if world.nodes[name].ledger.leading() and not waiting:
                world.order(name)
    At("heal", lost).play(world)
    run_fairly(world, 2000)


def violations(cut_amid_election=False):
    """What goes wrong in any of the plays; the plays end with the first few."""
    found = []
    for world, lost in changing_roster(Scope()):
        first = next(iter(world.nodes))
        for half in itertools.combinations(world.nodes, 2):
            for restarted in (None, first) if first in half else ():
                try:
                    play(world, lost, half, restarted, cut_amid_election)
                except Violation as violation:
                    found.append(str(violation))
                if len(found) > 2:
                    return found
    return found


class ChangingRosters(unittest.TestCase):
    def test_no_half_agrees_by_itself(self):
        self.assertEqual(violations(), [])

    def test_no_half_agrees_by_itself_when_it_is_cut_off_amid_an_election(self):
        self.assertEqual(violations(cut_amid_election=True), [])

    def test_promises_of_the_newest_roster_alone_are_found_though_the_pre_vote_asks_all(self):
        with mock.patch.object(election, "quorum", newest_roster_alone_in(Election)):
            self.assertEqual(violations(), [], "the pre-vote stops these")
            self.assertTrue(violations(cut_amid_election=True))

    def test_a_pre_vote_of_the_newest_roster_alone_endangers_nothing(self):
        with mock.patch.object(election, "quorum", newest_roster_alone_in(PreVoting)):
            self.assertEqual(violations(), [])
            self.assertEqual(violations(cut_amid_election=True), [])

    def test_an_election_by_the_newest_roster_alone_is_found(self):
        with mock.patch.object(election, "quorum", newest_roster_alone):
            self.assertTrue(violations())

    def test_a_view_that_is_served_by_the_newest_roster_alone_is_found(self):
        with mock.patch.object(leadership, "quorum", newest_roster_alone):
            self.assertTrue(violations())


if __name__ == "__main__":
    unittest.main()
