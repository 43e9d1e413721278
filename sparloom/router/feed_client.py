"""How a router comes by its news: it follows the numbered feed."""

import asyncio
from datetime import timedelta

from absl import logging
from mode import Service

from sparloom.codec import DecodeError
from sparloom.configuration import build
from sparloom.feed import CONFIGURATION, TOPICS, Change, FeedHeartbeat, VersionedStore
from sparloom.feed import payload as news
from sparloom.feed.serving import ChangeSignal
from sparloom.membership import CONTROLLER
from sparloom.relay import GONE, Upstream, UpstreamTiming
from sparloom.transport import DialTimeout, monotonic

MS = timedelta(milliseconds=1)


class FeedClient(Service):
    """Follows one controller or relay at a time; ``Upstream`` says which, and when to leave."""

    def __init__(self, state):
        super().__init__()
        self.router_state = state
        self.store, self.change_signal = VersionedStore(), ChangeSignal()
        self.upstream = Upstream(state.key, UpstreamTiming.of(state.settings.bounds.contact), state.random)
        self.dialing = DialTimeout(state.settings.bounds.contact / 40, self.upstream.spans.dial)
        self.raw, self.afresh = None, set()
        self.told = news.NO_VERSION

    def _controllers(self):
        """Controllers to follow: near ones first."""
        k = self.router_state
        found = {p.key: p.zone for p in k.swim.alive() if p.role == CONTROLLER}
        for s in k.seeds:
            found.setdefault(s, "")
        return sorted(found, key=lambda c: (found[c] != k.settings.zone, k.random.random()))

    @Service.task
    async def _follow(self):
        up = self.upstream
        while not self.should_stop:
            to = up.choose(monotonic(), self._controllers())
            if to is not None:
                up.start(monotonic(), to)
                why = GONE
                try:
                    why = await self._from(to)
                except (OSError, EOFError, DecodeError, TimeoutError):
                    pass
                up.ended(monotonic(), why)
            await asyncio.sleep(0.02 + 0.04 * self.router_state.random.random())

    async def _from(self, to):
        host, _, port = to.rpartition(":")
        up = self.upstream
        frames = await self.dialing.dial(host, int(port))
        try:
            await frames.write(self.store.subscription(self.router_state.settings.node, self.afresh))
            up.tracker.start(monotonic())
            logging.info("feed: follows %s at depth %d.", to, up.depth)
            while True:
                # After a stall of its own it first reads what waits, and then judges.
                why = up.leave(monotonic())
                rec = await self._read(frames, up.spans.contact / 100 if why else up.due(monotonic()))
                if rec is None and why:
                    logging.info("feed: leaves %s (%s).", to, why)
                    return why
                if isinstance(rec, FeedHeartbeat):
                    up.pulse(monotonic(), rec.confirmation_age_ms, rec.sent_at_ms)
                    self.told = max(self.told, rec.configuration_version)
                    self._sure(rec)
                    self.change_signal.notify()
                elif isinstance(rec, Change):
                    if not self._take(rec):
                        return GONE
                elif rec is not None:
                    raise DecodeError("a record that is none of the feed")
        finally:
            frames.close()

    async def _read(self, frames, wait):
        """The next record, or None when none came in time; one that is on its way may take longer."""
        loop, begun = asyncio.get_running_loop(), []
        more = self.router_state.settings.bounds.contact.total_seconds() / 3
        try:
            async with asyncio.timeout(wait.total_seconds()) as limit:
                return await frames.read(lambda: begun.append(limit.reschedule(loop.time() + more)))
        except TimeoutError:
            if begun or not limit.expired():
                raise
            return None

    def newest_configuration(self):
        """The stamp of the newest policy that this router has or has heard of."""
        return max(self.told, self.store.version(CONFIGURATION))

    def _sure(self, rec):
        """A pulse makes this router sure only when it holds the policy that the pulse speaks of."""
        k = self.router_state
        known = k.endpoint_list is not None and k.configuration is not None
        up_to_date = self.store.version(CONFIGURATION) >= self.newest_configuration()
        k.confirmed = (
            k.confirmed or known and up_to_date and rec.confirmation_age_ms < self.upstream.tracker.maximum_age / MS
        )

    def _state(self, topic):
        return self.raw if topic == CONFIGURATION else self.router_state.endpoint_list

    def _take(self, c):
        """Whether the change was taken or known. The whole state's bytes are made again when asked for."""
        k = self.router_state
        if c.topic not in TOPICS:
            raise DecodeError("a change of no known topic")
        self.upstream.change(monotonic())
        if c.version <= self.store.version(c.topic):
            return True
        if c.base != news.NO_VERSION and c.base != self.store.version(c.topic):
            return False
        try:
            new = news.apply_change(c, self._state(c.topic))
        except news.PayloadError as e:
            logging.warning("feed: a change does not fit (%s); the whole is asked for.", e)
            self.afresh.add(c.topic)
            return False
        if c.topic == CONFIGURATION:
            self.raw, k.configuration = new, build(new)
            logging.info("feed: revision %d is in force.", k.configuration.revision)
        else:
            k.endpoint_list = new
            k.count()
        k.renew()
        if c.base == news.NO_VERSION:
            self.afresh.discard(c.topic)
            self.store.put(c.topic, c.version, c.payload)
        else:
            self.store.put(c.topic, c.version, lambda: news.encode_state(c.topic, new), c.payload)
        self.change_signal.notify()
        return True
