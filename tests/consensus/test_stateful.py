"""Rule-based state machines over a simulated consensus group with starts, failures, wipes, replacements and partitions.

Faults stay within the tolerated number: at most as many machines at once as there are backups, and as many disks
between two repairs. A total power loss may happen at any time. ``SPARLOOM_EXAMPLES`` sets a larger number of examples,
which are then random instead of fixed.
"""

import os
import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, note, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule, run_state_machine_as_test

from simulator.check.history import Violation
from sparloom.consensus import ReadConfirmed
from sparloom.consensus.leadership import Leadership
from tests.support.watched_core import WatchedCore

EXAMPLE_COUNT = int(os.environ.get("SPARLOOM_EXAMPLES", "0"))
SERVE_MS, WRITE_MS, REPAIR_MS = 6000, 4500, 12000
ADDITIONAL_MACHINES = "nopqrstuvwxyz"
MAXIMUM_MACHINES = 3 + len(ADDITIONAL_MACHINES)
INDICES = st.integers(0, 8)


class GroupOfThree(RuleBasedStateMachine):
    """A group of three that tolerates one fault at a time."""

    members, replicas = "abc", 1

    def __init__(self):
        super().__init__()
        self.core, self.faulty, self.lost_disks = None, set(), set()

    @initialize(seed=st.integers(0, 1 << 16))
    def start_group(self, seed):
        """Starts the group with empty disks and waits for the first primary."""
        self.core = WatchedCore(self.members, replicas=self.replicas, seed=seed, loss=0.01)
        self.check(self.core.run_until(5000, lambda: self.core.leader() is not None), "no first primary")
        self.check(self.core.acknowledges_change(WRITE_MS), "no first write")

    def check(self, holds, message):
        """Raises a violation with the timeline unless ``holds``."""
        if not holds:
            raise Violation(f"{message}\n{self.core.timeline()}")

    def pick(self, index, choices):
        """Returns one of the names, or None if there are none."""
        names = sorted(choices)
        return names[index % len(names)] if names else None

    def may_fail(self, name):
        """Returns whether one more machine may fail now; a lost disk counts until the group is repaired."""
        if self.lost_disks and self.core.is_repaired():
            self.faulty, self.lost_disks = self.faulty - self.lost_disks, set()
        return name is not None and len(self.faulty | self.lost_disks | self.leaving() | {name}) <= self.replicas

    def leaving(self):
        """Returns the machines whose planned leave is not complete, including those past the time limit."""
        nodes = self.core.nodes
        return {name for name in nodes if nodes[name][0].planned_leave and name not in self.core.left}

    # -- time and calls -------------------------------------------------------
    @rule(ms=st.integers(1, 60))
    def advance_briefly(self, ms):
        """Advances the time by less than the timeouts."""
        self.core.run(ms * 10)

    @rule(ms=st.sampled_from((700, 1600, 2500)))
    def advance_long(self, ms):
        """Advances the time beyond one of the timeouts."""
        self.core.run(ms)

    @rule(index=INDICES, delay_ms=st.integers(0, 60))
    def request_change(self, index, delay_ms):
        """A client requests a change at any member."""
        name = self.pick(index, self.core.available_machines())
        if name is not None:
            self.core.record_event("order", name)
            self.core.request_change(name)
        self.core.run(delay_ms)

    @rule(delay_ms=st.integers(0, 60))
    def request_change_at_leader(self, delay_ms):
        """A client requests a change at the primary."""
        name = self.core.leader()
        if name is not None:
            self.core.record_event("order", name)
            self.core.request_change(name)
        self.core.run(delay_ms)

    # -- faults -----------------------------------------------------------------
    @rule(index=INDICES)
    def kill(self, index):
        """A process stops; its disk stays intact."""
        name = self.pick(index, self.core.available_machines())
        if self.may_fail(name):
            self.faulty.add(name)
            self.core.apply_event("kill", name)

    @rule()
    def power_loss(self):
        """All machines lose power and restart."""
        names = [name for name in self.core.nodes if name not in self.core.off]
        for name in names:
            self.core.apply_event("kill", name)
        self.core.run(300)
        for name in names:
            self.core.apply_event("boot", name)

    @rule(index=INDICES, operation=st.sampled_from(("wipe", "remove")))
    def lose_disk(self, index, operation):
        """A machine loses its disk; it may be restarted later or removed for good."""
        name = self.pick(index, self.core.available_machines())
        if self.may_fail(name):
            self.lost_disks.add(name)
            self.core.lose_disk(operation, name)

    @rule(index=INDICES, way=st.sampled_from(("cut", "cut-in", "cut-out", "stall")))
    def impair(self, index, way):
        """The links of a machine are cut, or its disk stalls, until ``end_faults``."""
        name = self.pick(index, self.core.available_machines())
        if self.may_fail(name):
            self.faulty.add(name)
            self.core.apply_event(way, name)

    @rule()
    def end_faults(self):
        """Ends all faults of links and disks and restarts the stopped machines."""
        self.core.end_faults()
        self.faulty = set()

    @precondition(lambda self: len(self.core.nodes) < MAXIMUM_MACHINES)
    @rule()
    def new_machine(self):
        """Starts an empty machine at a new address; at most one more than needed."""
        if len(self.core.available_machines()) <= len(self.members):
            name = ADDITIONAL_MACHINES[len(self.core.nodes) - len(self.members)]
            self.core.apply_event("boot", name)

    @rule(index=INDICES)
    def start_planned_leave(self, index):
        """A machine starts a planned leave if another one can replace it, possibly right after a loss."""
        name = self.pick(index, self.core.available_machines())
        if len(self.core.available_machines()) > len(self.members) and not self.faulty and not self.leaving():
            self.core.apply_event("leave", name)

    @rule(
        lost_index=INDICES, leaving_index=INDICES, delay_before=st.integers(0, 100), delay_between=st.integers(0, 100)
    )
    def leave_right_after_a_loss(self, lost_index, leaving_index, delay_before, delay_between):
        """A machine is lost, replacements start for it and a leaving machine, and the planned leave follows."""
        name = self.pick(lost_index, self.core.available_machines())
        if not self.may_fail(name):
            return
        self.lost_disks.add(name)
        self.core.lose_disk("remove", name)
        self.core.run(delay_before * 10)
        while len(self.core.available_machines()) <= len(self.members) and len(self.core.nodes) < MAXIMUM_MACHINES:
            self.core.apply_event("boot", ADDITIONAL_MACHINES[len(self.core.nodes) - len(self.members)])
        self.core.run(delay_between * 10)
        self.start_planned_leave(leaving_index)

    @rule(index=INDICES)
    def old_disk_returns(self, index):
        """A machine that has left restarts with its old disk."""
        name = self.pick(index, [name for name in self.core.left if name in self.core.off])
        if name is not None:
            self.core.apply_event("boot", name)

    # -- invariants -------------------------------------------------------------
    @rule()
    def serve_under_tolerated_faults(self):
        """A primary serves while no more machines fail than tolerated."""
        self.core.record_event("serves", self.members[0])
        self.check(self.core.run_until(SERVE_MS, lambda: self.core.leader() is not None), "no primary under a fault")
        self.check(self.core.acknowledges_change(WRITE_MS), "no write under a fault")

    @rule()
    def repair(self):
        """The group is repaired once faults have ended and there are enough machines."""
        self.end_faults()
        while len(self.core.available_machines()) < len(self.members):
            self.new_machine()
        self.core.record_event("repairs", self.members[0])
        self.check(self.core.run_until(REPAIR_MS, self.core.is_repaired), f"group not repaired after {REPAIR_MS} ms")
        self.lost_disks = set()

    def teardown(self):
        """Prints the timeline of a failing example."""
        if self.core is None:
            return
        note(self.core.timeline())


class GroupOfFive(GroupOfThree):
    """A group of five that tolerates two faults at once."""

    members, replicas = "abcde", 2


def _settings(example_count, steps):
    return settings(
        max_examples=EXAMPLE_COUNT or example_count,
        stateful_step_count=steps,
        deadline=None,
        derandomize=not EXAMPLE_COUNT,
        database=None,
        print_blob=bool(EXAMPLE_COUNT),
        suppress_health_check=list(HealthCheck),
    )


class ThreeMembers(GroupOfThree.TestCase):
    settings = _settings(120, 30)


class FiveMembers(GroupOfFive.TestCase):
    settings = _settings(40, 30)


def _confirm_newest_data(self, confirm=Leadership._confirm):
    return [ReadConfirmed(action.id, self.consensus.data) for action in confirm(self)]


class MutationDetection(unittest.TestCase):
    def test_reads_of_uncommitted_data_are_detected(self):
        with mock.patch.object(Leadership, "_confirm", _confirm_newest_data), self.assertRaises(Violation):
            run_state_machine_as_test(GroupOfThree, settings=settings(_settings(30, 25), phases=[Phase.generate]))


if __name__ == "__main__":
    unittest.main()
