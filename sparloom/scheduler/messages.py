"""Records between routers and the job primary, and the form in which jobs are stored.

Tags, order and kinds of the fields are the wire format and the format on
disk: they never change. Names of fields are not transmitted and may change.
"""

from __future__ import annotations

from enum import IntEnum

from sparloom.codec import Record, UInt8, UInt16, UInt32, UInt64, record


class JobAction(IntEnum):
    """What a client asks for."""

    SUBMIT = 0
    SHOW = 1
    CANCEL = 2
    COUNT = 3


class JobOutcome(IntEnum):
    """What became of a call.

    ``UNKNOWN``: it may have taken effect, or may yet. ``NOT_PRIMARY``,
    ``REJECTED`` and ``INVALID``: it did not take effect and never will.
    """

    OK = 0
    GONE = 1
    REJECTED = 2
    UNKNOWN = 3
    NOT_PRIMARY = 4
    INVALID = 5


class JobState(IntEnum):
    """The state of a job, as clients see it; the values are stored."""

    QUEUED = 0
    SERVING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def ended(self) -> bool:
        """Whether nothing of the job is to be started any more.

        >>> JobState.SERVING.ended, JobState.FAILED.ended
        (False, True)
        """
        return self >= JobState.COMPLETED


@record(110)
class QueuePolicy(Record):
    """What the configuration says of a queue, as the router that took the call has it.

    Attributes
    ----------
    revision
        The configuration's revision.
    service
        The service whose runners run the queue's tasks.
    priority
        0 comes first.
    maximum_attempts
        How often a task, or a gang, may fail.
    """

    revision: UInt64
    service: str
    priority: UInt16
    maximum_attempts: UInt16


@record(111)
class JobCall(Record):
    """A client's call, from a router to the job primary.

    Attributes
    ----------
    number
        Counts the calls on a connection; the reply repeats it.
    action
        A ``JobAction``.
    job
        The job's id; 0 for ``COUNT``.
    queue
        Host and path prefix of the queue.
    policy
        What the configuration says of the queue.
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
        The jobs that wait, for ``COUNT``.
    text
        What is wrong (``INVALID``), or the primary's HOST:PORT if it is known (``NOT_PRIMARY``); otherwise the
        question that is answered (``question_of``), which programs from before it leave empty.
    """

    number: UInt32
    outcome: UInt8
    state: UInt8
    count: UInt32
    text: str


def question_of(call: JobCall) -> str:
    """Return what a call asks, for the reply to name.

    >>> question_of(JobCall(1, JobAction.SHOW, 171, "h /q/", QueuePolicy(1, "s", 0, 3), b""))
    'SHOW 00000000000000ab'
    """
    return f"{JobAction(call.action).name} {call.job:016x}"


def answers(call: JobCall, reply: JobReply) -> bool:
    """Return whether a reply with the call's number may be the answer to it.

    >>> call = JobCall(1, JobAction.SHOW, 171, "h /q/", QueuePolicy(1, "s", 0, 3), b"")
    >>> answers(call, JobReply(1, JobOutcome.OK, 0, 0, "SHOW 00000000000000ab"))
    True
    >>> answers(call, JobReply(1, JobOutcome.OK, 0, 0, "SHOW 00000000000000ac"))
    False
    """
    if reply.number != call.number:
        return False
    if reply.outcome == JobOutcome.NOT_PRIMARY:
        return True
    if reply.outcome == JobOutcome.INVALID:
        return call.action == JobAction.SUBMIT
    return reply.text in ("", question_of(call))


@record(117)
class FailedRun(Record):
    """A run that has ended ``failed`` and is counted.

    Attributes
    ----------
    task
        Index of its task; of a gang, 0.
    run
        The run's number.
    """

    task: UInt16
    run: UInt64


@record(118)
class FailedRuns(Record):
    """The runs of a step that have ended ``failed``: the end of each is listed until its runner may forget it."""

    runs: list[FailedRun]


@record(113)
class StepProgress(Record):
    """What has become of one step at one time.

    Attributes
    ----------
    time, step
        Number of the time and of the step.
    done
        A byte for each task, 1 for those that ended ``done``; then, if any run has ended ``failed``, a packed
        ``FailedRuns``, which programs from before it pass over.
    failures
        How often each task failed; of a gang, the first element counts for all.
    checkpoints
        The newest checkpoint of each task; empty where there is none at all.
    """

    time: UInt32
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
        The steps of which something has ended.
    """

    job: UInt64
    queue: str
    policy: QueuePolicy
    accepted_ms: UInt64
    body: bytes
    progress: list[StepProgress]


@record(115)
class EndedJob(Record):
    """A job that has ended, kept for those who ask for its state.

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
    """All that is stored of jobs.

    Attributes
    ----------
    term
        Counts the primaries that have ordered runners; it is their fence.
    active
        The packed ``StoredJob`` of each job that has not ended.
    ended
        The jobs that have ended.
    """

    term: UInt32
    active: list[bytes]
    ended: list[EndedJob]
