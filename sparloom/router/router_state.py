"""What a router knows: the snapshots that its other parts read, and who the members are."""

import asyncio
import random
from bisect import bisect
from datetime import timedelta

from mode import Service

from sparloom.admission import FleetSize
from sparloom.dynamic_timeout import InFlightCounts
from sparloom.membership import ROUTER, SUSPECT, Ack, Peer, Ping, PingRequest, Swim, SwimTiming, TableComparison
from sparloom.prefix_cache import PrefixPlacements
from sparloom.relay import RelayTier, plan_tier
from sparloom.retry import RetryBudget
from sparloom.transport import Datagrams, monotonic

from .admission_queues import AdmissionQueues
from .backends import BackendTable
from .feed_client import FeedClient
from .in_flight_gossip import WORDS, InFlightGossip
from .prefix_recall import PrefixRecall
from .relay_server import RelayServer

TICK = timedelta(milliseconds=50)


class RouterState(Service):
    """The router's picture of the world; other parts read its snapshots."""

    def __init__(self, settings):
        super().__init__()
        self.settings = settings
        self.key = f"{settings.ip}:{settings.router_port}"
        self.configuration, self.endpoint_list, self.backends = None, None, BackendTable()
        self.confirmed = False
        con = settings.bounds.contact
        self.in_flight = InFlightCounts(con)
        self.budgets, self.started_at = {}, monotonic()
        self.fleet_size, self.queues = FleetSize(con), AdmissionQueues(self)
        self.prefixes_known = asyncio.Event()
        self.before_isolation = frozenset()
        self.swim = None
        self.random, self.relay_tier, self.tier_members = random.Random(), RelayTier(), None
        self.feed_client, self.gossip, self.prefix_recall = FeedClient(self), InFlightGossip(self), PrefixRecall(self)
        self.relay_server = RelayServer(self, self.feed_client)

    @property
    def shelf(self):
        """The stamps of what this router has."""
        return self.feed_client.store

    @property
    def seeds(self):
        """The seeds' internal addresses."""
        return tuple(f"{s.host}:{self.settings.controller_port}" for s in self.settings.seeds)

    def ready(self):
        """Whether a policy and runners are known, and for sure at the start."""
        return (
            self.configuration is not None
            and self.endpoint_list is not None
            and (self.confirmed or monotonic() - self.started_at > self.settings.bounds.contact * 2)
        )

    def note_isolation(self, isolation):
        """Notes which lives of runners are older than other settings of isolation, which are about to be used."""
        if isolation != self.settings.isolation:
            self.before_isolation = frozenset(self.backends.by_id)

    def lives_before_isolation(self):
        """How many listed lives of runners are older than the settings of isolation, as far as this process knows."""
        return len(self.before_isolation & self.backends.by_id.keys())

    def nodes(self):
        """How many routers the budgets are shared among; one that is cut off doesn't take itself for the only one."""
        return self.fleet_size.divisor

    def budget(self, service):
        """The budget of a service."""
        b = self.budgets.get(service)
        if b is None:
            bd = self.settings.bounds
            b = self.budgets[service] = RetryBudget(bd.budget_window, bd.budget_ratio, bd.budget_slack, self.started_at)
        return b

    async def on_start(self):
        peer = Peer(self.key, ROUTER, self.settings.zone, "", self.gossip.instance_id, 0, 0)
        self.swim = Swim(peer, self.seeds, SwimTiming.of(self.settings.bounds.contact), self.random)
        self.datagrams = await Datagrams.open(self.settings.ip, self.settings.router_port, self._arrive)
        await self.add_runtime_dependency(self.relay_server)
        await self.add_runtime_dependency(self.feed_client)

    async def on_stop(self):
        for s in self.swim.leave():
            self.datagrams.send(s.to, s.rec)
        self.datagrams.close()
        for p in self.backends.by_id.values():
            if p.client_session:
                await p.client_session.close()

    def _arrive(self, src, rec):
        if isinstance(rec, WORDS):
            self.gossip.on_message(rec, src)
        elif isinstance(rec, PrefixPlacements):
            self.prefix_recall.on_message(src, rec)
        elif isinstance(rec, (Ping, Ack, PingRequest, TableComparison)):
            for s in self.swim.receive(monotonic(), src, rec):
                self.datagrams.send(s.to, s.rec)
            self._drop_ended()

    def _drop_ended(self):
        """Holders that are known gone take their slots with them."""
        for key, life in self.swim.take_ended():
            self.gossip.on_departed(key, life)

    def count(self):
        """Notes by how many routers the whole is divided."""
        up = sorted(p.key for p in self.swim.alive() if p.role == ROUTER)
        self.fleet_size.see(
            monotonic(),
            1 + len(up),
            self.endpoint_list.crowd if self.endpoint_list else 0,
            self.gossip.known_fleet_sizes(),
            bisect(up, self.key),
        )

    def see_tier(self):
        """Plans the tier again when membership has changed; suspects are members still."""
        up = [p for p in self.swim.alive() if p.role == ROUTER]
        members = frozenset((p.key, p.zone) for p in up)
        if members != self.tier_members:
            self.tier_members, self.relay_tier = members, plan_tier(self.key, self.settings.zone, list(members))
        self.feed_client.upstream.see(monotonic(), self.relay_tier, frozenset(p.key for p in up if p.state == SUSPECT))

    @Service.task
    async def _beat(self):
        turn = 0
        while not self.should_stop:
            turn += 1
            for s in self.swim.tick(monotonic()):
                self.datagrams.send(s.to, s.rec)
            self._drop_ended()
            self.queues.tick()
            if turn % 4 == 1:
                self.count()
                self.see_tier()
            self.gossip.tick(turn)
            self.prefix_recall.tick(turn)
            await asyncio.sleep(TICK.total_seconds())

    def renew(self):
        """The next snapshot of the fleet, after news."""
        if self.endpoint_list is not None:
            self.backends = self.backends.renew(self.endpoint_list.runners, self._room)
        if self.configuration is not None and self.endpoint_list is not None and not self.prefixes_known.is_set():
            self.prefix_recall.request()

    async def wait_known(self, most):
        """Waits a moment after a start for the first policy and the first runners, but no longer than ``most``."""
        if not self.prefixes_known.is_set():
            try:
                async with asyncio.timeout(min(most, self.settings.bounds.contact / 3).total_seconds()):
                    await self.prefixes_known.wait()
            except TimeoutError:
                pass

    def _room(self, service):
        s = self.configuration.services.get(service) if self.configuration else None
        return s.cache_tokens if s and s.cache_tokens else 1 << 18
