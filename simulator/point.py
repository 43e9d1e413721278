"""One point of the scale run in simulated time: a fleet of a size, its messages, delays and judgements."""

import asyncio
import math
import random
import time

from attrs import asdict

from sparloom.membership import DEAD
from sparloom.transport import monotonic

from .fleet import BOUNDS, Fleet, entries, patch
from .simulated_router import DEFAULT_LOAD, SKIPS
from .tally import HEADER
from .virtual import world


def middle(vals, part=0.5):
    """A quantile by nearest rank; None of nothing.

    >>> middle([3, 1, 2]), middle([1, 2, 3], 0.99), middle([])
    (2, 3, None)
    """
    vals = sorted(vals)
    return vals[max(0, math.ceil(part * len(vals)) - 1)] if vals else None


def three(vals):
    """Median, 99 in 100 and worst, in ms, and how many never came.

    >>> three([0.001, None])
    {'median': 1.0, 'p99': 1.0, 'worst': 1.0, 'never': 1, 'of': 2}
    """
    got = [v * 1000 for v in vals if v is not None]
    fig = {
        k: None if q is None else round(q, 2)
        for k, q in (("median", middle(got)), ("p99", middle(got, 0.99)), ("worst", max(got, default=None)))
    }
    return {**fig, "never": len(vals) - len(got), "of": len(vals)}


def spans(size):
    """How far two addresses are apart, one way, in seconds: zones 0.5 ms, regions 30 ms.

    >>> from .fleet import Size
    >>> spans(Size(regions=2))("127.2.0.1", "127.2.0.2"), spans(Size())("127.2.0.1", "127.2.0.6")
    (0.03, 0.0001)
    """

    def zone(ip):
        _, _, hi, lo = ip.split(".")
        return size.zone(int(hi) * 250 + int(lo) - 1)

    def far(a, b):
        za, zb = zone(a), zone(b)
        return 0.0001 if za == zb else 0.0005 if size.region(za) == size.region(zb) else 0.03

    return far


def rates(tally, hosts, seconds):
    """Messages and bytes a second of the mean and the busiest of some hosts, out and in.

    >>> from .tally import Tally
    >>> t = Tally(); t.sent("a", "Ping", 72); rates(t, ["a", "b"], 1)["meanOut"]
    {'messages': 0.5, 'bytes': 50.0}
    """
    got = [tally.node(h) for h in hosts]

    def fig(pick, at):
        n, b = pick(g[at] for g in got), pick(g[at + 1] + HEADER * g[at] for g in got)
        return {"messages": round(n / seconds, 2), "bytes": round(b / seconds, 1)}

    def mean(vals):
        vals = list(vals)
        return sum(vals) / len(vals)

    return {"meanOut": fig(mean, 0), "meanIn": fig(mean, 2), "mostOut": fig(max, 0), "mostIn": fig(max, 2)}


class Point:
    """Plays a fleet of one size through quiet, changes, deaths and a lost zone."""

    def __init__(self, loop, size, load, seed, seconds=5, rate=0.76, changes=5, troubles=True, bounds=BOUNDS):
        self.loop, self.size, self.rng, self.seconds = loop, size, random.Random(seed), seconds
        self.fleet = Fleet(loop, size, load, bounds)
        self.rate, self.changes, self.troubles, self.bounds = rate, changes, troubles, bounds
        self.out = {"size": asdict(size), "load": asdict(load), "seed": seed, "skips": SKIPS, "headerBytes": HEADER}

    async def play(self):
        """The figures of the point."""
        t, f = time.process_time(), self.fleet
        await f.start()
        self.out["settledMs"] = await self._settle()
        await asyncio.sleep(f.load.hold * 2)
        await self._quiet()
        await self._change()
        await self._relist()
        if self.size.regions > 1:
            await self._parted()
        if self.troubles:
            await self._deaths()
            await self._zone()
        self.out["emulatorCpuS"] = round(time.process_time() - t, 1)
        return self.out

    async def _settle(self):
        begun, n = monotonic(), self.size.nodes
        while (monotonic() - begun).total_seconds() < 90:
            if all(r.ready() and r.fleet_size_divisor() == n for r in self.fleet.routers.values()):
                return round((monotonic() - begun).total_seconds() * 1000)
            await asyncio.sleep(0.25)
        return None

    def _observers(self, most=24):
        up = list(self.fleet.routers.values())
        return self.rng.sample(up, min(most, len(up)))

    async def _quiet(self):
        tally, f = self.loop.net.tally, self.fleet
        tally.clear()
        false = []
        for _ in range(int(self.seconds * 2)):
            await asyncio.sleep(0.5)
            false.append(f.doubted(self._observers(8)))
        ends = list(f.routers)
        duty = [ip for ip, r in f.routers.items() if r.relay_tier.is_relay]
        self.out["quiet"] = {
            "relayDuty": {"nodes": len(duty), **(rates(tally, duty, self.seconds) if duty else {})},
            "others": rates(tally, [ip for ip in ends if ip not in duty] or ends, self.seconds),
            "routers": rates(tally, ends, self.seconds),
            "controllers": rates(tally, list(f.controllers), self.seconds),
            "kinds": {
                k: {
                    "messages": round(n / self.seconds / len(ends), 2),
                    "bytes": round((b + HEADER * n) / self.seconds / len(ends), 1),
                }
                for k, (n, b) in tally.kinds(set(ends)).items()
            },
            "tooLong": tally.long,
            "falselySuspected": sum(d.suspect for d in false),
            "falselyDead": sum(d.dead for d in false),
            "calls": sum(r.calls for r in f.routers.values()),
            "refused": sum(r.refused for r in f.routers.values()),
        }

    async def _change(self):
        tally, f, all_ms = self.loop.net.tally, self.fleet, []
        tally.clear()
        begun = monotonic()
        for i in range(self.changes):
            due = i / self.rate - (monotonic() - begun).total_seconds()
            await asyncio.sleep(max(0.0, due))
            all_ms += await self._one_change(i)
        took = (monotonic() - begun).total_seconds() or 1
        self.out["change"] = {
            "delayMs": three(all_ms),
            "seconds": round(took, 2),
            "routers": rates(tally, list(f.routers), took),
            "controllers": rates(tally, list(f.controllers), took),
        }

    async def _one_change(self, i):
        f = self.fleet
        for _ in range(100):
            v = f.revision + 1
            acked = await f.change(patch(v, i % self.size.routes, 500 + v))
            if acked is not None:
                return await f.spread(acked, v, self.bounds["configApplyMs"] / 500)
            await asyncio.sleep(0.1)
        return [None]

    async def _relist(self):
        tally, f = self.loop.net.tally, self.fleet
        tally.clear()
        new = f"i-00000-{1}"
        for c in f.controllers.values():
            c.poller.listing = entries(self.size.runners, self.size.zones, 1, self.size.slots)
        begun = monotonic()
        while (monotonic() - begun).total_seconds() < 30 and not all(
            new in r.backends.by_id for r in f.routers.values()
        ):
            await asyncio.sleep(0.05)
        took = (monotonic() - begun).total_seconds()
        self.out["list"] = {
            "lastMs": round(took * 1000),
            "changeBytes": self._kind_bytes("Change"),
            "whole": all(new in r.backends.by_id for r in f.routers.values()),
        }

    def _kind_bytes(self, what):
        return self.loop.net.tally.kinds().get(what, (0, 0))[1]

    async def _noticed(self, keys, most):
        """Seconds until each of some observers believed each of some gone."""
        begun, seen = monotonic(), {}
        watch = [(r, k) for r in self._observers() for k in keys]
        while (monotonic() - begun).total_seconds() < most and len(seen) < len(watch):
            await asyncio.sleep(0.1)
            for i, (r, k) in enumerate(watch):
                e = r.swim.table.get(k)
                if i not in seen and (e is None or e.peer.state == DEAD):
                    seen[i] = (monotonic() - begun).total_seconds()
        return [seen.get(i) for i in range(len(watch))]

    async def _deaths(self):
        f = self.fleet
        gone = self.rng.sample(list(f.routers), max(1, self.size.nodes // 50))
        keys = [f.routers[ip].key for ip in gone]
        await f.kill(gone)
        self.out["deaths"] = {
            "killed": len(gone),
            "noticedMs": three(await self._noticed(keys, 8 * self.bounds["contactMs"] / 1000)),
        }

    async def _parted(self, cut_s=20):
        """The first region loses the others, then finds them again."""
        f, net, s = self.fleet, self.loop.net, self.size
        every = [*f.routers, *f.controllers]
        zones = {ip: (f.routers.get(ip) or f.controllers[ip]).settings.zone for ip in every}
        away = {ip for ip in every if s.region(zones[ip]) == "region-1"}
        net.cut(away, set(every) - away)
        await asyncio.sleep(cut_s)
        net.tally.clear()
        delays = dict(zip(f.routers, await self._one_change(0), strict=True))
        sides = {"cutOff": [ip for ip in f.routers if ip in away], "rest": [ip for ip in f.routers if ip not in away]}
        self.out["parted"] = {
            "seconds": cut_s,
            **{
                k: {
                    "routers": len(v),
                    "controllers": sum(c in away for c in f.controllers)
                    if k == "cutOff"
                    else sum(c not in away for c in f.controllers),
                    "changeMs": three([delays[ip] for ip in v]),
                    "ready": sum(f.routers[ip].ready() for ip in v),
                    "nodesSeen": sorted({f.routers[ip].fleet_size_divisor() for ip in v}),
                    "dividedBy": sorted({f.routers[ip].fleet_size.divisor for ip in v}),
                }
                for k, v in sides.items()
            },
        }
        net.cuts.clear()
        begun = monotonic()
        while (monotonic() - begun).total_seconds() < 90 and not all(
            f._has(r, f.revision) and r.fleet_size_divisor() == s.nodes for r in f.routers.values()
        ):
            await asyncio.sleep(0.1)
        whole = all(r.fleet_size_divisor() == s.nodes for r in f.routers.values())
        self.out["parted"]["healedMs"] = round((monotonic() - begun).total_seconds() * 1000) if whole else None

    async def _zone(self):
        f, tally = self.fleet, self.loop.net.tally
        gone = [ip for ip, r in f.routers.items() if r.settings.zone == self.size.zone(0)]
        keys = [f.routers[ip].key for ip in gone][:10]
        self.loop.net.off.add(self.size.controller(0))
        await f.kill(gone)
        watch = asyncio.ensure_future(self._noticed(keys, 10 * self.bounds["contactMs"] / 1000))
        worst, changed = None, asyncio.ensure_future(self._one_change(0))
        begun = monotonic()
        while not watch.done() or not changed.done():
            tally.clear()
            await asyncio.sleep(1.0)
            now = rates(tally, list(f.routers), 1.0)
            worst = now if worst is None or now["mostOut"]["bytes"] > worst["mostOut"]["bytes"] else worst
        self.out["zone"] = {
            "lost": len(gone),
            "noticedMs": three(watch.result()),
            "changeMs": three(changed.result()),
            "worstSecond": worst,
            "tookMs": round((monotonic() - begun).total_seconds() * 1000),
        }


def point(size, load=DEFAULT_LOAD, seed=1, loss=0.0005, **kw):
    """Plays one point; the same seed gives the same figures.

    >>> from .fleet import Size
    >>> point(Size(nodes=4, runners=4, controllers=3, zones=2), seconds=1, changes=1, troubles=False)["change"]["delayMs"]["never"]
    0
    """
    with world(seed, spans(size), loss) as loop:
        return loop.run_until_complete(Point(loop, size, load, seed, **kw).play())
