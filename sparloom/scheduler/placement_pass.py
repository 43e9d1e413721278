"""One pass over the jobs of which something waits: what is started now, and what must wait for something earlier."""

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

# What has waited for so long holds back whatever comes later for the same runners, in seconds.
HOLDS_BACK_AFTER_S = 1.5
# Whatever it waits for may never come about, so in each period of so many seconds others get their turn as well.
HOLD_BACK_PERIOD_S = 8.0
# A gang is waited for only if it takes less than this part of all capacity there is.
GANG_CAPACITY_PART = 0.6
# While less than this part of a service's processor is in use, others may wait for some 3 s only (RULES: half of it).
BUSY_USE = 0.55
# So they wait for no longer than this, in seconds of each period.
QUIET_HOLD_S = 2.0
# What would take no more than this part beside all that runs doesn't wait for what others use.
IDLE_USE = 0.25


@define(slots=True, eq=False)
class PlacementPass:
    """One pass.

    Attributes
    ----------
    now, now_ms
        Seconds of the monotonic clock, and the time of day in milliseconds since 1970.
    adopted
        Whether it is known what runs of earlier terms are under way.
    jobs, runners
        By id.
    indexes
        The runners that take starts, by service.
    start
        Orders the starts of some tasks of a step.
    """

    now: float
    now_ms: float
    adopted: bool
    jobs: Mapping[int, Job]
    runners: Mapping[str, Runner]
    indexes: Mapping[str, RunnerIndex]
    start: Callable[[Step, list[Placement]], None]
    # Services whose later jobs wait.
    _held_back: set[str] = field(factory=set)
    # What a task needs for which no runner of the service had capacity in this pass.
    _too_large: dict[str, list[Resources]] = field(factory=dict)

    def run(self, queue: JobQueue) -> None:
        """Start what may start, in the order of the queue; jobs of which nothing waits leave it."""
        for job_id in queue.ids():
            job = self.jobs[job_id]
            if job.inherited and not self.adopted:
                continue
            job.open_due_times(self.now_ms)
            steps = list(job.ready_steps()) if job.end is None else []
            if not steps:
                queue.rest(job)
                continue
            if job.policy.service in self._held_back:
                # Tasks that last are to be at work all the time: they wait for nobody.
                steps = [step for step in steps if step.specification.long_running]
            if not self._place_job(steps):
                self._held_back.add(job.policy.service)

    def _place_job(self, steps: list[Step]) -> bool:
        """Start what fits of a job's steps; return whether what comes later may start as well."""
        for step in steps:
            index = self.indexes.get(step.job.policy.service)
            if index is not None and self._place_step(step, index):
                step.waiting_since = None
            elif self._is_held_back_by(step):
                return False
        return True

    def _place_step(self, step: Step, index: RunnerIndex) -> bool:
        """Start what fits of a step; return whether nothing is left of it that could be started."""
        if step.specification.gang:
            return self._place_gang(step, index)
        needs = step.specification.needs
        too_large = self._too_large.setdefault(step.job.policy.service, [])
        if any(needs.covers(other) for other in too_large):
            return False
        if self._place_tasks(step, index):
            return True
        if not step.specification.requirement and not step.specification.anti_affinity:
            too_large.append(needs)
        return False

    def _place_tasks(self, step: Step, index: RunnerIndex) -> bool:
        """Start tasks of a step as far as there is capacity; return whether none is left that could be started."""
        for _ in range(len(step.waiting)):
            task = step.tasks[step.waiting[0]]
            if task.not_before > self.now:
                step.waiting.rotate(-1)
                continue
            runner = index.choose_near(step, self.now)
            if runner is None:
                return False
            self.start(step, [Placement(task.index, runner)])
        return True

    def _place_gang(self, step: Step, index: RunnerIndex) -> bool:
        """Start all tasks of a gang at once, once none of an earlier run is under way."""
        if step.runs or any(task.not_before > self.now for task in step.tasks):
            return True
        placements = index.place_gang(step, self.now)
        if placements is None:
            return False
        self.start(step, placements)
        return True

    def _is_held_back_by(self, step: Step) -> bool:
        """Whether a step has waited for so long that what comes later must wait for it."""
        if step.waiting_since is None:
            step.waiting_since = self.now
        waited = (self.now - step.waiting_since) % HOLD_BACK_PERIOD_S
        if waited < HOLDS_BACK_AFTER_S:
            return False
        service = step.job.policy.service
        serving = [runner for runner in self.runners.values() if runner.serving and runner.listing.service == service]
        return self._has_reason_to_wait(step, serving) and self._may_ever_fit(step, serving)

    def _has_reason_to_wait(self, step: Step, serving: list[Runner]) -> bool:
        """Whether capacity that others use is what a step waits for, and how long that may go on in quiet times."""
        used = sum(runner.used.cpu for runner in serving)
        capacity = sum(runner.listing.capacity.cpu for runner in serving)
        if used >= capacity * BUSY_USE:
            step.quiet_since = None
            return True
        waits_for = step.specification.needs.cpu * len(step.waiting)
        if used + waits_for < capacity * IDLE_USE:
            return False
        if step.quiet_since is None or self.now - step.quiet_since >= HOLD_BACK_PERIOD_S:
            step.quiet_since = self.now
        return self.now - step.quiet_since < QUIET_HOLD_S

    @staticmethod
    def _may_ever_fit(step: Step, serving: list[Runner]) -> bool:
        """Whether the step's runners, of those that take starts, would have capacity if nothing else ran there."""
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
        return specification.replica_count * specification.needs.cpu <= capacity * GANG_CAPACITY_PART
