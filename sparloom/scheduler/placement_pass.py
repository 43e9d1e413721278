"""A placement pass over the queued jobs: starts waiting tasks, and lets starved steps block later jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from .placement import Placement

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from .job_queue import JobQueue
    from .jobs import Job, Step
    from .placement import RunnerIndex
    from .runners import Runner
    from .specification import Resources

# A step whose tasks have waited for this long blocks later jobs of the same service.
BLOCKING_AFTER_S = 1.5
# Blocking is suspended at the start of each period of this length, for ``BLOCKING_AFTER_S``: the capacity that the
# step waits for may never become free, so other jobs get their turn as well.
BLOCKING_PERIOD_S = 8.0
# Maximum fraction of the total CPU of suitable runners that a gang may need in order to block later jobs.
MAXIMUM_GANG_CAPACITY_FRACTION = 0.6
# Below this CPU utilization of a service, other jobs may be delayed by about 3 s only. The rules set this limit at half
# of the CPU.
BUSY_UTILIZATION = 0.55
# Maximum time per period for which a step blocks later jobs while utilization is below ``BUSY_UTILIZATION``.
LOW_USE_BLOCKING_S = 2.0
# A step blocks nothing if its waiting tasks, together with all runs, would use less than this fraction of the CPU:
# such a step doesn't wait for capacity that others use.
IDLE_UTILIZATION = 0.25


@define(slots=True, eq=False)
class PlacementPass:
    """The inputs and the working state of one pass.

    Attributes
    ----------
    now, now_ms
        Seconds of the monotonic clock, and the time of day in milliseconds since 1970.
    adoption_complete
        Whether all runs of earlier terms are known; before that, jobs of earlier terms are skipped.
    jobs, runners
        By id.
    indexes
        The runners that accept starts, by service.
    start
        Callback that starts some tasks of a step.
    """

    now: float
    now_ms: float
    adoption_complete: bool
    jobs: Mapping[int, Job]
    runners: Mapping[str, Runner]
    indexes: Mapping[str, RunnerIndex]
    start: Callable[[Step, list[Placement]], None]
    # Services in which a step blocks later jobs.
    _blocked_services: set[str] = field(factory=set)
    # Resources that no runner of a service could provide in this pass, by service.
    _unplaceable: dict[str, list[Resources]] = field(factory=dict)

    def run(self, queue: JobQueue) -> None:
        """Start waiting tasks in queue order, and suspend jobs without ready steps."""
        for job_id in queue.ids():
            job = self.jobs[job_id]
            if job.inherited and not self.adoption_complete:
                continue
            job.open_due_repetitions(self.now_ms)
            steps = list(job.ready_steps()) if job.end is None else []
            if not steps:
                queue.suspend(job)
                continue
            if job.policy.service in self._blocked_services:
                # Long-running tasks should run all the time, so they are never blocked.
                steps = [step for step in steps if step.specification.long_running]
            if not self._place_job(steps):
                self._blocked_services.add(job.policy.service)

    def _place_job(self, steps: list[Step]) -> bool:
        """Start the tasks of a job's steps that fit; return False if one of its steps blocks later jobs."""
        for step in steps:
            index = self.indexes.get(step.job.policy.service)
            if index is not None and self._place_step(step, index):
                step.waiting_since = None
            elif self._blocks_later_jobs(step):
                return False
        return True

    def _place_step(self, step: Step, index: RunnerIndex) -> bool:
        """Start the tasks of a step that fit; return whether no startable task is left."""
        if step.specification.gang:
            return self._place_gang(step, index)
        needs = step.specification.needs
        unplaceable = self._unplaceable.setdefault(step.job.policy.service, [])
        if any(needs.covers(other) for other in unplaceable):
            return False
        if self._place_tasks(step, index):
            return True
        if not step.specification.requirement and not step.specification.anti_affinity:
            unplaceable.append(needs)
        return False

    def _place_tasks(self, step: Step, index: RunnerIndex) -> bool:
        """Start the tasks of a step until capacity runs out; return whether no startable task is left."""
        for _ in range(len(step.waiting)):
            task = step.tasks[step.waiting[0]]
            if task.not_before > self.now:
                step.waiting.rotate(-1)
                continue
            runner = index.choose_with_affinity(step, self.now)
            if runner is None:
                return False
            self.start(step, [Placement(task.index, runner)])
        return True

    def _place_gang(self, step: Step, index: RunnerIndex) -> bool:
        """Start all tasks of a gang at once, unless runs of an earlier attempt are still active."""
        if step.runs or any(task.not_before > self.now for task in step.tasks):
            return True
        placements = index.place_gang(step, self.now)
        if placements is None:
            return False
        self.start(step, placements)
        return True

    def _blocks_later_jobs(self, step: Step) -> bool:
        """Whether a step has waited long enough to block later jobs of its service."""
        if step.waiting_since is None:
            step.waiting_since = self.now
        waited = (self.now - step.waiting_since) % BLOCKING_PERIOD_S
        if waited < BLOCKING_AFTER_S:
            return False
        service = step.job.policy.service
        serving = [runner for runner in self.runners.values() if runner.serving and runner.listing.service == service]
        return self._needs_capacity_in_use(step, serving) and self._could_ever_fit(step, serving)

    def _needs_capacity_in_use(self, step: Step, serving: list[Runner]) -> bool:
        """Whether a step waits for capacity that other runs use; at low utilization, within a time limit."""
        used = sum(runner.used.cpu for runner in serving)
        capacity = sum(runner.listing.capacity.cpu for runner in serving)
        if used >= capacity * BUSY_UTILIZATION:
            step.low_use_since = None
            return True
        waiting_cpu = step.specification.needs.cpu * len(step.waiting)
        if used + waiting_cpu < capacity * IDLE_UTILIZATION:
            return False
        if step.low_use_since is None or self.now - step.low_use_since >= BLOCKING_PERIOD_S:
            step.low_use_since = self.now
        return self.now - step.low_use_since < LOW_USE_BLOCKING_S

    @staticmethod
    def _could_ever_fit(step: Step, serving: list[Runner]) -> bool:
        """Whether the suitable runners that accept starts would have capacity for the step if they were idle."""
        specification = step.specification
        suitable = [
            runner
            for runner in serving
            if runner.could_fit(specification.needs)
            and (not specification.requirement or specification.requirement in runner.listing.labels)
        ]
        if not specification.gang:
            return bool(suitable)
        capacity = sum(runner.listing.capacity.cpu for runner in suitable)
        return specification.replica_count * specification.needs.cpu <= capacity * MAXIMUM_GANG_CAPACITY_FRACTION
