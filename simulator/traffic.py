"""Streamed requests through the real routers, and the platform and runners behind them."""

import asyncio
import random

import aiohttp
from hdrh.histogram import HdrHistogram

from fakes.platform import Platform
from fakes.runner import Runner
from sparloom.transport import monotonic

from .fleet import entries

SERVICE, HOST = "real", "real.example"
API = "127.3.0.1"
GIVEN = {
    "name": "real",
    "hostname": HOST,
    "pathPrefix": "/real/",
    "routeKind": "streaming",
    "timeoutMs": 10000,
    "targetMs": 450,
    "priority": 0,
    "service": SERVICE,
    "maxAttempts": 2,
    "resumeStreams": True,
    "gapTargetMs": 200,
}


def histogram():
    """Microseconds up to a minute, to three digits.

    >>> histogram().get_total_count()
    0
    """
    return HdrHistogram(1, 60_000_000, 3)


def quantiles(h):
    """Median, 99 in 100 and worst of a histogram of microseconds, in ms.

    >>> quantiles(histogram())["of"]
    0
    """
    n = h.get_total_count()
    return (
        {
            "median": h.get_value_at_percentile(50) / 1000,
            "p99": h.get_value_at_percentile(99) / 1000,
            "worst": h.get_max_value() / 1000,
            "of": n,
        }
        if n
        else {"median": None, "p99": None, "worst": None, "of": 0}
    )


class Traffic:
    """A platform, two stand-in runners, and requesters."""

    def __init__(self, size, platform, seed):
        self.size, self.luck, self.told = size, random.Random(seed), platform
        self.first, self.gap, self.good, self.bad, self.tasks = histogram(), histogram(), 0, 0, []

    async def start(self):
        """The platform lists the hollow runners, and two that answer."""
        self.runners = [await Runner(id=f"real-{i}", events=12, pause=0.05).start(f"127.3.1.{i + 1}") for i in range(2)]
        self.real = [
            Platform.entry(r.id, SERVICE, f"127.3.1.{i + 1}:{r.port}", zone="zone-1", slots=64)
            for i, r in enumerate(self.runners)
        ]
        self.platform = await Platform([], self.told["pageSize"]).start(API)
        self.list(0)
        return f"{API}:{self.platform.port}"

    def list(self, life):
        """The list, with the first hollow runner in that life."""
        self.platform.entries = [*self.real, *entries(self.size.runners, self.size.zones, life, self.size.slots)]

    def send(self, fronts, rate):
        """Requests a second to each front, until the end."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10))
        self.tasks = [asyncio.ensure_future(self._often(f, rate)) for f in fronts]

    async def _often(self, front, rate):
        open_now = set()
        while True:
            await asyncio.sleep(self.luck.expovariate(rate))
            t = asyncio.ensure_future(self._one(front))
            open_now.add(t)
            t.add_done_callback(open_now.discard)

    async def _one(self, front):
        heads = {
            "Host": HOST,
            "X-Sparloom-Attempt-Id": f"a{self.luck.getrandbits(60):x}",
            "X-Sparloom-Prompt-Prefix": f"aa{self.luck.randrange(8)}:2048,{self.luck.getrandbits(50):x}:300",
        }
        last, h, events = monotonic(), self.first, 0
        try:
            async with self.session.post(f"http://{front}/real/x", headers=heads, data=b"hello") as r:
                async for raw in r.content.iter_any():
                    now = monotonic()
                    h.record_value(max(1, int((now - last).total_seconds() * 1e6)))
                    last, h, events = now, self.gap, events + raw.count(b"data:")
                self.good, self.bad = (
                    (self.good + 1, self.bad) if r.status == 200 and events == 12 else (self.good, self.bad + 1)
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.bad += 1

    def figures(self):
        """Streams whole and not whole, time to the first event, pauses (the runner's own 50 ms included)."""
        return {
            "whole": self.good,
            "notWhole": self.bad,
            "firstMs": quantiles(self.first),
            "pauseMs": quantiles(self.gap),
        }

    async def stop(self):
        """Ends all of it."""
        for t in self.tasks:
            t.cancel()
        if self.tasks:
            await self.session.close()
        for r in self.runners:
            await r.stop()
        await self.platform.stop()
