"""What the scheduler is told, and what it asks for.

Times are seconds of the monotonic clock, but for those that end in ``_ms``.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from .runners import RunnerListing


# -- what it is told ------------------------------------------------------------
@define(frozen=True, slots=True)
class RunnersListed:
    """The platform's complete list has come."""

    runners: tuple[RunnerListing, ...]


@define(frozen=True, slots=True)
class ZonesEvacuated:
    """The operators' orders have changed: these zones are evacuated, and no others."""

    zones: frozenset[str]


class StartResult(Enum):
    """How a runner answered an order to start a run."""

    STARTED = auto()
    # It has not started and never will by this order.
    NO_CAPACITY = auto()
    TOO_LATE = auto()
    UNHEALTHY = auto()
    UNREACHABLE = auto()
    # The run has been there, or a later one.
    OLD = auto()
    # A later primary orders this runner.
    FENCED = auto()
    # The address belongs to another instance by now.
    REPLACED = auto()
    # The order may be carried out yet.
    NO_ANSWER = auto()


@define(frozen=True, slots=True)
class StartAnswered:
    """An order to start has been answered, or not.

    Attributes
    ----------
    runner, task, number
        Of the order.
    result
        How it was answered.
    clock_ms
        The runner's clock; 0 where it did not tell.
    """

    runner: str
    task: str
    number: int
    result: StartResult
    clock_ms: float = 0.0


@define(frozen=True, slots=True)
class StopAnswered:
    """An order to stop has been answered, or not.

    Attributes
    ----------
    runner, task, number
        Of the order.
    confirmed
        Whether the runner has taken it: the run ends, and if it isn't there, it never begins.
    fenced
        Whether a later primary orders this runner.
    """

    runner: str
    task: str
    number: int
    confirmed: bool = False
    fenced: bool = False


@define(frozen=True, slots=True)
class RunningTask:
    """A run that a runner lists as under way."""

    task: str
    number: int
    checkpoint: str = ""


@define(frozen=True, slots=True)
class TaskEnd:
    """An end that a runner lists.

    Attributes
    ----------
    sequence
        The runner's number of the end.
    task, number
        Which run ended.
    how
        ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken`` or ``alone``.
    checkpoint
        What it has saved.
    """

    sequence: int
    task: str
    number: int
    how: str
    checkpoint: str = ""


@define(frozen=True, slots=True)
class HoldAnswered:
    """A runner has listed what runs there and what has ended.

    Attributes
    ----------
    runner
        Which one.
    clock_ms
        What its clock showed.
    running, ends
        What it lists.
    complete
        Whether it lists all of its ends, and not only as many as one answer holds.
    """

    runner: str
    clock_ms: float
    running: tuple[RunningTask, ...]
    ends: tuple[TaskEnd, ...]
    complete: bool = True


class DropReason(Enum):
    """Why a run was given up without an end."""

    REJECTED = "rejected"
    NEVER_BEGAN = "never began"
    HOLD_LAPSED = "hold lapsed"
    REPLACED = "runner replaced"


@define(frozen=True, slots=True)
class DroppedRun:
    """A run that was given up without an end, for the log.

    Attributes
    ----------
    task, number, runner
        The run, and where it was ordered.
    reason
        What is known of it.
    phase
        How far it had come, as far as was known.
    unanswered
        Whether an order to start it was left without an answer.
    ordered_s, listed_s
        How long ago it was first ordered, and the newest call to hold its runner was made, in seconds.
    hold_left_s
        For how much longer the runner may hold it, in seconds.
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
    """Why a call to hold a runner brought no list."""

    NO_ANSWER = auto()
    FENCED = auto()
    REPLACED = auto()


@define(frozen=True, slots=True)
class HoldFailed:
    """A call to hold a runner brought no list."""

    runner: str
    why: HoldFailure


Event = RunnersListed | ZonesEvacuated | StartAnswered | StopAnswered | HoldAnswered | HoldFailed


# -- what it asks for -----------------------------------------------------------
@define(frozen=True, slots=True)
class StartRun:
    """Order a runner to start a run.

    Attributes
    ----------
    runner, address
        The instance and its HOST:PORT.
    task, number
        The task's name and the run's number.
    task_spec
        The text for the task.
    deadline_ms
        Until when it is held, on the runner's clock.
    checkpoint
        What to resume from, or empty.
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
    """Order a runner to stop a run."""

    runner: str
    address: str
    task: str
    number: int


@define(frozen=True, slots=True)
class HoldRunner:
    """Hold what runs on a runner, and ask what runs and what has ended.

    Attributes
    ----------
    deadline_ms
        Until when it is held, on the runner's clock; 0 to hold nothing.
    last_seen
        The newest end that it may forget.
    wait_ms
        For how long it may wait for an end before it answers.
    """

    runner: str
    address: str
    deadline_ms: int
    last_seen: int
    wait_ms: int


Instruction = StartRun | StopRun | HoldRunner
