"""Passes the feed on to routers that follow this one."""

import asyncio

from mode import Service

from sparloom.codec import DecodeError
from sparloom.feed import UNCONFIRMED, Subscribe
from sparloom.feed.serving import MS, serve_follower
from sparloom.settings import Address
from sparloom.transport import Frames, bind, monotonic


class RelayServer(Service):
    """Serves followers while this router itself follows a controller.

    The port is not bound early: a router that is not ready to serve should
    turn followers away at once, so that they go on to the next one.
    """

    def __init__(self, state, feed_client):
        super().__init__()
        self.router_state, self.feed_client = state, feed_client
        con = state.settings.bounds.contact
        self.pulse, self.write_timeout = con / 10, con / 3
        self.server, self.followers = None, {}

    @property
    def store(self):
        """What is served: what this router itself has."""
        return self.feed_client.store

    @property
    def change_signal(self):
        """Rings at news and at each pulse from above."""
        return self.feed_client.change_signal

    async def on_start(self):
        up = self.router_state.settings
        try:
            self.server = await asyncio.start_server(self._pipe, sock=bind(Address(up.ip, up.router_port)))
        except OSError:
            self.server = None

    async def on_stop(self):
        if self.server:
            self.server.close()
        for frames in list(self.followers):
            frames.close()

    def is_open(self):
        """Whether followers are served."""
        return self.feed_client.upstream.serves() and not self.should_stop

    def heartbeat_interval(self):
        """How long a follower waits for a pulse when none comes from above."""
        return self.pulse * 1.5

    def newest_configuration(self):
        """The stamp of the newest policy that this router has or has heard of."""
        return self.feed_client.newest_configuration()

    def confirmation_age_ms(self):
        """ms since the primary was confirmed, as known here; it grows while this router is cut off."""
        age = self.feed_client.upstream.tracker.last_confirmed_age(monotonic())
        return UNCONFIRMED if age is None else min(UNCONFIRMED - 1, int(age / MS))

    async def _pipe(self, reader, writer):
        frames = Frames(reader, writer)
        try:
            async with asyncio.timeout(self.write_timeout.total_seconds()):
                first = await frames.read()
            if (
                isinstance(first, Subscribe)
                and self.is_open()
                and len(self.followers) < self.feed_client.upstream.room()
            ):
                self.followers[frames] = first.node
                await serve_follower(frames, first.versions, self)
        except (OSError, EOFError, DecodeError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.followers.pop(frames, None)
            frames.close()

    def told(self):
        """This router's place in the tier, for its beliefs."""
        up, now = self.feed_client.upstream, monotonic()
        age = up.tracker.last_confirmed_age(now)
        return {
            "follows": up.parent,
            "depth": up.depth,
            "ageMs": None if age is None else int(age / MS),
            "relay": up.tier.relay,
            "followers": sorted(self.followers.values()),
        }
