"""The scheduler, event by event: its instructions, and the conditions under which it must wait."""

import unittest

from sparloom.scheduler.events import (
    HoldAnswered,
    HoldFailed,
    HoldFailure,
    HoldRunner,
    RunnersListed,
    RunningTask,
    StartAnswered,
    StartResult,
    StartRun,
    StopAnswered,
    StopRun,
    TaskEnd,
)
from sparloom.scheduler.jobs import RUN_NUMBERS_PER_TERM, Job
from sparloom.scheduler.messages import JobState, QueuePolicy
from sparloom.scheduler.runners import RunnerListing
from sparloom.scheduler.scheduler import JobTiming, Scheduler
from sparloom.scheduler.specification import Resources, parse_job
from sparloom.scheduler.stalled import stalled_tasks

WALL_MS = 1_700_000_000_000
ONE_TASK = b'{"steps":[{"replicaCount":1,"cpu":1000}]}'
TASK = "0000000000000001.0.0.0"


def listing(id="i-1", draining=False, cpu=4000):
    return RunnerListing(id, "s", f"{id}:1", draining, Resources(cpu, 8000, 0), frozenset(("a", "r1-1")))


class SchedulerCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.scheduler = Scheduler(1, self.now, JobTiming(6.0, 4.0))

    def handle(self, event):
        """Handle an event, then tick at the same time; return all instructions."""
        return self.scheduler.handle(event, self.now, WALL_MS + self.now * 1000) + self.tick(0.0)

    def tick(self, seconds=0.02):
        self.now += seconds
        return self.scheduler.tick(self.now, WALL_MS + self.now * 1000)

    def add_job(self, body=ONE_TASK, id=1, attempts=3, inherited=False):
        job = Job(id, "q", QueuePolicy(1, "s", 0, attempts), parse_job(body).unwrap(), body, id, inherited=inherited)
        self.scheduler.add(job)
        return job

    def connect(self, *ids, running=(), ends=()):
        """List runners and let them answer their first hold call; return the resulting instructions."""
        self.handle(RunnersListed(tuple(listing(id) for id in ids)))
        self.tick()
        instructions = []
        for id in ids:
            instructions += self.handle(HoldAnswered(id, self.now * 1000, tuple(running), tuple(ends)))
        return instructions

    def start_requests(self, instructions):
        return [
            (request.runner, request.task, request.number) for request in instructions if isinstance(request, StartRun)
        ]

    def store_changes(self):
        changes = self.scheduler.take_changes()
        if changes is not None:
            self.scheduler.mark_stored(changes)
        return changes

    def answer_start(self, runner="i-1", number=1, result=StartResult.STARTED):
        return self.handle(StartAnswered(runner, TASK, number, result, self.now * 1000))

    def list_end(self, outcome="done", sequence=1, number=1, runner="i-1"):
        return self.handle(HoldAnswered(runner, self.now * 1000, (), (TaskEnd(sequence, TASK, number, outcome),)))


class SchedulerEvents(SchedulerCase):
    def test_runner_gets_no_start_before_it_has_listed_its_runs(self):
        self.add_job()
        self.assertEqual([type(request) for request in self.handle(RunnersListed((listing(),)))], [HoldRunner])
        self.assertEqual(self.start_requests(self.handle(HoldAnswered("i-1", 1e5, (), ()))), [("i-1", TASK, 1)])

    def test_end_is_acknowledged_only_after_it_is_stored(self):
        self.add_job()
        self.connect("i-1")
        self.answer_start()
        self.list_end()
        holds = [request for request in self.tick(1.0) if isinstance(request, HoldRunner)]
        self.assertEqual([request.last_seen for request in holds], [])
        changes = self.store_changes()
        self.assertEqual((changes.ended, changes.ends), (frozenset([1]), {"i-1": 1}))
        holds = [request for request in self.tick(1.0) if isinstance(request, HoldRunner)]
        self.assertEqual([request.last_seen for request in holds], [1])

    def test_change_during_a_store_is_stored_next(self):
        job = self.add_job(b'{"steps":[{"replicaCount":1},{"replicaCount":1,"dependsOn":[0]}]}')
        self.connect("i-1")
        self.answer_start()
        self.list_end()
        first = self.scheduler.take_changes()
        self.scheduler.cancel(job)
        self.scheduler.mark_stored(first)
        self.assertFalse(job.end_stored)
        self.assertEqual(self.scheduler.take_changes().ended, frozenset([1]))

    def test_unanswered_start_is_retried_on_the_same_runner_with_the_same_deadline(self):
        self.add_job()
        (first,) = [request for request in self.connect("i-1", "i-2") if isinstance(request, StartRun)]
        self.handle(StartAnswered(first.runner, TASK, 1, StartResult.NO_ANSWER))
        again = [request for request in self.tick(0.5) if isinstance(request, StartRun)]
        self.assertEqual(again, [first])
        # The rejection of a retry gives no information about the first request, which may have been carried out or may
        # be carried out later.
        self.assertEqual(self.start_requests(self.answer_start(first.runner, result=StartResult.TOO_LATE)), [])
        self.assertEqual([request for _ in range(100) for request in self.start_requests(self.tick())], [])

    def test_unanswered_start_is_dropped_after_a_confirmed_stop_and_an_empty_list(self):
        """Regression: a task whose start request was unanswered was never started again.

        Under high load the runner rejected each retry with 503, which gives no information about the first request, and
        continued to answer hold calls. The run therefore neither started nor lapsed.
        """
        self.add_job()
        (first,) = self.start_requests(self.connect("i-1", "i-2"))
        self.handle(StartAnswered(first[0], TASK, 1, StartResult.NO_ANSWER))
        restarted_at, stopped_at = None, None
        for _ in range(600):
            requests = self.tick()
            while requests and restarted_at is None:
                request = requests.pop(0)
                if isinstance(request, HoldRunner):
                    requests += self.handle(HoldAnswered(request.runner, self.now * 1000, (), ()))
                elif isinstance(request, StopRun):
                    # Only the third stop request is confirmed.
                    confirmed = self.now > 101.0
                    stopped_at = self.now if confirmed and stopped_at is None else stopped_at
                    requests += self.handle(StopAnswered(request.runner, TASK, 1, confirmed))
                elif isinstance(request, StartRun) and request.number == 1:
                    requests += self.answer_start(request.runner, result=StartResult.UNHEALTHY)
                elif isinstance(request, StartRun):
                    restarted_at = self.now
        self.assertIsNotNone(restarted_at)
        self.assertGreater(restarted_at, stopped_at)
        self.assertLess(restarted_at - stopped_at, 0.2)

    def test_unresponsive_runner_loses_its_runs_after_its_hold_has_lapsed(self):
        self.add_job()
        (first,) = self.start_requests(self.connect("i-1", "i-2"))
        self.answer_start(first[0])
        lapsed_at = None
        for _ in range(1000):
            for request in self.tick():
                if isinstance(request, HoldRunner):
                    self.handle(HoldFailed(request.runner, HoldFailure.NO_ANSWER))
                if isinstance(request, StartRun):
                    lapsed_at = self.now
                    self.assertNotEqual(request.runner, first[0])
                    self.assertEqual(request.number, 2)
            if lapsed_at:
                break
        # 0.9 of the hold limit on a clock that is 2% slow, counted from the last call that may have extended the hold.
        self.assertGreater(lapsed_at - 100.0, 0.9 * 6.0 / 0.98)
        self.assertLess(lapsed_at - 100.0, 2 * 6.0 + 1)

    def test_replaced_runner_loses_its_runs_at_once(self):
        self.add_job()
        (first,) = self.start_requests(self.connect("i-1", "i-2"))
        self.answer_start(first[0])
        instructions = self.handle(HoldFailed(first[0], HoldFailure.REPLACED))
        self.assertEqual([number for _, _, number in self.start_requests(instructions)], [2])

    def test_inherited_jobs_wait_for_each_listed_runner(self):
        self.add_job(inherited=True)
        self.handle(RunnersListed((listing("i-1"), listing("i-2"))))
        self.tick()
        self.assertEqual(self.start_requests(self.handle(HoldAnswered("i-1", 1e5, (), ()))), [])
        instructions = self.handle(HoldAnswered("i-2", 1e5, (RunningTask(TASK, 5),), ()))
        self.assertEqual(self.start_requests(instructions), [])
        self.assertTrue(self.scheduler.jobs[1].started)
        instructions = self.handle(HoldAnswered("i-2", 1e5, (), (TaskEnd(1, TASK, 5, "lapsed"),)))
        self.assertEqual([number for _, _, number in self.start_requests(instructions)], [6])

    def test_unresponsive_runner_delays_inherited_jobs_no_longer_than_a_hold(self):
        self.add_job(inherited=True)
        self.handle(RunnersListed((listing("i-1"), listing("i-2"))))
        self.tick()
        self.handle(HoldAnswered("i-1", self.now * 1000, (), ()))
        self.assertEqual(self.start_requests(self.tick(6.0)), [])
        self.assertEqual(self.start_requests(self.tick(1.3)), [("i-1", TASK, 1)])

    def test_unneeded_run_is_stopped(self):
        instructions = self.connect("i-1", running=[RunningTask(TASK, 5)])
        self.assertEqual(
            [(request.task, request.number) for request in instructions if isinstance(request, StopRun)], [(TASK, 5)]
        )

    def test_run_numbers_of_a_later_term_are_higher(self):
        self.scheduler = Scheduler(3, self.now, JobTiming())
        self.add_job()
        ((_, _, number),) = self.start_requests(self.connect("i-1"))
        self.assertEqual(number, 2 * RUN_NUMBERS_PER_TERM + 1)

    def test_higher_fence_stops_all_instructions(self):
        self.add_job()
        self.connect("i-1")
        self.answer_start(result=StartResult.FENCED)
        self.assertTrue(self.scheduler.deposed)
        self.assertEqual(self.tick(5.0), [])

    def test_draining_runner_gets_no_start(self):
        self.connect("i-1")
        self.handle(RunnersListed((listing("i-1", draining=True),)))
        self.add_job()
        self.assertEqual(self.start_requests(self.tick()), [])

    def test_only_failed_ends_count_as_attempts(self):
        job = self.add_job(attempts=2)
        self.connect("i-1")
        number = 1
        for sequence, outcome in enumerate(("stopped", "lapsed", "failed", "broken"), 1):
            self.answer_start(number=number)
            self.list_end(outcome, sequence, number)
            self.tick(1.1)
            number += 1
        self.assertIsNone(job.end)
        self.answer_start(number=number)
        self.list_end("failed", 5, number)
        self.assertIs(job.end, JobState.FAILED)
        self.assertEqual(self.start_requests(self.tick(5.0)), [])

    def test_cancelled_job_is_stopped_after_its_start_in_flight_is_answered(self):
        job = self.add_job()
        self.connect("i-1")
        self.scheduler.cancel(job)
        self.assertEqual([request for request in self.tick() if isinstance(request, StopRun)], [])
        instructions = self.answer_start()
        self.assertEqual(
            [(request.task, request.number) for request in instructions if isinstance(request, StopRun)], [(TASK, 1)]
        )

    def test_task_rejected_without_capacity_starts_on_another_runner(self):
        self.add_job()
        (first,) = self.start_requests(self.connect("i-1", "i-2"))
        again = self.start_requests(self.answer_start(first[0], result=StartResult.NO_CAPACITY))
        self.assertEqual([(runner != first[0], number) for runner, _, number in again], [(True, 2)])


class Stalled(SchedulerCase):
    def stalled(self):
        tasks = stalled_tasks(self.scheduler.jobs.values(), self.now)
        return [(task.name, task.state, task.runner, round(task.duration_s)) for task in tasks]

    def test_slow_starts_and_stops_are_reported(self):
        job = self.add_job()
        self.tick()
        self.connect("i-1")
        self.now += 11.0
        self.assertEqual(self.stalled(), [(TASK, "starting", "i-1", 11)])
        self.answer_start()
        self.assertEqual(self.stalled(), [])
        self.scheduler.cancel(job)
        self.now += 12.0
        self.assertEqual(self.stalled(), [(TASK, "stopping", "i-1", 12)])

    def test_task_without_a_runner_is_reported_as_waiting(self):
        self.add_job(b'{"steps":[{"replicaCount":1,"cpu":9000}]}')
        self.connect("i-1")
        self.tick(11.0)
        self.assertEqual(self.stalled(), [(TASK, "waiting", "", 11)])


if __name__ == "__main__":
    unittest.main()
