"""Parses and validates the body of a job as submitted by a client; the first error is reported in one sentence."""

from __future__ import annotations

import json
from typing import Any

from attrs import define
from returns.result import Failure, Result, Success

from sparloom.errors import SparloomError

MAXIMUM_TASK_SPEC_BYTES = 4000
MAXIMUM_STEPS = 64
MAXIMUM_TASKS_OF_STEP = 4096
MAXIMUM_TASKS_OF_JOB = 16384
MAXIMUM_REPETITIONS = 100_000
MAXIMUM_NUMBER = 1 << 53


class JobBodyError(SparloomError):
    """An invalid job body; the message is the sentence for the client."""


@define(frozen=True, slots=True)
class Resources:
    """The resources that a task needs, or that a runner has.

    Attributes
    ----------
    cpu
        Thousandths of a core.
    memory_mb
        Memory in MB.
    gpus
        Number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum.

        >>> Resources(1, 2, 3).plus(Resources(1, 1, 0))
        Resources(cpu=2, memory_mb=3, gpus=3)
        """
        return Resources(self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpus + other.gpus)

    def minus(self, other: Resources) -> Resources:
        """Return the difference.

        >>> Resources(2, 3, 3).minus(Resources(1, 1, 0))
        Resources(cpu=1, memory_mb=2, gpus=3)
        """
        return Resources(self.cpu - other.cpu, self.memory_mb - other.memory_mb, self.gpus - other.gpus)

    def covers(self, other: Resources) -> bool:
        """Whether the other needs no more of any resource.

        >>> Resources(2, 2).covers(Resources(1, 2)), Resources(2, 2).covers(Resources(1, 3))
        (True, False)
        """
        return other.cpu <= self.cpu and other.memory_mb <= self.memory_mb and other.gpus <= self.gpus


@define(frozen=True, slots=True)
class StepSpecification:
    """One step of a job: a number of identical tasks.

    Attributes
    ----------
    replica_count
        Number of tasks.
    needs
        Resources that each task needs.
    estimated_ms
        The client's estimate of a task's run time, in milliseconds; 0 if there is none.
    depends_on
        Indexes of the steps that must end first.
    checkpoints
        Whether a task can resume from a checkpoint.
    gang
        Whether the tasks work only when all of them run at the same time.
    same_rack
        Whether the tasks run slowly if they are spread over several racks.
    requirement
        A label that the runner must have, or empty.
    affinity
        The rack that stores the data, or empty.
    anti_affinity
        Maximum number of the step's tasks on one runner; 0 for no limit.
    long_running
        Whether the tasks run until the job is cancelled.
    """

    replica_count: int
    needs: Resources
    estimated_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    requirement: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    long_running: bool = False


@define(frozen=True, slots=True)
class JobSpecification:
    """A job as specified by its client.

    Attributes
    ----------
    task_spec
        The text that each start request of a task contains.
    steps
        The steps, by index.
    repetitions
        Number of repetitions as sent by the client; 0 for a single, immediate execution.
    initial_delay_ms, interval_ms
        Repetition K falls due at ``initial_delay_ms`` + K x ``interval_ms``, in milliseconds since 1970.
    """

    task_spec: str
    steps: tuple[StepSpecification, ...]
    repetitions: int = 0
    initial_delay_ms: int = 0
    interval_ms: int = 0

    @property
    def repetition_count(self) -> int:
        """How many times the steps are executed; at least 1."""
        return max(1, self.repetitions)

    @property
    def long_running(self) -> bool:
        """Whether any task runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)

    def due_ms(self, repetition: int) -> int:
        """Return when a repetition falls due, in milliseconds since 1970; 0 for a job without repetitions.

        >>> JobSpecification("", (), 3, 1000, 500).due_ms(2), JobSpecification("", ()).due_ms(0)
        (2000, 0)
        """
        return self.initial_delay_ms + repetition * self.interval_ms if self.repetitions else 0


def _number(item: dict[str, Any], key: str, where: str, maximum: int = MAXIMUM_NUMBER) -> int:
    value = item.get(key, 0)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int or not 0 <= value <= maximum:
        raise JobBodyError(f"{where}{key} must be a whole number from 0 to {maximum}")
    return value


def _flag(item: dict[str, Any], key: str, where: str) -> bool:
    value = item.get(key, False)
    if type(value) is not bool:
        raise JobBodyError(f"{where}{key} must be true or false")
    return value


def _string(item: dict[str, Any], key: str, where: str) -> str:
    value = item.get(key, "")
    if isinstance(value, list) and len(value) == 1:
        value = value[0]
    if type(value) is not str:
        raise JobBodyError(f"{where}{key} must be a text")
    return value


def _depends_on(item: dict[str, Any], number: int, where: str) -> tuple[int, ...]:
    value = item.get("dependsOn", [])
    if not isinstance(value, list) or not all(type(step) is int and 0 <= step < number for step in value):
        raise JobBodyError(f"{where}dependsOn must be a list of numbers of earlier steps")
    return tuple(value)


def _step(item: Any, number: int, document: dict[str, Any]) -> StepSpecification:
    where = f"steps.{number}."
    if not isinstance(item, dict):
        raise JobBodyError(f"steps.{number} must be an object")
    replica_count = _number(item, "replicaCount", where, MAXIMUM_TASKS_OF_STEP)
    if not replica_count:
        raise JobBodyError(f"{where}replicaCount must be at least 1")
    needs = Resources(
        _number(item, "cpu", where), _number(item, "memoryRequestMb", where), _number(item, "gpuCount", where)
    )
    return StepSpecification(
        replica_count=replica_count,
        needs=needs,
        estimated_ms=_number(item, "estimatedMs", where),
        depends_on=_depends_on(item, number, where),
        checkpoints=_flag(item, "checkpoints", where),
        gang=_flag(item, "gangScheduled", where),
        same_rack=_flag(item, "sameRack", where),
        requirement=_string(item, "requirements", where),
        affinity=_string(item, "affinity", where),
        anti_affinity=_number(item, "antiAffinity", where),
        long_running=_flag(item, "longRunning", where) or _flag(document, "longRunning", ""),
    )


def _job(document: Any) -> JobSpecification:
    if not isinstance(document, dict):
        raise JobBodyError("the body must be an object")
    task_spec = _string(document, "taskSpec", "")
    if len(task_spec.encode()) > MAXIMUM_TASK_SPEC_BYTES:
        raise JobBodyError(f"taskSpec must not be longer than {MAXIMUM_TASK_SPEC_BYTES} bytes")
    raw_steps = document.get("steps")
    if not isinstance(raw_steps, list) or not 0 < len(raw_steps) <= MAXIMUM_STEPS:
        raise JobBodyError(f"steps must be a list of 1 to {MAXIMUM_STEPS} steps")
    steps = tuple(_step(item, number, document) for number, item in enumerate(raw_steps))
    if sum(step.replica_count for step in steps) > MAXIMUM_TASKS_OF_JOB:
        raise JobBodyError(f"a job must not have more than {MAXIMUM_TASKS_OF_JOB} tasks")
    return JobSpecification(
        task_spec=task_spec,
        steps=steps,
        repetitions=_number(document, "repetitions", "", MAXIMUM_REPETITIONS),
        initial_delay_ms=_number(document, "initialDelayMs", ""),
        interval_ms=_number(document, "intervalMs", ""),
    )


def parse_job(body: bytes) -> Result[JobSpecification, str]:
    """Parse and validate a job's body; a failure holds a sentence about the first error.

    >>> parse_job(b"[]").failure()
    'the body must be an object'
    >>> parse_job(b'{"steps":[{"replicaCount":2}]}').unwrap().steps[0].replica_count
    2
    """
    try:
        return Success(_job(json.loads(body)))
    except JobBodyError as error:
        return Failure(str(error))
    except (ValueError, RecursionError) as error:
        return Failure(f"the body is not JSON: {error}")
