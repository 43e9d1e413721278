"""Clients of tenants, while holders of the duties end, are killed and pause, and the platform is slow or refuses."""

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
from .operator import Operator
from .processes import FRONT_PORT, Fleet

if TYPE_CHECKING:
    pass

GRACE_S = 5.0
START_TIMEOUT_S = 90.0
LEASE_S = 1.0
WINDOW_S = 2
LATENESS_S = 4
# After the faults: the windows of the play must be reported by then.
SETTLE_S = 30.0
# A withdrawn key must be out of force so many seconds after the acknowledgement.
REVOKED_S = 4.0
TENANTS = 4
# Of the requests that began, so many may be missing: routers are ended, and their last report may be lost.
MAXIMUM_MISSING_PART = 0.1
BOUNDS = {
    "graceS": GRACE_S,
    "contactMs": 2000,
    "configApplyMs": 2000,
    "leaseMs": int(LEASE_S * 1000),
    "thawSlackMs": 100,
    "usageWindowS": WINDOW_S,
    "usageLatenessS": LATENESS_S,
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
    "resumeStreams": False,
}
SERVICE = {
    "name": "s",
    "connectionLimit": 500,
    "engine": {"slots": 16},
    "scaling": {"minimum": 1, "maximum": 5, "bootTimeS": 1},
}


@define(slots=True, eq=False)
class DutyPlay:
    """One seed.

    Attributes
    ----------
    began
        The requests of each tenant that were answered, from the first byte on.
    keys
        The key of each tenant that is in force.
    counts
        What happened, for the report.
    """

    seed: int
    routers: int = 3
    seconds: float = 14.0
    fleet: Fleet = field(init=False)
    platform: Platform = field(init=False)
    luck: random.Random = field(init=False)
    runners: list[Runner] = field(factory=list)
    began: Counter[str] = field(factory=Counter)
    keys: dict[str, str] = field(factory=dict)
    counts: dict[str, int] = field(factory=Counter)
    _revision: int = 0
    _number: int = 0
    _ends_at: float = 0.0

    async def run(self) -> list[str]:
        """Play; return what must not have happened."""
        self.luck = random.Random(f"duties {self.seed}")
        self.keys = {f"t{number}": f"key-{number}" for number in range(TENANTS)}
        self.runners = [await Runner(id=f"i-{number}").start() for number in range(3)]
        entries = [
            Platform.entry(runner.id, "s", f"127.0.0.1:{runner.port}", slots=16, zone=f"z{number % 2}")
            for number, runner in enumerate(self.runners)
        ]
        self.platform = await Platform(entries).start()
        self.platform.duties.lease_s = LEASE_S
        cloud = {
            "address": f"127.0.0.1:{self.platform.port}",
            "ratePerS": 40.0,
            "dutyPerS": 40.0,
            "duties": ["usage_reporting", "scaling"],
        }
        self.fleet = Fleet.make(3, self.routers, self.platform.port, GRACE_S, bounds=BOUNDS, cloudApi=cloud)
        self.fleet.start()
        try:
            async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0)) as http:
                await self._until_ready(http)
                self._ends_at = asyncio.get_running_loop().time() + self.seconds
                clients = [self._client(http, number) for number in range(6)]
                await asyncio.gather(self._chaos(), self._revocations(http), *clients)
                self.platform.response_delay_s = self.platform.late_s = 0.0
                self.platform.duty_statuses = []
                await self._until_reported()
        finally:
            await self.fleet.stop()
            await self.platform.stop()
            for runner in self.runners:
                await runner.stop()
        return [*self.fleet.faults, *self.platform.duties.violations]

    def _time_left(self) -> float:
        return self._ends_at - asyncio.get_running_loop().time()

    # -- the operator ---------------------------------------------------------------
    def _configuration(self) -> dict[str, Any]:
        tenants = [{"name": name, "apiKeys": [key]} for name, key in sorted(self.keys.items())]
        return {"revision": self._revision, "routes": [ROUTE], "services": [SERVICE], "tenants": tenants}

    async def _put(self, http: aiohttp.ClientSession) -> None:
        """Send the next configuration until it is acknowledged."""
        base, self._revision = self._revision, self._revision + 1
        await Operator(http, self.fleet).put(self._configuration(), base)

    async def _until_ready(self, http: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._put(http)
            await Operator(http, self.fleet).until_routers_are_ready()

    async def _revocations(self, http: aiohttp.ClientSession) -> None:
        """A tenant's key is taken away and another one given; the old one must be out of force soon."""
        while self._time_left() > REVOKED_S + 2:
            await asyncio.sleep(self.luck.uniform(0.5, 3.0))
            name = self.luck.choice(sorted(self.keys))
            old, self.keys[name] = self.keys[name], f"key-{name}-{self._revision}"
            await self._put(http)
            await asyncio.sleep(REVOKED_S)
            for node in self.fleet.routers:
                if await self._send(http, node.ip, old, "withdrawn") == 200:
                    self.fleet.faults.append(f"ROUTE {node.name} serves a key that was withdrawn")

    # -- faults ---------------------------------------------------------------------
    async def _chaos(self) -> None:
        faults = (
            self._kill,
            self._terminate,
            self._pause,
            self._pause,
            self._slow,
            self._refuse,
            self._end_router,
        )
        await overlapping(self.luck, faults, (0.2, 2.5), lambda: self._time_left() > 1)

    def _holder(self) -> Any:
        """The controller that acted last, or any."""
        accepted = self.platform.duties.accepted
        named = [node for node in self.fleet.controllers if accepted and node.name == accepted[-1].holder]
        return named[0] if named and self.luck.random() < 0.8 else self.luck.choice(self.fleet.controllers)

    async def _kill(self) -> None:
        self._holder().kill()

    async def _terminate(self) -> None:
        node = self._holder()
        if node.incarnations:
            await node.terminate()

    async def _pause(self) -> None:
        await self._holder().pause(self.luck.uniform(0.1, 4.0))

    async def _end_router(self) -> None:
        node = self.luck.choice(self.fleet.routers)
        if node.incarnations:
            await node.terminate()

    async def _slow(self) -> None:
        self.platform.response_delay_s, self.platform.late_s = self.luck.choice(((1.5, 0.0), (0.0, 2.5), (0.5, 0.5)))
        await asyncio.sleep(self.luck.uniform(0.5, 4.0))
        self.platform.response_delay_s = self.platform.late_s = 0.0

    async def _refuse(self) -> None:
        self.platform.duty_statuses += self.luck.choices((0, 429, 503), k=self.luck.randint(1, 8))

    # -- clients --------------------------------------------------------------------
    async def _client(self, http: aiohttp.ClientSession, number: int) -> None:
        luck = random.Random(f"duties {self.seed} {number}")
        while self._time_left() > 0:
            name = luck.choice(sorted(self.keys))
            node = luck.choice(self.fleet.routers)
            status = await self._send(http, node.ip, self.keys[name], name)
            self.counts[str(status)] += 1
            await asyncio.sleep(luck.uniform(0.01, 0.15))

    async def _send(self, http: aiohttp.ClientSession, ip: str, key: str, tenant: str) -> int:
        self._number += 1
        headers = {
            "Host": "h.example",
            "X-Sparloom-Attempt-Id": f"a{self._number}",
            "X-Sparloom-Deadline-Remaining": "2500",
            "Authorization": f"Token {key}",
        }
        try:
            async with http.post(f"http://{ip}:{FRONT_PORT}/once/x", data=b"hello", headers=headers) as response:
                if response.status == 200:
                    self.began[tenant] += 1
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    # -- the end --------------------------------------------------------------------
    def _reported(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for counts in self.platform.duties.usage.values():
            total.update(counts)
        return total

    async def _until_reported(self) -> None:
        """Wait until the windows of the play are reported; judge what they say."""
        began = sum(self.began.values())
        deadline = asyncio.get_running_loop().time() + SETTLE_S
        while sum(self._reported().values()) < began and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.2)
            if self._missing_part(began) < MAXIMUM_MISSING_PART / 4 and self._settled():
                break
        windows = sorted(self.platform.duties.usage)
        if windows and windows != list(range(windows[0], windows[-1] + 1)):
            self.fleet.faults.append(f"ONE windows are missing between {windows[0]} and {windows[-1]}")
        ran = Counter(got.head("X-Sparloom-Tenant") for runner in self.runners for got in runner.received if got.ran)
        for tenant, count in self._reported().items():
            if count > ran[tenant]:
                self.fleet.faults.append(f"USAGE {tenant}: {count} reported and {ran[tenant]} ran")
        if self._missing_part(began) > MAXIMUM_MISSING_PART:
            self.fleet.faults.append(f"USAGE {began} began and {sum(self._reported().values())} were reported")
        self.counts["unreported"] = max(0, began - sum(self._reported().values()))
        self.counts["windows"] = len(windows)

    def _missing_part(self, began: int) -> float:
        return 1 - sum(self._reported().values()) / max(1, began)

    def _settled(self) -> bool:
        """Whether a window was reported that began after the last request."""
        import time

        windows = self.platform.duties.usage
        return bool(windows) and (max(windows) + 1) * WINDOW_S > time.time() - (LATENESS_S + WINDOW_S)
