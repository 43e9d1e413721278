"""Streamed requests through real routers, with a simulated platform and runners as backends."""

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
TRAFFIC_ROUTE = {
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
    """Return a histogram of microseconds, up to one minute, with three significant digits.

    >>> histogram().get_total_count()
    0
    """
    return HdrHistogram(1, 60_000_000, 3)


def quantiles(durations):
    """Return the median, the 99th percentile and the maximum of a histogram of microseconds, in ms, with the count.

    >>> quantiles(histogram())["of"]
    0
    """
    count = durations.get_total_count()
    return (
        {
            "median": durations.get_value_at_percentile(50) / 1000,
            "p99": durations.get_value_at_percentile(99) / 1000,
            "worst": durations.get_max_value() / 1000,
            "of": count,
        }
        if count
        else {"median": None, "p99": None, "worst": None, "of": 0}
    )


class Traffic:
    """A simulated platform, two simulated runners that respond, and clients."""

    def __init__(self, size, platform, seed):
        self.size, self.rng, self.platform_settings = size, random.Random(seed), platform
        self.first_event, self.gap, self.complete, self.incomplete, self.tasks = histogram(), histogram(), 0, 0, []

    async def start(self):
        """Start the platform and the runners that respond; return the platform's address."""
        self.runners = [await Runner(id=f"real-{i}", events=12, pause=0.05).start(f"127.3.1.{i + 1}") for i in range(2)]
        self.real_entries = [
            Platform.entry(runner.id, SERVICE, f"127.3.1.{i + 1}:{runner.port}", zone="zone-1", slots=64)
            for i, runner in enumerate(self.runners)
        ]
        self.platform = await Platform([], self.platform_settings["pageSize"]).start(API)
        self.list(0)
        return f"{API}:{self.platform.port}"

    def list(self, incarnation):
        """Update the platform's list; ``incarnation`` is that of the first simulated runner."""
        self.platform.entries = [
            *self.real_entries,
            *entries(self.size.runners, self.size.zones, incarnation, self.size.slots),
        ]

    def send(self, fronts, rate):
        """Send requests to each front at a mean rate per second, until ``stop``."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10))
        self.tasks = [asyncio.ensure_future(self._send_at_rate(front, rate)) for front in fronts]

    async def _send_at_rate(self, front, rate):
        in_flight = set()
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            task = asyncio.ensure_future(self._send_one(front))
            in_flight.add(task)
            task.add_done_callback(in_flight.discard)

    async def _send_one(self, front):
        headers = {
            "Host": HOST,
            "X-Sparloom-Attempt-Id": f"a{self.rng.getrandbits(60):x}",
            "X-Sparloom-Prompt-Prefix": f"aa{self.rng.randrange(8)}:2048,{self.rng.getrandbits(50):x}:300",
        }
        last, intervals, events = monotonic(), self.first_event, 0
        try:
            async with self.session.post(f"http://{front}/real/x", headers=headers, data=b"hello") as response:
                async for raw in response.content.iter_any():
                    now = monotonic()
                    intervals.record_value(max(1, int((now - last).total_seconds() * 1e6)))
                    last, intervals, events = now, self.gap, events + raw.count(b"data:")
                self.complete, self.incomplete = (
                    (self.complete + 1, self.incomplete)
                    if response.status == 200 and events == 12
                    else (self.complete, self.incomplete + 1)
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.incomplete += 1

    def figures(self):
        """Return complete and incomplete streams, the time to the first event, and the gaps between events.

        The gaps include the 50 ms that the runner itself waits between events.
        """
        return {
            "whole": self.complete,
            "notWhole": self.incomplete,
            "firstMs": quantiles(self.first_event),
            "pauseMs": quantiles(self.gap),
        }

    async def stop(self):
        """Stop the clients, the runners and the platform."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await self.session.close()
        for runner in self.runners:
            await runner.stop()
        await self.platform.stop()
