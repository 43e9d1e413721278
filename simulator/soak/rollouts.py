"""The rollouts scenario: a rollout of a good or a bad version under load, while controllers crash and nodes pause."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

import aiohttp
from attrs import define, field

from fakes.platform import Platform
from fakes.runner import Runner

from .faults import inject_overlapping
from .operator import CALL_ERRORS, Operator
from .processes import FRONT_PORT, Fleet

if TYPE_CHECKING:
    pass

GRACE_S = 5.0
START_TIMEOUT_S = 90.0
OLD, NEW = "v1", "v2"
RUNNERS = 4
CLIENTS = 16
# Delay from the rollout order until the runners of the new version are listed.
BOOT_S = 0.7
# Time between the planned end of the rollout and the end of the run.
END_MARGIN_S = 2.0
# Maximum time from a rollback until no router sends requests to the rolled-back version.
ROLLBACK_TIMEOUT_S = 4.0
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
# Fraction of requests that a bad version fails.
BAD_VERSION_ERROR_RATE = 0.5
BOUNDS = {
    "graceS": GRACE_S,
    "contactMs": 2000,
    "configApplyMs": 2000,
    "exposureShare": EXPOSURE_SHARE,
    "exposureSlack": EXPOSURE_SLACK,
    "rollbackMs": 5000,
}
ROUTE = {
    "name": "once",
    "hostname": "h.example",
    "pathPrefix": "/once/",
    "routeKind": "streaming",
    "timeoutMs": 4000,
    "targetMs": 400,
    "priority": 0,
    "service": "s",
    "maxAttempts": 2,
    "resumeStreams": True,
}
CONFIGURATION = {
    "revision": 1,
    "routes": [ROUTE],
    "services": [{"name": "s", "connectionLimit": 500, "engine": {"slots": 4}}],
}


class _UnreliableScript(list[str]):
    """A runner script of random errors at ``BAD_VERSION_ERROR_RATE``."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(["ok"])
        self._rng = rng

    def pop(self, index: Any = 0) -> str:
        """Return the behavior for the next request; the script never ends."""
        return "error" if self._rng.random() < BAD_VERSION_ERROR_RATE else "ok"


class CountingRunner(Runner):
    """A runner that counts its requests in flight."""

    requests_in_flight = 0

    async def _ok(self, *arguments: Any, **options: Any) -> bool:
        self.requests_in_flight += 1
        try:
            return await super()._ok(*arguments, **options)
        finally:
            self.requests_in_flight -= 1


@define(slots=True, eq=False)
class RolloutScenario:
    """The run of one seed, which also decides whether the new version is bad.

    Attributes
    ----------
    observed_states
        The rollout states that controllers reported, in order, without consecutive repeats.
    counts
        Event counts for the report.
    """

    seed: int
    routers: int = 4
    seconds: float = 14.0
    fleet: Fleet = field(init=False)
    platform: Platform = field(init=False)
    rng: random.Random = field(init=False)
    bad: bool = False
    old: list[CountingRunner] = field(factory=list)
    new: list[CountingRunner] = field(factory=list)
    observed_states: list[str] = field(factory=list)
    counts: dict[str, int] = field(factory=Counter)
    _ends_at: float = 0.0
    _ordered: bool = False
    _decided_at: float = 0.0

    async def run(self) -> list[str]:
        """Run the scenario; return the faults found."""
        self.rng = random.Random(f"rollouts {self.seed}")
        self.bad = self.rng.random() < 0.6
        self.old, self.new = await self._start_runners(OLD), await self._start_runners(NEW)
        if self.bad:
            for runner in self.new:
                runner.script = _UnreliableScript(self.rng)
        self.platform = await Platform([self._entry(runner, OLD) for runner in self.old]).start()
        self.fleet = Fleet.make(
            3, self.routers, self.platform.port, GRACE_S, bounds=BOUNDS, contracts=["base", "rollout"]
        )
        self.fleet.start()
        try:
            async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0)) as http:
                await self._run_load(Operator(http, self.fleet), http)
        finally:
            await self.fleet.stop()
            await self.platform.stop()
            for runner in (*self.old, *self.new):
                await runner.stop()
        self._check_results()
        return self.fleet.faults

    @staticmethod
    async def _start_runners(version: str) -> list[CountingRunner]:
        runners = [CountingRunner(id=f"{version}-{number}", pause=0.01) for number in range(RUNNERS)]
        for runner in runners:
            await runner.start()
        return runners

    @staticmethod
    def _entry(runner: Runner, version: str) -> dict[str, Any]:
        return {**Platform.entry(runner.id, "s", f"127.0.0.1:{runner.port}", slots=4), "revision": version}

    async def _run_load(self, operator: Operator, http: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            await operator.put(CONFIGURATION, 0)
            await operator.until_routers_are_ready()
        self._ends_at = asyncio.get_running_loop().time() + self.seconds
        clients = [self._client(http, number) for number in range(CLIENTS)]
        await asyncio.gather(self._order_rollout(operator), self._watch(operator), self._inject_faults(), *clients)

    def _time_left(self) -> float:
        return self._ends_at - asyncio.get_running_loop().time()

    # -- operator -----------------------------------------------------------------
    async def _order_rollout(self, operator: Operator) -> None:
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        order = {"service": "s", "targetVersion": NEW, "durationS": self.seconds - END_MARGIN_S}
        await operator.until_acknowledged("POST", "rollouts", json=order)
        self._ordered = True
        await asyncio.sleep(BOOT_S)
        self.platform.entries += [self._entry(runner, NEW) for runner in self.new]

    async def _watch(self, operator: Operator) -> None:
        """Poll each controller for the rollout state; an acknowledged rollout must not disappear, nor its verdict change."""
        while self._time_left() > 0:
            await asyncio.sleep(0.15)
            ordered = self._ordered
            for node in self.fleet.controllers:
                status, rollout = await operator.call("GET", node, "rollouts/s")
                if status == 404 and ordered:
                    self.fleet.faults.append("LOST an acknowledged rollout order is unknown (404)")
                if status == 200 and (not self.observed_states or self.observed_states[-1] != rollout["state"]):
                    self._on_state(rollout["state"])

    def _on_state(self, state: str) -> None:
        self.observed_states.append(state)
        if state == "completed":
            for runner in self.old:
                if runner.requests_in_flight:
                    self.fleet.faults.append(
                        f"LOST {runner.id} is stopped with {runner.requests_in_flight} requests in flight"
                    )
            self.platform.entries = [entry for entry in self.platform.entries if entry["revision"] == NEW]
        if state != "serving":
            self._decided_at = asyncio.get_running_loop().time()

    # -- faults -------------------------------------------------------------------
    async def _inject_faults(self) -> None:
        faults = (self._kill, self._terminate, self._pause, self._pause_router, self._restart_router)
        await inject_overlapping(self.rng, faults, (0.5, 3.5), lambda: self._time_left() > 1)

    async def _kill(self) -> None:
        self.rng.choice(self.fleet.controllers).kill()

    async def _terminate(self) -> None:
        node = self.rng.choice(self.fleet.controllers)
        if node.incarnations:
            await node.terminate()

    async def _pause(self) -> None:
        await self.rng.choice(self.fleet.controllers).pause(self.rng.uniform(0.1, 3.0))

    async def _pause_router(self) -> None:
        await self.rng.choice(self.fleet.routers).pause(self.rng.uniform(0.1, 3.0))

    async def _restart_router(self) -> None:
        node = self.rng.choice(self.fleet.routers)
        if node.incarnations:
            await node.terminate()

    # -- clients ------------------------------------------------------------------
    async def _client(self, http: aiohttp.ClientSession, number: int) -> None:
        rng, number_sent = random.Random(f"rollouts {self.seed} {number}"), 0
        while self._time_left() > 0:
            number_sent += 1
            headers = {
                "Host": "h.example",
                "X-Sparloom-Attempt-Id": f"c{number}-{number_sent}",
                "X-Sparloom-Deadline-Remaining": "2500",
            }
            url = f"http://{rng.choice(self.fleet.routers).ip}:{FRONT_PORT}/once/x"
            try:
                async with http.post(url, data=b"hello", headers=headers) as response:
                    await response.read()
                    self.counts[str(response.status)] += 1
            except CALL_ERRORS:
                self.counts["no answer"] += 1
            await asyncio.sleep(rng.uniform(0.005, 0.05))

    # -- checks after the run -----------------------------------------------------
    def _check_results(self) -> None:
        """Check the verdict and the exposure against the requests that the runners received."""
        faults, exposed = self.fleet.faults, sum(len(runner.received) for runner in self.new)
        total = exposed + sum(len(runner.received) for runner in self.old)
        decided = [state for state in self.observed_states if state != "serving"]
        if len(set(decided)) > 1 or (decided and self.observed_states[-1] == "serving"):
            faults.append(f"LOST the verdict changed: {', '.join(self.observed_states)}")
        if self.bad and "completed" in decided:
            faults.append("EXPOSURE the rollout of a bad version completed")
        if self.bad and exposed > EXPOSURE_SHARE * total + EXPOSURE_SLACK:
            faults.append(f"EXPOSURE {exposed} of {total} requests went to a bad version")
        if "rolled_back" in decided:
            late = [
                arrived_at
                for runner in self.new
                for arrived_at in runner.arrivals
                if arrived_at > self._decided_at + ROLLBACK_TIMEOUT_S
            ]
            if late:
                faults.append(f"EXPOSURE {len(late)} requests reached the new version long after its rollback")
        quality = "bad" if self.bad else "good"
        self.counts[f"{quality} version {decided[0] if decided else 'undecided'}"] += 1
        self.counts["exposed"] = exposed
