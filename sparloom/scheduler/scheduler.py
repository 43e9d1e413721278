"""The scheduler: which task runs where. A state machine: events and the time in, instructions out.

One scheduler lives as long as its primary's term. What it must not do, and
why it doesn't:

- *Two runs of one task at once, or a start after an end ``done``.* A task has
  one ``Run`` at most, from the order until its end is listed, its runner's
  hold has surely lapsed, or it is known that it never began (``late_orders``).
  Jobs of an earlier term wait until each listed runner has told what runs
  there, or until all holds of that term have lapsed.
- *A start after the end was taken note of.* A runner forgets an end only once
  what followed from it is stored (``take_changes``, ``stored``).
- *Orders of an earlier primary.* Every order carries the term as its fence.
"""

from __future__ import annotations

import heapq
from functools import singledispatchmethod
from math import inf

from attrs import define, field

from .events import (
    DroppedRun,
    DropReason,
    Event,
    HoldAnswered,
    HoldFailed,
    HoldFailure,
    HoldRunner,
    Instruction,
    RunnersListed,
    RunningTask,
    StartAnswered,
    StartResult,
    StartRun,
    StopAnswered,
    StopRun,
    TaskEnd,
    ZonesEvacuated,
)
from .job_queue import JobQueue
from .jobs import RUNS_PER_TERM, Job, Step, Task
from .late_orders import STOP_INTERVAL_S, never_began
from .messages import JobState
from .placement import Placement, RunnerIndex
from .placement_pass import PlacementPass
from .runners import SLOW_CLOCK, Run, Runner, RunPhase

# Part of the longest hold that is asked for: an order that is late by the rest still finds its deadline ahead.
HOLD_PART = 0.9
# How long a call to hold may wait for an end, in milliseconds.
HOLD_WAIT_MS = 1000
# Ends are gathered for so long before the next call, in seconds.
HOLD_PAUSE_S = 0.04
HOLD_RETRY_S = 0.05
ORDER_RETRY_S = 0.4
# An end without success is followed by a new start after so long, longer with each failure, in seconds.
RESTART_DELAY_S = 0.05
LONGEST_RESTART_DELAY_S = 1.0
# A runner without room is asked again after so long, in seconds.
NO_CAPACITY_PAUSE_S = 0.3
# A gang that is not together after this part of the time for it is stopped.
GANG_PATIENCE = 0.5
# Starts are looked for anew at least so often while something waits, in seconds: runners may be avoided no longer.
PASS_INTERVAL_S = 0.1
# All runners are looked after at least so often, in seconds.
SWEEP_INTERVAL_S = 1.0
# What an earlier primary has ordered may have been held for so much longer than a hold lasts, in seconds.
ADOPTION_MARGIN_S = 1.0


@define(frozen=True, slots=True)
class JobTiming:
    """Time limits, in seconds.

    Attributes
    ----------
    hold_limit
        The longest hold.
    gang
        How long the tasks of a gang wait for each other.
    """

    hold_limit: float = 6.0
    gang: float = 4.0


@define(frozen=True, slots=True)
class CountedFailure:
    """A run that has ended ``failed`` and was counted as an attempt.

    Attributes
    ----------
    task, run, runner
        What failed, and where.
    count
        How many attempts of the task, or of its gang, have failed by now.
    allowed
        With so many the job is given up.
    """

    task: str
    run: int
    runner: str
    count: int
    allowed: int


@define(frozen=True, slots=True)
class Changes:
    """What must be stored before runners may forget the ends that led to it.

    Attributes
    ----------
    jobs
        The jobs that have changed.
    ended
        Ids of those that have ended by now; others may end while these changes are being stored.
    ends
        The newest end that was applied, by runner.
    failures
        The attempts that were counted.
    """

    jobs: tuple[Job, ...]
    ended: frozenset[int]
    ends: dict[str, int]
    failures: tuple[CountedFailure, ...] = ()


@define(slots=True, eq=False)
class Scheduler:
    """Decides where tasks run, during one term.

    Attributes
    ----------
    term
        The primary's term, which is its fence.
    started_at
        When the term began, in seconds.
    timing
        Time limits.
    jobs
        The jobs that have not ended, by id.
    runners
        The runners, by id.
    deposed
        Whether a runner has seen a higher fence: nothing more is to be ordered.
    evacuated_zones
        Zones in which nothing is to be started.
    """

    term: int
    started_at: float
    timing: JobTiming
    jobs: dict[int, Job] = field(factory=dict)
    runners: dict[str, Runner] = field(factory=dict)
    deposed: bool = False
    evacuated_zones: frozenset[str] = frozenset()
    now: float = 0.0
    now_ms: float = 0.0
    _queue: JobQueue = field(factory=JobQueue)
    _indexes: dict[str, RunnerIndex] = field(factory=dict)
    _attention: list[tuple[float, str]] = field(factory=list)
    _listed: bool = False
    _changed_jobs: dict[int, Job] = field(factory=dict)
    _unstored_ends: dict[str, int] = field(factory=dict)
    _counted: list[CountedFailure] = field(factory=list)
    _dropped: list[DroppedRun] = field(factory=list)
    _dirty: bool = True
    _next_pass_at: float = 0.0
    _next_sweep_at: float = 0.0
    _out: list[Instruction] = field(factory=list)

    # -- jobs -------------------------------------------------------------------
    def add(self, job: Job) -> None:
        """Take up a job that is stored."""
        self.jobs[job.id] = job
        self._wake(job)

    def _wake(self, job: Job) -> None:
        """Something of a job may have to be started."""
        self._queue.wake(job)
        self._dirty = True

    def cancel(self, job: Job) -> None:
        """End a job as cancelled; the caller has it stored."""
        self._end_job(job, JobState.CANCELLED)

    def _end_job(self, job: Job, state: JobState) -> None:
        if job.end is not None:
            return
        job.end = state
        self._changed_jobs[job.id] = job
        for run in job.runs():
            self._stop(run)

    def forget(self, job: Job) -> None:
        """Drop a job whose end is stored and of which nothing runs."""
        self.jobs.pop(job.id, None)
        self._queue.remove(job)

    # -- what is stored ---------------------------------------------------------
    def take_changes(self) -> Changes | None:
        """Return what is to be stored next; None where nothing has changed."""
        if not self._changed_jobs and not self._unstored_ends:
            return None
        jobs = tuple(self._changed_jobs.values())
        ended = frozenset(job.id for job in jobs if job.end is not None)
        changes = Changes(jobs, ended, self._unstored_ends, tuple(self._counted))
        self._changed_jobs, self._unstored_ends, self._counted = {}, {}, []
        return changes

    def stored(self, changes: Changes) -> None:
        """Note that changes are on the disks: runners may forget the ends that led to them."""
        for runner_id, end in changes.ends.items():
            runner = self.runners.get(runner_id)
            if runner is not None:
                runner.stored_end = max(runner.stored_end, end)
                self._attend(runner, runner.next_hold_at)
        for job in changes.jobs:
            job.end_stored = job.end_stored or job.id in changes.ended
            self._forget_if_over(job)

    def take_dropped_runs(self) -> list[DroppedRun]:
        """Return the runs that were given up without an end since this was last asked."""
        dropped, self._dropped = self._dropped, []
        return dropped

    # -- events -----------------------------------------------------------------
    def handle(self, event: Event, now: float, now_ms: float) -> list[Instruction]:
        """Take an event; return the instructions that follow from it at once; starts come with the next tick."""
        self.now, self.now_ms = now, now_ms
        self._apply(event)
        return self._take_instructions()

    def tick(self, now: float, now_ms: float) -> list[Instruction]:
        """Let time pass; ``now_ms`` is the time of day in milliseconds since 1970."""
        self.now, self.now_ms = now, now_ms
        for job_id in self._queue.take_due(now_ms):
            if job_id in self.jobs:
                self._wake(self.jobs[job_id])
        self._look_after_those_due()
        if self._dirty or (self._queue and now >= self._next_pass_at):
            self._dirty, self._next_pass_at = False, now + PASS_INTERVAL_S
            self._place()
        return self._take_instructions()

    def _take_instructions(self) -> list[Instruction]:
        out, self._out = self._out, []
        return [] if self.deposed else out

    @singledispatchmethod
    def _apply(self, event: Event) -> None:
        raise TypeError(f"expected an event of the scheduler, found {event!r}")

    @_apply.register(RunnersListed)
    def _(self, event: RunnersListed) -> None:
        self._listed = True
        listed = {listing.id for listing in event.runners}
        for listing in event.runners:
            runner = self.runners.get(listing.id)
            if runner is None:
                runner = self.runners[listing.id] = Runner(listing)
                self._attend(runner, self.now)
            else:
                runner.listing = listing
        for runner_id, runner in list(self.runners.items()):
            runner.listed = runner_id in listed
            runner.evacuated = runner.listing.zone in self.evacuated_zones
            self._reindex(runner)
            if not runner.listed and not runner.runs and not runner.calling and not runner.unsettled_orders:
                del self.runners[runner_id]
        self._dirty = True

    @_apply.register(ZonesEvacuated)
    def _(self, event: ZonesEvacuated) -> None:
        self.evacuated_zones = event.zones
        for runner in self.runners.values():
            runner.evacuated = runner.listing.zone in event.zones
            self._reindex(runner)
        self._dirty = True

    @_apply.register(StartAnswered)
    def _(self, event: StartAnswered) -> None:
        runner = self.runners.get(event.runner)
        if runner is None:
            return
        if event.clock_ms:
            runner.note_clock(event.clock_ms, self.now)
        run = runner.runs.get(event.task)
        if run is None or run.number != event.number:
            return
        run.in_call = False
        if event.result is StartResult.STARTED:
            self._on_started(run)
        elif event.result is StartResult.FENCED:
            self.deposed = True
        elif event.result is StartResult.REPLACED:
            self._on_replaced(runner)
        elif event.result is StartResult.NO_ANSWER:
            run.unanswered = True
            self._attend(runner, run.ordered_at + ORDER_RETRY_S)
        elif run.unanswered or event.result is StartResult.OLD:
            self._on_rejected_repeat(run, event.result)
        else:
            self._on_not_started(run, event.result)

    def _on_rejected_repeat(self, run: Run, result: StartResult) -> None:
        """A start was turned away, but an earlier order for the run may have been carried out, or may be yet."""
        if run.phase is not RunPhase.STARTING or result is StartResult.UNREACHABLE:
            self._attend(run.runner, run.ordered_at + ORDER_RETRY_S)
        elif result in (StartResult.TOO_LATE, StartResult.OLD):
            self._await_list(run)
        else:
            run.runner.avoid(self.now)
            self._stop_with_gang(run)

    def _await_list(self, run: Run) -> None:
        """Leave it to the next list what has become of a run that can't be started any more."""
        if run.rejected_at is None:
            run.rejected_at = self.now
            self._hold_soon(run.runner)

    def _on_started(self, run: Run) -> None:
        run.began = run.step.job.begun = True
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if run.step.job.end is not None or run.phase is RunPhase.STOPPING:
            self._stop(run, again=True)
        self._hold_soon(run.runner)

    def _on_not_started(self, run: Run, result: StartResult) -> None:
        """A runner has turned a start away and will not carry it out."""
        runner = run.runner
        if result is StartResult.NO_CAPACITY:
            runner.avoid_until = max(runner.avoid_until, self.now + NO_CAPACITY_PAUSE_S)
        elif result is StartResult.TOO_LATE:
            self._hold_soon(runner)
        elif result is not StartResult.OLD:
            runner.avoid(self.now)
        self._drop_run(run, DropReason.REJECTED)

    @_apply.register(StopAnswered)
    def _(self, event: StopAnswered) -> None:
        if event.fenced:
            self.deposed = True
        runner = self.runners.get(event.runner)
        if runner is None:
            return
        if event.confirmed:
            runner.unsettled_orders.settle(event.task, event.number)
        run = runner.runs.get(event.task)
        if run is None or run.number != event.number:
            return
        run.in_call = False
        if event.confirmed and run.stop_confirmed_at is None:
            run.stop_confirmed_at = self.now
        self._attend(runner, run.ordered_at + ORDER_RETRY_S)
        self._hold_soon(runner)

    @_apply.register(HoldFailed)
    def _(self, event: HoldFailed) -> None:
        runner = self.runners.get(event.runner)
        if runner is None:
            return
        runner.calling, runner.next_hold_at, runner.answers = False, self.now + HOLD_RETRY_S, False
        if event.why is HoldFailure.FENCED:
            self.deposed = True
        elif event.why is HoldFailure.REPLACED:
            self._on_replaced(runner)
        self._attend(runner, runner.next_hold_at)

    @_apply.register(HoldAnswered)
    def _(self, event: HoldAnswered) -> None:
        runner = self.runners.get(event.runner)
        if runner is None:
            return
        runner.calling, runner.next_hold_at, runner.answers = False, self.now + HOLD_PAUSE_S, True
        runner.note_clock(event.clock_ms, self.now)
        # Only an answer shows that the call came: until then the runner goes on listing its ends.
        runner.acknowledged_end = runner.told_end
        if not runner.known:
            runner.known = self._dirty = True
            self._reindex(runner)
        for end in sorted(event.ends, key=lambda end: end.sequence):
            if end.sequence > runner.applied_end:
                runner.applied_end = self._unstored_ends[runner.listing.id] = end.sequence
                self._on_end(runner, end)
        for running in event.running:
            self._on_running(runner, running)
        self._settle_what_is_not_listed(runner, event)
        self._look_after(runner)

    def _settle_what_is_not_listed(self, runner: Runner, answer: HoldAnswered) -> None:
        """Drop runs that have surely not begun; stop those that can't be started any more and are not listed."""
        listed = {running.task for running in answer.running}
        for run in list(runner.runs.values()):
            if run.name in listed:
                continue
            if never_began(run, answer, runner.called_at):
                self._drop_run(run, DropReason.NEVER_BEGAN)
            elif run.rejected_at is not None and runner.called_at > run.rejected_at:
                self._stop_with_gang(run)

    # -- what runs --------------------------------------------------------------
    def _find(self, name: str) -> tuple[Step, Task] | None:
        """The task of a name on the wire; None where no such job is active."""
        try:
            job_id, time, step, index = name.split(".")
            job = self.jobs.get(int(job_id, 16))
            if job is None or int(time) >= job.specification.times:
                return None
            found = job.step(int(time), int(step))
            return found, found.tasks[int(index)]
        except (ValueError, IndexError):
            return None

    def _on_running(self, runner: Runner, running: RunningTask) -> None:
        """A runner lists a run: one that was ordered, one of an earlier term, or one that must not be."""
        run = runner.runs.get(running.task)
        if run is not None and run.number == running.number:
            run.task.checkpoint = running.checkpoint or run.task.checkpoint
            run.began = True
            if run.phase is RunPhase.STARTING:
                self._on_started(run)
            return
        found = self._find(running.task)
        if found is None or not self._may_adopt(*found):
            self._out.append(StopRun(runner.listing.id, runner.listing.address, running.task, running.number))
            return
        step, task = found
        task.checkpoint = running.checkpoint or task.checkpoint
        run = Run(step, task, running.number, runner, RunPhase.RUNNING, self.now, self.now, began=True)
        # The earlier primary may have asked for the longest hold there is just now.
        runner.hold_until = max(runner.hold_until, self.now + self._longest_hold_s())
        self._take_run(run)
        step.job.begun = True

    @staticmethod
    def _may_adopt(step: Step, task: Task) -> bool:
        """Whether a run of an earlier term may go on: no other one is under way or needed."""
        return step.job.inherited and step.job.end is None and not task.done and task.run is None

    def _take_run(self, run: Run) -> None:
        run.task.run, run.task.last_run = run, run.number
        if run.task.index in run.step.waiting:
            run.step.waiting.remove(run.task.index)
        run.runner.add(run)
        self._reindex(run.runner)

    def _remove_run(self, run: Run) -> None:
        run.runner.remove(run)
        self._reindex(run.runner)

    def _on_end(self, runner: Runner, end: TaskEnd) -> None:
        """A runner lists an end for the first time."""
        run = runner.runs.get(end.task)
        if run is None or run.number != end.number:
            self._on_other_end(runner, end)
            return
        self._remove_run(run)
        job, step, task = run.step.job, run.step, run.task
        job.begun = self._dirty = True
        if end.checkpoint and step.specification.checkpoints:
            task.checkpoint = end.checkpoint
            # Its runner may forget the end once this is stored, and the checkpoint with it.
            self._changed_jobs[job.id] = job
        if end.how in ("done", "failed"):
            runner.note_end(end.how == "done", self.now)
        if end.how == "done" and not step.specification.long_running:
            task.run = None
            self._on_done(step, task)
        elif end.how == "failed" and not step.specification.long_running:
            self._count_failure(step, task, runner, end)
            self._restart(step, task, slowly=True)
        else:
            self._restart(step, task, slowly=end.how in ("done", "failed"))
        self._forget_if_over(job)

    def _on_other_end(self, runner: Runner, end: TaskEnd) -> None:
        """An end of a run that is not followed here: of an earlier term, or one that was given up."""
        found = self._find(end.task)
        if found is None:
            return
        step, task = found
        if step.specification.long_running or step.job.end is not None:
            return
        if end.how == "done":
            self._on_done(step, task)
        elif end.how == "failed":
            self._count_failure(step, task, runner, end)

    def _on_done(self, step: Step, task: Task) -> None:
        members = step.tasks if step.specification.gang else [task]
        newly_done = [step.set_done(member) for member in members]
        if not any(newly_done):
            return
        if task.run is not None:
            self._stop(task.run)
        job = step.job
        self._changed_jobs[job.id] = job
        self._wake(job)
        if job.close_ended_times() and job.end is None:
            self._end_job(job, JobState.COMPLETED)

    def _count_failure(self, step: Step, task: Task, runner: Runner, end: TaskEnd) -> None:
        """Count an attempt, unless its run is counted; give the job up after the last one that is allowed."""
        if not step.count_failure(task, end.number):
            return
        job, failures = step.job, step.failures(task)
        self._changed_jobs[job.id] = job
        self._counted.append(
            CountedFailure(end.task, end.number, runner.listing.id, failures, job.policy.maximum_attempts)
        )
        if failures >= job.policy.maximum_attempts:
            self._end_job(job, JobState.FAILED)

    def _restart(self, step: Step, task: Task, slowly: bool) -> None:
        """Put a task whose run has ended among those that wait."""
        delay = min(LONGEST_RESTART_DELAY_S, RESTART_DELAY_S * 2 ** min(step.failures(task), 8)) if slowly else 0.0
        step.set_waiting(task, self.now + delay)
        if step.specification.gang:
            for run in step.runs:
                self._stop(run)
        self._wake(step.job)

    def _drop_run(self, run: Run, reason: DropReason) -> None:
        """A run has surely not begun, or is surely gone: its task waits again."""
        runner = run.runner
        self._dropped.append(
            DroppedRun(
                run.name,
                run.number,
                runner.listing.id,
                reason,
                run.phase.name,
                run.unanswered,
                self.now - run.first_ordered_at,
                self.now - runner.called_at,
                runner.hold_until - self.now,
            )
        )
        self._remove_run(run)
        if run.task.run is run:
            self._restart(run.step, run.task, slowly=False)
        self._forget_if_over(run.step.job)

    def _on_replaced(self, runner: Runner) -> None:
        """Another instance has a runner's address: that one is gone, even if the platform lists it for a while."""
        runner.replaced = runner.known = True
        self._reindex(runner)
        self._lose(runner)

    def _lose(self, runner: Runner) -> None:
        """All that ran on a runner is gone."""
        reason = DropReason.REPLACED if runner.replaced else DropReason.HOLD_LAPSED
        for run in list(runner.runs.values()):
            if run.may_begin and not runner.replaced:
                runner.unsettled_orders.add(run.name, run.number, self.now)
            self._drop_run(run, reason)

    def _forget_if_over(self, job: Job) -> None:
        if job.end_stored and not job.runs():
            self.forget(job)

    # -- looking after runners --------------------------------------------------
    def _hold_s(self) -> float:
        return self.timing.hold_limit * HOLD_PART

    def _longest_hold_s(self) -> float:
        """How long anything may run on without a call, whoever held it last."""
        return self.timing.hold_limit / (1 - SLOW_CLOCK) + ADOPTION_MARGIN_S

    def _hold_soon(self, runner: Runner) -> None:
        runner.next_hold_at = min(runner.next_hold_at, self.now + HOLD_PAUSE_S)
        self._attend(runner, runner.next_hold_at)

    def _attend(self, runner: Runner, at: float) -> None:
        """Look after a runner at a moment, or earlier."""
        if at < runner.attend_at:
            runner.attend_at = at
            heapq.heappush(self._attention, (at, runner.listing.id))

    def _look_after_those_due(self) -> None:
        if self.now >= self._next_sweep_at:
            self._next_sweep_at = self.now + SWEEP_INTERVAL_S
            for runner in list(self.runners.values()):
                self._look_after(runner)
        while self._attention and self._attention[0][0] <= self.now:
            at, runner_id = heapq.heappop(self._attention)
            due = self.runners.get(runner_id)
            if due is not None and due.attend_at == at:
                due.attend_at = inf
                self._look_after(due)

    def _reindex(self, runner: Runner) -> None:
        """Note a runner's room and whether it takes starts."""
        service = runner.listing.service
        index = self._indexes.get(service)
        if index is None:
            index = self._indexes[service] = RunnerIndex()
        if runner.serving:
            index.put(runner)
        else:
            index.remove(runner.listing.id)

    def _look_after(self, runner: Runner) -> None:
        """Hold a runner whose runs, ends or clock matter; repeat orders; give up what has lapsed."""
        if runner.runs and runner.known and self.now > runner.hold_until:
            self._lose(runner)
        for run in list(runner.runs.values()):
            self._repeat_order(run)
            self._check_gang(run)
        for task, number in runner.unsettled_orders.due(self.now):
            self._out.append(StopRun(runner.listing.id, runner.listing.address, task, number))
            self._attend(runner, self.now + STOP_INTERVAL_S)
        if runner.runs:
            self._attend(runner, max(self.now, runner.hold_until) + HOLD_PAUSE_S)
        if runner.calling or not runner.needs_call:
            return
        if self.now < runner.next_hold_at:
            self._attend(runner, runner.next_hold_at)
            return
        self._hold(runner)

    def _hold(self, runner: Runner) -> None:
        runner.calling, runner.called_at = True, self.now
        runner.told_end = runner.stored_end
        deadline_ms = runner.next_deadline_ms(self.now, self._hold_s())
        wait_ms = HOLD_WAIT_MS if runner.runs and runner.answers else 0
        listing = runner.listing
        self._out.append(HoldRunner(listing.id, listing.address, deadline_ms, runner.told_end, wait_ms))

    def _repeat_order(self, run: Run) -> None:
        if run.in_call or self.now - run.ordered_at < ORDER_RETRY_S:
            return
        if run.phase is RunPhase.STOPPING:
            self._order_stop(run)
        elif run.phase is RunPhase.STARTING and run.runner.leaving:
            # The order may have been carried out, or may be yet; it is not given once more.
            self._stop_with_gang(run)
        elif run.phase is RunPhase.STARTING and run.rejected_at is None:
            self._repeat_start(run)

    def _repeat_start(self, run: Run) -> None:
        """Give an order to start once more, unless its deadline has surely passed."""
        if run.deadline is not None and self.now > run.deadline.lapses_at:
            self._await_list(run)
        else:
            self._order_start(run)

    def _stop_with_gang(self, run: Run) -> None:
        """Stop a run, and with it the others of its gang, which can't work without it."""
        for member in run.step.runs if run.step.specification.gang else [run]:
            self._stop(member)

    def _check_gang(self, run: Run) -> None:
        """Stop a gang that does not come together in time, before its runs give each other up."""
        step = run.step
        if run.phase is RunPhase.STOPPING or not step.specification.gang:
            return
        if self.now - run.first_ordered_at < self.timing.gang * GANG_PATIENCE:
            return
        missing = sum(member.run is None or member.run.phase is RunPhase.STARTING for member in step.tasks)
        if missing and not step.ended:
            for member in step.runs:
                self._stop(member)

    # -- orders -----------------------------------------------------------------
    def _order_start(self, run: Run) -> None:
        run.ordered_at, run.in_call = self.now, True
        listing = run.runner.listing
        # A later deadline would let an order that is on its way be carried out later still.
        deadline = run.deadline = run.deadline or run.runner.extend_hold(self.now, self._hold_s())
        spec = run.step.job.specification.task_spec
        checkpoint = run.task.checkpoint if run.step.specification.checkpoints else ""
        self._out.append(
            StartRun(listing.id, listing.address, run.name, run.number, spec, deadline.clock_ms, checkpoint)
        )

    def _order_stop(self, run: Run) -> None:
        run.ordered_at, run.in_call = self.now, True
        listing = run.runner.listing
        self._out.append(StopRun(listing.id, listing.address, run.name, run.number))

    def _stop(self, run: Run, again: bool = False) -> None:
        """Order a run to be stopped; one whose start is under way is stopped once that is answered."""
        if run.phase is RunPhase.STOPPING and not again:
            return
        starting = run.phase is RunPhase.STARTING
        run.phase = RunPhase.STOPPING
        run.stopping_since = self.now if run.stopping_since is None else run.stopping_since
        if not (starting and run.in_call):
            self._order_stop(run)

    # -- placement --------------------------------------------------------------
    def _adopted(self) -> bool:
        """Whether it is known what runs of earlier terms are under way."""
        if not self._listed:
            return False
        if all(runner.known for runner in self.runners.values()):
            return True
        return self.now - self.started_at > self._longest_hold_s()

    def _place(self) -> None:
        """Start what may start."""
        placement_pass = PlacementPass(
            now=self.now,
            now_ms=self.now_ms,
            adopted=self._adopted(),
            jobs=self.jobs,
            runners=self.runners,
            indexes=self._indexes,
            start=self._start,
        )
        placement_pass.run(self._queue)

    def _start(self, step: Step, placements: list[Placement]) -> None:
        """Order the starts of some tasks of a step; those of a gang share a number."""
        numbers = [self._next_number(step.tasks[placement.index]) for placement in placements]
        for placement, number in zip(placements, numbers, strict=True):
            task = step.tasks[placement.index]
            self._start_task(step, task, placement.runner, max(numbers) if step.specification.gang else number)

    def _next_number(self, task: Task) -> int:
        """The number of a task's next run: above all of this term, and of earlier ones."""
        first = (self.term - 1) * RUNS_PER_TERM
        return max(task.last_run, first) + 1

    def _start_task(self, step: Step, task: Task, runner: Runner, number: int) -> None:
        run = Run(step, task, number, runner, RunPhase.STARTING, self.now, self.now)
        self._take_run(run)
        self._order_start(run)
        self._hold_soon(runner)
        if step.specification.gang:
            self._attend(runner, self.now + self.timing.gang * GANG_PATIENCE)
