"""How long the scheduler's decisions take, for fleets of several sizes: processor time for each start of a task."""

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
TASKS_OF_JOB = 8
# Runs under way for each runner: about two thirds of the room is taken.
RUNS_PER_RUNNER = 3.6


@define(slots=True, eq=False)
class DecisionPlay:
    """A fleet whose runs end at random while jobs keep coming."""

    runners: int
    luck: random.Random = field(factory=lambda: random.Random(1))
    scheduler: Scheduler = field(factory=lambda: Scheduler(1, 0.0, JobTiming()))
    running: list[StartRun] = field(factory=list)
    ends: dict[str, int] = field(factory=dict)
    now: float = 1.0
    spent_s: float = 0.0
    starts: int = 0
    jobs: int = 0

    def begin(self) -> None:
        """List the runners, and let each answer."""
        ids = [f"i-{number}" for number in range(self.runners)]
        listings = [
            RunnerListing(id, "s", id, False, CAPACITY, frozenset(("a", f"r1-{number // RUNNERS_PER_RACK}")))
            for number, id in enumerate(ids)
        ]
        self.scheduler.handle(RunnersListed(tuple(listings)), self.now, WALL_MS)
        self.scheduler.tick(self.now, WALL_MS)
        for runner in ids:
            self.scheduler.handle(HoldAnswered(runner, 1000.0, (), ()), self.now, WALL_MS)

    def step(self) -> None:
        """One tick: a job more, its starts, and as many ends as keep the fleet equally full."""
        self._add_job()
        self.now += TICK_S
        began = time.process_time()
        orders = self.scheduler.tick(self.now, WALL_MS)
        self.spent_s += time.process_time() - began
        for order in orders:
            if isinstance(order, StartRun):
                self.starts += 1
                self.running.append(order)
                answer = StartAnswered(order.runner, order.task, order.number, StartResult.STARTED, self.now * 1000)
                self._handle(answer)
        while len(self.running) > self.runners * RUNS_PER_RUNNER:
            self._end(self.running.pop(self.luck.randrange(len(self.running))))
        changes = self.scheduler.take_changes()
        if changes is not None:
            self.scheduler.mark_stored(changes)

    def _add_job(self) -> None:
        self.jobs += 1
        step = {"replicaCount": TASKS_OF_JOB, "cpu": self.luck.randint(2000, 9000), "memoryRequestMb": 8000}
        body = json.dumps({"steps": [step]}).encode()
        self.scheduler.add(Job(self.jobs, "q", QueuePolicy(1, "s", 0, 3), parse_job(body).unwrap(), body, self.jobs))

    def _end(self, order: StartRun) -> None:
        number = self.ends[order.runner] = self.ends.get(order.runner, 0) + 1
        end = TaskEnd(number, order.task, order.number, "done")
        self._handle(HoldAnswered(order.runner, self.now * 1000, (), (end,)))

    def _handle(self, event: StartAnswered | HoldAnswered) -> None:
        began = time.process_time()
        self.scheduler.handle(event, self.now, WALL_MS)
        self.spent_s += time.process_time() - began


def microseconds_per_start(runners: int, starts: int) -> float:
    """Return the processor time of the scheduler for each start, all events included, once the fleet is full.

    >>> microseconds_per_start(8, 40) > 0
    True
    """
    play = DecisionPlay(runners)
    play.begin()
    while len(play.running) < runners * RUNS_PER_RUNNER * 0.9:
        play.step()
    play.spent_s, play.starts = 0.0, 0
    while play.starts < starts:
        play.step()
    return play.spent_s / play.starts * 1e6


def decisions(*sizes: int, starts: int = 4000) -> int:
    """Measure the scheduler's processor time for each start.

    :param sizes: how many runners; 178, 1000 and 10000 without any
    :param starts: how many starts are measured for each size
    """
    for runners in sizes or (178, 1000, 10000):
        print(
            f"{runners} runners: {microseconds_per_start(runners, starts):.0f} microseconds for each start", flush=True
        )
    return 0
