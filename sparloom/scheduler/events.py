"""The scheduler's input events and output instructions.

Times are seconds of the monotonic clock, except those whose names end in ``_ms``.
A *hold* is a lease on everything that runs on a runner: when its deadline passes on the runner's clock, the runner
ends its runs. An *end* is a runner's record that a run has ended; the runner lists it until it is acknowledged.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from .runners import RunnerListing


# -- events ---------------------------------------------------------------------
@define(frozen=True, slots=True)
class RunnersListed:
    """The platform's complete list of runners was received."""

    runners: tuple[RunnerListing, ...]


@define(frozen=True, slots=True)
class ZonesEvacuated:
    """The set of evacuated zones has changed; ``zones`` is the complete new set."""

    zones: frozenset[str]


class StartResult(Enum):
    """A runner's answer to a start request."""

    STARTED = auto()
    # The run has not started, and this request will never start it.
    NO_CAPACITY = auto()
    TOO_LATE = auto()
    UNHEALTHY = auto()
    UNREACHABLE = auto()
    # The runner has already had this run or a later one of the task.
    OLD = auto()
    # The runner has seen the fencing token of a later primary.
    FENCED = auto()
    # The address now belongs to another instance.
    REPLACED = auto()
    # The outcome is unknown; the runner may still carry the request out.
    NO_ANSWER = auto()


@define(frozen=True, slots=True)
class StartAnswered:
    """A start request was answered, or timed out.

    Attributes
    ----------
    runner, task, number
        The run that was to be started.
    result
        The runner's answer.
    clock_ms
        The runner's clock; 0 if the answer did not contain it.
    """

    runner: str
    task: str
    number: int
    result: StartResult
    clock_ms: float = 0.0


@define(frozen=True, slots=True)
class StopAnswered:
    """A stop request was answered, or timed out.

    Attributes
    ----------
    runner, task, number
        The run that was to be stopped.
    confirmed
        Whether the runner accepted it: the run ends, and a run that has not started never starts.
    fenced
        Whether the runner has seen the fencing token of a later primary.
    """

    runner: str
    task: str
    number: int
    confirmed: bool = False
    fenced: bool = False


@define(frozen=True, slots=True)
class RunningTask:
    """A run that a runner lists as running."""

    task: str
    number: int
    checkpoint: str = ""


@define(frozen=True, slots=True)
class TaskEnd:
    """The record of an ended run, as a runner lists it.

    Attributes
    ----------
    sequence
        Position in the runner's sequence of ends.
    task, number
        The run that ended.
    outcome
        ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken`` or ``alone``.
    checkpoint
        The newest checkpoint of the run, or empty.
    """

    sequence: int
    task: str
    number: int
    outcome: str
    checkpoint: str = ""


@define(frozen=True, slots=True)
class HoldAnswered:
    """A runner has answered a hold call with its running and ended runs.

    Attributes
    ----------
    runner
        Id of the runner.
    clock_ms
        The runner's clock when it answered.
    running, ends
        The listed runs and ends.
    complete
        False if the runner has more ends than one answer can contain.
    """

    runner: str
    clock_ms: float
    running: tuple[RunningTask, ...]
    ends: tuple[TaskEnd, ...]
    complete: bool = True


class DropReason(Enum):
    """Why a run was dropped without an end."""

    REJECTED = "rejected"
    NEVER_STARTED = "never began"
    HOLD_LAPSED = "hold lapsed"
    REPLACED = "runner replaced"


@define(frozen=True, slots=True)
class DroppedRun:
    """A run that was dropped without an end, for the log.

    Attributes
    ----------
    task, number, runner
        The run and the runner that was asked to start it.
    reason
        Why it was dropped.
    phase
        Its last known phase.
    unanswered
        Whether a start request for it timed out.
    ordered_s, listed_s
        Seconds since its first start request, and since the newest hold call to its runner.
    hold_left_s
        Seconds until the hold of its runner has certainly lapsed.
    """

    task: str
    number: int
    runner: str
    reason: DropReason
    phase: str
    unanswered: bool
    ordered_s: float
    listed_s: float
    hold_left_s: float


class HoldFailure(Enum):
    """Why a hold call to a runner failed."""

    NO_ANSWER = auto()
    FENCED = auto()
    REPLACED = auto()


@define(frozen=True, slots=True)
class HoldFailed:
    """A hold call to a runner failed."""

    runner: str
    reason: HoldFailure


Event = RunnersListed | ZonesEvacuated | StartAnswered | StopAnswered | HoldAnswered | HoldFailed


# -- instructions ---------------------------------------------------------------
@define(frozen=True, slots=True)
class StartRun:
    """Ask a runner to start a run.

    Attributes
    ----------
    runner, address
        The instance and its HOST:PORT.
    task, number
        The task's name and the run's number.
    task_spec
        The job's ``taskSpec``, passed to the task.
    deadline_ms
        Deadline of the hold, on the runner's clock.
    checkpoint
        The checkpoint to resume from, or empty.
    """

    runner: str
    address: str
    task: str
    number: int
    task_spec: str
    deadline_ms: int
    checkpoint: str


@define(frozen=True, slots=True)
class StopRun:
    """Ask a runner to stop a run."""

    runner: str
    address: str
    task: str
    number: int


@define(frozen=True, slots=True)
class HoldRunner:
    """Extend the hold of a runner, and ask for its running and ended runs.

    Attributes
    ----------
    deadline_ms
        Deadline of the hold, on the runner's clock; 0 to leave the hold unchanged.
    last_seen
        Sequence number of the newest acknowledged end; the runner may forget it and all earlier ones.
    wait_ms
        How long the runner may wait for an end before it answers.
    """

    runner: str
    address: str
    deadline_ms: int
    last_seen: int
    wait_ms: int


Instruction = StartRun | StopRun | HoldRunner
