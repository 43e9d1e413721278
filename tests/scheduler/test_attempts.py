"""Regression: a job failed although none of its tasks had failed as often as its queue allows.

Attempts were counted per end instead of per run. There were three cases:

- A failing runner lists ``failed`` for two members of one run of a gang. With ``maxAttempts`` 2 the job was FAILED
  after one run.
- An end whose effect was stored but not yet acknowledged is listed again to the next primary. It was counted again,
  because only the count was stored and not the run that it came from.
- A ``failed`` after the ``done`` of the same run of a gang failed a job whose step had ended.
"""

from sparloom.scheduler.events import HoldAnswered, StartAnswered, StartResult, StartRun, TaskEnd
from sparloom.scheduler.jobs import RUN_NUMBERS_PER_TERM, JobStore
from sparloom.scheduler.messages import JobState
from sparloom.scheduler.scheduler import JobTiming, Scheduler
from tests.scheduler.test_scheduler import TASK, SchedulerCase

GANG = b'{"steps":[{"replicaCount":2,"cpu":1000,"gangScheduled":true}]}'
GANG_AND_STEP = (
    b'{"steps":[{"replicaCount":2,"cpu":1000,"gangScheduled":true},{"replicaCount":1,"cpu":1000,"dependsOn":[0]}]}'
)
MEMBERS = ("0000000000000001.0.0.0", "0000000000000001.0.0.1")


class AttemptsCase(SchedulerCase):
    def setUp(self):
        super().setUp()
        self.job_store = JobStore(1)
        self.sequence = 0

    def answer_starts(self, requests):
        """Answer all start requests; return the number of the run."""
        starts = [request for request in requests if isinstance(request, StartRun)]
        for request in starts:
            answer = StartAnswered(request.runner, request.task, request.number, StartResult.STARTED, self.now * 1000)
            self.handle(answer)
        return max((request.number for request in starts), default=0)

    def list_ends(self, *ends, runner="i-1"):
        """Let a runner list ends, given as (task, number, outcome); return the resulting instructions."""
        task_ends = []
        for task, number, outcome in ends:
            self.sequence += 1
            task_ends.append(TaskEnd(self.sequence, task, number, outcome))
        self.listed = tuple(task_ends)
        return self.handle(HoldAnswered(runner, self.now * 1000, (), self.listed))

    def store_changes(self):
        changes = self.scheduler.take_changes()
        for job in changes.jobs if changes is not None else ():
            self.job_store.put(job, 0)
        if changes is not None:
            self.scheduler.mark_stored(changes)
        return changes

    def next_primary(self):
        """Start the next term from the stored state."""
        self.job_store = JobStore.load(self.job_store.blob())
        self.job_store.term += 1
        self.scheduler = Scheduler(self.job_store.term, self.now, JobTiming(6.0, 4.0))
        (job,) = self.job_store.jobs()
        self.scheduler.add(job)
        return job


class FailedRuns(AttemptsCase):
    def test_two_failed_members_of_one_gang_run_count_as_one_attempt(self):
        job = self.add_job(GANG, attempts=2)
        first = self.answer_starts(self.connect("i-1"))
        self.list_ends((MEMBERS[0], first, "failed"), (MEMBERS[1], first, "failed"))
        self.assertIsNone(job.end)
        second = self.answer_starts(self.tick(2.0))
        self.assertGreater(second, first)
        self.list_ends((MEMBERS[0], second, "failed"), (MEMBERS[1], second, "broken"))
        self.assertIs(job.end, JobState.FAILED)

    def test_end_listed_to_two_primaries_counts_once(self):
        job = self.add_job(attempts=2)
        self.job_store.put(job, 0)
        number = self.answer_starts(self.connect("i-1"))
        self.list_ends((TASK, number, "failed"))
        self.store_changes()
        for _ in range(2):
            job = self.next_primary()
            requests = self.connect("i-1", ends=self.listed)
            self.assertIsNone(job.end)
        # The second failed run is the second attempt, even though another primary counted the first one.
        number = self.answer_starts([*requests, *self.tick(2.0)])
        self.assertGreater(number, 2 * RUN_NUMBERS_PER_TERM)
        self.list_ends((TASK, number, "failed"))
        self.assertIs(job.end, JobState.FAILED)

    def test_failed_end_after_a_done_end_of_the_same_gang_run_is_ignored(self):
        job = self.add_job(GANG_AND_STEP, attempts=1)
        number = self.answer_starts(self.connect("i-1"))
        requests = self.list_ends((MEMBERS[0], number, "done"), (MEMBERS[1], number, "failed"))
        self.assertIsNone(job.end)
        number = self.answer_starts([*requests, *self.tick(2.0)])
        self.list_ends(("0000000000000001.0.1.0", number, "done"))
        self.assertIs(job.end, JobState.COMPLETED)
