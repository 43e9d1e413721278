"""What each node of a simulated fleet sends and takes, by kind of record: to measure what grows with the fleet.

The fleet is that of ``simulator.fleet``: the real controllers and hollow
routers, in simulated time. Each host has a meter of its own; only a quiet part
after the start is counted.
"""

import asyncio
from collections import Counter
from contextlib import contextmanager

from sparloom.metrics import Meter
from sparloom.transport import sockets

from .fleet import Fleet, Size
from .simulated_router import Load
from .virtual import HOST, START, swapped, world

# A growing fleet's usual call: a fifth of a second at its runner, one in nine with a long shared part.
HOLD_S, LONG_SHARE = 0.2, 0.107
LINK_DELAY_S = 0.0008
STEP_S = 0.1
PARTS_SEEN = (0.5, 0.9, 1.0)


class Meters:
    """A meter for each host."""

    def __init__(self):
        self.by_host = {}

    def here(self):
        """The meter of the host that runs now; stands for that of a process."""
        return self.by_host.setdefault(HOST.get(), Meter())

    def figures(self):
        """The figures of each host."""
        return {host: meter.figures() for host, meter in self.by_host.items()}


@contextmanager
def metered():
    """Gives the meters of the hosts whose sockets are made meanwhile.

    >>> with metered() as meters:
    ...     sockets.current_meter().add("datagram out Ping", 40)
    >>> meters.figures()
    {'127.0.0.1': {'datagram out Ping': [1, 40]}}
    """
    meters = Meters()
    with swapped(sockets, "current_meter", meters.here):
        yield meters


def rates(before, after, hosts, seconds):
    """Events and bytes a second and node, by name.

    >>> rates({"a": {"Ping": [1, 40]}}, {"a": {"Ping": [5, 200]}, "b": {"Ping": [4, 160]}}, ["a", "b"], 2)
    {'Ping': [2.0, 80.0]}
    """
    sums = {}
    for host in hosts:
        for name, (times, size) in after.get(host, {}).items():
            old_times, old_size = before.get(host, {}).get(name, (0, 0))
            total = sums.setdefault(name, [0, 0])
            total[0] += times - old_times
            total[1] += size - old_size
    share = seconds * len(hosts)
    return {name: [round(times / share, 3), round(size / share, 1)] for name, (times, size) in sorted(sums.items())}


class Start:
    """When all routers were ready, and when the least informed one knew of a part of them, in seconds."""

    def __init__(self, fleet):
        self.fleet, self.ready_s, self.seen_s = fleet, None, {}

    async def watch(self, until):
        """Looks at the routers again and again until a time of the loop."""
        loop, size = self.fleet.loop, self.fleet.size.nodes
        while loop.time() < until:
            await asyncio.sleep(STEP_S)
            routers = self.fleet.routers.values()
            if len(routers) == size:
                self._look(routers, round(loop.time() - START, 1))

    def _look(self, routers, now_s):
        if self.ready_s is None and all(router.ready() for router in routers):
            self.ready_s = now_s
        least = min(1 + len(router.tier_members or ()) for router in routers)
        for part in PARTS_SEEN:
            if least >= part * self.fleet.size.nodes:
                self.seen_s.setdefault(part, now_s)


def most_followers(fleet):
    """How many routers follow the busiest controller."""
    keys = {controller.consensus.key for controller in fleet.controllers.values()}
    parents = (router.relay_server.status()["follows"] for router in fleet.routers.values())
    return max(Counter(key for key in parents if key in keys).values(), default=0)


async def _play(fleet, meters, seconds, settle):
    start = Start(fleet)
    watch = asyncio.ensure_future(start.watch(START + settle))
    await fleet.start()
    await watch
    before = meters.figures()
    await asyncio.sleep(seconds)
    after = meters.figures()
    return {
        "routers": fleet.size.nodes,
        "ready_s": start.ready_s,
        "seen_s": start.seen_s,
        "followers": most_followers(fleet),
        "router": rates(before, after, list(fleet.routers), seconds),
        "controller": rates(before, after, list(fleet.controllers), seconds),
    }


def play(routers, runners=None, rate=3.2, seconds=4.0, settle=12.0, seed=1, controllers=5):
    """Plays a fleet; gives what a router and a controller send and take a second, by kind of record.

    ``rate`` is requests a second and router, ``settle`` the simulated seconds
    before the count begins. Half as many runners as routers, if not told.
    """
    size = Size(nodes=routers, runners=runners or max(2, routers // 2), routes=1, controllers=controllers)
    load = Load(rate=rate, hold=HOLD_S, long=LONG_SHARE)
    with metered() as meters, world(seed, lambda a, b: LINK_DELAY_S) as loop:
        return loop.run_until_complete(_play(Fleet(loop, size, load), meters, seconds, settle))
