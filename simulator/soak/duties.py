"""The duties scenario: tenants send requests while duty holders exit and pause, and the platform is slow or fails."""

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
from .operator import Operator
from .processes import FRONT_PORT, Fleet

if TYPE_CHECKING:
    pass

GRACE_S = 5.0
START_TIMEOUT_S = 90.0
LEASE_S = 1.0
WINDOW_S = 2
LATENESS_S = 4
# Time limit after the last fault for reporting all usage windows of the run.
REPORTING_TIMEOUT_S = 30.0
# Maximum time from the acknowledgement of a key revocation until all routers reject the key.
REVOCATION_TIMEOUT_S = 4.0
TENANTS = 4
# Maximum fraction of started requests that may be missing from usage reports: a stopped router may lose its last report.
MAXIMUM_MISSING_FRACTION = 0.1
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
class DutyScenario:
    """The run of one seed.

    Attributes
    ----------
    started_requests
        The number of requests of each tenant whose response started with status 200.
    keys
        The current API key of each tenant.
    counts
        Event counts for the report.
    """

    seed: int
    routers: int = 3
    seconds: float = 14.0
    fleet: Fleet = field(init=False)
    platform: Platform = field(init=False)
    rng: random.Random = field(init=False)
    runners: list[Runner] = field(factory=list)
    started_requests: Counter[str] = field(factory=Counter)
    keys: dict[str, str] = field(factory=dict)
    counts: dict[str, int] = field(factory=Counter)
    _revision: int = 0
    _number: int = 0
    _ends_at: float = 0.0

    async def run(self) -> list[str]:
        """Run the scenario; return the faults found."""
        self.rng = random.Random(f"duties {self.seed}")
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
                await self._wait_until_ready(http)
                self._ends_at = asyncio.get_running_loop().time() + self.seconds
                clients = [self._client(http, number) for number in range(6)]
                await asyncio.gather(self._inject_faults(), self._revoke_keys(http), *clients)
                self.platform.response_delay_s = self.platform.late_s = 0.0
                self.platform.duty_statuses = []
                await self._check_usage_reports()
        finally:
            await self.fleet.stop()
            await self.platform.stop()
            for runner in self.runners:
                await runner.stop()
        return [*self.fleet.faults, *self.platform.duties.violations]

    def _time_left(self) -> float:
        return self._ends_at - asyncio.get_running_loop().time()

    # -- operator -----------------------------------------------------------------
    def _configuration(self) -> dict[str, Any]:
        tenants = [{"name": name, "apiKeys": [key]} for name, key in sorted(self.keys.items())]
        return {"revision": self._revision, "routes": [ROUTE], "services": [SERVICE], "tenants": tenants}

    async def _put(self, http: aiohttp.ClientSession) -> None:
        """Send the next configuration, with retries until it is acknowledged."""
        base, self._revision = self._revision, self._revision + 1
        await Operator(http, self.fleet).put(self._configuration(), base)

    async def _wait_until_ready(self, http: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._put(http)
            await Operator(http, self.fleet).until_routers_are_ready()

    async def _revoke_keys(self, http: aiohttp.ClientSession) -> None:
        """Replace API keys of tenants; routers must reject a revoked key after ``REVOCATION_TIMEOUT_S``."""
        while self._time_left() > REVOCATION_TIMEOUT_S + 2:
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            name = self.rng.choice(sorted(self.keys))
            old, self.keys[name] = self.keys[name], f"key-{name}-{self._revision}"
            await self._put(http)
            await asyncio.sleep(REVOCATION_TIMEOUT_S)
            for node in self.fleet.routers:
                if await self._send(http, node.ip, old, "withdrawn") == 200:
                    self.fleet.faults.append(f"ROUTE {node.name} serves a revoked key")

    # -- faults -------------------------------------------------------------------
    async def _inject_faults(self) -> None:
        faults = (
            self._kill_holder,
            self._terminate_holder,
            self._pause_holder,
            self._pause_holder,
            self._slow_platform,
            self._reject_duty_calls,
            self._restart_router,
        )
        await inject_overlapping(self.rng, faults, (0.2, 2.5), lambda: self._time_left() > 1)

    def _holder(self) -> Any:
        """Usually the controller whose duty call was accepted last; otherwise a random one."""
        accepted = self.platform.duties.accepted
        last_holders = [node for node in self.fleet.controllers if accepted and node.name == accepted[-1].holder]
        return last_holders[0] if last_holders and self.rng.random() < 0.8 else self.rng.choice(self.fleet.controllers)

    async def _kill_holder(self) -> None:
        self._holder().kill()

    async def _terminate_holder(self) -> None:
        node = self._holder()
        if node.incarnations:
            await node.terminate()

    async def _pause_holder(self) -> None:
        await self._holder().pause(self.rng.uniform(0.1, 4.0))

    async def _restart_router(self) -> None:
        node = self.rng.choice(self.fleet.routers)
        if node.incarnations:
            await node.terminate()

    async def _slow_platform(self) -> None:
        self.platform.response_delay_s, self.platform.late_s = self.rng.choice(((1.5, 0.0), (0.0, 2.5), (0.5, 0.5)))
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        self.platform.response_delay_s = self.platform.late_s = 0.0

    async def _reject_duty_calls(self) -> None:
        self.platform.duty_statuses += self.rng.choices((0, 429, 503), k=self.rng.randint(1, 8))

    # -- clients ------------------------------------------------------------------
    async def _client(self, http: aiohttp.ClientSession, number: int) -> None:
        rng = random.Random(f"duties {self.seed} {number}")
        while self._time_left() > 0:
            name = rng.choice(sorted(self.keys))
            node = rng.choice(self.fleet.routers)
            status = await self._send(http, node.ip, self.keys[name], name)
            self.counts[str(status)] += 1
            await asyncio.sleep(rng.uniform(0.01, 0.15))

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
                    self.started_requests[tenant] += 1
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    # -- checks after the run -----------------------------------------------------
    def _reported_usage(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for counts in self.platform.duties.usage.values():
            total.update(counts)
        return total

    async def _check_usage_reports(self) -> None:
        """Wait until the usage windows of the run are reported, then check them against the runners' counts."""
        started = sum(self.started_requests.values())
        deadline = asyncio.get_running_loop().time() + REPORTING_TIMEOUT_S
        while sum(self._reported_usage().values()) < started and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.2)
            if self._missing_fraction(started) < MAXIMUM_MISSING_FRACTION / 4 and self._last_window_reported():
                break
        windows = sorted(self.platform.duties.usage)
        if windows and windows != list(range(windows[0], windows[-1] + 1)):
            self.fleet.faults.append(f"ONE windows are missing between {windows[0]} and {windows[-1]}")
        ran = Counter(
            request.head("X-Sparloom-Tenant") for runner in self.runners for request in runner.received if request.ran
        )
        for tenant, count in self._reported_usage().items():
            if count > ran[tenant]:
                self.fleet.faults.append(f"USAGE {tenant}: {count} reported and {ran[tenant]} ran")
        if self._missing_fraction(started) > MAXIMUM_MISSING_FRACTION:
            self.fleet.faults.append(
                f"USAGE {started} started and {sum(self._reported_usage().values())} were reported"
            )
        self.counts["unreported"] = max(0, started - sum(self._reported_usage().values()))
        self.counts["windows"] = len(windows)

    def _missing_fraction(self, started: int) -> float:
        return 1 - sum(self._reported_usage().values()) / max(1, started)

    def _last_window_reported(self) -> bool:
        """Whether a usage window that started after the last request was reported."""
        import time

        windows = self.platform.duties.usage
        return bool(windows) and (max(windows) + 1) * WINDOW_S > time.time() - (LATENESS_S + WINDOW_S)
