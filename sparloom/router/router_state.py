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

    def __init__(self, up):
        super().__init__()
        self.up = up
        self.key = f"{up.ip}:{up.router_port}"
        self.policy, self.listed, self.fleet = None, None, BackendTable()
        self.sure = False
        con = up.bounds.contact
        self.counts = InFlightCounts(con)
        self.budgets, self.born = {}, monotonic()
        self.crowd, self.lines = FleetSize(con), AdmissionQueues(self)
        self.known = asyncio.Event()
        self.before_isolation = frozenset()
        self.swim = None
        self.rng, self.tier, self.members = random.Random(), RelayTier(), None
        self.follow, self.tell, self.prefixes = FeedClient(self), InFlightGossip(self), PrefixRecall(self)
        self.serve = RelayServer(self, self.follow)

    @property
    def shelf(self):
        """The stamps of what this router has."""
        return self.follow.store

    @property
    def seeds(self):
        """The seeds' internal addresses."""
        return tuple(f"{s.host}:{self.up.controller_port}" for s in self.up.seeds)

    def ready(self):
        """Whether a policy and runners are known, and for sure at the start."""
        return (
            self.policy is not None
            and self.listed is not None
            and (self.sure or monotonic() - self.born > self.up.bounds.contact * 2)
        )

    def note_isolation(self, isolation):
        """Notes which lives of runners are older than other settings of isolation, which are about to be used."""
        if isolation != self.up.isolation:
            self.before_isolation = frozenset(self.fleet.posts)

    def lives_before_isolation(self):
        """How many listed lives of runners are older than the settings of isolation, as far as this process knows."""
        return len(self.before_isolation & self.fleet.posts.keys())

    def nodes(self):
        """How many routers the budgets are shared among; one that is cut off doesn't take itself for the only one."""
        return self.crowd.divisor

    def budget(self, service):
        """The budget of a service."""
        b = self.budgets.get(service)
        if b is None:
            bd = self.up.bounds
            b = self.budgets[service] = RetryBudget(bd.budget_window, bd.budget_ratio, bd.budget_slack, self.born)
        return b

    async def on_start(self):
        peer = Peer(self.key, ROUTER, self.up.zone, "", self.tell.life, 0, 0)
        self.swim = Swim(peer, self.seeds, SwimTiming.of(self.up.bounds.contact), self.rng)
        self.net = await Datagrams.open(self.up.ip, self.up.router_port, self._arrive)
        await self.add_runtime_dependency(self.serve)
        await self.add_runtime_dependency(self.follow)

    async def on_stop(self):
        for s in self.swim.leave():
            self.net.send(s.to, s.record)
        self.net.close()
        for p in self.fleet.posts.values():
            if p.session:
                await p.session.close()

    def _arrive(self, src, rec):
        if isinstance(rec, WORDS):
            self.tell.hear(rec, src)
        elif isinstance(rec, PrefixPlacements):
            self.prefixes.hear(src, rec)
        elif isinstance(rec, (Ping, Ack, PingRequest, TableComparison)):
            for s in self.swim.receive(monotonic(), src, rec):
                self.net.send(s.to, s.record)
            self._drop_ended()

    def _drop_ended(self):
        """Holders that are known gone take their slots with them."""
        for key, life in self.swim.take_departed():
            self.tell.gone(key, life)

    def count(self):
        """Notes by how many routers the whole is divided."""
        up = sorted(p.key for p in self.swim.alive() if p.role == ROUTER)
        self.crowd.update(
            monotonic(),
            1 + len(up),
            self.listed.fleet_size if self.listed else 0,
            self.tell.crowds(),
            bisect(up, self.key),
        )

    def see_tier(self):
        """Plans the tier again when membership has changed; suspects are members still."""
        up = [p for p in self.swim.alive() if p.role == ROUTER]
        members = frozenset((p.key, p.zone) for p in up)
        if members != self.members:
            self.members, self.tier = members, plan_tier(self.key, self.up.zone, list(members))
        self.follow.upstream.update_tier(monotonic(), self.tier, frozenset(p.key for p in up if p.state == SUSPECT))

    @Service.task
    async def _beat(self):
        turn = 0
        while not self.should_stop:
            turn += 1
            for s in self.swim.tick(monotonic()):
                self.net.send(s.to, s.record)
            self._drop_ended()
            self.lines.tick()
            if turn % 4 == 1:
                self.count()
                self.see_tier()
            self.tell.beat(turn)
            self.prefixes.beat(turn)
            await asyncio.sleep(TICK.total_seconds())

    def renew(self):
        """The next snapshot of the fleet, after news."""
        if self.listed is not None:
            self.fleet = self.fleet.renew(self.listed.runners, self._room)
        if self.policy is not None and self.listed is not None and not self.known.is_set():
            self.prefixes.ask()

    async def wait_known(self, most):
        """Waits a moment after a start for the first policy and the first runners, but no longer than ``most``."""
        if not self.known.is_set():
            try:
                async with asyncio.timeout(min(most, self.up.bounds.contact / 3).total_seconds()):
                    await self.known.wait()
            except TimeoutError:
                pass

    def _room(self, service):
        s = self.policy.services.get(service) if self.policy else None
        return s.cache_tokens if s and s.cache_tokens else 1 << 18
