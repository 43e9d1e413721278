"""A cluster of runners, a store and primaries in simulated time, with faults drawn from a seed.

Invariants are checked during the simulation and violations are collected: no two runs of a task at once, no start
after an acknowledged end ``done``, no start before the step's dependencies have ended, no runner above its capacity,
and no gang that times out in the absence of faults. The runners' side records the ``done`` and ``failed`` runs
independently of the scheduler; a job's final state must agree with this record. At each tick, the scheduler's state
must cover each ready task (``unattended``).
"""

import heapq
import random
from itertools import count

from attrs import define, field

from sparloom.scheduler.events import (
    HoldAnswered,
    HoldFailed,
    HoldFailure,
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
from sparloom.scheduler.jobs import Job, JobStore
from sparloom.scheduler.messages import JobState, QueuePolicy
from sparloom.scheduler.runners import RunnerListing
from sparloom.scheduler.scheduler import JobTiming, Scheduler
from sparloom.scheduler.specification import Resources, parse_job
from tests.scheduler.unattended import unhandled_tasks

TICK_S = 0.02
STORE_LATENCY_S = 0.03
# Maximum delay with which an unanswered call is carried out.
MAXIMUM_DELAY_S = 12.0
# The checks of a runner before it starts a run; their order varies, except that the fence is checked first.
START_CHECKS = ("there", "old", "late", "room")
WALL_MS = 1_700_000_000_000
POLICY = QueuePolicy(1, "s", 0, 3)


@define(slots=True, eq=False)
class SimulatedRun:
    number: int
    ends_at: float
    outcome: str
    gang_size: int = 1


@define(slots=True, eq=False)
class SimulatedRunner:
    """A runner; its clock runs at ``clock_rate`` of true time, by default 2% slow."""

    id: str
    capacity: Resources
    clock_rate: float = 0.98
    alive: bool = True
    reachable: bool = True
    listed: bool = True
    failing: bool = False
    zone: str = "z1"
    fence: int = 0
    hold_ms: float = 0.0
    running: dict[str, SimulatedRun] = field(factory=dict)
    ends: list[TaskEnd] = field(factory=list)
    ended_runs: dict[str, int] = field(factory=dict)
    ended_at: dict[int, float] = field(factory=dict)
    lapsed_at: float = 0.0
    last_end: int = 0
    generation: int = 0
    unresponsive: bool = False
    checks: tuple[str, ...] = START_CHECKS
    judges_lateness_by_hold: bool = False


class Cluster:
    """Simulates one seed.

    Parameters
    ----------
    faults
        Probability of each kind of fault, for each start request.
    hold_faults
        Probability that a hold call or its answer is lost.
    late
        Probability that a call of any kind is unanswered and carried out up to ``MAXIMUM_DELAY_S`` later.
    any_checks
        Whether each runner has its own order of checks, and judges lateness by the request's deadline or by the hold
        in force; the protocol leaves both open.

    An ``unresponsive`` runner answers nothing and carries out half of its calls.
    """

    def __init__(
        self, seed, runners=8, faults=0.0, hold_limit=6.0, workload=None, hold_faults=0.0, late=0.0, any_checks=False
    ):
        self.rng = random.Random(seed)
        self.now, self.faults, self.hold_limit = 100.0, faults, hold_limit
        self.hold_faults, self.late = hold_faults, late
        self.any_checks, self.check_rng = any_checks, random.Random(f"checks {seed}")
        self.timing = JobTiming(hold_limit, 4.0)
        self.workload = workload or (
            lambda _task: (self.rng.uniform(0.1, 2.0), "failed" if self.rng.random() < 0.03 else "done")
        )
        capacity = Resources(8000, 16000, 0)
        self.runners = {
            f"i-{number}": self._new_runner(f"i-{number}", capacity, f"z{number % 2}") for number in range(runners)
        }
        self.evacuated = frozenset()
        self.events, self.sequence = [], count()
        self.violations, self.starts = [], []
        self.acknowledged, self.done = set(), set()
        self.blob, self.scheduler, self.primary = b"", None, 0
        self.specifications, self.shown = {}, {}
        self.gang_timeouts = 0
        # When each job's final state was shown, by id, and when each run was first requested to start.
        self.shown_at, self.requested_at = {}, {}
        # Recorded by the runners: numbers of the failed runs, by task, or by step for a gang.
        self.failed_runs = {}
        self.new_primary()
        self.schedule(0.0, self._tick)
        self.schedule(0.0, self._send_list)

    def _new_runner(self, id, capacity, zone):
        runner = SimulatedRunner(id, capacity, zone=zone)
        if self.any_checks:
            runner.checks = tuple(self.check_rng.sample(START_CHECKS, len(START_CHECKS)))
            runner.judges_lateness_by_hold = self.check_rng.random() < 0.5
        return runner

    # -- time -----------------------------------------------------------------
    def schedule(self, delay, callback, *args):
        heapq.heappush(self.events, (self.now + delay, next(self.sequence), callback, args))

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        self.now = end

    def wall_ms(self):
        return WALL_MS + self.now * 1000

    def latency(self):
        return self.rng.uniform(0.0005, 0.004)

    # -- primaries --------------------------------------------------------------
    def new_primary(self):
        """Start the next term with the stored state."""
        self.primary += 1
        store = JobStore.load(self.blob)
        store.term += 1
        self.blob = store.blob()
        self.store = store
        self.scheduler = Scheduler(store.term, self.now, self.timing, evacuated_zones=self.evacuated)
        for job in store.jobs():
            self.scheduler.add(job)
        self.writing = False

    def submit(self, job_id, body, policy=POLICY):
        """Store a job and add it to the current scheduler."""
        if self.writing:
            self.schedule(0.005, self.submit, job_id, body, policy)
            return
        job = Job(job_id, "h /q/", policy, parse_job(body).unwrap(), body, int(self.wall_ms()))
        self.specifications[job_id] = job.specification
        self.store.put(job, int(self.wall_ms()))
        self.blob = self.store.blob()
        self.scheduler.add(job)

    def cancel(self, job_id):
        job = self.scheduler.jobs.get(job_id)
        if job is not None:
            self.scheduler.cancel(job)

    def _tick(self):
        self._send(self.scheduler.tick(self.now, self.wall_ms()))
        self.violations += [f"{self.now:.3f} LOST {name}: {reason}" for name, reason in unhandled_tasks(self.scheduler)]
        if not self.writing and (changes := self.scheduler.take_changes()) is not None:
            self.writing = True
            for job in changes.jobs:
                self.store.put(job, int(self.wall_ms()))
            self.schedule(STORE_LATENCY_S, self._stored, self.primary, changes, self.store.blob())
        self.schedule(TICK_S, self._tick)

    def _stored(self, primary, changes, blob):
        if primary != self.primary:
            return
        self.blob, self.writing = blob, False
        self.scheduler.mark_stored(changes)
        for job_id in changes.ended:
            self.shown[job_id] = JobState(self.store.ended[job_id].state)
            self.shown_at[job_id] = self.now
            self._check_final_state(job_id)

    def _send_list(self):
        listing = [
            RunnerListing(
                runner.id, "s", f"{runner.id}:1", False, runner.capacity, frozenset(("a", "r1-1")), runner.zone
            )
            for runner in self.runners.values()
            if runner.listed
        ]
        self._deliver(self.primary, RunnersListed(tuple(listing)))
        self.schedule(1.0, self._send_list)

    def evacuate(self, *zones):
        """Evacuate these zones and no others."""
        self.evacuated = frozenset(zones)
        self._deliver(self.primary, ZonesEvacuated(self.evacuated))

    def _deliver(self, primary, event):
        if primary == self.primary:
            self._send(self.scheduler.handle(event, self.now, self.wall_ms()))

    def _send(self, instructions):
        for request in instructions:
            if isinstance(request, StartRun) and self.runners[request.runner].zone in self.evacuated:
                self.violations.append(f"{self.now:.3f} EVAC {request.task} was requested to start on {request.runner}")
            if isinstance(request, StartRun):
                self.requested_at.setdefault((request.task, request.number), self.now)
            self.schedule(self.latency(), self._receive, self.primary, self.scheduler.term, request)

    # -- the runners' side --------------------------------------------------------
    def clock_ms(self, runner):
        return self.now * 1000 * runner.clock_rate

    def _receive(self, primary, term, request):
        runner = self.runners[request.runner]
        if not runner.alive or not runner.reachable:
            self.schedule(1.0, self._time_out_answer, primary, request)
            return
        if runner.unresponsive or (self.late and self.rng.random() < self.late):
            self._process_without_answer(primary, term, request, runner)
            return
        if isinstance(request, StartRun):
            if self.rng.random() < self.faults:
                # Unanswered, and carried out seconds later or never.
                if self.rng.random() < 0.7:
                    self.schedule(self.rng.uniform(0.1, 5.0), self._start, runner, term, request, runner.generation)
                self.schedule(1.0, self._time_out_answer, primary, request)
                return
            result = self._start(runner, term, request, runner.generation)
            if self.rng.random() < self.faults:
                self.schedule(1.0, self._time_out_answer, primary, request)
                return
            answer = StartAnswered(request.runner, request.task, request.number, result, self.clock_ms(runner))
            self.schedule(self.latency(), self._deliver, primary, answer)
        elif isinstance(request, StopRun):
            self._stop(primary, term, request, runner)
        elif self.rng.random() < self.hold_faults:
            # Either the call or its answer is lost.
            if self.rng.random() < 0.5:
                self._hold(primary, term, request, runner, answering=False)
            self.schedule(1.0, self._time_out_answer, primary, request)
        else:
            self._hold(primary, term, request, runner)

    def _process_without_answer(self, primary, term, request, runner):
        """Carry a call out later or never, without an answer."""
        self.schedule(1.0, self._time_out_answer, primary, request)
        if self.rng.random() < 0.5:
            delay = self.rng.uniform(0.0, MAXIMUM_DELAY_S)
            if isinstance(request, StartRun):
                self.schedule(delay, self._start, runner, term, request, runner.generation)
            elif isinstance(request, StopRun):
                self.schedule(delay, self._stop, primary, term, request, runner, runner.generation, False)
            else:
                self.schedule(delay, self._hold, primary, term, request, runner, False, False, runner.generation)

    def _stop(self, primary, term, request, runner, generation=None, answering=True):
        if not runner.alive or generation not in (None, runner.generation):
            return
        fenced = term < runner.fence
        if not fenced:
            runner.fence = term
            run = runner.running.get(request.task)
            if run is not None and run.number == request.number:
                self.schedule(0.1, self._end, runner, request.task, run, "stopped")
            else:
                runner.ended_runs[request.task] = max(request.number, runner.ended_runs.get(request.task, 0))
        if answering:
            answer = StopAnswered(request.runner, request.task, request.number, not fenced, fenced)
            self.schedule(self.latency(), self._deliver, primary, answer)

    def _time_out_answer(self, primary, request):
        if isinstance(request, StartRun):
            self._deliver(primary, StartAnswered(request.runner, request.task, request.number, StartResult.NO_ANSWER))
        elif isinstance(request, StopRun):
            self._deliver(primary, StopAnswered(request.runner, request.task, request.number))
        else:
            self._deliver(primary, HoldFailed(request.runner, HoldFailure.NO_ANSWER))

    def _hold(self, primary, term, request, runner, waited=False, answering=True, generation=None):
        if generation not in (None, runner.generation):
            return
        if term < runner.fence:
            if answering:
                self.schedule(self.latency(), self._deliver, primary, HoldFailed(request.runner, HoldFailure.FENCED))
            return
        runner.fence = term
        if not waited:
            self._forget_ends(runner, request.last_seen)
            if request.deadline_ms:
                self._take_deadline(runner, request.deadline_ms)
            if not answering:
                return
            if not runner.ends and request.wait_ms:
                self.schedule(0.2, self._hold, primary, term, request, runner, True)
                return
        if not runner.alive or not runner.reachable:
            self.schedule(1.0, self._time_out_answer, primary, request)
            return
        running = tuple(RunningTask(task, run.number) for task, run in runner.running.items())
        answer = HoldAnswered(runner.id, self.clock_ms(runner), running, tuple(runner.ends))
        self.schedule(self.latency(), self._deliver, primary, answer)

    def _forget_ends(self, runner, last_seen):
        for end in runner.ends:
            if end.sequence <= last_seen and end.outcome == "done":
                self._acknowledge_end(runner, end)
        runner.ends = [end for end in runner.ends if end.sequence > last_seen]

    def _acknowledge_end(self, runner, end):
        """Record the acknowledgement of an end ``done``, which is final unless the hold has lapsed since the end."""
        if runner.ended_at[end.sequence] <= runner.lapsed_at:
            return
        unit = self._attempt_unit(end.task)
        self.acknowledged.add(unit)
        for started_at, runner_id, task, number in self.starts:
            if started_at > runner.ended_at[end.sequence] and self._attempt_unit(task) == unit and number != end.number:
                self.violations.append(
                    f"{self.now:.3f} TWICE {task} run {number} started on {runner_id} at {started_at:.3f},"
                    f" after run {end.number} had ended on {runner.id} at {runner.ended_at[end.sequence]:.3f},"
                    f" whose end is acknowledged now"
                )

    def _take_deadline(self, runner, deadline_ms):
        """Apply the deadline of a call that starts no run."""
        if runner.running or self.any_checks:
            self._hold_until(runner, deadline_ms)

    def _hold_until(self, runner, deadline_ms):
        limit = self.clock_ms(runner) + self.hold_limit * 1000
        runner.hold_ms = max(runner.hold_ms, min(deadline_ms, limit))
        self.schedule(
            (runner.hold_ms - self.clock_ms(runner)) / 1000 / runner.clock_rate + 0.001, self._end_lapsed_runs, runner
        )

    def _end_lapsed_runs(self, runner):
        if self.clock_ms(runner) >= runner.hold_ms:
            runner.lapsed_at = self.now
            for task, run in list(runner.running.items()):
                self._end(runner, task, run, "lapsed")

    def _start(self, runner, term, request, generation):
        if not runner.alive or generation != runner.generation:
            return StartResult.REPLACED
        if term < runner.fence:
            return StartResult.FENCED
        runner.fence = term
        rejected = self._check_order(runner, request)
        if rejected is not None:
            if rejected is not StartResult.TOO_LATE:
                self._take_deadline(runner, request.deadline_ms)
            return rejected
        step = self._step(request.task)
        self._check_start(runner, request)
        self._hold_until(runner, request.deadline_ms)
        seconds, outcome = self.workload(request.task)
        outcome = "failed" if runner.failing else outcome
        run = runner.running[request.task] = SimulatedRun(request.number, self.now + seconds, outcome)
        self.starts.append((self.now, runner.id, request.task, request.number))
        if step.gang:
            self._join_gang(request.task, request.number, step, seconds)
        else:
            self.schedule(seconds, self._end, runner, request.task, run, outcome)
        return StartResult.STARTED

    def _check_order(self, runner, request):
        """Return the answer of the runner's first check that prevents a start; None if the run starts."""
        run = runner.running.get(request.task)
        there = run is not None and run.number == request.number
        older = run is not None or request.number <= runner.ended_runs.get(request.task, 0)
        deadline_ms = (
            max(request.deadline_ms, runner.hold_ms) if runner.judges_lateness_by_hold else request.deadline_ms
        )
        used = sum(self._step(task).needs.cpu for task in runner.running)
        answers = {
            "there": StartResult.STARTED if there else None,
            "old": StartResult.OLD if older and not there else None,
            "late": StartResult.TOO_LATE if deadline_ms <= self.clock_ms(runner) else None,
            "room": StartResult.NO_CAPACITY
            if used + self._step(request.task).needs.cpu > runner.capacity.cpu
            else None,
        }
        return next((answers[check] for check in runner.checks if answers[check] is not None), None)

    def _step(self, task):
        job, _, step, _ = task.split(".")
        return self.specifications[int(job, 16)].steps[int(step)]

    def _gang_members(self, task, number):
        prefix = task.rpartition(".")[0] + "."
        return [
            (runner, name, run)
            for runner in self.runners.values()
            if runner.alive
            for name, run in runner.running.items()
            if name.startswith(prefix) and run.number == number
        ]

    def _join_gang(self, task, number, step, seconds):
        members = self._gang_members(task, number)
        if len(members) == step.replica_count:
            self.schedule(seconds, self._finish_gang, task, number, step)
        elif len(members) == 1:
            self.schedule(4.0, self._time_out_gang, task, number, step)

    def _finish_gang(self, task, number, step):
        """End a gang's run: ``done`` if all members are present and none fails, otherwise ``broken`` for the others."""
        members = self._gang_members(task, number)
        all_done = len(members) == step.replica_count and all(run.outcome == "done" for _, _, run in members)
        for runner, name, run in members:
            self._end(runner, name, run, "done" if all_done else "failed" if run.outcome == "failed" else "broken")

    def _time_out_gang(self, task, number, step):
        members = self._gang_members(task, number)
        if members and len(members) < step.replica_count:
            self.gang_timeouts += 1
            for runner, name, run in members:
                self._end(runner, name, run, "alone")

    def _end(self, runner, task, run, outcome):
        if not runner.alive or runner.running.get(task) is not run:
            return
        del runner.running[task]
        runner.ended_runs[task] = run.number
        runner.last_end += 1
        runner.ended_at[runner.last_end] = self.now
        runner.ends.append(TaskEnd(runner.last_end, task, run.number, outcome))
        if outcome == "done":
            self.done.add(task)
        if outcome == "failed":
            self.failed_runs.setdefault(self._attempt_unit(task), set()).add(run.number)

    def _attempt_unit(self, task):
        """Return the unit for which attempts are counted: a task, or the step of a gang."""
        return task.rpartition(".")[0] if self._step(task).gang else task

    def crash(self, runner_id):
        """Crash a runner; a new one, with a new id, replaces it later."""
        runner = self.runners[runner_id]
        if not runner.alive:
            return
        runner.alive, runner.generation = False, runner.generation + 1
        runner.running = {}
        self.schedule(3.0, self._unlist, runner)

    def _unlist(self, runner):
        runner.listed = False
        new_id = f"{runner.id}x"
        self.runners[new_id] = self._new_runner(new_id, runner.capacity, runner.zone)

    # -- invariants ------------------------------------------------------------------
    def _check_final_state(self, job_id):
        """Check that the final state of a job agrees with the runners' record."""
        name, state = f"{job_id:016x}", self.shown[job_id]
        failed = {unit: len(runs) for unit, runs in self.failed_runs.items() if unit.startswith(name)}
        if state is JobState.FAILED and max(failed.values(), default=0) < POLICY.maximum_attempts:
            self.violations.append(f"{self.now:.3f} LOST {name} is shown as failed; failed runs: {failed}")
        if state is JobState.COMPLETED:
            for number, step in enumerate(self.specifications[job_id].steps):
                tasks = {f"{name}.0.{number}.{index}" for index in range(step.replica_count)}
                if not (tasks & self.done if step.gang else tasks <= self.done):
                    self.violations.append(
                        f"{self.now:.3f} MIXED {name} is shown as completed; step {number} has not ended"
                    )

    def _check_start(self, runner, request):
        for other in self.runners.values():
            if other.alive and request.task in other.running:
                self.violations.append(
                    f"{self.now:.3f} TWICE {request.task} run {request.number} on {runner.id} beside {other.id}"
                )
        if self._attempt_unit(request.task) in self.acknowledged:
            self.violations.append(f"{self.now:.3f} TWICE {request.task} after its end was acknowledged")
        job, repetition, step, _ = request.task.split(".")
        for earlier in self._step(request.task).depends_on:
            count_needed = self.specifications[int(job, 16)].steps[earlier].replica_count
            if any(f"{job}.{repetition}.{earlier}.{index}" not in self.done for index in range(count_needed)):
                self.violations.append(f"{self.now:.3f} ORDER {request.task}")
        state = self.shown.get(int(job, 16))
        # A runner may carry out an earlier request seconds later.
        requested_at = self.requested_at[request.task, request.number]
        if state is JobState.COMPLETED and requested_at >= self.shown_at[int(job, 16)]:
            self.violations.append(f"{self.now:.3f} TWICE {request.task} after its job was shown as completed")
