"""Unanswered start requests: a task restarts only if no earlier run of it can have ended unnoticed.

Guards against the incident in ``docs/incidents/twice-late-orders.md``, seen on slotwerk: the first start request of six
runs was unanswered, and the runs were dropped because a retry was rejected as late. Four of them had started and ended
``done``, so their tasks ran twice.
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
from tests.scheduler.test_scheduler import TASK, SchedulerCase


class UnansweredStartCase(SchedulerCase):
    def unanswered_start(self):
        """Send the only task's start request, leave it unanswered, and return its runner."""
        self.job = self.add_job()
        ((runner, _, _),) = self.start_requests(self.connect("i-1", "i-2"))
        self.handle(StartAnswered(runner, TASK, 1, StartResult.NO_ANSWER))
        return runner

    def next_request(self, kind, runner, seconds=2.0):
        """Advance time until a runner gets a request of a kind; return the request."""
        for _ in range(int(seconds / 0.02)):
            for request in self.tick():
                if isinstance(request, kind) and request.runner == runner:
                    return request
        return self.fail(f"no {kind.__name__} within {seconds} s")

    def answer_hold(self, runner, running=(), ends=(), complete=True):
        """Answer the hold call that is in flight, or else the next one, with a list."""
        if not self.scheduler.runners[runner].hold_in_flight:
            self.next_request(HoldRunner, runner)
        return self.handle(HoldAnswered(runner, self.now * 1000, running, ends, complete))


class RejectedRetries(UnansweredStartCase):
    def test_ended_run_is_not_started_again_after_a_late_answer(self):
        """Covers pairs a, b, d and f of the incident report."""
        runner = self.unanswered_start()
        late = self.answer_start(runner, result=StartResult.TOO_LATE)
        self.assertEqual(self.start_requests(late), [])
        self.assertEqual(self.start_requests(self.answer_hold(runner, ends=(TaskEnd(1, TASK, 1, "done"),))), [])
        self.assertIs(self.job.end, JobState.COMPLETED)
        self.assertEqual([request for _ in range(500) for request in self.start_requests(self.tick())], [])

    def test_active_run_continues_after_a_rejected_retry(self):
        """Covers pairs c and e of the incident report."""
        for result in (StartResult.TOO_LATE, StartResult.OLD):
            with self.subTest(result=result):
                self.setUp()
                runner = self.unanswered_start()
                self.answer_start(runner, result=result)
                instructions = self.answer_hold(runner) if self.scheduler.runners[runner].hold_in_flight else []
                instructions += self.answer_hold(runner, running=(RunningTask(TASK, 1),))
                self.assertEqual([type(request) for request in instructions if not isinstance(request, HoldRunner)], [])
                self.assertIs(self.scheduler.runners[runner].runs[TASK].phase, RunPhase.RUNNING)

    def test_listed_run_is_not_stopped_by_a_delayed_answer(self):
        runner = self.unanswered_start()
        if self.scheduler.runners[runner].hold_in_flight:
            self.answer_hold(runner)
        self.next_request(StartRun, runner)
        self.answer_hold(runner, running=(RunningTask(TASK, 1),))
        for result in (StartResult.NO_CAPACITY, StartResult.UNHEALTHY, StartResult.TOO_LATE):
            instructions = self.answer_start(runner, result=result)
            self.assertEqual([request for request in instructions if isinstance(request, (StopRun, StartRun))], [])
        self.assertIs(self.scheduler.runners[runner].runs[TASK].phase, RunPhase.RUNNING)

    def test_task_restarts_after_a_confirmed_stop_and_a_later_list_without_the_run(self):
        for result in (StartResult.TOO_LATE, StartResult.OLD, StartResult.NO_CAPACITY, StartResult.UNHEALTHY):
            with self.subTest(result=result):
                self.setUp()
                runner = self.unanswered_start()
                instructions = self.answer_start(runner, result=result)
                while not any(isinstance(request, StopRun) for request in instructions):
                    self.assertEqual(self.start_requests(instructions), [])
                    instructions = self.answer_hold(runner)
                self.assertEqual(self.start_requests(self.handle(StopAnswered(runner, TASK, 1))), [])
                self.assertEqual(self.next_request(StopRun, runner).number, 1)
                self.next_request(HoldRunner, runner) if not self.scheduler.runners[runner].hold_in_flight else None
                self.assertEqual(self.start_requests(self.handle(StopAnswered(runner, TASK, 1, confirmed=True))), [])
                # This list may have been created before the stop was accepted.
                self.assertEqual(self.start_requests(self.answer_hold(runner)), [])
                # This list may omit ends.
                self.assertEqual(self.start_requests(self.answer_hold(runner, complete=False)), [])
                self.assertEqual([number for _, _, number in self.start_requests(self.answer_hold(runner))], [2])

    def test_end_listed_after_a_confirmed_stop_counts(self):
        runner = self.unanswered_start()
        self.answer_start(runner, result=StartResult.UNHEALTHY)
        self.handle(StopAnswered(runner, TASK, 1, confirmed=True))
        if self.scheduler.runners[runner].hold_in_flight:
            self.answer_hold(runner)
        self.assertEqual(self.start_requests(self.answer_hold(runner, ends=(TaskEnd(1, TASK, 1, "done"),))), [])
        self.assertIs(self.job.end, JobState.COMPLETED)

    def test_task_with_an_unconfirmed_stop_restarts_only_after_its_hold_lapsed(self):
        """The runner answers hold calls only, so the run has certainly ended only once its hold has lapsed."""
        runner = self.unanswered_start()
        self.answer_start(runner, result=StartResult.UNHEALTHY)
        latest_ms, restarted = 0, None
        for _ in range(1500):
            requests = self.tick()
            while requests and restarted is None:
                request = requests.pop(0)
                if isinstance(request, HoldRunner) and request.runner == runner:
                    latest_ms = max(latest_ms, request.deadline_ms)
                    requests += self.handle(HoldAnswered(runner, self.now * 1000, (), ()))
                elif isinstance(request, StopRun):
                    requests += self.handle(StopAnswered(runner, TASK, 1))
                elif isinstance(request, StartRun):
                    restarted = request
        self.assertEqual((restarted.runner != runner, restarted.number), (True, 2))
        self.assertGreater(self.now * 1000, latest_ms / 0.98)


class AbandonedStartsTest(unittest.TestCase):
    """Unit tests of ``AbandonedStarts``."""

    def test_stop_is_sent_again_after_the_interval(self):
        starts = AbandonedStarts()
        starts.add("a", 1, now=10.0)
        times = [10.0 + step / 10 for step in range(10)]
        stops = [time for time in times if list(starts.due(time))]
        self.assertEqual(stops, [10.0, 10.4, 10.8])

    def test_only_a_stop_of_the_same_or_a_later_run_confirms(self):
        starts = AbandonedStarts()
        starts.add("a", 2, now=0.0)
        starts.confirm_stopped("a", 1)
        starts.confirm_stopped("b", 2)
        self.assertTrue(starts)
        starts.confirm_stopped("a", 3)
        self.assertFalse(starts)

    def test_expired_start_is_dropped(self):
        starts = AbandonedStarts()
        starts.add("a", 1, now=0.0)
        self.assertEqual(list(starts.due(ABANDONED_START_LIFETIME_S)), [("a", 1)])
        self.assertEqual(list(starts.due(ABANDONED_START_LIFETIME_S + 0.1)), [])
        self.assertFalse(starts)


class Holds(UnansweredStartCase):
    def test_unanswered_hold_is_retried_with_the_same_deadline(self):
        """Regression: after one lost call, the next ones held nothing; 288 runs, most of them healthy, were dropped."""
        self.add_job()
        ((runner, _, _),) = self.start_requests(self.connect("i-1"))
        self.answer_start(runner)
        self.answer_hold(runner, running=(RunningTask(TASK, 1),))
        lost = self.next_request(HoldRunner, runner)
        hold_until = self.scheduler.runners[runner].hold_until
        for _ in range(3):
            self.handle(HoldFailed(runner, HoldFailure.NO_ANSWER))
            again = self.next_request(HoldRunner, runner, seconds=0.2)
            self.assertEqual((again.deadline_ms, again.wait_ms), (lost.deadline_ms, 0))
        self.assertEqual(self.scheduler.runners[runner].hold_until, hold_until)
        self.answer_hold(runner, running=(RunningTask(TASK, 1),))
        self.assertGreater(self.next_request(HoldRunner, runner).deadline_ms, lost.deadline_ms)

    def test_lapsed_hold_is_extended_only_after_each_unanswered_start_is_stopped(self):
        """Such a start is certainly rejected as late only as long as the hold is not extended."""
        runner = self.unanswered_start()
        self.scheduler.runners[runner].next_hold_at = 0.0
        while not self.start_requests(self.tick()):
            for request in self.tick():
                if isinstance(request, HoldRunner) and request.runner == runner:
                    self.handle(HoldFailed(runner, HoldFailure.NO_ANSWER))
            if not self.scheduler.runners[runner].runs:
                break
        self.add_job(id=2)
        stop = self.next_request(StopRun, runner)
        self.assertEqual((stop.task, stop.number), (TASK, 1))
        for _ in range(10):
            self.answer_hold(runner)
        self.assertEqual(self.scheduler.runners[runner].runs, {})
        self.assertEqual(self.next_request(HoldRunner, runner).deadline_ms, 0)
        self.handle(HoldAnswered(runner, self.now * 1000, (), ()))
        self.assertTrue(self.scheduler.runners[runner].abandoned_starts)
        self.handle(StopAnswered(runner, TASK, 1, confirmed=True))
        self.assertFalse(self.scheduler.runners[runner].abandoned_starts)
        self.assertTrue(self.scheduler.runners[runner].usable(self.now))

    def test_unordered_ends_all_count(self):
        self.add_job(b'{"steps":[{"replicaCount":2,"cpu":100}]}')
        self.connect("i-1")
        other = TASK[:-1] + "1"
        ends = (TaskEnd(2, other, 1, "done"), TaskEnd(1, TASK, 1, "done"))
        self.handle(HoldAnswered("i-1", self.now * 1000, (), ends))
        self.assertIs(self.scheduler.jobs[1].end, JobState.COMPLETED)


if __name__ == "__main__":
    unittest.main()
