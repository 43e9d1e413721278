"""Fake runner for tasks: it starts runs on order, holds them until a deadline and lists ended runs.

All ``TaskRunner`` objects of a test share one ``RunLog``, which records every
start and end and detects violations: two concurrent runs of a task, and a start
after an end with outcome ``done`` that is acknowledged before or after the start.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING, Any

from aiohttp import web
from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable

MAXIMUM_HOLD_WAIT_MS = 2000
# Checks of an order to start, after the check of the fence number. A runner may make them in any order.
CHECKS = ("there", "old", "late", "room")
DEFAULT_CAPACITY = {"cpu": 8000, "memoryRequestMb": 16000, "gpuCount": 0}


@define(frozen=True, slots=True)
class Work:
    """Behaviour of a started task.

    Attributes
    ----------
    duration_s
        Duration of the run.
    outcome
        Outcome: ``done`` or ``failed``.
    """

    duration_s: float = 0.05
    outcome: str = "done"


@define(slots=True, eq=False)
class RunLog:
    """Records the runs on all runners of a test.

    Attributes
    ----------
    starts
        (runner, task, run) of each start, in order of time.
    done
        Tasks with a run that ended ``done``.
    acknowledged
        Tasks whose end ``done`` was acknowledged by a hold call.
    failed
        Numbers of the failed runs, by task.
    violations
        A message for each violation.
    """

    starts: list[tuple[str, str, int]] = field(factory=list)
    done: set[str] = field(factory=set)
    acknowledged: set[str] = field(factory=set)
    failed: dict[str, set[int]] = field(factory=dict)
    violations: list[str] = field(factory=list)
    _running: dict[str, tuple[str, int]] = field(factory=dict)
    # Number of recorded starts at the time a run ended ``done``, by task and run.
    _starts_until_done: dict[tuple[str, int], int] = field(factory=dict)

    def record_start(self, runner: str, task: str, run: int) -> None:
        """Record a start and any violation."""
        if task in self._running:
            self.violations.append(f"{task} run {run} started on {runner} while running on {self._running[task]}")
        if task in self.acknowledged:
            self.violations.append(f"{task} run {run} started on {runner} after an acknowledged end")
        self.starts.append((runner, task, run))
        self._running[task] = (runner, run)

    def record_end(self, runner: str, task: str, run: int, outcome: str) -> None:
        """Record an end."""
        if self._running.get(task) == (runner, run):
            del self._running[task]
        if outcome == "done":
            self.done.add(task)
            self._starts_until_done[task, run] = len(self.starts)
        if outcome == "failed":
            self.failed.setdefault(task, set()).add(run)

    def record_acknowledgement(self, task: str, run: int) -> None:
        """Record the acknowledgement of an end ``done``, and any start of the task since that end as a violation."""
        self.acknowledged.add(task)
        for runner, started_task, started_run in self.starts[self._starts_until_done[task, run] :]:
            if started_task == task:
                self.violations.append(
                    f"{task} run {started_run} started on {runner} after the end of run {run}, acknowledged since"
                )

    def max_task_failures(self, job: str) -> int:
        """Return the largest number of failed runs of a single task of a job.

        >>> log = RunLog(); log.record_end("i", "ab.0.0.0", 1, "failed"); log.record_end("i", "ab.0.0.0", 1, "failed")
        >>> log.max_task_failures("ab")
        1
        """
        return max((len(runs) for task, runs in self.failed.items() if task.startswith(f"{job}.")), default=0)


@define(slots=True, eq=False)
class _Run:
    """An active run on a runner."""

    number: int
    needs: dict[str, int]
    timer: asyncio.TimerHandle


@define(slots=True, eq=False)
class TaskRunner:
    """A fake runner for tasks.

    Attributes
    ----------
    id, service
        Instance id, and service of the runner.
    log
        Log shared by all runners of a test.
    work
        Returns the behaviour of a task, by its name.
    needs
        Returns the resources that a task requires, by its name; none by default.
    capacity, labels
        Values in the platform's list entry.
    refuses
        Statuses with which the next orders to start are rejected; 0 leaves the order unanswered.
    sick
        Whether all runs end with ``failed``.
    zone
        Zone of the runner.
    late_s
        Delay in seconds after which an unanswered order to start is executed.
    checks
        ``CHECKS`` in the order in which this runner makes them.
    late_by_hold
        Whether an order to start is late only after the current hold has expired too, not by its own deadline alone.
    orders
        Number of received orders to start.
    """

    id: str
    service: str
    log: RunLog
    work: Callable[[str], Work] = lambda _task: Work()
    needs: Callable[[str], dict[str, int]] = lambda _task: {}
    capacity: dict[str, int] = field(factory=lambda: dict(DEFAULT_CAPACITY))
    labels: tuple[str, ...] = ("a", "r1-1")
    refuses: list[int] = field(factory=list)
    sick: bool = False
    zone: str = "z1"
    late_s: float = 0.2
    checks: tuple[str, ...] = CHECKS
    late_by_hold: bool = False
    draining: bool = False
    port: int = 0
    fence: int = 0
    hold_until_ms: float = 0.0
    orders: int = 0
    running: dict[str, _Run] = field(factory=dict)
    ends: list[list[Any]] = field(factory=list)
    _last_end_sequence: int = 0
    _last_voided_sequence: int = 0
    _last_finished_run: dict[str, int] = field(factory=dict)
    _run_ended: asyncio.Event = field(factory=asyncio.Event)
    _server: web.ServerRunner | None = None
    _hold_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> TaskRunner:
        """Start listening; return self."""
        self._server = web.ServerRunner(web.Server(self._handle_request, access_log=None), shutdown_timeout=0.01)
        await self._server.setup()
        await web.TCPSite(self._server, host, port).start()
        self.port = self._server.addresses[0][1]
        return self

    async def stop(self) -> None:
        """Stop immediately: active runs die without a listed end."""
        for task in list(self.running):
            run = self.running.pop(task)
            run.timer.cancel()
            self.log.record_end(self.id, task, run.number, "died")
        if self._hold_timer is not None:
            self._hold_timer.cancel()
        if self._server is not None:
            await self._server.cleanup()

    def entry(self) -> dict[str, Any]:
        """Return the runner's entry in the platform's list."""
        return {
            "runnerId": self.id,
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "revision": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "capacity": dict(self.capacity),
            "labels": list(self.labels),
        }

    # -- calls ------------------------------------------------------------------
    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        if request.headers.get("X-Sparloom-Expected-Instance", self.id) != self.id:
            return web.Response(status=421, headers={"X-Sparloom-Instance": self.id})
        call = json.loads(await request.read() or b"{}")
        if request.path == "/-/run-start":
            return await self._handle_start(call)
        if request.path == "/-/run-stop":
            return self._handle_stop(call)
        if request.path == "/-/hold":
            return await self._handle_hold(call)
        return web.Response(status=404)

    def _respond(self, status: int = 200, **body: Any) -> web.Response:
        return web.json_response({"clockMs": int(self._clock_ms()), **body}, status=status)

    def _clock_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000

    def _is_fenced(self, call: dict[str, Any]) -> bool:
        """Whether a call has a stale fence number; records the number otherwise."""
        if call.get("fenceNumber", 0) < self.fence:
            return True
        self.fence = call.get("fenceNumber", 0)
        return False

    async def _handle_start(self, call: dict[str, Any]) -> web.Response:
        self.orders += 1
        status = self.refuses.pop(0) if self.refuses else None
        if status == 0:
            asyncio.get_running_loop().call_later(self.late_s, self._execute_start, call)
            await asyncio.sleep(60)
        if status is not None:
            return web.Response(status=status)
        reason = self._execute_start(call)
        return self._respond(409, reason=reason) if reason else self._respond()

    def _execute_start(self, call: dict[str, Any]) -> str | None:
        """Execute an order to start; return the reason if it is rejected, None otherwise."""
        if self._is_fenced(call):
            return "fence"
        task, number = call["task"], call["runId"]
        failed_check = next((check for check in self.checks if self._rejects(check, call)), None)
        if failed_check is not None:
            if failed_check != "late" and self.running:
                self._extend_hold(call["deadlineMs"])
            return None if failed_check == "there" else failed_check
        self._extend_hold(call["deadlineMs"])
        work = self.work(task)
        outcome = "failed" if self.sick else work.outcome
        timer = asyncio.get_running_loop().call_later(work.duration_s, self._end_run, task, outcome)
        self.running[task] = _Run(number, self.needs(task), timer)
        self.log.record_start(self.id, task, number)
        return None

    def _rejects(self, check: str, call: dict[str, Any]) -> bool:
        """Whether a check prevents an order to start from beginning a run."""
        task, number = call["task"], call["runId"]
        run = self.running.get(task)
        is_running = run is not None and run.number == number
        if check == "there":
            return is_running
        if check == "old":
            return not is_running and (run is not None or number <= self._last_finished_run.get(task, 0))
        if check == "late":
            hold_ms = self.hold_until_ms if self.late_by_hold else 0.0
            return bool(max(call["deadlineMs"], hold_ms) <= self._clock_ms())
        return not self._has_capacity(self.needs(task))

    def _has_capacity(self, needs: dict[str, int]) -> bool:
        used = [run.needs for run in self.running.values()]
        return all(
            sum(resources.get(name, 0) for resources in used) + amount <= self.capacity.get(name, 0)
            for name, amount in needs.items()
        )

    def _handle_stop(self, call: dict[str, Any]) -> web.Response:
        if self._is_fenced(call):
            return self._respond(409, reason="fence")
        run = self.running.get(call["task"])
        if run is not None and run.number == call["runId"]:
            self._end_run(call["task"], "stopped")
        else:
            # The run has not started here; a later order to start it will be rejected.
            self._last_finished_run[call["task"]] = max(call["runId"], self._last_finished_run.get(call["task"], 0))
        return self._respond()

    async def _handle_hold(self, call: dict[str, Any]) -> web.Response:
        if self._is_fenced(call):
            return self._respond(409, reason="fence")
        last_acknowledged = call.get("lastSeen", 0)
        for sequence, task, run, outcome, _ in self.ends:
            # Ends that were listed before the hold expired are void.
            if self._last_voided_sequence < sequence <= last_acknowledged and outcome == "done":
                self.log.record_acknowledgement(task, run)
        self.ends = [end for end in self.ends if end[0] > last_acknowledged]
        if "deadlineMs" in call and self.running:
            self._extend_hold(call["deadlineMs"])
        if not self.ends and call.get("waitMs"):
            self._run_ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(call["waitMs"], MAXIMUM_HOLD_WAIT_MS) / 1000):
                    await self._run_ended.wait()
        running = [[task, run.number, "", 0] for task, run in self.running.items()]
        return self._respond(running=running, endTime=self.ends[:500])

    # -- holds and ends of runs -------------------------------------------------
    def _extend_hold(self, deadline_ms: float) -> None:
        self.hold_until_ms = max(self.hold_until_ms, deadline_ms)
        if self._hold_timer is not None:
            self._hold_timer.cancel()
        remaining_s = (self.hold_until_ms - self._clock_ms()) / 1000
        self._hold_timer = asyncio.get_running_loop().call_later(remaining_s, self._on_hold_expired)

    def _on_hold_expired(self) -> None:
        self._last_voided_sequence = self._last_end_sequence
        for task in list(self.running):
            self._end_run(task, "lapsed")

    def _end_run(self, task: str, outcome: str) -> None:
        run = self.running.pop(task, None)
        if run is None:
            return
        run.timer.cancel()
        self._last_finished_run[task] = run.number
        self._last_end_sequence += 1
        self.ends.append([self._last_end_sequence, task, run.number, outcome, ""])
        self.log.record_end(self.id, task, run.number, outcome)
        self._run_ended.set()
