"""Records exchanged between routers and the job primary, and the stored form of jobs.

The tags, the order and the types of the fields define the wire format and the
format on disk, so they never change. Field names are not transmitted and may
change.
"""

from __future__ import annotations

from enum import IntEnum

from sparloom.codec import Record, UInt8, UInt16, UInt32, UInt64, record


class JobAction(IntEnum):
    """The operation that a client requests."""

    SUBMIT = 0
    SHOW = 1
    CANCEL = 2
    COUNT = 3


class JobOutcome(IntEnum):
    """The result of a call.

    ``UNKNOWN``: the call may have taken effect, or may still do so.
    ``NOT_PRIMARY``, ``REJECTED`` and ``INVALID``: it had no effect and never will.
    """

    OK = 0
    GONE = 1
    REJECTED = 2
    UNKNOWN = 3
    NOT_PRIMARY = 4
    INVALID = 5


class JobState(IntEnum):
    """The state of a job, as clients see it; the numeric values are stored."""

    QUEUED = 0
    SERVING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def ended(self) -> bool:
        """Whether the job has ended, so that none of its tasks is started any more.

        >>> JobState.SERVING.ended, JobState.FAILED.ended
        (False, True)
        """
        return self >= JobState.COMPLETED


@record(110)
class QueuePolicy(Record):
    """The configuration of a queue, as known to the router that received the call.

    Attributes
    ----------
    revision
        The configuration's revision.
    service
        The service whose runners run the queue's tasks.
    priority
        Jobs with a lower number are served first; 0 is the highest priority.
    maximum_attempts
        Number of failed attempts of a task, or of a gang, after which the job fails.
    """

    revision: UInt64
    service: str
    priority: UInt16
    maximum_attempts: UInt16


@record(111)
class JobCall(Record):
    """A client's call, sent by a router to the job primary.

    Attributes
    ----------
    number
        Sequence number of the call on its connection; the reply repeats it.
    action
        A ``JobAction``.
    job
        The job's id; 0 for ``COUNT``.
    queue
        Host and path prefix of the queue.
    policy
        The queue's configuration.
    body
        The job, for ``SUBMIT``.
    """

    number: UInt32
    action: UInt8
    job: UInt64
    queue: str
    policy: QueuePolicy
    body: bytes


@record(112)
class JobReply(Record):
    """The answer to a call.

    Attributes
    ----------
    outcome
        A ``JobOutcome``.
    state
        A ``JobState``, for ``SHOW``.
    count
        The number of waiting jobs, for ``COUNT``.
    text
        What is wrong (``INVALID``), or the primary's HOST:PORT if it is known (``NOT_PRIMARY``); otherwise the
        summary of the call that is answered (``call_summary``), which older programs leave empty.
    """

    number: UInt32
    outcome: UInt8
    state: UInt8
    count: UInt32
    text: str


def call_summary(call: JobCall) -> str:
    """Return a summary of a call, which its reply repeats.

    >>> call_summary(JobCall(1, JobAction.SHOW, 171, "h /q/", QueuePolicy(1, "s", 0, 3), b""))
    'SHOW 00000000000000ab'
    """
    return f"{JobAction(call.action).name} {call.job:016x}"


def reply_matches(call: JobCall, reply: JobReply) -> bool:
    """Return whether a reply matches a call: its number, its outcome and the repeated summary.

    >>> call = JobCall(1, JobAction.SHOW, 171, "h /q/", QueuePolicy(1, "s", 0, 3), b"")
    >>> reply_matches(call, JobReply(1, JobOutcome.OK, 0, 0, "SHOW 00000000000000ab"))
    True
    >>> reply_matches(call, JobReply(1, JobOutcome.OK, 0, 0, "SHOW 00000000000000ac"))
    False
    """
    if reply.number != call.number:
        return False
    if reply.outcome == JobOutcome.NOT_PRIMARY:
        return True
    if reply.outcome == JobOutcome.INVALID:
        return call.action == JobAction.SUBMIT
    return reply.text in ("", call_summary(call))


@record(117)
class FailedRun(Record):
    """A run that ended ``failed`` and was counted as an attempt.

    Attributes
    ----------
    task
        Index of its task; 0 for a gang.
    run
        The run's number.
    """

    task: UInt16
    run: UInt64


@record(118)
class FailedRuns(Record):
    """The counted failed runs of a step.

    They are stored because a runner lists an end, also to the next primary, until it is allowed to forget it.
    """

    runs: list[FailedRun]


@record(113)
class StepProgress(Record):
    """The progress of one step in one repetition.

    Attributes
    ----------
    repetition, step
        Index of the repetition and of the step.
    done
        A byte for each task, 1 for those that ended ``done``. If any run has ended ``failed``, a packed ``FailedRuns``
        follows, which older programs ignore.
    failures
        Number of failed runs of each task; for a gang, the first element counts for all.
    checkpoints
        The newest checkpoint of each task; an empty list if no task has one.
    """

    repetition: UInt32
    step: UInt16
    done: bytes
    failures: list[UInt16]
    checkpoints: list[str]


@record(114)
class StoredJob(Record):
    """A job that has not ended.

    Attributes
    ----------
    accepted_ms
        When it was accepted, in milliseconds since 1970.
    body
        The body as the client sent it.
    progress
        The progress of each step that has any.
    """

    job: UInt64
    queue: str
    policy: QueuePolicy
    accepted_ms: UInt64
    body: bytes
    progress: list[StepProgress]


@record(115)
class EndedJob(Record):
    """A job that has ended; it remains stored so that clients can query its state.

    Attributes
    ----------
    queue
        A checksum of its queue's name.
    state
        A ``JobState``.
    ended_ms
        When it ended, in milliseconds since 1970.
    """

    job: UInt64
    queue: UInt32
    state: UInt8
    ended_ms: UInt64


@record(116)
class JobTable(Record):
    """The stored form of all jobs.

    Attributes
    ----------
    term
        Number of the newest term: it increases with each primary, which sends it to the runners as its fencing token.
    active
        The packed ``StoredJob`` of each job that has not ended.
    ended
        The jobs that have ended.
    """

    term: UInt32
    active: list[bytes]
    ended: list[EndedJob]
