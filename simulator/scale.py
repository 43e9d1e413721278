"""The scale run over real sockets: real controllers and routers beside hollow ones, on loopback."""

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
from .fleet import patch, policy, startup
from .point import three
from .simulated_router import SKIPS
from .tally import HEADER
from .traffic import GIVEN, SERVICE, Traffic

PROCESSES = 40


class Failed(RuntimeError):
    """A point can't be played; its text says why."""


def toml(d):
    """A flat writer for startup files.

    >>> print(toml({"a": "x", "b": {"c": [1, True]}}))
    a = "x"
    [b]
    c = [1, true]
    """
    plain = [f"{k} = {json.dumps(v)}" for k, v in d.items() if not isinstance(v, dict)]
    return "\n".join([*plain, *(f"[{k}]\n{toml(v)}" for k, v in d.items() if isinstance(v, dict))])


class Real:
    """One point, one run."""

    def __init__(self, plan, size, seed, say):
        self.plan, self.size, self.seed, self.say = plan, size, seed, say
        self.luck, self.revision, self.hosts, self.place = random.Random(seed), 0, [], {}
        self.out = {
            "size": asdict(size),
            "load": asdict(plan.load),
            "seed": seed,
            "skips": SKIPS,
            "headerBytes": HEADER,
        }

    async def play(self):
        """The figures of the point; all that was started has ended after it."""
        with tempfile.TemporaryDirectory(prefix="sparloom-scale-") as folder:
            self.kids = Children(folder, PROCESSES)
            self.traffic = Traffic(self.size, self.plan["platform"], self.seed)
            try:
                await self._start(folder)
                await self._settle()
                await self._quiet()
                await self._changes()
                await self._list()
                await self._failures()
                if self.plan["failures"]["zone"]:
                    await self._zone()
                self.out["streams"] = self.traffic.figures()
                return self.out
            finally:
                await self.traffic.stop()
                await self.session.close()
                await self.kids.end()

    # -- start --------------------------------------------------------------
    def _told(self, folder, ip, role, i):
        s, data = self.size, os.path.join(folder, ip) if role == "controller" else None
        if data:
            os.mkdir(data)
        return startup(
            s,
            ip,
            role,
            s.zone(i),
            min(2, (s.controllers - 1) // 2),
            True,
            self.plan.bounds,
            data,
            self.api,
            self.plan["platform"]["ratePerS"],
        )

    async def _program(self, folder, ip, role, i):
        path = os.path.join(folder, f"{ip}.toml")
        with open(path, "w", encoding="utf-8") as f:  # noqa: ASYNC230 - a small file, once
            f.write(toml(self._told(folder, ip, role, i)))
        return await self.kids.start(
            role, [f"sparloom.{role}"], env={"SPARLOOM_CONFIG": path, "SPARLOOM_LOG": "warning"}
        )

    async def _start(self, folder):
        s, real = self.size, self.plan["realRouters"]
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        self.api = await self.traffic.start()
        for i in range(s.controllers):
            await self._program(folder, s.controller(i), "controller", i)
        for i in range(real):
            await self._program(folder, s.router(i), "router", i)
        rest, per = list(range(real, s.nodes)), self.plan["perProcess"]
        n = max(1, -(-len(rest) // per))
        for h in range(n):
            mine = rest[h::n]
            self.hosts.append(await self.kids.start("hollow", ["simulator.host"], len(mine), asked=True))
            self.place |= dict.fromkeys(mine, self.hosts[-1])
        self.empty = [(await h.ask("figures"), h.used()) for h in self.hosts]
        await asyncio.gather(
            *(
                h.ask(
                    "start",
                    startups=[self._told(folder, s.router(i), "router", i) for i, at in self.place.items() if at is h],
                    load=asdict(self.plan.load),
                    seed=self.seed + k,
                )
                for k, h in enumerate(self.hosts)
            )
        )
        d = policy(1, s.routes, s.slots)
        d["routes"].append(GIVEN)
        d["services"].append({**d["services"][0], "name": SERVICE})
        for _ in range(100):
            if await self._operator("PUT", d) is not None:
                return
            await asyncio.sleep(0.2)
        raise Failed("no configuration was taken")

    async def _operator(self, method, d):
        """The time of the acknowledgement, or None."""
        for i in self.luck.sample(range(self.size.controllers), self.size.controllers):
            try:
                async with self.session.request(
                    method,
                    f"http://{self.size.controller(i)}:8262/-/configuration",
                    data=json.dumps(d),
                    headers={"If-Match": str(self.revision)},
                ) as r:
                    if r.status == 200:
                        self.revision = d["revision"]
                        return monotonic().total_seconds()
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
        return None

    async def _all(self, do, **args):
        return await asyncio.gather(*(h.ask(do, **args) for h in self.hosts))

    async def _settle(self):
        begun, n = time.monotonic(), self.size.nodes
        while time.monotonic() - begun < 90:
            got = await self._all("state", nodes=n)
            if sum(g["ready"] for g in got) == sum(g["whole"] for g in got) == len(self.place):
                self.out["settledMs"] = round((time.monotonic() - begun) * 1000)
                self.traffic.send([f"{self.size.router(i)}:8263" for i in range(self.plan["realRouters"])], 2.0)
                return self.say("settled")
            await asyncio.sleep(0.5)
        ended = [f"{c.role} ended with {c.proc.returncode}" for c in self.kids.all if c.proc.returncode is not None]
        raise Failed(f"not settled after 90 s: {got} {ended}")

    # -- phases -------------------------------------------------------------
    async def _measured(self, what, seconds):
        """Waits while counting; figures per role and node."""
        await self._all("figures")
        before, t = self.kids.used(), time.monotonic()
        keys = [f"{self.size.router(i)}:7301" for i in self.place]
        while time.monotonic() - t < seconds:
            await self._all("check", running=keys)
            await asyncio.sleep(0.5)
        after, took, got = self.kids.used(), time.monotonic() - t, await self._all("figures")
        if self.kids.memory() > self.plan["memoryMb"]:
            raise Failed(f"the children hold {self.kids.memory():.0f} MB, more than the plan's {self.plan['memoryMb']}")
        nodes = sum(g["nodes"] for g in got)
        kinds = {}
        for g in got:
            for k, (n, b) in g["kinds"].items():
                old = kinds.get(k, (0, 0))
                kinds[k] = (old[0] + n, old[1] + b + HEADER * n)
        base = sum(u[1] for _, u in self.empty)

        def rate(vals):
            return {
                "messages": round(sum(n for n, _ in vals) / took / nodes, 2),
                "bytes": round(sum(b for _, b in vals) / took / nodes, 1),
            }

        self.out[what] = {
            "seconds": round(took, 2),
            "nodeOut": rate(kinds.values()),
            "nodeIn": rate([(g["in"][0], g["in"][1] + HEADER * g["in"][0]) for g in got]),
            "kinds": {k: rate([v]) for k, v in sorted(kinds.items())},
            "cpu": {
                r: {
                    "coreShare": round((after[r][0] - before[r][0]) / took / after[r][2], 5),
                    "memoryMb": round((after[r][1] - (base if r == "hollow" else 0)) / after[r][2], 2),
                    "nodes": after[r][2],
                }
                for r in after
                if r in before
            },
            "latestTimerMs": max(g["lateMs"] for g in got),
            "falselySuspected": sum(g["suspect"] for g in got),
            "falselyDead": sum(g["dead"] for g in got),
            "refused": sum(g["refused"] for g in got),
            "calls": sum(g["calls"] for g in got),
        }
        self.say(
            f"{what}: {self.out[what]['nodeOut']} out a node and second, timers late by up to {self.out[what]['latestTimerMs']} ms"
        )

    async def _quiet(self):
        await asyncio.sleep(min(10.0, 2 * self.plan.load.hold))
        await self._measured("quiet", self.plan["quietS"])

    async def _change(self, i):
        v = self.revision + 1
        for _ in range(50):
            acked = await self._operator("PATCH", patch(v, i % self.size.routes, 500 + v))
            if acked is not None:
                return [
                    d
                    for g in await self._all(
                        "seen", revision=v, since=acked, most=self.plan.bounds["configApplyMs"] / 250
                    )
                    for d in g
                ]
            await asyncio.sleep(0.2)
        return [None]

    async def _changes(self):
        c, todo = self.plan["changes"], []
        for i in range(c["count"]):
            todo.append(await self._change(i))
            await asyncio.sleep(1 / c["perS"])
        self.out["change"] = {"perS": c["perS"], "delayMs": three([d for ds in todo for d in ds])}
        self.say(f"changes: {self.out['change']['delayMs']}")

    async def _list(self):
        since = monotonic().total_seconds()
        self.traffic.list(1)
        got = await self._all("listed", runner="i-00000-1", since=since, most=40)
        self.out["list"] = {"lastS": None if None in got else max(got)}
        self.say(f"list: {self.out['list']}")

    def _some(self, per_day):
        """How many of a day's failures fall on this fleet in this time, scaled up; one at least."""
        f = self.plan["failures"]
        mean = per_day / f["ofNodes"] / 86400 * self.size.nodes * f["times"] * f["seconds"]
        return min(max(1, round(mean)), len(self.place) // 5) if per_day else 0

    def _split(self, nodes):
        return [
            (h, [self.size.router(i) for i in nodes if self.place[i] is h])
            for h in self.hosts
            if any(self.place[i] is h for i in nodes)
        ]

    async def _kill(self, nodes):
        since = max(await asyncio.gather(*(h.ask("kill", ips=ips) for h, ips in self._split(nodes))))
        keys = [f"{self.size.router(i)}:7301" for i in nodes]
        for i in nodes:
            del self.place[i]
        return [
            d
            for g in await self._all(
                "watch", keys=keys[:10], since=since, most=10 * self.plan.bounds["contactMs"] / 1000
            )
            for d in g
        ]

    async def _failures(self):
        f = self.plan["failures"]
        again = self.luck.sample(list(self.place), self._some(f["restartsPerDay"]))
        took = await asyncio.gather(*(h.ask("restart", ips=ips) for h, ips in self._split(again)))
        gone = self.luck.sample(list(self.place), self._some(f["perDay"]))
        noticed = await self._kill(gone) if gone else []
        self.out["failures"] = {
            "restarts": len(again),
            "restartS": [round(t, 2) for t in took],
            "deaths": len(gone),
            "noticedMs": three(noticed),
        }
        self.say(f"failures: {self.out['failures']}")

    async def _zone(self):
        zone = self.size.zone(0)
        gone = [i for i in self.place if self.size.zone(i) == zone]
        ctl = self.kids.of("controller")[0]
        ctl.proc.kill()
        change = asyncio.ensure_future(self._change(0))
        noticed = await self._kill(gone)
        self.out["zone"] = {"lost": len(gone) + 1, "noticedMs": three(noticed), "changeMs": three(await change)}
        await self._measured("afterZone", 5)
        self.say(f"zone: {self.out['zone']}")


async def run(plan, say, keep):
    """All points, three runs each; ends by the plan's limit. ``keep(run)`` is called after each point."""
    end, done = (
        time.monotonic() + plan["limitS"],
        {"form": "real sockets", "plan": plan.told, "points": [], "notRun": []},
    )
    todo = [(r, s) for s in plan.sizes for r in range(plan["runs"])]
    for r, size in todo:
        name = f"{size.nodes} nodes, {size.runners} runners, {size.routes} routes, run {r + 1}"
        try:
            async with asyncio.timeout(max(0.0, end - time.monotonic())):
                done["points"].append(
                    await Real(plan, size, plan["seed"] + r, lambda t, name=name: say(f"{name}: {t}")).play()
                )
        except (Failed, RuntimeError) as e:
            done["notRun"].append(f"{name}: {e}")
        except TimeoutError:
            done["notRun"].append(f"{name}: the run's time was over, or a process gave no answer")
        say(
            f"{name}: {'not run, ' + done['notRun'][-1] if done['notRun'] and done['notRun'][-1].startswith(name) else 'done'}"
        )
        keep(done)
    return done
