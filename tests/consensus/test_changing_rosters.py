"""Partitions during a roster change, when the old and the new roster share few members.

A member has failed, and a new machine is about to take its seat. The failed
member restarts, the members are partitioned, and each side tries to elect a
primary. Guards against elections and view activations with a majority of the
newest roster alone: the model checker detects none of these three faults from
its other start states.
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
WRITE_ROUNDS = 60
# Upper bound in milliseconds for a member to start an election after the primary has stopped.
ELECTION_STARTS_WITHIN_MS = 4000


def newest_roster_quorum(ids, rosters):
    return QUORUM(ids, rosters[:1])


def newest_roster_quorum_in(caller_class):
    """Returns a quorum function that checks only the newest roster if called from one class, else all rosters."""

    def patched_quorum(ids, rosters):
        caller = sys._getframe(1).f_locals.get("self")
        return QUORUM(ids, rosters[:1] if isinstance(caller, caller_class) else rosters)

    return patched_quorum


def has_candidate(state):
    """Returns whether any member runs an election, after a successful pre-vote or without one."""
    return any(state.nodes[name].ledger.election is not None for name in state.up())


def run_scenario(state, replaced, partition, restarted, partition_during_election=False):
    """Restarts the replaced member, partitions the members, restarts one process and writes at every primary.

    ``partition_during_election``: the partition begins only once a member has started an election.
    """
    state = state.copy()
    if restarted is not None and state.nodes[restarted].ledger is not None:
        At("kill", restarted).play(state)
    if state.nodes[replaced].ledger is None:
        At("boot", replaced).play(state)
    if partition_during_election:
        run_fairly(state, ELECTION_STARTS_WITHIN_MS, until=has_candidate)
    separate(state, partition)
    if restarted is not None:
        At("boot", restarted).play(state)
    for _ in range(WRITE_ROUNDS):
        run_fairly(state, 100)
        for name in state.up():
            waiting = any(order.node == name for order in state.orders.values())
            if state.nodes[name].ledger.leading() and not waiting:
                state.order(name)
    At("heal", replaced).play(state)
    run_fairly(state, 2000)


def find_violations(partition_during_election=False):
    """Returns the violations of all scenarios; stops after three."""
    found = []
    for state, replaced in changing_roster(Scope()):
        first = next(iter(state.nodes))
        for partition in itertools.combinations(state.nodes, 2):
            for restarted in (None, first) if first in partition else ():
                try:
                    run_scenario(state, replaced, partition, restarted, partition_during_election)
                except Violation as violation:
                    found.append(str(violation))
                if len(found) > 2:
                    return found
    return found


class PartitionsDuringRosterChange(unittest.TestCase):
    def test_no_partition_commits_alone(self):
        self.assertEqual(find_violations(), [])

    def test_no_partition_that_begins_during_an_election_commits_alone(self):
        self.assertEqual(find_violations(partition_during_election=True), [])

    def test_promise_quorum_of_the_newest_roster_alone_is_detected_despite_a_full_pre_vote_quorum(self):
        with mock.patch.object(election, "quorum", newest_roster_quorum_in(Election)):
            self.assertEqual(find_violations(), [], "the pre-vote prevents these violations")
            self.assertTrue(find_violations(partition_during_election=True))

    def test_pre_vote_quorum_of_the_newest_roster_alone_violates_nothing(self):
        with mock.patch.object(election, "quorum", newest_roster_quorum_in(PreVoting)):
            self.assertEqual(find_violations(), [])
            self.assertEqual(find_violations(partition_during_election=True), [])

    def test_election_quorum_of_the_newest_roster_alone_is_detected(self):
        with mock.patch.object(election, "quorum", newest_roster_quorum):
            self.assertTrue(find_violations())

    def test_activation_quorum_of_the_newest_roster_alone_is_detected(self):
        with mock.patch.object(leadership, "quorum", newest_roster_quorum):
            self.assertTrue(find_violations())


if __name__ == "__main__":
    unittest.main()
