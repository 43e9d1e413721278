"""Rule-based machines over a simulated core: machines come, go, are wiped, replaced and cut off, several at once.

Faults stay within what is tolerated: at most as many machines at once as there are backups, and as many disks
between two repairs; power may be lost everywhere at any time. ``SPARLOOM_EXAMPLES`` plays more, with fresh luck.
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

EXAMPLES = int(os.environ.get("SPARLOOM_EXAMPLES", "0"))
SERVE_MS, WRITE_MS, REPAIR_MS = 6000, 4500, 12000
MORE_MACHINES = "nopqrstuvwxyz"
MOST_MACHINES = 3 + len(MORE_MACHINES)
PICK = st.integers(0, 8)


class CoreMachine(RuleBasedStateMachine):
    """A core of three that bears one fault at a time."""

    members, replicas = "abc", 1

    def __init__(self):
        super().__init__()
        self.core, self.faulty, self.lost = None, set(), set()

    @initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed):
        """All disks are empty; the first primary comes up."""
        self.core = WatchedCore(self.members, replicas=self.replicas, seed=seed, loss=0.01)
        self.check(self.core.until(5000, lambda: self.core.leader() is not None), "no first primary")
        self.check(self.core.acknowledges(WRITE_MS), "no first write")

    def check(self, holds, what):
        """Fails with the timeline."""
        if not holds:
            raise Violation(f"{what}\n{self.core.timeline()}")

    def pick(self, index, among):
        """One of some names."""
        names = sorted(among)
        return names[index % len(names)] if names else None

    def may_fail(self, name):
        """Whether one more machine may fail now; a lost disk counts until all is repaired."""
        if self.lost and self.core.whole():
            self.faulty, self.lost = self.faulty - self.lost, set()
        return name is not None and len(self.faulty | self.lost | self.leaving() | {name}) <= self.replicas

    def leaving(self):
        """Machines whose planned leave is not complete, also when the time for it is over."""
        nodes = self.core.nodes
        return {name for name in nodes if nodes[name][0].planned_leave and name not in self.core.left}

    # -- time and calls -------------------------------------------------------
    @rule(ms=st.integers(1, 60))
    def a_moment(self, ms):
        """Time passes, less than the machine's spans."""
        self.core.run(ms * 10)

    @rule(ms=st.sampled_from((700, 1600, 2500)))
    def a_while(self, ms):
        """Time passes, beyond one of the machine's spans."""
        self.core.run(ms)

    @rule(index=PICK, after=st.integers(0, 60))
    def order(self, index, after):
        """A client asks any member for a change."""
        name = self.pick(index, self.core.here())
        if name is not None:
            self.core.tell("order", name)
            self.core.order(name)
        self.core.run(after)

    @rule(after=st.integers(0, 60))
    def order_at_leader(self, after):
        """A client asks the primary for a change."""
        name = self.core.leader()
        if name is not None:
            self.core.tell("order", name)
            self.core.order(name)
        self.core.run(after)

    # -- faults -----------------------------------------------------------------
    @rule(index=PICK)
    def kill(self, index):
        """A process ends; its disk stays."""
        name = self.pick(index, self.core.here())
        if self.may_fail(name):
            self.faulty.add(name)
            self.core.do("kill", name)

    @rule()
    def power(self):
        """All lose power, and all machines start again."""
        names = [name for name in self.core.nodes if name not in self.core.off]
        for name in names:
            self.core.do("kill", name)
        self.core.run(300)
        for name in names:
            self.core.do("boot", name)

    @rule(index=PICK, word=st.sampled_from(("wipe", "remove")))
    def lose_disk(self, index, word):
        """A disk is lost, of a machine that comes back or not."""
        name = self.pick(index, self.core.here())
        if self.may_fail(name):
            self.lost.add(name)
            self.core.lose(word, name)

    @rule(index=PICK, way=st.sampled_from(("cut", "cut-in", "cut-out", "stall")))
    def hinder(self, index, way):
        """Links or the disk of a machine fail for a while."""
        name = self.pick(index, self.core.here())
        if self.may_fail(name):
            self.faulty.add(name)
            self.core.do(way, name)

    @rule()
    def mend(self):
        """Faults of links and disks end, and machines that are down start."""
        self.core.mend()
        self.faulty = set()

    @precondition(lambda self: len(self.core.nodes) < MOST_MACHINES)
    @rule()
    def new_machine(self):
        """An empty machine at a new address, one more than needed at most."""
        if len(self.core.here()) <= len(self.members):
            name = MORE_MACHINES[len(self.core.nodes) - len(self.members)]
            self.core.do("boot", name)

    @rule(index=PICK)
    def planned_leave(self, index):
        """A machine leaves as planned, when another one is there for it, perhaps just after a loss."""
        name = self.pick(index, self.core.here())
        if len(self.core.here()) > len(self.members) and not self.faulty and not self.leaving():
            self.core.do("leave", name)

    @rule(lost=PICK, leaver=PICK, before=st.integers(0, 100), between=st.integers(0, 100))
    def leave_just_after_a_loss(self, lost, leaver, before, between):
        """A disk is lost, machines come for it and for one that leaves, and it leaves at once."""
        name = self.pick(lost, self.core.here())
        if not self.may_fail(name):
            return
        self.lost.add(name)
        self.core.lose("remove", name)
        self.core.run(before * 10)
        while len(self.core.here()) <= len(self.members) and len(self.core.nodes) < MOST_MACHINES:
            self.core.do("boot", MORE_MACHINES[len(self.core.nodes) - len(self.members)])
        self.core.run(between * 10)
        self.planned_leave(leaver)

    @rule(index=PICK)
    def old_disk_returns(self, index):
        """A machine that left comes back with its old disk."""
        name = self.pick(index, [name for name in self.core.left if name in self.core.off])
        if name is not None:
            self.core.do("boot", name)

    # -- what must hold ---------------------------------------------------------
    @rule()
    def serves_under_tolerated_trouble(self):
        """While no more machines fail than tolerated, a primary serves."""
        self.core.tell("serves", self.members[0])
        self.check(self.core.until(SERVE_MS, lambda: self.core.leader() is not None), "no primary under a fault")
        self.check(self.core.acknowledges(WRITE_MS), "no write under a fault")

    @rule()
    def repairs(self):
        """Once faults end and there are machines enough, all is repaired."""
        self.mend()
        while len(self.core.here()) < len(self.members):
            self.new_machine()
        self.core.tell("repairs", self.members[0])
        self.check(self.core.until(REPAIR_MS, self.core.whole), f"not whole after {REPAIR_MS} ms")
        self.lost = set()

    def teardown(self):
        """At the end: repair, then the loss of as many machines as tolerated."""
        if self.core is None:
            return
        note(self.core.timeline())


class CoreOfFive(CoreMachine):
    """A core of five that bears two faults at once."""

    members, replicas = "abcde", 2


def _settings(examples, steps):
    return settings(
        max_examples=EXAMPLES or examples,
        stateful_step_count=steps,
        deadline=None,
        derandomize=not EXAMPLES,
        database=None,
        print_blob=bool(EXAMPLES),
        suppress_health_check=list(HealthCheck),
    )


class ThreeMembers(CoreMachine.TestCase):
    settings = _settings(120, 30)


class FiveMembers(CoreOfFive.TestCase):
    settings = _settings(40, 30)


def _confirm_the_newest(self, confirm=Leadership._confirm):
    return [ReadConfirmed(action.id, self.consensus.data) for action in confirm(self)]


class Mutated(unittest.TestCase):
    def test_a_machine_that_shows_undecided_data_is_caught(self):
        with mock.patch.object(Leadership, "_confirm", _confirm_the_newest), self.assertRaises(Violation):
            run_state_machine_as_test(CoreMachine, settings=settings(_settings(30, 25), phases=[Phase.generate]))


if __name__ == "__main__":
    unittest.main()
