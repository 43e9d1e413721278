"""Recorded histories of operators' calls: the checker finds what is wrong, and the real handler's histories hold."""

import asyncio
import os
import subprocess
import sys
import unittest
from unittest import mock

from simulator.history import Call, Outcome, Sent, broken_rule, fault_in, linearize
from simulator.operators import Plan, play_history
from sparloom.controller import configuration_writer
from sparloom.controller.change_requests import ChangeEvaluation, ChangeVerdict, evaluate
from sparloom.controller.configuration_writer import ConfigurationWriter, Snapshot
from sparloom.controller.control_state import History, State
from tests.support.paths import ROOT

ACK, STALE, INVALID, READ, UNCLEAR = (
    Outcome.ACKNOWLEDGED,
    Outcome.STALE,
    Outcome.INVALID,
    Outcome.READ,
    Outcome.UNCLEAR,
)
A = Sent("a", "PUT", 0, {"revision": 2, "routes": [], "services": []})
B = Sent("b", "PUT", 0, {"revision": 2, "routes": [{"name": "b"}], "services": []})
C = Sent("c", "PATCH", 2, {"revision": 5, "upsert": {"routes": [{"name": "c"}]}})
AFTER_C = {"revision": 5, "routes": [{"name": "c"}], "services": []}


class Checker(unittest.TestCase):
    def holds(self, *calls):
        self.assertIsNone(fault_in(calls))

    def fails(self, *calls):
        self.assertIsNotNone(linearize(calls).fault)

    def test_unclear_changes_may_have_been_taken_at_any_later_time_or_never(self):
        lost = Call(0, A)
        self.holds(lost, Call(1, None, 2, Outcome.EMPTY), Call(3, None, 4, READ, A.body))
        self.holds(lost, Call(1, B, 2, ACK), Call(3, A, 4, STALE), Call(3, None, 4, READ, B.body))
        self.fails(lost, Call(1, None, 2, READ, A.body), Call(3, None, 4, Outcome.EMPTY))
        self.fails(Call(5, A), Call(1, None, 2, READ, A.body))

    def test_a_read_gives_exactly_what_was_sent(self):
        history = Call(0, A, 1, ACK), Call(2, C, 3, ACK)
        self.holds(*history, Call(4, None, 5, READ, AFTER_C))
        self.fails(*history, Call(4, None, 5, READ, {**AFTER_C, "routes": []}))
        self.fails(*history, Call(4, None, 5, READ, A.body))

    def test_of_two_changes_on_one_base_one_wins(self):
        self.holds(Call(0, A, 9, ACK), Call(0, B, 9, STALE))
        self.fails(Call(0, A, 9, ACK), Call(0, B, 9, ACK))
        self.assertIn("two changes of revision 0", broken_rule([Call(0, A, 9, ACK), Call(0, B, 9, ACK)]))

    def test_what_was_taken_is_never_refused(self):
        self.holds(Call(0, A), Call(1, A, 2, ACK), Call(3, C, 4, ACK), Call(5, A, 6, ACK))
        self.fails(Call(0, A), Call(1, None, 2, READ, A.body), Call(3, A, 4, STALE))
        self.assertIn("was refused", broken_rule([Call(0, A, 1, ACK), Call(2, A, 3, INVALID)]))

    def test_a_refusal_needs_its_reason(self):
        self.fails(Call(0, A, 1, STALE))
        self.fails(Call(0, A, 1, INVALID))
        self.holds(Call(0, Sent("x", "PUT", 0, {"revision": 1}, valid=False), 1, INVALID))

    def test_a_read_never_goes_back(self):
        back = [Call(0, A, 1, ACK), Call(2, C, 9, ACK), Call(3, None, 4, READ, AFTER_C), Call(5, None, 6, READ, A.body)]
        self.fails(*back)
        self.holds(*back[:2], Call(3, None, 6, READ, AFTER_C), Call(3, None, 5, READ, A.body))


async def _unconfirmed(self, deadline):
    await asyncio.sleep(0.001)
    return self.committed


async def _acknowledged_early(write, deadline):
    await asyncio.sleep(0.001)
    return True


async def _undecided(self, deadline):
    data = self.consensus.member.data
    return Snapshot(data.version, data.blob, State.unpack(data.blob)) if self.consensus.member.leading() else None


def _number_only(state, change, router_count=0):
    """A change counts as taken when its number was."""
    if state.history.fingerprint_of(change.revision):
        return ChangeEvaluation(ChangeVerdict.ALREADY_COMMITTED)
    return evaluate(state, change, router_count)


class Histories(unittest.TestCase):
    """The real handler, with real requests, in simulated time."""

    MOST_SEEDS = 12

    def caught(self, name, mutant, target=ConfigurationWriter):
        with mock.patch.object(target, name, mutant):
            seeds = range(1, self.MOST_SEEDS + 1)
            return next((s for s in seeds if play_history(s, Plan(seconds=15.0)).fault), None)

    def test_histories_hold_under_troubles(self):
        args = [sys.executable, "-m", "simulator", "history", "--seeds", "4", "--seconds", "15"]
        env = {**os.environ, "PYTHONHASHSEED": "0"}
        done = subprocess.run(args, cwd=ROOT, env=env, capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn("4 held, 0 did not", done.stdout)

    def test_a_handler_that_acknowledges_before_the_write_is_caught(self):
        self.assertIsNotNone(self.caught("_is_committed_by_deadline", staticmethod(_acknowledged_early)))

    def test_reads_and_refusals_without_confirmation_are_caught(self):
        self.assertIsNotNone(self.caught("read_confirmed", _unconfirmed))

    def test_reads_and_refusals_on_undecided_state_are_caught(self):
        self.assertIsNotNone(self.caught("read_confirmed", _undecided))

    def test_a_handler_that_forgets_what_was_taken_is_caught(self):
        self.assertIsNotNone(self.caught("add", lambda self, revision, mark: self, History))

    def test_a_change_of_the_configuration_that_forgets_evacuations_is_caught(self):
        def with_change(state, configuration, change_fingerprint, router_count=0):
            history = state.history.add(configuration["revision"], change_fingerprint)
            return State(configuration, history, router_count)

        self.assertIsNotNone(self.caught("with_change", with_change, State))

    def test_an_evacuation_that_is_acknowledged_and_not_written_is_caught(self):
        taken = ChangeEvaluation(ChangeVerdict.ALREADY_COMMITTED)
        self.assertIsNotNone(self.caught("evaluate_evacuation", lambda _state, _order: taken, configuration_writer))

    def test_a_handler_that_goes_by_the_number_alone_is_caught(self):
        with mock.patch("sparloom.controller.configuration_writer.evaluate", _number_only):
            seeds = range(1, self.MOST_SEEDS + 1)
            self.assertTrue(any(play_history(s, Plan(seconds=15.0)).fault for s in seeds))
