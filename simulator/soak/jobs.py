"""The jobs scenario: clients submit batch jobs while controllers, routers and runners restart, crash and pause."""

from __future__ import annotations

import asyncio
import json
import random
from functools import partial
from typing import Any

import aiohttp
from attrs import define, field

from fakes.platform import Platform
from fakes.task_runner import CHECKS, RunLog, TaskRunner, Work

from .faults import inject_overlapping
from .processes import CONTROL_PORT, FRONT_PORT, READINESS_PORT, Fleet

GRACE_S = 5.0
START_TIMEOUT_S = 90.0
# Time limit after the last fault for all accepted jobs to end.
JOBS_END_TIMEOUT_S = 45.0
MAXIMUM_ATTEMPTS = 2
# Maximum time from the acknowledgement of an evacuation until it is in force on all nodes.
EVACUATION_TIMEOUT_S = 5.0
ZONES = ("z0", "z1")
BOUNDS = {"graceS": GRACE_S, "contactMs": 3000, "holdLimitMs": 4000, "gang_ms": 3000, "status_s": 300}
ENDED = ("completed", "failed", "cancelled")
# Number of clients that poll the state of running jobs.
WATCHERS = 3
# Maximum number of concurrent state requests of one watcher.
WATCHER_CONCURRENCY = 8
CONFIGURATION = {
    "revision": 1,
    "routes": [
        {
            "name": "queue",
            "hostname": "h.example",
            "pathPrefix": "/q/",
            "routeKind": "unsafe",
            "timeoutMs": 3000,
            "targetMs": 400,
            "priority": 0,
            "service": "s",
            "maxAttempts": MAXIMUM_ATTEMPTS,
        }
    ],
    "services": [{"name": "s", "rejectsOverload": True}],
}


@define(slots=True, eq=False)
class JobScenario:
    """The run of one seed.

    Attributes
    ----------
    accepted
        Ids of the jobs that were accepted.
    refused
        Ids of the jobs that were refused at every attempt.
    cancelled
        Ids of the jobs whose cancellation was acknowledged.
    counts
        The number of jobs by final state, and the number of observed states.
    cancel_sent
        Ids of the jobs for which a cancellation was sent, acknowledged or not.
    """

    seed: int
    routers: int = 2
    controllers: int = 3
    seconds: float = 15.0
    fleet: Fleet = field(init=False)
    log: RunLog = field(factory=RunLog)
    runners: list[TaskRunner] = field(factory=list)
    accepted: set[str] = field(factory=set)
    refused: set[str] = field(factory=set)
    cancelled: set[str] = field(factory=set)
    counts: dict[str, int] = field(factory=dict)
    cancel_sent: set[str] = field(factory=set)
    rng: random.Random = field(init=False)
    _ends_at: float = 0.0
    _runner_number: int = 0
    _evacuating: bool = False
    _tasks: dict[str, list[str]] = field(factory=dict)

    async def run(self) -> list[str]:
        """Run the scenario; return the faults found."""
        self.rng = random.Random(f"jobs {self.seed}")
        for _ in range(8):
            await self._add_runner()
        platform = await Platform([]).start()
        self._list_runners(platform)
        self.fleet = Fleet.make(
            self.controllers,
            self.routers,
            platform.port,
            GRACE_S,
            deployment="sched",
            orders="call",
            bounds=BOUNDS,
        )
        self.fleet.start()
        try:
            timeout = aiohttp.ClientTimeout(total=3.0)
            async with aiohttp.ClientSession(timeout=timeout) as http:
                await self._wait_until_ready(http)
                self._ends_at = asyncio.get_running_loop().time() + self.seconds
                clients = [self._client(http, number) for number in range(6)]
                watchers = [self._watch(http, number) for number in range(WATCHERS)]
                await asyncio.gather(self._inject_faults(platform), *clients, *watchers)
                await self._wait_until_all_ended(http)
        finally:
            await self.fleet.stop()
            await platform.stop()
            for runner in self.runners:
                await runner.stop()
        return [*self.fleet.faults, *self.log.violations]

    # -- runners ------------------------------------------------------------------
    async def _add_runner(self) -> None:
        self._runner_number += 1
        zone = ZONES[self._runner_number % len(ZONES)]
        runner = TaskRunner(f"i-{self._runner_number}", "s", self.log, work=self._work, zone=zone)
        runner.late_s = self.rng.uniform(0.1, 8.0)
        runner.checks = tuple(self.rng.sample(CHECKS, len(CHECKS)))
        runner.late_by_hold = self.rng.random() < 0.5
        self.runners.append(await runner.start())

    def _work(self, _task: str) -> Work:
        return Work(self.rng.uniform(0.05, 1.5), "failed" if self.rng.random() < 0.1 else "done")

    def _list_runners(self, platform: Platform) -> None:
        platform.entries[:] = [runner.entry() for runner in self.runners]

    # -- start --------------------------------------------------------------------
    async def _wait_until_ready(self, http: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._configure(http):
                await asyncio.sleep(0.1)
            while not await self._routers_ready(http):
                await asyncio.sleep(0.1)

    async def _configure(self, http: aiohttp.ClientSession) -> bool:
        for node in self.fleet.controllers:
            status, _ = await self._call(
                http, "PUT", f"http://{node.ip}:{CONTROL_PORT}/-/configuration", CONFIGURATION, {"If-Match": "0"}
            )
            if status == 200:
                return True
        return False

    async def _routers_ready(self, http: aiohttp.ClientSession) -> bool:
        urls = [f"http://{node.ip}:{READINESS_PORT}/-/ready" for node in self.fleet.routers]
        return all([(await self._call(http, "GET", url))[0] == 200 for url in urls])

    @staticmethod
    async def _call(
        http: aiohttp.ClientSession, method: str, url: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a request; return the status and the JSON object of the response, or status 0 when the call fails."""
        all_headers = {"Host": "h.example", "X-Sparloom-Deadline-Remaining": "2500", **(headers or {})}
        data = None if body is None else json.dumps(body).encode()
        try:
            async with http.request(method, url, data=data, headers=all_headers) as response:
                raw = await response.read()
                return response.status, json.loads(raw) if raw[:1] == b"{" else {}
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return 0, {}

    def _url(self, job: str) -> str:
        return f"http://{self.rng.choice(self.fleet.routers).ip}:{FRONT_PORT}/q/{job}"

    # -- faults -------------------------------------------------------------------
    async def _inject_faults(self, platform: Platform) -> None:
        kinds = ["term", "kill", "kill_all", "router", "pause", "pause", "crash", "unanswered", "unanswered"]
        kinds += ["sick", "sick", "evacuate"]
        faults = [partial(getattr(self, f"_{kind}"), platform) for kind in kinds]
        await inject_overlapping(
            self.rng, faults, (0.2, 2.0), lambda: asyncio.get_running_loop().time() < self._ends_at
        )

    async def _term(self, _platform: Platform) -> None:
        node = self.rng.choice(self.fleet.controllers)
        if node.incarnations:
            await node.terminate()

    async def _kill(self, _platform: Platform) -> None:
        self.rng.choice(self.fleet.controllers).kill()

    async def _kill_all(self, _platform: Platform) -> None:
        if self.rng.random() < 0.3:
            for node in self.fleet.controllers:
                node.kill()

    async def _router(self, _platform: Platform) -> None:
        node = self.rng.choice(self.fleet.routers)
        if node.incarnations:
            await node.terminate()

    async def _pause(self, _platform: Platform) -> None:
        await self.rng.choice(self.fleet.controllers).pause(self.rng.uniform(0.05, 1.2))

    async def _crash(self, platform: Platform) -> None:
        runner = self.rng.choice(self.runners)
        self.runners.remove(runner)
        await runner.stop()
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        await self._add_runner()
        self._list_runners(platform)

    async def _unanswered(self, _platform: Platform) -> None:
        self.rng.choice(self.runners).refuses += self.rng.choices((0, 503, 429), k=self.rng.randint(1, 4))

    async def _sick(self, _platform: Platform) -> None:
        """Some runners fail all their tasks for a few seconds."""
        for runner in self.rng.sample(self.runners, 2):
            runner.sick = True
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        for runner in self.runners:
            runner.sick = False

    async def _evacuate(self, _platform: Platform) -> None:
        """Evacuate a zone and restore it; once the evacuation is in force, no runner there may receive a start order."""
        if self._evacuating:
            return
        self._evacuating = True
        zone = self.rng.choice(ZONES)
        await self._set_evacuation("POST", zone)
        await asyncio.sleep(EVACUATION_TIMEOUT_S)
        order_counts = [(runner, runner.orders) for runner in self.runners if runner.zone == zone]
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        for runner, order_count in order_counts:
            if runner.orders != order_count:
                self.fleet.faults.append(f"EVAC {runner.id} in {zone} received a start order")
        await self._set_evacuation("DELETE", zone)
        self._evacuating = False

    async def _set_evacuation(self, method: str, zone: str) -> None:
        """Send an evacuation call, with retries until it is acknowledged."""
        timeout = aiohttp.ClientTimeout(total=1.5)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            while True:
                for node in self.fleet.controllers:
                    url = f"http://{node.ip}:{CONTROL_PORT}/-/evacuation/{zone}"
                    if (await self._call(http, method, url))[0] == 200:
                        return
                await asyncio.sleep(0.1)

    # -- clients ------------------------------------------------------------------
    def _steps(self, rng: random.Random) -> list[dict[str, Any]]:
        steps: list[dict[str, Any]] = [{"replicaCount": rng.randint(1, 5), "cpu": 500}]
        if rng.random() < 0.4:
            steps.append({"replicaCount": rng.randint(1, 3), "cpu": 500, "dependsOn": [0]})
        return steps

    async def _client(self, http: aiohttp.ClientSession, number: int) -> None:
        rng = random.Random(f"jobs {self.seed} {number}")
        while asyncio.get_running_loop().time() < self._ends_at:
            job = f"{rng.getrandbits(64):016x}"
            steps = self._steps(rng)
            self._tasks[job] = [
                f"{job}.0.{number}.{index}"
                for number, step in enumerate(steps)
                for index in range(step["replicaCount"])
            ]
            await self._submit(http, job, steps)
            if job in self.accepted and rng.random() < 0.08:
                self.cancel_sent.add(job)
                status, _ = await self._call(http, "DELETE", self._url(job))
                if status == 200:
                    self.cancelled.add(job)
            await asyncio.sleep(rng.uniform(0.05, 0.4))

    async def _watch(self, http: aiohttp.ClientSession, number: int) -> None:
        """Poll one router at a time for the state of several jobs concurrently, also while the primary changes."""
        rng = random.Random(f"jobs {self.seed} watcher {number}")
        while asyncio.get_running_loop().time() < self._ends_at:
            known = sorted(self.accepted)
            jobs = rng.sample(known, min(len(known), WATCHER_CONCURRENCY))
            router = rng.choice(self.fleet.routers)
            await asyncio.gather(
                *(self._check_state(http, f"http://{router.ip}:{FRONT_PORT}/q/{job}", job) for job in jobs)
            )
            await asyncio.sleep(rng.uniform(0.01, 0.1))

    async def _check_state(self, http: aiohttp.ClientSession, url: str, job: str) -> None:
        """Request the state of a job, and compare the response with the run log at that moment."""
        status, body = await self._call(http, "GET", url)
        if status == 410:
            self.fleet.faults.append(f"LOST {job} was accepted, and a watcher received 410")
        state = str(body.get("state"))
        self.counts["watched"] = self.counts.get("watched", 0) + 1
        if state == "cancelled" and job not in self.cancel_sent:
            self.fleet.faults.append(f"MIXED {job} is reported as cancelled without a cancellation request")
        self._check_against_run_log(job, state)

    async def _submit(self, http: aiohttp.ClientSession, job: str, steps: list[dict[str, Any]]) -> None:
        """Submit a job, with retries; a job that is refused at every attempt must never run."""
        refused = True
        for _ in range(4):
            status, _ = await self._call(http, "POST", self._url(job), {"taskSpec": "x", "steps": steps})
            if status == 200:
                self.accepted.add(job)
                return
            refused = refused and status in (429, 503)
            await asyncio.sleep(0.2)
        if refused:
            self.refused.add(job)

    async def _wait_until_all_ended(self, http: aiohttp.ClientSession) -> None:
        open_jobs, faults = set(self.accepted), self.fleet.faults
        deadline = asyncio.get_running_loop().time() + JOBS_END_TIMEOUT_S
        while open_jobs and asyncio.get_running_loop().time() < deadline:
            for job in sorted(open_jobs):
                status, body = await self._call(http, "GET", self._url(job))
                if status == 410:
                    faults.append(f"LOST {job} was accepted and is unknown (410)")
                if status == 410 or body.get("state") in ENDED:
                    open_jobs.discard(job)
                    self._check_final_state(job, str(body.get("state")))
            await asyncio.sleep(0.1)
        faults += [f"LOST {job} has not ended" for job in open_jobs]
        ran = {task.partition(".")[0] for _, task, _ in self.log.starts}
        faults += [f"REFUSED {job} ran although it was refused" for job in self.refused & ran]

    def _check_final_state(self, job: str, state: str) -> None:
        self.counts[state] = self.counts.get(state, 0) + 1
        if state == "cancelled" and job not in self.cancelled:
            # The cancellation may have taken effect although its response was lost.
            self.counts["cancelled unasked"] = self.counts.get("cancelled unasked", 0) + 1
        self._check_against_run_log(job, state)

    def _check_against_run_log(self, job: str, state: str) -> None:
        """Compare a reported state with the run log of the runners."""
        unfinished = [task for task in self._tasks[job] if task not in self.log.done]
        if state == "completed" and unfinished:
            self.fleet.faults.append(
                f"MIXED {job} is reported as completed with unfinished tasks: {', '.join(unfinished[:3])}"
            )
        failures = self.log.max_task_failures(job)
        if state == "failed" and failures < MAXIMUM_ATTEMPTS:
            self.fleet.faults.append(f"LOST {job} is reported as failed, and no task failed more than {failures} times")
