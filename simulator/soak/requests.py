"""The requests scenario: clients on persistent connections while routers restart, pause and reload settings."""

from __future__ import annotations

import asyncio
import random
import signal
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

import aiohttp
from attrs import define, field

from fakes.platform import Platform
from fakes.runner import Runner
from simulator.clients import Client, Outcome, PlannedShutdown

from .faults import inject_overlapping
from .misbehaving import MisbehavingClient
from .processes import CONTROL_PORT, FRONT_PORT, READINESS_PORT, ROOT, Fleet, Node

if TYPE_CHECKING:
    from collections.abc import Coroutine

GRACE_S = 5.0
# Weights of immediate responses, delayed responses and responses with a stalled stream.
RESPONSE_WEIGHTS = ((1, 0, 0), (0, 1, 0), (1, 1, 0), (1, 1, 1))
PREFIXES = ("/once/", "/resume/")
START_TIMEOUT_S = 90.0
# The limits of the machines that the programs run on.
MEMORY_MB = 200
DESCRIPTORS = 4100
# Numbers of clients that don't behave, for each router.
MISBEHAVING_PER_ROUTER = (0, 2, 8, 20)
# Interval of the platform's readiness checks.
CHECK_INTERVAL_S = 1.0
# Consecutive failed checks after which the platform sends no new connections to a router.
MAXIMUM_FAILED_CHECKS = 2
ZONES = ("z0", "z1")
# Maximum time from the acknowledgement of an evacuation until it is in force on all nodes.
EVACUATION_TIMEOUT_S = 4.0


def _route(name: str, prefix: str, resume: bool) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": "h.example",
        "pathPrefix": prefix,
        "routeKind": "streaming",
        "timeoutMs": 20000,
        "targetMs": 400,
        "priority": 0,
        "service": "s",
        "maxAttempts": 2,
        "resumeStreams": resume,
        "gapTargetMs": 20000,
    }


def configuration(revision: int, extra: int = 0) -> dict[str, Any]:
    """Return the configuration of a revision, with ``extra`` additional routes.

    >>> len(configuration(1, 2)["routes"])
    4
    """
    routes = [_route("once", "/once/", False), _route("resume", "/resume/", True)]
    routes += [_route(f"extra-{number}", f"/extra-{number}/", False) for number in range(extra)]
    services = [{"name": "s", "connectionLimit": 2000, "engine": {"slots": 64, "cacheTokens": 100000}}]
    return {"revision": revision, "routes": routes, "services": services}


@define(slots=True, eq=False)
class RequestScenario:
    """The run of one seed.

    Attributes
    ----------
    fleet
        The programs.
    counts
        The number of requests by outcome.
    misbehaving_clients
        The number of clients that don't behave; drawn from the seed.
    available_routers
        The routers that the platform sends new connections to.
    """

    seed: int
    routers: int = 3
    clients: int = 0
    seconds: float = 12.0
    misbehaving_clients: int = 0
    root: str = ROOT
    fleet: Fleet = field(init=False)
    runners: list[Runner] = field(factory=list)
    counts: dict[str, int] = field(factory=dict)
    available_routers: list[Node] = field(factory=list)
    rng: random.Random = field(init=False)
    _number: int = 0
    _revision: int = 1
    _evacuating: bool = False
    _ends_at: float = 0.0

    async def run(self) -> list[str]:
        """Run the scenario; return the faults found."""
        self.rng = random.Random(self.seed)
        # With few clients a router is idle at times; with many it is busy until it exits.
        self.clients = self.clients or self.routers * self.rng.choice((1, 2, 3, 8))
        misbehaving = random.Random(f"{self.seed} misbehaving")
        self.misbehaving_clients = self.routers * misbehaving.choice(MISBEHAVING_PER_ROUTER)
        self.runners = [await Runner(id=f"i-{number}").start() for number in range(4)]
        for runner in self.runners:
            runner.script = self.rng.choices(("ok", "late", "still"), self.rng.choice(RESPONSE_WEIGHTS), k=20000)
            runner.delay_s = self.rng.choice((0.15, 0.3, 1.2)) * self.rng.uniform(0.5, 1.0)
        entries = [
            Platform.entry(runner.id, "s", f"127.0.0.1:{runner.port}", slots=64, zone=ZONES[number % len(ZONES)])
            for number, runner in enumerate(self.runners)
        ]
        platform = await Platform(entries).start()
        self.fleet = Fleet.make(
            3,
            self.routers,
            platform.port,
            GRACE_S,
            self.root,
            bounds={"graceS": GRACE_S},
            limits={"memoryMb": MEMORY_MB, "fileDescriptors": DESCRIPTORS},
        )
        self.fleet.start()
        try:
            async with aiohttp.ClientSession() as http:
                await self._wait_until_ready(http)
                self._ends_at = asyncio.get_running_loop().time() + self.seconds
                parts: list[Coroutine[Any, Any, None]] = [self._poll_readiness(http), self._inject_faults(http)]
                parts += [self._client(number) for number in range(self.clients)]
                parts += [self._misbehave(number) for number in range(self.misbehaving_clients)]
                await asyncio.gather(*parts)
        finally:
            await self.fleet.stop()
            await platform.stop()
            for runner in self.runners:
                await runner.stop()
        self._check_single_runs()
        return self.fleet.faults

    # -- operator and platform ----------------------------------------------------
    async def _put(self, http: aiohttp.ClientSession, base: int, extra: int) -> bool:
        body, headers = configuration(self._revision, extra), {"If-Match": str(base)}
        for node in self.fleet.controllers:
            url = f"http://{node.ip}:{CONTROL_PORT}/-/configuration"
            try:
                timeout = aiohttp.ClientTimeout(total=1.5)
                async with http.put(url, json=body, headers=headers, timeout=timeout) as response:
                    if response.status == 200:
                        return True
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
        return False

    async def _is_ready(self, http: aiohttp.ClientSession, node: Node) -> bool:
        url = f"http://{node.ip}:{READINESS_PORT}/-/ready"
        try:
            async with http.get(url, timeout=aiohttp.ClientTimeout(total=1.0)) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def _wait_until_ready(self, http: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._put(http, 0, 0):
                await asyncio.sleep(0.1)
            while not all([await self._is_ready(http, node) for node in self.fleet.routers]):
                await asyncio.sleep(0.1)
        self.available_routers = list(self.fleet.routers)

    async def _poll_readiness(self, http: aiohttp.ClientSession) -> None:
        failed_checks = dict.fromkeys((node.name for node in self.fleet.routers), 0)
        while self._time_left() > 0:
            results = await asyncio.gather(*(self._is_ready(http, node) for node in self.fleet.routers))
            for node, is_ready in zip(self.fleet.routers, results, strict=True):
                failed_checks[node.name] = 0 if is_ready else failed_checks[node.name] + 1
            self.available_routers = [
                node for node in self.fleet.routers if failed_checks[node.name] < MAXIMUM_FAILED_CHECKS
            ]
            self.fleet.check_memory()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _time_left(self) -> float:
        return self._ends_at - asyncio.get_running_loop().time()

    async def _inject_faults(self, http: aiohttp.ClientSession) -> None:
        """Inject overlapping signals, pauses and configuration changes."""
        kinds = ("term", "term", "hup", "pause", "pause", "zone", "change", "controller", "evacuate")
        faults = [partial(getattr(self, f"_{kind}"), http) for kind in kinds]
        await inject_overlapping(self.rng, faults, (0.05, 0.7), lambda: self._time_left() > GRACE_S * 0.4)

    async def _term(self, _http: aiohttp.ClientSession) -> None:
        node = self.rng.choice(self.fleet.routers)
        others = [other for other in self.fleet.routers if other is not node and other in self.available_routers]
        if node in self.available_routers and others:
            await asyncio.gather(node.terminate(), self._pause_during_shutdown(node))

    async def _pause_during_shutdown(self, node: Node) -> None:
        """Pause a router repeatedly during shutdown, so that it reads the data of several connections at once."""
        incarnation = node.current
        while incarnation.ended_at is None and self._time_left() > 0:
            await asyncio.sleep(self.rng.uniform(0.02, 0.12))
            if node.current is incarnation:
                await node.pause(self.rng.uniform(0.05, 0.1))

    async def _hup(self, _http: aiohttp.ClientSession) -> None:
        for node in self.fleet.nodes:
            if node.process is not None and node.incarnations and self.rng.random() < 0.5:
                node.write_settings(zones={"z0": "r0", "z1": f"r{self.rng.randrange(9)}"})
                if node.current.terminated_at is not None or node in self.available_routers:
                    node.signal(signal.SIGHUP)

    async def _pause(self, _http: aiohttp.ClientSession) -> None:
        for _ in range(self.rng.randint(1, 6)):
            await self.rng.choice(self.fleet.routers).pause(self.rng.uniform(0.03, 0.1))
            await asyncio.sleep(self.rng.uniform(0.0, 0.15))

    async def _zone(self, _http: aiohttp.ClientSession) -> None:
        """Pause all routers and controllers of a zone together, a few times."""
        zone = self.rng.choice(self.fleet.nodes).settings["zone"]
        zone_nodes = [node for node in self.fleet.nodes if node.settings["zone"] == zone]
        for _ in range(self.rng.randint(1, 4)):
            seconds = self.rng.uniform(0.05, 0.1)
            await asyncio.gather(*(node.pause(seconds) for node in zone_nodes))
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))

    async def _change(self, http: aiohttp.ClientSession) -> None:
        base, self._revision = self._revision, self._revision + 1
        await self._put(http, base, self.rng.randrange(20))

    async def _set_evacuation(self, http: aiohttp.ClientSession, method: str, zone: str) -> bool:
        """Send an evacuation call, with retries until it is acknowledged or the run ends; return whether it was."""
        timeout = aiohttp.ClientTimeout(total=1.5)
        while self._time_left() > 0:
            for node in self.fleet.controllers:
                url = f"http://{node.ip}:{CONTROL_PORT}/-/evacuation/{zone}"
                try:
                    async with http.request(method, url, timeout=timeout) as response:
                        if response.status == 200:
                            return True
                except (aiohttp.ClientError, OSError, TimeoutError):
                    continue
            await asyncio.sleep(0.1)
        return False

    async def _evacuate(self, http: aiohttp.ClientSession) -> None:
        """Evacuate a zone and restore it; once the evacuation is in force, no request may reach its runners."""
        if self._evacuating or self._time_left() < EVACUATION_TIMEOUT_S + 1:
            return
        self._evacuating = True
        zone = self.rng.choice(ZONES)
        if await self._set_evacuation(http, "POST", zone):
            await asyncio.sleep(EVACUATION_TIMEOUT_S)
            evacuated = [runner for number, runner in enumerate(self.runners) if ZONES[number % len(ZONES)] == zone]
            request_counts = [len(runner.received) for runner in evacuated]
            await asyncio.sleep(min(self.rng.uniform(0.5, 2.0), max(0.0, self._time_left())))
            late = [
                runner.id
                for runner, count in zip(evacuated, request_counts, strict=True)
                if len(runner.received) > count
            ]
            self.fleet.faults += [f"EVAC a request reached {runner_id} in {zone}" for runner_id in late]
        await self._set_evacuation(http, "DELETE", zone)
        self._evacuating = False

    async def _controller(self, _http: aiohttp.ClientSession) -> None:
        node = self.rng.choice(self.fleet.controllers)
        if all(other.incarnations and other.current.terminated_at is None for other in self.fleet.controllers):
            await node.terminate()

    # -- clients ------------------------------------------------------------------
    async def _misbehave(self, number: int) -> None:
        def choose_address() -> tuple[str, int] | None:
            return (rng.choice(self.available_routers).ip, FRONT_PORT) if self.available_routers else None

        rng = random.Random(f"{self.seed} misbehaving {number}")
        await MisbehavingClient(rng, choose_address, self._time_left).run()

    async def _client(self, number: int) -> None:
        rng = random.Random(f"{self.seed} {number}")
        think_time_s = rng.choice((0.05, 0.25, 0.5))
        while self._time_left() > 0 and self.available_routers:
            node = rng.choice(self.available_routers)
            try:
                client = await Client.connect(node.ip, FRONT_PORT)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            incarnation = node.current
            while client.open and self._time_left() > 0:
                self._number += 1
                request_id = f"a{self._number}"
                prefix, left_ms = rng.choice(PREFIXES), rng.choice((800, 2000, 4000, 8000))
                outcome = await client.send(prefix + "x", request_id, left_ms=left_ms, pause=rng.choice((0, 0, 0.05)))
                self._check_outcome(outcome, node, incarnation.terminated_at)
                await asyncio.sleep(rng.random() * think_time_s)
            client.close()

    def _check_outcome(self, outcome: Outcome, node: Node, terminated_at: float | None) -> None:
        forwarded = any(
            request.head("X-Sparloom-Attempt-Id") == outcome.id
            for runner in self.runners
            for request in runner.received[-4000:]
        )
        shutdown = PlannedShutdown(terminated_at if terminated_at is not None else 1e12, timedelta(seconds=GRACE_S))
        # A paused router may leave a request unread for longer than the slack; the connection is then reset.
        unread = outcome.reset and not outcome.status and not forwarded
        if not unread and shutdown.lost(outcome, forwarded):
            failure = "incomplete response" if outcome.status else "no response"
            since = "before SIGTERM" if terminated_at is None else f"{outcome.sent - terminated_at:.3f} s after SIGTERM"
            self.fleet.faults.append(
                f"LOST {outcome.id} at {node.name}: {failure}, forwarded {forwarded}, sent {since}, "
                f"ended {outcome.ended - outcome.sent:.3f} s later, timeout {outcome.waits} s"
            )
        label = str(outcome.status) if outcome.whole else "cut" if forwarded else "unread"
        self.counts[label] = self.counts.get(label, 0) + 1

    def _check_single_runs(self) -> None:
        runs: dict[str, int] = {}
        for runner in self.runners:
            for request in runner.received:
                if request.ran and "/once/" in request.line:
                    request_id = request.head("X-Sparloom-Attempt-Id") or ""
                    runs[request_id] = runs.get(request_id, 0) + 1
        self.fleet.faults += [
            f"TWICE {request_id} ran {count} times" for request_id, count in runs.items() if count > 1
        ]
