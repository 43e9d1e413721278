"""A hollow router: all that a router knows and tells, with made-up calls in place of traffic.

It is the router's own ``RouterNode`` service: membership, feed, counts, parts of the
whole, budgets, and whatever tier of relays belongs to it. It has no front, so
it skips requests, replies, connections to runners and the choice among them.
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
    """The made-up calls of one router.

    ``rate``: calls begun a second. ``hold``: seconds that each lasts. ``long``:
    the share of calls with a long shared part. ``runners``: on how many of the
    listed runners its calls go (0: all).
    """

    rate: float = 10.0
    hold: float = 2.0
    long: float = 0.1
    runners: int = 0
    prefixes: int = 100


DEFAULT_LOAD = Load()


@define(frozen=True, slots=True)
class Ask:
    """What a line needs to know of a made-up call."""

    parts: tuple
    route: object
    deadline: timedelta

    @property
    def priority(self):
        """That of its route: made-up calls have no tenant."""
        return self.route.priority


class HollowRouter(RouterNode):
    """A router without a front."""

    def __init__(self, up, load, seed=0):
        super().__init__(up)
        self.load, self.luck = load, random.Random(seed)
        self.seen, self.calls, self.refused, self.now_in = {}, 0, 0, 0
        self.ends = set()

    def update_backends(self):
        """Notes when a revision came into force here."""
        super().update_backends()
        if self.configuration is not None:
            self.seen.setdefault(self.configuration.revision, monotonic())

    @Service.task
    async def _call_often(self):
        await self.prefixes_known.wait()
        while not self.should_stop:
            await asyncio.sleep(self.luck.expovariate(self.load.rate) if self.load.rate else 3600.0)
            if self.ready():
                t = asyncio.ensure_future(self._call())
                self.ends.add(t)
                t.add_done_callback(self.ends.discard)

    async def on_stop(self):
        for t in list(self.ends):
            t.cancel()
        await super().on_stop()

    def _ask(self):
        pool = self.configuration.routes[:1]
        n = 2048 if self.luck.random() < self.load.long else 200
        parts = ((self.luck.randrange(self.load.prefixes), n), (self.luck.getrandbits(60), 300))
        return Ask(parts, pool[0], monotonic() + pool[0].timeout)

    async def _call(self):
        ask = self._ask()
        service = ask.route.weighted_services[0][0]
        self.calls += 1
        self.budget(service).on_request(monotonic())
        place = await self.queues.acquire(service, ask)
        if isinstance(place, Rejected):
            self.refused += 1
            return
        try:
            await self._hold(service, ask)
        finally:
            self.queues.release(service, place.id)

    async def _hold(self, service, ask):
        posts = self.backends.of(service)
        if not posts:
            return
        most = self.load.runners or len(posts)
        post = posts[self.luck.randrange(min(most, len(posts)))]
        tokens = sum(n for _, n in ask.parts)
        slot = self.in_flight.acquire(post.id, buckets_for(ask.route, post.slots), monotonic(), tokens)
        if slot is None:
            self.refused += 1
            return
        self.gossip.on_prompt_sent(post, ask.parts[:-1])
        try:
            await asyncio.sleep(min(0.3, self.load.hold / 4))
            self.gossip.on_prefilled(slot)
            await asyncio.sleep(self.luck.expovariate(1 / self.load.hold))
        finally:
            slot.release(monotonic())
