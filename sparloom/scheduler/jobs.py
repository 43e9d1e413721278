"""The primary's in-memory state of jobs, their steps and tasks, and its conversion to and from stored form.

A job runs its steps once, or once per repetition; a repetition is identified by its index.
"""

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

# Delay between the due time of a repetition and its start, because clocks differ between machines.
DUE_MARGIN_MS = 50
# Number of run numbers in one term. Each term has its own range, so that no two terms use the same number.
RUN_NUMBERS_PER_TERM = 1 << 20
MAXIMUM_STORED_FAILURES = 65535


@define(slots=True, eq=False)
class Task:
    """One task of a step, in one repetition.

    Attributes
    ----------
    index
        Its index within the step.
    done
        Whether a run of it has ended ``done``.
    failures
        Number of its runs that ended ``failed``; for a gang, the first task counts for all.
    failed_runs
        Numbers of those runs. State stored before run numbers were recorded has only ``failures``.
    last_run
        Number of its newest run; 0 before the first in this term.
    run
        Its active run, or None.
    checkpoint
        Its newest checkpoint, or empty.
    not_before
        Earliest time of the next start, in seconds of the monotonic clock.
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
    """One step of a job, in one repetition.

    Attributes
    ----------
    job
        The job it belongs to.
    repetition, number
        Index of the repetition, and of the step within the job.
    specification
        The step as the client specified it.
    tasks
        Its tasks, by index.
    waiting
        Indexes of the tasks to start.
    done_count
        Number of tasks that have ended ``done``.
    waiting_since
        When a placement pass first failed to start all waiting tasks, in seconds; None if the last pass succeeded.
    low_use_since
        When it began to block later jobs while utilization of its service is low, in seconds; None if it doesn't.
    """

    job: Job
    repetition: int
    number: int
    specification: StepSpecification
    tasks: list[Task]
    waiting: deque[int]
    done_count: int = 0
    waiting_since: float | None = None
    low_use_since: float | None = None

    @classmethod
    def create(cls, job: Job, repetition: int, number: int) -> Step:
        """Return a step whose tasks all wait for their first start."""
        specification = job.specification.steps[number]
        tasks = [Task(index) for index in range(specification.replica_count)]
        return cls(job, repetition, number, specification, tasks, deque(range(len(tasks))))

    @property
    def ended(self) -> bool:
        """Whether all tasks have ended ``done``."""
        return self.done_count == len(self.tasks)

    @property
    def runs(self) -> list[Run]:
        """The active runs of its tasks."""
        return [task.run for task in self.tasks if task.run is not None]

    def failures(self, task: Task) -> int:
        """Return the number of runs of a task, or of its gang, that ended ``failed``."""
        return self._failure_counter(task).failures

    def _failure_counter(self, task: Task) -> Task:
        """Return the task that holds the failure count: the first one for a gang, otherwise the task itself."""
        return self.tasks[0] if self.specification.gang else task

    def count_failure(self, task: Task, run: int) -> bool:
        """Count a run that ended ``failed``; return whether it is a new attempt.

        Attempts are counted per run and not per end: each member of a gang may
        list an end of the same run, and a runner lists its ends again to the
        next primary. Failures after the task is done are not counted.
        """
        counter = self._failure_counter(task)
        if task.done or run in counter.failed_runs:
            return False
        counter.failed_runs.add(run)
        counter.failures += 1
        return True

    def task_name(self, index: int) -> str:
        """Return a task's name on the wire.

        >>> from .specification import parse_job
        >>> spec = parse_job(b'{"steps":[{"replicaCount":1}]}').unwrap()
        >>> from .messages import QueuePolicy
        >>> Job(0xAB, "q", QueuePolicy(1, "s", 0, 1), spec, b"", 0).step(0, 0).task_name(0)
        '00000000000000ab.0.0.0'
        """
        return f"{self.job.id:016x}.{self.repetition}.{self.number}.{index}"

    def mark_done(self, task: Task) -> bool:
        """Mark a task as done; return whether it was not done before."""
        if task.done:
            return False
        task.done, task.checkpoint = True, ""
        self.done_count += 1
        if task.index in self.waiting:
            self.waiting.remove(task.index)
        return True

    def requeue(self, task: Task, not_before: float = 0.0) -> None:
        """Clear a task's run, and add the task to the waiting ones unless it is done."""
        task.run, task.not_before = None, not_before
        if not task.done and task.index not in self.waiting:
            self.waiting.append(task.index)

    def progress(self) -> StepProgress | None:
        """Return the progress to store; None if no task has ended or saved a checkpoint."""
        done = bytes(task.done for task in self.tasks)
        failed_runs = [FailedRun(task.index, run) for task in self.tasks for run in sorted(task.failed_runs)]
        failures = [min(task.failures, MAXIMUM_STORED_FAILURES) for task in self.tasks]
        checkpoints = [task.checkpoint for task in self.tasks]
        if not any(done) and not any(failures) and not any(checkpoints):
            return None
        return StepProgress(
            self.repetition,
            self.number,
            done + (pack(FailedRuns(failed_runs)) if failed_runs else b""),
            failures if any(failures) else [],
            checkpoints if any(checkpoints) else [],
        )

    def restore(self, progress: StepProgress) -> None:
        """Restore the stored progress."""
        for task, failures in zip(self.tasks, progress.failures, strict=False):
            task.failures = failures
        for task, checkpoint in zip(self.tasks, progress.checkpoints, strict=False):
            task.checkpoint = checkpoint
        for task, done in zip(self.tasks, progress.done, strict=False):
            if done:
                self.mark_done(task)
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
        The queue's policy when the job was submitted.
    specification, body
        The job, parsed and as the client sent it.
    accepted_ms
        When it was accepted, in milliseconds since 1970.
    inherited
        Whether it was accepted by an earlier primary, so that runs of it may be active on any runner.
    started
        Whether any of its tasks has been started.
    end, end_stored
        Its final state, or None; and whether that is stored. Clients see the final state only once it is stored.
    steps
        The steps of each repetition that was started or restored; an empty list for one that has ended.
    next_repetition
        The first repetition that has not been opened.
    """

    id: int
    queue: str
    policy: QueuePolicy
    specification: JobSpecification
    body: bytes
    accepted_ms: int
    inherited: bool = False
    started: bool = False
    end: JobState | None = None
    end_stored: bool = False
    steps: dict[int, list[Step]] = field(factory=dict)
    next_repetition: int = 0
    repetitions_done: int = 0

    def repetition_steps(self, repetition: int) -> list[Step]:
        """Return the steps of a repetition; they are created on first use."""
        if repetition not in self.steps:
            self.steps[repetition] = [
                Step.create(self, repetition, number) for number in range(len(self.specification.steps))
            ]
        return self.steps[repetition]

    def step(self, repetition: int, number: int) -> Step:
        """Return one step of a repetition."""
        return self.repetition_steps(repetition)[number]

    def open_due_repetitions(self, now_ms: float) -> None:
        """Create the steps of all repetitions that have fallen due."""
        latest_ms = now_ms - DUE_MARGIN_MS
        while (
            self.next_repetition < self.specification.repetition_count
            and self.specification.due_ms(self.next_repetition) <= latest_ms
        ):
            self.repetition_steps(self.next_repetition)
            self.next_repetition += 1

    def ready_steps(self) -> Iterator[Step]:
        """Yield the steps with waiting tasks whose dependencies have ended."""
        for repetition, steps in self.steps.items():
            if repetition >= self.next_repetition:
                continue
            for step in steps:
                if step.waiting and all(steps[number].ended for number in step.specification.depends_on):
                    yield step

    def close_ended_repetitions(self) -> bool:
        """Count the repetitions whose steps have all ended; return whether every repetition has ended."""
        for repetition in [
            number for number, steps in self.steps.items() if steps and all(step.ended for step in steps)
        ]:
            self.repetitions_done += 1
            # The empty list stays as a marker, so that the steps are not created again.
            self.steps[repetition] = []
        return self.repetitions_done == self.specification.repetition_count

    def runs(self) -> list[Run]:
        """Return all active runs."""
        return [run for steps in self.steps.values() for step in steps for run in step.runs]

    def stored(self) -> StoredJob:
        """Return the stored form of a job that has not ended."""
        progress: list[StepProgress] = []
        for repetition, steps in self.steps.items():
            if not steps:
                progress += [
                    StepProgress(repetition, number, b"\1" * step.replica_count, [], [])
                    for number, step in enumerate(self.specification.steps)
                ]
            progress += [found for step in steps if (found := step.progress())]
        return StoredJob(self.id, self.queue, self.policy, self.accepted_ms, self.body, progress)

    @classmethod
    def restore(cls, stored: StoredJob) -> Job:
        """Return a job that was stored by an earlier primary."""
        specification = parse_job(stored.body).unwrap()
        job = cls(
            stored.job,
            stored.queue,
            stored.policy,
            specification,
            stored.body,
            stored.accepted_ms,
            inherited=True,
            started=bool(stored.progress),
        )
        for progress in stored.progress:
            job.step(progress.repetition, progress.step).restore(progress)
        job.close_ended_repetitions()
        return job


def queue_checksum(queue: str) -> int:
    """Return the checksum of a queue's name that is stored with an ended job.

    >>> queue_checksum("h /q/") == queue_checksum("h /r/")
    False
    """
    return zlib.crc32(queue.encode())


@define(slots=True, eq=False)
class JobStore:
    """The stored form of all jobs; a job is packed again only after it has changed.

    Attributes
    ----------
    term
        Term of the primary that stores them.
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
        """Update the stored form of a job."""
        if job.end is None:
            self.active[job.id] = pack(job.stored())
            return
        self.active.pop(job.id, None)
        self.ended[job.id] = EndedJob(job.id, queue_checksum(job.queue), job.end, now_ms)

    def forget(self, before_ms: int) -> None:
        """Delete the jobs that ended before a moment, in milliseconds since 1970."""
        for job_id in [ended.job for ended in self.ended.values() if ended.ended_ms < before_ms]:
            del self.ended[job_id]

    def blob(self) -> bytes:
        """Return the serialized store."""
        return pack(JobTable(self.term, list(self.active.values()), list(self.ended.values())))

    @classmethod
    def load(cls, blob: bytes) -> JobStore:
        """Deserialize a store; empty bytes give an empty store.

        Raises
        ------
        DecodeError
            The bytes are not a valid store.
        """
        if not blob:
            return cls()
        table = unpack(blob)
        active = {unpack(raw).job: raw for raw in table.active}
        return cls(table.term, active, {ended.job: ended for ended in table.ended})

    def jobs(self) -> list[Job]:
        """Return the jobs that have not ended, in order of acceptance."""
        stored = sorted((unpack(raw) for raw in self.active.values()), key=lambda job: job.accepted_ms)
        return [Job.restore(job) for job in stored]
