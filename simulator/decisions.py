"""Benchmark of the scheduler's decisions: CPU time per start of a task, for fleets of several sizes."""

from __future__ import annotations

import json
import random
import time

from attrs import define, field

from sparloom.scheduler.events import HoldAnswered, RunnersListed, StartAnswered, StartResult, StartRun, TaskEnd
from sparloom.scheduler.jobs import Job
from sparloom.scheduler.messages import QueuePolicy
from sparloom.scheduler.runners import RunnerListing
from sparloom.scheduler.scheduler import JobTiming, Scheduler
from sparloom.scheduler.specification import Resources, parse_job

WALL_MS = 1e12
TICK_S = 0.02
CAPACITY = Resources(32000, 131072, 0)
RUNNERS_PER_RACK = 8
TASKS_PER_JOB = 8
# Number of active runs per runner; they take about two thirds of the capacity.
RUNS_PER_RUNNER = 3.6


@define(slots=True, eq=False)
class SchedulerLoad:
    """A simulated fleet with a continuous load: jobs are added all the time, and runs end at random."""

    runners: int
    rng: random.Random = field(factory=lambda: random.Random(1))
    scheduler: Scheduler = field(factory=lambda: Scheduler(1, 0.0, JobTiming()))
    running: list[StartRun] = field(factory=list)
    end_numbers: dict[str, int] = field(factory=dict)
    now: float = 1.0
    cpu_s: float = 0.0
    starts: int = 0
    jobs: int = 0

    def begin(self) -> None:
        """List the runners to the scheduler, and let each one answer its hold."""
        ids = [f"i-{number}" for number in range(self.runners)]
        listings = [
            RunnerListing(
                runner_id, "s", runner_id, False, CAPACITY, frozenset(("a", f"r1-{number // RUNNERS_PER_RACK}"))
            )
            for number, runner_id in enumerate(ids)
        ]
        self.scheduler.handle(RunnersListed(tuple(listings)), self.now, WALL_MS)
        self.scheduler.tick(self.now, WALL_MS)
        for runner in ids:
            self.scheduler.handle(HoldAnswered(runner, 1000.0, (), ()), self.now, WALL_MS)

    def step(self) -> None:
        """Run one tick: add a job, handle the starts, and end as many runs as keep the load constant."""
        self._add_job()
        self.now += TICK_S
        started_at = time.process_time()
        orders = self.scheduler.tick(self.now, WALL_MS)
        self.cpu_s += time.process_time() - started_at
        for order in orders:
            if isinstance(order, StartRun):
                self.starts += 1
                self.running.append(order)
                answer = StartAnswered(order.runner, order.task, order.number, StartResult.STARTED, self.now * 1000)
                self._handle(answer)
        while len(self.running) > self.runners * RUNS_PER_RUNNER:
            self._end(self.running.pop(self.rng.randrange(len(self.running))))
        changes = self.scheduler.take_changes()
        if changes is not None:
            self.scheduler.mark_stored(changes)

    def _add_job(self) -> None:
        self.jobs += 1
        step = {"replicaCount": TASKS_PER_JOB, "cpu": self.rng.randint(2000, 9000), "memoryRequestMb": 8000}
        body = json.dumps({"steps": [step]}).encode()
        self.scheduler.add(Job(self.jobs, "q", QueuePolicy(1, "s", 0, 3), parse_job(body).unwrap(), body, self.jobs))

    def _end(self, order: StartRun) -> None:
        number = self.end_numbers[order.runner] = self.end_numbers.get(order.runner, 0) + 1
        end = TaskEnd(number, order.task, order.number, "done")
        self._handle(HoldAnswered(order.runner, self.now * 1000, (), (end,)))

    def _handle(self, event: StartAnswered | HoldAnswered) -> None:
        started_at = time.process_time()
        self.scheduler.handle(event, self.now, WALL_MS)
        self.cpu_s += time.process_time() - started_at


def microseconds_per_start(runners: int, starts: int) -> float:
    """Return the scheduler's CPU time per start, including all other events, once the fleet has its full load.

    >>> microseconds_per_start(8, 40) > 0
    True
    """
    play = SchedulerLoad(runners)
    play.begin()
    while len(play.running) < runners * RUNS_PER_RUNNER * 0.9:
        play.step()
    play.cpu_s, play.starts = 0.0, 0
    while play.starts < starts:
        play.step()
    return play.cpu_s / play.starts * 1e6


def decisions(*sizes: int, starts: int = 4000) -> int:
    """Measure the scheduler's CPU time per start.

    :param sizes: numbers of runners (default: 178, 1000 and 10000)
    :param starts: number of starts measured for each size
    """
    for runners in sizes or (178, 1000, 10000):
        print(
            f"{runners} runners: {microseconds_per_start(runners, starts):.0f} microseconds for each start", flush=True
        )
    return 0
