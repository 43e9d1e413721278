"""The state of jobs in the memory of the primary, and how it is stored and loaded."""

from __future__ import annotations

import zlib
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

from sparloom.codec import pack, unpack

from .messages import EndedJob, FailedRun, FailedRuns, JobState, JobTable, StepProgress, StoredJob
from .specification import parse_job

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .messages import QueuePolicy
    from .runners import Run
    from .specification import JobSpecification, StepSpecification

# A time is begun so much later than it falls due, since clocks differ, in milliseconds.
DUE_MARGIN_MS = 50
# Run numbers of one term stay below this many; each term begins with numbers of its own.
RUNS_PER_TERM = 1 << 20
MAXIMUM_STORED_FAILURES = 65535


@define(slots=True, eq=False)
class Task:
    """One task at one time.

    Attributes
    ----------
    index
        Its number within the step.
    done
        Whether a run of it has ended ``done``.
    failures
        How many runs of it have ended ``failed``; of a gang, the first task counts for all.
    failed_runs
        The numbers of those runs. Of what was stored before numbers were, only ``failures`` is known.
    last_run
        The number of its newest run; 0 before the first in this term.
    run
        Its run under way, or None.
    checkpoint
        What it has saved, or empty.
    not_before
        No start earlier than this, in seconds of the monotonic clock.
    """

    index: int
    done: bool = False
    failures: int = 0
    failed_runs: set[int] = field(factory=set)
    last_run: int = 0
    run: Run | None = None
    checkpoint: str = ""
    not_before: float = 0.0


@define(slots=True, eq=False)
class Step:
    """One step at one time.

    Attributes
    ----------
    job
        The job that it belongs to.
    time, number
        The number of the time, and of the step within the job.
    specification
        What the client said of it.
    tasks
        Its tasks, by index.
    waiting
        Indexes of the tasks that are to be started.
    done_count
        How many tasks have ended ``done``.
    waiting_since
        Since when some task waits though its turn has come, in seconds; None where none does.
    quiet_since
        Since when it holds others back while little of its service is in use, in seconds; None where it doesn't.
    """

    job: Job
    time: int
    number: int
    specification: StepSpecification
    tasks: list[Task]
    waiting: deque[int]
    done_count: int = 0
    waiting_since: float | None = None
    quiet_since: float | None = None

    @classmethod
    def of(cls, job: Job, time: int, number: int) -> Step:
        """Return a step of which nothing has run."""
        specification = job.specification.steps[number]
        tasks = [Task(index) for index in range(specification.replica_count)]
        return cls(job, time, number, specification, tasks, deque(range(len(tasks))))

    @property
    def ended(self) -> bool:
        """Whether all tasks have ended ``done``."""
        return self.done_count == len(self.tasks)

    @property
    def runs(self) -> list[Run]:
        """The runs under way."""
        return [task.run for task in self.tasks if task.run is not None]

    def failures(self, task: Task) -> int:
        """How many runs of a task, or of its gang, have ended ``failed``."""
        return self._counting(task).failures

    def _counting(self, task: Task) -> Task:
        """The task that counts a task's failures: of a gang, the first one does."""
        return self.tasks[0] if self.specification.gang else task

    def count_failure(self, task: Task, run: int) -> bool:
        """Count a run that has ended ``failed``; return whether it is a new attempt.

        An attempt is a run and not an end: each member of a gang may list the
        end of one run, and a runner lists an end again to the next primary. What
        fails after the task is done counts for nothing.
        """
        counting = self._counting(task)
        if task.done or run in counting.failed_runs:
            return False
        counting.failed_runs.add(run)
        counting.failures += 1
        return True

    def task_name(self, index: int) -> str:
        """Return a task's name on the wire.

        >>> from .specification import parse_job
        >>> spec = parse_job(b'{"steps":[{"replicaCount":1}]}').unwrap()
        >>> from .messages import QueuePolicy
        >>> Job(0xAB, "q", QueuePolicy(1, "s", 0, 1), spec, b"", 0).step(0, 0).task_name(0)
        '00000000000000ab.0.0.0'
        """
        return f"{self.job.id:016x}.{self.time}.{self.number}.{index}"

    def set_done(self, task: Task) -> bool:
        """Note that a task has ended ``done``; return whether that is new."""
        if task.done:
            return False
        task.done, task.checkpoint = True, ""
        self.done_count += 1
        if task.index in self.waiting:
            self.waiting.remove(task.index)
        return True

    def set_waiting(self, task: Task, not_before: float = 0.0) -> None:
        """Note that a task is to be started again."""
        task.run, task.not_before = None, not_before
        if not task.done and task.index not in self.waiting:
            self.waiting.append(task.index)

    def progress(self) -> StepProgress | None:
        """What is stored of the step; None where nothing of it has ended."""
        done = bytes(task.done for task in self.tasks)
        failed_runs = [FailedRun(task.index, run) for task in self.tasks for run in sorted(task.failed_runs)]
        failures = [min(task.failures, MAXIMUM_STORED_FAILURES) for task in self.tasks]
        checkpoints = [task.checkpoint for task in self.tasks]
        if not any(done) and not any(failures) and not any(checkpoints):
            return None
        return StepProgress(
            self.time,
            self.number,
            done + (pack(FailedRuns(failed_runs)) if failed_runs else b""),
            failures if any(failures) else [],
            checkpoints if any(checkpoints) else [],
        )

    def restore(self, progress: StepProgress) -> None:
        """Take up what was stored."""
        for task, failures in zip(self.tasks, progress.failures, strict=False):
            task.failures = failures
        for task, checkpoint in zip(self.tasks, progress.checkpoints, strict=False):
            task.checkpoint = checkpoint
        for task, done in zip(self.tasks, progress.done, strict=False):
            if done:
                self.set_done(task)
        self._restore_failed_runs(progress.done[len(self.tasks) :])

    def _restore_failed_runs(self, packed: bytes) -> None:
        for failed in unpack(packed).runs if packed else ():
            self.tasks[failed.task].failed_runs.add(failed.run)


@define(slots=True, eq=False)
class Job:
    """A job that has not ended, or whose end is not stored yet.

    Attributes
    ----------
    id
        Chosen by the client.
    queue
        Host and path prefix of its queue.
    policy
        What the configuration said of the queue when the job was handed in.
    specification, body
        The job, parsed and as it was sent.
    accepted_ms
        When it was accepted, in milliseconds since 1970.
    inherited
        Whether it was accepted by an earlier primary, so that runs of it may be under way anywhere.
    begun
        Whether some task of it has been started.
    end, end_stored
        How it ended, or None; and whether that is on the disks, so that clients may see it.
    steps
        The steps of each time that has been begun or restored.
    next_time
        The first time that is not in ``steps`` yet.
    """

    id: int
    queue: str
    policy: QueuePolicy
    specification: JobSpecification
    body: bytes
    accepted_ms: int
    inherited: bool = False
    begun: bool = False
    end: JobState | None = None
    end_stored: bool = False
    steps: dict[int, list[Step]] = field(factory=dict)
    next_time: int = 0
    times_done: int = 0

    def at_time(self, time: int) -> list[Step]:
        """Return the steps of a time, made when they are first asked for."""
        if time not in self.steps:
            self.steps[time] = [Step.of(self, time, number) for number in range(len(self.specification.steps))]
        return self.steps[time]

    def step(self, time: int, number: int) -> Step:
        """Return one step at one time."""
        return self.at_time(time)[number]

    def open_due_times(self, now_ms: float) -> None:
        """Make the steps of all times that have fallen due."""
        latest_ms = now_ms - DUE_MARGIN_MS
        while self.next_time < self.specification.times and self.specification.due_ms(self.next_time) <= latest_ms:
            self.at_time(self.next_time)
            self.next_time += 1

    def ready_steps(self) -> Iterator[Step]:
        """The steps whose turn has come and of which some task waits."""
        for time, steps in self.steps.items():
            if time >= self.next_time:
                continue
            for step in steps:
                if step.waiting and all(steps[number].ended for number in step.specification.depends_on):
                    yield step

    def close_ended_times(self) -> bool:
        """Count the times of which all steps have ended; return whether that were the last ones."""
        for time in [t for t, steps in self.steps.items() if steps and all(step.ended for step in steps)]:
            self.times_done += 1
            # The steps of an ended time are kept as an empty list, so that they are not made again.
            self.steps[time] = []
        return self.times_done == self.specification.times

    def runs(self) -> list[Run]:
        """All runs under way."""
        return [run for steps in self.steps.values() for step in steps for run in step.runs]

    def stored(self) -> StoredJob:
        """What is stored of a job that has not ended."""
        progress: list[StepProgress] = []
        for time, steps in self.steps.items():
            if not steps:
                progress += [
                    StepProgress(time, number, b"\1" * step.replica_count, [], [])
                    for number, step in enumerate(self.specification.steps)
                ]
            progress += [found for step in steps if (found := step.progress())]
        return StoredJob(self.id, self.queue, self.policy, self.accepted_ms, self.body, progress)

    @classmethod
    def restore(cls, stored: StoredJob) -> Job:
        """Return a job that an earlier primary has stored."""
        specification = parse_job(stored.body).unwrap()
        job = cls(
            stored.job,
            stored.queue,
            stored.policy,
            specification,
            stored.body,
            stored.accepted_ms,
            inherited=True,
            begun=bool(stored.progress),
        )
        for progress in stored.progress:
            job.step(progress.time, progress.step).restore(progress)
        job.close_ended_times()
        return job


def queue_checksum(queue: str) -> int:
    """Return what an ended job keeps of its queue's name.

    >>> queue_checksum("h /q/") == queue_checksum("h /r/")
    False
    """
    return zlib.crc32(queue.encode())


@define(slots=True, eq=False)
class JobStore:
    """The bytes of all jobs; those of a job are made anew only when it has changed.

    Attributes
    ----------
    term
        The term of the primary that stores them.
    active
        The packed ``StoredJob`` by id.
    ended
        Jobs that have ended, by id.

    >>> JobStore.load(JobStore(3).blob()).term
    3
    """

    term: int = 0
    active: dict[int, bytes] = field(factory=dict)
    ended: dict[int, EndedJob] = field(factory=dict)

    def put(self, job: Job, now_ms: int) -> None:
        """Take over what has become of a job."""
        if job.end is None:
            self.active[job.id] = pack(job.stored())
            return
        self.active.pop(job.id, None)
        self.ended[job.id] = EndedJob(job.id, queue_checksum(job.queue), job.end, now_ms)

    def forget(self, before_ms: int) -> None:
        """Drop the jobs that ended before a moment, in milliseconds since 1970."""
        for job_id in [ended.job for ended in self.ended.values() if ended.ended_ms < before_ms]:
            del self.ended[job_id]

    def blob(self) -> bytes:
        """Return the bytes to store."""
        return pack(JobTable(self.term, list(self.active.values()), list(self.ended.values())))

    @classmethod
    def load(cls, blob: bytes) -> JobStore:
        """Return the store in some bytes; none are the store before the first job.

        Raises
        ------
        DecodeError
            The bytes are no store.
        """
        if not blob:
            return cls()
        table = unpack(blob)
        active = {unpack(raw).job: raw for raw in table.active}
        return cls(table.term, active, {ended.job: ended for ended in table.ended})

    def jobs(self) -> list[Job]:
        """Return the jobs that have not ended, in the order in which they were accepted."""
        stored = sorted((unpack(raw) for raw in self.active.values()), key=lambda job: job.accepted_ms)
        return [Job.restore(job) for job in stored]
