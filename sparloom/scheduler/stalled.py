"""Finds tasks that have been waiting, starting or stopping for too long, to report them to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from .runners import RunPhase

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .jobs import Job, Step

# A task that has been waiting, starting or stopping for longer than this is reported.
STALLED_AFTER_S = 10.0


@define(frozen=True, slots=True)
class StalledTask:
    """A task that has been in a transitional state for too long.

    Attributes
    ----------
    name
        Its name on the wire.
    state
        ``waiting``, ``starting`` or ``stopping``.
    runner
        The runner that should start or stop it; empty for a waiting task.
    duration_s
        Time in this state, in seconds.
    """

    name: str
    state: str
    runner: str
    duration_s: float


def _stalled_runs(step: Step, now: float) -> Iterator[StalledTask]:
    for run in step.runs:
        duration_s = now - run.first_requested_at
        if run.phase is RunPhase.STARTING and duration_s > STALLED_AFTER_S:
            yield StalledTask(run.name, "starting", run.runner.listing.id, duration_s)
        stopping_for_s = now - run.requested_at
        if run.phase is RunPhase.STOPPING and stopping_for_s > STALLED_AFTER_S:
            yield StalledTask(run.name, "stopping", run.runner.listing.id, stopping_for_s)


def _waiting(step: Step, now: float) -> Iterator[StalledTask]:
    if step.waiting_since is not None and now - step.waiting_since > STALLED_AFTER_S and step.waiting:
        yield StalledTask(step.task_name(step.waiting[0]), "waiting", "", now - step.waiting_since)


def stalled_tasks(jobs: Iterable[Job], now: float) -> Iterator[StalledTask]:
    """Yield the stalled tasks of some jobs; of a waiting step, only the first task."""
    for job in jobs:
        for steps in job.steps.values():
            for step in steps:
                yield from _stalled_runs(step, now)
                if job.end is None:
                    yield from _waiting(step, now)
