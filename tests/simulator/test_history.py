"""Histories of operators' calls: the checker rejects invalid ones, and those of the real handler are valid."""

import asyncio
import os
import subprocess
import sys
import unittest
from unittest import mock

from simulator.history import Call, ChangeOrder, Outcome, broken_rule, fault_in, linearize
from simulator.operators import Plan, play_history
from sparloom.controller import configuration_writer
from sparloom.controller.change_requests import ChangeEvaluation, ChangeVerdict, evaluate
from sparloom.controller.configuration_writer import ConfigurationWriter, Snapshot
from sparloom.controller.control_state import History, State
from tests.support.paths import ROOT

ACKNOWLEDGED, STALE, INVALID, READ, UNCLEAR = (
    Outcome.ACKNOWLEDGED,
    Outcome.STALE,
    Outcome.INVALID,
    Outcome.READ,
    Outcome.UNCLEAR,
)
FIRST = ChangeOrder("a", "PUT", 0, {"revision": 2, "routes": [], "services": []})
CONFLICTING = ChangeOrder("b", "PUT", 0, {"revision": 2, "routes": [{"name": "b"}], "services": []})
SECOND = ChangeOrder("c", "PATCH", 2, {"revision": 5, "upsert": {"routes": [{"name": "c"}]}})
AFTER_SECOND = {"revision": 5, "routes": [{"name": "c"}], "services": []}


class HistoryChecker(unittest.TestCase):
    def assert_valid(self, *calls):
        self.assertIsNone(fault_in(calls))

    def assert_invalid(self, *calls):
        self.assertIsNotNone(linearize(calls).fault)

    def test_unanswered_change_may_apply_at_any_later_time_or_never(self):
        unanswered = Call(0, FIRST)
        self.assert_valid(unanswered, Call(1, None, 2, Outcome.EMPTY), Call(3, None, 4, READ, FIRST.body))
        self.assert_valid(
            unanswered,
            Call(1, CONFLICTING, 2, ACKNOWLEDGED),
            Call(3, FIRST, 4, STALE),
            Call(3, None, 4, READ, CONFLICTING.body),
        )
        self.assert_invalid(unanswered, Call(1, None, 2, READ, FIRST.body), Call(3, None, 4, Outcome.EMPTY))
        self.assert_invalid(Call(5, FIRST), Call(1, None, 2, READ, FIRST.body))

    def test_read_returns_exactly_the_changed_configuration(self):
        acknowledged = Call(0, FIRST, 1, ACKNOWLEDGED), Call(2, SECOND, 3, ACKNOWLEDGED)
        self.assert_valid(*acknowledged, Call(4, None, 5, READ, AFTER_SECOND))
        self.assert_invalid(*acknowledged, Call(4, None, 5, READ, {**AFTER_SECOND, "routes": []}))
        self.assert_invalid(*acknowledged, Call(4, None, 5, READ, FIRST.body))

    def test_only_one_of_two_changes_on_one_base_is_acknowledged(self):
        self.assert_valid(Call(0, FIRST, 9, ACKNOWLEDGED), Call(0, CONFLICTING, 9, STALE))
        self.assert_invalid(Call(0, FIRST, 9, ACKNOWLEDGED), Call(0, CONFLICTING, 9, ACKNOWLEDGED))
        self.assertIn(
            "two changes of revision 0",
            broken_rule([Call(0, FIRST, 9, ACKNOWLEDGED), Call(0, CONFLICTING, 9, ACKNOWLEDGED)]),
        )

    def test_acknowledged_change_is_never_rejected(self):
        self.assert_valid(
            Call(0, FIRST),
            Call(1, FIRST, 2, ACKNOWLEDGED),
            Call(3, SECOND, 4, ACKNOWLEDGED),
            Call(5, FIRST, 6, ACKNOWLEDGED),
        )
        self.assert_invalid(Call(0, FIRST), Call(1, None, 2, READ, FIRST.body), Call(3, FIRST, 4, STALE))
        self.assertIn("was rejected", broken_rule([Call(0, FIRST, 1, ACKNOWLEDGED), Call(2, FIRST, 3, INVALID)]))

    def test_rejection_needs_its_reason(self):
        self.assert_invalid(Call(0, FIRST, 1, STALE))
        self.assert_invalid(Call(0, FIRST, 1, INVALID))
        self.assert_valid(Call(0, ChangeOrder("x", "PUT", 0, {"revision": 1}, valid=False), 1, INVALID))

    def test_read_never_returns_older_configuration(self):
        calls = [
            Call(0, FIRST, 1, ACKNOWLEDGED),
            Call(2, SECOND, 9, ACKNOWLEDGED),
            Call(3, None, 4, READ, AFTER_SECOND),
            Call(5, None, 6, READ, FIRST.body),
        ]
        self.assert_invalid(*calls)
        self.assert_valid(*calls[:2], Call(3, None, 6, READ, AFTER_SECOND), Call(3, None, 5, READ, FIRST.body))


async def _read_without_confirmation(self, deadline):
    await asyncio.sleep(0.001)
    return self.committed


async def _acknowledge_before_write(write, deadline):
    await asyncio.sleep(0.001)
    return True


async def _read_uncommitted(self, deadline):
    data = self.consensus.member.data
    return Snapshot(data.version, data.blob, State.unpack(data.blob)) if self.consensus.member.leading() else None


def _compare_revision_only(state, change, router_count=0):
    """Treat a change as committed if any change with its revision was."""
    if state.history.fingerprint_of(change.revision):
        return ChangeEvaluation(ChangeVerdict.ALREADY_COMMITTED)
    return evaluate(state, change, router_count)


class PlayedHistories(unittest.TestCase):
    """The real handler with real requests in simulated time."""

    MAXIMUM_SEEDS = 12

    def first_failing_seed(self, name, mutant, target=ConfigurationWriter):
        with mock.patch.object(target, name, mutant):
            seeds = range(1, self.MAXIMUM_SEEDS + 1)
            return next((seed for seed in seeds if play_history(seed, Plan(seconds=15.0)).fault), None)

    def test_histories_are_valid_under_faults(self):
        command = [sys.executable, "-m", "simulator", "history", "--seeds", "4", "--seconds", "15"]
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        completed = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, check=False)
        self.assertEqual(completed.returncode, 0, completed.stdout + completed.stderr)
        self.assertIn("4 held, 0 did not", completed.stdout)

    def test_acknowledgement_before_write_is_found(self):
        self.assertIsNotNone(
            self.first_failing_seed("_is_committed_by_deadline", staticmethod(_acknowledge_before_write))
        )

    def test_reads_and_rejections_without_confirmation_are_found(self):
        self.assertIsNotNone(self.first_failing_seed("read_confirmed", _read_without_confirmation))

    def test_reads_and_rejections_on_uncommitted_state_are_found(self):
        self.assertIsNotNone(self.first_failing_seed("read_confirmed", _read_uncommitted))

    def test_handler_without_change_history_is_found(self):
        self.assertIsNotNone(self.first_failing_seed("add", lambda self, revision, fingerprint: self, History))

    def test_configuration_change_that_drops_evacuations_is_found(self):
        def with_change(state, configuration, change_fingerprint, router_count=0):
            history = state.history.add(configuration["revision"], change_fingerprint)
            return State(configuration, history, router_count)

        self.assertIsNotNone(self.first_failing_seed("with_change", with_change, State))

    def test_acknowledged_evacuation_that_is_not_written_is_found(self):
        already_committed = ChangeEvaluation(ChangeVerdict.ALREADY_COMMITTED)
        self.assertIsNotNone(
            self.first_failing_seed(
                "evaluate_evacuation", lambda _state, _order: already_committed, configuration_writer
            )
        )

    def test_handler_that_compares_only_revisions_is_found(self):
        with mock.patch("sparloom.controller.configuration_writer.evaluate", _compare_revision_only):
            seeds = range(1, self.MAXIMUM_SEEDS + 1)
            self.assertTrue(any(play_history(seed, Plan(seconds=15.0)).fault for seed in seeds))
