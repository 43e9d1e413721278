"""A whole fleet in simulated time: the real controllers, and hollow routers."""

import asyncio
import json
from datetime import timedelta
from types import SimpleNamespace

from attrs import define

from sparloom.controller.endpoint_poller import EndpointPoller
from sparloom.controller.program import Controller
from sparloom.membership import ALIVE, DEAD
from sparloom.settings import from_dict
from sparloom.transport import monotonic

from .simulated_router import DEFAULT_LOAD, HollowRouter
from .virtual import HOST

SERVICE = "hollow"
BOUNDS = {
    "contactMs": 4000,
    "acknowledgeMs": 5000,
    "drainMs": 4000,
    "configApplyMs": 2500,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 186,
    "graceS": 8,
    "passMs": 200,
    "recoveryS": 15,
}


@define(frozen=True, slots=True)
class Size:
    """How large a fleet is: nodes, listed runners, routes, zones, regions, controllers.

    >>> Size(nodes=4, zones=2).zone(3)
    'zone-2'
    """

    nodes: int = 25
    runners: int = 36
    routes: int = 10
    zones: int = 5
    regions: int = 1
    controllers: int = 5
    slots: int = 16

    def zone(self, i):
        """The zone of the i-th machine.

        >>> Size().zone(0)
        'zone-1'
        """
        return f"zone-{i % self.zones + 1}"

    def region(self, zone):
        """The region of a zone.

        >>> Size(zones=4, regions=2).region("zone-4")
        'region-2'
        """
        return f"region-{(int(zone[5:]) - 1) % self.regions + 1}"

    def router(self, i):
        """The loopback address of the i-th router.

        >>> Size().router(300)
        '127.2.1.51'
        """
        return f"127.2.{i // 250}.{i % 250 + 1}"

    def controller(self, i):
        """The loopback address of the i-th controller.

        >>> Size().controller(0)
        '127.1.0.1'
        """
        return f"127.1.0.{i + 1}"


def startup(size, ip, role, zone, copies, first=True, bounds=BOUNDS, data=None, api="127.3.0.1:8266", rate=40.0):
    """What a process of the fleet is told when it starts, as a dict.

    >>> startup(Size(), "127.2.0.1", "router", "zone-1", 2)["seedNodes"][0]
    '127.1.0.1:8262'
    """
    listen = {"control": f"{ip}:8262"} if role == "controller" else {"front": f"{ip}:8263", "readiness": f"{ip}:8268"}
    more = {"dataDirectory": data} if data else {}
    return {
        "nodeName": f"{role}-{ip}",
        "role": role,
        "ipAddress": ip,
        "zone": zone,
        "internalPortRange": [7300, 7315],
        "seedNodes": [f"{size.controller(i)}:8262" for i in range(min(3, size.controllers))],
        "firstStart": first,
        "zones": {f"zone-{z + 1}": size.region(f"zone-{z + 1}") for z in range(size.zones)},
        "listenAddresses": listen,
        "toleratedLosses": {"machines": copies},
        "bounds": dict(bounds),
        "cloudApi": {"address": api, "ratePerS": rate, "lagMs": 800},
        **more,
    }


def policy(revision, routes, slots=16):
    """A configuration with a number of routes.

    >>> len(policy(1, 10)["routes"])
    10
    """
    return {
        "revision": revision,
        "routes": [
            {
                "name": f"r-{i}",
                "hostname": f"tenant-{i // 4}.example",
                "pathPrefix": f"/p{i}/",
                "routeKind": "streaming",
                "timeoutMs": 30000,
                "targetMs": 450,
                "priority": 0,
                "service": SERVICE,
                "maxAttempts": 2,
                "resumeStreams": True,
                "gapTargetMs": 56,
            }
            for i in range(routes)
        ],
        "services": [{"name": SERVICE, "connectionLimit": 570, "engine": {"slots": slots, "cacheTokens": 378959}}],
    }


def patch(revision, route, target):
    """A change of one route.

    >>> patch(3, 0, 500)["revision"]
    3
    """
    return {"revision": revision, "upsert": {"routes": [{**policy(1, route + 1)["routes"][route], "targetMs": target}]}}


def entries(runners, zones=5, life=0, slots=16):
    """The platform's list of hollow runners; ``life`` renames the first of them.

    >>> entries(2)[1]["runnerId"]
    'i-00001-0'
    """
    return [
        {
            "runnerId": f"i-{i:05d}-{life if i == 0 else 0}",
            "service": SERVICE,
            "address": f"127.4.{i // 250}.{i % 250 + 1}:8080",
            "zone": f"zone-{i % zones + 1}",
            "slots": slots,
            "state": "ready",
            "coldRemainingMs": 0,
        }
        for i in range(runners)
    ]


class _ListedHere(EndpointPoller):
    """The poller, with the platform's pages taken from memory."""

    listing, page = (), 50

    async def _request_page(self, cloud):
        at = int(self.pages.token or 0)
        more = at + self.page < len(self.listing)
        d = {"instances": self.listing[at : at + self.page], "nextPageToken": str(at + self.page) if more else None}
        return 200, d


class _Call:
    """An operator's call, as the control address reads it."""

    def __init__(self, method, base, d):
        self.method, self.raw, self.content = method, json.dumps(d).encode(), self
        self.headers, self.content_length = {"If-Match": str(base)}, len(self.raw)
        self.transport = SimpleNamespace(is_closing=lambda: False)

    async def readany(self):
        raw, self.raw = self.raw, b""
        return raw


class Fleet:
    """The processes of a simulated fleet, by address."""

    def __init__(self, loop, size, load=DEFAULT_LOAD, bounds=BOUNDS):
        self.loop, self.size, self.load, self.bounds = loop, size, load, bounds
        self.controllers, self.routers, self.revision, self.born = {}, {}, 0, 0
        self.first_policy = policy(1, size.routes, size.slots)

    async def _on(self, host, svc):
        async def start():
            HOST.set(host)
            await svc.start()

        await asyncio.create_task(start())
        return svc

    def _up(self, ip, role, i, data=None):
        s = self.size
        return from_dict(
            startup(s, ip, role, s.zone(i), min(2, (s.controllers - 1) // 2), bounds=self.bounds, data=data)
        ).unwrap()

    async def start(self):
        """Starts all, and gives the first configuration."""
        for i in range(self.size.controllers):
            ip = self.size.controller(i)
            ctl = self.controllers[ip] = Controller(self._up(ip, "controller", i, ip), "")
            ctl.poller = _ListedHere(ctl.settings, ctl.consensus, ctl.feed_server, ctl.control_api.router_count)
            ctl.poller.listing = self.listed()
            await self._on(ip, ctl)
        await asyncio.gather(*(self.boot(i, 2.0 * i / self.size.nodes) for i in range(self.size.nodes)))
        for _ in range(200):
            if await self.change(self.first_policy, "PUT") is not None:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("no configuration was taken")

    def listed(self):
        """The platform's list at the start."""
        return entries(self.size.runners, self.size.zones, 0, self.size.slots)

    async def boot(self, i, wait=0.0):
        """Starts the i-th router, with a new life."""
        await asyncio.sleep(wait)
        ip = self.size.router(i)
        self.born += 1
        self.loop.net.off.discard(ip)
        self.routers[ip] = await self._on(ip, HollowRouter(self._up(ip, "router", i), self.load, self.born))

    async def kill(self, ips):
        """Machines lose power: they say nothing more."""
        self.loop.net.off |= set(ips)
        gone = [self.routers.pop(ip) for ip in ips]
        await asyncio.gather(*(r.stop() for r in gone))

    def leader(self):
        """The primary's controller, or None."""
        return next(
            (c for ip, c in self.controllers.items() if ip not in self.loop.net.off and c.consensus.member.leading()),
            None,
        )

    async def change(self, d, method="PATCH"):
        """Gives a configuration or a change of it; the time of its acknowledgement, or None."""
        led = self.leader()
        if led is None:
            return None
        got = await led.control_api.change(_Call(method, self.revision, d))
        if got.status != 200:
            return None
        self.revision = d["revision"]
        return monotonic()

    async def spread(self, acked, revision, most):
        """Seconds from an acknowledgement until each router had the revision; None for one that had not in time."""
        end = acked + timedelta(seconds=most)
        while monotonic() < end and not all(self._has(r, revision) for r in self.routers.values()):
            await asyncio.sleep(0.02)
        return [self._has(r, revision, acked) for r in self.routers.values()]

    @staticmethod
    def _has(r, revision, acked=None):
        times = [t for v, t in r.seen.items() if v >= revision]
        if acked is None:
            return bool(times)
        return max(0.0, (min(times) - acked).total_seconds()) if times else None

    def doubted(self, observers):
        """How many of the running routers are suspected, and how many believed dead, by some observers."""
        states = [
            r.swim.table[o.key].peer.state
            for r in observers
            for o in self.routers.values()
            if o is not r and o.key in r.swim.table
        ]
        return SimpleNamespace(suspect=sum(s not in (ALIVE, DEAD) for s in states), dead=sum(s == DEAD for s in states))
