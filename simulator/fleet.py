"""A fleet in simulated time, with the real controllers and simulated routers.

``Size`` gives the dimensions and addresses of a fleet, ``Fleet`` runs its processes.
"""

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

from .simulated_router import DEFAULT_LOAD, SimulatedRouter
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
    """Dimensions of a fleet: routers (``nodes``), listed runners, routes, zones, regions, controllers, slots per runner.

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

    def zone(self, index):
        """The zone of a machine, by its index.

        >>> Size().zone(0)
        'zone-1'
        """
        return f"zone-{index % self.zones + 1}"

    def region(self, zone):
        """The region of a zone.

        >>> Size(zones=4, regions=2).region("zone-4")
        'region-2'
        """
        return f"region-{(int(zone[5:]) - 1) % self.regions + 1}"

    def router(self, index):
        """The loopback address of a router, by its index.

        >>> Size().router(300)
        '127.2.1.51'
        """
        return f"127.2.{index // 250}.{index % 250 + 1}"

    def controller(self, index):
        """The loopback address of a controller, by its index.

        >>> Size().controller(0)
        '127.1.0.1'
        """
        return f"127.1.0.{index + 1}"


def startup(size, ip, role, zone, tolerated, first=True, bounds=BOUNDS, data=None, api="127.3.0.1:8266", rate=40.0):
    """The startup settings of a process of the fleet, as a dict; ``tolerated``: machine losses to survive.

    >>> startup(Size(), "127.2.0.1", "router", "zone-1", 2)["seedNodes"][0]
    '127.1.0.1:8262'
    """
    listen = {"control": f"{ip}:8262"} if role == "controller" else {"front": f"{ip}:8263", "readiness": f"{ip}:8268"}
    optional = {"dataDirectory": data} if data else {}
    return {
        "nodeName": f"{role}-{ip}",
        "role": role,
        "ipAddress": ip,
        "zone": zone,
        "internalPortRange": [7300, 7315],
        "seedNodes": [f"{size.controller(i)}:8262" for i in range(min(3, size.controllers))],
        "firstStart": first,
        "zones": {f"zone-{i + 1}": size.region(f"zone-{i + 1}") for i in range(size.zones)},
        "listenAddresses": listen,
        "toleratedLosses": {"machines": tolerated},
        "bounds": dict(bounds),
        "cloudApi": {"address": api, "ratePerS": rate, "lagMs": 800},
        **optional,
    }


def configuration(revision, routes, slots=16):
    """A configuration with a given number of routes and one service.

    >>> len(configuration(1, 10)["routes"])
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


def route_change(revision, route, target_ms):
    """A configuration change that sets the target time of one route.

    >>> route_change(3, 0, 500)["revision"]
    3
    """
    return {
        "revision": revision,
        "upsert": {"routes": [{**configuration(1, route + 1)["routes"][route], "targetMs": target_ms}]},
    }


def entries(runners, zones=5, incarnation=0, slots=16):
    """The platform's list of runners that don't exist; ``incarnation`` is part of the first runner's id.

    >>> entries(2)[1]["runnerId"]
    'i-00001-0'
    """
    return [
        {
            "runnerId": f"i-{i:05d}-{incarnation if i == 0 else 0}",
            "service": SERVICE,
            "address": f"127.4.{i // 250}.{i % 250 + 1}:8080",
            "zone": f"zone-{i % zones + 1}",
            "slots": slots,
            "state": "ready",
            "coldRemainingMs": 0,
        }
        for i in range(runners)
    ]


class _InMemoryPoller(EndpointPoller):
    """The endpoint poller, with the platform's pages served from memory."""

    listing, page_size = (), 50

    async def _request_page(self, cloud):
        start = int(self.pages.token or 0)
        more = start + self.page_size < len(self.listing)
        page = {
            "instances": self.listing[start : start + self.page_size],
            "nextPageToken": str(start + self.page_size) if more else None,
        }
        return 200, page


class _OperatorRequest:
    """An operator's request, with the attributes that the control handler reads."""

    def __init__(self, method, base, body):
        self.method, self.raw, self.content = method, json.dumps(body).encode(), self
        self.headers, self.content_length = {"If-Match": str(base)}, len(self.raw)
        self.transport, self.remote = SimpleNamespace(is_closing=lambda: False), ""

    async def readany(self):
        raw, self.raw = self.raw, b""
        return raw


class Fleet:
    """The processes of a simulated fleet, by address."""

    def __init__(self, loop, size, load=DEFAULT_LOAD, bounds=BOUNDS):
        self.loop, self.size, self.load, self.bounds = loop, size, load, bounds
        self.controllers, self.routers, self.revision, self.boot_count = {}, {}, 0, 0
        self.first_configuration = configuration(1, size.routes, size.slots)

    async def _start_on(self, host, service):
        async def start():
            HOST.set(host)
            await service.start()

        await asyncio.create_task(start())
        return service

    def _startup_settings(self, ip, role, index, data=None):
        size = self.size
        return from_dict(
            startup(
                size, ip, role, size.zone(index), min(2, (size.controllers - 1) // 2), bounds=self.bounds, data=data
            )
        ).unwrap()

    async def start(self):
        """Starts all processes and sets the first configuration."""
        for i in range(self.size.controllers):
            ip = self.size.controller(i)
            controller = self.controllers[ip] = Controller(self._startup_settings(ip, "controller", i, ip), "")
            controller.poller = _InMemoryPoller(
                controller.settings, controller.consensus, controller.feed_server, controller.control_api.router_count
            )
            controller.poller.listing = self.listed()
            await self._start_on(ip, controller)
        await asyncio.gather(*(self.boot(i, 2.0 * i / self.size.nodes) for i in range(self.size.nodes)))
        for _ in range(200):
            if await self.change(self.first_configuration, "PUT") is not None:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("no controller acknowledged the first configuration")

    def listed(self):
        """The platform's list of runners at the start."""
        return entries(self.size.runners, self.size.zones, 0, self.size.slots)

    async def boot(self, i, wait=0.0):
        """Starts the i-th router as a new incarnation."""
        await asyncio.sleep(wait)
        ip = self.size.router(i)
        self.boot_count += 1
        self.loop.net.off.discard(ip)
        self.routers[ip] = await self._start_on(
            ip, SimulatedRouter(self._startup_settings(ip, "router", i), self.load, self.boot_count)
        )

    async def kill(self, ips):
        """Cuts the power of routers: they send nothing more."""
        self.loop.net.off |= set(ips)
        killed = [self.routers.pop(ip) for ip in ips]
        await asyncio.gather(*(router.stop() for router in killed))

    def leader(self):
        """The controller that is the primary, or None."""
        return next(
            (
                controller
                for ip, controller in self.controllers.items()
                if ip not in self.loop.net.off and controller.consensus.member.leading()
            ),
            None,
        )

    async def change(self, document, method="PATCH"):
        """Sends a configuration or a change to the primary; gives the time of the acknowledgement, or None."""
        leader = self.leader()
        if leader is None:
            return None
        response = await leader.control_api.change(_OperatorRequest(method, self.revision, document))
        if response.status != 200:
            return None
        self.revision = document["revision"]
        return monotonic()

    async def propagation_delays(self, acknowledged_at, revision, timeout_s):
        """Seconds from the acknowledgement until each router applied the revision; None for a router that timed out."""
        deadline = acknowledged_at + timedelta(seconds=timeout_s)
        while monotonic() < deadline and not all(
            self._has_revision(router, revision) for router in self.routers.values()
        ):
            await asyncio.sleep(0.02)
        return [self._has_revision(router, revision, acknowledged_at) for router in self.routers.values()]

    @staticmethod
    def _has_revision(router, revision, since=None):
        times = [time for number, time in router.revision_times.items() if number >= revision]
        if since is None:
            return bool(times)
        return max(0.0, (min(times) - since).total_seconds()) if times else None

    def failure_beliefs(self, observers):
        """The number of running routers that some observers suspect, and that they believe dead."""
        states = [
            observer.swim.table[other.key].peer.state
            for observer in observers
            for other in self.routers.values()
            if other is not observer and other.key in observer.swim.table
        ]
        return SimpleNamespace(
            suspect=sum(state not in (ALIVE, DEAD) for state in states), dead=sum(state == DEAD for state in states)
        )
