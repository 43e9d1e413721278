"""The feed's service: follows the primary, and serves those that follow this controller."""
import asyncio
from datetime import timedelta

from absl import logging
from mode import Service

from sparloom.feed import POLICY, RUNNERS, UNSURE, Change, Follow, Pulse, Shelf, Tracker
from sparloom.link import dial, steady
from sparloom.wire import Broken

MS = timedelta(milliseconds=1)


class Shop(Service):
    """The newest states, for all who follow."""

    def __init__(self, up):
        super().__init__()
        self.up, self.core = up, None
        self.shelf = Shelf()
        self.bell = asyncio.Event()
        con = up.bounds.contact
        self.pulse = con / 10
        self.tracker = Tracker(con / 3, con / 3)

    def put(self, topic, stamp, blob, step=None):
        """Takes a newer state and rings."""
        if self.shelf.put(topic, stamp, blob, step):
            self._ring()

    def _ring(self):
        self.bell.set()
        self.bell = asyncio.Event()

    def sureness(self):
        """ms since the primary was last confirmed, as known here."""
        now, led = steady(), self.core.ledger
        age = led.sure_since(now) if led.leading() else self.tracker.sureness(now)
        return UNSURE if age is None else max(0, min(UNSURE - 1, int(age / MS)))

    async def serve(self, frames, first):
        """Serves one follower until its pipe ends."""
        if not isinstance(first, Follow):
            return
        place = first.place
        while not self.should_stop:
            bell = self.bell
            for c in self.shelf.lacking(place):
                place[c.topic] = c.stamp
                await frames.write(c)
            await frames.write(Pulse(self.core.ledger.reg.promised, self.sureness()))
            try:
                async with asyncio.timeout(self.pulse.total_seconds()):
                    await bell.wait()
            except TimeoutError:
                pass

    @Service.task
    async def _follow(self):
        while not self.should_stop:
            to = self.core.ledger.primary()
            if to is None or to.id == self.core.ledger.me.id:
                await asyncio.sleep(self.pulse.total_seconds() / 6)
                continue
            try:
                await self._from(to)
            except (OSError, EOFError, Broken, TimeoutError):
                pass
            await asyncio.sleep(self.pulse.total_seconds() / 6)

    async def _from(self, to):
        frames = await dial(to.host, to.port, self.pulse * 2)
        try:
            await frames.write(self.shelf.follow(self.up.node))
            self.tracker.start(steady())
            while self.core.ledger.primary() == to:
                async with asyncio.timeout(self.tracker.silence.total_seconds()):
                    rec = await frames.read()
                if isinstance(rec, Pulse):
                    unsure = self.tracker.age is None
                    self.tracker.pulse(steady(), rec.age)
                    if unsure and self.tracker.age is not None:
                        self._ring()
                elif isinstance(rec, Change) and not self._take(rec):
                    return
        finally:
            frames.close()

    def _take(self, c):
        if c.base == (0, 0):
            self.put(c.topic, c.stamp, c.blob)
            return True
        logging.info("feed: a step came where a whole state was due.")
        return False
