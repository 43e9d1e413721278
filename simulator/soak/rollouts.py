"""A roll-out of a good or a bad version under clients, while controllers are killed and nodes pause."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

import aiohttp
from attrs import define, field

from fakes.platform import Platform
from fakes.runner import Runner

from .faults import overlapping
from .operator import CALL_ERRORS, Operator
from .processes import FRONT_PORT, Fleet

if TYPE_CHECKING:
    pass

GRACE_S = 5.0
START_TIMEOUT_S = 90.0
OLD, NEW = "v1", "v2"
RUNNERS = 4
CLIENTS = 16
# From the order to the runners of the new version being listed.
BOOT_S = 0.7
# The roll-out is to be done so long before the play ends.
MARGIN_S = 2.0
# A router that has been told of the verdict sends nothing more to a version that was rolled back.
TOLD_S = 4.0
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
BAD_PART = 0.5
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


class _Unreliable(list[str]):
    """The script of a runner whose answers fail now and then."""

    def __init__(self, luck: random.Random) -> None:
        super().__init__(["ok"])
        self._luck = luck

    def pop(self, index: Any = 0) -> str:
        """What the next request meets; the script never ends."""
        return "error" if self._luck.random() < BAD_PART else "ok"


class CountingRunner(Runner):
    """A runner that knows how many requests it has in hand."""

    in_hand = 0

    async def _ok(self, *arguments: Any, **options: Any) -> bool:
        self.in_hand += 1
        try:
            return await super()._ok(*arguments, **options)
        finally:
            self.in_hand -= 1


@define(slots=True, eq=False)
class RolloutPlay:
    """One seed; whether the version is bad is drawn by it.

    Attributes
    ----------
    seen
        The states that operators were told, each once, in order.
    counts
        What happened, for the report.
    """

    seed: int
    routers: int = 4
    seconds: float = 14.0
    fleet: Fleet = field(init=False)
    platform: Platform = field(init=False)
    luck: random.Random = field(init=False)
    bad: bool = False
    old: list[CountingRunner] = field(factory=list)
    new: list[CountingRunner] = field(factory=list)
    seen: list[str] = field(factory=list)
    counts: dict[str, int] = field(factory=Counter)
    _ends_at: float = 0.0
    _ordered: bool = False
    _decided_at: float = 0.0

    async def run(self) -> list[str]:
        """Play; return what must not have happened."""
        self.luck = random.Random(f"rollouts {self.seed}")
        self.bad = self.luck.random() < 0.6
        self.old, self.new = await self._runners(OLD), await self._runners(NEW)
        if self.bad:
            for runner in self.new:
                runner.script = _Unreliable(self.luck)
        self.platform = await Platform([self._entry(runner, OLD) for runner in self.old]).start()
        self.fleet = Fleet.make(
            3, self.routers, self.platform.port, GRACE_S, bounds=BOUNDS, contracts=["base", "rollout"]
        )
        self.fleet.start()
        try:
            async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0)) as http:
                await self._play(Operator(http, self.fleet), http)
        finally:
            await self.fleet.stop()
            await self.platform.stop()
            for runner in (*self.old, *self.new):
                await runner.stop()
        self._judge()
        return self.fleet.faults

    @staticmethod
    async def _runners(version: str) -> list[CountingRunner]:
        made = [CountingRunner(id=f"{version}-{number}", pause=0.01) for number in range(RUNNERS)]
        for runner in made:
            await runner.start()
        return made

    @staticmethod
    def _entry(runner: Runner, version: str) -> dict[str, Any]:
        return {**Platform.entry(runner.id, "s", f"127.0.0.1:{runner.port}", slots=4), "revision": version}

    async def _play(self, operator: Operator, http: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            await operator.put(CONFIGURATION, 0)
            await operator.until_routers_are_ready()
        self._ends_at = asyncio.get_running_loop().time() + self.seconds
        clients = [self._client(http, number) for number in range(CLIENTS)]
        await asyncio.gather(self._order(operator), self._watch(operator), self._chaos(), *clients)

    def _time_left(self) -> float:
        return self._ends_at - asyncio.get_running_loop().time()

    # -- the operator ---------------------------------------------------------------
    async def _order(self, operator: Operator) -> None:
        await asyncio.sleep(self.luck.uniform(0.2, 1.0))
        order = {"service": "s", "targetVersion": NEW, "durationS": self.seconds - MARGIN_S}
        await operator.until_acknowledged("POST", "rollouts", json=order)
        self._ordered = True
        await asyncio.sleep(BOOT_S)
        self.platform.entries += [self._entry(runner, NEW) for runner in self.new]

    async def _watch(self, operator: Operator) -> None:
        """Ask each controller what has become of the roll-out; what was told once is never taken back."""
        while self._time_left() > 0:
            await asyncio.sleep(0.15)
            ordered = self._ordered
            for node in self.fleet.controllers:
                status, told = await operator.call("GET", node, "rollouts/s")
                if status == 404 and ordered:
                    self.fleet.faults.append("LOST an order that was acknowledged is gone")
                if status == 200 and (not self.seen or self.seen[-1] != told["state"]):
                    self._on_state(told["state"])

    def _on_state(self, state: str) -> None:
        self.seen.append(state)
        if state == "completed":
            for runner in self.old:
                if runner.in_hand:
                    self.fleet.faults.append(f"LOST {runner.id} is stopped with {runner.in_hand} requests in hand")
            self.platform.entries = [entry for entry in self.platform.entries if entry["revision"] == NEW]
        if state != "serving":
            self._decided_at = asyncio.get_running_loop().time()

    # -- faults ---------------------------------------------------------------------
    async def _chaos(self) -> None:
        faults = (self._kill, self._terminate, self._pause, self._pause_router, self._end_router)
        await overlapping(self.luck, faults, (0.5, 3.5), lambda: self._time_left() > 1)

    async def _kill(self) -> None:
        self.luck.choice(self.fleet.controllers).kill()

    async def _terminate(self) -> None:
        node = self.luck.choice(self.fleet.controllers)
        if node.incarnations:
            await node.terminate()

    async def _pause(self) -> None:
        await self.luck.choice(self.fleet.controllers).pause(self.luck.uniform(0.1, 3.0))

    async def _pause_router(self) -> None:
        await self.luck.choice(self.fleet.routers).pause(self.luck.uniform(0.1, 3.0))

    async def _end_router(self) -> None:
        node = self.luck.choice(self.fleet.routers)
        if node.incarnations:
            await node.terminate()

    # -- clients --------------------------------------------------------------------
    async def _client(self, http: aiohttp.ClientSession, number: int) -> None:
        luck, turn = random.Random(f"rollouts {self.seed} {number}"), 0
        while self._time_left() > 0:
            turn += 1
            headers = {
                "Host": "h.example",
                "X-Sparloom-Attempt-Id": f"c{number}-{turn}",
                "X-Sparloom-Deadline-Remaining": "2500",
            }
            url = f"http://{luck.choice(self.fleet.routers).ip}:{FRONT_PORT}/once/x"
            try:
                async with http.post(url, data=b"hello", headers=headers) as response:
                    await response.read()
                    self.counts[str(response.status)] += 1
            except CALL_ERRORS:
                self.counts["no answer"] += 1
            await asyncio.sleep(luck.uniform(0.005, 0.05))

    # -- the end --------------------------------------------------------------------
    def _judge(self) -> None:
        """What must not have happened, as the runners have seen it."""
        faults, exposed = self.fleet.faults, sum(len(runner.received) for runner in self.new)
        everything = exposed + sum(len(runner.received) for runner in self.old)
        decided = [state for state in self.seen if state != "serving"]
        if len(set(decided)) > 1 or (decided and self.seen[-1] == "serving"):
            faults.append(f"LOST a verdict has turned: {', '.join(self.seen)}")
        if self.bad and "completed" in decided:
            faults.append("EXPOSURE a bad version was taken for good")
        if self.bad and exposed > EXPOSURE_SHARE * everything + EXPOSURE_SLACK:
            faults.append(f"EXPOSURE {exposed} of {everything} requests went to a bad version")
        if "rolled_back" in decided:
            late = [at for runner in self.new for at in runner.arrivals if at > self._decided_at + TOLD_S]
            if late:
                faults.append(f"EXPOSURE {len(late)} requests went to a version long after it was rolled back")
        word = "bad" if self.bad else "good"
        self.counts[f"{word} version {decided[0] if decided else 'undecided'}"] += 1
        self.counts["exposed"] = exposed
