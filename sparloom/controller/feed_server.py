"""The feed's service: follows the primary, and serves those that follow this controller."""

import asyncio

from absl import logging
from mode import Service

from sparloom.codec import DecodeError
from sparloom.feed import (
    CONFIGURATION,
    TOPICS,
    UNCONFIRMED,
    Change,
    FeedHeartbeat,
    SourceTracker,
    Subscribe,
    VersionedStore,
)
from sparloom.feed import payload as news
from sparloom.feed.serving import MS, ChangeSignal, serve_follower
from sparloom.transport import DialTimeout, monotonic


class FeedServer(Service):
    """The newest states, for all who follow."""

    def __init__(self, up):
        super().__init__()
        self.up, self.core = up, None
        self.shelf = VersionedStore()
        self.bell, self.afresh = ChangeSignal(), set()
        self.told = news.ZERO
        con = up.bounds.contact
        self.pulse, self.patience = con / 10, con / 3
        self.tracker = SourceTracker(con / 3, con / 3)
        self.dialing = DialTimeout(con / 40, con / 5)

    def put(self, topic, stamp, blob, step=None):
        """Takes a newer state and rings."""
        if self.shelf.put(topic, stamp, blob, step):
            self.bell.ring()

    def held(self, topic):
        """The state on the shelf, or None."""
        item = self.shelf.items.get(topic)
        return item and news.decode_payload(topic, item.blob)

    def renew(self, topic, stamp, state):
        """Puts a newer state on the shelf, with the step that leads to it where that is shorter."""
        if stamp > self.shelf.stamp(topic):
            blob, old = news.encode_state(topic, state), self.held(topic)
            self.put(topic, stamp, blob, old and news.encode_delta(topic, old, state, len(blob)))

    def sureness(self):
        """ms since the primary was last confirmed, as known here."""
        now, led = monotonic(), self.core.ledger
        age = led.confirmation_age(now) if led.leading() else self.tracker.known(now)
        return UNCONFIRMED if age is None else max(0, min(UNCONFIRMED - 1, int(age / MS)))

    # What ``serve_follower`` asks: pulses of the primary are passed on when they come.
    pulse_age = sureness

    def open(self):
        """Whether followers are served."""
        return not self.should_stop

    def period(self):
        """How long a follower waits for the next pulse."""
        return self.pulse if self.core.ledger.leading() else self.pulse * 1.5

    def newest_policy(self):
        """The stamp of the newest policy that this controller has or has heard of."""
        return max(self.told, self.shelf.stamp(CONFIGURATION))

    async def serve(self, frames, first):
        """Serves one follower until its pipe ends."""
        if isinstance(first, Subscribe):
            await serve_follower(frames, first.place, self)

    @Service.task
    async def _follow(self):
        while not self.should_stop:
            to = self.core.ledger.primary()
            if to is None or to.id == self.core.ledger.member.id:
                await asyncio.sleep(self.pulse.total_seconds() / 6)
                continue
            try:
                await self._from(to)
            except (OSError, EOFError, DecodeError, TimeoutError):
                pass
            await asyncio.sleep(self.pulse.total_seconds() / 6)

    async def _from(self, to):
        frames = await self.dialing.dial(to.host, to.port)
        try:
            await frames.write(self.shelf.follow(self.up.node, self.afresh))
            self.tracker.start(monotonic())
            while self.core.ledger.primary() == to:
                async with asyncio.timeout(self.tracker.silence.total_seconds()):
                    rec = await frames.read()
                if isinstance(rec, FeedHeartbeat):
                    self.tracker.pulse(monotonic(), rec.age, rec.sent)
                    self.told = max(self.told, rec.policy)
                    self.bell.ring()
                elif not isinstance(rec, Change):
                    raise DecodeError("a record that is none of the feed")
                elif not self._take(rec):
                    return
        finally:
            frames.close()

    def _take(self, c):
        """Whether the change was taken or known; steps are passed on as steps."""
        if c.topic not in TOPICS:
            raise DecodeError("a change of no known topic")
        if c.stamp <= self.shelf.stamp(c.topic):
            return True
        is_whole = c.base == news.ZERO
        if not is_whole and c.base != self.shelf.stamp(c.topic):
            return False
        try:
            state = news.apply_change(c, None if is_whole else self.held(c.topic))
        except news.PayloadError as e:
            logging.warning("feed: a change does not fit (%s); the whole is asked for.", e)
            self.afresh.add(c.topic)
            return False
        if is_whole:
            self.put(c.topic, c.stamp, c.blob)
            self.afresh.discard(c.topic)
        else:
            self.put(c.topic, c.stamp, news.encode_state(c.topic, state), c.blob)
        return True
