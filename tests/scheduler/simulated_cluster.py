"""A cluster of runners, a store and primaries in simulated time, with faults drawn by seed.

What must not happen is checked as it happens: two runs of a task at once, a start after an end ``done``
that was taken note of, a start before an earlier step has ended, more than a runner has room for, and
gangs that don't come together in calm times. The runners' side keeps an account of its own of the runs that ended
``done`` and ``failed``; a job may be shown as failed, or as completed, only where that account says so. At each tick
each task whose turn has come must be looked after (``unattended``).
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
from tests.scheduler.unattended import unattended

TICK_S = 0.02
STORE_S = 0.03
# A call without an answer is carried out at most so much later, in seconds.
LATEST_S = 12.0
# What a runner may ask before it begins a run, in any order but for the fence.
CHECKS = ("there", "old", "late", "room")
WALL_MS = 1_700_000_000_000
POLICY = QueuePolicy(1, "s", 0, 3)


@define(slots=True, eq=False)
class SimulatedRun:
    number: int
    ends_at: float
    how: str
    gang_size: int = 1


@define(slots=True, eq=False)
class SimulatedRunner:
    """A runner; its clock runs at ``rate`` of the true one, by default 2% slow."""

    id: str
    capacity: Resources
    rate: float = 0.98
    up: bool = True
    reachable: bool = True
    listed: bool = True
    sick: bool = False
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
    mute: bool = False
    checks: tuple[str, ...] = CHECKS
    late_by_hold: bool = False


class Cluster:
    """Plays one seed.

    ``faults``: the chance of each kind of fault with each order to start. ``hold_faults``: the chance that a call to
    hold, or its answer, is lost. ``late``: the chance that a call of any kind gets no answer and is carried out up to
    ``LATEST_S`` later. ``any_checks``: each runner makes its checks in an order of its own, and judges lateness by the
    order's deadline or by the hold in force (the pages leave both open). A ``mute`` runner answers nothing, and carries
    half of its calls out.
    """

    def __init__(
        self, seed, runners=8, faults=0.0, hold_limit=6.0, work=None, hold_faults=0.0, late=0.0, any_checks=False
    ):
        self.luck = random.Random(seed)
        self.now, self.faults, self.hold_limit = 100.0, faults, hold_limit
        self.hold_faults, self.late = hold_faults, late
        self.any_checks, self.check_luck = any_checks, random.Random(f"checks {seed}")
        self.timing = JobTiming(hold_limit, 4.0)
        self.work = work or (
            lambda _task: (self.luck.uniform(0.1, 2.0), "failed" if self.luck.random() < 0.03 else "done")
        )
        capacity = Resources(8000, 16000, 0)
        self.runners = {f"i-{n}": self._new_runner(f"i-{n}", capacity, f"z{n % 2}") for n in range(runners)}
        self.evacuated = frozenset()
        self.events, self.sequence = [], count()
        self.wrong, self.starts = [], []
        self.noted, self.done = set(), set()
        self.blob, self.scheduler, self.primary = b"", None, 0
        self.specifications, self.shown = {}, {}
        self.alone = 0
        # When a job was shown as ended, by id, and when an order to start a run was given first.
        self.shown_at, self.ordered_at = {}, {}
        # The runners' account: numbers of the runs that failed, by task, or by step for a gang.
        self.failed_runs = {}
        self.new_primary()
        self.at(0.0, self._tick)
        self.at(0.0, self._list)

    def _new_runner(self, id, capacity, zone):
        runner = SimulatedRunner(id, capacity, zone=zone)
        if self.any_checks:
            runner.checks = tuple(self.check_luck.sample(CHECKS, len(CHECKS)))
            runner.late_by_hold = self.check_luck.random() < 0.5
        return runner

    # -- time -----------------------------------------------------------------
    def at(self, delay, call, *args):
        heapq.heappush(self.events, (self.now + delay, next(self.sequence), call, args))

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        self.now = end

    def wall_ms(self):
        return WALL_MS + self.now * 1000

    def latency(self):
        return self.luck.uniform(0.0005, 0.004)

    # -- primaries --------------------------------------------------------------
    def new_primary(self):
        """Another member becomes the primary, with what is stored."""
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
        """Stores a job and hands it to the present primary."""
        if self.writing:
            self.at(0.005, self.submit, job_id, body, policy)
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
        self._carry_out(self.scheduler.tick(self.now, self.wall_ms()))
        self.wrong += [f"{self.now:.3f} LOST {name}: {why}" for name, why in unattended(self.scheduler)]
        if not self.writing and (changes := self.scheduler.take_changes()) is not None:
            self.writing = True
            for job in changes.jobs:
                self.store.put(job, int(self.wall_ms()))
            self.at(STORE_S, self._stored, self.primary, changes, self.store.blob())
        self.at(TICK_S, self._tick)

    def _stored(self, primary, changes, blob):
        if primary != self.primary:
            return
        self.blob, self.writing = blob, False
        self.scheduler.stored(changes)
        for job_id in changes.ended:
            self.shown[job_id] = JobState(self.store.ended[job_id].state)
            self.shown_at[job_id] = self.now
            self._check_shown(job_id)

    def _list(self):
        listing = [
            RunnerListing(r.id, "s", f"{r.id}:1", False, r.capacity, frozenset(("a", "r1-1")), r.zone)
            for r in self.runners.values()
            if r.listed
        ]
        self._tell(self.primary, RunnersListed(tuple(listing)))
        self.at(1.0, self._list)

    def evacuate(self, *zones):
        """Evacuates these zones and no others."""
        self.evacuated = frozenset(zones)
        self._tell(self.primary, ZonesEvacuated(self.evacuated))

    def _tell(self, primary, event):
        if primary == self.primary:
            self._carry_out(self.scheduler.handle(event, self.now, self.wall_ms()))

    def _carry_out(self, instructions):
        for order in instructions:
            if isinstance(order, StartRun) and self.runners[order.runner].zone in self.evacuated:
                self.wrong.append(f"{self.now:.3f} EVAC {order.task} is to start on {order.runner}")
            if isinstance(order, StartRun):
                self.ordered_at.setdefault((order.task, order.number), self.now)
            self.at(self.latency(), self._arrive, self.primary, self.scheduler.term, order)

    # -- the runners' side --------------------------------------------------------
    def clock_ms(self, runner):
        return self.now * 1000 * runner.rate

    def _arrive(self, primary, term, order):
        runner = self.runners[order.runner]
        if not runner.up or not runner.reachable:
            self.at(1.0, self._lose_answer, primary, order)
            return
        if runner.mute or (self.late and self.luck.random() < self.late):
            self._leave_unanswered(primary, term, order, runner)
            return
        if isinstance(order, StartRun):
            if self.luck.random() < self.faults:
                # Left without an answer, and carried out seconds later, or never.
                if self.luck.random() < 0.7:
                    self.at(self.luck.uniform(0.1, 5.0), self._start, runner, term, order, runner.generation)
                self.at(1.0, self._lose_answer, primary, order)
                return
            result = self._start(runner, term, order, runner.generation)
            if self.luck.random() < self.faults:
                self.at(1.0, self._lose_answer, primary, order)
                return
            answer = StartAnswered(order.runner, order.task, order.number, result, self.clock_ms(runner))
            self.at(self.latency(), self._tell, primary, answer)
        elif isinstance(order, StopRun):
            self._stop(primary, term, order, runner)
        elif self.luck.random() < self.hold_faults:
            # Either the call or its answer is lost.
            if self.luck.random() < 0.5:
                self._hold(primary, term, order, runner, answering=False)
            self.at(1.0, self._lose_answer, primary, order)
        else:
            self._hold(primary, term, order, runner)

    def _leave_unanswered(self, primary, term, order, runner):
        """Carries a call out later, or never, and answers nothing."""
        self.at(1.0, self._lose_answer, primary, order)
        if self.luck.random() < 0.5:
            delay = self.luck.uniform(0.0, LATEST_S)
            if isinstance(order, StartRun):
                self.at(delay, self._start, runner, term, order, runner.generation)
            elif isinstance(order, StopRun):
                self.at(delay, self._stop, primary, term, order, runner, runner.generation, False)
            else:
                self.at(delay, self._hold, primary, term, order, runner, False, False, runner.generation)

    def _stop(self, primary, term, order, runner, generation=None, answering=True):
        if not runner.up or generation not in (None, runner.generation):
            return
        fenced = term < runner.fence
        if not fenced:
            runner.fence = term
            run = runner.running.get(order.task)
            if run is not None and run.number == order.number:
                self.at(0.1, self._end, runner, order.task, run, "stopped")
            else:
                runner.ended_runs[order.task] = max(order.number, runner.ended_runs.get(order.task, 0))
        if answering:
            answer = StopAnswered(order.runner, order.task, order.number, not fenced, fenced)
            self.at(self.latency(), self._tell, primary, answer)

    def _lose_answer(self, primary, order):
        if isinstance(order, StartRun):
            self._tell(primary, StartAnswered(order.runner, order.task, order.number, StartResult.NO_ANSWER))
        elif isinstance(order, StopRun):
            self._tell(primary, StopAnswered(order.runner, order.task, order.number))
        else:
            self._tell(primary, HoldFailed(order.runner, HoldFailure.NO_ANSWER))

    def _hold(self, primary, term, order, runner, waited=False, answering=True, generation=None):
        if generation not in (None, runner.generation):
            return
        if term < runner.fence:
            if answering:
                self.at(self.latency(), self._tell, primary, HoldFailed(order.runner, HoldFailure.FENCED))
            return
        runner.fence = term
        if not waited:
            self._forget_ends(runner, order.last_seen)
            if order.deadline_ms:
                self._take_deadline(runner, order.deadline_ms)
            if not answering:
                return
            if not runner.ends and order.wait_ms:
                self.at(0.2, self._hold, primary, term, order, runner, True)
                return
        if not runner.up or not runner.reachable:
            self.at(1.0, self._lose_answer, primary, order)
            return
        running = tuple(RunningTask(task, run.number) for task, run in runner.running.items())
        answer = HoldAnswered(runner.id, self.clock_ms(runner), running, tuple(runner.ends))
        self.at(self.latency(), self._tell, primary, answer)

    def _forget_ends(self, runner, last_seen):
        for end in runner.ends:
            if end.sequence <= last_seen and end.how == "done":
                self._note_end(runner, end)
        runner.ends = [end for end in runner.ends if end.sequence > last_seen]

    def _note_end(self, runner, end):
        """An end ``done`` is taken note of: it stands, unless the runner's hold has lapsed in between."""
        if runner.ended_at[end.sequence] <= runner.lapsed_at:
            return
        unit = self._unit(end.task)
        self.noted.add(unit)
        for at, runner_id, task, number in self.starts:
            if at > runner.ended_at[end.sequence] and self._unit(task) == unit and number != end.number:
                self.wrong.append(
                    f"{self.now:.3f} TWICE {task} run {number} began on {runner_id} at {at:.3f}, after run {end.number}"
                    f" had ended on {runner.id} at {runner.ended_at[end.sequence]:.3f}, which is noted now"
                )

    def _take_deadline(self, runner, deadline_ms):
        """Takes the deadline of a call that begins nothing."""
        if runner.running or self.any_checks:
            self._hold_until(runner, deadline_ms)

    def _hold_until(self, runner, deadline_ms):
        limit = self.clock_ms(runner) + self.hold_limit * 1000
        runner.hold_ms = max(runner.hold_ms, min(deadline_ms, limit))
        self.at((runner.hold_ms - self.clock_ms(runner)) / 1000 / runner.rate + 0.001, self._lapse, runner)

    def _lapse(self, runner):
        if self.clock_ms(runner) >= runner.hold_ms:
            runner.lapsed_at = self.now
            for task, run in list(runner.running.items()):
                self._end(runner, task, run, "lapsed")

    def _start(self, runner, term, order, generation):
        if not runner.up or generation != runner.generation:
            return StartResult.REPLACED
        if term < runner.fence:
            return StartResult.FENCED
        runner.fence = term
        rejected = self._check_order(runner, order)
        if rejected is not None:
            if rejected is not StartResult.TOO_LATE:
                self._take_deadline(runner, order.deadline_ms)
            return rejected
        step = self._step(order.task)
        self._check_start(runner, order)
        self._hold_until(runner, order.deadline_ms)
        seconds, how = self.work(order.task)
        how = "failed" if runner.sick else how
        run = runner.running[order.task] = SimulatedRun(order.number, self.now + seconds, how)
        self.starts.append((self.now, runner.id, order.task, order.number))
        if step.gang:
            self._join_gang(order.task, order.number, step, seconds)
        else:
            self.at(seconds, self._end, runner, order.task, run, how)
        return StartResult.STARTED

    def _check_order(self, runner, order):
        """What a runner answers without beginning anything, in its order of checks; None where it begins the run."""
        run = runner.running.get(order.task)
        there = run is not None and run.number == order.number
        older = run is not None or order.number <= runner.ended_runs.get(order.task, 0)
        deadline_ms = max(order.deadline_ms, runner.hold_ms) if runner.late_by_hold else order.deadline_ms
        used = sum(self._step(task).needs.cpu for task in runner.running)
        answers = {
            "there": StartResult.STARTED if there else None,
            "old": StartResult.OLD if older and not there else None,
            "late": StartResult.TOO_LATE if deadline_ms <= self.clock_ms(runner) else None,
            "room": StartResult.NO_CAPACITY if used + self._step(order.task).needs.cpu > runner.capacity.cpu else None,
        }
        return next((answers[check] for check in runner.checks if answers[check] is not None), None)

    def _step(self, task):
        job, _, step, _ = task.split(".")
        return self.specifications[int(job, 16)].steps[int(step)]

    def _members(self, task, number):
        prefix = task.rpartition(".")[0] + "."
        return [
            (runner, name, run)
            for runner in self.runners.values()
            if runner.up
            for name, run in runner.running.items()
            if name.startswith(prefix) and run.number == number
        ]

    def _join_gang(self, task, number, step, seconds):
        members = self._members(task, number)
        if len(members) == step.replica_count:
            self.at(seconds, self._gang_done, task, number, step)
        elif len(members) == 1:
            self.at(4.0, self._gang_late, task, number, step)

    def _gang_done(self, task, number, step):
        """Ends a gang's run: done where all members are there and none fails; else it breaks for those that don't."""
        members = self._members(task, number)
        all_done = len(members) == step.replica_count and all(run.how == "done" for _, _, run in members)
        for runner, name, run in members:
            self._end(runner, name, run, "done" if all_done else "failed" if run.how == "failed" else "broken")

    def _gang_late(self, task, number, step):
        members = self._members(task, number)
        if members and len(members) < step.replica_count:
            self.alone += 1
            for runner, name, run in members:
                self._end(runner, name, run, "alone")

    def _end(self, runner, task, run, how):
        if not runner.up or runner.running.get(task) is not run:
            return
        del runner.running[task]
        runner.ended_runs[task] = run.number
        runner.last_end += 1
        runner.ended_at[runner.last_end] = self.now
        runner.ends.append(TaskEnd(runner.last_end, task, run.number, how))
        if how == "done":
            self.done.add(task)
        if how == "failed":
            self.failed_runs.setdefault(self._unit(task), set()).add(run.number)

    def _unit(self, task):
        """What attempts are counted for: a task, or the step of a gang."""
        return task.rpartition(".")[0] if self._step(task).gang else task

    def crash(self, runner_id):
        """A runner ends; another one, with a new id, comes up later."""
        runner = self.runners[runner_id]
        if not runner.up:
            return
        runner.up, runner.generation = False, runner.generation + 1
        runner.running = {}
        self.at(3.0, self._unlist, runner)

    def _unlist(self, runner):
        runner.listed = False
        new = f"{runner.id}x"
        self.runners[new] = self._new_runner(new, runner.capacity, runner.zone)

    # -- what must not happen -------------------------------------------------------
    def _check_shown(self, job_id):
        """A job is shown as failed, or as completed, only with cause."""
        name, state = f"{job_id:016x}", self.shown[job_id]
        failed = {unit: len(runs) for unit, runs in self.failed_runs.items() if unit.startswith(name)}
        if state is JobState.FAILED and max(failed.values(), default=0) < POLICY.maximum_attempts:
            self.wrong.append(f"{self.now:.3f} LOST {name} is shown as failed; failed runs: {failed}")
        if state is JobState.COMPLETED:
            for number, step in enumerate(self.specifications[job_id].steps):
                tasks = {f"{name}.0.{number}.{index}" for index in range(step.replica_count)}
                if not (tasks & self.done if step.gang else tasks <= self.done):
                    self.wrong.append(f"{self.now:.3f} MIXED {name} is shown as completed; step {number} has not ended")

    def _check_start(self, runner, order):
        for other in self.runners.values():
            if other.up and order.task in other.running:
                self.wrong.append(
                    f"{self.now:.3f} TWICE {order.task} run {order.number} on {runner.id} beside {other.id}"
                )
        if self._unit(order.task) in self.noted:
            self.wrong.append(f"{self.now:.3f} TWICE {order.task} after its end was noted")
        job, time, step, _ = order.task.split(".")
        for earlier in self._step(order.task).depends_on:
            count_needed = self.specifications[int(job, 16)].steps[earlier].replica_count
            if any(f"{job}.{time}.{earlier}.{i}" not in self.done for i in range(count_needed)):
                self.wrong.append(f"{self.now:.3f} ORDER {order.task}")
        state = self.shown.get(int(job, 16))
        # What was ordered before, a runner may carry out seconds later.
        ordered_at = self.ordered_at[order.task, order.number]
        if state is JobState.COMPLETED and ordered_at >= self.shown_at[int(job, 16)]:
            self.wrong.append(f"{self.now:.3f} TWICE {order.task} after its job was shown as completed")
