"""What a scheduler must hold true of each task at each moment, so that none is forgotten."""

from math import inf

from sparloom.scheduler.runners import RunPhase


def _fault_of_run(scheduler, run):
    """Why a run will not be looked after; None where it will be."""
    runner = run.runner
    if scheduler.runners.get(runner.listing.id) is not runner:
        return "its runner is forgotten"
    if runner.runs.get(run.name) is not run:
        return "its runner doesn't have its run"
    if runner.hold_until == inf:
        return "its hold never lapses"
    if run.phase is RunPhase.STARTING and not run.request_in_flight and not run.unanswered:
        return "its start is neither under way nor answered"
    return None


def _fault_of_task(scheduler, step, task):
    """Why a task whose turn has come will not be looked after; None where it will be."""
    if task.run is not None:
        if task.index in step.waiting:
            return "it runs and waits"
        return _fault_of_run(scheduler, task.run)
    if task.index not in step.waiting:
        return "it neither runs nor waits"
    if step.job.id not in scheduler._queue.ids():
        return "it waits, and its job is not queued"
    return None


def _forgotten_jobs(scheduler):
    for job_id in scheduler._queue.ids():
        if job_id not in scheduler.jobs:
            yield f"{job_id:016x}", "it is queued, and forgotten"


def _strange_runs(scheduler):
    for runner in scheduler.runners.values():
        for run in runner.runs.values():
            if run.task.run is not run and not run.task.done and run.step.job.end is None:
                yield run.name, f"{runner.listing.id} has a run of it that is not its own"


def _steps_whose_turn_has_come(scheduler):
    for job in scheduler.jobs.values():
        for time, steps in job.steps.items():
            if job.end is None and time < job.next_repetition:
                yield from (
                    step for step in steps if all(steps[number].ended for number in step.specification.depends_on)
                )


def unattended(scheduler):
    """Name each task that is forgotten, and why."""
    yield from _forgotten_jobs(scheduler)
    yield from _strange_runs(scheduler)
    for step in _steps_whose_turn_has_come(scheduler):
        for task in step.tasks:
            why = None if task.done else _fault_of_task(scheduler, step, task)
            if why is not None:
                yield step.task_name(task.index), why
