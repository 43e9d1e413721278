"""Measures what each node of a simulated fleet sends and receives, by kind of record, as a function of fleet size.

The fleet is that of ``simulator.fleet``: the real controllers and simulated
routers, in simulated time. Each host has its own meter. Only a period after
the warm-up, without changes or faults, is counted.
"""

import asyncio
from collections import Counter
from contextlib import contextmanager

from sparloom.metrics import Meter
from sparloom.transport import sockets

from .fleet import Fleet, Size
from .simulated_router import Load
from .virtual import HOST, START, swapped, world

# Calls of the growth measurement: mean duration at the runner, and the fraction with a long shared prefix (one in nine).
HOLD_S, LONG_FRACTION = 0.2, 0.107
LINK_DELAY_S = 0.0008
POLL_INTERVAL_S = 0.1
FRACTIONS_KNOWN = (0.5, 0.9, 1.0)


class Meters:
    """A meter for each host."""

    def __init__(self):
        self.by_host = {}

    def here(self):
        """The meter of the current host, in place of the meter of the process."""
        return self.by_host.setdefault(HOST.get(), Meter())

    def figures(self):
        """The figures of each host, by address."""
        return {host: meter.figures() for host, meter in self.by_host.items()}


@contextmanager
def metered():
    """Replaces the process meter by one per host for sockets that are created in this context.

    >>> with metered() as meters:
    ...     sockets.current_meter().add("datagram out Ping", 40)
    >>> meters.figures()
    {'127.0.0.1': {'datagram out Ping': [1, 40]}}
    """
    meters = Meters()
    with swapped(sockets, "current_meter", meters.here):
        yield meters


def rates(before, after, hosts, seconds):
    """Mean events and bytes per second and host, by name.

    >>> rates({"a": {"Ping": [1, 40]}}, {"a": {"Ping": [5, 200]}, "b": {"Ping": [4, 160]}}, ["a", "b"], 2)
    {'Ping': [2.0, 80.0]}
    """
    totals = {}
    for host in hosts:
        for name, (events, size) in after.get(host, {}).items():
            old_events, old_size = before.get(host, {}).get(name, (0, 0))
            total = totals.setdefault(name, [0, 0])
            total[0] += events - old_events
            total[1] += size - old_size
    host_seconds = seconds * len(hosts)
    return {
        name: [round(events / host_seconds, 3), round(size / host_seconds, 1)]
        for name, (events, size) in sorted(totals.items())
    }


class StartupTimes:
    """Seconds until all routers were ready, and until every router knew given fractions of the fleet."""

    def __init__(self, fleet):
        self.fleet, self.ready_s, self.known_s = fleet, None, {}

    async def watch(self, until):
        """Polls the routers until a time of the loop."""
        loop, size = self.fleet.loop, self.fleet.size.nodes
        while loop.time() < until:
            await asyncio.sleep(POLL_INTERVAL_S)
            routers = self.fleet.routers.values()
            if len(routers) == size:
                self._update(routers, round(loop.time() - START, 1))

    def _update(self, routers, now_s):
        if self.ready_s is None and all(router.ready() for router in routers):
            self.ready_s = now_s
        fewest_known = min(1 + len(router.tier_members or ()) for router in routers)
        for fraction in FRACTIONS_KNOWN:
            if fewest_known >= fraction * self.fleet.size.nodes:
                self.known_s.setdefault(fraction, now_s)


def max_followers(fleet):
    """The number of routers that follow the controller with the most followers."""
    keys = {controller.consensus.key for controller in fleet.controllers.values()}
    parents = (router.relay_server.status()["follows"] for router in fleet.routers.values())
    return max(Counter(key for key in parents if key in keys).values(), default=0)


async def _play(fleet, meters, seconds, warmup):
    startup_times = StartupTimes(fleet)
    watch = asyncio.ensure_future(startup_times.watch(START + warmup))
    await fleet.start()
    await watch
    before = meters.figures()
    await asyncio.sleep(seconds)
    after = meters.figures()
    return {
        "routers": fleet.size.nodes,
        "ready_s": startup_times.ready_s,
        "seen_s": startup_times.known_s,
        "followers": max_followers(fleet),
        "router": rates(before, after, list(fleet.routers), seconds),
        "controller": rates(before, after, list(fleet.controllers), seconds),
    }


def play(routers, runners=None, rate=3.2, seconds=4.0, warmup=12.0, seed=1, controllers=5):
    """Runs a fleet; gives the messages and bytes per second of a router and of a controller, by kind of record.

    ``rate``: requests per second and router. ``warmup``: simulated seconds
    before the measurement. ``runners``: by default half the number of routers,
    but at least 2.
    """
    size = Size(nodes=routers, runners=runners or max(2, routers // 2), routes=1, controllers=controllers)
    load = Load(rate=rate, hold=HOLD_S, long=LONG_FRACTION)
    with metered() as meters, world(seed, lambda source, destination: LINK_DELAY_S) as loop:
        return loop.run_until_complete(_play(Fleet(loop, size, load), meters, seconds, warmup))
