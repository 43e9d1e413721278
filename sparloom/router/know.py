"""What a router knows, and the tasks that keep it: the feed, the members, the counts."""
import asyncio
import json
import os
import random
import zlib
from datetime import timedelta

from absl import logging
from mode import Service

from sparloom.feed import POLICY, Change, Pulse, Shelf, Tracker
from sparloom.link import Datagrams, dial, steady
from sparloom.members import CONTROLLER, DEAD, ROUTER, Ack, Peer, Ping, Relay, Swim, Times
from sparloom.platform import RunnerList
from sparloom.policy import apply_patch, build
from sparloom.recover import Budget
from sparloom.shares import Crowd
from sparloom.timeouts import Counts, Held, Holding, Read
from sparloom.wire import Broken, unpack

from .fleet import Fleet
from .line import Lines

TICK = timedelta(milliseconds=50)
LONG = 1024


class Know(Service):
    """The router's picture of the world; other parts read its snapshots."""

    def __init__(self, up):
        super().__init__()
        self.up = up
        self.key = f"{up.ip}:{up.router_port}"
        self.policy, self.raw, self.fleet = None, None, Fleet()
        self.sure = False
        self.shelf = Shelf()
        con = up.bounds.contact
        self.tracker = Tracker(con / 3, con / 3)
        self.counts = Counts(con)
        self.budgets, self.born = {}, steady()
        self.life, self.seq, self.said = int.from_bytes(os.urandom(7)), 0, None
        self.listed = None
        self.reads, self.soon = [], False
        self.crowd, self.lines = Crowd(con), Lines(self)
        self.last_try = []
        self.known = asyncio.Event()

    @property
    def seeds(self):
        """The seeds' internal addresses."""
        return tuple(f"{s.host}:{self.up.controller_port}" for s in self.up.seeds)

    def ready(self):
        """Whether a policy and runners are known, and for sure at the start."""
        return self.policy is not None and self.listed is not None and (self.sure or steady() - self.born > self.up.bounds.contact * 2)

    def nodes(self):
        """How many routers there are, this one included."""
        return 1 + sum(p.role == ROUTER for p in self.swim.alive())

    def budget(self, service):
        """The budget of a service."""
        b = self.budgets.get(service)
        if b is None:
            bd = self.up.bounds
            b = self.budgets[service] = Budget(bd.budget_window, bd.budget_ratio, bd.budget_slack, self.born)
        return b

    async def on_start(self):
        rng = random.Random()
        peer = Peer(self.key, ROUTER, self.up.zone, "", self.life, 0, 0)
        self.swim = Swim(peer, self.seeds, Times.of(self.up.bounds.contact), rng)
        self.rng = rng
        self.net = await Datagrams.open(self.up.ip, self.up.router_port, self._arrive)

    async def on_stop(self):
        for s in self.swim.leave():
            self.net.send(s.to, s.rec)
        self.net.close()
        for p in self.fleet.posts.values():
            if p.session:
                await p.session.close()

    # -- members and counts -------------------------------------------------
    def _arrive(self, src, rec):
        if isinstance(rec, Holding):
            self._hear(rec)
        elif isinstance(rec, (Ping, Ack, Relay)):
            for s in self.swim.receive(steady(), src, rec):
                self.net.send(s.to, s.rec)
            for e in self.swim.table.values():
                if e.peer.role == ROUTER and e.peer.key in self.counts.peers:
                    self.counts.drop(e.peer.key, None if e.peer.state == DEAD else e.peer.life)

    def _count(self):
        up = {p.key for p in self.swim.alive() if p.role == ROUTER}
        told = {k: p.crowd for k, p in self.counts.peers.items() if k in up}
        self.crowd.see(steady(), 1 + len(up), self.listed.crowd if self.listed else 0, told)

    def _hear(self, rec):
        names = self.fleet.numbers
        self.counts.hear(rec, steady(), names)
        for r in rec.reads:
            if r.resource in names:
                self.fleet.posts[names[r.resource]].kept.saw(((r.part, r.tokens),))

    @Service.task
    async def _beat(self):
        turn = 0
        while not self.should_stop:
            turn += 1
            for s in self.swim.tick(steady()):
                self.net.send(s.to, s.rec)
            self.lines.tick()
            if turn % 4 == 1:
                self._count()
            if turn % 4 == 0 or self.soon:
                self._gossip(turn)
            await asyncio.sleep(TICK.total_seconds())

    def sent(self, post, parts):
        """A prompt went out: the other routers hear at once of its long parts."""
        self.reads += [Read(post.number, k, n) for k, n in parts if n >= LONG]
        if self.reads:
            self._gossip(0)

    def was_read(self, slot):
        """A prompt has been read; a long one is told at the next beat."""
        self.soon = self.soon or slot.tokens >= LONG
        slot.read(slot.tokens)

    def _gossip(self, turn):
        now = steady()
        posts = self.fleet.posts
        held = [
            Held(posts[id].number, min(n, 0xFFFF), min(self.counts.weight.get(id, 0), 0xFFFFFFFF), posts[id].silent > 0 and posts[id].doubted(now))
            for id, n in self.counts.own.items() if id in posts
        ]
        if held == self.said and turn % 20 and not self.reads:
            return
        self.said, self.seq, self.soon = held, self.seq + 1, False
        rec, self.reads = Holding(self.key, self.life, self.seq, self.crowd.divisor, held, self.reads), []
        for p in self.swim.alive():
            if p.role == ROUTER:
                self.net.send(p.key, rec)

    # -- the feed -----------------------------------------------------------
    def _controllers(self):
        """Controllers to follow: near ones first, those tried last at the end."""
        found = {p.key: p.zone for p in self.swim.alive() if p.role == CONTROLLER}
        for s in self.seeds:
            found.setdefault(s, "")
        keys = sorted(found, key=lambda k: (k in self.last_try and self.last_try.index(k) + 1, found[k] != self.up.zone, self.rng.random()))
        return keys

    @Service.task
    async def _follow(self):
        while not self.should_stop:
            to = self._controllers()[0]
            self.last_try = [k for k in self.last_try if k != to][-8:] + [to]
            try:
                await self._from(to)
            except (OSError, EOFError, Broken, TimeoutError):
                pass
            await asyncio.sleep(0.05)

    async def _from(self, to):
        host, _, port = to.rpartition(":")
        frames = await dial(host, int(port), self.tracker.silence / 3)
        try:
            await frames.write(self.shelf.follow(self.up.node))
            self.tracker.start(steady())
            while not self.tracker.move_on(steady()):
                async with asyncio.timeout(self.tracker.silence.total_seconds()):
                    rec = await frames.read()
                if isinstance(rec, Pulse):
                    self.tracker.pulse(steady(), rec.age)
                    self.sure = self.sure or (self.listed is not None and self.policy is not None and rec.age < self.tracker.doubt / timedelta(milliseconds=1))
                elif isinstance(rec, Change) and not self._take(rec):
                    return
        finally:
            frames.close()

    def _take(self, c):
        self.tracker.change(steady())
        if c.stamp <= self.shelf.stamp(c.topic):
            return True
        if c.base != (0, 0) and c.base != self.shelf.stamp(c.topic):
            return False
        if c.topic == POLICY:
            d = json.loads(zlib.decompress(c.blob))
            self.raw = apply_patch(self.raw, d).unwrap() if c.base != (0, 0) else d
            self.policy = build(self.raw)
            logging.info("feed: revision %d is in force.", self.policy.revision)
        else:
            rec = unpack(zlib.decompress(c.blob))
            if isinstance(rec, RunnerList):
                self.listed = rec
                self._count()
        if self.listed is not None:
            self.fleet = self.fleet.renew(self.listed.runners, self._room)
        self.shelf.put(c.topic, c.stamp, b"")
        if self.policy is not None and self.listed is not None:
            self.known.set()
        return True

    async def wait_known(self):
        """Waits a moment after a start for the first policy and the first runners."""
        if not self.known.is_set():
            try:
                async with asyncio.timeout(self.up.bounds.contact.total_seconds() / 3):
                    await self.known.wait()
            except TimeoutError:
                pass

    def _room(self, service):
        s = self.policy.services.get(service) if self.policy else None
        return s.cache_tokens if s and s.cache_tokens else 1 << 18
