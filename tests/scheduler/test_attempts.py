"""Regression: a job was shown as failed though none of its tasks had failed as often as its queue allows.

The scheduler counted ends where an attempt is a run. A sick runner that fails all it runs lists `failed` for
two members of one run of a gang, and two attempts were counted: with `maxAttempts` 2 the job was FAILED after
one run. An end whose effect was stored, but which its runner had not yet been told to forget, was told to the
next primary again and counted again: the count was on the disks, and which end it came from was not. And a
`failed` behind the `done` of the same run of a gang failed a job whose step had ended.
"""

from sparloom.scheduler.events import HoldAnswered, StartAnswered, StartResult, StartRun, TaskEnd
from sparloom.scheduler.jobs import RUN_NUMBERS_PER_TERM, JobStore
from sparloom.scheduler.messages import JobState
from sparloom.scheduler.scheduler import JobTiming, Scheduler
from tests.scheduler.test_scheduler import TASK, MachineCase

GANG = b'{"steps":[{"replicaCount":2,"cpu":1000,"gangScheduled":true}]}'
GANG_AND_STEP = (
    b'{"steps":[{"replicaCount":2,"cpu":1000,"gangScheduled":true},{"replicaCount":1,"cpu":1000,"dependsOn":[0]}]}'
)
MEMBERS = ("0000000000000001.0.0.0", "0000000000000001.0.0.1")


class AttemptsCase(MachineCase):
    def setUp(self):
        super().setUp()
        self.store_of_jobs = JobStore(1)
        self.sequence = 0

    def run_of_all(self, orders):
        """Answers all orders to start; gives the number of the run."""
        starts = [order for order in orders if isinstance(order, StartRun)]
        for order in starts:
            answer = StartAnswered(order.runner, order.task, order.number, StartResult.STARTED, self.now * 1000)
            self.tell(answer)
        return max((order.number for order in starts), default=0)

    def ends(self, *ends, runner="i-1"):
        """A runner lists ends, given as (task, number, how); gives what is ordered then."""
        told = []
        for task, number, how in ends:
            self.sequence += 1
            told.append(TaskEnd(self.sequence, task, number, how))
        self.listed = tuple(told)
        return self.tell(HoldAnswered(runner, self.now * 1000, (), self.listed))

    def store(self):
        changes = self.scheduler.take_changes()
        for job in changes.jobs if changes is not None else ():
            self.store_of_jobs.put(job, 0)
        if changes is not None:
            self.scheduler.stored(changes)
        return changes

    def next_primary(self):
        """Another member becomes the primary, with what is stored."""
        self.store_of_jobs = JobStore.load(self.store_of_jobs.blob())
        self.store_of_jobs.term += 1
        self.scheduler = Scheduler(self.store_of_jobs.term, self.now, JobTiming(6.0, 4.0))
        (job,) = self.store_of_jobs.jobs()
        self.scheduler.add(job)
        return job


class FailedRuns(AttemptsCase):
    def test_two_members_that_fail_in_one_run_of_a_gang_are_one_attempt(self):
        job = self.add(GANG, attempts=2)
        first = self.run_of_all(self.contact("i-1"))
        self.ends((MEMBERS[0], first, "failed"), (MEMBERS[1], first, "failed"))
        self.assertIsNone(job.end)
        second = self.run_of_all(self.tick(2.0))
        self.assertGreater(second, first)
        self.ends((MEMBERS[0], second, "failed"), (MEMBERS[1], second, "broken"))
        self.assertIs(job.end, JobState.FAILED)

    def test_an_end_that_is_listed_to_two_primaries_is_counted_once(self):
        job = self.add(attempts=2)
        self.store_of_jobs.put(job, 0)
        number = self.run_of_all(self.contact("i-1"))
        self.ends((TASK, number, "failed"))
        self.store()
        for _ in range(2):
            job = self.next_primary()
            orders = self.contact("i-1", ends=self.listed)
            self.assertIsNone(job.end)
        # The second run that fails is the second attempt, whichever primary is told of it.
        number = self.run_of_all([*orders, *self.tick(2.0)])
        self.assertGreater(number, 2 * RUN_NUMBERS_PER_TERM)
        self.ends((TASK, number, "failed"))
        self.assertIs(job.end, JobState.FAILED)

    def test_a_failed_end_behind_a_done_of_the_same_run_of_a_gang_fails_nothing(self):
        job = self.add(GANG_AND_STEP, attempts=1)
        number = self.run_of_all(self.contact("i-1"))
        orders = self.ends((MEMBERS[0], number, "done"), (MEMBERS[1], number, "failed"))
        self.assertIsNone(job.end)
        number = self.run_of_all([*orders, *self.tick(2.0)])
        self.ends(("0000000000000001.0.1.0", number, "done"))
        self.assertIs(job.end, JobState.COMPLETED)
