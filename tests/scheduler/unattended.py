"""Invariant of the scheduler's state: each task that is ready is either tracked by a run or queued for a start."""

from math import inf

from sparloom.scheduler.runners import RunPhase


def _run_violation(scheduler, run):
    """Return why the scheduler will not follow up on a run; None if it will."""
    runner = run.runner
    if scheduler.runners.get(runner.listing.id) is not runner:
        return "its runner is no longer tracked"
    if runner.runs.get(run.name) is not run:
        return "its runner does not track the run"
    if runner.hold_until == inf:
        return "its hold never lapses"
    if run.phase is RunPhase.STARTING and not run.request_in_flight and not run.unanswered:
        return "its start request is neither in flight nor unanswered"
    return None


def _task_violation(scheduler, step, task):
    """Return why the scheduler will not follow up on a ready task; None if it will."""
    if task.run is not None:
        if task.index in step.waiting:
            return "it is both running and waiting"
        return _run_violation(scheduler, task.run)
    if task.index not in step.waiting:
        return "it neither runs nor waits"
    if step.job.id not in scheduler._queue.ids():
        return "it waits, and its job is not queued"
    return None


def _missing_jobs(scheduler):
    for job_id in scheduler._queue.ids():
        if job_id not in scheduler.jobs:
            yield f"{job_id:016x}", "it is queued but not tracked"


def _mismatched_runs(scheduler):
    for runner in scheduler.runners.values():
        for run in runner.runs.values():
            if run.task.run is not run and not run.task.done and run.step.job.end is None:
                yield run.name, f"{runner.listing.id} has a run that is not the task's current run"


def _ready_steps(scheduler):
    for job in scheduler.jobs.values():
        for repetition, steps in job.steps.items():
            if job.end is None and repetition < job.next_repetition:
                yield from (
                    step for step in steps if all(steps[number].ended for number in step.specification.depends_on)
                )


def unhandled_tasks(scheduler):
    """Yield each task or job that violates the invariant, and the reason."""
    yield from _missing_jobs(scheduler)
    yield from _mismatched_runs(scheduler)
    for step in _ready_steps(scheduler):
        for task in step.tasks:
            reason = None if task.done else _task_violation(scheduler, step, task)
            if reason is not None:
                yield step.task_name(task.index), reason
