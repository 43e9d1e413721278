"""The scheduler's machine, event by event: what it orders, and when it must wait."""

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


class MachineCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.scheduler = Scheduler(1, self.now, JobTiming(6.0, 4.0))

    def tell(self, event):
        """An event, and the tick that follows at the same moment."""
        return self.scheduler.handle(event, self.now, WALL_MS + self.now * 1000) + self.tick(0.0)

    def tick(self, seconds=0.02):
        self.now += seconds
        return self.scheduler.tick(self.now, WALL_MS + self.now * 1000)

    def add(self, body=ONE_TASK, id=1, attempts=3, inherited=False):
        job = Job(id, "q", QueuePolicy(1, "s", 0, attempts), parse_job(body).unwrap(), body, id, inherited=inherited)
        self.scheduler.add(job)
        return job

    def contact(self, *ids, running=(), ends=()):
        """Lists runners and lets them answer their first call; gives what is ordered then."""
        self.tell(RunnersListed(tuple(listing(id) for id in ids)))
        self.tick()
        out = []
        for id in ids:
            out += self.tell(HoldAnswered(id, self.now * 1000, tuple(running), tuple(ends)))
        return out

    def starts(self, instructions):
        return [(order.runner, order.task, order.number) for order in instructions if isinstance(order, StartRun)]

    def store(self):
        changes = self.scheduler.take_changes()
        if changes is not None:
            self.scheduler.stored(changes)
        return changes

    def started(self, runner="i-1", number=1, result=StartResult.STARTED):
        return self.tell(StartAnswered(runner, TASK, number, result, self.now * 1000))

    def ended(self, how="done", sequence=1, number=1, runner="i-1"):
        return self.tell(HoldAnswered(runner, self.now * 1000, (), (TaskEnd(sequence, TASK, number, how),)))


class Machine(MachineCase):
    def test_nothing_starts_on_a_runner_that_has_not_said_what_runs_there(self):
        self.add()
        self.assertEqual([type(order) for order in self.tell(RunnersListed((listing(),)))], [HoldRunner])
        self.assertEqual(self.starts(self.tell(HoldAnswered("i-1", 1e5, (), ()))), [("i-1", TASK, 1)])

    def test_an_end_is_forgotten_by_its_runner_only_once_it_is_stored(self):
        self.add()
        self.contact("i-1")
        self.started()
        self.ended()
        holds = [order for order in self.tick(1.0) if isinstance(order, HoldRunner)]
        self.assertEqual([order.last_seen for order in holds], [])
        changes = self.store()
        self.assertEqual((changes.ended, changes.ends), (frozenset([1]), {"i-1": 1}))
        holds = [order for order in self.tick(1.0) if isinstance(order, HoldRunner)]
        self.assertEqual([order.last_seen for order in holds], [1])

    def test_what_changes_while_it_is_being_stored_is_stored_next(self):
        job = self.add(b'{"steps":[{"replicaCount":1},{"replicaCount":1,"dependsOn":[0]}]}')
        self.contact("i-1")
        self.started()
        self.ended()
        first = self.scheduler.take_changes()
        self.scheduler.cancel(job)
        self.scheduler.stored(first)
        self.assertFalse(job.end_stored)
        self.assertEqual(self.scheduler.take_changes().ended, frozenset([1]))

    def test_a_start_without_an_answer_is_repeated_on_the_same_runner_with_the_same_deadline(self):
        self.add()
        (first,) = [order for order in self.contact("i-1", "i-2") if isinstance(order, StartRun)]
        self.tell(StartAnswered(first.runner, TASK, 1, StartResult.NO_ANSWER))
        again = [order for order in self.tick(0.5) if isinstance(order, StartRun)]
        self.assertEqual(again, [first])
        # A repeat that is turned away says nothing of the first order, which may have been carried out, or may be yet.
        self.assertEqual(self.starts(self.started(first.runner, result=StartResult.TOO_LATE)), [])
        self.assertEqual([order for _ in range(100) for order in self.starts(self.tick())], [])

    def test_a_start_that_may_be_carried_out_yet_is_given_up_once_it_is_stopped_and_the_runner_lists_nothing(self):
        """Seen on a day of high load: a task whose start was left without an answer was never started again.

        The runner then turned away each repeated order (503), which says nothing of the first one, and went
        on to answer holds, so the run neither began nor lapsed.
        """
        self.add()
        (first,) = self.starts(self.contact("i-1", "i-2"))
        self.tell(StartAnswered(first[0], TASK, 1, StartResult.NO_ANSWER))
        restarted_at, stopped_at = None, None
        for _ in range(600):
            orders = self.tick()
            while orders and restarted_at is None:
                order = orders.pop(0)
                if isinstance(order, HoldRunner):
                    orders += self.tell(HoldAnswered(order.runner, self.now * 1000, (), ()))
                elif isinstance(order, StopRun):
                    # Only the third one is answered.
                    confirmed = self.now > 101.0
                    stopped_at = self.now if confirmed and stopped_at is None else stopped_at
                    orders += self.tell(StopAnswered(order.runner, TASK, 1, confirmed))
                elif isinstance(order, StartRun) and order.number == 1:
                    orders += self.started(order.runner, result=StartResult.UNHEALTHY)
                elif isinstance(order, StartRun):
                    restarted_at = self.now
        self.assertIsNotNone(restarted_at)
        self.assertGreater(restarted_at, stopped_at)
        self.assertLess(restarted_at - stopped_at, 0.2)

    def test_a_runner_that_does_not_answer_is_given_up_once_its_hold_has_surely_lapsed(self):
        self.add()
        (first,) = self.starts(self.contact("i-1", "i-2"))
        self.started(first[0])
        lapsed_at = None
        for _ in range(1000):
            for order in self.tick():
                if isinstance(order, HoldRunner):
                    self.tell(HoldFailed(order.runner, HoldFailure.NO_ANSWER))
                if isinstance(order, StartRun):
                    lapsed_at = self.now
                    self.assertNotEqual(order.runner, first[0])
                    self.assertEqual(order.number, 2)
            if lapsed_at:
                break
        # 0.9 of the longest hold on a clock that is 2% slow, from the last call that may have extended it.
        self.assertGreater(lapsed_at - 100.0, 0.9 * 6.0 / 0.98)
        self.assertLess(lapsed_at - 100.0, 2 * 6.0 + 1)

    def test_a_runner_that_was_replaced_has_lost_its_runs_at_once(self):
        self.add()
        (first,) = self.starts(self.contact("i-1", "i-2"))
        self.started(first[0])
        out = self.tell(HoldFailed(first[0], HoldFailure.REPLACED))
        self.assertEqual([number for _, _, number in self.starts(out)], [2])

    def test_jobs_of_an_earlier_term_wait_for_each_listed_runner(self):
        self.add(inherited=True)
        self.tell(RunnersListed((listing("i-1"), listing("i-2"))))
        self.tick()
        self.assertEqual(self.starts(self.tell(HoldAnswered("i-1", 1e5, (), ()))), [])
        out = self.tell(HoldAnswered("i-2", 1e5, (RunningTask(TASK, 5),), ()))
        self.assertEqual(self.starts(out), [])
        self.assertTrue(self.scheduler.jobs[1].begun)
        out = self.tell(HoldAnswered("i-2", 1e5, (), (TaskEnd(1, TASK, 5, "lapsed"),)))
        self.assertEqual([number for _, _, number in self.starts(out)], [6])

    def test_a_runner_that_stays_silent_holds_an_earlier_terms_jobs_up_no_longer_than_a_hold(self):
        self.add(inherited=True)
        self.tell(RunnersListed((listing("i-1"), listing("i-2"))))
        self.tick()
        self.tell(HoldAnswered("i-1", self.now * 1000, (), ()))
        self.assertEqual(self.starts(self.tick(6.0)), [])
        self.assertEqual(self.starts(self.tick(1.3)), [("i-1", TASK, 1)])

    def test_a_run_that_nobody_needs_is_stopped(self):
        out = self.contact("i-1", running=[RunningTask(TASK, 5)])
        self.assertEqual([(order.task, order.number) for order in out if isinstance(order, StopRun)], [(TASK, 5)])

    def test_run_numbers_of_a_later_term_are_above_all_earlier_ones(self):
        self.scheduler = Scheduler(3, self.now, JobTiming())
        self.add()
        ((_, _, number),) = self.starts(self.contact("i-1"))
        self.assertEqual(number, 2 * RUN_NUMBERS_PER_TERM + 1)

    def test_a_higher_fence_ends_all_orders(self):
        self.add()
        self.contact("i-1")
        self.started(result=StartResult.FENCED)
        self.assertTrue(self.scheduler.deposed)
        self.assertEqual(self.tick(5.0), [])

    def test_a_draining_runner_gets_no_start(self):
        self.contact("i-1")
        self.tell(RunnersListed((listing("i-1", draining=True),)))
        self.add()
        self.assertEqual(self.starts(self.tick()), [])

    def test_only_failed_ends_count_as_attempts(self):
        job = self.add(attempts=2)
        self.contact("i-1")
        number = 1
        for sequence, how in enumerate(("stopped", "lapsed", "failed", "broken"), 1):
            self.started(number=number)
            self.ended(how, sequence, number)
            self.tick(1.1)
            number += 1
        self.assertIsNone(job.end)
        self.started(number=number)
        self.ended("failed", 5, number)
        self.assertIs(job.end, JobState.FAILED)
        self.assertEqual(self.starts(self.tick(5.0)), [])

    def test_a_cancelled_job_is_stopped_also_where_its_start_was_under_way(self):
        job = self.add()
        self.contact("i-1")
        self.scheduler.cancel(job)
        self.assertEqual([order for order in self.tick() if isinstance(order, StopRun)], [])
        out = self.started()
        self.assertEqual([(order.task, order.number) for order in out if isinstance(order, StopRun)], [(TASK, 1)])

    def test_a_runner_without_room_gets_the_task_of_nobody_else_twice(self):
        self.add()
        (first,) = self.starts(self.contact("i-1", "i-2"))
        again = self.starts(self.started(first[0], result=StartResult.NO_CAPACITY))
        self.assertEqual([(runner != first[0], number) for runner, _, number in again], [(True, 2)])


class Stalled(MachineCase):
    def stalled(self):
        tasks = stalled_tasks(self.scheduler.jobs.values(), self.now)
        return [(task.name, task.state, task.runner, round(task.for_s)) for task in tasks]

    def test_an_operator_is_told_of_tasks_that_wait_start_or_stop_for_too_long(self):
        job = self.add()
        self.tick()
        self.contact("i-1")
        self.now += 11.0
        self.assertEqual(self.stalled(), [(TASK, "starting", "i-1", 11)])
        self.started()
        self.assertEqual(self.stalled(), [])
        self.scheduler.cancel(job)
        self.now += 12.0
        self.assertEqual(self.stalled(), [(TASK, "stopping", "i-1", 12)])

    def test_a_task_without_a_runner_is_told_of_as_waiting(self):
        self.add(b'{"steps":[{"replicaCount":1,"cpu":9000}]}')
        self.contact("i-1")
        self.tick(11.0)
        self.assertEqual(self.stalled(), [(TASK, "waiting", "", 11)])


if __name__ == "__main__":
    unittest.main()
