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
        self.store = VersionedStore()
        self.change_signal, self.afresh = ChangeSignal(), set()
        self.told = news.NO_VERSION
        con = up.bounds.contact
        self.pulse, self.write_timeout = con / 10, con / 3
        self.tracker = SourceTracker(con / 3, con / 3)
        self.dialing = DialTimeout(con / 40, con / 5)

    def put(self, topic, stamp, blob, step=None):
        """Takes a newer state and rings."""
        if self.store.put(topic, stamp, blob, step):
            self.change_signal.notify()

    def held(self, topic):
        """The state on the shelf, or None."""
        item = self.store.items.get(topic)
        return item and news.decode_payload(topic, item.payload)

    def renew(self, topic, stamp, state):
        """Puts a newer state on the shelf, with the step that leads to it where that is shorter."""
        if stamp > self.store.version(topic):
            blob, old = news.encode_state(topic, state), self.held(topic)
            self.put(topic, stamp, blob, old and news.encode_delta(topic, old, state, len(blob)))

    def sureness(self):
        """ms since the primary was last confirmed, as known here."""
        now, led = monotonic(), self.core.ledger
        age = led.sure_since(now) if led.leading() else self.tracker.last_confirmed_age(now)
        return UNCONFIRMED if age is None else max(0, min(UNCONFIRMED - 1, int(age / MS)))

    # What ``serve_follower`` asks: pulses of the primary are passed on when they come.
    confirmation_age_ms = sureness

    def is_open(self):
        """Whether followers are served."""
        return not self.should_stop

    def heartbeat_interval(self):
        """How long a follower waits for the next pulse."""
        return self.pulse if self.core.ledger.leading() else self.pulse * 1.5

    def newest_configuration(self):
        """The stamp of the newest policy that this controller has or has heard of."""
        return max(self.told, self.store.version(CONFIGURATION))

    async def serve(self, frames, first):
        """Serves one follower until its pipe ends."""
        if isinstance(first, Subscribe):
            await serve_follower(frames, first.versions, self)

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
            await frames.write(self.store.subscription(self.up.node, self.afresh))
            self.tracker.start(monotonic())
            while self.core.ledger.primary() == to:
                async with asyncio.timeout(self.tracker.timeout.total_seconds()):
                    rec = await frames.read()
                if isinstance(rec, FeedHeartbeat):
                    self.tracker.on_heartbeat(monotonic(), rec.confirmation_age_ms, rec.sent_at_ms)
                    self.told = max(self.told, rec.configuration_version)
                    self.change_signal.notify()
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
        if c.version <= self.store.version(c.topic):
            return True
        is_whole = c.base == news.NO_VERSION
        if not is_whole and c.base != self.store.version(c.topic):
            return False
        try:
            state = news.apply_change(c, None if is_whole else self.held(c.topic))
        except news.PayloadError as e:
            logging.warning("feed: a change does not fit (%s); the whole is asked for.", e)
            self.afresh.add(c.topic)
            return False
        if is_whole:
            self.put(c.topic, c.version, c.payload)
            self.afresh.discard(c.topic)
        else:
            self.put(c.topic, c.version, news.encode_state(c.topic, state), c.payload)
        return True
