"""Starts without an answer, event by event: a task starts again only if no earlier run of it can have ended unseen.

What happened: on slotwerk six runs whose first order had gone unanswered were dropped since a repeat of it was answered
"late"; four of them had begun and ended ``done``, and their tasks ran twice (``docs/incidents/twice-late-orders.md``).
"""

import unittest

from sparloom.scheduler.events import (
    HoldAnswered,
    HoldFailed,
    HoldFailure,
    HoldRunner,
    RunningTask,
    StartAnswered,
    StartResult,
    StartRun,
    StopAnswered,
    StopRun,
    TaskEnd,
)
from sparloom.scheduler.late_orders import ABANDONED_START_LIFETIME_S, AbandonedStarts
from sparloom.scheduler.messages import JobState
from sparloom.scheduler.runners import RunPhase
from tests.scheduler.test_scheduler import TASK, MachineCase


class LateOrderCase(MachineCase):
    def unanswered_start(self):
        """Orders the only task's start, which gets no answer; gives its runner."""
        self.job = self.add()
        ((runner, _, _),) = self.starts(self.contact("i-1", "i-2"))
        self.tell(StartAnswered(runner, TASK, 1, StartResult.NO_ANSWER))
        return runner

    def next_call(self, kind, runner, seconds=2.0):
        """Lets time pass until a runner gets a call of a kind."""
        for _ in range(int(seconds / 0.02)):
            for order in self.tick():
                if isinstance(order, kind) and order.runner == runner:
                    return order
        return self.fail(f"no {kind.__name__} within {seconds} s")

    def list_runs(self, runner, running=(), ends=(), complete=True):
        """Answers the call to hold that is under way, or else the next one, with a list."""
        if not self.scheduler.runners[runner].hold_in_flight:
            self.next_call(HoldRunner, runner)
        return self.tell(HoldAnswered(runner, self.now * 1000, running, ends, complete))


class LateRepeats(LateOrderCase):
    def test_a_run_that_has_begun_and_ended_is_not_started_again(self):
        """Pairs a, b, d and f of the report."""
        runner = self.unanswered_start()
        late = self.started(runner, result=StartResult.TOO_LATE)
        self.assertEqual(self.starts(late), [])
        self.assertEqual(self.starts(self.list_runs(runner, ends=(TaskEnd(1, TASK, 1, "done"),))), [])
        self.assertIs(self.job.end, JobState.COMPLETED)
        self.assertEqual([order for _ in range(500) for order in self.starts(self.tick())], [])

    def test_a_run_that_is_under_way_goes_on(self):
        """Pairs c and e of the report."""
        for result in (StartResult.TOO_LATE, StartResult.OLD):
            with self.subTest(result=result):
                self.setUp()
                runner = self.unanswered_start()
                self.started(runner, result=result)
                out = self.list_runs(runner) if self.scheduler.runners[runner].hold_in_flight else []
                out += self.list_runs(runner, running=(RunningTask(TASK, 1),))
                self.assertEqual([type(order) for order in out if not isinstance(order, HoldRunner)], [])
                self.assertIs(self.scheduler.runners[runner].runs[TASK].phase, RunPhase.RUNNING)

    def test_a_run_that_is_listed_is_not_stopped_by_an_answer_that_was_passed(self):
        runner = self.unanswered_start()
        if self.scheduler.runners[runner].hold_in_flight:
            self.list_runs(runner)
        self.next_call(StartRun, runner)
        self.list_runs(runner, running=(RunningTask(TASK, 1),))
        for result in (StartResult.NO_CAPACITY, StartResult.UNHEALTHY, StartResult.TOO_LATE):
            out = self.started(runner, result=result)
            self.assertEqual([order for order in out if isinstance(order, (StopRun, StartRun))], [])
        self.assertIs(self.scheduler.runners[runner].runs[TASK].phase, RunPhase.RUNNING)

    def test_it_starts_elsewhere_once_its_stop_is_confirmed_and_a_later_list_lacks_it(self):
        for result in (StartResult.TOO_LATE, StartResult.OLD, StartResult.NO_CAPACITY, StartResult.UNHEALTHY):
            with self.subTest(result=result):
                self.setUp()
                runner = self.unanswered_start()
                out = self.started(runner, result=result)
                while not any(isinstance(order, StopRun) for order in out):
                    self.assertEqual(self.starts(out), [])
                    out = self.list_runs(runner)
                self.assertEqual(self.starts(self.tell(StopAnswered(runner, TASK, 1))), [])
                self.assertEqual(self.next_call(StopRun, runner).number, 1)
                self.next_call(HoldRunner, runner) if not self.scheduler.runners[runner].hold_in_flight else None
                self.assertEqual(self.starts(self.tell(StopAnswered(runner, TASK, 1, confirmed=True))), [])
                # This list may have been made before the stop was taken.
                self.assertEqual(self.starts(self.list_runs(runner)), [])
                # This one may leave ends out.
                self.assertEqual(self.starts(self.list_runs(runner, complete=False)), [])
                self.assertEqual([number for _, _, number in self.starts(self.list_runs(runner))], [2])

    def test_an_end_that_comes_behind_a_confirmed_stop_counts(self):
        runner = self.unanswered_start()
        self.started(runner, result=StartResult.UNHEALTHY)
        self.tell(StopAnswered(runner, TASK, 1, confirmed=True))
        if self.scheduler.runners[runner].hold_in_flight:
            self.list_runs(runner)
        self.assertEqual(self.starts(self.list_runs(runner, ends=(TaskEnd(1, TASK, 1, "done"),))), [])
        self.assertIs(self.job.end, JobState.COMPLETED)

    def test_a_stop_that_is_never_confirmed_makes_the_hold_lapse_before_the_task_starts_again(self):
        """The runner answers holds and nothing else: only the end of its hold is sure."""
        runner = self.unanswered_start()
        self.started(runner, result=StartResult.UNHEALTHY)
        latest_ms, restarted = 0, None
        for _ in range(1500):
            orders = self.tick()
            while orders and restarted is None:
                order = orders.pop(0)
                if isinstance(order, HoldRunner) and order.runner == runner:
                    latest_ms = max(latest_ms, order.deadline_ms)
                    orders += self.tell(HoldAnswered(runner, self.now * 1000, (), ()))
                elif isinstance(order, StopRun):
                    orders += self.tell(StopAnswered(runner, TASK, 1))
                elif isinstance(order, StartRun):
                    restarted = order
        self.assertEqual((restarted.runner != runner, restarted.number), (True, 2))
        self.assertGreater(self.now * 1000, latest_ms / 0.98)


class Unsettled(unittest.TestCase):
    """Orders whose runs were given up with the hold of their runner."""

    def test_each_is_stopped_again_after_a_while_and_not_before(self):
        orders = AbandonedStarts()
        orders.add("a", 1, now=10.0)
        times = [10.0 + step / 10 for step in range(10)]
        stops = [time for time in times if list(orders.due(time))]
        self.assertEqual(stops, [10.0, 10.4, 10.8])

    def test_one_is_settled_by_a_stop_of_its_run_or_a_later_one_only(self):
        orders = AbandonedStarts()
        orders.add("a", 2, now=0.0)
        orders.confirm_stopped("a", 1)
        orders.confirm_stopped("b", 2)
        self.assertTrue(orders)
        orders.confirm_stopped("a", 3)
        self.assertFalse(orders)

    def test_one_that_is_older_than_any_order_lives_is_forgotten(self):
        orders = AbandonedStarts()
        orders.add("a", 1, now=0.0)
        self.assertEqual(list(orders.due(ABANDONED_START_LIFETIME_S)), [("a", 1)])
        self.assertEqual(list(orders.due(ABANDONED_START_LIFETIME_S + 0.1)), [])
        self.assertFalse(orders)


class Holds(LateOrderCase):
    def test_a_hold_without_an_answer_is_asked_again_soon_with_the_same_deadline(self):
        """288 runs were given up on one such day, most of them sound: one lost call made the next ones hold nothing."""
        self.add()
        ((runner, _, _),) = self.starts(self.contact("i-1"))
        self.started(runner)
        self.list_runs(runner, running=(RunningTask(TASK, 1),))
        lost = self.next_call(HoldRunner, runner)
        held_until = self.scheduler.runners[runner].hold_until
        for _ in range(3):
            self.tell(HoldFailed(runner, HoldFailure.NO_ANSWER))
            again = self.next_call(HoldRunner, runner, seconds=0.2)
            self.assertEqual((again.deadline_ms, again.wait_ms), (lost.deadline_ms, 0))
        self.assertEqual(self.scheduler.runners[runner].hold_until, held_until)
        self.list_runs(runner, running=(RunningTask(TASK, 1),))
        self.assertGreater(self.next_call(HoldRunner, runner).deadline_ms, lost.deadline_ms)

    def test_a_runner_whose_hold_has_lapsed_is_held_again_only_once_each_unanswered_start_is_stopped(self):
        """Such a start comes late by any reckoning only while nobody extends the hold."""
        runner = self.unanswered_start()
        self.scheduler.runners[runner].next_hold_at = 0.0
        while not self.starts(self.tick()):
            for order in self.tick():
                if isinstance(order, HoldRunner) and order.runner == runner:
                    self.tell(HoldFailed(runner, HoldFailure.NO_ANSWER))
            if not self.scheduler.runners[runner].runs:
                break
        self.add(id=2)
        stop = self.next_call(StopRun, runner)
        self.assertEqual((stop.task, stop.number), (TASK, 1))
        for _ in range(10):
            self.list_runs(runner)
        self.assertEqual(self.scheduler.runners[runner].runs, {})
        self.assertEqual(self.next_call(HoldRunner, runner).deadline_ms, 0)
        self.tell(HoldAnswered(runner, self.now * 1000, (), ()))
        self.assertTrue(self.scheduler.runners[runner].abandoned_starts)
        self.tell(StopAnswered(runner, TASK, 1, confirmed=True))
        self.assertFalse(self.scheduler.runners[runner].abandoned_starts)
        self.assertTrue(self.scheduler.runners[runner].usable(self.now))

    def test_ends_that_are_listed_in_any_order_all_count(self):
        self.add(b'{"steps":[{"replicaCount":2,"cpu":100}]}')
        self.contact("i-1")
        other = TASK[:-1] + "1"
        ends = (TaskEnd(2, other, 1, "done"), TaskEnd(1, TASK, 1, "done"))
        self.tell(HoldAnswered("i-1", self.now * 1000, (), ends))
        self.assertIs(self.scheduler.jobs[1].end, JobState.COMPLETED)


if __name__ == "__main__":
    unittest.main()
