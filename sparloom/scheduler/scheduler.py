"""The scheduler: a state machine that decides which task runs on which runner.

Events and the current time go in, instructions come out. A scheduler exists
for one term of the primary. It guarantees:

- *At most one run of a task at a time, and no start after an end* ``done``.
  A task has at most one ``Run``. It exists from the start request until its
  end is listed, the runner's hold has certainly lapsed, or the run is known
  never to have started (``late_orders``). Jobs of an earlier term wait until
  each listed runner has reported its runs, or until all holds of that term
  have lapsed.
- *No start after the end was acknowledged.* A runner forgets an end only once
  the effects of that end are stored (``take_changes``, ``mark_stored``).
- *No requests of an earlier primary are carried out.* Every request carries
  the term as its fencing token.
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
from .jobs import RUN_NUMBERS_PER_TERM, Job, Step, Task
from .late_orders import STOP_INTERVAL_S, proves_never_started
from .messages import JobState
from .placement import Placement, RunnerIndex
from .placement_pass import PlacementPass
from .runners import MAXIMUM_CLOCK_SLOWDOWN, Run, Runner, RunPhase

# Fraction of the hold limit that a request asks for. A request that is delayed by the remaining fraction still arrives
# before its deadline.
HOLD_FRACTION = 0.9
# Maximum time that a hold call waits for an end.
HOLD_WAIT_MS = 1000
# Delay before the next hold call to a runner, so that one call returns several ends.
HOLD_BATCH_DELAY_S = 0.04
HOLD_RETRY_S = 0.05
REQUEST_RETRY_S = 0.4
# Delay before a task is started again after a run ended without success. It doubles with each failure, up to the
# maximum.
RESTART_DELAY_S = 0.05
MAXIMUM_RESTART_DELAY_S = 1.0
# Time for which a runner that reported no capacity gets no starts.
NO_CAPACITY_BACKOFF_S = 0.3
# Fraction of the gang timeout after which a gang with missing members is stopped.
GANG_TIMEOUT_FRACTION = 0.5
# Maximum time between placement passes while jobs are queued: a runner may become usable again without an event.
PASS_INTERVAL_S = 0.1
# Interval at which all runners are checked.
SWEEP_INTERVAL_S = 1.0
# Added to the hold limit to bound the time for which runs of an earlier primary may still be held.
ADOPTION_MARGIN_S = 1.0


@define(frozen=True, slots=True)
class JobTiming:
    """Time limits, in seconds.

    Attributes
    ----------
    hold_limit
        The maximum length of a hold.
    gang
        How long the tasks of a gang wait for each other.
    """

    hold_limit: float = 6.0
    gang: float = 4.0


@define(frozen=True, slots=True)
class CountedFailure:
    """A run that ended ``failed`` and was counted as an attempt.

    Attributes
    ----------
    task, run, runner
        The failed run, and its runner.
    count
        Number of failed attempts of the task, or of its gang, including this one.
    allowed
        Number of failed attempts at which the job fails.
    """

    task: str
    run: int
    runner: str
    count: int
    allowed: int


@define(frozen=True, slots=True)
class Changes:
    """State that must be stored before runners may forget the ends that caused it.

    Attributes
    ----------
    jobs
        The jobs that have changed.
    ended
        Ids of the changed jobs that have ended; further jobs may end while these changes are being stored.
    ends
        Sequence number of the newest applied end, by runner.
    failures
        The failed attempts that were counted.
    """

    jobs: tuple[Job, ...]
    ended: frozenset[int]
    ends: dict[str, int]
    failures: tuple[CountedFailure, ...] = ()


@define(slots=True, eq=False)
class Scheduler:
    """Decides which task runs on which runner, during one term.

    Attributes
    ----------
    term
        The primary's term, which is also its fencing token.
    started_at
        When the term began, in seconds.
    timing
        Time limits.
    jobs
        The jobs that have not ended, by id.
    runners
        The runners, by id.
    deposed
        Whether a runner has seen a higher fencing token: no more instructions are issued.
    evacuated_zones
        Zones in which no runs are started.
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
    _scheduled_checks: list[tuple[float, str]] = field(factory=list)
    _runners_listed: bool = False
    _changed_jobs: dict[int, Job] = field(factory=dict)
    _unstored_ends: dict[str, int] = field(factory=dict)
    _counted_failures: list[CountedFailure] = field(factory=list)
    _dropped_runs: list[DroppedRun] = field(factory=list)
    _pass_needed: bool = True
    _next_pass_at: float = 0.0
    _next_sweep_at: float = 0.0
    _instructions: list[Instruction] = field(factory=list)

    # -- jobs -------------------------------------------------------------------
    def add(self, job: Job) -> None:
        """Add a job that is stored."""
        self.jobs[job.id] = job
        self._enqueue(job)

    def _enqueue(self, job: Job) -> None:
        """Queue a job that may have tasks to start, and request a placement pass."""
        self._queue.enqueue(job)
        self._pass_needed = True

    def cancel(self, job: Job) -> None:
        """Cancel a job; the caller stores the change."""
        self._end_job(job, JobState.CANCELLED)

    def _end_job(self, job: Job, state: JobState) -> None:
        if job.end is not None:
            return
        job.end = state
        self._changed_jobs[job.id] = job
        for run in job.runs():
            self._stop(run)

    def forget(self, job: Job) -> None:
        """Remove a job whose end is stored and that has no active runs."""
        self.jobs.pop(job.id, None)
        self._queue.remove(job)

    # -- stored state -----------------------------------------------------------
    def take_changes(self) -> Changes | None:
        """Return the changes to store next; None if there are none."""
        if not self._changed_jobs and not self._unstored_ends:
            return None
        jobs = tuple(self._changed_jobs.values())
        ended = frozenset(job.id for job in jobs if job.end is not None)
        changes = Changes(jobs, ended, self._unstored_ends, tuple(self._counted_failures))
        self._changed_jobs, self._unstored_ends, self._counted_failures = {}, {}, []
        return changes

    def mark_stored(self, changes: Changes) -> None:
        """Record that changes are stored: runners may forget the ends that caused them."""
        for runner_id, end in changes.ends.items():
            runner = self.runners.get(runner_id)
            if runner is not None:
                runner.stored_end = max(runner.stored_end, end)
                self._schedule_check(runner, runner.next_hold_at)
        for job in changes.jobs:
            job.end_stored = job.end_stored or job.id in changes.ended
            self._forget_if_finished(job)

    def take_dropped_runs(self) -> list[DroppedRun]:
        """Return the runs that were dropped without an end since the last call."""
        dropped, self._dropped_runs = self._dropped_runs, []
        return dropped

    # -- events -----------------------------------------------------------------
    def handle(self, event: Event, now: float, now_ms: float) -> list[Instruction]:
        """Apply an event and return the immediate instructions; runs are started by the next tick."""
        self.now, self.now_ms = now, now_ms
        self._apply(event)
        return self._take_instructions()

    def tick(self, now: float, now_ms: float) -> list[Instruction]:
        """Process everything that is due; ``now_ms`` is the time of day in milliseconds since 1970."""
        self.now, self.now_ms = now, now_ms
        for job_id in self._queue.pop_due(now_ms):
            if job_id in self.jobs:
                self._enqueue(self.jobs[job_id])
        self._check_due_runners()
        if self._pass_needed or (self._queue and now >= self._next_pass_at):
            self._pass_needed, self._next_pass_at = False, now + PASS_INTERVAL_S
            self._run_placement_pass()
        return self._take_instructions()

    def _take_instructions(self) -> list[Instruction]:
        instructions, self._instructions = self._instructions, []
        return [] if self.deposed else instructions

    @singledispatchmethod
    def _apply(self, event: Event) -> None:
        raise TypeError(f"expected an event of the scheduler, found {event!r}")

    @_apply.register(RunnersListed)
    def _(self, event: RunnersListed) -> None:
        self._runners_listed = True
        listed = {listing.id for listing in event.runners}
        for listing in event.runners:
            runner = self.runners.get(listing.id)
            if runner is None:
                runner = self.runners[listing.id] = Runner(listing)
                self._schedule_check(runner, self.now)
            else:
                runner.listing = listing
        for runner_id, runner in list(self.runners.items()):
            runner.listed = runner_id in listed
            runner.evacuated = runner.listing.zone in self.evacuated_zones
            self._reindex(runner)
            if not runner.listed and not runner.runs and not runner.hold_in_flight and not runner.abandoned_starts:
                del self.runners[runner_id]
        self._pass_needed = True

    @_apply.register(ZonesEvacuated)
    def _(self, event: ZonesEvacuated) -> None:
        self.evacuated_zones = event.zones
        for runner in self.runners.values():
            runner.evacuated = runner.listing.zone in event.zones
            self._reindex(runner)
        self._pass_needed = True

    @_apply.register(StartAnswered)
    def _(self, event: StartAnswered) -> None:
        runner = self.runners.get(event.runner)
        if runner is None:
            return
        if event.clock_ms:
            runner.record_clock(event.clock_ms, self.now)
        run = runner.runs.get(event.task)
        if run is None or run.number != event.number:
            return
        run.request_in_flight = False
        if event.result is StartResult.STARTED:
            self._on_started(run)
        elif event.result is StartResult.FENCED:
            self.deposed = True
        elif event.result is StartResult.REPLACED:
            self._on_replaced(runner)
        elif event.result is StartResult.NO_ANSWER:
            run.unanswered = True
            self._schedule_check(runner, run.requested_at + REQUEST_RETRY_S)
        elif run.unanswered or event.result is StartResult.OLD:
            self._on_rejected_retry(run, event.result)
        else:
            self._on_not_started(run, event.result)

    def _on_rejected_retry(self, run: Run, result: StartResult) -> None:
        """Handle a rejected start request if an earlier one for the run may have been, or may yet be, carried out."""
        if run.phase is not RunPhase.STARTING or result is StartResult.UNREACHABLE:
            self._schedule_check(run.runner, run.requested_at + REQUEST_RETRY_S)
        elif result in (StartResult.TOO_LATE, StartResult.OLD):
            self._await_listing(run)
        else:
            run.runner.avoid(self.now)
            self._stop_gang_of(run)

    def _await_listing(self, run: Run) -> None:
        """Wait for the runner's next list to learn what became of a run that can't be started any more."""
        if run.rejected_at is None:
            run.rejected_at = self.now
            self._hold_soon(run.runner)

    def _on_started(self, run: Run) -> None:
        run.has_started = run.step.job.started = True
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if run.step.job.end is not None or run.phase is RunPhase.STOPPING:
            self._stop(run, again=True)
        self._hold_soon(run.runner)

    def _on_not_started(self, run: Run, result: StartResult) -> None:
        """Handle a rejected start request that will not be carried out."""
        runner = run.runner
        if result is StartResult.NO_CAPACITY:
            runner.avoid_until = max(runner.avoid_until, self.now + NO_CAPACITY_BACKOFF_S)
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
            runner.abandoned_starts.confirm_stopped(event.task, event.number)
        run = runner.runs.get(event.task)
        if run is None or run.number != event.number:
            return
        run.request_in_flight = False
        if event.confirmed and run.stop_confirmed_at is None:
            run.stop_confirmed_at = self.now
        self._schedule_check(runner, run.requested_at + REQUEST_RETRY_S)
        self._hold_soon(runner)

    @_apply.register(HoldFailed)
    def _(self, event: HoldFailed) -> None:
        runner = self.runners.get(event.runner)
        if runner is None:
            return
        runner.hold_in_flight, runner.next_hold_at, runner.responsive = False, self.now + HOLD_RETRY_S, False
        if event.reason is HoldFailure.FENCED:
            self.deposed = True
        elif event.reason is HoldFailure.REPLACED:
            self._on_replaced(runner)
        self._schedule_check(runner, runner.next_hold_at)

    @_apply.register(HoldAnswered)
    def _(self, event: HoldAnswered) -> None:
        runner = self.runners.get(event.runner)
        if runner is None:
            return
        runner.hold_in_flight, runner.next_hold_at, runner.responsive = False, self.now + HOLD_BATCH_DELAY_S, True
        runner.record_clock(event.clock_ms, self.now)
        # Only an answer proves that the call arrived; until then the runner continues to list its ends.
        runner.confirmed_ack = runner.sent_ack
        if not runner.contacted:
            runner.contacted = self._pass_needed = True
            self._reindex(runner)
        for end in sorted(event.ends, key=lambda end: end.sequence):
            if end.sequence > runner.applied_end:
                runner.applied_end = self._unstored_ends[runner.listing.id] = end.sequence
                self._on_end(runner, end)
        for running in event.running:
            self._on_running(runner, running)
        self._reconcile_unlisted_runs(runner, event)
        self._check_runner(runner)

    def _reconcile_unlisted_runs(self, runner: Runner, answer: HoldAnswered) -> None:
        """Drop unlisted runs that provably never started, and stop unlisted ones that can't be started any more."""
        listed = {running.task for running in answer.running}
        for run in list(runner.runs.values()):
            if run.name in listed:
                continue
            if proves_never_started(run, answer, runner.hold_sent_at):
                self._drop_run(run, DropReason.NEVER_STARTED)
            elif run.rejected_at is not None and runner.hold_sent_at > run.rejected_at:
                self._stop_gang_of(run)

    # -- runs and ends ----------------------------------------------------------
    def _find_task(self, name: str) -> tuple[Step, Task] | None:
        """Return the step and the task with a name on the wire; None if the name matches no active job."""
        try:
            job_id, repetition, step, index = name.split(".")
            job = self.jobs.get(int(job_id, 16))
            if job is None or int(repetition) >= job.specification.repetition_count:
                return None
            found = job.step(int(repetition), int(step))
            return found, found.tasks[int(index)]
        except (ValueError, IndexError):
            return None

    def _on_running(self, runner: Runner, running: RunningTask) -> None:
        """Handle a listed run: a tracked one, one of an earlier term to adopt, or an unwanted one to stop."""
        run = runner.runs.get(running.task)
        if run is not None and run.number == running.number:
            run.task.checkpoint = running.checkpoint or run.task.checkpoint
            run.has_started = True
            if run.phase is RunPhase.STARTING:
                self._on_started(run)
            return
        found = self._find_task(running.task)
        if found is None or not self._may_adopt(*found):
            self._instructions.append(StopRun(runner.listing.id, runner.listing.address, running.task, running.number))
            return
        step, task = found
        task.checkpoint = running.checkpoint or task.checkpoint
        run = Run(step, task, running.number, runner, RunPhase.RUNNING, self.now, self.now, has_started=True)
        # The earlier primary may have requested the maximum hold just before.
        runner.hold_until = max(runner.hold_until, self.now + self._maximum_hold_s())
        self._track_run(run)
        step.job.started = True

    @staticmethod
    def _may_adopt(step: Step, task: Task) -> bool:
        """Whether to adopt a run of an earlier term: its task is needed and has no other run."""
        return step.job.inherited and step.job.end is None and not task.done and task.run is None

    def _track_run(self, run: Run) -> None:
        run.task.run, run.task.last_run = run, run.number
        if run.task.index in run.step.waiting:
            run.step.waiting.remove(run.task.index)
        run.runner.add(run)
        self._reindex(run.runner)

    def _untrack_run(self, run: Run) -> None:
        run.runner.remove(run)
        self._reindex(run.runner)

    def _on_end(self, runner: Runner, end: TaskEnd) -> None:
        """Handle an end that a runner lists for the first time."""
        run = runner.runs.get(end.task)
        if run is None or run.number != end.number:
            self._on_untracked_end(runner, end)
            return
        self._untrack_run(run)
        job, step, task = run.step.job, run.step, run.task
        job.started = self._pass_needed = True
        if end.checkpoint and step.specification.checkpoints:
            task.checkpoint = end.checkpoint
            # The runner may forget the end and its checkpoint once this is stored.
            self._changed_jobs[job.id] = job
        if end.outcome in ("done", "failed"):
            runner.record_end(end.outcome == "done", self.now)
        if end.outcome == "done" and not step.specification.long_running:
            task.run = None
            self._on_done(step, task)
        elif end.outcome == "failed" and not step.specification.long_running:
            self._count_failure(step, task, runner, end)
            self._restart(step, task, with_backoff=True)
        else:
            self._restart(step, task, with_backoff=end.outcome in ("done", "failed"))
        self._forget_if_finished(job)

    def _on_untracked_end(self, runner: Runner, end: TaskEnd) -> None:
        """Handle the end of a run that is not tracked: one of an earlier term, or a dropped one."""
        found = self._find_task(end.task)
        if found is None:
            return
        step, task = found
        if step.specification.long_running or step.job.end is not None:
            return
        if end.outcome == "done":
            self._on_done(step, task)
        elif end.outcome == "failed":
            self._count_failure(step, task, runner, end)

    def _on_done(self, step: Step, task: Task) -> None:
        members = step.tasks if step.specification.gang else [task]
        newly_done = [step.mark_done(member) for member in members]
        if not any(newly_done):
            return
        if task.run is not None:
            self._stop(task.run)
        job = step.job
        self._changed_jobs[job.id] = job
        self._enqueue(job)
        if job.close_ended_repetitions() and job.end is None:
            self._end_job(job, JobState.COMPLETED)

    def _count_failure(self, step: Step, task: Task, runner: Runner, end: TaskEnd) -> None:
        """Count a failed attempt, unless its run was counted before; fail the job after the last allowed attempt."""
        if not step.count_failure(task, end.number):
            return
        job, failures = step.job, step.failures(task)
        self._changed_jobs[job.id] = job
        self._counted_failures.append(
            CountedFailure(end.task, end.number, runner.listing.id, failures, job.policy.maximum_attempts)
        )
        if failures >= job.policy.maximum_attempts:
            self._end_job(job, JobState.FAILED)

    def _restart(self, step: Step, task: Task, with_backoff: bool) -> None:
        """Make a task wait for its next start after its run has ended; a gang stops its other runs."""
        delay = (
            min(MAXIMUM_RESTART_DELAY_S, RESTART_DELAY_S * 2 ** min(step.failures(task), 8)) if with_backoff else 0.0
        )
        step.requeue(task, self.now + delay)
        if step.specification.gang:
            for run in step.runs:
                self._stop(run)
        self._enqueue(step.job)

    def _drop_run(self, run: Run, reason: DropReason) -> None:
        """Drop a run that certainly never started or is certainly gone; its task waits again."""
        runner = run.runner
        self._dropped_runs.append(
            DroppedRun(
                run.name,
                run.number,
                runner.listing.id,
                reason,
                run.phase.name,
                run.unanswered,
                self.now - run.first_requested_at,
                self.now - runner.hold_sent_at,
                runner.hold_until - self.now,
            )
        )
        self._untrack_run(run)
        if run.task.run is run:
            self._restart(run.step, run.task, with_backoff=False)
        self._forget_if_finished(run.step.job)

    def _on_replaced(self, runner: Runner) -> None:
        """Handle a runner whose address belongs to another instance; the platform may list it for some time yet."""
        runner.replaced = runner.contacted = True
        self._reindex(runner)
        self._drop_all_runs(runner)

    def _drop_all_runs(self, runner: Runner) -> None:
        """Drop all runs of a runner that is gone or whose hold has lapsed."""
        reason = DropReason.REPLACED if runner.replaced else DropReason.HOLD_LAPSED
        for run in list(runner.runs.values()):
            if run.may_still_start and not runner.replaced:
                runner.abandoned_starts.add(run.name, run.number, self.now)
            self._drop_run(run, reason)

    def _forget_if_finished(self, job: Job) -> None:
        if job.end_stored and not job.runs():
            self.forget(job)

    # -- runner checks ----------------------------------------------------------
    def _hold_s(self) -> float:
        return self.timing.hold_limit * HOLD_FRACTION

    def _maximum_hold_s(self) -> float:
        """Return the maximum time for which a run continues without a call from any primary."""
        return self.timing.hold_limit / (1 - MAXIMUM_CLOCK_SLOWDOWN) + ADOPTION_MARGIN_S

    def _hold_soon(self, runner: Runner) -> None:
        runner.next_hold_at = min(runner.next_hold_at, self.now + HOLD_BATCH_DELAY_S)
        self._schedule_check(runner, runner.next_hold_at)

    def _schedule_check(self, runner: Runner, at: float) -> None:
        """Schedule a check of a runner, unless an earlier one is scheduled."""
        if at < runner.check_at:
            runner.check_at = at
            heapq.heappush(self._scheduled_checks, (at, runner.listing.id))

    def _check_due_runners(self) -> None:
        if self.now >= self._next_sweep_at:
            self._next_sweep_at = self.now + SWEEP_INTERVAL_S
            for runner in list(self.runners.values()):
                self._check_runner(runner)
        while self._scheduled_checks and self._scheduled_checks[0][0] <= self.now:
            at, runner_id = heapq.heappop(self._scheduled_checks)
            due_runner = self.runners.get(runner_id)
            if due_runner is not None and due_runner.check_at == at:
                due_runner.check_at = inf
                self._check_runner(due_runner)

    def _reindex(self, runner: Runner) -> None:
        """Update the placement index after a runner's capacity or its acceptance of starts has changed."""
        service = runner.listing.service
        index = self._indexes.get(service)
        if index is None:
            index = self._indexes[service] = RunnerIndex()
        if runner.serving:
            index.put(runner)
        else:
            index.remove(runner.listing.id)

    def _check_runner(self, runner: Runner) -> None:
        """Drop lapsed runs of a runner, retry its requests, and send a hold call if one is due."""
        if runner.runs and runner.contacted and self.now > runner.hold_until:
            self._drop_all_runs(runner)
        for run in list(runner.runs.values()):
            self._retry_request(run)
            self._check_gang(run)
        for task, number in runner.abandoned_starts.due(self.now):
            self._instructions.append(StopRun(runner.listing.id, runner.listing.address, task, number))
            self._schedule_check(runner, self.now + STOP_INTERVAL_S)
        if runner.runs:
            self._schedule_check(runner, max(self.now, runner.hold_until) + HOLD_BATCH_DELAY_S)
        if runner.hold_in_flight or not runner.needs_hold_call:
            return
        if self.now < runner.next_hold_at:
            self._schedule_check(runner, runner.next_hold_at)
            return
        self._send_hold(runner)

    def _send_hold(self, runner: Runner) -> None:
        runner.hold_in_flight, runner.hold_sent_at = True, self.now
        runner.sent_ack = runner.stored_end
        deadline_ms = runner.next_deadline_ms(self.now, self._hold_s())
        wait_ms = HOLD_WAIT_MS if runner.runs and runner.responsive else 0
        listing = runner.listing
        self._instructions.append(HoldRunner(listing.id, listing.address, deadline_ms, runner.sent_ack, wait_ms))

    def _retry_request(self, run: Run) -> None:
        if run.request_in_flight or self.now - run.requested_at < REQUEST_RETRY_S:
            return
        if run.phase is RunPhase.STOPPING:
            self._send_stop(run)
        elif run.phase is RunPhase.STARTING and run.runner.leaving:
            # The request may have been, or may still be, carried out; it is not sent again.
            self._stop_gang_of(run)
        elif run.phase is RunPhase.STARTING and run.rejected_at is None:
            self._retry_start(run)

    def _retry_start(self, run: Run) -> None:
        """Send a start request again, unless its deadline has certainly passed."""
        if run.deadline is not None and self.now > run.deadline.lapses_at:
            self._await_listing(run)
        else:
            self._send_start(run)

    def _stop_gang_of(self, run: Run) -> None:
        """Stop a run and the other runs of its gang, which can't work without it."""
        for member in run.step.runs if run.step.specification.gang else [run]:
            self._stop(member)

    def _check_gang(self, run: Run) -> None:
        """Stop a gang with missing members before its runs time out waiting for each other."""
        step = run.step
        if run.phase is RunPhase.STOPPING or not step.specification.gang:
            return
        if self.now - run.first_requested_at < self.timing.gang * GANG_TIMEOUT_FRACTION:
            return
        missing = sum(member.run is None or member.run.phase is RunPhase.STARTING for member in step.tasks)
        if missing and not step.ended:
            for member in step.runs:
                self._stop(member)

    # -- requests ---------------------------------------------------------------
    def _send_start(self, run: Run) -> None:
        run.requested_at, run.request_in_flight = self.now, True
        listing = run.runner.listing
        # A later deadline would allow a request that is still in transit to be carried out later.
        deadline = run.deadline = run.deadline or run.runner.extend_hold(self.now, self._hold_s())
        spec = run.step.job.specification.task_spec
        checkpoint = run.task.checkpoint if run.step.specification.checkpoints else ""
        self._instructions.append(
            StartRun(listing.id, listing.address, run.name, run.number, spec, deadline.clock_ms, checkpoint)
        )

    def _send_stop(self, run: Run) -> None:
        run.requested_at, run.request_in_flight = self.now, True
        listing = run.runner.listing
        self._instructions.append(StopRun(listing.id, listing.address, run.name, run.number))

    def _stop(self, run: Run, again: bool = False) -> None:
        """Stop a run; if its start request is in flight, the stop is sent after the answer."""
        if run.phase is RunPhase.STOPPING and not again:
            return
        starting = run.phase is RunPhase.STARTING
        run.phase = RunPhase.STOPPING
        run.stopping_since = self.now if run.stopping_since is None else run.stopping_since
        if not (starting and run.request_in_flight):
            self._send_stop(run)

    # -- placement --------------------------------------------------------------
    def _adoption_complete(self) -> bool:
        """Whether all active runs of earlier terms are known."""
        if not self._runners_listed:
            return False
        if all(runner.contacted for runner in self.runners.values()):
            return True
        return self.now - self.started_at > self._maximum_hold_s()

    def _run_placement_pass(self) -> None:
        """Start the waiting tasks that can run now."""
        placement_pass = PlacementPass(
            now=self.now,
            now_ms=self.now_ms,
            adoption_complete=self._adoption_complete(),
            jobs=self.jobs,
            runners=self.runners,
            indexes=self._indexes,
            start=self._start_tasks,
        )
        placement_pass.run(self._queue)

    def _start_tasks(self, step: Step, placements: list[Placement]) -> None:
        """Start some tasks of a step; the runs of a gang share one number."""
        numbers = [self._next_run_number(step.tasks[placement.index]) for placement in placements]
        for placement, number in zip(placements, numbers, strict=True):
            task = step.tasks[placement.index]
            self._start_task(step, task, placement.runner, max(numbers) if step.specification.gang else number)

    def _next_run_number(self, task: Task) -> int:
        """Return the number of a task's next run: above all numbers of this and of earlier terms."""
        first = (self.term - 1) * RUN_NUMBERS_PER_TERM
        return max(task.last_run, first) + 1

    def _start_task(self, step: Step, task: Task, runner: Runner, number: int) -> None:
        run = Run(step, task, number, runner, RunPhase.STARTING, self.now, self.now)
        self._track_run(run)
        self._send_start(run)
        self._hold_soon(runner)
        if step.specification.gang:
            self._schedule_check(runner, self.now + self.timing.gang * GANG_TIMEOUT_FRACTION)
