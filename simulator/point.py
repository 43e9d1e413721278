"""Measures one point of the scale run in simulated time: the messages, delays and failure detection of a fleet.

``Point`` takes a fleet of one size through its phases: steady state,
configuration changes, a change of the runner list, a partition of the regions,
router failures and a zone loss.
"""

import asyncio
import math
import random
import time

from attrs import asdict

from sparloom.membership import DEAD
from sparloom.transport import monotonic

from .fleet import BOUNDS, Fleet, entries, route_change
from .simulated_router import DEFAULT_LOAD, SKIPS
from .tally import HEADER_BYTES
from .virtual import world


def quantile(values, fraction=0.5):
    """A quantile by nearest rank; None without values.

    >>> quantile([3, 1, 2]), quantile([1, 2, 3], 0.99), quantile([])
    (2, 3, None)
    """
    values = sorted(values)
    return values[max(0, math.ceil(fraction * len(values)) - 1)] if values else None


def delay_summary(delays_s):
    """Median, 99th percentile and maximum in milliseconds, and the number of delays that are None.

    >>> delay_summary([0.001, None])
    {'median': 1.0, 'p99': 1.0, 'worst': 1.0, 'never': 1, 'of': 2}
    """
    delays_ms = [delay * 1000 for delay in delays_s if delay is not None]
    figures = {
        name: None if value is None else round(value, 2)
        for name, value in (
            ("median", quantile(delays_ms)),
            ("p99", quantile(delays_ms, 0.99)),
            ("worst", max(delays_ms, default=None)),
        )
    }
    return {**figures, "never": len(delays_s) - len(delays_ms), "of": len(delays_s)}


def link_delays(size):
    """A function that gives the one-way delay between two addresses, in seconds.

    It is 0.1 ms within a zone, 0.5 ms between zones and 30 ms between regions.

    >>> from .fleet import Size
    >>> link_delays(Size(regions=2))("127.2.0.1", "127.2.0.2"), link_delays(Size())("127.2.0.1", "127.2.0.6")
    (0.03, 0.0001)
    """

    def zone(ip):
        _, _, high, low = ip.split(".")
        return size.zone(int(high) * 250 + int(low) - 1)

    def delay(source, destination):
        source_zone, destination_zone = zone(source), zone(destination)
        return (
            0.0001
            if source_zone == destination_zone
            else 0.0005
            if size.region(source_zone) == size.region(destination_zone)
            else 0.03
        )

    return delay


def rates(tally, hosts, seconds):
    """Messages and bytes per second, sent and received, for the mean and the busiest of some hosts.

    >>> from .tally import Tally
    >>> t = Tally(); t.sent("a", "Ping", 72); rates(t, ["a", "b"], 1)["meanOut"]
    {'messages': 0.5, 'bytes': 50.0}
    """
    counts = [tally.node(host) for host in hosts]

    def rate(aggregate, column):
        messages, size = (
            aggregate(row[column] for row in counts),
            aggregate(row[column + 1] + HEADER_BYTES * row[column] for row in counts),
        )
        return {"messages": round(messages / seconds, 2), "bytes": round(size / seconds, 1)}

    def mean(values):
        values = list(values)
        return sum(values) / len(values)

    return {"meanOut": rate(mean, 0), "meanIn": rate(mean, 2), "mostOut": rate(max, 0), "mostIn": rate(max, 2)}


class Point:
    """Runs a fleet of one size through all phases and collects the figures."""

    def __init__(self, loop, size, load, seed, seconds=5, rate=0.76, changes=5, faults=True, bounds=BOUNDS):
        self.loop, self.size, self.rng, self.seconds = loop, size, random.Random(seed), seconds
        self.fleet = Fleet(loop, size, load, bounds)
        self.rate, self.changes, self.faults, self.bounds = rate, changes, faults, bounds
        self.figures = {
            "size": asdict(size),
            "load": asdict(load),
            "seed": seed,
            "skips": SKIPS,
            "headerBytes": HEADER_BYTES,
        }

    async def play(self):
        """Runs all phases and gives the figures of the point."""
        started, fleet = time.process_time(), self.fleet
        await fleet.start()
        self.figures["settledMs"] = await self._wait_until_converged()
        await asyncio.sleep(fleet.load.hold * 2)
        await self._measure_steady_state()
        await self._measure_changes()
        await self._replace_listed_runner()
        if self.size.regions > 1:
            await self._partition_regions()
        if self.faults:
            await self._kill_routers()
            await self._lose_zone()
        self.figures["emulatorCpuS"] = round(time.process_time() - started, 1)
        return self.figures

    async def _wait_until_converged(self):
        started, nodes = monotonic(), self.size.nodes
        while (monotonic() - started).total_seconds() < 90:
            if all(router.ready() and router.fleet_size_divisor() == nodes for router in self.fleet.routers.values()):
                return round((monotonic() - started).total_seconds() * 1000)
            await asyncio.sleep(0.25)
        return None

    def _observers(self, limit=24):
        running = list(self.fleet.routers.values())
        return self.rng.sample(running, min(limit, len(running)))

    async def _measure_steady_state(self):
        tally, fleet = self.loop.net.tally, self.fleet
        tally.clear()
        false_beliefs = []
        for _ in range(int(self.seconds * 2)):
            await asyncio.sleep(0.5)
            false_beliefs.append(fleet.failure_beliefs(self._observers(8)))
        routers = list(fleet.routers)
        relays = [ip for ip, router in fleet.routers.items() if router.relay_tier.is_relay]
        self.figures["quiet"] = {
            "relayDuty": {"nodes": len(relays), **(rates(tally, relays, self.seconds) if relays else {})},
            "others": rates(tally, [ip for ip in routers if ip not in relays] or routers, self.seconds),
            "routers": rates(tally, routers, self.seconds),
            "controllers": rates(tally, list(fleet.controllers), self.seconds),
            "kinds": {
                kind: {
                    "messages": round(messages / self.seconds / len(routers), 2),
                    "bytes": round((size + HEADER_BYTES * messages) / self.seconds / len(routers), 1),
                }
                for kind, (messages, size) in tally.kinds(set(routers)).items()
            },
            "tooLong": tally.long,
            "falselySuspected": sum(beliefs.suspect for beliefs in false_beliefs),
            "falselyDead": sum(beliefs.dead for beliefs in false_beliefs),
            "calls": sum(router.calls for router in fleet.routers.values()),
            "refused": sum(router.rejected for router in fleet.routers.values()),
        }

    async def _measure_changes(self):
        tally, fleet, delays_s = self.loop.net.tally, self.fleet, []
        tally.clear()
        started = monotonic()
        for i in range(self.changes):
            wait_s = i / self.rate - (monotonic() - started).total_seconds()
            await asyncio.sleep(max(0.0, wait_s))
            delays_s += await self._apply_change(i)
        elapsed_s = (monotonic() - started).total_seconds() or 1
        self.figures["change"] = {
            "delayMs": delay_summary(delays_s),
            "seconds": round(elapsed_s, 2),
            "routers": rates(tally, list(fleet.routers), elapsed_s),
            "controllers": rates(tally, list(fleet.controllers), elapsed_s),
        }

    async def _apply_change(self, index):
        fleet = self.fleet
        for _ in range(100):
            revision = fleet.revision + 1
            acknowledged_at = await fleet.change(route_change(revision, index % self.size.routes, 500 + revision))
            if acknowledged_at is not None:
                return await fleet.propagation_delays(acknowledged_at, revision, self.bounds["configApplyMs"] / 500)
            await asyncio.sleep(0.1)
        return [None]

    async def _replace_listed_runner(self):
        tally, fleet = self.loop.net.tally, self.fleet
        tally.clear()
        new_id = f"i-00000-{1}"
        for controller in fleet.controllers.values():
            controller.poller.listing = entries(self.size.runners, self.size.zones, 1, self.size.slots)
        started = monotonic()
        while (monotonic() - started).total_seconds() < 30 and not all(
            new_id in router.backends.by_id for router in fleet.routers.values()
        ):
            await asyncio.sleep(0.05)
        elapsed_s = (monotonic() - started).total_seconds()
        self.figures["list"] = {
            "lastMs": round(elapsed_s * 1000),
            "changeBytes": self._kind_bytes("Change"),
            "whole": all(new_id in router.backends.by_id for router in fleet.routers.values()),
        }

    def _kind_bytes(self, kind):
        return self.loop.net.tally.kinds().get(kind, (0, 0))[1]

    async def _detection_delays(self, keys, timeout_s):
        """Seconds until each of some observers removed each key or believed it dead; None where none did in time."""
        started, detected = monotonic(), {}
        pairs = [(router, key) for router in self._observers() for key in keys]
        while (monotonic() - started).total_seconds() < timeout_s and len(detected) < len(pairs):
            await asyncio.sleep(0.1)
            for i, (router, key) in enumerate(pairs):
                entry = router.swim.table.get(key)
                if i not in detected and (entry is None or entry.peer.state == DEAD):
                    detected[i] = (monotonic() - started).total_seconds()
        return [detected.get(i) for i in range(len(pairs))]

    async def _kill_routers(self):
        fleet = self.fleet
        killed = self.rng.sample(list(fleet.routers), max(1, self.size.nodes // 50))
        keys = [fleet.routers[ip].key for ip in killed]
        await fleet.kill(killed)
        self.figures["deaths"] = {
            "killed": len(killed),
            "noticedMs": delay_summary(await self._detection_delays(keys, 8 * self.bounds["contactMs"] / 1000)),
        }

    async def _partition_regions(self, duration_s=20):
        """Separates the first region from the others, changes the configuration, and heals the partition."""
        fleet, net, size = self.fleet, self.loop.net, self.size
        hosts = [*fleet.routers, *fleet.controllers]
        zones = {ip: (fleet.routers.get(ip) or fleet.controllers[ip]).settings.zone for ip in hosts}
        isolated = {ip for ip in hosts if size.region(zones[ip]) == "region-1"}
        net.cut(isolated, set(hosts) - isolated)
        await asyncio.sleep(duration_s)
        net.tally.clear()
        delays = dict(zip(fleet.routers, await self._apply_change(0), strict=True))
        sides = {
            "cutOff": [ip for ip in fleet.routers if ip in isolated],
            "rest": [ip for ip in fleet.routers if ip not in isolated],
        }
        self.figures["parted"] = {
            "seconds": duration_s,
            **{
                side: {
                    "routers": len(ips),
                    "controllers": sum(ip in isolated for ip in fleet.controllers)
                    if side == "cutOff"
                    else sum(ip not in isolated for ip in fleet.controllers),
                    "changeMs": delay_summary([delays[ip] for ip in ips]),
                    "ready": sum(fleet.routers[ip].ready() for ip in ips),
                    "nodesSeen": sorted({fleet.routers[ip].fleet_size_divisor() for ip in ips}),
                    "dividedBy": sorted({fleet.routers[ip].fleet_size.divisor for ip in ips}),
                }
                for side, ips in sides.items()
            },
        }
        net.cuts.clear()
        started = monotonic()
        while (monotonic() - started).total_seconds() < 90 and not all(
            fleet._has_revision(router, fleet.revision) and router.fleet_size_divisor() == size.nodes
            for router in fleet.routers.values()
        ):
            await asyncio.sleep(0.1)
        healed = all(router.fleet_size_divisor() == size.nodes for router in fleet.routers.values())
        self.figures["parted"]["healedMs"] = round((monotonic() - started).total_seconds() * 1000) if healed else None

    async def _lose_zone(self):
        fleet, tally = self.fleet, self.loop.net.tally
        killed = [ip for ip, router in fleet.routers.items() if router.settings.zone == self.size.zone(0)]
        keys = [fleet.routers[ip].key for ip in killed][:10]
        self.loop.net.off.add(self.size.controller(0))
        await fleet.kill(killed)
        detection = asyncio.ensure_future(self._detection_delays(keys, 10 * self.bounds["contactMs"] / 1000))
        worst, change = None, asyncio.ensure_future(self._apply_change(0))
        started = monotonic()
        while not detection.done() or not change.done():
            tally.clear()
            await asyncio.sleep(1.0)
            current = rates(tally, list(fleet.routers), 1.0)
            worst = current if worst is None or current["mostOut"]["bytes"] > worst["mostOut"]["bytes"] else worst
        self.figures["zone"] = {
            "lost": len(killed),
            "noticedMs": delay_summary(detection.result()),
            "changeMs": delay_summary(change.result()),
            "worstSecond": worst,
            "tookMs": round((monotonic() - started).total_seconds() * 1000),
        }


def point(size, load=DEFAULT_LOAD, seed=1, loss=0.0005, **options):
    """Measures one point; the same seed gives the same figures.

    >>> from .fleet import Size
    >>> point(Size(nodes=4, runners=4, controllers=3, zones=2), seconds=1, changes=1, faults=False)["change"]["delayMs"]["never"]
    0
    """
    with world(seed, link_delays(size), loss) as loop:
        return loop.run_until_complete(Point(loop, size, load, seed, **options).play())
