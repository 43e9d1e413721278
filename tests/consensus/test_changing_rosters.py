"""Two halves of the members while a roster is changing: an old one and a new one that share few members.

A member was lost, and an empty machine is about to take its seat. The lost one
comes back, the members part into halves, and each half tries to lead. The
model checker's starts had no such state: three faults of agreement passed it
(a majority of the newest roster alone elects, or lets a view be served).
"""

import itertools
import unittest
from unittest import mock

from simulator.check import Scope, Violation
from simulator.check.starts import changing_roster
from simulator.check.transitions import At, run_fairly, separate
from sparloom.consensus import election, leadership

QUORUM = election.quorum
ROUNDS = 60


def newest_roster_alone(ids, rosters):
    return QUORUM(ids, rosters[:1])


def play(world, lost, half, restarted):
    """The lost member is back, a half is apart, one process starts anew; all write wherever somebody leads."""
    world = world.copy()
    if restarted is not None and world.nodes[restarted].ledger is not None:
        At("kill", restarted).play(world)
    if world.nodes[lost].ledger is None:
        At("boot", lost).play(world)
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


def violations():
    """What goes wrong in any of the plays; the plays end with the first few."""
    found = []
    for world, lost in changing_roster(Scope()):
        first = next(iter(world.nodes))
        for half in itertools.combinations(world.nodes, 2):
            for restarted in (None, first) if first in half else ():
                try:
                    play(world, lost, half, restarted)
                except Violation as violation:
                    found.append(str(violation))
                if len(found) > 2:
                    return found
    return found


class ChangingRosters(unittest.TestCase):
    def test_no_half_agrees_by_itself(self):
        self.assertEqual(violations(), [])

    def test_an_election_by_the_newest_roster_alone_is_found(self):
        with mock.patch.object(election, "quorum", newest_roster_alone):
            self.assertTrue(violations())

    def test_a_view_that_is_served_by_the_newest_roster_alone_is_found(self):
        with mock.patch.object(leadership, "quorum", newest_roster_alone):
            self.assertTrue(violations())


if __name__ == "__main__":
    unittest.main()
