"""The scale run over real loopback sockets: real controllers, some real routers, the other routers simulated.

``SocketPoint`` runs one point with child processes; ``run`` plays all points
of a plan.
"""

import asyncio
import json
import os
import random
import tempfile
import time

import aiohttp
from attrs import asdict

from sparloom.transport import monotonic

from .children import Children
from .fleet import configuration, route_change, startup
from .point import delay_summary
from .simulated_router import SKIPS
from .tally import HEADER_BYTES
from .traffic import SERVICE, TRAFFIC_ROUTE, Traffic

MAX_PROCESSES = 40


class PointFailed(RuntimeError):
    """A point can't be completed; the message gives the reason."""


def to_toml(document):
    """Formats startup settings as TOML.

    >>> print(to_toml({"a": "x", "b": {"c": [1, True]}}))
    a = "x"
    [b]
    c = [1, true]
    """
    plain = [f"{key} = {json.dumps(value)}" for key, value in document.items() if not isinstance(value, dict)]
    return "\n".join(
        [*plain, *(f"[{key}]\n{to_toml(value)}" for key, value in document.items() if isinstance(value, dict))]
    )


class SocketPoint:
    """One run of one point."""

    def __init__(self, plan, size, seed, report):
        self.plan, self.size, self.seed, self.report = plan, size, seed, report
        self.rng, self.revision, self.hosts, self.host_by_index = random.Random(seed), 0, [], {}
        self.figures = {
            "size": asdict(size),
            "load": asdict(plan.load),
            "seed": seed,
            "skips": SKIPS,
            "headerBytes": HEADER_BYTES,
        }

    async def play(self):
        """Runs all phases and gives the figures; stops all that it started."""
        with tempfile.TemporaryDirectory(prefix="sparloom-scale-") as folder:
            self.children = Children(folder, MAX_PROCESSES)
            self.traffic = Traffic(self.size, self.plan["platform"], self.seed)
            try:
                await self._start(folder)
                await self._wait_until_converged()
                await self._measure_steady_state()
                await self._measure_changes()
                await self._replace_listed_runner()
                await self._fail_routers()
                if self.plan["failures"]["zone"]:
                    await self._lose_zone()
                self.figures["streams"] = self.traffic.figures()
                return self.figures
            finally:
                await self.traffic.stop()
                await self.session.close()
                await self.children.stop_all()

    # -- start --------------------------------------------------------------
    def _startup(self, folder, ip, role, index):
        size, data = self.size, os.path.join(folder, ip) if role == "controller" else None
        if data:
            os.mkdir(data)
        return startup(
            size,
            ip,
            role,
            size.zone(index),
            min(2, (size.controllers - 1) // 2),
            True,
            self.plan.bounds,
            data,
            self.api,
            self.plan["platform"]["ratePerS"],
        )

    async def _start_program(self, folder, ip, role, index):
        path = os.path.join(folder, f"{ip}.toml")
        with open(path, "w", encoding="utf-8") as file:  # noqa: ASYNC230 - a small file, once
            file.write(to_toml(self._startup(folder, ip, role, index)))
        return await self.children.start(
            role, [f"sparloom.{role}"], env={"SPARLOOM_CONFIG": path, "SPARLOOM_LOG": "warning"}
        )

    async def _start(self, folder):
        size, real_routers = self.size, self.plan["realRouters"]
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        self.api = await self.traffic.start()
        for i in range(size.controllers):
            await self._start_program(folder, size.controller(i), "controller", i)
        for i in range(real_routers):
            await self._start_program(folder, size.router(i), "router", i)
        simulated, per_process = list(range(real_routers, size.nodes)), self.plan["perProcess"]
        host_count = max(1, -(-len(simulated) // per_process))
        for i in range(host_count):
            indices = simulated[i::host_count]
            self.hosts.append(
                await self.children.start("hollow", ["simulator.host"], len(indices), takes_commands=True)
            )
            self.host_by_index |= dict.fromkeys(indices, self.hosts[-1])
        self.empty_hosts = [(await host.request("figures"), host.usage()) for host in self.hosts]
        await asyncio.gather(
            *(
                host.request(
                    "start",
                    startups=[
                        self._startup(folder, size.router(i), "router", i)
                        for i, owner in self.host_by_index.items()
                        if owner is host
                    ],
                    load=asdict(self.plan.load),
                    seed=self.seed + number,
                )
                for number, host in enumerate(self.hosts)
            )
        )
        document = configuration(1, size.routes, size.slots)
        document["routes"].append(TRAFFIC_ROUTE)
        document["services"].append({**document["services"][0], "name": SERVICE})
        for _ in range(100):
            if await self._send_configuration("PUT", document) is not None:
                return
            await asyncio.sleep(0.2)
        raise PointFailed("no controller acknowledged the first configuration")

    async def _send_configuration(self, method, document):
        """The time at which a controller acknowledged the configuration, or None."""
        for i in self.rng.sample(range(self.size.controllers), self.size.controllers):
            try:
                async with self.session.request(
                    method,
                    f"http://{self.size.controller(i)}:8262/-/configuration",
                    data=json.dumps(document),
                    headers={"If-Match": str(self.revision)},
                ) as response:
                    if response.status == 200:
                        self.revision = document["revision"]
                        return monotonic().total_seconds()
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
        return None

    async def _request_all(self, command, **args):
        return await asyncio.gather(*(host.request(command, **args) for host in self.hosts))

    async def _wait_until_converged(self):
        started, nodes = time.monotonic(), self.size.nodes
        while time.monotonic() - started < 90:
            states = await self._request_all("state", nodes=nodes)
            if (
                sum(state["ready"] for state in states)
                == sum(state["whole"] for state in states)
                == len(self.host_by_index)
            ):
                self.figures["settledMs"] = round((time.monotonic() - started) * 1000)
                self.traffic.send([f"{self.size.router(i)}:8263" for i in range(self.plan["realRouters"])], 2.0)
                return self.report("settled")
            await asyncio.sleep(0.5)
        exited = [
            f"{child.role} exited with status {child.process.returncode}"
            for child in self.children.started
            if child.process.returncode is not None
        ]
        raise PointFailed(f"not converged after 90 s: {states} {exited}")

    # -- phases -------------------------------------------------------------
    async def _measure(self, phase, seconds):
        """Counts for some seconds and stores the figures of the phase, per role and node."""
        await self._request_all("figures")
        before, started = self.children.usage_by_role(), time.monotonic()
        keys = [f"{self.size.router(i)}:7301" for i in self.host_by_index]
        while time.monotonic() - started < seconds:
            await self._request_all("check", running=keys)
            await asyncio.sleep(0.5)
        after, elapsed_s, host_figures = (
            self.children.usage_by_role(),
            time.monotonic() - started,
            await self._request_all("figures"),
        )
        if self.children.memory_mb() > self.plan["memoryMb"]:
            raise PointFailed(
                f"the child processes use {self.children.memory_mb():.0f} MB, more than the plan's {self.plan['memoryMb']}"
            )
        nodes = sum(figures["nodes"] for figures in host_figures)
        kinds = {}
        for figures in host_figures:
            for kind, (messages, size) in figures["kinds"].items():
                old = kinds.get(kind, (0, 0))
                kinds[kind] = (old[0] + messages, old[1] + size + HEADER_BYTES * messages)
        empty_hosts_mb = sum(usage[1] for _, usage in self.empty_hosts)

        def rate(counts):
            return {
                "messages": round(sum(messages for messages, _ in counts) / elapsed_s / nodes, 2),
                "bytes": round(sum(size for _, size in counts) / elapsed_s / nodes, 1),
            }

        self.figures[phase] = {
            "seconds": round(elapsed_s, 2),
            "nodeOut": rate(kinds.values()),
            "nodeIn": rate(
                [(figures["in"][0], figures["in"][1] + HEADER_BYTES * figures["in"][0]) for figures in host_figures]
            ),
            "kinds": {kind: rate([counts]) for kind, counts in sorted(kinds.items())},
            "cpu": {
                role: {
                    "coreShare": round((after[role][0] - before[role][0]) / elapsed_s / after[role][2], 5),
                    "memoryMb": round(
                        (after[role][1] - (empty_hosts_mb if role == "hollow" else 0)) / after[role][2], 2
                    ),
                    "nodes": after[role][2],
                }
                for role in after
                if role in before
            },
            "latestTimerMs": max(figures["lateMs"] for figures in host_figures),
            "falselySuspected": sum(figures["suspect"] for figures in host_figures),
            "falselyDead": sum(figures["dead"] for figures in host_figures),
            "refused": sum(figures["refused"] for figures in host_figures),
            "calls": sum(figures["calls"] for figures in host_figures),
        }
        self.report(
            f"{phase}: {self.figures[phase]['nodeOut']} sent per node and second, timers late by up to {self.figures[phase]['latestTimerMs']} ms"
        )

    async def _measure_steady_state(self):
        await asyncio.sleep(min(10.0, 2 * self.plan.load.hold))
        await self._measure("quiet", self.plan["quietS"])

    async def _apply_change(self, index):
        revision = self.revision + 1
        for _ in range(50):
            acknowledged_at = await self._send_configuration(
                "PATCH", route_change(revision, index % self.size.routes, 500 + revision)
            )
            if acknowledged_at is not None:
                return [
                    delay
                    for delays in await self._request_all(
                        "seen",
                        revision=revision,
                        since=acknowledged_at,
                        within_s=self.plan.bounds["configApplyMs"] / 250,
                    )
                    for delay in delays
                ]
            await asyncio.sleep(0.2)
        return [None]

    async def _measure_changes(self):
        changes, delays_by_change = self.plan["changes"], []
        for i in range(changes["count"]):
            delays_by_change.append(await self._apply_change(i))
            await asyncio.sleep(1 / changes["perS"])
        self.figures["change"] = {
            "perS": changes["perS"],
            "delayMs": delay_summary([delay for delays in delays_by_change for delay in delays]),
        }
        self.report(f"changes: {self.figures['change']['delayMs']}")

    async def _replace_listed_runner(self):
        since = monotonic().total_seconds()
        self.traffic.list(1)
        delays_s = await self._request_all("listed", runner="i-00000-1", since=since, within_s=40)
        self.figures["list"] = {"lastS": None if None in delays_s else max(delays_s)}
        self.report(f"list: {self.figures['list']}")

    def _failure_count(self, per_day):
        """The number of routers that fail in this phase, from the plan's daily rate and its scale factor.

        At least 1 and at most a fifth of the simulated routers; 0 when the daily rate is 0.
        """
        failures = self.plan["failures"]
        expected = per_day / failures["ofNodes"] / 86400 * self.size.nodes * failures["times"] * failures["seconds"]
        return min(max(1, round(expected)), len(self.host_by_index) // 5) if per_day else 0

    def _addresses_by_host(self, indices):
        return [
            (host, [self.size.router(i) for i in indices if self.host_by_index[i] is host])
            for host in self.hosts
            if any(self.host_by_index[i] is host for i in indices)
        ]

    async def _kill_routers(self, indices):
        since = max(
            await asyncio.gather(*(host.request("kill", ips=ips) for host, ips in self._addresses_by_host(indices)))
        )
        keys = [f"{self.size.router(i)}:7301" for i in indices]
        for i in indices:
            del self.host_by_index[i]
        return [
            delay
            for delays in await self._request_all(
                "watch", keys=keys[:10], since=since, within_s=10 * self.plan.bounds["contactMs"] / 1000
            )
            for delay in delays
        ]

    async def _fail_routers(self):
        failures = self.plan["failures"]
        restarted = self.rng.sample(list(self.host_by_index), self._failure_count(failures["restartsPerDay"]))
        durations_s = await asyncio.gather(
            *(host.request("restart", ips=ips) for host, ips in self._addresses_by_host(restarted))
        )
        killed = self.rng.sample(list(self.host_by_index), self._failure_count(failures["perDay"]))
        delays_s = await self._kill_routers(killed) if killed else []
        self.figures["failures"] = {
            "restarts": len(restarted),
            "restartS": [round(duration, 2) for duration in durations_s],
            "deaths": len(killed),
            "noticedMs": delay_summary(delays_s),
        }
        self.report(f"failures: {self.figures['failures']}")

    async def _lose_zone(self):
        zone = self.size.zone(0)
        killed = [i for i in self.host_by_index if self.size.zone(i) == zone]
        controller = self.children.running("controller")[0]
        controller.process.kill()
        change = asyncio.ensure_future(self._apply_change(0))
        delays_s = await self._kill_routers(killed)
        self.figures["zone"] = {
            "lost": len(killed) + 1,
            "noticedMs": delay_summary(delays_s),
            "changeMs": delay_summary(await change),
        }
        await self._measure("afterZone", 5)
        self.report(f"zone: {self.figures['zone']}")


async def run(plan, report, save):
    """Plays all points of a plan, each as often as the plan says, until its time limit.

    ``report(text)`` is called with the progress, ``save(results)`` after each point.
    """
    deadline, results = (
        time.monotonic() + plan["limitS"],
        {"form": "real sockets", "plan": plan.values, "points": [], "notRun": []},
    )
    runs = [(number, size) for size in plan.sizes for number in range(plan["runs"])]
    for number, size in runs:
        name = f"{size.nodes} nodes, {size.runners} runners, {size.routes} routes, run {number + 1}"
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                results["points"].append(
                    await SocketPoint(
                        plan, size, plan["seed"] + number, lambda text, name=name: report(f"{name}: {text}")
                    ).play()
                )
        except (PointFailed, RuntimeError) as e:
            results["notRun"].append(f"{name}: {e}")
        except TimeoutError:
            results["notRun"].append(f"{name}: time limit of the run reached, or a child process did not reply in time")
        report(
            f"{name}: {'not run, ' + results['notRun'][-1] if results['notRun'] and results['notRun'][-1].startswith(name) else 'done'}"
        )
        save(results)
    return results
