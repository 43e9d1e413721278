"""Clients that use their connections until the router is gone, while routers end, pause and read settings again."""

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
from simulator.clients import Client, Outcome, PlannedEnd

from .faults import overlapping
from .processes import CONTROL_PORT, FRONT_PORT, READINESS_PORT, ROOT, Fleet, Node

if TYPE_CHECKING:
    from collections.abc import Coroutine

GRACE_S = 5.0
# How often a runner answers at once, late, or with a pause in its stream.
MIXES = ((1, 0, 0), (0, 1, 0), (1, 1, 0), (1, 1, 1))
PREFIXES = ("/once/", "/resume/")
START_TIMEOUT_S = 90.0
# The platform takes a router out after two failed checks, a second apart.
CHECK_INTERVAL_S = 1.0
FAILED_CHECKS = 2
ZONES = ("z0", "z1")
# An evacuation is in force everywhere so many seconds after its acknowledgement.
EVACUATED_S = 4.0


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
    """Return the configuration of a revision, with some routes more.

    >>> len(configuration(1, 2)["routes"])
    4
    """
    routes = [_route("once", "/once/", False), _route("resume", "/resume/", True)]
    routes += [_route(f"extra-{number}", f"/extra-{number}/", False) for number in range(extra)]
    services = [{"name": "s", "connectionLimit": 2000, "engine": {"slots": 64, "cacheTokens": 100000}}]
    return {"revision": revision, "routes": routes, "services": services}


@define(slots=True, eq=False)
class RequestPlay:
    """One seed.

    Attributes
    ----------
    fleet
        The programs.
    counts
        How requests ended.
    entry
        The routers that get new connections, as the platform sees them.
    """

    seed: int
    routers: int = 3
    clients: int = 0
    seconds: float = 12.0
    root: str = ROOT
    fleet: Fleet = field(init=False)
    runners: list[Runner] = field(factory=list)
    counts: dict[str, int] = field(factory=dict)
    entry: list[Node] = field(factory=list)
    luck: random.Random = field(init=False)
    _number: int = 0
    _revision: int = 1
    _evacuating: bool = False
    _ends_at: float = 0.0

    async def run(self) -> list[str]:
        """Play; return what must not have happened."""
        self.luck = random.Random(self.seed)
        # Few clients let a router be without any request for moments, many keep it busy to its end.
        self.clients = self.clients or self.routers * self.luck.choice((1, 2, 3, 8))
        self.runners = [await Runner(id=f"i-{n}").start() for n in range(4)]
        for runner in self.runners:
            runner.script = self.luck.choices(("ok", "late", "still"), self.luck.choice(MIXES), k=20000)
            runner.delay_s = self.luck.choice((0.15, 0.3, 1.2)) * self.luck.uniform(0.5, 1.0)
        entries = [
            Platform.entry(runner.id, "s", f"127.0.0.1:{runner.port}", slots=64, zone=ZONES[number % len(ZONES)])
            for number, runner in enumerate(self.runners)
        ]
        platform = await Platform(entries).start()
        self.fleet = Fleet.make(3, self.routers, platform.port, GRACE_S, self.root, bounds={"graceS": GRACE_S})
        self.fleet.start()
        try:
            async with aiohttp.ClientSession() as http:
                await self._until_ready(http)
                self._ends_at = asyncio.get_running_loop().time() + self.seconds
                parts: list[Coroutine[Any, Any, None]] = [self._check_readiness(http), self._chaos(http)]
                parts += [self._client(number) for number in range(self.clients)]
                await asyncio.gather(*parts)
        finally:
            await self.fleet.stop()
            await platform.stop()
            for runner in self.runners:
                await runner.stop()
        self._check_runs()
        return self.fleet.faults

    # -- the operator and the platform --------------------------------------------
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

    async def _ready(self, http: aiohttp.ClientSession, node: Node) -> bool:
        url = f"http://{node.ip}:{READINESS_PORT}/-/ready"
        try:
            async with http.get(url, timeout=aiohttp.ClientTimeout(total=1.0)) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def _until_ready(self, http: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._put(http, 0, 0):
                await asyncio.sleep(0.1)
            while not all([await self._ready(http, node) for node in self.fleet.routers]):
                await asyncio.sleep(0.1)
        self.entry = list(self.fleet.routers)

    async def _check_readiness(self, http: aiohttp.ClientSession) -> None:
        failed = dict.fromkeys((node.name for node in self.fleet.routers), 0)
        while self._time_left() > 0:
            ready = await asyncio.gather(*(self._ready(http, node) for node in self.fleet.routers))
            for node, is_ready in zip(self.fleet.routers, ready, strict=True):
                failed[node.name] = 0 if is_ready else failed[node.name] + 1
            self.entry = [node for node in self.fleet.routers if failed[node.name] < FAILED_CHECKS]
            self.fleet.check_memory()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _time_left(self) -> float:
        return self._ends_at - asyncio.get_running_loop().time()

    async def _chaos(self, http: aiohttp.ClientSession) -> None:
        """Signals, pauses and changes, in series that overlap."""
        kinds = ("term", "term", "hup", "pause", "pause", "zone", "change", "controller", "evacuate")
        faults = [partial(getattr(self, f"_{kind}"), http) for kind in kinds]
        await overlapping(self.luck, faults, (0.05, 0.7), lambda: self._time_left() > GRACE_S * 0.4)

    async def _term(self, _http: aiohttp.ClientSession) -> None:
        node = self.luck.choice(self.fleet.routers)
        others = [n for n in self.fleet.routers if n is not node and n in self.entry]
        if node in self.entry and others:
            await asyncio.gather(node.terminate(), self._pause_while_it_ends(node))

    async def _pause_while_it_ends(self, node: Node) -> None:
        """Let a router that ends stand still now and then, so that what comes meanwhile is read at one moment."""
        incarnation = node.current
        while incarnation.ended_at is None and self._time_left() > 0:
            await asyncio.sleep(self.luck.uniform(0.02, 0.12))
            if node.current is incarnation:
                await node.pause(self.luck.uniform(0.05, 0.1))

    async def _hup(self, _http: aiohttp.ClientSession) -> None:
        for node in self.fleet.nodes:
            if node.process is not None and node.incarnations and self.luck.random() < 0.5:
                node.write_settings(zones={"z0": "r0", "z1": f"r{self.luck.randrange(9)}"})
                if node.current.terminated_at is not None or node in self.entry:
                    node.signal(signal.SIGHUP)

    async def _pause(self, _http: aiohttp.ClientSession) -> None:
        for _ in range(self.luck.randint(1, 6)):
            await self.luck.choice(self.fleet.routers).pause(self.luck.uniform(0.03, 0.1))
            await asyncio.sleep(self.luck.uniform(0.0, 0.15))

    async def _zone(self, _http: aiohttp.ClientSession) -> None:
        """All processes of a zone, of both programs, stand still together, a few times."""
        zone = self.luck.choice(self.fleet.nodes).settings["zone"]
        stopped = [node for node in self.fleet.nodes if node.settings["zone"] == zone]
        for _ in range(self.luck.randint(1, 4)):
            seconds = self.luck.uniform(0.05, 0.1)
            await asyncio.gather(*(node.pause(seconds) for node in stopped))
            await asyncio.sleep(self.luck.uniform(0.05, 0.4))

    async def _change(self, http: aiohttp.ClientSession) -> None:
        base, self._revision = self._revision, self._revision + 1
        await self._put(http, base, self.luck.randrange(20))

    async def _order(self, http: aiohttp.ClientSession, method: str, zone: str) -> bool:
        """Give an order about a zone until it is acknowledged, or the play ends."""
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
        """A zone is evacuated and taken back; nothing may reach its runners in between, but for a while at first."""
        if self._evacuating or self._time_left() < EVACUATED_S + 1:
            return
        self._evacuating = True
        zone = self.luck.choice(ZONES)
        if await self._order(http, "POST", zone):
            await asyncio.sleep(EVACUATED_S)
            emptied = [runner for number, runner in enumerate(self.runners) if ZONES[number % len(ZONES)] == zone]
            before = [len(runner.received) for runner in emptied]
            await asyncio.sleep(min(self.luck.uniform(0.5, 2.0), max(0.0, self._time_left())))
            late = [runner.id for runner, count in zip(emptied, before, strict=True) if len(runner.received) > count]
            self.fleet.faults += [f"EVAC a request reached {runner_id} in {zone}" for runner_id in late]
        await self._order(http, "DELETE", zone)
        self._evacuating = False

    async def _controller(self, _http: aiohttp.ClientSession) -> None:
        node = self.luck.choice(self.fleet.controllers)
        if all(n.incarnations and n.current.terminated_at is None for n in self.fleet.controllers):
            await node.terminate()

    # -- clients --------------------------------------------------------------------
    async def _client(self, number: int) -> None:
        luck = random.Random(f"{self.seed} {number}")
        thinks_s = luck.choice((0.05, 0.25, 0.5))
        while self._time_left() > 0 and self.entry:
            node = luck.choice(self.entry)
            try:
                client = await Client.connect(node.ip, FRONT_PORT)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            incarnation = node.current
            while client.open and self._time_left() > 0:
                self._number += 1
                request_id = f"a{self._number}"
                prefix, left_ms = luck.choice(PREFIXES), luck.choice((800, 2000, 4000, 8000))
                outcome = await client.send(prefix + "x", request_id, left_ms=left_ms, pause=luck.choice((0, 0, 0.05)))
                self._judge(outcome, node, incarnation.terminated_at)
                await asyncio.sleep(luck.random() * thinks_s)
            client.close()

    def _judge(self, outcome: Outcome, node: Node, terminated_at: float | None) -> None:
        passed_on = any(
            got.head("X-Sparloom-Attempt-Id") == outcome.id for r in self.runners for got in r.received[-4000:]
        )
        planned = PlannedEnd(terminated_at if terminated_at is not None else 1e12, timedelta(seconds=GRACE_S))
        # A router that stands still may leave a request unread for longer than the slack; then it is reset.
        unread = outcome.reset and not outcome.status and not passed_on
        if not unread and planned.lost(outcome, passed_on):
            what = "cut" if outcome.status else "without an answer"
            since = "before SIGTERM" if terminated_at is None else f"{outcome.sent - terminated_at:.3f} s after SIGTERM"
            self.fleet.faults.append(
                f"LOST {outcome.id} at {node.name}: {what}, passed on {passed_on}, sent {since}, "
                f"ended {outcome.ended - outcome.sent:.3f} s later, waits {outcome.waits}"
            )
        word = str(outcome.status) if outcome.whole else "cut" if passed_on else "unread"
        self.counts[word] = self.counts.get(word, 0) + 1

    def _check_runs(self) -> None:
        runs: dict[str, int] = {}
        for runner in self.runners:
            for got in runner.received:
                if got.ran and "/once/" in got.line:
                    request_id = got.head("X-Sparloom-Attempt-Id") or ""
                    runs[request_id] = runs.get(request_id, 0) + 1
        self.fleet.faults += [f"TWICE {request_id} ran {n} times" for request_id, n in runs.items() if n > 1]
