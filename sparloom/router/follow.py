"""How a router comes by its news: it follows the numbered feed."""
import asyncio
import json
import zlib
from datetime import timedelta

from absl import logging
from mode import Service

from sparloom.feed import POLICY, Change, Pulse, Shelf, Tracker
from sparloom.link import dial, steady
from sparloom.members import CONTROLLER
from sparloom.platform import RunnerList
from sparloom.policy import apply_patch, build
from sparloom.wire import Broken, unpack


class Follow(Service):
    """Follows one controller at a time, and moves on when it is silent or cut off."""

    def __init__(self, know):
        super().__init__()
        self.know = know
        self.shelf = Shelf()
        con = know.up.bounds.contact
        self.tracker = Tracker(con / 3, con / 3)
        self.raw, self.last_try = None, []

    def _controllers(self):
        """Controllers to follow: near ones first, those tried last at the end."""
        k = self.know
        found = {p.key: p.zone for p in k.swim.alive() if p.role == CONTROLLER}
        for s in k.seeds:
            found.setdefault(s, "")
        return sorted(found, key=lambda c: (c in self.last_try and self.last_try.index(c) + 1, found[c] != k.up.zone, k.rng.random()))

    @Service.task
    async def _follow(self):
        while not self.should_stop:
            to = self._controllers()[0]
            self.last_try = [c for c in self.last_try if c != to][-8:] + [to]
            try:
                await self._from(to)
            except (OSError, EOFError, Broken, TimeoutError):
                pass
            await asyncio.sleep(0.05)

    async def _from(self, to):
        host, _, port = to.rpartition(":")
        frames = await dial(host, int(port), self.tracker.silence / 3)
        try:
            await frames.write(self.shelf.follow(self.know.up.node))
            self.tracker.start(steady())
            while not self.tracker.move_on(steady()):
                async with asyncio.timeout(self.tracker.silence.total_seconds()):
                    rec = await frames.read()
                if isinstance(rec, Pulse):
                    self.tracker.pulse(steady(), rec.age)
                    self._sure(rec)
                elif isinstance(rec, Change) and not self._take(rec):
                    return
        finally:
            frames.close()

    def _sure(self, rec):
        k = self.know
        k.sure = k.sure or (k.listed is not None and k.policy is not None and rec.age < self.tracker.doubt / timedelta(milliseconds=1))

    def _take(self, c):
        k = self.know
        self.tracker.change(steady())
        if c.stamp <= self.shelf.stamp(c.topic):
            return True
        if c.base != (0, 0) and c.base != self.shelf.stamp(c.topic):
            return False
        if c.topic == POLICY:
            d = json.loads(zlib.decompress(c.blob))
            self.raw = apply_patch(self.raw, d).unwrap() if c.base != (0, 0) else d
            k.policy = build(self.raw)
            logging.info("feed: revision %d is in force.", k.policy.revision)
        else:
            rec = unpack(zlib.decompress(c.blob))
            if isinstance(rec, RunnerList):
                k.listed = rec
                k.count()
        k.renew()
        self.shelf.put(c.topic, c.stamp, b"")
        return True
