"""A router without a front end that generates its own calls.

``SimulatedRouter`` runs the router's own ``RouterNode`` service: membership,
feed, in-flight counts, prefix placements, budgets and the relay tier. It has
no front end, so requests, replies, connections to runners and the choice among
runners are left out. ``Load`` describes the calls that it generates.
"""

import asyncio
import random
from datetime import timedelta

from attrs import define
from mode import Service

from sparloom.admission import Rejected
from sparloom.router.router_node import RouterNode
from sparloom.router.timeout_buckets import buckets_for
from sparloom.transport import monotonic

SKIPS = "requests, replies, connections to runners, the choice among runners, readiness answers"


@define(frozen=True, slots=True)
class Load:
    """The calls that one router generates.

    ``rate``: calls started per second. ``hold``: mean duration of a call, in
    seconds. ``long``: fraction of calls with a long shared prefix. ``runners``:
    number of listed runners that the router sends calls to (0: all).
    ``prefixes``: number of distinct shared prefixes.
    """

    rate: float = 10.0
    hold: float = 2.0
    long: float = 0.1
    runners: int = 0
    prefixes: int = 100


DEFAULT_LOAD = Load()


@define(frozen=True, slots=True)
class SimulatedCall:
    """The fields of a generated call that the admission queue reads."""

    parts: tuple
    route: object
    deadline: timedelta

    @property
    def priority(self):
        """The priority of the route; generated calls have no tenant."""
        return self.route.priority


class SimulatedRouter(RouterNode):
    """A router without a front end."""

    def __init__(self, settings, load, seed=0):
        super().__init__(settings)
        self.load, self.rng = load, random.Random(seed)
        self.revision_times, self.calls, self.rejected, self.calls_in_flight = {}, 0, 0, 0
        self.call_tasks = set()

    def update_backends(self):
        """Also records when a configuration revision was first applied here."""
        super().update_backends()
        if self.configuration is not None:
            self.revision_times.setdefault(self.configuration.revision, monotonic())

    @Service.task
    async def _generate_calls(self):
        await self.prefixes_known.wait()
        while not self.should_stop:
            await asyncio.sleep(self.rng.expovariate(self.load.rate) if self.load.rate else 3600.0)
            if self.ready():
                task = asyncio.ensure_future(self._run_call())
                self.call_tasks.add(task)
                task.add_done_callback(self.call_tasks.discard)

    async def on_stop(self):
        for task in list(self.call_tasks):
            task.cancel()
        await super().on_stop()

    def _make_call(self):
        routes = self.configuration.routes[:1]
        shared_tokens = 2048 if self.rng.random() < self.load.long else 200
        parts = ((self.rng.randrange(self.load.prefixes), shared_tokens), (self.rng.getrandbits(60), 300))
        return SimulatedCall(parts, routes[0], monotonic() + routes[0].timeout)

    async def _run_call(self):
        call = self._make_call()
        service = call.route.weighted_services[0][0]
        self.calls += 1
        self.budget(service).on_request(monotonic())
        admitted = await self.queues.acquire(service, call)
        if isinstance(admitted, Rejected):
            self.rejected += 1
            return
        try:
            await self._run_on_backend(service, call)
        finally:
            self.queues.release(service, admitted.id)

    async def _run_on_backend(self, service, call):
        backends = self.backends.of(service)
        if not backends:
            return
        limit = self.load.runners or len(backends)
        backend = backends[self.rng.randrange(min(limit, len(backends)))]
        tokens = sum(n for _, n in call.parts)
        slot = self.in_flight.acquire(backend.id, buckets_for(call.route, backend.slots), monotonic(), tokens)
        if slot is None:
            self.rejected += 1
            return
        self.gossip.on_prompt_sent(backend, call.parts[:-1])
        try:
            await asyncio.sleep(min(0.3, self.load.hold / 4))
            self.gossip.on_prefilled(slot)
            await asyncio.sleep(self.rng.expovariate(1 / self.load.hold))
        finally:
            slot.release(monotonic())
